//! A change of named things, applied to the present version: what it costs goes by what it says.
//!
//! Nothing is rebuilt. A thing that is put replaces the one of its name, or is new; a new route shifts the bits behind
//! its place; one that is removed leaves its place to the last of its kind, and what refers to that one is told.
//! What a change touches of the table beside that is counted in words that are moved, not in things made anew.
//!
//! Whole or not at all: things are put in the order in which they refer to each other, each is checked before anything
//! is altered, and what was put is taken back if a later one is refused. Removals come last, when all of them have
//! been checked and no way is left to fail.

use crate::rate_limit::LimitRule;
use crate::table::{rows_fit, NameIndex, Named, Table};
use crate::time_budget::Times;
use crate::ConfigurationError;
use foldhash::{HashSet, HashSetExt};
use rainstand_config::schema;
use std::time::Duration;

/// Kinds of things that decide about requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EntryKind {
    Type,
    Tenant,
    Pool,
    Limits,
    RetryAfter,
    Budget,
    Attempts,
    Health,
    Route,
}

impl EntryKind {
    fn as_str(self) -> &'static str {
        match self {
            EntryKind::Type => "type",
            EntryKind::Tenant => "tenant",
            EntryKind::Pool => "pool",
            EntryKind::Limits => "limits",
            EntryKind::RetryAfter => "retry-after",
            EntryKind::Budget => "budget",
            EntryKind::Attempts => "attempts",
            EntryKind::Health => "health",
            EntryKind::Route => "route",
        }
    }
}

/// One thing that is put or removed.
#[derive(Clone, Debug, PartialEq)]
pub enum TableChange {
    Type(schema::TrafficType),
    Tenant(schema::Tenant),
    /// With all its members.
    Pool(schema::Pool),
    Limits(schema::Limits),
    RetryAfter(schema::RetryAfter),
    Budget(schema::Budget),
    Attempts(schema::Attempts),
    Health(schema::Health),
    /// A route, and the name of the one before which it stands then; none: behind all. Of routes in one change, those
    /// in front come first.
    Route(schema::Route, Option<String>),
    Remove(EntryKind, String),
}

impl TableChange {
    /// What it names.
    pub fn key(&self) -> (EntryKind, &str) {
        match self {
            TableChange::Type(one) => (EntryKind::Type, &one.name),
            TableChange::Tenant(one) => (EntryKind::Tenant, &one.name),
            TableChange::Pool(one) => (EntryKind::Pool, &one.name),
            TableChange::Limits(one) => (EntryKind::Limits, &one.name),
            TableChange::RetryAfter(one) => (EntryKind::RetryAfter, &one.name),
            TableChange::Budget(one) => (EntryKind::Budget, &one.name),
            TableChange::Attempts(one) => (EntryKind::Attempts, &one.name),
            TableChange::Health(one) => (EntryKind::Health, &one.name),
            TableChange::Route(one, _) => (EntryKind::Route, &one.name),
            TableChange::Remove(kind, name) => (*kind, name),
        }
    }

    /// Its turn: what others refer to comes before them.
    fn turn(&self) -> u8 {
        match self {
            TableChange::Limits(_) | TableChange::RetryAfter(_) | TableChange::Budget(_) => 0,
            TableChange::Attempts(_) | TableChange::Health(_) => 0,
            TableChange::Type(_) | TableChange::Tenant(_) => 1,
            TableChange::Pool(_) => 2,
            TableChange::Remove(EntryKind::Route, _) => 3,
            TableChange::Route(..) => 4,
            TableChange::Remove(..) => 5,
        }
    }
}

/// Puts a thing in its place in a list: the one that was there, or none if it is new.
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

/// The same where nothing but their names leads to things of a kind.
fn put_by_name<T: Named>(all: &mut Vec<T>, thing: T) -> Option<T> {
    match all.iter_mut().find(|one| one.name() == thing.name()) {
        Some(there) => Some(std::mem::replace(there, thing)),
        None => {
            all.push(thing);
            None
        }
    }
}

fn find_by_name<T: Named>(all: &[T], name: &str) -> Result<(), ConfigurationError> {
    match all.iter().any(|one| one.name() == name) {
        true => Ok(()),
        false => Err(ConfigurationError(format!(
            "there is no {} `{name}`",
            T::WHAT
        ))),
    }
}

fn remove_by_name<T: Named>(all: &mut Vec<T>, name: &str) {
    all.retain(|one| one.name() != name);
}

/// Takes a thing out of its list; the last one takes its place. The place, and where that last one was.
fn swap_remove_named<T: Named>(
    all: &mut Vec<T>,
    names: &mut NameIndex,
    name: &str,
) -> Option<(u16, u16)> {
    let at = names.get(all, name)?;
    let last = all.len() as u16 - 1;
    names.remove(name);
    all.swap_remove(usize::from(at));
    if at != last {
        names.moved(all[usize::from(at)].name(), at);
    }
    Some((at, last))
}

fn set<T>(all: &mut Vec<T>, at: usize, one: T) {
    match all.get_mut(at) {
        Some(there) => *there = one,
        None => all.push(one),
    }
}

/// What referred to the last of a kind refers to the place that it was given.
fn renumber<'a>(all: impl Iterator<Item = &'a mut u16>, (to, from): (u16, u16)) {
    all.filter(|at| **at == from).for_each(|at| *at = to);
}

/// Put back, or removed, in turn, to be as before.
type Undo = Vec<TableChange>;

impl Table {
    /// Applies a change, whole or not at all.
    ///
    /// # Errors
    /// What cannot be, as [`Table::of`]; a thing that is named twice, or removed while something refers to it.
    pub fn apply(&mut self, changes: &[TableChange]) -> Result<(), ConfigurationError> {
        let mut named = HashSet::with_capacity(changes.len());
        if let Some(twice) = changes.iter().find(|change| !named.insert(change.key())) {
            let (kind, name) = twice.key();
            return Err(ConfigurationError(format!(
                "{} `{name}` is named twice in one change",
                kind.as_str()
            )));
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
        for turn in 0..=4 {
            // From behind: a route may stand before another one of the same change.
            let mut of_turn = changes.iter().rev().filter(|change| change.turn() == turn);
            of_turn.try_for_each(|change| self.step(change.clone()).map(|back| undo.push(back)))?;
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
                .filter(|change| change.turn() == 5)
                .map(TableChange::key)
        };
        for (kind, name) in gone() {
            if let Some(bare) = self.without_references(kind, name)? {
                undo.push(self.step(bare)?);
            }
        }
        gone().try_for_each(|(kind, name)| self.check_unreferenced(kind, name))
    }

    /// A thing without what it refers to, if it refers to anything; refused if it is not there.
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

    /// # Errors
    /// If something refers to it.
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
        match referred {
            true => Err(ConfigurationError(format!(
                "{} `{name}` cannot go: something refers to it",
                kind.as_str()
            ))),
            false => Ok(()),
        }
    }

    /// Puts or removes one thing; what makes it as before. Nothing has changed if it is refused.
    fn step(&mut self, change: TableChange) -> Result<TableChange, ConfigurationError> {
        let (kind, name) = change.key();
        let new = TableChange::Remove(kind, name.to_owned());
        Ok(match change {
            TableChange::Limits(one) => {
                let compiled = (LimitRule::from(&one), one.per());
                let (at, before) =
                    put(&mut self.configuration.limits, &mut self.index.limits, one)?;
                set(&mut self.limits, at, compiled);
                before.map_or(new, TableChange::Limits)
            }
            TableChange::RetryAfter(one) => {
                let (_, before) = put(
                    &mut self.configuration.retry_after,
                    &mut self.index.retry_after,
                    one,
                )?;
                before.map_or(new, TableChange::RetryAfter)
            }
            TableChange::Budget(one) => {
                let times = self
                    .goals
                    .iter()
                    .map(|goal| Times::new(*goal, Some(&one)))
                    .collect();
                let (at, before) = put(
                    &mut self.configuration.budgets,
                    &mut self.index.budgets,
                    one,
                )?;
                set(&mut self.times, at, times);
                before.map_or(new, TableChange::Budget)
            }
            TableChange::Attempts(one) => put_by_name(&mut self.configuration.attempts, one)
                .map_or(new, TableChange::Attempts),
            TableChange::Health(one) => {
                put_by_name(&mut self.configuration.health, one).map_or(new, TableChange::Health)
            }
            TableChange::Type(one) => {
                let limits = self
                    .index
                    .limits
                    .find_any(&self.configuration.limits, &one.limits)?;
                let goal = Duration::from_nanos(one.goal_ns);
                rows_fit(self.configuration.types.len() + 1, self.routes.len())?;
                let (at, before) = put(&mut self.configuration.types, &mut self.index.types, one)?;
                set(&mut self.type_limits, at, limits);
                set(&mut self.goals, at, goal);
                for (row, budget) in self.times.iter_mut().zip(&self.configuration.budgets) {
                    set(row, at, Times::new(goal, Some(budget)));
                }
                if before.is_none() {
                    self.by_type.push(self.any_type.clone());
                }
                before.map_or(new, TableChange::Type)
            }
            TableChange::Tenant(one) => {
                let limits = self
                    .index
                    .limits
                    .find_any(&self.configuration.limits, &one.limits)?;
                let (at, before) = put(
                    &mut self.configuration.tenants,
                    &mut self.index.tenants,
                    one,
                )?;
                set(&mut self.tenant_limits, at, limits);
                before.map_or(new, TableChange::Tenant)
            }
            TableChange::Pool(one) => {
                let compiled = self.compile_pool(&one)?;
                let (at, before) = put(&mut self.configuration.pools, &mut self.index.pools, one)?;
                set(&mut self.pools, at, compiled);
                before.map_or(new, TableChange::Pool)
            }
            TableChange::Route(one, before) => self.put_route(one, before.as_deref())?,
            TableChange::Remove(EntryKind::Route, name) => {
                let at = usize::from(self.index.routes.find(&self.configuration.routes, &name)?);
                let next = self
                    .configuration
                    .routes
                    .get(at + 1)
                    .map(|next| next.name.clone());
                TableChange::Route(self.remove_route(at), next)
            }
            // Only to take back what was just put: it is the last of its kind, and nothing refers to it.
            TableChange::Remove(kind, name) => {
                self.remove(kind, &name);
                TableChange::Remove(kind, name)
            }
        })
    }

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
                return Err(ConfigurationError(format!(
                    "more than {} of route",
                    crate::table::MAX_ENTRIES
                )));
            }
            self.index.routes.free(routes, &route.name)?;
            let back = TableChange::Remove(EntryKind::Route, route.name.clone());
            self.insert_route(place, route, compiled);
            return Ok(back);
        };
        if place == there {
            return Err(ConfigurationError(format!(
                "route `{}` cannot stand before itself",
                route.name
            )));
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
            row.open(at);
        });
        let moved = |place: &mut u16| *place += u16::from(usize::from(*place) >= at);
        self.by_tenant.values_mut().flatten().for_each(moved);
        self.index.routes.each(moved);
        self.index.routes.moved(&route.name, at as u16);
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
        self.index.routes.each(moved);
        let words = self.routes.len().div_ceil(64);
        self.each_row(|row| {
            row.close(at);
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

    /// Removes a thing that nothing refers to. Routes went before.
    fn remove(&mut self, kind: EntryKind, name: &str) {
        let Self {
            configuration: c,
            index,
            pools,
            routes,
            ..
        } = self;
        match kind {
            EntryKind::Route => {}
            EntryKind::Attempts => remove_by_name(&mut c.attempts, name),
            EntryKind::Health => remove_by_name(&mut c.health, name),
            EntryKind::Type => {
                let Some((at, _)) = swap_remove_named(&mut c.types, &mut index.types, name) else {
                    return;
                };
                let at = usize::from(at);
                self.type_limits.swap_remove(at);
                self.goals.swap_remove(at);
                self.by_type.swap_remove(at);
                for row in &mut self.times {
                    row.swap_remove(at);
                }
            }
            EntryKind::Tenant => {
                let Some((at, last)) = swap_remove_named(&mut c.tenants, &mut index.tenants, name)
                else {
                    return;
                };
                self.tenant_limits.swap_remove(usize::from(at));
                if let Some(list) = self.by_tenant.remove(&last) {
                    self.by_tenant.insert(at, list);
                }
            }
            EntryKind::Pool => {
                let Some(moved) = swap_remove_named(&mut c.pools, &mut index.pools, name) else {
                    return;
                };
                pools.swap_remove(usize::from(moved.0));
                renumber(
                    pools.iter_mut().filter_map(|pool| pool.fall_back.as_mut()),
                    moved,
                );
                for route in routes {
                    renumber(route.to.iter_mut().map(|to| &mut to.pool), moved);
                    renumber(route.fall_back.iter_mut(), moved);
                }
            }
            EntryKind::Limits => {
                let Some(moved) = swap_remove_named(&mut c.limits, &mut index.limits, name) else {
                    return;
                };
                self.limits.swap_remove(usize::from(moved.0));
                renumber(
                    self.type_limits.iter_mut().filter_map(Option::as_mut),
                    moved,
                );
                renumber(
                    self.tenant_limits.iter_mut().filter_map(Option::as_mut),
                    moved,
                );
                renumber(
                    routes.iter_mut().filter_map(|one| one.limits.as_mut()),
                    moved,
                );
                renumber(
                    pools.iter_mut().filter_map(|one| one.limits.as_mut()),
                    moved,
                );
            }
            EntryKind::RetryAfter => {
                let Some(moved) =
                    swap_remove_named(&mut c.retry_after, &mut index.retry_after, name)
                else {
                    return;
                };
                renumber(
                    routes.iter_mut().filter_map(|one| one.retry_after.as_mut()),
                    moved,
                );
                renumber(
                    pools.iter_mut().filter_map(|one| one.retry_after.as_mut()),
                    moved,
                );
            }
            EntryKind::Budget => {
                let Some(moved) = swap_remove_named(&mut c.budgets, &mut index.budgets, name)
                else {
                    return;
                };
                self.times.swap_remove(usize::from(moved.0));
                renumber(
                    routes.iter_mut().filter_map(|one| one.budget.as_mut()),
                    moved,
                );
            }
        }
    }
}
