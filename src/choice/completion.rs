//! How a request that is not rejected ends without a result, and when it is removed.
//!
//! A request that may have run is never rejected, because a rejection promises that nothing ran: it fails with a
//! final error. Once it is answered, or its caller has disconnected, its result is not needed: its run is cancelled
//! where runs can be cancelled. A request that never ran is removed immediately, any other when its run ends. Not in
//! KIP-124.

use super::AdmissionController;
use crate::host::Host;
use crate::in_flight::Stage;

impl AdmissionController {
    /// Answers a request that may have run with a final error.
    pub(super) fn fail(&mut self, host: &mut dyn Host, index: usize) {
        host.fail(index);
        self.abandon(host, index);
    }

    /// Frees what can be freed of a request whose result is not needed any more; the rest is freed when its run ends.
    pub(super) fn abandon(&mut self, host: &mut dyn Host, index: usize) {
        self.in_flight.clear_timer(index);
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

    /// Removes a request from all tables and frees its index.
    pub(super) fn release(&mut self, host: &mut dyn Host, index: usize) {
        let Some(request) = self.in_flight.remove(index) else {
            return;
        };
        match request.stage {
            Stage::Queued => self.queues[request.class_index].remove(request.account, index),
            Stage::AwaitingCall => self.awaiting_call.retain(|&other| other != index),
            Stage::AwaitingResult | Stage::Running | Stage::Calling => {}
        }
        host.release(index);
    }
}
