//! The steps of a request, as reported to the checker.

use std::time::Duration;

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Idempotent: any number of times.
    Rerunnable,
    /// Idempotent with a key: more than once only if marked as a retry, by which a node recognizes the repetition.
    Ticketed,
    /// Non-idempotent: once.
    Exclusive,
}

/// The answer to a request. A request has exactly one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    /// A result.
    Honoured,
    /// Rejected: the request did not run.
    Dismissed,
    /// Failed: the request may have run.
    GivenUp,
    /// An application exception: the request could not be decoded, so it did not run.
    Exception,
}

/// A step of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A caller sent it to a forwarder.
    Asked {
        /// Whether it may be executed more than once.
        kind: Kind,
        /// Its deadline, on the clock of all steps.
        due: Duration,
        /// Number of the forwarder.
        front: u32,
    },
    /// An attempt was sent to a member.
    Tried {
        /// Number of the member.
        at: u32,
    },
    /// It was executed by a member.
    Ran {
        /// Number of the member.
        on: u32,
        /// Whether the attempt was marked as a retry.
        marked: bool,
    },
    /// It is served by the cached result of another request's run and needs no run of its own.
    Shared,
    /// Its caller cancelled it or disconnected, so that no answer is awaited.
    Left,
    /// Its caller was answered.
    Answered(Answer),
}
