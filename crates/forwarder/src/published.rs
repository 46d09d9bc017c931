//! A published change as changes of the forwarder's own: what it names, with what belongs to that, and nothing else.
//!
//! A pool comes with all its members as they then are, of which this forwarder takes those that it knows; a route with the
//! one that it then stands before. Kinds that decide nothing about tickets here are left out.

use rainstand_config_distribution::delta::{ConfigState, ResourceBody, ResourceKey};
use rainstand_config_distribution::frames::{Delta, Resource, ResourceKind};
use rainstand_config_distribution::UpdateError;
use rainstand_routing::subset::reduce_pool;
use rainstand_routing::table_update::{EntryKind as Of, TableChange};
use std::collections::{BTreeMap, BTreeSet};

/// What a delta means for forwarder number `me`, from the state that it begins at.
///
/// # Errors
/// A thing that cannot be read: what is checked before it is handed over has none.
pub fn changes(
    state: &ConfigState,
    delta: &Delta,
    me: usize,
) -> Result<Vec<TableChange>, UpdateError> {
    let mut all = Vec::new();
    let (mut pools, mut put_pools) = (BTreeSet::new(), BTreeMap::new());
    // Members of the change, by pool; none: taken out.
    let mut members: BTreeMap<&str, BTreeMap<&str, Option<&Resource>>> = BTreeMap::new();
    let mut routes = BTreeMap::new();
    for named in &delta.removals {
        let kind = match ResourceKind::try_from(named.kind) {
            Ok(ResourceKind::Type) => Of::Type,
            Ok(ResourceKind::Tenant) => Of::Tenant,
            Ok(ResourceKind::Pool) => Of::Pool,
            Ok(ResourceKind::Limits) => Of::Limits,
            Ok(ResourceKind::RetryAfter) => Of::RetryAfter,
            Ok(ResourceKind::Budget) => Of::Budget,
            Ok(ResourceKind::Attempts) => Of::Attempts,
            Ok(ResourceKind::Health) => Of::Health,
            Ok(ResourceKind::Route) => Of::Route,
            Ok(ResourceKind::Member) => {
                pools.insert(&*named.pool);
                members
                    .entry(&named.pool)
                    .or_default()
                    .insert(&named.name, None);
                continue;
            }
            _ => continue,
        };
        let key = ResourceKey {
            kind: ResourceKind::try_from(named.kind).unwrap_or_default(),
            pool: "".into(),
            name: (*named.name).into(),
        };
        // Two changes that were made one may take out what never came in here.
        if state.get(&key).is_some() {
            all.push(TableChange::Remove(kind, named.name.clone()));
        }
    }
    for thing in &delta.upserts {
        all.push(match thing.decode_body()? {
            ResourceBody::Type(one) => TableChange::Type(one),
            ResourceBody::Tenant(one) => TableChange::Tenant(one),
            ResourceBody::Limits(one) => TableChange::Limits(one),
            ResourceBody::RetryAfter(one) => TableChange::RetryAfter(one),
            ResourceBody::Budget(one) => TableChange::Budget(one),
            ResourceBody::Attempts(one) => TableChange::Attempts(one),
            ResourceBody::Health(one) => TableChange::Health(one),
            ResourceBody::Pool(one) => {
                pools.insert(&*thing.name);
                put_pools.insert(&*thing.name, one);
                continue;
            }
            ResourceBody::Member { .. } => {
                pools.insert(&*thing.pool);
                members
                    .entry(&thing.pool)
                    .or_default()
                    .insert(&thing.name, Some(thing));
                continue;
            }
            ResourceBody::Route(one) => {
                routes.insert(thing.rank, one);
                continue;
            }
            _ => continue,
        });
    }
    for name in pools {
        let bare = match put_pools.remove(name) {
            Some(pool) => Some(pool),
            None if delta
                .removals
                .iter()
                .any(|one| one.kind == ResourceKind::Pool as i32 && one.name == name) =>
            {
                None
            }
            None => match state.get(&ResourceKey {
                kind: ResourceKind::Pool,
                pool: "".into(),
                name: name.into(),
            }) {
                Some(thing) => match thing.decode_body()? {
                    ResourceBody::Pool(pool) => Some(pool),
                    _ => None,
                },
                None => None,
            },
        };
        let Some(mut pool) = bare else { continue };
        let there: Vec<Resource> = state.members(name).collect();
        let mut then: BTreeMap<&str, &Resource> =
            there.iter().map(|thing| (&*thing.name, thing)).collect();
        for (member, thing) in members.remove(name).unwrap_or_default() {
            match thing {
                Some(thing) => then.insert(member, thing),
                None => then.remove(member),
            };
        }
        for thing in then.into_values() {
            if let ResourceBody::Member { member, .. } = thing.decode_body()? {
                pool.members.push(member);
            }
        }
        reduce_pool(&mut pool, me);
        all.push(TableChange::Pool(pool));
    }
    if !routes.is_empty() {
        let route = ResourceKind::Route as i32;
        let mut named: BTreeSet<&str> = delta
            .removals
            .iter()
            .filter(|one| one.kind == route)
            .map(|one| &*one.name)
            .collect();
        named.extend(
            delta
                .upserts
                .iter()
                .filter(|one| one.kind == route)
                .map(|one| &*one.name),
        );
        let mut order: BTreeMap<u64, &str> = state
            .routes()
            .filter(|route| !named.contains(route.name))
            .map(|route| (route.rank, route.name))
            .collect();
        order.extend(routes.iter().map(|(rank, route)| (*rank, &*route.name)));
        // In order of rank: those in front come first.
        for (rank, route) in &routes {
            let next = order
                .range(rank + 1..)
                .next()
                .map(|(_, name)| (*name).to_owned());
            all.push(TableChange::Route(route.clone(), next));
        }
    }
    Ok(all)
}
