//! The tickets in hand: their stages, their alarms and the memory they take.

use crate::host::{Arrival, Host, Outcome, RequestClass};
use std::collections::BTreeSet;
use std::time::Duration;

/// What a step leaves behind: what to do with its result.
pub type Next<N> = Box<dyn FnOnce(&mut N, Duration, &mut dyn Host, usize, Outcome)>;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// In a line, not started.
    Queued,
    /// Waits on the result of the ticket that it repeats.
    AwaitingResult,
    /// On the cores, or at a disk wait nobody tells of.
    Running,
    /// At a call that is not made yet.
    AwaitingCall,
    /// At a call that is out.
    Calling,
}

pub struct Request<N> {
    pub traffic: usize,
    /// Its type as it was when the ticket came: what was promised then holds to its end.
    pub kind: RequestClass,
    pub account: usize,
    pub arrived: Duration,
    /// The last moment for its answer.
    pub due: Duration,
    pub kb: f64,
    pub hint: Option<Duration>,
    pub again: bool,
    pub stage: Stage,
    pub ran: bool,
    pub answered: bool,
    pub kept: Option<Duration>,
    pub call_since: Duration,
    pub call_waits: Duration,
    pub call_tries: u32,
    /// When its call was made, and the time at which that is given up.
    pub call: [Duration; 2],
    pub after_run: Option<Next<N>>,
    pub after_call: Option<Next<N>>,
    alarm: Option<Duration>,
}

impl<N> Request<N> {
    pub fn new(a: &Arrival, kind: RequestClass, account: usize, times: [Duration; 2]) -> Self {
        let [arrived, due] = times;
        Self {
            traffic: a.traffic,
            kind,
            account,
            arrived,
            due,
            kb: a.held_kb,
            hint: a.hint,
            again: a.again,
            stage: Stage::Queued,
            ran: false,
            answered: false,
            kept: None,
            call_since: arrived,
            call_waits: Duration::ZERO,
            call_tries: 0,
            call: [arrived; 2],
            after_run: None,
            after_call: None,
            alarm: None,
        }
    }
}

/// All tickets in hand, by their small indices.
pub struct InFlightRequests<N> {
    tickets: Vec<Option<Request<N>>>,
    alarms: BTreeSet<(Duration, usize)>,
    entries: BTreeSet<(Duration, usize)>,
    counts: [usize; 5],
    used_kb: f64,
    memory_kb: f64,
    run_factor: f64,
    entry_kb: f64,
}

impl<N> InFlightRequests<N> {
    /// The memory all share, what running takes over holding, what a kept entry takes.
    pub fn new(memory_kb: f64, run_factor: f64, entry_kb: f64) -> Self {
        let (tickets, alarms, entries) = (Vec::new(), BTreeSet::new(), BTreeSet::new());
        Self { tickets, alarms, entries, counts: [0; 5], used_kb: 0.0, memory_kb, run_factor, entry_kb }
    }

    pub fn insert(&mut self, ix: usize, ticket: Request<N>) {
        if self.tickets.len() <= ix {
            self.tickets.resize_with(ix + 1, || None);
        }
        self.used_kb += ticket.kb;
        self.counts[ticket.stage as usize] += 1;
        self.tickets[ix] = Some(ticket);
        self.set_timer_to_deadline(ix);
    }

    pub fn get(&mut self, ix: usize) -> Option<&mut Request<N>> {
        self.tickets.get_mut(ix).and_then(Option::as_mut)
    }

    /// A ticket known to be in hand.
    pub fn expect(&mut self, ix: usize) -> &mut Request<N> {
        self.get(ix).expect("a ticket in hand")
    }

    pub fn count(&self, stage: Stage) -> usize {
        self.counts[stage as usize]
    }

    /// Whether at least one request is in a stage.
    pub fn any(&self, stage: Stage) -> bool {
        self.count(stage) > 0
    }

    pub fn set_stage(&mut self, ix: usize, stage: Stage) {
        let factor = self.run_factor;
        let t = self.expect(ix);
        let (was, kb) = (t.stage, t.kb);
        t.stage = stage;
        if stage == Stage::Running && !t.ran {
            t.ran = true;
            self.used_kb += kb * (factor - 1.0);
        }
        self.counts[was as usize] -= 1;
        self.counts[stage as usize] += 1;
    }

    pub fn remove(&mut self, ix: usize) -> Option<Request<N>> {
        self.set_timer(ix, None);
        let ticket = self.tickets.get_mut(ix)?.take()?;
        self.counts[ticket.stage as usize] -= 1;
        self.used_kb -= ticket.kb * if ticket.ran { self.run_factor } else { 1.0 };
        Some(ticket)
    }

    /// One alarm a ticket; a new one replaces it.
    pub fn set_timer(&mut self, ix: usize, at: Option<Duration>) {
        let Some(ticket) = self.get(ix) else { return };
        let before = std::mem::replace(&mut ticket.alarm, at);
        if let Some(before) = before {
            self.alarms.remove(&(before, ix));
        }
        if let Some(at) = at {
            self.alarms.insert((at, ix));
        }
    }

    pub fn set_timer_to_deadline(&mut self, ix: usize) {
        let due = self.get(ix).map(|t| t.due);
        self.set_timer(ix, due);
    }

    /// What calls that are out may still hold below, but for what lingers.
    pub fn reserved(&self) -> Duration {
        let calling = self.tickets.iter().flatten().filter(|t| t.stage == Stage::Calling);
        calling.map(|t| t.call[1].saturating_sub(t.call[0])).sum()
    }

    /// No unanswered ticket is due, nor its alarm rings, later than this.
    pub fn cap_deadlines(&mut self, due: Duration) {
        for ix in 0..self.tickets.len() {
            let Some(t) = self.get(ix).filter(|t| !t.answered) else { continue };
            t.due = t.due.min(due);
            if t.alarm.is_none_or(|at| at > due) {
                self.set_timer(ix, Some(due));
            }
        }
    }

    /// The next ticket whose alarm is due; the alarm is spent.
    pub fn next_expired(&mut self, now: Duration) -> Option<usize> {
        let ix = self.alarms.first().filter(|alarm| alarm.0 <= now)?.1;
        self.set_timer(ix, None);
        Some(ix)
    }

    pub fn keep(&mut self, ix: usize, until: Duration) {
        self.expect(ix).kept = Some(until);
        self.entries.insert((until, ix));
    }

    /// Whether an entry was still kept, which it no longer is.
    pub fn forget(&mut self, now: Duration, ix: usize) -> bool {
        let kept = self.expect(ix).kept.take();
        kept.is_some_and(|until| self.entries.remove(&(until, ix)) && until > now)
    }

    /// Share of the memory in use, were this ticket to run too.
    pub fn memory_with(&mut self, now: Duration, running: Option<usize>) -> f64 {
        while self.entries.first().is_some_and(|entry| entry.0 < now) {
            self.entries.pop_first();
        }
        let more = running.map_or(0.0, |ix| self.expect(ix).kb) * (self.run_factor - 1.0);
        (self.used_kb + more + self.entries.len() as f64 * self.entry_kb) / self.memory_kb
    }
}
