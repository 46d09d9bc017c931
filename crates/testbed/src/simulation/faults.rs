//! Draws faults during a run, applies them and ends them.

use super::events::EventKind;
use super::members::Node;
use super::{name, Simulation, MS};
use rainstand_replicated_state::member::{GroupMember, ShardView};
use rainstand_storage::faulty_disk::{CrashOutcome, DiskFaults, FaultyDisk};

/// Shortest fault, in nanoseconds, and the upper bound of a drawn addition to it.
const MIN_DURATION: u64 = 200 * MS;
const DURATION_JITTER: u64 = 1_500 * MS;
/// Number of kinds of faults; the last ones replace a disk.
const KINDS: u64 = 18;
const KINDS_WITHOUT_DISKS: u64 = 15;
/// Rates of slow, correct and fast clocks, in thousandths.
const SLOW_CLOCK: u64 = 700;
const RIGHT_CLOCK: u64 = 1_000;
const FAST_CLOCK: u64 = 1_500;
/// Nanoseconds that a slow disk adds to each flush.
const SLOW_FLUSH: u64 = 30 * MS;
/// Nanoseconds until each of the successive kills of a leader.
const LEADER_KILLS: [u64; 3] = [0, 400 * MS, 800 * MS];
/// Nanoseconds for which a member is removed from the configuration.
const REMOVAL_TIME: u64 = 1_500 * MS;
/// Nanoseconds for which a node and a leader are partitioned from the others.
const ISOLATION_TIME: u64 = 700 * MS;
/// Nanoseconds until a node is restarted whose disk was replaced, or had failed.
const REPLACE_DELAY: u64 = 100 * MS;
const REPAIR_DELAY: u64 = 50 * MS;

/// An active fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Fault {
    /// Nodes on different sides do not reach each other; if one-way, those on side 1 still reach side 0.
    Partition {
        /// Side of each node, one bit per node.
        sides: u64,
        one_way: bool,
    },
    /// All links delay frames.
    Slow,
    /// All links lose and duplicate frames.
    Lossy,
    /// A node is stopped by a signal.
    Paused(usize),
    /// A node is down.
    Down(usize),
    DiskSlow(usize),
    DiskFails(usize),
    Clock(usize),
    /// Voters crash right after they send their vote, and restart immediately.
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
                self.overlap_elections(duration);
                Fault::VotersDie
            }
            12 => return self.kill_leaders(),
            13 => return self.bounce_all(),
            14 => return self.remove_temporarily(node),
            kind => return self.replace_disk_if_complete(node, kind == 15),
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

    /// Records a fault as active, and schedules its end.
    fn record_fault(&mut self, fault: Fault, duration: u64) {
        let index = self.faults.len();
        self.faults.push(Some(fault));
        self.schedule(duration, EventKind::EndFault { index });
    }

    /// Applies the immediate effects of a fault.
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

    /// Makes elections overlap on slow links while their voters crash.
    fn overlap_elections(&mut self, duration: u64) {
        self.record_fault(Fault::Slow, duration);
        for node in 0..self.config.nodes {
            if self.nodes[node].is_leader() {
                self.schedule(0, EventKind::Bounce { node });
            }
        }
    }

    /// Kills current leaders one after the other.
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

    fn remove_temporarily(&mut self, node: usize) {
        let has_spare_node = self.config.nodes > self.config.replicas_per_shard;
        if self.removed.is_none() && has_spare_node {
            self.remove_member(Some(node));
            self.schedule(REMOVAL_TIME, EventKind::RemoveMember { node: None });
        }
    }

    /// Removes this node from the configuration; with `None`, the configuration lists all nodes again.
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

    /// Partitions this node and some leader from all others; with `None`, the node of a learner.
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

    /// The node of the first learner in the membership of any leader.
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

    /// Replaces a disk if the group is complete: one disk at a time, as an operator would.
    fn replace_disk_if_complete(&mut self, node: usize, empty: bool) {
        let is_harmless = |fault: &Fault| matches!(fault, Fault::Slow | Fault::Clock(_));
        if self.faults.iter().flatten().all(is_harmless) && self.is_complete() {
            self.replace_disk(node, empty);
        }
    }

    /// Whether all nodes are up and every shard has all its replicas on present disks: an operator waits for this
    /// before replacing the next disk.
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

    /// Whether a shard has all its replicas on these disks, all voters that hold everything its leader committed.
    fn has_all_replicas(&self, shard: &ShardView<'_>, disks: &[u64]) -> bool {
        let replica = shard.replica;
        let members = &replica.membership().members;
        let is_voter_on_disk =
            |member: &rainstand_raft::Member| member.is_voter && disks.contains(&member.id);
        replica
            .progress()
            .all(|peer| peer.match_index >= replica.commit())
            && members.len() == self.config.replicas_per_shard
            && members.iter().all(is_voter_on_disk)
    }

    /// Restarts a node with an empty disk, or with an old copy of its disk.
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
        // While it is a learner, it may be the only node that a leader still reaches.
        let after = REPLACE_DELAY + self.draw(150 * MS);
        self.schedule(after, EventKind::Isolate { node: Some(node) });
    }

    /// Clears the faults of a disk; kills and restarts the node if its member has stopped.
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

    /// Resumes a paused node, which handles the events deferred during the pause.
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

    /// Marks the open requests at this node, so that their callers may abandon them.
    fn disturb_requests(&mut self, node: usize) {
        for request in &mut self.requests {
            if request.node == node && request.is_open {
                request.is_disturbed = true;
            }
        }
    }
}
