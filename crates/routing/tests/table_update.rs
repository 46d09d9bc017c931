//! An update of single entries leads to the same decisions as a full reload, and is applied completely or not at all.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use nanorand::{Rng, WyRand};
use rainstand_config::schema::{self, Configuration, Match, Per, Rate, SplitBy};
use rainstand_config::units::ONE;
use rainstand_routing::router::{Admission, RouteDecision, Router};
use rainstand_routing::table::{Request, Table};
use rainstand_routing::table_update::{EntryKey, EntryKind, TableChange};
use std::time::Duration;

const SECOND: u64 = 1_000_000_000;

struct Random(WyRand);

impl Random {
    fn below(&mut self, n: usize) -> usize {
        self.0.generate_range(0..n)
    }

    fn name(&mut self, kind: &str, of: usize) -> String {
        format!("{kind}{}", self.below(of))
    }

    /// A name of that kind, or an empty one in a third of the cases.
    fn name_or_empty(&mut self, kind: &str, of: usize) -> String {
        if self.below(3) == 0 {
            String::new()
        } else {
            self.name(kind, of)
        }
    }

    /// A sorted list of up to three names, which is not empty in one of `one_in` cases.
    fn names(&mut self, kind: &str, of: usize, one_in: usize) -> Vec<String> {
        let count = if self.below(one_in) == 0 {
            1 + self.below(3)
        } else {
            0
        };
        let mut names: Vec<String> = (0..count).map(|_| self.name(kind, of)).collect();
        names.sort();
        names.dedup();
        names
    }
}

const TYPES: usize = 5;
const TENANTS: usize = 12;
const POOLS: usize = 7;
const LIMITS: usize = 5;
const BUDGETS_AND_BOUNDS: usize = 3;
const ROUTES: usize = 150;

fn random_type(name: String, random: &mut Random) -> schema::TrafficType {
    let limits = random.name_or_empty("l", LIMITS);
    let goal_ns = SECOND * (1 + random.below(5) as u64);
    schema::TrafficType {
        name,
        goal_ns,
        limits,
        ..Default::default()
    }
}

fn random_tenant(name: String, random: &mut Random) -> schema::Tenant {
    schema::Tenant {
        name,
        limits: random.name_or_empty("l", LIMITS),
        ..Default::default()
    }
}

fn random_pool(name: String, random: &mut Random) -> schema::Pool {
    let member = |n| schema::Member {
        address: format!("{name}:{n}"),
        weight: ONE,
        ..Default::default()
    };
    let fall_back = if random.below(3) == 0 {
        random.name("p", POOLS)
    } else {
        String::new()
    };
    schema::Pool {
        members: (0..random.below(3)).map(member).collect(),
        limits: if random.below(3) == 0 {
            random.name("l", LIMITS)
        } else {
            String::new()
        },
        retry_after: random.name_or_empty("a", BUDGETS_AND_BOUNDS),
        fall_back,
        name,
        ..Default::default()
    }
}

fn random_limits(name: String, random: &mut Random) -> schema::Limits {
    let rate = Rate {
        micro_tickets: 1_000_000 * (1 + random.below(40) as u64),
        per_ns: SECOND,
    };
    let per = [Per::All, Per::Tenant, Per::Type, Per::Pool][random.below(4)];
    schema::Limits {
        name,
        rate: (random.below(4) > 0).then_some(rate),
        burst: random.below(5) as u64,
        at_once: random.below(4) as u64 * 2,
        per: per.into(),
    }
}

fn random_route(name: String, random: &mut Random) -> schema::Route {
    let (first, second) = (random.below(POOLS), random.below(POOLS));
    let target = |pool: usize, share| schema::Target {
        pool: format!("p{pool}"),
        share,
    };
    let to = match first == second {
        true => vec![target(first, ONE)],
        false => vec![
            target(first.min(second), 700_000),
            target(first.max(second), 300_000),
        ],
    };
    let patterns = ["NO-*", "NO-1*", "NO-12", "SE"];
    let entities = (0..random.below(3))
        .map(|_| patterns[random.below(4)].to_owned())
        .collect();
    schema::Route {
        name,
        r#match: (random.below(12) > 0).then(|| Match {
            types: random.names("t", TYPES, 2),
            tenants: random.names("c", TENANTS, 2),
            entities,
            again: random.below(3) as i32,
            size_least: random.below(2) as u64,
            size_most: [0, 2][random.below(2)],
        }),
        to,
        split_by: [SplitBy::Chance, SplitBy::Entity][random.below(2)].into(),
        fall_back: if random.below(2) == 0 {
            vec![random.name("p", POOLS)]
        } else {
            vec![]
        },
        limits: random.name_or_empty("l", LIMITS),
        budget: random.name_or_empty("b", BUDGETS_AND_BOUNDS),
        retry_after: random.name_or_empty("a", BUDGETS_AND_BOUNDS),
        ..Default::default()
    }
}

fn random_budget(name: String, random: &mut Random) -> schema::Budget {
    let queue = schema::Stage {
        share: 100_000 * (1 + random.below(5) as u64),
        fixed_ns: 0,
    };
    schema::Budget {
        name,
        queue: Some(queue),
        ..Default::default()
    }
}

fn random_retry_after(name: String, random: &mut Random) -> schema::RetryAfter {
    let least_ns = 1_000_000 * (1 + random.below(50) as u64);
    schema::RetryAfter {
        name,
        least_ns,
        most_ns: SECOND,
    }
}

fn random_configuration(routes: usize, random: &mut Random) -> Configuration {
    let named = |kind: &str, n: usize| (0..n).map(|k| format!("{kind}{k}")).collect::<Vec<_>>();
    let mut configuration = Configuration {
        version: 1,
        types: named("t", TYPES)
            .into_iter()
            .map(|name| random_type(name, random))
            .collect(),
        tenants: named("c", TENANTS)
            .into_iter()
            .map(|name| random_tenant(name, random))
            .collect(),
        pools: named("p", POOLS)
            .into_iter()
            .map(|name| random_pool(name, random))
            .collect(),
        limits: named("l", LIMITS)
            .into_iter()
            .map(|name| random_limits(name, random))
            .collect(),
        budgets: named("b", BUDGETS_AND_BOUNDS)
            .into_iter()
            .map(|name| random_budget(name, random))
            .collect(),
        retry_after: named("a", BUDGETS_AND_BOUNDS)
            .into_iter()
            .map(|name| random_retry_after(name, random))
            .collect(),
        ..Default::default()
    };
    configuration
        .pools
        .iter_mut()
        .for_each(|pool| pool.fall_back.clear());
    configuration.routes = named("r", routes)
        .into_iter()
        .map(|name| random_route(name, random))
        .collect();
    configuration
}

fn put<T>(entries: &mut Vec<T>, name: impl Fn(&T) -> &str, entry: T) {
    match entries
        .iter()
        .position(|existing| name(existing) == name(&entry))
    {
        Some(index) => entries[index] = entry,
        None => entries.push(entry),
    }
}

/// A configuration after random entries were put and removed, and the changes of the equivalent update.
fn random_update(
    configuration: &Configuration,
    random: &mut Random,
) -> (Configuration, Vec<TableChange>) {
    let mut changed = configuration.clone();
    let mut changes: Vec<TableChange> = Vec::new();
    let mut changed_routes = Vec::new();
    for _ in 0..1 + random.below(4) {
        let removes = random.below(4) == 0;
        let kind = [
            (EntryKind::Type, "t", TYPES),
            (EntryKind::Tenant, "c", TENANTS),
            (EntryKind::Pool, "p", POOLS),
            (EntryKind::Limits, "l", LIMITS),
            (EntryKind::Budget, "b", BUDGETS_AND_BOUNDS),
            (EntryKind::RetryAfter, "a", BUDGETS_AND_BOUNDS),
            (EntryKind::Route, "r", ROUTES),
            (EntryKind::Route, "r", ROUTES),
            (EntryKind::Route, "r", ROUTES),
        ][random.below(9)];
        let name = random.name(kind.1, kind.2);
        let kind = kind.0;
        if changes
            .iter()
            .any(|change| change.key() == EntryKey { kind, name: &name })
            || changed_routes.contains(&name)
        {
            continue;
        }
        if removes {
            let before = changed.clone();
            changed
                .types
                .retain(|entry| kind != EntryKind::Type || entry.name != name);
            changed
                .tenants
                .retain(|entry| kind != EntryKind::Tenant || entry.name != name);
            changed
                .pools
                .retain(|entry| kind != EntryKind::Pool || entry.name != name);
            changed
                .limits
                .retain(|entry| kind != EntryKind::Limits || entry.name != name);
            changed
                .budgets
                .retain(|entry| kind != EntryKind::Budget || entry.name != name);
            changed
                .retry_after
                .retain(|entry| kind != EntryKind::RetryAfter || entry.name != name);
            changed
                .routes
                .retain(|entry| kind != EntryKind::Route || entry.name != name);
            if changed != before {
                changes.push(TableChange::Remove(kind, name));
            }
            continue;
        }
        let change = match kind {
            EntryKind::Type => TableChange::Type(random_type(name, random)),
            EntryKind::Tenant => TableChange::Tenant(random_tenant(name, random)),
            EntryKind::Pool => TableChange::Pool(random_pool(name, random)),
            EntryKind::Limits => TableChange::Limits(random_limits(name, random)),
            EntryKind::Budget => TableChange::Budget(random_budget(name, random)),
            EntryKind::RetryAfter => TableChange::RetryAfter(random_retry_after(name, random)),
            _ => {
                let route = random_route(name.clone(), random);
                match changed.routes.iter().position(|entry| entry.name == name) {
                    // Half of the existing routes keep their position.
                    Some(index) if random.below(2) == 0 => changed.routes[index] = route,
                    existing => {
                        existing.map(|index| changed.routes.remove(index));
                        changed
                            .routes
                            .insert(random.below(changed.routes.len() + 1), route);
                    }
                }
                changed_routes.push(name);
                continue;
            }
        };
        match change.clone() {
            TableChange::Type(new) => put(&mut changed.types, |new| &new.name, new),
            TableChange::Tenant(new) => put(&mut changed.tenants, |new| &new.name, new),
            TableChange::Pool(new) => put(&mut changed.pools, |new| &new.name, new),
            TableChange::Limits(new) => put(&mut changed.limits, |new| &new.name, new),
            TableChange::Budget(new) => put(&mut changed.budgets, |new| &new.name, new),
            TableChange::RetryAfter(new) => put(&mut changed.retry_after, |new| &new.name, new),
            _ => unreachable!(),
        }
        changes.push(change);
    }
    for (index, route) in changed
        .routes
        .iter()
        .enumerate()
        .filter(|(_, route)| changed_routes.contains(&route.name))
    {
        let next_route = changed.routes.get(index + 1).map(|next| next.name.clone());
        changes.push(TableChange::Route(route.clone(), next_route));
    }
    (changed, changes)
}

/// The answer to a request, with names instead of indices, and the decision if it was admitted.
fn describe(router: &Router, admission: Admission) -> (String, Option<RouteDecision>) {
    match admission {
        Admission::Admitted(decision) => {
            let text = format!(
                "{} {} {:?} {:?}",
                decision.route, decision.pool, decision.placement.by, decision.times
            );
            (text, Some(decision))
        }
        Admission::Rejected(rejected) => {
            let route = rejected.route.map(|index| router.table().route_name(index));
            (
                format!("{:?} {:?} {route:?}", rejected.reason, rejected.retry_after),
                None,
            )
        }
    }
}

fn assert_names_match_indices(table: &Table) {
    let configuration = table.configuration();
    for (index, entry) in configuration.types.iter().enumerate() {
        assert_eq!(table.request_class(&entry.name), Some(index as u16));
    }
    for (index, entry) in configuration.tenants.iter().enumerate() {
        assert_eq!(table.tenant(&entry.name), Some(index as u16));
    }
    for (index, entry) in configuration.pools.iter().enumerate() {
        assert_eq!(
            (table.pool(&entry.name), table.pool_name(index as u16)),
            (Some(index as u16), &*entry.name)
        );
    }
    for (index, entry) in configuration.routes.iter().enumerate() {
        assert_eq!(table.route_name(index as u16), entry.name);
    }
}

#[test]
fn update_leads_to_the_same_decisions_as_a_full_reload() {
    let (mut applied, mut rejected, mut admitted, mut not_admitted) = (0, 0, 0, 0);
    for seed in 0..60 {
        let mut random = Random(WyRand::new_seed(seed));
        let routes = [0, 3, 63, 64, 65, 130][seed as usize % 6];
        let mut configuration = random_configuration(routes, &mut random);
        let mut updated = Router::new(&configuration, seed).unwrap();
        let mut reloaded = Router::new(&configuration, seed).unwrap();
        let (mut now, mut open) = (Duration::ZERO, Vec::new());
        for round in 0..40 {
            let (next, changes) = random_update(&configuration, &mut random);
            let reload = reloaded.install(&next, now);
            let update = updated.apply(&changes, now);
            match (&reload, &update) {
                (Ok(reload_version), Ok(update_version)) => {
                    assert_eq!(reload_version, update_version);
                    configuration = next;
                    applied += 1;
                }
                (Err(_), Err(_)) => rejected += 1,
                _ => panic!("seed {seed} round {round}: {reload:?} but {update:?} for {changes:?}"),
            }
            assert_names_match_indices(updated.table());
            let updated_configuration = updated.table().configuration();
            assert!(
                updated_configuration.routes == configuration.routes,
                "seed {seed} round {round}: {changes:?}"
            );
            for _ in 0..50 {
                now += Duration::from_millis(random.below(20) as u64);
                let (tenant, unusable) = (random.name("c", TENANTS + 1), random.name("p", POOLS));
                let entity = ["", "NO-1", "NO-12", "NO-2", "SE"][random.below(5)];
                let (class, is_retry) = (random.name("t", TYPES), random.below(3) == 0);
                let size = random.below(4) as u64;
                let mut answers = [&mut updated, &mut reloaded].map(|router| {
                    let table = router.table();
                    let class = table.request_class(&class)?;
                    let tenant = table.tenant(&tenant);
                    let unusable = table.pool(&unusable);
                    let request = Request {
                        request_class: class,
                        tenant,
                        entity,
                        is_retry,
                        size,
                        ..Request::default()
                    };
                    let admission = router.on_arrival(now, &request, |pool| Some(pool) != unusable);
                    Some(describe(router, admission))
                });
                let texts = answers
                    .each_ref()
                    .map(|answer| answer.as_ref().map(|(text, _)| text));
                assert_eq!(texts[0], texts[1], "seed {seed} round {round}: {changes:?}");
                let decisions = answers
                    .each_mut()
                    .map(|answer| answer.as_mut().and_then(|(_, decision)| decision.take()));
                match decisions {
                    [Some(updated_decision), Some(reloaded_decision)] => {
                        admitted += 1;
                        open.push((updated_decision, reloaded_decision));
                    }
                    _ => not_admitted += 1,
                }
                if open.len() > 8 || (random.below(3) == 0 && !open.is_empty()) {
                    let (updated_decision, reloaded_decision) =
                        open.swap_remove(random.below(open.len()));
                    updated.on_completed(updated_decision);
                    reloaded.on_completed(reloaded_decision);
                }
            }
        }
    }
    assert!(
        applied > 800 && rejected > 300,
        "{applied} applied, {rejected} rejected"
    );
    assert!(
        admitted > 30_000 && not_admitted > 10_000,
        "{admitted} admitted, {not_admitted} not admitted"
    );
}

#[test]
fn invalid_update_is_rejected_and_changes_nothing() {
    let mut random = Random(WyRand::new_seed(3));
    let mut configuration = random_configuration(0, &mut random);
    let route = |name: &str, pool: &str| schema::Route {
        name: name.into(),
        to: vec![schema::Target {
            pool: pool.into(),
            share: ONE,
        }],
        r#match: Some(Match {
            types: vec!["t1".into()],
            tenants: vec!["c3".into()],
            ..Default::default()
        }),
        limits: "l0".into(),
        budget: "b0".into(),
        ..Default::default()
    };
    configuration.routes = vec![route("r0", "p0"), route("r1", "p1")];
    configuration.pools[0].retry_after = "a0".into();
    let remove = |kind, name: &str| TableChange::Remove(kind, name.into());
    let pool = |name: &str, fall_back: &str| {
        TableChange::Pool(schema::Pool {
            name: name.into(),
            fall_back: fall_back.into(),
            ..Default::default()
        })
    };
    let tenant = TableChange::Tenant(schema::Tenant {
        name: "new".into(),
        ..Default::default()
    });
    let cases: Vec<(Vec<TableChange>, &str)> = vec![
        (
            vec![tenant.clone(), remove(EntryKind::Tenant, "new")],
            "tenant `new` is changed twice in one update",
        ),
        (
            vec![remove(EntryKind::Tenant, "c3")],
            "tenant `c3` cannot be removed: another entry refers to it",
        ),
        (
            vec![remove(EntryKind::Type, "t1")],
            "type `t1` cannot be removed: another entry refers to it",
        ),
        (
            vec![remove(EntryKind::Pool, "p1")],
            "pool `p1` cannot be removed: another entry refers to it",
        ),
        (
            vec![remove(EntryKind::Limits, "l0")],
            "limits `l0` cannot be removed: another entry refers to it",
        ),
        (
            vec![remove(EntryKind::RetryAfter, "a0")],
            "retry-after `a0` cannot be removed: another entry refers to it",
        ),
        (
            vec![remove(EntryKind::Budget, "b0")],
            "budget `b0` cannot be removed: another entry refers to it",
        ),
        (
            vec![remove(EntryKind::Route, "r9")],
            "there is no route `r9`",
        ),
        (
            vec![remove(EntryKind::Health, "h9")],
            "there is no health `h9`",
        ),
        (
            vec![remove(EntryKind::Attempts, "h9")],
            "there is no attempts `h9`",
        ),
        (
            vec![TableChange::Route(route("r2", "p2"), Some("r9".into()))],
            "there is no route `r9`",
        ),
        (
            vec![TableChange::Route(route("r0", "p2"), Some("r0".into()))],
            "route `r0` cannot be placed before itself",
        ),
        (
            vec![TableChange::Route(route("r2", "p9"), None)],
            "there is no pool `p9`",
        ),
        (
            vec![pool("x", "y"), pool("y", "z"), pool("z", "x")],
            "form a cycle",
        ),
        (
            vec![tenant, remove(EntryKind::Route, "r0"), pool("p1", "p9")],
            "there is no pool `p9`",
        ),
    ];
    let mut router = Router::new(&configuration, 1).unwrap();
    for (changes, expected) in cases {
        let error = router
            .apply(&changes, Duration::ZERO)
            .unwrap_err()
            .to_string();
        assert!(error.contains(expected), "{error}, not {expected}");
        assert_eq!(*router.table().configuration(), configuration, "{expected}");
        assert_names_match_indices(router.table());
    }
    assert_eq!(
        (
            router.counts().versions_rejected,
            router.counts().versions_installed
        ),
        (15, 1)
    );
    // Entries can be removed together with those that refer to them, and pools can be listed in any order.
    let removed_routes = [
        remove(EntryKind::Route, "r0"),
        remove(EntryKind::Route, "r1"),
    ];
    let other_changes = [
        remove(EntryKind::Pool, "p1"),
        remove(EntryKind::Tenant, "c3"),
        pool("x", "y"),
        pool("y", ""),
    ];
    router
        .apply(
            &[
                other_changes,
                [
                    removed_routes[0].clone(),
                    removed_routes[1].clone(),
                    pool("z", "x"),
                    remove(EntryKind::Budget, "b0"),
                ],
            ]
            .concat(),
            Duration::ZERO,
        )
        .unwrap();
    assert_eq!(router.table().configuration().routes, []);
    assert_names_match_indices(router.table());
}
