//! All decisions of a forwarder about one request: route and limits, member selection, retries, and the outcome.
//! It does no I/O: its user sends each [`Attempt`] and reports the [`AttemptOutcome`].
//!
//! Guarantees: every [`RequestState`] ends in exactly one [`RequestOutcome`]; a request that may have run is never
//! rejected unless its class may run any number of times, and is retried only as [`crate::retry`] allows; no attempt
//! times out later than the latency objective.
//!
//! Invariants: a member's `open` count, its concurrency limit and its pending answers count the attempts in flight to
//! it; a pool's [`FairShare`](crate::tenant_fairness::FairShare) counts the requests routed to the pool, from arrival
//! to completion.

mod attempts;
mod eligibility;
mod keyed;
mod membership;
mod pool;
mod types;
mod updates;

pub use types::{
    Attempt, AttemptOutcome, Completed, FleetCounts, MemberRef, MemberSnapshot, MemberStatusChange,
    NextAction, PoolOccupancy, RequestOutcome,
};

use crate::decision_log::{Decision, DecisionLog, DecisionOutcome, SkipReason};
use crate::key_placement::PlacementHistory;
use crate::member_selection::SelectionPolicy;
use crate::outcome_reason::OutcomeReason;
use crate::retry::{RetryBudget, RetryPolicy};
use crate::retry_after::{clamp_to_configuration, with_jitter};
use crate::router::{Admission, RejectReason, Rejected, RouteDecision, Router};
use crate::stall_clock::StallClock;
use crate::table::{Request, Table};
use crate::tenant_fairness::{TenantKey, TenantShares};
use crate::ConfigurationError;
use eligibility::Eligibility;
use foldhash::{HashMap, HashMapExt};
use nanorand::WyRand;
use pool::{any_warm_up, new_pools, Pool};
use rainstand_config::schema::{self, Configuration, RepeatKind};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Upper bound of the factor by which the retry-after grows for a tenant over its share.
const MAX_SHARE_EXCESS: f64 = 1_000.0;
/// Selection weight of a draining member: low enough that it is used only if there is no other.
const DRAINING_WEIGHT: f64 = 1e-6;
/// Combined with the seed by XOR, so that warm-up phases have a random sequence of their own.
const PHASES_SEED: u64 = 0x7261_6d70;
/// Combined with the seed by XOR, so that selection and jitter have a random sequence of their own.
const SELECTION_SEED: u64 = 0x666c_6565;

/// When the retry-after of a member for a tenant ends, by member and [`eligibility::pause_key`].
type Pauses = HashMap<(MemberRef, u32), Duration>;

/// The last attempt of a request. It also names pool and member, since a version installed in the meantime may have
/// changed their indices.
#[derive(Debug)]
struct SentAttempt {
    member: MemberRef,
    pool_name: Rc<str>,
    address: Rc<str>,
    sent_at: Duration,
    /// Total time for which this process had stalled when the attempt was sent.
    stalled_before: Duration,
}

/// The member that is the home of a request's key.
#[derive(Debug)]
struct KeyHome {
    address: Rc<str>,
    /// When the first attempt was sent there.
    first_sent_at: Duration,
}

/// An admitted request. It must be passed back to [`Fleet::on_attempt_outcome`] or [`Fleet::on_retry_due`]: if it is
/// dropped, its places are never released.
#[must_use = "a dropped request state never releases its places"]
#[derive(Debug)]
pub struct RequestState {
    decision: RouteDecision,
    request_class: u16,
    tenant: Option<u16>,
    tenant_key: TenantKey,
    entity: Box<str>,
    /// Its idempotency key; empty if repeats are not recognized by a key.
    key: Box<str>,
    /// The home of its key, once an attempt was sent there: all attempts go to it.
    home: Option<KeyHome>,
    /// How long after an attempt a repeat of it may come.
    window: Duration,
    repeat: RepeatKind,
    /// Whether it arrived marked as a retry.
    is_retry: bool,
    policy: RetryPolicy,
    attempts: u32,
    arrived: Duration,
    /// Latency objective, counted from `arrived`.
    objective: Duration,
    may_have_run: bool,
    last_attempt: Option<SentAttempt>,
    /// Whether the last attempt is pending.
    in_flight: bool,
}

/// How requests of one route are retried.
#[derive(Clone, Copy)]
struct RetryPlan {
    policy: RetryPolicy,
    /// Amount that each first attempt adds to the retry budget, in millionths of a retry.
    budget_share: u64,
}

/// A tenant that exceeds its share of a scarce pool.
#[derive(Clone, Copy)]
struct ShareExcess {
    pool: u16,
    /// Factor by which it exceeds its share.
    factor: f64,
}

/// Routes, pools and members as one forwarder sees them. See the module documentation.
pub struct Fleet {
    router: Router,
    /// By index of the route in the current version.
    retry_plans: Vec<RetryPlan>,
    zone: String,
    pools: Vec<Pool>,
    shares: TenantShares,
    /// The version that last changed indices of routes, pools, members, tenants or classes.
    indices_since: u64,
    /// The version that last reset the fair shares of the pools.
    fair_shares_since: u64,
    pauses: Pauses,
    budget: RetryBudget,
    /// Random numbers for selection, backoff and jitter.
    random: WyRand,
    /// Random numbers for the phases of warm-up limits.
    phases: WyRand,
    has_warm_up: bool,
    counts: FleetCounts,
    stalls: StallClock,
    /// Status changes since the last tick.
    status_changes: Vec<MemberStatusChange>,
    decisions: DecisionLog,
    selection_policy: SelectionPolicy,
    /// Selection weights of the members of one pool; a field only to reuse its memory.
    weights: Vec<f64>,
    key_history: PlacementHistory,
    /// How long moves of keys matter to any class of any version so far.
    key_retention: Duration,
}

/// The retry plan of each route: from the route's own policy, else from that of its first pool.
fn retry_plans(table: &Table) -> impl Iterator<Item = RetryPlan> + '_ {
    let configuration = table.configuration();
    let no_retry = RetryPlan {
        policy: RetryPolicy {
            attempts: 1,
            min_backoff: Duration::ZERO,
            max_backoff: Duration::ZERO,
            proof: schema::Proof::NotRun,
        },
        budget_share: 0,
    };
    let routes = configuration.routes.iter().zip(&table.routes);
    routes.map(move |(route, compiled)| {
        let pool_policy = compiled.to.first().map_or("", |target| {
            &configuration.pools[usize::from(target.pool)].attempts
        });
        let name = if route.attempts.is_empty() {
            pool_policy
        } else {
            &route.attempts
        };
        let attempts = configuration
            .attempts
            .iter()
            .find(|attempts| attempts.name == name);
        attempts.map_or(no_retry, |attempts| RetryPlan {
            policy: RetryPolicy::from(attempts),
            budget_share: attempts.budget,
        })
    })
}

fn tenant_shares(configuration: &Configuration) -> TenantShares {
    TenantShares::new(configuration.tenants.iter().map(|tenant| tenant.share))
}

impl Fleet {
    /// `zone` is the zone of this forwarder; empty if none is configured.
    ///
    /// # Errors
    /// As [`Router::new`].
    pub fn new(
        configuration: &Configuration,
        zone: &str,
        seed: u64,
        now: Duration,
    ) -> Result<Self, ConfigurationError> {
        Self::from_owned(configuration.clone(), zone, seed, now)
    }

    /// As [`Fleet::new`], without a copy of the configuration.
    ///
    /// # Errors
    /// As [`Router::from_owned`].
    pub fn from_owned(
        configuration: Configuration,
        zone: &str,
        seed: u64,
        now: Duration,
    ) -> Result<Self, ConfigurationError> {
        let mut phases = WyRand::new_seed(seed ^ PHASES_SEED);
        let router = Router::from_owned(configuration, seed)?;
        let pools = new_pools(router.table().configuration(), zone, &mut phases, now);
        let key_retention = keyed::key_retention(router.table().configuration());
        Ok(Self {
            retry_plans: retry_plans(router.table()).collect(),
            shares: tenant_shares(router.table().configuration()),
            indices_since: 1,
            fair_shares_since: 1,
            router,
            zone: zone.to_owned(),
            has_warm_up: any_warm_up(&pools),
            pools,
            phases,
            pauses: HashMap::new(),
            budget: RetryBudget::default(),
            random: WyRand::new_seed(seed ^ SELECTION_SEED),
            counts: FleetCounts::default(),
            stalls: StallClock::default(),
            status_changes: Vec::new(),
            decisions: DecisionLog::default(),
            selection_policy: SelectionPolicy::default(),
            weights: Vec::new(),
            key_history: PlacementHistory::default(),
            key_retention,
        })
    }

    /// Replaces the default selection policy, for comparisons.
    pub fn set_selection_policy(&mut self, policy: SelectionPolicy) {
        self.selection_policy = policy;
    }

    /// Excludes stalls of this process from the measurements of members. From now on, [`Fleet::on_turn`] must be called
    /// at least every `interval` while requests are in flight.
    pub fn expect_turns(&mut self, interval: Duration) {
        self.stalls.expect_turns(interval);
    }

    /// Records that no request is in flight; no turns are expected until the next request.
    pub fn on_idle(&mut self) {
        self.stalls.on_idle();
    }

    /// Records a turn of the event loop. Each event of a request counts as one, too.
    pub fn on_turn(&mut self, now: Duration) {
        let Some(stall) = self.stalls.on_turn(now) else {
            return;
        };
        let healths = self
            .pools
            .iter_mut()
            .filter_map(|pool| pool.health.as_mut());
        healths.for_each(|health| health.on_stall(now, stall));
    }

    /// Total time for which this process has stalled while turns were expected.
    pub fn stalled(&self) -> Duration {
        self.stalls.total()
    }

    /// The table of the current version.
    pub fn table(&self) -> &Table {
        self.router.table()
    }

    /// The number of the current version.
    pub fn version(&self) -> u64 {
        let versions = self.router.versions();
        versions.last().map_or(0, |version| version.number)
    }

    /// The version that last changed indices of routes, pools, members, tenants or classes.
    pub fn indices_since(&self) -> u64 {
        self.indices_since
    }

    /// Counters since the start.
    pub fn counts(&self) -> FleetCounts {
        self.counts
    }

    /// The router that this fleet uses.
    pub fn router(&self) -> &Router {
        &self.router
    }

    /// The last decisions, by indices of the current version.
    pub fn decisions(&self) -> &DecisionLog {
        &self.decisions
    }

    /// The address of a member.
    ///
    /// # Panics
    /// If there is no such member in the current version.
    pub fn address(&self, at: MemberRef) -> &Rc<str> {
        &self.pools[usize::from(at.pool)].addresses[usize::from(at.member)]
    }

    /// The places of a pool, and how many are held.
    ///
    /// # Panics
    /// If there is no such pool in the current version.
    pub fn pool_occupancy(&self, pool: u16) -> PoolOccupancy {
        let pool = &self.pools[usize::from(pool)];
        PoolOccupancy {
            places: pool.places,
            held: pool.fair_share.open(),
        }
    }

    /// Number of stored retry-afters of members.
    pub fn pause_count(&self) -> usize {
        self.pauses.len()
    }

    /// Admits or rejects a new request; an admitted one gets its first attempt.
    pub fn on_arrival(&mut self, now: Duration, request: &Request<'_>) -> NextAction {
        self.on_turn(now);
        let request = &self.with_recognized_key(request);
        let tenant_key = TenantKey::new(request.tenant, request.tenant_hash);
        let eligibility = Eligibility {
            pools: &self.pools,
            pauses: &self.pauses,
            now,
            tenant: tenant_key,
        };
        let excess: Cell<Option<ShareExcess>> = Cell::new(None);
        let usable = |index: u16| {
            let pool = &eligibility.pools[usize::from(index)];
            let shares = &self.shares;
            match pool.fair_share.check_share(shares, tenant_key, pool.places) {
                Ok(()) => eligibility.any_usable(index, None),
                Err(factor) => {
                    let pool = index;
                    excess.set(Some(ShareExcess { pool, factor }));
                    false
                }
            }
        };
        match self.router.on_arrival(now, request, usable) {
            Admission::Admitted(decision) => self.admit(now, request, tenant_key, decision),
            Admission::Rejected(rejected) => {
                self.reject(now, request, tenant_key, rejected, excess.get())
            }
        }
    }

    fn admit(
        &mut self,
        now: Duration,
        request: &Request<'_>,
        tenant_key: TenantKey,
        decision: RouteDecision,
    ) -> NextAction {
        let placement = decision.placement;
        let pool = &mut self.pools[usize::from(placement.pool)];
        pool.fair_share.on_request(&self.shares, tenant_key, now);
        pool.fair_share.acquire(tenant_key);
        let plan = self.retry_plans[usize::from(placement.route)];
        self.budget.on_first_attempt(plan.budget_share);
        let class = usize::from(request.request_class);
        let held_until = self.held_until(now, request, &decision);
        let state = RequestState {
            objective: decision.times.objective,
            decision,
            request_class: request.request_class,
            tenant: request.tenant,
            tenant_key,
            entity: request.entity.into(),
            key: request.key.into(),
            home: None,
            window: Duration::from_nanos(self.table().configuration().types[class].window_ns),
            repeat: self.table().configuration().types[class].repeat(),
            is_retry: request.is_retry,
            policy: plan.policy,
            attempts: 0,
            arrived: now,
            may_have_run: false,
            last_attempt: None,
            in_flight: false,
        };
        self.counts.first_attempts += 1;
        match held_until {
            Some(until) => self.reject_held(now, state, until),
            None => self.dispatch(now, state),
        }
    }

    /// Rejects a request that the router did not admit.
    fn reject(
        &mut self,
        now: Duration,
        request: &Request<'_>,
        tenant_key: TenantKey,
        rejected: Rejected,
        excess: Option<ShareExcess>,
    ) -> NextAction {
        let Rejected {
            reason: reject_reason,
            mut retry_after,
            route,
        } = rejected;
        let mut reason = OutcomeReason::Router(reject_reason);
        if let (RejectReason::NoPool, Some(route)) = (reject_reason, route) {
            if let Some(excess) = excess {
                retry_after = self.retry_after_excess(now, tenant_key, excess);
                reason = OutcomeReason::TenantOverShare;
                self.counts.over_tenant_share += 1;
            } else if let Some(earliest) = self.earliest_retry_on_route(route, tenant_key, now) {
                retry_after = earliest;
            }
            retry_after = with_jitter(retry_after, &mut self.random);
            retry_after = clamp_to_configuration(self.table(), Some(route), None, retry_after);
        }
        self.counts.rejected += 1;
        let rejected = DecisionOutcome::Rejected {
            reason,
            after: retry_after,
        };
        let mut decision = Decision::new(now, request.request_class, request.tenant, rejected);
        decision.route = route;
        self.decisions.push(decision);
        NextAction::Completed(Completed {
            outcome: RequestOutcome::Rejected {
                after: retry_after,
                nowhere_else: false,
            },
            reason,
            version: self.version(),
            route,
            pool: None,
            attempts: 0,
            elapsed: Duration::ZERO,
        })
    }

    /// Records the request of a tenant over its share. Returns the time after which as many of its requests as exceed
    /// the share have probably ended.
    fn retry_after_excess(
        &mut self,
        now: Duration,
        tenant_key: TenantKey,
        excess: ShareExcess,
    ) -> Duration {
        let pool = &mut self.pools[usize::from(excess.pool)];
        pool.fair_share.on_request(&self.shares, tenant_key, now);
        pool.typical_duration()
            .mul_f64(excess.factor.min(MAX_SHARE_EXCESS))
    }

    /// As [`Fleet::earliest_retry`], over all pools of a route.
    fn earliest_retry_on_route(
        &self,
        route: u16,
        tenant_key: TenantKey,
        now: Duration,
    ) -> Option<Duration> {
        let targets = &self.table().routes[usize::from(route)].to;
        targets
            .iter()
            .filter_map(|target| self.earliest_retry(target.pool, tenant_key, now))
            .min()
    }

    /// Which members requests of a tenant may use now.
    fn eligibility(&self, now: Duration, tenant: TenantKey) -> Eligibility<'_> {
        Eligibility {
            pools: &self.pools,
            pauses: &self.pauses,
            now,
            tenant,
        }
    }

    /// Time until the first member of a pool may take a request; `None` for a pool without members.
    fn earliest_retry(&self, pool: u16, tenant_key: TenantKey, now: Duration) -> Option<Duration> {
        let eligibility = self.eligibility(now, tenant_key);
        let typical_duration = self.pools[usize::from(pool)].typical_duration();
        let wait = |member: u16| match eligibility.skip(MemberRef { pool, member }) {
            Some(skip) if skip.reason != SkipReason::Full => skip.until.saturating_sub(now),
            // A place is free again when a typical attempt has ended.
            _ => typical_duration,
        };
        (0..eligibility.member_count(pool)).map(wait).min()
    }
}
