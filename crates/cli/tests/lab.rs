//! `rainstand lab` and `rainstand ask`, run as programs.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

mod program;

use program::run as rainstand;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Command, Stdio};

const EXPERIMENT: &str = "rain 1
type check { repeat: rerunnable; goal: 500 ms; outer-limit: 2 s }
tenant acme { share: 40 % }
experiment small {
  lasts: 1 s
  seeds: 3
  tries: 1
  fleet { nodes: 4; cores: 2 }
  forwarders { count: 2 }
  traffic check { work: 10 ms .. 30 ms }
  from acme { }
  fault { what: fail-fast; at: 300 ms; lasts: 400 ms; first: 1; span: 1 ms }
  vary tries { to: 1, 3 }
}
";

#[test]
fn an_experiment_is_run_compared_plotted_and_loaded() {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("small.rain"), EXPERIMENT).unwrap();
    let (code, out, errors) =
        rainstand(folder.path(), &["lab", "run", "small.rain", "--jobs", "2"]);
    assert_eq!(code, 0, "{errors}");
    assert!(
        out.contains("tries=1 ") && out.contains("tries=3 ") && out.contains("unevenness"),
        "{out}"
    );
    // A second run finds all results in the folder, and prints the same figures.
    let (code, repeated, _) = rainstand(folder.path(), &["lab", "run", "small.rain"]);
    assert_eq!((code, &repeated), (0, &out));
    let (code, lines, _) = rainstand(folder.path(), &["lab", "run", "small.rain", "--json"]);
    assert_eq!((code, lines.lines().count()), (0, 6));
    let (code, out, _) = rainstand(folder.path(), &["lab", "compare", "lab-out/small"]);
    assert!(
        code == 0 && out.contains("tries=3  against  tries=1, 3 pairs"),
        "{out}"
    );
    let (code, out, _) = rainstand(folder.path(), &["lab", "plot", "lab-out/small"]);
    assert_eq!((code, out.lines().count()), (0, 6));
    let page = std::fs::read_to_string(folder.path().join("lab-out/small/index.html")).unwrap();
    assert!(page.contains("<svg") && page.contains("tries=3"));
    let (code, out, _) = rainstand(
        folder.path(),
        &["lab", "shrink", "small.rain", "--seed", "2"],
    );
    assert_eq!((code, out.as_str()), (0, "seed 2: no rule breaks\n"));
    // The experiment's load on sockets, and the figures of the model.
    let (code, out, errors) = rainstand(folder.path(), &["lab", "load", "small.rain", "--json"]);
    assert_eq!((code, out.lines().count()), (0, 2), "{errors}");
    for line in out.lines() {
        let value: serde_json::Value = serde_json::from_str(line).unwrap();
        let shares = ["honoured", "dismissed", "given_up"].map(|key| value[key].as_f64().unwrap());
        assert!(
            (shares.iter().sum::<f64>() - 1.0).abs() < 1e-9 && value["asked"].as_u64() > Some(50),
            "{line}"
        );
    }
}

#[test]
fn errors_are_reported_with_an_exit_code() {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("none.rain"), "rain 1\ntenant acme { }\n").unwrap();
    std::fs::write(
        folder.path().join("bad.rain"),
        EXPERIMENT.replace("nodes: 4", "nodes: 0"),
    )
    .unwrap();
    let table = [
        (
            &["lab", "run", "none.rain"][..],
            2,
            "the file has no experiment",
        ),
        (&["lab", "run", "bad.rain"], 1, "`nodes` cannot be zero"),
        (&["lab", "compare", "nowhere"], 2, "nowhere"),
        (&["ask", "members", "--at", "127.0.0.1:1"], 2, "127.0.0.1:1"),
    ];
    for (arguments, expected, words) in table {
        let (code, _, errors) = rainstand(folder.path(), arguments);
        assert!(
            code == expected && errors.contains(words),
            "{arguments:?}: {code} {errors}"
        );
    }
}

#[test]
fn test_servers_of_an_experiment_serve_until_they_are_ended() {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("small.rain"), EXPERIMENT).unwrap();
    let mut child = Command::new(env!("CARGO_BIN_EXE_rainstand"))
        .args(["lab", "stand-ins", "small.rain"])
        .current_dir(folder.path())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let nodes: Vec<String> = lines.take(4).map(Result::unwrap).collect();
    let (code, out, errors) = rainstand(
        folder.path(),
        &["lab", "load", "small.rain", "--json", "--to", &nodes[3]],
    );
    assert!(
        code == 0 && out.lines().count() == 1 && out.contains("\"of\":\"sockets\""),
        "{out} {errors}"
    );
    let value: serde_json::Value = serde_json::from_str(&out).unwrap();
    assert!(value["honoured"].as_f64().unwrap() > 0.5, "{out}");
    child.kill().unwrap();
    child.wait().unwrap();
}

/// A forwarder process and its admin address; the process is killed on drop.
struct ForwarderProcess(std::process::Child, String);

impl Drop for ForwarderProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn start_forwarder(config: &PathBuf, number: &str) -> ForwarderProcess {
    let mut child = Command::new(env!("CARGO_BIN_EXE_rainstand"))
        .args([
            "forward",
            "--listen",
            "127.0.0.1:0",
            "--admin",
            "127.0.0.1:0",
            "--number",
            number,
            "--config",
        ])
        .arg(config)
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let lines = BufReader::new(child.stderr.take().unwrap()).lines();
    let line = lines
        .map_while(Result::ok)
        .find(|line| line.contains("admin="))
        .unwrap();
    let admin_address = line
        .split("admin=")
        .nth(1)
        .unwrap()
        .split_whitespace()
        .next()
        .unwrap()
        .to_owned();
    ForwarderProcess(child, admin_address)
}

#[test]
fn forwarders_report_the_members_of_their_subset() {
    let folder = tempfile::tempdir().unwrap();
    let config = folder.path().join("main.rain");
    let members: String = (0..4)
        .map(|k| format!("member n{k} {{ address: \"127.0.0.1:{}\" }}\n", k + 1))
        .collect();
    let text = format!(
        "rain 1\ntype check {{ repeat: rerunnable; goal: 1 s; outer-limit: 2 s }}\npool p {{ know: 2\n{members} }}\nroute r {{ to: p }}\n"
    );
    std::fs::write(&config, text).unwrap();
    let mut known = Vec::new();
    for number in ["0", "1"] {
        let forwarder = start_forwarder(&config, number);
        let (code, out, errors) = rainstand(
            folder.path(),
            &["ask", "members", "--at", &forwarder.1, "--json"],
        );
        assert_eq!((code, out.lines().count()), (0, 2), "{errors}");
        for line in out.lines() {
            let value: serde_json::Value = serde_json::from_str(line).unwrap();
            assert_eq!(value["standing"], "in");
            known.push(value["member"].as_str().unwrap().to_owned());
        }
        let (code, out, _) = rainstand(folder.path(), &["ask", "metrics", "--at", &forwarder.1]);
        assert!(
            code == 0 && out.contains("rainstand_forwarder_version 1"),
            "{out}"
        );
        let (code, out, _) = rainstand(folder.path(), &["ask", "decisions", "--at", &forwarder.1]);
        assert!(code == 0 && out.starts_with("ago"), "{out}");
    }
    known.sort();
    assert_eq!(
        known,
        ["n0", "n1", "n2", "n3"],
        "the subsets cover all members"
    );
}
