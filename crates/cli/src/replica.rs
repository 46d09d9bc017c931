//! `rainstand replica`: shows what a group's members report about their replicas, and recovers from the loss of a
//! majority.

use crate::cluster_client::exchange;
use crate::output::{bytes, line, ExitStatus};
use clap::{Args, Subcommand};
use rainstand_cluster::recovery::{self, RecoveryMode, RecoveryReport};
use rainstand_cluster::status;
use serde_json::Value;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

// Options of all subcommands that query a running member. Doc comments here and below are help texts.
#[derive(Args, Clone)]
pub(crate) struct Target {
    /// The address of a member in its `group` block
    #[arg(long = "at", value_name = "AT")]
    member: SocketAddr,
    /// As JSON
    #[arg(long)]
    json: bool,
}

#[derive(Subcommand)]
#[command(after_help = "\
Examples:
  rainstand replica status --at 10.0.0.1:7001
  rainstand replica why register/K-17 --at 10.0.0.1:7001
  rainstand replica recover /var/lib/rainstand/n1 --name n1 --accept-loss

Exit codes: 0 answered, 1 a shard has no leader or a member confirms nothing, 2 nobody answers there,
3 `why` only: no majority confirms the copy that was asked.")]
pub(crate) enum Command {
    /// Each shard here: who leads it, how far it is, how far behind the others are
    Status(Target),
    /// The other members: whether they are linked, and their disks
    Members(Target),
    /// What the copies here say of a key
    Why {
        /// Type and key with a slash between, such as register/K-17
        key: String,
        #[command(flatten)]
        target: Target,
    },
    /// Counters and gauges in the OpenMetrics text format
    Metrics(Target),
    /// After the loss of a majority: this stopped member's copies alone begin the group anew
    Recover {
        /// The folder of the member's disk; its node must be stopped
        folder: PathBuf,
        /// The member's name in the configuration
        #[arg(long)]
        name: String,
        /// Without it, only what would be lost is told
        #[arg(long)]
        accept_loss: bool,
        #[arg(long)]
        json: bool,
    },
}

/// Runs one subcommand.
///
/// # Errors
///
/// If standard output cannot be written, or a member responds with something other than JSON.
pub(crate) fn run(command: Command) -> io::Result<ExitStatus> {
    match command {
        Command::Status(target) => show_status(&target),
        Command::Members(target) => show_members(&target),
        Command::Why { key, target } => show_key(&target, &key),
        Command::Metrics(target) => show_metrics(&target),
        Command::Recover {
            folder,
            name,
            accept_loss,
            json,
        } => {
            let mode = if accept_loss {
                RecoveryMode::AcceptLoss
            } else {
                RecoveryMode::Report
            };
            recover(&folder, &name, mode, json)
        }
    }
}

/// Queries a member. On an error, prints it on standard error and returns `None`.
fn query(target: &Target, words: &str) -> Option<String> {
    let response = exchange(target.member, &status::encode_question(words))
        .and_then(|body| String::from_utf8(body).map_err(io::Error::other));
    match response {
        Ok(response) => Some(response),
        Err(error) => {
            eprintln!("{}: {error}", target.member);
            None
        }
    }
}

/// Prints a JSON response unchanged with `--json`, or else with the given function.
fn show(
    target: &Target,
    response: &str,
    print: impl FnOnce(&Value) -> io::Result<()>,
) -> io::Result<Value> {
    let value: Value = serde_json::from_str(response).map_err(io::Error::other)?;
    if target.json {
        line(response)?;
    } else {
        print(&value)?;
    }
    Ok(value)
}

fn show_status(target: &Target) -> io::Result<ExitStatus> {
    let Some(response) = query(target, "status") else {
        return Ok(ExitStatus::Unusable);
    };
    let status = show(target, &response, print_status)?;
    let is_stopped = status["stopped"] == true;
    let all_have_leaders = status["shards_with_leader"] == status["shards_in_all"];
    Ok(if is_stopped || !all_have_leaders {
        ExitStatus::Found
    } else {
        ExitStatus::Success
    })
}

fn show_members(target: &Target) -> io::Result<ExitStatus> {
    let Some(response) = query(target, "members") else {
        return Ok(ExitStatus::Unusable);
    };
    show(target, &response, print_members)?;
    Ok(ExitStatus::Success)
}

fn show_key(target: &Target, key: &str) -> io::Result<ExitStatus> {
    let Some(response) = query(target, &format!("why {key}")) else {
        return Ok(ExitStatus::Unusable);
    };
    let report = show(target, &response, |value| {
        line(&serde_json::to_string_pretty(value)?)
    })?;
    Ok(if report["confirmed"] == false {
        ExitStatus::Unknown
    } else {
        ExitStatus::Success
    })
}

fn show_metrics(target: &Target) -> io::Result<ExitStatus> {
    match query(target, "metrics") {
        Some(response) => {
            bytes(response.as_bytes())?;
            Ok(ExitStatus::Success)
        }
        None => Ok(ExitStatus::Unusable),
    }
}

fn recover(folder: &Path, name: &str, mode: RecoveryMode, json: bool) -> io::Result<ExitStatus> {
    match recovery::recover(folder, name, mode) {
        Ok(report) if json => {
            crate::output::json(&report)?;
            Ok(ExitStatus::Success)
        }
        Ok(report) => {
            print_recovery_report(&report, mode)?;
            Ok(ExitStatus::Success)
        }
        Err(error) => {
            eprintln!("{}: {error}", folder.display());
            Ok(ExitStatus::Unusable)
        }
    }
}

/// A JSON value as a cell of a table: strings without quotes, and a dash for a missing value.
fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// The elements of a JSON array; none if the value is not an array.
fn elements(value: &Value) -> impl Iterator<Item = &Value> {
    value.as_array().into_iter().flatten()
}

/// A row of the shard table.
struct ShardRow {
    shard: String,
    role: String,
    leader: String,
    term: String,
    commit: String,
    last: String,
    keys: String,
    members: String,
}

impl ShardRow {
    fn header() -> Self {
        Self {
            shard: "shard".into(),
            role: "role".into(),
            leader: "leader".into(),
            term: "term".into(),
            commit: "commit".into(),
            last: "last".into(),
            keys: "keys".into(),
            members: "members, and entries they are behind".into(),
        }
    }

    fn from_shard(shard: &Value) -> Self {
        let members: Vec<String> = elements(&shard["members"])
            .map(|member| describe_shard_member(shard, member))
            .collect();
        Self {
            shard: cell(&shard["shard"]),
            role: cell(&shard["role"]),
            leader: cell(&shard["leader"]),
            term: cell(&shard["term"]),
            commit: cell(&shard["commit"]),
            last: cell(&shard["last"]),
            keys: cell(&shard["keys"]),
            members: members.join(", "),
        }
    }
}

impl fmt::Display for ShardRow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:>5}  {:<9} {:<8} {:>6} {:>10} {:>10} {:>8}  {}",
            self.shard,
            self.role,
            self.leader,
            self.term,
            self.commit,
            self.last,
            self.keys,
            self.members
        )
    }
}

/// A member of a shard: its name, whether it is a learner, and, if the leader responds, its lag in entries.
fn describe_shard_member(shard: &Value, member: &Value) -> String {
    let learner_mark = if member["votes"] == true {
        ""
    } else {
        " learns"
    };
    let lag = elements(&shard["peers"])
        .find(|peer| peer["disk"] == member["disk"])
        .map_or(String::new(), |peer| format!(" (-{})", peer["behind"]));
    format!("{}{learner_mark}{lag}", cell(&member["name"]))
}

fn print_status(status: &Value) -> io::Result<()> {
    line(&format!(
        "{} disk {}  leads {}, {} of {} shards have a leader known here; median commit {} ms, p99 {} ms",
        cell(&status["name"]),
        cell(&status["disk"]),
        status["leads"],
        status["shards_with_leader"],
        status["shards_in_all"],
        cell(&status["commit_ms"]["median"]),
        cell(&status["commit_ms"]["p99"])
    ))?;
    if status["stopped"] == true {
        line(&format!(
            "nothing is confirmed here: {}",
            cell(&status["failed"])
        ))?;
    }
    line(&ShardRow::header().to_string())?;
    for shard in elements(&status["shards"]) {
        line(&ShardRow::from_shard(shard).to_string())?;
    }
    Ok(())
}

fn print_members(response: &Value) -> io::Result<()> {
    line(&format!(
        "{} disk {}",
        cell(&response["name"]),
        cell(&response["disk"])
    ))?;
    for peer in elements(&response["peers"]) {
        let connection = if peer["link"] == true {
            "linked"
        } else {
            "no link"
        };
        let stale_mark = if peer["old_copy"] == true {
            "  connected with a stale copy of its disk"
        } else {
            ""
        };
        line(&format!(
            "{:<12} disk {:<16}  {connection}{stale_mark}",
            cell(&peer["name"]),
            cell(&peer["disk"])
        ))?;
    }
    Ok(())
}

fn print_recovery_report(report: &RecoveryReport, mode: RecoveryMode) -> io::Result<()> {
    for shard in &report.shards {
        line(&format!(
            "shard {}: {} entries here, {} of them known to be committed; {} keys, {} started and without an end: {}",
            shard.shard,
            shard.last,
            shard.committed,
            shard.keys,
            shard.started.len(),
            shard.started.join(" ")
        ))?;
    }
    for shard in &report.missing {
        line(&format!(
            "shard {shard}: no copy here, all its keys are lost"
        ))?;
    }
    if mode == RecoveryMode::AcceptLoss {
        line(&format!(
            "generation {}: the group restarts from this disk. Start its node; older disks that return are \
             quarantined and receive a new copy.",
            report.generation
        ))
    } else {
        line(
            "nothing was changed: what the lost copies knew beyond this is lost with --accept-loss. Only where they \
             are surely gone: two groups would serve the same keys else.",
        )
    }
}
