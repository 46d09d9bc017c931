//! One request in hand: its run, its call to the tier below, and who waits for its result.

use crate::idempotency::GroupClaim;
use crate::pending_reply::PendingReply;
use crate::result_cache::IdempotencyKey;
use std::rc::Rc;
use std::time::Instant;
use tokio::task::AbortHandle;

/// The 16 hex digits that name one try.
pub type Trace = [u8; 16];
/// How far a run has come, as the agent was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    Queued,
    /// The group is asked whether it may start; the agent has not heard of it.
    Claiming,
    Launched,
    Paused,
}

/// What became of the call that a run waits for.
pub enum CallState {
    /// Not made, or made in vain.
    Pending,
    InProgress(AbortHandle),
    Delivered(Vec<u8>),
    Skipped,
}

pub struct Request {
    pub serial: u64,
    pub trace: Trace,
    pub reply: Option<PendingReply>,
    /// When its caller stops waiting.
    pub deadline: Instant,
    pub class: usize,
    pub body: Box<[u8]>,
    pub run: RunState,
    /// The number of the notice that asked for the call, the call's body, and what became of it.
    pub call: Option<(u64, Rc<[u8]>, CallState)>,
    pub key: Option<IdempotencyKey>,
    /// The key is kept for this one: how its run ends is what repeats get.
    pub caches_result: bool,
    /// Set where the group agrees on its start and result.
    pub claim: Option<GroupClaim>,
    /// The open ticket that it repeats.
    pub retry_of: Option<usize>,
    /// Tickets that wait for this one's result, by index and serial number.
    pub waiters: Vec<(usize, u64)>,
    /// When a look first found it answered, with a run of which no end was told.
    pub orphan_since: Option<Instant>,
}

impl Request {
    /// Whether the agent was told of it.
    pub fn is_run(&self) -> bool {
        matches!(self.run, RunState::Launched | RunState::Paused)
    }

    /// Whether its run waits for a call, made or not.
    pub fn is_at_call(&self) -> bool {
        matches!(
            self.call,
            Some((_, _, CallState::Pending | CallState::InProgress(_)))
        )
    }
}
