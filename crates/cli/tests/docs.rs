//! Checks that the pages under `docs/` match the code: example configurations are valid, commands exist, the diagram of
//! the crates matches the manifests, and types in the glossary exist.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

const PROGRAM: &str = env!("CARGO_BIN_EXE_rainstand");
/// Help texts of all commands, from the golden file.
const HELP: &str = include_str!("golden/help.txt");

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Name and text of each page.
fn pages() -> Vec<(String, String)> {
    let mut paths = vec![root().join("README.md"), root().join("CONTRIBUTING.md")];
    for folder in ["docs", "docs/design"] {
        let entries = std::fs::read_dir(root().join(folder)).unwrap();
        paths.extend(entries.map(|entry| entry.unwrap().path()));
    }
    paths.retain(|path| path.extension().is_some_and(|extension| extension == "md"));
    paths.sort();
    let read = |path: PathBuf| {
        let text = std::fs::read_to_string(&path).unwrap();
        (
            path.file_name().unwrap().to_string_lossy().into_owned(),
            text,
        )
    };
    paths.into_iter().map(read).collect()
}

/// Code blocks of a page: fenced, or indented by four spaces.
fn blocks(text: &str) -> Vec<String> {
    let (mut all, mut block) = (Vec::new(), String::new());
    let (mut fenced, mut before_is_blank) = (false, true);
    for line in text.lines() {
        if line.starts_with("```") {
            all.push(std::mem::take(&mut block));
            fenced = !fenced;
            continue;
        }
        let indented = line
            .strip_prefix("    ")
            .filter(|_| before_is_blank || !block.is_empty());
        if fenced {
            block += line;
            block.push('\n');
        } else if let Some(code) = indented {
            block += code;
            block.push('\n');
        } else if line.trim().is_empty() && !block.is_empty() {
            block.push('\n');
        } else {
            all.push(std::mem::take(&mut block));
        }
        before_is_blank = line.trim().is_empty();
    }
    all.push(block);
    all.retain(|block| !block.trim().is_empty());
    all
}

#[test]
fn example_configurations_are_valid() {
    let mut checked = 0;
    for (page, text) in pages() {
        for block in blocks(&text) {
            let Some(start) = block.find("rain 1\n") else {
                let words = [
                    "group ",
                    "control ",
                    "pool ",
                    "route ",
                    "experiment ",
                    "rig ",
                ];
                let begins = |line: &str| {
                    words.iter().any(|word| line.starts_with(word)) && line.ends_with('{')
                };
                assert!(
                    !block.lines().any(begins),
                    "{page}: an example without `rain 1`:\n{block}"
                );
                continue;
            };
            // A shell session may follow the configuration; its commands begin with a dollar sign.
            let lines = block[start..]
                .lines()
                .take_while(|line| !line.starts_with("$ "));
            let configuration: String = lines.flat_map(|line| [line, "\n"]).collect();
            let mut child = Command::new(PROGRAM)
                .args(["config", "check", "-"])
                .stdin(Stdio::piped())
                .stderr(Stdio::piped())
                .spawn()
                .unwrap();
            child
                .stdin
                .take()
                .unwrap()
                .write_all(configuration.as_bytes())
                .unwrap();
            let output = child.wait_with_output().unwrap();
            let errors = String::from_utf8_lossy(&output.stderr).into_owned();
            assert!(
                output.status.success(),
                "{page}:\n{configuration}\n{errors}"
            );
            checked += 1;
        }
    }
    assert!(checked >= 8, "only {checked} examples were found");
}

/// The help text of each command, by the command's words.
fn commands() -> BTreeMap<Vec<&'static str>, &'static str> {
    let sections = HELP.split("$ rainstand ").skip(1);
    let parse = |section: &'static str| {
        let (head, help) = section.split_once('\n').unwrap();
        let words = head
            .split(' ')
            .filter(|word| *word != "--help" && !word.is_empty());
        (words.collect(), help)
    };
    sections.map(parse).collect()
}

#[test]
fn commands_in_examples_exist_with_their_flags() {
    let commands = commands();
    let mut checked = 0;
    for (page, text) in pages() {
        for line in blocks(&text).iter().flat_map(|block| block.lines()) {
            let line = line
                .trim_start_matches("$ ")
                .trim_start_matches("target/release/");
            for command in line
                .split(" && ")
                .filter_map(|part| part.strip_prefix("rainstand "))
            {
                let code = command
                    .split([' '])
                    .take_while(|word| !["|", "#", ">", "<"].contains(word));
                let words: Vec<&str> = code.filter(|word| !word.is_empty()).collect();
                // `info|check` means either; the first is looked up.
                let first_choices: Vec<&str> = words
                    .iter()
                    .map(|word| word.split('|').next().unwrap())
                    .collect();
                let known_words = (0..=first_choices.len())
                    .rev()
                    .find(|count| commands.contains_key(&first_choices[..*count]));
                let known_words = known_words.filter(|count| *count > 0);
                let known_words =
                    known_words.unwrap_or_else(|| panic!("{page}: no such command: {line}"));
                let help = commands[&first_choices[..known_words]];
                for flag in words.iter().filter(|word| word.starts_with("--")) {
                    assert!(help.contains(flag), "{page}: no {flag}: {line}");
                }
                checked += 1;
            }
        }
    }
    assert!(checked >= 25, "only {checked} commands were found");
}

/// The dependencies of each crate on other crates of the workspace, by short name.
fn dependencies() -> BTreeMap<String, BTreeSet<String>> {
    let short = |name: &str| name.strip_prefix("rainstand-").unwrap_or(name).to_owned();
    let mut manifests = vec![root().join("Cargo.toml")];
    let crates = std::fs::read_dir(root().join("crates")).unwrap();
    manifests.extend(crates.map(|entry| entry.unwrap().path().join("Cargo.toml")));
    let parse = |path: &PathBuf| {
        let text = std::fs::read_to_string(path).unwrap();
        let package = text.split("[package]").nth(1).unwrap();
        let name = package
            .split("name = \"")
            .nth(1)
            .unwrap()
            .split('"')
            .next()
            .unwrap();
        let section = text.split("\n[dependencies]\n").nth(1).unwrap_or("");
        let lines = section.lines().take_while(|line| !line.starts_with('['));
        let own = lines.filter(|line| line.starts_with("rainstand"));
        let names = own.map(|line| short(line.split(['.', ' ']).next().unwrap()));
        (short(name), names.collect())
    };
    manifests.iter().map(parse).collect()
}

/// All crates that `from` depends on, directly or indirectly.
fn reachable(from: &str, edges: &BTreeMap<String, BTreeSet<String>>) -> BTreeSet<String> {
    let (mut all, mut open) = (BTreeSet::new(), vec![from.to_owned()]);
    while let Some(next) = open.pop() {
        for to in edges.get(&next).into_iter().flatten() {
            if all.insert(to.clone()) {
                open.push(to.clone());
            }
        }
    }
    all
}

#[test]
fn diagram_of_the_crates_matches_the_manifests() {
    let text = std::fs::read_to_string(root().join("docs/ARCHITECTURE.md")).unwrap();
    let mut drawn: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    for line in text.lines() {
        if let Some((from, to)) = line.trim().split_once(" --> ") {
            drawn
                .entry(from.to_owned())
                .or_default()
                .insert(to.to_owned());
        }
    }
    let manifests = dependencies();
    for name in manifests.keys() {
        assert!(
            text.lines().any(|line| line.trim() == name),
            "{name} is not in the diagram"
        );
        assert_eq!(
            reachable(name, &drawn),
            reachable(name, &manifests),
            "dependencies of {name}"
        );
    }
    for (from, all) in &drawn {
        for to in all {
            assert!(
                manifests[from].contains(to),
                "{from} does not depend on {to}"
            );
        }
    }
}

/// All names in the Rust sources that follow a keyword such as `struct` or `fn`.
fn defined_names() -> BTreeSet<String> {
    let (mut all, mut open) = (
        BTreeSet::new(),
        vec![root().join("src"), root().join("crates")],
    );
    while let Some(folder) = open.pop() {
        for entry in std::fs::read_dir(folder).unwrap() {
            let path = entry.unwrap().path();
            if path.is_dir() {
                open.push(path);
            } else if path.extension().is_some_and(|extension| extension == "rs") {
                let text = std::fs::read_to_string(&path).unwrap();
                let words: Vec<&str> = text
                    .split(|c: char| !c.is_alphanumeric() && c != '_')
                    .collect();
                let keywords = ["struct", "enum", "trait", "type", "fn", "mod"];
                for pair in words.windows(2).filter(|pair| keywords.contains(&pair[0])) {
                    all.insert(pair[1].to_owned());
                }
            }
        }
    }
    all
}

#[test]
fn types_in_the_glossary_exist_in_the_code() {
    let defined = defined_names();
    let text = std::fs::read_to_string(root().join("docs/glossary.md")).unwrap();
    let mut checked = 0;
    for row in text
        .lines()
        .filter(|line| line.starts_with("| ") && line.matches('|').count() >= 4)
    {
        let column = row.split('|').nth(3).unwrap();
        for name in column.split('`').skip(1).step_by(2) {
            let last = name.rsplit("::").next().unwrap();
            assert!(defined.contains(last), "{last} is not in the code: {row}");
            checked += 1;
        }
    }
    assert!(checked >= 40, "only {checked} names were found");
}

/// Paths of source files in a text, with or without backticks.
fn source_paths(text: &str) -> Vec<&str> {
    let is_part = |c: char| c.is_alphanumeric() || "/_-.".contains(c);
    let words = text.split(|c: char| !is_part(c));
    let words = words.map(|word| word.trim_end_matches('.'));
    words
        .filter(|word| {
            word.ends_with(".rs")
                && ["crates/", "src/", "tests/"]
                    .iter()
                    .any(|start| word.starts_with(start))
        })
        .collect()
}

#[test]
fn source_files_named_in_pages_exist() {
    let mut checked = 0;
    for (page, text) in pages() {
        for path in source_paths(&text) {
            assert!(root().join(path).exists(), "{page}: {path} does not exist");
            checked += 1;
        }
    }
    assert!(checked >= 30, "only {checked} paths were found");
}
