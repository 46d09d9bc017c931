//! Schedules of faults: the same for a seed, and each kind of split parts whom it should.

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
fn a_seed_gives_one_schedule_and_another_gives_another() {
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

/// Which nodes still see each other through a fault, by chains of links that pass both ways.
fn sees(nodes: usize, steps: &[FaultStep]) -> Vec<Vec<bool>> {
    let mut sees = vec![vec![true; nodes]; nodes];
    for step in steps {
        if let FaultAction::Link {
            link: Link::Peer { from, to },
            fault: LinkFault::Cut { forth, back },
        } = step.action
        {
            sees[from][to] &= !forth;
            sees[to][from] &= !back;
        }
    }
    sees
}

#[test]
fn splits_part_whom_they_should() {
    for seed in 0..50 {
        let halves = sees(
            5,
            &schedule(&rig(5, vec![fault(RigTrouble::Halves, 1)]), seed),
        );
        let mut sizes: Vec<usize> = (0..5)
            .map(|a| halves[a].iter().filter(|s| **s).count())
            .collect();
        sizes.sort_unstable();
        assert_eq!(sizes, [2, 2, 3, 3, 3], "seed {seed}");
        let bridge = sees(
            5,
            &schedule(&rig(5, vec![fault(RigTrouble::Bridge, 1)]), seed),
        );
        let mut sizes: Vec<usize> = (0..5)
            .map(|a| bridge[a].iter().filter(|s| **s).count())
            .collect();
        sizes.sort_unstable();
        assert_eq!(sizes, [3, 3, 3, 3, 5], "seed {seed}");
    }
    let ring = sees(5, &schedule(&rig(5, vec![fault(RigTrouble::Ring, 1)]), 1));
    for a in 0..5 {
        assert!(!ring[a][(a + 1) % 5] && ring[(a + 1) % 5][a], "{a}");
    }
}

#[test]
fn a_site_is_cut_off_with_its_callers() {
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
    let sees = sees(6, &steps);
    assert!(sees[0][3] && sees[1][2] && !sees[0][1] && !sees[5][3]);
    let callers = steps
        .iter()
        .filter(|s| {
            matches!(
                s.action,
                FaultAction::Link {
                    link: Link::Caller { .. },
                    ..
                }
            )
        })
        .count();
    assert_eq!(callers, 4);
}
