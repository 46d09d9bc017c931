//! `rainstand ask`: what a running forwarder tells of itself, as it stands or as a table.

use crate::output::{bytes, line, Code};
use crate::pcap::trouble;
use clap::{Args, Subcommand};
use serde_json::Value;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A forwarder that answers does so within this.
const WITHIN: Duration = Duration::from_secs(5);
/// The longest answer read, bytes: decisions and metrics of a thousand members.
const MOST: u64 = 64 << 20;

#[derive(Args)]
#[command(after_help = "\
Examples:
  rainstand ask members --at 127.0.0.1:6050
  rainstand ask decisions --at 127.0.0.1:6050 --last 20
  rainstand ask metrics --at 127.0.0.1:6050 | grep member_out

Exit codes: 0 answered, 2 nobody answers there.")]
pub struct Options {
    #[command(subcommand)]
    what: What,
}

#[derive(Args)]
struct At {
    /// The forwarder's `--admin` address
    #[arg(long)]
    at: SocketAddr,
    /// One JSON object a line
    #[arg(long)]
    json: bool,
}

#[derive(Subcommand)]
enum What {
    /// How the forwarder is, and which published version is in force and how old
    Status(At),
    /// Members with their standing, what is open there and how much may be
    Members(At),
    /// The last decisions, newest first: which member, how, and who was passed over
    Decisions {
        #[command(flatten)]
        at: At,
        /// So many
        #[arg(long, default_value_t = 20)]
        last: usize,
    },
    /// Counters and histograms in the OpenMetrics text format
    Metrics(At),
}

pub fn run(options: &Options) -> io::Result<Code> {
    let (at, path) = match &options.what {
        What::Status(at) => (at, "/status".to_owned()),
        What::Members(at) => (at, "/members".to_owned()),
        What::Decisions { at, last } => (at, format!("/decisions?last={last}")),
        What::Metrics(at) => (at, "/metrics".to_owned()),
    };
    let body = match get(at.at, &path) {
        Ok(body) => body,
        Err(error) => return Ok(trouble(&at.at.to_string(), error)),
    };
    if at.json || matches!(options.what, What::Metrics(_)) {
        return bytes(body.as_bytes());
    }
    if matches!(options.what, What::Status(_)) {
        let told: Value = serde_json::from_str(&body).map_err(io::Error::other)?;
        return line(&serde_json::to_string_pretty(&told)?).map(|()| Code::Good);
    }
    let rows: Vec<Vec<String>> = body
        .lines()
        .filter_map(|line| serde_json::from_str(line).ok())
        .map(|one: Value| match options.what {
            What::Members(_) => member(&one),
            _ => decision(&one),
        })
        .collect();
    let head: &[&str] = match options.what {
        What::Members(_) => &["pool", "member", "address", "standing", "open", "limit", ""],
        _ => &["ago", "type", "tenant", "route", "pool", "went", ""],
    };
    table(head, &rows)
}

/// A value as a cell; nothing for one that is not there.
fn cell(of: &Value, key: &str) -> String {
    match &of[key] {
        Value::Null => "-".into(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

fn member(one: &Value) -> Vec<String> {
    let mut notes = Vec::new();
    if let Some(why) = one["why"].as_str() {
        notes.push(format!("{why}, back in {} ms", one["back_in_ms"]));
    }
    notes.extend((one["near"] == true).then(|| "near".to_owned()));
    notes.extend((one["leaving"] == true).then(|| "leaving".to_owned()));
    let mut row: Vec<String> = ["pool", "member", "address", "standing", "open", "limit"]
        .map(|key| cell(one, key))
        .into();
    row.push(notes.join(", "));
    row
}

fn decision(one: &Value) -> Vec<String> {
    let mut row = vec![format!("{} ms", one["ago_ms"])];
    row.extend(["type", "tenant", "route", "pool"].map(|key| cell(one, key)));
    let mut notes = Vec::new();
    if let Some(turned) = one["turned"].as_str() {
        row.push(format!("dismissed: {turned}"));
        notes.push(format!("told {} ms", one["told_ms"]));
    } else {
        row.push(cell(one, "member"));
        let tried = one["tried"].as_u64().unwrap_or(1);
        notes.extend((tried > 1).then(|| format!("try {tried}")));
        notes.push(format!(
            "{}, one of {}, {} in hand",
            cell(one, "how"),
            one["of"],
            one["in_hand"]
        ));
    }
    for passed in one["passed_over"].as_array().into_iter().flatten() {
        if let (Some(member), Some(why)) = (passed[0].as_str(), passed[1].as_str()) {
            notes.push(format!("not {member} ({why})"));
        }
    }
    if let Some(more) = one["more_passed_over"].as_u64() {
        notes.push(format!("nor {more} more"));
    }
    row.push(notes.join("; "));
    row
}

/// Columns as wide as their widest cell.
fn table(head: &[&str], rows: &[Vec<String>]) -> io::Result<Code> {
    let width = |k: usize| {
        rows.iter()
            .map(|row| row[k].chars().count())
            .chain([head[k].len()])
            .max()
            .unwrap_or(0)
    };
    let widths: Vec<usize> = (0..head.len()).map(width).collect();
    let show = |cells: Vec<&str>| {
        let cells = cells
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:<width$}"));
        line(cells.collect::<Vec<_>>().join("  ").trim_end())
    };
    show(head.to_vec())?;
    rows.iter()
        .try_for_each(|row| show(row.iter().map(String::as_str).collect()))?;
    Ok(Code::Good)
}

fn get(at: SocketAddr, path: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&at, WITHIN)?;
    stream.set_read_timeout(Some(WITHIN))?;
    write!(stream, "GET {path} HTTP/1.1\r\nHost: {at}\r\n\r\n")?;
    let mut all = String::new();
    stream.take(MOST).read_to_string(&mut all)?;
    let (head, body) = all
        .split_once("\r\n\r\n")
        .ok_or_else(|| io::Error::other("no answer over HTTP"))?;
    match head.split(' ').nth(1) {
        Some("200") => Ok(body.to_owned()),
        _ => Err(io::Error::other(format!(
            "{}: {}",
            head.lines().next().unwrap_or(""),
            body.trim()
        ))),
    }
}
