//! Replication of entries from the leader to its followers, and the commit index.

use super::membership::{membership_of, IndexedMembership};
use super::progress::PeerDivergence;
use super::{ProposalError, Replica};
use crate::plant::planted;
use crate::wire::{AppendRequest, AppendResponse, Body, Entry, EntryKind, Member, ReplicaId};
use bytes::Bytes;
use std::time::Duration;

/// Limit on the number of entries in one message: some milliseconds of disk writes.
const MAX_BATCH_ENTRIES: usize = 512;
/// Limit on the data of one message, in bytes, unless a single entry is larger: far below the largest frame of a link.
const MAX_BATCH_BYTES: usize = 128 << 10;
/// Limit on proposed, uncommitted data, in bytes: a leader without a majority rejects proposals beyond it.
const MAX_UNCOMMITTED_BYTES: usize = 8 << 20;
/// Number of heartbeat intervals after which an unacknowledged message counts as lost.
const IN_FLIGHT_TIMEOUT_HEARTBEATS: u32 = 2;

/// Why a leader sends an append request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AppendReason {
    /// There may be new entries.
    Entries,
    /// The follower must be contacted now, with or without entries.
    Heartbeat,
}

/// An entry's index is not one above the previous entry's, so the request cannot come from a leader.
struct IndexGap;

impl Replica {
    /// Appends an entry with `data` and replicates it; returns its index. The entry is not committed yet.
    ///
    /// # Errors
    /// [`ProposalError::NotLeader`], or [`ProposalError::Busy`] while leadership is transferred or too much data is
    /// uncommitted.
    pub fn propose(&mut self, now: Duration, data: Bytes) -> Result<u64, ProposalError> {
        self.advance_clock(now);
        self.ensure_leader()?;
        let uncommitted_bytes = self.uncommitted_bytes + data.len();
        if self.leadership_transfer.is_some() || uncommitted_bytes > MAX_UNCOMMITTED_BYTES {
            return Err(ProposalError::Busy);
        }
        self.uncommitted_bytes = uncommitted_bytes;
        let index = self.append_as_leader(EntryKind::Data, data);
        self.replicate_to_all();
        Ok(index)
    }

    /// Whether this replica leads and has committed an entry in its term; before that, a leader does not know which
    /// entries are committed.
    pub fn has_committed_in_term(&self) -> bool {
        self.is_leader() && self.log.term(self.commit_index) == Some(self.term)
    }

    /// Records that all entries up to the one of this index and term are durable on the local disk.
    pub fn on_persisted(&mut self, index: u64, term: u64) {
        // An entry that was overwritten in the meantime has another term.
        if self.log.term(index) == Some(term) {
            self.persisted_index = self.persisted_index.max(index);
            self.advance_commit();
        }
    }

    pub(super) fn append_as_leader(&mut self, kind: EntryKind, data: Bytes) -> u64 {
        let index = self.log.last_index() + 1;
        self.push_entry(Entry {
            index,
            term: self.term,
            stamp: self.log_time(),
            kind: kind.into(),
            data,
        });
        if kind == EntryKind::Config {
            self.sync_peers();
        }
        if planted("early-answer") {
            self.commit_index = index;
        }
        index
    }

    /// Appends an entry to the log and to the entries to be written.
    fn push_entry(&mut self, entry: Entry) {
        self.observe_stamp(entry.stamp);
        if let Some(membership) = membership_of(&entry) {
            self.memberships
                .push(IndexedMembership::new(entry.index, membership));
        }
        self.ready.entries.push(entry.clone());
        self.log.push(entry);
    }

    pub(super) fn replicate_to_all(&mut self) {
        for id in self.peer_ids() {
            self.replicate(id, AppendReason::Entries);
        }
    }

    pub(super) fn send_heartbeats(&mut self) {
        for id in self.peer_ids() {
            self.replicate(id, AppendReason::Heartbeat);
        }
    }

    /// Sends a peer the entries or the snapshot chunk that it needs next. Only one such message is in flight at a time.
    pub(super) fn replicate(&mut self, to: ReplicaId, reason: AppendReason) {
        let in_flight_timeout = self.timeouts.heartbeat_interval * IN_FLIGHT_TIMEOUT_HEARTBEATS;
        let base_index = self.log.base().index;
        let Some(peer) = self.peers.get_mut(&to) else {
            return;
        };
        peer.expire_in_flight(self.now, in_flight_timeout);
        let in_flight = peer.in_flight_since.is_some();
        let is_heartbeat = reason == AppendReason::Heartbeat;
        let is_blocked = in_flight && (!is_heartbeat || peer.snapshot_position.is_some());
        let has_entries = peer.next_index <= self.log.last_index();
        if is_blocked || !is_heartbeat && !has_entries {
            return;
        }
        if in_flight {
            // The probed entry is one that the peer is known to have.
            let prev_index = peer.match_index.max(base_index);
            self.send_append_request(to, prev_index, Vec::new());
            return;
        }
        if peer.next_index <= base_index {
            self.send_snapshot_chunk(to);
            return;
        }
        let next_index = peer.next_index;
        let entries = self
            .log
            .entries_from(next_index, MAX_BATCH_ENTRIES, MAX_BATCH_BYTES);
        if !entries.is_empty() {
            peer.in_flight_since = Some(self.now);
        }
        self.send_append_request(to, next_index - 1, entries);
    }

    fn send_append_request(&mut self, to: ReplicaId, prev_index: u64, entries: Vec<Entry>) {
        let request = AppendRequest {
            prev_index,
            prev_term: self.log.term(prev_index).unwrap_or(0),
            prev_checksum: self.log.checksum(prev_index).unwrap_or(0),
            commit: self.commit_index,
            read_round: self.read_round,
            entries,
        };
        self.send(to, Body::AppendRequest(request));
    }

    /// Commits the entries that a majority has on disk, if the last of them is of this term.
    fn advance_commit(&mut self) {
        if !self.is_leader() {
            return;
        }
        let Some(index) = self.majority_index() else {
            return;
        };
        if index <= self.commit_index || self.log.term(index) != Some(self.term) {
            return;
        }
        for index in self.commit_index + 1..=index {
            let data_bytes = self
                .log
                .entry(index)
                .filter(|entry| entry.kind() == EntryKind::Data)
                .map_or(0, |entry| entry.data.len());
            self.uncommitted_bytes = self.uncommitted_bytes.saturating_sub(data_bytes);
        }
        self.commit_index = index;
        // A removed leader steps down once its removal is committed.
        if self.membership().member(self.id).is_none() {
            self.become_follower(self.term, None);
        }
    }

    /// Highest index that a majority of the voters has on disk.
    fn majority_index(&self) -> Option<u64> {
        let durable_index = |id: ReplicaId| {
            if id == self.id {
                self.persisted_index
            } else {
                self.peers.get(&id).map_or(0, |peer| peer.match_index)
            }
        };
        let counts_as_voter = |member: &&Member| member.is_voter || planted("vote-too-soon");
        let membership = self.membership();
        let members = membership.members.iter().filter(counts_as_voter);
        let mut indexes: Vec<u64> = members.map(|member| durable_index(member.id)).collect();
        indexes.sort_unstable_by(|a, b| b.cmp(a));
        indexes.get(membership.majority() - 1).copied()
    }

    pub(super) fn handle_append_request(&mut self, from: ReplicaId, request: AppendRequest) {
        if self.is_leader() {
            return;
        }
        self.record_leader_contact(from);
        if let Some(response) = self.check_previous_entry(&request) {
            self.send_append_response(from, response);
            return;
        }
        let last_index = request.prev_index + request.entries.len() as u64;
        if let Err(IndexGap) = self.store_entries(request.prev_index, request.entries) {
            return;
        }
        self.commit_index = self.commit_index.max(request.commit.min(last_index));
        let response = AppendResponse::success(last_index, request.read_round);
        self.send_append_response(from, response);
    }

    /// The response to a request whose previous entry is not in this log, or differs from the one here; `None` if it
    /// matches.
    fn check_previous_entry(&self, request: &AppendRequest) -> Option<AppendResponse> {
        let (prev_index, read_round) = (request.prev_index, request.read_round);
        let base_index = self.log.base().index;
        if prev_index < base_index {
            // All entries up to the base are committed, so the leader can continue from there.
            return Some(AppendResponse::success(base_index, read_round));
        }
        let Some(prev_term) = self.log.term(prev_index) else {
            let last_index = self.log.last_index();
            return Some(AppendResponse::mismatch(last_index, read_round));
        };
        if prev_term != request.prev_term {
            return Some(if prev_index <= self.commit_index {
                // No two leaders commit different entries at the same index, so the logs diverged.
                self.divergence_at(prev_index, read_round)
            } else {
                let before_term = self.log.first_index_of_term(prev_index).saturating_sub(1);
                AppendResponse::mismatch(before_term.max(self.commit_index), read_round)
            });
        }
        let checksum = self.log.checksum(prev_index)?;
        (checksum != request.prev_checksum).then(|| self.divergence_at(prev_index, read_round))
    }

    /// A response that reports this log's running checksum at a divergent index. On the wire, 0 means no divergence, so
    /// a checksum of 0 is sent as 1.
    fn divergence_at(&self, index: u64, read_round: u64) -> AppendResponse {
        let checksum = self.log.checksum(index).unwrap_or(0).max(1);
        AppendResponse::divergence(index, checksum, read_round)
    }

    fn store_entries(&mut self, prev_index: u64, entries: Vec<Entry>) -> Result<(), IndexGap> {
        for (expected_index, entry) in (prev_index + 1..).zip(entries) {
            if entry.index != expected_index {
                return Err(IndexGap);
            }
            self.store_entry(entry);
        }
        Ok(())
    }

    /// Stores an entry from the leader; truncates the log first if it has an uncommitted entry of another term there.
    fn store_entry(&mut self, entry: Entry) {
        if self.log.term(entry.index) == Some(entry.term) {
            return;
        }
        if self.log.last_index() >= entry.index {
            if planted("tail-kept") {
                return;
            }
            self.truncate_log(entry.index);
        }
        self.push_entry(entry);
    }

    /// Removes the uncommitted entries from `from_index` on.
    fn truncate_log(&mut self, from_index: u64) {
        debug_assert!(
            from_index > self.commit_index || cfg!(feature = "planted"),
            "committed entries are never removed"
        );
        self.log.truncate_from(from_index);
        self.memberships
            .retain(|indexed| indexed.index < from_index);
        self.ready.entries.retain(|entry| entry.index < from_index);
        self.persisted_index = self.persisted_index.min(from_index - 1);
    }

    pub(super) fn handle_append_response(&mut self, from: ReplicaId, response: &AppendResponse) {
        if !self.is_leader() {
            return;
        }
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        peer.record_contact(self.now, response.read_round);
        if response.success {
            if response.index > self.log.last_index() {
                return;
            }
            peer.record_match(response.index);
            self.advance_commit();
            self.send_timeout_now(from);
        } else if response.divergent_checksum != 0 {
            peer.divergence = Some(PeerDivergence {
                index: response.index,
                checksum: response.divergent_checksum,
            });
            peer.in_flight_since = Some(self.now);
            self.resolve_divergence();
        } else if peer.snapshot_position.is_none() {
            peer.record_mismatch(response.index);
        }
        self.confirm_reads();
        // The replica may have stepped down or been quarantined above.
        if self.is_leader() {
            self.replicate(from, AppendReason::Entries);
        }
    }
}
