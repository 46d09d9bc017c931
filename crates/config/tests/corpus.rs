//! Broken files, each with what is found in it beside it. `REWRITE=1 cargo test -p rainstand-config --test
//! corpus` writes the expectations anew, for review; adding a case is adding two files.
//!
//! A few cases are made here, since they are too large to keep.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_config::codes::Code;
use rainstand_config::source::{Disk, Files, Memory, ReadError};
use rainstand_config::{load, report, Outcome};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

const FOLDER: &str = "tests/corpus";

/// Files in memory, but one that is too large.
struct WithBig(Memory);

impl Files for WithBig {
    fn identity(&self, path: &Path) -> Result<PathBuf, ReadError> {
        if path.ends_with("big.rain") {
            return Ok(path.to_owned());
        }
        self.0.identity(path)
    }

    fn read(&self, path: &Path) -> Result<String, ReadError> {
        if path.ends_with("big.rain") {
            return Err(ReadError::TooLarge(50 << 20));
        }
        self.0.read(path)
    }
}

fn made() -> Vec<(&'static str, Outcome)> {
    let one = |text: String| load(&Memory::new([("made.rain", text)]), "made.rain");
    let big = WithBig(Memory::new([(
        "made.rain",
        "rain 1\ninclude \"big.rain\"\n",
    )]));
    let many_files = (0..2_010).map(|n| {
        let name = if n == 0 {
            "made.rain".to_owned()
        } else {
            format!("{n}.rain")
        };
        (
            name,
            format!("rain 1\ninclude \"{}.rain\"\n", (n + 1) % 2_010),
        )
    });
    let many_files = Memory::new(many_files.collect::<Vec<_>>());
    let tenants: String = (0..65_003)
        .map(|n| format!("tenant t{n} {{ }}\n"))
        .collect();
    // Every route could hide every later one by its type, tenant and entity, and none does.
    let routes: String = (0..4_100)
        .map(|n| {
            format!(
                "route r{n} {{ match {{ entity: \"x*\"; size: {0} B .. {0} B }}; to: p }}\n",
                n + 1
            )
        })
        .collect();
    let pool = "pool p { member a { address: \"10.0.0.1:1\" } }\n";
    vec![
        ("made-too-large", load(&big, "made.rain")),
        ("made-too-many-files", load(&many_files, "made.rain")),
        ("made-too-many-tenants", one(format!("rain 1\n{tenants}"))),
        (
            "made-too-many-routes",
            one(format!("rain 1\n{pool}{routes}")),
        ),
    ]
}

fn told(outcome: &Outcome) -> String {
    outcome
        .findings
        .iter()
        .map(|finding| report::plain(&outcome.sources, finding) + "\n")
        .collect()
}

#[test]
fn every_broken_file_is_told_as_expected() {
    let mut names: Vec<String> = std::fs::read_dir(FOLDER)
        .unwrap()
        .filter_map(|entry| entry.unwrap().file_name().into_string().ok())
        .filter_map(|name| name.strip_suffix(".rain").map(str::to_owned))
        .collect();
    names.sort();
    assert!(names.len() >= 300, "{} files only", names.len());
    let read = names.into_iter().map(|name| {
        let outcome = load(&Disk, &format!("{FOLDER}/{name}.rain"));
        (name, outcome)
    });
    let made = made()
        .into_iter()
        .map(|(name, outcome)| (name.to_owned(), outcome));
    let rewrite = std::env::var_os("REWRITE").is_some();
    let (mut wrong, mut seen) = (Vec::new(), BTreeSet::new());
    for (name, outcome) in read.chain(made) {
        let (found, place) = (told(&outcome), format!("{FOLDER}/{name}.want"));
        seen.extend(outcome.findings.iter().map(|finding| finding.code));
        if rewrite {
            std::fs::write(&place, &found).unwrap();
        }
        let wanted = std::fs::read_to_string(&place).unwrap_or_default();
        if found.is_empty() || found != wanted {
            wrong.push(format!("{name}\n--- wanted\n{wanted}--- found\n{found}"));
        }
        // What is refused compiles to nothing; what is only warned of compiles.
        assert_eq!(
            outcome.configuration.is_none(),
            outcome.has_errors(),
            "{name}"
        );
    }
    assert!(
        wrong.is_empty(),
        "{} of the corpus:\n{}",
        wrong.len(),
        wrong.join("\n")
    );
    let missing: Vec<_> = Code::ALL
        .iter()
        .filter(|code| !seen.contains(code))
        .map(|code| code.id())
        .collect();
    assert!(missing.is_empty(), "codes that no case shows: {missing:?}");
}

#[test]
fn expectations_without_a_case_are_left_over() {
    let made: Vec<_> = made().iter().map(|(name, _)| *name).collect();
    for entry in std::fs::read_dir(FOLDER).unwrap() {
        let name = entry.unwrap().file_name().into_string().unwrap();
        if let Some(case) = name.strip_suffix(".want") {
            let there =
                made.contains(&case) || Path::new(&format!("{FOLDER}/{case}.rain")).exists();
            assert!(there, "{name} has no case");
        }
    }
}
