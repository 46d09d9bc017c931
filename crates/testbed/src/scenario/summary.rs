//! Summary of a run: its history collected from all processes, and the share of requests that were served.

use crate::check::{Tally, Violation};
use crate::fault_schedule::{FaultAction, FaultStep, LinkFault, RestartDisk};
use crate::history::{self, Event, Observation, RequestEnd};
use serde::Serialize;
use std::collections::{BTreeMap, HashSet};
use std::io::{BufReader, Write};
use std::path::{Path, PathBuf};
use std::{fs, io};

/// Outcome of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Violations of the invariants.
    #[serde(rename = "broken")]
    pub violations: Vec<Violation>,
    /// Failures of processes and of the injection of faults.
    #[serde(rename = "fell")]
    pub process_faults: Vec<String>,
    /// Counts of the events in the history.
    pub tally: Tally,
    /// Number of processes that were killed.
    pub kills: u64,
    /// Number of kills of the node that led the most shards.
    #[serde(rename = "chased")]
    pub leader_kills: u64,
    /// Number of times that nodes quarantined their files, as they report at the end of the run.
    #[serde(rename = "set_asides")]
    pub quarantines: u64,
    /// Number of faults in the schedule.
    pub faults: usize,
    /// Number of connections that were reset on the links.
    pub resets: u64,
    /// Service of requests with an idempotency key, by kind of fault.
    #[serde(rename = "during")]
    pub by_fault: BTreeMap<&'static str, FaultService>,
    /// Share of all requests that were served.
    #[serde(rename = "answered")]
    pub served_share: f64,
    /// Longest time between two answers to requests with an idempotency key, in milliseconds.
    pub longest_gap_ms: u64,
}

impl Report {
    /// Whether no invariant was violated and no process failed.
    pub fn is_clean(&self) -> bool {
        self.violations.is_empty() && self.process_faults.is_empty()
    }
}

/// Service of the requests that were sent while faults of one kind were active.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
#[serde(into = "(usize, f64)")]
pub struct FaultService {
    /// Number of requests.
    pub requests: usize,
    /// Share of them that was served.
    pub served_share: f64,
}

impl From<FaultService> for (usize, f64) {
    fn from(service: FaultService) -> Self {
        (service.requests, service.served_share)
    }
}

impl FaultService {
    /// Adds requests; the share becomes the mean weighted by the numbers of requests.
    fn add(&mut self, requests: usize, served_share: f64) {
        let before = self.served_share * self.requests as f64;
        self.requests += requests;
        self.served_share = (before + served_share * requests as f64) / self.requests as f64;
    }
}

/// Reads all parts of the history, and joins them in one file.
pub(super) fn read_parts(folder: &Path) -> io::Result<Vec<Observation>> {
    let mut parts: Vec<PathBuf> = fs::read_dir(folder)?
        .filter_map(|entry| Some(entry.ok()?.path()))
        .collect();
    parts.retain(|path| path.extension().is_some_and(|end| end == "part"));
    parts.sort();
    let path = folder.join("history.jsonl");
    let mut out = fs::File::create(&path)?;
    for part in parts {
        out.write_all(&fs::read(part)?)?;
    }
    let (history, _) =
        history::read_history(BufReader::new(fs::File::open(&path)?)).map_err(io::Error::other)?;
    Ok(history)
}

/// A request in the history.
struct Request {
    at: u64,
    has_key: bool,
    is_served: bool,
}

/// A request's caller and name.
type RequestName<'h> = (&'h str, &'h str);

/// Computes the share of requests that were served, in total and while each kind of fault was active.
pub(super) fn summarize(history: &[Observation], steps: &[FaultStep], report: &mut Report) {
    let requests = requests_of(history);
    report.served_share = served_share(requests.iter());
    let started = requests.iter().map(|request| request.at).min().unwrap_or(0);
    for step in steps {
        let from = started + step.from.as_nanos() as u64;
        let until = started + step.until.as_nanos() as u64;
        let during = || {
            requests
                .iter()
                .filter(|request| request.has_key && (from..until).contains(&request.at))
        };
        let count = during().count();
        if count > 0 {
            let service = report.by_fault.entry(fault_name(&step.action)).or_default();
            service.add(count, served_share(during()));
        }
    }
    report.longest_gap_ms = longest_gap_ns(history) / 1_000_000;
}

fn requests_of(history: &[Observation]) -> Vec<Request> {
    let served: HashSet<RequestName<'_>> = served_requests(history)
        .map(|(_, request)| request)
        .collect();
    let request = |observation: &Observation| match &observation.event {
        Event::Requested { request, key, .. } => Some(Request {
            at: observation.at,
            has_key: key.is_some(),
            is_served: served.contains(&(observation.observer.as_str(), request.as_str())),
        }),
        _ => None,
    };
    history.iter().filter_map(request).collect()
}

/// Answers with a result: the time of each and its request.
fn served_requests(history: &[Observation]) -> impl Iterator<Item = (u64, RequestName<'_>)> {
    history
        .iter()
        .filter_map(|observation| match &observation.event {
            Event::Ended {
                request,
                end: RequestEnd::Served,
                ..
            } => Some((
                observation.at,
                (observation.observer.as_str(), request.as_str()),
            )),
            _ => None,
        })
}

fn served_share<'r>(requests: impl Iterator<Item = &'r Request>) -> f64 {
    let (mut served, mut all) = (0_usize, 0_usize);
    for request in requests {
        served += usize::from(request.is_served);
        all += 1;
    }
    served as f64 / all.max(1) as f64
}

/// Longest time between two answers to requests with a key.
fn longest_gap_ns(history: &[Observation]) -> u64 {
    let keyed: HashSet<RequestName<'_>> = history
        .iter()
        .filter_map(|observation| match &observation.event {
            Event::Requested {
                request,
                key: Some(_),
                ..
            } => Some((observation.observer.as_str(), request.as_str())),
            _ => None,
        })
        .collect();
    let mut times: Vec<u64> = served_requests(history)
        .filter(|(_, request)| keyed.contains(request))
        .map(|(at, _)| at)
        .collect();
    times.sort_unstable();
    let gaps = times.windows(2).map(|pair| pair[1] - pair[0]);
    gaps.max().unwrap_or(0)
}

/// Name of a fault in reports.
pub fn fault_name(action: &FaultAction) -> &'static str {
    match action {
        FaultAction::Link {
            fault:
                LinkFault::Cut {
                    forth: true,
                    back: true,
                },
            ..
        } => "cut",
        FaultAction::Link {
            fault: LinkFault::Cut { .. },
            ..
        } => "cut one way",
        FaultAction::Link {
            fault: LinkFault::HalfOpen,
            ..
        } => "half open",
        FaultAction::Link {
            fault: LinkFault::Delay(_),
            ..
        } => "delay",
        FaultAction::Link {
            fault: LinkFault::Throttle(_),
            ..
        } => "throttle",
        FaultAction::Link {
            fault: LinkFault::Stall,
            ..
        } => "stall",
        FaultAction::Reset { .. } => "reset",
        FaultAction::DuplicateFrame { .. } => "twice",
        FaultAction::Kill {
            disk: RestartDisk::Same,
            ..
        } => "kill",
        FaultAction::Kill {
            disk: RestartDisk::Empty,
            ..
        } => "kill, empty disk",
        FaultAction::Kill {
            disk: RestartDisk::Old,
            ..
        } => "kill, old disk",
        FaultAction::Kill {
            disk: RestartDisk::Another { .. },
            ..
        } => "kill, another's disk",
        FaultAction::KillLeader { .. } => "leader killed",
        FaultAction::Stop { .. } => "stop",
        FaultAction::RollingRestart { .. } => "roll",
        FaultAction::FlushFails { .. } => "flush fails",
        FaultAction::DiskFull { .. } => "disk full",
        FaultAction::DiskSlow { .. } => "disk slow",
        FaultAction::TornWrite { .. } => "torn",
        FaultAction::Clock { .. } => "clock",
    }
}
