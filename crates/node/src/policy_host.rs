//! Orders of the policy, carried out: commands to the agent, calls to the tier below, answers.

use crate::counters::count;
use crate::request::{CallState, RunState, Waiter};
use crate::request_table::{FinishedRun, RequestTable};
use crate::result_cache::{body_checksum, CachedResult};
use crate::{dispatch, idempotency, log_event, log_frequent};
use rainstand::{Host, Outcome, Rejection};
use std::time::{Duration, Instant};

impl Host for RequestTable {
    fn run(&mut self, index: usize) {
        let slot = self.requests.get_mut(index).and_then(Option::as_mut);
        let Some(request) = slot else { return };
        match request.run {
            RunState::Queued if request.claim.is_some() => idempotency::claim(self, index),
            RunState::Queued => {
                request.run = RunState::Launched;
                count(&self.counts.launched);
                dispatch::launch(&self.agent, request, &self.class_names);
            }
            RunState::Paused => {
                request.run = RunState::Launched;
                count(&self.counts.thawed);
                dispatch::command(&self.agent, "thaw", request);
            }
            RunState::Launched | RunState::Claiming => {}
        }
    }

    /// The agent's `freeze` takes the run off the cores; the policy orders no run twice, so it stays frozen. A run under a
    /// group's claim goes on: its result is recorded for retries.
    fn cancel_run(&mut self, index: usize) {
        let slot = self.requests.get_mut(index).and_then(Option::as_mut);
        let Some(request) = slot else { return };
        if request.claim.is_some() {
            idempotency::on_caller_left(self, index);
        } else if self.can_pause && request.run == RunState::Launched {
            request.run = RunState::Paused;
            count(&self.counts.frozen);
            dispatch::command(&self.agent, "freeze", request);
        }
    }

    /// From the cache at once, or from the open request once its run is over.
    fn reply_from_cache(&mut self, index: usize) {
        let Some(request) = self.request_mut(index) else {
            return;
        };
        let (key, prior) = (request.key.clone(), request.retry_of);
        let waiter = Waiter {
            index,
            serial: request.serial,
        };
        let cached = key
            .and_then(|key| self.result_cache.get(Instant::now(), &key))
            .map(|cached| cached.result);
        let outcome = if let Some(CachedResult::Result(result)) = cached {
            self.finish(index, Outcome::Succeeded, &result);
            Outcome::Succeeded
        } else if let Some(prior) = prior.and_then(|prior| self.request_mut(prior)) {
            prior.waiters.push(waiter);
            return;
        } else {
            self.finish(index, Outcome::Failed, &[]);
            Outcome::Failed
        };
        self.run_ends.push_back(FinishedRun { index, outcome });
    }

    /// The cache has capacity for it: that was checked before the policy heard of the request.
    fn cache_result(&mut self, index: usize, span: Duration) {
        let now = Instant::now();
        if let Some(request) = self.requests.get_mut(index).and_then(Option::as_mut) {
            request.caches_result = request.key.as_ref().is_some_and(|key| {
                let checksum = body_checksum(&request.body);
                self.result_cache.open(now, key, now + span, checksum)
            });
        }
    }

    fn discard_result(&mut self, index: usize) {
        self.close_key(index, Outcome::NeverStarted, &[]);
    }

    fn reject(&mut self, index: usize, rejection: Rejection) {
        if let Some(reply) = self.take_reply(index) {
            reply.reject(&self.counts, rejection);
        }
    }

    fn fail(&mut self, index: usize) {
        let Some(request) = self.request_mut(index) else {
            return;
        };
        let trace = request.trace;
        if let Some(reply) = request.reply.take() {
            log_frequent!(
                "request_failed",
                "request failed",
                trace = trace.escape_ascii()
            );
            reply.fail(&self.counts);
        }
    }

    fn call_downstream(&mut self, index: usize, until: Duration) {
        let time_left = until.saturating_sub(self.now());
        dispatch::call(self, index, time_left);
    }

    fn reply_degraded(&mut self, index: usize) {
        let slot = self.requests.get_mut(index).and_then(Option::as_mut);
        let Some(request) = slot else { return };
        if let Some(call) = &mut request.call {
            count(&self.counts.forgone);
            let before = std::mem::replace(&mut call.state, CallState::Skipped);
            if let CallState::InProgress(task) = before {
                task.abort();
            }
            dispatch::call_result(&self.agent, request);
        }
    }

    /// No field of the protocol carries the value yet.
    fn advertise_load(&mut self, _: f64) {}

    fn set_health(&mut self, good: bool) {
        self.healthy = good;
        log_event!("checks", "checks", good = good);
    }

    fn close_idle_after(&mut self, span: Duration) {
        self.idle_limit = span;
    }

    fn wake(&mut self, span: Duration) {
        let at = Instant::now() + span;
        self.wake_at = Some(self.wake_at.map_or(at, |before| before.min(at)));
    }

    fn release(&mut self, index: usize) {
        // One that leaves with its key still open never ran.
        self.close_key(index, Outcome::NeverStarted, &[]);
        let Some(mut request) = self.remove(index) else {
            return;
        };
        if let Some(call) = request.call.take() {
            call.abort();
        }
        // A request must not leave the table unanswered: an error is better than silence.
        if let Some(reply) = request.reply.take() {
            count(&self.counts.unsettled);
            reply.fail(&self.counts);
        }
        for waiter in request.waiters {
            self.finish_waiter(waiter, Outcome::Failed, &[]);
        }
    }
}
