//! A configuration made ready for tickets: names are indices, matches are rows of bits.
//!
//! For each type, each tenant and each kind of try there is a row with one bit a route: the routes that
//! such tickets can match. A ticket's routes are the bits that stand in all three of its rows, and only
//! those are asked about its entity and size, in order. Rows that are alike are kept once.
//!
//! Invariants: every index in a [`Table`] is within its list; shares of a split are each above 0; the
//! chain of fall-backs of a pool ends.

use crate::budget::Times;
use crate::limit::Rule;
use crate::split::{by_chance, by_entity, mark};
use crate::Refused;
use foldhash::{HashMap, HashMapExt};
use nanorand::WyRand;
use rainstand_config::schema::{self, Again, Configuration, Per, SplitBy};
use rainstand_config::space::Miss;
use rainstand_config::units::ONE;
use std::time::Duration;

/// Blocks of one kind: an index is two bytes.
const MOST: usize = 65_000;
/// Bytes that the rows of one table may take.
const ROWS: usize = 256 << 20;

/// A ticket as far as its way goes. Indices are those of the table it is shown to.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ticket<'t> {
    pub traffic: u16,
    /// None: a tenant that the configuration does not name.
    pub tenant: Option<u16>,
    /// A hash of the name of one that it does not name ([`crate::split::mark`]).
    pub stranger: u64,
    /// Empty if it has none.
    pub entity: &'t str,
    /// A further try.
    pub again: bool,
    /// Bytes.
    pub size: u64,
}

/// Where a ticket goes and how that came about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    pub route: u16,
    pub pool: u16,
    pub by: By,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum By {
    /// Its share of the route's split, or the route's only pool.
    Share,
    /// The pool of its share cannot be used; another of the split takes it.
    OtherShare,
    /// One of the route's fall-backs, by its place in that list.
    FallBack(u16),
    /// What some pool of the route falls back on.
    PoolFallBack,
}

/// Why a ticket has no way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoWay {
    NoRoute,
    /// This route takes it, but none of its pools can be used.
    NoPool(u16),
}

#[derive(Debug)]
struct Pattern {
    beginning: Box<str>,
    whole: bool,
}

impl Pattern {
    fn takes(&self, entity: &str) -> bool {
        if self.whole {
            *self.beginning == *entity
        } else {
            entity.starts_with(&*self.beginning)
        }
    }
}

#[derive(Debug)]
pub(crate) struct Target {
    pub pool: u16,
    mark: u64,
    share: u64,
}

#[derive(Debug)]
pub(crate) struct Route {
    pub name: Box<str>,
    entities: Box<[Pattern]>,
    size: (u64, u64),
    pub to: Box<[Target]>,
    by_chance: bool,
    pub fall_back: Box<[u16]>,
    pub limits: Option<u16>,
    pub retry_after: Option<u16>,
    pub budget: Option<u16>,
}

#[derive(Debug)]
pub(crate) struct Pool {
    pub name: Box<str>,
    /// Mark and weight of each member.
    members: Box<[(u64, u64)]>,
    pub fall_back: Option<u16>,
    pub limits: Option<u16>,
    pub retry_after: Option<u16>,
}

/// See the module's head.
#[derive(Debug)]
pub struct Table {
    pub(crate) configuration: Configuration,
    types: HashMap<Box<str>, u16>,
    tenants: HashMap<Box<str>, u16>,
    pub(crate) pools: Box<[Pool]>,
    pub(crate) routes: Box<[Route]>,
    /// Words of a row.
    words: usize,
    rows: Vec<u64>,
    /// Where the row of each type, tenant (the last: of no known one) and kind of try begins.
    by_type: Box<[u32]>,
    by_tenant: Box<[u32]>,
    by_try: [u32; 2],
    pub(crate) limits: Box<[(Rule, Per)]>,
    pub(crate) type_limits: Box<[Option<u16>]>,
    pub(crate) tenant_limits: Box<[Option<u16>]>,
    pub(crate) times: Vec<Option<Box<[Times]>>>,
    goals: Box<[Duration]>,
}

fn index<'c>(what: &str, names: impl Iterator<Item = &'c String>) -> Result<HashMap<Box<str>, u16>, Refused> {
    let mut all: HashMap<Box<str>, u16> = HashMap::new();
    for (k, name) in names.enumerate() {
        if k >= MOST {
            return Err(Refused(format!("more than {MOST} of {what}")));
        }
        if all.insert(name.as_str().into(), k as u16).is_some() {
            return Err(Refused(format!("{what} `{name}` is there twice")));
        }
    }
    Ok(all)
}

fn find(all: &HashMap<Box<str>, u16>, what: &str, name: &str) -> Result<u16, Refused> {
    all.get(name).copied().ok_or_else(|| Refused(format!("there is no {what} `{name}`")))
}

/// An empty name refers to nothing.
fn find_any(all: &HashMap<Box<str>, u16>, what: &str, name: &str) -> Result<Option<u16>, Refused> {
    if name.is_empty() {
        return Ok(None);
    }
    find(all, what, name).map(Some)
}

impl Table {
    /// # Errors
    /// What in the message cannot be: a name that is not there, a split without shares, too many rows.
    /// The checker refuses all of it before, but a message may come from elsewhere.
    pub fn new(configuration: &Configuration) -> Result<Self, Refused> {
        let c = configuration;
        let types = index("type", c.types.iter().map(|one| &one.name))?;
        let tenants = index("tenant", c.tenants.iter().map(|one| &one.name))?;
        let pools = index("pool", c.pools.iter().map(|one| &one.name))?;
        let limits = index("limits", c.limits.iter().map(|one| &one.name))?;
        let retry_after = index("retry-after", c.retry_after.iter().map(|one| &one.name))?;
        let budgets = index("budget", c.budgets.iter().map(|one| &one.name))?;
        index("route", c.routes.iter().map(|one| &one.name))?;
        let compiled_pools = c.pools.iter().map(|pool| {
            Ok(Pool {
                name: pool.name.as_str().into(),
                members: pool.members.iter().map(|m| (mark(&m.address), m.weight)).collect(),
                fall_back: find_any(&pools, "pool", &pool.fall_back)?,
                limits: find_any(&limits, "limits", &pool.limits)?,
                retry_after: find_any(&retry_after, "retry-after", &pool.retry_after)?,
            })
        });
        let compiled_pools: Box<[Pool]> = compiled_pools.collect::<Result<_, Refused>>()?;
        for start in 0..compiled_pools.len() {
            let chain =
                std::iter::successors(Some(start), |at| compiled_pools[*at].fall_back.map(usize::from));
            if chain.take(compiled_pools.len() + 1).count() > compiled_pools.len() {
                let name = &compiled_pools[start].name;
                return Err(Refused(format!("pool `{name}` falls back in a ring")));
            }
        }
        let routes = c.routes.iter().map(|route| {
            let to = route.to.iter().map(|target| {
                if target.share == 0 || target.share > ONE {
                    return Err(Refused(format!("route `{}`: a share of {}", route.name, target.share)));
                }
                let pool = find(&pools, "pool", &target.pool)?;
                Ok(Target { pool, mark: mark(&target.pool), share: target.share })
            });
            let to: Box<[Target]> = to.collect::<Result<_, Refused>>()?;
            if to.iter().map(|target| target.share).sum::<u64>() != ONE {
                return Err(Refused(format!("route `{}`: its shares are not 100 %", route.name)));
            }
            let matched = route.r#match.clone().unwrap_or_default();
            let entities = matched.entities.iter().map(|pattern| match pattern.strip_suffix('*') {
                Some(beginning) => Pattern { beginning: beginning.into(), whole: false },
                None => Pattern { beginning: pattern.as_str().into(), whole: true },
            });
            let most = if matched.size_most == 0 { u64::MAX } else { matched.size_most };
            let fall_back = route.fall_back.iter().map(|name| find(&pools, "pool", name));
            Ok(Route {
                name: route.name.as_str().into(),
                entities: entities.collect(),
                size: (matched.size_least, most),
                to,
                by_chance: route.split_by() == SplitBy::Chance,
                fall_back: fall_back.collect::<Result<_, Refused>>()?,
                limits: find_any(&limits, "limits", &route.limits)?,
                retry_after: find_any(&retry_after, "retry-after", &route.retry_after)?,
                budget: find_any(&budgets, "budget", &route.budget)?,
            })
        });
        let routes: Box<[Route]> = routes.collect::<Result<_, Refused>>()?;
        let type_limits =
            c.types.iter().map(|one| find_any(&limits, "limits", &one.limits)).collect::<Result<_, _>>()?;
        let tenant_limits =
            c.tenants.iter().map(|one| find_any(&limits, "limits", &one.limits)).collect::<Result<_, _>>()?;
        let goals: Box<[Duration]> = c.types.iter().map(|one| Duration::from_nanos(one.goal_ns)).collect();
        let mut table = Self {
            configuration: c.clone(),
            types,
            tenants,
            pools: compiled_pools,
            words: routes.len().div_ceil(64),
            routes,
            rows: Vec::new(),
            by_type: Box::default(),
            by_tenant: Box::default(),
            by_try: [0; 2],
            limits: c.limits.iter().map(|one| (Rule::from(one), one.per())).collect(),
            type_limits,
            tenant_limits,
            times: c
                .budgets
                .iter()
                .map(|budget| Some(goals.iter().map(|goal| Times::new(*goal, Some(budget))).collect()))
                .collect(),
            goals,
        };
        table.fill_rows()?;
        Ok(table)
    }

    fn fill_rows(&mut self) -> Result<(), Refused> {
        let routes = self.configuration.routes.clone();
        let (types, tenants) = (self.types.len(), self.tenants.len());
        let mut rows = Rows { words: self.words, all: Vec::new(), seen: HashMap::new() };
        let matched = |k: usize| routes[k].r#match.as_ref();
        // Routes that name no type (or tenant) are in every row; the others in those that they name.
        let mut named: Vec<Vec<u16>> = vec![Vec::new(); types];
        let mut general = vec![0u64; self.words];
        for k in 0..routes.len() {
            match matched(k).map(|m| &m.types).filter(|list| !list.is_empty()) {
                None => set(&mut general, k),
                Some(list) => {
                    for name in list {
                        named[usize::from(find(&self.types, "type", name)?)].push(k as u16);
                    }
                }
            }
        }
        self.by_type = rows.with_each(&general, &named)?;
        let mut named: Vec<Vec<u16>> = vec![Vec::new(); tenants + 1];
        let mut general = vec![0u64; self.words];
        for k in 0..routes.len() {
            match matched(k).map(|m| &m.tenants).filter(|list| !list.is_empty()) {
                None => set(&mut general, k),
                Some(list) => {
                    for name in list {
                        named[usize::from(find(&self.tenants, "tenant", name)?)].push(k as u16);
                    }
                }
            }
        }
        self.by_tenant = rows.with_each(&general, &named)?;
        for (of_try, not) in [(0, Again::FurtherTries), (1, Again::FirstTries)] {
            let mut row = vec![0u64; self.words];
            for k in (0..routes.len()).filter(|k| matched(*k).is_none_or(|m| m.again() != not)) {
                set(&mut row, k);
            }
            self.by_try[of_try] = rows.keep(&row)?;
        }
        self.rows = rows.all;
        Ok(())
    }

    pub fn traffic(&self, name: &str) -> Option<u16> {
        self.types.get(name).copied()
    }

    pub fn tenant(&self, name: &str) -> Option<u16> {
        self.tenants.get(name).copied()
    }

    pub fn pool(&self, name: &str) -> Option<u16> {
        self.pools.iter().position(|pool| *pool.name == *name).map(|at| at as u16)
    }

    pub fn pool_name(&self, pool: u16) -> &str {
        &self.pools[usize::from(pool)].name
    }

    pub fn route_name(&self, route: u16) -> &str {
        &self.routes[usize::from(route)].name
    }

    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Bytes that this table holds, nearly: what an open version costs.
    pub fn size(&self) -> usize {
        use rainstand_config::schema::to_binary;
        let fixed = (self.by_type.len() + self.by_tenant.len()) * 4 + self.rows.capacity() * 8;
        let routes: usize = self
            .routes
            .iter()
            .map(|r| {
                size_of::<Route>()
                    + r.entities.len() * size_of::<Pattern>()
                    + r.to.len() * size_of::<Target>()
                    + r.fall_back.len() * 2
            })
            .sum();
        let pools: usize = self.pools.iter().map(|p| size_of::<Pool>() + p.members.len() * 16).sum();
        let times = self.times.iter().flatten().map(|row| row.len() * size_of::<Times>()).sum::<usize>();
        // Names stand in the message and once more as keys.
        fixed + routes + pools + times + 4 * to_binary(&self.configuration).len()
    }

    /// The route that takes a ticket: the first that matches.
    pub fn route(&self, ticket: &Ticket<'_>) -> Option<u16> {
        let of_type = self.row(*self.by_type.get(usize::from(ticket.traffic))?);
        let unknown = self.by_tenant.len() - 1;
        let tenant = ticket.tenant.map_or(unknown, usize::from).min(unknown);
        let of_tenant = self.row(self.by_tenant[tenant]);
        let of_try = self.row(self.by_try[usize::from(ticket.again)]);
        for (word, ((a, b), c)) in of_type.iter().zip(of_tenant).zip(of_try).enumerate() {
            let mut left = a & b & c;
            while left != 0 {
                let at = word * 64 + left.trailing_zeros() as usize;
                left &= left - 1;
                if self.routes[at].takes(ticket) {
                    return Some(at as u16);
                }
            }
        }
        None
    }

    fn row(&self, at: u32) -> &[u64] {
        &self.rows[at as usize..at as usize + self.words]
    }

    /// Where a ticket goes, given which pools can be used now.
    ///
    /// # Errors
    /// No route takes it, or none of the route's pools can be used.
    pub fn place(
        &self,
        ticket: &Ticket<'_>,
        chance: &mut WyRand,
        usable: impl Fn(u16) -> bool,
    ) -> Result<Place, NoWay> {
        let at = self.route(ticket).ok_or(NoWay::NoRoute)?;
        self.pool_of(at, ticket, chance, usable).map(|(pool, by)| Place { route: at, pool, by })
    }

    fn pool_of(
        &self,
        at: u16,
        ticket: &Ticket<'_>,
        chance: &mut WyRand,
        usable: impl Fn(u16) -> bool,
    ) -> Result<(u16, By), NoWay> {
        let route = &self.routes[usize::from(at)];
        let to = &route.to;
        if let [only] = &to[..] {
            if usable(only.pool) {
                return Ok((only.pool, By::Share));
            }
        } else {
            // Tickets without an entity have nothing to be told apart by.
            let chosen = if route.by_chance || ticket.entity.is_empty() {
                by_chance(to.iter().map(|t| t.share), chance, |k| usable(to[k].pool))
            } else {
                by_entity(to.iter().map(|t| (t.mark, t.share)), ticket.entity, |k| usable(to[k].pool))
            };
            if let Some(k) = chosen {
                let all = to.iter().all(|target| usable(target.pool));
                return Ok((to[k].pool, if all { By::Share } else { By::OtherShare }));
            }
        }
        let mut fall_backs = route.fall_back.iter().enumerate();
        if let Some((k, pool)) = fall_backs.find(|(_, pool)| usable(**pool)) {
            return Ok((*pool, By::FallBack(k as u16)));
        }
        let tried = to.iter().map(|target| target.pool).chain(route.fall_back.iter().copied());
        for pool in tried {
            let chain = std::iter::successors(Some(pool), |at| self.pools[usize::from(*at)].fall_back);
            if let Some(other) = chain.skip(1).find(|pool| usable(*pool)) {
                return Ok((other, By::PoolFallBack));
            }
        }
        Err(NoWay::NoPool(at))
    }

    /// The member of a pool that an entity belongs to, of those that can be used.
    pub fn member(&self, pool: u16, entity: &str, usable: impl Fn(usize) -> bool) -> Option<usize> {
        by_entity(self.pools[usize::from(pool)].members.iter().copied(), entity, usable)
    }

    /// The times of a ticket's stages on a route.
    pub fn times(&self, route: u16, traffic: u16) -> Times {
        let goal = self.goals.get(usize::from(traffic)).copied().unwrap_or_default();
        let budget = self.routes[usize::from(route)].budget;
        let row = budget.and_then(|at| self.times[usize::from(at)].as_ref());
        row.and_then(|row| row.get(usize::from(traffic)).copied()).unwrap_or_else(|| Times::new(goal, None))
    }

    /// Why a route does not take a ticket, if it does not.
    pub fn miss(&self, route: u16, ticket: &Ticket<'_>) -> Option<Miss> {
        let has = |row: &[u64]| row[usize::from(route) / 64] >> (route % 64) & 1 == 1;
        let unknown = self.by_tenant.len() - 1;
        let tenant = ticket.tenant.map_or(unknown, usize::from).min(unknown);
        let compiled = &self.routes[usize::from(route)];
        if !self.by_type.get(usize::from(ticket.traffic)).is_some_and(|at| has(self.row(*at))) {
            Some(Miss::Type)
        } else if !has(self.row(self.by_tenant[tenant])) {
            Some(Miss::Tenant)
        } else if !has(self.row(self.by_try[usize::from(ticket.again)])) {
            Some(Miss::Again)
        } else if !(compiled.size.0..=compiled.size.1).contains(&ticket.size) {
            Some(Miss::Size)
        } else if !compiled.takes(ticket) {
            Some(Miss::Entity)
        } else {
            None
        }
    }

    /// The retry-after bounds that hold for a ticket: the route's, else the pool's.
    pub(crate) fn bounds(&self, route: Option<u16>, pool: Option<u16>) -> Option<&schema::RetryAfter> {
        let of_route = route.and_then(|at| self.routes[usize::from(at)].retry_after);
        let of_pool = pool.and_then(|at| self.pools[usize::from(at)].retry_after);
        of_route.or(of_pool).map(|at| &self.configuration.retry_after[usize::from(at)])
    }
}

impl Route {
    fn takes(&self, ticket: &Ticket<'_>) -> bool {
        (self.size.0..=self.size.1).contains(&ticket.size)
            && (self.entities.is_empty() || self.entities.iter().any(|p| p.takes(ticket.entity)))
    }
}

fn set(row: &mut [u64], at: usize) {
    row[at / 64] |= 1 << (at % 64);
}

/// Rows as they are made; each kept once.
struct Rows {
    words: usize,
    all: Vec<u64>,
    seen: HashMap<Box<[u64]>, u32>,
}

impl Rows {
    fn keep(&mut self, row: &[u64]) -> Result<u32, Refused> {
        if let Some(at) = self.seen.get(row) {
            return Ok(*at);
        }
        if (self.all.len() + self.words) * 8 > ROWS {
            return Err(Refused(format!("routes by types and tenants would take over {ROWS} bytes")));
        }
        let at = self.all.len() as u32;
        self.all.extend_from_slice(row);
        self.seen.insert(row.into(), at);
        Ok(at)
    }

    /// The general row with each list's own bits.
    fn with_each(&mut self, general: &[u64], named: &[Vec<u16>]) -> Result<Box<[u32]>, Refused> {
        let mut row = general.to_vec();
        let mut all = Vec::with_capacity(named.len());
        for list in named {
            list.iter().for_each(|k| set(&mut row, usize::from(*k)));
            all.push(self.keep(&row)?);
            row.copy_from_slice(general);
        }
        Ok(all.into())
    }
}
