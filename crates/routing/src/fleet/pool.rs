//! The state of one pool: its members with their limits and health, its places and its fair shares.

use crate::adaptive_concurrency::ConcurrencyLimit;
use crate::health::{Health, OutlierDetectionSettings};
use crate::key_placement::{HomeCandidate, KeyHomes};
use crate::member_selection::Member;
use crate::tenant_fairness::FairShare;
use crate::warm_up::{WarmUpLimiter, WarmUpRule};
use crate::weighted_split::name_hash;
use nanorand::{Rng, WyRand};
use rainstand_config::schema::{self, Configuration};
use rainstand_config::units::ONE;
use std::rc::Rc;
use std::time::Duration;

/// Assumed typical duration of an attempt while none is measured.
pub(super) const DEFAULT_DURATION: Duration = Duration::from_millis(20);

/// A pool of the current version. The vectors are indexed by member.
pub(super) struct Pool {
    pub(super) name: Rc<str>,
    pub(super) addresses: Vec<Rc<str>>,
    pub(super) members: Vec<Member>,
    /// Which members recognize the repeats of requests with a key.
    pub(super) key_homes: KeyHomes,
    pub(super) limits: Vec<ConcurrencyLimit>,
    pub(super) health: Option<Health>,
    pub(super) fair_share: FairShare,
    /// Sum of the places of all members in service, as of the last tick.
    pub(super) places: u32,
    /// Attempts in flight to any member.
    pub(super) in_flight: u32,
    /// When each member stops counting as draining.
    pub(super) draining_until: Vec<Duration>,
}

impl Pool {
    /// A pool of the configuration with no learned state. Draws one phase for each member with a warm-up limit.
    pub(super) fn new(
        pool: &schema::Pool,
        configuration: &Configuration,
        zone: &str,
        phases: &mut WyRand,
        now: Duration,
    ) -> Self {
        let max_concurrent = max_concurrent(pool, configuration);
        let members = &pool.members;
        let mut new = Self {
            name: pool.name.as_str().into(),
            addresses: members.iter().map(|m| m.address.as_str().into()).collect(),
            members: members
                .iter()
                .map(|member| new_member(pool, member, zone, phases, now))
                .collect(),
            key_homes: key_homes(pool),
            limits: members
                .iter()
                .map(|_| ConcurrencyLimit::new(max_concurrent, now))
                .collect(),
            health: health_rules(pool, configuration)
                .map(|rules| Health::new(rules, members.len(), now)),
            fair_share: FairShare::default(),
            places: 0,
            in_flight: 0,
            draining_until: vec![Duration::ZERO; members.len()],
        };
        new.update_places();
        new
    }

    /// Takes over the learned state of `before` for the members that both have, matched by address.
    pub(super) fn carry(&mut self, before: Pool, now: Duration) {
        let same_members = before.addresses == self.addresses;
        for (old, address) in before.addresses.iter().enumerate() {
            let Some(new) = self.addresses.iter().position(|other| other == address) else {
                continue;
            };
            let (member, old_member) = (&mut self.members[new], &before.members[old]);
            member.in_flight = old_member.in_flight;
            self.in_flight += old_member.in_flight;
            member.started = old_member.started;
            if let (Some(ramp), Some(old_ramp)) =
                (&mut member.warm_up_limiter, &old_member.warm_up_limiter)
            {
                ramp.carry_over_from(old_ramp, now);
            }
            self.limits[new].carry_over_from(&before.limits[old]);
            self.draining_until[new] = before.draining_until[old];
        }
        // Statuses are stored by index, so they are kept only if the members are unchanged.
        if let (true, Some(health), Some(mut old_health)) =
            (same_members, &mut self.health, before.health)
        {
            old_health.set_rules(health.rules());
            *health = old_health;
        }
        self.update_places();
    }

    /// Recomputes `places`. A probed member counts in full, in case the others are ejected.
    pub(super) fn update_places(&mut self) {
        let in_service = |member: &usize| {
            self.health
                .as_ref()
                .is_none_or(|health| health.traffic_fraction(*member) > 0)
        };
        let sum: f64 = (0..self.members.len())
            .filter(in_service)
            .map(|member| self.limits[member].fractional_limit())
            .sum();
        self.places = (sum.ceil() as u32).max(1);
    }

    /// The typical duration of an attempt.
    pub(super) fn typical_duration(&self) -> Duration {
        self.health
            .as_ref()
            .and_then(Health::median_response_time)
            .unwrap_or(DEFAULT_DURATION)
    }
}

fn key_homes(pool: &schema::Pool) -> KeyHomes {
    if pool.shared_keys {
        return KeyHomes::Shared;
    }
    KeyHomes::of_members(pool.members.iter().map(|member| HomeCandidate {
        address_hash: name_hash(&member.address),
        weight: member.weight,
    }))
}

/// All pools of a configuration.
pub(super) fn new_pools(
    configuration: &Configuration,
    zone: &str,
    phases: &mut WyRand,
    now: Duration,
) -> Vec<Pool> {
    configuration
        .pools
        .iter()
        .map(|pool| Pool::new(pool, configuration, zone, phases, now))
        .collect()
}

/// Whether any member has a warm-up limit.
pub(super) fn any_warm_up(pools: &[Pool]) -> bool {
    pools.iter().any(|pool| {
        pool.members
            .iter()
            .any(|member| member.warm_up_limiter.is_some())
    })
}

fn new_member(
    pool: &schema::Pool,
    member: &schema::Member,
    zone: &str,
    phases: &mut WyRand,
    now: Duration,
) -> Member {
    let near = !zone.is_empty() && member.zone == zone;
    let weight = member.weight as f64 / ONE as f64;
    let warm_up = Duration::from_nanos(member.warm_up_ns);
    let mut new = Member::new(name_hash(&member.address), weight, near, warm_up);
    new.warm_up_limiter = warm_up_rule(pool, member).map(|rule| {
        let phase = f64::from(phases.generate::<u32>()) / (f64::from(u32::MAX) + 1.0);
        WarmUpLimiter::new(rule, phase, now)
    });
    new
}

/// The rate at which all forwarders together may send to a member that warms up, and the share of this one.
fn warm_up_rule(pool: &schema::Pool, member: &schema::Member) -> Option<WarmUpRule> {
    let rate = pool
        .warm_rate
        .as_ref()
        .filter(|rate| rate.micro_tickets > 0 && rate.per_ns > 0)?;
    let window = Duration::from_nanos(rate.per_ns);
    let warm_up = Duration::from_nanos(member.warm_up_ns);
    let weighted_micro = rate.micro_tickets as f64 * (member.weight as f64 / ONE as f64);
    let rate = weighted_micro / ONE as f64 / window.as_secs_f64();
    (rate > 0.0 && !warm_up.is_zero()).then(|| WarmUpRule::new(rate, window, pool.senders, warm_up))
}

/// The configured upper bound of the concurrency limit of each member.
fn max_concurrent(pool: &schema::Pool, configuration: &Configuration) -> Option<u64> {
    configuration
        .limits
        .iter()
        .find(|limits| limits.name == pool.limits)
        .map(|limits| limits.at_once)
        .filter(|max| *max > 0)
}

fn health_rules(
    pool: &schema::Pool,
    configuration: &Configuration,
) -> Option<OutlierDetectionSettings> {
    configuration
        .health
        .iter()
        .find(|health| health.name == pool.health)
        .map(OutlierDetectionSettings::from)
}
