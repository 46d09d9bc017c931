//! What can happen to a request.

use std::time::Duration;

/// Whether a request may have its effect again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Idempotent: any number of times.
    Rerunnable,
    /// Idempotent with a key: again only under the mark by which a node recognizes the repeat.
    Ticketed,
    /// Non-idempotent: once.
    Exclusive,
}

/// The answer to a request; it has exactly one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    /// A result.
    Honoured,
    /// Rejected: it did not run.
    Dismissed,
    /// Failed: it may have run.
    GivenUp,
    /// An application exception: the request could not be read, so nothing ran.
    Exception,
}

/// What happened to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A caller sent it to a front.
    Asked {
        /// Whether it may have its effect again.
        kind: Kind,
        /// By when it must be answered, on the clock of all steps.
        due: Duration,
        /// Number of the front.
        front: u32,
    },
    /// An attempt went to a member.
    Tried {
        /// Number of the member.
        at: u32,
    },
    /// It had its effect at a member.
    Ran {
        /// Number of the member.
        on: u32,
        /// Whether the attempt was marked as a further one.
        marked: bool,
    },
    /// The cached result of another request's run serves it: it needs no run of its own.
    Shared,
    /// Its caller gave it up or closed its connection: nobody waits for an answer.
    Left,
    /// Its caller was answered.
    Answered(Answer),
}
