//! Nodes that start while others are full, out or cold too, before 1, 20 and 30 forwarders with dispatchers that send
//! second copies and come again: no second of a cold node is further past its part than chance, and service is back.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_fleet_model::plan::{Fault, FrontPlan, NodeKind, NodePlan, Plan, Trouble, Whom};
use rainstand_fleet_model::world;
use std::time::Duration;

const MS: fn(u64) -> Duration = Duration::from_millis;

/// Ten nodes that do 200 tickets a second each, and a third as many at first.
fn plan(fronts: u32, load: f64, fault: (Trouble, f64), seed: u64) -> Plan {
    let mut plan = Plan {
        seed,
        lasts: Duration::from_secs(16),
        ..Plan::default()
    };
    plan.nodes = NodePlan {
        cold: Some((MS(3_000), 3.0)),
        crowding: 0.1,
        ..plan.nodes
    };
    plan.fronts = FrontPlan {
        count: fronts,
        warm_rate: 200,
        ..plan.fronts
    };
    plan.habits.second_copy = Some(MS(400));
    plan.load = vec![(Duration::ZERO, load)];
    let (trouble, share) = fault;
    plan.faults = vec![Fault {
        from: MS(6_000),
        to: MS(8_000),
        trouble,
        whom: Whom::Share(share),
    }];
    plan
}

#[test]
fn no_second_of_a_cold_node_is_past_its_part() {
    for fronts in [1, 20, 30] {
        for fault in [
            (Trouble::Die, 0.5),
            (Trouble::Die, 1.0),
            (Trouble::Deploy(MS(300)), 1.0),
        ] {
            for load in [0.6, 1.3] {
                let mut plan = plan(fronts, load, fault, 7);
                if load > 1.0 {
                    plan.nodes.kind = NodeKind::Ours;
                }
                let m = world::run(&plan).unwrap();
                let name = format!("{fronts} forwarders, load {load}, {fault:?}");
                assert_eq!(m.broken.as_ref().map(ToString::to_string), None, "{name}");
                assert!(
                    m.cold_tries > 500,
                    "{name}: {} tries at cold nodes",
                    m.cold_tries
                );
                assert!(
                    m.cold_over <= 1.0,
                    "{name}: past it by {:.2} of what may be chance",
                    m.cold_over
                );
                // Four seconds after the last one started all is as it was.
                let after = m.good_between(12, 16);
                assert!(load > 1.0 || after > 0.99, "{name}: {after} after");
            }
        }
    }
}
