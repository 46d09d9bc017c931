//! A published change as changes of the forwarder's own: what it names, with what belongs to that, and nothing else.
//!
//! A pool comes with all its members as they then are, of which this forwarder takes those that it knows; a route with the
//! one that it then stands before. Kinds that decide nothing about tickets here are left out.

use rainstand_config_distribution::delta::{Item, Key, State};
use rainstand_config_distribution::frames::{Delta, Kind, Thing};
use rainstand_config_distribution::Refused;
use rainstand_routing::change::{Change, Kind as Of};
use rainstand_routing::subset::reduce_pool;
use std::collections::{BTreeMap, BTreeSet};

/// What a delta means for forwarder number `me`, from the state that it begins at.
///
/// # Errors
/// A thing that cannot be read: what is checked before it is handed over has none.
pub fn changes(state: &State, delta: &Delta, me: usize) -> Result<Vec<Change>, Refused> {
    let mut all = Vec::new();
    let (mut pools, mut put_pools) = (BTreeSet::new(), BTreeMap::new());
    // Members of the change, by pool; none: taken out.
    let mut members: BTreeMap<&str, BTreeMap<&str, Option<&Thing>>> = BTreeMap::new();
    let mut routes = BTreeMap::new();
    for named in &delta.removals {
        let kind = match Kind::try_from(named.kind) {
            Ok(Kind::Type) => Of::Type,
            Ok(Kind::Tenant) => Of::Tenant,
            Ok(Kind::Pool) => Of::Pool,
            Ok(Kind::Limits) => Of::Limits,
            Ok(Kind::RetryAfter) => Of::RetryAfter,
            Ok(Kind::Budget) => Of::Budget,
            Ok(Kind::Attempts) => Of::Attempts,
            Ok(Kind::Health) => Of::Health,
            Ok(Kind::Route) => Of::Route,
            Ok(Kind::Member) => {
                pools.insert(&*named.pool);
                members
                    .entry(&named.pool)
                    .or_default()
                    .insert(&named.name, None);
                continue;
            }
            _ => continue,
        };
        let key = Key {
            kind: Kind::try_from(named.kind).unwrap_or_default(),
            pool: "".into(),
            name: (*named.name).into(),
        };
        // Two changes that were made one may take out what never came in here.
        if state.get(&key).is_some() {
            all.push(Change::Remove(kind, named.name.clone()));
        }
    }
    for thing in &delta.puts {
        all.push(match thing.item()? {
            Item::Type(one) => Change::Type(one),
            Item::Tenant(one) => Change::Tenant(one),
            Item::Limits(one) => Change::Limits(one),
            Item::RetryAfter(one) => Change::RetryAfter(one),
            Item::Budget(one) => Change::Budget(one),
            Item::Attempts(one) => Change::Attempts(one),
            Item::Health(one) => Change::Health(one),
            Item::Pool(one) => {
                pools.insert(&*thing.name);
                put_pools.insert(&*thing.name, one);
                continue;
            }
            Item::Member { .. } => {
                pools.insert(&*thing.pool);
                members
                    .entry(&thing.pool)
                    .or_default()
                    .insert(&thing.name, Some(thing));
                continue;
            }
            Item::Route(one) => {
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
                .any(|one| one.kind == Kind::Pool as i32 && one.name == name) =>
            {
                None
            }
            None => match state.get(&Key {
                kind: Kind::Pool,
                pool: "".into(),
                name: name.into(),
            }) {
                Some(thing) => match thing.item()? {
                    Item::Pool(pool) => Some(pool),
                    _ => None,
                },
                None => None,
            },
        };
        let Some(mut pool) = bare else { continue };
        let there: Vec<Thing> = state.members(name).collect();
        let mut then: BTreeMap<&str, &Thing> =
            there.iter().map(|thing| (&*thing.name, thing)).collect();
        for (member, thing) in members.remove(name).unwrap_or_default() {
            match thing {
                Some(thing) => then.insert(member, thing),
                None => then.remove(member),
            };
        }
        for thing in then.into_values() {
            if let Item::Member { member, .. } = thing.item()? {
                pool.members.push(member);
            }
        }
        reduce_pool(&mut pool, me);
        all.push(Change::Pool(pool));
    }
    if !routes.is_empty() {
        let route = Kind::Route as i32;
        let mut named: BTreeSet<&str> = delta
            .removals
            .iter()
            .filter(|one| one.kind == route)
            .map(|one| &*one.name)
            .collect();
        named.extend(
            delta
                .puts
                .iter()
                .filter(|one| one.kind == route)
                .map(|one| &*one.name),
        );
        let mut order: BTreeMap<u64, &str> = state
            .routes()
            .filter(|(_, name)| !named.contains(name))
            .collect();
        order.extend(routes.iter().map(|(rank, route)| (*rank, &*route.name)));
        // In order of rank: those in front come first.
        for (rank, route) in &routes {
            let next = order
                .range(rank + 1..)
                .next()
                .map(|(_, name)| (*name).to_owned());
            all.push(Change::Route(route.clone(), next));
        }
    }
    Ok(all)
}
