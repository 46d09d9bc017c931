//! `run`: one run of a testbed scenario (rig).

use super::{write_report, ScenarioOptions};
use clap::Args;
use rainstand_testbed::fault_schedule::schedule;
use serde_json::json;
use std::fs;
use std::io::{self, Write};
use std::path::PathBuf;

#[derive(Args)]
pub(crate) struct Options {
    #[command(flatten)]
    scenario: ScenarioOptions,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Where the history is written
    #[arg(long)]
    history: Option<PathBuf>,
    /// Keep the run's folder here: configurations, logs, disks
    #[arg(long)]
    keep: Option<PathBuf>,
    /// The report and the schedule as one JSON object
    #[arg(long)]
    json: bool,
}

pub(crate) fn run(options: &Options) -> io::Result<bool> {
    let rig = options.scenario.read_rig()?;
    let seed = options.seed;
    let steps = schedule(&rig, seed);
    let (report, history) = options
        .scenario
        .run(&rig, seed, &steps, options.keep.as_deref())?;
    if let Some(path) = &options.history {
        fs::write(path, &history)?;
    }
    let mut out = io::stdout().lock();
    if options.json {
        let line = json!({"rig": rig.name, "seed": seed, "good": report.is_clean(), "report": report, "schedule": steps,
            "fixed": "schedule, callers' draws, run times", "not fixed": "scheduling of processes, times of arrival"});
        writeln!(out, "{line}")?;
    } else {
        write_report(&mut out, &rig, &report, &history)?;
    }
    Ok(report.is_clean())
}
