//! SIGHUP while a server still reads its configuration.
//!
//! Guards against a server that installs its signal handlers only after it has read the configuration, which takes
//! seconds for a large one: until then SIGHUP terminates the process without a log line. Found by a soak test (seed 39
//! of 60), which sent SIGHUP to a config server right after its restart.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rustix::process::{kill_process, Pid, Signal};
use std::fs;
use std::io::{BufRead, BufReader};
use std::net::TcpListener;
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// Limit after which a wait counts as hung; nothing is timed.
const HANG_TIMEOUT: Duration = Duration::from_secs(60);

/// Number of tenants; with so many, a configuration takes much longer to parse than to read from disk.
const TENANTS: usize = 20_000;

/// The number of bytes that a process has read so far.
fn read_bytes(pid: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{pid}/io")).unwrap_or_default();
    let read = text.lines().find_map(|line| line.strip_prefix("rchar: "));
    read.and_then(|bytes| bytes.parse().ok()).unwrap_or(0)
}

/// Starts a server with a large configuration, sends SIGHUP once the file is read, and checks that the server starts.
fn signal_while_reading(folder: &Path, text: &str, arguments: &[&str]) {
    let tenants: String = (0..TENANTS)
        .map(|number| format!("tenant t{number} {{ share: 0.001 % }}\n"))
        .collect();
    let text = format!("{text}{tenants}");
    fs::write(folder.join("file.rain"), &text).unwrap();
    let mut child = Command::new(env!("CARGO_BIN_EXE_rainstand"))
        .args(arguments)
        .args(["--config", "file.rain"])
        .current_dir(folder)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let started = Instant::now();
    while read_bytes(child.id()) < text.len() as u64 {
        assert!(
            started.elapsed() < HANG_TIMEOUT,
            "the server does not read its configuration file"
        );
        std::thread::yield_now();
    }
    let pid = Pid::from_raw(child.id() as i32).unwrap();
    kill_process(pid, Signal::HUP).unwrap();
    let lines = BufReader::new(child.stderr.take().unwrap()).lines();
    let log: Vec<String> = lines
        .map_while(Result::ok)
        .scan(false, |start_seen, line| {
            let is_after_start = std::mem::replace(start_seen, line.contains("event=\"start\""));
            (!is_after_start).then_some(line)
        })
        .collect();
    kill_process(pid, Signal::KILL).ok();
    let status = child.wait().unwrap();
    let has_started = log.iter().any(|line| line.contains("event=\"start\""));
    assert!(has_started, "{arguments:?}: {status}: {log:?}");
}

#[test]
fn sighup_does_not_end_a_config_server_that_reads_its_configuration() {
    let folder = tempfile::tempdir().unwrap();
    let members: String = (1..4)
        .map(|number| {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let address = listener.local_addr().unwrap();
            format!("  member c{number} {{ site: s{number}; address: \"{address}\"; folder: \"c{number}\" }}\n")
        })
        .collect();
    let group = format!("rain 1\ngroup fleet {{\n  shards: 1\n{members}}}\n");
    signal_while_reading(folder.path(), &group, &["control", "--name", "c1"]);
}

#[test]
fn sighup_does_not_end_a_forwarder_that_reads_its_configuration() {
    let folder = tempfile::tempdir().unwrap();
    let forwarder = "rain 1\ntype check { repeat: rerunnable; goal: 3 s; outer-limit: 7 s }\n\
         tenant acme { share: 10 % }\n\
         pool hall { member n1 { address: \"127.0.0.1:9\" } }\nroute r { to: hall }\n";
    let arguments = ["forward", "--listen", "127.0.0.1:0", "--name", "f1"];
    signal_while_reading(folder.path(), forwarder, &arguments);
}
