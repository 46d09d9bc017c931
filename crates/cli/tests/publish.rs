//! Publishing at any config server: what a command reports about the newest version holds for the group.
//!
//! Guards against stale reads. A follower applies a version one heartbeat after the leader has responded "committed".
//! The command compared the file with what its server had applied: of 40 changes published at each server in turn, only
//! about 15 became versions, and a dozen commands at followers reported "nothing changes: version K says the same" with
//! exit code 0, where K was the version before the newest, or 0. A server without a majority responded in the same way.
//! Now a server has its leader confirm the read with a majority and waits until it has applied what was committed.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

mod control_world;
mod program;

use control_world::{run, Process, TestCluster, HANG_TIMEOUT};
use rainstand_cluster::framing::with_length_prefix;
use rustix::process::{kill_process, Pid, Signal};
use std::io::{Read, Write};
use std::net::TcpListener;
use std::time::Instant;

/// Exit code of a command that does not know what is committed.
const NOT_KNOWN: i32 = 3;

fn send_signal(process: &Process, signal: Signal) {
    let pid = Pid::from_raw(process.child.id() as i32).unwrap();
    kill_process(pid, signal).unwrap();
}

fn pause(cluster: &TestCluster, server: usize) {
    send_signal(cluster.servers[server].as_ref().unwrap(), Signal::STOP);
}

fn resume(cluster: &TestCluster, server: usize) {
    send_signal(cluster.servers[server].as_ref().unwrap(), Signal::CONT);
}

/// Publishes until a leader is elected and the version is committed.
fn publish_first_version(cluster: &TestCluster, file: &str) {
    let started = Instant::now();
    loop {
        let (code, output) = cluster.publish(file, 0, &[]);
        if code == 0 && output.contains("version 1 is committed") {
            return;
        }
        assert!(code >= 2, "{output}");
        assert!(
            started.elapsed() < HANG_TIMEOUT,
            "no version is committed: {output}"
        );
    }
}

/// Publishes two files alternately, each at the server that `server_of` selects: each is a change and must become a
/// version.
fn publish_alternately(server_of: impl Fn(usize) -> usize) {
    let cluster = TestCluster::new();
    publish_first_version(&cluster, "first.rain");
    for turn in 0..40 {
        let file = ["second.rain", "first.rain"][turn % 2];
        let (code, output) = cluster.publish(file, server_of(turn), &[]);
        let expected = format!("version {} is committed", turn + 2);
        assert!(
            code == 0 && output.contains(&expected),
            "turn {turn} at server {}: exit code {code}, expected: {expected}\n{output}",
            server_of(turn)
        );
    }
}

#[test]
fn changes_published_at_each_server_in_turn_all_become_versions() {
    publish_alternately(|turn| (turn + 1) % 3);
}

#[test]
fn changes_published_at_one_server_all_become_versions() {
    // At most one of the three is the leader, so at least two runs publish at a follower.
    for server in 0..3 {
        publish_alternately(|_| server);
    }
}

#[test]
fn server_without_a_majority_reports_that_the_version_is_not_known() {
    let cluster = TestCluster::new();
    publish_first_version(&cluster, "first.rain");
    cluster.wait_until_confirmed(2, 1, 0);
    pause(&cluster, 0);
    pause(&cluster, 1);
    let option_lists: [&[&str]; 4] = [&[], &["--dry-run"], &["--from", "1"], &["--from", "7"]];
    for options in option_lists {
        let (code, output) = cluster.publish("first.rain", 2, options);
        assert!(
            code == NOT_KNOWN && output.contains("not known"),
            "{options:?}: exit code {code}: {output}"
        );
    }
    let why = [
        "replica",
        "why",
        "check/4",
        "--at",
        &cluster.addresses[2],
        "--json",
    ];
    let (code, lines, stderr) = run(cluster.folder.path(), &why);
    let explanation = lines.first().map(ToString::to_string).unwrap_or_default();
    assert!(
        code != 0 && explanation.contains("not known"),
        "exit code {code}: {explanation} {stderr}"
    );
    resume(&cluster, 0);
    resume(&cluster, 1);
}

/// Starts a server that answers the first message of each connection with the next of the responses. Returns its
/// address.
fn fake_server<const N: usize>(responses: [&'static [u8]; N]) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    std::thread::spawn(move || {
        for response in responses {
            let (mut stream, _) = listener.accept().unwrap();
            let mut length_prefix = [0; 4];
            stream.read_exact(&mut length_prefix).unwrap();
            let mut message = vec![0; u32::from_be_bytes(length_prefix) as usize];
            stream.read_exact(&mut message).unwrap();
            stream.write_all(&with_length_prefix(response)).unwrap();
        }
    });
    address
}

#[test]
fn response_of_another_release_is_not_treated_as_success() {
    let folder = tempfile::tempdir().unwrap();
    let file = "rain 1\ntype check { repeat: rerunnable; goal: 3 s; outer-limit: 7 s }\n";
    std::fs::write(folder.path().join("file.rain"), file).unwrap();
    let versions: &[u8] = br#"{"name":"c1","here":true,"current":true,"version":0}"#;
    let address = fake_server([versions, b"", br#"{"postponed":1}"#]);
    let publish = ["config", "publish", "file.rain", "--at", &address];
    let (code, _, stderr) = run(folder.path(), &publish);
    assert!(
        code == NOT_KNOWN && stderr.contains("postponed"),
        "exit code {code}: {stderr}"
    );
    // A server that does not report its version as confirmed does not know.
    let unconfirmed: &[u8] = br#"{"name":"c1","here":true,"version":0}"#;
    let address = fake_server([unconfirmed]);
    let (code, ..) = run(
        folder.path(),
        &["config", "publish", "file.rain", "--at", &address],
    );
    assert_eq!(code, NOT_KNOWN);
    // Nor does one that restarted with an older version between two requests.
    let ahead: &[u8] = br#"{"name":"c1","here":true,"current":true,"version":4}"#;
    let address = fake_server([ahead, b""]);
    let (code, ..) = run(
        folder.path(),
        &["config", "publish", "file.rain", "--at", &address],
    );
    assert_eq!(code, NOT_KNOWN);
}

#[test]
fn resumed_server_does_not_respond_with_a_stale_version() {
    let cluster = TestCluster::new();
    publish_first_version(&cluster, "first.rain");
    cluster.wait_until_confirmed(2, 1, 0);
    for round in 0..5_u64 {
        pause(&cluster, 2);
        let committed = 2 + 2 * round;
        let started = Instant::now();
        loop {
            // If the stopped server was the leader, another one is elected first.
            let (code, output) = cluster.publish("second.rain", 0, &[]);
            if code == 0 && output.contains(&format!("version {committed} is committed")) {
                break;
            }
            assert!(
                started.elapsed() < HANG_TIMEOUT && code >= 2,
                "{code}: {output}"
            );
        }
        resume(&cluster, 2);
        // The file equals version `committed - 1`, which this server still has: a stale server would report no change.
        let (code, output) = cluster.publish("first.rain", 2, &[]);
        let expected = format!("version {} is committed", committed + 1);
        assert!(
            code == 0 && output.contains(&expected),
            "round {round}: exit code {code}: {output}"
        );
    }
}
