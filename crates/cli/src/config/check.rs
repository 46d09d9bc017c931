//! `rainstand config check`: reads configurations and prints their findings.

use super::for_each_file;
use crate::config_file::{count_of, read, LoadedConfiguration};
use crate::error::CommandResult;
use crate::output::ExitStatus;
use clap::Args;

#[derive(Args)]
pub(crate) struct Options {
    /// First files of configurations; `-` is standard input
    #[arg(required = true)]
    files: Vec<String>,
    /// One JSON object a finding, on standard output
    #[arg(long)]
    json: bool,
    /// Warnings count as errors
    #[arg(long)]
    strict: bool,
}

pub(super) fn run(options: &Options) -> CommandResult {
    for_each_file(&options.files, |file| check(file, options))
}

fn check(file: &str, options: &Options) -> CommandResult {
    let loaded = read(file, options.json)?;
    if !options.json {
        eprintln!("{file}: good: {}", summary(&loaded));
    }
    Ok(if options.strict && loaded.warnings > 0 {
        ExitStatus::Found
    } else {
        ExitStatus::Success
    })
}

/// The number of files, lines and warnings of a valid configuration.
fn summary(loaded: &LoadedConfiguration) -> String {
    format!(
        "{}, {}, {}",
        count_of(loaded.sources.len(), "file"),
        count_of(loaded.sources.lines(), "line"),
        count_of(loaded.warnings, "warning")
    )
}
