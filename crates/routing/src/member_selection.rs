//! Which member of a pool a request goes to.
//!
//! The member with least in hand for its weight takes the request, as this program knows it; of those with as little one
//! by chance. What is known is its own, so it is never stale, and programs that know different things do not run after
//! one number: in the lab that was as good as two drawn by weight with two hundred forwarders, and better with few.
//! Nearer members first, until the zone has `ZONE_SPILL_FACTOR` times as much in hand as the rest. An entity goes to its own member while that has at most `AFFINITY_LOAD_FACTOR` times the mean
//! in hand, else to the next that its hash names, so affinity overloads nobody.
//!
//! What failed stays counted as long as the pool's usual time: a member that fails in a millisecond would
//! otherwise look idle and draw all traffic.

use crate::warm_up::{WarmUpLimiter, INITIAL_SHARE};
use crate::weighted_split::score;
use nanorand::{Rng, WyRand};
use std::collections::VecDeque;
use std::time::Duration;

/// Requests in hand for its weight, against the mean, up to which a member keeps its entities.
const AFFINITY_LOAD_FACTOR: f64 = 1.25;
/// In hand for its weight, against the pool's, up to which the near zone keeps its requests.
const ZONE_SPILL_FACTOR: f64 = 1.5;
/// Failures of one member that stay counted.
const MAX_RECENT_FAILURES: usize = 256;
/// Draws before a member is taken in order: with tiny weights beside large ones draws may miss.
const MAX_DRAWS: usize = 16;

/// What is known of one member.
#[derive(Clone, Debug)]
pub struct Member {
    pub mark: u64,
    pub weight: f64,
    pub near: bool,
    pub warm_up: Duration,
    /// When it started, if it warms up.
    pub started: Option<Duration>,
    /// What it may be sent while it is not known to be warm, where the pool says what all may send it.
    pub ramp: Option<WarmUpLimiter>,
    pub open: u32,
    /// Until when each recent failure counts as open, in order.
    ghosts: VecDeque<Duration>,
}

impl Member {
    pub fn new(mark: u64, weight: f64, near: bool, warm_up: Duration) -> Self {
        Self {
            mark,
            weight,
            near,
            warm_up,
            started: None,
            ramp: None,
            open: 0,
            ghosts: VecDeque::new(),
        }
    }

    /// A request failed: it counts as open until the usual time since it was sent is over.
    pub fn failed(&mut self, sent: Duration, usual: Duration) {
        let until = sent + usual;
        if self.ghosts.len() >= MAX_RECENT_FAILURES {
            self.ghosts.pop_front();
        }
        let place = self.ghosts.partition_point(|ghost| *ghost <= until);
        self.ghosts.insert(place, until);
    }

    /// Its weight now: a member that just started gets its part by and by.
    fn weight_at(&self, now: Duration, part: f64) -> f64 {
        let warm = match self.started {
            Some(started) if !self.warm_up.is_zero() => (now.saturating_sub(started).as_secs_f64()
                / self.warm_up.as_secs_f64())
            .clamp(INITIAL_SHARE, 1.0),
            _ => 1.0,
        };
        self.weight * warm * part
    }

    fn in_hand(&mut self, now: Duration) -> f64 {
        while self.ghosts.front().is_some_and(|until| *until <= now) {
            self.ghosts.pop_front();
        }
        f64::from(self.open) + self.ghosts.len() as f64
    }
}

/// By which rule members are picked for requests without an entity. All but the first are there to be compared with.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SelectionPolicy {
    /// The one with least in hand for its weight, of those with as little one by chance.
    #[default]
    LeastLoaded,
    /// Two drawn by weight, the one with less in hand.
    TwoChoices,
    /// One after another, whatever they have in hand.
    RoundRobin(u32),
}

/// How a member was chosen; for those who ask why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SelectionReason {
    /// The entity's own.
    Affinity,
    /// The entity's own is full; so many were passed over.
    AffinitySkipped(u32),
    /// The lesser of two, in the near zone or in any.
    Near,
    Any,
}

impl SelectionReason {
    pub fn as_str(self) -> &'static str {
        match self {
            SelectionReason::Affinity => "own",
            SelectionReason::AffinitySkipped(_) => "own_passed_over",
            SelectionReason::Near => "near",
            SelectionReason::Any => "any",
        }
    }
}

/// The member for a request; none if nobody can take it.
///
/// `part`: of its usual traffic a member may get now, 0 for none ([`crate::health::Health::usable`] as a
/// fraction), and 0 for one without room.
pub fn choose(
    pick: &mut SelectionPolicy,
    members: &mut [Member],
    now: Duration,
    entity: &str,
    chance: &mut WyRand,
    part: impl Fn(usize) -> f64,
) -> Option<(usize, SelectionReason)> {
    // In hand for the weight, of all that can take it; with the near ones' and everybody's sums.
    let (mut near, mut all) = ((0.0, 0.0), (0.0, 0.0));
    for (k, member) in members.iter_mut().enumerate() {
        let weight = member.weight_at(now, part(k));
        if weight <= 0.0 {
            continue;
        }
        let in_hand = member.in_hand(now);
        all = (all.0 + in_hand, all.1 + weight);
        if member.near {
            near = (near.0 + in_hand, near.1 + weight);
        }
    }
    if all.1 <= 0.0 {
        return None;
    }
    if !entity.is_empty() {
        return by_affinity(members, now, entity, all, &part);
    }
    // One more request in each, so that an idle pool has a middle too.
    let spills =
        near.1 <= 0.0 || (near.0 + 1.0) / near.1 > ZONE_SPILL_FACTOR * (all.0 + 1.0) / all.1;
    let (sum, only_near) = if spills {
        (all.1, false)
    } else {
        (near.1, true)
    };
    let how = if only_near {
        SelectionReason::Near
    } else {
        SelectionReason::Any
    };
    match pick {
        SelectionPolicy::LeastLoaded => {
            return least_loaded(members, now, chance, only_near, &part).map(|k| (k, how))
        }
        SelectionPolicy::RoundRobin(next) => {
            let count = members.len();
            let fits = |k: &usize| part(*k) > 0.0 && (!only_near || members[*k].near);
            let k = (0..count)
                .map(|k| (k + *next as usize) % count)
                .find(fits)?;
            *next = (k as u32 + 1) % count as u32;
            return Some((k, how));
        }
        SelectionPolicy::TwoChoices => {}
    }
    let mut draw = |not: Option<usize>| {
        let mut left = sum * f64::from(chance.generate::<u32>()) / (f64::from(u32::MAX) + 1.0);
        let mut last = None;
        for (k, member) in members.iter().enumerate() {
            let weight = member.weight_at(now, part(k));
            if weight <= 0.0 || (only_near && !member.near) {
                continue;
            }
            last = Some(k);
            if left < weight {
                break;
            }
            left -= weight;
        }
        last.filter(|found| Some(*found) != not)
    };
    let first = draw(None)?;
    let second = (0..MAX_DRAWS)
        .find_map(|_| draw(Some(first)))
        .unwrap_or(first);
    let mut rate = |k: usize| (members[k].in_hand(now) + 1.0) / members[k].weight_at(now, part(k));
    let chosen = if rate(second) < rate(first) {
        second
    } else {
        first
    };
    Some((chosen, how))
}

/// The one with least in hand for its weight; of equals one by chance.
fn least_loaded(
    members: &mut [Member],
    now: Duration,
    chance: &mut WyRand,
    only_near: bool,
    part: &impl Fn(usize) -> f64,
) -> Option<usize> {
    let mut best: Option<(f64, usize)> = None;
    let mut equals = 0u32;
    for (k, member) in members.iter_mut().enumerate() {
        if only_near && !member.near {
            continue;
        }
        let weight = member.weight_at(now, part(k));
        if weight <= 0.0 {
            continue;
        }
        let rate = (member.in_hand(now) + 1.0) / weight;
        match best {
            Some((least, _)) if rate > least => {}
            Some((least, _)) if rate == least => {
                // Each of those that are alike is taken with the same chance.
                equals += 1;
                if chance.generate_range(0..equals) == 0 {
                    best = Some((rate, k));
                }
            }
            _ => (best, equals) = (Some((rate, k)), 1),
        }
    }
    best.map(|(_, k)| k)
}

/// The first in the entity's own order that has at most its bounded part in hand.
fn by_affinity(
    members: &mut [Member],
    now: Duration,
    entity: &str,
    all: (f64, f64),
    part: &impl Fn(usize) -> f64,
) -> Option<(usize, SelectionReason)> {
    let bound = |weight: f64| AFFINITY_LOAD_FACTOR * (all.0 + 1.0) * weight / all.1;
    let mut best: Option<(usize, f64)> = None;
    let (mut passed_over, mut highest) = (0, f64::NEG_INFINITY);
    // The order of all is not needed: the best of those with room, and how many stand before it.
    let mut full = Vec::new();
    for (k, member) in members.iter_mut().enumerate() {
        let weight = member.weight_at(now, part(k));
        if weight <= 0.0 {
            continue;
        }
        // By its lasting weight: warming up must not move everybody's entities twice.
        let score = score(member.mark, (member.weight * 1_000.0) as u64, entity);
        if member.in_hand(now) + 1.0 > bound(weight).ceil().max(1.0) {
            full.push(score);
        } else if score > highest {
            highest = score;
            best = Some((k, score));
        }
    }
    let (chosen, of) = best?;
    passed_over += full.iter().filter(|score| **score > of).count() as u32;
    Some((
        chosen,
        if passed_over == 0 {
            SelectionReason::Affinity
        } else {
            SelectionReason::AffinitySkipped(passed_over)
        },
    ))
}
