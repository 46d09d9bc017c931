//! The pages under `docs/` hold what is true: examples can be used as they are written, commands exist, the picture
//! of the crates is that of the manifests, types of the glossary are in the code.

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
/// Help of each command, as the golden file has it.
const HELP: &str = include_str!("golden/help.txt");

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// All pages: name and text.
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

/// Code blocks of a page, indented by four spaces or fenced.
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
fn examples_of_configurations_are_good() {
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
            // A session may follow behind its file, each command with a dollar sign.
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
            let ended = child.wait_with_output().unwrap();
            let errors = String::from_utf8_lossy(&ended.stderr).into_owned();
            assert!(ended.status.success(), "{page}:\n{configuration}\n{errors}");
            checked += 1;
        }
    }
    assert!(checked >= 8, "only {checked} examples were found");
}

/// Commands by their words, each with its help.
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
fn commands_of_examples_exist_with_their_flags() {
    let commands = commands();
    let mut checked = 0;
    for (page, text) in pages() {
        for line in blocks(&text).iter().flat_map(|block| block.lines()) {
            let line = line
                .trim_start_matches("$ ")
                .trim_start_matches("target/release/");
            for one in line
                .split(" && ")
                .filter_map(|one| one.strip_prefix("rainstand "))
            {
                let code = one
                    .split([' '])
                    .take_while(|word| !["|", "#", ">", "<"].contains(word));
                let words: Vec<&str> = code.filter(|word| !word.is_empty()).collect();
                // `info|check` stands for either.
                let first: Vec<&str> = words
                    .iter()
                    .map(|word| word.split('|').next().unwrap())
                    .collect();
                let known = (0..=first.len())
                    .rev()
                    .find(|n| commands.contains_key(&first[..*n]));
                let known = known.filter(|n| *n > 0);
                let known = known.unwrap_or_else(|| panic!("{page}: no such command: {line}"));
                let help = commands[&first[..known]];
                for flag in words.iter().filter(|word| word.starts_with("--")) {
                    assert!(help.contains(flag), "{page}: no {flag}: {line}");
                }
                checked += 1;
            }
        }
    }
    assert!(checked >= 25, "only {checked} commands were found");
}

/// What each crate depends on among the workspace's own, all by their short names.
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

fn reached(from: &str, edges: &BTreeMap<String, BTreeSet<String>>) -> BTreeSet<String> {
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
fn the_picture_of_the_crates_is_that_of_the_manifests() {
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
            "{name} is not in the picture"
        );
        assert_eq!(
            reached(name, &drawn),
            reached(name, &manifests),
            "below {name}"
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

/// All words of the Rust sources behind a word that defines something.
fn defined() -> BTreeSet<String> {
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
                let kinds = ["struct", "enum", "trait", "type", "fn", "mod"];
                for pair in words.windows(2).filter(|pair| kinds.contains(&pair[0])) {
                    all.insert(pair[1].to_owned());
                }
            }
        }
    }
    all
}

#[test]
fn types_of_the_glossary_are_in_the_code() {
    let defined = defined();
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

/// Paths of source files that a text names between backticks or as they are.
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
fn source_files_that_pages_name_are_there() {
    let mut checked = 0;
    for (page, text) in pages() {
        for path in source_paths(&text) {
            assert!(root().join(path).exists(), "{page}: {path}");
            checked += 1;
        }
    }
    assert!(checked >= 30, "only {checked} paths were found");
}
