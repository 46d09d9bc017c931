//! Routing and limits together, while configurations change under running requests.
//!
//! A request completes under the version that admitted it. Its [`RouteDecision`] holds its route, its time budget and
//! the buckets that count it, so only the number of requests in flight is retained of an earlier version. The buckets
//! of limits belong to no version: they are identified by name ([`crate::token_buckets`]) and created on first use. A
//! new version that limits the same scope by the same key continues to use the existing bucket, under the new rule. An
//! earlier version without requests in flight is dropped.
//!
//! Invariants: versions are sorted by number, and the last is the current one; `open_requests` of a version is the
//! number of its [`RouteDecision`]s that have not been handed back; a bucket of a limit of the current version has that
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

/// Maximum number of versions that are current or have requests in flight: room for a hundred changes within one
/// deadline, and a margin. At the maximum, a new version is rejected until an earlier one is dropped.
pub const MAX_VERSIONS: usize = 128;
/// Number of scopes at which a limit can count a request: its class, tenant, route and pool.
const LIMIT_SCOPES: usize = 4;
/// Sentinel for a scope without a limit.
const NO_BUCKET: u32 = u32::MAX;

/// The route of an admitted request. It must be handed back with [`Router::on_completed`] exactly once.
#[must_use = "a decision that is not handed back keeps its version and its concurrency slots forever"]
#[derive(Debug)]
pub struct RouteDecision {
    /// The version that admitted the request.
    pub version: u64,
    /// The route and pool, as indices of that version.
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
    /// No route matches it.
    NoRoute,
    /// No pool of the route is usable.
    NoPool,
    /// A limit of its class, tenant, route or pool is exceeded.
    Limit(LimitScope),
    /// A limit needs a new bucket for it, and the maximum number of buckets is in use.
    NoBucket,
}

/// The rejection of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejected {
    /// Why it was rejected.
    pub reason: RejectReason,
    /// Retry-after: the delay from now.
    pub retry_after: Duration,
    /// The route that matched it.
    pub route: Option<u16>,
}

/// Whether a request is admitted.
#[derive(Debug)]
pub enum Admission {
    /// It may be sent to its pool.
    Admitted(RouteDecision),
    /// It is rejected.
    Rejected(Rejected),
}

/// Counts since the start.
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
    /// Versions that failed to install.
    pub versions_rejected: u64,
    /// Versions dropped after their last request completed.
    pub versions_dropped: u64,
}

/// A version that is current or has requests in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenVersion {
    /// Its number.
    pub number: u64,
    /// Requests in flight that were admitted under it.
    pub open_requests: u64,
}

/// The number of buckets of limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BucketUsage {
    /// Buckets in use.
    pub in_use: usize,
    /// Buckets for which memory is allocated.
    pub allocated: usize,
}

/// Routing and limits of the current version. See the module's documentation.
#[derive(Debug)]
pub struct Router {
    /// The table of the current version.
    table: Table,
    versions: VecDeque<OpenVersion>,
    buckets: Buckets,
    rng: WyRand,
    counts: RouterCounts,
}

/// The limits that count a request, one per scope.
type AppliedLimits = [Option<AppliedLimit>; LIMIT_SCOPES];

const ALL_SCOPES: [LimitScope; LIMIT_SCOPES] = [
    LimitScope::Type,
    LimitScope::Tenant,
    LimitScope::Route,
    LimitScope::Pool,
];

impl Router {
    /// `seed` determines the random splits.
    ///
    /// # Errors
    /// As [`Table::new`].
    pub fn new(configuration: &Configuration, seed: u64) -> Result<Self, ConfigurationError> {
        Self::from_owned(configuration.clone(), seed)
    }

    /// As [`Router::new`], without a copy of the configuration.
    ///
    /// # Errors
    /// As [`Table::from_owned`].
    pub fn from_owned(configuration: Configuration, seed: u64) -> Result<Self, ConfigurationError> {
        Ok(Self {
            table: Table::from_owned(configuration)?,
            versions: VecDeque::from([OpenVersion {
                number: 1,
                open_requests: 0,
            }]),
            buckets: Buckets::default(),
            rng: WyRand::new_seed(seed),
            counts: RouterCounts {
                versions_installed: 1,
                ..RouterCounts::default()
            },
        })
    }

    /// Installs a new version, which applies to later requests. Returns its number.
    ///
    /// # Errors
    /// If the version is rejected; the current version stays in use, unchanged.
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
            .and_then(|()| Table::from_owned(configuration))
        {
            Ok(table) => table,
            Err(error) => {
                self.counts.versions_rejected += 1;
                return Err(error);
            }
        };
        self.table = table;
        if self.buckets.in_use() > 0 {
            self.buckets
                .set_rules(&ScopeRules::all(&self.table, |_| true).0, now);
        }
        Ok(self.push_version())
    }

    /// Installs an update of the current version as a new version, without rebuilding the table
    /// ([`crate::table_update`]).
    ///
    /// # Errors
    /// If the update is rejected; the current version stays in use, unchanged.
    pub fn apply(
        &mut self,
        changes: &[TableChange],
        now: Duration,
    ) -> Result<u64, ConfigurationError> {
        let applied = self
            .check_version_capacity()
            .and_then(|()| self.table.apply(changes));
        if let Err(error) = applied {
            self.counts.versions_rejected += 1;
            return Err(error);
        }
        if self.buckets.in_use() > 0 {
            let rules = ScopeRules::affected_by(&self.table, changes).0;
            if !rules.is_empty() {
                self.buckets.set_rules(&rules, now);
            }
        }
        Ok(self.push_version())
    }

    fn check_version_capacity(&self) -> Result<(), ConfigurationError> {
        if self.versions.len() >= MAX_VERSIONS {
            return Err(ConfigurationError::TooManyVersions { max: MAX_VERSIONS });
        }
        Ok(())
    }

    /// Adds a version for the installed table and returns its number.
    fn push_version(&mut self) -> u64 {
        let number = self.versions.back().map_or(1, |last| last.number + 1);
        self.versions.push_back(OpenVersion {
            number,
            open_requests: 0,
        });
        self.counts.versions_installed += 1;
        let previous = self.versions.len() - 2;
        if self.versions[previous].open_requests == 0 {
            self.drop_version(previous);
        }
        number
    }

    fn drop_version(&mut self, index: usize) {
        if self.versions.remove(index).is_some() {
            self.counts.versions_dropped += 1;
        }
    }

    /// Frees some of the idle buckets. Must be called several times a second.
    pub fn tick(&mut self, now: Duration) {
        self.buckets.sweep(now);
    }

    /// Lowers the maximum number of buckets below [`crate::token_buckets::MAX_BUCKETS`]. Buckets in use are kept.
    pub fn set_max_buckets(&mut self, max: usize) {
        self.buckets.set_max(max);
    }

    /// The table of the current version. The indices in requests refer to it.
    pub fn table(&self) -> &Table {
        &self.table
    }

    fn version_index(&self, number: u64) -> Option<usize> {
        let index = self
            .versions
            .partition_point(|version| version.number < number);
        (self.versions.get(index)?.number == number).then_some(index)
    }

    /// The versions that are current or have requests in flight, oldest first; the last one is the current one.
    pub fn versions(&self) -> impl Iterator<Item = OpenVersion> + '_ {
        self.versions.iter().copied()
    }

    /// Counts since the start.
    pub fn counts(&self) -> RouterCounts {
        self.counts
    }

    /// The number of buckets of limits.
    pub fn bucket_usage(&self) -> BucketUsage {
        BucketUsage {
            in_use: self.buckets.in_use(),
            allocated: self.buckets.capacity(),
        }
    }

    /// Routes a request, or rejects it with a retry-after. A pool whose own limits are exceeded is skipped as if it
    /// were unusable. A rejected request is not counted by any limit.
    ///
    /// `usable` returns whether a pool, given by its index in the current table, accepts requests.
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

    /// Selects the route and pool of a request among pools that are usable and within their own limits.
    fn place(
        &mut self,
        now: Duration,
        request: &Request<'_>,
        usable: impl Fn(u16) -> bool,
    ) -> Result<Placement, Rejected> {
        let Self {
            table,
            buckets,
            rng,
            counts,
            ..
        } = self;
        // The shortest retry-after of the pools that are skipped because their limits are exceeded.
        let skipped_after: Cell<Option<Duration>> = Cell::new(None);
        let within_limits = |pool: u16| {
            if !usable(pool) {
                return false;
            }
            let scope = LimitScope::Pool;
            let checked = check_limit(table, buckets, scope, usize::from(pool), request, pool, now);
            let Err(exceeded) = checked else { return true };
            let after = retry_after_exceeded(exceeded, now);
            let shortest_after = skipped_after
                .get()
                .map_or(after, |shortest| shortest.min(after));
            skipped_after.set(Some(shortest_after));
            false
        };
        let error = match table.place(request, rng, within_limits) {
            Ok(placement) => return Ok(placement),
            Err(error) => error,
        };
        let (reason, after, route) = match (error, skipped_after.get()) {
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
            retry_after: after,
            route,
        })
    }

    /// Checks a request against the limits of all scopes; each of them must admit it.
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
                // All limits must admit the request, so the longest delay applies.
                Err(limit_exceeded) => {
                    let after = retry_after_exceeded(limit_exceeded, now);
                    if exceeded.is_none_or(|(_, longest)| after > longest) {
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

    /// Counts a request in the buckets of its limits. Missing buckets are created for all of the limits or for none.
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
            retry_after: clamp_to_configuration(&self.table, route, pool, after),
            route,
        }
    }

    /// Records that an admitted request has completed, whatever its outcome.
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
        let Some(index) = self.version_index(version) else {
            debug_assert!(false, "the version of a decision is missing");
            return;
        };
        self.versions[index].open_requests -= 1;
        if self.versions[index].open_requests == 0 && index + 1 < self.versions.len() {
            self.drop_version(index);
        }
    }
}

/// The retry-after for an exceeded limit, from now.
fn retry_after_exceeded(exceeded: LimitExceeded, now: Duration) -> Duration {
    match exceeded {
        LimitExceeded::RateUntil(then) => then.saturating_sub(now),
        LimitExceeded::Concurrency => retry_after::AT_CAPACITY,
    }
}
