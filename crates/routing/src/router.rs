//! Routing and limits together, while configurations change under running requests.
//!
//! A request that was admitted under a version finishes under it. It carries its route, its times and the buckets that
//! count it, so that of an earlier version only its number of requests in flight is retained. Buckets of limits belong
//! to no version: they are known by name ([`crate::token_buckets`]) and created on first use, and a version that limits
//! the same scope by the same key continues with the bucket that exists, under its own rule. An earlier version without
//! requests in flight is dropped.
//!
//! Invariants: versions are in order of number, and the last is the current one; `open_requests` of a version is the
//! number of its [`RouteDecision`]s that were not handed back; a bucket of a limit of the current version has that
//! limit's rule.

mod limits;

use crate::rate_limit::{LimitExceeded, LimitScope};
use crate::retry_after::{self, clamp_to_configuration};
use crate::table::{Placement, Request, RoutingError, Table};
use crate::table_update::TableChange;
use crate::time_budget::Times;
use crate::token_buckets::Buckets;
use crate::ConfigurationError;
use limits::{check_limit, AppliedLimit, ScopeRules};
use nanorand::WyRand;
use rainstand_config::schema::Configuration;
use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

/// Versions with requests in flight: a hundred changes within one deadline, and some more. Past it a new version is
/// rejected until an old one ends.
pub const MAX_VERSIONS: usize = 128;
/// Scopes at which limits may count a request: its class, tenant, route and pool.
const LIMIT_SCOPES: usize = 4;
/// Sentinel for a scope without a limit.
const NO_BUCKET: u32 = u32::MAX;

/// An admitted request's route. It must be handed back with [`Router::on_completed`] exactly once.
#[must_use = "a decision that is not handed back holds its version and its places for ever"]
#[derive(Debug)]
pub struct RouteDecision {
    /// The version under which it was admitted.
    pub version: u64,
    /// Its route and pool, by indices of that version.
    pub placement: Placement,
    /// The name of the route.
    pub route: Rc<str>,
    /// The name of the pool.
    pub pool: Rc<str>,
    /// The time budget of its stages.
    pub times: Times,
    held_buckets: [u32; LIMIT_SCOPES],
}

/// Why a request was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RejectReason {
    /// No route takes it.
    NoRoute,
    /// None of the route's pools can be used.
    NoPool,
    /// A limit of its type, tenant, route or pool is full.
    Limit(LimitScope),
    /// A limit would count it for the first time, and as many buckets as there may be are in use.
    NoBucket,
}

/// The rejection of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejected {
    /// Why it was rejected.
    pub reason: RejectReason,
    /// When to come back, from now on.
    pub after: Duration,
    /// The route that would have taken it.
    pub route: Option<u16>,
}

/// The decision about a request.
#[derive(Debug)]
pub enum Admission {
    /// It may be sent.
    Admitted(RouteDecision),
    /// It may not.
    Rejected(Rejected),
}

/// What happened since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouterCounts {
    /// Requests admitted.
    pub admitted: u64,
    /// Admitted requests that have ended.
    pub completed: u64,
    /// Requests rejected as [`RejectReason::NoRoute`].
    pub no_route: u64,
    /// Requests rejected as [`RejectReason::NoPool`].
    pub no_pool: u64,
    /// Requests rejected as [`RejectReason::Limit`].
    pub limited: u64,
    /// Requests rejected as [`RejectReason::NoBucket`].
    pub no_bucket: u64,
    /// Versions installed, the first one included.
    pub versions_installed: u64,
    /// Versions that could not be installed.
    pub versions_rejected: u64,
    /// Versions dropped after their last request.
    pub versions_dropped: u64,
}

/// A version that is current, or has requests in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenVersion {
    /// Its number.
    pub number: u64,
    /// Requests in flight that were admitted under it.
    pub open_requests: u64,
}

/// How many buckets of limits there are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BucketUsage {
    /// In use.
    pub in_use: usize,
    /// For which memory is allocated.
    pub allocated: usize,
}

/// Routing and limits of the current version. See the module's documentation.
#[derive(Debug)]
pub struct Router {
    /// Of the current version.
    table: Table,
    versions: VecDeque<OpenVersion>,
    buckets: Buckets,
    chance: WyRand,
    counts: RouterCounts,
}

/// The limits that count a request, by scope.
type AppliedLimits = [Option<AppliedLimit>; LIMIT_SCOPES];

const ALL_SCOPES: [LimitScope; LIMIT_SCOPES] = [
    LimitScope::Type,
    LimitScope::Tenant,
    LimitScope::Route,
    LimitScope::Pool,
];

impl Router {
    /// `seed`: for random splits.
    ///
    /// # Errors
    /// As [`Table::new`].
    pub fn new(configuration: &Configuration, seed: u64) -> Result<Self, ConfigurationError> {
        Self::of(configuration.clone(), seed)
    }

    /// As [`Router::new`], without a copy of the configuration.
    ///
    /// # Errors
    /// As [`Table::of`].
    pub fn of(configuration: Configuration, seed: u64) -> Result<Self, ConfigurationError> {
        Ok(Self {
            table: Table::of(configuration)?,
            versions: VecDeque::from([OpenVersion {
                number: 1,
                open_requests: 0,
            }]),
            buckets: Buckets::default(),
            chance: WyRand::new_seed(seed),
            counts: RouterCounts {
                versions_installed: 1,
                ..RouterCounts::default()
            },
        })
    }

    /// Installs a new version for requests from now on; returns its number.
    ///
    /// # Errors
    /// The reason; the current version stays and nothing has changed.
    pub fn install(
        &mut self,
        configuration: &Configuration,
        now: Duration,
    ) -> Result<u64, ConfigurationError> {
        self.install_owned(configuration.clone(), now)
    }

    /// As [`Router::install`], without a copy of the configuration.
    ///
    /// # Errors
    /// As [`Router::install`].
    pub fn install_owned(
        &mut self,
        configuration: Configuration,
        now: Duration,
    ) -> Result<u64, ConfigurationError> {
        let table = match self
            .check_version_capacity()
            .and_then(|()| Table::of(configuration))
        {
            Ok(table) => table,
            Err(refused) => {
                self.counts.versions_rejected += 1;
                return Err(refused);
            }
        };
        self.table = table;
        if self.buckets.in_use() > 0 {
            self.buckets
                .set_rules(&ScopeRules::all(&self.table, |_| true).0, now);
        }
        Ok(self.next())
    }

    /// Installs an update of the current version as a new one, at the cost of what it changes ([`crate::table_update`]).
    ///
    /// # Errors
    /// The reason; the current version stays and nothing has changed.
    pub fn apply(
        &mut self,
        changes: &[TableChange],
        now: Duration,
    ) -> Result<u64, ConfigurationError> {
        let applied = self
            .check_version_capacity()
            .and_then(|()| self.table.apply(changes));
        if let Err(refused) = applied {
            self.counts.versions_rejected += 1;
            return Err(refused);
        }
        if self.buckets.in_use() > 0 {
            let rules = ScopeRules::of(&self.table, changes).0;
            if !rules.is_empty() {
                self.buckets.set_rules(&rules, now);
            }
        }
        Ok(self.next())
    }

    fn check_version_capacity(&self) -> Result<(), ConfigurationError> {
        if self.versions.len() >= MAX_VERSIONS {
            return Err(ConfigurationError::TooManyVersions { max: MAX_VERSIONS });
        }
        Ok(())
    }

    /// Numbers the table as a new version.
    fn next(&mut self) -> u64 {
        let number = self.versions.back().map_or(1, |last| last.number + 1);
        self.versions.push_back(OpenVersion {
            number,
            open_requests: 0,
        });
        self.counts.versions_installed += 1;
        let before = self.versions.len() - 2;
        if self.versions[before].open_requests == 0 {
            self.drop_version(before);
        }
        number
    }

    fn drop_version(&mut self, at: usize) {
        if self.versions.remove(at).is_some() {
            self.counts.versions_dropped += 1;
        }
    }

    /// Frees some of the idle buckets. To be called several times a second.
    pub fn tick(&mut self, now: Duration) {
        self.buckets.sweep(now);
    }

    /// Sets a lower bound of buckets than [`crate::token_buckets::MAX_BUCKETS`]; those that are in use stay.
    pub fn bound_buckets(&mut self, max: usize) {
        self.buckets.set_max(max);
    }

    /// The current version's table, whose indices requests have.
    pub fn table(&self) -> &Table {
        &self.table
    }

    fn find(&self, number: u64) -> Option<usize> {
        let at = self
            .versions
            .partition_point(|version| version.number < number);
        (self.versions.get(at)?.number == number).then_some(at)
    }

    /// The versions that are current or have requests in flight, oldest first; the last one is current.
    pub fn versions(&self) -> impl Iterator<Item = OpenVersion> + '_ {
        self.versions.iter().copied()
    }

    /// What happened since the start.
    pub fn counts(&self) -> RouterCounts {
        self.counts
    }

    /// How many buckets of limits there are.
    pub fn bucket_usage(&self) -> BucketUsage {
        BucketUsage {
            in_use: self.buckets.in_use(),
            allocated: self.buckets.capacity(),
        }
    }

    /// Decides about a request: its route, or when to come back. A pool whose own limits are exceeded is skipped as
    /// if it were unusable. A rejected request takes nothing from any limit.
    ///
    /// `usable`: whether a pool, by its index in the current table, can take requests.
    pub fn on_arrival(
        &mut self,
        now: Duration,
        request: &Request<'_>,
        usable: impl Fn(u16) -> bool,
    ) -> Admission {
        match self.try_admit(now, request, usable) {
            Ok(decision) => Admission::Admitted(decision),
            Err(rejected) => Admission::Rejected(rejected),
        }
    }

    fn try_admit(
        &mut self,
        now: Duration,
        request: &Request<'_>,
        usable: impl Fn(u16) -> bool,
    ) -> Result<RouteDecision, Rejected> {
        let placement = self.place(now, request, usable)?;
        let limits = self.check_limits(now, request, placement)?;
        let held_buckets = self.acquire_buckets(now, placement, limits)?;
        let last = self.versions.len() - 1;
        let version = &mut self.versions[last];
        version.open_requests += 1;
        self.counts.admitted += 1;
        let route = &self.table.routes[usize::from(placement.route)];
        let pool = &self.table.pools[usize::from(placement.pool)];
        Ok(RouteDecision {
            version: version.number,
            placement,
            route: route.name.clone(),
            pool: pool.name.clone(),
            times: self.table.times(placement.route, request.request_class),
            held_buckets,
        })
    }

    /// The route and pool of a request, over pools that are usable and within their own limits.
    fn place(
        &mut self,
        now: Duration,
        request: &Request<'_>,
        usable: impl Fn(u16) -> bool,
    ) -> Result<Placement, Rejected> {
        let Self {
            table,
            buckets,
            chance,
            counts,
            ..
        } = self;
        // The earliest time at which a pool that was skipped for its limits has capacity.
        let skipped_until: Cell<Option<Duration>> = Cell::new(None);
        let has_capacity = |pool: u16| {
            if !usable(pool) {
                return false;
            }
            let scope = LimitScope::Pool;
            let checked = check_limit(table, buckets, scope, usize::from(pool), request, pool, now);
            let Err(exceeded) = checked else { return true };
            let after = retry_after_exceeded(exceeded, now);
            let earliest = skipped_until
                .get()
                .map_or(after, |before| before.min(after));
            skipped_until.set(Some(earliest));
            false
        };
        let error = match table.place(request, chance, has_capacity) {
            Ok(placement) => return Ok(placement),
            Err(error) => error,
        };
        let (reason, after, route) = match (error, skipped_until.get()) {
            (RoutingError::NoRoute, _) => {
                counts.no_route += 1;
                (RejectReason::NoRoute, retry_after::NO_ROUTE, None)
            }
            (RoutingError::NoPool(route), Some(after)) => {
                counts.limited += 1;
                let after = clamp_to_configuration(table, Some(route), None, after);
                (RejectReason::Limit(LimitScope::Pool), after, Some(route))
            }
            (RoutingError::NoPool(route), None) => {
                counts.no_pool += 1;
                let after = clamp_to_configuration(table, Some(route), None, retry_after::NO_ROUTE);
                (RejectReason::NoPool, after, Some(route))
            }
        };
        Err(Rejected {
            reason,
            after,
            route,
        })
    }

    /// The limits that count a request at each scope; all must admit it.
    fn check_limits(
        &mut self,
        now: Duration,
        request: &Request<'_>,
        placement: Placement,
    ) -> Result<AppliedLimits, Rejected> {
        let indices = [
            usize::from(request.request_class),
            request.tenant.map_or(usize::MAX, usize::from),
            usize::from(placement.route),
            usize::from(placement.pool),
        ];
        let mut limits: AppliedLimits = [None; LIMIT_SCOPES];
        let mut exceeded: Option<(LimitScope, Duration)> = None;
        for (k, scope) in ALL_SCOPES.into_iter().enumerate() {
            let (table, buckets, pool) = (&self.table, &self.buckets, placement.pool);
            match check_limit(table, buckets, scope, indices[k], request, pool, now) {
                Ok(limit) => limits[k] = limit,
                // All must admit it, so the latest time counts.
                Err(full) => {
                    let after = retry_after_exceeded(full, now);
                    if exceeded.is_none_or(|(_, before)| after > before) {
                        exceeded = Some((scope, after));
                    }
                }
            }
        }
        let Some((scope, after)) = exceeded else {
            return Ok(limits);
        };
        self.counts.limited += 1;
        Err(self.rejected(placement, RejectReason::Limit(scope), after))
    }

    /// Counts the request in the buckets of its limits. New buckets are created for all of them or for none.
    fn acquire_buckets(
        &mut self,
        now: Duration,
        placement: Placement,
        limits: AppliedLimits,
    ) -> Result<[u32; LIMIT_SCOPES], Rejected> {
        let keys = || limits.iter().flatten().map(|limit| limit.key);
        if !self.buckets.ensure_capacity(keys, now) {
            self.counts.no_bucket += 1;
            return Err(self.rejected(placement, RejectReason::NoBucket, retry_after::NO_BUCKET));
        }
        Ok(limits.map(|limit| {
            limit.map_or(NO_BUCKET, |limit| {
                self.buckets.acquire(limit.key, &limit.rule, now)
            })
        }))
    }

    fn rejected(&self, placement: Placement, reason: RejectReason, after: Duration) -> Rejected {
        let (route, pool) = (Some(placement.route), Some(placement.pool));
        Rejected {
            reason,
            after: clamp_to_configuration(&self.table, route, pool, after),
            route,
        }
    }

    /// Records the end of an admitted request, whatever came of it.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "a decision is handed back exactly once"
    )]
    pub fn on_completed(&mut self, decision: RouteDecision) {
        let RouteDecision {
            version,
            held_buckets,
            ..
        } = decision;
        for slot in held_buckets.into_iter().filter(|slot| *slot != NO_BUCKET) {
            self.buckets.release(slot);
        }
        self.counts.completed += 1;
        let Some(at) = self.find(version) else {
            debug_assert!(false, "a decision without its version");
            return;
        };
        self.versions[at].open_requests -= 1;
        if self.versions[at].open_requests == 0 && at + 1 < self.versions.len() {
            self.drop_version(at);
        }
    }
}

/// When to come back after an exceeded limit, from now on.
fn retry_after_exceeded(exceeded: LimitExceeded, now: Duration) -> Duration {
    match exceeded {
        LimitExceeded::RateUntil(then) => then.saturating_sub(now),
        LimitExceeded::Concurrency => retry_after::AT_CAPACITY,
    }
}
