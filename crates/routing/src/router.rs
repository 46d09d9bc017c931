//! Routes and limits together, while configurations change under running requests.
//!
//! A request that came in under a version finishes under it: its route, its times and the counts that it
//! stands in, all of which it carries, so that of versions but the present one no more is kept than how many requests
//! they have. Buckets of limits belong to no version: they are known by name ([`crate::token_buckets`]), made when first
//! used, and a version that limits the same place for the same key goes on with what is there, under its own rule:
//! what was let in stays let in. A version that has no more requests and is not the present one is dropped with
//! whatever only it knew.
//!
//! Invariants: versions stand in order of number, the last is the present one and always there; `open` of
//! a version is the number of its [`RouteDecision`]s out there; a bucket of a limit of the present version is under that
//! limit's rule.

use crate::rate_limit::{LimitExceeded, LimitRule};
use crate::table::{Placement, Request, RoutingError, Table};
use crate::table_update::{EntryKind, TableChange};
use crate::time_budget::Times;
use crate::token_buckets::{Buckets, Key};
use crate::ConfigurationError;
use foldhash::HashMap;
use nanorand::WyRand;
use rainstand_config::schema::{Configuration, Per};
use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

/// Versions with requests in hand: a hundred changes within one outer limit and some room. Past it a new
/// version is refused until an old one ends.
pub const MAX_VERSIONS: usize = 128;
/// Told where all places are taken and nobody knows when one leaves: a usual run.
const RETRY_AFTER_AT_CAPACITY: Duration = Duration::from_millis(100);
/// Told where no pool can be used, or no route takes the request: as long as health takes to change.
const RETRY_AFTER_NO_ROUTE: Duration = Duration::from_secs(1);
/// Told where all buckets are in use: by then the sweep has been around ([`crate::token_buckets`]).
const RETRY_AFTER_NO_BUCKET: Duration = Duration::from_secs(1);
/// Places of a request at which limits may stand: its type, tenant, route and pool.
const LIMIT_SCOPES: usize = 4;
/// No bucket.
const NO_BUCKET: u32 = u32::MAX;

/// A request's way. It is given back with [`Router::on_completed`] exactly once, when the request is over.
#[must_use = "a way that is not given back keeps its version and its places for ever"]
#[derive(Debug)]
pub struct RouteDecision {
    pub version: u64,
    pub placement: Placement,
    /// The names of its route and pool: their places are those of its version.
    pub route: Rc<str>,
    pub pool: Rc<str>,
    pub times: Times,
    held_buckets: [u32; LIMIT_SCOPES],
}

/// Why a request was turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RejectReason {
    NoRoute,
    /// None of the route's pools can be used.
    NoPool,
    /// A limit of its type, tenant, route or pool is full.
    Limit(LimitScope),
    /// A limit would count it for the first time, and as many buckets as there may be are in use.
    NoBucket,
}

/// Where a limit stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LimitScope {
    Type,
    Tenant,
    Route,
    Pool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejected {
    pub why: RejectReason,
    /// When to come back, from now on.
    pub after: Duration,
    /// The route that would have taken it.
    pub route: Option<u16>,
}

#[derive(Debug)]
pub enum Admission {
    Admitted(RouteDecision),
    Rejected(Rejected),
}

/// What happened since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouterCounts {
    pub admitted: u64,
    pub completed: u64,
    pub no_route: u64,
    pub no_pool: u64,
    pub limited: u64,
    pub no_bucket: u64,
    pub versions_installed: u64,
    pub versions_rejected: u64,
    pub versions_dropped: u64,
}

#[derive(Debug)]
struct Version {
    number: u64,
    open: u64,
}

/// See the module's head.
#[derive(Debug)]
pub struct Router {
    /// Of the present version.
    table: Table,
    versions: VecDeque<Version>,
    buckets: Buckets,
    chance: WyRand,
    counts: RouterCounts,
}

const ALL_SCOPES: [LimitScope; LIMIT_SCOPES] = [
    LimitScope::Type,
    LimitScope::Tenant,
    LimitScope::Route,
    LimitScope::Pool,
];

/// The limit at a place: its rule, and what its bucket for this request is known by.
fn limit(
    table: &Table,
    at: LimitScope,
    of: usize,
    request: &Request<'_>,
    pool: u16,
) -> Option<(LimitRule, Key)> {
    let c = &table.configuration;
    let (limits, name) = match at {
        LimitScope::Type => (*table.type_limits.get(of)?, &c.types[of].name),
        LimitScope::Tenant => (*table.tenant_limits.get(of)?, &c.tenants[of].name),
        LimitScope::Route => (table.routes[of].limits, &c.routes[of].name),
        LimitScope::Pool => (table.pools[of].limits, &c.pools[of].name),
    };
    let (rule, per) = table.limits[usize::from(limits?)];
    let of = match per {
        Per::Tenant => request.tenant.map(|at| &c.tenants[usize::from(at)].name),
        Per::Type => Some(&c.types[usize::from(request.request_class)].name),
        Per::Pool => Some(&c.pools[usize::from(pool)].name),
        Per::All | Per::Unspecified => None,
    };
    Some((rule, Key::new(at, name, per, of.map(String::as_str))))
}

/// Those rules at places that have limits, by what their buckets have in common.
#[derive(Default)]
struct HealthRules(HashMap<u64, LimitRule>);

impl HealthRules {
    fn add(&mut self, table: &Table, at: LimitScope, name: &str, limits: Option<u16>) {
        if let Some(limits) = limits {
            let (rule, per) = table.limits[usize::from(limits)];
            self.0.insert(Key::new(at, name, per, None).place, rule);
        }
    }

    /// At all places whose limits are among these.
    fn all(table: &Table, among: impl Fn(u16) -> bool) -> Self {
        let (c, mut rules) = (&table.configuration, Self::default());
        let mut add = |at: LimitScope, name: &str, limits: Option<u16>| {
            rules.add(table, at, name, limits.filter(|limits| among(*limits)));
        };
        c.types
            .iter()
            .zip(&table.type_limits)
            .for_each(|(x, limits)| add(LimitScope::Type, &x.name, *limits));
        c.tenants
            .iter()
            .zip(&table.tenant_limits)
            .for_each(|(x, limits)| add(LimitScope::Tenant, &x.name, *limits));
        table
            .routes
            .iter()
            .for_each(|x| add(LimitScope::Route, &x.name, x.limits));
        table
            .pools
            .iter()
            .for_each(|x| add(LimitScope::Pool, &x.name, x.limits));
        rules
    }

    /// At places that a change says something of.
    fn of(table: &Table, changes: &[TableChange]) -> Self {
        let c = &table.configuration;
        let named = |change: &TableChange| match change {
            TableChange::Limits(one) => table.index.limits.get(&c.limits, &one.name),
            _ => None,
        };
        let limits: Vec<u16> = changes.iter().filter_map(named).collect();
        let mut rules = match limits.is_empty() {
            true => Self::default(),
            false => Self::all(table, |at| limits.contains(&at)),
        };
        for change in changes {
            let (kind, name) = change.key();
            let of_route = || table.index.routes.get(&c.routes, name);
            match kind {
                EntryKind::Type => {
                    let at = table.request_class(name);
                    rules.add(
                        table,
                        LimitScope::Type,
                        name,
                        at.and_then(|at| table.type_limits[usize::from(at)]),
                    );
                }
                EntryKind::Tenant => {
                    let at = table.tenant(name);
                    rules.add(
                        table,
                        LimitScope::Tenant,
                        name,
                        at.and_then(|at| table.tenant_limits[usize::from(at)]),
                    );
                }
                EntryKind::Route => {
                    let of = of_route().and_then(|at| table.routes[usize::from(at)].limits);
                    rules.add(table, LimitScope::Route, name, of);
                }
                EntryKind::Pool => {
                    let of = table
                        .pool(name)
                        .and_then(|at| table.pools[usize::from(at)].limits);
                    rules.add(table, LimitScope::Pool, name, of);
                }
                _ => {}
            }
        }
        rules
    }
}

impl Router {
    /// `seed`: for requests that are parted by chance.
    ///
    /// # Errors
    /// As [`Table::new`].
    pub fn new(configuration: &Configuration, seed: u64) -> Result<Self, ConfigurationError> {
        Self::of(configuration.clone(), seed)
    }

    /// The same, of a message that is given away.
    ///
    /// # Errors
    /// As [`Table::of`].
    pub fn of(configuration: Configuration, seed: u64) -> Result<Self, ConfigurationError> {
        Ok(Self {
            table: Table::of(configuration)?,
            versions: VecDeque::from([Version { number: 1, open: 0 }]),
            buckets: Buckets::default(),
            chance: WyRand::new_seed(seed),
            counts: RouterCounts {
                versions_installed: 1,
                ..RouterCounts::default()
            },
        })
    }

    /// Takes a new version; requests from now on go by it. Its number is told.
    ///
    /// # Errors
    /// The reason; the present version stays and nothing has changed.
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
                .set_rules(&HealthRules::all(&self.table, |_| true).0, now);
        }
        Ok(self.next())
    }

    /// Takes a change of the present version as a new one, at the cost of what it says ([`crate::table_update`]).
    ///
    /// # Errors
    /// The reason; the present version stays and nothing has changed.
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
            let rules = HealthRules::of(&self.table, changes).0;
            if !rules.is_empty() {
                self.buckets.set_rules(&rules, now);
            }
        }
        Ok(self.next())
    }

    fn check_version_capacity(&self) -> Result<(), ConfigurationError> {
        if self.versions.len() >= MAX_VERSIONS {
            let words =
                format!("{MAX_VERSIONS} versions still have tickets; try again when some ended");
            return Err(ConfigurationError(words));
        }
        Ok(())
    }

    /// What the table says now is a version.
    fn next(&mut self) -> u64 {
        let number = self.versions.back().map_or(1, |last| last.number + 1);
        self.versions.push_back(Version { number, open: 0 });
        self.counts.versions_installed += 1;
        let before = self.versions.len() - 2;
        if self.versions[before].open == 0 {
            self.drop_version(before);
        }
        number
    }

    fn drop_version(&mut self, at: usize) {
        if self.versions.remove(at).is_some() {
            self.counts.versions_dropped += 1;
        }
    }

    /// Time passes: some buckets that are idle are given back. Some times a second.
    pub fn tick(&mut self, now: Duration) {
        self.buckets.sweep(now);
    }

    /// Fewer buckets than [`crate::token_buckets::MAX_BUCKETS`]; those that are in use stay.
    pub fn bound_buckets(&mut self, most: usize) {
        self.buckets.set_max(most);
    }

    /// The present version's table: indices of requests are those of it.
    pub fn table(&self) -> &Table {
        &self.table
    }

    fn find(&self, number: u64) -> Option<usize> {
        let at = self
            .versions
            .partition_point(|version| version.number < number);
        (self.versions.get(at)?.number == number).then_some(at)
    }

    /// The number of the present version, of all that live, and of the requests that each has.
    pub fn versions(&self) -> impl Iterator<Item = (u64, u64)> + '_ {
        self.versions
            .iter()
            .map(|version| (version.number, version.open))
    }

    pub fn counts(&self) -> RouterCounts {
        self.counts
    }

    /// Buckets that are in use, and for how many there is room already.
    pub fn buckets(&self) -> (usize, usize) {
        (self.buckets.in_use(), self.buckets.room())
    }

    /// Decides about a request: its way, or when to come back. A pool whose own limits are full is passed
    /// over as if it were out; what that leaves decides. Whoever is turned away has used nothing.
    ///
    /// `usable`: whether a pool, by its index in the present table, can take requests.
    pub fn on_arrival(
        &mut self,
        now: Duration,
        request: &Request<'_>,
        usable: impl Fn(u16) -> bool,
    ) -> Admission {
        let Self {
            table,
            versions,
            buckets,
            chance,
            counts,
        } = self;
        let last = versions.len() - 1;
        let Version { number, open } = &mut versions[last];
        let look = |at: LimitScope,
                    of: usize,
                    pool: u16|
         -> Result<Option<(LimitRule, Key)>, LimitExceeded> {
            let Some((rule, key)) = limit(table, at, of, request, pool) else {
                return Ok(None);
            };
            buckets.check(&key, &rule, now).map(|()| Some((rule, key)))
        };
        // The soonest that a pool passed over for its limits told.
        let passed_over: Cell<Option<Duration>> = Cell::new(None);
        let open_pool = |pool: u16| {
            usable(pool)
                && match look(LimitScope::Pool, usize::from(pool), pool) {
                    Ok(_) => true,
                    Err(full) => {
                        let told = until(full, now);
                        passed_over.set(Some(
                            passed_over.get().map_or(told, |before| before.min(told)),
                        ));
                        false
                    }
                }
        };
        let place = match table.place(request, chance, open_pool) {
            Ok(place) => place,
            Err(RoutingError::NoRoute) => {
                counts.no_route += 1;
                return Admission::Rejected(Rejected {
                    why: RejectReason::NoRoute,
                    after: RETRY_AFTER_NO_ROUTE,
                    route: None,
                });
            }
            Err(RoutingError::NoPool(route)) => {
                let (why, after) = match passed_over.get() {
                    Some(after) => (RejectReason::Limit(LimitScope::Pool), after),
                    None => (RejectReason::NoPool, RETRY_AFTER_NO_ROUTE),
                };
                if why == RejectReason::NoPool {
                    counts.no_pool += 1;
                } else {
                    counts.limited += 1;
                }
                let after = clamp_retry_after(table, Some(route), None, after);
                return Admission::Rejected(Rejected {
                    why,
                    after,
                    route: Some(route),
                });
            }
        };
        let tenant = request.tenant.map_or(usize::MAX, usize::from);
        let of = [
            usize::from(request.request_class),
            tenant,
            usize::from(place.route),
            usize::from(place.pool),
        ];
        let mut counted = [None; LIMIT_SCOPES];
        let mut turned: Option<(LimitScope, Duration)> = None;
        for (k, at) in ALL_SCOPES.into_iter().enumerate() {
            match look(at, of[k], place.pool) {
                Ok(limit) => counted[k] = limit,
                // All must let it in, so the latest counts.
                Err(full) => {
                    let told = until(full, now);
                    if turned.is_none_or(|(_, before)| told > before) {
                        turned = Some((at, told));
                    }
                }
            }
        }
        if let Some((at, after)) = turned {
            counts.limited += 1;
            let after = clamp_retry_after(table, Some(place.route), Some(place.pool), after);
            return Admission::Rejected(Rejected {
                why: RejectReason::Limit(at),
                after,
                route: Some(place.route),
            });
        }
        // Room for all that are new, or none is made: whoever is turned away has used nothing.
        if !buckets.make_room(|| counted.iter().flatten().map(|(_, key)| *key), now) {
            counts.no_bucket += 1;
            let after = clamp_retry_after(
                table,
                Some(place.route),
                Some(place.pool),
                RETRY_AFTER_NO_BUCKET,
            );
            return Admission::Rejected(Rejected {
                why: RejectReason::NoBucket,
                after,
                route: Some(place.route),
            });
        }
        let held = counted
            .map(|one| one.map_or(NO_BUCKET, |(rule, key)| buckets.acquire(key, &rule, now)));
        *open += 1;
        counts.admitted += 1;
        let times = table.times(place.route, request.request_class);
        let (route, pool) = (
            &table.routes[usize::from(place.route)],
            &table.pools[usize::from(place.pool)],
        );
        let (route, pool) = (route.name.clone(), pool.name.clone());
        Admission::Admitted(RouteDecision {
            version: *number,
            placement: place,
            route,
            pool,
            times,
            held_buckets: held,
        })
    }

    /// A request is over, whatever came of it.
    pub fn on_completed(&mut self, way: RouteDecision) {
        for slot in way
            .held_buckets
            .into_iter()
            .filter(|slot| *slot != NO_BUCKET)
        {
            self.buckets.release(slot);
        }
        self.counts.completed += 1;
        let Some(at) = self.find(way.version) else {
            debug_assert!(false, "a way without its version");
            return;
        };
        self.versions[at].open -= 1;
        if self.versions[at].open == 0 && at + 1 < self.versions.len() {
            self.drop_version(at);
        }
    }
}

fn until(full: LimitExceeded, now: Duration) -> Duration {
    match full {
        LimitExceeded::RateUntil(then) => then.saturating_sub(now),
        LimitExceeded::Concurrency => RETRY_AFTER_AT_CAPACITY,
    }
}

/// Within what the route's or the pool's retry-after says.
pub(crate) fn clamp_retry_after(
    table: &Table,
    route: Option<u16>,
    pool: Option<u16>,
    after: Duration,
) -> Duration {
    match table.bounds(route, pool) {
        None => after,
        Some(bounds) => {
            let least = Duration::from_nanos(bounds.least_ns);
            after
                .max(least)
                .min(Duration::from_nanos(bounds.most_ns).max(least))
        }
    }
}
