//! Elections, replication, membership, snapshots, reads.

mod elections;
mod leadership_transfer;
mod log_time;
mod membership;
mod quarantine;
mod reads;
mod replication;
mod snapshots;

use crate::log::Log;
use crate::plant::planted;
use crate::wire::{
    AppendResponse, Body, Entry, EntryKind, HardState, Member, Membership, Message, ReplicaId,
    Snapshot, SnapshotMetadata,
};
use bytes::Bytes;
use nanorand::WyRand;
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

    fn reply(&mut self, to: ReplicaId, body: Body) {
        self.out.messages_after_persist.push(Message {
            to,
            from: self.id,
            term: self.term,
            body: Some(body),
        });
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
