//! Draws the fault schedule of a testbed scenario (a `Rig` of the configuration) from a seed. Pure: the same seed gives
//! the same schedule.
//!
//! A seed does not determine how the operating system schedules the processes; see `docs/rig.md`.

use nanorand::{Rng, WyRand};
use rainstand_config::schema::{Rig, RigDisk, RigFault, RigLink, RigTrouble};
use serde::Serialize;
use std::ops::Range;
use std::time::Duration;

/// Drawn faults begin in this part of the run, as fractions: callers start before it, and recovery follows it.
const START_RANGE: Range<f64> = 0.1..0.7;
/// Drawn faults end by this fraction of the run.
const END_OF_DRAWN: f64 = 0.9;
/// Bytes per second of a throttled link.
const THROTTLED_RATE: u64 = 20_000;
/// Rates of fast, correct and slow clocks, in thousandths.
const FAST_CLOCK: u32 = 1_500;
const RIGHT_CLOCK: u32 = 1_000;
const SLOW_CLOCK: u32 = 700;
/// Time after a fault of a node or its links in which callers may still abandon requests that were pending then.
pub const RECOVERY_TIME: Duration = Duration::from_millis(1_500);

/// A link, by its two ends. Nodes and callers are numbered from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Link {
    /// From a caller to a node.
    Caller {
        /// The caller, which opens it.
        caller: usize,
        /// The node to which it connects.
        node: usize,
    },
    /// From a node to its agent.
    Agent {
        /// The node, which opens it.
        node: usize,
    },
    /// Between two members of a group.
    Peer {
        /// The node that opens it.
        from: usize,
        /// The node to which it connects.
        to: usize,
    },
}

impl Link {
    /// The node that may be unavailable to callers while the link is broken; `None` for links between peers, which are
    /// not on the path of a caller's request.
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
    /// Blocks all traffic; when it ends, all connections of the link are reset.
    Cut {
        /// From the end that opened it.
        forth: bool,
        /// To the end that opened it.
        back: bool,
    },
    /// The far end disappears, and the near end gets no notice.
    HalfOpen,
    /// Delays each chunk by this duration, plus or minus half.
    Delay(Duration),
    /// Limits the rate to this many bytes per second.
    Throttle(u64),
    /// Holds back all traffic; when it ends, the traffic is delivered.
    Stall,
}

/// A cut of both directions.
const CUT: LinkFault = LinkFault::Cut {
    forth: true,
    back: true,
};
/// Cuts of one direction.
const CUT_FORTH: LinkFault = LinkFault::Cut {
    forth: true,
    back: false,
};
const CUT_BACK: LinkFault = LinkFault::Cut {
    forth: false,
    back: true,
};

/// A fault of a process, its disk, its clock or a link. Nodes are numbered from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultAction {
    /// A link has a fault for a time.
    Link {
        /// The link.
        link: Link,
        /// Its fault.
        #[serde(rename = "trouble")]
        fault: LinkFault,
    },
    /// A connection is reset in the middle of the next transfer.
    Reset {
        /// The link.
        link: Link,
    },
    /// The last frame is sent a second time, over a new connection.
    #[serde(rename = "twice")]
    DuplicateFrame {
        /// The link.
        link: Link,
    },
    /// A node is killed, and restarted after a time.
    Kill {
        /// The node.
        node: usize,
        /// The disk that it finds when it is restarted.
        disk: RestartDisk,
    },
    /// The node that leads the most shards at the time is killed.
    #[serde(rename = "chase")]
    KillLeader {
        /// The disk that it finds when it is restarted.
        disk: RestartDisk,
    },
    /// A node is stopped by a signal, and continued after a time.
    Stop {
        /// The node.
        node: usize,
    },
    /// A node is drained and restarted.
    #[serde(rename = "roll")]
    RollingRestart {
        /// The node.
        node: usize,
    },
    /// Every flush of a node fails.
    FlushFails {
        /// The node.
        node: usize,
    },
    /// Every write of a node fails.
    DiskFull {
        /// The node.
        node: usize,
    },
    /// Every flush of a node takes longer.
    DiskSlow {
        /// The node.
        node: usize,
        /// Additional time of each flush.
        by: Duration,
    },
    /// A node is killed, and part of a record is appended to its log.
    #[serde(rename = "torn")]
    TornWrite {
        /// The node.
        node: usize,
    },
    /// A node runs with a faulty clock.
    Clock {
        /// The node.
        node: usize,
        /// Rate in thousandths of the true rate.
        rate: u32,
        /// How far the clock is ahead from the start.
        step: Duration,
    },
}

impl FaultAction {
    /// The nodes whose callers may be left without an answer by this fault.
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

/// The disk that a killed process finds when it is restarted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RestartDisk {
    /// Unchanged.
    Same,
    /// Without any file.
    Empty,
    /// A copy from before the callers began.
    Old,
    /// A copy of another node's disk, from before the callers began.
    Another {
        /// The other node.
        of: usize,
    },
}

/// One step of a schedule.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct FaultStep {
    /// When it begins, relative to the start of the callers.
    pub from: Duration,
    /// When it ends, relative to the start of the callers.
    pub until: Duration,
    /// Number of the fault: its actions share it, and are removed together when a schedule is shrunk.
    pub fault: usize,
    /// The action.
    #[serde(rename = "act")]
    pub action: FaultAction,
}

/// Draws all steps of one run, sorted by their start.
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

/// Start and end of a fault. A drawn one ends before the run does; an explicit one has the configured duration.
fn span_of(rig: &Rig, fault: &RigFault, random: &mut WyRand) -> (Duration, Duration) {
    let run = Duration::from_nanos(rig.lasts_ns);
    // Always drawn, so that later draws do not depend on whether the start is configured.
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

/// Draws a number from 0 up to, but not including, 1.
fn draw_fraction(random: &mut WyRand) -> f64 {
    random.generate_range(0..1_000_000u64) as f64 / 1e6
}

/// Draws an index from 0 up to, but not including, `limit`.
fn draw_index(random: &mut WyRand, limit: usize) -> usize {
    random.generate_range(0..limit.max(1) as u64) as usize
}

/// The node, the disk and the link that a fault affects, as configured or drawn.
struct Target {
    node: usize,
    disk: RestartDisk,
    link: Link,
}

impl Target {
    /// Draws fields that are not configured, in their order; a configured field makes no draw.
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

    /// Actions for a fault of the link. Two nodes have two links, one opened by each, and the fault affects both;
    /// `reverse` is the same fault as seen from the other end.
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
        RigTrouble::Site => cut_off_zone(rig, node % rig.sites.max(1) as usize),
        RigTrouble::Unspecified => Vec::new(),
    }
}

/// Splits the nodes into two halves that do not reach each other; with a bridge, one node reaches both halves.
fn split(nodes: usize, with_bridge: bool, random: &mut WyRand) -> Vec<FaultAction> {
    let mut order: Vec<usize> = (0..nodes).collect();
    random.shuffle(&mut order);
    let bridge = with_bridge.then(|| order[nodes - 1]);
    let left = &order[..(nodes - usize::from(with_bridge)) / 2];
    peer_link_faults(nodes, |from, to| {
        let touches_bridge = bridge == Some(from) || bridge == Some(to);
        (left.contains(&from) != left.contains(&to) && !touches_bridge).then_some(CUT)
    })
}

/// Cuts the link from each node to the next in one direction.
fn ring(nodes: usize) -> Vec<FaultAction> {
    peer_link_faults(nodes, |from, to| {
        if to == (from + 1) % nodes {
            Some(CUT_FORTH)
        } else {
            (from == (to + 1) % nodes).then_some(CUT_BACK)
        }
    })
}

/// Cuts off a zone from the other zones and from all callers.
fn cut_off_zone(rig: &Rig, zone: usize) -> Vec<FaultAction> {
    let nodes = rig.nodes.max(1) as usize;
    let zones = rig.sites.max(1) as usize;
    let is_in_zone = |node: usize| node % zones == zone;
    let mut actions = peer_link_faults(nodes, |from, to| {
        (is_in_zone(from) != is_in_zone(to)).then_some(CUT)
    });
    for node in (0..nodes).filter(|node| is_in_zone(*node)) {
        let callers = 0..rig.callers as usize;
        actions.extend(callers.map(|caller| FaultAction::Link {
            link: Link::Caller { caller, node },
            fault: CUT,
        }));
    }
    actions
}

/// Faults of the links between nodes; `fault_of` takes the node that opens a link and the node it connects to.
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
