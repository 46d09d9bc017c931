//! What goes wrong in an experiment.

use super::{MAX_PARTS, MAX_RUN_NS};
use crate::codes::Code;
use crate::resolve::bounds::{optional, required};
use crate::resolve::reader::{BlockReader, Keyword};
use crate::resolve::MAX_DURATION_NS;
use crate::schema::{self, TroubleKind};
use crate::units::ONE;
use crate::Finding;

/// How many times slower, or how many times the load.
const MAX_TIMES: u64 = 1_000 * ONE;
const MAX_CORES: u64 = 1_024 * ONE;
const MAX_HALLS: u64 = 64;

const KINDS: [Keyword<TroubleKind>; 12] = [
    ("die", TroubleKind::Die),
    ("slow", TroubleKind::Slow),
    ("hang", TroubleKind::Hang),
    ("stand-still", TroubleKind::StandStill),
    ("fail-fast", TroubleKind::FailFast),
    ("neighbour", TroubleKind::Neighbour),
    ("lie", TroubleKind::Lie),
    ("deploy", TroubleKind::Deploy),
    ("partition", TroubleKind::Partition),
    ("flood", TroubleKind::Flood),
    ("clock-jump", TroubleKind::ClockJump),
    ("below-dies", TroubleKind::BelowDies),
];

/// A fault. Each key is asked for only where it means something, so that it is unknown elsewhere.
pub(super) fn fault(r: &mut BlockReader<'_, '_, '_, '_>) -> schema::ModelFault {
    let kind = r
        .required_keyword("what", &KINDS)
        .unwrap_or(TroubleKind::TroubleUnspecified);
    let mut made = schema::ModelFault {
        kind: kind.into(),
        from_ns: r.time("at", required(MAX_RUN_NS).or_zero()),
        lasts_ns: r.time("lasts", required(MAX_RUN_NS)),
        ..schema::ModelFault::default()
    };
    read_extent(r, kind, &mut made);
    match kind {
        TroubleKind::BelowDies => made.first = r.integer("first", required(MAX_PARTS)),
        TroubleKind::Flood | TroubleKind::Partition | TroubleKind::ClockJump => {}
        _ => read_nodes(r, &mut made),
    }
    made
}

/// How bad it is.
fn read_extent(
    r: &mut BlockReader<'_, '_, '_, '_>,
    kind: TroubleKind,
    fault: &mut schema::ModelFault,
) {
    match kind {
        TroubleKind::Slow => fault.times = r.factor("times", required(MAX_TIMES)),
        TroubleKind::Neighbour => fault.cores = r.factor("cores", required(MAX_CORES)),
        TroubleKind::FailFast | TroubleKind::Lie | TroubleKind::Deploy | TroubleKind::ClockJump => {
            fault.span_ns = r.time("span", required(MAX_DURATION_NS));
        }
        TroubleKind::Flood => {
            fault.times = r.factor("times", required(MAX_TIMES));
            fault.tenant = r.required_name("tenant", "the name of a tenant of this experiment");
        }
        _ => {}
    }
}

/// Which nodes it meets, by one of three keys.
fn read_nodes(r: &mut BlockReader<'_, '_, '_, '_>, fault: &mut schema::ModelFault) {
    fault.share = r.share("share", optional(0, ONE).or_zero());
    fault.first = r.integer("first", optional(0, MAX_PARTS).or_zero());
    let has_hall = r.single("hall").is_some();
    let hall = r.integer("hall", optional(0, MAX_HALLS).or_zero());
    fault.hall = has_hall.then_some(hall as u32);
    let keys = [fault.share > 0, fault.first > 0, has_hall];
    if keys.into_iter().filter(|given| *given).count() != 1 {
        let message = "a fault meets nodes by one of `share`, `first` and `hall`";
        let finding = Finding::new(Code::KeyMissing, r.block().kind.span, message);
        r.report(finding.with_help("write `share: 20 %`"));
    }
}
