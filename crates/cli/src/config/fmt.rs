//! `rainstand config fmt`: writes files in the canonical format.

use super::for_each_file;
use crate::config_file::replace;
use crate::error::{CommandError, CommandResult};
use crate::output::{self, ExitStatus};
use clap::Args;
use rainstand_config::formatter::format;
use rainstand_config::source::{Disk, Files, SourceMap};
use std::path::Path;

#[derive(Args)]
pub(crate) struct Options {
    /// Files to write anew; `-` reads standard input and prints the result
    #[arg(required = true)]
    files: Vec<String>,
    /// Change nothing; tell which files are not in their form
    #[arg(long)]
    check: bool,
}

pub(super) fn run(options: &Options) -> CommandResult {
    for_each_file(&options.files, |file| {
        let text = read_text(file)?;
        let formatted = match format(&text) {
            Ok(formatted) => formatted,
            Err(findings) => {
                output::findings(&SourceMap::from_text(file, text), &findings, false)?;
                eprintln!("{file}: left as it is");
                return Ok(ExitStatus::Found);
            }
        };
        let is_formatted = formatted == text;
        if options.check {
            return report_format(file, is_formatted);
        }
        if file == "-" {
            output::bytes(formatted.as_bytes())?;
        } else if !is_formatted {
            replace(Path::new(file), formatted.as_bytes())
                .map_err(|error| CommandError::unusable(file, error))?;
        }
        Ok(ExitStatus::Success)
    })
}

fn report_format(file: &str, is_formatted: bool) -> CommandResult {
    if is_formatted {
        return Ok(ExitStatus::Success);
    }
    output::line(&format!("{file}: not in its form"))?;
    Ok(ExitStatus::Found)
}

fn read_text(file: &str) -> Result<String, CommandError> {
    Disk.read(Path::new(file))
        .map_err(|error| CommandError::unusable(file, error))
}
