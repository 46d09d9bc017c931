//! Downstream calls: each returns or is abandoned, a call that may have run downstream is not repeated, and the death
//! of half of the downstream nodes has no lasting cost beyond their share.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_fleet_model::plan::{
    BelowPlan, Fault, NodeKind, NodePlan, Plan, Trouble, Whom, Work,
};
use rainstand_fleet_model::world;
use std::time::Duration;

const MS: fn(u64) -> Duration = Duration::from_millis;

fn plan(kind: NodeKind, seed: u64) -> Plan {
    let mut plan = Plan {
        seed,
        lasts: Duration::from_secs(12),
        ..Plan::default()
    };
    plan.types[0].calls = true;
    plan.types[0].poorer = 0.5;
    plan.nodes = NodePlan {
        count: 6,
        kind,
        ..plan.nodes
    };
    // Calls of 10 ms by four in five requests: the downstream capacity is about one and a half times the load.
    plan.below = Some(BelowPlan {
        count: 2,
        at_once: 8,
        hold: 60,
        work: Work::Between(MS(5), MS(15)),
    });
    plan
}

const PLAIN: NodeKind = NodeKind::Plain {
    at_once: 16,
    hold: 60,
};

#[test]
fn downstream_calls_return_and_invariants_hold() {
    for kind in [PLAIN, NodeKind::Ours] {
        let measured = world::run(&plan(kind, 3)).unwrap();
        assert_eq!(
            measured.broken.as_ref().map(ToString::to_string),
            None,
            "{kind:?}"
        );
        let calls: u64 = measured.seconds.iter().map(|second| second.calls).sum();
        let done: u64 = measured
            .seconds
            .iter()
            .map(|second| second.calls_done)
            .sum();
        assert!(
            calls > 4_000 && done as f64 > 0.9 * calls as f64,
            "{kind:?}: {done} of {calls}"
        );
        assert!(
            measured.good_share() > 0.9,
            "{kind:?}: {} {:?}",
            measured.good_share(),
            measured.jobs()
        );
    }
}

#[test]
fn death_of_half_the_downstream_nodes_violates_no_invariant_and_service_recovers() {
    let fault = Fault {
        from: MS(4_000),
        to: MS(7_000),
        trouble: Trouble::BelowDies(1),
        whom: Whom::First(1),
    };
    for kind in [PLAIN, NodeKind::Ours] {
        for seed in 1..=4 {
            let mut plan = plan(kind, seed);
            plan.faults = vec![fault];
            let measured = world::run(&plan).unwrap();
            assert_eq!(
                measured.broken.as_ref().map(ToString::to_string),
                None,
                "{kind:?} {seed}"
            );
            assert!(measured.good_between(0, 4) > 0.9, "{kind:?} {seed}: before");
            let after = measured.good_between(9, 12);
            assert!(
                after > 0.85,
                "{kind:?} {seed}: {after} from two seconds after the fault"
            );
            assert_eq!(world::run(&plan).unwrap(), measured, "not deterministic");
        }
    }
}
