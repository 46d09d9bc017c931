//! Faults that are drawn while a run goes on, and their ends.

use super::events::EventKind;
use super::members::Node;
use super::{name, Sim, MS};
use rainstand_replicated_state::member::{GroupMember, ShardView};
use rainstand_storage::faulty_disk::{CrashOutcome, DiskFaults, FaultyDisk};

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Ill {
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

impl Sim {
    pub(super) fn retire(&mut self, node: Option<usize>) {
        self.retired = node;
        let members = self.members();
        for k in 0..self.world.nodes {
            let members = members.clone();
            self.with(k, |member, now| member.set_members(now, members));
        }
        let after = 50 * MS + self.draw(80 * MS);
        self.later(after, EventKind::Apart { node: usize::MAX });
    }

    // Faults.

    pub(super) fn fault(&mut self) {
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
    pub(super) fn whole(&self) -> bool {
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

    pub(super) fn leads(&self, node: usize) -> bool {
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

    pub(super) fn heal(&mut self, fault: usize) {
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
}
