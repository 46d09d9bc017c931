//! What a rejected request's caller is asked to do: how long to wait, and whether to try another node.
//!
//! | reason | retry-after |
//! | --- | --- |
//! | over quota | what is left of its tenant's delay (KIP-124's X) |
//! | queue timeout, overloaded | how long the cores need for the queue |
//! | all others | the longest that callers heed |
//!
//! In any case at most what callers heed (time, zero where none may be asked for) and at most the window of the
//! quotas. A departure from KIP-124, which holds the response back for X: the caller waits instead, and holds no
//! place here.
//!
//! Another node is discouraged for a request that is a retry already, and while the fleet seems overloaded
//! ([`fleet_load`](super::fleet_load)). A node that is unavailable discourages nobody, since then others are better.

use super::tenant_quotas::WINDOW;
use super::AdmissionController;
use crate::host::{Host, Rejection, RetryElsewhere};
use std::time::Duration;

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RejectReason {
    /// Its deadline was over when it was read.
    DeadlinePassed,
    /// It reached the machine past the grace of a shutdown.
    Draining,
    /// On busy cores, it was read too late to be started in time.
    NoTimeLeft,
    /// The node is unhealthy.
    Unhealthy,
    /// Its tenant is over its quota, and the node is overloaded.
    OverQuota {
        /// What is left of the tenant's delay.
        delay: Duration,
    },
    /// It was queued until it could no longer be started in time.
    QueueTimeout,
    /// It was shed from its queue.
    Overloaded,
}

impl AdmissionController {
    /// The final answer to a request that never ran.
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
        let wanted = match reason {
            RejectReason::OverQuota { delay } => delay,
            RejectReason::QueueTimeout | RejectReason::Overloaded => self.queue_wait(),
            RejectReason::DeadlinePassed
            | RejectReason::Draining
            | RejectReason::NoTimeLeft
            | RejectReason::Unhealthy => max_retry_after,
        };
        wanted.min(max_retry_after).min(WINDOW)
    }

    fn retry_elsewhere(&mut self, index: usize) -> RetryElsewhere {
        let options = self.advertiser.options;
        let fleet_overloaded = self
            .fleet_load
            .is_overloaded(self.cores_busy, options.retries_marked);
        let futile = self.in_flight.expect(index).is_retry || fleet_overloaded;
        if futile && !self.advertiser.is_unavailable() {
            RetryElsewhere::Discouraged
        } else {
            RetryElsewhere::Allowed
        }
    }
}
