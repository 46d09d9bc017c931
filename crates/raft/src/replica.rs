//! One replica of a replicated log: its state, its clock and the messages that it receives.
//!
//! The protocol logic is in submodules, each of which adds methods to [`Replica`]. Invariants: `applied_index <=
//! commit_index <= log.last_index()`; `role` changes in `transition_to` only; `peers` is empty unless the replica leads.

mod elections;
mod leadership_transfer;
mod log_time;
mod membership;
mod progress;
mod quarantine;
mod reads;
mod ready;
mod replication;
mod snapshots;

pub use elections::CampaignKind;
pub use membership::MembershipChange;
pub use progress::FollowerProgress;
pub use quarantine::Divergence;
pub use reads::ReadState;
pub use ready::{Ready, SnapshotInstall};

use crate::log::Log;
use crate::wire::{
    AppendResponse, Body, Entry, HardState, Membership, Message, ReplicaId, Snapshot,
    SnapshotMetadata,
};
use bytes::Bytes;
use leadership_transfer::LeadershipTransfer;
use log_time::LogClock;
use membership::{membership_of, IndexedMembership};
use nanorand::WyRand;
use progress::PeerProgress;
use reads::PendingRead;
use snapshots::IncomingSnapshot;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// The protocol timeouts of a replica. All members of a group should use the same values.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Timeouts {
    /// Time between two heartbeats of a leader, and between two rounds of vote requests of a candidate.
    pub heartbeat_interval: Duration,
    /// Shortest election timeout of a follower; each timeout is drawn at random.
    pub min_election_timeout: Duration,
    /// Longest election timeout of a follower.
    pub max_election_timeout: Duration,
}

/// The role of a replica in its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Requests pre-votes to find out whether a majority would elect it. Its term has not changed yet.
    PreCandidate,
    /// Requests votes in a new term.
    Candidate,
    /// Leads its term.
    Leader,
    /// Its log diverged from the majority's: it ignores all messages and ticks until it is rebuilt. Final.
    Quarantined,
}

/// The state that a replica reads from its disk when it starts.
#[derive(Clone, Debug, Default)]
pub struct PersistentState {
    /// The last term and vote that were written.
    pub hard_state: HardState,
    /// The newest snapshot, if there is one.
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot, without a gap.
    pub entries: Vec<Entry>,
}

/// Why a replica rejected a request.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposalError {
    /// This replica is not the leader; holds the leader, if it is known.
    #[error("this replica is not the leader")]
    NotLeader(Option<ReplicaId>),
    /// Too many requests are in flight, or leadership is being transferred. A later retry may succeed.
    #[error("too many requests are in flight, or leadership is being transferred")]
    Busy,
    /// The previous membership change is not committed yet.
    #[error("a membership change is in progress")]
    ChangeInProgress,
    /// The leader has not committed an entry of its own term yet.
    #[error("the leader has not committed an entry in its term yet")]
    NoCommitInTerm,
    /// The replica to add is already a member.
    #[error("the replica is already a member")]
    AlreadyMember,
    /// The replica to promote is not a member.
    #[error("the replica is not a member")]
    NotMember,
    /// The learner to promote does not have all committed entries yet.
    #[error("the learner has not caught up")]
    NotCaughtUp,
    /// The only voter cannot be removed.
    #[error("the last voter cannot be removed")]
    LastVoter,
    /// The transfer target is this replica or not a voter.
    #[error("leadership can be transferred to another voter only")]
    InvalidTransferTarget,
}

/// One replica of one replicated log. See the crate's documentation for how to use it.
#[derive(Clone, Debug)]
pub struct Replica {
    id: ReplicaId,
    timeouts: Timeouts,
    rng: WyRand,
    now: Duration,
    term: u64,
    /// The replica that it voted for in this term; 0: none.
    vote: ReplicaId,
    role: Role,
    leader: Option<ReplicaId>,
    last_leader_contact: Option<Duration>,
    log: Log,
    /// The memberships in the log, by index; the first one is that of the log's base.
    memberships: Vec<IndexedMembership>,
    /// Data of the snapshot whose metadata is the log's base.
    snapshot_data: Bytes,
    commit_index: u64,
    applied_index: u64,
    /// All entries up to this index are durable on the local disk.
    persisted_index: u64,
    /// When the next election starts; for a leader, when it next checks for contact with a majority.
    election_deadline: Duration,
    /// When the next heartbeats or repeated vote requests are due.
    heartbeat_deadline: Duration,
    /// Voters that granted the vote or pre-vote in the current election.
    votes: BTreeSet<ReplicaId>,
    /// The other members; empty unless this replica leads.
    peers: BTreeMap<ReplicaId, PeerProgress>,
    incoming_snapshot: Option<IncomingSnapshot>,
    pending_reads: VecDeque<PendingRead>,
    /// Number of the newest read; each heartbeat carries it and each response confirms it.
    read_round: u64,
    leadership_transfer: Option<LeadershipTransfer>,
    log_clock: LogClock,
    /// Bytes of data proposed to this leader that are not committed yet.
    uncommitted_bytes: usize,
    /// Effects since the last [`Replica::take_ready`].
    ready: Ready,
}

impl Replica {
    /// Creates a follower with the state from its disk. `seed` determines its election timeouts; `now` is the current
    /// time, on the clock that all later calls use.
    pub fn new(
        id: ReplicaId,
        timeouts: Timeouts,
        seed: u64,
        now: Duration,
        state: PersistentState,
    ) -> Self {
        let (base, snapshot_data) = state
            .snapshot
            .map_or((SnapshotMetadata::default(), Bytes::new()), |snapshot| {
                (snapshot.metadata, snapshot.data)
            });
        let base_index = base.index;
        let base_membership = IndexedMembership::new(base_index, base.config.clone());
        let log = Log::new(base, state.entries);
        let mut replica = Self {
            id,
            timeouts,
            rng: WyRand::new_seed(seed),
            now,
            term: state.hard_state.term,
            vote: state.hard_state.vote,
            role: Role::Follower,
            leader: None,
            last_leader_contact: None,
            memberships: memberships_of(&log, base_membership),
            snapshot_data,
            commit_index: base_index,
            applied_index: base_index,
            persisted_index: log.last_index(),
            election_deadline: now,
            heartbeat_deadline: now,
            votes: BTreeSet::new(),
            peers: BTreeMap::new(),
            incoming_snapshot: None,
            pending_reads: VecDeque::new(),
            read_round: 0,
            leadership_transfer: None,
            log_clock: LogClock::new(log.last_stamp(), now),
            uncommitted_bytes: 0,
            ready: Ready::default(),
            log,
        };
        replica.reset_election_deadline();
        replica
    }

    /// The replica's ID.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// The replica's role in its term.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Whether the replica leads its term, as far as it knows.
    pub fn is_leader(&self) -> bool {
        self.role == Role::Leader
    }

    /// The leader of the term, if it is known.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// The newest term that the replica has seen.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// The replica that it voted for in this term; 0: none.
    pub fn vote(&self) -> ReplicaId {
        self.vote
    }

    /// The index up to which entries are known to be committed.
    pub fn commit(&self) -> u64 {
        self.commit_index
    }

    /// The index up to which [`Replica::take_ready`] has returned entries.
    pub fn applied(&self) -> u64 {
        self.applied_index
    }

    /// The log, including uncommitted entries.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// The progress of each other member, in order of ID; empty unless this replica leads.
    pub fn progress(&self) -> impl Iterator<Item = FollowerProgress> + '_ {
        self.peers.iter().map(|(id, peer)| FollowerProgress {
            id: *id,
            match_index: peer.match_index,
            last_contact: peer.last_contact,
        })
    }

    /// When [`Replica::tick`] is next due, if no other method is called before.
    pub fn next_deadline(&self) -> Duration {
        match self.role {
            Role::Leader | Role::PreCandidate | Role::Candidate => {
                self.heartbeat_deadline.min(self.election_deadline)
            }
            Role::Quarantined => Duration::MAX,
            Role::Follower => self.election_deadline,
        }
    }

    /// Returns the effects of all calls since the last `take_ready`. See the crate's documentation for the order in
    /// which the caller must carry them out.
    pub fn take_ready(&mut self) -> Ready {
        while self.applied_index < self.commit_index {
            let Some(entry) = self.log.entry(self.applied_index + 1) else {
                break;
            };
            self.applied_index += 1;
            self.ready.committed.push(entry.clone());
        }
        std::mem::take(&mut self.ready)
    }

    /// Hashes the state without its clock and random numbers, so that a search over all orders of events can
    /// recognize visited states.
    pub fn fingerprint(&self, into: &mut impl std::hash::Hasher) {
        use std::hash::Hash;
        (self.id, self.term, self.vote, self.role, self.leader).hash(into);
        (&self.log, &self.memberships).hash(into);
        (self.commit_index, self.applied_index, self.persisted_index).hash(into);
        (&self.votes, &self.incoming_snapshot, &self.snapshot_data).hash(into);
        for (id, peer) in &self.peers {
            id.hash(into);
            (peer.next_index, peer.match_index).hash(into);
            peer.in_flight_since.is_some().hash(into);
            (peer.snapshot_position, peer.divergence).hash(into);
        }
    }

    /// Advances the clock and runs what is due: elections, heartbeats, repeated requests. The clock is monotonic: a
    /// `now` before the latest time seen is replaced by the latter.
    pub fn tick(&mut self, now: Duration) {
        self.advance_clock(now);
        let heartbeat_due = self.now >= self.heartbeat_deadline;
        match self.role {
            Role::Quarantined => {}
            Role::Leader => self.tick_leader(),
            _ if self.now >= self.election_deadline => self.start_pre_vote(),
            // Earlier requests may have been lost in transit.
            Role::PreCandidate if heartbeat_due => self.request_pre_votes(),
            Role::Candidate if heartbeat_due => self.request_votes(CampaignKind::Election),
            _ => {}
        }
    }

    /// Processes a message from another replica. Messages for another recipient are ignored.
    pub fn step(&mut self, now: Duration, message: Message) {
        self.advance_clock(now);
        let Message {
            to,
            from,
            term,
            body,
        } = message;
        let Some(body) = body else { return };
        if to != self.id || self.role == Role::Quarantined {
            return;
        }
        if term > self.term && !self.accept_newer_term(from, term, &body) {
            return;
        }
        if term < self.term {
            self.reply_to_older_term(from, &body);
            return;
        }
        match body {
            Body::VoteRequest(request) => self.handle_vote_request(from, term, &request),
            Body::VoteResponse(response) => self.handle_vote_response(from, &response),
            Body::AppendRequest(request) => self.handle_append_request(from, request),
            Body::AppendResponse(response) => self.handle_append_response(from, &response),
            Body::SnapshotChunk(chunk) => self.handle_snapshot_chunk(from, chunk),
            Body::ChunkAck(ack) => self.handle_chunk_ack(from, &ack),
            Body::TimeoutNow(_) => self.handle_timeout_now(from),
            Body::QuarantineNotice(notice) => self.handle_quarantine_notice(&notice),
        }
    }

    /// The only place where the role changes. Clears the leader's state when the replica stops leading.
    fn transition_to(&mut self, role: Role) {
        match role {
            Role::Follower if self.is_leader() => {
                self.peers.clear();
                self.pending_reads.clear();
                self.leadership_transfer = None;
                self.uncommitted_bytes = 0;
            }
            Role::Leader => {
                self.peers.clear();
                self.uncommitted_bytes = 0;
            }
            Role::Quarantined => {
                self.peers.clear();
                self.pending_reads.clear();
                self.leadership_transfer = None;
                self.uncommitted_bytes = 0;
            }
            Role::Follower | Role::PreCandidate | Role::Candidate => {}
        }
        self.role = role;
    }

    fn advance_clock(&mut self, now: Duration) {
        self.now = self.now.max(now);
    }

    fn ensure_leader(&self) -> Result<(), ProposalError> {
        if self.is_leader() {
            return Ok(());
        }
        let leader = self.leader.filter(|leader| *leader != self.id);
        Err(ProposalError::NotLeader(leader))
    }

    fn message(&self, to: ReplicaId, body: Body) -> Message {
        Message {
            to,
            from: self.id,
            term: self.term,
            body: Some(body),
        }
    }

    /// Sends without waiting for the local disk.
    fn send(&mut self, to: ReplicaId, body: Body) {
        let message = self.message(to, body);
        self.ready.messages.push(message);
    }

    /// Sends once all writes so far are durable.
    fn send_after_persist(&mut self, to: ReplicaId, body: Body) {
        let message = self.message(to, body);
        self.ready.messages_after_persist.push(message);
    }

    fn send_append_response(&mut self, to: ReplicaId, response: AppendResponse) {
        self.send_after_persist(to, Body::AppendResponse(response));
    }

    fn peer_ids(&self) -> Vec<ReplicaId> {
        self.peers.keys().copied().collect()
    }

    /// Whether a majority of the voters meets a condition.
    fn has_majority(&self, mut condition: impl FnMut(ReplicaId) -> bool) -> bool {
        let membership = self.membership();
        membership.voters().filter(|id| condition(*id)).count() >= membership.majority()
    }
}

/// The memberships in a log by index, starting with that of its base.
fn memberships_of(log: &Log, base: IndexedMembership) -> Vec<IndexedMembership> {
    let first_index = base.index + 1;
    let mut memberships = vec![base];
    for index in first_index..=log.last_index() {
        let membership: Option<Membership> = log.entry(index).and_then(membership_of);
        memberships.extend(membership.map(|membership| IndexedMembership::new(index, membership)));
    }
    memberships
}
