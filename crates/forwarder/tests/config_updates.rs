//! A published change applied as a change leads to what the whole says, at drawn configurations.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use nanorand::{Rng, WyRand};
use rainstand_config::schema::{
    Configuration, Limits, Member, Pool, Route, Target, Tenant, TrafficType,
};
use rainstand_config_distribution::delta::ConfigState;
use rainstand_forwarder::config_updates::table_changes;
use rainstand_routing::subset::reduce;
use rainstand_routing::table::Table;

/// A usable configuration of drawn things under few names, so that versions share some and not others.
fn drawn(chance: &mut WyRand) -> Configuration {
    let mut some = |of: usize| -> Vec<usize> {
        (0..of)
            .filter(|_| chance.generate_range(0..3u8) > 0)
            .collect()
    };
    let (limits, tenants, mut pools, mut routes) = (some(3), some(6), some(4), some(8));
    let members: Vec<Vec<usize>> = (0..4).map(|_| some(5)).collect();
    if pools.is_empty() {
        pools.push(0);
    }
    chance.shuffle(&mut routes);
    let mut one_of = |all: &[usize]| all[chance.generate_range(0..all.len())];
    let none_or =
        |all: &[usize], at: usize| all.get(at).map_or(String::new(), |one| format!("l{one}"));
    let mut made = Configuration {
        version: 1,
        ..Configuration::default()
    };
    let goal = 1_000_000_000;
    made.types.push(TrafficType {
        name: "t".into(),
        repeat: 1,
        goal_ns: goal,
        outer_limit_ns: goal * (1 + one_of(&[1, 2, 3]) as u64),
        ..TrafficType::default()
    });
    for one in &limits {
        let at_once = 1 + one_of(&[1, 2]) as u64;
        made.limits.push(Limits {
            name: format!("l{one}"),
            at_once,
            ..Limits::default()
        });
    }
    for one in &tenants {
        let (share, limits) = (
            one_of(&[1, 2, 3]) as u64,
            none_or(&limits, one_of(&[0, 1, 2])),
        );
        made.tenants.push(Tenant {
            name: format!("n{one}"),
            share,
            limits,
            ..Tenant::default()
        });
    }
    for one in &pools {
        let member = |k: &usize| Member {
            name: format!("m{k}"),
            address: format!("10.0.{one}.{k}:1"),
            weight: 1_000_000,
            ..Member::default()
        };
        let know = one_of(&[0, 2]) as u64;
        let members = members[*one].iter().map(member).collect();
        made.pools.push(Pool {
            name: format!("p{one}"),
            members,
            know,
            ..Pool::default()
        });
    }
    for one in &routes {
        let to = vec![Target {
            pool: format!("p{}", one_of(&pools)),
            share: 1_000_000,
        }];
        made.routes.push(Route {
            name: format!("r{one}"),
            to,
            ..Route::default()
        });
    }
    made.put_in_order();
    made
}

#[test]
fn applying_a_delta_equals_replacing_the_configuration() {
    let mut chance = WyRand::new_seed(7);
    let mut applied = 0;
    for round in 0..3_000 {
        let (before, after) = (drawn(&mut chance), drawn(&mut chance));
        let mut state = ConfigState::from_configuration(&before).unwrap();
        let delta = state.delta_to(1, 2, &after).unwrap();
        let me = 1;
        let (mut small, mut whole) = (state.configuration().unwrap(), after.clone());
        reduce(&mut small, me);
        reduce(&mut whole, me);
        let mut table = Table::of(small).unwrap();
        let changes = table_changes(&state, &delta, me).unwrap();
        table
            .apply(&changes)
            .unwrap_or_else(|why| panic!("round {round}: {why:?}\n{changes:#?}"));
        let mut then = table.configuration().clone();
        then.put_in_order();
        assert_eq!(then, whole, "round {round}");
        state.apply(&delta).unwrap();
        applied += changes.len();
    }
    assert!(applied > 10_000, "{applied}");
}
