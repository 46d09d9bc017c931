//! Forwarders that are restarted while no config server can be reached: each begins with the version that it
//! acknowledged last.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

mod control_world;
mod program;

use control_world::{Process, TestCluster, HANG_TIMEOUT};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use std::time::{Duration, Instant};

/// How a forwarder ends.
#[derive(Clone, Copy, Debug)]
enum End {
    Kill,
    Drain,
}

impl End {
    /// Ends the process and waits for its end.
    fn of(self, mut process: Process) {
        let signal = match self {
            End::Kill => Signal::KILL,
            End::Drain => Signal::TERM,
        };
        let pid = Pid::from_child(&process.child);
        kill_process(pid, signal).unwrap();
        let status = process.child.wait().unwrap();
        assert_eq!(status.success(), matches!(self, End::Drain), "{status}");
    }
}

fn publish(cluster: &TestCluster, file: &str, version: u64) {
    let (code, output) = cluster.publish(file, 0, &[]);
    assert!(
        code == 0 && output.contains(&format!("version {version} is committed")),
        "{output}"
    );
}

/// Guards against an acknowledged version that is not on disk: the forwarder ends as soon as the last version of a burst
/// is confirmed, the config servers are gone, and it starts again.
#[test]
fn restarted_forwarder_begins_with_the_version_that_it_acknowledged() {
    for end in [End::Kill, End::Drain] {
        let mut cluster = TestCluster::new();
        let (mut forwarder, _) = cluster.start_forwarder("f1", "z0");
        forwarder.wait_for_line(&["event=\"attached\""]);
        let files = ["first.rain", "second.rain", "third.rain", "first.rain"];
        for (file, version) in files.into_iter().zip(1..) {
            publish(&cluster, file, version);
        }
        let versions = cluster.wait_until_confirmed(0, files.len() as u64, 1);
        end.of(forwarder);
        cluster.servers.clear();

        let (mut forwarder, admin) = cluster.start_forwarder("f1", "z0");
        forwarder.wait_for_line(&["event=\"start\""]);
        let status = cluster.forwarder_status(&admin);
        assert_eq!(
            (&status["version"], &status["digest"]),
            (&files.len().into(), &versions["machines"][0]["digest"]),
            "{end:?}"
        );
    }
}

/// What `config versions` reports, once `is_reached` accepts it.
fn wait_for_versions(cluster: &TestCluster, is_reached: impl Fn(&Value) -> bool) {
    let started = Instant::now();
    loop {
        let versions = cluster.versions(0);
        if is_reached(&versions["versions"][0]) {
            return;
        }
        assert!(started.elapsed() < HANG_TIMEOUT, "{versions}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Guards against a version in force that a restart loses, where the folder cannot be written: it is refused with the
/// reason, the version before stays in force, and it is applied once it can be stored.
#[test]
fn version_that_cannot_be_stored_is_refused_until_it_can() {
    let cluster = TestCluster::new();
    // A folder stands where the log is to be written.
    let obstacle = cluster.folder.path().join("control-f1").join("version.log");
    std::fs::create_dir_all(obstacle.join("not empty")).unwrap();
    let (mut forwarder, admin) = cluster.start_forwarder("f1", "z0");
    forwarder.wait_for_line(&["event=\"attached\""]);
    publish(&cluster, "first.rain", 1);
    forwarder.wait_for_line(&["version_write_failed", "version=1"]);
    wait_for_versions(&cluster, |newest| newest["refused"] == 1);
    let status = cluster.forwarder_status(&admin);
    assert_eq!(status["version"], 0, "{status}");
    let reason = status["refused"][1].as_str().unwrap();
    assert!(reason.starts_with("cannot be stored: "), "{status}");

    std::fs::remove_dir_all(&obstacle).unwrap();
    forwarder.wait_for_line(&["version_stored", "version=1"]);
    forwarder.wait_for_line(&["version_applied", "version=1"]);
    cluster.wait_until_confirmed(0, 1, 1);
    let status = cluster.forwarder_status(&admin);
    assert_eq!(
        (&status["version"], &status["refused"]),
        (&1.into(), &Value::Null),
        "{status}"
    );
}
