//! Members of the group: starts, crashes, and calls into them with the effects of each call.

use super::events::EventKind;
use super::faults::Fault;
use super::links::grants_vote;
use super::{name, Simulation, MS};
use crate::history::RequestEnd;
use foldhash::HashMap;
use rainstand_cluster::persistence::decode_recovered;
use rainstand_raft::Timeouts;
use rainstand_replicated_state::idempotency::ClaimOutcome;
use rainstand_replicated_state::idempotent_request::RequestEvent;
use rainstand_replicated_state::member::{
    Effects, GroupEvent, GroupMember, MemberConfig, OutgoingFrame, RequestOutcome, WriteBatch,
};
use rainstand_replicated_state::placement::MemberPlacement;
use rainstand_storage::faulty_disk::{CrashOutcome, FaultyDisk};
use rainstand_storage::{Disk, IdentitySeed, OpenError, Recovered, Store, StoreLimits};
use std::collections::VecDeque;
use std::time::Duration;

/// Small enough that segments and snapshots are replaced often.
const STORE_LIMITS: StoreLimits = StoreLimits {
    segment_bytes: 20_000,
    log_bytes: 100_000,
};
/// Number of entries after which a log is compacted.
const COMPACTION_ENTRIES: usize = 60;
/// Nanoseconds until the open of a disk is retried.
const REOPEN_DELAY: u64 = 200 * MS;
/// Nanoseconds until a started member connects to the others, and they to it.
const CONNECT_DELAY: u64 = 2 * MS;
/// Nanoseconds until a member whose disk was quarantined is restarted.
const RESET_DELAY: u64 = 50 * MS;
/// Longest time between two wake-ups of a member, in nanoseconds of its own clock.
const MAX_WAKE_INTERVAL: u64 = 1_000 * MS;
/// Nanoseconds between a vote and the crash of its voter; one voter in `VOTER_CRASH_ODDS` crashes.
const VOTER_CRASH_DELAY: u64 = MS / 5;
const VOTER_CRASH_ODDS: u64 = 3;

/// A clock that may run at a wrong rate.
pub(super) struct Clock {
    /// Thousandths of the true rate.
    rate_permille: u64,
    /// True time at which this rate began, in nanoseconds.
    rate_since: u64,
    /// Reading at that time, in nanoseconds.
    reading: u64,
}

impl Clock {
    /// Reading at a true time.
    fn read(&self, now: u64) -> u64 {
        self.reading + (now - self.rate_since) * self.rate_permille / 1_000
    }

    /// True duration of a duration on this clock.
    fn true_span(&self, duration: u64) -> u64 {
        duration * 1_000 / self.rate_permille.max(1)
    }
}

/// A node: its disk, and its member while the node runs.
pub(super) struct Node {
    pub(super) disk: FaultyDisk,
    /// Earlier copy of its disk.
    pub(super) backup: Option<FaultyDisk>,
    pub(super) store: Option<Store<FaultyDisk>>,
    pub(super) member: Option<GroupMember>,
    /// Incremented by each start and stop: events for an earlier incarnation are dropped.
    pub(super) incarnation: u64,
    pub(super) is_paused: bool,
    /// Events that arrived while it was paused.
    pub(super) deferred: VecDeque<EventKind>,
    clock: Clock,
    /// Writes to its disk that are not flushed yet, oldest first.
    pub(super) writes: VecDeque<WriteBatch>,
    pub(super) is_flushing: bool,
    /// Nanoseconds that a slow disk adds to each flush.
    pub(super) flush_delay: u64,
    /// Time of its next wake-up.
    pub(super) next_wake: u64,
    /// Requests that wait for the group's outcome, by the id that the member gave.
    pub(super) pending: HashMap<u64, usize>,
}

impl Default for Node {
    fn default() -> Self {
        Self {
            disk: FaultyDisk::default(),
            backup: None,
            store: None,
            member: None,
            incarnation: 0,
            is_paused: false,
            deferred: VecDeque::new(),
            clock: Clock {
                rate_permille: 1_000,
                rate_since: 0,
                reading: 0,
            },
            writes: VecDeque::new(),
            is_flushing: false,
            flush_delay: 0,
            next_wake: u64::MAX,
            pending: HashMap::default(),
        }
    }
}

impl Node {
    /// Whether its member has stopped answering after a disk failure.
    pub(super) fn is_stopped(&self) -> bool {
        self.member.as_ref().is_some_and(GroupMember::is_stopped)
    }

    /// Whether it leads at least one shard.
    pub(super) fn is_leader(&self) -> bool {
        let led = self.member.as_ref().map(GroupMember::led_shard_count);
        led.is_some_and(|count| count > 0)
    }
}

impl Simulation {
    /// Whether a node still runs in this incarnation.
    pub(super) fn is_running(&self, node: usize, incarnation: u64) -> bool {
        self.nodes[node].incarnation == incarnation && self.nodes[node].member.is_some()
    }

    /// Current time on the node's clock.
    pub(super) fn clock(&self, node: usize) -> Duration {
        Duration::from_nanos(self.nodes[node].clock.read(self.now))
    }

    pub(super) fn set_clock_rate(&mut self, node: usize, rate_permille: u64) {
        let now = self.now;
        let clock = &mut self.nodes[node].clock;
        *clock = Clock {
            rate_permille,
            rate_since: now,
            reading: clock.read(now),
        };
    }

    /// Members in the current configuration.
    pub(super) fn members(&self) -> Vec<MemberPlacement> {
        let zones = self.config.zones.max(1);
        let nodes = (0..self.config.nodes).filter(|node| self.removed != Some(*node));
        let member = |node| MemberPlacement {
            name: name(node),
            site: format!("s{}", node % zones),
        };
        nodes.map(member).collect()
    }

    fn member_config(&mut self, node: usize) -> MemberConfig {
        MemberConfig {
            group: "sim".into(),
            name: name(node),
            members: self.members(),
            shards: self.config.shards,
            replicas_per_shard: self.config.replicas_per_shard,
            timeouts: Timeouts {
                heartbeat_interval: Duration::from_millis(30),
                min_election_timeout: Duration::from_millis(150),
                max_election_timeout: Duration::from_millis(300),
            },
            max_concurrent_learners: 2,
            max_keys_per_shard: 100_000,
            compaction_entries: COMPACTION_ENTRIES,
            seed: self.draw(u64::MAX),
        }
    }

    /// Opens a node's disk and starts its member, unless it runs already or a fault keeps it down.
    pub(super) fn start(&mut self, node: usize) {
        let is_down = self.faults.contains(&Some(Fault::Down(node)));
        if self.nodes[node].member.is_some() || is_down {
            return;
        }
        let seed = IdentitySeed {
            disk: self.draw(u64::MAX - 1) + 1,
            nonce: self.draw(u64::MAX),
        };
        let mut disk = self.nodes[node].disk.clone();
        let mut opened = Store::open(disk.clone(), STORE_LIMITS, seed);
        if matches!(opened, Err(OpenError::Damaged(_))) {
            // As in the program: damaged files are quarantined, and the disk starts as a new one.
            let _ = disk.quarantine();
            opened = Store::open(disk, STORE_LIMITS, seed);
            if let Err(error) = opened {
                let fault = format!("cannot open the disk of {}: {error}", name(node));
                return self.outcome.faults.push(fault);
            }
        }
        match opened {
            Ok((store, recovered)) => self.run_member(node, store, &recovered),
            Err(_) => self.schedule(REOPEN_DELAY, EventKind::Start { node }),
        }
    }

    fn run_member(&mut self, node: usize, store: Store<FaultyDisk>, recovered: &Recovered) {
        let identity = store.identity();
        self.trace(|| {
            let (disk, incarnation) = (identity.disk as u32, identity.incarnation);
            format!("{} starts, disk {disk:08x} start {incarnation}", name(node))
        });
        let config = self.member_config(node);
        let now = self.clock(node);
        let recovered = match decode_recovered(store.identity(), recovered) {
            Ok(recovered) => recovered,
            Err(error) => {
                let fault = format!("{}: {error}", name(node));
                return self.outcome.faults.push(fault);
            }
        };
        let state = &mut self.nodes[node];
        state.store = Some(store);
        state.member = Some(GroupMember::new(config, recovered, now));
        state.incarnation += 1;
        state.next_wake = u64::MAX;
        state.is_flushing = false;
        state.writes.clear();
        state.pending.clear();
        state.deferred.clear();
        self.outcome.restarts += 1;
        for other in (0..self.config.nodes).filter(|other| *other != node) {
            for (from, to) in [(node, other), (other, node)] {
                self.schedule(CONNECT_DELAY, EventKind::Connect { from, to });
            }
        }
        self.call_member(node, GroupMember::tick);
    }

    /// Crashes a node: a drawn part of its unflushed bytes is lost, and its connections break.
    pub(super) fn crash(&mut self, node: usize) {
        self.trace(|| format!("{} dies", name(node)));
        let unflushed_bytes = self.nodes[node].disk.unflushed_bytes() as u64;
        let surviving_bytes = self.draw(unflushed_bytes + 1) as usize;
        let state = &mut self.nodes[node];
        state.member = None;
        state.store = None;
        state.incarnation += 1;
        state.is_paused = false;
        state.disk.crash(CrashOutcome::First(surviving_bytes));
        for request in 0..self.requests.len() {
            if self.requests[request].node == node {
                self.requests[request].is_disturbed = true;
                self.end_request(request, RequestEnd::Abandoned, None);
            }
        }
        for other in (0..self.config.nodes).filter(|other| *other != node) {
            self.call_member(other, |member, now| {
                member.on_disconnected(now, &name(node));
            });
        }
    }

    /// Kills a running node and restarts it immediately.
    pub(super) fn bounce(&mut self, node: usize) {
        if self.nodes[node].member.is_some() {
            self.crash(node);
            self.schedule(2 * MS, EventKind::Start { node });
        }
    }

    /// Calls into a member, applies the effects, and schedules its next wake-up.
    pub(super) fn call_member(
        &mut self,
        node: usize,
        call: impl FnOnce(&mut GroupMember, Duration),
    ) {
        let now = self.clock(node);
        let Some(member) = &mut self.nodes[node].member else {
            return;
        };
        call(member, now);
        let effects = member.take_effects();
        let deadline = member.next_deadline();
        let is_stopped = member.is_stopped();
        self.apply_effects(node, effects);
        if is_stopped && self.nodes[node].is_stopped() {
            return;
        }
        let wait = deadline.saturating_sub(now).as_nanos() as u64;
        let after = self.nodes[node]
            .clock
            .true_span(wait.min(MAX_WAKE_INTERVAL))
            + 1;
        if self.now + after < self.nodes[node].next_wake {
            self.nodes[node].next_wake = self.now + after;
            let incarnation = self.nodes[node].incarnation;
            self.schedule(after, EventKind::Wake { node, incarnation });
        }
    }

    fn apply_effects(&mut self, node: usize, effects: Effects) {
        if let Some(write) = effects.write {
            self.nodes[node].writes.push_back(write);
            self.flush(node);
        }
        for OutgoingFrame { to, frame } in effects.frames {
            self.send_frame(node, &to, &frame);
        }
        for event in effects.events {
            self.on_group_event(node, &event);
        }
        for RequestOutcome { id, outcome } in effects.outcomes {
            if let Some(request) = self.nodes[node].pending.get(&id).copied() {
                if outcome != ClaimOutcome::InProgress {
                    self.nodes[node].pending.remove(&id);
                }
                self.advance(request, RequestEvent::Outcome(outcome));
            }
        }
        for id in effects.timed_out {
            if let Some(request) = self.nodes[node].pending.remove(&id) {
                self.advance(request, RequestEvent::TimedOut);
            }
        }
    }

    fn send_frame(
        &mut self,
        node: usize,
        to: &str,
        frame: &rainstand_replicated_state::frames::Frame,
    ) {
        let voters_crash = self.faults.contains(&Some(Fault::VotersDie));
        if grants_vote(frame) && voters_crash && self.draw(VOTER_CRASH_ODDS) == 0 {
            self.schedule(VOTER_CRASH_DELAY, EventKind::Bounce { node });
        }
        let to = to[1..].parse::<usize>().map_or(0, |number| number - 1);
        self.send(node, to, frame);
    }

    fn on_group_event(&mut self, node: usize, event: &GroupEvent) {
        self.trace(|| format!("{} {event:?}", name(node)));
        match event {
            GroupEvent::BecameLeader { shard, term } => self.on_leader(node, *shard, *term),
            GroupEvent::Diverged { .. } => {
                let fault = format!("{}: {event:?}", name(node));
                self.outcome.faults.push(fault);
                self.reset_disk(node);
            }
            GroupEvent::StaleDisk { .. } => self.reset_disk(node),
            _ => {}
        }
    }

    fn on_leader(&mut self, node: usize, shard: u16, term: u64) {
        self.outcome.elections += 1;
        let member = self.nodes[node].member.as_ref();
        let disk = member.map_or(0, GroupMember::disk);
        let previous = self.leaders.insert((shard, term), disk);
        if previous.is_some_and(|previous| previous != disk) {
            let fault = format!("two leaders of shard {shard} in term {term}");
            self.outcome.faults.push(fault);
        }
    }

    /// Quarantines the files of a node, whose member then restarts as a new disk.
    fn reset_disk(&mut self, node: usize) {
        self.outcome.replaced_disks += 1;
        self.crash(node);
        let _ = self.nodes[node].disk.quarantine();
        self.schedule(RESET_DELAY, EventKind::Start { node });
    }
}
