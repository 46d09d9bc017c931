//! `experiment` blocks: a fleet, its load, what goes wrong, and what is varied; the fleet model plays them.

mod fault;
mod fleet;
mod traffic;
mod vary;

use super::bounds::{optional, required};
use super::reader::BlockReader;
use super::{BlockKind, MAX_DURATION_NS, MAX_TRIES, SECOND_NS};
use crate::codes::Code;
use crate::finding::shorten;
use crate::schema;
use crate::source::Span;
use crate::syntax::SyntaxKind;
use crate::units::{Dimension, PERCENT};
use crate::Finding;
use fault::fault;
use fleet::{downstream, fleet, forwarders, network};
use traffic::{load, source, traffic};
use vary::vary;

/// Nodes, forwarders or dispatchers of one experiment.
const MAX_PARTS: u64 = 100_000;
/// Tickets that a node or a forwarder may hold.
const MAX_TICKETS: u64 = 1 << 20;
/// Plays of one experiment: the product of the numbers of its varied values.
const MAX_PLAYS: usize = 4_096;
const MAX_SEEDS: u64 = 10_000;
/// The longest run on the virtual clock: a day.
const MAX_RUN_NS: u64 = 24 * 3_600 * SECOND_NS;
const DEFAULT_LOAD: u64 = 60 * PERCENT;

pub(super) fn experiment(r: &mut BlockReader<'_, '_, '_, '_>) -> schema::Experiment {
    r.allowed_blocks = &[
        "fleet",
        "forwarders",
        "network",
        "below",
        "traffic",
        "from",
        "load",
        "fault",
        "vary",
    ];
    let fleet = only(r, "fleet", fleet);
    if fleet.is_none() {
        let finding = missing_block(r, "fleet");
        r.report(finding.with_help("write `fleet { nodes: 10 }`"));
    }
    let traffic = values(r.inner_blocks("traffic", traffic));
    let sources = values(r.inner_blocks("from", source));
    for (kind, is_empty) in [
        ("traffic", traffic.is_empty()),
        ("from", sources.is_empty()),
    ] {
        if is_empty {
            let finding = missing_block(r, kind);
            r.report(finding);
        }
    }
    let load = load_parts(r);
    let vary = varied(r);
    schema::Experiment {
        name: r.name(),
        lasts_ns: r.time("lasts", optional(10 * SECOND_NS, MAX_RUN_NS)),
        seeds: r.integer("seeds", optional(5, MAX_SEEDS)),
        dispatchers: r.integer("dispatchers", optional(4, MAX_PARTS)),
        tries: r.integer("tries", optional(3, MAX_TRIES)),
        heeds: r.yes_no("heeds", true),
        marks: r.yes_no("marks", true),
        second_copy_ns: r.time("second-copy", optional(0, MAX_DURATION_NS).or_zero()),
        late_list_ns: r.time(
            "late-list",
            optional(2 * SECOND_NS, MAX_DURATION_NS).or_zero(),
        ),
        fleet,
        forwarders: only(r, "forwarders", forwarders),
        network: only(r, "network", network),
        below: only(r, "below", downstream),
        traffic,
        from: sources,
        load,
        faults: values(r.inner_blocks("fault", fault)),
        vary,
    }
}

fn values<T>(blocks: Vec<(T, Span)>) -> Vec<T> {
    blocks.into_iter().map(|(value, _)| value).collect()
}

fn missing_block(r: &BlockReader<'_, '_, '_, '_>, kind: &str) -> Finding {
    let message = format!("the experiment `{}` has no `{kind}`", shorten(&r.name()));
    Finding::new(Code::KeyMissing, r.block().span(), message)
}

/// The first block of a kind, which should be the only one.
fn only<'w, 'r, 't, T>(
    r: &mut BlockReader<'_, 'w, 'r, 't>,
    kind: &str,
    make: impl Fn(&mut BlockReader<'_, 'w, 'r, 't>) -> T,
) -> Option<T> {
    let mut all = r.inner_blocks(kind, make).into_iter();
    let (first, first_span) = all.next()?;
    if let Some((_, second_span)) = all.next() {
        let message = format!("this experiment has a `{kind}` already");
        let finding = Finding::new(Code::NameTwice, second_span, message);
        r.report(finding.with_label(first_span, "the first one"));
    }
    Some(first)
}

/// The parts of the load, in the order of time; one from the beginning if none is written.
fn load_parts(r: &mut BlockReader<'_, '_, '_, '_>) -> Vec<schema::LoadPart> {
    let parts = r.inner_blocks("load", load);
    for pair in parts.windows(2) {
        let ((before, before_span), (after, after_span)) = (&pair[0], &pair[1]);
        if before.from_ns >= after.from_ns {
            let message = "this load begins before the one above it";
            let finding = Finding::new(Code::RangeOrder, *after_span, message);
            r.report(finding.with_label(*before_span, "the one above"));
        }
    }
    if parts.is_empty() {
        return vec![schema::LoadPart {
            from_ns: 0,
            share: DEFAULT_LOAD,
        }];
    }
    values(parts)
}

fn varied(r: &mut BlockReader<'_, '_, '_, '_>) -> Vec<schema::Vary> {
    let all = values(r.inner_blocks("vary", vary));
    let plays: usize = all
        .iter()
        .map(|one| one.values.len().max(one.words.len()).max(1))
        .product();
    if plays > MAX_PLAYS {
        let message = format!("varied values come to {plays} plays; {MAX_PLAYS} are the most");
        let span = r.block().span();
        r.report(Finding::new(Code::TooMuch, span, message));
    }
    all
}

/// The name of an inner block, which must be that of a block of this kind at the top of a file.
fn referenced_name(r: &mut BlockReader<'_, '_, '_, '_>, kind: BlockKind) -> String {
    let block = r.block();
    match &block.name {
        Some(name) if r.resolver.lookup(kind, name).is_some() => name.text.clone().into_owned(),
        Some(_) => String::new(),
        None => {
            let message = format!("this {} has no name", block.kind.text);
            r.report(Finding::new(Code::NoName, block.kind.span, message));
            String::new()
        }
    }
}

/// How long the work of one request takes.
#[derive(Clone, Copy, Default)]
struct Work {
    min_ns: u64,
    max_ns: u64,
    /// Both ends are the mean of a random time.
    is_random: bool,
}

/// `20 ms`, `about 20 ms` or `10 ms .. 30 ms`.
fn work(r: &mut BlockReader<'_, '_, '_, '_>) -> Work {
    let Some(value) = r.single("work") else {
        r.report_if_missing("work");
        return Work::default();
    };
    let bounds = required(MAX_DURATION_NS);
    if value.atoms.iter().any(|atom| atom.kind == SyntaxKind::To) {
        let range = r.time_range("work", &bounds);
        return Work {
            min_ns: range.min.unwrap_or(0),
            max_ns: range.max.unwrap_or(0),
            is_random: false,
        };
    }
    let is_random = value.atoms.first().is_some_and(|atom| atom.text == "about");
    let atoms = &value.atoms[usize::from(is_random)..];
    let (Some(first), Some(last)) = (atoms.first(), atoms.last()) else {
        let message = "`about` wants the mean: `work: about 20 ms`";
        r.report(Finding::new(Code::KeyMissing, value.span, message));
        return Work {
            is_random,
            ..Work::default()
        };
    };
    let span = first.span.to(last.span);
    let mean_ns = r.amount_in("work", Dimension::Time, atoms, span, &bounds);
    Work {
        min_ns: mean_ns,
        max_ns: mean_ns,
        is_random,
    }
}
