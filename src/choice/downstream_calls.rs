//! When a downstream call is made, repeated and skipped.

use super::shared_constants::{MEAN_SPAN, MIN_WEIGHT, TICK_INTERVAL};
use super::AdmissionController;
use crate::host::{Host, Outcome, Repeatability};
use crate::in_flight::{DownstreamCall, Stage};
use std::time::Duration;

/// Share of a class's calls that failed or were never made from which it is short of calls.
pub(super) const CALL_SHORTAGE: f64 = 0.1;
/// Usual call times that a request waits for a call it can do without: longer, and all wait together.
pub(super) const MAX_OPTIONAL_CALL_WAIT: f64 = 4.0;
/// Share of a class's usual run still needed after a call.
pub(super) const RUN_SHARE_AFTER_CALL: f64 = 0.6;
/// Attempts of one call, except a required one that was rejected: a fourth would overload the tier below.
pub(super) const MAX_CALL_ATTEMPTS: u32 = 3;

impl AdmissionController {
    /// The latest that a call may take: where a degraded answer has a value, in time for the objective.
    pub(super) fn call_deadline(&mut self, ix: usize) -> Duration {
        let request = self.in_flight.expect(ix);
        let (deadline, class) = (request.deadline, request.class);
        if class.degraded_share == 0.0 {
            return deadline;
        }
        let (objective, class_index) = (
            request.arrived + class.latency_objective,
            request.class_index,
        );
        let rest = self
            .usual_run(class_index, None)
            .mul_f64(RUN_SHARE_AFTER_CALL);
        objective.saturating_sub(rest).min(deadline)
    }

    /// Guards against a rate that feeds on itself: a call made with too little time left only fails.
    pub(super) fn await_call(&mut self, ix: usize) {
        let usual = Duration::from_secs_f64(self.downstream.usual_time.read().unwrap_or(0.0));
        let mut start_by = self.call_deadline(ix).saturating_sub(usual);
        let request = self.in_flight.expect(ix);
        if request.class.is_degradable() {
            let wait = usual.mul_f64(MAX_OPTIONAL_CALL_WAIT).max(TICK_INTERVAL);
            start_by = start_by.min(request.call_requested + wait);
        }
        self.in_flight.set_stage(ix, Stage::AwaitingCall);
        self.in_flight.set_timer(ix, Some(start_by));
        self.awaiting_call.push_back(ix);
    }

    /// Makes the calls that the rate and the share allow.
    pub(super) fn make_calls(&mut self, now: Duration, host: &mut dyn Host) {
        while let Some(limit) = self.downstream.time_limit(now) {
            // Guards against an overloaded tier: first where most value is lost without, then the newest.
            let values = self
                .awaiting_call
                .iter()
                .map(|&ix| self.in_flight.expect(ix).class.call_value());
            let best = values.enumerate().max_by(|a, b| a.1.total_cmp(&b.1));
            // Guards requests that lose most without their call: while they are short, others go without.
            let more_valuable_is_short = |value| {
                let classes = self.classes.iter().zip(&self.queues);
                let mut more_valuable = classes.filter(|(class, _)| class.call_value() > value);
                more_valuable.any(|(_, q)| {
                    q.call_loss.known(now, MEAN_SPAN, MIN_WEIGHT) > Some(CALL_SHORTAGE)
                })
            };
            let best =
                best.filter(|b| self.downstream.is_uncontended() || !more_valuable_is_short(b.1));
            let Some(ix) = best.and_then(|(at, _)| self.awaiting_call.remove(at)) else {
                return;
            };
            let deadline = self
                .call_deadline(ix)
                .max(now + TICK_INTERVAL)
                .min(now.saturating_add(limit));
            self.in_flight.set_stage(ix, Stage::Calling);
            let request = self.in_flight.expect(ix);
            let call = DownstreamCall {
                started: now,
                deadline: deadline.min(request.deadline),
            };
            request.call = call;
            request.call_attempts += 1;
            request.after_call = Some(Box::new(Self::end_call));
            self.in_flight.set_timer_to_deadline(ix);
            self.downstream.on_call_started(call);
            host.call_downstream(ix, call.deadline);
        }
    }

    pub(super) fn end_call(
        &mut self,
        now: Duration,
        host: &mut dyn Host,
        ix: usize,
        outcome: Outcome,
    ) {
        let deadline = self.call_deadline(ix);
        let request = self.in_flight.expect(ix);
        let succeeded = outcome == Outcome::Succeeded;
        self.downstream.on_call_ended(now, request.call, outcome);
        self.queues[request.class_index].call_loss.add(
            now,
            if succeeded { 0.0 } else { 1.0 },
            MEAN_SPAN,
        );
        if succeeded {
            request.call_wait += now.saturating_sub(request.call_requested);
            return self.in_flight.set_stage(ix, Stage::Running);
        }
        // Guards against a second effect downstream: only a call that certainly did not run is repeated.
        let (never_ran, degradable) = (outcome.never_ran(), request.class.is_degradable());
        let repeatable = never_ran || request.class.repeatability == Repeatability::Idempotent;
        let attempts_left = request.call_attempts < MAX_CALL_ATTEMPTS || (never_ran && !degradable);
        let retry = repeatable && now < deadline && attempts_left;
        self.in_flight.set_stage(ix, Stage::AwaitingCall);
        match (self.in_flight.expect(ix).answered, retry, degradable) {
            (true, ..) => {}
            (_, true, _) => self.await_call(ix),
            (.., true) => self.skip_call(now, host, ix),
            _ => self.fail(host, ix),
        }
    }

    /// Lets a run go on without its call.
    pub(super) fn skip_call(&mut self, now: Duration, host: &mut dyn Host, ix: usize) {
        self.awaiting_call.retain(|&other| other != ix);
        self.in_flight.set_stage(ix, Stage::Running);
        let request = self.in_flight.expect(ix);
        request.call_wait += now.saturating_sub(request.call_requested);
        self.in_flight.set_timer_to_deadline(ix);
        host.reply_degraded(ix);
    }
}
