//! `experiment` blocks: a fleet, its load, what goes wrong, and what is varied; the model plays them.

mod fault;
mod fleet;
mod traffic;
mod vary;

use super::reader::{must, or, Bounds, Reader};
use super::{Sort, LONGEST, MOST_TRIES, SECOND};
use crate::ast::Block;
use crate::codes::Code;
use crate::finding::shorten;
use crate::schema;
use crate::source::Span;
use crate::tree::Kind as Leaf;
use crate::units::{self, Dimension, PERCENT};
use crate::Finding;
use fault::fault;
use fleet::{below, fleet, forwarders, network};
use traffic::{from, load, traffic};
use vary::vary;

/// Nodes, forwarders or dispatchers of one experiment: what the model was measured with, a few times over.
const MOST_PARTS: u64 = 100_000;
/// Plays of all varied values together.
const MOST_POINTS: usize = 4_096;
/// No run lasts longer on its virtual clock.
const LONGEST_RUN: u64 = 24 * 3_600 * SECOND;

const YES_NO: [(&str, bool); 2] = [("yes", true), ("no", false)];

type R<'a, 'm, 'w, 'r, 't> = &'a mut Reader<'m, 'w, 'r, 't>;

/// Blocks of one kind that stand in this one, each read by `make`.
fn inner<'t, T>(
    r: &mut Reader<'_, '_, '_, 't>,
    kind: &str,
    make: impl Fn(&mut Reader<'_, '_, '_, 't>) -> T,
) -> Vec<(T, Span)> {
    let block = r.block();
    let mut all = Vec::new();
    for one in block.blocks.iter().filter(|one| one.kind.text == kind) {
        if let Some(base) = &one.base {
            let words = format!("a {kind} cannot be built on another");
            r.tell(Finding::new(Code::NoBase, base.at, words));
        }
        let mut reader = Reader {
            maker: r.maker,
            chain: vec![one],
            asked: Vec::new(),
            holds: &[],
        };
        let made = make(&mut reader);
        reader.end();
        all.push((made, one.kind.at));
    }
    all
}

/// The only block of a kind; as if it were empty where there is none.
fn only<'t, T: Default>(
    r: &mut Reader<'_, '_, '_, 't>,
    kind: &str,
    make: impl Fn(&mut Reader<'_, '_, '_, 't>) -> T,
) -> Option<T> {
    let mut all = inner(r, kind, make);
    if all.len() > 1 {
        let words = format!("this experiment has a `{kind}` already");
        r.tell(Finding::new(Code::NameTwice, all[1].1, words).also(all[0].1, "the first one"));
    }
    (!all.is_empty()).then(|| all.swap_remove(0).0)
}

/// The name of an inner block, which must be that of a block of this sort.
fn named(r: R<'_, '_, '_, '_, '_>, sort: Sort) -> String {
    let block: &Block<'_> = r.block();
    match &block.name {
        Some(name) if r.maker.known(sort, name).is_some() => name.text.clone().into_owned(),
        Some(_) => String::new(),
        None => {
            let words = format!("this {} has no name", block.kind.text);
            r.tell(Finding::new(Code::NoName, block.kind.at, words));
            String::new()
        }
    }
}

pub(super) fn experiment(r: &mut Reader<'_, '_, '_, '_>) -> schema::Experiment {
    r.holds = &[
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
    let at = r.block().at();
    let fleet = only(r, "fleet", fleet);
    if fleet.is_none() {
        let words = format!("the experiment `{}` has no `fleet`", shorten(&r.name()));
        r.tell(Finding::new(Code::KeyMissing, at, words).help("write `fleet { nodes: 10 }`"));
    }
    let traffic = inner(r, "traffic", traffic);
    let from = inner(r, "from", from);
    for (what, none) in [("traffic", traffic.is_empty()), ("from", from.is_empty())] {
        if none {
            let words = format!("the experiment `{}` has no `{what}`", shorten(&r.name()));
            r.tell(Finding::new(Code::KeyMissing, at, words));
        }
    }
    let mut load = inner(r, "load", load);
    if load.is_empty() {
        load.push((
            schema::LoadPart {
                from_ns: 0,
                share: 60 * PERCENT,
            },
            at,
        ));
    }
    for two in load.windows(2) {
        if two[0].0.from_ns >= two[1].0.from_ns {
            let finding = Finding::new(
                Code::RangeOrder,
                two[1].1,
                "this load begins before the one above it",
            );
            r.tell(finding.also(two[0].1, "the one above"));
        }
    }
    let vary = inner(r, "vary", vary);
    let points: usize = vary
        .iter()
        .map(|(one, _)| one.values.len().max(one.words.len()).max(1))
        .product();
    if points > MOST_POINTS {
        let words = format!("varied values come to {points} plays; {MOST_POINTS} are the most");
        r.tell(Finding::new(Code::TooMuch, at, words));
    }
    let zero = Bounds {
        default: Some(0),
        zero: true,
        most: LONGEST,
    };
    schema::Experiment {
        name: r.name(),
        lasts_ns: r.time("lasts", or(10 * SECOND, LONGEST_RUN)),
        seeds: r.whole("seeds", or(5, 10_000)),
        dispatchers: r.whole("dispatchers", or(4, MOST_PARTS)),
        tries: r.whole("tries", or(3, MOST_TRIES)),
        heeds: r.word("heeds", &YES_NO, Some(true)).unwrap_or(true),
        marks: r.word("marks", &YES_NO, Some(true)).unwrap_or(true),
        second_copy_ns: r.time("second-copy", zero),
        late_list_ns: r.time(
            "late-list",
            Bounds {
                default: Some(2 * SECOND),
                zero: true,
                most: LONGEST,
            },
        ),
        fleet,
        forwarders: only(r, "forwarders", forwarders),
        network: only(r, "network", network),
        below: only(r, "below", below),
        traffic: traffic.into_iter().map(|(one, _)| one).collect(),
        from: from.into_iter().map(|(one, _)| one).collect(),
        load: load.into_iter().map(|(one, _)| one).collect(),
        faults: inner(r, "fault", fault)
            .into_iter()
            .map(|(one, _)| one)
            .collect(),
        vary: vary.into_iter().map(|(one, _)| one).collect(),
    }
}

/// `20 ms`, `about 20 ms` or `10 ms .. 30 ms`: both ends, and whether by chance.
fn work(r: &mut Reader<'_, '_, '_, '_>) -> (u64, u64, bool) {
    let Some(value) = r.single("work") else {
        if r.entry("work").is_none() {
            r.missing("work");
        }
        return (0, 0, false);
    };
    if value.atoms.iter().any(|atom| atom.kind == Leaf::To) {
        let (least, most) = r
            .range("work", Dimension::Time, false, &must(LONGEST))
            .unwrap_or((None, None));
        return (least.unwrap_or(0), most.unwrap_or(0), false);
    }
    let about = value
        .atoms
        .first()
        .is_some_and(|first| first.text == "about");
    let atoms = &value.atoms[usize::from(about)..];
    let (Some(first), Some(last)) = (atoms.first(), atoms.last()) else {
        let words = "`about` wants the mean: `work: about 20 ms`";
        r.tell(Finding::new(Code::KeyMissing, value.at, words));
        return (0, 0, about);
    };
    let at = Span {
        end: last.at.end,
        ..first.at
    };
    let text = r.maker.sources.slice(at);
    let found = units::expect_of("work", Dimension::Time, atoms, text, at);
    let span = r.within("work", found, at, &must(LONGEST));
    (span, span, about)
}
