//! A change of named things, applied to the present version: what it costs goes by what it says.
//!
//! Nothing is rebuilt. A thing that is put replaces the one of its name, or is new; a new route shifts the bits behind
//! its place; one that is removed leaves its place to the last of its kind, and what refers to that one is told.
//! What a change touches of the table beside that is counted in words that are moved, not in things made anew.
//!
//! Whole or not at all: things are put in the order in which they refer to each other, each is checked before anything
//! is altered, and what was put is taken back if a later one is refused. Removals come last, when all of them have
//! been checked and no way is left to fail.

use crate::budget::Times;
use crate::limit::Rule;
use crate::table::{rows_fit, Named, Names, Table};
use crate::Refused;
use foldhash::{HashSet, HashSetExt};
use rainstand_config::schema;
use std::time::Duration;

/// Kinds of things that decide about tickets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
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

impl Kind {
    fn word(self) -> &'static str {
        match self {
            Kind::Type => "type",
            Kind::Tenant => "tenant",
            Kind::Pool => "pool",
            Kind::Limits => "limits",
            Kind::RetryAfter => "retry-after",
            Kind::Budget => "budget",
            Kind::Attempts => "attempts",
            Kind::Health => "health",
            Kind::Route => "route",
        }
    }
}

/// One thing that is put or removed.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
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
    Remove(Kind, String),
}

impl Change {
    /// What it names.
    pub fn of(&self) -> (Kind, &str) {
        match self {
            Change::Type(one) => (Kind::Type, &one.name),
            Change::Tenant(one) => (Kind::Tenant, &one.name),
            Change::Pool(one) => (Kind::Pool, &one.name),
            Change::Limits(one) => (Kind::Limits, &one.name),
            Change::RetryAfter(one) => (Kind::RetryAfter, &one.name),
            Change::Budget(one) => (Kind::Budget, &one.name),
            Change::Attempts(one) => (Kind::Attempts, &one.name),
            Change::Health(one) => (Kind::Health, &one.name),
            Change::Route(one, _) => (Kind::Route, &one.name),
            Change::Remove(kind, name) => (*kind, name),
        }
    }

    /// Its turn: what others refer to comes before them.
    fn turn(&self) -> u8 {
        match self {
            Change::Limits(_) | Change::RetryAfter(_) | Change::Budget(_) => 0,
            Change::Attempts(_) | Change::Health(_) => 0,
            Change::Type(_) | Change::Tenant(_) => 1,
            Change::Pool(_) => 2,
            Change::Remove(Kind::Route, _) => 3,
            Change::Route(..) => 4,
            Change::Remove(..) => 5,
        }
    }
}

/// Puts a thing in its place in a list: the one that was there, or none if it is new.
fn put<T: Named>(
    all: &mut Vec<T>,
    names: &mut Names,
    thing: T,
) -> Result<(usize, Option<T>), Refused> {
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

fn find_by_name<T: Named>(all: &[T], name: &str) -> Result<(), Refused> {
    match all.iter().any(|one| one.name() == name) {
        true => Ok(()),
        false => Err(Refused(format!("there is no {} `{name}`", T::WHAT))),
    }
}

fn remove_by_name<T: Named>(all: &mut Vec<T>, name: &str) {
    all.retain(|one| one.name() != name);
}

/// Takes a thing out of its list; the last one takes its place. The place, and where that last one was.
fn take_out<T: Named>(all: &mut Vec<T>, names: &mut Names, name: &str) -> Option<(u16, u16)> {
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
type Undo = Vec<Change>;

impl Table {
    /// Applies a change, whole or not at all.
    ///
    /// # Errors
    /// What cannot be, as [`Table::of`]; a thing that is named twice, or removed while something refers to it.
    pub fn apply(&mut self, changes: &[Change]) -> Result<(), Refused> {
        let mut named = HashSet::with_capacity(changes.len());
        if let Some(twice) = changes.iter().find(|change| !named.insert(change.of())) {
            let (kind, name) = twice.of();
            return Err(Refused(format!(
                "{} `{name}` is named twice in one change",
                kind.word()
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
            if let Change::Remove(kind, name) = change {
                self.remove(*kind, name);
            }
        }
        Ok(())
    }

    fn put_all(&mut self, changes: &[Change], undo: &mut Undo) -> Result<(), Refused> {
        // Pools may fall back on each other: all are there before any says on which.
        for change in changes {
            match change {
                Change::Pool(pool) if self.pool(&pool.name).is_none() => {
                    let bare = schema::Pool {
                        name: pool.name.clone(),
                        ..schema::Pool::default()
                    };
                    undo.push(self.step(Change::Pool(bare))?);
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
            Change::Pool(pool) => self.pool(&pool.name),
            _ => None,
        }) {
            self.chain_ends(usize::from(at))?;
        }
        // What goes refers to nothing any more, so that it may go in any order.
        let gone = || {
            changes
                .iter()
                .filter(|change| change.turn() == 5)
                .map(Change::of)
        };
        for (kind, name) in gone() {
            if let Some(bare) = self.bare(kind, name)? {
                undo.push(self.step(bare)?);
            }
        }
        gone().try_for_each(|(kind, name)| self.may_go(kind, name))
    }

    /// A thing without what it refers to, if it refers to anything; refused if it is not there.
    fn bare(&self, kind: Kind, name: &str) -> Result<Option<Change>, Refused> {
        let (c, index) = (&self.configuration, &self.index);
        Ok(match kind {
            Kind::Type => {
                let there = &c.types[usize::from(index.types.find(&c.types, name)?)];
                Some(Change::Type(schema::TrafficType {
                    limits: String::new(),
                    ..there.clone()
                }))
            }
            Kind::Tenant => {
                let there = &c.tenants[usize::from(index.tenants.find(&c.tenants, name)?)];
                Some(Change::Tenant(schema::Tenant {
                    limits: String::new(),
                    ..there.clone()
                }))
            }
            Kind::Pool => {
                index.pools.find(&c.pools, name)?;
                Some(Change::Pool(schema::Pool {
                    name: name.to_owned(),
                    ..schema::Pool::default()
                }))
            }
            Kind::Limits => index.limits.find(&c.limits, name).map(|_| None)?,
            Kind::RetryAfter => index.retry_after.find(&c.retry_after, name).map(|_| None)?,
            Kind::Budget => index.budgets.find(&c.budgets, name).map(|_| None)?,
            Kind::Attempts => find_by_name(&c.attempts, name).map(|()| None)?,
            Kind::Health => find_by_name(&c.health, name).map(|()| None)?,
            Kind::Route => None,
        })
    }

    /// # Errors
    /// If something refers to it.
    fn may_go(&self, kind: Kind, name: &str) -> Result<(), Refused> {
        let (c, index) = (&self.configuration, &self.index);
        let referred = match kind {
            Kind::Type => {
                let at = index.types.find(&c.types, name)?;
                self.by_type[usize::from(at)] != self.any_type
            }
            Kind::Tenant => self
                .by_tenant
                .contains_key(&index.tenants.find(&c.tenants, name)?),
            Kind::Pool => {
                let at = index.pools.find(&c.pools, name)?;
                let leads = |r: &crate::table::Route| {
                    r.to.iter().any(|to| to.pool == at) || r.fall_back.contains(&at)
                };
                self.routes.iter().any(leads)
                    || self.pools.iter().any(|pool| pool.fall_back == Some(at))
            }
            Kind::Limits => {
                let at = Some(index.limits.find(&c.limits, name)?);
                self.type_limits.contains(&at)
                    || self.tenant_limits.contains(&at)
                    || self.routes.iter().any(|route| route.limits == at)
                    || self.pools.iter().any(|pool| pool.limits == at)
            }
            Kind::RetryAfter => {
                let at = Some(index.retry_after.find(&c.retry_after, name)?);
                let of_pools = self.pools.iter().any(|pool| pool.retry_after == at);
                of_pools || self.routes.iter().any(|route| route.retry_after == at)
            }
            Kind::Budget => {
                let at = Some(index.budgets.find(&c.budgets, name)?);
                self.routes.iter().any(|route| route.budget == at)
            }
            Kind::Attempts | Kind::Health | Kind::Route => false,
        };
        match referred {
            true => Err(Refused(format!(
                "{} `{name}` cannot go: something refers to it",
                kind.word()
            ))),
            false => Ok(()),
        }
    }

    /// Puts or removes one thing; what makes it as before. Nothing has changed if it is refused.
    fn step(&mut self, change: Change) -> Result<Change, Refused> {
        let (kind, name) = change.of();
        let new = Change::Remove(kind, name.to_owned());
        Ok(match change {
            Change::Limits(one) => {
                let compiled = (Rule::from(&one), one.per());
                let (at, before) =
                    put(&mut self.configuration.limits, &mut self.index.limits, one)?;
                set(&mut self.limits, at, compiled);
                before.map_or(new, Change::Limits)
            }
            Change::RetryAfter(one) => {
                let (_, before) = put(
                    &mut self.configuration.retry_after,
                    &mut self.index.retry_after,
                    one,
                )?;
                before.map_or(new, Change::RetryAfter)
            }
            Change::Budget(one) => {
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
                before.map_or(new, Change::Budget)
            }
            Change::Attempts(one) => {
                put_by_name(&mut self.configuration.attempts, one).map_or(new, Change::Attempts)
            }
            Change::Health(one) => {
                put_by_name(&mut self.configuration.health, one).map_or(new, Change::Health)
            }
            Change::Type(one) => {
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
                before.map_or(new, Change::Type)
            }
            Change::Tenant(one) => {
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
                before.map_or(new, Change::Tenant)
            }
            Change::Pool(one) => {
                let compiled = self.compile_pool(&one)?;
                let (at, before) = put(&mut self.configuration.pools, &mut self.index.pools, one)?;
                set(&mut self.pools, at, compiled);
                before.map_or(new, Change::Pool)
            }
            Change::Route(one, before) => self.put_route(one, before.as_deref())?,
            Change::Remove(Kind::Route, name) => {
                let at = usize::from(self.index.routes.find(&self.configuration.routes, &name)?);
                let next = self
                    .configuration
                    .routes
                    .get(at + 1)
                    .map(|next| next.name.clone());
                Change::Route(self.remove_route(at), next)
            }
            // Only to take back what was just put: it is the last of its kind, and nothing refers to it.
            Change::Remove(kind, name) => {
                self.remove(kind, &name);
                Change::Remove(kind, name)
            }
        })
    }

    fn put_route(&mut self, route: schema::Route, before: Option<&str>) -> Result<Change, Refused> {
        let compiled = self.compile_route(&route)?;
        let routes = &self.configuration.routes;
        let place = match before {
            Some(before) => usize::from(self.index.routes.find(routes, before)?),
            None => routes.len(),
        };
        let Some(there) = self.index.routes.get(routes, &route.name).map(usize::from) else {
            rows_fit(self.by_type.len(), self.routes.len() + 1)?;
            if self.routes.len() >= crate::table::MOST {
                return Err(Refused(format!(
                    "more than {} of route",
                    crate::table::MOST
                )));
            }
            self.index.routes.free(routes, &route.name)?;
            let back = Change::Remove(Kind::Route, route.name.clone());
            self.insert_route(place, route, compiled);
            return Ok(back);
        };
        if place == there {
            return Err(Refused(format!(
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
        Ok(Change::Route(old, next))
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
    fn remove(&mut self, kind: Kind, name: &str) {
        let Self {
            configuration: c,
            index,
            pools,
            routes,
            ..
        } = self;
        match kind {
            Kind::Route => {}
            Kind::Attempts => remove_by_name(&mut c.attempts, name),
            Kind::Health => remove_by_name(&mut c.health, name),
            Kind::Type => {
                let Some((at, _)) = take_out(&mut c.types, &mut index.types, name) else {
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
            Kind::Tenant => {
                let Some((at, last)) = take_out(&mut c.tenants, &mut index.tenants, name) else {
                    return;
                };
                self.tenant_limits.swap_remove(usize::from(at));
                if let Some(list) = self.by_tenant.remove(&last) {
                    self.by_tenant.insert(at, list);
                }
            }
            Kind::Pool => {
                let Some(moved) = take_out(&mut c.pools, &mut index.pools, name) else {
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
            Kind::Limits => {
                let Some(moved) = take_out(&mut c.limits, &mut index.limits, name) else {
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
            Kind::RetryAfter => {
                let Some(moved) = take_out(&mut c.retry_after, &mut index.retry_after, name) else {
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
            Kind::Budget => {
                let Some(moved) = take_out(&mut c.budgets, &mut index.budgets, name) else {
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
