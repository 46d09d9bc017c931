//! Selects the member of a pool for a request.
//!
//! The member with the lowest load for its weight takes the request, as far as this process knows; ties are broken at
//! random. Each process knows only its own load, so that knowledge is never stale and processes do not all run after one
//! number. Members in the near zone come first, until the zone has `ZONE_SPILL_FACTOR` times the load of the pool. An
//! entity goes to its own member while that has at most `AFFINITY_LOAD_FACTOR` times the mean load, else to the next
//! one that its hash ranks, so that affinity overloads no member.
//!
//! A failed attempt counts as load for the pool's typical duration: a member that fails within a millisecond would
//! otherwise look idle and attract all requests.

use crate::warm_up::{WarmUpLimiter, INITIAL_SHARE};
use crate::weighted_split::score;
use nanorand::{Rng, WyRand};
use std::collections::VecDeque;
use std::time::Duration;

/// Load for its weight, relative to the mean, up to which a member keeps its entities.
const AFFINITY_LOAD_FACTOR: f64 = 1.25;
/// Load for its weight, relative to the pool's, up to which the near zone keeps its requests.
const ZONE_SPILL_FACTOR: f64 = 1.5;
/// Recent failures that are counted for one member.
const MAX_RECENT_FAILURES: usize = 256;
/// Draws for a second member before the first is taken: with tiny weights beside large ones draws may miss.
const MAX_DRAWS: usize = 16;

/// What is known of one member.
#[derive(Clone, Debug)]
pub struct Member {
    /// Hash of its address ([`crate::weighted_split::name_hash`]).
    pub mark: u64,
    /// Its configured weight; 1 is usual.
    pub weight: f64,
    /// It is in the zone of this forwarder.
    pub near: bool,
    /// How long it warms up after a start; zero if it does not.
    pub warm_up: Duration,
    /// When it started, if it warms up.
    pub started: Option<Duration>,
    /// What it may be sent while it is not known to be warm, if the pool limits that.
    pub ramp: Option<WarmUpLimiter>,
    /// Attempts that are at it.
    pub open: u32,
    /// Until when each recent failure counts as open, in order.
    recent_failures: VecDeque<Duration>,
}

impl Member {
    /// A member of which nothing is known.
    pub fn new(mark: u64, weight: f64, near: bool, warm_up: Duration) -> Self {
        Self {
            mark,
            weight,
            near,
            warm_up,
            started: None,
            ramp: None,
            open: 0,
            recent_failures: VecDeque::new(),
        }
    }

    /// A request failed: it counts as open until the usual time since it was sent is over.
    pub fn failed(&mut self, sent: Duration, usual: Duration) {
        let until = sent + usual;
        if self.recent_failures.len() >= MAX_RECENT_FAILURES {
            self.recent_failures.pop_front();
        }
        let place = self.recent_failures.partition_point(|end| *end <= until);
        self.recent_failures.insert(place, until);
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

    fn load(&mut self, now: Duration) -> f64 {
        while self
            .recent_failures
            .front()
            .is_some_and(|until| *until <= now)
        {
            self.recent_failures.pop_front();
        }
        f64::from(self.open) + self.recent_failures.len() as f64
    }
}

/// How members are selected for requests without an entity. All but the first are for comparisons.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SelectionPolicy {
    /// The one with the lowest load for its weight; ties are broken at random.
    #[default]
    LeastLoaded,
    /// The less loaded of two that are drawn by weight.
    TwoChoices,
    /// One after another, whatever their load.
    RoundRobin(u32),
}

/// How a member was selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SelectionReason {
    /// It is the entity's own.
    Affinity,
    /// The entity's own is overloaded; so many were skipped.
    AffinitySkipped(u32),
    /// By load, in the near zone.
    Near,
    /// By load, in any zone.
    Any,
}

impl SelectionReason {
    /// The name in JSON and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            SelectionReason::Affinity => "own",
            SelectionReason::AffinitySkipped(_) => "own_passed_over",
            SelectionReason::Near => "near",
            SelectionReason::Any => "any",
        }
    }
}

/// Load and weight of a set of members.
#[derive(Clone, Copy, Default)]
struct Totals {
    load: f64,
    weight: f64,
}

impl Totals {
    fn add(&mut self, load: f64, weight: f64) {
        self.load += load;
        self.weight += weight;
    }
}

/// Selects the member for a request; `None` if no member can take it.
///
/// `part`: the part of its usual traffic that a member may get now, as a fraction
/// ([`crate::health::Health::usable`]); 0 for none.
pub fn choose(
    pick: &mut SelectionPolicy,
    members: &mut [Member],
    now: Duration,
    entity: &str,
    chance: &mut WyRand,
    part: impl Fn(usize) -> f64,
) -> Option<(usize, SelectionReason)> {
    let (mut near, mut all) = (Totals::default(), Totals::default());
    for (k, member) in members.iter_mut().enumerate() {
        let weight = member.weight_at(now, part(k));
        if weight <= 0.0 {
            continue;
        }
        let load = member.load(now);
        all.add(load, weight);
        if member.near {
            near.add(load, weight);
        }
    }
    if all.weight <= 0.0 {
        return None;
    }
    if !entity.is_empty() {
        return by_affinity(members, now, entity, all, &part);
    }
    // One more request in each set, so that an idle pool has a mean too.
    let spills = near.weight <= 0.0
        || (near.load + 1.0) / near.weight > ZONE_SPILL_FACTOR * (all.load + 1.0) / all.weight;
    let (total_weight, only_near, reason) = if spills {
        (all.weight, false, SelectionReason::Any)
    } else {
        (near.weight, true, SelectionReason::Near)
    };
    let selected = match pick {
        SelectionPolicy::LeastLoaded => least_loaded(members, now, chance, only_near, &part),
        SelectionPolicy::RoundRobin(next) => round_robin(members, next, only_near, &part),
        SelectionPolicy::TwoChoices => {
            two_choices(members, now, chance, only_near, total_weight, &part)
        }
    };
    selected.map(|member| (member, reason))
}

/// The next member in turn.
fn round_robin(
    members: &[Member],
    next: &mut u32,
    only_near: bool,
    part: &impl Fn(usize) -> f64,
) -> Option<usize> {
    let count = members.len();
    let fits = |k: &usize| part(*k) > 0.0 && (!only_near || members[*k].near);
    let selected = (0..count)
        .map(|k| (k + *next as usize) % count)
        .find(fits)?;
    *next = (selected as u32 + 1) % count as u32;
    Some(selected)
}

/// Of two members drawn by weight, the one with the lower load for its weight.
fn two_choices(
    members: &mut [Member],
    now: Duration,
    chance: &mut WyRand,
    only_near: bool,
    total_weight: f64,
    part: &impl Fn(usize) -> f64,
) -> Option<usize> {
    let mut draw = |except: Option<usize>| {
        let fraction = f64::from(chance.generate::<u32>());
        let mut left = total_weight * fraction / (f64::from(u32::MAX) + 1.0);
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
        last.filter(|found| Some(*found) != except)
    };
    let first = draw(None)?;
    let second = (0..MAX_DRAWS)
        .find_map(|_| draw(Some(first)))
        .unwrap_or(first);
    let mut rate = |k: usize| (members[k].load(now) + 1.0) / members[k].weight_at(now, part(k));
    Some(if rate(second) < rate(first) {
        second
    } else {
        first
    })
}

/// The one with the lowest load for its weight; ties are broken at random.
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
        let rate = (member.load(now) + 1.0) / weight;
        match best {
            Some((least, _)) if rate > least => {}
            #[expect(
                clippy::float_cmp,
                reason = "only exact ties are drawn; near ones are ordered"
            )]
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

/// The first in the entity's order of preference whose load is within its bound.
fn by_affinity(
    members: &mut [Member],
    now: Duration,
    entity: &str,
    all: Totals,
    part: &impl Fn(usize) -> f64,
) -> Option<(usize, SelectionReason)> {
    let bound = |weight: f64| AFFINITY_LOAD_FACTOR * (all.load + 1.0) * weight / all.weight;
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
        if member.load(now) + 1.0 > bound(weight).ceil().max(1.0) {
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
