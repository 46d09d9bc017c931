//! From a rig of a configuration and a seed to what is done to whom and when. Pure: the same seed gives the same
//! schedule.
//!
//! What a seed does not fix is how the machine's scheduler interleaves the processes; see `docs/rig.md`.

use nanorand::{Rng, WyRand};
use rainstand_config::schema::{Rig, RigDisk, RigFault, RigLink, RigTrouble};
use serde::Serialize;
use std::ops::Range;
use std::time::Duration;

/// Drawn faults begin in this part of the run: callers are up before, and there is time to recover after.
const START_RANGE: Range<f64> = 0.1..0.7;
/// Drawn faults are over by this part of the run.
const END_OF_DRAWN: f64 = 0.9;
/// Bytes a second of a link that is throttled.
const THROTTLED_RATE: u64 = 20_000;
/// Rates of clocks that are wrong, in thousandths.
const FAST_CLOCK: u32 = 1_500;
const RIGHT_CLOCK: u32 = 1_000;
const SLOW_CLOCK: u32 = 700;
/// After a fault on a node or its links, for what was waiting then: its callers may still leave their requests.
pub const RECOVERY_TIME: Duration = Duration::from_millis(1_500);

/// A link, by who is at its ends. Nodes and callers count from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Link {
    /// From a caller to a node.
    Caller {
        /// Who opens it.
        caller: usize,
        /// Where it leads.
        node: usize,
    },
    /// From a node to its agent.
    Agent {
        /// Who opens it.
        node: usize,
    },
    /// Between two members of a group.
    Peer {
        /// Who opens it.
        from: usize,
        /// Where it leads.
        to: usize,
    },
}

impl Link {
    /// The node whose service callers may miss while the link is broken; none for peers, which are not between a
    /// caller and its node.
    pub fn served_node(self) -> Option<usize> {
        match self {
            Link::Caller { node, .. } | Link::Agent { node } => Some(node),
            Link::Peer { .. } => None,
        }
    }
}

/// A fault of a link; `forth` is the direction from the end that opened it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LinkFault {
    /// Nothing passes; at the end all its connections are reset.
    Cut {
        /// From the end that opened it.
        forth: bool,
        /// To the end that opened it.
        back: bool,
    },
    /// The far end is gone, the near end hears nothing of it.
    HalfOpen,
    /// Each chunk waits so long, give or take half.
    Delay(Duration),
    /// Bytes a second.
    Throttle(u64),
    /// Nothing passes; at the end all of it does.
    Stall,
}

/// The cut of both directions.
const CUT: LinkFault = LinkFault::Cut {
    forth: true,
    back: true,
};
/// The cuts of one direction.
const CUT_FORTH: LinkFault = LinkFault::Cut {
    forth: true,
    back: false,
};
const CUT_BACK: LinkFault = LinkFault::Cut {
    forth: false,
    back: true,
};

/// What is done to a process, its disk, its clock or a link. Nodes count from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultAction {
    /// A link is broken for a time.
    Link {
        /// Which one.
        link: Link,
        /// In which way.
        #[serde(rename = "trouble")]
        fault: LinkFault,
    },
    /// A connection is reset in the middle of what passes next.
    Reset {
        /// Of this link.
        link: Link,
    },
    /// The last frame is sent once more, over a new connection.
    #[serde(rename = "twice")]
    DuplicateFrame {
        /// Of this link.
        link: Link,
    },
    /// A node is killed, and started again after a time.
    Kill {
        /// Which one.
        node: usize,
        /// What it finds when it is started again.
        disk: RestartDisk,
    },
    /// Whichever node leads most shards then is killed.
    #[serde(rename = "chase")]
    KillLeader {
        /// What it finds when it is started again.
        disk: RestartDisk,
    },
    /// A node is stopped by a signal, and continued.
    Stop {
        /// Which one.
        node: usize,
    },
    /// A node is drained, and started again.
    #[serde(rename = "roll")]
    RollingRestart {
        /// Which one.
        node: usize,
    },
    /// Every flush of a node fails.
    FlushFails {
        /// Which one.
        node: usize,
    },
    /// Every write of a node fails.
    DiskFull {
        /// Which one.
        node: usize,
    },
    /// Every flush of a node takes longer.
    DiskSlow {
        /// Which one.
        node: usize,
        /// By so much.
        by: Duration,
    },
    /// A node is killed with half a record written behind its log.
    #[serde(rename = "torn")]
    TornWrite {
        /// Which one.
        node: usize,
    },
    /// A node runs with a clock that is wrong.
    Clock {
        /// Which one.
        node: usize,
        /// In thousandths.
        rate: u32,
        /// How far it is ahead from the start.
        step: Duration,
    },
}

impl FaultAction {
    /// The nodes whose callers may be left without an answer by it.
    pub fn disturbed_nodes(&self) -> Vec<usize> {
        match self {
            Self::Link { link, .. } | Self::Reset { link } | Self::DuplicateFrame { link } => {
                link.served_node().into_iter().collect()
            }
            Self::Kill { node, .. }
            | Self::Stop { node }
            | Self::RollingRestart { node }
            | Self::TornWrite { node }
            | Self::Clock { node, .. } => vec![*node],
            Self::FlushFails { .. }
            | Self::DiskFull { .. }
            | Self::DiskSlow { .. }
            | Self::KillLeader { .. } => Vec::new(),
        }
    }
}

/// The disk that a killed process finds when it is started again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RestartDisk {
    /// As it left it.
    Same,
    /// Without any file.
    Empty,
    /// As it was before the callers began.
    Old,
    /// Another node's, as that was before the callers began.
    Another {
        /// Which node's.
        of: usize,
    },
}

/// One action of a schedule.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct FaultStep {
    /// When it begins, since the callers began.
    pub from: Duration,
    /// When it ends, since the callers began.
    pub until: Duration,
    /// Actions of one fault share its number, and are left out together when a schedule is made smaller.
    pub fault: usize,
    /// What is done.
    #[serde(rename = "act")]
    pub action: FaultAction,
}

/// All that is done in one run, in order of its beginning.
pub fn schedule(rig: &Rig, seed: u64) -> Vec<FaultStep> {
    let mut random = WyRand::new_seed(seed ^ 0x5ca1_ab1e);
    let mut steps = Vec::new();
    let mut number = 0;
    for fault in &rig.faults {
        for _ in 0..fault.times.max(1) {
            let (from, until) = span_of(rig, fault, &mut random);
            for action in actions(rig, fault, &mut random) {
                steps.push(FaultStep {
                    from,
                    until,
                    fault: number,
                    action,
                });
            }
            number += 1;
        }
    }
    steps.sort_by_key(|step| (step.from, step.fault));
    steps
}

/// When a fault begins and ends. A drawn one is over before the run is; one that is written lasts as written.
fn span_of(rig: &Rig, fault: &RigFault, random: &mut WyRand) -> (Duration, Duration) {
    let run = Duration::from_nanos(rig.lasts_ns);
    // Drawn in any case, so that what follows is the same for a fault that is written.
    let share = START_RANGE.start + (START_RANGE.end - START_RANGE.start) * draw_fraction(random);
    let duration = Duration::from_nanos(fault.lasts_ns);
    if let Some(from) = fault.from_ns {
        let from = Duration::from_nanos(from);
        return (from, from + duration);
    }
    let from = run.mul_f64(share);
    let left = run.mul_f64(END_OF_DRAWN).saturating_sub(from);
    (from, from + duration.min(left))
}

/// From 0 to under 1.
fn draw_fraction(random: &mut WyRand) -> f64 {
    random.generate_range(0..1_000_000u64) as f64 / 1e6
}

/// From 0 to under `n`.
fn draw_index(random: &mut WyRand, n: usize) -> usize {
    random.generate_range(0..n.max(1) as u64) as usize
}

/// The node, the disk and the link that a fault is about, as written or drawn.
struct Target {
    node: usize,
    disk: RestartDisk,
    link: Link,
}

impl Target {
    /// Draws in the order of its fields; what is written draws nothing.
    fn draw(rig: &Rig, fault: &RigFault, random: &mut WyRand) -> Self {
        let nodes = rig.nodes.max(1) as usize;
        let node = if fault.node > 0 {
            (fault.node as usize - 1).min(nodes - 1)
        } else {
            draw_index(random, nodes)
        };
        let draw_other =
            |random: &mut WyRand| (node + 1 + draw_index(random, nodes.saturating_sub(1))) % nodes;
        let disk = match fault.disk() {
            RigDisk::Empty => RestartDisk::Empty,
            RigDisk::Old => RestartDisk::Old,
            RigDisk::Another => RestartDisk::Another {
                of: draw_other(random),
            },
            _ => RestartDisk::Same,
        };
        let link = match fault.link() {
            RigLink::Callers => Link::Caller {
                caller: draw_index(random, rig.callers as usize),
                node,
            },
            RigLink::Agent => Link::Agent { node },
            _ => Link::Peer {
                from: node,
                to: draw_other(random),
            },
        };
        Self { node, disk, link }
    }

    /// A fault of the link. Between two nodes there are two links, one opened by each, and both have it; `reverse` is
    /// the same fault seen from the other end.
    fn link_fault(&self, fault: LinkFault, reverse: LinkFault) -> Vec<FaultAction> {
        let link = self.link;
        let mut actions = vec![FaultAction::Link { link, fault }];
        if let Link::Peer { from, to } = link {
            actions.push(FaultAction::Link {
                link: Link::Peer { from: to, to: from },
                fault: reverse,
            });
        }
        actions
    }

    fn clock_fault(&self, rate: u32, step: Duration) -> Vec<FaultAction> {
        let node = self.node;
        vec![FaultAction::Clock { node, rate, step }]
    }
}

fn actions(rig: &Rig, fault: &RigFault, random: &mut WyRand) -> Vec<FaultAction> {
    let target = Target::draw(rig, fault, random);
    let Target { node, disk, link } = target;
    let span = Duration::from_nanos(fault.span_ns);
    let nodes = rig.nodes.max(1) as usize;
    let both_ways = |fault| target.link_fault(fault, fault);
    match fault.kind() {
        RigTrouble::Cut => both_ways(CUT),
        RigTrouble::CutOneWay => match draw_index(random, 2) {
            0 => target.link_fault(CUT_FORTH, CUT_BACK),
            _ => target.link_fault(CUT_BACK, CUT_FORTH),
        },
        RigTrouble::HalfOpen => both_ways(LinkFault::HalfOpen),
        RigTrouble::Delay => both_ways(LinkFault::Delay(span)),
        RigTrouble::Throttle => both_ways(LinkFault::Throttle(THROTTLED_RATE)),
        RigTrouble::Stall => both_ways(LinkFault::Stall),
        RigTrouble::Reset => vec![FaultAction::Reset { link }],
        RigTrouble::Twice => vec![FaultAction::DuplicateFrame { link }],
        RigTrouble::Kill => vec![FaultAction::Kill { node, disk }],
        RigTrouble::Chase => vec![FaultAction::KillLeader { disk }],
        RigTrouble::Stop => vec![FaultAction::Stop { node }],
        RigTrouble::Roll => vec![FaultAction::RollingRestart { node }],
        RigTrouble::FlushFails => vec![FaultAction::FlushFails { node }],
        RigTrouble::DiskFull => vec![FaultAction::DiskFull { node }],
        RigTrouble::DiskSlow => vec![FaultAction::DiskSlow { node, by: span }],
        RigTrouble::Torn => vec![FaultAction::TornWrite { node }],
        RigTrouble::ClockFast => target.clock_fault(FAST_CLOCK, Duration::ZERO),
        RigTrouble::ClockSlow => target.clock_fault(SLOW_CLOCK, Duration::ZERO),
        RigTrouble::ClockStep => target.clock_fault(RIGHT_CLOCK, span),
        RigTrouble::Halves => split(nodes, false, random),
        RigTrouble::Bridge => split(nodes, true, random),
        RigTrouble::Ring => ring(nodes),
        RigTrouble::Site => cut_off_site(rig, node % rig.sites.max(1) as usize),
        RigTrouble::Unspecified => Vec::new(),
    }
}

/// Nodes in two halves that do not reach each other; with a bridge, one node is on neither side and reaches both.
fn split(nodes: usize, with_bridge: bool, random: &mut WyRand) -> Vec<FaultAction> {
    let mut order: Vec<usize> = (0..nodes).collect();
    random.shuffle(&mut order);
    let bridge = with_bridge.then(|| order[nodes - 1]);
    let left = &order[..(nodes - usize::from(with_bridge)) / 2];
    peer_link_faults(nodes, |a, b| {
        let touches_bridge = bridge == Some(a) || bridge == Some(b);
        (left.contains(&a) != left.contains(&b) && !touches_bridge).then_some(CUT)
    })
}

/// Each node cut off one way from the next.
fn ring(nodes: usize) -> Vec<FaultAction> {
    peer_link_faults(nodes, |a, b| {
        if b == (a + 1) % nodes {
            Some(CUT_FORTH)
        } else {
            (a == (b + 1) % nodes).then_some(CUT_BACK)
        }
    })
}

/// A site cut off from the others and from all callers.
fn cut_off_site(rig: &Rig, site: usize) -> Vec<FaultAction> {
    let nodes = rig.nodes.max(1) as usize;
    let sites = rig.sites.max(1) as usize;
    let is_there = |n: usize| n % sites == site;
    let mut all = peer_link_faults(nodes, |a, b| (is_there(a) != is_there(b)).then_some(CUT));
    for node in (0..nodes).filter(|n| is_there(*n)) {
        let callers = 0..rig.callers as usize;
        all.extend(callers.map(|caller| FaultAction::Link {
            link: Link::Caller { caller, node },
            fault: CUT,
        }));
    }
    all
}

/// Faults of links among nodes, by the node that opened each and the one that it leads to.
fn peer_link_faults(
    nodes: usize,
    fault_of: impl Fn(usize, usize) -> Option<LinkFault>,
) -> Vec<FaultAction> {
    let pairs = (0..nodes)
        .flat_map(|from| (0..nodes).map(move |to| (from, to)))
        .filter(|(from, to)| from != to);
    let action = |(from, to)| {
        Some(FaultAction::Link {
            link: Link::Peer { from, to },
            fault: fault_of(from, to)?,
        })
    };
    pairs.filter_map(action).collect()
}
