//! A compiled configuration: names are indices, and matches are rows of bits.
//!
//! For each request class, for all tenants, and for first attempts and retries there is a row with one bit for each
//! route: the routes that such requests can match. Routes that name tenants are not in the row of all tenants but in a
//! list of each tenant that they name. The candidates of a request are the bits set in all three, and only those are
//! checked for its entity and size, in order.
//!
//! There is one table, that of the current version: a request that arrived under an earlier one carries what it still
//! needs of it ([`crate::router::RouteDecision`]). An update of single entries therefore alters the table in place
//! ([`crate::table_update`]), and two open versions take the memory of one.
//!
//! Invariants: every index in a [`Table`] is within its list; each share of a split is above 0; the chain of fallbacks
//! of a pool ends; no bits and list entries are set past the last route.

mod bits;
mod compile;
mod name_index;

pub(crate) use bits::Bits;
pub(crate) use compile::rows_fit;
pub(crate) use name_index::{NameIndex, Named};

use crate::rate_limit::LimitRule;
use crate::time_budget::Times;
use crate::weighted_split::{by_chance, by_entity};
use foldhash::HashMap;
use nanorand::WyRand;
use rainstand_config::matching::Mismatch;
use rainstand_config::schema::{self, Configuration, Per};
use std::rc::Rc;
use std::time::Duration;

/// Entries of one kind: an index has two bytes, and the highest values are free for sentinels.
pub(crate) const MAX_ENTRIES: usize = 65_000;

/// A request as far as routing depends on it. Indices are those of the table that it is given to.
#[derive(Clone, Copy, Debug, Default)]
pub struct Request<'t> {
    /// Index of its class.
    pub request_class: u16,
    /// Index of its tenant; `None` if the configuration does not name it.
    pub tenant: Option<u16>,
    /// Hash of the name of a tenant that the configuration does not name ([`crate::weighted_split::name_hash`]).
    pub tenant_hash: u64,
    /// The entity for affinity; empty if it has none.
    pub entity: &'t str,
    /// It is marked as a retry.
    pub is_retry: bool,
    /// Its size in bytes.
    pub size: u64,
}

/// Where a request is routed to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Index of the route that takes it.
    pub route: u16,
    /// Index of the pool.
    pub pool: u16,
    /// Why this pool.
    pub by: PlacementReason,
}

/// Why a request goes to a pool of its route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementReason {
    /// Its share of the route's split, or the route's only pool.
    Share,
    /// The pool of its share cannot be used; another of the split takes it.
    OtherShare,
    /// One of the route's fallbacks, by its index in that list.
    Fallback(u16),
    /// A fallback of a pool of the route.
    PoolFallback,
}

/// Why a request cannot be routed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutingError {
    /// No route takes it.
    NoRoute,
    /// The route with this index takes it, but none of its pools can be used.
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

/// A compiled configuration. See the module's documentation.
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

impl Table {
    /// The index of a request class by name.
    pub fn request_class(&self, name: &str) -> Option<u16> {
        self.index.types.get(&self.configuration.types, name)
    }

    /// The index of a tenant by name.
    pub fn tenant(&self, name: &str) -> Option<u16> {
        self.index.tenants.get(&self.configuration.tenants, name)
    }

    /// The index of a pool by name.
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

    /// The name of a pool.
    ///
    /// # Panics
    /// If there is no such index.
    pub fn pool_name(&self, pool: u16) -> &str {
        &self.pools[usize::from(pool)].name
    }

    /// The name of a route.
    ///
    /// # Panics
    /// If there is no such index.
    pub fn route_name(&self, route: u16) -> &str {
        &self.routes[usize::from(route)].name
    }

    /// The configuration that was compiled.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Approximate size of this table in memory, in bytes.
    pub fn size(&self) -> usize {
        use rainstand_config::schema::to_binary;
        let row = self.any_type.words().len() * 8;
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
        let of_type = &self
            .by_type
            .get(usize::from(request.request_class))?
            .words();
        let mut named = self.named(request);
        let of_try = self.by_try[usize::from(request.is_retry)].words();
        for (word, ((a, b), c)) in of_type
            .iter()
            .zip(self.any_tenant.words())
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
    pub fn mismatch(&self, route: u16, request: &Request<'_>) -> Option<Mismatch> {
        let at = usize::from(route);
        let (least, most) = self.routes[at].size;
        if !self
            .by_type
            .get(usize::from(request.request_class))
            .is_some_and(|row| row.has(at))
        {
            Some(Mismatch::Type)
        } else if !self.any_tenant.has(at) && !self.named(request).contains(&route) {
            Some(Mismatch::Tenant)
        } else if !self.by_try[usize::from(request.is_retry)].has(at) {
            Some(Mismatch::Again)
        } else if !(least..=most).contains(&request.size) {
            Some(Mismatch::Size)
        } else if !self.takes(at, request) {
            Some(Mismatch::Entity)
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
