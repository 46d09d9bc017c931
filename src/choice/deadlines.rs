//! The latest start and the deadline of a request, and what happens when they pass.
//!
//! The **deadline** of an answer is the caller's timeout if there is one, else the deadline of the request's class,
//! counted from when the request reached the machine; during a shutdown it is no later than the shutdown allows. It
//! is brought forward by [`TIME_MARGIN`], so that the answer arrives in time.
//!
//! The **latest start** is half of the latency objective after the request reached the machine, and early enough that
//! [`RUN_TIME_HEADROOM`] times the usual run time fits before the objective and before the deadline. It is checked
//! - on arrival, only if the cores are busy: a request that is read later is rejected
//!   ([`admission`](super::admission)) with the longest retry-after;
//! - in the queue, regardless of the cores gauge: a request that has not been started is rejected at the next tick,
//!   with the time the queue takes to clear as retry-after.
//!
//! Each request in flight has one timer:
//!
//! | stage | the timer is set to | on expiry the request |
//! | --- | --- | --- |
//! | queued | the latest start | is rejected |
//! | awaiting its call | the latest time at which the call is worth making | continues without the call, or fails |
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

/// Share of the latency objective that a request may wait to be read and in the queue.
const MAX_WAIT_SHARE: f64 = 0.5;
/// Multiple of the usual run time that must be left at a start: many runs take far longer than the mean.
const RUN_TIME_HEADROOM: f64 = 1.5;

/// The latest time for the answer to a request that reached the machine at `arrived`.
pub(super) fn answer_deadline(
    now: Duration,
    arrived: Duration,
    arrival: &Arrival,
    class: &RequestClass,
    shutdown: Option<Shutdown>,
) -> Duration {
    let requested = match arrival.caller_timeout {
        Some(timeout) => now + timeout,
        None => (arrived + class.deadline).max(now),
    };
    let latest = shutdown.map_or(requested, |shutdown| requested.min(shutdown.deadline));
    latest.saturating_sub(TIME_MARGIN)
}

impl Request {
    /// The latest time for the start of the run.
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
    /// Rejects, fails or continues every request whose timer has expired, according to its stage.
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
