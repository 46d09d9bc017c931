//! Updates of single entries, applied to the table in place: the cost depends on what is changed.
//!
//! Nothing is rebuilt. An entry that is put replaces the one of its name, or is appended; a new route shifts the bits
//! behind it; a removed entry leaves its index to the last of its kind, and references to that one are updated.
//!
//! Updates are atomic. Entries are put in the order in which they refer to each other, each is checked before anything
//! is altered, and what was put is undone if a later one is refused. Removals come last, once all of them have been
//! checked and nothing can fail any more.

mod change;

pub use change::{EntryKey, EntryKind, TableChange};

use crate::rate_limit::LimitRule;
use crate::table::{rows_fit, NameIndex, Named, Table};
use crate::time_budget::Times;
use crate::ConfigurationError;
use foldhash::{HashSet, HashSetExt};
use rainstand_config::schema;
use std::time::Duration;

/// Replaces the entry of this name in a list, or appends it; its index, and the entry that it replaced.
fn put<T: Named>(
    all: &mut Vec<T>,
    names: &mut NameIndex,
    thing: T,
) -> Result<(usize, Option<T>), ConfigurationError> {
    if let Some(at) = names.get(all, thing.name()).map(usize::from) {
        return Ok((at, Some(std::mem::replace(&mut all[at], thing))));
    }
    all.push(thing);
    let at = all.len() - 1;
    if let Err(refused) = names.put(all, at) {
        all.pop();
        return Err(refused);
    }
    Ok((at, None))
}

/// As [`put`], for kinds of entries that are referred to by name alone.
fn put_by_name<T: Named>(all: &mut Vec<T>, thing: T) -> Option<T> {
    if let Some(entry) = all.iter_mut().find(|one| one.name() == thing.name()) {
        return Some(std::mem::replace(entry, thing));
    }
    all.push(thing);
    None
}

fn find_by_name<T: Named>(all: &[T], name: &str) -> Result<(), ConfigurationError> {
    if all.iter().any(|one| one.name() == name) {
        return Ok(());
    }
    Err(ConfigurationError::NotFound {
        kind: T::KIND,
        name: name.to_owned(),
    })
}

fn remove_by_name<T: Named>(all: &mut Vec<T>, name: &str) {
    all.retain(|one| one.name() != name);
}

/// An entry that got another index.
#[derive(Clone, Copy)]
struct Moved {
    to: u16,
    from: u16,
}

/// Removes an entry from its list; the last one takes its index, which may be the removed one itself.
fn swap_remove_named<T: Named>(
    all: &mut Vec<T>,
    names: &mut NameIndex,
    name: &str,
) -> Option<Moved> {
    let to = names.get(all, name)?;
    let from = all.len() as u16 - 1;
    names.remove(name);
    all.swap_remove(usize::from(to));
    if to != from {
        names.set(all[usize::from(to)].name(), to);
    }
    Some(Moved { to, from })
}

/// Replaces the element at an index, or appends it.
fn set<T>(all: &mut Vec<T>, at: usize, one: T) {
    match all.get_mut(at) {
        Some(there) => *there = one,
        None => all.push(one),
    }
}

/// Updates references to an entry that got another index.
fn renumber<'a>(references: impl Iterator<Item = &'a mut u16>, moved: Moved) {
    references
        .filter(|at| **at == moved.from)
        .for_each(|at| *at = moved.to);
}

/// The last phase in which entries are put ([`TableChange::phase`]).
const LAST_PUT_PHASE: u8 = 4;
/// The phase of removals of entries other than routes ([`TableChange::phase`]).
const REMOVAL_PHASE: u8 = 5;

/// Changes that restore the table, to be applied last to first.
type Undo = Vec<TableChange>;

impl Table {
    /// Applies all changes, or none of them.
    ///
    /// # Errors
    /// As [`Table::of`]; also if an entry is named twice, or is removed while another refers to it.
    pub fn apply(&mut self, changes: &[TableChange]) -> Result<(), ConfigurationError> {
        let mut named = HashSet::with_capacity(changes.len());
        if let Some(twice) = changes.iter().find(|change| !named.insert(change.key())) {
            let EntryKey { kind, name } = twice.key();
            return Err(ConfigurationError::ChangedTwice {
                kind: kind.as_str(),
                name: name.to_owned(),
            });
        }
        let mut undo = Undo::new();
        let done = self.put_all(changes, &mut undo);
        if done.is_err() {
            for back in undo.into_iter().rev() {
                let done = self.step(back);
                debug_assert!(
                    done.is_ok(),
                    "what was there before is taken back: {done:?}"
                );
            }
            return done;
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
        // Pools may fall back on each other: all are there before any says on which.
        for change in changes {
            match change {
                TableChange::Pool(pool) if self.pool(&pool.name).is_none() => {
                    let bare = schema::Pool {
                        name: pool.name.clone(),
                        ..schema::Pool::default()
                    };
                    undo.push(self.step(TableChange::Pool(bare))?);
                }
                _ => {}
            }
        }
        for phase in 0..=LAST_PUT_PHASE {
            // From behind: a route may stand before another one of the same change.
            let mut of_phase = changes
                .iter()
                .rev()
                .filter(|change| change.phase() == phase);
            of_phase
                .try_for_each(|change| self.step(change.clone()).map(|back| undo.push(back)))?;
        }
        for at in changes.iter().filter_map(|change| match change {
            TableChange::Pool(pool) => self.pool(&pool.name),
            _ => None,
        }) {
            self.chain_ends(usize::from(at))?;
        }
        // What goes refers to nothing any more, so that it may go in any order.
        let gone = || {
            changes
                .iter()
                .filter(|change| change.phase() == REMOVAL_PHASE)
                .map(TableChange::key)
        };
        for EntryKey { kind, name } in gone() {
            if let Some(bare) = self.without_references(kind, name)? {
                undo.push(self.step(bare)?);
            }
        }
        gone().try_for_each(|EntryKey { kind, name }| self.check_unreferenced(kind, name))
    }

    /// The change that drops all references of an entry, if it has any.
    ///
    /// # Errors
    /// If there is no such entry.
    fn without_references(
        &self,
        kind: EntryKind,
        name: &str,
    ) -> Result<Option<TableChange>, ConfigurationError> {
        let (c, index) = (&self.configuration, &self.index);
        Ok(match kind {
            EntryKind::Type => {
                let there = &c.types[usize::from(index.types.find(&c.types, name)?)];
                Some(TableChange::Type(schema::TrafficType {
                    limits: String::new(),
                    ..there.clone()
                }))
            }
            EntryKind::Tenant => {
                let there = &c.tenants[usize::from(index.tenants.find(&c.tenants, name)?)];
                Some(TableChange::Tenant(schema::Tenant {
                    limits: String::new(),
                    ..there.clone()
                }))
            }
            EntryKind::Pool => {
                index.pools.find(&c.pools, name)?;
                Some(TableChange::Pool(schema::Pool {
                    name: name.to_owned(),
                    ..schema::Pool::default()
                }))
            }
            EntryKind::Limits => index.limits.find(&c.limits, name).map(|_| None)?,
            EntryKind::RetryAfter => index.retry_after.find(&c.retry_after, name).map(|_| None)?,
            EntryKind::Budget => index.budgets.find(&c.budgets, name).map(|_| None)?,
            EntryKind::Attempts => find_by_name(&c.attempts, name).map(|()| None)?,
            EntryKind::Health => find_by_name(&c.health, name).map(|()| None)?,
            EntryKind::Route => None,
        })
    }

    /// Checks that no entry refers to this one.
    ///
    /// # Errors
    /// If one does, or if there is no such entry.
    fn check_unreferenced(&self, kind: EntryKind, name: &str) -> Result<(), ConfigurationError> {
        let (c, index) = (&self.configuration, &self.index);
        let referred = match kind {
            EntryKind::Type => {
                let at = index.types.find(&c.types, name)?;
                self.by_type[usize::from(at)] != self.any_type
            }
            EntryKind::Tenant => self
                .by_tenant
                .contains_key(&index.tenants.find(&c.tenants, name)?),
            EntryKind::Pool => {
                let at = index.pools.find(&c.pools, name)?;
                let leads = |r: &crate::table::Route| {
                    r.to.iter().any(|to| to.pool == at) || r.fall_back.contains(&at)
                };
                self.routes.iter().any(leads)
                    || self.pools.iter().any(|pool| pool.fall_back == Some(at))
            }
            EntryKind::Limits => {
                let at = Some(index.limits.find(&c.limits, name)?);
                self.type_limits.contains(&at)
                    || self.tenant_limits.contains(&at)
                    || self.routes.iter().any(|route| route.limits == at)
                    || self.pools.iter().any(|pool| pool.limits == at)
            }
            EntryKind::RetryAfter => {
                let at = Some(index.retry_after.find(&c.retry_after, name)?);
                let of_pools = self.pools.iter().any(|pool| pool.retry_after == at);
                of_pools || self.routes.iter().any(|route| route.retry_after == at)
            }
            EntryKind::Budget => {
                let at = Some(index.budgets.find(&c.budgets, name)?);
                self.routes.iter().any(|route| route.budget == at)
            }
            EntryKind::Attempts | EntryKind::Health | EntryKind::Route => false,
        };
        if referred {
            return Err(ConfigurationError::StillReferenced {
                kind: kind.as_str(),
                name: name.to_owned(),
            });
        }
        Ok(())
    }

    /// Puts or removes one entry; returns the change that undoes it. Nothing has changed if it is refused.
    fn step(&mut self, change: TableChange) -> Result<TableChange, ConfigurationError> {
        let EntryKey { kind, name } = change.key();
        let undo_new = TableChange::Remove(kind, name.to_owned());
        let configuration = &mut self.configuration;
        Ok(match change {
            TableChange::Limits(limits) => self
                .put_limits(limits)?
                .map_or(undo_new, TableChange::Limits),
            TableChange::RetryAfter(bounds) => {
                let names = &mut self.index.retry_after;
                let (_, before) = put(&mut configuration.retry_after, names, bounds)?;
                before.map_or(undo_new, TableChange::RetryAfter)
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
                let at = usize::from(self.index.routes.find(routes, &name)?);
                let next = routes.get(at + 1).map(|next| next.name.clone());
                TableChange::Route(self.remove_route(at), next)
            }
            // Only to undo an entry that was just put: it is the last of its kind, and nothing refers to it.
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
        let (at, before) = put(&mut self.configuration.limits, names, limits)?;
        set(&mut self.limits, at, compiled);
        Ok(before)
    }

    fn put_budget(
        &mut self,
        budget: schema::Budget,
    ) -> Result<Option<schema::Budget>, ConfigurationError> {
        let times = self
            .goals
            .iter()
            .map(|goal| Times::new(*goal, Some(&budget)))
            .collect();
        let names = &mut self.index.budgets;
        let (at, before) = put(&mut self.configuration.budgets, names, budget)?;
        set(&mut self.times, at, times);
        Ok(before)
    }

    fn put_request_class(
        &mut self,
        class: schema::TrafficType,
    ) -> Result<Option<schema::TrafficType>, ConfigurationError> {
        let limits = &self.configuration.limits;
        let limits = self.index.limits.find_optional(limits, &class.limits)?;
        let goal = Duration::from_nanos(class.goal_ns);
        rows_fit(self.configuration.types.len() + 1, self.routes.len())?;
        let names = &mut self.index.types;
        let (at, before) = put(&mut self.configuration.types, names, class)?;
        set(&mut self.type_limits, at, limits);
        set(&mut self.goals, at, goal);
        for (row, budget) in self.times.iter_mut().zip(&self.configuration.budgets) {
            set(row, at, Times::new(goal, Some(budget)));
        }
        if before.is_none() {
            self.by_type.push(self.any_type.clone());
        }
        Ok(before)
    }

    fn put_tenant(
        &mut self,
        tenant: schema::Tenant,
    ) -> Result<Option<schema::Tenant>, ConfigurationError> {
        let limits = &self.configuration.limits;
        let limits = self.index.limits.find_optional(limits, &tenant.limits)?;
        let names = &mut self.index.tenants;
        let (at, before) = put(&mut self.configuration.tenants, names, tenant)?;
        set(&mut self.tenant_limits, at, limits);
        Ok(before)
    }

    fn put_pool(&mut self, pool: schema::Pool) -> Result<Option<schema::Pool>, ConfigurationError> {
        let compiled = self.compile_pool(&pool)?;
        let names = &mut self.index.pools;
        let (at, before) = put(&mut self.configuration.pools, names, pool)?;
        set(&mut self.pools, at, compiled);
        Ok(before)
    }

    /// Puts a route in front of another, or behind all; returns the change that undoes it.
    fn put_route(
        &mut self,
        route: schema::Route,
        before: Option<&str>,
    ) -> Result<TableChange, ConfigurationError> {
        let compiled = self.compile_route(&route)?;
        let routes = &self.configuration.routes;
        let place = match before {
            Some(before) => usize::from(self.index.routes.find(routes, before)?),
            None => routes.len(),
        };
        let Some(there) = self.index.routes.get(routes, &route.name).map(usize::from) else {
            rows_fit(self.by_type.len(), self.routes.len() + 1)?;
            if self.routes.len() >= crate::table::MAX_ENTRIES {
                return Err(ConfigurationError::TooManyEntries {
                    max: crate::table::MAX_ENTRIES,
                    kind: schema::Route::KIND,
                });
            }
            self.index.routes.check_free(routes, &route.name)?;
            let back = TableChange::Remove(EntryKind::Route, route.name.clone());
            self.insert_route(place, route, compiled);
            return Ok(back);
        };
        if place == there {
            return Err(ConfigurationError::BeforeItself { route: route.name });
        }
        let next = routes.get(there + 1).map(|next| next.name.clone());
        let old = if place == there + 1 {
            self.mark_route(there, false);
            let old = std::mem::replace(&mut self.configuration.routes[there], route);
            self.routes[there] = compiled;
            self.mark_route(there, true);
            old
        } else {
            let old = self.remove_route(there);
            self.insert_route(place - usize::from(place > there), route, compiled);
            old
        };
        Ok(TableChange::Route(old, next))
    }

    fn insert_route(&mut self, at: usize, route: schema::Route, compiled: crate::table::Route) {
        let words = (self.routes.len() + 1).div_ceil(64);
        self.each_row(|row| {
            row.resize(words);
            row.insert_gap(at);
        });
        let moved = |place: &mut u16| *place += u16::from(usize::from(*place) >= at);
        self.by_tenant.values_mut().flatten().for_each(moved);
        self.index.routes.for_each(moved);
        self.index.routes.set(&route.name, at as u16);
        self.configuration.routes.insert(at, route);
        self.routes.insert(at, compiled);
        self.mark_route(at, true);
    }

    fn remove_route(&mut self, at: usize) -> schema::Route {
        self.mark_route(at, false);
        self.routes.remove(at);
        let route = self.configuration.routes.remove(at);
        self.index.routes.remove(&route.name);
        let moved = |place: &mut u16| *place -= u16::from(usize::from(*place) > at);
        self.by_tenant.values_mut().flatten().for_each(moved);
        self.index.routes.for_each(moved);
        let words = self.routes.len().div_ceil(64);
        self.each_row(|row| {
            row.remove_bit(at);
            row.resize(words);
        });
        route
    }

    fn each_row(&mut self, mut what: impl FnMut(&mut crate::table::Bits)) {
        let Self {
            any_type,
            by_type,
            any_tenant,
            by_try,
            ..
        } = self;
        by_type
            .iter_mut()
            .chain(by_try)
            .chain([any_type, any_tenant])
            .for_each(&mut what);
    }

    /// Removes an entry that nothing refers to. Routes are removed before, by [`Table::remove_route`].
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
        let all = &mut self.configuration.types;
        let Some(moved) = swap_remove_named(all, &mut self.index.types, name) else {
            return;
        };
        let at = usize::from(moved.to);
        self.type_limits.swap_remove(at);
        self.goals.swap_remove(at);
        self.by_type.swap_remove(at);
        for row in &mut self.times {
            row.swap_remove(at);
        }
    }

    fn remove_tenant(&mut self, name: &str) {
        let all = &mut self.configuration.tenants;
        let Some(moved) = swap_remove_named(all, &mut self.index.tenants, name) else {
            return;
        };
        self.tenant_limits.swap_remove(usize::from(moved.to));
        if let Some(routes) = self.by_tenant.remove(&moved.from) {
            self.by_tenant.insert(moved.to, routes);
        }
    }

    fn remove_pool(&mut self, name: &str) {
        let all = &mut self.configuration.pools;
        let Some(moved) = swap_remove_named(all, &mut self.index.pools, name) else {
            return;
        };
        self.pools.swap_remove(usize::from(moved.to));
        renumber(
            self.pools.iter_mut().filter_map(|p| p.fall_back.as_mut()),
            moved,
        );
        for route in &mut self.routes {
            renumber(route.to.iter_mut().map(|to| &mut to.pool), moved);
            renumber(route.fall_back.iter_mut(), moved);
        }
    }

    fn remove_limits(&mut self, name: &str) {
        let all = &mut self.configuration.limits;
        let Some(moved) = swap_remove_named(all, &mut self.index.limits, name) else {
            return;
        };
        self.limits.swap_remove(usize::from(moved.to));
        let of_types = self.type_limits.iter_mut().filter_map(Option::as_mut);
        renumber(of_types, moved);
        let of_tenants = self.tenant_limits.iter_mut().filter_map(Option::as_mut);
        renumber(of_tenants, moved);
        let of_routes = self.routes.iter_mut().filter_map(|r| r.limits.as_mut());
        renumber(of_routes, moved);
        let of_pools = self.pools.iter_mut().filter_map(|p| p.limits.as_mut());
        renumber(of_pools, moved);
    }

    fn remove_retry_after(&mut self, name: &str) {
        let all = &mut self.configuration.retry_after;
        let Some(moved) = swap_remove_named(all, &mut self.index.retry_after, name) else {
            return;
        };
        let of_routes = self
            .routes
            .iter_mut()
            .filter_map(|r| r.retry_after.as_mut());
        renumber(of_routes, moved);
        let of_pools = self.pools.iter_mut().filter_map(|p| p.retry_after.as_mut());
        renumber(of_pools, moved);
    }

    fn remove_budget(&mut self, name: &str) {
        let all = &mut self.configuration.budgets;
        let Some(moved) = swap_remove_named(all, &mut self.index.budgets, name) else {
            return;
        };
        self.times.swap_remove(usize::from(moved.to));
        let of_routes = self.routes.iter_mut().filter_map(|r| r.budget.as_mut());
        renumber(of_routes, moved);
    }
}
