//! `rainstand config publish`: commits a configuration as the next version.

use super::client::{fetch_newest, QueryError};
use crate::cluster_client::exchange;
use crate::config_file::{print_changes, read};
use crate::error::{CommandError, CommandResult};
use crate::output::{json as json_line, line, ExitStatus};
use clap::Args;
use rainstand_cluster::status;
use rainstand_config::diff::diff;
use rainstand_config::schema::{Configuration, VERSION};
use rainstand_config_distribution::snapshot::DecodedSnapshot;
use rainstand_replicated_state::versions::Publish;
use rainstand_routing::table::Table;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::io;
use std::net::SocketAddr;

#[derive(Args)]
pub(crate) struct Publishing {
    /// A `.rain` file, or a compiled one
    file: String,
    /// The address of a control machine in its `group` block
    #[arg(long)]
    at: SocketAddr,
    /// The version that the file was made from; the newest if not said
    #[arg(long)]
    from: Option<u64>,
    /// Show what would change, and change nothing
    #[arg(long)]
    dry_run: bool,
    /// As JSON
    #[arg(long)]
    json: bool,
}

/// Outcome of publishing a configuration. Each variant is a JSON object with one key.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum PublishOutcome {
    /// Committed as this version.
    Committed(u64),
    /// The configuration equals this version, which the group confirmed as the newest.
    Unchanged(u64),
    /// A dry run: the configuration would become this version.
    #[serde(rename = "would")]
    WouldCommit(u64),
    /// The configuration is not based on the newest version.
    Conflict(String),
    #[serde(rename = "refused")]
    Rejected(String),
    /// It is not known which version is the newest, or whether this one was committed.
    Unknown(String),
    /// A response from a different release of the server, printed unchanged: it is not known whether the version was
    /// committed.
    #[serde(untagged)]
    Other(Value),
}

/// Publishes a configuration.
///
/// # Errors
/// If it cannot be read, has errors, or the server cannot be reached.
pub(crate) fn publish(options: &Publishing) -> CommandResult {
    let configuration = read(&options.file, options.json)?.configuration;
    // Reject what subscribers would reject.
    if let Err(error) = Table::new(&configuration) {
        eprintln!("rainstand: {}: {error}", options.file);
        return Ok(ExitStatus::Found);
    }
    let outcome = match fetch_newest(options.at) {
        Ok(newest) => publish_onto(options, &newest, &configuration)?,
        Err(error @ QueryError::Unconfirmed) => {
            PublishOutcome::Unknown(format!("nothing was sent: {error}"))
        }
        Err(error) => return Err(CommandError::unusable(options.at, error)),
    };
    Ok(print_outcome(&outcome, options.json)?)
}

fn publish_onto(
    options: &Publishing,
    newest: &DecodedSnapshot,
    configuration: &Configuration,
) -> io::Result<PublishOutcome> {
    let version = newest.version;
    let from = options.from.unwrap_or(version);
    if from != version {
        return Ok(PublishOutcome::Conflict(format!(
            "made from version {from}, but version {version} is there"
        )));
    }
    let before = newest.state.configuration().map_err(io::Error::other)?;
    let before = Configuration {
        version: VERSION,
        ..before
    };
    let changes = diff(&before, configuration);
    print_changes(&changes, options.json)?;
    let request = match Publish::from_configuration(&newest.state, from, configuration) {
        Ok(request) => request,
        Err(error) => return Ok(PublishOutcome::Rejected(error.to_string())),
    };
    if changes.is_empty() && before == *configuration {
        return Ok(PublishOutcome::Unchanged(version));
    }
    if options.dry_run {
        return Ok(PublishOutcome::WouldCommit(from + 1));
    }
    // After an error, the request may or may not have arrived.
    let outcome = send(options.at, &request);
    Ok(outcome.unwrap_or_else(|error| PublishOutcome::Unknown(error.to_string())))
}

fn send(server: SocketAddr, request: &Publish) -> io::Result<PublishOutcome> {
    let response = exchange(server, &status::encode_publish(request))?;
    serde_json::from_slice(&response).map_err(io::Error::other)
}

fn print_outcome(outcome: &PublishOutcome, json: bool) -> io::Result<ExitStatus> {
    let code = match outcome {
        PublishOutcome::Unknown(_) | PublishOutcome::Other(_) => ExitStatus::Unknown,
        PublishOutcome::Conflict(_) | PublishOutcome::Rejected(_) => ExitStatus::Found,
        PublishOutcome::Committed(_)
        | PublishOutcome::Unchanged(_)
        | PublishOutcome::WouldCommit(_) => ExitStatus::Success,
    };
    if json {
        json_line(outcome)?;
        return Ok(code);
    }
    match outcome {
        PublishOutcome::Committed(version) => line(&format!("version {version} is committed"))?,
        PublishOutcome::Unchanged(version) => {
            line(&format!("nothing changes: version {version} says the same"))?;
        }
        PublishOutcome::WouldCommit(version) => {
            line(&format!("would be version {version}; nothing was changed"))?;
        }
        PublishOutcome::Conflict(reason) => eprintln!("rainstand: conflict: {reason}"),
        PublishOutcome::Rejected(reason) => eprintln!("rainstand: refused: {reason}"),
        PublishOutcome::Unknown(error) => print_unknown(error),
        PublishOutcome::Other(answer) => print_unknown(&format!("unexpected response: {answer}")),
    }
    Ok(code)
}

fn print_unknown(error: &str) {
    eprintln!("rainstand: not known whether it is committed: {error}");
}
