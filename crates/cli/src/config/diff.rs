//! `rainstand config diff`: prints the semantic changes between two configurations.

use crate::config_file::{print_changes, read, LoadedConfiguration};
use crate::error::{CommandError, CommandResult};
use crate::output::ExitStatus;
use clap::Args;
use rainstand_config::diff::diff;

#[derive(Args)]
pub(crate) struct Options {
    /// A `.rain` file, or a compiled one: `.pb` is binary, all else the text format
    old: String,
    new: String,
    #[arg(long)]
    json: bool,
}

pub(super) fn run(options: &Options) -> CommandResult {
    // Print the findings of both files before errors in either end the command.
    let old = read_or_report(&options.old, options.json)?;
    let new = read_or_report(&options.new, options.json)?;
    let (Some(old), Some(new)) = (old, new) else {
        // Nothing was compared, so the status must not mean "differs".
        return Ok(ExitStatus::Unusable);
    };
    let changes = diff(&old.configuration, &new.configuration);
    print_changes(&changes, options.json)?;
    Ok(if changes.is_empty() {
        ExitStatus::Success
    } else {
        ExitStatus::Found
    })
}

/// Reads a configuration. Prints why it cannot be used and returns `None` if it cannot be read or has errors.
fn read_or_report(path: &str, as_json: bool) -> Result<Option<LoadedConfiguration>, CommandError> {
    match read(path, as_json) {
        Ok(loaded) => Ok(Some(loaded)),
        Err(error @ CommandError::Io(_)) => Err(error),
        Err(error) => {
            error.print();
            Ok(None)
        }
    }
}
