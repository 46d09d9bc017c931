//! No input panics, hangs or is changed in meaning by the formatter; the three forms agree.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use nanorand::{Rng, WyRand};
use rainstand_config::formatter::format;
use rainstand_config::schema::{from_binary, from_text, to_binary, to_text, Configuration};
use rainstand_config::source::{Disk, Memory};
use rainstand_config::{diff::diff, load, report};

fn corpus() -> Vec<String> {
    let folders = [
        "tests/corpus",
        "tests/corpus/parts",
        "../../examples/config",
        "../../examples/config/pools",
    ];
    let mut all = Vec::new();
    for folder in folders {
        let mut paths: Vec<_> = std::fs::read_dir(folder)
            .unwrap()
            .map(|entry| entry.unwrap().path())
            .collect();
        paths.sort();
        let rain = paths
            .into_iter()
            .filter(|path| path.extension().is_some_and(|e| e == "rain"));
        all.extend(rain.filter_map(|path| std::fs::read_to_string(path).ok()));
    }
    assert!(all.len() > 300);
    all
}

fn read(text: &str) -> (Option<Configuration>, Vec<(&'static str, String)>) {
    let outcome = load(&Memory::new([("a.rain", text)]), "a.rain");
    let told = outcome
        .findings
        .iter()
        .map(|f| (f.code.id(), f.message.clone()))
        .collect();
    // Everything that is told can be shown.
    outcome
        .findings
        .iter()
        .for_each(|finding| assert!(!report::plain(&outcome.sources, finding).is_empty()));
    (outcome.configuration, told)
}

/// What must hold of any text whatever.
fn hold(text: &str) {
    let (made, mut told) = read(text);
    if let Some(made) = &made {
        assert_eq!(from_text(&to_text(made)).as_ref(), Ok(made), "{text}");
        assert_eq!(
            to_text(&from_text(&to_text(made)).unwrap()),
            to_text(made),
            "{text}"
        );
        assert_eq!(from_binary(&to_binary(made)).as_ref(), Ok(made), "{text}");
        assert!(diff(made, made).is_empty(), "{text}");
    }
    if let Ok(formed) = format(text) {
        assert_eq!(format(&formed), Ok(formed.clone()), "{text}");
        let (again, mut told_again) = read(&formed);
        assert_eq!(again, made, "{text}\n---\n{formed}");
        // An amount that is shown in a message may be written otherwise.
        told.iter_mut()
            .chain(&mut told_again)
            .for_each(|(_, words)| words.retain(|c| !c.is_whitespace()));
        told.sort();
        told_again.sort();
        assert_eq!(told, told_again, "{text}\n---\n{formed}");
    }
}

#[test]
fn the_corpus_holds_as_it_is() {
    corpus().iter().for_each(|text| hold(text));
}

#[test]
fn mutated_files_neither_panic_nor_change_their_meaning() {
    let all = corpus();
    let mut chance = WyRand::new_seed(1609);
    let pieces = [
        "{",
        "}",
        ":",
        ";",
        ",",
        "\n",
        "\"",
        "#",
        "..",
        "%",
        "/",
        "-",
        "+",
        " ",
        "5",
        "s",
        "tickets/s",
        "å",
        "\u{0}",
        "\\",
        "from",
        "match {",
        "route r { to: a }",
        "99999999999999999999",
        "0.0000000001 s",
        "\r\n",
        "*",
    ];
    for round in 0..6_000 {
        let mut text: Vec<char> = all[chance.generate_range(0..all.len())].chars().collect();
        if round % 4 == 0 {
            // Two files run into each other.
            text.extend(all[chance.generate_range(0..all.len())].chars());
        }
        for _ in 0..chance.generate_range(1..5usize) {
            let at = chance.generate_range(0..=text.len());
            match chance.generate_range(0..4u8) {
                0 => {
                    let end = (at + chance.generate_range(0..9usize)).min(text.len());
                    text.drain(at..end);
                }
                1 => {
                    let piece = pieces[chance.generate_range(0..pieces.len())];
                    text.splice(at..at, piece.chars());
                }
                2 => {
                    let end = (at + chance.generate_range(0..40usize)).min(text.len());
                    let copied: Vec<char> = text[at..end].to_vec();
                    text.splice(at..at, copied);
                }
                _ => text.truncate(at.max(20)),
            }
        }
        hold(&text.into_iter().collect::<String>());
    }
}

#[test]
fn what_is_deep_long_or_many_is_borne() {
    let deep = format!("rain 1\n{}", "a { ".repeat(10_000));
    let closed = format!(
        "rain 1\n{}{}",
        "pool p { ".repeat(10_000),
        "}".repeat(10_000)
    );
    let line = format!("rain 1\nroute r {{ to: {} }}\n", "a 1 %, ".repeat(700_000));
    let text = format!("rain 1\ntenant \"{}\" {{ }}\n", "x".repeat(5 << 20));
    let number = format!("rain 1\ntenant a {{ share: {} % }}\n", "9".repeat(5 << 20));
    let names = (0..40_000)
        .map(|n| format!("route r{n} {{ to: p{n} }}\n"))
        .collect::<String>();
    let bases = (0..20_000)
        .map(|n| format!("limits l{n} from l{} {{ }}\n", n + 1))
        .collect::<String>();
    let chain = (0..20_000)
        .map(|n| format!("pool l{n} {{ fall-back: l{} }}\n", n + 1))
        .collect::<String>();
    let keys = format!("tenant t {{\n{}}}\n", "share: 1 %\n".repeat(100_000));
    let listed = (0..3_000)
        .map(|n| format!("t{n}"))
        .collect::<Vec<_>>()
        .join(", ");
    let wide =
        format!("route r {{ match {{ tenant: {listed}; type: {listed} }}; to: p }}\n").repeat(20);
    for text in [deep, closed, line, text, number] {
        let (_, told) = read(&text);
        assert!(!told.is_empty());
    }
    for body in [names, bases, chain, keys, wide] {
        let (_, told) = read(&format!("rain 1\n{body}"));
        assert!(!told.is_empty());
    }
}

#[test]
fn the_example_is_good_and_in_its_form() {
    let outcome = load(&Disk, "../../examples/config/main.rain");
    assert!(outcome.findings.is_empty(), "{:?}", outcome.findings);
    let made = outcome.configuration.unwrap();
    assert_eq!(
        (
            made.types.len(),
            made.tenants.len(),
            made.pools.len(),
            made.routes.len()
        ),
        (2, 4, 4, 6)
    );
    assert_eq!(from_text(&to_text(&made)), Ok(made));
    for path in [
        "../../deploy/record.rain",
        "../../examples/forwarder/main.rain",
    ] {
        let outcome = load(&Disk, path);
        assert!(outcome.findings.is_empty(), "{:?}", outcome.findings);
        let text = std::fs::read_to_string(path).unwrap();
        assert_eq!(format(&text), Ok(text));
    }
}
