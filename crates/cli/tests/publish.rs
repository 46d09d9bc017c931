//! Publishing at any of the control machines: what a command says about the newest version is true of the group.
//!
//! What happened: of 40 real changes that were published at one machine after the other, only about 15 became versions,
//! and a dozen commands answered "nothing changes: version K says the same" with exit code 0, where K was not the
//! newest version. A machine that was alone, both others stopped, gave the same answer.
//!
//! Why: the command compared the file with what the machine that it asked had applied. A machine that follows applies a
//! version a heartbeat after the leader has answered "committed", so it was one version behind in each turn, and by turns
//! that version said the same as the file. What showed it: the version in each
//! false answer was the one before the newest, or 0, at a machine that follows.
//! Now the machine has its leader confirm the read with a majority and waits until it has applied what was committed.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

mod control_world;
mod program;

use control_world::{run, Process, World, HANGS};
use rainstand_cluster::framing::with_length_prefix;
use rustix::process::{kill_process, Pid, Signal};
use std::io::{Read, Write};
use std::net::TcpListener;
use std::time::Instant;

/// Exit code of a command that cannot say what is committed.
const NOT_KNOWN: i32 = 3;

fn send_signal(process: &Process, signal: Signal) {
    let pid = Pid::from_raw(process.child.id() as i32).unwrap();
    kill_process(pid, signal).unwrap();
}

fn pause(world: &World, machine: usize) {
    send_signal(world.machines[machine].as_ref().unwrap(), Signal::STOP);
}

fn resume(world: &World, machine: usize) {
    send_signal(world.machines[machine].as_ref().unwrap(), Signal::CONT);
}

/// Publishes until a leader is elected and the version is committed.
fn publish_first_version(world: &World, file: &str) {
    let begun = Instant::now();
    loop {
        let (code, told) = world.publish(file, 0, &[]);
        if code == 0 && told.contains("version 1 is committed") {
            return;
        }
        assert!(code >= 2, "{told}");
        assert!(begun.elapsed() < HANGS, "no version is committed: {told}");
    }
}

/// Publishes two files by turns, each at the machine that `machine_of` names: each is a change, and becomes a version.
fn publish_by_turns(machine_of: impl Fn(usize) -> usize) {
    let world = World::new();
    publish_first_version(&world, "first.rain");
    for turn in 0..40 {
        let file = ["second.rain", "first.rain"][turn % 2];
        let (code, told) = world.publish(file, machine_of(turn), &[]);
        let expected = format!("version {} is committed", turn + 2);
        assert!(
            code == 0 && told.contains(&expected),
            "turn {turn} at machine {}: exit code {code}, expected: {expected}\n{told}",
            machine_of(turn)
        );
    }
}

#[test]
fn changes_published_at_each_machine_in_turn_all_become_versions() {
    publish_by_turns(|turn| (turn + 1) % 3);
}

#[test]
fn changes_published_at_one_machine_all_become_versions() {
    // One of the three leads at most: at least two of these are played at a follower.
    for machine in 0..3 {
        publish_by_turns(|_| machine);
    }
}

#[test]
fn a_machine_without_a_majority_says_that_it_does_not_know() {
    let world = World::new();
    publish_first_version(&world, "first.rain");
    world.confirmed(2, 1, 0);
    pause(&world, 0);
    pause(&world, 1);
    let commands: [&[&str]; 4] = [&[], &["--dry-run"], &["--from", "1"], &["--from", "7"]];
    for more in commands {
        let (code, told) = world.publish("first.rain", 2, more);
        assert!(
            code == NOT_KNOWN && told.contains("not known"),
            "{more:?}: exit code {code}: {told}"
        );
    }
    let why = ["replica", "why", "check/4", "--at", &world.at[2], "--json"];
    let (code, lines, told) = run(world.folder.path(), &why);
    let explanation = lines.first().map(ToString::to_string).unwrap_or_default();
    assert!(
        code != 0 && explanation.contains("not known"),
        "exit code {code}: {explanation} {told}"
    );
    resume(&world, 0);
    resume(&world, 1);
}

/// Answers one message on each connection, in turn.
fn stand_in<const N: usize>(answers: [&'static [u8]; N]) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    std::thread::spawn(move || {
        for answer in answers {
            let (mut stream, _) = listener.accept().unwrap();
            let mut length_prefix = [0; 4];
            stream.read_exact(&mut length_prefix).unwrap();
            let mut message = vec![0; u32::from_be_bytes(length_prefix) as usize];
            stream.read_exact(&mut message).unwrap();
            stream.write_all(&with_length_prefix(answer)).unwrap();
        }
    });
    address
}

#[test]
fn an_answer_of_another_release_is_not_taken_for_success() {
    let folder = tempfile::tempdir().unwrap();
    let file = "rain 1\ntype check { repeat: rerunnable; goal: 3 s; outer-limit: 7 s }\n";
    std::fs::write(folder.path().join("file.rain"), file).unwrap();
    let versions: &[u8] = br#"{"name":"c1","here":true,"current":true,"version":0}"#;
    let at = stand_in([versions, b"", br#"{"postponed":1}"#]);
    let publish = ["config", "publish", "file.rain", "--at", &at];
    let (code, _, told) = run(folder.path(), &publish);
    assert!(
        code == NOT_KNOWN && told.contains("postponed"),
        "exit code {code}: {told}"
    );
    // One that does not say that its version was confirmed does not know.
    let unconfirmed: &[u8] = br#"{"name":"c1","here":true,"version":0}"#;
    let at = stand_in([unconfirmed]);
    let (code, ..) = run(
        folder.path(),
        &["config", "publish", "file.rain", "--at", &at],
    );
    assert_eq!(code, NOT_KNOWN);
    // Nor does one that started over with less in between.
    let ahead: &[u8] = br#"{"name":"c1","here":true,"current":true,"version":4}"#;
    let at = stand_in([ahead, b""]);
    let (code, ..) = run(
        folder.path(),
        &["config", "publish", "file.rain", "--at", &at],
    );
    assert_eq!(code, NOT_KNOWN);
}

#[test]
fn a_machine_that_was_stopped_does_not_answer_from_before() {
    let world = World::new();
    publish_first_version(&world, "first.rain");
    world.confirmed(2, 1, 0);
    for round in 0..5_u64 {
        pause(&world, 2);
        let committed = 2 + 2 * round;
        let begun = Instant::now();
        loop {
            // If the stopped machine led, another one is elected first.
            let (code, told) = world.publish("second.rain", 0, &[]);
            if code == 0 && told.contains(&format!("version {committed} is committed")) {
                break;
            }
            assert!(begun.elapsed() < HANGS && code >= 2, "{code}: {told}");
        }
        resume(&world, 2);
        // Version `committed - 1`, which this machine has, says what is published now.
        let (code, told) = world.publish("first.rain", 2, &[]);
        let expected = format!("version {} is committed", committed + 1);
        assert!(
            code == 0 && told.contains(&expected),
            "round {round}: exit code {code}: {told}"
        );
    }
}
