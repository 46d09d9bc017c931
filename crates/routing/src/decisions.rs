//! The last decisions, for those who ask why a ticket went where it went, or why it went nowhere. Bounded, and
//! written without an allocation on a ticket's way.
//!
//! Indices are those of the version that decided; the fleet forgets them all when a new version is taken.

use crate::choice::How;
use crate::fleet::Why;
use crate::health::Reason;
use std::collections::VecDeque;
use std::time::Duration;

/// Decisions that are kept, 120 bytes each.
pub const KEPT: usize = 1_024;
/// Members passed over that one decision names; more are counted.
pub const NAMED: usize = 6;

/// Why a member was not even asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Passed {
    /// Left out for its health.
    Out(Reason),
    /// As many as may be are open toward it.
    Full,
    /// It told this tenant when to come back.
    ToldToWait,
    /// The last try of this ticket went there.
    Tried,
    /// It says that it leaves.
    Leaving,
    /// It warms up, or may, and this forwarder's part of what all may send it is used.
    Warming,
}

impl Passed {
    pub fn word(self) -> &'static str {
        match self {
            Passed::Out(reason) => reason.word(),
            Passed::Full => "full",
            Passed::ToldToWait => "told_to_wait",
            Passed::Tried => "tried",
            Passed::Leaving => "leaving",
            Passed::Warming => "warming",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum What {
    /// It went to a member of this many that could take it, which had so many in hand.
    Went {
        member: u16,
        how: How,
        of: u16,
        in_hand: u32,
        tried: u32,
    },
    /// No further try; how it ended is in the counters.
    Turned { why: Why, after: Duration },
}

/// One decision about one ticket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Decision {
    pub at: Duration,
    pub traffic: u16,
    pub tenant: Option<u16>,
    pub route: Option<u16>,
    pub pool: Option<u16>,
    pub what: What,
    /// The first members that were passed over; [`Decision::more`] others were too.
    passed: [(u16, Option<Passed>); NAMED],
    pub more: u16,
}

impl Decision {
    pub fn new(at: Duration, traffic: u16, tenant: Option<u16>, what: What) -> Self {
        Self {
            at,
            traffic,
            tenant,
            route: None,
            pool: None,
            what,
            passed: [(0, None); NAMED],
            more: 0,
        }
    }

    pub fn pass(&mut self, member: u16, why: Passed) {
        match self.passed.iter_mut().find(|one| one.1.is_none()) {
            Some(place) => *place = (member, Some(why)),
            None => self.more = self.more.saturating_add(1),
        }
    }

    pub fn passed(&self) -> impl Iterator<Item = (u16, Passed)> + '_ {
        self.passed
            .iter()
            .filter_map(|(member, why)| Some((*member, (*why)?)))
    }
}

/// The last [`KEPT`] of them, oldest first.
#[derive(Debug, Default)]
pub struct Decisions {
    ring: VecDeque<Decision>,
}

impl Decisions {
    pub fn put(&mut self, decision: Decision) {
        if self.ring.len() >= KEPT {
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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_last_ones_are_kept_and_name_some_of_the_passed_over() {
        let mut all = Decisions::default();
        for n in 0..3_000u64 {
            let what = What::Turned {
                why: Why::NoMember,
                after: Duration::ZERO,
            };
            let mut one = Decision::new(Duration::from_millis(n), 0, None, what);
            (0..9).for_each(|member| one.pass(member, Passed::Full));
            all.put(one);
        }
        assert_eq!(all.all().count(), KEPT);
        let last = all.all().next_back().unwrap();
        assert_eq!(
            (last.at, last.passed().count(), last.more),
            (Duration::from_millis(2_999), NAMED, 3)
        );
    }
}
