//! `sim`: runs a range of seeds on a virtual clock, on several threads; a seed's run is the same on any thread.

use super::{parse_seeds, progress_bar, MAX_JOBS};
use clap::Args;
use rainstand_testbed::check::check;
use rainstand_testbed::history::{Event, HistoryLine, Observation};
use rainstand_testbed::simulation::{self, Outcome, SimulationConfig};
use std::fs;
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::thread;

/// Number of failed seeds that are printed.
const MAX_FAILURES_SHOWN: usize = 5;

#[derive(Args)]
pub(crate) struct Options {
    /// Such as 0..10000, the last one not played
    #[arg(long, default_value = "0..200")]
    seeds: String,
    #[arg(long, default_value_t = 1)]
    jobs: usize,
    #[arg(long, default_value_t = 5)]
    nodes: usize,
    #[arg(long, default_value_t = 3)]
    copies: usize,
    #[arg(long, default_value_t = 2)]
    shards: u16,
    /// Faults of one run
    #[arg(long, default_value_t = 14)]
    faults: usize,
    /// Where the history of the first failed seed is written
    #[arg(long)]
    history: Option<PathBuf>,
    /// What happens, to standard error
    #[arg(long)]
    trace: bool,
    /// A bug by name, if this program was built with the feature `planted`; stops at the seed that finds it
    #[arg(long)]
    plant: Option<String>,
}

impl Options {
    fn config(&self) -> SimulationConfig {
        SimulationConfig {
            nodes: self.nodes,
            replicas_per_shard: self.copies,
            shards: self.shards,
            faults: self.faults,
            trace: self.trace,
            ..SimulationConfig::default()
        }
    }
}

/// A failed seed, and its first failure.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Failure {
    seed: u64,
    reason: String,
}

/// Results of all seeds.
#[derive(Default)]
struct Summary {
    seeds_run: u64,
    failures: Vec<Failure>,
    /// The smallest failed seed, with its history.
    first_failed: Option<(u64, Vec<Observation>)>,
    events: u64,
    restarts: u64,
    elections: u64,
    replaced_disks: u64,
    served: usize,
    requests: usize,
}

impl Summary {
    fn add_outcome(&mut self, seed: u64, outcome: Outcome) {
        self.seeds_run += 1;
        self.events += outcome.events;
        self.restarts += outcome.restarts;
        self.elections += outcome.elections;
        self.replaced_disks += outcome.replaced_disks;
        self.served += outcome.served;
        self.requests += outcome.requests;
        let violations = check(&outcome.history).violations;
        let reason = violations
            .first()
            .map(ToString::to_string)
            .or(outcome.faults.first().cloned());
        let Some(reason) = reason else { return };
        self.failures.push(Failure { seed, reason });
        let is_first = |first: &(u64, _)| first.0 > seed;
        if self.first_failed.as_ref().is_none_or(is_first) {
            self.first_failed = Some((seed, outcome.history));
        }
    }

    fn print(&self) {
        println!(
            "{} seeds, {} events: {} failed; {} starts, {} elections, {} disks swapped or set aside, {} of {} keyed tickets answered",
            self.seeds_run, self.events, self.failures.len(), self.restarts, self.elections, self.replaced_disks,
            self.served, self.requests
        );
        for Failure { seed, reason } in self.failures.iter().take(MAX_FAILURES_SHOWN) {
            println!("failed: seed {seed}: {reason}");
        }
    }
}

pub(crate) fn run(options: &Options) -> io::Result<bool> {
    let seeds = parse_seeds(&options.seeds)?;
    let bug = options.plant.as_deref();
    if bug.is_some() && !cfg!(feature = "planted") {
        return Err(io::Error::other(
            "this program was built without the feature `planted`",
        ));
    }
    let config = options.config();
    let bar = progress_bar(seeds.end - seeds.start);
    let (next, summary) = (AtomicU64::new(seeds.start), Mutex::new(Summary::default()));
    let run_seeds = || {
        #[cfg(feature = "planted")]
        rainstand_raft::plant::plant(bug);
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            let found_bug =
                bug.is_some() && summary.lock().is_ok_and(|all| !all.failures.is_empty());
            if seed >= seeds.end || found_bug {
                return;
            }
            let outcome = run_catching_panic(&config, seed);
            if let Ok(mut summary) = summary.lock() {
                summary.add_outcome(seed, outcome);
                bar.set_message(format!("{} failed", summary.failures.len()));
            }
            bar.inc(1);
        }
    };
    thread::scope(|scope| {
        for _ in 0..options.jobs.clamp(1, MAX_JOBS) {
            scope.spawn(run_seeds);
        }
    });
    bar.finish_and_clear();
    let mut summary = summary.into_inner().unwrap_or_default();
    summary.failures.sort();
    summary.print();
    if let (Some(path), Some((_, history))) = (&options.history, &summary.first_failed) {
        fs::write(path, history.iter().map(to_line).collect::<String>())?;
    }
    Ok(summary.failures.is_empty())
}

/// Runs one seed; a panic of the code under test counts as a fault.
fn run_catching_panic(config: &SimulationConfig, seed: u64) -> Outcome {
    let outcome = std::panic::catch_unwind(|| simulation::play(config, seed));
    outcome.unwrap_or_else(|_| Outcome {
        faults: vec!["panicked".to_owned()],
        ..Outcome::default()
    })
}

/// Encodes an observation as a history line, as callers and agents write it.
fn to_line(observation: &Observation) -> String {
    let line = HistoryLine {
        at: observation.at,
        observer: observation.observer.clone(),
        ..HistoryLine::default()
    };
    let line = match observation.event.clone() {
        Event::Requested {
            request,
            request_class,
            key,
            body,
            node,
            deadline,
        } => HistoryLine {
            operation: "ask".into(),
            request: Some(request),
            request_class,
            key,
            body,
            node,
            deadline: Some(deadline),
            ..line
        },
        Event::Ended {
            request,
            end,
            result,
        } => HistoryLine {
            operation: end.operation().into(),
            request: Some(request),
            result,
            ..line
        },
        Event::Ran { key, body, result } => HistoryLine {
            operation: "ran".into(),
            key,
            body,
            result,
            ..line
        },
    };
    serde_json::to_string(&line).unwrap_or_default() + "\n"
}
