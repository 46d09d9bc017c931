//! Applying a delta to the routing table yields the same configuration as a new snapshot, for random configurations.

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

/// A valid configuration of random entries with few different names, so that two versions share some of them.
fn random_configuration(random: &mut WyRand) -> Configuration {
    let mut random_subset = |count: usize| -> Vec<usize> {
        (0..count)
            .filter(|_| random.generate_range(0..3u8) > 0)
            .collect()
    };
    let (limits, tenants, mut pools, mut routes) = (
        random_subset(3),
        random_subset(6),
        random_subset(4),
        random_subset(8),
    );
    let members: Vec<Vec<usize>> = (0..4).map(|_| random_subset(5)).collect();
    if pools.is_empty() {
        pools.push(0);
    }
    random.shuffle(&mut routes);
    let mut pick = |values: &[usize]| values[random.generate_range(0..values.len())];
    let limit_name =
        |limits: &[usize], i: usize| limits.get(i).map_or(String::new(), |n| format!("l{n}"));
    let mut configuration = Configuration {
        version: 1,
        ..Configuration::default()
    };
    let goal = 1_000_000_000;
    configuration.types.push(TrafficType {
        name: "t".into(),
        repeat: 1,
        goal_ns: goal,
        outer_limit_ns: goal * (1 + pick(&[1, 2, 3]) as u64),
        ..TrafficType::default()
    });
    for limit in &limits {
        let at_once = 1 + pick(&[1, 2]) as u64;
        configuration.limits.push(Limits {
            name: format!("l{limit}"),
            at_once,
            ..Limits::default()
        });
    }
    for tenant in &tenants {
        let (share, limits) = (
            pick(&[1, 2, 3]) as u64,
            limit_name(&limits, pick(&[0, 1, 2])),
        );
        configuration.tenants.push(Tenant {
            name: format!("n{tenant}"),
            share,
            limits,
            ..Tenant::default()
        });
    }
    for pool in &pools {
        let member = |index: &usize| Member {
            name: format!("m{index}"),
            address: format!("10.0.{pool}.{index}:1"),
            weight: 1_000_000,
            ..Member::default()
        };
        let know = pick(&[0, 2]) as u64;
        let members = members[*pool].iter().map(member).collect();
        configuration.pools.push(Pool {
            name: format!("p{pool}"),
            members,
            know,
            ..Pool::default()
        });
    }
    for route in &routes {
        let to = vec![Target {
            pool: format!("p{}", pick(&pools)),
            share: 1_000_000,
        }];
        configuration.routes.push(Route {
            name: format!("r{route}"),
            to,
            ..Route::default()
        });
    }
    configuration.put_in_order();
    configuration
}

#[test]
fn applying_a_delta_yields_the_same_configuration_as_replacing_it() {
    let mut random = WyRand::new_seed(7);
    let mut applied_changes = 0;
    for round in 0..3_000 {
        let (before, after) = (
            random_configuration(&mut random),
            random_configuration(&mut random),
        );
        let mut state = ConfigState::from_configuration(&before).unwrap();
        let delta = state.delta_to(1, 2, &after).unwrap();
        let forwarder_number = 1;
        let (mut initial, mut expected) = (state.configuration().unwrap(), after.clone());
        reduce(&mut initial, forwarder_number);
        reduce(&mut expected, forwarder_number);
        let mut table = Table::from_owned(initial).unwrap();
        let changes = table_changes(&state, &delta, forwarder_number).unwrap();
        table
            .apply(&changes)
            .unwrap_or_else(|error| panic!("round {round}: {error:?}\n{changes:#?}"));
        let mut updated = table.configuration().clone();
        updated.put_in_order();
        assert_eq!(updated, expected, "round {round}");
        state.apply(&delta).unwrap();
        applied_changes += changes.len();
    }
    assert!(applied_changes > 10_000, "{applied_changes}");
}
