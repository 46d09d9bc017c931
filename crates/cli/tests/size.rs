//! A forwarder process with a configuration of the size expected in two years starts, reloads it and drains.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_test_servers::size::{Limited, Size};
use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};

/// Killed when dropped.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn send_signal(process: &Child, name: &str) {
    let sent = Command::new("kill")
        .args([&format!("-{name}"), &process.id().to_string()])
        .status();
    assert!(sent.is_ok_and(|status| status.success()), "kill -{name}");
}

#[test]
fn forwarder_starts_and_reloads_with_limits_per_tenant_on_5_400_routes_for_23_000_tenants() {
    let folder = tempfile::tempdir().unwrap();
    let config = folder.path().join("main.rain");
    let size = Size {
        limits: Limited::PerTenantOnRoutes,
        ..Size::two_years()
    };
    std::fs::write(&config, size.rain()).unwrap();
    let child = Command::new(env!("CARGO_BIN_EXE_rainstand"))
        .args(["forward", "--listen", "127.0.0.1:0", "--config"])
        .arg(&config)
        .stderr(Stdio::piped())
        .spawn();
    let mut process = Process(child.unwrap());
    let mut log = BufReader::new(process.0.stderr.take().unwrap())
        .lines()
        .map_while(Result::ok);
    // The log ends with the process, so this never waits for a line that cannot come.
    let mut wait_for_log = |text: &str| {
        let mut all = Vec::new();
        for line in log.by_ref() {
            all.push(line);
            if all.last().is_some_and(|line| line.contains(text)) {
                return;
            }
        }
        panic!("the log ended without {text}: {all:?}");
    };
    wait_for_log("event=\"start\"");
    send_signal(&process.0, "HUP");
    wait_for_log("event=\"version\" version=2");
    send_signal(&process.0, "TERM");
    wait_for_log("event=\"counts\"");
    assert!(process.0.wait().unwrap().success());
}
