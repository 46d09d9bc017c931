//! Includes: rings, paths out of the folder, long chains.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_config::include::load_files;
use rainstand_config::source::Memory;
use rainstand_config::Findings;

fn codes(files: &[(&str, &str)]) -> (Vec<&'static str>, Vec<String>, usize) {
    let mut findings = Findings::default();
    let loaded = load_files(
        &Memory::new(files.iter().copied()),
        files[0].0,
        &mut findings,
    );
    let findings = findings.into_vec();
    let words = findings.iter().map(|f| f.message.clone()).collect();
    (
        findings.iter().map(|f| f.code.id()).collect(),
        words,
        loaded.sources.len(),
    )
}

#[test]
fn a_ring_shows_its_whole_chain_and_a_diamond_is_read_once() {
    let ring = [
        ("c/a.rain", "rain 1\ninclude \"b.rain\"\n"),
        ("c/b.rain", "rain 1\ninclude \"d/c.rain\"\n"),
        ("c/d/c.rain", "rain 1\ninclude \"../a.rain\"\n"),
    ];
    let (found, words, read) = codes(&ring);
    assert_eq!((found, read), (vec!["S005"], 3));
    assert!(
        words[0].ends_with("ring: c/a.rain -> c/b.rain -> c/d/c.rain -> c/a.rain"),
        "{}",
        words[0]
    );
    let diamond = [
        (
            "a.rain",
            "rain 1\ninclude \"b.rain\"\ninclude \"c.rain\"\ninclude \"./b.rain\"\n",
        ),
        ("b.rain", "rain 1\ninclude \"d.rain\"\n"),
        ("c.rain", "rain 1\ninclude \"d.rain\"\n"),
        ("d.rain", "rain 1\n"),
    ];
    assert_eq!(codes(&diamond), (vec![], vec![], 4));
}

#[test]
fn what_lies_outside_is_not_read() {
    for path in ["../b.rain", "/b.rain", "x/../../b.rain", ""] {
        let text = format!("rain 1\ninclude \"{path}\"\n");
        let (found, _, read) = codes(&[("c/a.rain", &text), ("b.rain", "rain 1\n")]);
        assert_eq!((found, read), (vec!["S006"], 1), "{path}");
    }
}

#[test]
fn a_chain_of_a_thousand_files_takes_no_stack() {
    let files: Vec<(String, String)> = (0..1_000)
        .map(|n| {
            (
                format!("{n}.rain"),
                format!("rain 1\ninclude \"{}.rain\"\n", n + 1),
            )
        })
        .collect();
    let mut findings = Findings::default();
    let loaded = load_files(&Memory::new(files), "0.rain", &mut findings);
    let findings = findings.into_vec();
    assert_eq!(
        (loaded.sources.len(), findings.len(), findings[0].code.id()),
        (1_000, 1, "S001")
    );
}
