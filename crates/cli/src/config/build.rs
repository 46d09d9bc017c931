//! `rainstand config build`: compiles a configuration to the protobuf formats that servers load.

use crate::config_file::{read, replace};
use crate::error::{CommandError, CommandResult};
use crate::output::{self, ExitStatus};
use clap::Args;
use rainstand_config::schema;
use std::path::PathBuf;

#[derive(Args)]
pub(crate) struct Options {
    file: String,
    /// Protobuf text format (what is written if nothing is said)
    #[arg(long, conflicts_with = "binary")]
    text: bool,
    /// Protobuf binary format
    #[arg(long)]
    binary: bool,
    /// Where to write it, in one step; standard output if not said
    #[arg(long)]
    out: Option<PathBuf>,
}

pub(super) fn run(options: &Options) -> CommandResult {
    let configuration = read(&options.file, false)?.configuration;
    let compiled = if options.binary {
        schema::to_binary(&configuration)
    } else {
        schema::to_text(&configuration).into_bytes()
    };
    match &options.out {
        None => output::bytes(&compiled)?,
        Some(path) => replace(path, &compiled)
            .map_err(|error| CommandError::unusable(path.display(), error))?,
    }
    Ok(ExitStatus::Success)
}
