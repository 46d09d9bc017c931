//! The limits that count a request, and the rules of their buckets when the configuration changes.

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
    /// What its bucket for the request is known by.
    pub(super) key: Key,
}

/// The limit at a scope that counts a request, if there is one. `index`: of the entry of that scope.
fn applied_limit(
    table: &Table,
    scope: LimitScope,
    index: usize,
    request: &Request<'_>,
    pool: u16,
) -> Option<AppliedLimit> {
    let c = &table.configuration;
    let (limits, name) = match scope {
        LimitScope::Type => (*table.type_limits.get(index)?, &c.types[index].name),
        LimitScope::Tenant => (*table.tenant_limits.get(index)?, &c.tenants[index].name),
        LimitScope::Route => (table.routes[index].limits, &c.routes[index].name),
        LimitScope::Pool => (table.pools[index].limits, &c.pools[index].name),
    };
    let (rule, per) = table.limits[usize::from(limits?)];
    let keyed_by = match per {
        Per::Tenant => request.tenant.map(|at| &c.tenants[usize::from(at)].name),
        Per::Type => Some(&c.types[usize::from(request.request_class)].name),
        Per::Pool => Some(&c.pools[usize::from(pool)].name),
        Per::All | Per::Unspecified => None,
    };
    let key = Key::new(scope, name, per, keyed_by.map(String::as_str));
    Some(AppliedLimit { rule, key })
}

/// As [`applied_limit`], if that limit admits a request now. Nothing changes.
///
/// # Errors
/// Why it does not.
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

/// Rules by [`Key::limit`], which the buckets of a limit have in common.
#[derive(Default)]
pub(super) struct ScopeRules(pub(super) HashMap<u64, LimitRule>);

impl ScopeRules {
    fn add(&mut self, table: &Table, at: LimitScope, name: &str, limits: Option<u16>) {
        if let Some(limits) = limits {
            let (rule, per) = table.limits[usize::from(limits)];
            self.0.insert(Key::new(at, name, per, None).limit, rule);
        }
    }

    /// Of all scopes whose limits are selected by `among`.
    pub(super) fn all(table: &Table, among: impl Fn(u16) -> bool) -> Self {
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

    /// Of all scopes that changes affect.
    pub(super) fn of(table: &Table, changes: &[TableChange]) -> Self {
        let c = &table.configuration;
        let named = |change: &TableChange| match change {
            TableChange::Limits(one) => table.index.limits.get(&c.limits, &one.name),
            _ => None,
        };
        let limits: Vec<u16> = changes.iter().filter_map(named).collect();
        let mut rules = if limits.is_empty() {
            Self::default()
        } else {
            Self::all(table, |at| limits.contains(&at))
        };
        for change in changes {
            let EntryKey { kind, name } = change.key();
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
