//! Which downstream call is made next, and what follows a failed one.
//!
//! **Waiting.** A call that [`downstream_limit`](super::downstream_limit) does not admit yet waits until a usual call
//! no longer fits before its deadline: a later call would only fail. A request whose call is optional waits at most
//! [`MAX_OPTIONAL_CALL_WAIT`] usual call times, then continues without it.
//!
//! **Order.** The call whose loss costs the most value is made first; among equal ones the newest. While the node's
//! share of the tier is contended, a call is held back as long as a class that would lose more value is short of
//! calls ([`CALL_SHORTAGE`]).
//!
//! **Deadline.** The deadline of a call is that of its request. Where an answer without the call has a value, it is
//! early enough to give that answer within the latency objective. It never exceeds the time limit of the limiter.
//!
//! **Retries.** A call is retried only if it certainly did not run, or if its request is idempotent, so that it has
//! no second effect downstream. There are at most [`MAX_CALL_ATTEMPTS`] attempts, except for a required call that did
//! not run. Without a retry, the request continues without its call if such an answer has a value, else it fails.
//!
//! **Unconfirmed replies.** If it is not known whether a run has received the reply to its call, it is told to continue
//! without that call where a degraded answer has a value: this has no effect on a run that has received it.
//!
//! Values are those of the classes in the settings; times are on the controller's clock. Not in KIP-124.

use super::scheduling::ClassQueue;
use super::shared_constants::{MEAN_SPAN, MIN_WEIGHT, TICK_INTERVAL};
use super::AdmissionController;
use crate::host::{Host, Outcome, Repeatability};
use crate::in_flight::{DownstreamCall, Request, Stage};
use std::time::Duration;

/// Share of failed or unmade calls above which a class is short of calls.
const CALL_SHORTAGE: f64 = 0.1;
/// Maximum wait for an optional call, in usual call times: every waiting request will need the cores again.
const MAX_OPTIONAL_CALL_WAIT: f64 = 4.0;
/// Share of a class's usual run time that is still needed after a call.
const RUN_SHARE_AFTER_CALL: f64 = 0.6;
/// Maximum attempts of one call, except of a required one that did not run.
const MAX_CALL_ATTEMPTS: u32 = 3;

/// A waiting call.
struct WaitingCall {
    /// Position in the queue of waiting calls.
    position: usize,
    /// The value that is lost without the call.
    value: f64,
}

/// What follows a failed call.
enum AfterFailedCall {
    /// Nothing: the request is already answered.
    Nothing,
    /// The call is retried.
    Retry,
    /// The run continues without the call.
    Skip,
    /// The request fails.
    Fail,
}

fn after_failed_call(
    now: Duration,
    request: &Request,
    outcome: Outcome,
    deadline: Duration,
) -> AfterFailedCall {
    if request.answered {
        return AfterFailedCall::Nothing;
    }
    let never_ran = outcome.never_ran();
    let degradable = request.class.is_degradable();
    let repeatable = never_ran || request.class.repeatability == Repeatability::Idempotent;
    let attempts_left = request.call_attempts < MAX_CALL_ATTEMPTS || (never_ran && !degradable);
    if repeatable && now < deadline && attempts_left {
        AfterFailedCall::Retry
    } else if degradable {
        AfterFailedCall::Skip
    } else {
        AfterFailedCall::Fail
    }
}

impl ClassQueue {
    /// Whether the share of the class's recent calls that failed or were not made is above [`CALL_SHORTAGE`].
    fn is_short_of_calls(&self, now: Duration) -> bool {
        self.call_loss.known(now, MEAN_SPAN, MIN_WEIGHT) > Some(CALL_SHORTAGE)
    }
}

impl AdmissionController {
    /// The deadline of a request's call, without the time limit of the limiter.
    fn call_deadline(&mut self, index: usize) -> Duration {
        let request = self.in_flight.expect(index);
        if request.class.degraded_share == 0.0 {
            return request.deadline;
        }
        let objective = request.arrived + request.class.latency_objective;
        let usual_run = self.queues[request.class_index].usual_run(None);
        let run_after_call = usual_run.mul_f64(RUN_SHARE_AFTER_CALL);
        objective
            .saturating_sub(run_after_call)
            .min(request.deadline)
    }

    /// Puts a request into the queue of waiting calls.
    pub(super) fn await_call(&mut self, index: usize) {
        let usual = self.downstream.usual_call();
        let mut start_by = self.call_deadline(index).saturating_sub(usual);
        let request = self.in_flight.expect(index);
        if request.class.is_degradable() {
            let wait = usual.mul_f64(MAX_OPTIONAL_CALL_WAIT).max(TICK_INTERVAL);
            start_by = start_by.min(request.call_requested + wait);
        }
        self.in_flight.set_stage(index, Stage::AwaitingCall);
        self.in_flight.set_timer(index, start_by);
        self.awaiting_call.push_back(index);
    }

    /// Makes the waiting calls that the rate and the share allow.
    pub(super) fn make_calls(&mut self, now: Duration, host: &mut dyn Host) {
        while let Some(limit) = self.downstream.time_limit(now) {
            let next = self.next_call(now);
            let index = next.and_then(|call| self.awaiting_call.remove(call.position));
            let Some(index) = index else { return };
            self.start_call(now, host, index, limit);
        }
    }

    /// The call to make next, unless it is held back.
    fn next_call(&mut self, now: Duration) -> Option<WaitingCall> {
        let waiting = self.awaiting_call.iter().enumerate();
        let calls = waiting.map(|(position, &index)| WaitingCall {
            position,
            value: self.in_flight.expect(index).class.call_value(),
        });
        let best = calls.max_by(|a, b| a.value.total_cmp(&b.value))?;
        let allowed =
            self.downstream.is_uncontended() || !self.more_valuable_class_is_short(now, best.value);
        allowed.then_some(best)
    }

    /// Whether a class that loses more than `value` without its calls is short of calls.
    fn more_valuable_class_is_short(&self, now: Duration, value: f64) -> bool {
        let classes = self.classes.iter().zip(&self.queues);
        let mut more_valuable = classes.filter(|(class, _)| class.call_value() > value);
        more_valuable.any(|(_, queue)| queue.is_short_of_calls(now))
    }

    fn start_call(&mut self, now: Duration, host: &mut dyn Host, index: usize, limit: Duration) {
        let deadline = self
            .call_deadline(index)
            .max(now + TICK_INTERVAL)
            .min(now.saturating_add(limit));
        self.in_flight.set_stage(index, Stage::Calling);
        let request = self.in_flight.expect(index);
        let call = DownstreamCall {
            started: now,
            deadline: deadline.min(request.deadline),
        };
        request.call = call;
        request.call_attempts += 1;
        self.in_flight.set_timer_to_deadline(index);
        self.downstream.on_call_started(call);
        host.call_downstream(index, call.deadline);
    }

    /// Handles the end of a call attempt.
    pub(super) fn end_call(
        &mut self,
        now: Duration,
        host: &mut dyn Host,
        index: usize,
        outcome: Outcome,
    ) {
        let deadline = self.call_deadline(index);
        let request = self.in_flight.expect(index);
        let succeeded = outcome == Outcome::Succeeded;
        self.downstream.on_call_ended(now, request.call, outcome);
        self.queues[request.class_index].record_call(now, succeeded);
        if succeeded {
            request.call_wait += now.saturating_sub(request.call_requested);
            return self.in_flight.set_stage(index, Stage::Running);
        }
        let next = after_failed_call(now, request, outcome, deadline);
        self.in_flight.set_stage(index, Stage::AwaitingCall);
        match next {
            AfterFailedCall::Nothing => {}
            AfterFailedCall::Retry => self.await_call(index),
            AfterFailedCall::Skip => self.skip_call(now, host, index),
            AfterFailedCall::Fail => self.fail(host, index),
        }
    }

    /// Lets a run that may still wait for the reply to its call continue without it, if such an answer has a value.
    /// Otherwise the request waits for the end of its run or for its deadline: a run that received the reply ends as
    /// usual, and one that did not cannot answer.
    pub(super) fn settle_unconfirmed_reply(&mut self, host: &mut dyn Host, index: usize) {
        let Some(request) = self.in_flight.get(index) else {
            return;
        };
        let is_needed = request.stage == Stage::Running && !request.answered;
        if is_needed && request.class.is_degradable() {
            host.reply_degraded(index);
        }
    }

    /// Continues a run without its call.
    pub(super) fn skip_call(&mut self, now: Duration, host: &mut dyn Host, index: usize) {
        self.awaiting_call.retain(|&other| other != index);
        self.in_flight.set_stage(index, Stage::Running);
        let request = self.in_flight.expect(index);
        request.call_wait += now.saturating_sub(request.call_requested);
        self.in_flight.set_timer_to_deadline(index);
        host.reply_degraded(index);
    }
}
