//! What an experiment varies, and in which steps.

use super::MOST_PARTS;
use crate::codes::Code;
use crate::finding::shorten;
use crate::resolve::reader::{Bounds, Reader};
use crate::resolve::{nearest, LONGEST};
use crate::schema::{self, Varied};
use crate::units::{self, Dimension, ONE};
use crate::Finding;

/// Values of one `vary`.
const MOST_VALUES: usize = 64;

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
pub(super) fn vary(r: &mut Reader<'_, '_, '_, '_>) -> schema::Vary {
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
        r.tell(match nearest(&name.text, known) {
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
