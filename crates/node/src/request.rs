//! One request in flight: its run, its downstream call, and the requests that wait for its result.

use crate::agent_link::CommandStatus;
use crate::group_claim::GroupClaim;
use crate::pending_reply::PendingReply;
use crate::result_cache::IdempotencyKey;
use std::rc::Rc;
use std::time::Instant;
use tokio::task::AbortHandle;

/// The 16 hex digits that identify one attempt.
pub type Trace = [u8; 16];

/// The state of a run, by the commands sent to the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// Not launched.
    Queued,
    /// Its key is being claimed in the group; no command was sent to the agent.
    Claiming,
    /// Launched, and not paused since.
    Launched,
    /// Taken off the cores until it is thawed.
    Paused,
}

/// The state of the call that a run waits for.
pub enum CallState {
    /// Not made yet, or made without success.
    Pending,
    /// In flight; the handle aborts its task when the reply is no longer needed.
    InProgress(AbortHandle),
    /// Succeeded; holds the reply body, which was or will be sent to the agent.
    Succeeded(Vec<u8>),
    /// The run continues without the call's reply.
    Skipped,
}

/// The downstream call that a run waits for.
pub struct DownstreamCall {
    /// The number of the notice that requested it.
    pub offset: u64,
    /// The body to send.
    pub body: Rc<[u8]>,
    /// Its state.
    pub state: CallState,
    /// Whether the agent has read the command that passes the call's outcome to the run.
    pub outcome_command: CommandStatus,
}

impl DownstreamCall {
    /// Aborts the call's task, if the call is in flight.
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
    /// Its serial number, as the index may have been reused since.
    pub serial: u64,
}

/// A request in flight.
pub struct Request {
    /// Unique among all requests of the process; assigned by the table.
    pub serial: u64,
    /// Identifies this attempt.
    pub trace: Trace,
    /// `None` once it is answered, or its caller cancelled it.
    pub reply: Option<PendingReply>,
    /// When its caller stops waiting.
    pub deadline: Instant,
    /// The index of its class.
    pub class: usize,
    /// As received; at most 2 KiB.
    pub body: Box<[u8]>,
    /// The state of its run.
    pub run: RunState,
    /// The number of the last notice before its run was launched.
    pub launched_after: u64,
    /// Set if its paused run was resumed, until the agent has read that command.
    pub thaw_command: Option<CommandStatus>,
    /// The call that its run waits for, or the last one that it waited for.
    pub call: Option<DownstreamCall>,
    /// Its key, if this node alone caches its result.
    pub key: Option<IdempotencyKey>,
    /// Whether the key was cached for this request, so that retries get the outcome of its run.
    pub caches_result: bool,
    /// Set if the group must agree on its start and result.
    pub claim: Option<GroupClaim>,
    /// The open request that it repeats.
    pub retry_of: Option<usize>,
    /// Requests that wait for this one's result.
    pub waiters: Vec<Waiter>,
    /// When it was first found answered while the end of its run was not reported.
    pub orphan_since: Option<Instant>,
}

impl Request {
    /// Whether its launch was sent to the agent.
    pub fn is_launched(&self) -> bool {
        matches!(self.run, RunState::Launched | RunState::Paused)
    }

    /// Whether its run waits for a call, whether or not the call was made yet.
    pub fn is_awaiting_call(&self) -> bool {
        self.call
            .as_ref()
            .is_some_and(|call| matches!(call.state, CallState::Pending | CallState::InProgress(_)))
    }
}
