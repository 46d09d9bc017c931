//! `ready`: concurrent restart of many processes.

use super::block_on;
use clap::Args;
use rainstand_testbed::ready;
use std::fs;
use std::io;
use std::path::PathBuf;

// Must differ in name from the library's `Options`, which are flattened into it.
#[derive(Args)]
pub(crate) struct ReadyOptions {
    #[command(flatten)]
    options: ready::Options,
    /// Keep the run's folder here: configurations, logs, disks
    #[arg(long)]
    keep: Option<PathBuf>,
    /// The report as one JSON object
    #[arg(long)]
    json: bool,
}

pub(crate) fn run(options: ReadyOptions) -> io::Result<bool> {
    let temporary = tempfile::tempdir()?;
    let folder = options.keep.unwrap_or(temporary.path().to_owned());
    fs::create_dir_all(&folder)?;
    let report = block_on(ready::run(&options.options, &folder))?;
    let mut out = io::stdout().lock();
    ready::write_report(&mut out, &options.options, &report, options.json)?;
    Ok(report.meets_target())
}
