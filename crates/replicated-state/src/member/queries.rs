//! Read-only views of a member, for operators and for the node above it.

use super::GroupMember;
use crate::gossip::GossipReports;
use crate::idempotency::{IdempotencyTable, KeyState, Register};
use crate::placement::{shard_of, SHARD_OF_REGISTERS};
use crate::versions::Versions;
use bytes::Bytes;
use rainstand_raft::{Replica, ReplicaId};
use std::time::Duration;

/// A shard that has a replica here.
#[derive(Clone, Copy, Debug)]
pub struct ShardView<'a> {
    /// Number of the shard.
    pub shard: u16,
    /// Its replica here.
    pub replica: &'a Replica,
    /// Its state, as far as the log is applied here.
    pub table: &'a IdempotencyTable,
}

/// Another member, as this one knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerStatus<'a> {
    /// Name of the member.
    pub name: &'a str,
    /// Whether the connection to it is open.
    pub is_connected: bool,
    /// The disk that it last introduced itself with.
    pub disk: Option<ReplicaId>,
    /// Whether it last connected with an old copy of its disk.
    pub is_stale: bool,
}

/// A key in the replica here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyLookup<'a> {
    /// The shard of the key.
    pub shard: u16,
    /// State of the key; none where it is not known, or where the shard has no replica here.
    pub state: Option<&'a KeyState>,
}

/// Published versions of the configuration, as far as they are applied here.
#[derive(Clone, Copy, Debug)]
pub struct PublishedVersions<'a> {
    /// The versions.
    pub versions: &'a Versions,
    /// Whether a leader was in contact within an election timeout, a majority if it leads itself, and all that is known
    /// to be committed is applied: a newer version can have been committed elsewhere for no longer than that.
    pub is_current: bool,
}

/// How many shards have a leader that is known here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaderCoverage {
    /// Shards with a known leader.
    pub known: usize,
    /// All shards.
    pub total: usize,
}

impl GroupMember {
    /// Identity of this member's disk.
    pub fn disk(&self) -> ReplicaId {
        self.disk
    }

    /// Name of this member.
    pub fn name(&self) -> &str {
        &self.config.name
    }

    /// The latest time that was passed in.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// The key that this disk claimed for a request's trace, also before a restart, if the replica here knows it.
    pub fn key_claimed_here(&self, trace: &[u8]) -> Option<Bytes> {
        let claim = self.claim(trace);
        self.shards
            .values()
            .find_map(|state| state.table.claimed_by(&claim).cloned())
    }

    /// The state of a key in the replica here.
    pub fn key_state(&self, key: &[u8]) -> KeyLookup<'_> {
        let shard = shard_of(key, self.config.shards);
        KeyLookup {
            shard,
            state: self
                .shards
                .get(&shard)
                .and_then(|state| state.table.get(key)),
        }
    }

    /// A register; none where it was never set, or where shard 0 has no replica here.
    pub fn register(&self, name: &[u8]) -> Option<&Register> {
        self.shards
            .get(&SHARD_OF_REGISTERS)
            .and_then(|state| state.table.register(name))
    }

    /// The published versions; none where shard 0 has no replica here. `now` is the time of the caller's clock: after
    /// the process was stopped, that of the last call is long past.
    pub fn published(&self, now: Duration) -> Option<PublishedVersions<'_>> {
        let state = self.shards.get(&SHARD_OF_REGISTERS)?;
        let replica = &state.replica;
        let has_applied_all = replica.applied() == replica.commit();
        Some(PublishedVersions {
            versions: state.table.versions(),
            is_current: replica.has_current_leader(now) && has_applied_all && !self.stopped,
        })
    }

    /// All shards that have a replica here, by number.
    pub fn shards(&self) -> impl Iterator<Item = ShardView<'_>> {
        self.shards.iter().map(|(shard, state)| ShardView {
            shard: *shard,
            replica: &state.replica,
            table: &state.table,
        })
    }

    /// All other members, by name.
    pub fn peers(&self) -> impl Iterator<Item = PeerStatus<'_>> {
        self.peers.iter().map(|(name, peer)| PeerStatus {
            name,
            is_connected: peer.connected,
            disk: peer.hello.as_ref().map(|hello| hello.disk),
            is_stale: peer.stale_disk.is_some(),
        })
    }

    /// Number of requests and reads without a final outcome, requests in the background included.
    pub fn pending_request_count(&self) -> usize {
        self.requests.len() + self.pending_reads.len()
    }

    /// Number of requests that were rejected because too many were pending.
    pub fn rejected_request_count(&self) -> u64 {
        self.rejected_request_count
    }

    /// Gossip reports of the other members.
    pub fn gossip_reports(&self) -> &GossipReports {
        &self.gossip_reports
    }

    /// How many shards have a leader that this member knows, from its own replicas or from responses.
    pub fn known_leaders(&self) -> LeaderCoverage {
        let has_leader = |shard: &u16| {
            let state = self.shards.get(shard);
            state.is_some_and(|state| state.replica.leader().is_some())
                || self.leader_hints.contains_key(shard)
        };
        LeaderCoverage {
            known: (0..self.config.shards).filter(has_leader).count(),
            total: usize::from(self.config.shards),
        }
    }

    /// Number of shards that are led here.
    pub fn led_shard_count(&self) -> usize {
        self.shards
            .values()
            .filter(|state| state.replica.is_leader())
            .count()
    }
}
