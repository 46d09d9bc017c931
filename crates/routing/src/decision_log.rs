//! A bounded log of the last decisions, to explain where requests were sent and why others were rejected. Writing to it
//! does not allocate once it is full.
//!
//! Indices are those of the version that decided; the fleet clears the log when indices change.

use crate::health::EjectionReason;
use crate::member_selection::SelectionReason;
use crate::outcome_reason::OutcomeReason;
use std::collections::VecDeque;
use std::time::Duration;

/// Decisions that the log holds, 120 bytes each.
pub const MAX_DECISIONS: usize = 1_024;
/// Skipped members that one decision names; further ones are only counted.
pub const MAX_SKIPPED_MEMBERS: usize = 6;

/// Why a member was not considered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SkipReason {
    /// It is ejected.
    Ejected(EjectionReason),
    /// It, or its pool, is at its concurrency limit.
    Full,
    /// It asked this tenant to come back later.
    RetryAfter,
    /// The last attempt of this request went there.
    AlreadyTried,
    /// It announced its shutdown.
    Leaving,
    /// It warms up, or may, and this forwarder's share of what it may get is used up.
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
            SkipReason::Leaving => "leaving",
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
        /// Members that could take it.
        of: u16,
        /// Attempts that the member had already.
        open_attempts: u32,
        /// Number of the attempt, from 1.
        attempt_number: u32,
    },
    /// There was no further attempt.
    Rejected {
        /// Why.
        reason: OutcomeReason,
        /// When the caller was asked to come back, from then on.
        after: Duration,
    },
}

/// One decision about one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Decision {
    /// When it was made.
    pub at: Duration,
    /// Index of the request class.
    pub request_class: u16,
    /// Index of the tenant, if it is configured.
    pub tenant: Option<u16>,
    /// Index of the route, if one took the request.
    pub route: Option<u16>,
    /// Index of the pool, if there was one.
    pub pool: Option<u16>,
    /// What was decided.
    pub what: DecisionOutcome,
    /// The first members that were skipped.
    passed: [(u16, Option<SkipReason>); MAX_SKIPPED_MEMBERS],
    /// How many further members were skipped.
    pub more_skipped: u16,
}

impl Decision {
    /// A decision without route, pool and skipped members.
    pub fn new(at: Duration, traffic: u16, tenant: Option<u16>, what: DecisionOutcome) -> Self {
        Self {
            at,
            request_class: traffic,
            tenant,
            route: None,
            pool: None,
            what,
            passed: [(0, None); MAX_SKIPPED_MEMBERS],
            more_skipped: 0,
        }
    }

    /// Records that a member was skipped.
    pub fn record_skipped(&mut self, member: u16, reason: SkipReason) {
        match self.passed.iter_mut().find(|one| one.1.is_none()) {
            Some(place) => *place = (member, Some(reason)),
            None => self.more_skipped = self.more_skipped.saturating_add(1),
        }
    }

    /// The skipped members that are named, in order.
    pub fn skipped_members(&self) -> impl Iterator<Item = (u16, SkipReason)> + '_ {
        self.passed
            .iter()
            .filter_map(|(member, reason)| Some((*member, (*reason)?)))
    }
}

/// The last [`MAX_DECISIONS`] decisions, oldest first.
#[derive(Debug, Default)]
pub struct DecisionLog {
    ring: VecDeque<Decision>,
}

impl DecisionLog {
    /// Appends a decision; drops the oldest one if the log is full.
    pub fn push(&mut self, decision: Decision) {
        if self.ring.len() >= MAX_DECISIONS {
            self.ring.pop_front();
        }
        self.ring.push_back(decision);
    }

    /// All decisions, oldest first.
    pub fn all(&self) -> impl DoubleEndedIterator<Item = &Decision> {
        self.ring.iter()
    }

    /// Drops all decisions.
    pub fn clear(&mut self) {
        self.ring.clear();
    }
}
