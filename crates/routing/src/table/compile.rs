//! Compiles a whole configuration, or a single pool or route.

use super::{Bits, Index, NameIndex, Pool, Route, Table, Target};
use crate::rate_limit::LimitRule;
use crate::time_budget::Times;
use crate::weighted_split::name_hash;
use crate::ConfigurationError;
use foldhash::{HashMap, HashMapExt};
use rainstand_config::schema::{self, Again, Configuration, SplitBy};
use rainstand_config::units::ONE;
use std::time::Duration;

/// Maximum size of the rows of bits of one table.
const MAX_ROW_BYTES: usize = 256 << 20;

/// Checks the size of the rows of bits for a number of request classes and routes.
///
/// # Errors
/// If the rows would take more than [`MAX_ROW_BYTES`].
pub(crate) fn check_row_size(types: usize, routes: usize) -> Result<(), ConfigurationError> {
    if types.saturating_mul(routes.div_ceil(64) * 8) > MAX_ROW_BYTES {
        return Err(ConfigurationError::TableTooLarge {
            max_bytes: MAX_ROW_BYTES,
        });
    }
    Ok(())
}

/// The condition of a match that excludes first attempts, and the one that excludes retries.
const EXCLUDED_BY_ATTEMPT: [Again; 2] = [Again::FurtherTries, Again::FirstTries];

impl Index {
    fn new(configuration: &Configuration) -> Result<Self, ConfigurationError> {
        Ok(Self {
            types: NameIndex::new(&configuration.types)?,
            tenants: NameIndex::new(&configuration.tenants)?,
            pools: NameIndex::new(&configuration.pools)?,
            limits: NameIndex::new(&configuration.limits)?,
            retry_after: NameIndex::new(&configuration.retry_after)?,
            budgets: NameIndex::new(&configuration.budgets)?,
            routes: NameIndex::new(&configuration.routes)?,
        })
    }
}

impl Table {
    /// As [`Table::from_owned`], with a copy of the configuration.
    ///
    /// # Errors
    /// As [`Table::from_owned`].
    pub fn new(configuration: &Configuration) -> Result<Self, ConfigurationError> {
        Self::from_owned(configuration.clone())
    }

    /// Compiles a configuration. The configuration checker finds the same errors, but a configuration that arrives as a
    /// message may not have passed it.
    ///
    /// # Errors
    /// If the configuration is invalid: a reference to a missing entry, a split without shares, too many rows.
    pub fn from_owned(configuration: Configuration) -> Result<Self, ConfigurationError> {
        let mut table = Self::without_pools_and_routes(configuration)?;
        let configuration = &table.configuration;
        table.pools = configuration
            .pools
            .iter()
            .map(|pool| table.compile_pool(pool))
            .collect::<Result<_, _>>()?;
        (0..table.pools.len()).try_for_each(|index| table.check_fallback_chain(index))?;
        let configuration = &table.configuration;
        table.routes = configuration
            .routes
            .iter()
            .map(|route| table.compile_route(route))
            .collect::<Result<_, _>>()?;
        for index in 0..table.routes.len() {
            table.set_route_bits(index, true);
        }
        Ok(table)
    }

    fn without_pools_and_routes(configuration: Configuration) -> Result<Self, ConfigurationError> {
        let index = Index::new(&configuration)?;
        let find_limits = |name: &str| index.limits.find_optional(&configuration.limits, name);
        let type_limits = configuration
            .types
            .iter()
            .map(|class| find_limits(&class.limits))
            .collect::<Result<_, _>>()?;
        let tenant_limits = configuration
            .tenants
            .iter()
            .map(|tenant| find_limits(&tenant.limits))
            .collect::<Result<_, _>>()?;
        let latency_objectives: Vec<Duration> = configuration
            .types
            .iter()
            .map(|class| Duration::from_nanos(class.goal_ns))
            .collect();
        let times = |budget| {
            latency_objectives
                .iter()
                .map(|objective| Times::new(*objective, Some(budget)))
                .collect()
        };
        let limits = configuration.limits.iter();
        let mut row = Bits::default();
        row.resize(configuration.routes.len().div_ceil(64));
        check_row_size(configuration.types.len(), configuration.routes.len())?;
        Ok(Self {
            limits: limits
                .map(|limits| (LimitRule::from(limits), limits.per()))
                .collect(),
            times: configuration.budgets.iter().map(times).collect(),
            pools: Vec::new(),
            routes: Vec::new(),
            by_type: vec![row.clone(); configuration.types.len()],
            by_tenant: HashMap::new(),
            by_attempt_kind: [row.clone(), row.clone()],
            any_type: row.clone(),
            any_tenant: row,
            configuration,
            index,
            type_limits,
            tenant_limits,
            latency_objectives,
        })
    }

    /// Checks that the fallback chain of a pool ends.
    ///
    /// # Errors
    /// If the chain forms a cycle.
    pub(crate) fn check_fallback_chain(&self, pool: usize) -> Result<(), ConfigurationError> {
        let chain =
            std::iter::successors(Some(pool), |p| self.pools[*p].fall_back.map(usize::from));
        if chain.take(self.pools.len() + 1).count() > self.pools.len() {
            return Err(ConfigurationError::FallbackCycle {
                pool: self.pools[pool].name.to_string(),
            });
        }
        Ok(())
    }

    pub(crate) fn compile_pool(&self, pool: &schema::Pool) -> Result<Pool, ConfigurationError> {
        let (configuration, index) = (&self.configuration, &self.index);
        Ok(Pool {
            name: pool.name.as_str().into(),
            members: pool
                .members
                .iter()
                .map(|member| (name_hash(&member.address), member.weight))
                .collect(),
            fall_back: index
                .pools
                .find_optional(&configuration.pools, &pool.fall_back)?,
            limits: index
                .limits
                .find_optional(&configuration.limits, &pool.limits)?,
            retry_after: index
                .retry_after
                .find_optional(&configuration.retry_after, &pool.retry_after)?,
        })
    }

    pub(crate) fn compile_route(&self, route: &schema::Route) -> Result<Route, ConfigurationError> {
        let (configuration, index) = (&self.configuration, &self.index);
        let targets = route.to.iter().map(|target| {
            if target.share == 0 || target.share > ONE {
                return Err(ConfigurationError::InvalidShare {
                    route: route.name.clone(),
                    share: target.share,
                });
            }
            let pool = index.pools.find(&configuration.pools, &target.pool)?;
            Ok(Target {
                pool,
                hash: name_hash(&target.pool),
                share: target.share,
            })
        });
        let targets: Box<[Target]> = targets.collect::<Result<_, ConfigurationError>>()?;
        if targets.iter().map(|target| target.share).sum::<u64>() != ONE {
            return Err(ConfigurationError::IncompleteShares {
                route: route.name.clone(),
            });
        }
        let mut size = (0, u64::MAX);
        if let Some(matched) = &route.r#match {
            matched
                .types
                .iter()
                .try_for_each(|name| index.types.find(&configuration.types, name).map(drop))?;
            matched
                .tenants
                .iter()
                .try_for_each(|name| index.tenants.find(&configuration.tenants, name).map(drop))?;
            size = (
                matched.size_least,
                if matched.size_most == 0 {
                    u64::MAX
                } else {
                    matched.size_most
                },
            );
        }
        let fallback_indices = route
            .fall_back
            .iter()
            .map(|name| index.pools.find(&configuration.pools, name));
        Ok(Route {
            name: route.name.as_str().into(),
            size,
            to: targets,
            random_split: route.split_by() == SplitBy::Chance,
            fall_back: fallback_indices.collect::<Result<_, ConfigurationError>>()?,
            limits: index
                .limits
                .find_optional(&configuration.limits, &route.limits)?,
            retry_after: index
                .retry_after
                .find_optional(&configuration.retry_after, &route.retry_after)?,
            budget: index
                .budgets
                .find_optional(&configuration.budgets, &route.budget)?,
        })
    }

    /// Sets or clears the bits and list entries of a route, by its match in the configuration.
    pub(crate) fn set_route_bits(&mut self, route: usize, value: bool) {
        let Self {
            configuration,
            index,
            any_type,
            by_type,
            any_tenant,
            by_tenant,
            by_attempt_kind,
            ..
        } = self;
        let matched = configuration.routes[route].r#match.as_ref();
        match matched
            .map(|matched| &matched.types)
            .filter(|names| !names.is_empty())
        {
            None => {
                any_type.set(route, value);
                for row in by_type.iter_mut() {
                    row.set(route, value);
                }
            }
            Some(names) => {
                for class in names
                    .iter()
                    .filter_map(|name| index.types.get(&configuration.types, name))
                {
                    by_type[usize::from(class)].set(route, value);
                }
            }
        }
        match matched
            .map(|matched| &matched.tenants)
            .filter(|names| !names.is_empty())
        {
            None => any_tenant.set(route, value),
            Some(names) => {
                for tenant in names
                    .iter()
                    .filter_map(|name| index.tenants.get(&configuration.tenants, name))
                {
                    let list = by_tenant.entry(tenant).or_default();
                    match (list.binary_search(&(route as u16)), value) {
                        (Err(position), true) => list.insert(position, route as u16),
                        (Ok(position), false) => drop(list.remove(position)),
                        _ => {}
                    }
                    if list.is_empty() {
                        by_tenant.remove(&tenant);
                    }
                }
            }
        }
        for (row, excluded) in by_attempt_kind.iter_mut().zip(EXCLUDED_BY_ATTEMPT) {
            if matched.is_none_or(|matched| matched.again() != excluded) {
                row.set(route, value);
            }
        }
    }
}
