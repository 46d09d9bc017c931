//! By when a request is started and answered, and what happens when it is not.
//!
//! The **deadline** of an answer: what its caller allows, else its class's deadline from when it reached the
//! machine; under a shutdown no later than that allows; [`TIME_MARGIN`] ahead in any case, so that the answer still
//! arrives.
//!
//! The **latest start**: half of the latency objective after it reached the machine, and early enough that
//! [`RUN_TIME_HEADROOM`] usual runs fit before the objective and before the deadline. It acts twice:
//! - on arrival, on busy cores only: a request that is past it when it is read is rejected
//!   ([`admission`](super::admission)), with the longest retry-after;
//! - in the queue, whatever the cores gauge reads: a request that is past it is rejected at the next tick, with
//!   the time that the queue takes as retry-after.
//!
//! Each request in flight has one timer. What its expiry does:
//!
//! | stage | the timer is set to | on expiry |
//! | --- | --- | --- |
//! | queued | the latest start | rejected |
//! | awaiting its call | the last moment at which the call is worth making | goes on without the call, or fails |
//! | any other | the deadline | fails |
//!
//! All times are on the controller's clock. Not in KIP-124.

use super::drain::Shutdown;
use super::rejection::RejectReason;
use super::shared_constants::TIME_MARGIN;
use super::AdmissionController;
use crate::host::{Arrival, Host, RequestClass};
use crate::in_flight::{Request, Stage};
use std::time::Duration;

/// Share of the latency objective that a request may wait, unread or queued.
const MAX_WAIT_SHARE: f64 = 0.5;
/// Usual runs for which a start must leave time: runs spread far above their mean.
const RUN_TIME_HEADROOM: f64 = 1.5;

/// The last moment for the answer to a request that reached the machine at `arrived`.
pub(super) fn answer_deadline(
    now: Duration,
    arrived: Duration,
    arrival: &Arrival,
    class: &RequestClass,
    shutdown: Option<Shutdown>,
) -> Duration {
    let wanted = match arrival.caller_timeout {
        Some(timeout) => now + timeout,
        None => (arrived + class.deadline).max(now),
    };
    let latest = shutdown.map_or(wanted, |shutdown| wanted.min(shutdown.deadline));
    latest.saturating_sub(TIME_MARGIN)
}

impl Request {
    /// The last moment for the start of its run.
    pub(super) fn start_by(&self, usual_run: Duration) -> Duration {
        let needed = usual_run.as_secs_f64() * RUN_TIME_HEADROOM;
        let needed = Duration::try_from_secs_f64(needed).unwrap_or(Duration::MAX);
        let objective = self.class.latency_objective;
        let answer_by = self.deadline.min(self.arrived + objective);
        let wait_until = self.arrived + objective.mul_f64(MAX_WAIT_SHARE);
        answer_by.saturating_sub(needed).min(wait_until)
    }
}

impl AdmissionController {
    /// Answers or moves on every request whose timer has expired.
    pub(super) fn expire_deadlines(&mut self, now: Duration, host: &mut dyn Host) {
        while let Some(index) = self.in_flight.next_expired(now) {
            let request = self.in_flight.expect(index);
            let in_time = now < request.deadline;
            let (class_index, degradable) = (request.class_index, request.class.is_degradable());
            match request.stage {
                Stage::Queued => self.reject(now, host, index, RejectReason::QueueTimeout),
                Stage::AwaitingCall => {
                    self.queues[class_index].record_call(now, false);
                    if in_time && degradable {
                        self.skip_call(now, host, index);
                    } else {
                        self.fail(host, index);
                    }
                }
                Stage::Calling if in_time => self.in_flight.set_timer_to_deadline(index),
                Stage::Calling | Stage::AwaitingResult | Stage::Running => self.fail(host, index),
            }
        }
    }
}
