//! Linearizable reads of the replicas here.
//!
//! A replica that follows is behind its leader, and one that was cut off or stopped is behind without knowing it. A read
//! that somebody acts on is therefore confirmed first: the shard's leader notes its commit index and proves with a round
//! of heartbeats that it still leads, and the read may be served once that index is applied here.

use super::effects::{FinishedRead, ReadOutcome};
use super::requester::{Requester, LEADER_RETRY_INTERVAL, NO_LEADER_RETRY_INTERVAL};
use super::GroupMember;
use crate::frames::{FrameBody, ReadRequest, ReadResponse};
use rainstand_raft::ReadState;
use std::time::Duration;

/// Reads of this member that are not confirmed yet.
const MAX_PENDING_READS: usize = 1_024;

/// A read that waits for its confirmation, or for the confirmed index to be applied here.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingRead {
    shard: u16,
    /// When it ends unconfirmed, on the member's clock.
    deadline: Duration,
    /// When it is sent again, unless it is confirmed by then.
    retry_at: Duration,
    attempts: u32,
    /// The commit index that a leader confirmed: the read ends once that is applied here.
    index: Option<u64>,
}

impl PendingRead {
    /// When the read is due for a retry, or times out.
    pub(super) fn due_at(&self) -> Duration {
        match self.index {
            Some(_) => self.deadline,
            None => self.retry_at.min(self.deadline),
        }
    }
}

impl GroupMember {
    /// Starts a read of a shard's replica here, and returns its number. The effects report how it ended, at `deadline`
    /// at the latest.
    ///
    /// None if the shard has no replica here, too many reads are pending, or the member is stopped.
    pub fn confirm_read(&mut self, now: Duration, shard: u16, deadline: Duration) -> Option<u64> {
        self.advance_time(now);
        if self.stopped || !self.shards.contains_key(&shard) {
            return None;
        }
        if self.pending_reads.len() >= MAX_PENDING_READS {
            self.rejected_request_count += 1;
            return None;
        }
        let id = self.next_request_id();
        let read = PendingRead {
            shard,
            deadline,
            retry_at: self.now,
            attempts: 0,
            index: None,
        };
        self.pending_reads.insert(id, read);
        self.send_read(id);
        self.requests_due_at = self.requests_due_at.min(deadline);
        self.settle();
        Some(id)
    }

    /// Sends a read to the shard's leader, or to a member that may know the leader.
    fn send_read(&mut self, id: u64) {
        let Some(read) = self.pending_reads.get_mut(&id) else {
            return;
        };
        read.attempts += 1;
        let (shard, attempts) = (read.shard, read.attempts);
        if self.leads(shard) {
            self.retry_read_within(id, LEADER_RETRY_INTERVAL);
            self.start_read(shard, &Requester::Local(id));
            return;
        }
        let Some(target) = self.connected_request_target(shard, attempts) else {
            self.retry_read_within(id, NO_LEADER_RETRY_INTERVAL);
            self.leader_hints.remove(&shard);
            return;
        };
        self.retry_read_within(id, LEADER_RETRY_INTERVAL);
        let shard = u32::from(shard);
        self.send_to(&target, FrameBody::ReadRequest(ReadRequest { id, shard }));
    }

    fn retry_read_within(&mut self, id: u64, interval: Duration) {
        if let Some(read) = self.pending_reads.get_mut(&id) {
            read.retry_at = self.now + interval;
            self.requests_due_at = self.requests_due_at.min(read.retry_at);
        }
    }

    /// Starts a read at the replica here; the requester is redirected if that does not lead.
    fn start_read(&mut self, shard: u16, requester: &Requester) {
        let (now, token) = (self.now, self.next_request_id());
        let started = self.shards.get_mut(&shard).is_some_and(|state| {
            let started = state.replica.read(now, token).is_ok();
            if started {
                state.reads.insert(token, requester.clone());
            }
            started
        });
        if !started {
            self.redirect_read(requester, shard);
        }
    }

    /// Another member asks for a read.
    pub(super) fn on_read_request(&mut self, name: &str, request: ReadRequest) {
        let Ok(shard) = u16::try_from(request.shard) else {
            return;
        };
        let requester = Requester::Remote {
            member: name.to_owned(),
            id: request.id,
        };
        self.start_read(shard, &requester);
    }

    /// Another member answered a read.
    pub(super) fn on_read_response(&mut self, response: ReadResponse) {
        if let Some(index) = response.index {
            self.set_read_index(response.id, index);
            return;
        }
        let Ok(shard) = u16::try_from(response.shard) else {
            return;
        };
        self.note_leader_hint(shard, response.leader);
        self.retry_read_within(response.id, NO_LEADER_RETRY_INTERVAL);
    }

    /// The leader here confirmed a read.
    pub(super) fn on_read_confirmed(&mut self, shard: u16, read: ReadState) {
        let state = self.shards.get_mut(&shard);
        let requester = state.and_then(|state| state.reads.remove(&read.token));
        match requester {
            Some(Requester::Local(id)) => self.set_read_index(id, read.index),
            Some(Requester::Remote { member, id }) => {
                let response = ReadResponse {
                    id,
                    shard: shard.into(),
                    index: Some(read.index),
                    leader: 0,
                };
                self.send_to(&member, FrameBody::ReadResponse(response));
            }
            None => {}
        }
    }

    fn set_read_index(&mut self, id: u64, index: u64) {
        if let Some(read) = self.pending_reads.get_mut(&id) {
            read.index.get_or_insert(index);
        }
    }

    /// The replica here no longer leads: reads that it has not confirmed go to the leader.
    pub(super) fn redirect_reads(&mut self, shard: u16) {
        let Some(state) = self.shards.get_mut(&shard) else {
            return;
        };
        for requester in std::mem::take(&mut state.reads).into_values() {
            self.redirect_read(&requester, shard);
        }
    }

    fn redirect_read(&mut self, requester: &Requester, shard: u16) {
        match requester {
            Requester::Local(id) => self.retry_read_within(*id, NO_LEADER_RETRY_INTERVAL),
            Requester::Remote { member, id } => {
                let response = ReadResponse {
                    id: *id,
                    shard: shard.into(),
                    index: None,
                    leader: self.other_leader(shard).unwrap_or(0),
                };
                self.send_to(member, FrameBody::ReadResponse(response));
            }
        }
    }

    /// Reports the reads whose confirmed index is applied here.
    pub(super) fn finish_applied_reads(&mut self) {
        let shards = &self.shards;
        let is_applied = |read: &PendingRead| {
            let applied = shards.get(&read.shard).map(|state| state.replica.applied());
            // Both are options: a read that is not confirmed, or whose shard is gone, is not applied.
            read.index.is_some() && read.index <= applied
        };
        let finished = self
            .pending_reads
            .extract_if(.., |_, read| is_applied(read));
        let finished = finished.map(|(id, _)| FinishedRead {
            id,
            outcome: ReadOutcome::Confirmed,
        });
        self.effects.reads.extend(finished);
    }

    /// Times out the reads whose deadline has passed.
    pub(super) fn expire_reads(&mut self) {
        let now = self.now;
        let expired = self
            .pending_reads
            .extract_if(.., |_, read| read.deadline <= now);
        let expired = expired.map(|(id, _)| FinishedRead {
            id,
            outcome: ReadOutcome::Unconfirmed,
        });
        self.effects.reads.extend(expired);
    }

    /// Sends the reads again that are due for a retry and not confirmed yet.
    pub(super) fn retry_due_reads(&mut self) {
        let is_due = |read: &PendingRead| read.index.is_none() && read.retry_at <= self.now;
        let due: Vec<u64> = self
            .pending_reads
            .iter()
            .filter(|(_, read)| is_due(read))
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            self.send_read(id);
        }
    }
}
