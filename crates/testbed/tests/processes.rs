//! Several processes of the program under faults, with seeds that are few and fixed.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_config::schema::Rig;
use rainstand_config::source::Disk;
use rainstand_testbed::fault_schedule::schedule;
use rainstand_testbed::scenario::{play, Report, RunOptions};
use std::path::Path;
use std::sync::{Condvar, Mutex};
use tokio::task::LocalSet;

fn rig(file: &str) -> Rig {
    let path = format!(
        "{}/../../experiments/rig/{file}",
        env!("CARGO_MANIFEST_DIR")
    );
    let outcome = rainstand_config::load(&Disk, &path);
    outcome
        .configuration
        .unwrap_or_else(|| panic!("{path} is refused"))
        .rigs
        .remove(0)
}

/// Rigs that run side by side: more would starve each other on a small machine, and what is late would be theirs.
static ROOM: (Mutex<usize>, Condvar) = (Mutex::new(2), Condvar::new());

fn run(rig: &Rig, seed: u64) -> Report {
    let mut room = ROOM.0.lock().unwrap();
    while *room == 0 {
        room = ROOM.1.wait(room).unwrap();
    }
    *room -= 1;
    drop(room);
    let report = std::panic::catch_unwind(|| played(rig, seed));
    *ROOM.0.lock().unwrap() += 1;
    ROOM.1.notify_one();
    report.unwrap_or_else(|why| std::panic::resume_unwind(why))
}

fn played(rig: &Rig, seed: u64) -> Report {
    let folder = tempfile::tempdir().unwrap();
    let programs = Path::new(env!("CARGO_BIN_EXE_rainstand-testbed"))
        .parent()
        .map(Path::to_owned);
    let options = RunOptions {
        programs,
        folder: folder.path().to_owned(),
        bug: None,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new()
        .block_on(&runtime, play(rig, seed, &schedule(rig, seed), &options))
        .unwrap()
}

#[test]
fn nodes_without_copies_keep_the_rules_while_links_break_and_processes_stop() {
    let rig = rig("plain.rain");
    for seed in 1..4 {
        let report = run(&rig, seed);
        assert!(
            report.is_clean(),
            "seed {seed}: {:#?} {:#?}",
            report.violations.first(),
            report.process_faults
        );
        assert!(
            report.tally.served > 200 && report.resets > 0,
            "seed {seed}: {report:?}"
        );
    }
}

/// The rig can fail: nodes that keep no copies run a key again when it is repeated elsewhere.
#[test]
fn repeats_at_other_nodes_are_found_to_run_twice_without_copies() {
    let rig = Rig {
        r#move: true,
        faults: Vec::new(),
        lasts_ns: 1_500_000_000,
        ..rig("plain.rain")
    };
    let report = run(&rig, 1);
    let found: Vec<_> = report
        .violations
        .iter()
        .map(|broken| broken.check)
        .collect();
    assert!(
        found.contains(&"ran-twice") && report.process_faults.is_empty(),
        "{found:?} {:?}",
        report.process_faults
    );
}

/// A mix over some seeds: the rules hold, no process falls over, and keyed tickets are served.
fn clean(file: &str, seeds: std::ops::Range<u64>, least: f64) {
    let rig = rig(file);
    for seed in seeds {
        let report = run(&rig, seed);
        assert!(
            report.is_clean(),
            "{file} seed {seed}: {:#?} {:#?}",
            report.violations.first(),
            report.process_faults
        );
        assert!(
            report.served_share > least,
            "{file} seed {seed}: {report:?}"
        );
    }
}

#[test]
fn halves_of_a_group_that_do_not_see_each_other() {
    clean("halves.rain", 1..5, 0.5);
}

#[test]
fn halves_of_which_one_node_sees_both() {
    clean("bridge.rain", 1..4, 0.5);
}

#[test]
fn a_ring_of_cuts_one_way() {
    clean("ring.rain", 1..4, 0.5);
}

#[test]
fn a_release_node_by_node() {
    clean("rolling.rain", 1..3, 0.8);
}

#[test]
fn leaders_that_are_killed_one_after_the_other() {
    clean("chased.rain", 1..6, 0.7);
}

#[test]
fn a_site_that_is_cut_off() {
    clean("site.rain", 1..4, 0.5);
}

#[test]
fn disks_that_fail_or_come_back_empty_or_old() {
    clean("disks.rain", 1..4, 0.3);
}

#[test]
fn a_node_that_comes_back_with_another_one_s_disk() {
    clean("foreign.rain", 1..3, 0.7);
}

#[test]
fn everything_at_once() {
    clean("everything.rain", 1..5, 0.3);
}
