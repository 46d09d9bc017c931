//! Members of the group: their starts, their crashes, calls into them and what follows from a call.

use super::events::EventKind;
use super::faults::Ill;
use super::links::votes;
use super::{name, Sim, MS};
use crate::history::End;
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
use rainstand_storage::{IdentitySeed, OpenError, Recovered, Store, StoreLimits};
use std::collections::VecDeque;
use std::time::Duration;

pub(super) struct Node {
    pub(super) disk: FaultyDisk,
    pub(super) backup: Option<FaultyDisk>,
    pub(super) store: Option<Store<FaultyDisk>>,
    pub(super) member: Option<GroupMember>,
    /// Goes up with each start and stop: what was meant for an earlier one is lost.
    pub(super) life: u64,
    pub(super) stopped: bool,
    pub(super) slow: u64,
    /// Rate of its clock in thousandths, the true time and its own time when that began.
    pub(super) clock: (u64, u64, u64),
    /// Jobs of the disk, oldest first; one flush at a time.
    pub(super) jobs: VecDeque<WriteBatch>,
    pub(super) flushing: bool,
    pub(super) wake: u64,
    /// Questions to tickets.
    pub(super) asked: HashMap<u64, usize>,
    pub(super) waiting: VecDeque<EventKind>,
}

impl Sim {
    pub(super) fn lives(&self, node: usize, life: u64) -> bool {
        self.nodes[node].life == life && self.nodes[node].member.is_some()
    }

    /// The node's own time, by its clock.
    pub(super) fn clock(&self, node: usize) -> Duration {
        let (rate, since, own) = self.nodes[node].clock;
        Duration::from_nanos(own + (self.now - since) * rate / 1_000)
    }

    pub(super) fn set_rate(&mut self, node: usize, rate: u64) {
        let own = self.clock(node).as_nanos() as u64;
        self.nodes[node].clock = (rate, self.now, own);
    }

    // Processes and disks.

    pub(super) fn members(&self) -> Vec<MemberPlacement> {
        let sites = self.world.sites.max(1);
        let all = (0..self.world.nodes).filter(|k| self.retired != Some(*k));
        all.map(|k| MemberPlacement {
            name: name(k),
            site: format!("s{}", k % sites),
        })
        .collect()
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

    pub(super) fn up(&mut self, node: usize) {
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

    pub(super) fn crash(&mut self, node: usize) {
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
    pub(super) fn with(&mut self, node: usize, call: impl FnOnce(&mut GroupMember, Duration)) {
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
    pub(super) fn anew(&mut self, node: usize) {
        self.out.swaps += 1;
        self.crash(node);
        let _ = rainstand_storage::Disk::quarantine(&mut self.nodes[node].disk);
        self.later(50 * MS, EventKind::Up { node });
    }
}
