//! One request in flight: its run, its call to the tier below, and who waits for its result.

use crate::group_claim::GroupClaim;
use crate::pending_reply::PendingReply;
use crate::result_cache::IdempotencyKey;
use std::rc::Rc;
use std::time::Instant;
use tokio::task::AbortHandle;

/// The 16 hex digits that name one try.
pub type Trace = [u8; 16];

/// How far a run has come, as far as the agent was sent commands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// Not launched.
    Queued,
    /// The group is asked whether it may start; the agent has not heard of it.
    Claiming,
    /// Launched, and not paused since.
    Launched,
    /// Taken off the cores; it goes on when it is thawed.
    Paused,
}

/// What became of the call that a run waits for.
pub enum CallState {
    /// Not made, or made in vain.
    Pending,
    /// Its task, which is aborted where the call is no longer wanted.
    InProgress(AbortHandle),
    /// Its reply's body, which the agent was or will be sent.
    Delivered(Vec<u8>),
    /// The run goes on without it.
    Skipped,
}

/// The call to the tier below that a run waits for.
pub struct DownstreamCall {
    /// The number of the notice that asked for it.
    pub offset: u64,
    /// The body to send.
    pub body: Rc<[u8]>,
    /// What became of it.
    pub state: CallState,
}

impl DownstreamCall {
    /// Stops the call's task, if one is out.
    pub fn abort(self) {
        if let CallState::InProgress(task) = self.state {
            task.abort();
        }
    }
}

/// A request that waits for another one's result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiter {
    /// Its index in the table.
    pub index: usize,
    /// Its serial number: the index may be another request's by now.
    pub serial: u64,
}

/// A request in flight.
pub struct Request {
    /// Unique among all requests of the process; given by the table.
    pub serial: u64,
    /// Names this try.
    pub trace: Trace,
    /// None once it is answered, or its caller left.
    pub reply: Option<PendingReply>,
    /// When its caller stops waiting.
    pub deadline: Instant,
    /// The index of its class.
    pub class: usize,
    /// As it came; at most 2 KiB.
    pub body: Box<[u8]>,
    /// How far its run has come.
    pub run: RunState,
    /// The call that its run waits for, or waited for last.
    pub call: Option<DownstreamCall>,
    /// Its key, where this node alone remembers results.
    pub key: Option<IdempotencyKey>,
    /// The key is cached for this one: how its run ends is what retries get.
    pub caches_result: bool,
    /// Set where the group agrees on its start and result.
    pub claim: Option<GroupClaim>,
    /// The open request that it repeats.
    pub retry_of: Option<usize>,
    /// Requests that wait for this one's result.
    pub waiters: Vec<Waiter>,
    /// When it was first found answered, with a run of which no end was reported.
    pub orphan_since: Option<Instant>,
}

impl Request {
    /// Whether the agent was sent its launch.
    pub fn is_run(&self) -> bool {
        matches!(self.run, RunState::Launched | RunState::Paused)
    }

    /// Whether its run waits for a call, made or not.
    pub fn is_at_call(&self) -> bool {
        self.call
            .as_ref()
            .is_some_and(|call| matches!(call.state, CallState::Pending | CallState::InProgress(_)))
    }
}
