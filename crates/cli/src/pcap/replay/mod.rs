//! `rainstand pcap replay`: sends the calls of a capture again with their timing.
//!
//! The load is open loop: the send times are planned in advance ([`rainstand_capture::schedule`]), and a slow node does
//! not delay them. Each recorded connection is replayed on its own connection; if it breaks, its open calls end, and
//! the next call opens it again. Calls get a new `trace` and `born`; everything else is sent as recorded.

mod client;
mod connection;
mod report;

use super::capture_file::read_capture;
use super::time_range::TimeRange;
use crate::error::{CommandError, CommandResult};
use clap::Args;
use client::ReplayClient;
use rainstand_capture::schedule::{Choice, Collector, Connections, Schedule};
use serde_json::json;
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::LocalSet;

/// Upper limit of `--connections`.
const MAX_CONNECTIONS: usize = 10_000;
/// Upper limit of `--speed`, as a multiple of the recorded speed.
const MAX_SPEED: f64 = 1_000.0;

#[derive(Args)]
pub(crate) struct Options {
    file: String,
    /// Address of a node or forwarder
    #[arg(long = "to", id = "address")]
    to: SocketAddr,
    /// 2.0: twice as fast as recorded
    #[arg(long, default_value_t = 1.0)]
    speed: f64,
    /// Seconds after the capture's first call
    #[arg(long, default_value_t = 0.0)]
    from: f64,
    /// Seconds after the capture's first call; to its end if not said
    #[arg(long)]
    until: Option<f64>,
    /// `as-recorded`, or how many
    #[arg(long, default_value = "as-recorded")]
    connections: String,
    /// Exit with 1 if an answer differs from the recorded one, and name its ticket
    #[arg(long)]
    compare: bool,
    /// Compare kinds of answers only, not what honoured ones say
    #[arg(long, requires = "compare")]
    kinds: bool,
    /// Seconds to wait for the last answers
    #[arg(long, default_value_t = 10.0)]
    wait: f64,
    /// For the new traces
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Write each ticket's recorded and new trace to a file, a JSON object a line
    #[arg(long)]
    mapping: Option<PathBuf>,
    #[arg(long)]
    json: bool,
}

pub(super) fn run(options: &Options) -> CommandResult {
    let choice = choice(options)?;
    let wait = Duration::try_from_secs_f64(options.wait).map_err(|_| {
        CommandError::unusable(
            "--wait",
            format!("{} is not a valid duration", options.wait),
        )
    })?;
    let schedule = read_schedule(&options.file, &choice)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let client = Rc::new(ReplayClient::new(schedule, options.to, options.seed));
    LocalSet::new().block_on(&runtime, client.clone().run(wait));
    if let Some(path) = &options.mapping {
        write_mapping(&client, path)
            .map_err(|error| CommandError::unusable(path.display(), error))?;
    }
    report::print(&client, options)
}

/// The part of the capture to replay, and its speed and connections.
fn choice(options: &Options) -> Result<Choice, CommandError> {
    let connections = parse_connections(&options.connections)?;
    let range = TimeRange {
        from: options.from,
        to: options.until,
    };
    let bounds = range
        .bounds()
        .map_err(|error| CommandError::unusable("pcap replay", error))?;
    if !(options.speed > 0.0 && options.speed <= MAX_SPEED) {
        let reason = format!("{} is not above 0 and up to {MAX_SPEED}", options.speed);
        return Err(CommandError::unusable("--speed", reason));
    }
    Ok(Choice {
        from: bounds.from,
        to: bounds.to,
        speed: options.speed,
        connections,
    })
}

fn parse_connections(text: &str) -> Result<Connections, CommandError> {
    if text == "as-recorded" {
        return Ok(Connections::AsRecorded);
    }
    match text.parse() {
        Ok(number) if (1..=MAX_CONNECTIONS).contains(&number) => Ok(Connections::Number(number)),
        _ => Err(CommandError::unusable(
            "--connections",
            format!("`{text}` is neither `as-recorded` nor 1 to {MAX_CONNECTIONS}"),
        )),
    }
}

fn read_schedule(path: &str, choice: &Choice) -> Result<Schedule, CommandError> {
    let mut collector = Collector::default();
    read_capture(path, |event| collector.take(&event))?;
    if collector.left_out > 0 {
        let reason = format!(
            "{} calls do not fit in memory; choose a time range with --from and --until",
            collector.left_out
        );
        return Err(CommandError::unusable(path, reason));
    }
    let schedule = collector.schedule(choice);
    if schedule.calls.is_empty() {
        return Err(CommandError::unusable(path, "no calls in this time range"));
    }
    Ok(schedule)
}

/// Writes the recorded and the new trace of each call, one JSON object per line.
fn write_mapping(client: &ReplayClient, path: &Path) -> io::Result<()> {
    let mut file = BufWriter::new(File::create(path)?);
    for (recorded, replayed) in client.schedule.calls.iter().zip(&*client.calls.borrow()) {
        let line =
            json!({"recorded": recorded.call.field("trace"), "new": trace_text(replayed.trace)});
        writeln!(file, "{line}")?;
    }
    file.flush()
}

/// A trace in the form that calls carry.
fn trace_text(trace: u64) -> String {
    format!("{trace:016x}")
}
