//! A request's way through a forwarder, decided: route and limits, a member, what follows each try, and the one
//! answer. Sockets are elsewhere; they carry out a [`Attempt`] and bring back what [`AttemptOutcome`].
//!
//! Rules held here: every [`RequestState`] ends in exactly one [`RequestOutcome`]; what may have run is never dismissed unless its
//! type may run any number of times, and sent again only as [`crate::retry`] allows; the cut of each try lies
//! within what is left of the goal time, so an answer is there before it.
//!
//! Invariants: a member's `open` count, its limit's and what its health owes are the trips that are at it; a pool's
//! [`FairShare`] holds the trips whose way leads to it, from their arrival to their end.

use crate::adaptive_concurrency::ConcurrencyLimit;
use crate::decision_log::{Decision, DecisionLog, DecisionOutcome, SkipReason};
use crate::health::{Ejection, Health, HealthRules, MemberStatus, StatusChange};
use crate::member_selection::{self, Member, SelectionPolicy, SelectionReason};
use crate::retry::{
    self, AttemptResult, NoRetryReason, RetryBudget, RetryContext, RetryDecision, RetryPolicy,
};
use crate::router::{self, clamp_retry_after, Admission, Rejected, RouteDecision, Router};
use crate::table::{Request, Table};
use crate::table_update::{EntryKind, TableChange as Named};
use crate::tenant_fairness::{FairShare, TenantKey, TenantShares};
use crate::warm_up::{WarmUpLimiter, WarmUpRule};
use crate::weighted_split::name_hash;
use crate::ConfigurationError;
use foldhash::{HashMap, HashMapExt};
use nanorand::{Rng, WyRand};
use rainstand_config::schema::{self, Configuration, RepeatKind};
use rainstand_config::units::ONE;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Told where nothing else is known of when to come back.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Told times: at least what a caller needs to come again, at most what anybody can promise.
const RETRY_AFTER_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(10), Duration::from_secs(60));
/// A told time is longer by up to this part, by chance: all who are told the same must not come back at once.
const RETRY_AFTER_JITTER: f64 = 0.5;
/// A try is assumed to take so long while nobody knows.
const DEFAULT_DURATION: Duration = Duration::from_millis(20);
/// A member that says it leaves gets nothing for this long: then it is gone, or was not leaving at all.
const LEAVING_HOLD: Duration = Duration::from_secs(2);
/// Against others, the weight of a member that leaves: taken where nobody else is there, and only then.
const LEAVING_WEIGHT: f64 = 1e-6;
/// Changes of standing between two looks that are told.
const MAX_STATUS_CHANGES: usize = 1_000;
/// Pairs of member and tenant whose told times are kept, 24 bytes each; more members and tenants than that
/// share them.
const MAX_PAUSES: usize = 1 << 20;

/// A member of a pool of the present version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct MemberRef {
    pub pool: u16,
    pub member: u16,
}

/// Where a try goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    pub to: MemberRef,
    /// It takes no longer than this; what then has not come is [`AttemptOutcome::TimedOut`].
    pub timeout: Duration,
    /// It goes out marked as a further try.
    pub again: bool,
    /// Which try it is, from 1.
    pub attempt_number: u32,
    pub selected_by: SelectionReason,
}

/// What came of a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    Served,
    /// With when to come back and whether elsewhere is no use.
    Rejected {
        pause: Duration,
        nowhere_else: bool,
    },
    /// Given up there, or an exception.
    Failed,
    /// No connection, or it broke before the request had left: proved not run.
    Unreachable,
    /// The connection broke with the request on it.
    Broken,
    TimedOut,
    /// Its own caller left; nothing is owed any more.
    CallerLeft,
}

impl AttemptOutcome {
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

/// The one answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    Served,
    Rejected {
        after: Duration,
        nowhere_else: bool,
    },
    Failed,
    /// Nobody waits for one.
    CallerGone,
}

impl RequestOutcome {
    pub fn as_str(self) -> &'static str {
        match self {
            RequestOutcome::Served => "honoured",
            RequestOutcome::Rejected { .. } => "dismissed",
            RequestOutcome::Failed => "given_up",
            RequestOutcome::CallerGone => "nobody",
        }
    }
}

/// Why a request ended as it did.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OutcomeReason {
    Done,
    CallerLeft,
    /// No route, no pool, or one of the configuration's limits.
    Router(router::RejectReason),
    /// Room is scarce, and its tenant has its part.
    Room,
    /// No member could take it.
    NoMember,
    /// No further try after a failure, a dismissal or a lost connection.
    Stopped(NoRetryReason),
}

impl OutcomeReason {
    pub fn as_str(self) -> &'static str {
        use router::LimitScope::*;
        match self {
            OutcomeReason::Done => "done",
            OutcomeReason::CallerLeft => "caller_left",
            OutcomeReason::Router(router::RejectReason::NoRoute) => "no_route",
            OutcomeReason::Router(router::RejectReason::NoPool) => "no_pool",
            OutcomeReason::Router(router::RejectReason::NoBucket) => "no_bucket",
            OutcomeReason::Router(router::RejectReason::Limit(Type)) => "limit_of_type",
            OutcomeReason::Router(router::RejectReason::Limit(Tenant)) => "limit_of_tenant",
            OutcomeReason::Router(router::RejectReason::Limit(Route)) => "limit_of_route",
            OutcomeReason::Router(router::RejectReason::Limit(Pool)) => "limit_of_pool",
            OutcomeReason::Room => "room_of_tenant",
            OutcomeReason::NoMember => "no_member",
            OutcomeReason::Stopped(NoRetryReason::MayHaveRun) => "may_have_run",
            OutcomeReason::Stopped(NoRetryReason::NowhereElse) => "nowhere_else",
            OutcomeReason::Stopped(NoRetryReason::FurtherTry) => "further_try",
            OutcomeReason::Stopped(NoRetryReason::Tries) => "tries",
            OutcomeReason::Stopped(NoRetryReason::Budget) => "budget",
            OutcomeReason::Stopped(NoRetryReason::Time) => "time",
        }
    }
}

/// The end of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Completed {
    pub outcome: RequestOutcome,
    pub why: OutcomeReason,
    /// Its route and pool by their places in the version under which it came in.
    pub version: u64,
    pub route: Option<u16>,
    pub pool: Option<u16>,
    pub attempts: u32,
    /// Since it arrived.
    pub elapsed: Duration,
}

/// A request under way. Lost if it is dropped: it goes back with [`Fleet::on_attempt_outcome`] or [`Fleet::on_retry_due`].
#[must_use = "a trip that is dropped keeps its places for ever"]
#[derive(Debug)]
pub struct RequestState {
    way: RouteDecision,
    traffic: u16,
    tenant: Option<u16>,
    who: TenantKey,
    entity: Box<str>,
    repeat: RepeatKind,
    again: bool,
    policy: RetryPolicy,
    attempts: u32,
    arrived: Duration,
    goal: Duration,
    may_have_run: bool,
    /// The member of the last try, and when it was sent; with the names of pool and member, since a version taken
    /// meanwhile may have given their places to others.
    at: Option<(MemberRef, Rc<str>, Rc<str>, Duration)>,
    /// That try has not come back yet.
    out: bool,
    /// It holds a place in this pool's room; not once another version took the room away.
    room: Option<(u16, u64)>,
}

#[derive(Debug)]
pub enum NextAction {
    /// Sent now.
    Dispatch(RequestState, Attempt),
    /// To be sent again after this wait, with [`Fleet::on_retry_due`].
    Backoff(RequestState, Duration),
    Completed(Completed),
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetCounts {
    pub first_attempts: u64,
    pub retries: u64,
    pub served: u64,
    pub rejected: u64,
    pub failed: u64,
    pub caller_gone: u64,
    /// Dismissed since their tenant had its part of a scarce pool.
    pub room: u64,
}

struct Pool {
    name: Rc<str>,
    addresses: Vec<Rc<str>>,
    members: Vec<Member>,
    toward: Vec<ConcurrencyLimit>,
    health: Option<Health>,
    room: FairShare,
    /// Places toward all members that can be used, as of the last look; and tries that are at any.
    places: u32,
    out: u32,
    /// Until when each member is taken for leaving.
    leaving: Vec<Duration>,
}

impl Pool {
    fn count_places(&mut self) {
        // One that comes back by a trickle has all its places, should the others be out.
        let usable = |k: &usize| {
            self.health
                .as_ref()
                .is_none_or(|health| health.usable(*k) > 0)
        };
        let all = (0..self.members.len()).filter(usable);
        let sum: f64 = all.map(|k| self.toward[k].places()).sum();
        self.places = (sum.ceil() as u32).max(1);
    }

    fn typical_duration(&self) -> Duration {
        self.health
            .as_ref()
            .and_then(Health::typical_duration)
            .unwrap_or(DEFAULT_DURATION)
    }
}

/// What a member is like now; for those who look.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberSnapshot<'f> {
    pub address: &'f str,
    pub open: u32,
    pub limit: u32,
    pub status: MemberStatus,
    pub near: bool,
    pub leaving: bool,
}

/// See the module's head.
pub struct Fleet {
    router: Router,
    /// What routes of the present version say of further tries, and the budget's share.
    plans: Vec<(RetryPolicy, u64)>,
    zone: String,
    pools: Vec<Pool>,
    /// What tenants have of a scarce pool.
    shares: TenantShares,
    /// The version since which pools, members, routes and tenants have their places, and since which pools and tenants.
    places_since: u64,
    rooms_since: u64,
    /// Until when a member told a tenant to stay away, by member over all pools and tenant.
    pauses: HashMap<(MemberRef, u32), Duration>,
    budget: RetryBudget,
    chance: WyRand,
    /// For the ramps alone, and whether any member has one.
    phases: WyRand,
    ramps: bool,
    counts: FleetCounts,
    /// Changes of standing since the last look.
    changes: Vec<(MemberRef, MemberStatus)>,
    decisions: DecisionLog,
    pick: SelectionPolicy,
    /// Of the pool at hand, what each member may get; kept for its memory.
    weights: Vec<f64>,
}

/// What all forwarders together may send to a member while it warms up, and this one's part of it.
fn rule(pool: &schema::Pool, member: &schema::Member) -> Option<WarmUpRule> {
    let rate = pool
        .warm_rate
        .as_ref()
        .filter(|rate| rate.micro_tickets > 0 && rate.per_ns > 0)?;
    let window = Duration::from_nanos(rate.per_ns);
    let warm_up = Duration::from_nanos(member.warm_up_ns);
    let micro = rate.micro_tickets as f64 * (member.weight as f64 / ONE as f64);
    let rate = micro / ONE as f64 / window.as_secs_f64();
    (rate > 0.0 && !warm_up.is_zero()).then(|| WarmUpRule::new(rate, window, pool.senders, warm_up))
}

fn pools(
    configuration: &Configuration,
    zone: &str,
    phases: &mut WyRand,
    now: Duration,
) -> Vec<Pool> {
    configuration
        .pools
        .iter()
        .map(|pool| made(pool, configuration, zone, phases, now))
        .collect()
}

/// Limits and health of a pool as the configuration has them.
fn settings(
    pool: &schema::Pool,
    configuration: &Configuration,
) -> (Option<u64>, Option<HealthRules>) {
    let health = configuration
        .health
        .iter()
        .find(|one| one.name == pool.health);
    let limits = configuration
        .limits
        .iter()
        .find(|one| one.name == pool.limits);
    (
        limits.map(|one| one.at_once).filter(|most| *most > 0),
        health.map(HealthRules::from),
    )
}

fn made(
    pool: &schema::Pool,
    configuration: &Configuration,
    zone: &str,
    phases: &mut WyRand,
    now: Duration,
) -> Pool {
    let (most, health) = settings(pool, configuration);
    let member = |m: &schema::Member| {
        let near = !zone.is_empty() && m.zone == zone;
        let weight = m.weight as f64 / ONE as f64;
        let mut made = Member::new(
            name_hash(&m.address),
            weight,
            near,
            Duration::from_nanos(m.warm_up_ns),
        );
        made.ramp = rule(pool, m).map(|rule| {
            let phase = f64::from(phases.generate::<u32>()) / (f64::from(u32::MAX) + 1.0);
            WarmUpLimiter::new(rule, phase, now)
        });
        made
    };
    let mut made = Pool {
        name: pool.name.as_str().into(),
        addresses: pool
            .members
            .iter()
            .map(|member| member.address.as_str().into())
            .collect(),
        members: pool.members.iter().map(member).collect(),
        toward: pool
            .members
            .iter()
            .map(|_| ConcurrencyLimit::new(most, now))
            .collect(),
        health: health.map(|rules| Health::new(rules, pool.members.len(), now)),
        room: FairShare::default(),
        places: 0,
        out: 0,
        leaving: vec![Duration::ZERO; pool.members.len()],
    };
    made.count_places();
    made
}

/// What was learned of members that are still there stays with them.
fn carry(pool: &mut Pool, before: Pool, now: Duration) {
    let same = before.addresses == pool.addresses;
    for (k, address) in before.addresses.iter().enumerate() {
        if let Some(new) = pool.addresses.iter().position(|one| one == address) {
            pool.members[new].open = before.members[k].open;
            pool.out += before.members[k].open;
            pool.members[new].started = before.members[k].started;
            if let (Some(ramp), Some(before)) =
                (&mut pool.members[new].ramp, &before.members[k].ramp)
            {
                ramp.carry(before, now);
            }
            pool.toward[new].carry(&before.toward[k]);
            pool.leaving[new] = before.leaving[k];
        }
    }
    // Standings go by place, so they stay only where the members are the same.
    if let (true, Some(health), Some(mut before)) = (same, &mut pool.health, before.health) {
        before.set_rules(health.rules());
        *health = before;
    }
    pool.count_places();
}

fn any_ramp(pools: &[Pool]) -> bool {
    pools
        .iter()
        .any(|pool| pool.members.iter().any(|member| member.ramp.is_some()))
}

/// What each route says of further tries: its own word, else that of its first pool.
fn plans(table: &Table) -> impl Iterator<Item = (RetryPolicy, u64)> + '_ {
    let c = table.configuration();
    let once = RetryPolicy {
        attempts: 1,
        min_backoff: Duration::ZERO,
        max_backoff: Duration::ZERO,
        proof: schema::Proof::NotRun,
    };
    c.routes
        .iter()
        .zip(&table.routes)
        .map(move |(route, compiled)| {
            let of_pool = compiled
                .to
                .first()
                .map_or("", |to| &c.pools[usize::from(to.pool)].attempts);
            let named = if route.attempts.is_empty() {
                of_pool
            } else {
                &route.attempts
            };
            let attempts = c.attempts.iter().find(|one| one.name == named);
            (
                attempts.map_or(once, RetryPolicy::from),
                attempts.map_or(0, |one| one.budget),
            )
        })
}

fn shares(configuration: &Configuration) -> TenantShares {
    TenantShares::new(configuration.tenants.iter().map(|tenant| tenant.share))
}

impl Fleet {
    /// `zone`: where this forwarder stands; empty if it does not say.
    ///
    /// # Errors
    /// As [`Router::new`].
    pub fn new(
        configuration: &Configuration,
        zone: &str,
        seed: u64,
        now: Duration,
    ) -> Result<Self, ConfigurationError> {
        Self::of(configuration.clone(), zone, seed, now)
    }

    /// The same, of a message that is given away.
    ///
    /// # Errors
    /// As [`Router::of`].
    pub fn of(
        configuration: Configuration,
        zone: &str,
        seed: u64,
        now: Duration,
    ) -> Result<Self, ConfigurationError> {
        let mut phases = WyRand::new_seed(seed ^ 0x7261_6d70);
        let router = Router::of(configuration, seed)?;
        let pools = pools(router.table().configuration(), zone, &mut phases, now);
        Ok(Self {
            plans: plans(router.table()).collect(),
            shares: shares(router.table().configuration()),
            places_since: 1,
            rooms_since: 1,
            router,
            zone: zone.to_owned(),
            ramps: any_ramp(&pools),
            pools,
            phases,
            pauses: HashMap::new(),
            budget: RetryBudget::default(),
            chance: WyRand::new_seed(seed ^ 0x666c_6565),
            counts: FleetCounts::default(),
            changes: Vec::new(),
            decisions: DecisionLog::default(),
            pick: SelectionPolicy::default(),
            weights: Vec::new(),
        })
    }

    /// Another rule than the least known, for those who compare them.
    pub fn set_selection_policy(&mut self, pick: SelectionPolicy) {
        self.pick = pick;
    }

    pub fn table(&self) -> &Table {
        self.router.table()
    }

    /// The number of the present version.
    pub fn version(&self) -> u64 {
        self.router
            .versions()
            .last()
            .map_or(0, |(number, _)| number)
    }

    pub fn counts(&self) -> FleetCounts {
        self.counts
    }

    pub fn router(&self) -> &Router {
        &self.router
    }

    pub fn decisions(&self) -> &DecisionLog {
        &self.decisions
    }

    pub fn address(&self, at: MemberRef) -> &Rc<str> {
        &self.pools[usize::from(at.pool)].addresses[usize::from(at.member)]
    }

    /// A new version. Members are known by address: what was learned of one stays with it in each pool that
    /// keeps it, trips at it are still counted, and those at a member that went end as they end.
    ///
    /// # Errors
    /// As [`Router::install`]; nothing has changed then.
    pub fn install(
        &mut self,
        configuration: &Configuration,
        now: Duration,
    ) -> Result<u64, ConfigurationError> {
        self.install_owned(configuration.clone(), now)
    }

    /// The same, of a message that is given away.
    ///
    /// # Errors
    /// As [`Fleet::install`].
    pub fn install_owned(
        &mut self,
        configuration: Configuration,
        now: Duration,
    ) -> Result<u64, ConfigurationError> {
        let number = self.router.install_owned(configuration, now)?;
        let c = self.router.table().configuration();
        let made = pools(c, &self.zone, &mut self.phases, now);
        self.shares = shares(c);
        let old = std::mem::replace(&mut self.pools, made);
        for before in old {
            let Some(at) = self.table().pool(&before.name) else {
                continue;
            };
            carry(&mut self.pools[usize::from(at)], before, now);
        }
        self.plan();
        self.places_are_new(number);
        // They speak of tenants and pools by their places.
        self.pauses.clear();
        self.rooms_since = number;
        Ok(number)
    }

    /// A change of named things as a new version: what it says nothing of stays as it is, with all that was learned.
    /// Pools have their members whole.
    ///
    /// # Errors
    /// As [`Router::apply`]; nothing has changed then.
    pub fn apply(&mut self, changes: &[Named], now: Duration) -> Result<u64, ConfigurationError> {
        let names = |kind: EntryKind| {
            changes
                .iter()
                .map(Named::key)
                .filter(move |of| of.0 == kind)
                .map(|(_, name)| name)
        };
        let gone = |kind: EntryKind| {
            changes
                .iter()
                .any(|one| matches!(one, Named::Remove(of, _) if *of == kind))
        };
        let before = self.table().route_places(names(EntryKind::Route));
        let number = self.router.apply(changes, now)?;
        let table = self.router.table();
        let c = table.configuration();
        for at in names(EntryKind::Tenant)
            .filter_map(|name| table.tenant(name))
            .map(usize::from)
        {
            // New ones stand behind all others.
            for at in self.shares.len().min(at)..=at {
                self.shares.set(at, c.tenants[at].share);
            }
        }
        if gone(EntryKind::Tenant) {
            self.shares = shares(c);
        }
        let told = |pool: &schema::Pool| {
            names(EntryKind::Pool).any(|name| name == pool.name)
                || names(EntryKind::Limits).any(|name| name == pool.limits)
                || names(EntryKind::Health).any(|name| name == pool.health)
        };
        let mut touched = gone(EntryKind::Pool);
        if touched {
            // Places of pools are others: in the order of the table.
            let mut old: HashMap<Rc<str>, Pool> = self
                .pools
                .drain(..)
                .map(|pool| (pool.name.clone(), pool))
                .collect();
            let kept = |pool: &schema::Pool| old.remove(pool.name.as_str());
            let found: Vec<Option<Pool>> = c.pools.iter().map(kept).collect();
            let placed = found.into_iter().zip(&c.pools);
            let (zone, phases) = (&self.zone, &mut self.phases);
            self.pools = placed
                .map(|(there, pool)| there.unwrap_or_else(|| made(pool, c, zone, phases, now)))
                .collect();
        }
        for (at, pool) in c.pools.iter().enumerate().filter(|(_, pool)| told(pool)) {
            let new = made(pool, c, &self.zone, &mut self.phases, now);
            match self.pools.get_mut(at) {
                Some(there) => {
                    let mut before = std::mem::replace(there, new);
                    there.room = std::mem::take(&mut before.room);
                    carry(there, before, now);
                }
                None => self.pools.push(new),
            }
            touched = true;
        }
        let routes = before != self.router.table().route_places(names(EntryKind::Route));
        if routes
            || touched
            || [EntryKind::Route, EntryKind::Attempts]
                .into_iter()
                .any(|kind| names(kind).count() > 0)
        {
            self.plan();
        }
        let gone = gone(EntryKind::Tenant) || gone(EntryKind::Pool) || gone(EntryKind::Type);
        if routes || touched || gone {
            self.places_are_new(number);
            self.pauses.clear();
        }
        if gone {
            self.pools
                .iter_mut()
                .for_each(|pool| pool.room = FairShare::default());
            self.rooms_since = number;
        }
        Ok(number)
    }

    fn plan(&mut self) {
        self.plans.clear();
        self.plans.extend(plans(self.router.table()));
    }

    /// What speaks of places of the version before is forgotten.
    fn places_are_new(&mut self, number: u64) {
        self.places_since = number;
        self.ramps = any_ramp(&self.pools);
        self.changes.clear();
        self.decisions.clear();
    }

    /// The version since which routes, pools, members, tenants and types have the places that they have now.
    pub fn indices_since(&self) -> u64 {
        self.places_since
    }

    /// The places in all pools of the member with this address.
    fn places_of(&self, address: &str) -> Vec<MemberRef> {
        let pools = self.pools.iter().enumerate();
        let at = |(pool, one): (usize, &Pool)| {
            let member = one.addresses.iter().position(|known| **known == *address)?;
            Some(MemberRef {
                pool: pool as u16,
                member: member as u16,
            })
        };
        pools.filter_map(at).collect()
    }

    /// A member came back under its address: what was learned of the one before does not hold.
    pub fn on_restarted(&mut self, address: &str, now: Duration) {
        for at in self.places_of(address) {
            let (pool, member) = (
                &mut self.pools[usize::from(at.pool)],
                usize::from(at.member),
            );
            pool.members[member].started = Some(now);
            if let Some(ramp) = &mut pool.members[member].ramp {
                ramp.on_connected(now, now);
            }
            pool.leaving[member] = Duration::ZERO;
            if let Some(health) = &mut pool.health {
                health.on_restarted(member, now);
            }
        }
    }

    /// Whether any member has a ramp of what all may send it: then [`Fleet::on_connected`] and [`Fleet::on_disconnected`] are owed.
    pub fn has_warm_up(&self) -> bool {
        self.ramps
    }

    /// There has been a connection to a member without a gap since then: it is at least as old.
    pub fn on_connected(&mut self, address: &str, since: Duration, now: Duration) {
        self.each_ramp(address, |ramp| ramp.on_connected(since, now));
    }

    /// The last connection to a member is gone: who answers there next may be a new one.
    pub fn on_disconnected(&mut self, address: &str, now: Duration) {
        self.each_ramp(address, |ramp| ramp.on_disconnected(now));
    }

    fn each_ramp(&mut self, address: &str, what: impl Fn(&mut WarmUpLimiter)) {
        if !self.ramps {
            return;
        }
        for at in self.places_of(address) {
            let member = &mut self.pools[usize::from(at.pool)].members[usize::from(at.member)];
            member.ramp.iter_mut().for_each(&what);
        }
    }

    /// A member says that it leaves: others get what comes, as long as there are others.
    pub fn on_leaving(&mut self, address: &str, now: Duration) {
        for at in self.places_of(address) {
            self.pools[usize::from(at.pool)].leaving[usize::from(at.member)] = now + LEAVING_HOLD;
        }
    }

    /// Time passes; members that are left out or taken back, each worth a line.
    pub fn tick(&mut self, now: Duration) -> Vec<(MemberRef, MemberStatus)> {
        self.router.tick(now);
        self.pauses.retain(|_, until| *until > now);
        let mut all = std::mem::take(&mut self.changes);
        for (pool, one) in self.pools.iter_mut().enumerate() {
            let changes = one
                .health
                .as_mut()
                .map_or(Vec::new(), |health| health.tick(now));
            all.extend(changes.into_iter().map(|StatusChange { member, to }| {
                (
                    MemberRef {
                        pool: pool as u16,
                        member: member as u16,
                    },
                    to,
                )
            }));
            one.room.tick(&self.shares, now);
            one.count_places();
        }
        all
    }

    /// A request came.
    pub fn on_arrival(&mut self, now: Duration, request: &Request<'_>) -> NextAction {
        let who = TenantKey::new(request.tenant, request.tenant_hash);
        let parts = Eligibility {
            pools: &self.pools,
            pauses: &self.pauses,
            now,
            who,
        };
        // The pool whose room is scarce, and how far the tenant is over its part.
        let scarce: Cell<Option<(u16, f64)>> = Cell::new(None);
        let usable = |pool: u16| {
            let one = &parts.pools[usize::from(pool)];
            match one.room.check_share(&self.shares, who, one.places) {
                Ok(()) => parts.any(pool, None),
                Err(over) => {
                    scarce.set(Some((pool, over)));
                    false
                }
            }
        };
        let way = match self.router.on_arrival(now, request, usable) {
            Admission::Admitted(way) => way,
            Admission::Rejected(turned) => {
                return self.turned(now, request, who, turned, scarce.get())
            }
        };
        let place = way.placement;
        let one = &mut self.pools[usize::from(place.pool)];
        one.room.on_request(&self.shares, who, now);
        one.room.acquire(who);
        let (policy, share) = self.plans[usize::from(place.route)];
        self.budget.on_first_attempt(share);
        let version = way.version;
        let trip = RequestState {
            goal: way.times.goal,
            way,
            traffic: request.request_class,
            tenant: request.tenant,
            who,
            entity: request.entity.into(),
            repeat: self.table().configuration().types[usize::from(request.request_class)].repeat(),
            again: request.again,
            policy,
            attempts: 0,
            arrived: now,
            may_have_run: false,
            at: None,
            out: false,
            room: Some((place.pool, version)),
        };
        self.counts.first_attempts += 1;
        self.dispatch(now, trip)
    }

    /// Turned away before it had a way: the truth about when there may be one.
    fn turned(
        &mut self,
        now: Duration,
        request: &Request<'_>,
        who: TenantKey,
        turned: Rejected,
        scarce: Option<(u16, f64)>,
    ) -> NextAction {
        let Rejected {
            why,
            mut after,
            route,
        } = turned;
        let mut told = OutcomeReason::Router(why);
        if let (router::RejectReason::NoPool, Some(route)) = (why, route) {
            let within = self.table().routes[usize::from(route)]
                .to
                .iter()
                .map(|to| to.pool);
            let pools: Vec<u16> = within.collect();
            if let Some((pool, over)) = scarce {
                // Its part is free again once as much as it is over has ended.
                let one = &mut self.pools[usize::from(pool)];
                one.room.on_request(&self.shares, who, now);
                after = one.typical_duration().mul_f64(over.min(1_000.0));
                told = OutcomeReason::Room;
                self.counts.room += 1;
            } else if let Some(soonest) = pools
                .iter()
                .filter_map(|pool| self.earliest_retry(*pool, who, now))
                .min()
            {
                after = soonest;
            }
            after = self.spread(after);
            after = clamp_retry_after(self.table(), Some(route), None, after);
        }
        self.counts.rejected += 1;
        let mut decision = Decision::new(
            now,
            request.request_class,
            request.tenant,
            DecisionOutcome::Rejected { why: told, after },
        );
        decision.route = route;
        self.decisions.push(decision);
        NextAction::Completed(Completed {
            outcome: RequestOutcome::Rejected {
                after,
                nowhere_else: false,
            },
            why: told,
            version: self.version(),
            route,
            pool: None,
            attempts: 0,
            elapsed: Duration::ZERO,
        })
    }

    /// Within the bounds of told times, and longer by chance.
    fn spread(&mut self, after: Duration) -> Duration {
        let more =
            RETRY_AFTER_JITTER * f64::from(self.chance.generate::<u32>()) / f64::from(u32::MAX);
        after
            .clamp(RETRY_AFTER_BOUNDS.0, RETRY_AFTER_BOUNDS.1)
            .mul_f64(1.0 + more)
            .min(RETRY_AFTER_BOUNDS.1)
    }

    /// From now on, when the first member of a pool may take a request again; none for a pool without any.
    fn earliest_retry(&self, pool: u16, who: TenantKey, now: Duration) -> Option<Duration> {
        let one = &self.pools[usize::from(pool)];
        let parts = Eligibility {
            pools: &self.pools,
            pauses: &self.pauses,
            now,
            who,
        };
        let when = |member: u16| match parts.passed(MemberRef { pool, member }) {
            // A place is free again when a usual request has ended.
            Some((SkipReason::Full, _)) | None => one.typical_duration(),
            Some((_, until)) => until.saturating_sub(now),
        };
        (0..parts.count(pool)).map(when).min()
    }

    /// The wait before a further try is over.
    pub fn on_retry_due(&mut self, now: Duration, trip: RequestState) -> NextAction {
        self.counts.retries += 1;
        self.dispatch(now, trip)
    }

    /// The pool of a trip in the present version.
    fn pool_now(&self, way: &RouteDecision) -> Option<u16> {
        if way.version >= self.places_since {
            return Some(way.placement.pool);
        }
        // Under a version of other places the pool is looked up by its name.
        self.table().pool(&way.pool)
    }

    /// Sends a try to a member of the trip's pool; another than the last one, if there is one.
    fn dispatch(&mut self, now: Duration, mut trip: RequestState) -> NextAction {
        let Some(pool) = self.pool_now(&trip.way) else {
            return self.end(now, trip, None, OutcomeReason::NoMember);
        };
        let last = trip
            .at
            .take()
            .map(|(at, ..)| at)
            .filter(|at| at.pool == pool);
        let parts = Eligibility {
            pools: &self.pools,
            pauses: &self.pauses,
            now,
            who: trip.who,
        };
        let others = last.is_none() || parts.any(pool, last);
        let what = DecisionOutcome::Rejected {
            why: OutcomeReason::NoMember,
            after: DEFAULT_RETRY_AFTER,
        };
        let mut decision = Decision::new(now, trip.traffic, trip.tenant, what);
        decision.pool = Some(pool);
        decision.route =
            (trip.way.version >= self.places_since).then_some(trip.way.placement.route);
        let weights = &mut self.weights;
        weights.clear();
        let mut of = 0;
        for member in 0..parts.count(pool) {
            let at = MemberRef { pool, member };
            let mut part = parts.of(at);
            if part > 0.0 && others && last == Some(at) {
                part = 0.0;
                decision.record_skipped(member, SkipReason::AlreadyTried);
            } else if let Some((why, _)) = parts.passed(at).filter(|_| part <= LEAVING_WEIGHT) {
                decision.record_skipped(member, why);
            }
            of += u16::from(part > 0.0);
            weights.push(part);
        }
        // Whoever leaves is taken where nobody else is there, and only then.
        if weights.iter().any(|weight| *weight > LEAVING_WEIGHT) {
            weights
                .iter_mut()
                .filter(|weight| **weight <= LEAVING_WEIGHT)
                .for_each(|weight| *weight = 0.0);
        }
        let one = &mut self.pools[usize::from(pool)];
        let (pick, members) = (&mut self.pick, &mut one.members);
        let chosen =
            member_selection::choose(pick, members, now, &trip.entity, &mut self.chance, |k| {
                weights[k]
            });
        let Some((member, how)) = chosen else {
            self.decisions.push(decision);
            return self.end(now, trip, None, OutcomeReason::NoMember);
        };
        let usual = one.typical_duration();
        let left = trip.goal.saturating_sub(now.saturating_sub(trip.arrived));
        let tries_left = trip.policy.attempts.saturating_sub(trip.attempts);
        trip.attempts += 1;
        let tried = RetryContext {
            repeat: trip.repeat,
            again: trip.again,
            attempts: trip.attempts,
            remaining: left,
            typical_duration: usual,
        };
        let follows = retry::may_retry(&tried, &trip.policy, &self.budget);
        let cut = retry::attempt_timeout(left, tries_left, usual, follows);
        let in_hand = one.members[member].open;
        decision.what = DecisionOutcome::Dispatched {
            member: member as u16,
            how,
            of,
            in_hand,
            tried: trip.attempts,
        };
        self.decisions.push(decision);
        one.members[member].open += 1;
        if let Some(ramp) = &mut one.members[member].ramp {
            ramp.take(now);
        }
        one.out += 1;
        one.toward[member].on_sent();
        if let Some(health) = &mut one.health {
            health.on_sent(member, now);
        }
        let to = MemberRef {
            pool,
            member: member as u16,
        };
        trip.at = Some((to, one.name.clone(), one.addresses[member].clone(), now));
        trip.out = true;
        let again = trip.again || trip.attempts > 1;
        let tried = trip.attempts;
        NextAction::Dispatch(
            trip,
            Attempt {
                to,
                timeout: cut,
                again,
                attempt_number: tried,
                selected_by: how,
            },
        )
    }

    /// What came of a trip's try.
    pub fn on_attempt_outcome(
        &mut self,
        now: Duration,
        mut trip: RequestState,
        back: AttemptOutcome,
    ) -> NextAction {
        let usual = self.settle(now, &mut trip, back);
        let came = match back {
            AttemptOutcome::Served => {
                return self.complete(now, trip, RequestOutcome::Served, OutcomeReason::Done)
            }
            AttemptOutcome::CallerLeft => {
                return self.complete(
                    now,
                    trip,
                    RequestOutcome::CallerGone,
                    OutcomeReason::CallerLeft,
                )
            }
            AttemptOutcome::Rejected {
                pause,
                nowhere_else,
            } => AttemptResult::Rejected {
                pause,
                nowhere_else,
            },
            AttemptOutcome::Unreachable => AttemptResult::NotRun,
            AttemptOutcome::Failed | AttemptOutcome::Broken | AttemptOutcome::TimedOut => {
                AttemptResult::MayHaveRun
            }
        };
        trip.may_have_run |= came == AttemptResult::MayHaveRun;
        let left = trip.goal.saturating_sub(now.saturating_sub(trip.arrived));
        let tried = RetryContext {
            repeat: trip.repeat,
            again: trip.again,
            attempts: trip.attempts,
            remaining: left,
            typical_duration: usual,
        };
        match retry::next(
            &tried,
            came,
            &trip.policy,
            &mut self.budget,
            &mut self.chance,
        ) {
            RetryDecision::Retry { wait } => NextAction::Backoff(trip, wait),
            RetryDecision::Stop(stop) => {
                self.end(now, trip, Some(came), OutcomeReason::Stopped(stop))
            }
        }
    }

    /// What a try's end tells of its member; the pool's usual time.
    fn settle(&mut self, now: Duration, trip: &mut RequestState, back: AttemptOutcome) -> Duration {
        // A caller may leave while its request waits for a further try: no member has it then.
        if !std::mem::replace(&mut trip.out, false) {
            return DEFAULT_DURATION;
        }
        let Some((at, name, address, sent)) = &trip.at else {
            return DEFAULT_DURATION;
        };
        let mut at = *at;
        if self
            .pools
            .get(usize::from(at.pool))
            .is_none_or(|pool| pool.name != *name)
        {
            // Another version numbers its pools anew; one that is gone has no books any more.
            let Some(moved) = self.pools.iter().position(|pool| pool.name == *name) else {
                return DEFAULT_DURATION;
            };
            at.pool = moved as u16;
        }
        let pool = &mut self.pools[usize::from(at.pool)];
        let member = usize::from(at.member);
        let member = if pool
            .addresses
            .get(member)
            .is_some_and(|one| Rc::ptr_eq(one, address))
        {
            member
        } else if let Some(moved) = pool.addresses.iter().position(|one| one == address) {
            moved
        } else {
            return DEFAULT_DURATION;
        };
        let took = now.saturating_sub(*sent);
        let usual = pool.typical_duration();
        pool.members[member].open = pool.members[member].open.saturating_sub(1);
        pool.out = pool.out.saturating_sub(1);
        let (good, lost) = match back {
            AttemptOutcome::Served => (Some(true), false),
            AttemptOutcome::Rejected { .. } => (None, true),
            AttemptOutcome::CallerLeft => (None, false),
            AttemptOutcome::Failed
            | AttemptOutcome::Unreachable
            | AttemptOutcome::Broken
            | AttemptOutcome::TimedOut => (Some(false), true),
        };
        pool.toward[member].on_completed(now, (good == Some(true)).then_some(took), lost);
        if good == Some(false) {
            pool.members[member].failed(*sent, usual);
        }
        if let Some(health) = &mut pool.health {
            match (good, back) {
                (Some(good), _) => {
                    let change = health.on_answer(member, now, took, good);
                    let told = change.map(|change| {
                        (
                            MemberRef {
                                pool: at.pool,
                                member: member as u16,
                            },
                            change.to,
                        )
                    });
                    self.changes
                        .extend(told.filter(|_| self.changes.len() < MAX_STATUS_CHANGES));
                }
                // It spoke, and that it has enough to do is no failure.
                (None, AttemptOutcome::Rejected { .. }) => health.on_signal(member, now),
                (None, _) => health.on_abandoned(member),
            }
        }
        if let AttemptOutcome::Rejected { pause, .. } = back {
            if !pause.is_zero() && self.pauses.len() < MAX_PAUSES {
                let at = MemberRef {
                    pool: at.pool,
                    member: member as u16,
                };
                self.pauses.insert(
                    (at, of_tenant(trip.who)),
                    now + pause.min(RETRY_AFTER_BOUNDS.1),
                );
            }
        }
        usual
    }

    /// No further try: the truth about what there was.
    fn end(
        &mut self,
        now: Duration,
        trip: RequestState,
        came: Option<AttemptResult>,
        why: OutcomeReason,
    ) -> NextAction {
        if trip.may_have_run
            && (trip.repeat != RepeatKind::Rerunnable || came == Some(AttemptResult::MayHaveRun))
        {
            return self.complete(now, trip, RequestOutcome::Failed, why);
        }
        let end = match came {
            Some(AttemptResult::Rejected {
                pause,
                nowhere_else,
            }) => RequestOutcome::Rejected {
                after: pause,
                nowhere_else,
            },
            _ => {
                let pool = self.pool_now(&trip.way);
                let soonest = pool
                    .and_then(|pool| self.earliest_retry(pool, trip.who, now))
                    .unwrap_or(DEFAULT_RETRY_AFTER);
                // Who could not be reached just now is not back in the time of a usual run.
                let least = if came.is_some() {
                    DEFAULT_RETRY_AFTER
                } else {
                    Duration::ZERO
                };
                let after = self.spread(soonest.max(least));
                RequestOutcome::Rejected {
                    after,
                    nowhere_else: false,
                }
            }
        };
        self.complete(now, trip, end, why)
    }

    fn complete(
        &mut self,
        now: Duration,
        trip: RequestState,
        end: RequestOutcome,
        why: OutcomeReason,
    ) -> NextAction {
        let count = match end {
            RequestOutcome::Served => &mut self.counts.served,
            RequestOutcome::Rejected { .. } => &mut self.counts.rejected,
            RequestOutcome::Failed => &mut self.counts.failed,
            RequestOutcome::CallerGone => &mut self.counts.caller_gone,
        };
        *count += 1;
        if let Some((pool, version)) = trip.room {
            // Rooms are made anew with each version: what is left of the one before is not counted there.
            if version >= self.rooms_since {
                self.pools[usize::from(pool)].room.release(trip.who);
            }
        }
        let over = Completed {
            outcome: end,
            why,
            version: trip.way.version,
            route: Some(trip.way.placement.route),
            pool: Some(trip.way.placement.pool),
            attempts: trip.attempts,
            elapsed: now.saturating_sub(trip.arrived),
        };
        self.router.on_completed(trip.way);
        NextAction::Completed(over)
    }

    /// The members of a pool as this forwarder sees them.
    pub fn members(
        &self,
        pool: u16,
        now: Duration,
    ) -> impl Iterator<Item = MemberSnapshot<'_>> + '_ {
        let one = &self.pools[usize::from(pool)];
        one.addresses
            .iter()
            .enumerate()
            .map(move |(k, address)| MemberSnapshot {
                address,
                open: one.members[k].open,
                limit: one.toward[k].limit(),
                status: one
                    .health
                    .as_ref()
                    .map_or(MemberStatus::Healthy, |health| health.status(k)),
                near: one.members[k].near,
                leaving: one.leaving[k] > now,
            })
    }

    /// Places toward all usable members of a pool, and requests that hold one.
    pub fn pool_occupancy(&self, pool: u16) -> (u32, u32) {
        let one = &self.pools[usize::from(pool)];
        (one.places, one.room.open())
    }

    /// Told times that are kept.
    pub fn pause_count(&self) -> usize {
        self.pauses.len()
    }
}

/// One number for a known tenant or a stranger's cell.
fn of_tenant(who: TenantKey) -> u32 {
    match who {
        TenantKey::Configured(tenant) => u32::from(tenant),
        TenantKey::Unknown(cell) => 0x1_0000 + u32::from(cell),
    }
}

/// What a request of a tenant may use now.
struct Eligibility<'f> {
    pools: &'f [Pool],
    pauses: &'f HashMap<(MemberRef, u32), Duration>,
    now: Duration,
    who: TenantKey,
}

impl Eligibility<'_> {
    fn count(&self, pool: u16) -> u16 {
        self.pools[usize::from(pool)].members.len() as u16
    }

    /// Why a member is passed over, and until when as far as that is known.
    fn passed(&self, at: MemberRef) -> Option<(SkipReason, Duration)> {
        let (pool, member) = (&self.pools[usize::from(at.pool)], usize::from(at.member));
        if let Some(Ejection { reason, until }) = pool
            .health
            .as_ref()
            .and_then(|health| health.ejection(member))
        {
            return Some((SkipReason::Ejected(reason), until));
        }
        if !self.pauses.is_empty() {
            if let Some(until) = self
                .pauses
                .get(&(at, of_tenant(self.who)))
                .filter(|until| **until > self.now)
            {
                return Some((SkipReason::RetryAfter, *until));
            }
        }
        if pool.out >= pool.places || !pool.toward[member].has_capacity() {
            return Some((SkipReason::Full, self.now));
        }
        if let Some(until) = pool.members[member]
            .ramp
            .as_ref()
            .and_then(|ramp| ramp.blocked_until(self.now))
        {
            return Some((SkipReason::WarmingUp, until));
        }
        (pool.leaving[member] > self.now).then_some((SkipReason::Leaving, pool.leaving[member]))
    }

    /// The part of its usual traffic that a member may get; 0 if it has no room, or told the tenant to wait.
    fn of(&self, at: MemberRef) -> f64 {
        match self.passed(at) {
            Some((SkipReason::Leaving, _)) => LEAVING_WEIGHT,
            Some(_) => 0.0,
            None => {
                let health = self.pools[usize::from(at.pool)].health.as_ref();
                health.map_or(1.0, |health| {
                    health.usable(usize::from(at.member)) as f64 / ONE as f64
                })
            }
        }
    }

    /// Whether any member of a pool can take the request, but one.
    fn any(&self, pool: u16, but: Option<MemberRef>) -> bool {
        (0..self.count(pool))
            .map(|member| MemberRef { pool, member })
            .any(|at| Some(at) != but && self.of(at) > 0.0)
    }
}
