//! Orders of the decision module, carried out: commands to the agent, calls below, answers.

use crate::book::{count, sum_of, Call, Desk, Kept, Run};
use crate::{keyed, note, often, send};
use rainstand::{Host, Outcome};
use std::time::{Duration, Instant};

impl Host for Desk {
    fn run(&mut self, ix: usize) {
        let (agent, counts) = (self.agent.clone(), self.counts.clone());
        let Some(t) = self.tickets.get_mut(ix).and_then(Option::as_mut) else {
            return;
        };
        match t.run {
            Run::Held if t.keyed.is_some() => keyed::start(self, ix),
            Run::Held => {
                t.run = Run::Launched;
                count(&counts.launched);
                send::launch(&agent, t, &self.type_names);
            }
            Run::Frozen => {
                t.run = Run::Launched;
                count(&counts.thawed);
                send::about(&agent, "thaw", t);
            }
            Run::Launched | Run::Asking => {}
        }
    }

    fn cancel_run(&mut self, ix: usize) {
        let (agent, counts, can_stop) = (self.agent.clone(), self.counts.clone(), self.can_stop);
        if self.ticket(ix).is_some_and(|t| t.keyed.is_some()) {
            return keyed::left(self, ix);
        }
        if let Some(t) = self
            .ticket(ix)
            .filter(|t| can_stop && t.run == Run::Launched)
        {
            t.run = Run::Frozen;
            count(&counts.frozen);
            send::about(&agent, "freeze", t);
        }
    }

    /// From what is kept at once, or from the open ticket once its run is over.
    fn reply_from_cache(&mut self, ix: usize) {
        let Some(t) = self.ticket(ix) else { return };
        let (key, prior, serial) = (t.key.clone(), t.prior, t.serial);
        let kept = key
            .and_then(|key| self.keys.get(Instant::now(), &key))
            .map(|kept| kept.0);
        if let Some(Kept::Result(result)) = kept {
            self.finish(ix, Outcome::Succeeded, &result);
            self.ends.push_back((ix, Outcome::Succeeded));
        } else if let Some(prior) = prior.and_then(|prior| self.ticket(prior)) {
            prior.waiters.push((ix, serial));
        } else {
            self.finish(ix, Outcome::Failed, &[]);
            self.ends.push_back((ix, Outcome::Failed));
        }
    }

    /// There is room for it: that was looked at before the module heard of the ticket.
    fn keep(&mut self, ix: usize, span: Duration) {
        let now = Instant::now();
        if let Some(t) = self.tickets.get_mut(ix).and_then(Option::as_mut) {
            t.keeps = t
                .key
                .as_ref()
                .is_some_and(|key| self.keys.open(now, key, now + span, sum_of(&t.body)));
        }
    }

    fn forget(&mut self, ix: usize) {
        self.close_key(ix, Outcome::NeverStarted, &[]);
    }

    fn reject(&mut self, ix: usize, come_back: Duration, nowhere_else: bool) {
        if let Some(owed) = self.ticket(ix).and_then(|t| t.owed.take()) {
            owed.dismiss(&self.counts, come_back, nowhere_else);
        }
    }

    fn give_up(&mut self, ix: usize) {
        let Some(t) = self.ticket(ix) else { return };
        if let Some(owed) = t.owed.take() {
            often!(
                "ticket_given_up",
                "ticket given up",
                trace = t.trace.escape_ascii()
            );
            owed.give_up(&self.counts);
        }
    }

    fn call(&mut self, ix: usize, until: Duration) {
        let left = until.saturating_sub(self.now());
        send::call(self, ix, left);
    }

    fn reply_degraded(&mut self, ix: usize) {
        let (agent, counts) = (self.agent.clone(), self.counts.clone());
        let Some(t) = self.ticket(ix) else { return };
        if let Some((_, _, call)) = &mut t.call {
            count(&counts.forgone);
            if let Call::Out(task) = std::mem::replace(call, Call::Forgone) {
                task.abort();
            }
            send::call_result(&agent, t);
        }
    }

    /// No field of the protocol carries the value yet.
    fn advertise_load(&mut self, _: f64) {}

    fn set_health(&mut self, good: bool) {
        self.good = good;
        note!("checks", "checks", good = good);
    }

    fn close_idle_after(&mut self, span: Duration) {
        self.stay = span;
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
        if let Some((_, _, Call::Out(task))) = ticket.call.take() {
            task.abort();
        }
        // Guards against a ticket that leaves the books unanswered: an error is better than silence.
        if let Some(owed) = ticket.owed.take() {
            count(&self.counts.unsettled);
            owed.give_up(&self.counts);
        }
        for waiter in ticket.waiters {
            self.finish_waiter(waiter, Outcome::Failed, &[]);
        }
    }
}
