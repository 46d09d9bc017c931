//! Orders of the decision module, carried out: commands to the agent, calls below, answers.

use crate::counters::count;
use crate::request::{CallState, RunState};
use crate::request_table::RequestTable;
use crate::result_cache::{body_checksum, CachedResult};
use crate::{dispatch, idempotency, note, often};
use rainstand::{Host, Outcome};
use std::time::{Duration, Instant};

impl Host for RequestTable {
    fn run(&mut self, ix: usize) {
        let (agent, counts) = (self.agent.clone(), self.counts.clone());
        let Some(t) = self.tickets.get_mut(ix).and_then(Option::as_mut) else {
            return;
        };
        match t.run {
            RunState::Queued if t.claim.is_some() => idempotency::start(self, ix),
            RunState::Queued => {
                t.run = RunState::Launched;
                count(&counts.launched);
                dispatch::launch(&agent, t, &self.class_names);
            }
            RunState::Paused => {
                t.run = RunState::Launched;
                count(&counts.thawed);
                dispatch::about(&agent, "thaw", t);
            }
            RunState::Launched | RunState::Claiming => {}
        }
    }

    fn cancel_run(&mut self, ix: usize) {
        let (agent, counts, can_stop) = (self.agent.clone(), self.counts.clone(), self.can_pause);
        if self.ticket(ix).is_some_and(|t| t.claim.is_some()) {
            return idempotency::left(self, ix);
        }
        if let Some(t) = self
            .ticket(ix)
            .filter(|t| can_stop && t.run == RunState::Launched)
        {
            t.run = RunState::Paused;
            count(&counts.frozen);
            dispatch::about(&agent, "freeze", t);
        }
    }

    /// From what is kept at once, or from the open ticket once its run is over.
    fn reply_from_cache(&mut self, ix: usize) {
        let Some(t) = self.ticket(ix) else { return };
        let (key, prior, serial) = (t.key.clone(), t.retry_of, t.serial);
        let kept = key
            .and_then(|key| self.result_cache.get(Instant::now(), &key))
            .map(|kept| kept.0);
        if let Some(CachedResult::Result(result)) = kept {
            self.finish(ix, Outcome::Succeeded, &result);
            self.run_ends.push_back((ix, Outcome::Succeeded));
        } else if let Some(prior) = prior.and_then(|prior| self.ticket(prior)) {
            prior.waiters.push((ix, serial));
        } else {
            self.finish(ix, Outcome::Failed, &[]);
            self.run_ends.push_back((ix, Outcome::Failed));
        }
    }

    /// There is room for it: that was looked at before the module heard of the ticket.
    fn cache_result(&mut self, ix: usize, span: Duration) {
        let now = Instant::now();
        if let Some(t) = self.tickets.get_mut(ix).and_then(Option::as_mut) {
            t.caches_result = t.key.as_ref().is_some_and(|key| {
                self.result_cache
                    .open(now, key, now + span, body_checksum(&t.body))
            });
        }
    }

    fn discard_result(&mut self, ix: usize) {
        self.close_key(ix, Outcome::NeverStarted, &[]);
    }

    fn reject(&mut self, ix: usize, come_back: Duration, nowhere_else: bool) {
        if let Some(owed) = self.ticket(ix).and_then(|t| t.reply.take()) {
            owed.reject(&self.counts, come_back, nowhere_else);
        }
    }

    fn fail(&mut self, ix: usize) {
        let Some(t) = self.ticket(ix) else { return };
        if let Some(owed) = t.reply.take() {
            often!(
                "ticket_given_up",
                "ticket given up",
                trace = t.trace.escape_ascii()
            );
            owed.fail(&self.counts);
        }
    }

    fn call_downstream(&mut self, ix: usize, deadline: Duration) {
        let left = deadline.saturating_sub(self.now());
        dispatch::call(self, ix, left);
    }

    fn reply_degraded(&mut self, ix: usize) {
        let (agent, counts) = (self.agent.clone(), self.counts.clone());
        let Some(t) = self.ticket(ix) else { return };
        if let Some((_, _, call)) = &mut t.call {
            count(&counts.forgone);
            if let CallState::InProgress(task) = std::mem::replace(call, CallState::Skipped) {
                task.abort();
            }
            dispatch::call_result(&agent, t);
        }
    }

    /// No field of the protocol carries the value yet.
    fn advertise_load(&mut self, _: f64) {}

    fn set_health(&mut self, good: bool) {
        self.healthy = good;
        note!("checks", "checks", good = good);
    }

    fn close_idle_after(&mut self, span: Duration) {
        self.idle_limit = span;
    }

    fn wake(&mut self, span: Duration) {
        let at = Instant::now() + span;
        self.wake_at = Some(self.wake_at.map_or(at, |before| before.min(at)));
    }

    fn release(&mut self, ix: usize) {
        // One that leaves with its key still open never ran.
        self.close_key(ix, Outcome::NeverStarted, &[]);
        let Some(mut ticket) = self.take(ix) else {
            return;
        };
        if let Some((_, _, CallState::InProgress(task))) = ticket.call.take() {
            task.abort();
        }
        // Guards against a ticket that leaves the books unanswered: an error is better than silence.
        if let Some(owed) = ticket.reply.take() {
            count(&self.counts.unsettled);
            owed.fail(&self.counts);
        }
        for waiter in ticket.waiters {
            self.finish_waiter(waiter, Outcome::Failed, &[]);
        }
    }
}
