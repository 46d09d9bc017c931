//! The policies, which may be built on one another: `limits`, `attempts`, `budget`, `health`, `retry-after`.

use super::{must, or, Bounds, Reader, LONGEST, MOST_TRIES, SECOND};
use crate::schema::{self, Per, Proof};
use crate::tree::Kind as Leaf;
use crate::units::{Dimension, ONE, PERCENT};

pub(super) fn limits(r: &mut Reader<'_, '_, '_, '_>) -> schema::Limits {
    let words = [
        ("all", Per::All),
        ("tenant", Per::Tenant),
        ("type", Per::Type),
        ("pool", Per::Pool),
    ];
    let rate = r.rate("rate");
    let default = u64::from(rate.is_some());
    schema::Limits {
        name: r.name(),
        rate,
        burst: r.amount("burst", Dimension::Tickets, or(default, 1 << 30)),
        at_once: r.amount("at-once", Dimension::Tickets, or(0, 1 << 30)),
        per: r
            .word("per", &words, Some(Per::All))
            .unwrap_or(Per::All)
            .into(),
    }
}

pub(super) fn attempts(r: &mut Reader<'_, '_, '_, '_>) -> schema::Attempts {
    let words = [
        ("not-run", Proof::NotRun),
        ("mark", Proof::Mark),
        ("none", Proof::None),
    ];
    let wait = r.range(
        "wait",
        Dimension::Time,
        false,
        &Bounds {
            default: None,
            zero: true,
            most: LONGEST,
        },
    );
    let (least, most) = wait.unwrap_or((None, None));
    schema::Attempts {
        name: r.name(),
        tries: r.whole("tries", or(2, MOST_TRIES)),
        budget: r.share("budget", or(20 * PERCENT, ONE)),
        wait_least_ns: least.unwrap_or(10_000_000),
        wait_most_ns: most.unwrap_or(100_000_000),
        proof: r
            .word("proof", &words, Some(Proof::NotRun))
            .unwrap_or(Proof::NotRun)
            .into(),
    }
}

pub(super) fn budget(r: &mut Reader<'_, '_, '_, '_>) -> schema::Budget {
    schema::Budget {
        name: r.name(),
        forward: stage(r, "forward"),
        queue: stage(r, "queue"),
        run: stage(r, "run"),
        call: stage(r, "call"),
        answer: stage(r, "answer"),
    }
}

/// A part of the goal time, or a time.
pub(super) fn stage(r: &mut Reader<'_, '_, '_, '_>, key: &'static str) -> Option<schema::Stage> {
    let value = r.single(key)?;
    let is_share = value
        .atoms
        .last()
        .is_some_and(|atom| atom.kind == Leaf::Percent);
    if is_share {
        let share = r.share(key, must(ONE));
        return Some(schema::Stage { share, fixed_ns: 0 });
    }
    let fixed_ns = r.time(key, must(LONGEST));
    Some(schema::Stage { share: 0, fixed_ns })
}

pub(super) fn health(r: &mut Reader<'_, '_, '_, '_>) -> schema::Health {
    let back = r.range(
        "back-after",
        Dimension::Time,
        false,
        &Bounds {
            default: None,
            zero: false,
            most: LONGEST,
        },
    );
    let (least, most) = back.unwrap_or((None, None));
    schema::Health {
        name: r.name(),
        out_after: r.amount("out-after", Dimension::Tickets, or(5, 1 << 20)),
        out_share: r.share("out-share", or(50 * PERCENT, ONE)),
        slow: r.amount("slow", Dimension::Factor, or(3 * ONE, 1_000 * ONE)),
        silent_ns: r.time("silent", or(2 * SECOND, LONGEST)),
        back_least_ns: least.unwrap_or(5 * SECOND),
        back_most_ns: most.unwrap_or(60 * SECOND),
        back_share: r.share("back-share", or(10 * PERCENT, ONE)),
        keep: r.share(
            "keep",
            Bounds {
                default: Some(50 * PERCENT),
                zero: true,
                most: ONE,
            },
        ),
    }
}

pub(super) fn retry_after(r: &mut Reader<'_, '_, '_, '_>) -> schema::RetryAfter {
    let bounds = Bounds {
        default: None,
        zero: false,
        most: LONGEST,
    };
    let (least, most) = match r.range("bounds", Dimension::Time, false, &bounds) {
        Some(ends) => ends,
        None => {
            if r.entry("bounds").is_none() {
                r.missing("bounds");
            }
            (None, None)
        }
    };
    schema::RetryAfter {
        name: r.name(),
        least_ns: least.unwrap_or(0),
        most_ns: most.unwrap_or(0),
    }
}
