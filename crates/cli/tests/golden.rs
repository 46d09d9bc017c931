//! The command line as other programs see it: help, JSON output, exit codes and metric names match the golden files of
//! an earlier version.

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

/// Limit after which a wait counts as hung; nothing is timed.
const HANG_TIMEOUT: Duration = Duration::from_secs(60);
const FOLDER: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden");

fn golden(name: &str) -> String {
    format!("{FOLDER}/{name}")
}

/// Appends the help of a command and of all its subcommands to `all`.
fn help(command: &[&str], all: &mut String) {
    let mut arguments = command.to_vec();
    arguments.push("--help");
    let (code, text, _) = run(Path::new("."), &arguments);
    assert_eq!(code, 0, "{arguments:?}");
    writeln!(all, "$ rainstand {}\n{text}", arguments.join(" ")).unwrap();
    let commands = text.split("Commands:\n").nth(1).unwrap_or("");
    let names = commands.lines().take_while(|line| !line.is_empty());
    // A name is indented by two spaces, and the wrapped lines of its description by more.
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
fn help_matches_the_golden_file() {
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

/// Each command with its exit code and output.
fn transcript(folder: &Path, commands: &[&[&str]]) -> String {
    let mut all = String::new();
    for arguments in commands {
        let (code, stdout, stderr) = run(folder, arguments);
        writeln!(
            all,
            "$ rainstand {}\nexit {code}\n{stdout}--\n{stderr}",
            arguments.join(" ")
        )
        .unwrap();
    }
    all
}

#[test]
fn output_of_config_commands_matches_the_golden_file() {
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
fn output_of_pcap_and_lab_commands_matches_the_golden_files() {
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
    let (code, stdout, _) = run(folder.path(), &["lab", "run", "small.rain", "--json"]);
    assert_eq!(code, 0);
    let mut shapes = BTreeSet::new();
    stdout
        .lines()
        .for_each(|line| shape("", &serde_json::from_str(line).unwrap(), &mut shapes));
    assert_text(golden("lab.txt"), &lines(&shapes));
}

/// Adds the path of each scalar in a JSON value, with its type, to `all`.
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

/// A server process, killed when dropped.
struct RunningServer {
    child: Child,
    /// Kept open so that the process can go on logging.
    log: BufReader<std::process::ChildStderr>,
}

impl Drop for RunningServer {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl RunningServer {
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

    fn wait_for_line(&mut self, words: &str) -> String {
        loop {
            let mut line = String::new();
            assert!(
                self.log.read_line(&mut line).unwrap() > 0,
                "the process ended before it logged {words}"
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

/// Reads the store of a member that an earlier version wrote.
#[test]
fn output_of_store_and_recover_commands_matches_the_golden_file() {
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
    let mut all = String::new();
    for command in ["info", "check", "dump"] {
        for json in [&[][..], &["--json"][..]] {
            let arguments = [&["store", command, "n1"][..], json].concat();
            all += &transcript(folder.path(), &[&arguments]);
        }
    }
    all += &transcript(
        folder.path(),
        &[
            &["replica", "recover", "n1", "--name", "n1"],
            &["replica", "recover", "n1", "--name", "n1", "--json"],
            &["replica", "recover", "n1", "--name", "n2"],
            &["store", "mend", "n1"],
            &["store", "info", "gone"],
        ],
    );
    assert_text(golden("disk.txt"), &all);
}

/// Three config servers, and a forwarder that is attached to one of them.
#[test]
fn reports_of_running_servers_have_the_golden_shapes_and_metrics() {
    let folder = tempfile::tempdir().unwrap();
    let listeners: [TcpListener; 3] =
        std::array::from_fn(|_| TcpListener::bind("127.0.0.1:0").unwrap());
    let addresses = listeners.map(|listener| listener.local_addr().unwrap().to_string());
    let (mut members, mut servers) = (String::new(), String::new());
    for (number, address) in (1..).zip(&addresses) {
        writeln!(
            members,
            "member c{number} {{ address: \"{address}\"; folder: \"c{number}\" }}"
        )
        .unwrap();
        writeln!(servers, "member c{number} {{ address: \"{address}\" }}").unwrap();
    }
    std::fs::write(
        folder.path().join("control.rain"),
        format!("rain 1\ngroup test {{ shards: 1\n{members}}}\n"),
    )
    .unwrap();
    let start = format!("{CONFIGURATION}control fleet {{\n{servers}}}\n");
    std::fs::write(folder.path().join("start.rain"), start).unwrap();
    std::fs::create_dir(folder.path().join("control")).unwrap();
    let mut config_servers = ["c1", "c2", "c3"].map(|name| {
        RunningServer::start(
            folder.path(),
            &["control", "--config", "control.rain", "--name", name],
        )
    });
    config_servers
        .iter_mut()
        .for_each(|server| drop(server.wait_for_line("event=\"start\"")));
    let at = addresses[0].clone();
    let listen = ["--listen", "127.0.0.1:0", "--admin", "127.0.0.1:0"];
    let attach = ["--name", "f1", "--control-folder", "control"];
    let arguments = [&["forward", "--config", "start.rain"][..], &listen, &attach].concat();
    let mut forwarder = RunningServer::start(folder.path(), &arguments);
    let admin = forwarder
        .wait_for_line("event=\"admin\"")
        .split("admin=")
        .last()
        .unwrap()
        .trim()
        .to_owned();
    forwarder.wait_for_line("event=\"attached\"");
    std::fs::write(
        folder.path().join("next.rain"),
        CONFIGURATION.replace("40 %", "30 %"),
    )
    .unwrap();
    let publish = ["config", "publish", "next.rain", "--at", &at, "--json"];
    let started = Instant::now();
    // Publishing fails until a majority is connected.
    while matches!(run(folder.path(), &publish).0, 2 | 3) {
        assert!(
            started.elapsed() < HANG_TIMEOUT,
            "the version is not committed in time"
        );
    }
    forwarder.wait_for_line("version_applied");

    let mut shapes = BTreeSet::new();
    let mut add = |name: &str, arguments: &[&str]| {
        let (_, stdout, stderr) = run(folder.path(), arguments);
        assert!(!stdout.is_empty(), "{name}: {stderr}");
        stdout
            .lines()
            .for_each(|line| shape(name, &serde_json::from_str(line).unwrap(), &mut shapes));
    };
    add("versions", &["config", "versions", "--at", &at, "--json"]);
    add("forwarder", &["ask", "status", "--at", &admin, "--json"]);
    add("standing", &["ask", "members", "--at", &admin, "--json"]);
    // Only the leader reports the progress of the others, so all are queried.
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
