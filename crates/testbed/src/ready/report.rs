//! Times until ready by kind of process, and their text and JSON output.

use super::options::Options;
use super::process::Kind;
use super::READY_TARGET;
use serde::Serialize;
use serde_json::json;
use std::io::Write;
use std::time::Duration;
use std::{fmt, io};

/// Time from the start of a process to each readiness sign; none if it was not observed in time.
#[derive(Clone, Debug, Default)]
pub(super) struct StartupTimes {
    pub(super) listens: Option<Duration>,
    pub(super) registered: Option<Duration>,
    pub(super) answered: Option<Duration>,
    /// Number of answers without a result before the first one with a result.
    rejected: u64,
    /// Message of the last of these answers, if it was an exception.
    pub(super) exception: Option<String>,
}

impl StartupTimes {
    pub(super) fn record_unserved(&mut self, exception: Option<String>) {
        self.rejected += 1;
        self.exception = exception;
    }

    /// Time until the process was ready, including its registration if `must_register`.
    fn ready(&self, must_register: bool) -> Option<Duration> {
        let registered = if must_register {
            self.registered?
        } else {
            Duration::ZERO
        };
        Some(self.listens?.max(self.answered?).max(registered))
    }
}

/// Summary of a time over all processes of a kind; none where the process at that rank never reached the state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ReadyTimes {
    /// The smallest time that nine in ten processes do not exceed, in milliseconds.
    pub ninth_decile_ms: Option<u64>,
    /// The largest time, in milliseconds.
    pub worst_ms: Option<u64>,
}

impl ReadyTimes {
    /// Summarises the times of all processes; a process that never reached the state has none.
    pub fn from_durations(times: impl IntoIterator<Item = Option<Duration>>) -> Self {
        let mut all: Vec<u128> = times
            .into_iter()
            .map(|time| time.map_or(u128::MAX, |time| time.as_millis()))
            .collect();
        all.sort_unstable();
        let ms_at = |index: usize| all.get(index).and_then(|ms| u64::try_from(*ms).ok());
        Self {
            ninth_decile_ms: ms_at((all.len() * 9).div_ceil(10).saturating_sub(1)),
            worst_ms: ms_at(all.len().saturating_sub(1)),
        }
    }
}

impl fmt::Display for ReadyTimes {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms =
            |time: Option<u64>| time.map_or_else(|| "never".to_owned(), |ms| format!("{ms} ms"));
        write!(
            out,
            "ninth decile {}, worst {}",
            ms(self.ninth_decile_ms),
            ms(self.worst_ms)
        )
    }
}

/// Results of one start of all processes of a kind.
#[derive(Clone, Debug, Serialize)]
pub struct KindReport {
    /// Kind of the processes.
    pub kind: Kind,
    /// Number of processes.
    pub processes: usize,
    /// Number of processes that were ready before their timeout.
    pub ready: usize,
    /// Number of processes that were ready within [`READY_TARGET`].
    pub in_time: usize,
    /// Times until ready.
    pub times: ReadyTimes,
    /// Times until the processes accepted connections.
    pub listens: ReadyTimes,
    /// Times until registered; none if registration is not required.
    #[serde(rename = "listed")]
    pub registered: Option<ReadyTimes>,
    /// Times until the first answer with a result.
    pub answered: ReadyTimes,
    /// Number of answers without a result before that.
    #[serde(rename = "turned_away")]
    pub rejected: u64,
}

impl KindReport {
    pub(super) fn new(kind: Kind, times: &[&StartupTimes], must_register: bool) -> Self {
        let ready: Vec<Option<Duration>> = times
            .iter()
            .map(|process| process.ready(must_register))
            .collect();
        let in_time = |time: &&Duration| **time <= READY_TARGET;
        Self {
            kind,
            processes: times.len(),
            ready: ready.iter().flatten().count(),
            in_time: ready.iter().flatten().filter(in_time).count(),
            times: ReadyTimes::from_durations(ready),
            listens: ReadyTimes::from_durations(times.iter().map(|process| process.listens)),
            registered: must_register.then(|| {
                ReadyTimes::from_durations(times.iter().map(|process| process.registered))
            }),
            answered: ReadyTimes::from_durations(times.iter().map(|process| process.answered)),
            rejected: times.iter().map(|process| process.rejected).sum(),
        }
    }

    fn write(&self, out: &mut impl Write, start: &str) -> io::Result<()> {
        let kind = format!("{:?}", self.kind).to_lowercase();
        writeln!(
            out,
            "{start}: {} of {} {kind}s ready, {} within {} s; {}; {} tickets turned away before",
            self.ready,
            self.processes,
            self.in_time,
            READY_TARGET.as_secs(),
            self.times,
            self.rejected
        )?;
        writeln!(out, "  listens: {}", self.listens)?;
        if let Some(registered) = self.registered {
            writeln!(out, "  in the list: {registered}")?;
        }
        writeln!(out, "  answered: {}", self.answered)
    }
}

/// Results of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Results of the restart, by kind.
    pub restarted: Vec<KindReport>,
    /// Results of the first start, with empty disks, by kind.
    pub first: Vec<KindReport>,
    /// Number of reports to the registry from nodes that did not accept connections yet.
    #[serde(rename = "told_before_listening")]
    pub early_reports: u64,
    /// Processes that exited by themselves, or did not exit when signalled.
    #[serde(rename = "fell")]
    pub process_faults: Vec<String>,
    /// If the registry was down or silent: number of nodes that registered once it was back.
    #[serde(rename = "back_in_list")]
    pub reregistered_nodes: usize,
    /// Times from the return of the registry until these nodes were registered.
    #[serde(rename = "back")]
    pub reregistration_times: Option<ReadyTimes>,
    /// Number of keys on the disks before the restart.
    pub keys: usize,
    /// Number of keys requested again after the restart.
    #[serde(rename = "keys_asked")]
    pub keys_checked: usize,
    /// Number of these keys with the same result as before.
    #[serde(rename = "keys_kept")]
    pub keys_preserved: usize,
    /// Number of nodes, including members.
    pub nodes: usize,
}

impl Report {
    /// Whether all checks except those of the times passed; does not depend on the machine's speed.
    pub fn is_complete(&self) -> bool {
        let all_ready = |kind: &KindReport| kind.ready == kind.processes;
        self.process_faults.is_empty()
            && self.early_reports == 0
            && self.restarted.iter().all(all_ready)
            && (self.reregistration_times.is_none() || self.reregistered_nodes == self.nodes)
            && self.keys_preserved == self.keys_checked
    }

    /// Whether nine in ten processes of each kind were ready in time, and all other checks passed.
    pub fn meets_target(&self) -> bool {
        let in_time = |kind: &KindReport| kind.in_time * 10 >= kind.processes * 9;
        self.is_complete() && self.restarted.iter().all(in_time)
    }
}

/// Writes a report as text or as one JSON object.
///
/// # Errors
/// If the report cannot be written.
pub fn write_report(
    out: &mut impl Write,
    options: &Options,
    report: &Report,
    as_json: bool,
) -> io::Result<()> {
    if as_json {
        let all = json!({"good": report.meets_target(), "whole": report.is_complete(), "asked": options, "report": report});
        return writeln!(out, "{all}");
    }
    for kind in &report.first {
        kind.write(out, "first start")?;
    }
    for kind in &report.restarted {
        kind.write(out, "restarted")?;
    }
    if let Some(reregistration_times) = report.reregistration_times {
        let (reregistered, nodes) = (report.reregistered_nodes, report.nodes);
        writeln!(
            out,
            "announce service back: {reregistered} of {nodes} nodes in the list; {reregistration_times}"
        )?;
    }
    if report.keys > 0 {
        let (preserved, checked) = (report.keys_preserved, report.keys_checked);
        writeln!(
            out,
            "{} keys on the disks; {preserved} of {checked} asked for again had their result",
            report.keys
        )?;
    }
    if report.early_reports > 0 {
        writeln!(
            out,
            "broken: {} reports before listening",
            report.early_reports
        )?;
    }
    for fault in &report.process_faults {
        writeln!(out, "fell over: {fault}")?;
    }
    let verdict = if report.meets_target() {
        "nine in ten in time"
    } else {
        "not as it should be"
    };
    writeln!(out, "{verdict}")
}
