//! Finds the limits that count a request, and the new rules of existing buckets when the configuration changes.

use crate::rate_limit::{LimitExceeded, LimitRule, LimitScope};
use crate::table::{Request, Table};
use crate::table_update::{EntryKey, EntryKind, TableChange};
use crate::token_buckets::{Buckets, Key};
use foldhash::HashMap;
use rainstand_config::schema::Per;
use std::time::Duration;

/// A limit that counts a request.
#[derive(Clone, Copy)]
pub(super) struct AppliedLimit {
    pub(super) rule: LimitRule,
    /// Identifies its bucket for the request.
    pub(super) key: Key,
}

/// The limit that counts a request at a scope, if there is one. `index` is that of the scope's class, tenant, route or
/// pool.
fn applied_limit(
    table: &Table,
    scope: LimitScope,
    index: usize,
    request: &Request<'_>,
    pool: u16,
) -> Option<AppliedLimit> {
    let configuration = &table.configuration;
    let (limits, name) = match scope {
        LimitScope::Type => (
            *table.type_limits.get(index)?,
            &configuration.types[index].name,
        ),
        LimitScope::Tenant => (
            *table.tenant_limits.get(index)?,
            &configuration.tenants[index].name,
        ),
        LimitScope::Route => (
            table.routes[index].limits,
            &configuration.routes[index].name,
        ),
        LimitScope::Pool => (table.pools[index].limits, &configuration.pools[index].name),
    };
    let (rule, per) = table.limits[usize::from(limits?)];
    let keyed_by = match per {
        Per::Tenant => request
            .tenant
            .map(|tenant| &configuration.tenants[usize::from(tenant)].name),
        Per::Type => Some(&configuration.types[usize::from(request.request_class)].name),
        Per::Pool => Some(&configuration.pools[usize::from(pool)].name),
        Per::All | Per::Unspecified => None,
    };
    let key = Key::new(scope, name, per, keyed_by.map(String::as_str));
    Some(AppliedLimit { rule, key })
}

/// As [`applied_limit`], if that limit admits the request now. Changes no bucket.
///
/// # Errors
/// If the limit is exceeded.
pub(super) fn check_limit(
    table: &Table,
    buckets: &Buckets,
    scope: LimitScope,
    index: usize,
    request: &Request<'_>,
    pool: u16,
    now: Duration,
) -> Result<Option<AppliedLimit>, LimitExceeded> {
    let Some(limit) = applied_limit(table, scope, index, request, pool) else {
        return Ok(None);
    };
    buckets.check(&limit.key, &limit.rule, now)?;
    Ok(Some(limit))
}

/// Rules by [`Key::limit`], which is the same for all buckets of a limit.
#[derive(Default)]
pub(super) struct ScopeRules(pub(super) HashMap<u64, LimitRule>);

impl ScopeRules {
    fn add(&mut self, table: &Table, scope: LimitScope, name: &str, limits: Option<u16>) {
        if let Some(limits) = limits {
            let (rule, per) = table.limits[usize::from(limits)];
            self.0.insert(Key::new(scope, name, per, None).limit, rule);
        }
    }

    /// The rules of all scopes whose limits, given by index, are `selected`.
    pub(super) fn all(table: &Table, selected: impl Fn(u16) -> bool) -> Self {
        let (configuration, mut rules) = (&table.configuration, Self::default());
        let mut add = |scope: LimitScope, name: &str, limits: Option<u16>| {
            rules.add(
                table,
                scope,
                name,
                limits.filter(|limits| selected(*limits)),
            );
        };
        configuration
            .types
            .iter()
            .zip(&table.type_limits)
            .for_each(|(entry, limits)| add(LimitScope::Type, &entry.name, *limits));
        configuration
            .tenants
            .iter()
            .zip(&table.tenant_limits)
            .for_each(|(entry, limits)| add(LimitScope::Tenant, &entry.name, *limits));
        table
            .routes
            .iter()
            .for_each(|entry| add(LimitScope::Route, &entry.name, entry.limits));
        table
            .pools
            .iter()
            .for_each(|entry| add(LimitScope::Pool, &entry.name, entry.limits));
        rules
    }

    /// The rules of all scopes that are affected by an update.
    pub(super) fn affected_by(table: &Table, changes: &[TableChange]) -> Self {
        let configuration = &table.configuration;
        let limits_index = |change: &TableChange| match change {
            TableChange::Limits(new) => table.index.limits.get(&configuration.limits, &new.name),
            _ => None,
        };
        let limits: Vec<u16> = changes.iter().filter_map(limits_index).collect();
        let mut rules = if limits.is_empty() {
            Self::default()
        } else {
            Self::all(table, |index| limits.contains(&index))
        };
        for change in changes {
            let EntryKey { kind, name } = change.key();
            let route_index = || table.index.routes.get(&configuration.routes, name);
            match kind {
                EntryKind::Type => {
                    let class = table.request_class(name);
                    rules.add(
                        table,
                        LimitScope::Type,
                        name,
                        class.and_then(|class| table.type_limits[usize::from(class)]),
                    );
                }
                EntryKind::Tenant => {
                    let tenant = table.tenant(name);
                    rules.add(
                        table,
                        LimitScope::Tenant,
                        name,
                        tenant.and_then(|tenant| table.tenant_limits[usize::from(tenant)]),
                    );
                }
                EntryKind::Route => {
                    let route_limits =
                        route_index().and_then(|index| table.routes[usize::from(index)].limits);
                    rules.add(table, LimitScope::Route, name, route_limits);
                }
                EntryKind::Pool => {
                    let pool_limits = table
                        .pool(name)
                        .and_then(|index| table.pools[usize::from(index)].limits);
                    rules.add(table, LimitScope::Pool, name, pool_limits);
                }
                _ => {}
            }
        }
        rules
    }
}
