//! Times until ready, by kind of process, and their forms for people and programs.

use super::options::Options;
use super::process::Kind;
use super::WITHIN;
use serde::Serialize;
use serde_json::json;
use std::io::Write;
use std::time::Duration;
use std::{fmt, io};

/// When what was seen of a process, from its start; none if not before [`MOST`].
#[derive(Clone, Debug, Default)]
pub(super) struct Seen {
    pub(super) listens: Option<Duration>,
    pub(super) listed: Option<Duration>,
    pub(super) answered: Option<Duration>,
    /// Tickets without an answer from an agent before the first with one.
    pub(super) turned_away: u64,
    /// Why the last of them was an exception.
    pub(super) exception: Option<String>,
}

impl Seen {
    /// `in_list`: it has to be in the list, too.
    pub(super) fn ready(&self, in_list: bool) -> Option<Duration> {
        let listed = if in_list {
            self.listed?
        } else {
            Duration::ZERO
        };
        Some(self.listens?.max(self.answered?).max(listed))
    }
}

/// Times of all processes of a kind, milliseconds; none where that one never came to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Times {
    pub ninth_decile_ms: Option<u64>,
    pub worst_ms: Option<u64>,
}

impl Times {
    /// The ninth decile is the smallest time that nine in ten do not exceed.
    pub fn of(times: impl IntoIterator<Item = Option<Duration>>) -> Self {
        let mut all: Vec<u128> = times
            .into_iter()
            .map(|time| time.map_or(u128::MAX, |time| time.as_millis()))
            .collect();
        all.sort_unstable();
        let told = |at: usize| all.get(at).and_then(|ms| u64::try_from(*ms).ok());
        Self {
            ninth_decile_ms: told((all.len() * 9).div_ceil(10).saturating_sub(1)),
            worst_ms: told(all.len().saturating_sub(1)),
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

#[derive(Clone, Debug, Serialize)]
pub struct OfKind {
    pub kind: Kind,
    pub processes: usize,
    /// Before the run gave up on them, and within the ten seconds.
    pub ready: usize,
    pub in_time: usize,
    pub times: Times,
    pub listens: Times,
    /// None where there is no list to be in.
    pub listed: Option<Times>,
    pub answered: Times,
    pub turned_away: u64,
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    pub restarted: Vec<OfKind>,
    /// The same of the very first start, with empty disks.
    pub first: Vec<OfKind>,
    /// Reports of nodes that nobody could connect to yet.
    pub told_before_listening: u64,
    /// Processes that ended by themselves, or not when they were told.
    pub fell: Vec<String>,
    /// Where the announce service was down or silent: nodes in the list once it was back, and how long that took.
    pub back_in_list: usize,
    pub back: Option<Times>,
    /// Keys on the disks before the restart; those asked for again after it, and those whose result was the same.
    pub keys: usize,
    pub keys_asked: usize,
    pub keys_kept: usize,
    /// Nodes, members among them.
    pub nodes: usize,
}

impl Report {
    /// All but the times: the same on any machine.
    pub fn is_complete(&self) -> bool {
        self.fell.is_empty()
            && self.told_before_listening == 0
            && self
                .restarted
                .iter()
                .all(|kind| kind.ready == kind.processes)
            && (self.back.is_none() || self.back_in_list == self.nodes)
            && self.keys_kept == self.keys_asked
    }

    /// Nine in ten of each kind in time, and all else as it should be.
    pub fn meets_target(&self) -> bool {
        self.is_complete()
            && self
                .restarted
                .iter()
                .all(|kind| kind.in_time * 10 >= kind.processes * 9)
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
    for (when, kinds) in [
        ("first start", &report.first),
        ("restarted", &report.restarted),
    ] {
        for kind in kinds {
            let name = format!("{:?}", kind.kind).to_lowercase();
            writeln!(
                out,
                "{when}: {} of {} {name}s ready, {} within {} s; {}; {} tickets turned away before",
                kind.ready,
                kind.processes,
                kind.in_time,
                WITHIN.as_secs(),
                kind.times,
                kind.turned_away
            )?;
            writeln!(out, "  listens: {}", kind.listens)?;
            if let Some(listed) = kind.listed {
                writeln!(out, "  in the list: {listed}")?;
            }
            writeln!(out, "  answered: {}", kind.answered)?;
        }
    }
    if let Some(back) = report.back {
        let (back_in, nodes) = (report.back_in_list, report.nodes);
        writeln!(
            out,
            "announce service back: {back_in} of {nodes} nodes in the list; {back}"
        )?;
    }
    if report.keys > 0 {
        let (kept, asked) = (report.keys_kept, report.keys_asked);
        writeln!(
            out,
            "{} keys on the disks; {kept} of {asked} asked for again had their result",
            report.keys
        )?;
    }
    if report.told_before_listening > 0 {
        writeln!(
            out,
            "broken: {} reports before listening",
            report.told_before_listening
        )?;
    }
    for fell in &report.fell {
        writeln!(out, "fell over: {fell}")?;
    }
    let verdict = if report.meets_target() {
        "nine in ten in time"
    } else {
        "not as it should be"
    };
    writeln!(out, "{verdict}")
}
