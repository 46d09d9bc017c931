//! Compaction of the log, and snapshots for followers whose entries were compacted.

use super::{appended, planted, Incoming, Replica, PIECE, SNAPSHOT_MOST};
use crate::wire::{Body, ChunkAck, Message, ReplicaId, Snapshot, SnapshotChunk, SnapshotMetadata};
use bytes::Bytes;

impl Replica {
    pub(super) fn send_piece(&mut self, to: ReplicaId) {
        let base = self.log.base().clone();
        let total = self.snapshot.len() as u64;
        let Some(peer) = self.peers.get_mut(&to) else {
            return;
        };
        let (_, offset) = peer
            .piece
            .filter(|piece| piece.0 == base.index)
            .unwrap_or((base.index, 0));
        let offset = offset.min(total);
        peer.piece = Some((base.index, offset));
        peer.waiting = Some(self.now);
        let end = (offset + PIECE as u64).min(total);
        let data = self.snapshot.slice(offset as usize..end as usize);
        let body = Body::Piece(SnapshotChunk {
            base,
            total,
            offset,
            data,
            round: self.round,
        });
        self.out.messages.push(Message {
            to,
            from: self.id,
            term: self.term,
            body: Some(body),
        });
    }

    /// The state up to an applied index, in place of the entries; what is to be kept of it.
    pub fn compact(&mut self, index: u64, data: Bytes) -> Option<Snapshot> {
        let (stamp, term) = (self.log.entry(index)?.stamp, self.log.term(index)?);
        if index > self.applied {
            return None;
        }
        let config = self
            .configs
            .iter()
            .rev()
            .find(|config| config.0 <= index)?
            .1
            .clone();
        let base = SnapshotMetadata {
            index,
            term,
            stamp,
            checksum: self.log.sum(index)?,
            config,
        };
        self.based(base.clone());
        self.snapshot = data.clone();
        Some(Snapshot {
            metadata: base,
            data,
        })
    }

    pub(super) fn based(&mut self, base: SnapshotMetadata) {
        let later = self
            .configs
            .iter()
            .filter(|config| config.0 > base.index)
            .cloned();
        let configs: Vec<_> = std::iter::once((base.index, base.config.clone()))
            .chain(later)
            .collect();
        self.configs = configs;
        self.log.compact(base);
    }

    pub(super) fn piece(&mut self, from: ReplicaId, piece: SnapshotChunk) {
        if self.is_leader() {
            return;
        }
        self.heard_leader(from);
        let SnapshotChunk {
            base,
            total,
            offset,
            data,
            round,
        } = piece;
        if base.index <= self.commit {
            return self.reply(from, appended(true, self.commit, round));
        }
        if total > SNAPSHOT_MOST {
            return;
        }
        let same = self
            .incoming
            .as_ref()
            .is_some_and(|one| one.base == base && one.total == total);
        if !same {
            self.incoming = Some(Incoming {
                base: base.clone(),
                total,
                data: Vec::new(),
            });
        }
        let Some(incoming) = &mut self.incoming else {
            return;
        };
        if offset == incoming.data.len() as u64 && offset + data.len() as u64 <= total {
            incoming.data.extend_from_slice(&data);
        }
        let there = incoming.data.len() as u64;
        if there < total {
            return self.reply(
                from,
                Body::Took(ChunkAck {
                    index: base.index,
                    offset: there,
                    round,
                }),
            );
        }
        let whole = self
            .incoming
            .take()
            .map(|incoming| Bytes::from(incoming.data))
            .unwrap_or_default();
        self.take_over(base, whole);
        self.reply(from, appended(true, self.commit, round));
    }

    /// A whole snapshot of the leader's, in place of what is here.
    pub(super) fn take_over(&mut self, base: SnapshotMetadata, data: Bytes) {
        let mut base = base;
        if planted("config-lost") {
            base.config = self.membership().clone();
        }
        // Entries behind it stay only if they are of the same history.
        let same = self.log.term(base.index) == Some(base.term);
        if !same {
            self.log.cut(self.log.base().index + 1);
            self.configs.truncate(1);
            self.out.entries.clear();
        }
        self.out.entries.retain(|entry| entry.index > base.index);
        self.saw_stamp(base.stamp);
        let index = base.index;
        self.based(base.clone());
        self.out.committed.clear();
        (self.commit, self.applied) = (index, index);
        self.durable = if same { self.durable.max(index) } else { index };
        self.snapshot = data.clone();
        self.out.snapshot = Some((
            Snapshot {
                metadata: base,
                data,
            },
            !same,
        ));
    }

    pub(super) fn took(&mut self, from: ReplicaId, took: &ChunkAck) {
        if !self.is_leader() {
            return;
        }
        let (now, base) = (self.now, self.log.base().index);
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        peer.heard = now;
        peer.round = peer.round.max(took.round);
        peer.waiting = None;
        if took.index == base {
            peer.piece = Some((base, took.offset));
        }
        self.answer_reads();
        if self.is_leader() {
            self.send(from, true);
        }
    }
}
