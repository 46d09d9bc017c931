//! Terms, votes and the election of a leader.

use super::{Replica, Role};
use crate::plant::planted;
use crate::wire::{
    AppendResponse, Body, EntryKind, HardState, ReplicaId, VoteRequest, VoteResponse,
};
use bytes::Bytes;
use nanorand::Rng;
use std::collections::BTreeSet;
use std::time::Duration;

/// Why a replica starts an election.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CampaignKind {
    /// No leader is in contact.
    Election,
    /// The leader requested it: voters grant the vote even while they are in contact with a leader.
    LeadershipTransfer,
}

impl Replica {
    /// Starts an election in a new term, whether or not a leader is known. Does nothing on a replica that is not a
    /// voter or is quarantined.
    pub fn campaign(&mut self, now: Duration, kind: CampaignKind) {
        self.advance_clock(now);
        if self.role == Role::Quarantined || !self.membership().is_voter(self.id) {
            return;
        }
        self.transition_to(Role::Candidate);
        self.leader = None;
        self.term += 1;
        self.vote = self.id;
        self.persist_hard_state();
        self.votes = BTreeSet::from([self.id]);
        self.reset_election_deadline();
        self.request_votes(kind);
        self.tally_votes();
    }

    /// Requests pre-votes before the term changes. Otherwise a partitioned replica would depose a working leader each
    /// time its links recover.
    pub(super) fn start_pre_vote(&mut self) {
        self.reset_election_deadline();
        if !self.membership().is_voter(self.id) {
            return;
        }
        self.leader = None;
        self.transition_to(Role::PreCandidate);
        self.votes = BTreeSet::from([self.id]);
        self.request_pre_votes();
        self.tally_votes();
    }

    pub(super) fn request_pre_votes(&mut self) {
        let request = VoteRequest {
            pre_vote: true,
            ..self.vote_request()
        };
        self.send_vote_requests(self.term + 1, &request);
    }

    pub(super) fn request_votes(&mut self, kind: CampaignKind) {
        let request = VoteRequest {
            leadership_transfer: kind == CampaignKind::LeadershipTransfer,
            ..self.vote_request()
        };
        self.send_vote_requests(self.term, &request);
    }

    fn vote_request(&self) -> VoteRequest {
        VoteRequest {
            pre_vote: false,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            leadership_transfer: false,
        }
    }

    /// Sends a vote request to all voters that have not granted their vote yet.
    fn send_vote_requests(&mut self, term: u64, request: &VoteRequest) {
        self.heartbeat_deadline = self.now + self.timeouts.heartbeat_interval;
        let recipients: Vec<ReplicaId> = self
            .membership()
            .voters()
            .filter(|id| !self.votes.contains(id))
            .collect();
        for to in recipients {
            let mut message = self.message(to, Body::VoteRequest(request.clone()));
            message.term = term;
            self.ready.messages_after_persist.push(message);
        }
    }

    fn tally_votes(&mut self) {
        if !self.has_majority(|id| self.votes.contains(&id)) {
            return;
        }
        match self.role {
            Role::PreCandidate => self.campaign(self.now, CampaignKind::Election),
            Role::Candidate => self.become_leader(),
            Role::Follower | Role::Leader | Role::Quarantined => {}
        }
    }

    fn become_leader(&mut self) {
        self.transition_to(Role::Leader);
        self.leader = Some(self.id);
        self.election_deadline = self.now + self.timeouts.max_election_timeout;
        self.heartbeat_deadline = self.now;
        self.sync_peers();
        self.append_as_leader(EntryKind::NoOp, Bytes::new());
        self.tick_leader();
    }

    /// Becomes a follower in the current term, or in a newer one, which clears the vote. `leader` is that term's
    /// leader, if known.
    pub(super) fn become_follower(&mut self, term: u64, leader: Option<ReplicaId>) {
        if self.role == Role::Quarantined {
            return;
        }
        let is_newer = term > self.term;
        if is_newer {
            self.term = term;
            self.vote = 0;
            self.persist_hard_state();
        }
        self.transition_to(Role::Follower);
        if leader.is_some() || self.leader == Some(self.id) || is_newer {
            self.leader = leader;
        }
        self.reset_election_deadline();
    }

    /// Runs the leader's timers: quorum check and heartbeats.
    pub(super) fn tick_leader(&mut self) {
        self.expire_leadership_transfer();
        if self.now >= self.election_deadline {
            if !self.has_quorum_contact(self.now) {
                self.become_follower(self.term, None);
                return;
            }
            self.election_deadline = self.now + self.timeouts.min_election_timeout;
        }
        if self.now >= self.heartbeat_deadline {
            self.heartbeat_deadline = self.now + self.timeouts.heartbeat_interval;
            self.send_heartbeats();
        }
    }

    /// Whether a majority was in contact within the longest election timeout. A partitioned leader steps down, so that
    /// its clients look for another one.
    fn has_quorum_contact(&self, now: Duration) -> bool {
        let oldest_contact = now.saturating_sub(self.timeouts.max_election_timeout);
        self.has_majority(|id| {
            id == self.id
                || self
                    .peers
                    .get(&id)
                    .is_some_and(|peer| peer.last_contact >= oldest_contact)
        })
    }

    /// Whether this replica leads and had contact with a majority, or follows and had contact with its leader, within
    /// the longest election timeout before `now`. `now` may be later than the last call, if the process was suspended
    /// in between.
    pub fn has_current_leader(&self, now: Duration) -> bool {
        if self.is_leader() {
            return self.has_committed_in_term() && self.has_quorum_contact(now);
        }
        let oldest_contact = now.saturating_sub(self.timeouts.max_election_timeout);
        self.leader.is_some()
            && self
                .last_leader_contact
                .is_some_and(|contact| contact >= oldest_contact)
    }

    /// Whether this replica leads, or had contact with a leader within the shortest election timeout.
    fn has_recent_leader(&self) -> bool {
        self.is_leader()
            || self
                .last_leader_contact
                .is_some_and(|contact| self.now < contact + self.timeouts.min_election_timeout)
    }

    /// Draws a new election timeout.
    pub(super) fn reset_election_deadline(&mut self) {
        let min = self.timeouts.min_election_timeout;
        let max = self.timeouts.max_election_timeout;
        let span = (max.saturating_sub(min).as_micros() as u64).max(1);
        let jitter = Duration::from_micros(self.rng.generate_range(0..span));
        self.election_deadline = self.now + min + jitter;
    }

    fn persist_hard_state(&mut self) {
        let vote = if planted("vote-forgotten") {
            0
        } else {
            self.vote
        };
        self.ready.hard_state = Some(HardState {
            term: self.term,
            vote,
        });
    }

    /// Records a message from the leader of this term.
    pub(super) fn record_leader_contact(&mut self, from: ReplicaId) {
        if self.role != Role::Follower {
            self.become_follower(self.term, Some(from));
        }
        self.leader = Some(from);
        self.last_leader_contact = Some(self.now);
        self.reset_election_deadline();
    }

    /// Handles the term of a message from a newer term; returns whether to process the message.
    pub(super) fn accept_newer_term(&mut self, from: ReplicaId, term: u64, body: &Body) -> bool {
        match body {
            Body::VoteRequest(request)
                if !request.leadership_transfer && self.has_recent_leader() =>
            {
                if request.pre_vote {
                    self.deny_vote(from, true);
                }
                false
            }
            // A pre-vote carries the prospective term, which has not started yet.
            Body::VoteRequest(request) if request.pre_vote => true,
            Body::VoteResponse(response) if response.pre_vote && response.granted => true,
            Body::AppendRequest(_) | Body::SnapshotChunk(_) => {
                self.become_follower(term, Some(from));
                true
            }
            _ => {
                self.become_follower(term, None);
                true
            }
        }
    }

    /// Replies to a message of an older term, so that its sender learns of the newer one.
    pub(super) fn reply_to_older_term(&mut self, from: ReplicaId, body: &Body) {
        let last_index = self.log.last_index();
        match body {
            Body::AppendRequest(request) => {
                let response = AppendResponse::mismatch(last_index, request.read_round);
                self.send_append_response(from, response);
            }
            Body::SnapshotChunk(chunk) => {
                let response = AppendResponse::mismatch(last_index, chunk.read_round);
                self.send_append_response(from, response);
            }
            Body::VoteRequest(request) => self.deny_vote(from, request.pre_vote),
            _ => {}
        }
    }

    fn deny_vote(&mut self, to: ReplicaId, pre_vote: bool) {
        let response = VoteResponse {
            pre_vote,
            granted: false,
        };
        self.send_after_persist(to, Body::VoteResponse(response));
    }

    pub(super) fn handle_vote_request(
        &mut self,
        from: ReplicaId,
        term: u64,
        request: &VoteRequest,
    ) {
        let own_position = (self.log.last_term(), self.log.last_index());
        let is_up_to_date = (request.last_term, request.last_index) >= own_position;
        if request.pre_vote {
            self.respond_to_pre_vote(from, term, is_up_to_date);
            return;
        }
        let can_vote = self.vote == 0 || self.vote == from;
        let granted = is_up_to_date && can_vote && self.role != Role::Leader;
        if granted {
            self.vote = from;
            self.persist_hard_state();
            self.reset_election_deadline();
        }
        let response = VoteResponse {
            pre_vote: false,
            granted,
        };
        self.send_after_persist(from, Body::VoteResponse(response));
    }

    /// A granted pre-vote carries the requested term, a denied one this replica's term.
    fn respond_to_pre_vote(&mut self, from: ReplicaId, term: u64, is_up_to_date: bool) {
        let granted = is_up_to_date && term > self.term && !self.has_recent_leader();
        let response = VoteResponse {
            pre_vote: true,
            granted,
        };
        let mut message = self.message(from, Body::VoteResponse(response));
        if granted {
            message.term = term;
        }
        self.ready.messages_after_persist.push(message);
    }

    pub(super) fn handle_vote_response(&mut self, from: ReplicaId, response: &VoteResponse) {
        let expected_role = if response.pre_vote {
            Role::PreCandidate
        } else {
            Role::Candidate
        };
        if self.role == expected_role && response.granted {
            self.votes.insert(from);
            self.tally_votes();
        }
    }
}
