//! How a request ends.

use super::tenant_quotas::WINDOW;
use super::AdmissionController;
use crate::host::{Host, Rejection, RetryElsewhere};
use crate::in_flight::Stage;
use std::time::Duration;

/// Share of retries among arrivals from which other nodes are taken to be overloaded too.
pub(super) const FLEET_OVERLOAD_RETRIES: f64 = 0.12;

impl AdmissionController {
    /// The final answer to a request that never ran.
    pub(super) fn reject(
        &mut self,
        now: Duration,
        host: &mut dyn Host,
        index: usize,
        retry_after: Duration,
    ) {
        let advertiser = &self.advertiser;
        // Many retries show that other nodes are overloaded too; where none are marked, that is assumed.
        let many_retries = advertiser.retry_share.read() > Some(FLEET_OVERLOAD_RETRIES);
        let fleet_overloaded =
            self.cores_busy && (!advertiser.options.retries_marked || many_retries);
        let pointless_elsewhere = self.in_flight.expect(index).is_retry || fleet_overloaded;
        let retry_elsewhere = if pointless_elsewhere && !advertiser.unavailable {
            RetryElsewhere::Discouraged
        } else {
            RetryElsewhere::Allowed
        };
        let retry_after = retry_after
            .min(advertiser.options.max_retry_after)
            .min(WINDOW);
        if self.in_flight.discard_result(now, index) {
            host.discard_result(index);
        }
        let rejection = Rejection {
            retry_after,
            retry_elsewhere,
        };
        host.reject(index, rejection);
        self.release(host, index);
    }

    /// The final error to a request that may have run.
    pub(super) fn fail(&mut self, host: &mut dyn Host, index: usize) {
        host.fail(index);
        self.abandon(host, index);
    }

    /// Nobody waits for the request any more: frees what can be freed now, the rest when its run ends.
    pub(super) fn abandon(&mut self, host: &mut dyn Host, index: usize) {
        self.in_flight.set_timer(index, None);
        let Some(request) = self.in_flight.get(index) else {
            return;
        };
        request.answered = true;
        match request.stage {
            Stage::Queued | Stage::AwaitingResult => self.release(host, index),
            Stage::Running => host.cancel_run(index),
            Stage::AwaitingCall => self.awaiting_call.retain(|&other| other != index),
            Stage::Calling => {}
        }
    }

    /// Removes a request from all tables; its index is free again.
    pub(super) fn release(&mut self, host: &mut dyn Host, index: usize) {
        let Some(request) = self.in_flight.remove(index) else {
            return;
        };
        let queues = &mut self.queues[request.class_index].by_account;
        match request.stage {
            Stage::Queued => queues[request.account].retain(|&other| other != index),
            Stage::AwaitingCall => self.awaiting_call.retain(|&other| other != index),
            _ => {}
        }
        host.release(index);
    }
}
