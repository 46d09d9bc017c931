//! Routes and limits together, while configurations change under running tickets.
//!
//! A ticket that came in under a version finishes under it: its route, its times and the counts that it
//! stands in. A new version takes over the counts of all that it has in common with those before it, by
//! name: what was let in stays let in. A version that has no more tickets and is not the present one is
//! dropped with whatever only it knew.
//!
//! Invariants: versions stand in order of number, the last is the present one and always there; `open` of
//! a version is the number of its [`Way`]s out there; a slot's `uses` is the number of versions that
//! name it, and a slot of no use is in `free` with nobody inside.

use crate::budget::Times;
use crate::limit::{Bucket, Full, Pace, Rule};
use crate::table::{NoWay, Place, Table, Ticket};
use crate::Refused;
use foldhash::{HashMap, HashMapExt};
use nanorand::WyRand;
use rainstand_config::schema::{Configuration, Limits, Per};
use std::cell::Cell;
use std::collections::VecDeque;
use std::time::Duration;

/// Versions with tickets in hand: a hundred changes within one outer limit and some room. Past it a new
/// version is refused until an old one ends.
pub const MOST_VERSIONS: usize = 128;
/// Buckets of one version, 64 bytes each: 64 MiB.
const MOST_BUCKETS: usize = 1 << 20;
/// Told where all places are taken and nobody knows when one leaves: a usual run.
const WHEN_FULL: Duration = Duration::from_millis(100);
/// Told where no pool can be used, or no route takes the ticket: as long as health takes to change.
const WHEN_NOWHERE: Duration = Duration::from_secs(1);
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
    pub versions_taken: u64,
    pub versions_refused: u64,
    pub versions_dropped: u64,
}

/// A limit at one place: its rule, and where its buckets are listed.
#[derive(Clone, Copy, Debug)]
struct Limit {
    rule: Rule,
    per: Per,
    /// In the version's list of slots.
    first: u32,
}

#[derive(Debug, Default)]
struct Layout {
    by_place: [Box<[Option<Limit>]>; PLACES],
    slots: Vec<u32>,
}

#[derive(Debug)]
struct Version {
    number: u64,
    table: Table,
    layout: Layout,
    open: u64,
}

#[derive(Debug, Default)]
struct Slot {
    bucket: Bucket,
    rule: Rule,
    uses: u32,
}

/// See the module's head.
#[derive(Debug)]
pub struct Router {
    versions: VecDeque<Version>,
    slots: Vec<Slot>,
    free: Vec<u32>,
    chance: WyRand,
    counts: Counts,
}

/// What a bucket is known by over versions: the kind and name of its place, what it is kept by, and the
/// name of that. Borrowed from the configurations.
type Known<'c> = (At, &'c str, Per, &'c str);

const ALL_PLACES: [At; PLACES] = [At::Type, At::Tenant, At::Route, At::Pool];

fn rule(limits: &Limits) -> Rule {
    let pace = limits.rate.filter(|rate| rate.micro_tickets > 0 && rate.per_ns > 0);
    let pace =
        pace.map(|rate| Pace { micro: rate.micro_tickets, per: rate.per_ns, burst: limits.burst.max(1) });
    Rule { pace, at_once: limits.at_once }
}

/// The limits of each thing of a kind, with its name.
fn limited(table: &Table, at: At) -> Vec<(&str, Option<u16>)> {
    let c = &table.configuration;
    match at {
        At::Type => c.types.iter().map(|x| &*x.name).zip(table.type_limits.iter().copied()).collect(),
        At::Tenant => c.tenants.iter().map(|x| &*x.name).zip(table.tenant_limits.iter().copied()).collect(),
        At::Route => table.routes.iter().map(|x| (&*x.name, x.limits)).collect(),
        At::Pool => table.pools.iter().map(|x| (&*x.name, x.limits)).collect(),
    }
}

/// The names of what a limit is kept by, in the order of [`key`].
fn keys(table: &Table, per: Per) -> Vec<&str> {
    let c = &table.configuration;
    match per {
        Per::Tenant => c.tenants.iter().map(|x| &*x.name).chain(std::iter::once("")).collect(),
        Per::Type => c.types.iter().map(|x| &*x.name).collect(),
        Per::Pool => c.pools.iter().map(|x| &*x.name).collect(),
        Per::All | Per::Unspecified => vec![""],
    }
}

/// Which of a limit's buckets a ticket belongs to.
fn key(table: &Table, per: Per, ticket: &Ticket<'_>, pool: u16) -> usize {
    match per {
        Per::Tenant => ticket.tenant.map_or(table.configuration.tenants.len(), usize::from),
        Per::Type => usize::from(ticket.traffic),
        Per::Pool => usize::from(pool),
        Per::All | Per::Unspecified => 0,
    }
}

/// All buckets of a layout with what they are known by, in the order of the layout's slots.
fn all_known<'c>(table: &'c Table, layout: &Layout) -> Vec<(Known<'c>, Rule)> {
    let mut all = Vec::with_capacity(layout.slots.len());
    for (place, at) in ALL_PLACES.into_iter().enumerate() {
        for ((name, _), limit) in limited(table, at).into_iter().zip(&layout.by_place[place]) {
            let Some(limit) = limit else { continue };
            all.extend(
                keys(table, limit.per).into_iter().map(|key| ((at, name, limit.per, key), limit.rule)),
            );
        }
    }
    all
}

impl Router {
    /// `seed`: for tickets that are parted by chance.
    ///
    /// # Errors
    /// As [`Table::new`], or more limits by key than fit.
    pub fn new(configuration: &Configuration, seed: u64) -> Result<Self, Refused> {
        let mut router = Self {
            versions: VecDeque::new(),
            slots: Vec::new(),
            free: Vec::new(),
            chance: WyRand::new_seed(seed),
            counts: Counts::default(),
        };
        router.take(configuration, Duration::ZERO)?;
        Ok(router)
    }

    /// Takes a new version; tickets from now on go by it. Its number is told.
    ///
    /// # Errors
    /// The reason; the present version stays and nothing has changed.
    pub fn take(&mut self, configuration: &Configuration, now: Duration) -> Result<u64, Refused> {
        let taken = self.make(configuration);
        let (table, layout) = match taken {
            Ok(made) => made,
            Err(refused) => {
                self.counts.versions_refused += 1;
                return Err(refused);
            }
        };
        let layout = self.fill(&table, layout, now);
        let number = self.versions.back().map_or(1, |last| last.number + 1);
        self.versions.push_back(Version { number, table, layout, open: 0 });
        self.counts.versions_taken += 1;
        if self.versions.len() > 1 {
            let before = self.versions.len() - 2;
            if self.versions[before].open == 0 {
                self.drop_version(before);
            }
        }
        Ok(number)
    }

    fn make(&self, configuration: &Configuration) -> Result<(Table, Layout), Refused> {
        if self.versions.len() >= MOST_VERSIONS {
            let words = format!("{MOST_VERSIONS} versions still have tickets; try again when some ended");
            return Err(Refused(words));
        }
        let table = Table::new(configuration)?;
        let mut layout = Layout::default();
        let mut all = 0;
        for (place, at) in ALL_PLACES.into_iter().enumerate() {
            let limits = limited(&table, at).into_iter().map(|(_, limits)| {
                let limits = &configuration.limits[usize::from(limits?)];
                let first = all;
                all += keys(&table, limits.per()).len();
                Some(Limit { rule: rule(limits), per: limits.per(), first: first as u32 })
            });
            layout.by_place[place] = limits.collect();
        }
        if all > MOST_BUCKETS {
            return Err(Refused(format!(
                "limits by tenant, type and pool come to {all}; {MOST_BUCKETS} fit"
            )));
        }
        // Room for the slots; which they are is settled when nothing can fail any more.
        layout.slots = vec![NONE; all];
        Ok((table, layout))
    }

    /// Gives each bucket its slot: the one it has in a living version, else a new one.
    fn fill(&mut self, table: &Table, mut layout: Layout, now: Duration) -> Layout {
        let Self { versions, slots, free, .. } = self;
        let mut living: HashMap<Known<'_>, u32> = HashMap::new();
        for version in versions.iter().rev() {
            let known = all_known(&version.table, &version.layout);
            for ((known, _), slot) in known.into_iter().zip(&version.layout.slots) {
                living.entry(known).or_insert(*slot);
            }
        }
        let all = all_known(table, &layout);
        for (slot, (known, rule)) in layout.slots.iter_mut().zip(all) {
            *slot = match living.get(&known) {
                Some(slot) => *slot,
                None => free.pop().unwrap_or_else(|| {
                    slots.push(Slot::default());
                    slots.len() as u32 - 1
                }),
            };
            let kept = &mut slots[*slot as usize];
            kept.uses += 1;
            kept.bucket.under(&kept.rule, &rule, now);
            kept.rule = rule;
        }
        layout
    }

    fn drop_version(&mut self, at: usize) {
        let Some(version) = self.versions.remove(at) else { return };
        self.counts.versions_dropped += 1;
        for slot in version.layout.slots {
            let kept = &mut self.slots[slot as usize];
            kept.uses -= 1;
            if kept.uses == 0 {
                *kept = Slot::default();
                self.free.push(slot);
            }
        }
    }

    /// The present version's table: indices of tickets are those of it.
    pub fn table(&self) -> &Table {
        &self.versions[self.versions.len() - 1].table
    }

    /// The table of the version under which a ticket came in.
    pub fn table_of(&self, way: &Way) -> Option<&Table> {
        self.find(way.version).map(|at| &self.versions[at].table)
    }

    fn find(&self, number: u64) -> Option<usize> {
        let at = self.versions.partition_point(|version| version.number < number);
        (self.versions.get(at)?.number == number).then_some(at)
    }

    /// The number of the present version, of all that live, and of the tickets that each has.
    pub fn versions(&self) -> impl Iterator<Item = (u64, u64)> + '_ {
        self.versions.iter().map(|version| (version.number, version.open))
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Buckets that are in use, and that were ever made.
    pub fn buckets(&self) -> (usize, usize) {
        (self.slots.len() - self.free.len(), self.slots.len())
    }

    /// Decides about a ticket: its way, or when to come back. A pool whose own limits are full is passed
    /// over as if it were out; what that leaves decides. Whoever is turned away has used nothing.
    ///
    /// `usable`: whether a pool, by its index in the present table, can take tickets.
    pub fn arrived(&mut self, now: Duration, ticket: &Ticket<'_>, usable: impl Fn(u16) -> bool) -> Verdict {
        let Self { versions, slots, chance, counts, .. } = self;
        let last = versions.len() - 1;
        let Version { number, table, layout, open } = &mut versions[last];
        let look = |at: At, of: usize, pool: u16| -> Result<u32, (u32, Full)> {
            let Some(limit) = layout.by_place[at as usize].get(of).copied().flatten() else {
                return Ok(NONE);
            };
            let slot = layout.slots[limit.first as usize + key(table, limit.per, ticket, pool)];
            match slots[slot as usize].bucket.look(&limit.rule, now) {
                Ok(()) => Ok(slot),
                Err(full) => Err((slot, full)),
            }
        };
        // The soonest that a pool passed over for its limits told.
        let passed_over: Cell<Option<Duration>> = Cell::new(None);
        let open_pool = |pool: u16| {
            usable(pool)
                && match look(At::Pool, usize::from(pool), pool) {
                    Ok(_) => true,
                    Err((_, full)) => {
                        let told = until(full, now);
                        passed_over.set(Some(passed_over.get().map_or(told, |before| before.min(told))));
                        false
                    }
                }
        };
        let place = match table.place(ticket, chance, open_pool) {
            Ok(place) => place,
            Err(NoWay::NoRoute) => {
                counts.no_route += 1;
                return Verdict::Turned(Turned { why: Why::NoRoute, after: WHEN_NOWHERE, route: None });
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
                return Verdict::Turned(Turned { why, after, route: Some(route) });
            }
        };
        let tenant = ticket.tenant.map_or(usize::MAX, usize::from);
        let of = [usize::from(ticket.traffic), tenant, usize::from(place.route), usize::from(place.pool)];
        let mut held = [NONE; PLACES];
        let mut turned: Option<(At, Duration)> = None;
        for (k, at) in ALL_PLACES.into_iter().enumerate() {
            match look(at, of[k], place.pool) {
                Ok(slot) => held[k] = slot,
                // All must let it in, so the latest counts.
                Err((_, full)) => {
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
            return Verdict::Turned(Turned { why: Why::Limit(at), after, route: Some(place.route) });
        }
        for slot in held.into_iter().filter(|slot| *slot != NONE) {
            let Slot { bucket, rule, .. } = &mut slots[slot as usize];
            bucket.enter(rule, now);
        }
        *open += 1;
        counts.went += 1;
        let times = table.times(place.route, ticket.traffic);
        Verdict::Goes(Way { version: *number, place, times, held })
    }

    /// A ticket is over, whatever came of it.
    pub fn ended(&mut self, way: Way) {
        for slot in way.held.into_iter().filter(|slot| *slot != NONE) {
            self.slots[slot as usize].bucket.leave();
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
pub(crate) fn bounded(table: &Table, route: Option<u16>, pool: Option<u16>, after: Duration) -> Duration {
    match table.bounds(route, pool) {
        None => after,
        Some(bounds) => {
            let least = Duration::from_nanos(bounds.least_ns);
            after.max(least).min(Duration::from_nanos(bounds.most_ns).max(least))
        }
    }
}
