//! `rainstand pcap replay`: the calls of a capture, sent again with their timing.
//!
//! Open loop: what is sent when was decided before ([`rainstand_capture::schedule`]), and a slow node does not slow it.
//! Each recorded connection is one here; a connection that breaks ends its open calls, and the next call opens it anew.
//! Calls get a new `trace` and `born`, all else goes as it was recorded.

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

/// Connections that `--connections` may ask for.
const MAX_CONNECTIONS: usize = 10_000;
/// How many times as fast as recorded a replay may be.
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
    let wait = Duration::try_from_secs_f64(options.wait)
        .map_err(|_| CommandError::unusable("--wait", format!("{} is no time", options.wait)))?;
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

/// What of the capture is replayed, and how.
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
            "{} calls do not fit in memory; choose a stretch with --from and --until",
            collector.left_out
        );
        return Err(CommandError::unusable(path, reason));
    }
    let schedule = collector.schedule(choice);
    if schedule.calls.is_empty() {
        return Err(CommandError::unusable(path, "no calls in this stretch"));
    }
    Ok(schedule)
}

/// Writes each call's recorded and new trace, a JSON object a line.
fn write_mapping(client: &ReplayClient, path: &Path) -> io::Result<()> {
    let mut file = BufWriter::new(File::create(path)?);
    for (recorded, replayed) in client.schedule.calls.iter().zip(&*client.calls.borrow()) {
        let line =
            json!({"recorded": recorded.call.field("trace"), "new": trace_text(replayed.trace)});
        writeln!(file, "{line}")?;
    }
    file.flush()
}

/// A trace as it stands in a call.
fn trace_text(trace: u64) -> String {
    format!("{trace:016x}")
}
