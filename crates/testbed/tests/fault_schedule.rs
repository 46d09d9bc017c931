//! Fault schedules: a seed determines the schedule, and each kind of partition separates the intended nodes.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_config::schema::{Rig, RigFault, RigTrouble};
use rainstand_testbed::fault_schedule::{schedule, FaultAction, FaultStep, Link, LinkFault};
use std::time::Duration;

fn rig(nodes: u64, faults: Vec<RigFault>) -> Rig {
    Rig {
        lasts_ns: 4_000_000_000,
        nodes,
        callers: 2,
        sites: 3,
        faults,
        ..Rig::default()
    }
}

fn fault(kind: RigTrouble, times: u64) -> RigFault {
    RigFault {
        kind: kind.into(),
        lasts_ns: 500_000_000,
        times,
        ..RigFault::default()
    }
}

#[test]
fn equal_seeds_give_equal_schedules_and_others_differ() {
    let rig = rig(
        5,
        vec![
            fault(RigTrouble::Kill, 3),
            fault(RigTrouble::Halves, 2),
            fault(RigTrouble::Ring, 1),
        ],
    );
    assert_eq!(schedule(&rig, 7), schedule(&rig, 7));
    assert_ne!(schedule(&rig, 7), schedule(&rig, 8));
    for seed in 0..200 {
        for step in schedule(&rig, seed) {
            assert!(
                step.from <= step.until && step.until <= Duration::from_nanos(rig.lasts_ns),
                "{step:?}"
            );
        }
    }
}

/// By sender and receiver, whether frames still pass from one node to another directly.
fn reachability(nodes: usize, steps: &[FaultStep]) -> Vec<Vec<bool>> {
    let mut reaches = vec![vec![true; nodes]; nodes];
    for step in steps {
        if let FaultAction::Link {
            link: Link::Peer { from, to },
            fault: LinkFault::Cut { forth, back },
        } = step.action
        {
            reaches[from][to] &= !forth;
            reaches[to][from] &= !back;
        }
    }
    reaches
}

#[test]
fn halves_bridge_and_ring_cut_the_intended_links() {
    for seed in 0..50 {
        let halves = reachability(
            5,
            &schedule(&rig(5, vec![fault(RigTrouble::Halves, 1)]), seed),
        );
        let mut sizes: Vec<usize> = (0..5)
            .map(|node| halves[node].iter().filter(|passes| **passes).count())
            .collect();
        sizes.sort_unstable();
        assert_eq!(sizes, [2, 2, 3, 3, 3], "seed {seed}");
        let bridge = reachability(
            5,
            &schedule(&rig(5, vec![fault(RigTrouble::Bridge, 1)]), seed),
        );
        let mut sizes: Vec<usize> = (0..5)
            .map(|node| bridge[node].iter().filter(|passes| **passes).count())
            .collect();
        sizes.sort_unstable();
        assert_eq!(sizes, [3, 3, 3, 3, 5], "seed {seed}");
    }
    let ring = reachability(5, &schedule(&rig(5, vec![fault(RigTrouble::Ring, 1)]), 1));
    for node in 0..5 {
        assert!(
            !ring[node][(node + 1) % 5] && ring[(node + 1) % 5][node],
            "{node}"
        );
    }
}

#[test]
fn zone_cut_includes_the_links_of_callers() {
    let steps = schedule(
        &rig(
            6,
            vec![RigFault {
                node: 1,
                ..fault(RigTrouble::Site, 1)
            }],
        ),
        3,
    );
    let reaches = reachability(6, &steps);
    assert!(reaches[0][3] && reaches[1][2] && !reaches[0][1] && !reaches[5][3]);
    let callers = steps
        .iter()
        .filter(|step| {
            matches!(
                step.action,
                FaultAction::Link {
                    link: Link::Caller { .. },
                    ..
                }
            )
        })
        .count();
    assert_eq!(callers, 4);
}
