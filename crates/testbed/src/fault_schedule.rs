//! A rig of a configuration and a seed to what is done to whom and when. Pure: the same seed gives the same schedule.
//!
//! What a seed does not fix is how the machine's scheduler interleaves the processes; see `docs/rig.md`.

use nanorand::{Rng, WyRand};
use rainstand_config::schema::{Rig, RigDisk, RigFault, RigLink, RigTrouble};
use serde::Serialize;
use std::time::Duration;

/// Faults begin in this part of the run: callers are up before, and there is time to come back after.
const BEGINS: [f64; 2] = [0.1, 0.7];
/// After a fault on a node or its links, for what was waiting then: its callers may still leave its tickets.
pub const AFTER: Duration = Duration::from_millis(1_500);

/// A link, by who is at its ends. Nodes and callers count from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Link {
    Caller { caller: usize, node: usize },
    Agent { node: usize },
    Peer { from: usize, to: usize },
}

impl Link {
    /// Whose service callers may miss while it is broken: peers are not between a caller and its node.
    pub fn serves(self) -> Option<usize> {
        match self {
            Link::Caller { node, .. } | Link::Agent { node } => Some(node),
            Link::Peer { .. } => None,
        }
    }
}

/// What a link does while it lasts; `forth` is from the one that opened it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Trouble {
    /// Nothing passes; at the end all its connections are reset.
    Cut {
        forth: bool,
        back: bool,
    },
    /// The far end is gone, the near end hears nothing of it.
    HalfOpen,
    Delay(Duration),
    /// Bytes a second.
    Throttle(u64),
    /// Nothing passes; at the end all of it does.
    Stall,
}

/// What is done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Act {
    Link {
        link: Link,
        trouble: Trouble,
    },
    /// In the middle of what passes next.
    Reset {
        link: Link,
    },
    /// The last frame once more, over a new connection.
    Twice {
        link: Link,
    },
    Kill {
        node: usize,
        disk: Disk,
    },
    /// Whoever leads most shards then.
    Chase {
        disk: Disk,
    },
    Stop {
        node: usize,
    },
    /// Drained, and started again.
    Roll {
        node: usize,
    },
    FlushFails {
        node: usize,
    },
    DiskFull {
        node: usize,
    },
    DiskSlow {
        node: usize,
        by: Duration,
    },
    /// Killed with half a record written behind its log.
    Torn {
        node: usize,
    },
    /// Rate in thousandths, and a step.
    Clock {
        node: usize,
        rate: u32,
        step: Duration,
    },
}

impl Act {
    /// Whose callers may be left without an answer by it.
    pub fn disturbs(&self) -> Vec<usize> {
        match self {
            Act::Link { link, .. } | Act::Reset { link } | Act::Twice { link } => {
                link.serves().into_iter().collect()
            }
            Act::Kill { node, .. }
            | Act::Stop { node }
            | Act::Roll { node }
            | Act::Torn { node } => {
                vec![*node]
            }
            Act::FlushFails { .. } | Act::DiskFull { .. } | Act::DiskSlow { .. } => Vec::new(),
            Act::Clock { node, .. } => vec![*node],
            Act::Chase { .. } => Vec::new(),
        }
    }
}

/// The disk that a killed process finds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Disk {
    Same,
    Empty,
    /// As it was when the run began to be loaded.
    Old,
    /// Another node's.
    Another {
        of: usize,
    },
}

/// One fault of a schedule.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Step {
    /// Since the callers began.
    pub from: Duration,
    pub until: Duration,
    /// Acts of one fault share its number, and are left out together when a schedule is made smaller.
    pub fault: usize,
    pub act: Act,
}

/// All that is done in one run, in order of its beginning.
pub fn schedule(rig: &Rig, seed: u64) -> Vec<Step> {
    let mut chance = WyRand::new_seed(seed ^ 0x5ca1_ab1e);
    let mut steps = Vec::new();
    let mut number = 0;
    for fault in &rig.faults {
        for _ in 0..fault.times.max(1) {
            let lasts = Duration::from_nanos(rig.lasts_ns);
            let share = BEGINS[0] + (BEGINS[1] - BEGINS[0]) * part(&mut chance);
            let drawn = lasts.mul_f64(share);
            let from = fault.from_ns.map_or(drawn, Duration::from_nanos);
            // A drawn fault is over before the run is; one that is written lasts as written.
            let whole = Duration::from_nanos(fault.lasts_ns);
            let until = from
                + if fault.from_ns.is_some() {
                    whole
                } else {
                    whole.min(lasts.mul_f64(0.9).saturating_sub(from))
                };
            for act in acts(rig, fault, &mut chance) {
                steps.push(Step {
                    from,
                    until,
                    fault: number,
                    act,
                });
            }
            number += 1;
        }
    }
    steps.sort_by_key(|step| (step.from, step.fault));
    steps
}

/// From 0 to under 1.
fn part(chance: &mut WyRand) -> f64 {
    chance.generate_range(0..1_000_000u64) as f64 / 1e6
}

fn acts(rig: &Rig, fault: &RigFault, chance: &mut WyRand) -> Vec<Act> {
    let nodes = rig.nodes.max(1) as usize;
    let mut draw = |n: usize| chance.generate_range(0..n.max(1) as u64) as usize;
    let node = if fault.node > 0 {
        (fault.node as usize - 1).min(nodes - 1)
    } else {
        draw(nodes)
    };
    let span = Duration::from_nanos(fault.span_ns);
    let disk = match fault.disk() {
        RigDisk::Empty => Disk::Empty,
        RigDisk::Old => Disk::Old,
        RigDisk::Another => Disk::Another {
            of: (node + 1 + draw(nodes.saturating_sub(1))) % nodes,
        },
        _ => Disk::Same,
    };
    let link = match fault.link() {
        RigLink::Callers => Link::Caller {
            caller: draw(rig.callers as usize),
            node,
        },
        RigLink::Agent => Link::Agent { node },
        _ => Link::Peer {
            from: node,
            to: (node + 1 + draw(nodes.saturating_sub(1))) % nodes,
        },
    };
    // Between two nodes there are two links, one opened by each: a cut is of both.
    let both = |trouble: Trouble, turned: Trouble| match link {
        Link::Peer { from, to } => vec![
            Act::Link { link, trouble },
            Act::Link {
                link: Link::Peer { from: to, to: from },
                trouble: turned,
            },
        ],
        _ => vec![Act::Link { link, trouble }],
    };
    let cut = Trouble::Cut {
        forth: true,
        back: true,
    };
    match fault.kind() {
        RigTrouble::Cut => both(cut, cut),
        RigTrouble::CutOneWay => {
            let forth = draw(2) == 0;
            both(
                Trouble::Cut {
                    forth,
                    back: !forth,
                },
                Trouble::Cut {
                    forth: !forth,
                    back: forth,
                },
            )
        }
        RigTrouble::HalfOpen => both(Trouble::HalfOpen, Trouble::HalfOpen),
        RigTrouble::Delay => both(Trouble::Delay(span), Trouble::Delay(span)),
        RigTrouble::Throttle => both(Trouble::Throttle(20_000), Trouble::Throttle(20_000)),
        RigTrouble::Stall => both(Trouble::Stall, Trouble::Stall),
        RigTrouble::Reset => vec![Act::Reset { link }],
        RigTrouble::Twice => vec![Act::Twice { link }],
        RigTrouble::Kill => vec![Act::Kill { node, disk }],
        RigTrouble::Chase => vec![Act::Chase { disk }],
        RigTrouble::Stop => vec![Act::Stop { node }],
        RigTrouble::Roll => vec![Act::Roll { node }],
        RigTrouble::FlushFails => vec![Act::FlushFails { node }],
        RigTrouble::DiskFull => vec![Act::DiskFull { node }],
        RigTrouble::DiskSlow => vec![Act::DiskSlow { node, by: span }],
        RigTrouble::Torn => vec![Act::Torn { node }],
        RigTrouble::ClockFast => vec![Act::Clock {
            node,
            rate: 1_500,
            step: Duration::ZERO,
        }],
        RigTrouble::ClockSlow => vec![Act::Clock {
            node,
            rate: 700,
            step: Duration::ZERO,
        }],
        RigTrouble::ClockStep => vec![Act::Clock {
            node,
            rate: 1_000,
            step: span,
        }],
        RigTrouble::Halves | RigTrouble::Bridge => {
            let mut order: Vec<usize> = (0..nodes).collect();
            chance.shuffle(&mut order);
            // The bridge is on neither side.
            let sees = (fault.kind() == RigTrouble::Bridge).then(|| order[nodes - 1]);
            let left = &order[..(nodes - usize::from(sees.is_some())) / 2];
            let apart = |a: usize, b: usize| {
                left.contains(&a) != left.contains(&b) && sees != Some(a) && sees != Some(b)
            };
            peers(nodes, |a, b| apart(a, b).then_some(cut))
        }
        RigTrouble::Ring => {
            let one_way = Trouble::Cut {
                forth: true,
                back: false,
            };
            let other = Trouble::Cut {
                forth: false,
                back: true,
            };
            peers(nodes, |a, b| {
                if b == (a + 1) % nodes {
                    Some(one_way)
                } else {
                    (a == (b + 1) % nodes).then_some(other)
                }
            })
        }
        RigTrouble::Site => {
            let sites = rig.sites.max(1) as usize;
            let site = node % sites;
            let there = |n: usize| n % sites == site;
            let mut all = peers(nodes, |a, b| (there(a) != there(b)).then_some(cut));
            for node in (0..nodes).filter(|n| there(*n)) {
                let callers = 0..rig.callers as usize;
                all.extend(callers.map(|caller| Act::Link {
                    link: Link::Caller { caller, node },
                    trouble: cut,
                }));
            }
            all
        }
        RigTrouble::Unspecified => Vec::new(),
    }
}

/// What is done to links among nodes, by the node that opened each and the one it leads to.
fn peers(nodes: usize, what: impl Fn(usize, usize) -> Option<Trouble>) -> Vec<Act> {
    let pairs = (0..nodes)
        .flat_map(|from| (0..nodes).map(move |to| (from, to)))
        .filter(|(a, b)| a != b);
    pairs
        .filter_map(|(from, to)| {
            Some(Act::Link {
                link: Link::Peer { from, to },
                trouble: what(from, to)?,
            })
        })
        .collect()
}

#[cfg(test)]
mod tests {
    use super::*;

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
    fn sees(nodes: usize, steps: &[Step]) -> Vec<Vec<bool>> {
        let mut sees = vec![vec![true; nodes]; nodes];
        for step in steps {
            if let Act::Link {
                link: Link::Peer { from, to },
                trouble: Trouble::Cut { forth, back },
            } = step.act
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
                    s.act,
                    Act::Link {
                        link: Link::Caller { .. },
                        ..
                    }
                )
            })
            .count();
        assert_eq!(callers, 4);
    }
}
