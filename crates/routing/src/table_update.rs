//! Updates of single entries, applied to the table in place: the cost depends on what changes.
//!
//! The table is not rebuilt. An entry that is put replaces the one with its name, or is appended; a new route shifts the
//! bits of the routes after it; the last entry of a kind takes the index of a removed one, and references to it are
//! updated.
//!
//! Updates are atomic. Referenced entries are put before those that refer to them, each is checked before it alters the
//! table, and all previous changes are undone if a later one is rejected. Removals come last, after all of them have
//! been checked, when nothing can fail any more.

mod change;

pub use change::{EntryKey, EntryKind, TableChange};

use crate::rate_limit::LimitRule;
use crate::table::{check_row_size, NameIndex, Named, Table};
use crate::time_budget::Times;
use crate::ConfigurationError;
use foldhash::{HashSet, HashSetExt};
use rainstand_config::schema;
use std::time::Duration;

/// Replaces the entry with the same name in a list, or appends it. Returns its index and the replaced entry.
fn put<T: Named>(
    entries: &mut Vec<T>,
    names: &mut NameIndex,
    entry: T,
) -> Result<(usize, Option<T>), ConfigurationError> {
    if let Some(index) = names.get(entries, entry.name()).map(usize::from) {
        return Ok((index, Some(std::mem::replace(&mut entries[index], entry))));
    }
    entries.push(entry);
    let index = entries.len() - 1;
    if let Err(error) = names.put(entries, index) {
        entries.pop();
        return Err(error);
    }
    Ok((index, None))
}

/// As [`put`], for kinds of entries that have no index. Returns the replaced entry.
fn put_by_name<T: Named>(entries: &mut Vec<T>, entry: T) -> Option<T> {
    if let Some(existing) = entries
        .iter_mut()
        .find(|existing| existing.name() == entry.name())
    {
        return Some(std::mem::replace(existing, entry));
    }
    entries.push(entry);
    None
}

fn find_by_name<T: Named>(entries: &[T], name: &str) -> Result<(), ConfigurationError> {
    if entries.iter().any(|entry| entry.name() == name) {
        return Ok(());
    }
    Err(ConfigurationError::NotFound {
        kind: T::KIND,
        name: name.to_owned(),
    })
}

fn remove_by_name<T: Named>(entries: &mut Vec<T>, name: &str) {
    entries.retain(|entry| entry.name() != name);
}

/// The change of an entry's index.
#[derive(Clone, Copy)]
struct Moved {
    to: u16,
    from: u16,
}

/// Removes an entry from its list; the last entry (possibly the same one) takes its index.
fn swap_remove_named<T: Named>(
    entries: &mut Vec<T>,
    names: &mut NameIndex,
    name: &str,
) -> Option<Moved> {
    let to = names.get(entries, name)?;
    let from = entries.len() as u16 - 1;
    names.remove(name);
    entries.swap_remove(usize::from(to));
    if to != from {
        names.set(entries[usize::from(to)].name(), to);
    }
    Some(Moved { to, from })
}

/// Replaces the element at an index, or appends it.
fn set_or_push<T>(elements: &mut Vec<T>, index: usize, element: T) {
    match elements.get_mut(index) {
        Some(existing) => *existing = element,
        None => elements.push(element),
    }
}

/// Updates references to an entry whose index changed.
fn renumber<'a>(references: impl Iterator<Item = &'a mut u16>, moved: Moved) {
    references
        .filter(|index| **index == moved.from)
        .for_each(|index| *index = moved.to);
}

/// The last phase that puts entries ([`TableChange::phase`]).
const LAST_PUT_PHASE: u8 = 4;
/// The phase that removes entries other than routes ([`TableChange::phase`]).
const REMOVAL_PHASE: u8 = 5;

/// Changes that restore the table, to be applied in reverse order.
type Undo = Vec<TableChange>;

impl Table {
    /// Applies all changes, or none of them.
    ///
    /// # Errors
    /// As [`Table::from_owned`]; also if two changes concern the same entry, or an entry is removed while another refers
    /// to it.
    pub fn apply(&mut self, changes: &[TableChange]) -> Result<(), ConfigurationError> {
        let mut seen = HashSet::with_capacity(changes.len());
        if let Some(duplicate) = changes.iter().find(|change| !seen.insert(change.key())) {
            let EntryKey { kind, name } = duplicate.key();
            return Err(ConfigurationError::ChangedTwice {
                kind: kind.as_str(),
                name: name.to_owned(),
            });
        }
        let mut undo = Undo::new();
        let result = self.put_all(changes, &mut undo);
        if result.is_err() {
            for undo_change in undo.into_iter().rev() {
                let result = self.apply_one(undo_change);
                debug_assert!(
                    result.is_ok(),
                    "restoring the previous state cannot fail: {result:?}"
                );
            }
            return result;
        }
        for change in changes {
            if let TableChange::Remove(kind, name) = change {
                self.remove(*kind, name);
            }
        }
        Ok(())
    }

    fn put_all(
        &mut self,
        changes: &[TableChange],
        undo: &mut Undo,
    ) -> Result<(), ConfigurationError> {
        // Pools may fall back on each other, so all new pools are added before any fallback is set.
        for change in changes {
            match change {
                TableChange::Pool(pool) if self.pool(&pool.name).is_none() => {
                    let empty_pool = schema::Pool {
                        name: pool.name.clone(),
                        ..schema::Pool::default()
                    };
                    undo.push(self.apply_one(TableChange::Pool(empty_pool))?);
                }
                _ => {}
            }
        }
        for phase in 0..=LAST_PUT_PHASE {
            // In reverse: a route may be placed before another route of the same update.
            let mut phase_changes = changes
                .iter()
                .rev()
                .filter(|change| change.phase() == phase);
            phase_changes
                .try_for_each(|change| self.apply_one(change.clone()).map(|old| undo.push(old)))?;
        }
        for pool in changes.iter().filter_map(|change| match change {
            TableChange::Pool(pool) => self.pool(&pool.name),
            _ => None,
        }) {
            self.check_fallback_chain(usize::from(pool))?;
        }
        // Entries to be removed first lose their references, so that they can be removed in any order.
        let removals = || {
            changes
                .iter()
                .filter(|change| change.phase() == REMOVAL_PHASE)
                .map(TableChange::key)
        };
        for EntryKey { kind, name } in removals() {
            if let Some(cleared) = self.without_references(kind, name)? {
                undo.push(self.apply_one(cleared)?);
            }
        }
        removals().try_for_each(|EntryKey { kind, name }| self.check_unreferenced(kind, name))
    }

    /// The change that clears all references of an entry, if its kind has any.
    ///
    /// # Errors
    /// If there is no such entry.
    fn without_references(
        &self,
        kind: EntryKind,
        name: &str,
    ) -> Result<Option<TableChange>, ConfigurationError> {
        let (config, index) = (&self.configuration, &self.index);
        Ok(match kind {
            EntryKind::Type => {
                let existing = &config.types[usize::from(index.types.find(&config.types, name)?)];
                Some(TableChange::Type(schema::TrafficType {
                    limits: String::new(),
                    ..existing.clone()
                }))
            }
            EntryKind::Tenant => {
                let existing =
                    &config.tenants[usize::from(index.tenants.find(&config.tenants, name)?)];
                Some(TableChange::Tenant(schema::Tenant {
                    limits: String::new(),
                    ..existing.clone()
                }))
            }
            EntryKind::Pool => {
                index.pools.find(&config.pools, name)?;
                Some(TableChange::Pool(schema::Pool {
                    name: name.to_owned(),
                    ..schema::Pool::default()
                }))
            }
            EntryKind::Limits => index.limits.find(&config.limits, name).map(|_| None)?,
            EntryKind::RetryAfter => index
                .retry_after
                .find(&config.retry_after, name)
                .map(|_| None)?,
            EntryKind::Budget => index.budgets.find(&config.budgets, name).map(|_| None)?,
            EntryKind::Attempts => find_by_name(&config.attempts, name).map(|()| None)?,
            EntryKind::Health => find_by_name(&config.health, name).map(|()| None)?,
            EntryKind::Route => None,
        })
    }

    /// Checks that no entry refers to this one.
    ///
    /// # Errors
    /// If an entry refers to it, or there is no such entry.
    fn check_unreferenced(&self, kind: EntryKind, name: &str) -> Result<(), ConfigurationError> {
        let (config, index) = (&self.configuration, &self.index);
        let is_referenced = match kind {
            EntryKind::Type => {
                let entry = index.types.find(&config.types, name)?;
                self.by_type[usize::from(entry)] != self.any_type
            }
            EntryKind::Tenant => self
                .by_tenant
                .contains_key(&index.tenants.find(&config.tenants, name)?),
            EntryKind::Pool => {
                let entry = index.pools.find(&config.pools, name)?;
                let refers = |route: &crate::table::Route| {
                    route.to.iter().any(|to| to.pool == entry) || route.fall_back.contains(&entry)
                };
                self.routes.iter().any(refers)
                    || self.pools.iter().any(|pool| pool.fall_back == Some(entry))
            }
            EntryKind::Limits => {
                let entry = Some(index.limits.find(&config.limits, name)?);
                self.type_limits.contains(&entry)
                    || self.tenant_limits.contains(&entry)
                    || self.routes.iter().any(|route| route.limits == entry)
                    || self.pools.iter().any(|pool| pool.limits == entry)
            }
            EntryKind::RetryAfter => {
                let entry = Some(index.retry_after.find(&config.retry_after, name)?);
                let by_pools = self.pools.iter().any(|pool| pool.retry_after == entry);
                by_pools || self.routes.iter().any(|route| route.retry_after == entry)
            }
            EntryKind::Budget => {
                let entry = Some(index.budgets.find(&config.budgets, name)?);
                self.routes.iter().any(|route| route.budget == entry)
            }
            EntryKind::Attempts | EntryKind::Health | EntryKind::Route => false,
        };
        if is_referenced {
            return Err(ConfigurationError::StillReferenced {
                kind: kind.as_str(),
                name: name.to_owned(),
            });
        }
        Ok(())
    }

    /// Puts or removes one entry and returns the change that undoes this. On an error nothing has changed.
    fn apply_one(&mut self, change: TableChange) -> Result<TableChange, ConfigurationError> {
        let EntryKey { kind, name } = change.key();
        let undo_new = TableChange::Remove(kind, name.to_owned());
        let configuration = &mut self.configuration;
        Ok(match change {
            TableChange::Limits(limits) => self
                .put_limits(limits)?
                .map_or(undo_new, TableChange::Limits),
            TableChange::RetryAfter(bounds) => {
                let names = &mut self.index.retry_after;
                let (_, replaced) = put(&mut configuration.retry_after, names, bounds)?;
                replaced.map_or(undo_new, TableChange::RetryAfter)
            }
            TableChange::Budget(budget) => self
                .put_budget(budget)?
                .map_or(undo_new, TableChange::Budget),
            TableChange::Attempts(attempts) => put_by_name(&mut configuration.attempts, attempts)
                .map_or(undo_new, TableChange::Attempts),
            TableChange::Health(health) => {
                put_by_name(&mut configuration.health, health).map_or(undo_new, TableChange::Health)
            }
            TableChange::Type(class) => self
                .put_request_class(class)?
                .map_or(undo_new, TableChange::Type),
            TableChange::Tenant(tenant) => self
                .put_tenant(tenant)?
                .map_or(undo_new, TableChange::Tenant),
            TableChange::Pool(pool) => self.put_pool(pool)?.map_or(undo_new, TableChange::Pool),
            TableChange::Route(route, before) => self.put_route(route, before.as_deref())?,
            TableChange::Remove(EntryKind::Route, name) => {
                let routes = &configuration.routes;
                let route_index = usize::from(self.index.routes.find(routes, &name)?);
                let next = routes.get(route_index + 1).map(|next| next.name.clone());
                TableChange::Route(self.remove_route(route_index), next)
            }
            // Only undoes a new entry: it is the last of its kind, and nothing refers to it.
            TableChange::Remove(kind, name) => {
                self.remove(kind, &name);
                TableChange::Remove(kind, name)
            }
        })
    }

    fn put_limits(
        &mut self,
        limits: schema::Limits,
    ) -> Result<Option<schema::Limits>, ConfigurationError> {
        let compiled = (LimitRule::from(&limits), limits.per());
        let names = &mut self.index.limits;
        let (index, replaced) = put(&mut self.configuration.limits, names, limits)?;
        set_or_push(&mut self.limits, index, compiled);
        Ok(replaced)
    }

    fn put_budget(
        &mut self,
        budget: schema::Budget,
    ) -> Result<Option<schema::Budget>, ConfigurationError> {
        let times = self
            .latency_objectives
            .iter()
            .map(|objective| Times::new(*objective, Some(&budget)))
            .collect();
        let names = &mut self.index.budgets;
        let (index, replaced) = put(&mut self.configuration.budgets, names, budget)?;
        set_or_push(&mut self.times, index, times);
        Ok(replaced)
    }

    fn put_request_class(
        &mut self,
        class: schema::TrafficType,
    ) -> Result<Option<schema::TrafficType>, ConfigurationError> {
        let limits = &self.configuration.limits;
        let limits = self.index.limits.find_optional(limits, &class.limits)?;
        let objective = Duration::from_nanos(class.goal_ns);
        check_row_size(self.configuration.types.len() + 1, self.routes.len())?;
        let names = &mut self.index.types;
        let (index, replaced) = put(&mut self.configuration.types, names, class)?;
        set_or_push(&mut self.type_limits, index, limits);
        set_or_push(&mut self.latency_objectives, index, objective);
        for (row, budget) in self.times.iter_mut().zip(&self.configuration.budgets) {
            set_or_push(row, index, Times::new(objective, Some(budget)));
        }
        if replaced.is_none() {
            self.by_type.push(self.any_type.clone());
        }
        Ok(replaced)
    }

    fn put_tenant(
        &mut self,
        tenant: schema::Tenant,
    ) -> Result<Option<schema::Tenant>, ConfigurationError> {
        let limits = &self.configuration.limits;
        let limits = self.index.limits.find_optional(limits, &tenant.limits)?;
        let names = &mut self.index.tenants;
        let (index, replaced) = put(&mut self.configuration.tenants, names, tenant)?;
        set_or_push(&mut self.tenant_limits, index, limits);
        Ok(replaced)
    }

    fn put_pool(&mut self, pool: schema::Pool) -> Result<Option<schema::Pool>, ConfigurationError> {
        let compiled = self.compile_pool(&pool)?;
        let names = &mut self.index.pools;
        let (index, replaced) = put(&mut self.configuration.pools, names, pool)?;
        set_or_push(&mut self.pools, index, compiled);
        Ok(replaced)
    }

    /// Puts a route before another route, or last. Returns the change that undoes this.
    fn put_route(
        &mut self,
        route: schema::Route,
        before: Option<&str>,
    ) -> Result<TableChange, ConfigurationError> {
        let compiled = self.compile_route(&route)?;
        let routes = &self.configuration.routes;
        let position = match before {
            Some(before) => usize::from(self.index.routes.find(routes, before)?),
            None => routes.len(),
        };
        let Some(current) = self.index.routes.get(routes, &route.name).map(usize::from) else {
            check_row_size(self.by_type.len(), self.routes.len() + 1)?;
            if self.routes.len() >= crate::table::MAX_ENTRIES {
                return Err(ConfigurationError::TooManyEntries {
                    max: crate::table::MAX_ENTRIES,
                    kind: schema::Route::KIND,
                });
            }
            self.index.routes.check_free(routes, &route.name)?;
            let undo_change = TableChange::Remove(EntryKind::Route, route.name.clone());
            self.insert_route(position, route, compiled);
            return Ok(undo_change);
        };
        if position == current {
            return Err(ConfigurationError::BeforeItself { route: route.name });
        }
        let next = routes.get(current + 1).map(|next| next.name.clone());
        let old = if position == current + 1 {
            self.set_route_bits(current, false);
            let old = std::mem::replace(&mut self.configuration.routes[current], route);
            self.routes[current] = compiled;
            self.set_route_bits(current, true);
            old
        } else {
            let old = self.remove_route(current);
            self.insert_route(position - usize::from(position > current), route, compiled);
            old
        };
        Ok(TableChange::Route(old, next))
    }

    fn insert_route(
        &mut self,
        position: usize,
        route: schema::Route,
        compiled: crate::table::Route,
    ) {
        let words = (self.routes.len() + 1).div_ceil(64);
        self.for_each_row(|row| {
            row.resize(words);
            row.insert_gap(position);
        });
        let shift = |index: &mut u16| *index += u16::from(usize::from(*index) >= position);
        self.by_tenant.values_mut().flatten().for_each(shift);
        self.index.routes.for_each(shift);
        self.index.routes.set(&route.name, position as u16);
        self.configuration.routes.insert(position, route);
        self.routes.insert(position, compiled);
        self.set_route_bits(position, true);
    }

    fn remove_route(&mut self, position: usize) -> schema::Route {
        self.set_route_bits(position, false);
        self.routes.remove(position);
        let route = self.configuration.routes.remove(position);
        self.index.routes.remove(&route.name);
        let shift = |index: &mut u16| *index -= u16::from(usize::from(*index) > position);
        self.by_tenant.values_mut().flatten().for_each(shift);
        self.index.routes.for_each(shift);
        let words = self.routes.len().div_ceil(64);
        self.for_each_row(|row| {
            row.remove_bit(position);
            row.resize(words);
        });
        route
    }

    fn for_each_row(&mut self, mut update: impl FnMut(&mut crate::table::Bits)) {
        let Self {
            any_type,
            by_type,
            any_tenant,
            by_attempt_kind,
            ..
        } = self;
        by_type
            .iter_mut()
            .chain(by_attempt_kind)
            .chain([any_type, any_tenant])
            .for_each(&mut update);
    }

    /// Removes an entry that nothing refers to. Routes were removed earlier, by [`Table::remove_route`].
    fn remove(&mut self, kind: EntryKind, name: &str) {
        let configuration = &mut self.configuration;
        match kind {
            EntryKind::Route => {}
            EntryKind::Attempts => remove_by_name(&mut configuration.attempts, name),
            EntryKind::Health => remove_by_name(&mut configuration.health, name),
            EntryKind::Type => self.remove_request_class(name),
            EntryKind::Tenant => self.remove_tenant(name),
            EntryKind::Pool => self.remove_pool(name),
            EntryKind::Limits => self.remove_limits(name),
            EntryKind::RetryAfter => self.remove_retry_after(name),
            EntryKind::Budget => self.remove_budget(name),
        }
    }

    fn remove_request_class(&mut self, name: &str) {
        let entries = &mut self.configuration.types;
        let Some(moved) = swap_remove_named(entries, &mut self.index.types, name) else {
            return;
        };
        let index = usize::from(moved.to);
        self.type_limits.swap_remove(index);
        self.latency_objectives.swap_remove(index);
        self.by_type.swap_remove(index);
        for row in &mut self.times {
            row.swap_remove(index);
        }
    }

    fn remove_tenant(&mut self, name: &str) {
        let entries = &mut self.configuration.tenants;
        let Some(moved) = swap_remove_named(entries, &mut self.index.tenants, name) else {
            return;
        };
        self.tenant_limits.swap_remove(usize::from(moved.to));
        if let Some(routes) = self.by_tenant.remove(&moved.from) {
            self.by_tenant.insert(moved.to, routes);
        }
    }

    fn remove_pool(&mut self, name: &str) {
        let entries = &mut self.configuration.pools;
        let Some(moved) = swap_remove_named(entries, &mut self.index.pools, name) else {
            return;
        };
        self.pools.swap_remove(usize::from(moved.to));
        renumber(
            self.pools
                .iter_mut()
                .filter_map(|pool| pool.fall_back.as_mut()),
            moved,
        );
        for route in &mut self.routes {
            renumber(route.to.iter_mut().map(|to| &mut to.pool), moved);
            renumber(route.fall_back.iter_mut(), moved);
        }
    }

    fn remove_limits(&mut self, name: &str) {
        let entries = &mut self.configuration.limits;
        let Some(moved) = swap_remove_named(entries, &mut self.index.limits, name) else {
            return;
        };
        self.limits.swap_remove(usize::from(moved.to));
        let type_refs = self.type_limits.iter_mut().filter_map(Option::as_mut);
        renumber(type_refs, moved);
        let tenant_refs = self.tenant_limits.iter_mut().filter_map(Option::as_mut);
        renumber(tenant_refs, moved);
        let route_refs = self.routes.iter_mut().filter_map(|r| r.limits.as_mut());
        renumber(route_refs, moved);
        let pool_refs = self.pools.iter_mut().filter_map(|p| p.limits.as_mut());
        renumber(pool_refs, moved);
    }

    fn remove_retry_after(&mut self, name: &str) {
        let entries = &mut self.configuration.retry_after;
        let Some(moved) = swap_remove_named(entries, &mut self.index.retry_after, name) else {
            return;
        };
        let route_refs = self
            .routes
            .iter_mut()
            .filter_map(|r| r.retry_after.as_mut());
        renumber(route_refs, moved);
        let pool_refs = self.pools.iter_mut().filter_map(|p| p.retry_after.as_mut());
        renumber(pool_refs, moved);
    }

    fn remove_budget(&mut self, name: &str) {
        let entries = &mut self.configuration.budgets;
        let Some(moved) = swap_remove_named(entries, &mut self.index.budgets, name) else {
            return;
        };
        self.times.swap_remove(usize::from(moved.to));
        let route_refs = self.routes.iter_mut().filter_map(|r| r.budget.as_mut());
        renumber(route_refs, moved);
    }
}
