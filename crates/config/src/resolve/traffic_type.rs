//! `type` blocks: what is promised to requests of a class, and whether they may run twice.

use super::bounds::{optional, required};
use super::reader::{BlockReader, Keyword};
use super::{BlockKind, MAX_DURATION_NS, MAX_FACTOR};
use crate::ast::{Atom, Value};
use crate::codes::Code;
use crate::schema::{self, RepeatKind};
use crate::units::{Dimension, ONE};
use crate::Finding;

const REPEAT_KINDS: [Keyword<RepeatKind>; 3] = [
    ("rerunnable", RepeatKind::Rerunnable),
    ("ticketed", RepeatKind::Ticketed),
    ("exclusive", RepeatKind::Exclusive),
];

/// Whether a request may run twice; a repeat of a ticketed one is recognised within its window.
struct Repeat {
    kind: RepeatKind,
    window_ns: u64,
}

pub(super) fn traffic_type(r: &mut BlockReader<'_, '_, '_, '_>) -> schema::TrafficType {
    let repeat = repeat(r);
    schema::TrafficType {
        name: r.name(),
        repeat: repeat.kind.into(),
        window_ns: repeat.window_ns,
        goal_ns: r.time("goal", required(MAX_DURATION_NS)),
        outer_limit_ns: r.time("outer-limit", required(MAX_DURATION_NS)),
        benefit: r.factor("benefit", optional(ONE, MAX_FACTOR)),
        late: r.share("late", optional(0, ONE).or_zero()),
        limits: r.reference("limits", BlockKind::Limits),
    }
}

/// `rerunnable`, `exclusive`, or `ticketed 9 s` with its window.
fn repeat(r: &mut BlockReader<'_, '_, '_, '_>) -> Repeat {
    if let Some(value) = r.single("repeat") {
        if let [word, window @ ..] = &value.atoms[..] {
            if word.text == "ticketed" {
                return Repeat {
                    kind: RepeatKind::Ticketed,
                    window_ns: window_ns(r, value, window),
                };
            }
        }
    }
    let kind = r.required_keyword("repeat", &REPEAT_KINDS);
    Repeat {
        kind: kind.unwrap_or(RepeatKind::Unspecified),
        window_ns: 0,
    }
}

fn window_ns<'t>(
    r: &mut BlockReader<'_, '_, '_, 't>,
    value: &Value<'t>,
    window: &[Atom<'t>],
) -> u64 {
    let (Some(first), Some(last)) = (window.first(), window.last()) else {
        let message = "`ticketed` wants its window: how long a repeat is told apart";
        let finding = Finding::new(Code::KeyMissing, value.span, message);
        r.report(finding.with_help("write `repeat: ticketed 9 s`"));
        return 0;
    };
    let span = first.span.to(last.span);
    let bounds = required(MAX_DURATION_NS);
    r.amount_in("repeat: ticketed", Dimension::Time, window, span, &bounds)
}
