//! A configuration made ready for requests: names are indices, matches are rows of bits.
//!
//! For each type, for all tenants and for each kind of try there is a row with one bit a route: the routes that such
//! requests can match. Routes that name tenants are not in the row of all but in a list of each tenant that they name. A
//! request's routes are the bits that stand in all three, and only those are asked about its entity and size, in
//! order.
//!
//! There is one table, that of the present version: a request that came in under an earlier one carries what it still
//! needs of it ([`crate::router::RouteDecision`]). So a change of named things alters the table where it says something
//! ([`crate::table_update`]), and two versions that are open take the memory of one.
//!
//! Invariants: every index in a [`Table`] is within its list; shares of a split are each above 0; the
//! chain of fall-backs of a pool ends; bits and list entries past the last route are none.

use crate::rate_limit::LimitRule;
use crate::time_budget::Times;
use crate::weighted_split::{by_chance, by_entity, name_hash};
use crate::ConfigurationError;
use foldhash::{HashMap, HashMapExt};
use nanorand::WyRand;
use rainstand_config::schema::{self, Again, Configuration, Per, SplitBy};
use rainstand_config::space::Miss;
use rainstand_config::units::ONE;
use std::rc::Rc;
use std::time::Duration;

/// Blocks of one kind: an index is two bytes.
pub(crate) const MAX_ENTRIES: usize = 65_000;
/// Bytes that the rows of one table may take.
const MAX_ROW_BYTES: usize = 256 << 20;

/// A request as far as its way goes. Indices are those of the table it is shown to.
#[derive(Clone, Copy, Debug, Default)]
pub struct Request<'t> {
    pub request_class: u16,
    /// None: a tenant that the configuration does not name.
    pub tenant: Option<u16>,
    /// A hash of the name of one that it does not name ([`crate::weighted_split::name_hash`]).
    pub tenant_hash: u64,
    /// Empty if it has none.
    pub entity: &'t str,
    /// A further try.
    pub again: bool,
    /// Bytes.
    pub size: u64,
}

/// Where a request goes and how that came about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    pub route: u16,
    pub pool: u16,
    pub by: PlacementReason,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementReason {
    /// Its share of the route's split, or the route's only pool.
    Share,
    /// The pool of its share cannot be used; another of the split takes it.
    OtherShare,
    /// One of the route's fall-backs, by its place in that list.
    Fallback(u16),
    /// What some pool of the route falls back on.
    PoolFallback,
}

/// Why a request has no way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutingError {
    NoRoute,
    /// This route takes it, but none of its pools can be used.
    NoPool(u16),
}

#[derive(Debug)]
pub(crate) struct Target {
    pub pool: u16,
    mark: u64,
    share: u64,
}

#[derive(Debug)]
pub(crate) struct Route {
    pub name: Rc<str>,
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
    pub name: Rc<str>,
    /// Mark and weight of each member.
    members: Box<[(u64, u64)]>,
    pub fall_back: Option<u16>,
    pub limits: Option<u16>,
    pub retry_after: Option<u16>,
}

/// What has a name in a configuration.
pub(crate) trait Named {
    const WHAT: &'static str;
    fn name(&self) -> &str;
}

macro_rules! named {
    ($($thing:ident $what:literal),*) => {
        $(impl Named for schema::$thing {
            const WHAT: &'static str = $what;
            fn name(&self) -> &str {
                &self.name
            }
        })*
    };
}
named!(TrafficType "type", Tenant "tenant", Pool "pool", Limits "limits", RetryAfter "retry-after", Budget "budget",
    Route "route", Attempts "attempts", Health "health");

/// Places in a list of the configuration by name. The names stand there; here are their hashes alone.
#[derive(Debug, Default)]
pub(crate) struct NameIndex(pub HashMap<u64, u16>);

impl NameIndex {
    fn new<T: Named>(all: &[T]) -> Result<Self, ConfigurationError> {
        let mut names = Self(HashMap::with_capacity(all.len()));
        for at in 0..all.len() {
            names.put(all, at)?;
        }
        Ok(names)
    }

    /// The one at this place; nothing has changed if it is refused.
    pub fn put<T: Named>(&mut self, all: &[T], at: usize) -> Result<(), ConfigurationError> {
        let (what, name) = (T::WHAT, all[at].name());
        if at >= MAX_ENTRIES {
            return Err(ConfigurationError(format!(
                "more than {MAX_ENTRIES} of {what}"
            )));
        }
        self.free(all, name)?;
        self.moved(name, at as u16);
        Ok(())
    }

    /// # Errors
    /// If another one stands for it already.
    pub fn free<T: Named>(&self, all: &[T], name: &str) -> Result<(), ConfigurationError> {
        let Some(there) = self.0.get(&name_hash(name)) else {
            return Ok(());
        };
        let (what, other) = (
            T::WHAT,
            all.get(usize::from(*there)).map_or("", Named::name),
        );
        Err(ConfigurationError(match other == name {
            true => format!("{what} `{name}` is there twice"),
            // One in a thousand million configurations of this size: another name will do.
            false => format!("{what} `{name}` has the hash of `{other}`; give it another name"),
        }))
    }

    pub fn remove(&mut self, name: &str) {
        self.0.remove(&name_hash(name));
    }

    /// It stands here now.
    pub fn moved(&mut self, name: &str, to: u16) {
        self.0.insert(name_hash(name), to);
    }

    pub fn each(&mut self, what: impl FnMut(&mut u16)) {
        self.0.values_mut().for_each(what);
    }

    pub fn get<T: Named>(&self, all: &[T], name: &str) -> Option<u16> {
        let at = *self.0.get(&name_hash(name))?;
        (all.get(usize::from(at))?.name() == name).then_some(at)
    }

    pub fn find<T: Named>(&self, all: &[T], name: &str) -> Result<u16, ConfigurationError> {
        self.get(all, name)
            .ok_or_else(|| ConfigurationError(format!("there is no {} `{name}`", T::WHAT)))
    }

    /// An empty name refers to nothing.
    pub fn find_any<T: Named>(
        &self,
        all: &[T],
        name: &str,
    ) -> Result<Option<u16>, ConfigurationError> {
        if name.is_empty() {
            return Ok(None);
        }
        self.find(all, name).map(Some)
    }
}

/// A row with one bit a route.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Bits(Vec<u64>);

impl Bits {
    pub fn has(&self, at: usize) -> bool {
        self.0[at / 64] >> (at % 64) & 1 == 1
    }

    pub fn set(&mut self, at: usize, to: bool) {
        let bit = 1 << (at % 64);
        match to {
            true => self.0[at / 64] |= bit,
            false => self.0[at / 64] &= !bit,
        }
    }

    /// What stands at this place and behind moves on by one.
    pub fn open(&mut self, at: usize) {
        let below = (1u64 << (at % 64)) - 1;
        for word in (at / 64 + 1..self.0.len()).rev() {
            self.0[word] = self.0[word] << 1 | self.0[word - 1] >> 63;
        }
        let word = &mut self.0[at / 64];
        *word = (*word & below) | (*word & !below) << 1;
    }

    /// What stands behind this place moves back by one.
    pub fn close(&mut self, at: usize) {
        let below = (1u64 << (at % 64)) - 1;
        let last = self.0.len() - 1;
        let word = &mut self.0[at / 64];
        *word = (*word & below) | (*word >> 1 & !below);
        for word in at / 64..last {
            self.0[word] = self.0[word] & !(1 << 63) | self.0[word + 1] << 63;
            self.0[word + 1] >>= 1;
        }
    }

    pub fn resize(&mut self, words: usize) {
        self.0.resize(words, 0);
    }
}

#[derive(Debug, Default)]
pub(crate) struct Index {
    pub types: NameIndex,
    pub tenants: NameIndex,
    pub pools: NameIndex,
    pub limits: NameIndex,
    pub retry_after: NameIndex,
    pub budgets: NameIndex,
    pub routes: NameIndex,
}

/// See the module's head.
#[derive(Debug)]
pub struct Table {
    pub(crate) configuration: Configuration,
    pub(crate) index: Index,
    pub(crate) pools: Vec<Pool>,
    pub(crate) routes: Vec<Route>,
    /// Routes that name no type, and with those that name it the row of each.
    pub(crate) any_type: Bits,
    pub(crate) by_type: Vec<Bits>,
    /// Routes that name no tenant, and in order those that name it for each that is named.
    pub(crate) any_tenant: Bits,
    pub(crate) by_tenant: HashMap<u16, Vec<u16>>,
    pub(crate) by_try: [Bits; 2],
    pub(crate) limits: Vec<(LimitRule, Per)>,
    pub(crate) type_limits: Vec<Option<u16>>,
    pub(crate) tenant_limits: Vec<Option<u16>>,
    /// Of each budget and type.
    pub(crate) times: Vec<Vec<Times>>,
    pub(crate) goals: Vec<Duration>,
}

/// # Errors
/// If rows of so many routes for so many types would take too much.
pub(crate) fn rows_fit(types: usize, routes: usize) -> Result<(), ConfigurationError> {
    match types.saturating_mul(routes.div_ceil(64) * 8) > MAX_ROW_BYTES {
        true => Err(ConfigurationError(format!(
            "routes by types would take over {MAX_ROW_BYTES} bytes"
        ))),
        false => Ok(()),
    }
}

/// Kinds of tries, and what a match says that is not for them.
const EXCLUDED_BY_ATTEMPT: [Again; 2] = [Again::FurtherTries, Again::FirstTries];

impl Table {
    /// # Errors
    /// As [`Table::of`].
    pub fn new(configuration: &Configuration) -> Result<Self, ConfigurationError> {
        Self::of(configuration.clone())
    }

    /// # Errors
    /// What in the message cannot be: a name that is not there, a split without shares, too many rows.
    /// The checker refuses all of it before, but a message may come from elsewhere.
    pub fn of(c: Configuration) -> Result<Self, ConfigurationError> {
        let index = Index {
            types: NameIndex::new(&c.types)?,
            tenants: NameIndex::new(&c.tenants)?,
            pools: NameIndex::new(&c.pools)?,
            limits: NameIndex::new(&c.limits)?,
            retry_after: NameIndex::new(&c.retry_after)?,
            budgets: NameIndex::new(&c.budgets)?,
            routes: NameIndex::new(&c.routes)?,
        };
        let find_limits = |name: &str| index.limits.find_any(&c.limits, name);
        let type_limits = c
            .types
            .iter()
            .map(|one| find_limits(&one.limits))
            .collect::<Result<_, _>>()?;
        let tenant_limits = c
            .tenants
            .iter()
            .map(|one| find_limits(&one.limits))
            .collect::<Result<_, _>>()?;
        let goals: Vec<Duration> = c
            .types
            .iter()
            .map(|one| Duration::from_nanos(one.goal_ns))
            .collect();
        let times = |budget| {
            goals
                .iter()
                .map(|goal| Times::new(*goal, Some(budget)))
                .collect()
        };
        let mut row = Bits::default();
        row.resize(c.routes.len().div_ceil(64));
        rows_fit(c.types.len(), c.routes.len())?;
        let mut table = Self {
            limits: c
                .limits
                .iter()
                .map(|one| (LimitRule::from(one), one.per()))
                .collect(),
            times: c.budgets.iter().map(times).collect(),
            pools: Vec::new(),
            routes: Vec::new(),
            by_type: vec![row.clone(); c.types.len()],
            by_tenant: HashMap::new(),
            by_try: [row.clone(), row.clone()],
            any_type: row.clone(),
            any_tenant: row,
            configuration: c,
            index,
            type_limits,
            tenant_limits,
            goals,
        };
        let c = &table.configuration;
        table.pools = c
            .pools
            .iter()
            .map(|pool| table.compile_pool(pool))
            .collect::<Result<_, _>>()?;
        (0..table.pools.len()).try_for_each(|at| table.chain_ends(at))?;
        let c = &table.configuration;
        table.routes = c
            .routes
            .iter()
            .map(|route| table.compile_route(route))
            .collect::<Result<_, _>>()?;
        for at in 0..table.routes.len() {
            table.mark_route(at, true);
        }
        Ok(table)
    }

    pub(crate) fn chain_ends(&self, pool: usize) -> Result<(), ConfigurationError> {
        let chain =
            std::iter::successors(Some(pool), |at| self.pools[*at].fall_back.map(usize::from));
        if chain.take(self.pools.len() + 1).count() > self.pools.len() {
            let name = &self.pools[pool].name;
            return Err(ConfigurationError(format!(
                "pool `{name}` falls back in a ring"
            )));
        }
        Ok(())
    }

    pub(crate) fn compile_pool(&self, pool: &schema::Pool) -> Result<Pool, ConfigurationError> {
        let (c, index) = (&self.configuration, &self.index);
        Ok(Pool {
            name: pool.name.as_str().into(),
            members: pool
                .members
                .iter()
                .map(|m| (name_hash(&m.address), m.weight))
                .collect(),
            fall_back: index.pools.find_any(&c.pools, &pool.fall_back)?,
            limits: index.limits.find_any(&c.limits, &pool.limits)?,
            retry_after: index
                .retry_after
                .find_any(&c.retry_after, &pool.retry_after)?,
        })
    }

    pub(crate) fn compile_route(&self, route: &schema::Route) -> Result<Route, ConfigurationError> {
        let (c, index) = (&self.configuration, &self.index);
        let to = route.to.iter().map(|target| {
            if target.share == 0 || target.share > ONE {
                return Err(ConfigurationError(format!(
                    "route `{}`: a share of {}",
                    route.name, target.share
                )));
            }
            let pool = index.pools.find(&c.pools, &target.pool)?;
            Ok(Target {
                pool,
                mark: name_hash(&target.pool),
                share: target.share,
            })
        });
        let to: Box<[Target]> = to.collect::<Result<_, ConfigurationError>>()?;
        if to.iter().map(|target| target.share).sum::<u64>() != ONE {
            return Err(ConfigurationError(format!(
                "route `{}`: its shares are not 100 %",
                route.name
            )));
        }
        let mut size = (0, u64::MAX);
        if let Some(matched) = &route.r#match {
            matched
                .types
                .iter()
                .try_for_each(|name| index.types.find(&c.types, name).map(drop))?;
            matched
                .tenants
                .iter()
                .try_for_each(|name| index.tenants.find(&c.tenants, name).map(drop))?;
            size = (
                matched.size_least,
                if matched.size_most == 0 {
                    u64::MAX
                } else {
                    matched.size_most
                },
            );
        }
        let fall_back = route
            .fall_back
            .iter()
            .map(|name| index.pools.find(&c.pools, name));
        Ok(Route {
            name: route.name.as_str().into(),
            size,
            to,
            by_chance: route.split_by() == SplitBy::Chance,
            fall_back: fall_back.collect::<Result<_, ConfigurationError>>()?,
            limits: index.limits.find_any(&c.limits, &route.limits)?,
            retry_after: index
                .retry_after
                .find_any(&c.retry_after, &route.retry_after)?,
            budget: index.budgets.find_any(&c.budgets, &route.budget)?,
        })
    }

    /// Sets a route's bits and entries, by its match in the configuration, or takes them away.
    pub(crate) fn mark_route(&mut self, at: usize, to: bool) {
        let Self {
            configuration: c,
            index,
            any_type,
            by_type,
            any_tenant,
            by_tenant,
            by_try,
            ..
        } = self;
        let matched = c.routes[at].r#match.as_ref();
        match matched.map(|m| &m.types).filter(|names| !names.is_empty()) {
            None => {
                any_type.set(at, to);
                by_type.iter_mut().for_each(|row| row.set(at, to));
            }
            Some(names) => {
                for of in names
                    .iter()
                    .filter_map(|name| index.types.get(&c.types, name))
                {
                    by_type[usize::from(of)].set(at, to);
                }
            }
        }
        match matched
            .map(|m| &m.tenants)
            .filter(|names| !names.is_empty())
        {
            None => any_tenant.set(at, to),
            Some(names) => {
                for of in names
                    .iter()
                    .filter_map(|name| index.tenants.get(&c.tenants, name))
                {
                    let list = by_tenant.entry(of).or_default();
                    match (list.binary_search(&(at as u16)), to) {
                        (Err(place), true) => list.insert(place, at as u16),
                        (Ok(place), false) => drop(list.remove(place)),
                        _ => {}
                    }
                    if list.is_empty() {
                        by_tenant.remove(&of);
                    }
                }
            }
        }
        for (row, not) in by_try.iter_mut().zip(EXCLUDED_BY_ATTEMPT) {
            if matched.is_none_or(|m| m.again() != not) {
                row.set(at, to);
            }
        }
    }

    pub fn request_class(&self, name: &str) -> Option<u16> {
        self.index.types.get(&self.configuration.types, name)
    }

    pub fn tenant(&self, name: &str) -> Option<u16> {
        self.index.tenants.get(&self.configuration.tenants, name)
    }

    pub fn pool(&self, name: &str) -> Option<u16> {
        self.index.pools.get(&self.configuration.pools, name)
    }

    /// How many routes there are, and where those of these names stand.
    pub(crate) fn route_places<'n>(
        &self,
        names: impl Iterator<Item = &'n str>,
    ) -> (usize, Vec<Option<u16>>) {
        let routes = &self.configuration.routes;
        (
            routes.len(),
            names
                .map(|name| self.index.routes.get(routes, name))
                .collect(),
        )
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
        let row = self.any_type.0.len() * 8;
        let entries: usize = self
            .by_tenant
            .values()
            .map(|list| 40 + list.capacity() * 2)
            .sum();
        let fixed = (self.by_type.len() + 4) * row + entries;
        let target = |r: &Route| r.to.len() * size_of::<Target>() + r.fall_back.len() * 2;
        let routes: usize = self
            .routes
            .iter()
            .map(|r| size_of::<Route>() + target(r))
            .sum();
        let pools: usize = self
            .pools
            .iter()
            .map(|p| size_of::<Pool>() + p.members.len() * 16)
            .sum();
        let times = self
            .times
            .iter()
            .map(|row| row.len() * size_of::<Times>())
            .sum::<usize>();
        // Names stand in the message, and for most there is a hash.
        fixed + routes + pools + times + 4 * to_binary(&self.configuration).len()
    }

    /// The route that takes a request: the first that matches.
    pub fn route(&self, request: &Request<'_>) -> Option<u16> {
        let of_type = &self.by_type.get(usize::from(request.request_class))?.0;
        let mut named = self.named(request);
        let of_try = &self.by_try[usize::from(request.again)].0;
        for (word, ((a, b), c)) in of_type
            .iter()
            .zip(&self.any_tenant.0)
            .zip(of_try)
            .enumerate()
        {
            let mut of_tenant = *b;
            while let Some((at, rest)) = named
                .split_first()
                .filter(|(at, _)| usize::from(**at) / 64 == word)
            {
                of_tenant |= 1 << (at % 64);
                named = rest;
            }
            let mut left = a & of_tenant & c;
            while left != 0 {
                let at = word * 64 + left.trailing_zeros() as usize;
                left &= left - 1;
                if self.takes(at, request) {
                    return Some(at as u16);
                }
            }
        }
        None
    }

    /// The routes that name a request's tenant.
    fn named(&self, request: &Request<'_>) -> &[u16] {
        request
            .tenant
            .and_then(|tenant| self.by_tenant.get(&tenant))
            .map_or(&[], |list| list)
    }

    /// Whether a route takes a request, as far as size and entity go.
    fn takes(&self, at: usize, request: &Request<'_>) -> bool {
        let (least, most) = self.routes[at].size;
        let entities = self.configuration.routes[at]
            .r#match
            .as_ref()
            .map_or(&[][..], |m| &m.entities);
        let takes = |pattern: &String| match pattern.strip_suffix('*') {
            Some(beginning) => request.entity.starts_with(beginning),
            None => *pattern == request.entity,
        };
        (least..=most).contains(&request.size)
            && (entities.is_empty() || entities.iter().any(takes))
    }

    /// Where a request goes, given which pools can be used now.
    ///
    /// # Errors
    /// No route takes it, or none of the route's pools can be used.
    pub fn place(
        &self,
        request: &Request<'_>,
        chance: &mut WyRand,
        usable: impl Fn(u16) -> bool,
    ) -> Result<Placement, RoutingError> {
        let at = self.route(request).ok_or(RoutingError::NoRoute)?;
        self.pool_of(at, request, chance, usable)
            .map(|(pool, by)| Placement {
                route: at,
                pool,
                by,
            })
    }

    fn pool_of(
        &self,
        at: u16,
        request: &Request<'_>,
        chance: &mut WyRand,
        usable: impl Fn(u16) -> bool,
    ) -> Result<(u16, PlacementReason), RoutingError> {
        let route = &self.routes[usize::from(at)];
        let to = &route.to;
        if let [only] = &to[..] {
            if usable(only.pool) {
                return Ok((only.pool, PlacementReason::Share));
            }
        } else {
            // Requests without an entity have nothing to be told apart by.
            let chosen = if route.by_chance || request.entity.is_empty() {
                by_chance(to.iter().map(|t| t.share), chance, |k| usable(to[k].pool))
            } else {
                by_entity(to.iter().map(|t| (t.mark, t.share)), request.entity, |k| {
                    usable(to[k].pool)
                })
            };
            if let Some(k) = chosen {
                let all = to.iter().all(|target| usable(target.pool));
                return Ok((
                    to[k].pool,
                    if all {
                        PlacementReason::Share
                    } else {
                        PlacementReason::OtherShare
                    },
                ));
            }
        }
        let mut fall_backs = route.fall_back.iter().enumerate();
        if let Some((k, pool)) = fall_backs.find(|(_, pool)| usable(**pool)) {
            return Ok((*pool, PlacementReason::Fallback(k as u16)));
        }
        let tried = to
            .iter()
            .map(|target| target.pool)
            .chain(route.fall_back.iter().copied());
        for pool in tried {
            let chain =
                std::iter::successors(Some(pool), |at| self.pools[usize::from(*at)].fall_back);
            if let Some(other) = chain.skip(1).find(|pool| usable(*pool)) {
                return Ok((other, PlacementReason::PoolFallback));
            }
        }
        Err(RoutingError::NoPool(at))
    }

    /// The member of a pool that an entity belongs to, of those that can be used.
    pub fn member(&self, pool: u16, entity: &str, usable: impl Fn(usize) -> bool) -> Option<usize> {
        by_entity(
            self.pools[usize::from(pool)].members.iter().copied(),
            entity,
            usable,
        )
    }

    /// The times of a request's stages on a route.
    pub fn times(&self, route: u16, traffic: u16) -> Times {
        let goal = self
            .goals
            .get(usize::from(traffic))
            .copied()
            .unwrap_or_default();
        let budget = self.routes[usize::from(route)].budget;
        let row = budget.and_then(|at| self.times.get(usize::from(at)));
        row.and_then(|row| row.get(usize::from(traffic)).copied())
            .unwrap_or_else(|| Times::new(goal, None))
    }

    /// Why a route does not take a request, if it does not.
    pub fn mismatch(&self, route: u16, request: &Request<'_>) -> Option<Miss> {
        let at = usize::from(route);
        let (least, most) = self.routes[at].size;
        if !self
            .by_type
            .get(usize::from(request.request_class))
            .is_some_and(|row| row.has(at))
        {
            Some(Miss::Type)
        } else if !self.any_tenant.has(at) && !self.named(request).contains(&route) {
            Some(Miss::Tenant)
        } else if !self.by_try[usize::from(request.again)].has(at) {
            Some(Miss::Again)
        } else if !(least..=most).contains(&request.size) {
            Some(Miss::Size)
        } else if !self.takes(at, request) {
            Some(Miss::Entity)
        } else {
            None
        }
    }

    /// The retry-after bounds that hold for a request: the route's, else the pool's.
    pub(crate) fn bounds(
        &self,
        route: Option<u16>,
        pool: Option<u16>,
    ) -> Option<&schema::RetryAfter> {
        let of_route = route.and_then(|at| self.routes[usize::from(at)].retry_after);
        let of_pool = pool.and_then(|at| self.pools[usize::from(at)].retry_after);
        of_route
            .or(of_pool)
            .map(|at| &self.configuration.retry_after[usize::from(at)])
    }
}
