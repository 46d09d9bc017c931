//! Selects the member of a pool for a request.
//!
//! The member with the lowest load relative to its weight is selected; ties are broken at random. Each process counts
//! only its own requests as load: that is never stale, and processes do not all send to the member that a shared figure
//! reports as idle. Members in the near zone are preferred until the zone's load relative to its weight exceeds
//! `ZONE_SPILL_FACTOR` times that of the pool. Requests of an entity go to its preferred member while that has at most
//! `AFFINITY_LOAD_FACTOR` times the mean load, else to the next one in the order of the entity's hash scores, so that
//! affinity overloads no member.
//!
//! A failed attempt counts as load for the pool's typical response time: a member that fails within a millisecond would
//! otherwise look idle and attract all requests.

use crate::warm_up::{WarmUpLimiter, INITIAL_SHARE};
use crate::weighted_split::score;
use nanorand::{Rng, WyRand};
use std::collections::VecDeque;
use std::time::Duration;

/// Load relative to weight, as a multiple of the mean, up to which a member gets the requests of its entities.
const AFFINITY_LOAD_FACTOR: f64 = 1.25;
/// Load relative to weight, as a multiple of the pool's, up to which all requests stay in the near zone.
const ZONE_SPILL_FACTOR: f64 = 1.5;
/// Maximum number of recent failures that are counted for one member.
const MAX_RECENT_FAILURES: usize = 256;
/// Draws for a second member before the first is selected: if one weight is far larger than the others, draws may keep
/// hitting the same member.
const MAX_DRAWS: usize = 16;

/// Load and selection settings of one member.
#[derive(Clone, Debug)]
pub struct Member {
    /// Hash of its address ([`crate::weighted_split::name_hash`]).
    pub address_hash: u64,
    /// Its configured weight; 1 is usual.
    pub weight: f64,
    /// Whether it is in the zone of this forwarder.
    pub near: bool,
    /// Warm-up time after a start; zero if it does not warm up.
    pub warm_up: Duration,
    /// When it last started; `None` if unknown or if it does not warm up.
    pub started: Option<Duration>,
    /// Limits the attempts to it while it is not known to be warm, if the pool has such a limit.
    pub warm_up_limiter: Option<WarmUpLimiter>,
    /// Attempts in flight to it.
    pub in_flight: u32,
    /// When each recent failure stops to count as load, in ascending order.
    recent_failures: VecDeque<Duration>,
}

impl Member {
    /// Creates a member without load and with an unknown start time. `address_hash`: see the field.
    pub fn new(address_hash: u64, weight: f64, near: bool, warm_up: Duration) -> Self {
        Self {
            address_hash,
            weight,
            near,
            warm_up,
            started: None,
            warm_up_limiter: None,
            in_flight: 0,
            recent_failures: VecDeque::new(),
        }
    }

    /// Records a failed attempt, which counts as load until `typical_duration` after it was sent.
    pub fn on_failed_attempt(&mut self, sent: Duration, typical_duration: Duration) {
        let until = sent + typical_duration;
        if self.recent_failures.len() >= MAX_RECENT_FAILURES {
            self.recent_failures.pop_front();
        }
        let position = self.recent_failures.partition_point(|end| *end <= until);
        self.recent_failures.insert(position, until);
    }

    /// The weight times `traffic_fraction`, reduced after a start in proportion to the elapsed part of the warm-up
    /// time.
    fn weight_at(&self, now: Duration, traffic_fraction: f64) -> f64 {
        let warm_up_fraction = match self.started {
            Some(started) if !self.warm_up.is_zero() => (now.saturating_sub(started).as_secs_f64()
                / self.warm_up.as_secs_f64())
            .clamp(INITIAL_SHARE, 1.0),
            _ => 1.0,
        };
        self.weight * warm_up_fraction * traffic_fraction
    }

    fn load(&mut self, now: Duration) -> f64 {
        while self
            .recent_failures
            .front()
            .is_some_and(|until| *until <= now)
        {
            self.recent_failures.pop_front();
        }
        f64::from(self.in_flight) + self.recent_failures.len() as f64
    }
}

/// How members are selected for requests without an entity. All but the first are for comparisons.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SelectionPolicy {
    /// The member with the lowest load relative to its weight; ties are broken at random.
    #[default]
    LeastLoaded,
    /// The less loaded of two members that are drawn with a probability in proportion to their weights.
    TwoChoices,
    /// All members in turn, regardless of load; holds the index of the next one.
    RoundRobin(u32),
}

/// How a member was selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SelectionReason {
    /// It is the home of the request's key.
    KeyHome,
    /// It is the entity's preferred member.
    Affinity,
    /// The entity's preferred member is overloaded; holds the number of members that were skipped.
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
            SelectionReason::KeyHome => "key",
            SelectionReason::Affinity => "own",
            SelectionReason::AffinitySkipped(_) => "own_passed_over",
            SelectionReason::Near => "near",
            SelectionReason::Any => "any",
        }
    }
}

/// Sums of load and weight over a set of members.
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
/// `traffic_fraction`: the fraction of its usual traffic that a member may get now, by its index; 0 for none
/// ([`crate::health::Health::traffic_fraction`] has it in millionths).
pub fn select_member(
    policy: &mut SelectionPolicy,
    members: &mut [Member],
    now: Duration,
    entity: &str,
    rng: &mut WyRand,
    traffic_fraction: impl Fn(usize) -> f64,
) -> Option<(usize, SelectionReason)> {
    let (mut near, mut all) = (Totals::default(), Totals::default());
    for (index, member) in members.iter_mut().enumerate() {
        let weight = member.weight_at(now, traffic_fraction(index));
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
        return by_affinity(members, now, entity, all, &traffic_fraction);
    }
    // One is added to the load of each set, so that the comparison also works in an idle pool.
    let spills_over = near.weight <= 0.0
        || (near.load + 1.0) / near.weight > ZONE_SPILL_FACTOR * (all.load + 1.0) / all.weight;
    let (total_weight, only_near, reason) = if spills_over {
        (all.weight, false, SelectionReason::Any)
    } else {
        (near.weight, true, SelectionReason::Near)
    };
    let selected = match policy {
        SelectionPolicy::LeastLoaded => {
            least_loaded(members, now, rng, only_near, &traffic_fraction)
        }
        SelectionPolicy::RoundRobin(next) => {
            round_robin(members, next, only_near, &traffic_fraction)
        }
        SelectionPolicy::TwoChoices => two_choices(
            members,
            now,
            rng,
            only_near,
            total_weight,
            &traffic_fraction,
        ),
    };
    selected.map(|member| (member, reason))
}

/// The next usable member in order of index.
fn round_robin(
    members: &[Member],
    next: &mut u32,
    only_near: bool,
    traffic_fraction: &impl Fn(usize) -> f64,
) -> Option<usize> {
    let count = members.len();
    let is_usable =
        |index: &usize| traffic_fraction(*index) > 0.0 && (!only_near || members[*index].near);
    let selected = (0..count)
        .map(|index| (index + *next as usize) % count)
        .find(is_usable)?;
    *next = (selected as u32 + 1) % count as u32;
    Some(selected)
}

/// The one of two members drawn by weight that has the lower load relative to its weight.
fn two_choices(
    members: &mut [Member],
    now: Duration,
    rng: &mut WyRand,
    only_near: bool,
    total_weight: f64,
    traffic_fraction: &impl Fn(usize) -> f64,
) -> Option<usize> {
    let mut draw = |except: Option<usize>| {
        let fraction = f64::from(rng.generate::<u32>());
        let mut remaining = total_weight * fraction / (f64::from(u32::MAX) + 1.0);
        let mut last = None;
        for (index, member) in members.iter().enumerate() {
            let weight = member.weight_at(now, traffic_fraction(index));
            if weight <= 0.0 || (only_near && !member.near) {
                continue;
            }
            last = Some(index);
            if remaining < weight {
                break;
            }
            remaining -= weight;
        }
        last.filter(|drawn| Some(*drawn) != except)
    };
    let first = draw(None)?;
    let second = (0..MAX_DRAWS)
        .find_map(|_| draw(Some(first)))
        .unwrap_or(first);
    let mut relative_load = |index: usize| {
        (members[index].load(now) + 1.0) / members[index].weight_at(now, traffic_fraction(index))
    };
    Some(if relative_load(second) < relative_load(first) {
        second
    } else {
        first
    })
}

/// The member with the lowest load relative to its weight; ties are broken at random.
fn least_loaded(
    members: &mut [Member],
    now: Duration,
    rng: &mut WyRand,
    only_near: bool,
    traffic_fraction: &impl Fn(usize) -> f64,
) -> Option<usize> {
    let mut best: Option<(f64, usize)> = None;
    let mut ties = 0u32;
    for (index, member) in members.iter_mut().enumerate() {
        if only_near && !member.near {
            continue;
        }
        let weight = member.weight_at(now, traffic_fraction(index));
        if weight <= 0.0 {
            continue;
        }
        let relative_load = (member.load(now) + 1.0) / weight;
        match best {
            Some((least, _)) if relative_load > least => {}
            #[expect(
                clippy::float_cmp,
                reason = "only exact ties are broken at random; other loads are ordered"
            )]
            Some((least, _)) if relative_load == least => {
                // Reservoir sampling: each tied member is selected with the same probability.
                ties += 1;
                if rng.generate_range(0..ties) == 0 {
                    best = Some((relative_load, index));
                }
            }
            _ => (best, ties) = (Some((relative_load, index)), 1),
        }
    }
    best.map(|(_, index)| index)
}

/// The first member in the entity's order of preference whose load is within its bound.
fn by_affinity(
    members: &mut [Member],
    now: Duration,
    entity: &str,
    all: Totals,
    traffic_fraction: &impl Fn(usize) -> f64,
) -> Option<(usize, SelectionReason)> {
    let bound = |weight: f64| AFFINITY_LOAD_FACTOR * (all.load + 1.0) * weight / all.weight;
    let mut best: Option<(usize, f64)> = None;
    let (mut skipped, mut best_score) = (0, f64::NEG_INFINITY);
    // No sort is needed: only the best member with capacity, and the number of members that score higher.
    let mut overloaded_scores = Vec::new();
    for (index, member) in members.iter_mut().enumerate() {
        let weight = member.weight_at(now, traffic_fraction(index));
        if weight <= 0.0 {
            continue;
        }
        // Scored by its configured weight: otherwise each warm-up would move entities away and back again.
        let score = score(
            member.address_hash,
            (member.weight * 1_000.0) as u64,
            entity,
        );
        if member.load(now) + 1.0 > bound(weight).ceil().max(1.0) {
            overloaded_scores.push(score);
        } else if score > best_score {
            best_score = score;
            best = Some((index, score));
        }
    }
    let (selected, selected_score) = best?;
    skipped += overloaded_scores
        .iter()
        .filter(|score| **score > selected_score)
        .count() as u32;
    Some((
        selected,
        if skipped == 0 {
            SelectionReason::Affinity
        } else {
            SelectionReason::AffinitySkipped(skipped)
        },
    ))
}
