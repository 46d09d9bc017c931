//! The shards of this member: opens their replicas, steps them, and carries out what they ask for.

use super::requester::Requester;
use super::{GroupEvent, GroupMember, OutgoingFrame, PendingEntry, PersistentWrite};
use crate::frames::{Frame, FrameBody, Raft};
use crate::idempotency::IdempotencyTable;
use bytes::Bytes;
use rainstand_config_distribution::UpdateError;
use rainstand_raft::wire::Body;
use rainstand_raft::{Entry, Message, PersistentState, Replica, ReplicaId, SnapshotInstall};
use std::collections::BTreeMap;
use std::time::Duration;

/// Bytes of a shard's log that make a snapshot due, whatever the number of entries.
const COMPACTION_BYTES: usize = 8 << 20;
/// A withdrawn key is remembered for this many maximal election timeouts of log time: a start that was delayed on its
/// way arrives well within that.
const WITHDRAWN_RETENTION_ELECTIONS: u64 = 100;

/// A command that was proposed here and is not applied yet.
#[derive(Clone, Debug)]
pub(super) struct Proposal {
    /// The term in which it was proposed; another term's entry may take its index.
    pub term: u64,
    pub requester: Requester,
}

/// One shard's replica, its state, and who waits for it.
#[derive(Debug)]
pub(super) struct Shard {
    pub replica: Replica,
    pub table: IdempotencyTable,
    /// Proposals by log index.
    pub proposals: BTreeMap<u64, Proposal>,
    /// By key: requesters that wait for the end of another claim's run.
    pub watchers: BTreeMap<Bytes, Vec<Requester>>,
    /// Of a leader: who waits for the confirmation of a read, by its token.
    pub reads: BTreeMap<u64, Requester>,
    /// Whether the replica was the leader when it was last settled.
    pub was_leader: bool,
}

impl GroupMember {
    /// Opens a shard's replica with what its disk held.
    pub(super) fn open_shard(&mut self, shard: u16, state: PersistentState) {
        let seed = self.next_seed();
        let snapshot = state.snapshot.clone();
        let timeouts = self.config.timeouts;
        let replica = Replica::new(self.disk, timeouts, seed, self.now, state);
        let election_timeout_ns = timeouts.max_election_timeout.as_nanos() as u64;
        let mut table = IdempotencyTable::new(
            self.config.max_keys_per_shard,
            election_timeout_ns * WITHDRAWN_RETENTION_ELECTIONS,
        );
        if let Some(snapshot) = snapshot.filter(|snapshot| !snapshot.data.is_empty()) {
            self.effects.published_changed = true;
            // The checksum held, so another program wrote these bytes.
            if table.restore(snapshot.data).is_err() {
                self.stop_with(GroupEvent::StaleDisk {
                    reason: format!("shard {shard}: no table"),
                });
            }
        }
        let state = Shard {
            replica,
            table,
            proposals: BTreeMap::new(),
            watchers: BTreeMap::new(),
            reads: BTreeMap::new(),
            was_leader: false,
        };
        self.shards.insert(shard, state);
    }

    /// A message from a replica at another member.
    pub(super) fn on_raft(&mut self, name: &str, raft: Raft) {
        let Raft {
            shard,
            message,
            generation,
        } = raft;
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        let Ok(shard) = u16::try_from(shard) else {
            return;
        };
        // Only the disk that introduced itself counts: a stale one has no accepted greeting.
        if !peer.has_disk(message.from)
            || message.to != self.disk
            || generation != self.generation
            || shard >= self.config.shards
        {
            return;
        }
        if proves_durable_term(&message) {
            peer.raise_durable_term(shard, message.term);
        }
        if !self.shards.contains_key(&shard) {
            self.open_shard(shard, PersistentState::default());
        }
        if let Some(state) = self.shards.get_mut(&shard) {
            state.replica.step(self.now, message);
        }
    }

    /// Carries out what all replicas are ready for.
    pub(super) fn settle(&mut self) {
        let shards: Vec<u16> = self.shards.keys().copied().collect();
        for shard in shards {
            self.settle_shard(shard);
            if self.stopped {
                return;
            }
        }
        self.finish_applied_reads();
    }

    fn settle_shard(&mut self, shard: u16) {
        let Some(state) = self.shards.get_mut(&shard) else {
            return;
        };
        let ready = state.replica.take_ready();
        let is_leader = state.replica.is_leader();
        let has_requesters =
            !state.proposals.is_empty() || !state.watchers.is_empty() || !state.reads.is_empty();
        self.report_leadership(shard, is_leader);
        if ready.is_empty() && (is_leader || !has_requesters) {
            return;
        }
        if let Some(hard) = ready.hard_state {
            self.writes.push(PersistentWrite::HardState { shard, hard });
        }
        if let Some(install) = ready.snapshot {
            if self.install_snapshot(shard, install).is_err() {
                self.stop_with(GroupEvent::StaleDisk {
                    reason: format!("shard {shard}: no table came"),
                });
                return;
            }
        }
        self.write_entries(shard, ready.entries);
        if let Some(divergence) = ready.divergence {
            self.stop_with(GroupEvent::Diverged { shard, divergence });
            return;
        }
        let frames = self.raft_frames(shard, ready.messages);
        self.effects.frames.extend(frames);
        let frames = self.raft_frames(shard, ready.messages_after_persist);
        self.frames_after_persist.extend(frames);
        for entry in ready.committed {
            self.apply(shard, &entry);
        }
        for read in ready.reads {
            self.on_read_confirmed(shard, read);
        }
        if is_leader {
            self.record_follower_progress(shard);
        } else {
            self.redirect_requesters(shard);
            self.redirect_reads(shard);
        }
    }

    fn report_leadership(&mut self, shard: u16, is_leader: bool) {
        let Some(state) = self.shards.get_mut(&shard) else {
            return;
        };
        if state.was_leader == is_leader {
            return;
        }
        state.was_leader = is_leader;
        let term = state.replica.term();
        self.effects.events.push(if is_leader {
            GroupEvent::BecameLeader { shard, term }
        } else {
            GroupEvent::LostLeadership { shard }
        });
    }

    /// Takes over a snapshot that the leader sent.
    fn install_snapshot(
        &mut self,
        shard: u16,
        install: SnapshotInstall,
    ) -> Result<(), UpdateError> {
        let SnapshotInstall {
            snapshot,
            discard_suffix,
        } = install;
        if let Some(state) = self.shards.get_mut(&shard) {
            if !snapshot.data.is_empty() {
                state.table.restore(snapshot.data.clone())?;
            }
        }
        self.effects.published_changed = true;
        self.effects.events.push(GroupEvent::CaughtUp {
            shard,
            index: snapshot.metadata.index,
        });
        self.writes.push(PersistentWrite::InstallSnapshot {
            shard,
            snapshot,
            discard_suffix,
        });
        Ok(())
    }

    fn write_entries(&mut self, shard: u16, entries: Vec<Entry>) {
        for entry in entries {
            self.pending_entries.push(PendingEntry {
                shard,
                index: entry.index,
                term: entry.term,
            });
            self.writes.push(PersistentWrite::Entry { shard, entry });
        }
    }

    /// Wraps a replica's messages; those to disks that are not connected are dropped.
    fn raft_frames(&self, shard: u16, messages: Vec<Message>) -> Vec<OutgoingFrame> {
        let frame = |message: Message| {
            Some(OutgoingFrame {
                to: self.connected_peer_with(message.to)?,
                frame: Frame::from_body(FrameBody::Raft(Raft {
                    shard: u32::from(shard),
                    message,
                    generation: self.generation,
                })),
            })
        };
        messages.into_iter().filter_map(frame).collect()
    }

    /// Records how far the followers are known to be durable, to recognize an old copy of a disk later.
    fn record_follower_progress(&mut self, shard: u16) {
        let Some(state) = self.shards.get(&shard) else {
            return;
        };
        let (term, commit) = (state.replica.term(), state.replica.commit());
        for follower in state.replica.progress() {
            let index = follower.match_index.min(commit);
            if index == 0 {
                continue;
            }
            if let Some(peer) = self
                .peers
                .values_mut()
                .find(|peer| peer.has_disk(follower.id))
            {
                let durable = peer.durable.entry(shard).or_default();
                durable.term = durable.term.max(term);
                durable.index = durable.index.max(index);
            }
        }
    }

    /// Makes a snapshot of each shard whose log has grown past the bounds.
    pub(super) fn compact_grown_logs(&mut self) {
        let max_entries = self.config.compaction_entries;
        let is_grown = |state: &Shard| {
            let log = state.replica.log();
            log.len() >= max_entries || log.bytes() >= COMPACTION_BYTES
        };
        let grown: Vec<u16> = self
            .shards
            .iter()
            .filter(|(_, state)| is_grown(state))
            .map(|(shard, _)| *shard)
            .collect();
        for shard in grown {
            self.compact_shard(shard);
        }
    }

    /// Makes snapshots of shards now, because their entries keep the oldest segment of the write-ahead log in use.
    pub fn compact_shards(&mut self, now: Duration, shards: &[u16]) {
        self.advance_time(now);
        for shard in shards {
            self.compact_shard(*shard);
        }
        self.settle();
    }

    fn compact_shard(&mut self, shard: u16) {
        let Some(state) = self.shards.get_mut(&shard) else {
            return;
        };
        let index = state.replica.applied();
        if let Some(snapshot) = state.replica.compact(index, state.table.snapshot()) {
            self.writes.push(PersistentWrite::InstallSnapshot {
                shard,
                snapshot,
                discard_suffix: false,
            });
        }
    }

    /// Transfers the leadership of all shards that are led here, before a drain ends. Each goes to the voter that is
    /// furthest ahead.
    pub fn transfer_all_leadership(&mut self, now: Duration) {
        self.advance_time(now);
        for state in self.shards.values_mut() {
            if !state.replica.is_leader() {
                continue;
            }
            if let Some(successor) = best_successor(&state.replica) {
                // A transfer that is not possible now leaves the leadership here until the drain ends.
                let _ = state.replica.transfer_leadership(now, successor);
            }
        }
        self.settle();
    }
}

/// Whether a message is sent only after its term is durable at the sender.
fn proves_durable_term(message: &Message) -> bool {
    match &message.body {
        Some(Body::VoteRequest(request)) => !request.pre_vote,
        Some(Body::VoteResponse(response)) => !response.pre_vote,
        Some(
            Body::AppendResponse(_)
            | Body::ChunkAck(_)
            | Body::AppendRequest(_)
            | Body::SnapshotChunk(_),
        ) => true,
        _ => false,
    }
}

/// The voter with the most entries; of several, the one heard from last.
fn best_successor(replica: &Replica) -> Option<ReplicaId> {
    replica
        .progress()
        .filter(|follower| replica.membership().is_voter(follower.id))
        .max_by_key(|follower| (follower.match_index, follower.last_contact))
        .map(|follower| follower.id)
}
