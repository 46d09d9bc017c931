//! Orders of the decision module, carried out: commands to the agent, calls below, answers.

use crate::counters::count;
use crate::request::{CallState, RunState};
use crate::request_table::RequestTable;
use crate::result_cache::{body_checksum, CachedResult};
use crate::{dispatch, idempotency, log_event, log_frequent};
use rainstand::{Host, Outcome};
use std::time::{Duration, Instant};

impl Host for RequestTable {
    fn run(&mut self, index: usize) {
        let (agent, counts) = (self.agent.clone(), self.counts.clone());
        let Some(request) = self.requests.get_mut(index).and_then(Option::as_mut) else {
            return;
        };
        match request.run {
            RunState::Queued if request.claim.is_some() => idempotency::start(self, index),
            RunState::Queued => {
                request.run = RunState::Launched;
                count(&counts.launched);
                dispatch::launch(&agent, request, &self.class_names);
            }
            RunState::Paused => {
                request.run = RunState::Launched;
                count(&counts.thawed);
                dispatch::about(&agent, "thaw", request);
            }
            RunState::Launched | RunState::Claiming => {}
        }
    }

    fn cancel_run(&mut self, index: usize) {
        let (agent, counts, can_stop) = (self.agent.clone(), self.counts.clone(), self.can_pause);
        if self
            .request_mut(index)
            .is_some_and(|request| request.claim.is_some())
        {
            return idempotency::left(self, index);
        }
        if let Some(request) = self
            .request_mut(index)
            .filter(|request| can_stop && request.run == RunState::Launched)
        {
            request.run = RunState::Paused;
            count(&counts.frozen);
            dispatch::about(&agent, "freeze", request);
        }
    }

    /// From what is kept at once, or from the open ticket once its run is over.
    fn reply_from_cache(&mut self, index: usize) {
        let Some(request) = self.request_mut(index) else {
            return;
        };
        let (key, prior, serial) = (request.key.clone(), request.retry_of, request.serial);
        let kept = key
            .and_then(|key| self.result_cache.get(Instant::now(), &key))
            .map(|kept| kept.0);
        if let Some(CachedResult::Result(result)) = kept {
            self.finish(index, Outcome::Succeeded, &result);
            self.run_ends.push_back((index, Outcome::Succeeded));
        } else if let Some(prior) = prior.and_then(|prior| self.request_mut(prior)) {
            prior.waiters.push((index, serial));
        } else {
            self.finish(index, Outcome::Failed, &[]);
            self.run_ends.push_back((index, Outcome::Failed));
        }
    }

    /// There is room for it: that was looked at before the module heard of the ticket.
    fn cache_result(&mut self, index: usize, span: Duration) {
        let now = Instant::now();
        if let Some(request) = self.requests.get_mut(index).and_then(Option::as_mut) {
            request.caches_result = request.key.as_ref().is_some_and(|key| {
                self.result_cache
                    .open(now, key, now + span, body_checksum(&request.body))
            });
        }
    }

    fn discard_result(&mut self, index: usize) {
        self.close_key(index, Outcome::NeverStarted, &[]);
    }

    fn reject(&mut self, index: usize, come_back: Duration, nowhere_else: bool) {
        if let Some(owed) = self
            .request_mut(index)
            .and_then(|request| request.reply.take())
        {
            owed.reject(&self.counts, come_back, nowhere_else);
        }
    }

    fn fail(&mut self, index: usize) {
        let Some(request) = self.request_mut(index) else {
            return;
        };
        if let Some(owed) = request.reply.take() {
            log_frequent!(
                "ticket_given_up",
                "ticket given up",
                trace = request.trace.escape_ascii()
            );
            owed.fail(&self.counts);
        }
    }

    fn call_downstream(&mut self, index: usize, until: Duration) {
        let left = until.saturating_sub(self.now());
        dispatch::call(self, index, left);
    }

    fn reply_degraded(&mut self, index: usize) {
        let (agent, counts) = (self.agent.clone(), self.counts.clone());
        let Some(request) = self.request_mut(index) else {
            return;
        };
        if let Some((_, _, call)) = &mut request.call {
            count(&counts.forgone);
            if let CallState::InProgress(task) = std::mem::replace(call, CallState::Skipped) {
                task.abort();
            }
            dispatch::call_result(&agent, request);
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
        let Some(mut request) = self.take(index) else {
            return;
        };
        if let Some((_, _, CallState::InProgress(task))) = request.call.take() {
            task.abort();
        }
        // Guards against a ticket that leaves the books unanswered: an error is better than silence.
        if let Some(owed) = request.reply.take() {
            count(&self.counts.unsettled);
            owed.fail(&self.counts);
        }
        for waiter in request.waiters {
            self.finish_waiter(waiter, Outcome::Failed, &[]);
        }
    }
}
