//! What a rejection tells the caller: how long to wait before a retry, and whether to try another node.
//!
//! | reason | retry-after |
//! | --- | --- |
//! | over quota | the remaining delay of the tenant (X in KIP-124) |
//! | queue timeout, overloaded | the time the queue takes to clear |
//! | all others | the maximum retry-after |
//!
//! It is never longer than the maximum retry-after that callers respect (settings; zero if they cannot be asked to
//! wait), nor than the window of the quotas. A departure from KIP-124, which delays the response by X: here the caller
//! waits and occupies nothing on the node.
//!
//! Trying another node is discouraged if the request is already a retry, and while the fleet seems overloaded
//! ([`fleet_load`](super::fleet_load)). An unavailable node never discourages it, since other nodes are then better.

use super::tenant_quotas::WINDOW;
use super::AdmissionController;
use crate::host::{Host, Rejection, RetryElsewhere};
use std::time::Duration;

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RejectReason {
    /// Its deadline had passed when it was read.
    DeadlinePassed,
    /// It reached the machine after the grace period of a shutdown.
    Draining,
    /// It was read after its latest start while the cores were busy.
    NoTimeLeft,
    /// The node is unhealthy.
    Unhealthy,
    /// Its tenant is over its quota, and the node is overloaded.
    OverQuota {
        /// Remaining delay of the tenant.
        delay: Duration,
    },
    /// It was still queued at its latest start.
    QueueTimeout,
    /// It was shed from its queue.
    Overloaded,
}

impl AdmissionController {
    /// Rejects a request that never ran; this is its final answer.
    pub(super) fn reject(
        &mut self,
        now: Duration,
        host: &mut dyn Host,
        index: usize,
        reason: RejectReason,
    ) {
        let rejection = Rejection {
            retry_after: self.retry_after(reason),
            retry_elsewhere: self.retry_elsewhere(index),
        };
        if self.in_flight.discard_result(now, index) {
            host.discard_result(index);
        }
        host.reject(index, rejection);
        self.release(host, index);
    }

    fn retry_after(&self, reason: RejectReason) -> Duration {
        let max_retry_after = self.advertiser.options.max_retry_after;
        let retry_after = match reason {
            RejectReason::OverQuota { delay } => delay,
            RejectReason::QueueTimeout | RejectReason::Overloaded => self.queue_wait(),
            RejectReason::DeadlinePassed
            | RejectReason::Draining
            | RejectReason::NoTimeLeft
            | RejectReason::Unhealthy => max_retry_after,
        };
        retry_after.min(max_retry_after).min(WINDOW)
    }

    fn retry_elsewhere(&mut self, index: usize) -> RetryElsewhere {
        let options = self.advertiser.options;
        let fleet_overloaded = self
            .fleet_load
            .is_overloaded(self.cores_busy, options.retries_marked);
        let is_futile = self.in_flight.expect(index).is_retry || fleet_overloaded;
        if is_futile && !self.advertiser.is_unavailable() {
            RetryElsewhere::Discouraged
        } else {
            RetryElsewhere::Allowed
        }
    }
}
