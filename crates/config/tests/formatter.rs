//! The one way to write a file.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rainstand_config::formatter::{format, MAX_COLUMNS};
use rainstand_config::lexer::{lex, Token};

#[test]
fn one_form() {
    let table = [
        (
            "rain 1\ntype a{repeat:exclusive;goal:3s}",
            "rain 1\ntype a {\n  repeat: exclusive\n  goal: 3 s\n}\n",
        ),
        (
            "rain   1 # one\n\n\n\n# two\npool p {}\n",
            "rain 1 # one\n\n# two\npool p {}\n",
        ),
        (
            "rain 1\nroute r {\n\n to : a 60%,b 40 % ;; }",
            "rain 1\nroute r {\n  to: a 60 %, b 40 %\n}\n",
        ),
        (
            "rain 1\nroute r {\n to: a, # first\n# then\nb\n}",
            "rain 1\nroute r {\n  to: a, # first\n      # then\n      b\n}\n",
        ),
        (
            "rain 1\nlimits l { rate: 5tickets / s; size: ..64KiB }",
            "rain 1\nlimits l {\n  rate: 5 tickets/s\n  size: .. 64 KiB\n}\n",
        ),
    ];
    for (from, to) in table {
        assert_eq!(format(from).as_deref(), Ok(to), "{from}");
        assert_eq!(format(to).as_deref(), Ok(to), "{to}");
    }
    assert_eq!(format("rain 1\npool {").unwrap_err()[0].code.id(), "P104");
}

#[test]
fn long_lists_are_broken_at_commas() {
    let names: Vec<_> = (0..60).map(|n| format!("tenant-{n}")).collect();
    let text = format(&format!(
        "rain 1\nroute r {{ tenant: {} }}",
        names.join(",")
    ))
    .unwrap();
    assert!(
        text.lines()
            .all(|line| line.chars().count() <= MAX_COLUMNS + 1),
        "{text}"
    );
    assert_eq!(format(&text), Ok(text.clone()));
}

/// Files without errors, however oddly spaced, with comments wherever they may stand.
fn files() -> impl Strategy<Value = String> {
    let gap = proptest::sample::select(vec!["", " ", "\t  "]);
    let end = proptest::sample::select(vec![
        ";",
        "\n",
        " # why: because\n",
        "\n\n\n",
        ";;\n",
        "\r\n",
    ]);
    let value = proptest::sample::select(vec![
        "3s",
        "a",
        "\"x # y\"",
        "40 tickets /s",
        "..  5KiB",
        "a 60%,\n b 40 %",
        "x, # c\n\n # d\n y",
        "- 5 ms",
        "1 s+2 ms",
    ]);
    let entry =
        (gap.clone(), value, end.clone()).prop_map(|(g, v, e)| format!("{g}key{g}:{g}{v}{e}"));
    let inner = proptest::collection::vec(entry, 0..4).prop_map(|all| all.concat());
    let inside = (inner.clone(), inner.clone()).prop_map(|(a, b)| format!("{a}match {{{b}}}"));
    let body = prop_oneof![inner, inside];
    let block = (gap, body, end).prop_map(|(g, b, e)| format!("{g}route{g} r{g}{{{b}}}{e}"));
    proptest::collection::vec(block, 0..4).prop_map(|all| format!("rain 1\n{}", all.concat()))
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(16), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn twice_is_once_and_tokens_and_comments_are_kept(text in files()) {
        let once = format(&text).unwrap();
        prop_assert_eq!(format(&once), Ok(once.clone()));
        let told = |text: &str| {
            let mut start = 0;
            let mut all = Vec::new();
            for lexed in lex(text) {
                let written = &text[start..lexed.end as usize];
                start = lexed.end as usize;
                if !matches!(lexed.token, Token::Space | Token::Newline | Token::Semicolon) {
                    all.push(written.trim_end().to_owned());
                }
            }
            all
        };
        prop_assert_eq!(told(&text), told(&once));
    }
}
