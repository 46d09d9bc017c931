//! `shrink`: finds a smaller schedule for a failing seed.

use super::{write_report, ScenarioOptions};
use clap::Args;
use rainstand_config::schema::Rig;
use rainstand_testbed::fault_schedule::{schedule, FaultStep};
use rainstand_testbed::scenario::Report;
use rainstand_testbed::shrink::shrink;
use std::io;

#[derive(Args)]
pub(crate) struct Options {
    #[command(flatten)]
    scenario: ScenarioOptions,
    #[arg(long)]
    seed: u64,
    /// Plays of each smaller schedule before it counts as passing
    #[arg(long, default_value_t = 3)]
    tries: usize,
    /// Plays in all
    #[arg(long, default_value_t = 60)]
    most: usize,
}

/// Runs schedules of one seed and records failures.
struct ScheduleRunner<'o> {
    options: &'o Options,
    rig: &'o Rig,
    runs: usize,
    /// The last run that failed, with its history.
    last_failure: Option<(Report, Vec<u8>)>,
}

impl ScheduleRunner<'_> {
    /// Whether any of `tries` runs of a schedule fails.
    fn fails(&mut self, steps: &[FaultStep]) -> bool {
        (0..self.options.tries.max(1)).any(|_| self.run_fails(steps))
    }

    /// Whether one run fails. A run that cannot be set up counts as passing.
    fn run_fails(&mut self, steps: &[FaultStep]) -> bool {
        self.runs += 1;
        let (runs, count) = (self.runs, steps.len());
        let options = self.options;
        match options.scenario.run(self.rig, options.seed, steps, None) {
            Ok((report, history)) if !report.is_clean() => {
                eprintln!("run {runs}: {count} steps, broken");
                self.last_failure = Some((report, history));
                true
            }
            Ok(_) => {
                eprintln!("run {runs}: {count} steps, clean");
                false
            }
            Err(error) => {
                eprintln!("run {runs}: {error}");
                false
            }
        }
    }
}

pub(crate) fn run(options: &Options) -> io::Result<bool> {
    let rig = options.scenario.read_rig()?;
    let (seed, tries) = (options.seed, options.tries);
    let steps = schedule(&rig, seed);
    let mut runner = ScheduleRunner {
        options,
        rig: &rig,
        runs: 0,
        last_failure: None,
    };
    if !runner.fails(&steps) {
        println!("seed {seed} did not fail in {tries} runs");
        return Ok(true);
    }
    let smallest = shrink(&steps, options.most, |steps| runner.fails(steps));
    if let Some((report, history)) = &runner.last_failure {
        write_report(&mut io::stdout().lock(), &rig, report, history)?;
    }
    for step in &smallest {
        println!("{}", serde_json::to_string(step)?);
    }
    println!("{} of {} steps left", smallest.len(), steps.len());
    Ok(false)
}
