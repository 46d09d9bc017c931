//! By when a request is started and answered.

use super::shared_constants::MEAN_SPAN;
use super::AdmissionController;
use crate::host::Host;
use crate::in_flight::Stage;
use std::time::Duration;

/// Share of the latency objective that a request may wait, unread or queued.
pub(super) const MAX_WAIT_SHARE: f64 = 0.5;
/// Usual runs left before the objective for a start: runs spread far above their mean, more on a slow node.
pub(super) const RUN_TIME_HEADROOM: f64 = 1.5;

impl AdmissionController {
    /// Answers or moves on every request whose timer has expired.
    pub(super) fn expire_deadlines(&mut self, now: Duration, host: &mut dyn Host) {
        while let Some(ix) = self.in_flight.next_expired(now) {
            let request = self.in_flight.expect(ix);
            let (stage, in_time) = (request.stage, now < request.deadline);
            let degradable = request.class.is_degradable();
            if stage == Stage::AwaitingCall {
                self.queues[request.class_index]
                    .call_loss
                    .add(now, 1.0, MEAN_SPAN);
            }
            match stage {
                Stage::Queued => self.reject(now, host, ix, self.queue_wait()),
                Stage::AwaitingCall if in_time && degradable => self.skip_call(now, host, ix),
                Stage::Calling if in_time => self.in_flight.set_timer_to_deadline(ix),
                _ => self.fail(host, ix),
            }
        }
    }
}
