//! One member of the group: its shards, its questions to their leaders, its writes and what waits for them.
//!
//! How it is driven: [`Member::tick`], [`Member::receive`], [`Member::met`] and [`Member::lost`], [`Member::ask`],
//! [`Member::written`]; after each, [`Member::take`] gives the effects. Writes go to the disk in order of their numbers;
//! frames that wait for writes are given out by `written`.
//!
//! **How a group begins.** Nobody has a log. Once every configured member was met and all are fresh, the first by name
//! names all their disks (`Form`), and each that hears of it begins its shards with just these. A member whose disk is
//! not among them, or which came back with another one, holds nothing and votes for nothing until a shard's leader takes it
//! in as a learner.
//!
//! **An old copy of a disk** is known by those who met it: a start under a number that was used, or a log behind what it
//! had confirmed and was committed. It is told so, sets its files aside and begins anew as another disk.

mod bootstrap;
mod gossip;
mod membership;
mod peers;
mod persistence;
mod queries;
mod requests;
mod shards;

use crate::frames::{
    BootstrapConfig, BootstrapMember, CommandRequest, CommandResponse, Frame, FrameBody, Hello,
    PeerIncarnation, PeerIncarnations, Raft, ShardProgress, StaleDiskNotice,
};
use crate::gossip::{GossipReport, GossipReports};
use crate::idempotency::{self, Claim, ClaimOutcome, Command, IdempotencyTable};
use crate::placement::{holders, shard_of};
use crate::reconfiguration::{next, Next};
use crate::versions::Versions;
use bytes::Bytes;
use nanorand::{Rng, WyRand};
use prost::Message as _;
use rainstand_raft::replica::Divergence;
use rainstand_raft::wire::{Body, Snapshot};
use rainstand_raft::{
    Entry, EntryKind, HardState, Membership, PersistentState, Replica, ReplicaId, SnapshotMetadata,
    Timeouts,
};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Questions that are open here, those in the background with them; and what one leader has open for others.
const ASKS: usize = 8_192;
const WAITING: usize = 32_768;
/// Repeats that wait at the leader for one key's end.
const WATCHERS: usize = 32;
/// Between two tries of one question: at a leader that is known to be there, and where none is.
const AGAIN: [Duration; 2] = [Duration::from_millis(250), Duration::from_millis(25)];
/// A start that timed out is taken back for so long, and a result kept being told.
const BACKGROUND: Duration = Duration::from_secs(60);
/// Between looks at the members of shards that are led here.
const LOOK: Duration = Duration::from_millis(50);
/// Entries behind a snapshot from which on the next one is made, for whoever has no wish; and bytes.
pub const DEFAULT_COMPACTION_ENTRIES: usize = 20_000;
const COMPACT_BYTES: usize = 8 << 20;
/// Soft reports go out this often.
const SOFT: Duration = Duration::from_millis(500);

/// Notes of the store.
pub const METADATA_BOOTSTRAP: u16 = 1;
pub const METADATA_GENERATION: u16 = 2;
pub const METADATA_PEER_INCARNATIONS: u16 = 3;
pub const METADATA_MEMBER_NAME: u16 = 4;
/// What is known of others is written down this often, if it changed: a note of some hundred bytes, with whatever else
/// goes to the disk.
const WITNESS: Duration = Duration::from_millis(20);
/// Disks of before that are remembered of one name: one a replacement.
const GONE: usize = 32;
/// Sets of frames that wait for the disk: past it the disk is taken to stand still for good.
const HELD: usize = 20_000;

/// How a member is set up.
#[derive(Clone, Debug)]
pub struct MemberConfig {
    pub group: String,
    pub name: String,
    /// All members of the configuration, by name and site.
    pub members: Vec<(String, String)>,
    pub shards: u16,
    pub copies: usize,
    pub times: Timeouts,
    /// Shards with a learner at once, of those that are led here.
    pub moves: usize,
    /// Keys of one shard.
    pub keys: usize,
    /// Entries behind a snapshot from which on the next one is made.
    pub compact: usize,
    pub seed: u64,
}

/// The disk, as it was opened.
#[derive(Clone, Debug, Default)]
pub struct RecoveredState {
    pub disk: ReplicaId,
    pub incarnation: u64,
    pub nonce: u64,
    pub shards: BTreeMap<u16, PersistentState>,
    pub bootstrap: Option<BootstrapConfig>,
    pub generation: u64,
    pub peer_incarnations: Option<PeerIncarnations>,
    /// Whose disk it is, by the member's name.
    pub name: Option<String>,
}

/// What goes to the disk.
#[derive(Clone, Debug, PartialEq)]
pub enum PersistentWrite {
    HardState {
        shard: u16,
        hard: HardState,
    },
    Entry {
        shard: u16,
        entry: Entry,
    },
    /// Replaces entries up to its index, and, `alone`, those behind it too.
    InstallSnapshot {
        shard: u16,
        snapshot: Snapshot,
        alone: bool,
    },
    Metadata {
        number: u16,
        data: Bytes,
    },
}

/// What people should hear of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GroupEvent {
    Bootstrapped {
        members: usize,
    },
    BecameLeader {
        shard: u16,
        term: u64,
    },
    LostLeadership {
        shard: u16,
    },
    /// The members of a shard changed.
    MembershipChanged {
        shard: u16,
        config: String,
    },
    /// Files are to be set aside: this copy differs from most others.
    Diverged {
        shard: u16,
        differs: Divergence,
    },
    /// Files are to be set aside: this disk is an old copy.
    StaleDisk {
        why: String,
    },
    /// A met disk is an old copy, and was told so.
    StalePeer {
        name: String,
        disk: ReplicaId,
        why: String,
    },
    CaughtUp {
        shard: u16,
        index: u64,
    },
    /// The disk confirms nothing any more: this member takes part in nothing.
    DiskStalled,
    /// A write or flush failed: this member confirms nothing and votes for nothing until it is started anew.
    DiskFailed {
        why: String,
    },
}

/// What follows from what happened.
#[derive(Debug, Default)]
pub struct Effects {
    /// To whom, by name.
    pub frames: Vec<(String, Frame)>,
    /// The number under which it is told to be written.
    pub write: Option<(u64, Vec<PersistentWrite>)>,
    /// By the number of the question. A start may be told to be running first and something else later.
    pub outcomes: Vec<(u64, ClaimOutcome)>,
    /// Questions whose time is over; of starts nothing was or will be launched.
    pub timed_out: Vec<u64>,
    pub events: Vec<GroupEvent>,
    /// The newest published version here may be another one than before.
    pub published_changed: bool,
}

/// Who waits for an entry of this leader's.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Requester {
    Local(u64),
    Remote(String, u64),
}

#[derive(Debug)]
struct Shard {
    replica: Replica,
    table: IdempotencyTable,
    /// By index: the term it was proposed in, and for whom.
    waiting: BTreeMap<u64, (u64, Requester)>,
    /// Repeats of a key that runs.
    watchers: BTreeMap<Bytes, Vec<Requester>>,
    led: bool,
}

/// What is known of another member.
#[derive(Clone, Debug, Default)]
struct Peer {
    here: bool,
    hello: Option<Hello>,
    /// The newest start that was heard of: disk, number, draw.
    start: Option<(ReplicaId, u64, u64)>,
    /// How far each shard's copy on its disk is known to be: confirmed, and committed.
    marks: BTreeMap<u16, (u64, u64)>,
    /// Disks that this name had before another one: their copies are of another time, whatever they say.
    gone: VecDeque<ReplicaId>,
    /// It is an old copy: nothing of it counts.
    refused: Option<ReplicaId>,
}

/// A question to a shard's leader.
#[derive(Clone, Debug)]
struct PendingRequest {
    shard: u16,
    command: Command,
    until: Duration,
    again: Duration,
    /// Nobody waits for it any more.
    background: bool,
    tries: u32,
}

/// What waits until all writes up to a number are durable: frames, and entries by shard, index and term.
struct AwaitingPersist {
    number: u64,
    frames: Vec<(String, Frame)>,
    confirms: Vec<(u16, u64, u64)>,
}

pub struct GroupMember {
    options: MemberConfig,
    disk: ReplicaId,
    boot: u64,
    nonce: u64,
    generation: u64,
    now: Duration,
    chance: WyRand,
    form: Option<BootstrapConfig>,
    shards: BTreeMap<u16, Shard>,
    peers: BTreeMap<String, Peer>,
    questions: BTreeMap<u64, PendingRequest>,
    next_question: u64,
    /// Who was last heard to lead a shard.
    leaders: BTreeMap<u16, ReplicaId>,
    number: u64,
    written: u64,
    /// Frames and news of entries that wait for a write.
    held: VecDeque<AwaitingPersist>,
    /// When a question is to be looked at again, at the latest.
    due: Duration,
    look: Duration,
    soft_at: Duration,
    witness_at: Duration,
    witness: PeerIncarnations,
    own: GossipReport,
    pub reports: GossipReports,
    effects: Effects,
    writes: Vec<PersistentWrite>,
    after: Vec<(String, Frame)>,
    confirms: Vec<(u16, u64, u64)>,
    /// Nothing is done any more: the files are set aside, or the disk failed.
    over: bool,
    /// Questions that were turned away for want of room.
    pub rejected_requests: u64,
}

impl GroupMember {
    pub fn new(options: MemberConfig, found: RecoveredState, now: Duration) -> Self {
        let chance = WyRand::new_seed(options.seed ^ found.nonce);
        let peers = options
            .members
            .iter()
            .filter(|(name, _)| *name != options.name);
        let mut peers: BTreeMap<String, Peer> = peers
            .map(|(name, _)| (name.clone(), Peer::default()))
            .collect();
        for seen in found
            .peer_incarnations
            .iter()
            .flat_map(|witness| &witness.seen)
        {
            if let Some(peer) = peers.get_mut(&seen.name) {
                peer.start = Some((seen.disk, seen.incarnation, seen.nonce));
                peer.gone = seen.replaced_disks.iter().copied().collect();
                peer.marks = seen
                    .shard_progress
                    .iter()
                    .map(|mark| (mark.shard as u16, (mark.term, mark.index)))
                    .collect();
            }
        }
        let mut member = Self {
            disk: found.disk,
            boot: found.incarnation,
            nonce: found.nonce,
            generation: found.generation,
            now,
            chance,
            form: found.bootstrap,
            shards: BTreeMap::new(),
            peers,
            questions: BTreeMap::new(),
            // Numbers of an earlier start are not used again: an answer to it may still be on its way.
            next_question: found.nonce << 20,
            leaders: BTreeMap::new(),
            number: 0,
            written: 0,
            held: VecDeque::new(),
            due: now,
            look: now,
            soft_at: now,
            witness_at: now,
            witness: PeerIncarnations::default(),
            own: GossipReport {
                epoch: found.incarnation,
                disk: found.disk,
                ..GossipReport::default()
            },
            reports: GossipReports::default(),
            effects: Effects::default(),
            writes: Vec::new(),
            after: Vec::new(),
            confirms: Vec::new(),
            over: false,
            rejected_requests: 0,
            options,
        };
        match found.name {
            // Guards against one disk in two places: what it confirmed is the other member's.
            Some(name) if name != member.options.name => {
                member.set_aside(GroupEvent::StaleDisk {
                    why: format!("this is the disk of {name}"),
                });
                return member;
            }
            Some(_) => {}
            None => {
                let data = Bytes::copy_from_slice(member.options.name.as_bytes());
                member.writes.push(PersistentWrite::Metadata {
                    number: METADATA_MEMBER_NAME,
                    data,
                });
            }
        }
        for (shard, state) in found.shards {
            member.open(shard, state);
        }
        // A form that was kept, with shards whose beginning was cut off by a crash.
        if let Some(form) = member.form.clone() {
            member.begin(&form);
        }
        member.alone();
        member
    }

    pub fn disk(&self) -> ReplicaId {
        self.disk
    }

    pub fn name(&self) -> &str {
        &self.options.name
    }

    /// A claim of this disk's for the ticket of a trace.
    pub fn claim(&self, trace: &[u8]) -> Claim {
        Claim {
            holder: self.disk,
            trace: Bytes::copy_from_slice(trace),
        }
    }

    /// Takes part in nothing any more.
    pub fn stop(&mut self) {
        self.over = true;
    }

    pub fn is_stopped(&self) -> bool {
        self.over
    }

    pub fn on_frame(&mut self, now: Duration, name: &str, frame: Frame) {
        self.now = self.now.max(now);
        let Some(what) = frame.body else { return };
        if self.over || !self.peers.contains_key(name) {
            return;
        }
        match what {
            FrameBody::Hello(hello) => self.hello_from(name, hello),
            FrameBody::Bootstrap(form) => self.take_form(form),
            FrameBody::Raft(raft) => self.raft(name, raft),
            FrameBody::Request(ask) => self.asked(name, ask),
            FrameBody::Response(answer) => self.answered(&answer),
            FrameBody::StaleDisk(behind) if behind.disk == self.disk => {
                self.set_aside(GroupEvent::StaleDisk { why: behind.why });
            }
            FrameBody::StaleDisk(_) => {}
            // Of the links that attached processes opened, not of those among members.
            FrameBody::FromSubscriber(_) | FrameBody::ToSubscriber(_) => {}
            FrameBody::Gossip(report) => {
                let hello = self.peers.get(name).and_then(|peer| peer.hello.as_ref());
                if hello.is_some_and(|hello| hello.disk == report.disk) {
                    self.reports.merge(&report);
                }
            }
        }
        self.settle();
    }

    fn set_aside(&mut self, news: GroupEvent) {
        self.effects.events.push(news);
        self.over = true;
    }

    pub fn tick(&mut self, now: Duration) {
        self.now = self.now.max(now);
        if self.over {
            self.end_questions();
            return;
        }
        for one in self.shards.values_mut() {
            if one.replica.next_deadline() <= self.now {
                one.replica.tick(self.now);
            }
        }
        if self.now >= self.look {
            self.look = self.now + LOOK;
            self.look_at_members();
            self.compact();
        }
        if self.now >= self.witness_at {
            self.witness_at = self.now + WITNESS;
            self.write_witness();
        }
        if self.now >= self.soft_at {
            self.soft_at = self.now + SOFT;
            self.own.sequence += 1;
            self.tell_soft();
        }
        if self.now >= self.due {
            self.end_questions();
            self.put_again();
            let due = self
                .questions
                .values()
                .map(|one| one.again.min(one.until))
                .min();
            self.due = due.unwrap_or(Duration::MAX);
        }
        self.settle();
    }

    /// When something is to be done, if nothing happens before.
    pub fn next_deadline(&self) -> Duration {
        let shards = self
            .shards
            .values()
            .map(|one| one.replica.next_deadline())
            .min()
            .unwrap_or(Duration::MAX);
        let own = if self.over {
            Duration::MAX
        } else {
            shards.min(self.look).min(self.soft_at)
        };
        let questions = if self.questions.is_empty() {
            Duration::MAX
        } else {
            self.due
        };
        own.min(questions)
    }

    pub fn now(&self) -> Duration {
        self.now
    }
}
