//! `experiment` blocks: a fleet, its load, what goes wrong, and what is varied; the model plays them.

use super::{must, or, shorten, Bounds, Reader, Sort, LONGEST, MOST_FACTOR, MOST_TRIES, SECOND};
use crate::ast::Block;
use crate::codes::Code;
use crate::schema::{self, MemberPick, ModelNode, TroubleKind, Varied};
use crate::source::Span;
use crate::tree::Kind as Leaf;
use crate::units::{self, Dimension, ONE, PERCENT};
use crate::Finding;

/// Nodes, forwarders or dispatchers of one experiment: what the model was measured with, a few times over.
const MOST_PARTS: u64 = 100_000;
/// Values of one `vary`, and plays in all of them together.
const MOST_VALUES: usize = 64;
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

fn fleet(r: &mut Reader<'_, '_, '_, '_>) -> schema::ModelFleet {
    let words = [("plain", ModelNode::Plain), ("ours", ModelNode::Ours)];
    let cores = r.whole("cores", or(4, 1_024));
    schema::ModelFleet {
        nodes: r.whole("nodes", must(MOST_PARTS)),
        cores,
        node: r
            .word("node", &words, Some(ModelNode::Plain))
            .unwrap_or(ModelNode::Plain)
            .into(),
        at_once: r.amount("at-once", Dimension::Tickets, or(cores, 1 << 20)),
        hold: r.amount(
            "hold",
            Dimension::Tickets,
            Bounds {
                default: Some(40),
                zero: true,
                most: 1 << 20,
            },
        ),
        crowding: r.share(
            "crowding",
            Bounds {
                default: Some(0),
                zero: true,
                most: 10 * ONE,
            },
        ),
        cold_ns: r.time(
            "cold",
            Bounds {
                default: Some(0),
                zero: true,
                most: LONGEST,
            },
        ),
        cold_slower: r.amount("cold-slower", Dimension::Factor, or(2 * ONE, 1_000 * ONE)),
        halls: r.whole("halls", or(1, 64)),
    }
}

const PICKS: [(&str, MemberPick); 3] = [
    ("two-choices", MemberPick::TwoChoices),
    ("least-known", MemberPick::LeastKnown),
    ("in-turn", MemberPick::InTurn),
];

fn forwarders(r: &mut Reader<'_, '_, '_, '_>) -> schema::ModelForwarders {
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
    let none = |most| Bounds {
        default: Some(0),
        zero: true,
        most,
    };
    schema::ModelForwarders {
        count: r.whole(
            "count",
            Bounds {
                default: Some(2),
                zero: true,
                most: MOST_PARTS,
            },
        ),
        know: r.whole("know", none(MOST_PARTS)),
        pick: r
            .word("pick", &PICKS, Some(MemberPick::LeastKnown))
            .unwrap_or(MemberPick::LeastKnown)
            .into(),
        tries: r.whole("tries", or(3, MOST_TRIES)),
        budget: r.share(
            "budget",
            Bounds {
                default: Some(20 * PERCENT),
                zero: true,
                most: ONE,
            },
        ),
        wait_least_ns: least.unwrap_or(5_000_000),
        wait_most_ns: most.unwrap_or(25_000_000),
        health: r.word("health", &YES_NO, Some(true)).unwrap_or(true),
        keep: r.share(
            "keep",
            Bounds {
                default: Some(50 * PERCENT),
                zero: true,
                most: ONE,
            },
        ),
        at_once: r.amount("at-once", Dimension::Tickets, none(1 << 20)),
    }
}

fn network(r: &mut Reader<'_, '_, '_, '_>) -> schema::ModelNetwork {
    let bounds = Bounds {
        default: None,
        zero: true,
        most: 60 * SECOND,
    };
    let delay = r.range("delay", Dimension::Time, false, &bounds);
    let (least, most) = delay.unwrap_or((None, None));
    schema::ModelNetwork {
        delay_least_ns: least.unwrap_or(100_000),
        delay_most_ns: most.unwrap_or(300_000),
        far_ns: r.time(
            "far",
            Bounds {
                default: Some(1_000_000),
                zero: true,
                most: 60 * SECOND,
            },
        ),
        breaks: r.share(
            "breaks",
            Bounds {
                default: Some(0),
                zero: true,
                most: ONE,
            },
        ),
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

fn traffic(r: &mut Reader<'_, '_, '_, '_>) -> schema::ModelTraffic {
    let name = named(r, Sort::Type);
    let (work_least_ns, work_most_ns, by_chance) = work(r);
    schema::ModelTraffic {
        name,
        part: r.amount("part", Dimension::Factor, or(ONE, MOST_FACTOR)),
        work_least_ns,
        work_most_ns,
        by_chance,
        calls: r.word("calls", &YES_NO, Some(false)).unwrap_or(false),
        poorer: r.share(
            "poorer",
            Bounds {
                default: Some(0),
                zero: true,
                most: ONE,
            },
        ),
    }
}

fn below(r: &mut Reader<'_, '_, '_, '_>) -> schema::ModelBelow {
    let (work_least_ns, work_most_ns, by_chance) = work(r);
    let hold = Bounds {
        default: Some(60),
        zero: true,
        most: 1 << 20,
    };
    schema::ModelBelow {
        nodes: r.whole("nodes", must(MOST_PARTS)),
        at_once: r.amount("at-once", Dimension::Tickets, or(8, 1 << 20)),
        hold: r.amount("hold", Dimension::Tickets, hold),
        work_least_ns,
        work_most_ns,
        by_chance,
    }
}

fn from(r: &mut Reader<'_, '_, '_, '_>) -> schema::ModelSource {
    let stranger = r.word("stranger", &YES_NO, Some(false)).unwrap_or(false);
    let name = if stranger {
        r.name()
    } else {
        named(r, Sort::Tenant)
    };
    schema::ModelSource {
        name,
        part: r.amount("part", Dimension::Factor, or(ONE, MOST_FACTOR)),
        stranger,
    }
}

fn load(r: &mut Reader<'_, '_, '_, '_>) -> schema::LoadPart {
    schema::LoadPart {
        from_ns: r.time(
            "from",
            Bounds {
                default: Some(0),
                zero: true,
                most: LONGEST_RUN,
            },
        ),
        share: r.share(
            "of-cores",
            Bounds {
                default: None,
                zero: true,
                most: 1_000 * ONE,
            },
        ),
    }
}

fn fault(r: &mut Reader<'_, '_, '_, '_>) -> schema::ModelFault {
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

/// Keys that may be varied: as they stand in the schema, and what their values are.
const VARIED: [(&str, Varied, Dimension); 13] = [
    ("nodes", Varied::Nodes, Dimension::Factor),
    ("cores", Varied::Cores, Dimension::Factor),
    ("forwarders", Varied::ForwarderCount, Dimension::Factor),
    ("know", Varied::Know, Dimension::Factor),
    ("dispatchers", Varied::Dispatchers, Dimension::Factor),
    ("tries", Varied::Tries, Dimension::Factor),
    ("load", Varied::OfCores, Dimension::Share),
    ("budget", Varied::RetryBudget, Dimension::Share),
    ("keep", Varied::Keep, Dimension::Share),
    ("breaks", Varied::Breaks, Dimension::Share),
    ("at-once", Varied::AtOnce, Dimension::Tickets),
    ("second-copy", Varied::SecondCopy, Dimension::Time),
    ("delay", Varied::Delay, Dimension::Time),
];

/// `vary know { to: 5, 10, 20 }`, `vary pick { to: two-choices, in-turn }`.
fn vary(r: &mut Reader<'_, '_, '_, '_>) -> schema::Vary {
    let block = r.block();
    let mut made = schema::Vary::default();
    let Some(name) = &block.name else {
        r.tell(Finding::new(
            Code::NoName,
            block.kind.at,
            "this vary names no key",
        ));
        let _ = r.entry("to");
        return made;
    };
    let Some(entry) = r.entry("to") else {
        let words = format!("`vary {}` has no `to`", shorten(&name.text));
        r.tell(Finding::new(Code::KeyMissing, name.at, words).help("write `to: 5, 10, 20`"));
        return made;
    };
    if entry.values.len() > MOST_VALUES {
        let words = format!(
            "`to` has {} values; {MOST_VALUES} are the most",
            entry.values.len()
        );
        r.tell(Finding::new(Code::TooMuch, entry.key.at, words));
    }
    if name.text == "pick" || name.text == "node" {
        let words: &[&str] = if name.text == "pick" {
            made.key = Varied::Pick.into();
            &["two-choices", "least-known", "in-turn"]
        } else {
            made.key = Varied::NodeKind.into();
            &["plain", "ours"]
        };
        for value in &entry.values {
            if words.contains(&value.text) {
                made.words.push(value.text.to_owned());
            } else {
                let says = format!(
                    "`{}` is one of {}, not `{}`",
                    name.text,
                    words.join(", "),
                    shorten(value.text)
                );
                r.tell(Finding::new(Code::UnknownWord, value.at, says));
            }
        }
        return made;
    }
    let Some((_, key, dimension)) = VARIED.iter().find(|(word, ..)| *word == name.text) else {
        let words = format!("`{}` cannot be varied", shorten(&name.text));
        let finding = Finding::new(Code::UnknownKey, name.at, words);
        let known = VARIED
            .iter()
            .map(|(word, ..)| *word)
            .chain(["pick", "node"]);
        let all = known.clone().collect::<Vec<_>>().join(", ");
        r.tell(match super::nearest(&name.text, known) {
            Some(near) => finding.help(format!("perhaps `{near}`?")),
            None => finding.help(format!("keys: {all}")),
        });
        return made;
    };
    made.key = (*key).into();
    let zero = Bounds {
        default: None,
        zero: true,
        most: LONGEST.max(MOST_PARTS * ONE),
    };
    for value in &entry.values {
        let found = units::expect("to", *dimension, value);
        let steps = r.within("to", found, value.at, &zero);
        made.values.push(steps);
    }
    made
}
