//! Compaction of the log, and the transfer of snapshots to followers whose next entry was compacted.

use super::membership::IndexedMembership;
use super::progress::SnapshotPosition;
use super::replication::AppendReason;
use super::{Replica, SnapshotInstall};
use crate::plant::planted;
use crate::wire::{
    AppendResponse, Body, ChunkAck, ReplicaId, Snapshot, SnapshotChunk, SnapshotMetadata,
};
use bytes::Bytes;

/// Size of one snapshot chunk, in bytes: two chunks fit into the largest frame of a link.
const SNAPSHOT_CHUNK_BYTES: usize = 128 << 10;
/// Largest snapshot that is accepted, in bytes: far above what a shard's limit on keys allows.
const MAX_SNAPSHOT_BYTES: u64 = 4 << 30;

/// A snapshot that is being received in chunks.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct IncomingSnapshot {
    metadata: SnapshotMetadata,
    total_bytes: u64,
    data: Vec<u8>,
}

impl Replica {
    /// Replaces the entries up to an applied index with a snapshot of `data`; returns the snapshot, to be stored.
    /// Returns `None` if the log has no entry at the index, or it is not applied yet.
    pub fn compact(&mut self, index: u64, data: Bytes) -> Option<Snapshot> {
        let entry = self.log.entry(index)?;
        if index > self.applied_index {
            return None;
        }
        let membership = self
            .memberships
            .iter()
            .rev()
            .find(|indexed| indexed.index <= index);
        let metadata = SnapshotMetadata {
            index,
            term: entry.term,
            stamp: entry.stamp,
            checksum: self.log.checksum(index)?,
            config: membership?.membership.clone(),
        };
        self.rebase_log(metadata.clone());
        self.snapshot_data = data.clone();
        Some(Snapshot { metadata, data })
    }

    /// Makes a snapshot the base of the log.
    fn rebase_log(&mut self, base: SnapshotMetadata) {
        self.memberships
            .retain(|indexed| indexed.index > base.index);
        let base_membership = IndexedMembership::new(base.index, base.config.clone());
        self.memberships.insert(0, base_membership);
        self.log.compact(base);
    }

    /// Sends a peer the next chunk of the snapshot.
    pub(super) fn send_snapshot_chunk(&mut self, to: ReplicaId) {
        let metadata = self.log.base().clone();
        let total_bytes = self.snapshot_data.len() as u64;
        let Some(peer) = self.peers.get_mut(&to) else {
            return;
        };
        let offset = peer
            .snapshot_position
            .filter(|position| position.index == metadata.index)
            .map_or(0, |position| position.offset)
            .min(total_bytes);
        peer.snapshot_position = Some(SnapshotPosition {
            index: metadata.index,
            offset,
        });
        peer.in_flight_since = Some(self.now);
        let end = (offset + SNAPSHOT_CHUNK_BYTES as u64).min(total_bytes);
        let chunk = SnapshotChunk {
            metadata,
            total_bytes,
            offset,
            data: self.snapshot_data.slice(offset as usize..end as usize),
            read_round: self.read_round,
        };
        self.send(to, Body::SnapshotChunk(chunk));
    }

    pub(super) fn handle_snapshot_chunk(&mut self, from: ReplicaId, chunk: SnapshotChunk) {
        if self.is_leader() {
            return;
        }
        self.record_leader_contact(from);
        let (index, read_round) = (chunk.metadata.index, chunk.read_round);
        if index <= self.commit_index {
            let response = AppendResponse::success(self.commit_index, read_round);
            self.send_append_response(from, response);
            return;
        }
        if chunk.total_bytes > MAX_SNAPSHOT_BYTES {
            return;
        }
        let snapshot = self.receive_chunk(chunk);
        let received_bytes = snapshot.data.len() as u64;
        if received_bytes < snapshot.total_bytes {
            self.incoming_snapshot = Some(snapshot);
            let ack = ChunkAck {
                index,
                offset: received_bytes,
                read_round,
            };
            self.send_after_persist(from, Body::ChunkAck(ack));
            return;
        }
        self.install_snapshot(snapshot.metadata, snapshot.data.into());
        let response = AppendResponse::success(self.commit_index, read_round);
        self.send_append_response(from, response);
    }

    /// Adds a chunk to its snapshot: the one being received, or a new one. A chunk that is not contiguous is ignored.
    fn receive_chunk(&mut self, chunk: SnapshotChunk) -> IncomingSnapshot {
        let mut snapshot = self
            .incoming_snapshot
            .take()
            .filter(|snapshot| {
                snapshot.metadata == chunk.metadata && snapshot.total_bytes == chunk.total_bytes
            })
            .unwrap_or_else(|| IncomingSnapshot {
                metadata: chunk.metadata,
                total_bytes: chunk.total_bytes,
                data: Vec::new(),
            });
        let is_contiguous = chunk.offset == snapshot.data.len() as u64;
        if is_contiguous && chunk.offset + chunk.data.len() as u64 <= snapshot.total_bytes {
            snapshot.data.extend_from_slice(&chunk.data);
        }
        snapshot
    }

    /// Replaces everything up to the index of a leader's snapshot with the snapshot.
    fn install_snapshot(&mut self, mut metadata: SnapshotMetadata, data: Bytes) {
        if planted("config-lost") {
            metadata.config = self.membership().clone();
        }
        let index = metadata.index;
        // Entries after the snapshot are retained only if they belong to the same history.
        let same_history = self.log.term(index) == Some(metadata.term);
        if !same_history {
            self.log.truncate_from(self.log.base().index + 1);
            self.memberships.truncate(1);
            self.ready.entries.clear();
        }
        self.ready.entries.retain(|entry| entry.index > index);
        self.observe_stamp(metadata.stamp);
        self.rebase_log(metadata.clone());
        self.ready.committed.clear();
        self.commit_index = index;
        self.applied_index = index;
        self.persisted_index = if same_history {
            self.persisted_index.max(index)
        } else {
            index
        };
        self.snapshot_data = data.clone();
        self.ready.snapshot = Some(SnapshotInstall {
            snapshot: Snapshot { metadata, data },
            discard_suffix: !same_history,
        });
    }

    pub(super) fn handle_chunk_ack(&mut self, from: ReplicaId, ack: &ChunkAck) {
        if !self.is_leader() {
            return;
        }
        let base_index = self.log.base().index;
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        peer.record_contact(self.now, ack.read_round);
        peer.in_flight_since = None;
        if ack.index == base_index {
            peer.snapshot_position = Some(SnapshotPosition {
                index: base_index,
                offset: ack.offset,
            });
        }
        self.confirm_reads();
        if self.is_leader() {
            self.replicate(from, AppendReason::Heartbeat);
        }
    }
}
