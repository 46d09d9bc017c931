//! What goes into and comes out of [`Fleet`](super::Fleet): attempts, outcomes, counters and snapshots.

use super::RequestState;
use crate::health::MemberStatus;
use crate::member_selection::SelectionReason;
use crate::outcome_reason::OutcomeReason;
use std::time::Duration;

/// A member of a pool, by indices of the current version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct MemberRef {
    /// Index of the pool in the table.
    pub pool: u16,
    /// Index of the member in its pool.
    pub member: u16,
}

/// An attempt to be sent to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The member to send it to.
    pub to: MemberRef,
    /// Without an answer after this time it ends as [`AttemptOutcome::TimedOut`].
    pub timeout: Duration,
    /// It is sent marked as a retry.
    pub is_retry: bool,
    /// Number of the attempt, from 1.
    pub attempt_number: u32,
    /// How the member was selected.
    pub selected_by: SelectionReason,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The member served it.
    Served,
    /// The member rejected it.
    Rejected {
        /// When the member asked to come back; zero if it did not say.
        pause: Duration,
        /// The member asked not to try others.
        nowhere_else: bool,
    },
    /// The member failed it, or answered with an exception.
    Failed,
    /// There was no connection, or it broke before the request was sent: proved not run.
    Unreachable,
    /// The connection broke after the request was sent.
    Broken,
    /// No answer within the attempt's timeout.
    TimedOut,
    /// The caller left; no answer is due any more.
    CallerLeft,
}

impl AttemptOutcome {
    /// The name in JSON and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            AttemptOutcome::Served => "honoured",
            AttemptOutcome::Rejected { .. } => "dismissed",
            AttemptOutcome::Failed => "failed",
            AttemptOutcome::Unreachable => "unreachable",
            AttemptOutcome::Broken => "broken",
            AttemptOutcome::TimedOut => "timed_out",
            AttemptOutcome::CallerLeft => "caller_left",
        }
    }
}

/// The one answer that a request gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A member served it.
    Served,
    /// It did not run.
    Rejected {
        /// When the caller may come back, from now on.
        after: Duration,
        /// The caller should not try another forwarder.
        nowhere_else: bool,
    },
    /// It may have run without a result.
    Failed,
    /// The caller left; there is no answer.
    CallerGone,
}

impl RequestOutcome {
    /// The name in JSON and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            RequestOutcome::Served => "honoured",
            RequestOutcome::Rejected { .. } => "dismissed",
            RequestOutcome::Failed => "given_up",
            RequestOutcome::CallerGone => "nobody",
        }
    }
}

/// The end of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Completed {
    /// The answer to its caller.
    pub outcome: RequestOutcome,
    /// Why it is this one.
    pub reason: OutcomeReason,
    /// The version under which it arrived, and whose indices `route` and `pool` are.
    pub version: u64,
    /// The route that took it.
    pub route: Option<u16>,
    /// The pool that the route led to.
    pub pool: Option<u16>,
    /// Attempts made.
    pub attempts: u32,
    /// Time since it arrived.
    pub elapsed: Duration,
}

/// What the caller of [`Fleet`](super::Fleet) does next with a request.
#[derive(Debug)]
pub enum NextAction {
    /// Send an attempt now; its end goes to [`Fleet::on_attempt_outcome`](super::Fleet::on_attempt_outcome).
    Dispatch(RequestState, Attempt),
    /// Wait this long, then call [`Fleet::on_retry_due`](super::Fleet::on_retry_due).
    Backoff(RequestState, Duration),
    /// Answer the caller.
    Completed(Completed),
}

/// A member's status changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberStatusChange {
    /// The member.
    pub member: MemberRef,
    /// Its new status.
    pub status: MemberStatus,
}

/// How full a pool is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolOccupancy {
    /// Places at all its members in service, as of the last tick.
    pub places: u32,
    /// Requests that hold one.
    pub held: u32,
}

/// What happened since the start, in requests or attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetCounts {
    /// Requests that were admitted, also those for which no member was found.
    pub first_attempts: u64,
    /// Retries that came due, also those for which no member was found.
    pub retries: u64,
    /// Requests that ended as [`RequestOutcome::Served`].
    pub served: u64,
    /// Requests that ended as [`RequestOutcome::Rejected`].
    pub rejected: u64,
    /// Requests that ended as [`RequestOutcome::Failed`].
    pub failed: u64,
    /// Requests that ended as [`RequestOutcome::CallerGone`].
    pub caller_gone: u64,
    /// Rejected requests whose tenant had its share of a scarce pool.
    pub room: u64,
}

/// The state of a member, for display.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberSnapshot<'f> {
    /// Its address as configured.
    pub address: &'f str,
    /// Attempts that are at it.
    pub open: u32,
    /// Attempts that may be at it.
    pub limit: u32,
    /// Its health.
    pub status: MemberStatus,
    /// It is in the zone of this forwarder.
    pub near: bool,
    /// It announced that it shuts down.
    pub leaving: bool,
}
