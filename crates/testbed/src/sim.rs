//! Members of a group on a virtual clock: links that lose, delay and part, disks that crash, fill up and are swapped,
//! clocks that run at their own pace, callers that repeat keyed tickets elsewhere. All of it is the code that serves;
//! one seed gives one run, to the byte of its history.

use crate::history::{End, Event as Seen, Seen as Line};
use bytes::Bytes;
use foldhash::HashMap;
use nanorand::{Rng, WyRand};
use prost::Message as _;
use rainstand_cluster::persistence::{append, decode_recovered};
use rainstand_raft::Timeouts;
use rainstand_replicated_state::frames::Frame;
use rainstand_replicated_state::idempotency::{ClaimOutcome, Command, Operation, Start};
use rainstand_replicated_state::idempotent_request::{
    transition, RequestAction, RequestEvent, RequestStage, RunEnd, Transition,
};
use rainstand_replicated_state::member::{
    Effects, GroupEvent, GroupMember, MemberConfig, OutgoingFrame, RequestOutcome, ShardView,
    WriteBatch,
};
use rainstand_replicated_state::placement::MemberPlacement;
use rainstand_storage::faulty_disk::{CrashOutcome, DiskFaults, FaultyDisk};
use rainstand_storage::{IdentitySeed, OpenError, Recovered, Store, StoreLimits};
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

#[derive(Clone, Debug)]
enum EventKind {
    Wake {
        node: usize,
        life: u64,
    },
    Arrive {
        from: usize,
        to: usize,
        life: u64,
        frame: Frame,
    },
    Flushed {
        node: usize,
        life: u64,
        number: u64,
    },
    Ask {
        key: Option<usize>,
    },
    RunEnds {
        node: usize,
        ticket: usize,
    },
    /// The agent's notice reaches its node.
    Notice {
        node: usize,
        ticket: usize,
    },
    Due {
        ticket: usize,
    },
    Fault,
    Heal {
        fault: usize,
    },
    Up {
        node: usize,
    },
    Link {
        from: usize,
        to: usize,
    },
    /// The configuration leaves a node out, or nobody.
    Retire {
        node: Option<usize>,
    },
    /// A node and some leader are parted from all others.
    Apart {
        node: usize,
    },
    /// Killed, and started again at once.
    Bounce {
        node: usize,
    },
}

#[derive(Clone, Debug)]
struct Event {
    at: u64,
    order: u64,
    what: EventKind,
}

impl PartialEq for Event {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}
impl Eq for Event {}
impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Event {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

struct Node {
    disk: FaultyDisk,
    backup: Option<FaultyDisk>,
    store: Option<Store<FaultyDisk>>,
    member: Option<GroupMember>,
    /// Goes up with each start and stop: what was meant for an earlier one is lost.
    life: u64,
    stopped: bool,
    slow: u64,
    /// Rate of its clock in thousandths, the true time and its own time when that began.
    clock: (u64, u64, u64),
    /// Jobs of the disk, oldest first; one flush at a time.
    jobs: VecDeque<WriteBatch>,
    flushing: bool,
    wake: u64,
    /// Questions to tickets.
    asked: HashMap<u64, usize>,
    waiting: VecDeque<EventKind>,
}

struct Request {
    key: usize,
    node: usize,
    life: u64,
    stage: Option<RequestStage>,
    open: bool,
    /// Known only to the agent.
    result: Option<String>,
    asked: u64,
    disturbed: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Ill {
    Part {
        seed: u64,
        one_way: bool,
    },
    Slow,
    Lossy,
    Stop(usize),
    Down(usize),
    DiskSlow(usize),
    DiskFails(usize),
    Clock(usize),
    /// Voters die as soon as their vote is on its way, and come back at once.
    Jumpy,
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

    fn later(&mut self, after: u64, what: EventKind) {
        self.order += 1;
        self.events.push(Event {
            at: self.now + after,
            order: self.order,
            what,
        });
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

    fn happen(&mut self, what: EventKind) {
        match what {
            EventKind::Up { node } => self.up(node),
            EventKind::Wake { node, life } if self.lives(node, life) => {
                if self.nodes[node].stopped {
                    self.nodes[node]
                        .waiting
                        .push_back(EventKind::Wake { node, life });
                } else {
                    self.nodes[node].wake = u64::MAX;
                    self.with(node, |member, now| member.tick(now));
                }
            }
            EventKind::Flushed { node, life, number } if self.lives(node, life) => {
                self.flushed(node, number)
            }
            EventKind::Arrive {
                from,
                to,
                life,
                frame,
            } if self.lives(to, life) => {
                if self.nodes[to].stopped {
                    self.nodes[to].waiting.push_back(EventKind::Arrive {
                        from,
                        to,
                        life,
                        frame,
                    });
                } else if self.nodes[from].member.is_some() || self.draw(2) == 0 {
                    self.with(to, |member, now| member.on_frame(now, &name(from), frame));
                }
            }
            EventKind::Wake { .. } | EventKind::Flushed { .. } | EventKind::Arrive { .. } => {}
            EventKind::Ask { key } => self.ask(key),
            EventKind::RunEnds { node, ticket } => self.run_ends(node, ticket),
            EventKind::Notice { node, ticket } => self.notice(node, ticket),
            EventKind::Due { ticket } => self.due(ticket),
            EventKind::Fault => self.fault(),
            EventKind::Heal { fault } => self.heal(fault),
            EventKind::Link { from, to } => self.link(from, to),
            EventKind::Retire { node } => self.retire(node),
            EventKind::Apart { node } => {
                // Without a node named: one that learns just now.
                let learner = || {
                    let members = self.nodes.iter().filter_map(|node| node.member.as_ref());
                    let shards = members
                        .flat_map(|member| member.shards())
                        .filter(|shard| shard.replica.is_leader());
                    let mut all = shards.flat_map(|shard| &shard.replica.membership().members);
                    let id = all.find(|member| !member.is_voter)?.id;
                    let is = |node: &Node| {
                        node.member
                            .as_ref()
                            .is_some_and(|member| member.disk() == id)
                    };
                    self.nodes.iter().position(is)
                };
                let node = if node == usize::MAX {
                    learner()
                } else {
                    Some(node)
                };
                let Some(node) = node else { return };
                let leader = (0..self.world.nodes).find(|k| *k != node && self.leads(*k));
                if let Some(leader) = leader.filter(|_| self.ills.iter().all(Option::is_none)) {
                    let fault = self.ills.len();
                    self.ills.push(Some(Ill::Part {
                        seed: 1 << node | 1 << leader,
                        one_way: false,
                    }));
                    self.later(700 * MS, EventKind::Heal { fault });
                }
            }
            EventKind::Bounce { node } => {
                if self.nodes[node].member.is_some() {
                    self.crash(node);
                    self.later(2 * MS, EventKind::Up { node });
                }
            }
        }
    }

    fn lives(&self, node: usize, life: u64) -> bool {
        self.nodes[node].life == life && self.nodes[node].member.is_some()
    }

    /// The node's own time, by its clock.
    fn clock(&self, node: usize) -> Duration {
        let (rate, since, own) = self.nodes[node].clock;
        Duration::from_nanos(own + (self.now - since) * rate / 1_000)
    }

    fn set_rate(&mut self, node: usize, rate: u64) {
        let own = self.clock(node).as_nanos() as u64;
        self.nodes[node].clock = (rate, self.now, own);
    }

    // Processes and disks.

    fn members(&self) -> Vec<MemberPlacement> {
        let sites = self.world.sites.max(1);
        let all = (0..self.world.nodes).filter(|k| self.retired != Some(*k));
        all.map(|k| MemberPlacement {
            name: name(k),
            site: format!("s{}", k % sites),
        })
        .collect()
    }

    fn retire(&mut self, node: Option<usize>) {
        self.retired = node;
        let members = self.members();
        for k in 0..self.world.nodes {
            let members = members.clone();
            self.with(k, |member, now| member.set_members(now, members));
        }
        let after = 50 * MS + self.draw(80 * MS);
        self.later(after, EventKind::Apart { node: usize::MAX });
    }

    fn options(&mut self, node: usize) -> MemberConfig {
        MemberConfig {
            group: "sim".into(),
            name: name(node),
            members: self.members(),
            shards: self.world.shards,
            replicas_per_shard: self.world.copies,
            timeouts: Timeouts {
                heartbeat_interval: Duration::from_millis(30),
                min_election_timeout: Duration::from_millis(150),
                max_election_timeout: Duration::from_millis(300),
            },
            max_concurrent_learners: 2,
            max_keys_per_shard: 100_000,
            compaction_entries: 60,
            seed: self.draw(u64::MAX),
        }
    }

    fn up(&mut self, node: usize) {
        if self.nodes[node].member.is_some() || self.ills.contains(&Some(Ill::Down(node))) {
            return;
        }
        let seed = IdentitySeed {
            disk: self.draw(u64::MAX - 1) + 1,
            nonce: self.draw(u64::MAX),
        };
        let disk = self.nodes[node].disk.clone();
        let limits = StoreLimits {
            segment_bytes: 20_000,
            log_bytes: 100_000,
        };
        let (store, found) = match Store::open(disk.clone(), limits, seed) {
            Ok(opened) => opened,
            Err(OpenError::Damaged(_)) => {
                // As the program does: what cannot be believed is set aside, and the disk begins anew.
                let mut folder = disk.clone();
                let _ = rainstand_storage::Disk::quarantine(&mut folder);
                match Store::open(folder, limits, seed) {
                    Ok(opened) => opened,
                    Err(why) => {
                        return self
                            .out
                            .wrong
                            .push(format!("{} does not open: {why}", name(node)))
                    }
                }
            }
            Err(OpenError::Io(_)) => return self.later(200 * MS, EventKind::Up { node }),
        };
        self.begin(node, store, found);
    }

    fn begin(&mut self, node: usize, store: Store<FaultyDisk>, recovered: Recovered) {
        let identity = store.identity();
        self.trace(|| {
            format!(
                "{} starts, disk {:08x} start {}",
                name(node),
                identity.disk as u32,
                identity.incarnation
            )
        });
        let options = self.options(node);
        let now = self.clock(node);
        let found = match decode_recovered(store.identity(), &recovered) {
            Ok(found) => found,
            Err(why) => return self.out.wrong.push(format!("{}: {why}", name(node))),
        };
        let member = GroupMember::new(options, found, now);
        let one = &mut self.nodes[node];
        (one.store, one.member) = (Some(store), Some(member));
        one.life += 1;
        (one.wake, one.flushing) = (u64::MAX, false);
        one.jobs.clear();
        one.asked.clear();
        one.waiting.clear();
        self.out.restarts += 1;
        for other in (0..self.world.nodes).filter(|other| *other != node) {
            self.later(
                2 * MS,
                EventKind::Link {
                    from: node,
                    to: other,
                },
            );
            self.later(
                2 * MS,
                EventKind::Link {
                    from: other,
                    to: node,
                },
            );
        }
        self.with(node, |member, now| member.tick(now));
    }

    /// A link is tried: once it passes, its opener says hello.
    fn link(&mut self, from: usize, to: usize) {
        if self.nodes[from].member.is_none() || self.nodes[to].member.is_none() {
            return;
        }
        if !self.passes(from, to) || self.nodes[from].stopped {
            return self.later(100 * MS, EventKind::Link { from, to });
        }
        self.with(from, |member, now| member.on_connected(now, &name(to)));
    }

    fn trace(&self, what: impl FnOnce() -> String) {
        if self.world.trace {
            eprintln!("{:>9.3} ms  {}", self.now as f64 / 1e6, what());
        }
    }

    fn crash(&mut self, node: usize) {
        self.trace(|| format!("{} dies", name(node)));
        let unflushed_bytes = self.nodes[node].disk.unflushed_bytes() as u64;
        let left = self.draw(unflushed_bytes + 1) as usize;
        let one = &mut self.nodes[node];
        (one.member, one.store) = (None, None);
        one.life += 1;
        one.stopped = false;
        one.disk.crash(CrashOutcome::First(left));
        for ticket in &mut self.tickets {
            if ticket.node == node {
                ticket.disturbed = true;
            }
        }
        // Its callers' links break.
        let open: Vec<usize> = (0..self.tickets.len())
            .filter(|t| self.tickets[*t].node == node && self.tickets[*t].open)
            .collect();
        for ticket in open {
            self.say(ticket, End::Gone, None);
        }
        for other in (0..self.world.nodes).filter(|other| *other != node) {
            self.with(other, |member, now| {
                member.on_disconnected(now, &name(node))
            });
        }
    }

    /// Calls into a member, and what follows from it.
    fn with(&mut self, node: usize, call: impl FnOnce(&mut GroupMember, Duration)) {
        let now = self.clock(node);
        let Some(member) = &mut self.nodes[node].member else {
            return;
        };
        call(member, now);
        let effects = member.take_effects();
        let wake = member.next_deadline();
        let stopped = member.is_stopped();
        self.follow(node, effects);
        if stopped
            && self.nodes[node]
                .member
                .as_ref()
                .is_some_and(|member| member.is_stopped())
        {
            return;
        }
        let rate = self.nodes[node].clock.0;
        let after =
            (wake.saturating_sub(now).as_nanos() as u64).min(1_000 * MS) * 1_000 / rate.max(1) + 1;
        if self.now + after < self.nodes[node].wake {
            self.nodes[node].wake = self.now + after;
            let life = self.nodes[node].life;
            self.later(after, EventKind::Wake { node, life });
        }
    }

    fn follow(&mut self, node: usize, effects: Effects) {
        let Effects {
            frames,
            write,
            outcomes,
            timed_out,
            reads: _,
            events,
            published_changed: _,
        } = effects;
        if let Some(write) = write {
            self.nodes[node].jobs.push_back(write);
            self.flush(node);
        }
        for OutgoingFrame { to, frame } in frames {
            if votes(&frame) && self.ills.contains(&Some(Ill::Jumpy)) && self.draw(3) == 0 {
                self.later(MS / 5, EventKind::Bounce { node });
            }
            let to = to[1..].parse::<usize>().map_or(0, |n| n - 1);
            self.send(node, to, frame);
        }
        for one in events {
            self.trace(|| format!("{} {one:?}", name(node)));
            match one {
                GroupEvent::BecameLeader { shard, term } => {
                    self.out.elections += 1;
                    let disk = self.nodes[node]
                        .member
                        .as_ref()
                        .map_or(0, GroupMember::disk);
                    let before = self.leaders.insert((shard, term), disk);
                    if before.is_some_and(|before| before != disk) {
                        self.out
                            .wrong
                            .push(format!("two lead shard {shard} in term {term}"));
                    }
                }
                GroupEvent::Diverged { .. } => {
                    self.out.wrong.push(format!("{}: {one:?}", name(node)));
                    self.anew(node);
                }
                GroupEvent::StaleDisk { .. } => self.anew(node),
                _ => {}
            }
        }
        for RequestOutcome { id, outcome: told } in outcomes {
            if let Some(ticket) = self.nodes[node].asked.get(&id).copied() {
                if told != ClaimOutcome::InProgress {
                    self.nodes[node].asked.remove(&id);
                }
                self.step(ticket, RequestEvent::Outcome(told));
            }
        }
        for id in timed_out {
            if let Some(ticket) = self.nodes[node].asked.remove(&id) {
                self.step(ticket, RequestEvent::TimedOut);
            }
        }
    }

    /// The files are set aside and the member begins as another disk.
    fn anew(&mut self, node: usize) {
        self.out.swaps += 1;
        self.crash(node);
        let _ = rainstand_storage::Disk::quarantine(&mut self.nodes[node].disk);
        self.later(50 * MS, EventKind::Up { node });
    }

    fn flush(&mut self, node: usize) {
        let one = &mut self.nodes[node];
        if one.flushing || one.jobs.is_empty() {
            return;
        }
        let Some(store) = &mut one.store else { return };
        let mut to = 0;
        let mut failed = false;
        for WriteBatch { number, writes } in one.jobs.drain(..) {
            to = number;
            for write in writes {
                failed |= append(store, &write).is_err();
            }
        }
        one.flushing = true;
        let (life, slow) = (one.life, one.slow);
        if failed {
            return;
        }
        let after = slow + MS / 2 + self.draw(3 * MS);
        self.later(
            after,
            EventKind::Flushed {
                node,
                life,
                number: to,
            },
        );
    }

    fn flushed(&mut self, node: usize, number: u64) {
        let Some(store) = &mut self.nodes[node].store else {
            return;
        };
        if store.flush().is_err() {
            // Said, and nothing more is confirmed until the process is started anew.
            if let Some(member) = &mut self.nodes[node].member {
                member.stop();
            }
            return self.later(
                1_500 * MS,
                EventKind::Heal {
                    fault: usize::MAX - node,
                },
            );
        }
        let pressing = store.needs_compaction();
        self.nodes[node].flushing = false;
        self.with(node, |member, now| {
            member.on_persisted(now, number);
            if !pressing.is_empty() {
                member.compact_shards(now, &pressing);
            }
        });
        self.flush(node);
    }

    // Links.

    fn passes(&self, from: usize, to: usize) -> bool {
        self.ills.iter().flatten().all(|ill| match ill {
            Ill::Part { seed, one_way } => {
                let side = |node: usize| seed >> node & 1;
                side(from) == side(to) || *one_way && side(from) == 1
            }
            _ => true,
        })
    }

    fn send(&mut self, from: usize, to: usize, frame: Frame) {
        let lossy = self.ills.contains(&Some(Ill::Lossy));
        let slow = self.ills.contains(&Some(Ill::Slow));
        // A link that loses these breaks, and says them again when it is back.
        use rainstand_replicated_state::frames::FrameBody as Said;
        let lossy = lossy
            && !matches!(
                frame.body,
                Some(Said::Hello(_) | Said::StaleDisk(_) | Said::Bootstrap(_))
            );
        if !self.passes(from, to) || self.nodes[to].member.is_none() || lossy && self.draw(5) == 0 {
            return;
        }
        // A frame that passes the wire as bytes is what arrives.
        let frame = Frame::decode(&frame.encode_to_vec()[..]).unwrap_or_default();
        let times = if lossy && self.draw(8) == 0 { 2 } else { 1 };
        for _ in 0..times {
            let delay = if slow {
                20 * MS + self.draw(120 * MS)
            } else {
                MS / 10 + self.draw(2 * MS)
            };
            let life = self.nodes[to].life;
            self.later(
                delay,
                EventKind::Arrive {
                    from,
                    to,
                    life,
                    frame: frame.clone(),
                },
            );
        }
    }

    // Faults.

    fn fault(&mut self) {
        let n = self.world.nodes as u64;
        let node = self.draw(n) as usize;
        let lasts = 200 * MS + self.draw(1_500 * MS);
        let kind = self.draw(if self.world.swaps { 18 } else { 15 });
        let ill = match kind {
            0 | 1 => Ill::Part {
                seed: self.draw(1 << n),
                one_way: false,
            },
            2 => Ill::Part {
                seed: self.draw(1 << n),
                one_way: true,
            },
            3 => Ill::Slow,
            4 => Ill::Lossy,
            5 => Ill::Stop(node),
            6 | 7 => Ill::Down(node),
            8 => Ill::DiskSlow(node),
            9 => Ill::DiskFails(node),
            10 => Ill::Clock(node),
            11 => {
                // Elections that cross each other, and voters that die in the middle of them.
                let slow = self.ills.len();
                self.ills.push(Some(Ill::Slow));
                self.later(lasts, EventKind::Heal { fault: slow });
                for node in 0..self.world.nodes {
                    if self.leads(node) {
                        self.later(0, EventKind::Bounce { node });
                    }
                }
                Ill::Jumpy
            }
            12 => {
                // Whoever leads dies, and the next one too.
                for after in [0, 400 * MS, 800 * MS] {
                    if let Some(node) = (0..self.world.nodes).find(|node| self.leads(*node)) {
                        self.later(after, EventKind::Bounce { node });
                    }
                }
                return;
            }
            14 => {
                if self.retired.is_none() && self.world.nodes > self.world.copies {
                    self.retire(Some(node));
                    self.later(1_500 * MS, EventKind::Retire { node: None });
                }
                return;
            }
            13 => {
                for node in 0..self.world.nodes {
                    let after = self.draw(5 * MS);
                    self.later(after, EventKind::Bounce { node });
                }
                return;
            }
            // Swaps of a disk: one at a time, and only while the others are all up, as an operator would.
            _ => {
                let busy = self
                    .ills
                    .iter()
                    .flatten()
                    .any(|ill| !matches!(ill, Ill::Slow | Ill::Clock(_)));
                if busy || !self.whole() {
                    return;
                }
                return self.swap(node, kind == 15);
            }
        };
        match ill {
            Ill::Stop(node) => {
                self.nodes[node].stopped = true;
                self.disturb(node);
            }
            Ill::Down(node) if self.nodes[node].member.is_some() => self.crash(node),
            Ill::DiskSlow(node) => self.nodes[node].slow = 30 * MS,
            Ill::DiskFails(node) => {
                let full = self.draw(2) == 0;
                self.nodes[node].disk.set_faults(DiskFaults {
                    flush_fails: !full,
                    full,
                    ..DiskFaults::default()
                });
            }
            Ill::Clock(node) => {
                let rate = [700, 1_500][self.draw(2) as usize];
                self.set_rate(node, rate);
            }
            _ => {}
        }
        if self.nodes[node].backup.is_none() && self.nodes[node].member.is_some() {
            self.nodes[node].backup = Some(self.nodes[node].disk.copy());
        }
        self.trace(|| format!("{ill:?} for {} ms", lasts / MS));
        let fault = self.ills.len();
        self.ills.push(Some(ill));
        self.later(lasts, EventKind::Heal { fault });
    }

    /// Everybody is up, and every shard has all its copies on disks that are there: what an operator waits for before
    /// the next disk is touched.
    fn whole(&self) -> bool {
        let disks: Vec<u64> = self
            .nodes
            .iter()
            .filter_map(|one| one.member.as_ref())
            .map(GroupMember::disk)
            .collect();
        let up = |one: &Node| {
            !one.stopped
                && one
                    .member
                    .as_ref()
                    .is_some_and(|member| !member.is_stopped())
        };
        let mut led = 0;
        for member in self.nodes.iter().filter_map(|one| one.member.as_ref()) {
            if member.peers().any(|peer| peer.is_stale) {
                return false;
            }
            for ShardView { replica, .. } in
                member.shards().filter(|shard| shard.replica.is_leader())
            {
                led += 1;
                let there = |one: &rainstand_raft::Member| one.is_voter && disks.contains(&one.id);
                let caught_up = replica
                    .progress()
                    .all(|peer| peer.match_index >= replica.commit());
                let config = replica.membership();
                if !caught_up
                    || config.members.len() != self.world.copies
                    || !config.members.iter().all(there)
                {
                    return false;
                }
            }
        }
        self.nodes.iter().all(up) && led == usize::from(self.world.shards)
    }

    fn leads(&self, node: usize) -> bool {
        self.nodes[node]
            .member
            .as_ref()
            .is_some_and(|member| member.led_shard_count() > 0)
    }

    /// It comes back with an empty disk, or with an old copy of its own.
    fn swap(&mut self, node: usize, empty: bool) {
        if self.nodes[node].member.is_none() {
            return;
        }
        self.out.swaps += 1;
        self.trace(|| {
            format!(
                "{} comes back with its disk {}",
                name(node),
                if empty { "empty" } else { "as it was" }
            )
        });
        self.crash(node);
        match self.nodes[node].backup.clone().filter(|_| !empty) {
            Some(backup) => {
                let copy = backup.copy();
                copy.crash(CrashOutcome::First(usize::MAX));
                self.nodes[node].disk = copy;
            }
            None => self.nodes[node].disk = FaultyDisk::default(),
        }
        self.later(100 * MS, EventKind::Up { node });
        // While it learns, it may be all that a leader still reaches.
        let after = 100 * MS + self.draw(150 * MS);
        self.later(after, EventKind::Apart { node });
    }

    fn heal(&mut self, fault: usize) {
        if fault >= usize::MAX - self.world.nodes {
            // A node whose disk failed is started anew.
            let node = usize::MAX - fault;
            self.nodes[node].disk.set_faults(DiskFaults::default());
            if self.nodes[node]
                .member
                .as_ref()
                .is_some_and(GroupMember::is_stopped)
            {
                self.crash(node);
                self.later(50 * MS, EventKind::Up { node });
            }
            return;
        }
        let Some(ill) = self.ills[fault].take() else {
            return;
        };
        match ill {
            Ill::Stop(node) if !self.ills.contains(&Some(ill)) => {
                self.disturb(node);
                self.nodes[node].stopped = false;
                while let Some(what) = self.nodes[node].waiting.pop_front() {
                    self.happen(what);
                }
                self.with(node, |member, now| member.tick(now));
            }
            Ill::Down(node) => self.later(MS, EventKind::Up { node }),
            Ill::DiskSlow(node) => self.nodes[node].slow = 0,
            Ill::DiskFails(node) => self.nodes[node].disk.set_faults(DiskFaults::default()),
            Ill::Clock(node) => self.set_rate(node, 1_000),
            Ill::Part { .. } => {
                // Links come back: each opener says hello again.
                for from in 0..self.world.nodes {
                    for to in (0..self.world.nodes).filter(|to| *to != from) {
                        self.later(MS, EventKind::Link { from, to });
                    }
                }
            }
            _ => {}
        }
    }

    fn disturb(&mut self, node: usize) {
        for ticket in &mut self.tickets {
            if ticket.node == node && ticket.open {
                ticket.disturbed = true;
            }
        }
    }

    // Callers, tickets and agents.

    fn line(&mut self, by: String, event: Seen) {
        let line = self.out.history.len() + 1;
        self.out.history.push(Line {
            at: self.now,
            by,
            line,
            event,
        });
    }

    fn ask(&mut self, key: Option<usize>) {
        let node = self.draw(self.world.nodes as u64) as usize;
        let repeat = self.draw(100) < 35 && !self.keys.is_empty();
        let key = key.unwrap_or_else(|| {
            if repeat {
                let back = self.draw(self.keys.len().min(30) as u64) as usize;
                self.keys[self.keys.len() - 1 - back]
            } else {
                self.keys.len()
            }
        });
        if !repeat {
            self.keys.push(key);
        } else if self.draw(3) == 0 {
            // The same key at several nodes at once.
            let also = self.draw(3 * MS);
            self.later(also, EventKind::Ask { key: Some(key) });
        }
        let Some(member) = &self.nodes[node].member else {
            return;
        };
        let (ticket, stopped) = (self.tickets.len(), self.nodes[node].stopped);
        let claim = member.claim(&(ticket as u128).to_be_bytes());
        // One in many comes with another body.
        let other = repeat && self.draw(20) == 0;
        let (sum, body) = if other { (2, "other") } else { (1, "body") };
        self.tickets.push(Request {
            key,
            node,
            life: self.nodes[node].life,
            stage: Some(RequestStage::Claiming),
            open: true,
            result: None,
            asked: self.now,
            disturbed: stopped,
        });
        let asked = Seen::Ask {
            ticket: format!("t{ticket}"),
            traffic: Some("register".into()),
            key: Some(format!("k{key}")),
            body: Some(body.into()),
            node: Some(name(node)),
            due: self.now + WITHIN,
        };
        self.line("caller".into(), asked);
        self.later(WITHIN, EventKind::Due { ticket });
        if stopped {
            return;
        }
        let start = Operation::Start(Start {
            fingerprint: sum,
            window_ns: WINDOW,
        });
        let command = Command {
            key: Bytes::from(format!("k{key}")),
            claim,
            operation: Some(start),
        };
        self.question(node, ticket, command, START_WITHIN);
    }

    fn question(&mut self, node: usize, ticket: usize, command: Command, within: u64) {
        let mut id = None;
        self.with_asked(node, ticket, |member, now| {
            id = member.request(now, command, now + Duration::from_nanos(within));
            id
        });
        if id.is_none() {
            self.step(ticket, RequestEvent::TimedOut);
        }
    }

    /// The question's number must be known before what follows from it is looked at.
    fn with_asked(
        &mut self,
        node: usize,
        ticket: usize,
        call: impl FnOnce(&mut GroupMember, Duration) -> Option<u64>,
    ) {
        let now = self.clock(node);
        let Some(member) = &mut self.nodes[node].member else {
            return;
        };
        let id = call(member, now);
        if let Some(id) = id {
            self.nodes[node].asked.insert(id, ticket);
        }
        self.with(node, |_, _| {});
    }

    fn step(&mut self, ticket: usize, event: RequestEvent) {
        let Some(stage) = self.tickets[ticket].stage else {
            return;
        };
        let Transition { next, action: act } = transition(stage, event);
        self.tickets[ticket].stage = next;
        let node = self.tickets[ticket].node;
        match act {
            RequestAction::None => {}
            RequestAction::Launch => {
                let takes = MS + self.draw(8 * MS);
                self.later(takes, EventKind::RunEnds { node, ticket });
            }
            RequestAction::ReplicateResult(result) => {
                let left = (self.tickets[ticket].asked + WITHIN).saturating_sub(self.now);
                let command = self.command(ticket, Operation::Done(result));
                self.question(node, ticket, command, left.saturating_sub(20 * MS));
            }
            RequestAction::Respond(result) => {
                let own = self.tickets[ticket].result.clone();
                let result = own.unwrap_or_else(|| String::from_utf8_lossy(&result).into_owned());
                self.say(ticket, End::Answer, Some(result));
            }
            RequestAction::Reject { .. } | RequestAction::Withdraw => {
                self.say(ticket, End::Dismissed, None)
            }
            RequestAction::Fail | RequestAction::FailAndRecord | RequestAction::FailAndRelease => {
                self.say(ticket, End::GivenUp, None)
            }
        }
    }

    fn command(&self, ticket: usize, what: Operation) -> Command {
        let one = &self.tickets[ticket];
        let trace = (ticket as u128).to_be_bytes();
        let member = self.nodes[one.node].member.as_ref();
        let claim = member
            .map(|member| member.claim(&trace))
            .unwrap_or_default();
        Command {
            key: Bytes::from(format!("k{}", one.key)),
            claim,
            operation: Some(what),
        }
    }

    /// The agent goes on whatever becomes of its node.
    fn run_ends(&mut self, node: usize, ticket: usize) {
        let result = format!("{}-{ticket}", name(node));
        let asked = self.out.history.iter().find_map(|line| match &line.event {
            Seen::Ask {
                ticket: t, body, ..
            } if *t == format!("t{ticket}") => body.clone(),
            _ => None,
        });
        let ran = Seen::Ran {
            key: Some(format!("k{}", self.tickets[ticket].key)),
            body: asked,
            result: Some(result.clone()),
        };
        self.line(format!("agent-{}", name(node)), ran);
        self.tickets[ticket].result = Some(result.clone());
        self.later(MS / 10, EventKind::Notice { node, ticket });
    }

    fn notice(&mut self, node: usize, ticket: usize) {
        if self.nodes[node].member.is_none() {
            // Told again to the next start.
            return self.later(100 * MS, EventKind::Notice { node, ticket });
        }
        if self.nodes[node].stopped {
            return self.nodes[node]
                .waiting
                .push_back(EventKind::Notice { node, ticket });
        }
        let result = Bytes::from(self.tickets[ticket].result.clone().unwrap_or_default());
        if self.lives(node, self.tickets[ticket].life) {
            if let Some(identity) = self.nodes[node].store.as_ref().map(Store::identity) {
                *self
                    .charged
                    .entry((identity.disk, identity.incarnation))
                    .or_default() += 1 + ticket as u64 % 7;
            }
            if let Some(member) = &mut self.nodes[node].member {
                member.add_charge("acme", 1 + ticket as u64 % 7);
            }
            return self.step(ticket, RequestEvent::RunFinished(RunEnd::Result(result)));
        }
        // A run of an earlier start: its key is in the copies here, or nobody hears of it.
        let trace = (ticket as u128).to_be_bytes();
        let key = self.nodes[node]
            .member
            .as_ref()
            .and_then(|member| member.key_claimed_here(&trace));
        if key.is_some() {
            let command = self.command(ticket, Operation::Done(result));
            self.with(node, |member, now| {
                let _ = member.request(now, command, now + Duration::from_secs(5));
            });
        }
    }

    fn due(&mut self, ticket: usize) {
        if !self.tickets[ticket].open {
            return;
        }
        if self.tickets[ticket].disturbed {
            return self.say(ticket, End::Gone, None);
        }
        // As the node's own alarm does, just in time.
        let launched = matches!(
            self.tickets[ticket].stage,
            Some(RequestStage::Running | RequestStage::Replicating | RequestStage::AwaitingOther)
        );
        self.say(
            ticket,
            if launched {
                End::GivenUp
            } else {
                End::Dismissed
            },
            None,
        );
        if !launched {
            self.tickets[ticket].stage = None;
        }
    }

    fn say(&mut self, ticket: usize, end: End, result: Option<String>) {
        if std::mem::replace(&mut self.tickets[ticket].open, false) {
            self.line(
                "caller".into(),
                Seen::End {
                    ticket: format!("t{ticket}"),
                    end,
                    result,
                },
            );
        }
    }

    /// At the end: all copies of a shard that are as far have the same.
    fn compare(&mut self) {
        /// Checksums of entries, keys and settled members, and whose they are.
        type Copy = (u64, u64, Option<u64>, usize);
        let mut seen: BTreeMap<(u16, u64), Copy> = BTreeMap::new();
        let mut wrong = Vec::new();
        for (k, node) in self.nodes.iter().enumerate() {
            let Some(member) = &node.member else {
                wrong.push(format!("{} is not up at the end", name(k)));
                continue;
            };
            for report in member.gossip_reports().iter() {
                let disk = report.disk;
                let told = report.charged_us.get("acme").copied().unwrap_or(0);
                let truth = self
                    .charged
                    .get(&(disk, report.epoch))
                    .copied()
                    .unwrap_or(0);
                if told > truth {
                    wrong.push(format!(
                        "{} has {told} of what a node charged: {truth}",
                        name(k)
                    ));
                }
            }
            for ShardView {
                shard,
                replica,
                table,
            } in member.shards()
            {
                // Of disks that hold a copy no more, nothing is asked.
                if replica.membership().member(replica.id()).is_none() {
                    continue;
                }
                let sum = replica.log().checksum(replica.applied()).unwrap_or(0);
                let state = twox_hash::XxHash3_64::oneshot(&table.snapshot());
                let members = twox_hash::XxHash3_64::oneshot(&replica.membership().encode_to_vec());
                let members = replica.is_membership_committed().then_some(members);
                let entry = seen
                    .entry((shard, replica.applied()))
                    .or_insert((sum, state, members, k));
                let what = if entry.0 != sum {
                    "entries"
                } else if entry.1 != state {
                    "keys"
                } else if entry
                    .2
                    .zip(members)
                    .is_some_and(|(one, other)| one != other)
                {
                    "members"
                } else {
                    continue;
                };
                let (at, one, other) = (replica.applied(), name(k), name(entry.3));
                wrong.push(format!(
                    "shard {shard} at {at}: {what} of {one} and {other} differ"
                ));
            }
        }
        self.out.wrong.extend(wrong);
    }
}

/// Whether a frame grants a vote.
fn votes(frame: &Frame) -> bool {
    let body = match &frame.body {
        Some(rainstand_replicated_state::frames::FrameBody::Raft(raft)) => &raft.message.body,
        _ => return false,
    };
    matches!(body, Some(rainstand_raft::wire::Body::VoteResponse(response)) if response.granted && !response.pre_vote)
}
