//! `rig` blocks: runs of the testbed, that is processes of the program on loopback and the faults between them.

use super::bounds::{optional, required};
use super::reader::{BlockReader, Keyword};
use super::{MAX_DURATION_NS, MILLISECOND_NS, SECOND_NS};
use crate::codes::Code;
use crate::schema::{self, RigDisk, RigLink, RigTrouble};
use crate::units::{ONE, PERCENT};
use crate::Finding;

/// Nodes, and sites, of one run: processes that one machine runs side by side.
const MAX_NODES: u64 = 16;
const MAX_CALLERS: u64 = 64;
const MAX_SHARDS: u64 = 1_024;
/// Replicas of one shard.
const MAX_COPIES: u64 = 7;
const MAX_RUN_NS: u64 = 3_600 * SECOND_NS;
/// The longest time that a node takes for one request.
const MAX_WORK_NS: u64 = 60 * SECOND_NS;
/// How often one fault may come in a run.
const MAX_TIMES: u64 = 1_000;

const FAULT_KINDS: [Keyword<RigTrouble>; 23] = [
    ("cut", RigTrouble::Cut),
    ("cut-one-way", RigTrouble::CutOneWay),
    ("half-open", RigTrouble::HalfOpen),
    ("reset", RigTrouble::Reset),
    ("delay", RigTrouble::Delay),
    ("throttle", RigTrouble::Throttle),
    ("stall", RigTrouble::Stall),
    ("twice", RigTrouble::Twice),
    ("kill", RigTrouble::Kill),
    ("stop", RigTrouble::Stop),
    ("roll", RigTrouble::Roll),
    ("chase", RigTrouble::Chase),
    ("halves", RigTrouble::Halves),
    ("bridge", RigTrouble::Bridge),
    ("ring", RigTrouble::Ring),
    ("site", RigTrouble::Site),
    ("flush-fails", RigTrouble::FlushFails),
    ("disk-full", RigTrouble::DiskFull),
    ("disk-slow", RigTrouble::DiskSlow),
    ("torn", RigTrouble::Torn),
    ("clock-fast", RigTrouble::ClockFast),
    ("clock-slow", RigTrouble::ClockSlow),
    ("clock-step", RigTrouble::ClockStep),
];

const LINKS: [Keyword<RigLink>; 3] = [
    ("callers", RigLink::Callers),
    ("agent", RigLink::Agent),
    ("peers", RigLink::Peers),
];

const DISKS: [Keyword<RigDisk>; 4] = [
    ("same", RigDisk::Same),
    ("empty", RigDisk::Empty),
    ("old", RigDisk::Old),
    ("another", RigDisk::Another),
];

pub(super) fn rig(r: &mut BlockReader<'_, '_, '_, '_>) -> schema::Rig {
    r.allowed_blocks = &["fault"];
    let faults = r.inner_blocks("fault", fault);
    let work = r.time_range("run", &required(MAX_WORK_NS).or_zero());
    let made = schema::Rig {
        name: r.name(),
        lasts_ns: r.time("lasts", optional(4 * SECOND_NS, MAX_RUN_NS)),
        nodes: r.integer("nodes", optional(3, MAX_NODES)),
        callers: r.integer("callers", optional(3, MAX_CALLERS)),
        every_ns: r.time("every", optional(10 * MILLISECOND_NS, MAX_DURATION_NS)),
        keyed: r.share("keyed", optional(80 * PERCENT, ONE).or_zero()),
        repeats: r.share("repeats", optional(30 * PERCENT, ONE).or_zero()),
        r#move: r.yes_no("move", true),
        within_ns: r.time("within", optional(SECOND_NS, MAX_DURATION_NS)),
        slack_ns: r.time("slack", optional(500 * MILLISECOND_NS, MAX_DURATION_NS)),
        sites: r.integer("sites", optional(1, MAX_NODES)),
        run_least_ns: work.min.unwrap_or(MILLISECOND_NS),
        run_most_ns: work.max.unwrap_or(5 * MILLISECOND_NS),
        shards: r.integer("shards", optional(0, MAX_SHARDS).or_zero()),
        copies: r.integer("copies", optional(3, MAX_COPIES)),
        faults: faults.into_iter().map(|(fault, _)| fault).collect(),
    };
    if made.shards > 0 && (made.copies.is_multiple_of(2) || made.copies > made.nodes) {
        let message = format!("{} copies on {} nodes", made.copies, made.nodes);
        let finding = Finding::new(Code::GroupSize, r.block().span(), message);
        r.report(finding.with_help("write 3, 5 or 7 copies, and at least as many nodes"));
    }
    made
}

fn acts_on_link(kind: RigTrouble) -> bool {
    matches!(
        kind,
        RigTrouble::Cut
            | RigTrouble::CutOneWay
            | RigTrouble::HalfOpen
            | RigTrouble::Reset
            | RigTrouble::Delay
            | RigTrouble::Throttle
            | RigTrouble::Stall
            | RigTrouble::Twice
    )
}

/// What happens in a moment lasts no time; everything else must say how long.
fn is_momentary(kind: RigTrouble) -> bool {
    matches!(
        kind,
        RigTrouble::Reset | RigTrouble::Twice | RigTrouble::Torn
    )
}

fn has_span(kind: RigTrouble) -> bool {
    matches!(
        kind,
        RigTrouble::Delay | RigTrouble::DiskSlow | RigTrouble::ClockStep
    )
}

/// A fault. Each key is asked for only where it means something, so that it is unknown elsewhere.
fn fault(r: &mut BlockReader<'_, '_, '_, '_>) -> schema::RigFault {
    let kind = r
        .required_keyword("what", &FAULT_KINDS)
        .unwrap_or(RigTrouble::Unspecified);
    let has_time = r.entry("at").is_some();
    let from_ns = r.time("at", optional(0, MAX_RUN_NS).or_zero());
    let link = if acts_on_link(kind) {
        r.required_keyword("link", &LINKS)
            .unwrap_or(RigLink::Unspecified)
    } else {
        RigLink::Unspecified
    };
    let lasts_ns = if is_momentary(kind) {
        0
    } else {
        r.time("lasts", required(MAX_RUN_NS))
    };
    let node = r.integer("node", optional(0, MAX_NODES));
    let times = r.integer("times", optional(1, MAX_TIMES));
    let span_ns = if has_span(kind) {
        r.time("span", required(MAX_DURATION_NS))
    } else {
        0
    };
    let disk = if matches!(kind, RigTrouble::Kill | RigTrouble::Chase) {
        r.keyword_or("disk", &DISKS, RigDisk::Same)
    } else {
        RigDisk::Unspecified
    };
    schema::RigFault {
        kind: kind.into(),
        link: link.into(),
        from_ns: has_time.then_some(from_ns),
        lasts_ns,
        node,
        times,
        span_ns,
        disk: disk.into(),
    }
}
