//! `rainstand config …`: one module per subcommand; each reads files, calls the libraries, and prints.

mod build;
mod check;
mod diff;
mod explain;
mod fmt;
mod why;

use crate::control::{publish, versions, Publishing, Versions};
use crate::error::{CommandError, CommandResult};
use crate::output::{self, ExitStatus};
use clap::Subcommand;
use rainstand_config::schema;

// Doc comments here and in the modules' `Options` are help texts.
#[derive(Subcommand)]
pub(crate) enum Command {
    /// Read configurations and tell all that is wrong with them
    #[command(
        after_help = "Examples:\n  rainstand config check main.rain\n  rainstand config check --json main.rain | jq .code"
    )]
    Check(check::Options),
    /// Write files in their one form
    #[command(
        after_help = "Examples:\n  rainstand config fmt deploy/*.rain\n  rainstand config fmt --check deploy/*.rain\n  rainstand config fmt - < draft.rain"
    )]
    Fmt(fmt::Options),
    /// Compile a configuration to the form that programs are given
    #[command(
        after_help = "Examples:\n  rainstand config build main.rain > forwarder.txtpb\n  rainstand config build main.rain --binary --out main.pb"
    )]
    Build(build::Options),
    /// Tell what changed in meaning between two configurations
    #[command(
        after_help = "Examples:\n  rainstand config diff old/main.rain new/main.rain\n  rainstand config diff running.txtpb main.rain --json"
    )]
    Diff(diff::Options),
    /// Tell which way a ticket goes, and why not another
    #[command(
        after_help = "Example:\n  rainstand config explain main.rain --type register --tenant acme --entity NO-1138 --members-out n1,n2"
    )]
    Explain(explain::Options),
    /// Explain the code of a finding, with a wrong and a right example
    #[command(after_help = "Examples:\n  rainstand config why U202\n  rainstand config why --all")]
    Why(why::Options),
    /// Check a configuration, show what it changes, and have the control machines commit it
    #[command(
        after_help = "Examples:\n  rainstand config publish main.rain --at 10.0.0.1:7001\n  rainstand config publish main.rain --at 10.0.0.1:7001 --from 41 --dry-run\n\nExit codes: 0 committed or nothing to change, 1 errors, a conflict or a refusal, 2 nobody answers, 3 not known what is committed."
    )]
    Publish(Publishing),
    /// Each published version: when, how many confirmed it, refused it, are behind, and the slowest
    #[command(
        after_help = "Example:\n  rainstand config versions --at 10.0.0.1:7001\n\nExit codes: 0 all machines answered and nobody refuses, 1 otherwise, 2 nobody answers there, 3 no majority confirms which version is the newest."
    )]
    Versions(Versions),
    /// Print the protobuf schema of compiled configurations
    Schema,
}

/// Runs one subcommand.
///
/// # Errors
/// If a file cannot be read or written, an argument cannot be used, or standard output cannot be written.
pub(crate) fn run(command: &Command) -> CommandResult {
    match command {
        Command::Check(options) => check::run(options),
        Command::Fmt(options) => fmt::run(options),
        Command::Build(options) => build::run(options),
        Command::Diff(options) => diff::run(options),
        Command::Explain(options) => explain::run(options),
        Command::Why(options) => why::run(options),
        Command::Publish(options) => publish(options),
        Command::Versions(options) => versions(options),
        Command::Schema => {
            output::bytes(schema::PROTO.as_bytes())?;
            Ok(ExitStatus::Success)
        }
    }
}

/// Runs a subcommand for each file, also after a file that cannot be read. Returns the most severe status.
fn for_each_file(files: &[String], mut run: impl FnMut(&str) -> CommandResult) -> CommandResult {
    let mut worst = ExitStatus::Success;
    for file in files {
        let status = match run(file) {
            // Standard output cannot be written.
            Err(error @ CommandError::Io(_)) => return Err(error),
            Err(error) => error.print(),
            Ok(status) => status,
        };
        worst = worst.max(status);
    }
    Ok(worst)
}
