//! Entries from the leader to its followers, and the commit index.

use super::{
    appended, config_of, planted, ProposalError, Replica, Role, BATCH, BATCH_BYTES, LOST,
    UNCOMMITTED,
};
use crate::wire::{
    AppendRequest, AppendResponse, Body, Entry, EntryKind, Member, Message, ReplicaId,
};
use bytes::Bytes;
use std::time::Duration;

impl Replica {
    /// Adds an entry, if this is the leader and there is room; its index.
    ///
    /// # Errors
    /// Who leads, or that too much is on its way.
    pub fn propose(&mut self, now: Duration, data: Bytes) -> Result<u64, ProposalError> {
        self.now = self.now.max(now);
        if !self.is_leader() {
            return Err(ProposalError::NotLeader(
                self.leader.filter(|leader| *leader != self.id),
            ));
        }
        if self.handing.is_some() || self.uncommitted + data.len() > UNCOMMITTED {
            return Err(ProposalError::Busy);
        }
        self.uncommitted += data.len();
        let index = self.append(EntryKind::Data, data);
        self.spread();
        Ok(index)
    }

    pub(super) fn append(&mut self, kind: EntryKind, data: Bytes) -> u64 {
        let stamp = self.log_time();
        let entry = Entry {
            index: self.log.last() + 1,
            term: self.term,
            stamp,
            kind: kind.into(),
            data,
        };
        self.saw_stamp(stamp);
        let index = entry.index;
        if let Some(config) = config_of(&entry) {
            self.configs.push((index, config));
        }
        self.log.push(entry.clone());
        self.out.entries.push(entry);
        if kind == EntryKind::Config {
            self.meet_members();
        }
        if planted("early-answer") {
            self.commit = index;
        }
        index
    }

    pub(super) fn spread(&mut self) {
        let ids: Vec<ReplicaId> = self.peers.keys().copied().collect();
        for id in ids {
            self.send(id, false);
        }
    }

    /// What a peer needs next. One message is on its way to each; `beat`: it is to hear something now.
    pub(super) fn send(&mut self, to: ReplicaId, beat: bool) {
        let lost = self.times.heartbeat_interval * LOST;
        let (now, last, base) = (self.now, self.log.last(), self.log.base().index);
        let Some(peer) = self.peers.get_mut(&to) else {
            return;
        };
        if peer.waiting.is_some_and(|since| now >= since + lost) {
            peer.waiting = None;
        }
        let waits = peer.waiting.is_some();
        if waits && (!beat || peer.piece.is_some()) || !beat && peer.next > last {
            return;
        }
        if !waits && peer.next <= base {
            self.send_piece(to);
            return;
        }
        // While something is on its way, a heartbeat asks about what is surely there.
        let prev = if waits {
            peer.matched.max(base)
        } else {
            peer.next - 1
        };
        let entries = if waits {
            Vec::new()
        } else {
            self.log.from(prev + 1, BATCH, BATCH_BYTES)
        };
        if !waits && !entries.is_empty() {
            peer.waiting = Some(now);
        }
        let body = Body::Append(AppendRequest {
            prev_index: prev,
            prev_term: self.log.term(prev).unwrap_or(0),
            prev_sum: self.log.sum(prev).unwrap_or(0),
            commit: self.commit,
            round: self.round,
            entries,
        });
        self.out.messages.push(Message {
            to,
            from: self.id,
            term: self.term,
            body: Some(body),
        });
    }

    /// The disk has all up to an entry of this index and term.
    pub fn on_persisted(&mut self, index: u64, term: u64) {
        // What was overwritten meanwhile is another entry.
        if self.log.term(index) == Some(term) {
            self.durable = self.durable.max(index);
            self.advance();
        }
    }

    /// What a majority has durably is committed, if it is of this term.
    pub(super) fn advance(&mut self) {
        if !self.is_leader() {
            return;
        }
        let has = |id: ReplicaId| {
            if id == self.id {
                self.durable
            } else {
                self.peers.get(&id).map_or(0, |peer| peer.matched)
            }
        };
        let counts = |member: &&Member| member.is_voter || planted("vote-too-soon");
        let members = self.membership().members.iter().filter(counts);
        let mut all: Vec<u64> = members.map(|member| has(member.id)).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        let Some(&index) = all.get(self.membership().majority() - 1) else {
            return;
        };
        if index > self.commit && self.log.term(index) == Some(self.term) {
            for index in self.commit + 1..=index {
                let done = self
                    .log
                    .entry(index)
                    .filter(|entry| entry.kind() == EntryKind::Data);
                let done = done.map_or(0, |entry| entry.data.len());
                self.uncommitted = self.uncommitted.saturating_sub(done);
            }
            self.commit = index;
            // A leader that is no member any more has done its part once that is known to most.
            if self.membership().member(self.id).is_none() {
                self.follow(self.term, None);
            }
        }
    }

    /// The leader of this term was heard.
    pub(super) fn heard_leader(&mut self, from: ReplicaId) {
        if self.role != Role::Follower {
            self.follow(self.term, Some(from));
        }
        self.leader = Some(from);
        self.heard = Some(self.now);
        self.draw_deadline();
    }

    pub(super) fn appended(&mut self, from: ReplicaId, append: AppendRequest) {
        if self.is_leader() {
            return;
        }
        self.heard_leader(from);
        let (prev, round) = (append.prev_index, append.round);
        let base = self.log.base().index;
        if prev < base {
            // All up to the base is committed: the leader goes on from there.
            self.reply(from, appended(true, base, round));
            return;
        }
        match self.log.term(prev) {
            None => return self.reply(from, appended(false, self.log.last(), round)),
            // No leader's log differs in what is committed.
            Some(term) if term != append.prev_term && prev <= self.commit => {
                let differs = self.log.sum(prev).unwrap_or(0).max(1);
                let body = AppendResponse {
                    good: false,
                    index: prev,
                    round,
                    differs,
                };
                return self.reply(from, Body::Appended(body));
            }
            Some(term) if term != append.prev_term => {
                let before = self
                    .log
                    .first_of_term(prev)
                    .saturating_sub(1)
                    .max(self.commit);
                return self.reply(from, appended(false, before, round));
            }
            Some(_) => {}
        }
        if let Some(own) = self.log.sum(prev).filter(|own| *own != append.prev_sum) {
            let body = AppendResponse {
                good: false,
                index: prev,
                round,
                differs: own,
            };
            return self.reply(from, Body::Appended(body));
        }
        let last = prev + append.entries.len() as u64;
        for (k, entry) in append.entries.into_iter().enumerate() {
            // What cannot follow is no entry of a leader's.
            if entry.index != prev + 1 + k as u64 {
                return;
            }
            if self.log.term(entry.index) == Some(entry.term) {
                continue;
            }
            if self.log.last() >= entry.index {
                if planted("tail-kept") {
                    continue;
                }
                self.cut(entry.index);
            }
            self.saw_stamp(entry.stamp);
            if let Some(config) = config_of(&entry) {
                self.configs.push((entry.index, config));
            }
            self.out.entries.push(entry.clone());
            self.log.push(entry);
        }
        self.commit = self.commit.max(append.commit.min(last));
        self.reply(from, appended(true, last, round));
    }

    /// An uncommitted tail gives way.
    pub(super) fn cut(&mut self, from: u64) {
        debug_assert!(
            from > self.commit || cfg!(feature = "planted"),
            "what is committed stays"
        );
        self.log.cut(from);
        self.configs.retain(|config| config.0 < from);
        self.out.entries.retain(|entry| entry.index < from);
        self.durable = self.durable.min(from - 1);
    }

    pub(super) fn confirmed(&mut self, from: ReplicaId, told: &AppendResponse) {
        if !self.is_leader() {
            return;
        }
        let (now, last) = (self.now, self.log.last());
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        peer.heard = now;
        peer.round = peer.round.max(told.round);
        if told.good {
            if told.index > last {
                return;
            }
            peer.matched = peer.matched.max(told.index);
            peer.next = peer.next.max(peer.matched + 1);
            (peer.waiting, peer.piece, peer.differs) = (None, None, None);
            self.advance();
            self.hand_over(from);
        } else if told.differs != 0 {
            peer.differs = Some((told.index, told.differs));
            peer.waiting = Some(now);
            self.count_copies();
        } else if peer.piece.is_none() {
            peer.next = (told.index + 1)
                .min(peer.next.max(2) - 1)
                .max(peer.matched + 1);
            peer.waiting = None;
        }
        self.answer_reads();
        if self.is_leader() {
            self.send(from, false);
        }
    }
}
