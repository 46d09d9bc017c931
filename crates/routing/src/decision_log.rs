//! The last decisions, for those who ask why a request went where it went, or why it went nowhere. Bounded, and
//! written without an allocation on a request's way.
//!
//! Indices are those of the version that decided; the fleet forgets them all when a new version is taken.

use crate::fleet::OutcomeReason;
use crate::health::EjectionReason;
use crate::member_selection::SelectionReason;
use std::collections::VecDeque;
use std::time::Duration;

/// Decisions that are kept, 120 bytes each.
pub const MAX_DECISIONS: usize = 1_024;
/// Members passed over that one decision names; more are counted.
pub const MAX_SKIPPED_MEMBERS: usize = 6;

/// Why a member was not even asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SkipReason {
    /// Left out for its health.
    Ejected(EjectionReason),
    /// As many as may be are open toward it.
    Full,
    /// It told this tenant when to come back.
    RetryAfter,
    /// The last try of this request went there.
    AlreadyTried,
    /// It says that it leaves.
    Leaving,
    /// It warms up, or may, and this forwarder's part of what all may send it is used.
    WarmingUp,
}

impl SkipReason {
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

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DecisionOutcome {
    /// It went to a member of this many that could take it, which had so many in hand.
    Dispatched {
        member: u16,
        how: SelectionReason,
        of: u16,
        in_hand: u32,
        tried: u32,
    },
    /// No further try; how it ended is in the counters.
    Rejected { why: OutcomeReason, after: Duration },
}

/// One decision about one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Decision {
    pub at: Duration,
    pub request_class: u16,
    pub tenant: Option<u16>,
    pub route: Option<u16>,
    pub pool: Option<u16>,
    pub what: DecisionOutcome,
    /// The first members that were passed over; [`Decision::more_skipped`] others were too.
    passed: [(u16, Option<SkipReason>); MAX_SKIPPED_MEMBERS],
    pub more_skipped: u16,
}

impl Decision {
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

    pub fn record_skipped(&mut self, member: u16, why: SkipReason) {
        match self.passed.iter_mut().find(|one| one.1.is_none()) {
            Some(place) => *place = (member, Some(why)),
            None => self.more_skipped = self.more_skipped.saturating_add(1),
        }
    }

    pub fn skipped_members(&self) -> impl Iterator<Item = (u16, SkipReason)> + '_ {
        self.passed
            .iter()
            .filter_map(|(member, why)| Some((*member, (*why)?)))
    }
}

/// The last [`MAX_DECISIONS`] of them, oldest first.
#[derive(Debug, Default)]
pub struct DecisionLog {
    ring: VecDeque<Decision>,
}

impl DecisionLog {
    pub fn push(&mut self, decision: Decision) {
        if self.ring.len() >= MAX_DECISIONS {
            self.ring.pop_front();
        }
        self.ring.push_back(decision);
    }

    pub fn all(&self) -> impl DoubleEndedIterator<Item = &Decision> {
        self.ring.iter()
    }

    pub fn clear(&mut self) {
        self.ring.clear();
    }
}
