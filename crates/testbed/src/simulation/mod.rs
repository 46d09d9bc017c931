//! Simulates the members of a group on a virtual clock: links that lose, delay and partition, disks that crash, fill up
//! and are replaced, clocks at wrong rates, callers that repeat requests with an idempotency key at other nodes. The
//! members run the production code. One seed determines the run, to the last byte of its history.
//!
//! | module | content |
//! | --- | --- |
//! | `events` | the event queue, and the dispatch of events |
//! | `members` | starts and crashes of members, calls into them, and their effects |
//! | `disk` | writes and flushes of disks |
//! | `links` | connections, and loss, duplication and delay of frames |
//! | `faults` | faults: drawing, applying and ending them |
//! | `requests` | callers, their requests, and the agents that run them |
//! | `consistency` | comparison of replicas at the end of the run |
//!
//! All times are in nanoseconds on the virtual clock, since the start of the run.

mod consistency;
mod disk;
mod events;
mod faults;
mod links;
mod members;
mod requests;

use crate::history::{Event as HistoryEvent, Observation, RequestEnd};
use events::{Event, EventKind};
use faults::Fault;
use members::Node;
use nanorand::{Rng, WyRand};
use requests::Request;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

const MS: u64 = 1_000_000;
/// Time limit of a request, in nanoseconds.
const REQUEST_TIMEOUT: u64 = 1_000 * MS;
/// Part of it for the group to agree on the start, in nanoseconds.
const START_TIMEOUT: u64 = 500 * MS;
/// Nanoseconds for which a key is retained.
const KEY_WINDOW: u64 = 600_000 * MS;
/// Nanoseconds after the faults for open requests to end and for the group to be complete again.
const SETTLE_TIME: u64 = 6_000 * MS;
/// Members start at drawn times before this one, in nanoseconds.
const START_SPREAD: u64 = 300 * MS;
/// Nanoseconds before the first request, and before the first fault.
const FIRST_REQUEST: u64 = 800 * MS;
const FIRST_FAULT: u64 = 1_000 * MS;

/// Settings of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct SimulationConfig {
    /// Number of members of the group.
    pub nodes: usize,
    /// Number of zones that the members are spread over.
    pub zones: usize,
    /// Number of shards of the group.
    pub shards: u16,
    /// Number of replicas of each shard.
    pub replicas_per_shard: usize,
    /// Virtual time during which requests are sent and faults begin.
    pub duration: Duration,
    /// Number of drawn faults, of all kinds.
    pub faults: usize,
    /// Whether faults also replace disks by empty or old ones.
    pub replaces_disks: bool,
    /// Whether to print faults, starts and events of members to standard error.
    pub trace: bool,
}

impl Default for SimulationConfig {
    fn default() -> Self {
        Self {
            nodes: 5,
            zones: 3,
            shards: 2,
            replicas_per_shard: 3,
            duration: Duration::from_secs(12),
            faults: 14,
            replaces_disks: true,
            trace: false,
        }
    }
}

/// Outcome of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Observations of callers and agents.
    pub history: Vec<Observation>,
    /// Faults that the history cannot show: replicas that diverge, members that do not restart.
    pub faults: Vec<String>,
    /// Number of events handled.
    pub events: u64,
    /// Number of starts of members.
    pub restarts: u64,
    /// Number of leaders elected.
    pub elections: u64,
    /// Number of disks replaced or quarantined.
    pub replaced_disks: u64,
    /// Number of requests served.
    pub served: usize,
    /// Number of requests sent.
    pub requests: usize,
}

/// A run in progress.
struct Simulation {
    config: SimulationConfig,
    now: u64,
    /// Number of events scheduled so far.
    scheduled: u64,
    random: WyRand,
    events: BinaryHeap<Event>,
    nodes: Vec<Node>,
    requests: Vec<Request>,
    /// Numbers of the keys used so far, the newest last.
    keys: Vec<usize>,
    /// All faults so far; `None` for those that have ended.
    faults: Vec<Option<Fault>>,
    /// Disk that led a shard in a term; a second one is a fault.
    leaders: BTreeMap<(u16, u64), u64>,
    /// Microseconds charged, by disk and incarnation.
    charged: BTreeMap<(u64, u64), u64>,
    /// The node that is removed from the configuration at present.
    removed: Option<usize>,
    outcome: Outcome,
}

/// Name of a node by its index.
fn name(node: usize) -> String {
    format!("n{}", node + 1)
}

/// Runs the simulation of one seed.
pub fn play(config: &SimulationConfig, seed: u64) -> Outcome {
    let mut simulation = Simulation {
        config: *config,
        now: 0,
        scheduled: 0,
        random: WyRand::new_seed(seed),
        events: BinaryHeap::new(),
        nodes: Vec::new(),
        requests: Vec::new(),
        keys: Vec::new(),
        faults: Vec::new(),
        leaders: BTreeMap::new(),
        charged: BTreeMap::new(),
        removed: None,
        outcome: Outcome::default(),
    };
    simulation.set_up();
    simulation.run();
    simulation.check_consistency();
    simulation.finish()
}

impl Simulation {
    fn end_time(&self) -> u64 {
        self.config.duration.as_nanos() as u64 + SETTLE_TIME
    }

    /// Draws a number from 0 up to, but not including, `limit`.
    fn draw(&mut self, limit: u64) -> u64 {
        self.random.generate_range(0..limit.max(1))
    }

    /// Schedules the starts of members, the faults and the requests at drawn times.
    fn set_up(&mut self) {
        for node in 0..self.config.nodes {
            self.nodes.push(Node::default());
            let after = self.draw(START_SPREAD);
            self.schedule(after, EventKind::Start { node });
        }
        let duration = self.config.duration.as_nanos() as u64;
        for _ in 0..self.config.faults {
            let at = FIRST_FAULT + self.draw(duration * 8 / 10);
            self.schedule(at, EventKind::BeginFault);
        }
        let mut at = FIRST_REQUEST;
        while at < duration {
            at += 5 * MS + self.draw(40 * MS);
            self.schedule(at, EventKind::SendRequest { key: None });
        }
    }

    fn run(&mut self) {
        while let Some(event) = self.events.pop() {
            self.now = event.at;
            self.outcome.events += 1;
            if event.at > self.end_time() {
                break;
            }
            self.handle(event.kind);
        }
    }

    fn finish(self) -> Outcome {
        let mut outcome = self.outcome;
        let is_served = |observation: &&Observation| {
            matches!(
                observation.event,
                HistoryEvent::Ended {
                    end: RequestEnd::Served,
                    ..
                }
            )
        };
        outcome.served = outcome.history.iter().filter(is_served).count();
        outcome.requests = self.requests.len();
        outcome
    }

    fn trace(&self, text: impl FnOnce() -> String) {
        if self.config.trace {
            eprintln!("{:>9.3} ms  {}", self.now as f64 / 1e6, text());
        }
    }
}
