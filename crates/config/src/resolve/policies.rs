//! The policies, which may be built on one another: `limits`, `attempts`, `budget`, `health`, `retry-after`.

use super::bounds::{optional, required};
use super::reader::{BlockReader, Keyword};
use super::{MAX_DURATION_NS, MAX_TRIES, MILLISECOND_NS, SECOND_NS};
use crate::schema::{self, Per, Proof};
use crate::syntax::SyntaxKind;
use crate::units::{ONE, PERCENT};

/// Tickets of a burst, and those that run at once.
const MAX_TICKETS: u64 = 1 << 30;
/// Failures in a row after which a member is ejected.
const MAX_FAILURES: u64 = 1 << 20;
/// How many times slower than the others a member may be.
const MAX_SLOWNESS: u64 = 1_000 * ONE;

const PER: [Keyword<Per>; 4] = [
    ("all", Per::All),
    ("tenant", Per::Tenant),
    ("type", Per::Type),
    ("pool", Per::Pool),
];

const PROOF: [Keyword<Proof>; 3] = [
    ("not-run", Proof::NotRun),
    ("mark", Proof::Mark),
    ("none", Proof::None),
];

pub(super) fn limits(r: &mut BlockReader<'_, '_, '_, '_>) -> schema::Limits {
    let rate = r.rate("rate");
    let default_burst = u64::from(rate.is_some());
    schema::Limits {
        name: r.name(),
        rate,
        burst: r.tickets("burst", optional(default_burst, MAX_TICKETS)),
        at_once: r.tickets("at-once", optional(0, MAX_TICKETS)),
        per: r.keyword_or("per", &PER, Per::All).into(),
    }
}

pub(super) fn attempts(r: &mut BlockReader<'_, '_, '_, '_>) -> schema::Attempts {
    let wait = r.time_range("wait", &required(MAX_DURATION_NS).or_zero());
    schema::Attempts {
        name: r.name(),
        tries: r.integer("tries", optional(2, MAX_TRIES)),
        budget: r.share("budget", optional(20 * PERCENT, ONE)),
        wait_least_ns: wait.min.unwrap_or(10 * MILLISECOND_NS),
        wait_most_ns: wait.max.unwrap_or(100 * MILLISECOND_NS),
        proof: r.keyword_or("proof", &PROOF, Proof::NotRun).into(),
    }
}

pub(super) fn budget(r: &mut BlockReader<'_, '_, '_, '_>) -> schema::Budget {
    schema::Budget {
        name: r.name(),
        forward: stage(r, "forward"),
        queue: stage(r, "queue"),
        run: stage(r, "run"),
        call: stage(r, "call"),
        answer: stage(r, "answer"),
    }
}

/// A share of the latency objective, or a time.
fn stage(r: &mut BlockReader<'_, '_, '_, '_>, key: &'static str) -> Option<schema::Stage> {
    let value = r.single(key)?;
    let is_share = value
        .atoms
        .last()
        .is_some_and(|atom| atom.kind == SyntaxKind::Percent);
    Some(if is_share {
        schema::Stage {
            share: r.share(key, required(ONE)),
            fixed_ns: 0,
        }
    } else {
        schema::Stage {
            share: 0,
            fixed_ns: r.time(key, required(MAX_DURATION_NS)),
        }
    })
}

pub(super) fn health(r: &mut BlockReader<'_, '_, '_, '_>) -> schema::Health {
    let back = r.time_range("back-after", &required(MAX_DURATION_NS));
    schema::Health {
        name: r.name(),
        out_after: r.tickets("out-after", optional(5, MAX_FAILURES)),
        out_share: r.share("out-share", optional(50 * PERCENT, ONE)),
        slow: r.factor("slow", optional(3 * ONE, MAX_SLOWNESS)),
        silent_ns: r.time("silent", optional(2 * SECOND_NS, MAX_DURATION_NS)),
        back_least_ns: back.min.unwrap_or(5 * SECOND_NS),
        back_most_ns: back.max.unwrap_or(60 * SECOND_NS),
        back_share: r.share("back-share", optional(10 * PERCENT, ONE)),
        keep: r.share("keep", optional(50 * PERCENT, ONE).or_zero()),
    }
}

pub(super) fn retry_after(r: &mut BlockReader<'_, '_, '_, '_>) -> schema::RetryAfter {
    let bounds = r.time_range("bounds", &required(MAX_DURATION_NS));
    r.report_if_missing("bounds");
    schema::RetryAfter {
        name: r.name(),
        least_ns: bounds.min.unwrap_or(0),
        most_ns: bounds.max.unwrap_or(0),
    }
}
