//! Nodes that start while others are full, down or cold, with 1, 20 and 30 forwarders and clients that send hedged
//! requests and retries: the load of a cold node exceeds its ramp only by random deviation, and service recovers.

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

/// Ten nodes that serve 200 requests per second each, and a third of that when cold.
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
fn cold_node_never_exceeds_its_ramped_share() {
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
                let measured = world::run(&plan).unwrap();
                let name = format!("{fronts} forwarders, load {load}, {fault:?}");
                assert_eq!(
                    measured.broken.as_ref().map(ToString::to_string),
                    None,
                    "{name}"
                );
                assert!(
                    measured.cold_attempts > 500,
                    "{name}: {} attempts at cold nodes",
                    measured.cold_attempts
                );
                assert!(
                    measured.cold_excess <= 1.0,
                    "{name}: excess of {:.2} times the random deviation",
                    measured.cold_excess
                );
                // Service has recovered four seconds after the last node started.
                let after = measured.good_between(12, 16);
                assert!(
                    load > 1.0 || after > 0.99,
                    "{name}: share of good jobs {after} after the fault"
                );
            }
        }
    }
}
