//! `docs/decisions.md` names every module that decides, and only modules, log events and counters that exist.

#![allow(
    missing_docs,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn read(path: &str) -> String {
    fs::read_to_string(root().join(path)).unwrap_or_else(|error| panic!("{path}: {error}"))
}

/// The kind of a name on the page.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Kind {
    Module,
    Event,
    Code,
    Counter,
}

/// A name on the page.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Named {
    kind: Kind,
    name: String,
}

fn named(kind: Kind, name: &str) -> Named {
    Named {
        kind,
        name: name.to_owned(),
    }
}

/// All names on the page that have a kind: paths of modules, and each name in backticks that follows "event", "code",
/// "reason", "skip", "counter" or "series", alone or in a list.
fn names(page: &str) -> BTreeSet<Named> {
    let mut all = BTreeSet::new();
    for line in page.lines() {
        let mut kind = None;
        for (position, part) in line.split('`').enumerate() {
            if position % 2 == 0 {
                kind = kind_after(part, kind);
            } else if part.ends_with(".rs") {
                all.insert(named(Kind::Module, part));
            } else if let Some(kind) = kind {
                all.insert(named(kind, part));
            }
        }
    }
    all
}

/// The kind of the name that follows this text.
fn kind_after(text: &str, before: Option<Kind>) -> Option<Kind> {
    let last_word = text.split_whitespace().last().unwrap_or_default();
    match last_word {
        "event" | "events" => Some(Kind::Event),
        "code" | "codes" | "reason" | "reasons" | "skip" | "skips" => Some(Kind::Code),
        "counter" | "counters" | "series" => Some(Kind::Counter),
        "," | "and" => before,
        _ => None,
    }
}

/// The concatenated sources below a folder.
fn sources(folder: &Path) -> String {
    let mut paths: Vec<PathBuf> = fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .collect();
    paths.sort();
    let text = |path: &PathBuf| match path.is_dir() {
        true => sources(path),
        false => fs::read_to_string(path).unwrap(),
    };
    paths.iter().map(text).collect()
}

/// The source folders whose events and counters the page names.
const PROGRAMS: [&str; 5] = [
    "crates/node/src",
    "crates/forwarder/src",
    "crates/routing/src",
    "crates/cli/src",
    "crates/protocol/src",
];

/// The name under which a metric is registered: the metrics library appends the `_total` suffix of counters.
fn metric_name(series: &str) -> &str {
    series.strip_suffix("_total").unwrap_or(series)
}

/// The names that do not exist in the sources.
fn missing(names: &BTreeSet<Named>) -> Vec<Named> {
    let programs: String = PROGRAMS
        .iter()
        .map(|folder| sources(&root().join(folder)))
        .collect();
    let node_counters = read("crates/node/src/counters.rs");
    let is_there = |named: &&Named| match named.kind {
        Kind::Module => root().join(&named.name).is_file(),
        Kind::Event | Kind::Code => programs.contains(&format!("\"{}\"", named.name)),
        // Each counter of a node is on a line of its own; other counters are public fields or names of metrics.
        Kind::Counter => {
            node_counters.lines().any(|line| line.trim() == named.name)
                || programs.contains(&format!("pub {}: ", named.name))
                || programs.contains(&format!("\"{}\"", metric_name(&named.name)))
        }
    };
    names
        .iter()
        .filter(|named| !is_there(named))
        .cloned()
        .collect()
}

/// The files of the admission policy, as paths from the root.
fn policy_files() -> BTreeSet<String> {
    let modules = fs::read_dir(root().join("src/choice")).unwrap();
    let mut files: BTreeSet<String> = modules
        .map(|entry| {
            let name = entry.unwrap().file_name();
            format!("src/choice/{}", name.to_str().unwrap())
        })
        .collect();
    files.insert("src/choice.rs".to_owned());
    files
}

#[test]
fn modules_events_and_counters_of_the_page_exist() {
    let names = names(&read("docs/decisions.md"));
    for kind in [Kind::Module, Kind::Event, Kind::Code, Kind::Counter] {
        assert!(names.iter().any(|named| named.kind == kind), "no {kind:?}");
    }
    assert_eq!(missing(&names), []);
}

#[test]
fn names_that_do_not_exist_are_reported() {
    let page = "| rule | `src/choice/nowhere.rs` | event `never_logged`, code `no_code` | counters `dismissed`, \
                `never_counted` |";
    let expected = [
        named(Kind::Module, "src/choice/nowhere.rs"),
        named(Kind::Event, "never_logged"),
        named(Kind::Code, "no_code"),
        named(Kind::Counter, "never_counted"),
    ];
    assert_eq!(missing(&names(page)), expected);
}

#[test]
fn every_module_of_the_policy_is_on_the_page_and_in_the_deploy_file() {
    let names = names(&read("docs/decisions.md"));
    let deploy = read("deploy/balancer.toml");
    let policy = deploy
        .lines()
        .find(|line| line.starts_with("policy"))
        .unwrap();
    let listed: BTreeSet<String> = policy
        .split('"')
        .skip(1)
        .step_by(2)
        .map(str::to_owned)
        .collect();
    assert_eq!(listed, policy_files());
    for file in policy_files() {
        assert!(names.contains(&named(Kind::Module, &file)), "{file}");
    }
}

#[test]
fn every_module_of_the_policy_is_in_the_table_of_its_root() {
    let text = read("src/choice.rs");
    let head: String = text.lines().filter(|l| l.starts_with("//!")).collect();
    let modules: Vec<&str> = text
        .lines()
        .filter_map(|line| line.strip_prefix("mod ")?.strip_suffix(';'))
        .collect();
    assert!(modules.len() > 10, "{modules:?}");
    for module in modules {
        assert!(head.contains(&format!("`{module}`")), "{module}");
    }
}
