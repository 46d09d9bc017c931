//! What an experiment varies, and the values that it takes in turn.

use super::fleet::{NODES, PICKS};
use super::MAX_PARTS;
use crate::ast::{Entry, Name};
use crate::codes::Code;
use crate::finding::shorten;
use crate::resolve::bounds::required;
use crate::resolve::reader::BlockReader;
use crate::resolve::{nearest, MAX_DURATION_NS};
use crate::schema::{self, Varied};
use crate::units::{self, Dimension, ONE};
use crate::Finding;

/// Values of one `vary`.
const MAX_VALUES: usize = 64;
/// The largest varied amount of any dimension: a time or a number of parts.
const MAX_AMOUNT: u64 = {
    let max_parts = MAX_PARTS * ONE;
    if MAX_DURATION_NS > max_parts {
        MAX_DURATION_NS
    } else {
        max_parts
    }
};

/// A key whose values are amounts.
struct AmountKey {
    word: &'static str,
    key: Varied,
    dimension: Dimension,
}

const fn amounts(word: &'static str, key: Varied, dimension: Dimension) -> AmountKey {
    AmountKey {
        word,
        key,
        dimension,
    }
}

const AMOUNT_KEYS: [AmountKey; 13] = [
    amounts("nodes", Varied::Nodes, Dimension::Factor),
    amounts("cores", Varied::Cores, Dimension::Factor),
    amounts("forwarders", Varied::ForwarderCount, Dimension::Factor),
    amounts("know", Varied::Know, Dimension::Factor),
    amounts("dispatchers", Varied::Dispatchers, Dimension::Factor),
    amounts("tries", Varied::Tries, Dimension::Factor),
    amounts("load", Varied::OfCores, Dimension::Share),
    amounts("budget", Varied::RetryBudget, Dimension::Share),
    amounts("keep", Varied::Keep, Dimension::Share),
    amounts("breaks", Varied::Breaks, Dimension::Share),
    amounts("at-once", Varied::AtOnce, Dimension::Tickets),
    amounts("second-copy", Varied::SecondCopy, Dimension::Time),
    amounts("delay", Varied::Delay, Dimension::Time),
];

/// `vary know { to: 5, 10, 20 }`, `vary pick { to: two-choices, in-turn }`.
pub(super) fn vary(r: &mut BlockReader<'_, '_, '_, '_>) -> schema::Vary {
    let block = r.block();
    let entry = r.entry("to");
    let Some(name) = &block.name else {
        let message = "this vary names no key";
        r.report(Finding::new(Code::NoName, block.kind.span, message));
        return schema::Vary::default();
    };
    let Some(entry) = entry else {
        let message = format!("`vary {}` has no `to`", shorten(&name.text));
        let finding = Finding::new(Code::KeyMissing, name.span, message);
        r.report(finding.with_help("write `to: 5, 10, 20`"));
        return schema::Vary::default();
    };
    if entry.values.len() > MAX_VALUES {
        let message = format!(
            "`to` has {} values; {MAX_VALUES} are the most",
            entry.values.len()
        );
        r.report(Finding::new(Code::TooMuch, entry.key.span, message));
    }
    match &*name.text {
        "pick" => words(r, name, entry, Varied::Pick, &PICKS.map(|(word, _)| word)),
        "node" => words(
            r,
            name,
            entry,
            Varied::NodeKind,
            &NODES.map(|(word, _)| word),
        ),
        word => {
            if let Some(known) = AMOUNT_KEYS.iter().find(|known| known.word == word) {
                return varied_amounts(r, entry, known);
            }
            r.report(unknown_key(name));
            schema::Vary::default()
        }
    }
}

fn words(
    r: &mut BlockReader<'_, '_, '_, '_>,
    name: &Name<'_>,
    entry: &Entry<'_>,
    key: Varied,
    known: &[&str],
) -> schema::Vary {
    let mut made = schema::Vary {
        key: key.into(),
        ..schema::Vary::default()
    };
    for value in &entry.values {
        if known.contains(&value.text) {
            made.words.push(value.text.to_owned());
        } else {
            let message = format!(
                "`{}` is one of {}, not `{}`",
                name.text,
                known.join(", "),
                shorten(value.text)
            );
            r.report(Finding::new(Code::UnknownWord, value.span, message));
        }
    }
    made
}

fn varied_amounts(
    r: &mut BlockReader<'_, '_, '_, '_>,
    entry: &Entry<'_>,
    known: &AmountKey,
) -> schema::Vary {
    let bounds = required(MAX_AMOUNT).or_zero();
    let mut made = schema::Vary {
        key: known.key.into(),
        ..schema::Vary::default()
    };
    for value in &entry.values {
        let amount = units::expect("to", known.dimension, value);
        let steps = r.check_bounds("to", amount, value.span, &bounds);
        made.values.push(steps);
    }
    made
}

fn unknown_key(name: &Name<'_>) -> Finding {
    let message = format!("`{}` cannot be varied", shorten(&name.text));
    let finding = Finding::new(Code::UnknownKey, name.span, message);
    let amounts = AMOUNT_KEYS.iter().map(|known| known.word);
    let known: Vec<_> = amounts.chain(["pick", "node"]).collect();
    match nearest(&name.text, known.iter().copied()) {
        Some(near) => finding.with_help(format!("perhaps `{near}`?")),
        None => finding.with_help(format!("keys: {}", known.join(", "))),
    }
}
