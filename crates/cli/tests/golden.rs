//! The command line as other programs see it: help, JSON output, exit codes and metric names as an earlier version
//! had them.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

mod program;
mod stand_ins;

use program::{run, PROGRAM};
use rainstand_golden_files::assert_text;
use serde_json::Value;
use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader};
use std::net::TcpListener;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Only what hangs is caught by this; nothing is timed.
const HANGS: Duration = Duration::from_secs(60);
const FOLDER: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden");

fn golden(name: &str) -> String {
    format!("{FOLDER}/{name}")
}

/// Help of a command and of all below it, those that are hidden too.
fn help(command: &[&str], all: &mut String) {
    let mut arguments = command.to_vec();
    arguments.push("--help");
    let (code, text, _) = run(Path::new("."), &arguments);
    assert_eq!(code, 0, "{arguments:?}");
    writeln!(all, "$ rainstand {}\n{text}", arguments.join(" ")).unwrap();
    let commands = text.split("Commands:\n").nth(1).unwrap_or("");
    let names = commands.lines().take_while(|line| !line.is_empty());
    // A name stands behind two spaces; its text, where it is broken, behind more.
    let names = names.filter_map(|line| {
        line.strip_prefix("  ")
            .filter(|line| !line.starts_with(' '))
    });
    for name in names
        .filter_map(|line| line.split(' ').next())
        .filter(|name| *name != "help")
    {
        help(&[command, &[name]].concat(), all);
    }
}

#[test]
fn help_is_as_before() {
    let mut all = String::new();
    help(&[], &mut all);
    for name in [
        "publish",
        "versions",
        "mend",
        "recover",
        "decisions",
        "shrink",
        "replay",
    ] {
        assert!(all.contains(&format!(" {name} --help\n")), "{name}");
    }
    assert_text(golden("help.txt"), &all);
}

const CONFIGURATION: &str = "rain 1

type check { repeat: rerunnable; goal: 3 s; outer-limit: 7 s }
type register { repeat: exclusive; goal: 3 s; outer-limit: 7 s }
tenant acme { share: 40 % }
limits checks { rate: 5 tickets/s }

pool hall {
  member n1 { address: \"127.0.0.1:9\"; zone: a }
  member n2 { address: \"127.0.0.1:8\"; zone: b }
}

route all { to: hall; limits: checks }
";

/// Each command with its exit code and what it printed.
fn transcript(folder: &Path, commands: &[&[&str]]) -> String {
    let mut all = String::new();
    for arguments in commands {
        let (code, out, errors) = run(folder, arguments);
        writeln!(
            all,
            "$ rainstand {}\nexit {code}\n{out}--\n{errors}",
            arguments.join(" ")
        )
        .unwrap();
    }
    all
}

#[test]
fn output_of_configurations_is_as_before() {
    let folder = tempfile::tempdir().unwrap();
    let write = |name: &str, text: &str| std::fs::write(folder.path().join(name), text).unwrap();
    write("good.rain", CONFIGURATION);
    write(
        "bad.rain",
        &CONFIGURATION
            .replace("goal: 3 s", "goal: 8 s")
            .replace("to: hall", "to: hal"),
    );
    write(
        "other.rain",
        &CONFIGURATION
            .replace("40 %", "30 %")
            .replace("member n2", "member n3"),
    );
    let transcript = transcript(
        folder.path(),
        &[
            &["config", "check", "good.rain"],
            &["config", "check", "--json", "good.rain"],
            &["config", "check", "--json", "bad.rain"],
            &["config", "check", "bad.rain"],
            &["config", "build", "good.rain"],
            &["config", "diff", "good.rain", "other.rain"],
            &["config", "diff", "--json", "good.rain", "other.rain"],
            &[
                "config",
                "explain",
                "good.rain",
                "--type",
                "check",
                "--tenant",
                "acme",
            ],
            &[
                "config",
                "explain",
                "good.rain",
                "--type",
                "check",
                "--json",
            ],
            &[
                "config",
                "explain",
                "good.rain",
                "--type",
                "check",
                "--members-out",
                "n1,n2",
                "--json",
            ],
            &["config", "why", "--all"],
            &["config", "schema"],
            &[
                "config",
                "publish",
                "good.rain",
                "--at",
                "127.0.0.1:1",
                "--json",
            ],
            &["config", "versions", "--at", "127.0.0.1:1"],
            &["ask", "status", "--at", "127.0.0.1:1"],
            &["replica", "status", "--at", "127.0.0.1:1"],
            &["nonsense"],
        ],
    );
    assert_text(golden("config.txt"), &transcript);
}

#[test]
fn output_of_captures_and_experiments_is_as_before() {
    let folder = tempfile::tempdir().unwrap();
    let calls = [
        (0, 0, "one", "e1"),
        (4, 1, "two", "e2"),
        (8, 0, "dismissed", "e3"),
        (12, 1, "lost", "e4"),
        (16, 1, "xcept", "e5"),
        (20, 0, "never", "e6"),
    ];
    std::fs::write(folder.path().join("a.pcapng"), stand_ins::capture(&calls)).unwrap();
    let experiment = "rain 1
type check { repeat: rerunnable; goal: 500 ms; outer-limit: 2 s }
tenant acme { share: 40 % }
experiment small {
  lasts: 1 s
  seeds: 2
  tries: 1
  fleet { nodes: 4; cores: 2 }
  forwarders { count: 2 }
  traffic check { work: 10 ms .. 30 ms }
  from acme { }
  vary tries { to: 1, 3 }
}
";
    std::fs::write(folder.path().join("small.rain"), experiment).unwrap();
    let transcript = transcript(
        folder.path(),
        &[
            &["pcap", "info", "a.pcapng"],
            &["pcap", "info", "a.pcapng", "--json"],
            &["pcap", "tickets", "a.pcapng"],
            &["pcap", "tickets", "a.pcapng", "--json"],
            &["pcap", "info", "gone.pcapng"],
        ],
    );
    assert_text(golden("pcap.txt"), &transcript);
    let (code, out, _) = run(folder.path(), &["lab", "run", "small.rain", "--json"]);
    assert_eq!(code, 0);
    let mut shapes = BTreeSet::new();
    out.lines()
        .for_each(|line| shape("", &serde_json::from_str(line).unwrap(), &mut shapes));
    assert_text(golden("lab.txt"), &lines(&shapes));
}

/// The paths of a value, each with the kind of what stands there.
fn shape(path: &str, value: &Value, all: &mut BTreeSet<String>) {
    match value {
        Value::Object(fields) => {
            for (key, value) in fields {
                shape(&format!("{path}.{key}"), value, all);
            }
        }
        Value::Array(items) => items
            .iter()
            .for_each(|item| shape(&format!("{path}[]"), item, all)),
        Value::Null => drop(all.insert(format!("{path} null"))),
        Value::Bool(_) => drop(all.insert(format!("{path} bool"))),
        Value::Number(_) => drop(all.insert(format!("{path} number"))),
        Value::String(_) => drop(all.insert(format!("{path} text"))),
    }
}

fn lines(shapes: &BTreeSet<String>) -> String {
    shapes
        .iter()
        .fold(String::new(), |text, line| text + line + "\n")
}

/// A program that goes on; it ends with this.
struct Running {
    child: Child,
    /// Held so that the program can go on writing.
    log: BufReader<std::process::ChildStderr>,
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Running {
    fn start(folder: &Path, arguments: &[&str]) -> Self {
        let mut command = Command::new(PROGRAM);
        let mut child = command
            .args(arguments)
            .current_dir(folder)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let log = BufReader::new(child.stderr.take().unwrap());
        Self { child, log }
    }

    fn says(&mut self, words: &str) -> String {
        loop {
            let mut line = String::new();
            assert!(
                self.log.read_line(&mut line).unwrap() > 0,
                "ended before it said {words}"
            );
            if line.contains(words) {
                return line;
            }
        }
    }
}

/// Names, units, kinds and help texts of an OpenMetrics text.
fn metrics(text: &str) -> String {
    let described: BTreeSet<String> = text
        .lines()
        .filter(|line| line.starts_with("# "))
        .map(str::to_owned)
        .collect();
    lines(&described)
}

/// Looks at a member's folder of before.
#[test]
fn output_of_disks_is_as_before() {
    let folder = tempfile::tempdir().unwrap();
    let member = Path::new(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../cluster/tests/golden/member"
    ));
    std::fs::create_dir(folder.path().join("n1")).unwrap();
    for file in std::fs::read_dir(member).unwrap() {
        let file = file.unwrap();
        std::fs::copy(file.path(), folder.path().join("n1").join(file.file_name())).unwrap();
    }
    let mut disk = String::new();
    for command in ["info", "check", "dump"] {
        for json in [&[][..], &["--json"][..]] {
            let arguments = [&["store", command, "n1"][..], json].concat();
            disk += &transcript(folder.path(), &[&arguments]);
        }
    }
    disk += &transcript(
        folder.path(),
        &[
            &["replica", "recover", "n1", "--name", "n1"],
            &["replica", "recover", "n1", "--name", "n1", "--json"],
            &["replica", "recover", "n1", "--name", "n2"],
            &["store", "mend", "n1"],
            &["store", "info", "gone"],
        ],
    );
    assert_text(golden("disk.txt"), &disk);
}

/// Three control machines, and a forwarder that is attached to one of them.
#[test]
fn what_running_programs_tell_has_the_shape_of_before() {
    let folder = tempfile::tempdir().unwrap();
    let listeners: [TcpListener; 3] =
        std::array::from_fn(|_| TcpListener::bind("127.0.0.1:0").unwrap());
    let addresses = listeners.map(|listener| listener.local_addr().unwrap().to_string());
    let (mut members, mut machines) = (String::new(), String::new());
    for (number, address) in (1..).zip(&addresses) {
        writeln!(
            members,
            "member c{number} {{ address: \"{address}\"; folder: \"c{number}\" }}"
        )
        .unwrap();
        writeln!(machines, "member c{number} {{ address: \"{address}\" }}").unwrap();
    }
    std::fs::write(
        folder.path().join("control.rain"),
        format!("rain 1\ngroup test {{ shards: 1\n{members}}}\n"),
    )
    .unwrap();
    let start = format!("{CONFIGURATION}control fleet {{\n{machines}}}\n");
    std::fs::write(folder.path().join("start.rain"), start).unwrap();
    std::fs::create_dir(folder.path().join("kept")).unwrap();
    let mut control = ["c1", "c2", "c3"].map(|name| {
        Running::start(
            folder.path(),
            &["control", "--config", "control.rain", "--name", name],
        )
    });
    control
        .iter_mut()
        .for_each(|machine| drop(machine.says("event=\"start\"")));
    let at = addresses[0].clone();
    let listen = ["--listen", "127.0.0.1:0", "--admin", "127.0.0.1:0"];
    let attach = ["--name", "f1", "--control-folder", "kept"];
    let arguments = [&["forward", "--config", "start.rain"][..], &listen, &attach].concat();
    let mut forwarder = Running::start(folder.path(), &arguments);
    let admin = forwarder
        .says("event=\"admin\"")
        .split("admin=")
        .last()
        .unwrap()
        .trim()
        .to_owned();
    forwarder.says("event=\"attached\"");
    std::fs::write(
        folder.path().join("next.rain"),
        CONFIGURATION.replace("40 %", "30 %"),
    )
    .unwrap();
    let publish = ["config", "publish", "next.rain", "--at", &at, "--json"];
    let begun = Instant::now();
    // No majority has come together yet.
    while matches!(run(folder.path(), &publish).0, 2 | 3) {
        assert!(begun.elapsed() < HANGS, "it is not committed");
    }
    forwarder.says("version_applied");

    let mut shapes = BTreeSet::new();
    let mut add = |name: &str, arguments: &[&str]| {
        let (_, out, errors) = run(folder.path(), arguments);
        assert!(!out.is_empty(), "{name}: {errors}");
        out.lines()
            .for_each(|line| shape(name, &serde_json::from_str(line).unwrap(), &mut shapes));
    };
    add("versions", &["config", "versions", "--at", &at, "--json"]);
    add("forwarder", &["ask", "status", "--at", &admin, "--json"]);
    add("standing", &["ask", "members", "--at", &admin, "--json"]);
    // Only the leader tells how far the others are: all are asked.
    for address in &addresses {
        add("status", &["replica", "status", "--at", address, "--json"]);
        add(
            "members",
            &["replica", "members", "--at", address, "--json"],
        );
    }
    assert_text(golden("shapes.txt"), &lines(&shapes));
    let (_, out, _) = run(folder.path(), &["replica", "metrics", "--at", &at]);
    assert_text(golden("group_metrics.txt"), &metrics(&out));
    let (_, out, _) = run(folder.path(), &["ask", "metrics", "--at", &admin]);
    assert_text(golden("forwarder_metrics.txt"), &metrics(&out));
}
