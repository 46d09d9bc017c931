//! The parser keeps every byte and goes on after an error.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rainstand_config::parser::parse;
use rainstand_config::source::FileId;
use rainstand_config::Findings;

fn read(text: &str) -> (String, Vec<&'static str>) {
    let mut findings = Findings::default();
    let tree = parse(FileId(0), text, &mut findings);
    (
        tree.root().text().to_string(),
        findings.into_vec().iter().map(|f| f.code.id()).collect(),
    )
}

#[test]
fn goes_on_after_an_error() {
    let (text, codes) = read("rain 1\npool {\n  a b c\n  x 5\n  ok: 3 s\n}\n}\nlast: \n");
    assert_eq!(
        text,
        "rain 1\npool {\n  a b c\n  x 5\n  ok: 3 s\n}\n}\nlast: \n"
    );
    assert_eq!(codes, ["P103", "P108", "P105", "P107"]);
}

#[test]
fn ten_thousand_braces_are_one_error() {
    let text = format!("rain 1\n{}{}", "a { ".repeat(10_000), "} ".repeat(10_000));
    let (back, codes) = read(&text);
    assert_eq!((back == text, codes), (true, vec!["P106"]));
}

#[test]
fn a_long_line_takes_time_in_proportion() {
    let text = format!("rain 1\nkey: {}\n", "a ".repeat(2_500_000));
    let (back, codes) = read(&text);
    assert!(back == text && codes.is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(16), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_text_is_kept_whole(text in "(rain 1\n)?([a-z{}:;,.\"\\\\#%0-9 \n\u{e5}/+-]{0,200})") {
        prop_assert_eq!(read(&text).0, text);
    }
}
