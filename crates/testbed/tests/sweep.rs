//! What a sweep counts.
//!
//! What happened: a sweep of chased.rain in a folder where site.rain had been swept said "29 seeds: 0 failed" at once and
//! had played nothing. Why: a result was known by its seed alone, so that those of another file, build or set of options
//! counted. What showed it: `results.jsonl` had no line more than before.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use std::path::Path;
use std::process::{Command, Stdio};

/// A sweep of one seed. `programs` is a folder without any, so that each seed that is played fails at once.
fn sweep(file: &str, out: &Path, programs: &Path, seconds: u64) -> String {
    let file = format!(
        "{}/../../experiments/rig/{file}",
        env!("CARGO_MANIFEST_DIR")
    );
    let output = Command::new(env!("CARGO_BIN_EXE_rainstand-testbed"))
        .args([
            "sweep",
            &file,
            "--seeds",
            "1..2",
            "--seconds",
            &seconds.to_string(),
        ])
        .arg("--out")
        .arg(out)
        .arg("--programs")
        .arg(programs)
        .stderr(Stdio::null())
        .output()
        .unwrap();
    String::from_utf8(output.stdout).unwrap()
}

fn results(out: &Path) -> usize {
    let text = std::fs::read_to_string(out.join("results.jsonl")).unwrap();
    text.lines().count()
}

#[test]
fn a_sweep_counts_results_of_its_own_play_alone() {
    let folder = tempfile::tempdir().unwrap();
    let (out, programs) = (folder.path().join("out"), folder.path().join("programs"));
    std::fs::create_dir(&programs).unwrap();
    let told = sweep("site.rain", &out, &programs, 1);
    assert!(told.contains("1 seeds: 1 failed"), "{told}");
    assert_eq!(results(&out), 1);
    // The same once more: the seed is not played again.
    let told = sweep("site.rain", &out, &programs, 1);
    assert!(told.contains("1 seeds: 1 failed"), "{told}");
    assert_eq!(results(&out), 1);
    // Another file, another option: played, and the others are named.
    let told = sweep("chased.rain", &out, &programs, 1);
    assert!(
        told.contains("not counted: 1 results of rig site"),
        "{told}"
    );
    assert_eq!(results(&out), 2);
    sweep("chased.rain", &out, &programs, 2);
    assert_eq!(results(&out), 3);
    // Another build of the node.
    std::fs::write(programs.join("rainstand-node"), "another").unwrap();
    sweep("chased.rain", &out, &programs, 2);
    assert_eq!(results(&out), 4);
    // One that an older release wrote does not say what it is of.
    std::fs::remove_file(programs.join("rainstand-node")).unwrap();
    let path = out.join("results.jsonl");
    std::fs::write(&path, "{\"seed\":1,\"good\":true}\n").unwrap();
    let told = sweep("site.rain", &out, &programs, 1);
    assert!(
        told.contains("not counted: 1 results of no named play"),
        "{told}"
    );
    assert_eq!(results(&out), 2);
}
