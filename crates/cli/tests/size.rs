//! The configuration of two years in a real process: it starts, answers, takes itself again, and leaves.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_test_servers::size::{Limited, Size};
use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};

/// Ended when dropped.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn signal(to: &Child, name: &str) {
    let sent = Command::new("kill")
        .args([&format!("-{name}"), &to.id().to_string()])
        .status();
    assert!(sent.is_ok_and(|status| status.success()), "kill -{name}");
}

#[test]
fn limits_by_tenant_on_5_400_routes_for_23_000_tenants_start() {
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
    let mut told = BufReader::new(process.0.stderr.take().unwrap())
        .lines()
        .map_while(Result::ok);
    // The process's end ends the lines: nothing is waited for that cannot come.
    let mut wait = |what: &str| {
        let mut all = Vec::new();
        for line in told.by_ref() {
            all.push(line);
            if all.last().is_some_and(|line| line.contains(what)) {
                return;
            }
        }
        panic!("no {what}: {all:?}");
    };
    wait("event=\"start\"");
    signal(&process.0, "HUP");
    wait("event=\"version\" version=2");
    signal(&process.0, "TERM");
    wait("event=\"counts\"");
    assert!(process.0.wait().unwrap().success());
}
