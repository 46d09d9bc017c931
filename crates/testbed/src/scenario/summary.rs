//! What a run came to: its history gathered from all processes, and how much was answered.

use crate::fault_schedule::{Act, Disk, Step, Trouble};
use crate::history;
use serde::Serialize;
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::path::{Path, PathBuf};
use std::{fs, io};

/// What a run came to.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    pub seed: u64,
    pub broken: Vec<crate::check::Break>,
    /// What went wrong with the processes themselves.
    pub fell: Vec<String>,
    pub tally: crate::check::Tally,
    pub kills: u64,
    /// Kills of whoever led most shards.
    pub chased: u64,
    /// Times that a node set its files aside, as they told at the end.
    pub set_asides: u64,
    pub faults: usize,
    pub resets: u64,
    /// By kind of fault: tickets asked meanwhile, and the share of them that was answered.
    pub during: BTreeMap<&'static str, (usize, f64)>,
    /// Of all tickets.
    pub answered: f64,
    /// Largest time between two answers of keyed tickets, ms.
    pub longest_gap_ms: u64,
}

impl Report {
    pub fn good(&self) -> bool {
        self.broken.is_empty() && self.fell.is_empty()
    }
}

/// All parts of the history, as one file too.
pub(super) fn gather(folder: &Path) -> io::Result<Vec<history::Seen>> {
    let mut parts: Vec<PathBuf> = fs::read_dir(folder)?
        .filter_map(|e| Some(e.ok()?.path()))
        .collect();
    parts.retain(|path| path.extension().is_some_and(|end| end == "part"));
    parts.sort();
    let whole = folder.join("history.jsonl");
    let mut out = fs::File::create(&whole)?;
    for part in parts {
        out.write_all(&fs::read(part)?)?;
    }
    let read = history::read(BufReader::new(fs::File::open(&whole)?));
    read.map(|(seen, _)| seen).map_err(io::Error::other)
}

/// How much was answered, in all and while each kind of fault went on.
pub(super) fn service(seen: &[history::Seen], steps: &[Step], report: &mut Report) {
    use history::{End, Event};
    let mut answered = std::collections::HashSet::new();
    let mut times = Vec::new();
    for one in seen {
        if let Event::End {
            ticket,
            end: End::Answer,
            ..
        } = &one.event
        {
            answered.insert((one.by.as_str(), ticket.as_str()));
        }
    }
    let asked: Vec<(u64, bool, bool)> = seen
        .iter()
        .filter_map(|one| match &one.event {
            Event::Ask { ticket, key, .. } => Some((
                one.at,
                key.is_some(),
                answered.contains(&(one.by.as_str(), ticket.as_str())),
            )),
            _ => None,
        })
        .collect();
    let share = |of: &[&(u64, bool, bool)]| {
        of.iter().filter(|one| one.2).count() as f64 / of.len().max(1) as f64
    };
    report.answered = share(&asked.iter().collect::<Vec<_>>());
    let begun = asked.iter().map(|one| one.0).min().unwrap_or(0);
    for step in steps {
        let (from, until) = (
            begun + step.from.as_nanos() as u64,
            begun + step.until.as_nanos() as u64,
        );
        let during: Vec<_> = asked
            .iter()
            .filter(|one| one.1 && (from..until).contains(&one.0))
            .collect();
        if !during.is_empty() {
            let entry = report.during.entry(kind(&step.act)).or_insert((0, 0.0));
            let before = entry.1 * entry.0 as f64;
            entry.0 += during.len();
            entry.1 = (before + share(&during) * during.len() as f64) / entry.0 as f64;
        }
    }
    let keyed: std::collections::HashSet<_> = seen
        .iter()
        .filter_map(|one| match &one.event {
            Event::Ask {
                ticket,
                key: Some(_),
                ..
            } => Some((one.by.as_str(), ticket.as_str())),
            _ => None,
        })
        .collect();
    for one in seen {
        if let Event::End {
            ticket,
            end: End::Answer,
            ..
        } = &one.event
        {
            if keyed.contains(&(one.by.as_str(), ticket.as_str())) {
                times.push(one.at);
            }
        }
    }
    times.sort_unstable();
    let gap = times
        .windows(2)
        .map(|two| two[1] - two[0])
        .max()
        .unwrap_or(0);
    report.longest_gap_ms = gap / 1_000_000;
}

/// A fault's name in reports.
pub fn kind(act: &Act) -> &'static str {
    match act {
        Act::Link {
            trouble:
                Trouble::Cut {
                    forth: true,
                    back: true,
                },
            ..
        } => "cut",
        Act::Link {
            trouble: Trouble::Cut { .. },
            ..
        } => "cut one way",
        Act::Link {
            trouble: Trouble::HalfOpen,
            ..
        } => "half open",
        Act::Link {
            trouble: Trouble::Delay(_),
            ..
        } => "delay",
        Act::Link {
            trouble: Trouble::Throttle(_),
            ..
        } => "throttle",
        Act::Link {
            trouble: Trouble::Stall,
            ..
        } => "stall",
        Act::Reset { .. } => "reset",
        Act::Twice { .. } => "twice",
        Act::Kill {
            disk: Disk::Same, ..
        } => "kill",
        Act::Kill {
            disk: Disk::Empty, ..
        } => "kill, empty disk",
        Act::Kill {
            disk: Disk::Old, ..
        } => "kill, old disk",
        Act::Kill {
            disk: Disk::Another { .. },
            ..
        } => "kill, another's disk",
        Act::Chase { .. } => "leader killed",
        Act::Stop { .. } => "stop",
        Act::Roll { .. } => "roll",
        Act::FlushFails { .. } => "flush fails",
        Act::DiskFull { .. } => "disk full",
        Act::DiskSlow { .. } => "disk slow",
        Act::Torn { .. } => "torn",
        Act::Clock { .. } => "clock",
    }
}
