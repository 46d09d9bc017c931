//! `rainstand ask`: prints what a running forwarder reports about itself, unchanged or as a table.

use crate::error::{CommandError, CommandResult};
use crate::output::{bytes, line, ExitStatus};
use clap::{Args, Subcommand};
use serde_json::Value;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Time limit for connecting and for each read of the response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Enough for the decisions and metrics of a thousand members.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;
/// Columns of the table of members; the last one holds notes.
const MEMBER_COLUMNS: [&str; 7] = ["pool", "member", "address", "standing", "open", "limit", ""];
/// Columns of the table of decisions; the last one holds notes.
const DECISION_COLUMNS: [&str; 7] = ["ago", "type", "tenant", "route", "pool", "went", ""];

#[derive(Args)]
#[command(after_help = "\
Examples:
  rainstand ask members --at 127.0.0.1:6050
  rainstand ask decisions --at 127.0.0.1:6050 --last 20
  rainstand ask metrics --at 127.0.0.1:6050 | grep member_out

Exit codes: 0 answered, 2 nobody answers there.")]
pub(crate) struct Options {
    #[command(subcommand)]
    query: Query,
}

#[derive(Args)]
struct Target {
    /// The forwarder's `--admin` address
    #[arg(long)]
    at: SocketAddr,
    /// One JSON object a line
    #[arg(long)]
    json: bool,
}

#[derive(Subcommand)]
enum Query {
    /// How the forwarder is, and which published version is in force and how old
    Status(Target),
    /// Members with their standing, what is open there and how much may be
    Members(Target),
    /// The last decisions, newest first: which member, how, and who was passed over
    Decisions {
        #[command(flatten)]
        target: Target,
        /// So many
        #[arg(long, default_value_t = 20)]
        last: usize,
    },
    /// Counters and histograms in the OpenMetrics text format
    Metrics(Target),
}

/// Runs one subcommand.
///
/// # Errors
/// If no forwarder responds at the address, or standard output cannot be written.
pub(crate) fn run(options: &Options) -> CommandResult {
    match &options.query {
        Query::Status(target) => show_status(target)?,
        Query::Members(target) => {
            show_table(target, "/members", &MEMBER_COLUMNS, member_row)?;
        }
        Query::Decisions { target, last } => {
            let path = format!("/decisions?last={last}");
            show_table(target, &path, &DECISION_COLUMNS, decision_row)?;
        }
        Query::Metrics(target) => bytes(fetch(target, "/metrics")?.as_bytes())?,
    }
    Ok(ExitStatus::Success)
}

fn show_status(target: &Target) -> Result<(), CommandError> {
    let response = fetch(target, "/status")?;
    if target.json {
        return Ok(bytes(response.as_bytes())?);
    }
    let status: Value = serde_json::from_str(&response).map_err(io::Error::other)?;
    let text = serde_json::to_string_pretty(&status).map_err(io::Error::from)?;
    Ok(line(&text)?)
}

/// Prints a response of one JSON object per line as a table, or unchanged with `--json`.
fn show_table(
    target: &Target,
    path: &str,
    columns: &[&str],
    row: fn(&Value) -> Vec<String>,
) -> Result<(), CommandError> {
    let response = fetch(target, path)?;
    if target.json {
        return Ok(bytes(response.as_bytes())?);
    }
    let rows: Vec<Vec<String>> = response
        .lines()
        .filter_map(|line| serde_json::from_str(line).ok())
        .map(|object| row(&object))
        .collect();
    Ok(print_table(columns, &rows)?)
}

/// A value as a cell of a table; a dash for a missing one.
fn cell(object: &Value, key: &str) -> String {
    match &object[key] {
        Value::Null => "-".into(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

fn member_row(member: &Value) -> Vec<String> {
    let mut notes = Vec::new();
    if let Some(reason) = member["why"].as_str() {
        notes.push(format!("{reason}, back in {} ms", member["back_in_ms"]));
    }
    for note in ["near", "leaving"] {
        if member[note] == true {
            notes.push(note.to_owned());
        }
    }
    let mut row: Vec<String> = ["pool", "member", "address", "standing", "open", "limit"]
        .map(|key| cell(member, key))
        .into();
    row.push(notes.join(", "));
    row
}

fn decision_row(decision: &Value) -> Vec<String> {
    let mut row = vec![format!("{} ms", decision["ago_ms"])];
    row.extend(["type", "tenant", "route", "pool"].map(|key| cell(decision, key)));
    let mut notes = Vec::new();
    if let Some(reason) = decision["turned"].as_str() {
        row.push(format!("rejected: {reason}"));
        notes.push(format!("retry after {} ms", decision["told_ms"]));
    } else {
        row.push(cell(decision, "member"));
        let attempt = decision["tried"].as_u64().unwrap_or(1);
        if attempt > 1 {
            notes.push(format!("attempt {attempt}"));
        }
        notes.push(format!(
            "{}, one of {}, {} in flight",
            cell(decision, "how"),
            decision["of"],
            decision["in_hand"]
        ));
    }
    notes.extend(skipped_member_notes(decision));
    row.push(notes.join("; "));
    row
}

/// The members that were not selected, and why.
fn skipped_member_notes(decision: &Value) -> Vec<String> {
    let skipped = decision["passed_over"].as_array().into_iter().flatten();
    let mut notes: Vec<String> = skipped
        .filter_map(|skipped| {
            let (member, reason) = (skipped[0].as_str()?, skipped[1].as_str()?);
            Some(format!("skipped {member} ({reason})"))
        })
        .collect();
    if let Some(more) = decision["more_passed_over"].as_u64() {
        notes.push(format!("skipped {more} more"));
    }
    notes
}

/// Prints each column as wide as its widest cell.
fn print_table(header: &[&str], rows: &[Vec<String>]) -> io::Result<()> {
    let width = |column: usize| {
        let cells = rows.iter().map(|row| row[column].chars().count());
        cells.chain([header[column].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..header.len()).map(width).collect();
    let print_row = |cells: &[&str]| {
        let cells: Vec<String> = cells
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        line(cells.join("  ").trim_end())
    };
    print_row(header)?;
    for row in rows {
        let cells: Vec<&str> = row.iter().map(String::as_str).collect();
        print_row(&cells)?;
    }
    Ok(())
}

fn fetch(target: &Target, path: &str) -> Result<String, CommandError> {
    get(target.at, path).map_err(|error| CommandError::unusable(target.at, error))
}

/// Sends an HTTP GET request and returns the body of the response.
fn get(address: SocketAddr, path: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, RESPONSE_TIMEOUT)?;
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
    write!(stream, "GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n")?;
    let mut response = String::new();
    stream
        .take(MAX_RESPONSE_BYTES)
        .read_to_string(&mut response)?;
    let (head, body) = response
        .split_once("\r\n\r\n")
        .ok_or_else(|| io::Error::other("the response is not HTTP"))?;
    if head.split(' ').nth(1) == Some("200") {
        return Ok(body.to_owned());
    }
    let status_line = head.lines().next().unwrap_or("");
    Err(io::Error::other(format!("{status_line}: {}", body.trim())))
}
