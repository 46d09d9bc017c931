//! `rainstand lab run`: runs every variant of an experiment with every seed.

use super::selection::SelectedExperiment;
use crate::error::{CommandError, CommandResult};
use crate::output::{json, line, ExitStatus};
use clap::Args;
use indicatif::{ProgressBar, ProgressStyle};
use rainstand_config::schema;
use rainstand_experiments::jobs::{self, fingerprint, isolated, Played, Work, COMPILED};
use rainstand_experiments::plans::variants;
use rainstand_experiments::results::{self, Results};
use rainstand_experiments::stats::{mean, Mean, MEASURES};
use std::fs;
use std::io;
use std::num::NonZero;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;

/// The default folder for results; each experiment has a folder in it.
const RESULTS_FOLDER: &str = "lab-out";
/// The exit status by which a shell reports an interrupted command.
const INTERRUPTED: i32 = 130;
/// Confidence level of the printed intervals.
const CONFIDENCE_LEVEL: f64 = 0.95;

#[derive(Args)]
pub(crate) struct Options {
    /// A `.rain` file, or a compiled one
    file: String,
    /// Which one, where the file holds several
    #[arg(long)]
    experiment: Option<String>,
    /// Seeds 1 to this, in place of what the experiment says
    #[arg(long)]
    seeds: Option<u64>,
    /// Runs at a time; one run is one thread
    #[arg(long)]
    jobs: Option<usize>,
    /// Where results go; `lab-out/EXPERIMENT` if not said
    #[arg(long)]
    out: Option<PathBuf>,
    #[arg(long)]
    json: bool,
}

pub(super) fn run(options: &Options) -> CommandResult {
    let selected = SelectedExperiment::read(&options.file, options.experiment.as_deref())?;
    let folder = options
        .out
        .clone()
        .unwrap_or_else(|| Path::new(RESULTS_FOLDER).join(&selected.experiment().name));
    let mut outcome = run_missing(options, &selected, &folder)?;
    for failed in &outcome.failed {
        eprintln!(
            "{}: seed {} failed: {}",
            failed.variant, failed.seed, failed.reason
        );
    }
    let unusable_folder = |reason| CommandError::unusable(folder.display(), reason);
    results::write(&folder, &mut outcome.rows).map_err(unusable_folder)?;
    let results = results::read(&folder).map_err(unusable_folder)?;
    if options.json {
        results.runs.iter().try_for_each(json)?;
    } else {
        print_table(&results)?;
    }
    if outcome.remaining > 0 {
        eprintln!(
            "stopped with {} runs left; run the same command again to continue",
            outcome.remaining
        );
    }
    let violations = report_violations(&results);
    Ok(if violations == 0 && outcome.failed.is_empty() {
        ExitStatus::Success
    } else {
        ExitStatus::Found
    })
}

/// Does the runs whose results are not in the folder yet, until all are done or an interrupt arrives.
fn run_missing(
    options: &Options,
    selected: &SelectedExperiment,
    folder: &Path,
) -> Result<Played, CommandError> {
    let (configuration, experiment) = (&selected.configuration, selected.experiment());
    let variants = variants(configuration, experiment)
        .map_err(|reason| CommandError::unusable(&options.file, reason))?;
    fs::create_dir_all(folder)?;
    let compiled = schema::to_text(&isolated(configuration, experiment));
    fs::write(folder.join(COMPILED), compiled)?;
    let available_threads = || thread::available_parallelism().map_or(1, NonZero::get);
    let work = Work {
        experiment: &experiment.name,
        fingerprint: fingerprint(configuration, experiment),
        variants: &variants,
        seeds: options.seeds.unwrap_or(experiment.seeds),
        threads: options.jobs.unwrap_or_else(available_threads),
    };
    let stop = Arc::new(AtomicBool::new(false));
    stop_at_interrupt(stop.clone())?;
    let bar = progress_bar(work.seeds * variants.len() as u64);
    let outcome = jobs::play(&work, folder, &stop, |rows| {
        bar.inc(1);
        if !rows.run.broken.is_empty() {
            bar.set_message("an invariant was violated");
        }
    });
    bar.finish_and_clear();
    outcome.map_err(|reason| CommandError::unusable(folder.display(), reason))
}

fn progress_bar(runs: u64) -> ProgressBar {
    let bar = ProgressBar::new(runs);
    if let Ok(style) = ProgressStyle::with_template("{wide_bar} {pos}/{len} runs, {eta} left {msg}")
    {
        bar.set_style(style);
    }
    bar
}

/// The first interrupt stops the experiment after the runs in progress; the second one ends the program.
fn stop_at_interrupt(stop: Arc<AtomicBool>) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    thread::spawn(move || {
        runtime.block_on(async {
            if tokio::signal::ctrl_c().await.is_ok() {
                stop.store(true, Ordering::Relaxed);
                eprintln!(
                    "stopping after the runs in progress; interrupt again to exit immediately"
                );
            }
            if tokio::signal::ctrl_c().await.is_ok() {
                std::process::exit(INTERRUPTED);
            }
        });
    });
    Ok(())
}

/// Prints the runs that violated an invariant, and returns their number.
fn report_violations(results: &Results) -> usize {
    let broken = results.runs.iter().filter(|run| !run.broken.is_empty());
    broken
        .inspect(|run| eprintln!("{}, seed {}: {}", run.variant, run.seed, run.broken))
        .count()
}

/// Prints a table with a row per variant and a column per measure.
fn print_table(results: &Results) -> io::Result<()> {
    let variants = results.variants();
    let label_width = variants
        .iter()
        .map(|variant| variant.label.len())
        .max()
        .unwrap_or(0);
    let header = MEASURES
        .map(|measure| format!("{:>20}", measure.name))
        .concat();
    line(&format!("{:<label_width$}{header}", ""))?;
    for variant in variants {
        let cells = MEASURES.map(|measure| {
            let values: Vec<f64> = results.runs_of(variant.number).map(measure.read).collect();
            format!("{:>20}", mean_cell(&mean(&values, CONFIDENCE_LEVEL)))
        });
        line(&format!(
            "{:<label_width$}{}",
            variant.label,
            cells.concat()
        ))?;
    }
    Ok(())
}

fn mean_cell(mean: &Mean) -> String {
    if !mean.half.is_finite() {
        format!("{:.4}", mean.mean)
    } else if mean.mean.abs() < 10.0 {
        format!("{:.4} ± {:.4}", mean.mean, mean.half)
    } else {
        format!("{:.1} ± {:.1}", mean.mean, mean.half)
    }
}
