//! Members of a group on a virtual clock: links that lose, delay and part, disks that crash, fill up and are swapped,
//! clocks that run at their own pace, callers that repeat keyed tickets elsewhere. All of it is the code that serves;
//! one seed gives one run, to the byte of its history.

mod consistency;
mod disk;
mod events;
mod faults;
mod links;
mod members;
mod requests;

use crate::history::{End, Event as Seen, Seen as Line};
use events::{Event, EventKind};
use faults::Ill;
use foldhash::HashMap;
use members::Node;
use nanorand::{Rng, WyRand};
use rainstand_storage::faulty_disk::FaultyDisk;
use requests::Request;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Duration;

const MS: u64 = 1_000_000;

/// For a ticket's answer, and of that for its start to be agreed on.
const WITHIN: u64 = 1_000 * MS;

const START_WITHIN: u64 = 500 * MS;

const WINDOW: u64 = 600_000 * MS;

/// After the faults, for what is open to end and for the group to be whole again.
const AFTER: u64 = 6_000 * MS;

/// What is simulated.
#[derive(Clone, Copy, Debug)]
pub struct World {
    pub nodes: usize,
    pub sites: usize,
    pub shards: u16,
    pub copies: usize,
    /// Virtual time for which callers ask and faults come.
    pub lasts: Duration,
    /// Faults of all kinds, drawn.
    pub faults: usize,
    /// Disks that are swapped for empty or old ones come too.
    pub swaps: bool,
    /// Faults, starts and what members tell go to standard error.
    pub trace: bool,
}

impl Default for World {
    fn default() -> Self {
        Self {
            nodes: 5,
            sites: 3,
            shards: 2,
            copies: 3,
            lasts: Duration::from_secs(12),
            faults: 14,
            swaps: true,
            trace: false,
        }
    }
}

/// What a run came to.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub history: Vec<Line>,
    /// What the history cannot tell: copies that differ, members that do not come back.
    pub wrong: Vec<String>,
    pub events: u64,
    pub restarts: u64,
    pub elections: u64,
    pub swaps: u64,
    /// Keyed tickets that were answered, of all.
    pub answered: (usize, usize),
}

struct Sim {
    world: World,
    now: u64,
    order: u64,
    chance: WyRand,
    events: BinaryHeap<Event>,
    nodes: Vec<Node>,
    tickets: Vec<Request>,
    keys: Vec<usize>,
    ills: Vec<Option<Ill>>,
    /// By shard and term, whoever led: there is never a second.
    leaders: BTreeMap<(u16, u64), u64>,
    /// What was charged, by disk and number of its start.
    charged: BTreeMap<(u64, u64), u64>,
    /// Left out of the configuration just now.
    retired: Option<usize>,
    out: Outcome,
}

fn name(node: usize) -> String {
    format!("n{}", node + 1)
}

/// Plays one seed.
pub fn play(world: &World, seed: u64) -> Outcome {
    let mut sim = Sim {
        world: *world,
        now: 0,
        order: 0,
        chance: WyRand::new_seed(seed),
        events: BinaryHeap::new(),
        nodes: Vec::new(),
        tickets: Vec::new(),
        keys: Vec::new(),
        ills: Vec::new(),
        leaders: BTreeMap::new(),
        charged: BTreeMap::new(),
        retired: None,
        out: Outcome::default(),
    };
    sim.set_up();
    while let Some(event) = sim.events.pop() {
        sim.now = event.at;
        sim.out.events += 1;
        if event.at > sim.end() {
            break;
        }
        sim.happen(event.what);
    }
    sim.compare();
    let keyed = sim.tickets.len();
    let answered = sim.out.history.iter().filter(|line| {
        matches!(
            line.event,
            Seen::End {
                end: End::Answer,
                ..
            }
        )
    });
    sim.out.answered = (answered.count(), keyed);
    sim.out
}

impl Sim {
    fn end(&self) -> u64 {
        self.world.lasts.as_nanos() as u64 + AFTER
    }

    fn draw(&mut self, n: u64) -> u64 {
        self.chance.generate_range(0..n.max(1))
    }

    fn set_up(&mut self) {
        for node in 0..self.world.nodes {
            self.nodes.push(Node {
                disk: FaultyDisk::default(),
                backup: None,
                store: None,
                member: None,
                life: 0,
                stopped: false,
                slow: 0,
                clock: (1_000, 0, 0),
                jobs: VecDeque::new(),
                flushing: false,
                wake: u64::MAX,
                asked: HashMap::default(),
                waiting: VecDeque::new(),
            });
            let after = self.draw(300 * MS);
            self.later(after, EventKind::Up { node });
        }
        let lasts = self.world.lasts.as_nanos() as u64;
        for _ in 0..self.world.faults {
            let at = 1_000 * MS + self.draw(lasts * 8 / 10);
            self.later(at, EventKind::Fault);
        }
        let mut at = 800 * MS;
        while at < lasts {
            at += 5 * MS + self.draw(40 * MS);
            self.later(at, EventKind::Ask { key: None });
        }
    }

    fn trace(&self, what: impl FnOnce() -> String) {
        if self.world.trace {
            eprintln!("{:>9.3} ms  {}", self.now as f64 / 1e6, what());
        }
    }
}
