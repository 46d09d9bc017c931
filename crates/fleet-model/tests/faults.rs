//! Faults of every kind, alone and together: the rules hold, the same seed gives the same run, and a bug that was
//! planted is found and shrunk.

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

/// Every kind of trouble, on a fifth of the nodes or where it belongs.
fn troubles() -> Vec<(&'static str, Fault)> {
    let fifth = Whom::Share(0.2);
    vec![
        ("die", fault(2_000, 5_000, Trouble::Die, fifth)),
        ("slow", fault(2_000, 5_000, Trouble::Slow(10.0), fifth)),
        ("hang", fault(2_000, 5_000, Trouble::Hang, fifth)),
        (
            "stand still",
            fault(2_000, 4_000, Trouble::StandStill, fifth),
        ),
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
fn the_rules_hold_under_each_fault() {
    for (name, fault) in troubles() {
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
            // Of the tenant that does not flood.
            let good = measured.by_tenant[0].good_share();
            assert!(
                jobs.asked > 5_000 && good > 0.6,
                "{name} {kind:?}: {good} {jobs:?}"
            );
            // Before it begins all is well, and after it all is well again.
            assert!(
                measured.good_between(0, 1) > 0.97,
                "{name} {kind:?}: {}",
                measured.good_between(0, 1)
            );
        }
    }
}

#[test]
fn faults_that_overlap_break_no_rule_whatever_the_seed() {
    for seed in 1..=12u64 {
        let mut plan = plan(seed);
        let all = troubles();
        plan.faults = (0..3)
            .map(|k| all[(seed as usize * 5 + k * 3) % all.len()].1)
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
fn the_same_seed_is_the_same_run_on_any_thread() {
    let mut plan = plan(9);
    plan.faults = troubles().into_iter().map(|(_, fault)| fault).collect();
    plan.net.breaks = 0.005;
    let alone = world::run(&plan).unwrap();
    let together: Vec<_> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..4)
            .map(|_| scope.spawn(|| world::run(&plan).unwrap()))
            .collect();
        threads.into_iter().map(|one| one.join().unwrap()).collect()
    });
    assert!(together.iter().all(|one| *one == alone));
    let other = world::run(&Plan {
        seed: 10,
        ..plan.clone()
    })
    .unwrap();
    assert_ne!(other.events, alone.events);
}

#[test]
fn a_planted_bug_is_found_by_a_search_over_seeds_and_shrunk() {
    let found = (1..=20u64).find_map(|seed| {
        let mut plan = plan(seed);
        plan.faults = vec![troubles()[0].1, troubles()[1].1, troubles()[9].1];
        plan.net.breaks = 0.002;
        plan.bug = Some(Bug::BrokenIsUnreachable);
        world::run(&plan)
            .unwrap()
            .broken
            .map(|broken| (plan, broken))
    });
    let (plan, broken) = found.expect("a seed that meets it");
    assert_eq!(broken.rule, 2, "{broken}");
    let shrunk = shrink(&plan).unwrap();
    assert_eq!(shrunk.broken.rule, 2);
    // Smaller in every way, and it plays again as it was told.
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
    // Without the bug neither breaks anything.
    for plan in [plan, shrunk.plan] {
        assert_eq!(
            world::run(&Plan { bug: None, ..plan }).unwrap().broken,
            None
        );
    }
}

#[test]
fn what_makes_no_sense_is_refused() {
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
        let mut one = plan(1);
        change(&mut one);
        let why = world::run(&one).unwrap_err();
        assert!(why.contains(word), "{why}");
    }
    let more = FrontPlan {
        count: 1,
        ..FrontPlan::default()
    };
    assert!(world::run(&Plan {
        fronts: more,
        ..plan(1)
    })
    .is_ok());
}

#[test]
fn lists_that_lag_cost_as_long_as_they_lag() {
    let good = |late: u64| {
        let mut plan = plan(4);
        plan.fronts.count = 0;
        plan.habits = Habits {
            tries: 1,
            second_copy: None,
            late_list: MS(late),
            ..plan.habits
        };
        plan.faults = vec![fault(2_000, 7_000, Trouble::Die, Whom::Share(0.2))];
        let measured = world::run(&plan).unwrap();
        assert_eq!(measured.broken, None);
        [measured.good_between(2, 4), measured.good_between(4, 7)]
    };
    let (soon, late) = (good(100), good(2_000));
    // A fifth of the tickets meets a closed door while the list lags, and none afterwards.
    assert!(soon[0] > 0.95 && late[0] < 0.85, "{soon:?} {late:?}");
    assert!(soon[1] > 0.97 && late[1] > 0.97, "{soon:?} {late:?}");
}
