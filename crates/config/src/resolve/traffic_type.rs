//! `type` blocks: what is promised to tickets of a kind, and whether they may run twice.

use super::{must, or, Bounds, Reader, Sort, LONGEST, MOST_FACTOR};
use crate::codes::Code;
use crate::schema::{self, RepeatKind};
use crate::source::Span;
use crate::units::{self, Dimension, ONE};
use crate::Finding;

pub(super) fn traffic_type(r: &mut Reader<'_, '_, '_, '_>) -> schema::TrafficType {
    // `repeat: ticketed 5 s` carries its window, so it is taken apart before the word is looked up.
    let (mut repeat, mut window_ns) = (RepeatKind::Unspecified, 0);
    let ticketed = r
        .single("repeat")
        .and_then(|value| match value.atoms.split_first() {
            Some((first, rest)) if first.text == "ticketed" => Some((value, rest)),
            _ => None,
        });
    if let Some((value, rest)) = ticketed {
        repeat = RepeatKind::Ticketed;
        if let (Some(first), Some(last)) = (rest.first(), rest.last()) {
            let at = Span {
                end: last.at.end,
                ..first.at
            };
            let text = r.maker.sources.slice(at);
            let found = units::expect_of("repeat: ticketed", Dimension::Time, rest, text, at);
            window_ns = r.within("repeat: ticketed", found, at, &must(LONGEST));
        } else {
            let words = "`ticketed` wants its window: how long a repeat is told apart";
            r.tell(
                Finding::new(Code::KeyMissing, value.at, words)
                    .help("write `repeat: ticketed 9 s`"),
            );
        }
    } else {
        let words = [
            ("rerunnable", RepeatKind::Rerunnable),
            ("ticketed", RepeatKind::Ticketed),
            ("exclusive", RepeatKind::Exclusive),
        ];
        repeat = r.word("repeat", &words, None).unwrap_or(repeat);
    }
    schema::TrafficType {
        name: r.name(),
        repeat: repeat.into(),
        window_ns,
        goal_ns: r.time("goal", must(LONGEST)),
        outer_limit_ns: r.time("outer-limit", must(LONGEST)),
        benefit: r.amount("benefit", Dimension::Factor, or(ONE, MOST_FACTOR)),
        late: r.share(
            "late",
            Bounds {
                default: Some(0),
                zero: true,
                most: ONE,
            },
        ),
        limits: r.reference("limits", Sort::Limits),
    }
}
