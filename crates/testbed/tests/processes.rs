//! Scenarios of several processes under faults, with a few fixed seeds.

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
        .unwrap_or_else(|| panic!("{path} is not a valid configuration"))
        .rigs
        .remove(0)
}

/// Number of scenarios that may still start. More than two at once starve each other on a small machine, and answers
/// come late for that reason alone.
static RUN_SLOTS: (Mutex<usize>, Condvar) = (Mutex::new(2), Condvar::new());

fn run(rig: &Rig, seed: u64) -> Report {
    let mut slots = RUN_SLOTS.0.lock().unwrap();
    while *slots == 0 {
        slots = RUN_SLOTS.1.wait(slots).unwrap();
    }
    *slots -= 1;
    drop(slots);
    let report = std::panic::catch_unwind(|| execute(rig, seed));
    *RUN_SLOTS.0.lock().unwrap() += 1;
    RUN_SLOTS.1.notify_one();
    report.unwrap_or_else(|panic| std::panic::resume_unwind(panic))
}

fn execute(rig: &Rig, seed: u64) -> Report {
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
fn nodes_without_replication_keep_the_invariants_under_link_and_process_faults() {
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

/// Guards against a scenario that cannot fail: nodes without replication run a key again when it is repeated elsewhere.
#[test]
fn repeats_at_other_nodes_without_replication_are_reported_as_second_runs() {
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
        .map(|violation| violation.check)
        .collect();
    assert!(
        found.contains(&"ran-twice") && report.process_faults.is_empty(),
        "{found:?} {:?}",
        report.process_faults
    );
}

/// Runs a scenario with some seeds: no invariant is violated, no process fails, and enough requests are served.
fn assert_clean(file: &str, seeds: std::ops::Range<u64>, min_served_share: f64) {
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
            report.served_share > min_served_share,
            "{file} seed {seed}: {report:?}"
        );
    }
}

#[test]
fn group_split_into_halves_keeps_the_invariants() {
    assert_clean("halves.rain", 1..5, 0.5);
}

#[test]
fn halves_connected_by_one_node_keep_the_invariants() {
    assert_clean("bridge.rain", 1..4, 0.5);
}

#[test]
fn ring_of_one_way_cuts_keeps_the_invariants() {
    assert_clean("ring.rain", 1..4, 0.5);
}

#[test]
fn rolling_restart_keeps_the_invariants() {
    assert_clean("rolling.rain", 1..3, 0.8);
}

#[test]
fn successive_leader_kills_keep_the_invariants() {
    assert_clean("chased.rain", 1..6, 0.7);
}

#[test]
fn isolated_zone_keeps_the_invariants() {
    assert_clean("site.rain", 1..4, 0.5);
}

#[test]
fn failing_empty_and_old_disks_keep_the_invariants() {
    assert_clean("disks.rain", 1..4, 0.3);
}

#[test]
fn node_restarted_with_another_disk_keeps_the_invariants() {
    assert_clean("foreign.rain", 1..3, 0.7);
}

#[test]
fn all_faults_combined_keep_the_invariants() {
    assert_clean("everything.rain", 1..5, 0.3);
}
