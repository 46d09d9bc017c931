//! Routes and limits together, while configurations change under running tickets.
//!
//! A ticket that came in under a version finishes under it: its route, its times and the counts that it
//! stands in, all of which it carries, so that of versions but the present one no more is kept than how many tickets
//! they have. Buckets of limits belong to no version: they are known by name ([`crate::buckets`]), made when first
//! used, and a version that limits the same place for the same key goes on with what is there, under its own rule:
//! what was let in stays let in. A version that has no more tickets and is not the present one is dropped with
//! whatever only it knew.
//!
//! Invariants: versions stand in order of number, the last is the present one and always there; `open` of
//! a version is the number of its [`Way`]s out there; a bucket of a limit of the present version is under that
//! limit's rule.

use crate::buckets::{Buckets, Key};
use crate::budget::Times;
use crate::change::{Change, Kind};
use crate::limit::{Full, Rule};
use crate::table::{NoWay, Place, Table, Ticket};
use crate::Refused;
use foldhash::HashMap;
use nanorand::WyRand;
use rainstand_config::schema::{Configuration, Per};
use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

/// Versions with tickets in hand: a hundred changes within one outer limit and some room. Past it a new
/// version is refused until an old one ends.
pub const MOST_VERSIONS: usize = 128;
/// Told where all places are taken and nobody knows when one leaves: a usual run.
const WHEN_FULL: Duration = Duration::from_millis(100);
/// Told where no pool can be used, or no route takes the ticket: as long as health takes to change.
const WHEN_NOWHERE: Duration = Duration::from_secs(1);
/// Told where all buckets are in use: by then the sweep has been around ([`crate::buckets`]).
const WHEN_NO_BUCKET: Duration = Duration::from_secs(1);
/// Places of a ticket at which limits may stand: its type, tenant, route and pool.
const PLACES: usize = 4;
/// No bucket.
const NONE: u32 = u32::MAX;

/// A ticket's way. It is given back with [`Router::ended`] exactly once, when the ticket is over.
#[must_use = "a way that is not given back keeps its version and its places for ever"]
#[derive(Debug)]
pub struct Way {
    pub version: u64,
    pub place: Place,
    /// The names of its route and pool: their places are those of its version.
    pub route: Rc<str>,
    pub pool: Rc<str>,
    pub times: Times,
    held: [u32; PLACES],
}

/// Why a ticket was turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Why {
    NoRoute,
    /// None of the route's pools can be used.
    NoPool,
    /// A limit of its type, tenant, route or pool is full.
    Limit(At),
    /// A limit would count it for the first time, and as many buckets as there may be are in use.
    NoBucket,
}

/// Where a limit stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum At {
    Type,
    Tenant,
    Route,
    Pool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Turned {
    pub why: Why,
    /// When to come back, from now on.
    pub after: Duration,
    /// The route that would have taken it.
    pub route: Option<u16>,
}

#[derive(Debug)]
pub enum Verdict {
    Goes(Way),
    Turned(Turned),
}

/// What happened since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub went: u64,
    pub ended: u64,
    pub no_route: u64,
    pub no_pool: u64,
    pub limited: u64,
    pub no_bucket: u64,
    pub versions_taken: u64,
    pub versions_refused: u64,
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
    counts: Counts,
}

const ALL_PLACES: [At; PLACES] = [At::Type, At::Tenant, At::Route, At::Pool];

/// The limit at a place: its rule, and what its bucket for this ticket is known by.
fn limit(table: &Table, at: At, of: usize, ticket: &Ticket<'_>, pool: u16) -> Option<(Rule, Key)> {
    let c = &table.configuration;
    let (limits, name) = match at {
        At::Type => (*table.type_limits.get(of)?, &c.types[of].name),
        At::Tenant => (*table.tenant_limits.get(of)?, &c.tenants[of].name),
        At::Route => (table.routes[of].limits, &c.routes[of].name),
        At::Pool => (table.pools[of].limits, &c.pools[of].name),
    };
    let (rule, per) = table.limits[usize::from(limits?)];
    let of = match per {
        Per::Tenant => ticket.tenant.map(|at| &c.tenants[usize::from(at)].name),
        Per::Type => Some(&c.types[usize::from(ticket.traffic)].name),
        Per::Pool => Some(&c.pools[usize::from(pool)].name),
        Per::All | Per::Unspecified => None,
    };
    Some((rule, Key::new(at, name, per, of.map(String::as_str))))
}

/// Those rules at places that have limits, by what their buckets have in common.
#[derive(Default)]
struct Rules(HashMap<u64, Rule>);

impl Rules {
    fn add(&mut self, table: &Table, at: At, name: &str, limits: Option<u16>) {
        if let Some(limits) = limits {
            let (rule, per) = table.limits[usize::from(limits)];
            self.0.insert(Key::new(at, name, per, None).place, rule);
        }
    }

    /// At all places whose limits are among these.
    fn all(table: &Table, among: impl Fn(u16) -> bool) -> Self {
        let (c, mut rules) = (&table.configuration, Self::default());
        let mut add = |at: At, name: &str, limits: Option<u16>| {
            rules.add(table, at, name, limits.filter(|limits| among(*limits)));
        };
        c.types
            .iter()
            .zip(&table.type_limits)
            .for_each(|(x, limits)| add(At::Type, &x.name, *limits));
        c.tenants
            .iter()
            .zip(&table.tenant_limits)
            .for_each(|(x, limits)| add(At::Tenant, &x.name, *limits));
        table
            .routes
            .iter()
            .for_each(|x| add(At::Route, &x.name, x.limits));
        table
            .pools
            .iter()
            .for_each(|x| add(At::Pool, &x.name, x.limits));
        rules
    }

    /// At places that a change says something of.
    fn of(table: &Table, changes: &[Change]) -> Self {
        let c = &table.configuration;
        let named = |change: &Change| match change {
            Change::Limits(one) => table.index.limits.get(&c.limits, &one.name),
            _ => None,
        };
        let limits: Vec<u16> = changes.iter().filter_map(named).collect();
        let mut rules = match limits.is_empty() {
            true => Self::default(),
            false => Self::all(table, |at| limits.contains(&at)),
        };
        for change in changes {
            let (kind, name) = change.of();
            let of_route = || table.index.routes.get(&c.routes, name);
            match kind {
                Kind::Type => {
                    let at = table.traffic(name);
                    rules.add(
                        table,
                        At::Type,
                        name,
                        at.and_then(|at| table.type_limits[usize::from(at)]),
                    );
                }
                Kind::Tenant => {
                    let at = table.tenant(name);
                    rules.add(
                        table,
                        At::Tenant,
                        name,
                        at.and_then(|at| table.tenant_limits[usize::from(at)]),
                    );
                }
                Kind::Route => {
                    let of = of_route().and_then(|at| table.routes[usize::from(at)].limits);
                    rules.add(table, At::Route, name, of);
                }
                Kind::Pool => {
                    let of = table
                        .pool(name)
                        .and_then(|at| table.pools[usize::from(at)].limits);
                    rules.add(table, At::Pool, name, of);
                }
                _ => {}
            }
        }
        rules
    }
}

impl Router {
    /// `seed`: for tickets that are parted by chance.
    ///
    /// # Errors
    /// As [`Table::new`].
    pub fn new(configuration: &Configuration, seed: u64) -> Result<Self, Refused> {
        Self::of(configuration.clone(), seed)
    }

    /// The same, of a message that is given away.
    ///
    /// # Errors
    /// As [`Table::of`].
    pub fn of(configuration: Configuration, seed: u64) -> Result<Self, Refused> {
        Ok(Self {
            table: Table::of(configuration)?,
            versions: VecDeque::from([Version { number: 1, open: 0 }]),
            buckets: Buckets::default(),
            chance: WyRand::new_seed(seed),
            counts: Counts {
                versions_taken: 1,
                ..Counts::default()
            },
        })
    }

    /// Takes a new version; tickets from now on go by it. Its number is told.
    ///
    /// # Errors
    /// The reason; the present version stays and nothing has changed.
    pub fn take(&mut self, configuration: &Configuration, now: Duration) -> Result<u64, Refused> {
        self.replace(configuration.clone(), now)
    }

    /// The same, of a message that is given away.
    ///
    /// # Errors
    /// As [`Router::take`].
    pub fn replace(&mut self, configuration: Configuration, now: Duration) -> Result<u64, Refused> {
        let table = match self.has_room().and_then(|()| Table::of(configuration)) {
            Ok(table) => table,
            Err(refused) => {
                self.counts.versions_refused += 1;
                return Err(refused);
            }
        };
        self.table = table;
        if self.buckets.in_use() > 0 {
            self.buckets
                .under(&Rules::all(&self.table, |_| true).0, now);
        }
        Ok(self.next())
    }

    /// Takes a change of the present version as a new one, at the cost of what it says ([`crate::change`]).
    ///
    /// # Errors
    /// The reason; the present version stays and nothing has changed.
    pub fn apply(&mut self, changes: &[Change], now: Duration) -> Result<u64, Refused> {
        let applied = self.has_room().and_then(|()| self.table.apply(changes));
        if let Err(refused) = applied {
            self.counts.versions_refused += 1;
            return Err(refused);
        }
        if self.buckets.in_use() > 0 {
            let rules = Rules::of(&self.table, changes).0;
            if !rules.is_empty() {
                self.buckets.under(&rules, now);
            }
        }
        Ok(self.next())
    }

    fn has_room(&self) -> Result<(), Refused> {
        if self.versions.len() >= MOST_VERSIONS {
            let words =
                format!("{MOST_VERSIONS} versions still have tickets; try again when some ended");
            return Err(Refused(words));
        }
        Ok(())
    }

    /// What the table says now is a version.
    fn next(&mut self) -> u64 {
        let number = self.versions.back().map_or(1, |last| last.number + 1);
        self.versions.push_back(Version { number, open: 0 });
        self.counts.versions_taken += 1;
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
    pub fn look(&mut self, now: Duration) {
        self.buckets.sweep(now);
    }

    /// Fewer buckets than [`crate::buckets::MOST_BUCKETS`]; those that are in use stay.
    pub fn bound_buckets(&mut self, most: usize) {
        self.buckets.bound(most);
    }

    /// The present version's table: indices of tickets are those of it.
    pub fn table(&self) -> &Table {
        &self.table
    }

    fn find(&self, number: u64) -> Option<usize> {
        let at = self
            .versions
            .partition_point(|version| version.number < number);
        (self.versions.get(at)?.number == number).then_some(at)
    }

    /// The number of the present version, of all that live, and of the tickets that each has.
    pub fn versions(&self) -> impl Iterator<Item = (u64, u64)> + '_ {
        self.versions
            .iter()
            .map(|version| (version.number, version.open))
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Buckets that are in use, and for how many there is room already.
    pub fn buckets(&self) -> (usize, usize) {
        (self.buckets.in_use(), self.buckets.room())
    }

    /// Decides about a ticket: its way, or when to come back. A pool whose own limits are full is passed
    /// over as if it were out; what that leaves decides. Whoever is turned away has used nothing.
    ///
    /// `usable`: whether a pool, by its index in the present table, can take tickets.
    pub fn arrived(
        &mut self,
        now: Duration,
        ticket: &Ticket<'_>,
        usable: impl Fn(u16) -> bool,
    ) -> Verdict {
        let Self {
            table,
            versions,
            buckets,
            chance,
            counts,
        } = self;
        let last = versions.len() - 1;
        let Version { number, open } = &mut versions[last];
        let look = |at: At, of: usize, pool: u16| -> Result<Option<(Rule, Key)>, Full> {
            let Some((rule, key)) = limit(table, at, of, ticket, pool) else {
                return Ok(None);
            };
            buckets.look(&key, &rule, now).map(|()| Some((rule, key)))
        };
        // The soonest that a pool passed over for its limits told.
        let passed_over: Cell<Option<Duration>> = Cell::new(None);
        let open_pool = |pool: u16| {
            usable(pool)
                && match look(At::Pool, usize::from(pool), pool) {
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
        let place = match table.place(ticket, chance, open_pool) {
            Ok(place) => place,
            Err(NoWay::NoRoute) => {
                counts.no_route += 1;
                return Verdict::Turned(Turned {
                    why: Why::NoRoute,
                    after: WHEN_NOWHERE,
                    route: None,
                });
            }
            Err(NoWay::NoPool(route)) => {
                let (why, after) = match passed_over.get() {
                    Some(after) => (Why::Limit(At::Pool), after),
                    None => (Why::NoPool, WHEN_NOWHERE),
                };
                if why == Why::NoPool {
                    counts.no_pool += 1;
                } else {
                    counts.limited += 1;
                }
                let after = bounded(table, Some(route), None, after);
                return Verdict::Turned(Turned {
                    why,
                    after,
                    route: Some(route),
                });
            }
        };
        let tenant = ticket.tenant.map_or(usize::MAX, usize::from);
        let of = [
            usize::from(ticket.traffic),
            tenant,
            usize::from(place.route),
            usize::from(place.pool),
        ];
        let mut counted = [None; PLACES];
        let mut turned: Option<(At, Duration)> = None;
        for (k, at) in ALL_PLACES.into_iter().enumerate() {
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
            let after = bounded(table, Some(place.route), Some(place.pool), after);
            return Verdict::Turned(Turned {
                why: Why::Limit(at),
                after,
                route: Some(place.route),
            });
        }
        // Room for all that are new, or none is made: whoever is turned away has used nothing.
        if !buckets.make_room(|| counted.iter().flatten().map(|(_, key)| *key), now) {
            counts.no_bucket += 1;
            let after = bounded(table, Some(place.route), Some(place.pool), WHEN_NO_BUCKET);
            return Verdict::Turned(Turned {
                why: Why::NoBucket,
                after,
                route: Some(place.route),
            });
        }
        let held =
            counted.map(|one| one.map_or(NONE, |(rule, key)| buckets.enter(key, &rule, now)));
        *open += 1;
        counts.went += 1;
        let times = table.times(place.route, ticket.traffic);
        let (route, pool) = (
            &table.routes[usize::from(place.route)],
            &table.pools[usize::from(place.pool)],
        );
        let (route, pool) = (route.name.clone(), pool.name.clone());
        Verdict::Goes(Way {
            version: *number,
            place,
            route,
            pool,
            times,
            held,
        })
    }

    /// A ticket is over, whatever came of it.
    pub fn ended(&mut self, way: Way) {
        for slot in way.held.into_iter().filter(|slot| *slot != NONE) {
            self.buckets.leave(slot);
        }
        self.counts.ended += 1;
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

fn until(full: Full, now: Duration) -> Duration {
    match full {
        Full::Until(then) => then.saturating_sub(now),
        Full::AtOnce => WHEN_FULL,
    }
}

/// Within what the route's or the pool's retry-after says.
pub(crate) fn bounded(
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
