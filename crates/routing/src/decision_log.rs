//! A bounded log of the last decisions: where requests were sent, and why others were rejected. Writing does not
//! allocate once the log is full.
//!
//! Indices are those of the version that made the decision; the fleet clears the log when indices change.

use crate::health::EjectionReason;
use crate::member_selection::SelectionReason;
use crate::outcome_reason::OutcomeReason;
use std::collections::VecDeque;
use std::time::Duration;

/// Capacity of the log in decisions, 120 bytes each.
pub const MAX_DECISIONS: usize = 1_024;
/// Skipped members that a decision lists; further ones are only counted.
pub const MAX_SKIPPED_MEMBERS: usize = 6;

/// Why a member was skipped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SkipReason {
    /// It is ejected.
    Ejected(EjectionReason),
    /// It, or its pool, is at its concurrency limit.
    Full,
    /// It sent this tenant a retry-after that has not ended.
    RetryAfter,
    /// The last attempt of this request was sent to it.
    AlreadyTried,
    /// It announced its shutdown.
    Draining,
    /// It warms up, or may do so, and this forwarder has used its share of the warm-up rate.
    WarmingUp,
}

impl SkipReason {
    /// The name in JSON and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            SkipReason::Ejected(reason) => reason.as_str(),
            SkipReason::Full => "full",
            SkipReason::RetryAfter => "told_to_wait",
            SkipReason::AlreadyTried => "tried",
            SkipReason::Draining => "leaving",
            SkipReason::WarmingUp => "warming",
        }
    }
}

/// What was decided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DecisionOutcome {
    /// An attempt was sent to a member.
    Dispatched {
        /// Index of the member.
        member: u16,
        /// How it was selected.
        selected_by: SelectionReason,
        /// Number of members that could take it.
        candidates: u16,
        /// Attempts that were already in flight to the member.
        open_attempts: u32,
        /// Number of the attempt, from 1.
        attempt_number: u32,
    },
    /// No attempt was sent.
    Rejected {
        /// Why none was sent.
        reason: OutcomeReason,
        /// The retry-after, counted from the decision.
        after: Duration,
    },
}

/// One decision about one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Decision {
    /// When it was made.
    pub time: Duration,
    /// Index of the request class.
    pub request_class: u16,
    /// Index of the tenant, if it is configured.
    pub tenant: Option<u16>,
    /// Index of the route, if one matched.
    pub route: Option<u16>,
    /// Index of the pool, if one was selected.
    pub pool: Option<u16>,
    /// What was decided.
    pub outcome: DecisionOutcome,
    /// The first members that were skipped.
    skipped: [(u16, Option<SkipReason>); MAX_SKIPPED_MEMBERS],
    /// How many further members were skipped.
    pub more_skipped: u16,
}

impl Decision {
    /// A decision without a route, a pool and skipped members.
    pub fn new(
        time: Duration,
        request_class: u16,
        tenant: Option<u16>,
        outcome: DecisionOutcome,
    ) -> Self {
        Self {
            time,
            request_class,
            tenant,
            route: None,
            pool: None,
            outcome,
            skipped: [(0, None); MAX_SKIPPED_MEMBERS],
            more_skipped: 0,
        }
    }

    /// Records that a member was skipped.
    pub fn record_skipped(&mut self, member: u16, reason: SkipReason) {
        match self.skipped.iter_mut().find(|slot| slot.1.is_none()) {
            Some(slot) => *slot = (member, Some(reason)),
            None => self.more_skipped = self.more_skipped.saturating_add(1),
        }
    }

    /// The listed skipped members, in order.
    pub fn skipped_members(&self) -> impl Iterator<Item = (u16, SkipReason)> + '_ {
        self.skipped
            .iter()
            .filter_map(|(member, reason)| Some((*member, (*reason)?)))
    }
}

/// Holds the last [`MAX_DECISIONS`] decisions, oldest first.
#[derive(Debug, Default)]
pub struct DecisionLog {
    decisions: VecDeque<Decision>,
}

impl DecisionLog {
    /// Appends a decision; drops the oldest one if the log is full.
    pub fn push(&mut self, decision: Decision) {
        if self.decisions.len() >= MAX_DECISIONS {
            self.decisions.pop_front();
        }
        self.decisions.push_back(decision);
    }

    /// All decisions, oldest first.
    pub fn all(&self) -> impl DoubleEndedIterator<Item = &Decision> {
        self.decisions.iter()
    }

    /// Drops all decisions.
    pub fn clear(&mut self) {
        self.decisions.clear();
    }
}
