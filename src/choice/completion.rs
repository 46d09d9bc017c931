//! How a request ends.

use super::tenant_quotas::WINDOW;
use super::AdmissionController;
use crate::host::Host;
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
        ix: usize,
        retry_after: Duration,
    ) {
        let advertiser = &self.advertiser;
        // Many retries show that other nodes are overloaded too; where none are marked, that is assumed.
        let many_retries = advertiser.retry_share.read() > Some(FLEET_OVERLOAD_RETRIES);
        let fleet_overloaded =
            self.cores_busy && (!advertiser.options.retries_marked || many_retries);
        let terminal =
            (self.in_flight.expect(ix).is_retry || fleet_overloaded) && !advertiser.unavailable;
        if self.in_flight.discard_result(now, ix) {
            host.discard_result(ix);
        }
        host.reject(
            ix,
            retry_after
                .min(advertiser.options.max_retry_after)
                .min(WINDOW),
            terminal,
        );
        self.release(host, ix);
    }

    /// The final error to a request that may have run.
    pub(super) fn fail(&mut self, host: &mut dyn Host, ix: usize) {
        host.fail(ix);
        self.abandon(host, ix);
    }

    /// Nobody waits for the request any more: frees what can be freed now, the rest when its run ends.
    pub(super) fn abandon(&mut self, host: &mut dyn Host, ix: usize) {
        self.in_flight.set_timer(ix, None);
        let Some(request) = self.in_flight.get(ix) else {
            return;
        };
        request.answered = true;
        match request.stage {
            Stage::Queued | Stage::AwaitingResult => self.release(host, ix),
            Stage::Running => host.cancel_run(ix),
            Stage::AwaitingCall => self.awaiting_call.retain(|&other| other != ix),
            Stage::Calling => {}
        }
    }

    /// Removes a request from all tables; its index is free again.
    pub(super) fn release(&mut self, host: &mut dyn Host, ix: usize) {
        let Some(request) = self.in_flight.remove(ix) else {
            return;
        };
        let queues = &mut self.queues[request.class_index].by_account;
        match request.stage {
            Stage::Queued => queues[request.account].retain(|&other| other != ix),
            Stage::AwaitingCall => self.awaiting_call.retain(|&other| other != ix),
            _ => {}
        }
        host.release(ix);
    }
}
