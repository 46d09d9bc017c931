//! Inputs and outputs of [`Fleet`](super::Fleet): attempts, outcomes, counters and snapshots.

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
    /// Time after which it ends as [`AttemptOutcome::TimedOut`] if there is no answer.
    pub timeout: Duration,
    /// Whether it is marked as a retry.
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
        /// The member's retry-after, from now; zero if it gave none.
        pause: Duration,
        /// Whether the member asked not to try other members.
        nowhere_else: bool,
    },
    /// The member failed it, or answered with an exception.
    Failed,
    /// There was no connection, or it broke before the request was sent: it is proved not to have run.
    Unreachable,
    /// The connection broke after the request was sent.
    Broken,
    /// No answer within the attempt's timeout.
    TimedOut,
    /// The caller disconnected, so no answer is needed.
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

/// The one outcome that a request has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A member served it.
    Served,
    /// It did not run.
    Rejected {
        /// The retry-after for the caller, from now.
        after: Duration,
        /// Whether the caller should not try another forwarder.
        nowhere_else: bool,
    },
    /// It may have run without a result.
    Failed,
    /// The caller disconnected; no answer is sent.
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

/// A completed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Completed {
    /// Its outcome.
    pub outcome: RequestOutcome,
    /// Why it has this outcome.
    pub reason: OutcomeReason,
    /// The version that routed it; `route` and `pool` are indices of that version.
    pub version: u64,
    /// The route that matched it.
    pub route: Option<u16>,
    /// The pool that the route selected.
    pub pool: Option<u16>,
    /// Attempts made.
    pub attempts: u32,
    /// Time since it arrived.
    pub elapsed: Duration,
}

/// What the user of [`Fleet`](super::Fleet) does next with a request.
#[derive(Debug)]
pub enum NextAction {
    /// Send an attempt now; its outcome goes to [`Fleet::on_attempt_outcome`](super::Fleet::on_attempt_outcome).
    Dispatch(RequestState, Attempt),
    /// Wait this long, then call [`Fleet::on_retry_due`](super::Fleet::on_retry_due).
    Backoff(RequestState, Duration),
    /// Answer the caller.
    Completed(Completed),
}

/// A status change of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberStatusChange {
    /// The member.
    pub member: MemberRef,
    /// Its new status.
    pub status: MemberStatus,
}

/// The places of a pool, and how many are held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolOccupancy {
    /// Sum of the places of all members in service, as of the last tick.
    pub places: u32,
    /// Requests that hold a place.
    pub held: u32,
}

/// Counters of requests and attempts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetCounts {
    /// Admitted requests, including those for which no member was found.
    pub first_attempts: u64,
    /// Retries whose backoff ended, including those for which no member was found.
    pub retries: u64,
    /// Requests that ended as [`RequestOutcome::Served`].
    pub served: u64,
    /// Requests that ended as [`RequestOutcome::Rejected`].
    pub rejected: u64,
    /// Requests that ended as [`RequestOutcome::Failed`].
    pub failed: u64,
    /// Requests that ended as [`RequestOutcome::CallerGone`].
    pub caller_gone: u64,
    /// Requests rejected because their key had another home within its window.
    pub held_keys: u64,
    /// Requests rejected because their tenant had used its share of a scarce pool.
    pub over_tenant_share: u64,
}

/// The state of a member, for display.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberSnapshot<'f> {
    /// Its address as configured.
    pub address: &'f str,
    /// Attempts in flight to it.
    pub open: u32,
    /// Maximum of attempts in flight to it.
    pub limit: u32,
    /// Its health status.
    pub status: MemberStatus,
    /// Whether it is in the zone of this forwarder.
    pub near: bool,
    /// Whether it is draining: it announced its shutdown a short time ago.
    pub leaving: bool,
}
