//! `soak`: processes that clients use until they are killed.

use super::block_on;
use clap::Args;
use rainstand_testbed::soak::{self, SoakOptions};
use serde_json::json;
use std::fs;
use std::io::{self, Write};
use std::path::PathBuf;

#[derive(Args)]
pub(crate) struct Options {
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How long the node serves before its drain, in seconds
    #[arg(long, default_value_t = 2)]
    seconds: u64,
    /// Where the programs lie, if not beside this one
    #[arg(long)]
    programs: Option<PathBuf>,
    /// A bug by name, in programs that were built with the feature `planted`
    #[arg(long)]
    plant: Option<String>,
    /// Keep the run's folder here: configurations, logs, histories
    #[arg(long)]
    keep: Option<PathBuf>,
    /// The report as one JSON object
    #[arg(long)]
    json: bool,
}

/// Runs one soak in the folder `--keep`, or in a temporary one.
pub(crate) fn run(options: Options) -> io::Result<bool> {
    let is_known = |bug: &String| soak::BUGS.contains(&bug.as_str());
    if options.plant.as_ref().is_some_and(|bug| !is_known(bug)) {
        let bugs = soak::BUGS.join(", ");
        return Err(io::Error::other(format!("no such bug; known bugs: {bugs}")));
    }
    let temporary = tempfile::tempdir()?;
    let folder = options.keep.unwrap_or(temporary.path().to_owned());
    fs::create_dir_all(&folder)?;
    if fs::read_dir(&folder)?.next().is_some() {
        let folder = folder.display();
        return Err(io::Error::other(format!(
            "{folder}: the folder is not empty"
        )));
    }
    let report = block_on(soak::run(&SoakOptions {
        seed: options.seed,
        programs: options.programs,
        folder: folder.canonicalize()?,
        bug: options.plant,
        seconds: options.seconds,
    }))?;
    let mut out = io::stdout().lock();
    if options.json {
        let tally = json!({"asked": report.requests, "answered": report.answers});
        let line = json!({"seed": report.seed, "good": report.is_clean(), "report": {"soak": report, "tally": tally}});
        writeln!(out, "{line}")?;
    } else {
        writeln!(out, "{}", serde_json::to_string_pretty(&report)?)?;
    }
    Ok(report.is_clean())
}
