//! Compiles a configuration, and single pools and routes of it.

use super::{Bits, Index, NameIndex, Pool, Route, Table, Target};
use crate::rate_limit::LimitRule;
use crate::time_budget::Times;
use crate::weighted_split::name_hash;
use crate::ConfigurationError;
use foldhash::{HashMap, HashMapExt};
use rainstand_config::schema::{self, Again, Configuration, SplitBy};
use rainstand_config::units::ONE;
use std::time::Duration;

/// Size that the rows of bits of one table may have.
const MAX_ROW_BYTES: usize = 256 << 20;

/// Checks the size of the rows of bits for these numbers of request classes and routes.
///
/// # Errors
/// If they would take more than [`MAX_ROW_BYTES`].
pub(crate) fn rows_fit(types: usize, routes: usize) -> Result<(), ConfigurationError> {
    if types.saturating_mul(routes.div_ceil(64) * 8) > MAX_ROW_BYTES {
        return Err(ConfigurationError::TableTooLarge {
            max_bytes: MAX_ROW_BYTES,
        });
    }
    Ok(())
}

/// What a match says that excludes first attempts, and what excludes retries.
const EXCLUDED_BY_ATTEMPT: [Again; 2] = [Again::FurtherTries, Again::FirstTries];

impl Index {
    fn new(c: &Configuration) -> Result<Self, ConfigurationError> {
        Ok(Self {
            types: NameIndex::new(&c.types)?,
            tenants: NameIndex::new(&c.tenants)?,
            pools: NameIndex::new(&c.pools)?,
            limits: NameIndex::new(&c.limits)?,
            retry_after: NameIndex::new(&c.retry_after)?,
            budgets: NameIndex::new(&c.budgets)?,
            routes: NameIndex::new(&c.routes)?,
        })
    }
}

impl Table {
    /// As [`Table::of`], of a copy.
    ///
    /// # Errors
    /// As [`Table::of`].
    pub fn new(configuration: &Configuration) -> Result<Self, ConfigurationError> {
        Self::of(configuration.clone())
    }

    /// Compiles a configuration. The checker reports all errors before, but a message may come from elsewhere.
    ///
    /// # Errors
    /// What in the configuration cannot be: a reference to a missing entry, a split without shares, too many rows.
    pub fn of(configuration: Configuration) -> Result<Self, ConfigurationError> {
        let mut table = Self::without_pools_and_routes(configuration)?;
        let configuration = &table.configuration;
        table.pools = configuration
            .pools
            .iter()
            .map(|pool| table.compile_pool(pool))
            .collect::<Result<_, _>>()?;
        (0..table.pools.len()).try_for_each(|at| table.chain_ends(at))?;
        let configuration = &table.configuration;
        table.routes = configuration
            .routes
            .iter()
            .map(|route| table.compile_route(route))
            .collect::<Result<_, _>>()?;
        for at in 0..table.routes.len() {
            table.mark_route(at, true);
        }
        Ok(table)
    }

    fn without_pools_and_routes(c: Configuration) -> Result<Self, ConfigurationError> {
        let index = Index::new(&c)?;
        let find_limits = |name: &str| index.limits.find_optional(&c.limits, name);
        let type_limits = c
            .types
            .iter()
            .map(|class| find_limits(&class.limits))
            .collect::<Result<_, _>>()?;
        let tenant_limits = c
            .tenants
            .iter()
            .map(|tenant| find_limits(&tenant.limits))
            .collect::<Result<_, _>>()?;
        let goals: Vec<Duration> = c
            .types
            .iter()
            .map(|class| Duration::from_nanos(class.goal_ns))
            .collect();
        let times = |budget| {
            goals
                .iter()
                .map(|goal| Times::new(*goal, Some(budget)))
                .collect()
        };
        let limits = c.limits.iter();
        let mut row = Bits::default();
        row.resize(c.routes.len().div_ceil(64));
        rows_fit(c.types.len(), c.routes.len())?;
        Ok(Self {
            limits: limits
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
        })
    }

    /// # Errors
    /// If the fallbacks of a pool form a cycle.
    pub(crate) fn chain_ends(&self, pool: usize) -> Result<(), ConfigurationError> {
        let chain =
            std::iter::successors(Some(pool), |at| self.pools[*at].fall_back.map(usize::from));
        if chain.take(self.pools.len() + 1).count() > self.pools.len() {
            return Err(ConfigurationError::FallbackCycle {
                pool: self.pools[pool].name.to_string(),
            });
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
            fall_back: index.pools.find_optional(&c.pools, &pool.fall_back)?,
            limits: index.limits.find_optional(&c.limits, &pool.limits)?,
            retry_after: index
                .retry_after
                .find_optional(&c.retry_after, &pool.retry_after)?,
        })
    }

    pub(crate) fn compile_route(&self, route: &schema::Route) -> Result<Route, ConfigurationError> {
        let (c, index) = (&self.configuration, &self.index);
        let to = route.to.iter().map(|target| {
            if target.share == 0 || target.share > ONE {
                return Err(ConfigurationError::InvalidShare {
                    route: route.name.clone(),
                    share: target.share,
                });
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
            return Err(ConfigurationError::IncompleteShares {
                route: route.name.clone(),
            });
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
            limits: index.limits.find_optional(&c.limits, &route.limits)?,
            retry_after: index
                .retry_after
                .find_optional(&c.retry_after, &route.retry_after)?,
            budget: index.budgets.find_optional(&c.budgets, &route.budget)?,
        })
    }

    /// Sets or clears a route's bits and list entries, by its match in the configuration.
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
                for row in by_type.iter_mut() {
                    row.set(at, to);
                }
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
}
