//! Members of a group on a virtual clock: links that lose, delay and part, disks that crash, fill up and are replaced,
//! clocks that run at their own pace, callers that repeat requests with an idempotency key elsewhere. All of it is the
//! code that serves; one seed gives one run, to the byte of its history.
//!
//! | module | what it is |
//! | --- | --- |
//! | `events` | events in the order of their times, and who handles each |
//! | `members` | starts and crashes of members, calls into them, and what follows from a call |
//! | `disk` | writes and flushes |
//! | `links` | connections, and frames that are lost, doubled and delayed |
//! | `faults` | faults that are drawn, and their ends |
//! | `requests` | callers, their requests, and the agents that run them |
//! | `consistency` | replicas against each other, at the end |
//!
//! All times are nanoseconds of the virtual clock since the run began.

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
/// For a request's answer.
const REQUEST_TIMEOUT: u64 = 1_000 * MS;
/// Of that, for its start to be agreed on.
const START_TIMEOUT: u64 = 500 * MS;
/// For how long a key is remembered.
const KEY_WINDOW: u64 = 600_000 * MS;
/// After the faults, for what is open to end and for the group to be complete again.
const SETTLE_TIME: u64 = 6_000 * MS;
/// Members start at drawn times up to this one.
const START_SPREAD: u64 = 300 * MS;
/// The first request is sent after this time, the first fault begins after that one.
const FIRST_REQUEST: u64 = 800 * MS;
const FIRST_FAULT: u64 = 1_000 * MS;

/// What is simulated.
#[derive(Clone, Copy, Debug)]
pub struct SimulationConfig {
    /// Members of the group.
    pub nodes: usize,
    /// Sites that the members are spread over.
    pub sites: usize,
    /// Shards of the group.
    pub shards: u16,
    /// Replicas of each shard.
    pub replicas_per_shard: usize,
    /// Virtual time for which requests are sent and faults begin.
    pub duration: Duration,
    /// Faults of all kinds, drawn.
    pub faults: usize,
    /// Whether disks are replaced by empty or old ones too.
    pub replaces_disks: bool,
    /// Faults, starts and events of members go to standard error.
    pub trace: bool,
}

impl Default for SimulationConfig {
    fn default() -> Self {
        Self {
            nodes: 5,
            sites: 3,
            shards: 2,
            replicas_per_shard: 3,
            duration: Duration::from_secs(12),
            faults: 14,
            replaces_disks: true,
            trace: false,
        }
    }
}

/// What a run came to.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// What callers and agents saw.
    pub history: Vec<Observation>,
    /// What the history cannot show: replicas that diverge, members that do not come back.
    pub faults: Vec<String>,
    /// Events that were handled.
    pub events: u64,
    /// Starts of members.
    pub restarts: u64,
    /// Leaders that were elected.
    pub elections: u64,
    /// Disks that were replaced or quarantined.
    pub replaced_disks: u64,
    /// Requests that were served.
    pub served: usize,
    /// Requests that were sent.
    pub requests: usize,
}

/// A run that is going on.
struct Simulation {
    config: SimulationConfig,
    now: u64,
    /// Events that were scheduled so far.
    scheduled: u64,
    random: WyRand,
    events: BinaryHeap<Event>,
    nodes: Vec<Node>,
    requests: Vec<Request>,
    /// Numbers of the keys that were used, the newest last.
    keys: Vec<usize>,
    /// All faults so far; none where one has ended.
    faults: Vec<Option<Fault>>,
    /// The disk that led a shard in a term: there is never a second.
    leaders: BTreeMap<(u16, u64), u64>,
    /// What was charged, by disk and incarnation.
    charged: BTreeMap<(u64, u64), u64>,
    /// The node that the configuration leaves out just now.
    removed: Option<usize>,
    outcome: Outcome,
}

/// Name of a node by its index.
fn name(node: usize) -> String {
    format!("n{}", node + 1)
}

/// Plays one seed.
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
    fn end(&self) -> u64 {
        self.config.duration.as_nanos() as u64 + SETTLE_TIME
    }

    /// From 0 to under `n`.
    fn draw(&mut self, n: u64) -> u64 {
        self.random.generate_range(0..n.max(1))
    }

    /// Draws when members start, faults begin and requests are sent.
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
            if event.at > self.end() {
                break;
            }
            self.handle(event.kind);
        }
    }

    fn finish(self) -> Outcome {
        let mut outcome = self.outcome;
        let is_served = |seen: &&Observation| {
            matches!(
                seen.event,
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
