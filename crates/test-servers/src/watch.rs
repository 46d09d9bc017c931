//! The checker of the rules, shared by the peers of one run: nodes tell it what ran, callers what they asked and
//! what they were told. Tickets are known by their `trace`, sixteen hexadecimal digits.

use rainstand_invariants::{Answer, InvariantChecker, Kind, Step, Tally, Violation};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Watch {
    rules: Arc<Mutex<InvariantChecker>>,
    start: Instant,
}

impl Default for Watch {
    fn default() -> Self {
        Self {
            rules: Arc::default(),
            start: Instant::now(),
        }
    }
}

/// A ticket's number from its trace; none for a trace that is not of this form.
pub fn number(trace: &[u8]) -> Option<u64> {
    Some(u64::from_str_radix(std::str::from_utf8(trace).ok()?, 16).ok()? >> 16)
}

/// The trace of a ticket's first try.
pub fn trace(ticket: u64) -> String {
    format!("{:016x}", ticket << 16)
}

impl Watch {
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// The rules as they stand, for what only some runs check.
    pub fn rules(&self) -> MutexGuard<'_, InvariantChecker> {
        self.rules.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A break is kept and told at the end: the peer that saw it is in the middle of a conversation.
    fn saw(&self, ticket: u64, step: Step) {
        let at = self.now();
        let _ = self.rules().record(at, ticket, step);
    }

    pub fn asked(&self, ticket: u64, kind: Kind, within: Duration) {
        self.saw(
            ticket,
            Step::Asked {
                kind,
                due: self.now() + within,
                front: 0,
            },
        );
    }

    pub fn ran(&self, trace: &[u8], on: u32, marked: bool) {
        if let Some(ticket) = number(trace) {
            self.saw(ticket, Step::Ran { on, marked });
        }
    }

    pub fn answered(&self, ticket: u64, answer: Answer) {
        self.saw(ticket, Step::Answered(answer));
    }

    pub fn left(&self, ticket: u64) {
        self.saw(ticket, Step::Left);
    }

    /// # Errors
    /// The first rule that broke.
    pub fn over(&self) -> Result<Tally, Violation> {
        let at = self.now();
        self.rules().finish(at)
    }
}
