//! A change of named things against the whole configuration taken anew: the same decisions, whole or not at all.

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

struct Chance(WyRand);

impl Chance {
    fn below(&mut self, n: usize) -> usize {
        self.0.generate_range(0..n)
    }

    fn name(&mut self, kind: &str, of: usize) -> String {
        format!("{kind}{}", self.below(of))
    }

    /// Of a few, none now and then.
    fn or_none(&mut self, kind: &str, of: usize) -> String {
        if self.below(3) == 0 {
            String::new()
        } else {
            self.name(kind, of)
        }
    }

    fn some(&mut self, kind: &str, of: usize, one_in: usize) -> Vec<String> {
        let all = if self.below(one_in) == 0 {
            1 + self.below(3)
        } else {
            0
        };
        let mut names: Vec<String> = (0..all).map(|_| self.name(kind, of)).collect();
        names.sort();
        names.dedup();
        names
    }
}

const TYPES: usize = 5;
const TENANTS: usize = 12;
const POOLS: usize = 7;
const LIMITS: usize = 5;
const FEW: usize = 3;
const ROUTES: usize = 150;

fn a_type(name: String, chance: &mut Chance) -> schema::TrafficType {
    let limits = chance.or_none("l", LIMITS);
    let goal_ns = SECOND * (1 + chance.below(5) as u64);
    schema::TrafficType {
        name,
        goal_ns,
        limits,
        ..Default::default()
    }
}

fn a_tenant(name: String, chance: &mut Chance) -> schema::Tenant {
    schema::Tenant {
        name,
        limits: chance.or_none("l", LIMITS),
        ..Default::default()
    }
}

fn a_pool(name: String, chance: &mut Chance) -> schema::Pool {
    let member = |n| schema::Member {
        address: format!("{name}:{n}"),
        weight: ONE,
        ..Default::default()
    };
    let fall_back = if chance.below(3) == 0 {
        chance.name("p", POOLS)
    } else {
        String::new()
    };
    schema::Pool {
        members: (0..chance.below(3)).map(member).collect(),
        limits: if chance.below(3) == 0 {
            chance.name("l", LIMITS)
        } else {
            String::new()
        },
        retry_after: chance.or_none("a", FEW),
        fall_back,
        name,
        ..Default::default()
    }
}

fn some_limits(name: String, chance: &mut Chance) -> schema::Limits {
    let rate = Rate {
        micro_tickets: 1_000_000 * (1 + chance.below(40) as u64),
        per_ns: SECOND,
    };
    let per = [Per::All, Per::Tenant, Per::Type, Per::Pool][chance.below(4)];
    schema::Limits {
        name,
        rate: (chance.below(4) > 0).then_some(rate),
        burst: chance.below(5) as u64,
        at_once: chance.below(4) as u64 * 2,
        per: per.into(),
    }
}

fn a_route(name: String, chance: &mut Chance) -> schema::Route {
    let (first, second) = (chance.below(POOLS), chance.below(POOLS));
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
    let entities = (0..chance.below(3))
        .map(|_| patterns[chance.below(4)].to_owned())
        .collect();
    schema::Route {
        name,
        r#match: (chance.below(12) > 0).then(|| Match {
            types: chance.some("t", TYPES, 2),
            tenants: chance.some("c", TENANTS, 2),
            entities,
            again: chance.below(3) as i32,
            size_least: chance.below(2) as u64,
            size_most: [0, 2][chance.below(2)],
        }),
        to,
        split_by: [SplitBy::Chance, SplitBy::Entity][chance.below(2)].into(),
        fall_back: if chance.below(2) == 0 {
            vec![chance.name("p", POOLS)]
        } else {
            vec![]
        },
        limits: chance.or_none("l", LIMITS),
        budget: chance.or_none("b", FEW),
        retry_after: chance.or_none("a", FEW),
        ..Default::default()
    }
}

fn a_budget(name: String, chance: &mut Chance) -> schema::Budget {
    let queue = schema::Stage {
        share: 100_000 * (1 + chance.below(5) as u64),
        fixed_ns: 0,
    };
    schema::Budget {
        name,
        queue: Some(queue),
        ..Default::default()
    }
}

fn a_retry_after(name: String, chance: &mut Chance) -> schema::RetryAfter {
    let least_ns = 1_000_000 * (1 + chance.below(50) as u64);
    schema::RetryAfter {
        name,
        least_ns,
        most_ns: SECOND,
    }
}

fn whole(routes: usize, chance: &mut Chance) -> Configuration {
    let named = |kind: &str, n: usize| (0..n).map(|k| format!("{kind}{k}")).collect::<Vec<_>>();
    let mut all = Configuration {
        version: 1,
        types: named("t", TYPES)
            .into_iter()
            .map(|name| a_type(name, chance))
            .collect(),
        tenants: named("c", TENANTS)
            .into_iter()
            .map(|name| a_tenant(name, chance))
            .collect(),
        pools: named("p", POOLS)
            .into_iter()
            .map(|name| a_pool(name, chance))
            .collect(),
        limits: named("l", LIMITS)
            .into_iter()
            .map(|name| some_limits(name, chance))
            .collect(),
        budgets: named("b", FEW)
            .into_iter()
            .map(|name| a_budget(name, chance))
            .collect(),
        retry_after: named("a", FEW)
            .into_iter()
            .map(|name| a_retry_after(name, chance))
            .collect(),
        ..Default::default()
    };
    all.pools.iter_mut().for_each(|pool| pool.fall_back.clear());
    all.routes = named("r", routes)
        .into_iter()
        .map(|name| a_route(name, chance))
        .collect();
    all
}

fn put<T>(all: &mut Vec<T>, name: impl Fn(&T) -> &str, thing: T) {
    match all.iter().position(|one| name(one) == name(&thing)) {
        Some(at) => all[at] = thing,
        None => all.push(thing),
    }
}

/// What a configuration is after some things were put and removed, and the change that says so.
fn some_change(all: &Configuration, chance: &mut Chance) -> (Configuration, Vec<TableChange>) {
    let mut all = all.clone();
    let mut changes: Vec<TableChange> = Vec::new();
    let mut routes = Vec::new();
    for _ in 0..1 + chance.below(4) {
        let removes = chance.below(4) == 0;
        let kind = [
            (EntryKind::Type, "t", TYPES),
            (EntryKind::Tenant, "c", TENANTS),
            (EntryKind::Pool, "p", POOLS),
            (EntryKind::Limits, "l", LIMITS),
            (EntryKind::Budget, "b", FEW),
            (EntryKind::RetryAfter, "a", FEW),
            (EntryKind::Route, "r", ROUTES),
            (EntryKind::Route, "r", ROUTES),
            (EntryKind::Route, "r", ROUTES),
        ][chance.below(9)];
        let name = chance.name(kind.1, kind.2);
        let kind = kind.0;
        if changes
            .iter()
            .any(|change| change.key() == EntryKey { kind, name: &name })
            || routes.contains(&name)
        {
            continue;
        }
        if removes {
            let before = all.clone();
            all.types
                .retain(|one| kind != EntryKind::Type || one.name != name);
            all.tenants
                .retain(|one| kind != EntryKind::Tenant || one.name != name);
            all.pools
                .retain(|one| kind != EntryKind::Pool || one.name != name);
            all.limits
                .retain(|one| kind != EntryKind::Limits || one.name != name);
            all.budgets
                .retain(|one| kind != EntryKind::Budget || one.name != name);
            all.retry_after
                .retain(|one| kind != EntryKind::RetryAfter || one.name != name);
            all.routes
                .retain(|one| kind != EntryKind::Route || one.name != name);
            if all != before {
                changes.push(TableChange::Remove(kind, name));
            }
            continue;
        }
        let change = match kind {
            EntryKind::Type => TableChange::Type(a_type(name, chance)),
            EntryKind::Tenant => TableChange::Tenant(a_tenant(name, chance)),
            EntryKind::Pool => TableChange::Pool(a_pool(name, chance)),
            EntryKind::Limits => TableChange::Limits(some_limits(name, chance)),
            EntryKind::Budget => TableChange::Budget(a_budget(name, chance)),
            EntryKind::RetryAfter => TableChange::RetryAfter(a_retry_after(name, chance)),
            _ => {
                let route = a_route(name.clone(), chance);
                match all.routes.iter().position(|one| one.name == name) {
                    // Half of those that are there stay in their place.
                    Some(at) if chance.below(2) == 0 => all.routes[at] = route,
                    there => {
                        there.map(|at| all.routes.remove(at));
                        all.routes.insert(chance.below(all.routes.len() + 1), route);
                    }
                }
                routes.push(name);
                continue;
            }
        };
        match change.clone() {
            TableChange::Type(one) => put(&mut all.types, |one| &one.name, one),
            TableChange::Tenant(one) => put(&mut all.tenants, |one| &one.name, one),
            TableChange::Pool(one) => put(&mut all.pools, |one| &one.name, one),
            TableChange::Limits(one) => put(&mut all.limits, |one| &one.name, one),
            TableChange::Budget(one) => put(&mut all.budgets, |one| &one.name, one),
            TableChange::RetryAfter(one) => put(&mut all.retry_after, |one| &one.name, one),
            _ => unreachable!(),
        }
        changes.push(change);
    }
    for (at, route) in all
        .routes
        .iter()
        .enumerate()
        .filter(|(_, route)| routes.contains(&route.name))
    {
        let before = all.routes.get(at + 1).map(|next| next.name.clone());
        changes.push(TableChange::Route(route.clone(), before));
    }
    (all, changes)
}

/// What a request was told, in names.
fn told(router: &Router, verdict: Admission) -> (String, Option<RouteDecision>) {
    match verdict {
        Admission::Admitted(way) => {
            let told = format!(
                "{} {} {:?} {:?}",
                way.route, way.pool, way.placement.by, way.times
            );
            (told, Some(way))
        }
        Admission::Rejected(turned) => {
            let route = turned.route.map(|at| router.table().route_name(at));
            (
                format!("{:?} {:?} {route:?}", turned.reason, turned.after),
                None,
            )
        }
    }
}

fn names_lead_home(table: &Table) {
    let c = table.configuration();
    for (at, one) in c.types.iter().enumerate() {
        assert_eq!(table.request_class(&one.name), Some(at as u16));
    }
    for (at, one) in c.tenants.iter().enumerate() {
        assert_eq!(table.tenant(&one.name), Some(at as u16));
    }
    for (at, one) in c.pools.iter().enumerate() {
        assert_eq!(
            (table.pool(&one.name), table.pool_name(at as u16)),
            (Some(at as u16), &*one.name)
        );
    }
    for (at, one) in c.routes.iter().enumerate() {
        assert_eq!(table.route_name(at as u16), one.name);
    }
}

#[test]
fn an_update_decides_as_a_full_reload() {
    let (mut taken, mut refused, mut went, mut turned) = (0, 0, 0, 0);
    for seed in 0..60 {
        let mut chance = Chance(WyRand::new_seed(seed));
        let routes = [0, 3, 63, 64, 65, 130][seed as usize % 6];
        let mut all = whole(routes, &mut chance);
        let mut by_change = Router::new(&all, seed).unwrap();
        let mut by_whole = Router::new(&all, seed).unwrap();
        let (mut now, mut open) = (Duration::ZERO, Vec::new());
        for step in 0..40 {
            let (next, changes) = some_change(&all, &mut chance);
            let whole = by_whole.install(&next, now);
            let change = by_change.apply(&changes, now);
            match (&whole, &change) {
                (Ok(one), Ok(other)) => {
                    assert_eq!(one, other);
                    all = next;
                    taken += 1;
                }
                (Err(_), Err(_)) => refused += 1,
                _ => panic!("seed {seed} step {step}: {whole:?} but {change:?} for {changes:?}"),
            }
            names_lead_home(by_change.table());
            let c = by_change.table().configuration();
            assert!(
                c.routes == all.routes,
                "seed {seed} step {step}: {changes:?}"
            );
            for _ in 0..50 {
                now += Duration::from_millis(chance.below(20) as u64);
                let (tenant, out) = (chance.name("c", TENANTS + 1), chance.name("p", POOLS));
                let entity = ["", "NO-1", "NO-12", "NO-2", "SE"][chance.below(5)];
                let (traffic, again) = (chance.name("t", TYPES), chance.below(3) == 0);
                let size = chance.below(4) as u64;
                let mut both = [&mut by_change, &mut by_whole].map(|router| {
                    let table = router.table();
                    let traffic = table.request_class(&traffic)?;
                    let tenant = table.tenant(&tenant);
                    let out = table.pool(&out);
                    let request = Request {
                        request_class: traffic,
                        tenant,
                        entity,
                        is_retry: again,
                        size,
                        ..Request::default()
                    };
                    let verdict = router.on_arrival(now, &request, |pool| Some(pool) != out);
                    Some(told(router, verdict))
                });
                let words = both
                    .each_ref()
                    .map(|told| told.as_ref().map(|(words, _)| words));
                assert_eq!(words[0], words[1], "seed {seed} step {step}: {changes:?}");
                let ways = both
                    .each_mut()
                    .map(|told| told.as_mut().and_then(|(_, way)| way.take()));
                match ways {
                    [Some(one), Some(other)] => {
                        went += 1;
                        open.push((one, other));
                    }
                    _ => turned += 1,
                }
                if open.len() > 8 || (chance.below(3) == 0 && !open.is_empty()) {
                    let (one, other) = open.swap_remove(chance.below(open.len()));
                    by_change.on_completed(one);
                    by_whole.on_completed(other);
                }
            }
        }
    }
    assert!(
        taken > 800 && refused > 300,
        "{taken} taken, {refused} refused"
    );
    assert!(
        went > 30_000 && turned > 10_000,
        "{went} went, {turned} turned away"
    );
}

#[test]
fn an_invalid_update_is_refused_and_changes_nothing() {
    let mut chance = Chance(WyRand::new_seed(3));
    let mut all = whole(0, &mut chance);
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
    all.routes = vec![route("r0", "p0"), route("r1", "p1")];
    all.pools[0].retry_after = "a0".into();
    let gone = |kind, name: &str| TableChange::Remove(kind, name.into());
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
    let table: Vec<(Vec<TableChange>, &str)> = vec![
        (
            vec![tenant.clone(), gone(EntryKind::Tenant, "new")],
            "tenant `new` is named twice in one change",
        ),
        (
            vec![gone(EntryKind::Tenant, "c3")],
            "tenant `c3` cannot go: something refers to it",
        ),
        (
            vec![gone(EntryKind::Type, "t1")],
            "type `t1` cannot go: something refers to it",
        ),
        (
            vec![gone(EntryKind::Pool, "p1")],
            "pool `p1` cannot go: something refers to it",
        ),
        (
            vec![gone(EntryKind::Limits, "l0")],
            "limits `l0` cannot go: something refers to it",
        ),
        (
            vec![gone(EntryKind::RetryAfter, "a0")],
            "retry-after `a0` cannot go: something refers to it",
        ),
        (
            vec![gone(EntryKind::Budget, "b0")],
            "budget `b0` cannot go: something refers to it",
        ),
        (vec![gone(EntryKind::Route, "r9")], "there is no route `r9`"),
        (
            vec![gone(EntryKind::Health, "h9")],
            "there is no health `h9`",
        ),
        (
            vec![gone(EntryKind::Attempts, "h9")],
            "there is no attempts `h9`",
        ),
        (
            vec![TableChange::Route(route("r2", "p2"), Some("r9".into()))],
            "there is no route `r9`",
        ),
        (
            vec![TableChange::Route(route("r0", "p2"), Some("r0".into()))],
            "route `r0` cannot stand before itself",
        ),
        (
            vec![TableChange::Route(route("r2", "p9"), None)],
            "there is no pool `p9`",
        ),
        (
            vec![pool("x", "y"), pool("y", "z"), pool("z", "x")],
            "falls back in a ring",
        ),
        (
            vec![tenant, gone(EntryKind::Route, "r0"), pool("p1", "p9")],
            "there is no pool `p9`",
        ),
    ];
    let mut router = Router::new(&all, 1).unwrap();
    for (changes, wanted) in table {
        let refused = router
            .apply(&changes, Duration::ZERO)
            .unwrap_err()
            .to_string();
        assert!(refused.contains(wanted), "{refused}, not {wanted}");
        assert_eq!(*router.table().configuration(), all, "{wanted}");
        names_lead_home(router.table());
    }
    assert_eq!(
        (
            router.counts().versions_rejected,
            router.counts().versions_installed
        ),
        (15, 1)
    );
    // Together with what refers to them they may go; and pools may be told in any order.
    let routes = [gone(EntryKind::Route, "r0"), gone(EntryKind::Route, "r1")];
    let others = [
        gone(EntryKind::Pool, "p1"),
        gone(EntryKind::Tenant, "c3"),
        pool("x", "y"),
        pool("y", ""),
    ];
    router
        .apply(
            &[
                others,
                [
                    routes[0].clone(),
                    routes[1].clone(),
                    pool("z", "x"),
                    gone(EntryKind::Budget, "b0"),
                ],
            ]
            .concat(),
            Duration::ZERO,
        )
        .unwrap();
    assert_eq!(router.table().configuration().routes, []);
    names_lead_home(router.table());
}
