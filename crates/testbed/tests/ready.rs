//! Concurrent restart of many processes. The tests check results, not times: times are checked by the command only.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_testbed::ready::{
    run, ConfigFormat, Discovery, Kind, KindReport, Options, ReadyTimes, Report, StopMode,
};
use serde_json::Value;
use std::path::Path;
use std::process::Command;
use std::time::Duration;
use tokio::task::LocalSet;

const TESTBED: &str = env!("CARGO_BIN_EXE_rainstand-testbed");

fn small_fleet(discovery: Discovery, end: StopMode) -> Options {
    Options {
        nodes: 4,
        forwarders: 2,
        tenants: 40,
        routes: 16,
        limits_on_routes: false,
        discovery,
        group: 0,
        keys: 0,
        end,
        form: ConfigFormat::Rain,
        seed: 1,
        programs: Path::new(TESTBED).parent().map(Path::to_owned),
    }
}

fn run_fleet(options: &Options) -> Report {
    let folder = tempfile::tempdir().unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new()
        .block_on(&runtime, run(options, folder.path()))
        .unwrap()
}

fn counts(reports: &[KindReport]) -> Vec<(Kind, usize, usize)> {
    reports
        .iter()
        .map(|kind| (kind.kind, kind.processes, kind.ready))
        .collect()
}

#[test]
fn all_processes_are_ready_after_a_kill_and_the_group_retains_its_keys() {
    let options = Options {
        group: 3,
        keys: 90,
        form: ConfigFormat::Binary,
        ..small_fleet(Discovery::Up, StopMode::Kill)
    };
    let report = run_fleet(&options);
    assert!(report.is_complete(), "{report:#?}");
    let all = [
        (Kind::Node, 1, 1),
        (Kind::Member, 3, 3),
        (Kind::Forwarder, 2, 2),
    ];
    assert_eq!(
        (counts(&report.first), counts(&report.restarted)),
        (all.to_vec(), all.to_vec())
    );
    assert_eq!(
        (report.keys, report.keys_checked, report.keys_preserved),
        (90, 3, 3)
    );
    // Only forwarders are ready without being registered.
    assert!(report
        .restarted
        .iter()
        .all(|kind| kind.registered.is_some() == (kind.kind != Kind::Forwarder)));
}

/// Nodes serve without the registry, and register once it is back.
#[test]
fn processes_are_ready_without_the_registry_and_nodes_register_when_it_returns() {
    for (discovery, end) in [
        (Discovery::Down, StopMode::Term),
        (Discovery::Silent, StopMode::Kill),
    ] {
        let report = run_fleet(&small_fleet(discovery, end));
        assert!(report.is_complete(), "{discovery:?} {report:#?}");
        assert_eq!(
            counts(&report.restarted),
            [(Kind::Node, 4, 4), (Kind::Forwarder, 2, 2)],
            "{discovery:?}"
        );
        assert_eq!(report.reregistered_nodes, 4, "{discovery:?} {report:#?}");
    }
}

#[test]
fn ninth_decile_is_the_smallest_time_that_nine_in_ten_do_not_exceed() {
    let ms = |ms: u64| Some(Duration::from_millis(ms));
    let cases = [
        ((1..=10).map(ms).collect(), (Some(9), Some(10))),
        ((1..=30).rev().map(ms).collect(), (Some(27), Some(30))),
        ((1..=11).map(ms).collect(), (Some(10), Some(11))),
        (vec![ms(7)], (Some(7), Some(7))),
        // One of ten processes, then two of ten, never reached the state.
        ((1..=9).map(ms).chain([None]).collect(), (Some(9), None)),
        (
            (1..=8).map(ms).chain([None, None]).collect::<Vec<_>>(),
            (None, None),
        ),
    ];
    for (times, (ninth_decile_ms, worst_ms)) in cases {
        assert_eq!(
            ReadyTimes::from_durations(times.clone()),
            ReadyTimes {
                ninth_decile_ms,
                worst_ms
            },
            "{times:?}"
        );
    }
}

#[test]
fn report_meets_the_target_if_nine_in_ten_of_each_kind_are_in_time() {
    let times = ReadyTimes::default();
    let kind = |kind, in_time| KindReport {
        kind,
        processes: 20,
        ready: 20,
        in_time,
        times,
        listens: times,
        registered: None,
        answered: times,
        rejected: 0,
    };
    let report = |nodes, forwarders| Report {
        restarted: vec![kind(Kind::Node, nodes), kind(Kind::Forwarder, forwarders)],
        ..Report::default()
    };
    assert!(report(18, 18).meets_target() && report(0, 0).is_complete());
    assert!(!report(17, 20).meets_target() && !report(20, 17).meets_target());
    let early = Report {
        early_reports: 1,
        ..report(20, 20)
    };
    let exited = Report {
        process_faults: vec!["n1".into()],
        ..report(20, 20)
    };
    let lost_key = Report {
        keys_checked: 3,
        keys_preserved: 2,
        ..report(20, 20)
    };
    let unregistered = Report {
        reregistration_times: Some(times),
        reregistered_nodes: 3,
        nodes: 4,
        ..report(20, 20)
    };
    assert!([early, exited, lost_key, unregistered]
        .iter()
        .all(|report| !report.meets_target() && !report.is_complete()));
}

#[test]
fn command_reports_measurements_and_rejects_invalid_options() {
    let ready = |args: &[&str]| {
        Command::new(TESTBED)
            .arg("ready")
            .args(args)
            .output()
            .unwrap()
    };
    for invalid in [
        &["--nodes", "0"][..],
        &["--nodes", "200"],
        &["--group", "2"],
        &["--routes", "0"],
        &["--at"],
    ] {
        let completed = ready(invalid);
        assert_eq!(
            (completed.status.code(), completed.stdout.len()),
            (Some(2), 0),
            "{invalid:?}"
        );
    }
    let small = [
        "--nodes",
        "2",
        "--forwarders",
        "1",
        "--tenants",
        "9",
        "--routes",
        "9",
        "--json",
    ];
    let completed = ready(&small);
    let output: Value = serde_json::from_slice(&completed.stdout).unwrap();
    assert_eq!(
        (&output["whole"], &output["asked"]["nodes"]),
        (&true.into(), &2.into()),
        "{output}"
    );
    // Whether the processes are ready in time depends on the machine.
    assert_eq!(
        completed.status.code(),
        Some(if output["good"] == true { 0 } else { 1 }),
        "{output}"
    );
    assert!(
        output["report"]["restarted"][1]["times"]["ninth_decile_ms"].is_u64(),
        "{output}"
    );
}
