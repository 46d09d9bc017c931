//! Terms, votes and the role of a replica.

use super::{planted, Replica, Role};
use crate::replica::appended;
use crate::wire::{Body, EntryKind, HardState, Message, ReplicaId, VoteRequest, VoteResponse};
use bytes::Bytes;
use nanorand::Rng;
use std::collections::BTreeSet;
use std::time::Duration;

impl Replica {
    pub(super) fn draw_deadline(&mut self) {
        let [least, most] = self.times.election_timeout;
        let span = (most.saturating_sub(least).as_micros() as u64).max(1);
        self.deadline =
            self.now + least + Duration::from_micros(self.chance.generate_range(0..span));
    }

    pub(super) fn keep_hard(&mut self) {
        self.out.hard_state = Some(HardState {
            term: self.term,
            vote: self.vote,
        });
        if planted("vote-forgotten") {
            self.out.hard_state = Some(HardState {
                term: self.term,
                vote: 0,
            });
        }
    }

    pub(super) fn follow(&mut self, term: u64, leader: Option<ReplicaId>) {
        if self.role == Role::Quarantined {
            return;
        }
        let newer = term > self.term;
        if newer {
            (self.term, self.vote) = (term, 0);
            self.keep_hard();
        }
        if self.is_leader() {
            self.reads.clear();
            self.peers.clear();
            self.handing = None;
            self.uncommitted = 0;
        }
        self.role = Role::Follower;
        if leader.is_some() || self.leader == Some(self.id) || newer {
            self.leader = leader;
        }
        self.draw_deadline();
    }

    /// Asks the voters whether they would elect it. Guards against one that hears nobody and deposes a leader who is
    /// well, again and again, each time its links come back.
    pub(super) fn ask(&mut self) {
        self.draw_deadline();
        if !self.membership().is_voter(self.id) {
            return;
        }
        self.leader = None;
        self.role = Role::PreCandidate;
        self.votes = BTreeSet::from([self.id]);
        self.ask_all(true, false, self.term + 1);
        self.counted();
    }

    /// Stands for election at once, whatever is known of a leader.
    pub fn campaign(&mut self, now: Duration, wanted: bool) {
        self.now = self.now.max(now);
        if self.role == Role::Quarantined || !self.membership().is_voter(self.id) {
            return;
        }
        self.role = Role::Candidate;
        self.leader = None;
        (self.term, self.vote) = (self.term + 1, self.id);
        self.keep_hard();
        self.votes = BTreeSet::from([self.id]);
        self.draw_deadline();
        self.ask_all(false, wanted, self.term);
        self.counted();
    }

    pub(super) fn ask_all(&mut self, pre: bool, wanted: bool, term: u64) {
        self.beat = self.now + self.times.heartbeat_interval;
        let (last_index, last_term) = (self.log.last(), self.log.last_term());
        let others: Vec<ReplicaId> = self
            .membership()
            .voters()
            .filter(|id| !self.votes.contains(id))
            .collect();
        for to in others {
            let body = Body::Vote(VoteRequest {
                pre,
                last_index,
                last_term,
                wanted,
            });
            self.out.messages_after_persist.push(Message {
                to,
                from: self.id,
                term,
                body: Some(body),
            });
        }
    }

    pub(super) fn counted(&mut self) {
        let config = self.membership();
        let yes = config.voters().filter(|id| self.votes.contains(id)).count();
        if yes < config.majority() {
            return;
        }
        match self.role {
            Role::PreCandidate => self.campaign(self.now, false),
            Role::Candidate => self.lead(),
            _ => {}
        }
    }

    pub(super) fn lead(&mut self) {
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.deadline = self.now + self.times.election_timeout[1];
        self.beat = self.now;
        self.peers.clear();
        self.uncommitted = 0;
        self.meet_members();
        self.append(EntryKind::NoOp, Bytes::new());
        self.lead_on();
    }

    /// Whether a leader was heard so lately that no other is wanted.
    pub(super) fn led(&self) -> bool {
        self.is_leader()
            || self
                .heard
                .is_some_and(|at| self.now < at + self.times.election_timeout[0])
    }

    /// A later term than this one's; whether the message is to be taken.
    pub(super) fn newer(&mut self, from: ReplicaId, term: u64, body: &Body) -> bool {
        match body {
            Body::Vote(vote) if !vote.wanted && self.led() => {
                if vote.pre {
                    self.reply(
                        from,
                        Body::Voted(VoteResponse {
                            pre: true,
                            granted: false,
                        }),
                    );
                }
                false
            }
            // Of a term that does not exist yet.
            Body::Vote(vote) if vote.pre => true,
            Body::Voted(voted) if voted.pre && voted.granted => true,
            Body::Append(_) | Body::Piece(_) => {
                self.follow(term, Some(from));
                true
            }
            _ => {
                self.follow(term, None);
                true
            }
        }
    }

    /// An earlier term than this one's: a leader of that time must hear of the later one.
    pub(super) fn older(&mut self, from: ReplicaId, body: &Body) {
        match body {
            Body::Append(append) => {
                self.reply(from, appended(false, self.log.last(), append.round))
            }
            Body::Piece(piece) => self.reply(from, appended(false, self.log.last(), piece.round)),
            Body::Vote(vote) => self.reply(
                from,
                Body::Voted(VoteResponse {
                    pre: vote.pre,
                    granted: false,
                }),
            ),
            _ => {}
        }
    }

    pub(super) fn asked(&mut self, from: ReplicaId, term: u64, vote: &VoteRequest) {
        let own = (self.log.last_term(), self.log.last());
        let as_new = (vote.last_term, vote.last_index) >= own;
        if vote.pre {
            let granted = as_new && term > self.term && !self.led();
            let term = if granted { term } else { self.term };
            let body = Some(Body::Voted(VoteResponse { pre: true, granted }));
            self.out.messages_after_persist.push(Message {
                to: from,
                from: self.id,
                term,
                body,
            });
            return;
        }
        let free = self.vote == 0 || self.vote == from;
        let granted = as_new && free && self.role != Role::Leader;
        if granted {
            self.vote = from;
            self.keep_hard();
            self.draw_deadline();
        }
        self.reply(
            from,
            Body::Voted(VoteResponse {
                pre: false,
                granted,
            }),
        );
    }

    pub(super) fn told(&mut self, from: ReplicaId, voted: &VoteResponse) {
        let wanted = if voted.pre {
            Role::PreCandidate
        } else {
            Role::Candidate
        };
        if self.role == wanted && voted.granted {
            self.votes.insert(from);
            self.counted();
        }
    }
}
