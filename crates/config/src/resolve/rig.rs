//! `rig` blocks: processes of the program on loopback, and the faults between them.

use super::{must, or, Bounds, Reader, LONGEST, SECOND};
use crate::codes::Code;
use crate::schema::{self, RigDisk, RigLink, RigTrouble};
use crate::units::{Dimension, ONE, PERCENT};
use crate::Finding;

/// Nodes and callers of one rig: processes that one machine runs side by side.
const MOST_NODES: u64 = 16;
const MOST_CALLERS: u64 = 64;
/// No run lasts longer, and no kind of fault comes more often in it.
const LONGEST_RUN: u64 = 3_600 * SECOND;
const MOST_TIMES: u64 = 1_000;
const MS: u64 = 1_000_000;

const YES_NO: [(&str, bool); 2] = [("yes", true), ("no", false)];

const KINDS: [(&str, RigTrouble); 23] = [
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

pub(super) fn rig(r: &mut Reader<'_, '_, '_, '_>) -> schema::Rig {
    r.holds = &["fault"];
    let block = r.block();
    let mut faults = Vec::new();
    for inner in block
        .blocks
        .iter()
        .filter(|inner| inner.kind.text == "fault")
    {
        if let Some(base) = &inner.base {
            r.tell(Finding::new(
                Code::NoBase,
                base.at,
                "a fault cannot be built on another",
            ));
        }
        let mut reader = Reader {
            maker: r.maker,
            chain: vec![inner],
            asked: Vec::new(),
            holds: &[],
        };
        faults.push(fault(&mut reader));
        reader.end();
    }
    let run = Bounds {
        default: None,
        zero: true,
        most: 60 * SECOND,
    };
    let run = r
        .range("run", Dimension::Time, false, &run)
        .unwrap_or((None, None));
    let made = schema::Rig {
        name: r.name(),
        lasts_ns: r.time("lasts", or(4 * SECOND, LONGEST_RUN)),
        nodes: r.whole("nodes", or(3, MOST_NODES)),
        callers: r.whole("callers", or(3, MOST_CALLERS)),
        every_ns: r.time("every", or(10 * MS, LONGEST)),
        keyed: r.share(
            "keyed",
            Bounds {
                default: Some(80 * PERCENT),
                zero: true,
                most: ONE,
            },
        ),
        repeats: r.share(
            "repeats",
            Bounds {
                default: Some(30 * PERCENT),
                zero: true,
                most: ONE,
            },
        ),
        r#move: r.word("move", &YES_NO, Some(true)).unwrap_or(true),
        within_ns: r.time("within", or(SECOND, LONGEST)),
        slack_ns: r.time("slack", or(500 * MS, LONGEST)),
        sites: r.whole("sites", or(1, MOST_NODES)),
        run_least_ns: run.0.unwrap_or(MS),
        run_most_ns: run.1.unwrap_or(5 * MS),
        shards: r.whole(
            "shards",
            Bounds {
                default: Some(0),
                zero: true,
                most: 1_024,
            },
        ),
        copies: r.whole("copies", or(3, 7)),
        faults,
    };
    if made.shards > 0 && (made.copies.is_multiple_of(2) || made.copies > made.nodes) {
        let words = format!("{} copies on {} nodes", made.copies, made.nodes);
        let finding = Finding::new(Code::GroupSize, block.at(), words);
        r.tell(finding.help("write 3, 5 or 7 copies, and at least as many nodes"));
    }
    made
}

fn fault(r: &mut Reader<'_, '_, '_, '_>) -> schema::RigFault {
    let kind = r
        .word("what", &KINDS, None)
        .unwrap_or(RigTrouble::Unspecified);
    let drawn = r.entry("at").is_none();
    let from = r.time(
        "at",
        Bounds {
            default: Some(0),
            zero: true,
            most: LONGEST_RUN,
        },
    );
    use RigTrouble::*;
    let wants = |kinds: &[RigTrouble]| kinds.contains(&kind);
    let links = [
        ("callers", RigLink::Callers),
        ("agent", RigLink::Agent),
        ("peers", RigLink::Peers),
    ];
    let disks = [
        ("same", RigDisk::Same),
        ("empty", RigDisk::Empty),
        ("old", RigDisk::Old),
        ("another", RigDisk::Another),
    ];
    let on_link = wants(&[
        Cut, CutOneWay, HalfOpen, Reset, Delay, Throttle, Stall, Twice,
    ]);
    // What happens in a moment lasts no time; the rest must say how long.
    let moment = wants(&[Reset, Twice, Torn]);
    let span = wants(&[Delay, DiskSlow, ClockStep]);
    schema::RigFault {
        kind: kind.into(),
        link: if on_link {
            r.word("link", &links, None).unwrap_or(RigLink::Unspecified)
        } else {
            RigLink::Unspecified
        }
        .into(),
        from_ns: (!drawn).then_some(from),
        lasts_ns: if moment {
            0
        } else {
            r.time("lasts", must(LONGEST_RUN))
        },
        node: r.whole(
            "node",
            Bounds {
                default: Some(0),
                zero: false,
                most: MOST_NODES,
            },
        ),
        times: r.whole("times", or(1, MOST_TIMES)),
        span_ns: if span {
            r.time("span", must(LONGEST))
        } else {
            0
        },
        disk: if wants(&[Kill, Chase]) {
            r.word("disk", &disks, Some(RigDisk::Same))
                .unwrap_or(RigDisk::Same)
        } else {
            RigDisk::Unspecified
        }
        .into(),
    }
}
