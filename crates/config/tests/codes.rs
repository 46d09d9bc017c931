//! Every code's own examples: the wrong one gives the code, the right one gives nothing.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_config::codes::Code;
use rainstand_config::{load, source::Memory};

fn found(lines: &str) -> Vec<&'static str> {
    let text = format!("rain 1\n{lines}");
    let outcome = load(&Memory::new([("example.rain", text)]), "example.rain");
    outcome
        .findings
        .iter()
        .map(|finding| finding.code.id())
        .collect()
}

#[test]
fn examples_do_what_they_say() {
    let mut wrong_ones = Vec::new();
    for code in Code::ALL {
        let rainstand_config::codes::Examples { wrong, right } = code.examples();
        if !wrong.is_empty() && !found(wrong).contains(&code.id()) {
            wrong_ones.push(format!("{} wrong: {:?}", code.id(), found(wrong)));
        }
        if !found(right).is_empty() {
            wrong_ones.push(format!("{} right: {:?}", code.id(), found(right)));
        }
    }
    assert!(wrong_ones.is_empty(), "{wrong_ones:#?}");
}

#[test]
fn codes_are_told_apart() {
    let mut ids: Vec<_> = Code::ALL.iter().map(|code| code.id()).collect();
    ids.sort_unstable();
    ids.dedup();
    assert_eq!(ids.len(), Code::ALL.len());
    assert!(Code::ALL
        .iter()
        .all(|code| Code::find(code.id()) == Some(*code) && !code.explanation().is_empty()));
    assert_eq!(Code::find("X999"), None);
}
