//! Carries out the policy's orders: commands to the agent, downstream calls, answers.

use crate::agent_link::CommandStatus;
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
                count(&self.counts.launched);
                dispatch::launch_first(&self.agent, request, &self.class_names);
            }
            RunState::Paused => {
                request.run = RunState::Launched;
                count(&self.counts.thawed);
                request.thaw_command = Some(dispatch::command(&self.agent, "thaw", request.trace));
                if let Some(call) = &mut request.call {
                    // A run is not told the outcome of its call while it is to stay paused.
                    if call.outcome_command == CommandStatus::Unsent {
                        dispatch::send_call_outcome(&self.agent, request.trace, call);
                    }
                }
            }
            RunState::Launched | RunState::Claiming => {}
        }
    }

    /// The agent's `freeze` takes the run off the cores; the policy orders no run twice, so it stays frozen. A run
    /// with a claim in the group continues: its result is recorded for retries.
    fn cancel_run(&mut self, index: usize) {
        let slot = self.requests.get_mut(index).and_then(Option::as_mut);
        let Some(request) = slot else { return };
        if request.claim.is_some() {
            idempotency::on_caller_left(self, index);
        } else if self.can_pause && request.run == RunState::Launched {
            request.run = RunState::Paused;
            count(&self.counts.frozen);
            dispatch::command(&self.agent, "freeze", request.trace);
        }
    }

    /// Answers from the cache immediately, or from the open request with the same key once its run ends.
    fn reply_from_cache(&mut self, index: usize) {
        let Some(request) = self.request_mut(index) else {
            return;
        };
        let (key, prior_index) = (request.key.clone(), request.retry_of);
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
        } else if let Some(prior) =
            prior_index.and_then(|prior_index| self.request_mut(prior_index))
        {
            prior.waiters.push(waiter);
            return;
        } else {
            self.finish(index, Outcome::Failed, &[]);
            Outcome::Failed
        };
        self.finished_runs.push_back(FinishedRun { index, outcome });
    }

    /// The cache has capacity for the key: that was checked before the request was handed to the policy.
    fn cache_result(&mut self, index: usize, window: Duration) {
        let now = Instant::now();
        if let Some(request) = self.requests.get_mut(index).and_then(Option::as_mut) {
            request.caches_result = request.key.as_ref().is_some_and(|key| {
                let checksum = body_checksum(&request.body);
                self.result_cache
                    .insert_in_progress(now, key, now + window, checksum)
            });
        }
    }

    fn discard_result(&mut self, index: usize) {
        self.complete_key(index, Outcome::NeverStarted, &[]);
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

    fn call_downstream(&mut self, index: usize, deadline: Duration) {
        let time_left = deadline.saturating_sub(self.now());
        dispatch::call(self, index, time_left);
    }

    fn reply_degraded(&mut self, index: usize) {
        let slot = self.requests.get_mut(index).and_then(Option::as_mut);
        let Some(request) = slot else { return };
        if let Some(call) = &mut request.call {
            count(&self.counts.forgone);
            let previous = std::mem::replace(&mut call.state, CallState::Skipped);
            if let CallState::InProgress(task) = previous {
                task.abort();
            }
            dispatch::send_call_outcome(&self.agent, request.trace, call);
        }
    }

    /// Does nothing: the protocol has no field for the value yet.
    fn advertise_load(&mut self, _: f64) {}

    fn set_health(&mut self, healthy: bool) {
        self.healthy = healthy;
        log_event!("checks", "health check answer set", good = healthy);
    }

    fn close_idle_after(&mut self, timeout: Duration) {
        self.idle_timeout = timeout;
    }

    fn wake(&mut self, delay: Duration) {
        let requested = Instant::now() + delay;
        self.wake_at = Some(
            self.wake_at
                .map_or(requested, |earlier| earlier.min(requested)),
        );
    }

    fn release(&mut self, index: usize) {
        // A request that is released while its key is still in progress never ran.
        self.complete_key(index, Outcome::NeverStarted, &[]);
        let Some(mut request) = self.remove(index) else {
            return;
        };
        if let Some(call) = request.call.take() {
            call.abort();
        }
        // A request must not leave the table unanswered: its caller is better served by an error than by a timeout.
        if let Some(reply) = request.reply.take() {
            count(&self.counts.unsettled);
            reply.fail(&self.counts);
        }
        for waiter in request.waiters {
            self.finish_waiter(waiter, Outcome::Failed, &[]);
        }
    }
}
