//! The command line as an operator uses it: exit codes, output streams, and files that must not change.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

mod program;

use program::run_with_input as run;
use std::process::{Command, Stdio};

const GOOD: &str = "rain 1

type check {
  repeat: rerunnable
  goal: 3 s
  outer-limit: 7 s
}

pool hall {
  member n1 {
    address: \"10.0.0.1:5050\"
  }

  member n2 {
    address: \"10.0.0.2:5050\"
  }
}

route all {
  to: hall
}
";

fn folder_with(files: &[(&str, &str)]) -> tempfile::TempDir {
    let folder = tempfile::tempdir().unwrap();
    for (name, text) in files {
        std::fs::write(folder.path().join(name), text).unwrap();
    }
    folder
}

#[test]
fn each_command_has_its_exit_code_and_writes_to_the_right_stream() {
    let bad = GOOD.replace("3 s", "3 tickets/s");
    let spaced = GOOD.replace("  to: hall", "to:hall");
    let unused = GOOD.replace("route all", "limits l { rate: 5 tickets/s }\nroute all");
    let files = folder_with(&[
        ("good.rain", GOOD),
        ("bad.rain", &bad),
        ("spaced.rain", &spaced),
        ("unused.rain", &unused),
    ]);
    let folder = files.path();
    let table: [(&[&str], i32, &str, &str); 17] = [
        (
            &["config", "check", "good.rain"],
            0,
            "",
            "good.rain: good: 1 file, 22 lines, 0 warnings",
        ),
        (&["config", "check", "bad.rain", "good.rain"], 1, "", "U202"),
        (
            &["config", "check", "good.rain", "gone.rain"],
            2,
            "",
            "S001",
        ),
        (&["config", "check", "unused.rain"], 0, "", "warning[W501]"),
        (
            &["config", "check", "--strict", "unused.rain"],
            1,
            "",
            "W501",
        ),
        (
            &["config", "check", "--json", "bad.rain"],
            1,
            "\"code\":\"U202\"",
            "",
        ),
        (&["config", "check"], 2, "", "Usage"),
        (&["config", "fmt", "--check", "good.rain"], 0, "", ""),
        (
            &["config", "fmt", "--check", "spaced.rain"],
            1,
            "spaced.rain: not in its form",
            "",
        ),
        (
            &["config", "fmt", "gone.rain"],
            2,
            "",
            "there is no such file",
        ),
        (
            &["config", "explain", "good.rain", "--type", "check"],
            0,
            "goes to the pool hall",
            "",
        ),
        (
            &["config", "explain", "good.rain", "--type", "chek"],
            2,
            "",
            "there is no type `chek`; there are: check",
        ),
        (
            &[
                "config",
                "explain",
                "good.rain",
                "--type",
                "check",
                "--members-out",
                "n1,n2",
            ],
            1,
            "dismissed",
            "",
        ),
        (
            &[
                "config",
                "explain",
                "good.rain",
                "--type",
                "check",
                "--members-out",
                "n3",
            ],
            2,
            "",
            "there are: n1, n2",
        ),
        (
            &["config", "why", "m402"],
            0,
            "M402: an exclusive type would be repeated without proof",
            "",
        ),
        (&["config", "why", "M999"], 2, "", "config why --all"),
        (&["completions", "bash"], 0, "_rainstand", ""),
    ];
    for (arguments, expected_code, expected_stdout, expected_stderr) in table {
        let (code, stdout, stderr) = run(folder, arguments, "");
        assert_eq!(code, expected_code, "{arguments:?}\n{stdout}{stderr}");
        assert!(
            stdout.contains(expected_stdout) && stderr.contains(expected_stderr),
            "{arguments:?}\n{stdout}{stderr}"
        );
        assert!(
            !expected_stdout.is_empty() || stdout.is_empty(),
            "{arguments:?} prints {stdout}"
        );
    }
}

#[test]
fn each_json_finding_has_its_location() {
    let bad = GOOD
        .replace("goal: 3 s", "goal: 8 s")
        .replace("to: hall", "to: hal");
    let files = folder_with(&[("bad.rain", &bad)]);
    let (code, stdout, stderr) = run(files.path(), &["config", "check", "--json", "bad.rain"], "");
    assert_eq!((code, stderr.as_str()), (1, ""));
    let findings: Vec<serde_json::Value> = stdout
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    let locations: Vec<_> = findings
        .iter()
        .map(|finding| {
            (
                finding["code"].as_str().unwrap(),
                finding["line"].as_u64().unwrap(),
                finding["column"].as_u64().unwrap(),
            )
        })
        .collect();
    assert_eq!(locations, [("M405", 5, 9), ("N305", 20, 7)]);
    assert_eq!(findings[0]["also"][0]["line"], 6);
    assert_eq!(findings[1]["help"], "perhaps `hall`?");
    assert!(findings
        .iter()
        .all(|finding| finding["file"] == "bad.rain" && finding["severity"] == "error"));
}

#[test]
fn formatter_replaces_files_atomically_and_leaves_invalid_files_unchanged() {
    let spaced = GOOD.replace("  to: hall", "to:hall # where else");
    let broken = "rain 1\npool {\n";
    let files = folder_with(&[("a.rain", &spaced), ("broken.rain", broken)]);
    let folder = files.path();
    std::os::unix::fs::symlink("a.rain", folder.join("link.rain")).unwrap();
    let (code, _, stderr) = run(folder, &["config", "fmt", "broken.rain", "link.rain"], "");
    assert_eq!(code, 1);
    assert!(
        stderr.contains("P104") && stderr.contains("left as it is"),
        "{stderr}"
    );
    assert_eq!(
        std::fs::read_to_string(folder.join("broken.rain")).unwrap(),
        broken
    );
    assert_eq!(
        std::fs::read_to_string(folder.join("a.rain")).unwrap(),
        GOOD.replace("to: hall", "to: hall # where else")
    );
    assert!(folder
        .join("link.rain")
        .symlink_metadata()
        .unwrap()
        .is_symlink());
    // No temporary files are left.
    assert_eq!(std::fs::read_dir(folder).unwrap().count(), 3);
    let (code, stdout, _) = run(folder, &["config", "fmt", "-"], &spaced);
    assert_eq!(
        (code, stdout),
        (0, GOOD.replace("to: hall", "to: hall # where else"))
    );
}

#[test]
fn all_three_file_formats_hold_the_same_configuration() {
    let files = folder_with(&[("a.rain", GOOD)]);
    let folder = files.path();
    let (code, text, _) = run(folder, &["config", "build", "a.rain"], "");
    assert_eq!(code, 0);
    std::fs::write(folder.join("a.txtpb"), &text).unwrap();
    assert_eq!(
        run(
            folder,
            &["config", "build", "a.txtpb", "--binary", "--out", "a.pb"],
            ""
        )
        .0,
        0
    );
    assert_eq!(
        run(folder, &["config", "build", "a.pb"], ""),
        (0, text.clone(), String::new())
    );
    for (old, new) in [("a.rain", "a.pb"), ("a.pb", "a.txtpb")] {
        assert_eq!(
            run(folder, &["config", "diff", old, new], ""),
            (0, String::new(), String::new())
        );
    }
    let (code, stdout, _) = run(
        folder,
        &["config", "diff", "a.pb", "-"],
        &GOOD.replace("3 s", "2 s"),
    );
    assert_eq!(
        (code, stdout.as_str()),
        (1, "~ type check: goal: `3 s` -> `2 s`\n")
    );
    assert_eq!(
        run(folder, &["config", "diff", "a.pb", "gone.rain"], "").0,
        2
    );
    std::fs::write(folder.join("odd.txtpb"), text.replace("goal_ns", "gaol_ns")).unwrap();
    let (code, _, stderr) = run(folder, &["config", "build", "odd.txtpb"], "");
    assert_eq!(code, 1);
    assert!(
        stderr.contains("odd.txtpb:7:3:") && stderr.contains("gaol_ns"),
        "{stderr}"
    );
    std::fs::write(
        folder.join("cut.pb"),
        &std::fs::read(folder.join("a.pb")).unwrap()[..20],
    )
    .unwrap();
    assert_eq!(run(folder, &["config", "build", "cut.pb"], "").0, 1);
}

#[test]
fn closed_standard_output_is_not_an_error() {
    let files = folder_with(&[("a.rain", GOOD)]);
    let mut child = Command::new(env!("CARGO_BIN_EXE_rainstand"))
        .args(["config", "schema"])
        .current_dir(files.path())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    drop(child.stdout.take());
    let output = child.wait_with_output().unwrap();
    assert!(output.status.success() && output.stderr.is_empty());
}
