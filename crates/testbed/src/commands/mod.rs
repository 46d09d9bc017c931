//! One module per subcommand: its options, implementation and output. Each returns whether all checks passed.

pub(crate) mod check;
pub(crate) mod ready;
pub(crate) mod run;
pub(crate) mod shrink;
pub(crate) mod simulate;
pub(crate) mod soak;
pub(crate) mod sweep;

use clap::Args;
use indicatif::{ProgressBar, ProgressStyle};
use rainstand_config::schema::Rig;
use rainstand_config::source::Disk;
use rainstand_testbed::fault_schedule::FaultStep;
use rainstand_testbed::scenario::{self, Report, RunOptions};
use std::fs;
use std::future::Future;
use std::io::{self, Write};
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::task::LocalSet;

/// Upper limit of `--seconds`.
const MAX_SECONDS: u64 = 3_600;
/// Violations of a run that are printed with their history lines.
const MAX_VIOLATIONS_SHOWN: usize = 3;
/// Concurrent runs.
const MAX_JOBS: usize = 64;

// No doc comment: it would become the subcommand's help.
#[derive(Args, Clone)]
pub(crate) struct ScenarioOptions {
    /// A `.rain` file with a `rig` block; for `sweep` also `soak`
    file: PathBuf,
    /// The block's name, where the file has several
    #[arg(long)]
    rig: Option<String>,
    /// How long callers ask, in seconds, in place of the block's `lasts`
    #[arg(long)]
    seconds: Option<u64>,
    /// Where the programs lie, if not beside this one
    #[arg(long)]
    programs: Option<PathBuf>,
    /// A bug by name, in nodes that were built with the feature `planted`
    #[arg(long)]
    plant: Option<String>,
}

impl ScenarioOptions {
    /// Reads the rig of the file and applies the options.
    fn read_rig(&self) -> io::Result<Rig> {
        let path = self.file.display().to_string();
        let outcome = rainstand_config::load(&Disk, &path);
        let Some(configuration) = outcome.configuration else {
            let findings: Vec<String> = outcome
                .findings
                .iter()
                .map(|finding| rainstand_config::report::plain(&outcome.sources, finding))
                .collect();
            let findings = findings.join("\n");
            return Err(io::Error::other(format!("{path}:\n{findings}")));
        };
        let is_named = |rig: &Rig| self.rig.as_ref().is_none_or(|name| *name == rig.name);
        let mut rigs = configuration.rigs.into_iter();
        let Some(mut rig) = rigs.find(is_named) else {
            return Err(io::Error::other(format!("{path}: no such rig")));
        };
        if let Some(seconds) = self.seconds {
            let run = Duration::from_secs(seconds.clamp(1, MAX_SECONDS));
            rig.lasts_ns = run.as_nanos() as u64;
        }
        Ok(rig)
    }

    /// Runs one schedule in the folder `keep`, or in a temporary one; returns the report and the lines of the history.
    fn run(
        &self,
        rig: &Rig,
        seed: u64,
        steps: &[FaultStep],
        keep: Option<&Path>,
    ) -> io::Result<(Report, Vec<u8>)> {
        let temporary = tempfile::tempdir()?;
        let folder = keep.unwrap_or(temporary.path()).to_owned();
        let options = RunOptions {
            programs: self.programs.clone(),
            folder: folder.clone(),
            bug: self.plant.clone(),
        };
        let report = block_on(scenario::play(rig, seed, steps, &options))?;
        Ok((report, fs::read(folder.join("history.jsonl"))?))
    }
}

/// Runs a future and its spawned tasks on this thread.
pub(crate) fn block_on<T>(future: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let result = LocalSet::new().block_on(&runtime, future);
    // Dropping the runtime would block on a pending read of standard input, which may never get more input.
    runtime.shutdown_background();
    result
}

/// Writes a run's report as text, with the first violations and the history lines that show them.
fn write_report(
    out: &mut impl Write,
    rig: &Rig,
    report: &Report,
    history: &[u8],
) -> io::Result<()> {
    let tally = &report.tally;
    writeln!(
        out,
        "{} seed {}: {} asked ({} keyed, {} keys), {} answered, {} dismissed, {} given up, {} gone, {} runs; {} faults, {} kills, {} resets; longest gap {} ms",
        rig.name, report.seed, tally.requests, tally.keyed, tally.keys, tally.served, tally.rejected, tally.failed,
        tally.abandoned, tally.runs, report.faults, report.kills, report.resets, report.longest_gap_ms
    )?;
    for (fault, service) in &report.by_fault {
        writeln!(
            out,
            "  while {fault}: {} keyed tickets asked, {:.1} % answered",
            service.requests,
            service.served_share * 100.0
        )?;
    }
    for fault in &report.process_faults {
        writeln!(out, "fell over: {fault}")?;
    }
    let lines: Vec<&[u8]> = history.split(|b| *b == b'\n').collect();
    let shown = report.violations.iter().take(MAX_VIOLATIONS_SHOWN);
    for (index, violation) in shown.enumerate() {
        let prefix = if index == 0 { "broken: " } else { "then: " };
        writeln!(out, "{prefix}{violation}")?;
        for number in &violation.lines {
            if let Some(line) = lines.get(number - 1) {
                writeln!(out, "  {number}: {}", String::from_utf8_lossy(line))?;
            }
        }
    }
    let verdict = if report.is_clean() { "clean" } else { "broken" };
    writeln!(
        out,
        "{verdict}; the schedule and all draws are the seed's, the scheduling of processes is not"
    )
}

/// Parses a half-open range of seeds such as `1..200`.
fn parse_seeds(text: &str) -> io::Result<Range<u64>> {
    let invalid = || {
        io::Error::new(
            io::ErrorKind::InvalidInput,
            format!("{text}: not a range of seeds such as 1..200"),
        )
    };
    let (first, last) = text.split_once("..").ok_or_else(invalid)?;
    let first = first.parse().map_err(|_| invalid())?;
    let last = last.parse().map_err(|_| invalid())?;
    let seeds = first..last;
    if seeds.is_empty() {
        return Err(invalid());
    }
    Ok(seeds)
}

fn progress_bar(seeds: u64) -> ProgressBar {
    let bar = ProgressBar::new(seeds);
    if let Ok(style) = ProgressStyle::with_template("{bar:30} {pos}/{len} {eta} {msg}") {
        bar.set_style(style);
    }
    bar
}
