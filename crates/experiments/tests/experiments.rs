//! An experiment from its text to its folder of results: deterministic with any number of threads, resumed after a
//! stop, compared, drawn.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_config::{load, schema::Configuration, source::Memory};
use rainstand_experiments::jobs::{fingerprint, finished_runs, isolated, play, Work, DONE};
use rainstand_experiments::plans::variants;
use rainstand_experiments::stats::{compare, Verdict};
use rainstand_experiments::{page, plot, results};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};

const TEXT: &str = "rain 1
type check { repeat: rerunnable; goal: 500 ms; outer-limit: 2 s }
type register { repeat: exclusive; goal: 500 ms; outer-limit: 2 s }
tenant acme { share: 40 % }
experiment dead {
  lasts: 3 s
  seeds: 4
  tries: 1
  fleet { nodes: 10; cores: 4 }
  forwarders { count: 2 }
  traffic check { part: 4; work: 10 ms .. 30 ms }
  traffic register { work: 20 ms }
  from acme { }
  load { of-cores: 60 % }
  fault { what: fail-fast; at: 1 s; lasts: 1 s; share: 30 %; span: 1 ms }
  vary tries { to: 1, 3 }
}";

fn configuration() -> Configuration {
    let outcome = load(&Memory::new([("a.rain", TEXT)]), "a.rain");
    outcome
        .configuration
        .unwrap_or_else(|| panic!("{:?}", outcome.findings))
}

fn run_experiment(folder: &Path, threads: usize, stop_after: Option<usize>) -> (usize, usize) {
    let configuration = configuration();
    let all = variants(&configuration, &configuration.experiments[0]).unwrap();
    let fingerprint = fingerprint(&configuration, &configuration.experiments[0]);
    let work = Work {
        experiment: "dead",
        fingerprint,
        variants: &all,
        seeds: 4,
        threads,
    };
    let (stop, mut finished) = (AtomicBool::new(false), 0);
    let mut played = play(&work, folder, &stop, |_| {
        finished += 1;
        if stop_after == Some(finished) {
            stop.store(true, Ordering::Relaxed);
        }
    })
    .unwrap();
    assert_eq!(played.failed, []);
    results::write(folder, &mut played.rows).unwrap();
    (played.resumed, played.remaining)
}

const FILES: [&str; 4] = [
    "runs.parquet",
    "seconds.parquet",
    "nodes.parquet",
    "groups.parquet",
];

#[test]
fn results_are_identical_with_any_number_of_threads_and_after_a_stop() {
    let folders: Vec<_> = (0..3).map(|_| tempfile::tempdir().unwrap()).collect();
    assert_eq!(run_experiment(folders[0].path(), 1, None), (0, 0));
    assert_eq!(run_experiment(folders[1].path(), 8, None), (0, 0));
    let (resumed, remaining) = run_experiment(folders[2].path(), 1, Some(3));
    // The only thread may have started another run before it saw the stop.
    assert!(
        resumed == 0 && (1..=5).contains(&remaining),
        "{resumed} {remaining}"
    );
    let ended = 8 - remaining;
    // A line that was truncated by a crash loses that run only.
    let path = folders[2].path().join(DONE);
    let text = std::fs::read_to_string(&path).unwrap();
    std::fs::write(&path, format!("{}\n", &text[..text.len() - 40])).unwrap();
    let (resumed, remaining) = run_experiment(folders[2].path(), 4, None);
    assert_eq!((resumed, remaining), (ended - 1, 0));
    for file in FILES {
        let first = std::fs::read(folders[0].path().join(file)).unwrap();
        for folder in &folders[1..] {
            assert!(
                std::fs::read(folder.path().join(file)).unwrap() == first,
                "{file}"
            );
        }
    }
    // Runs of another experiment in the same folder are ignored.
    assert_eq!(finished_runs(folders[0].path(), "0123").unwrap().len(), 0);
}

#[test]
fn stored_results_are_read_compared_and_drawn() {
    let folder = tempfile::tempdir().unwrap();
    run_experiment(folder.path(), 4, None);
    let all = results::read(folder.path()).unwrap();
    assert_eq!((all.runs.len(), all.variants().len()), (8, 2));
    assert!(all
        .runs
        .iter()
        .all(|run| run.broken.is_empty() && run.asked > 1_000));
    let jobs: i64 = all.seconds.iter().map(|row| row.asked).sum();
    assert_eq!(jobs, all.runs.iter().map(|run| run.asked).sum::<i64>());
    assert_eq!(
        all.groups
            .iter()
            .filter(|group| group.what == "type")
            .map(|row| row.asked)
            .sum::<i64>(),
        jobs
    );
    // Retries help while three of ten nodes fail fast.
    let found = compare(all.runs_of(0), all.runs_of(1), 0.95).unwrap();
    let good = found
        .iter()
        .find(|compared| compared.measure == "good")
        .unwrap();
    assert_eq!(good.verdict, Verdict::Better, "{good:?}");
    let configuration = configuration();
    let compiled =
        rainstand_config::schema::to_text(&isolated(&configuration, &configuration.experiments[0]));
    let page = page::page(&all, &compiled).unwrap();
    for part in [
        "tries=1",
        "tries=3",
        "<svg",
        "Runs by node",
        "better",
        "FAIL_FAST",
    ] {
        assert!(page.to_lowercase().contains(&part.to_lowercase()), "{part}");
    }
    assert_eq!(plot::pictures(&all).unwrap().len(), 5);
}

#[test]
fn failed_run_does_not_affect_the_others() {
    let configuration = configuration();
    let mut all = variants(&configuration, &configuration.experiments[0]).unwrap();
    // The plan is now invalid; `variants` would have rejected it.
    all[1].plan.types.clear();
    let folder = tempfile::tempdir().unwrap();
    let work = Work {
        experiment: "dead",
        fingerprint: "x".into(),
        variants: &all,
        seeds: 2,
        threads: 2,
    };
    let played = play(&work, folder.path(), &AtomicBool::new(false), |_| {}).unwrap();
    assert_eq!((played.rows.len(), played.failed.len()), (2, 2));
    assert!(
        played.failed[0].reason.contains("types"),
        "{:?}",
        played.failed
    );
}
