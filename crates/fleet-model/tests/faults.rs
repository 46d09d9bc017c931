//! Faults of every kind, alone and combined: the invariants hold, the same seed gives the same run, and an injected bug
//! is found and its plan is shrunk.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_fleet_model::plan::{
    Bug, Fault, FrontPlan, Habits, NodeKind, NodePlan, Pick, Plan, TenantPlan, Trouble, Whom,
};
use rainstand_fleet_model::shrink::shrink;
use rainstand_fleet_model::world;
use std::time::Duration;

const MS: fn(u64) -> Duration = Duration::from_millis;

fn fault(from: u64, to: u64, trouble: Trouble, whom: Whom) -> Fault {
    Fault {
        from: MS(from),
        to: MS(to),
        trouble,
        whom,
    }
}

/// Every kind of fault, on a fifth of the nodes or where it applies.
fn all_faults() -> Vec<(&'static str, Fault)> {
    let fifth = Whom::Share(0.2);
    vec![
        ("die", fault(2_000, 5_000, Trouble::Die, fifth)),
        ("slow", fault(2_000, 5_000, Trouble::Slow(10.0), fifth)),
        ("hang", fault(2_000, 5_000, Trouble::Hang, fifth)),
        ("stall", fault(2_000, 4_000, Trouble::StandStill, fifth)),
        (
            "fail fast",
            fault(2_000, 5_000, Trouble::FailFast(MS(1)), fifth),
        ),
        (
            "neighbour",
            fault(2_000, 5_000, Trouble::Neighbour(3.0), fifth),
        ),
        ("lie", fault(2_000, 5_000, Trouble::Lie(MS(500)), fifth)),
        (
            "deploy",
            fault(1_000, 7_000, Trouble::Deploy(MS(800)), Whom::Share(1.0)),
        ),
        (
            "partition",
            fault(2_000, 4_000, Trouble::Partition, Whom::Share(1.0)),
        ),
        (
            "flood",
            fault(2_000, 5_000, Trouble::Flood(1, 20.0), Whom::Share(1.0)),
        ),
        (
            "clock jump",
            fault(
                2_000,
                5_000,
                Trouble::ClockJump(MS(3_000)),
                Whom::Share(1.0),
            ),
        ),
    ]
}

fn plan(seed: u64) -> Plan {
    let mut plan = Plan {
        seed,
        lasts: Duration::from_secs(8),
        ..Plan::default()
    };
    plan.tenants.push(TenantPlan {
        name: "beta".into(),
        part: 0.2,
        share: 0.2,
        stranger: false,
    });
    plan.tenants.push(TenantPlan {
        name: "nobody".into(),
        part: 0.05,
        share: 0.0,
        stranger: true,
    });
    plan.nodes = NodePlan {
        halls: 2,
        cold: Some((MS(1_500), 2.0)),
        crowding: 0.1,
        ..plan.nodes
    };
    plan.habits.second_copy = Some(MS(400));
    plan
}

#[test]
fn invariants_hold_under_each_kind_of_fault() {
    for (name, fault) in all_faults() {
        for kind in [
            NodeKind::Plain {
                at_once: 4,
                hold: 40,
            },
            NodeKind::Ours,
        ] {
            let mut plan = plan(5);
            plan.faults = vec![fault];
            plan.nodes.kind = kind;
            let measured = world::run(&plan).unwrap();
            assert_eq!(
                measured.broken.as_ref().map(ToString::to_string),
                None,
                "{name} {kind:?}"
            );
            let jobs = measured.jobs();
            assert_eq!(
                jobs.asked,
                jobs.good + jobs.late + jobs.dismissed + jobs.given_up,
                "{name}"
            );
            // The tenant that does not flood.
            let good = measured.by_tenant[0].good_share();
            assert!(
                jobs.asked > 5_000 && good > 0.6,
                "{name} {kind:?}: {good} {jobs:?}"
            );
            // All is well before the fault begins.
            assert!(
                measured.good_between(0, 1) > 0.97,
                "{name} {kind:?}: {}",
                measured.good_between(0, 1)
            );
        }
    }
}

#[test]
fn overlapping_faults_violate_no_invariant_with_any_seed() {
    for seed in 1..=12u64 {
        let mut plan = plan(seed);
        let faults = all_faults();
        plan.faults = (0..3)
            .map(|k| faults[(seed as usize * 5 + k * 3) % faults.len()].1)
            .collect();
        plan.net.breaks = 0.01;
        plan.fronts.pick = [Pick::TwoChoices, Pick::LeastKnown, Pick::InTurn][seed as usize % 3];
        plan.fronts.know = if seed % 2 == 0 { 4 } else { 0 };
        plan.habits = Habits {
            heeds: seed % 3 != 0,
            marks: seed % 4 != 0,
            ..plan.habits
        };
        plan.load = vec![(MS(0), 0.5), (MS(3_000), 1.3), (MS(5_000), 0.4)];
        let measured = world::run(&plan).unwrap();
        assert_eq!(
            measured.broken.as_ref().map(ToString::to_string),
            None,
            "seed {seed}"
        );
    }
}

#[test]
fn same_seed_gives_the_same_run_on_any_thread() {
    let mut plan = plan(9);
    plan.faults = all_faults().into_iter().map(|(_, fault)| fault).collect();
    plan.net.breaks = 0.005;
    let alone = world::run(&plan).unwrap();
    let parallel: Vec<_> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..4)
            .map(|_| scope.spawn(|| world::run(&plan).unwrap()))
            .collect();
        threads
            .into_iter()
            .map(|thread| thread.join().unwrap())
            .collect()
    });
    assert!(parallel.iter().all(|measured| *measured == alone));
    let other = world::run(&Plan {
        seed: 10,
        ..plan.clone()
    })
    .unwrap();
    assert_ne!(other.events, alone.events);
}

#[test]
fn injected_bug_is_found_by_a_search_over_seeds_and_shrunk() {
    let found = (1..=20u64).find_map(|seed| {
        let mut plan = plan(seed);
        plan.faults = vec![all_faults()[0].1, all_faults()[1].1, all_faults()[9].1];
        plan.net.breaks = 0.002;
        plan.bug = Some(Bug::BrokenIsUnreachable);
        world::run(&plan)
            .unwrap()
            .broken
            .map(|broken| (plan, broken))
    });
    let (plan, broken) = found.expect("a seed that triggers the bug");
    assert_eq!(broken.rule, 2, "{broken}");
    let shrunk = shrink(&plan).unwrap();
    assert_eq!(shrunk.broken.rule, 2);
    // The plan is smaller in every respect and reproduces the violation.
    assert!(
        shrunk.plan.nodes.count < plan.nodes.count && shrunk.plan.lasts < plan.lasts,
        "{:?}",
        shrunk.plan
    );
    assert!(shrunk.plan.faults.len() < plan.faults.len());
    assert_eq!(
        world::run(&shrunk.plan).unwrap().broken,
        Some(shrunk.broken)
    );
    // Without the bug neither plan violates an invariant.
    for plan in [plan, shrunk.plan] {
        assert_eq!(
            world::run(&Plan { bug: None, ..plan }).unwrap().broken,
            None
        );
    }
}

#[test]
fn invalid_plans_are_rejected() {
    type Change = (fn(&mut Plan), &'static str);
    let changes: [Change; 5] = [
        (|plan| plan.types.clear(), "types"),
        (|plan| plan.nodes.halls = 0, "hall"),
        (|plan| plan.types[0].goal = Duration::from_secs(60), "goal"),
        (|plan| plan.net.breaks = 1.5, "shares"),
        (
            |plan| plan.faults = vec![fault(5, 5, Trouble::Die, Whom::First(1))],
            "fault",
        ),
    ];
    for (change, word) in changes {
        let mut invalid = plan(1);
        change(&mut invalid);
        let error = world::run(&invalid).unwrap_err();
        assert!(error.contains(word), "{error}");
    }
    let forwarders = FrontPlan {
        count: 1,
        ..FrontPlan::default()
    };
    assert!(world::run(&Plan {
        fronts: forwarders,
        ..plan(1)
    })
    .is_ok());
}

#[test]
fn stale_node_list_costs_requests_only_while_it_lags() {
    let good_shares = |lag: u64| {
        let mut plan = plan(4);
        plan.fronts.count = 0;
        plan.habits = Habits {
            tries: 1,
            second_copy: None,
            late_list: MS(lag),
            ..plan.habits
        };
        plan.faults = vec![fault(2_000, 7_000, Trouble::Die, Whom::Share(0.2))];
        let measured = world::run(&plan).unwrap();
        assert_eq!(measured.broken, None);
        [measured.good_between(2, 4), measured.good_between(4, 7)]
    };
    let (short_lag, long_lag) = (good_shares(100), good_shares(2_000));
    // A fifth of the requests is refused a connection while the list lags, and none afterwards.
    assert!(
        short_lag[0] > 0.95 && long_lag[0] < 0.85,
        "{short_lag:?} {long_lag:?}"
    );
    assert!(
        short_lag[1] > 0.97 && long_lag[1] > 0.97,
        "{short_lag:?} {long_lag:?}"
    );
}
