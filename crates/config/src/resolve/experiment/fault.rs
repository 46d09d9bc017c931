//! What goes wrong in an experiment.

use super::{LONGEST_RUN, MOST_PARTS};
use crate::codes::Code;
use crate::resolve::reader::{must, Bounds, Reader};
use crate::resolve::LONGEST;
use crate::schema::{self, TroubleKind};
use crate::units::{Dimension, ONE};
use crate::Finding;

pub(super) fn fault(r: &mut Reader<'_, '_, '_, '_>) -> schema::ModelFault {
    let kinds = [
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
    let at = r.block().kind.at;
    let kind = r
        .word("what", &kinds, None)
        .unwrap_or(TroubleKind::TroubleUnspecified);
    let from_ns = r.time(
        "at",
        Bounds {
            default: None,
            zero: true,
            most: LONGEST_RUN,
        },
    );
    let lasts_ns = r.time("lasts", must(LONGEST_RUN));
    // Each key only where it means something: elsewhere it is unknown, and told as such.
    let wants = |kinds: &[TroubleKind]| kinds.contains(&kind);
    use TroubleKind::*;
    let times = if wants(&[Slow, Flood]) {
        r.amount("times", Dimension::Factor, must(1_000 * ONE))
    } else {
        0
    };
    let cores = if wants(&[Neighbour]) {
        r.amount("cores", Dimension::Factor, must(1_024 * ONE))
    } else {
        0
    };
    let span_ns = if wants(&[FailFast, Lie, Deploy, ClockJump]) {
        r.time("span", must(LONGEST))
    } else {
        0
    };
    let tenant = if wants(&[Flood]) {
        let said = r.text("tenant", "the name of a tenant of this experiment");
        if said.is_none() && r.entry("tenant").is_none() {
            r.missing("tenant");
        }
        said.map_or(String::new(), |name| name.text.into_owned())
    } else {
        String::new()
    };
    let mut made = schema::ModelFault {
        kind: kind.into(),
        from_ns,
        lasts_ns,
        times,
        cores,
        span_ns,
        tenant,
        ..schema::ModelFault::default()
    };
    if wants(&[BelowDies]) {
        made.first = r.whole("first", must(MOST_PARTS));
    } else if !wants(&[Flood, Partition, ClockJump]) {
        made.share = r.share(
            "share",
            Bounds {
                default: Some(0),
                zero: true,
                most: ONE,
            },
        );
        made.first = r.whole(
            "first",
            Bounds {
                default: Some(0),
                zero: true,
                most: MOST_PARTS,
            },
        );
        let hall = r.single("hall").is_some();
        let number = r.whole(
            "hall",
            Bounds {
                default: Some(0),
                zero: true,
                most: 64,
            },
        );
        made.hall = hall.then_some(number as u32);
        let ways = u32::from(made.share > 0) + u32::from(made.first > 0) + u32::from(hall);
        if ways != 1 {
            let words = "a fault meets nodes by one of `share`, `first` and `hall`";
            r.tell(Finding::new(Code::KeyMissing, at, words).help("write `share: 20 %`"));
        }
    }
    made
}
