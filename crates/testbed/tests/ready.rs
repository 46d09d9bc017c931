//! Processes that are restarted all at once. Verdicts are on what came, not on when: the times are the command's.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_testbed::ready::{
    play, ConfigFormat, Discovery, Kind, KindReport, Options, Report, StopMode, Times,
};
use serde_json::Value;
use std::path::Path;
use std::process::Command;
use std::time::Duration;
use tokio::task::LocalSet;

const RIG: &str = env!("CARGO_BIN_EXE_rainstand-testbed");

fn few(discovery: Discovery, end: StopMode) -> Options {
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
        programs: Path::new(RIG).parent().map(Path::to_owned),
    }
}

fn run(options: &Options) -> Report {
    let folder = tempfile::tempdir().unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new()
        .block_on(&runtime, play(options, folder.path()))
        .unwrap()
}

fn counts(of: &[KindReport]) -> Vec<(Kind, usize, usize)> {
    of.iter()
        .map(|kind| (kind.kind, kind.processes, kind.ready))
        .collect()
}

#[test]
fn all_are_ready_again_after_a_kill_and_the_group_has_its_keys() {
    let options = Options {
        group: 3,
        keys: 90,
        form: ConfigFormat::Binary,
        ..few(Discovery::Up, StopMode::Kill)
    };
    let report = run(&options);
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
    // Nobody is ready who is not in the list.
    assert!(report
        .restarted
        .iter()
        .all(|kind| kind.registered.is_some() == (kind.kind != Kind::Forwarder)));
}

/// They serve without it, and are in the list once it is there.
#[test]
fn without_the_announce_service_all_are_ready_and_it_finds_them_later() {
    for (discovery, end) in [
        (Discovery::Down, StopMode::Term),
        (Discovery::Silent, StopMode::Kill),
    ] {
        let report = run(&few(discovery, end));
        assert!(report.is_complete(), "{discovery:?} {report:#?}");
        assert_eq!(
            counts(&report.restarted),
            [(Kind::Node, 4, 4), (Kind::Forwarder, 2, 2)],
            "{discovery:?}"
        );
        assert_eq!(report.back_in_list, 4, "{discovery:?} {report:#?}");
    }
}

#[test]
fn the_ninth_decile_is_that_of_nine_in_ten() {
    let ms = |ms: u64| Some(Duration::from_millis(ms));
    let cases = [
        ((1..=10).map(ms).collect(), (Some(9), Some(10))),
        ((1..=30).rev().map(ms).collect(), (Some(27), Some(30))),
        ((1..=11).map(ms).collect(), (Some(10), Some(11))),
        (vec![ms(7)], (Some(7), Some(7))),
        // One of ten never came; two of ten.
        ((1..=9).map(ms).chain([None]).collect(), (Some(9), None)),
        (
            (1..=8).map(ms).chain([None, None]).collect::<Vec<_>>(),
            (None, None),
        ),
    ];
    for (times, (ninth_decile_ms, worst_ms)) in cases {
        assert_eq!(
            Times::of(times.clone()),
            Times {
                ninth_decile_ms,
                worst_ms
            },
            "{times:?}"
        );
    }
}

#[test]
fn a_report_is_good_if_nine_in_ten_of_each_kind_are_in_time() {
    let times = Times::default();
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
    let fell = Report {
        process_faults: vec!["n1".into()],
        ..report(20, 20)
    };
    let lost = Report {
        keys_checked: 3,
        keys_preserved: 2,
        ..report(20, 20)
    };
    let gone = Report {
        back: Some(times),
        back_in_list: 3,
        nodes: 4,
        ..report(20, 20)
    };
    assert!([early, fell, lost, gone]
        .iter()
        .all(|one| !one.meets_target() && !one.is_complete()));
}

#[test]
fn the_command_says_what_it_measured_and_refuses_wrong_use() {
    let ready = |args: &[&str]| Command::new(RIG).arg("ready").args(args).output().unwrap();
    for wrong in [
        &["--nodes", "0"][..],
        &["--nodes", "200"],
        &["--group", "2"],
        &["--routes", "0"],
        &["--at"],
    ] {
        let done = ready(wrong);
        assert_eq!(
            (done.status.code(), done.stdout.len()),
            (Some(2), 0),
            "{wrong:?}"
        );
    }
    let few = [
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
    let done = ready(&few);
    let told: Value = serde_json::from_slice(&done.stdout).unwrap();
    assert_eq!(
        (&told["whole"], &told["asked"]["nodes"]),
        (&true.into(), &2.into()),
        "{told}"
    );
    // In time or not is the machine's.
    assert_eq!(
        done.status.code(),
        Some(if told["good"] == true { 0 } else { 1 }),
        "{told}"
    );
    assert!(
        told["report"]["restarted"][1]["times"]["ninth_decile_ms"].is_u64(),
        "{told}"
    );
}
