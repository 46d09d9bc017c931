//! Times until ready, by kind of process, and their forms for people and programs.

use super::options::Options;
use super::process::Kind;
use super::READY_TARGET;
use serde::Serialize;
use serde_json::json;
use std::io::Write;
use std::time::Duration;
use std::{fmt, io};

/// When each sign of life of a process was seen, from its start; none if not in time.
#[derive(Clone, Debug, Default)]
pub(super) struct StartupTimes {
    pub(super) listens: Option<Duration>,
    pub(super) registered: Option<Duration>,
    pub(super) answered: Option<Duration>,
    /// Answers without a result before the first one with a result.
    rejected: u64,
    /// What the last of them said, if it was an exception.
    pub(super) exception: Option<String>,
}

impl StartupTimes {
    pub(super) fn record_unserved(&mut self, exception: Option<String>) {
        self.rejected += 1;
        self.exception = exception;
    }

    /// When the process was ready, which may ask for it to be registered too.
    fn ready(&self, must_register: bool) -> Option<Duration> {
        let registered = if must_register {
            self.registered?
        } else {
            Duration::ZERO
        };
        Some(self.listens?.max(self.answered?).max(registered))
    }
}

/// Times of all processes of a kind; none where the process at that place never came to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Times {
    /// The smallest time that nine in ten processes do not exceed, in milliseconds.
    pub ninth_decile_ms: Option<u64>,
    /// The largest time, in milliseconds.
    pub worst_ms: Option<u64>,
}

impl Times {
    /// Of all processes; none for one that never came to it.
    pub fn of(times: impl IntoIterator<Item = Option<Duration>>) -> Self {
        let mut all: Vec<u128> = times
            .into_iter()
            .map(|time| time.map_or(u128::MAX, |time| time.as_millis()))
            .collect();
        all.sort_unstable();
        let at = |index: usize| all.get(index).and_then(|ms| u64::try_from(*ms).ok());
        Self {
            ninth_decile_ms: at((all.len() * 9).div_ceil(10).saturating_sub(1)),
            worst_ms: at(all.len().saturating_sub(1)),
        }
    }
}

impl fmt::Display for Times {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = |of: Option<u64>| of.map_or_else(|| "never".to_owned(), |ms| format!("{ms} ms"));
        write!(
            out,
            "ninth decile {}, worst {}",
            ms(self.ninth_decile_ms),
            ms(self.worst_ms)
        )
    }
}

/// What one start of all processes of a kind came to.
#[derive(Clone, Debug, Serialize)]
pub struct KindReport {
    /// What the processes are.
    pub kind: Kind,
    /// How many there are.
    pub processes: usize,
    /// How many were ready before the run gave up on them.
    pub ready: usize,
    /// How many were ready within [`READY_TARGET`].
    pub in_time: usize,
    /// Until ready.
    pub times: Times,
    /// Until somebody could connect.
    pub listens: Times,
    /// Until registered; none where there is no registry to be in.
    #[serde(rename = "listed")]
    pub registered: Option<Times>,
    /// Until the first answer with a result.
    pub answered: Times,
    /// Answers without a result before that.
    #[serde(rename = "turned_away")]
    pub rejected: u64,
}

impl KindReport {
    pub(super) fn new(kind: Kind, times: &[&StartupTimes], must_register: bool) -> Self {
        let ready: Vec<Option<Duration>> =
            times.iter().map(|one| one.ready(must_register)).collect();
        let in_time = |time: &&Duration| **time <= READY_TARGET;
        Self {
            kind,
            processes: times.len(),
            ready: ready.iter().flatten().count(),
            in_time: ready.iter().flatten().filter(in_time).count(),
            times: Times::of(ready),
            listens: Times::of(times.iter().map(|one| one.listens)),
            registered: must_register.then(|| Times::of(times.iter().map(|one| one.registered))),
            answered: Times::of(times.iter().map(|one| one.answered)),
            rejected: times.iter().map(|one| one.rejected).sum(),
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

/// What a run came to.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// The restart, by kind.
    pub restarted: Vec<KindReport>,
    /// The first start, with empty disks, by kind.
    pub first: Vec<KindReport>,
    /// Reports to the registry of nodes that nobody could connect to yet.
    #[serde(rename = "told_before_listening")]
    pub early_reports: u64,
    /// Processes that ended by themselves, or not when they were told.
    #[serde(rename = "fell")]
    pub process_faults: Vec<String>,
    /// Where the registry was down or silent: nodes in its list once it was back.
    pub back_in_list: usize,
    /// How long that took.
    pub back: Option<Times>,
    /// Keys on the disks before the restart.
    pub keys: usize,
    /// Keys that were asked for again after it.
    #[serde(rename = "keys_asked")]
    pub keys_checked: usize,
    /// Those of them whose result was the same.
    #[serde(rename = "keys_kept")]
    pub keys_preserved: usize,
    /// Nodes, members among them.
    pub nodes: usize,
}

impl Report {
    /// Whether all is as it should be but for the times: the same on any machine.
    pub fn is_complete(&self) -> bool {
        let all_ready = |kind: &KindReport| kind.ready == kind.processes;
        self.process_faults.is_empty()
            && self.early_reports == 0
            && self.restarted.iter().all(all_ready)
            && (self.back.is_none() || self.back_in_list == self.nodes)
            && self.keys_preserved == self.keys_checked
    }

    /// Whether nine in ten of each kind were in time, and all else is as it should be.
    pub fn meets_target(&self) -> bool {
        let in_time = |kind: &KindReport| kind.in_time * 10 >= kind.processes * 9;
        self.is_complete() && self.restarted.iter().all(in_time)
    }
}

/// Writes a report for people or as one JSON object.
///
/// # Errors
/// If it cannot be written.
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
    if let Some(back) = report.back {
        let (back_in, nodes) = (report.back_in_list, report.nodes);
        writeln!(
            out,
            "announce service back: {back_in} of {nodes} nodes in the list; {back}"
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
