//! Which results a sweep counts.
//!
//! Guards against this failure: a sweep of chased.rain in the output folder of a sweep of site.rain reported
//! "29 seeds: 0 failed" without running a seed. Results were identified by their seed alone, so those of another file,
//! build or set of options were counted. `results.jsonl` got no new line.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use std::path::Path;
use std::process::{Command, Stdio};

/// Sweeps one seed and returns the output. `programs` is a folder without the programs, so each run fails immediately.
fn sweep(file: &str, out: &Path, programs: &Path, seconds: u64) -> String {
    let file = format!(
        "{}/../../experiments/rig/{file}",
        env!("CARGO_MANIFEST_DIR")
    );
    let completed = Command::new(env!("CARGO_BIN_EXE_rainstand-testbed"))
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
    String::from_utf8(completed.stdout).unwrap()
}

fn results(out: &Path) -> usize {
    let text = std::fs::read_to_string(out.join("results.jsonl")).unwrap();
    text.lines().count()
}

#[test]
fn sweep_counts_only_results_of_identical_runs() {
    let folder = tempfile::tempdir().unwrap();
    let (out, programs) = (folder.path().join("out"), folder.path().join("programs"));
    std::fs::create_dir(&programs).unwrap();
    let output = sweep("site.rain", &out, &programs, 1);
    assert!(output.contains("1 seeds: 1 failed"), "{output}");
    assert_eq!(results(&out), 1);
    // The same sweep again does not run the seed again.
    let output = sweep("site.rain", &out, &programs, 1);
    assert!(output.contains("1 seeds: 1 failed"), "{output}");
    assert_eq!(results(&out), 1);
    // With another file or option the seed is run, and the other results are named.
    let output = sweep("chased.rain", &out, &programs, 1);
    assert!(
        output.contains("not counted: 1 results of rig site"),
        "{output}"
    );
    assert_eq!(results(&out), 2);
    sweep("chased.rain", &out, &programs, 2);
    assert_eq!(results(&out), 3);
    // Another build of the node.
    std::fs::write(programs.join("rainstand-node"), "another").unwrap();
    sweep("chased.rain", &out, &programs, 2);
    assert_eq!(results(&out), 4);
    // A result of an older release has no identity.
    std::fs::remove_file(programs.join("rainstand-node")).unwrap();
    let path = out.join("results.jsonl");
    std::fs::write(&path, "{\"seed\":1,\"good\":true}\n").unwrap();
    let output = sweep("site.rain", &out, &programs, 1);
    assert!(
        output.contains("not counted: 1 results of an unidentified run"),
        "{output}"
    );
    assert_eq!(results(&out), 2);
}
