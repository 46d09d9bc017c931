//! Installs new versions of the configuration, and changes of single entries, while requests are in flight.

use super::pool::{any_warm_up, new_pools, Pool};
use super::{retry_plans, tenant_shares, Fleet};
use crate::table_update::{EntryKind, TableChange};
use crate::tenant_fairness::FairShare;
use crate::ConfigurationError;
use foldhash::HashMap;
use rainstand_config::schema::{self, Configuration};
use std::rc::Rc;
use std::time::Duration;

/// The names of the entries of one kind that the changes add, replace or remove.
fn names(changes: &[TableChange], kind: EntryKind) -> impl Iterator<Item = &str> {
    changes
        .iter()
        .map(TableChange::key)
        .filter(move |key| key.kind == kind)
        .map(|key| key.name)
}

/// Whether the changes remove an entry of this kind, so that indices of others change.
fn removes(changes: &[TableChange], kind: EntryKind) -> bool {
    changes
        .iter()
        .any(|change| matches!(change, TableChange::Remove(removed, _) if *removed == kind))
}

/// Whether the changes name a pool, or the limits or health rules that it refers to.
fn affects(changes: &[TableChange], pool: &schema::Pool) -> bool {
    names(changes, EntryKind::Pool).any(|name| name == pool.name)
        || names(changes, EntryKind::Limits).any(|name| name == pool.limits)
        || names(changes, EntryKind::Health).any(|name| name == pool.health)
}

impl Fleet {
    /// Installs a new version. Members are matched by address: one that stays in its pool keeps its learned state and
    /// its count of attempts in flight. Attempts at a removed member end as usual.
    ///
    /// # Errors
    /// As [`Router::install`](crate::router::Router::install); nothing has changed then.
    pub fn install(
        &mut self,
        configuration: &Configuration,
        now: Duration,
    ) -> Result<u64, ConfigurationError> {
        self.install_owned(configuration.clone(), now)
    }

    /// As [`Fleet::install`], without a copy of the configuration.
    ///
    /// # Errors
    /// As [`Fleet::install`].
    pub fn install_owned(
        &mut self,
        configuration: Configuration,
        now: Duration,
    ) -> Result<u64, ConfigurationError> {
        let key_moves = self.key_moves(&configuration);
        let number = self.router.install_owned(configuration, now)?;
        self.record_key_moves(key_moves, now);
        let configuration = self.router.table().configuration();
        let pools = new_pools(configuration, &self.zone, &mut self.phases, now);
        self.shares = tenant_shares(configuration);
        let old = std::mem::replace(&mut self.pools, pools);
        for before in old {
            let index = self.table().pool(&before.name).map(usize::from);
            let homes = index.map(|index| &self.pools[index].key_homes);
            if homes != Some(&before.key_homes) {
                let former = before.key_homes.clone();
                self.key_history.on_pool_changed(&before.name, former, now);
            }
            if let Some(index) = index {
                self.pools[index].carry(before, now);
            }
        }
        self.rebuild_retry_plans();
        self.reset_indexed_state(number);
        // Retry-afters of members and fair shares refer to tenants and pools by index.
        self.pauses.clear();
        self.fair_shares_since = number;
        Ok(number)
    }

    /// Applies changes of named entries as a new version. All other entries stay unchanged and keep their learned
    /// state. A changed pool must list all its members.
    ///
    /// # Errors
    /// As [`Router::apply`](crate::router::Router::apply); nothing has changed then.
    pub fn apply(
        &mut self,
        changes: &[TableChange],
        now: Duration,
    ) -> Result<u64, ConfigurationError> {
        let routes_before = self.table().route_indices(names(changes, EntryKind::Route));
        let key_moves = self.key_moves_by(changes);
        let number = self.router.apply(changes, now)?;
        self.record_key_moves(key_moves, now);
        self.update_shares(changes);
        let pools_changed = self.update_pools(changes, now);
        let routes = self.table().route_indices(names(changes, EntryKind::Route));
        let routes_moved = routes_before != routes;
        let plan_named = [EntryKind::Route, EntryKind::Attempts]
            .into_iter()
            .any(|kind| names(changes, kind).next().is_some());
        if routes_moved || pools_changed || plan_named {
            self.rebuild_retry_plans();
        }
        let indices_moved = [EntryKind::Tenant, EntryKind::Pool, EntryKind::Type]
            .into_iter()
            .any(|kind| removes(changes, kind));
        if routes_moved || pools_changed || indices_moved {
            self.reset_indexed_state(number);
            self.pauses.clear();
        }
        if indices_moved {
            for pool in &mut self.pools {
                pool.fair_share = FairShare::default();
            }
            self.fair_shares_since = number;
        }
        Ok(number)
    }

    fn update_shares(&mut self, changes: &[TableChange]) {
        let table = self.router.table();
        let configuration = table.configuration();
        if removes(changes, EntryKind::Tenant) {
            self.shares = tenant_shares(configuration);
            return;
        }
        for name in names(changes, EntryKind::Tenant) {
            let Some(changed) = table.tenant(name).map(usize::from) else {
                continue;
            };
            // New tenants have indices after all others.
            for index in self.shares.len().min(changed)..=changed {
                self.shares.set(index, configuration.tenants[index].share);
            }
        }
    }

    /// Rebuilds the pools that the changes affect. Returns whether there were any.
    fn update_pools(&mut self, changes: &[TableChange], now: Duration) -> bool {
        let mut changed = removes(changes, EntryKind::Pool);
        if changed {
            self.reorder_pools(now);
        }
        let configuration = self.router.table().configuration();
        for (index, pool) in configuration.pools.iter().enumerate() {
            if !affects(changes, pool) {
                continue;
            }
            let new = Pool::new(pool, configuration, &self.zone, &mut self.phases, now);
            if let Some(current) = self.pools.get_mut(index) {
                let mut before = std::mem::replace(current, new);
                if current.key_homes != before.key_homes {
                    let former = before.key_homes.clone();
                    self.key_history.on_pool_changed(&before.name, former, now);
                }
                current.fair_share = std::mem::take(&mut before.fair_share);
                current.carry(before, now);
            } else {
                self.pools.push(new);
            }
            changed = true;
        }
        changed
    }

    /// Sorts the pools in the order of the table after one was removed.
    fn reorder_pools(&mut self, now: Duration) {
        let configuration = self.router.table().configuration();
        let mut by_name: HashMap<Rc<str>, Pool> = self
            .pools
            .drain(..)
            .map(|pool| (pool.name.clone(), pool))
            .collect();
        let kept: Vec<Option<Pool>> = configuration
            .pools
            .iter()
            .map(|pool| by_name.remove(pool.name.as_str()))
            .collect();
        for (name, removed) in by_name {
            self.key_history
                .on_pool_changed(&name, removed.key_homes, now);
        }
        let (zone, phases) = (&self.zone, &mut self.phases);
        self.pools = kept
            .into_iter()
            .zip(&configuration.pools)
            .map(|(kept, pool)| {
                kept.unwrap_or_else(|| Pool::new(pool, configuration, zone, phases, now))
            })
            .collect();
    }

    fn rebuild_retry_plans(&mut self) {
        self.retry_plans.clear();
        self.retry_plans.extend(retry_plans(self.router.table()));
    }

    /// Clears state that refers to indices of the previous version.
    fn reset_indexed_state(&mut self, number: u64) {
        self.indices_since = number;
        self.has_warm_up = any_warm_up(&self.pools);
        self.status_changes.clear();
        self.decisions.clear();
    }
}
