//! Connections to the other members, and what is known of their disks.
//!
//! A disk that was replaced by an old copy of itself must not vote or confirm again. Each member therefore records the
//! newest incarnation of every peer's disk and how far each of its shards was known to be durable. A peer that connects
//! with an earlier incarnation, or with a log behind that record, is sent a [`StaleDiskNotice`].

use super::{
    GroupEvent, GroupMember, PersistentWrite, METADATA_GENERATION, METADATA_PEER_INCARNATIONS,
};
use crate::frames::{
    Frame, FrameBody, Hello, PeerIncarnation, PeerIncarnations, ShardProgress, StaleDiskNotice,
};
use bytes::Bytes;
use prost::Message as _;
use rainstand_raft::ReplicaId;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Replaced disks that are remembered of each peer. A disk is replaced by hand, so this covers years.
const MAX_REPLACED_DISKS: usize = 32;

/// One start of a disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Incarnation {
    pub disk: ReplicaId,
    /// Number of starts of the disk.
    pub number: u64,
    /// Random number that tells two starts under one number apart.
    pub nonce: u64,
}

/// How far a replica on a peer's disk is known to be durable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct DurableProgress {
    pub term: u64,
    /// The last index that was both confirmed and committed.
    pub index: u64,
}

/// What is known of another member.
#[derive(Clone, Debug, Default)]
pub(super) struct Peer {
    pub connected: bool,
    /// The last accepted greeting.
    pub hello: Option<Hello>,
    /// The newest incarnation that was accepted.
    pub incarnation: Option<Incarnation>,
    /// By shard: what the disk of `incarnation` must still hold.
    pub durable: BTreeMap<u16, DurableProgress>,
    /// Earlier disks of this name, oldest first: they are stale whatever they announce.
    pub replaced_disks: VecDeque<ReplicaId>,
    /// The disk that was found to be an old copy; nothing from it counts.
    pub stale_disk: Option<ReplicaId>,
}

impl Peer {
    /// Whether the last greeting came from this disk.
    pub(super) fn has_disk(&self, disk: ReplicaId) -> bool {
        self.hello.as_ref().is_some_and(|hello| hello.disk == disk)
    }

    /// Takes over what was recorded of this peer before a restart.
    pub(super) fn restore(&mut self, recorded: &PeerIncarnation) {
        self.incarnation = Some(Incarnation {
            disk: recorded.disk,
            number: recorded.incarnation,
            nonce: recorded.nonce,
        });
        self.replaced_disks = recorded.replaced_disks.iter().copied().collect();
        let durable = |progress: &ShardProgress| {
            let ShardProgress { shard, term, index } = *progress;
            let shard = u16::try_from(shard).ok()?;
            Some((shard, DurableProgress { term, index }))
        };
        self.durable = recorded.shard_progress.iter().filter_map(durable).collect();
    }

    /// What is to be recorded of this peer; none if it was never accepted.
    fn record(&self, name: &str) -> Option<PeerIncarnation> {
        let incarnation = self.incarnation?;
        let progress = |(shard, durable): (&u16, &DurableProgress)| ShardProgress {
            shard: u32::from(*shard),
            term: durable.term,
            index: durable.index,
        };
        Some(PeerIncarnation {
            name: name.to_owned(),
            disk: incarnation.disk,
            incarnation: incarnation.number,
            nonce: incarnation.nonce,
            replaced_disks: self.replaced_disks.iter().copied().collect(),
            shard_progress: self.durable.iter().map(progress).collect(),
        })
    }

    /// A term that the peer's disk must have made durable.
    pub(super) fn raise_durable_term(&mut self, shard: u16, term: u64) {
        let durable = self.durable.entry(shard).or_default();
        durable.term = durable.term.max(term);
    }

    /// Accepts the incarnation of a greeting. A new disk starts without any record of progress.
    fn accept(&mut self, hello: Hello) {
        let replaced = self.incarnation.filter(|known| known.disk != hello.disk);
        if let Some(replaced) = replaced {
            self.durable.clear();
            self.replaced_disks.push_back(replaced.disk);
            if self.replaced_disks.len() > MAX_REPLACED_DISKS {
                self.replaced_disks.pop_front();
            }
        }
        self.incarnation = Some(Incarnation {
            disk: hello.disk,
            number: hello.incarnation,
            nonce: hello.nonce,
        });
        self.stale_disk = None;
        self.hello = Some(hello);
    }

    /// Why the disk of a greeting is an old copy of itself, if it is one.
    fn stale_reason(&self, hello: &Hello) -> Option<String> {
        if self.stale_disk == Some(hello.disk) {
            return Some("it was found to be an old copy before".into());
        }
        if self.replaced_disks.contains(&hello.disk) {
            return Some("another disk took its place".into());
        }
        let known = self.incarnation.filter(|known| known.disk == hello.disk)?;
        if (known.number, known.nonce) == (hello.incarnation, hello.nonce) {
            return None;
        }
        if hello.incarnation <= known.number {
            return Some(format!(
                "start {} after start {}",
                hello.incarnation, known.number
            ));
        }
        self.lost_progress(hello)
    }

    /// Describes the first shard whose announced progress is behind what was durable.
    fn lost_progress(&self, hello: &Hello) -> Option<String> {
        for (shard, durable) in &self.durable {
            let announced = hello
                .shard_progress
                .iter()
                .find(|progress| progress.shard == u32::from(*shard));
            let (term, index) =
                announced.map_or((0, 0), |progress| (progress.term, progress.index));
            if term < durable.term || index < durable.index {
                return Some(format!(
                    "shard {shard}: term {term} index {index} after term {} index {}",
                    durable.term, durable.index
                ));
            }
        }
        None
    }
}

impl GroupMember {
    /// The greeting with which this member introduces itself on a new connection.
    pub fn hello(&self) -> Frame {
        let progress = self.shards.iter().map(|(shard, state)| ShardProgress {
            shard: u32::from(*shard),
            term: state.replica.term(),
            index: state.replica.log().last_index(),
        });
        Frame::from_body(FrameBody::Hello(Hello {
            group: self.config.group.clone(),
            name: self.config.name.clone(),
            disk: self.disk,
            incarnation: self.incarnation,
            nonce: self.nonce,
            uninitialized: self.is_uninitialized(),
            shards: u32::from(self.config.shards),
            shard_progress: progress.collect(),
            generation: self.generation,
        }))
    }

    /// The connection to a member is open: this member introduces itself.
    pub fn on_connected(&mut self, now: Duration, name: &str) {
        self.advance_time(now);
        let hello = self.hello();
        if let Some(peer) = self.peers.get_mut(name) {
            peer.connected = true;
            self.effects.send(name, hello);
        }
        if self.bootstrap.is_none() && !self.stopped {
            self.bootstrap_if_ready();
        }
        self.settle();
    }

    /// The connection to a member broke.
    pub fn on_disconnected(&mut self, now: Duration, name: &str) {
        self.advance_time(now);
        if let Some(peer) = self.peers.get_mut(name) {
            peer.connected = false;
        }
        self.settle();
    }

    /// Sends the greeting again after something in it changed.
    fn broadcast_hello(&mut self) {
        let hello = self.hello();
        for (name, _) in self.peers.iter().filter(|(_, peer)| peer.connected) {
            self.effects.send(name, hello.clone());
        }
    }

    /// A peer introduced itself.
    pub(super) fn on_hello(&mut self, name: &str, hello: Hello) {
        if hello.group != self.config.group
            || hello.name != name
            || hello.shards != u32::from(self.config.shards)
            || !self.peers.contains_key(name)
        {
            return;
        }
        if self.is_disk_of_another_member(name, hello.disk) {
            let reason = "another member has this disk".to_owned();
            self.report_stale_peer(name, hello.disk, reason);
            return;
        }
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        for (shard, state) in &self.shards {
            // A candidate persists its term before it requests votes.
            if state.replica.vote() == hello.disk {
                peer.raise_durable_term(*shard, state.replica.term());
            }
        }
        if let Some(reason) = peer.stale_reason(&hello) {
            peer.stale_disk = Some(hello.disk);
            peer.hello = None;
            self.report_stale_peer(name, hello.disk, reason);
            return;
        }
        let (disk, generation) = (hello.disk, hello.generation);
        let peer_is_uninitialized = hello.uninitialized;
        peer.accept(hello);
        if generation > self.generation {
            if !self.is_uninitialized() {
                let reason = "the group was recovered without this disk".to_owned();
                self.stop_with(GroupEvent::StaleDisk { reason });
                return;
            }
            self.adopt_generation(generation);
        }
        match &self.bootstrap {
            Some(bootstrap) => {
                let is_founder = bootstrap.members.iter().any(|member| member.disk == disk);
                if peer_is_uninitialized && is_founder {
                    let body = FrameBody::Bootstrap(bootstrap.clone());
                    self.send_to(name, body);
                }
            }
            None => self.bootstrap_if_ready(),
        }
    }

    fn is_disk_of_another_member(&self, name: &str, disk: ReplicaId) -> bool {
        let mut others = self.peers.iter().filter(|(other, _)| *other != name);
        disk == self.disk
            || others.any(|(_, peer)| peer.incarnation.is_some_and(|known| known.disk == disk))
    }

    fn report_stale_peer(&mut self, name: &str, disk: ReplicaId, reason: String) {
        let notice = StaleDiskNotice {
            disk,
            reason: reason.clone(),
        };
        self.send_to(name, FrameBody::StaleDisk(notice));
        self.effects.events.push(GroupEvent::StalePeer {
            name: name.to_owned(),
            disk,
            reason,
        });
    }

    /// An uninitialized disk joins a group that was recovered to a newer generation.
    fn adopt_generation(&mut self, generation: u64) {
        self.generation = generation;
        self.writes.push(PersistentWrite::Metadata {
            number: METADATA_GENERATION,
            data: Bytes::copy_from_slice(&generation.to_le_bytes()),
        });
        self.broadcast_hello();
    }

    /// Writes what is known of the peers, if it changed since the last write.
    pub(super) fn write_peer_incarnations(&mut self) {
        let seen = self
            .peers
            .iter()
            .filter_map(|(name, peer)| peer.record(name))
            .collect();
        let incarnations = PeerIncarnations { seen };
        if incarnations != self.written_peer_incarnations {
            self.writes.push(PersistentWrite::Metadata {
                number: METADATA_PEER_INCARNATIONS,
                data: incarnations.encode_to_vec().into(),
            });
            self.written_peer_incarnations = incarnations;
        }
    }

    /// The disk of a member that is connected, or of this one.
    pub(super) fn connected_disk_of(&self, name: &str) -> Option<ReplicaId> {
        if name == self.config.name {
            return Some(self.disk);
        }
        let peer = self.peers.get(name).filter(|peer| peer.connected)?;
        peer.hello.as_ref().map(|hello| hello.disk)
    }

    /// The name of the connected peer that has a disk.
    pub(super) fn connected_peer_with(&self, disk: ReplicaId) -> Option<String> {
        self.peers
            .iter()
            .find(|(_, peer)| peer.connected && peer.has_disk(disk))
            .map(|(name, _)| name.clone())
    }
}
