//! Faults that are drawn while a run goes on, and their ends.

use super::events::EventKind;
use super::members::Node;
use super::{name, Simulation, MS};
use rainstand_replicated_state::member::{GroupMember, ShardView};
use rainstand_storage::faulty_disk::{CrashOutcome, DiskFaults, FaultyDisk};

/// The shortest fault, and what a draw adds to it.
const MIN_DURATION: u64 = 200 * MS;
const DURATION_JITTER: u64 = 1_500 * MS;
/// Kinds of faults that are drawn; the last ones replace a disk.
const KINDS: u64 = 18;
const KINDS_WITHOUT_DISKS: u64 = 15;
/// Rates of clocks that are wrong, in thousandths.
const SLOW_CLOCK: u64 = 700;
const RIGHT_CLOCK: u64 = 1_000;
const FAST_CLOCK: u64 = 1_500;
/// What a slow disk adds to each flush.
const SLOW_FLUSH: u64 = 30 * MS;
/// Between kills of one leader after the other.
const LEADER_KILLS: [u64; 3] = [0, 400 * MS, 800 * MS];
/// For how long a member is left out of the configuration.
const REMOVAL_TIME: u64 = 1_500 * MS;
/// For how long a node and a leader are parted from the others.
const ISOLATION_TIME: u64 = 700 * MS;
/// Until a node is started again whose disk was replaced, or had failed.
const REPLACE_DELAY: u64 = 100 * MS;
const REPAIR_DELAY: u64 = 50 * MS;

/// A fault that goes on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Fault {
    /// Nodes of different sides do not reach each other; one way, those of side 1 still reach the others.
    Partition {
        /// Side of each node, a bit a node.
        sides: u64,
        one_way: bool,
    },
    /// All links are slow.
    Slow,
    /// All links lose and double frames.
    Lossy,
    /// A node is stopped by a signal.
    Paused(usize),
    /// A node is dead.
    Down(usize),
    DiskSlow(usize),
    DiskFails(usize),
    Clock(usize),
    /// Voters die as soon as their vote is on its way, and come back at once.
    VotersDie,
}

impl Simulation {
    pub(super) fn draw_fault(&mut self) {
        let node = self.draw(self.config.nodes as u64) as usize;
        let duration = MIN_DURATION + self.draw(DURATION_JITTER);
        let kinds = if self.config.replaces_disks {
            KINDS
        } else {
            KINDS_WITHOUT_DISKS
        };
        let fault = match self.draw(kinds) {
            0 | 1 => self.draw_partition(false),
            2 => self.draw_partition(true),
            3 => Fault::Slow,
            4 => Fault::Lossy,
            5 => Fault::Paused(node),
            6 | 7 => Fault::Down(node),
            8 => Fault::DiskSlow(node),
            9 => Fault::DiskFails(node),
            10 => Fault::Clock(node),
            11 => {
                self.cross_elections(duration);
                Fault::VotersDie
            }
            12 => return self.kill_leaders(),
            13 => return self.bounce_all(),
            14 => return self.remove_for_a_time(node),
            kind => return self.replace_disk_when_complete(node, kind == 15),
        };
        self.apply(fault);
        if self.nodes[node].backup.is_none() && self.nodes[node].member.is_some() {
            self.nodes[node].backup = Some(self.nodes[node].disk.copy());
        }
        self.trace(|| format!("{fault:?} for {} ms", duration / MS));
        self.record_fault(fault, duration);
    }

    fn draw_partition(&mut self, one_way: bool) -> Fault {
        let sides = self.draw(1 << self.config.nodes);
        Fault::Partition { sides, one_way }
    }

    /// A fault goes on from now, and ends after this time.
    fn record_fault(&mut self, fault: Fault, duration: u64) {
        let index = self.faults.len();
        self.faults.push(Some(fault));
        self.schedule(duration, EventKind::EndFault { index });
    }

    /// What a fault does as it begins.
    fn apply(&mut self, fault: Fault) {
        match fault {
            Fault::Paused(node) => {
                self.nodes[node].is_paused = true;
                self.disturb_requests(node);
            }
            Fault::Down(node) if self.nodes[node].member.is_some() => self.crash(node),
            Fault::DiskSlow(node) => self.nodes[node].flush_delay = SLOW_FLUSH,
            Fault::DiskFails(node) => {
                let full = self.draw(2) == 0;
                self.nodes[node].disk.set_faults(DiskFaults {
                    flush_fails: !full,
                    full,
                    ..DiskFaults::default()
                });
            }
            Fault::Clock(node) => {
                let rate = [SLOW_CLOCK, FAST_CLOCK][self.draw(2) as usize];
                self.set_clock_rate(node, rate);
            }
            _ => {}
        }
    }

    /// Elections that cross each other on slow links; their voters die in the middle of them.
    fn cross_elections(&mut self, duration: u64) {
        self.record_fault(Fault::Slow, duration);
        for node in 0..self.config.nodes {
            if self.nodes[node].is_leader() {
                self.schedule(0, EventKind::Bounce { node });
            }
        }
    }

    /// A leader dies, again and again.
    fn kill_leaders(&mut self) {
        for after in LEADER_KILLS {
            if let Some(node) = self.nodes.iter().position(Node::is_leader) {
                self.schedule(after, EventKind::Bounce { node });
            }
        }
    }

    fn bounce_all(&mut self) {
        for node in 0..self.config.nodes {
            let after = self.draw(5 * MS);
            self.schedule(after, EventKind::Bounce { node });
        }
    }

    fn remove_for_a_time(&mut self, node: usize) {
        let can_be_spared = self.config.nodes > self.config.replicas_per_shard;
        if self.removed.is_none() && can_be_spared {
            self.remove_member(Some(node));
            self.schedule(REMOVAL_TIME, EventKind::RemoveMember { node: None });
        }
    }

    /// The configuration leaves this node out, or nobody.
    pub(super) fn remove_member(&mut self, node: Option<usize>) {
        self.removed = node;
        let members = self.members();
        for other in 0..self.config.nodes {
            let members = members.clone();
            self.call_member(other, |member, now| member.set_members(now, members));
        }
        let after = 50 * MS + self.draw(80 * MS);
        self.schedule(after, EventKind::Isolate { node: None });
    }

    /// A node and some leader are parted from all others; without a node, one that learns just now.
    pub(super) fn isolate(&mut self, node: Option<usize>) {
        let Some(node) = node.or_else(|| self.learner()) else {
            return;
        };
        let is_leader = |other: &usize| *other != node && self.nodes[*other].is_leader();
        let Some(leader) = (0..self.config.nodes).find(is_leader) else {
            return;
        };
        if self.faults.iter().all(Option::is_none) {
            let sides = 1 << node | 1 << leader;
            let one_way = false;
            self.record_fault(Fault::Partition { sides, one_way }, ISOLATION_TIME);
        }
    }

    /// The node of the first learner that some leader knows.
    fn learner(&self) -> Option<usize> {
        let members = self.nodes.iter().filter_map(|node| node.member.as_ref());
        let mut led = members
            .flat_map(GroupMember::shards)
            .filter(|shard| shard.replica.is_leader())
            .flat_map(|shard| &shard.replica.membership().members);
        let disk = led.find(|member| !member.is_voter)?.id;
        self.nodes.iter().position(|node| {
            let member = node.member.as_ref();
            member.is_some_and(|member| member.disk() == disk)
        })
    }

    /// Disks are replaced one at a time, and only while the group is complete, as an operator would.
    fn replace_disk_when_complete(&mut self, node: usize, empty: bool) {
        let is_harmless = |fault: &Fault| matches!(fault, Fault::Slow | Fault::Clock(_));
        if self.faults.iter().flatten().all(is_harmless) && self.is_complete() {
            self.replace_disk(node, empty);
        }
    }

    /// Everybody is up, and every shard has all its replicas on disks that are there: what an operator waits for before
    /// the next disk is touched.
    fn is_complete(&self) -> bool {
        let members = || self.nodes.iter().filter_map(|node| node.member.as_ref());
        let disks: Vec<u64> = members().map(GroupMember::disk).collect();
        let mut led = 0;
        for member in members() {
            if member.peers().any(|peer| peer.is_stale) {
                return false;
            }
            for shard in member.shards().filter(|shard| shard.replica.is_leader()) {
                led += 1;
                if !self.has_all_replicas(&shard, &disks) {
                    return false;
                }
            }
        }
        let is_up = |node: &Node| !node.is_paused && node.member.is_some() && !node.is_stopped();
        self.nodes.iter().all(is_up) && led == usize::from(self.config.shards)
    }

    /// Whether a shard's replicas are all there, on these disks, and hold what its leader committed.
    fn has_all_replicas(&self, shard: &ShardView<'_>, disks: &[u64]) -> bool {
        let replica = shard.replica;
        let members = &replica.membership().members;
        let is_there =
            |member: &rainstand_raft::Member| member.is_voter && disks.contains(&member.id);
        replica
            .progress()
            .all(|peer| peer.match_index >= replica.commit())
            && members.len() == self.config.replicas_per_shard
            && members.iter().all(is_there)
    }

    /// A node comes back with an empty disk, or with an old copy of its own.
    fn replace_disk(&mut self, node: usize, empty: bool) {
        if self.nodes[node].member.is_none() {
            return;
        }
        self.outcome.replaced_disks += 1;
        self.trace(|| {
            let state = if empty { "empty" } else { "as it was" };
            format!("{} comes back with its disk {state}", name(node))
        });
        self.crash(node);
        let backup = self.nodes[node].backup.as_ref().filter(|_| !empty);
        self.nodes[node].disk = backup.map_or_else(FaultyDisk::default, |backup| {
            let disk = backup.copy();
            disk.crash(CrashOutcome::First(usize::MAX));
            disk
        });
        self.schedule(REPLACE_DELAY, EventKind::Start { node });
        // While it learns, it may be all that a leader still reaches.
        let after = REPLACE_DELAY + self.draw(150 * MS);
        self.schedule(after, EventKind::Isolate { node: Some(node) });
    }

    /// A node whose disk failed is killed and started again.
    pub(super) fn repair_disk(&mut self, node: usize) {
        self.nodes[node].disk.set_faults(DiskFaults::default());
        if self.nodes[node].is_stopped() {
            self.crash(node);
            self.schedule(REPAIR_DELAY, EventKind::Start { node });
        }
    }

    pub(super) fn end_fault(&mut self, index: usize) {
        let Some(fault) = self.faults[index].take() else {
            return;
        };
        match fault {
            Fault::Paused(node) if !self.faults.contains(&Some(fault)) => self.resume(node),
            Fault::Down(node) => self.schedule(MS, EventKind::Start { node }),
            Fault::DiskSlow(node) => self.nodes[node].flush_delay = 0,
            Fault::DiskFails(node) => self.nodes[node].disk.set_faults(DiskFaults::default()),
            Fault::Clock(node) => self.set_clock_rate(node, RIGHT_CLOCK),
            Fault::Partition { .. } => self.reconnect_all(),
            _ => {}
        }
    }

    /// A paused node goes on with all that came meanwhile.
    fn resume(&mut self, node: usize) {
        self.disturb_requests(node);
        self.nodes[node].is_paused = false;
        while let Some(kind) = self.nodes[node].deferred.pop_front() {
            self.handle(kind);
        }
        self.call_member(node, GroupMember::tick);
    }

    fn reconnect_all(&mut self) {
        for from in 0..self.config.nodes {
            for to in (0..self.config.nodes).filter(|to| *to != from) {
                self.schedule(MS, EventKind::Connect { from, to });
            }
        }
    }

    /// Callers may leave what is open at this node.
    fn disturb_requests(&mut self, node: usize) {
        for request in &mut self.requests {
            if request.node == node && request.is_open {
                request.is_disturbed = true;
            }
        }
    }
}
