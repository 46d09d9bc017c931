//! Translates a delta of the configuration into changes of the routing table.
//!
//! Only resources that the delta names, and those that belong to them, are changed: a pool together with all of its
//! members, of which the forwarder uses its subset, and a route together with the route that follows it. Resource kinds
//! that do not affect routing are ignored.

use rainstand_config::schema::{Pool, Route};
use rainstand_config_distribution::delta::{ConfigState, ResourceBody, ResourceKey};
use rainstand_config_distribution::frames::{Delta, Resource, ResourceKind};
use rainstand_config_distribution::UpdateError;
use rainstand_routing::subset::reduce_pool;
use rainstand_routing::table_update::{EntryKind, TableChange};
use std::collections::{BTreeMap, BTreeSet};

/// The changes that `delta`, applied to `state`, makes to the routing table of forwarder `forwarder_number`.
///
/// # Errors
/// [`UpdateError::InvalidResource`] for a resource that cannot be decoded; a validated delta has none.
pub fn table_changes(
    state: &ConfigState,
    delta: &Delta,
    forwarder_number: usize,
) -> Result<Vec<TableChange>, UpdateError> {
    let mut translation = Translation {
        state,
        delta,
        forwarder_number,
        changes: Vec::new(),
    };
    let mut pools = PoolUpdates::default();
    let mut routes = BTreeMap::new();
    translation.add_removals(&mut pools);
    translation.add_upserts(&mut pools, &mut routes)?;
    translation.add_pools(pools)?;
    translation.add_routes(&routes);
    Ok(translation.changes)
}

/// Pools that a delta changes, by name.
#[derive(Default)]
struct PoolUpdates<'delta> {
    /// Every pool that is upserted, or that has an upserted or removed member.
    names: BTreeSet<&'delta str>,
    /// Upserted pools, without members.
    upserted: BTreeMap<&'delta str, Pool>,
    /// Changed members by pool and name; `None` for a removed one.
    members: BTreeMap<&'delta str, BTreeMap<&'delta str, Option<&'delta Resource>>>,
}

impl<'delta> PoolUpdates<'delta> {
    fn add_pool(&mut self, name: &'delta str, pool: Pool) {
        self.names.insert(name);
        self.upserted.insert(name, pool);
    }

    fn add_member(
        &mut self,
        pool: &'delta str,
        name: &'delta str,
        member: Option<&'delta Resource>,
    ) {
        self.names.insert(pool);
        self.members.entry(pool).or_default().insert(name, member);
    }
}

struct Translation<'delta> {
    /// The state that the delta applies to.
    state: &'delta ConfigState,
    delta: &'delta Delta,
    forwarder_number: usize,
    changes: Vec<TableChange>,
}

impl<'delta> Translation<'delta> {
    fn add_removals(&mut self, pools: &mut PoolUpdates<'delta>) {
        for removal in &self.delta.removals {
            let kind = ResourceKind::try_from(removal.kind).unwrap_or_default();
            if kind == ResourceKind::Member {
                pools.add_member(&removal.pool, &removal.name, None);
                continue;
            }
            let Some(table_kind) = table_kind(kind) else {
                continue;
            };
            // A merged delta can remove resources that this forwarder never had.
            let key = ResourceKey::new(kind, &removal.name);
            if self.state.get(&key).is_some() {
                self.changes
                    .push(TableChange::Remove(table_kind, removal.name.clone()));
            }
        }
    }

    /// Adds upserts; collects those of pools, members and routes, which are translated later.
    fn add_upserts(
        &mut self,
        pools: &mut PoolUpdates<'delta>,
        routes: &mut BTreeMap<u64, Route>,
    ) -> Result<(), UpdateError> {
        for resource in &self.delta.upserts {
            let change = match resource.decode_body()? {
                ResourceBody::Type(request_class) => TableChange::Type(request_class),
                ResourceBody::Tenant(tenant) => TableChange::Tenant(tenant),
                ResourceBody::Limits(limits) => TableChange::Limits(limits),
                ResourceBody::RetryAfter(retry_after) => TableChange::RetryAfter(retry_after),
                ResourceBody::Budget(budget) => TableChange::Budget(budget),
                ResourceBody::Attempts(attempts) => TableChange::Attempts(attempts),
                ResourceBody::Health(health) => TableChange::Health(health),
                ResourceBody::Pool(pool) => {
                    pools.add_pool(&resource.name, pool);
                    continue;
                }
                ResourceBody::Member { .. } => {
                    pools.add_member(&resource.pool, &resource.name, Some(resource));
                    continue;
                }
                ResourceBody::Route(route) => {
                    routes.insert(resource.rank, route);
                    continue;
                }
                _ => continue,
            };
            self.changes.push(change);
        }
        Ok(())
    }

    fn add_pools(&mut self, mut updates: PoolUpdates<'delta>) -> Result<(), UpdateError> {
        for name in updates.names {
            let base = match updates.upserted.remove(name) {
                Some(pool) => Some(pool),
                None => self.remaining_pool(name)?,
            };
            let Some(mut pool) = base else { continue };
            let changed_members = updates.members.remove(name).unwrap_or_default();
            self.add_members(&mut pool, name, changed_members)?;
            reduce_pool(&mut pool, self.forwarder_number);
            self.changes.push(TableChange::Pool(pool));
        }
        Ok(())
    }

    /// The pool as in `state`, without members; `None` if it does not exist or the delta removes it.
    fn remaining_pool(&self, name: &str) -> Result<Option<Pool>, UpdateError> {
        let is_removed = self
            .delta
            .removals
            .iter()
            .any(|removal| removal.kind == ResourceKind::Pool as i32 && removal.name == name);
        if is_removed {
            return Ok(None);
        }
        let Some(resource) = self.state.get(&ResourceKey::new(ResourceKind::Pool, name)) else {
            return Ok(None);
        };
        match resource.decode_body()? {
            ResourceBody::Pool(pool) => Ok(Some(pool)),
            _ => Ok(None),
        }
    }

    /// Adds the members that the pool has after the delta.
    fn add_members(
        &self,
        pool: &mut Pool,
        name: &str,
        changed: BTreeMap<&str, Option<&Resource>>,
    ) -> Result<(), UpdateError> {
        let current: Vec<Resource> = self.state.members(name).collect();
        let mut members: BTreeMap<&str, &Resource> = current
            .iter()
            .map(|resource| (&*resource.name, resource))
            .collect();
        for (member, resource) in changed {
            match resource {
                Some(resource) => members.insert(member, resource),
                None => members.remove(member),
            };
        }
        for resource in members.into_values() {
            if let ResourceBody::Member { member, .. } = resource.decode_body()? {
                pool.members.push(member);
            }
        }
        Ok(())
    }

    /// Adds the upserted `routes` by rank, each with the name of the route that follows it after the delta.
    fn add_routes(&mut self, routes: &BTreeMap<u64, Route>) {
        if routes.is_empty() {
            return;
        }
        let changed = self.changed_routes();
        let mut order: BTreeMap<u64, &str> = self
            .state
            .routes()
            .filter(|route| !changed.contains(route.name))
            .map(|route| (route.rank, route.name))
            .collect();
        order.extend(routes.iter().map(|(rank, route)| (*rank, &*route.name)));
        for (rank, route) in routes {
            let next = order
                .range(rank + 1..)
                .next()
                .map(|(_, name)| (*name).to_owned());
            self.changes.push(TableChange::Route(route.clone(), next));
        }
    }

    /// Names of the routes that the delta removes or upserts.
    fn changed_routes(&self) -> BTreeSet<&'delta str> {
        let route = ResourceKind::Route as i32;
        let removals = self.delta.removals.iter();
        let removed = removals
            .filter(|removal| removal.kind == route)
            .map(|removal| &*removal.name);
        let upserts = self.delta.upserts.iter();
        let upserted = upserts
            .filter(|resource| resource.kind == route)
            .map(|resource| &*resource.name);
        removed.chain(upserted).collect()
    }
}

/// The table entry kind of a resource that is removed by name alone; `None` for members, and for resources that do not
/// affect routing.
fn table_kind(kind: ResourceKind) -> Option<EntryKind> {
    match kind {
        ResourceKind::Type => Some(EntryKind::Type),
        ResourceKind::Tenant => Some(EntryKind::Tenant),
        ResourceKind::Pool => Some(EntryKind::Pool),
        ResourceKind::Limits => Some(EntryKind::Limits),
        ResourceKind::RetryAfter => Some(EntryKind::RetryAfter),
        ResourceKind::Budget => Some(EntryKind::Budget),
        ResourceKind::Attempts => Some(EntryKind::Attempts),
        ResourceKind::Health => Some(EntryKind::Health),
        ResourceKind::Route => Some(EntryKind::Route),
        _ => None,
    }
}
