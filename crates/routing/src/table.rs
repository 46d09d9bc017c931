//! A compiled configuration: names are resolved to indices, and matches to rows of bits.
//!
//! There is a row with one bit per route for each request class, one for all tenants, one for first attempts and one
//! for retries; a set bit means that such requests can match the route. A route that names tenants is not in the row of
//! all tenants but in a list for each tenant that it names. The candidate routes of a request are set in all three of
//! its rows, and only those are checked, in order, for its entity and size.
//!
//! There is one table, that of the current version: a request that arrived under an earlier version carries all that it
//! still needs of that version ([`crate::router::RouteDecision`]). An update of single entries therefore changes the
//! table in place ([`crate::table_update`]), and two open versions take the memory of one.
//!
//! Invariants: every index in a [`Table`] is within its list; each share of a split is above 0; the fallback chain of a
//! pool has no cycle; no bit or list entry is set for an index past the last route.

mod bits;
mod compile;
mod name_index;

pub(crate) use bits::Bits;
pub(crate) use compile::check_row_size;
pub(crate) use name_index::{NameIndex, Named};

use crate::rate_limit::LimitRule;
use crate::time_budget::Times;
use crate::weighted_split::{select_at_random, select_by_entity};
use foldhash::HashMap;
use nanorand::WyRand;
use rainstand_config::matching::Mismatch;
use rainstand_config::schema::{self, Configuration, Per};
use std::rc::Rc;
use std::time::Duration;

/// Maximum number of entries of one kind: an index has two bytes, and the highest values are reserved for sentinels.
pub(crate) const MAX_ENTRIES: usize = 65_000;

/// The properties of a request that routing depends on. Indices refer to the table that routes it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Request<'t> {
    /// Index of its class.
    pub request_class: u16,
    /// Index of its tenant; `None` if the configuration does not define the tenant.
    pub tenant: Option<u16>,
    /// Hash of the name of a tenant that the configuration does not define ([`crate::weighted_split::name_hash`]).
    pub tenant_hash: u64,
    /// The entity for affinity; empty if the request has none.
    pub entity: &'t str,
    /// The idempotency key by which a member recognizes its repeats; empty if it has none. All requests with one key go
    /// to the same pool, whatever their retry mark.
    pub key: &'t str,
    /// Whether it is marked as a retry.
    pub is_retry: bool,
    /// Its size in bytes.
    pub size: u64,
}

/// Where a request is routed to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Index of the route that matched.
    pub route: u16,
    /// Index of the pool.
    pub pool: u16,
    /// Why this pool was chosen.
    pub by: PlacementReason,
}

/// Why a request goes to a pool of its route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementReason {
    /// Chosen by the route's split, or the route's only target.
    Share,
    /// Chosen by the route's split while at least one pool of the split is unusable.
    OtherShare,
    /// One of the route's fallbacks, by its index in their list.
    Fallback(u16),
    /// A fallback of one of the route's pools.
    PoolFallback,
}

/// Why a request cannot be routed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutingError {
    /// No route matches it.
    NoRoute,
    /// The route with this index matches it, but none of its pools is usable.
    NoPool(u16),
}

#[derive(Debug)]
pub(crate) struct Target {
    pub pool: u16,
    /// Hash of the pool's name.
    hash: u64,
    share: u64,
}

#[derive(Debug)]
pub(crate) struct Route {
    pub name: Rc<str>,
    /// The least and the largest request size, in bytes.
    size: (u64, u64),
    pub to: Box<[Target]>,
    random_split: bool,
    pub fall_back: Box<[u16]>,
    pub limits: Option<u16>,
    pub retry_after: Option<u16>,
    pub budget: Option<u16>,
}

#[derive(Debug)]
pub(crate) struct Pool {
    pub name: Rc<str>,
    /// The hash of each member's address, and its weight.
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
    /// The row of routes that name no class.
    pub(crate) any_type: Bits,
    /// The row of each class: routes that name it, and routes that name no class.
    pub(crate) by_type: Vec<Bits>,
    /// The row of routes that name no tenant.
    pub(crate) any_tenant: Bits,
    /// For each tenant that a route names, the sorted indices of the routes that name it.
    pub(crate) by_tenant: HashMap<u16, Vec<u16>>,
    /// The rows of first attempts and of retries.
    pub(crate) by_attempt_kind: [Bits; 2],
    pub(crate) limits: Vec<(LimitRule, Per)>,
    pub(crate) type_limits: Vec<Option<u16>>,
    pub(crate) tenant_limits: Vec<Option<u16>>,
    /// The times of the stages, by budget and class.
    pub(crate) times: Vec<Vec<Times>>,
    /// The latency objective of each class.
    pub(crate) latency_objectives: Vec<Duration>,
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

    /// The index of a route by name.
    pub(crate) fn route_index(&self, name: &str) -> Option<u16> {
        self.index.routes.get(&self.configuration.routes, name)
    }

    /// The number of routes, and the index of each of the named routes.
    pub(crate) fn route_indices<'n>(
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
    /// If the index is out of range.
    pub fn pool_name(&self, pool: u16) -> &str {
        &self.pools[usize::from(pool)].name
    }

    /// The name of a route.
    ///
    /// # Panics
    /// If the index is out of range.
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
        let targets_size =
            |route: &Route| route.to.len() * size_of::<Target>() + route.fall_back.len() * 2;
        let routes: usize = self
            .routes
            .iter()
            .map(|route| size_of::<Route>() + targets_size(route))
            .sum();
        let pools: usize = self
            .pools
            .iter()
            .map(|pool| size_of::<Pool>() + pool.members.len() * 16)
            .sum();
        let times = self
            .times
            .iter()
            .map(|row| row.len() * size_of::<Times>())
            .sum::<usize>();
        // The names are stored in the configuration, and most of them also have a hash in an index.
        fixed + routes + pools + times + 4 * to_binary(&self.configuration).len()
    }

    /// The first route that matches a request.
    pub fn route(&self, request: &Request<'_>) -> Option<u16> {
        self.route_where(request, |_| true)
    }

    /// The first route that matches a request and is `accepted`, by its index.
    pub(crate) fn route_where(
        &self,
        request: &Request<'_>,
        accepted: impl Fn(u16) -> bool,
    ) -> Option<u16> {
        let class_row = &self
            .by_type
            .get(usize::from(request.request_class))?
            .words();
        let mut tenant_routes = self.routes_naming_tenant(request);
        let attempt_row = self.attempt_row(request).words();
        for (word, ((class_bits, any_tenant_bits), attempt_bits)) in class_row
            .iter()
            .zip(self.any_tenant.words())
            .zip(attempt_row)
            .enumerate()
        {
            let mut tenant_bits = *any_tenant_bits;
            while let Some((index, rest)) = tenant_routes
                .split_first()
                .filter(|(index, _)| usize::from(**index) / 64 == word)
            {
                tenant_bits |= 1 << (index % 64);
                tenant_routes = rest;
            }
            let mut candidates = class_bits & tenant_bits & attempt_bits;
            while candidates != 0 {
                let index = word * 64 + candidates.trailing_zeros() as usize;
                candidates &= candidates - 1;
                if self.matches_size_and_entity(index, request) && accepted(index as u16) {
                    return Some(index as u16);
                }
            }
        }
        None
    }

    /// The row of routes that a request can match by its retry mark. One with a key is routed as a first attempt.
    fn attempt_row(&self, request: &Request<'_>) -> &Bits {
        let is_retry = request.is_retry && request.key.is_empty();
        &self.by_attempt_kind[usize::from(is_retry)]
    }

    /// The routes that name a request's tenant, in order.
    fn routes_naming_tenant(&self, request: &Request<'_>) -> &[u16] {
        request
            .tenant
            .and_then(|tenant| self.by_tenant.get(&tenant))
            .map_or(&[], |list| list)
    }

    /// Whether a request's size and entity match a route.
    fn matches_size_and_entity(&self, route: usize, request: &Request<'_>) -> bool {
        let (min_bytes, max_bytes) = self.routes[route].size;
        let entities = self.configuration.routes[route]
            .r#match
            .as_ref()
            .map_or(&[][..], |matched| &matched.entities);
        let matches_entity = |pattern: &String| match pattern.strip_suffix('*') {
            Some(prefix) => request.entity.starts_with(prefix),
            None => *pattern == request.entity,
        };
        (min_bytes..=max_bytes).contains(&request.size)
            && (entities.is_empty() || entities.iter().any(matches_entity))
    }

    /// Selects the route and pool of a request, given which pools are usable now. A request with a key has no fallback:
    /// its pool may have run an earlier attempt.
    ///
    /// # Errors
    /// If no route matches, or none of the route's pools is usable.
    pub fn place(
        &self,
        request: &Request<'_>,
        rng: &mut WyRand,
        usable: impl Fn(u16) -> bool,
    ) -> Result<Placement, RoutingError> {
        let route = self.route(request).ok_or(RoutingError::NoRoute)?;
        self.select_pool(route, request, rng, usable)
            .map(|(pool, by)| Placement { route, pool, by })
    }

    fn select_pool(
        &self,
        route_index: u16,
        request: &Request<'_>,
        rng: &mut WyRand,
        usable: impl Fn(u16) -> bool,
    ) -> Result<(u16, PlacementReason), RoutingError> {
        if !request.key.is_empty() {
            let pool = self.pool_of_key(route_index, request.key);
            return pool
                .filter(|pool| usable(*pool))
                .map(|pool| (pool, PlacementReason::Share))
                .ok_or(RoutingError::NoPool(route_index));
        }
        let route = &self.routes[usize::from(route_index)];
        let to = &route.to;
        if let [only] = &to[..] {
            if usable(only.pool) {
                return Ok((only.pool, PlacementReason::Share));
            }
        } else {
            // Requests without an entity can only be split at random.
            let chosen = if route.random_split || request.entity.is_empty() {
                select_at_random(to.iter().map(|t| t.share), rng, |k| usable(to[k].pool))
            } else {
                select_by_entity(to.iter().map(|t| (t.hash, t.share)), request.entity, |k| {
                    usable(to[k].pool)
                })
            };
            if let Some(k) = chosen {
                let all_usable = to.iter().all(|target| usable(target.pool));
                return Ok((
                    to[k].pool,
                    if all_usable {
                        PlacementReason::Share
                    } else {
                        PlacementReason::OtherShare
                    },
                ));
            }
        }
        let mut fallbacks = route.fall_back.iter().enumerate();
        if let Some((k, pool)) = fallbacks.find(|(_, pool)| usable(**pool)) {
            return Ok((*pool, PlacementReason::Fallback(k as u16)));
        }
        let unusable = to
            .iter()
            .map(|target| target.pool)
            .chain(route.fall_back.iter().copied());
        for pool in unusable {
            let fallback_chain =
                std::iter::successors(Some(pool), |pool| self.pools[usize::from(*pool)].fall_back);
            if let Some(other) = fallback_chain.skip(1).find(|pool| usable(*pool)) {
                return Ok((other, PlacementReason::PoolFallback));
            }
        }
        Err(RoutingError::NoPool(route_index))
    }

    /// The pool of a route to which all requests with a key go, whether or not it is usable.
    pub(crate) fn pool_of_key(&self, route: u16, key: &str) -> Option<u16> {
        let to = &self.routes[usize::from(route)].to;
        if let [only] = &to[..] {
            return Some(only.pool);
        }
        let targets = to.iter().map(|target| (target.hash, target.share));
        select_by_entity(targets, key, |_| true).map(|index| to[index].pool)
    }

    /// The member of a pool that an entity is assigned to, among the usable ones.
    pub fn member(&self, pool: u16, entity: &str, usable: impl Fn(usize) -> bool) -> Option<usize> {
        select_by_entity(
            self.pools[usize::from(pool)].members.iter().copied(),
            entity,
            usable,
        )
    }

    /// The times of the stages of a request of a class on a route.
    pub fn times(&self, route: u16, request_class: u16) -> Times {
        let objective = self
            .latency_objectives
            .get(usize::from(request_class))
            .copied()
            .unwrap_or_default();
        let budget = self.routes[usize::from(route)].budget;
        let row = budget.and_then(|budget| self.times.get(usize::from(budget)));
        row.and_then(|row| row.get(usize::from(request_class)).copied())
            .unwrap_or_else(|| Times::new(objective, None))
    }

    /// Why a route does not match a request; `None` if it does.
    pub fn mismatch(&self, route: u16, request: &Request<'_>) -> Option<Mismatch> {
        let index = usize::from(route);
        let (min_bytes, max_bytes) = self.routes[index].size;
        if !self
            .by_type
            .get(usize::from(request.request_class))
            .is_some_and(|row| row.has(index))
        {
            Some(Mismatch::Type)
        } else if !self.any_tenant.has(index)
            && !self.routes_naming_tenant(request).contains(&route)
        {
            Some(Mismatch::Tenant)
        } else if !self.attempt_row(request).has(index) {
            Some(Mismatch::Again)
        } else if !(min_bytes..=max_bytes).contains(&request.size) {
            Some(Mismatch::Size)
        } else if !self.matches_size_and_entity(index, request) {
            Some(Mismatch::Entity)
        } else {
            None
        }
    }

    /// The retry-after bounds of a request: the route's, or else the pool's.
    pub(crate) fn retry_after_bounds(
        &self,
        route: Option<u16>,
        pool: Option<u16>,
    ) -> Option<&schema::RetryAfter> {
        let of_route = route.and_then(|index| self.routes[usize::from(index)].retry_after);
        let of_pool = pool.and_then(|index| self.pools[usize::from(index)].retry_after);
        of_route
            .or(of_pool)
            .map(|index| &self.configuration.retry_after[usize::from(index)])
    }
}
