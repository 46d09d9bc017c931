//! Elections, replication, membership, snapshots, reads.

use crate::divergence::{judge_divergence, DivergenceVerdict};
use crate::log::Log;
use crate::plant::planted;
use crate::wire::{
    AppendRequest, AppendResponse, Body, ChunkAck, Entry, EntryKind, HardState, Member, Membership,
    Message, QuarantineNotice, ReplicaId, Snapshot, SnapshotChunk, SnapshotMetadata, VoteRequest,
    VoteResponse,
};
use bytes::Bytes;
use nanorand::{Rng, WyRand};
use prost::Message as _;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Entries and bytes of one message: some milliseconds of a disk, and far under a link's frame.
const BATCH: usize = 512;
const BATCH_BYTES: usize = 128 << 10;
/// Bytes of one piece of a snapshot: two of them fit a link's frame.
const PIECE: usize = 128 << 10;
/// The longest snapshot that is taken in: far past what a shard's bound on keys allows.
const SNAPSHOT_MOST: u64 = 4 << 30;
/// Bytes of entries that are proposed and not committed, past which nothing more is taken.
const UNCOMMITTED: usize = 8 << 20;
/// Reads that wait for a majority.
const READS: usize = 1_024;
/// Heartbeats after which what is on its way to a peer counts as lost.
const LOST: u32 = 2;

/// How long things take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Timeouts {
    pub heartbeat_interval: Duration,
    /// A follower waits for a leader between these; drawn anew each time.
    pub election_timeout: [Duration; 2],
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    Follower,
    /// Asks whether it would be elected.
    PreCandidate,
    Candidate,
    Leader,
    /// Its copy was set aside: it takes part in nothing.
    Quarantined,
}

/// What is found on the disk at a start.
#[derive(Clone, Debug, Default)]
pub struct PersistentState {
    pub hard_state: HardState,
    pub snapshot: Option<Snapshot>,
    pub entries: Vec<Entry>,
}

/// A change of the members, one at a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// As a learner.
    AddLearner(Member),
    /// A learner that has caught up votes from now on.
    Promote(ReplicaId),
    Remove(ReplicaId),
}

/// Why something was not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalError {
    /// Another leads, if that is known.
    NotLeader(Option<ReplicaId>),
    /// Too much is on its way, or leadership is being handed over.
    Busy,
    /// A change of members that is not safe now.
    NotNow(&'static str),
}

/// A copy that was set aside, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Divergence {
    pub index: u64,
    pub own_checksum: u64,
    pub majority_checksum: u64,
}

/// What follows from what happened. See the crate's head for the order in which it is to be done.
#[derive(Clone, Debug, Default)]
pub struct Ready {
    pub hard_state: Option<HardState>,
    /// A snapshot taken over from the leader, to be kept in place of all there is up to its index; and whether what
    /// stands behind it goes too.
    pub snapshot: Option<(Snapshot, bool)>,
    /// They replace all from the first one's index on.
    pub entries: Vec<Entry>,
    pub messages: Vec<Message>,
    pub messages_after_persist: Vec<Message>,
    /// To be applied, in order, after `snapshot`.
    pub committed: Vec<Entry>,
    /// Reads that may be answered once this index was applied.
    pub reads: Vec<(u64, u64)>,
    pub divergence: Option<Divergence>,
}

impl Ready {
    pub fn is_empty(&self) -> bool {
        self.hard_state.is_none()
            && self.snapshot.is_none()
            && self.entries.is_empty()
            && self.messages.is_empty()
            && self.messages_after_persist.is_empty()
            && self.committed.is_empty()
            && self.reads.is_empty()
            && self.divergence.is_none()
    }

    /// Whether anything of it goes to the disk.
    pub fn writes(&self) -> bool {
        self.hard_state.is_some() || self.snapshot.is_some() || !self.entries.is_empty()
    }
}

/// What a leader knows of another member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Peer {
    next: u64,
    matched: u64,
    /// Something is on its way since then.
    waiting: Option<Duration>,
    /// Bytes of the snapshot that are there.
    piece: Option<(u64, u64)>,
    heard: Duration,
    round: u64,
    /// The running checksum that it has in place of the leader's.
    differs: Option<(u64, u64)>,
}

/// A snapshot that comes in pieces.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Incoming {
    base: SnapshotMetadata,
    total: u64,
    data: Vec<u8>,
}

/// One member of one replicated log.
#[derive(Clone, Debug)]
pub struct Replica {
    id: ReplicaId,
    times: Timeouts,
    chance: WyRand,
    now: Duration,
    term: u64,
    vote: ReplicaId,
    role: Role,
    leader: Option<ReplicaId>,
    /// When the leader was last heard.
    heard: Option<Duration>,
    log: Log,
    /// Configurations of the log by index, the one of the base first.
    configs: Vec<(u64, Membership)>,
    snapshot: Bytes,
    commit: u64,
    applied: u64,
    durable: u64,
    deadline: Duration,
    beat: Duration,
    votes: BTreeSet<ReplicaId>,
    peers: BTreeMap<ReplicaId, Peer>,
    incoming: Option<Incoming>,
    reads: VecDeque<(u64, u64, u64)>,
    round: u64,
    /// Leadership is being handed to it, until then.
    handing: Option<(ReplicaId, Duration)>,
    /// Log time, and when it was that.
    stamp: (u64, Duration),
    uncommitted: usize,
    out: Ready,
}

impl Replica {
    /// `seed` draws the times between elections.
    pub fn new(
        id: ReplicaId,
        times: Timeouts,
        seed: u64,
        now: Duration,
        state: PersistentState,
    ) -> Self {
        let (base, snapshot) = state
            .snapshot
            .map_or((SnapshotMetadata::default(), Bytes::new()), |snapshot| {
                (snapshot.metadata, snapshot.data)
            });
        let mut configs = vec![(base.index, base.config.clone())];
        let commit = base.index;
        let log = Log::new(base, state.entries);
        for index in commit + 1..=log.last() {
            configs.extend(
                log.entry(index)
                    .and_then(config_of)
                    .map(|config| (index, config)),
            );
        }
        let (durable, stamp) = (log.last(), (log.last_stamp(), now));
        let mut replica = Self {
            id,
            times,
            chance: WyRand::new_seed(seed),
            now,
            term: state.hard_state.term,
            vote: state.hard_state.vote,
            role: Role::Follower,
            leader: None,
            heard: None,
            log,
            configs,
            snapshot,
            commit,
            applied: commit,
            durable,
            deadline: now,
            beat: now,
            votes: BTreeSet::new(),
            peers: BTreeMap::new(),
            incoming: None,
            reads: VecDeque::new(),
            round: 0,
            handing: None,
            stamp,
            uncommitted: 0,
            out: Ready::default(),
        };
        replica.draw_deadline();
        replica
    }

    pub fn id(&self) -> ReplicaId {
        self.id
    }

    pub fn role(&self) -> Role {
        self.role
    }

    pub fn is_leader(&self) -> bool {
        self.role == Role::Leader
    }

    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    pub fn term(&self) -> u64 {
        self.term
    }

    pub fn vote(&self) -> ReplicaId {
        self.vote
    }

    pub fn commit(&self) -> u64 {
        self.commit
    }

    pub fn applied(&self) -> u64 {
        self.applied
    }

    pub fn log(&self) -> &Log {
        &self.log
    }

    /// The members as the newest entry has them, committed or not.
    pub fn membership(&self) -> &Membership {
        let last = self.configs.last().expect("the base's configuration");
        &last.1
    }

    /// Whether the newest configuration is committed.
    pub fn is_membership_committed(&self) -> bool {
        self.configs
            .last()
            .is_some_and(|last| last.0 <= self.commit)
    }

    /// Whether this leader has committed an entry of its own term: only then it knows what is committed.
    pub fn has_committed_in_term(&self) -> bool {
        self.is_leader() && self.log.term(self.commit) == Some(self.term)
    }

    /// Of a leader: how far each other member is, and when it was last heard.
    pub fn progress(&self) -> impl Iterator<Item = (ReplicaId, u64, Duration)> + '_ {
        self.peers
            .iter()
            .map(|(id, peer)| (*id, peer.matched, peer.heard))
    }

    pub fn is_transferring_leadership(&self) -> bool {
        self.handing.is_some()
    }

    /// When something is to be done again, if nothing happens before.
    pub fn next_deadline(&self) -> Duration {
        match self.role {
            Role::Leader | Role::PreCandidate | Role::Candidate => self.beat.min(self.deadline),
            Role::Quarantined => Duration::MAX,
            _ => self.deadline,
        }
    }

    /// All that follows from the calls since the last one.
    pub fn take_ready(&mut self) -> Ready {
        while self.applied < self.commit {
            let Some(entry) = self.log.entry(self.applied + 1) else {
                break;
            };
            self.applied += 1;
            self.out.committed.push(entry.clone());
        }
        std::mem::take(&mut self.out)
    }

    /// The state without its times and chance, for searches that go over all orders of events.
    pub fn fingerprint(&self, into: &mut impl std::hash::Hasher) {
        use std::hash::Hash;
        (
            self.id,
            self.term,
            self.vote,
            self.role,
            self.leader,
            &self.log,
            &self.configs,
        )
            .hash(into);
        (
            self.commit,
            self.applied,
            self.durable,
            &self.votes,
            &self.incoming,
            &self.snapshot,
        )
            .hash(into);
        for (id, peer) in &self.peers {
            (
                id,
                peer.next,
                peer.matched,
                peer.waiting.is_some(),
                peer.piece,
                peer.differs,
            )
                .hash(into);
        }
    }

    // Time.

    pub fn tick(&mut self, now: Duration) {
        self.now = self.now.max(now);
        match self.role {
            Role::Quarantined => {}
            Role::Leader => self.lead_on(),
            _ if self.now >= self.deadline => self.ask(),
            // What was lost on its way is asked once more.
            Role::PreCandidate if self.now >= self.beat => self.ask_all(true, false, self.term + 1),
            Role::Candidate if self.now >= self.beat => self.ask_all(false, false, self.term),
            _ => {}
        }
    }

    fn draw_deadline(&mut self) {
        let [least, most] = self.times.election_timeout;
        let span = (most.saturating_sub(least).as_micros() as u64).max(1);
        self.deadline =
            self.now + least + Duration::from_micros(self.chance.generate_range(0..span));
    }

    fn lead_on(&mut self) {
        if self.handing.is_some_and(|(_, until)| self.now >= until) {
            self.handing = None;
        }
        if self.now >= self.deadline {
            // Guards against a leader that nobody hears: without a majority it leads nothing.
            let since = self.now.saturating_sub(self.times.election_timeout[1]);
            let heard = |id: ReplicaId| {
                id == self.id || self.peers.get(&id).is_some_and(|peer| peer.heard >= since)
            };
            if self.membership().voters().filter(|id| heard(*id)).count()
                < self.membership().majority()
            {
                self.follow(self.term, None);
                return;
            }
            self.deadline = self.now + self.times.election_timeout[0];
        }
        if self.now >= self.beat {
            self.beat = self.now + self.times.heartbeat_interval;
            let ids: Vec<ReplicaId> = self.peers.keys().copied().collect();
            for id in ids {
                self.send(id, true);
            }
        }
    }

    /// Log time: the newest stamp seen, and what has passed since on this clock.
    fn log_time(&self) -> u64 {
        let passed = self.now.saturating_sub(self.stamp.1).as_nanos();
        self.stamp
            .0
            .saturating_add(u64::try_from(passed).unwrap_or(u64::MAX))
    }

    fn saw_stamp(&mut self, stamp: u64) {
        if stamp >= self.stamp.0 {
            self.stamp = (stamp, self.now);
        }
    }

    // Elections.

    fn keep_hard(&mut self) {
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

    fn follow(&mut self, term: u64, leader: Option<ReplicaId>) {
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
    fn ask(&mut self) {
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

    fn ask_all(&mut self, pre: bool, wanted: bool, term: u64) {
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

    fn counted(&mut self) {
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

    fn lead(&mut self) {
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

    /// Peers are those of the newest configuration.
    fn meet_members(&mut self) {
        let ids: BTreeSet<ReplicaId> = self
            .membership()
            .members
            .iter()
            .map(|member| member.id)
            .collect();
        self.peers.retain(|id, _| ids.contains(id));
        for id in ids.into_iter().filter(|id| *id != self.id) {
            let (next, heard) = (self.log.last() + 1, self.now);
            self.peers.entry(id).or_insert(Peer {
                next,
                matched: 0,
                waiting: None,
                piece: None,
                heard,
                round: 0,
                differs: None,
            });
        }
    }

    // What is asked of a leader.

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

    /// A change of the members.
    ///
    /// # Errors
    /// If this is no leader, or a change would not be safe now.
    pub fn propose_membership_change(
        &mut self,
        now: Duration,
        change: &MembershipChange,
    ) -> Result<u64, ProposalError> {
        self.now = self.now.max(now);
        if !self.is_leader() {
            return Err(ProposalError::NotLeader(
                self.leader.filter(|leader| *leader != self.id),
            ));
        }
        // Guards against two majorities that do not meet: one change at a time, and none before this leader knows
        // what is committed.
        if !self.is_membership_committed() {
            return Err(ProposalError::NotNow("a change is on its way"));
        }
        if !self.has_committed_in_term() {
            return Err(ProposalError::NotNow("the leader is new"));
        }
        let mut config = self.membership().clone();
        match change {
            MembershipChange::AddLearner(member) if config.member(member.id).is_some() => {
                return Err(ProposalError::NotNow("it is a member"));
            }
            MembershipChange::AddLearner(member) => config.members.push(Member {
                is_voter: false,
                ..member.clone()
            }),
            MembershipChange::Promote(id) => {
                let caught_up = self
                    .peers
                    .get(id)
                    .is_some_and(|peer| peer.matched >= self.commit);
                let Some(member) = config.members.iter_mut().find(|member| member.id == *id) else {
                    return Err(ProposalError::NotNow("it is no member"));
                };
                if !caught_up {
                    return Err(ProposalError::NotNow("it has not caught up"));
                }
                member.is_voter = true;
            }
            MembershipChange::Remove(id) => {
                if config.is_voter(*id) && config.voters().count() == 1 {
                    return Err(ProposalError::NotNow("nobody would be left"));
                }
                config.members.retain(|member| member.id != *id);
            }
        }
        config.members.sort();
        let index = self.append(EntryKind::Config, config.encode_to_vec().into());
        self.spread();
        Ok(index)
    }

    /// Hands leadership to a voter, once it has everything.
    ///
    /// # Errors
    /// If this is no leader, or the other cannot lead.
    pub fn transfer_leadership(
        &mut self,
        now: Duration,
        to: ReplicaId,
    ) -> Result<(), ProposalError> {
        self.now = self.now.max(now);
        if !self.is_leader() {
            return Err(ProposalError::NotLeader(self.leader));
        }
        if !self.membership().is_voter(to) || to == self.id {
            return Err(ProposalError::NotNow("it is no other voter"));
        }
        self.handing = Some((to, self.now + self.times.election_timeout[0]));
        self.hand_over(to);
        Ok(())
    }

    fn hand_over(&mut self, to: ReplicaId) {
        if self.handing.is_some_and(|(id, _)| id == to)
            && self
                .peers
                .get(&to)
                .is_some_and(|peer| peer.matched == self.log.last())
        {
            let message = Message {
                to,
                from: self.id,
                term: self.term,
                body: Some(Body::Now(true)),
            };
            self.out.messages.push(message);
        }
    }

    /// A read that sees everything committed before it; `token` comes back in [`Out::reads`].
    ///
    /// # Errors
    /// If this is no leader that knows what is committed.
    pub fn read(&mut self, now: Duration, token: u64) -> Result<(), ProposalError> {
        self.now = self.now.max(now);
        if !self.is_leader() {
            return Err(ProposalError::NotLeader(
                self.leader.filter(|leader| *leader != self.id),
            ));
        }
        if !self.has_committed_in_term() || self.reads.len() >= READS {
            return Err(ProposalError::Busy);
        }
        self.round += 1;
        self.reads.push_back((token, self.commit, self.round));
        let ids: Vec<ReplicaId> = self.peers.keys().copied().collect();
        for id in ids {
            self.send(id, true);
        }
        self.answer_reads();
        Ok(())
    }

    fn answer_reads(&mut self) {
        while let Some(&(token, index, round)) = self.reads.front() {
            let told = |id: &ReplicaId| {
                *id == self.id || self.peers.get(id).is_some_and(|peer| peer.round >= round)
            };
            if self.membership().voters().filter(told).count() < self.membership().majority() {
                break;
            }
            self.reads.pop_front();
            self.out.reads.push((token, index));
        }
    }

    // Replication.

    fn append(&mut self, kind: EntryKind, data: Bytes) -> u64 {
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

    fn spread(&mut self) {
        let ids: Vec<ReplicaId> = self.peers.keys().copied().collect();
        for id in ids {
            self.send(id, false);
        }
    }

    /// What a peer needs next. One message is on its way to each; `beat`: it is to hear something now.
    fn send(&mut self, to: ReplicaId, beat: bool) {
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

    fn send_piece(&mut self, to: ReplicaId) {
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

    /// The disk has all up to an entry of this index and term.
    pub fn on_persisted(&mut self, index: u64, term: u64) {
        // What was overwritten meanwhile is another entry.
        if self.log.term(index) == Some(term) {
            self.durable = self.durable.max(index);
            self.advance();
        }
    }

    /// What a majority has durably is committed, if it is of this term.
    fn advance(&mut self) {
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

    fn based(&mut self, base: SnapshotMetadata) {
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

    // Messages.

    pub fn step(&mut self, now: Duration, message: Message) {
        self.now = self.now.max(now);
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
        if term > self.term && !self.newer(from, term, &body) {
            return;
        }
        if term < self.term {
            self.older(from, &body);
            return;
        }
        match body {
            Body::Vote(vote) => self.asked(from, term, &vote),
            Body::Voted(voted) => self.told(from, &voted),
            Body::Append(append) => self.appended(from, append),
            Body::Appended(told) => self.confirmed(from, &told),
            Body::Piece(piece) => self.piece(from, piece),
            Body::Took(took) => self.took(from, &took),
            Body::Now(_) if self.role == Role::Follower && self.leader == Some(from) => {
                self.campaign(now, true)
            }
            Body::Now(_) => {}
            Body::Aside(aside) => self.set_aside(&aside),
        }
    }

    /// Whether a leader was heard so lately that no other is wanted.
    fn led(&self) -> bool {
        self.is_leader()
            || self
                .heard
                .is_some_and(|at| self.now < at + self.times.election_timeout[0])
    }

    /// A later term than this one's; whether the message is to be taken.
    fn newer(&mut self, from: ReplicaId, term: u64, body: &Body) -> bool {
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
    fn older(&mut self, from: ReplicaId, body: &Body) {
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

    fn reply(&mut self, to: ReplicaId, body: Body) {
        self.out.messages_after_persist.push(Message {
            to,
            from: self.id,
            term: self.term,
            body: Some(body),
        });
    }

    fn asked(&mut self, from: ReplicaId, term: u64, vote: &VoteRequest) {
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

    fn told(&mut self, from: ReplicaId, voted: &VoteResponse) {
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

    /// The leader of this term was heard.
    fn heard_leader(&mut self, from: ReplicaId) {
        if self.role != Role::Follower {
            self.follow(self.term, Some(from));
        }
        self.leader = Some(from);
        self.heard = Some(self.now);
        self.draw_deadline();
    }

    fn appended(&mut self, from: ReplicaId, append: AppendRequest) {
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
    fn cut(&mut self, from: u64) {
        debug_assert!(
            from > self.commit || cfg!(feature = "planted"),
            "what is committed stays"
        );
        self.log.cut(from);
        self.configs.retain(|config| config.0 < from);
        self.out.entries.retain(|entry| entry.index < from);
        self.durable = self.durable.min(from - 1);
    }

    fn confirmed(&mut self, from: ReplicaId, told: &AppendResponse) {
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

    /// Some copy differs: see `copies.rs`.
    fn count_copies(&mut self) {
        let differ: Vec<(ReplicaId, u64)> = self
            .peers
            .iter()
            .filter_map(|(id, peer)| Some((*id, peer.differs?.1)))
            .collect();
        let Some(index) = self
            .peers
            .values()
            .filter_map(|peer| Some(peer.differs?.0))
            .min()
        else {
            return;
        };
        let agrees = |id: &ReplicaId| {
            *id == self.id
                || self
                    .peers
                    .get(id)
                    .is_some_and(|peer| peer.differs.is_none() && peer.matched >= index)
        };
        let config = self.membership();
        let (voters, agree) = (
            config.voters().count(),
            config.voters().filter(agrees).count(),
        );
        let of_voters: Vec<_> = differ
            .iter()
            .filter(|one| config.is_voter(one.0))
            .copied()
            .collect();
        let Some(own) = self.log.sum(index) else {
            return;
        };
        match judge_divergence(voters, agree, &of_voters) {
            DivergenceVerdict::Undecided => {}
            DivergenceVerdict::Leader(most) => self.lay_aside(index, own, most),
            DivergenceVerdict::Minority(_) => {
                for (to, _) in differ {
                    let body = Some(Body::Aside(QuarantineNotice { index, most: own }));
                    self.out.messages.push(Message {
                        to,
                        from: self.id,
                        term: self.term,
                        body,
                    });
                }
            }
        }
    }

    fn set_aside(&mut self, aside: &QuarantineNotice) {
        if let Some(own) = self.log.sum(aside.index).filter(|own| *own != aside.most) {
            self.lay_aside(aside.index, own, aside.most);
        }
    }

    fn lay_aside(&mut self, index: u64, own: u64, most: u64) {
        self.out.divergence = Some(Divergence {
            index,
            own_checksum: own,
            majority_checksum: most,
        });
        self.role = Role::Quarantined;
        self.leader = None;
        self.peers.clear();
        self.reads.clear();
    }

    fn piece(&mut self, from: ReplicaId, piece: SnapshotChunk) {
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
    fn take_over(&mut self, base: SnapshotMetadata, data: Bytes) {
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

    fn took(&mut self, from: ReplicaId, took: &ChunkAck) {
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

fn appended(good: bool, index: u64, round: u64) -> Body {
    Body::Appended(AppendResponse {
        good,
        index,
        round,
        differs: 0,
    })
}

/// The members that an entry names, if it is about them.
fn config_of(entry: &Entry) -> Option<Membership> {
    (entry.kind() == EntryKind::Config)
        .then(|| Membership::decode(&entry.data[..]).unwrap_or_default())
}
