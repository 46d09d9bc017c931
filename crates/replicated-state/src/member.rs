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
    Entry, EntryKind, HardState, Membership, PersistentState, Replica, ReplicaId, SnapshotInstall,
    SnapshotMetadata, Timeouts,
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

    /// The configuration's members changed: shards move, one safe step at a time. Whoever left the configuration is
    /// still heard until nothing is held there.
    pub fn set_members(&mut self, now: Duration, members: Vec<(String, String)>) {
        self.now = self.now.max(now);
        for (name, _) in members
            .iter()
            .filter(|(name, _)| *name != self.options.name)
        {
            self.peers.entry(name.clone()).or_default();
        }
        self.options.members = members;
        self.look = self.now;
        self.settle();
    }

    /// Takes part in nothing any more.
    pub fn stop(&mut self) {
        self.over = true;
    }

    pub fn is_stopped(&self) -> bool {
        self.over
    }

    fn open(&mut self, shard: u16, state: PersistentState) {
        let seed = self.chance.generate::<u64>();
        let snapshot = state.snapshot.clone();
        let replica = Replica::new(self.disk, self.options.times, seed, self.now, state);
        let linger = self.options.times.max_election_timeout.as_nanos() as u64 * 100;
        let mut table = IdempotencyTable::new(self.options.keys, linger);
        if let Some(snapshot) = snapshot.filter(|snapshot| !snapshot.data.is_empty()) {
            self.effects.published_changed = true;
            // Bytes with a good checksum that are no table were written by another program.
            if table.restore(snapshot.data).is_err() {
                self.effects.events.push(GroupEvent::StaleDisk {
                    why: format!("shard {shard}: no table"),
                });
                self.over = true;
            }
        }
        let shard_ = Shard {
            replica,
            table,
            waiting: BTreeMap::new(),
            watchers: BTreeMap::new(),
            led: false,
        };
        self.shards.insert(shard, shard_);
    }

    // Links.

    pub fn hello(&self) -> Frame {
        let marks = self.shards.iter().map(|(shard, one)| ShardProgress {
            shard: u32::from(*shard),
            term: one.replica.term(),
            index: one.replica.log().last_index(),
        });
        Frame::of(FrameBody::Hello(Hello {
            group: self.options.group.clone(),
            name: self.options.name.clone(),
            disk: self.disk,
            incarnation: self.boot,
            nonce: self.nonce,
            uninitialized: self.fresh(),
            shards: u32::from(self.options.shards),
            shard_progress: marks.collect(),
            generation: self.generation,
        }))
    }

    /// Whether this disk holds no log.
    fn fresh(&self) -> bool {
        self.form.is_none()
            && self
                .shards
                .values()
                .all(|one| one.replica.log().last_index() == 0)
    }

    /// A link to a member is open: it hears who this is.
    pub fn on_connected(&mut self, now: Duration, name: &str) {
        self.now = self.now.max(now);
        let hello = self.hello();
        if let Some(peer) = self.peers.get_mut(name) {
            peer.here = true;
            self.effects.frames.push((name.to_owned(), hello));
        }
        if self.form.is_none() && !self.over {
            self.form_if_all_are_fresh();
        }
        self.settle();
    }

    /// Something of the greeting changed.
    fn greet_again(&mut self) {
        let hello = self.hello();
        for (name, _) in self.peers.iter().filter(|(_, peer)| peer.here) {
            self.effects.frames.push((name.clone(), hello.clone()));
        }
    }

    /// The link to a member broke.
    pub fn on_disconnected(&mut self, now: Duration, name: &str) {
        self.now = self.now.max(now);
        if let Some(peer) = self.peers.get_mut(name) {
            peer.here = false;
        }
        self.settle();
    }

    fn hello_from(&mut self, name: &str, hello: Hello) {
        if hello.group != self.options.group
            || hello.name != name
            || hello.shards != u32::from(self.options.shards)
        {
            return;
        }
        let others = self.peers.iter().filter(|(other, _)| *other != name);
        let taken = others
            .filter_map(|(_, peer)| peer.start)
            .any(|start| start.0 == hello.disk);
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        if taken || hello.disk == self.disk {
            let why = "another member has this disk".to_owned();
            let behind = StaleDiskNotice {
                disk: hello.disk,
                why: why.clone(),
            };
            self.effects
                .frames
                .push((name.to_owned(), Frame::of(FrameBody::StaleDisk(behind))));
            self.effects.events.push(GroupEvent::StalePeer {
                name: name.to_owned(),
                disk: hello.disk,
                why,
            });
            return;
        }
        for (shard, one) in &self.shards {
            // Whom this one voted for has written that term down before it asked.
            if one.replica.vote() == hello.disk {
                let mark = peer.marks.entry(*shard).or_default();
                mark.0 = mark.0.max(one.replica.term());
            }
        }
        if let Some(why) = old_copy(peer, &hello) {
            peer.refused = Some(hello.disk);
            peer.hello = None;
            let behind = StaleDiskNotice {
                disk: hello.disk,
                why: why.clone(),
            };
            self.effects
                .frames
                .push((name.to_owned(), Frame::of(FrameBody::StaleDisk(behind))));
            self.effects.events.push(GroupEvent::StalePeer {
                name: name.to_owned(),
                disk: hello.disk,
                why,
            });
            return;
        }
        if let Some((before, ..)) = peer.start.filter(|start| start.0 != hello.disk) {
            peer.marks.clear();
            peer.gone.push_back(before);
            if peer.gone.len() > GONE {
                peer.gone.pop_front();
            }
        }
        peer.start = Some((hello.disk, hello.incarnation, hello.nonce));
        peer.refused = None;
        let generation = hello.generation;
        let (fresh, disk, ahead) = (
            hello.uninitialized,
            hello.disk,
            generation > self.generation,
        );
        peer.hello = Some(hello);
        if ahead && self.fresh() {
            // A new disk of a group that was recovered: it learns there.
            self.generation = generation;
            let data = Bytes::copy_from_slice(&generation.to_le_bytes());
            self.writes.push(PersistentWrite::Metadata {
                number: METADATA_GENERATION,
                data,
            });
            self.greet_again();
        } else if ahead {
            let why = "the group was recovered without this disk".to_owned();
            self.set_aside(GroupEvent::StaleDisk { why });
            return;
        }
        match &self.form {
            Some(form) if fresh && form.members.iter().any(|one| one.disk == disk) => {
                self.effects.frames.push((
                    name.to_owned(),
                    Frame::of(FrameBody::Bootstrap(form.clone())),
                ));
            }
            None => self.form_if_all_are_fresh(),
            Some(_) => {}
        }
    }

    /// Everybody is here and nobody has anything: the first by name says with which disks the group begins.
    fn form_if_all_are_fresh(&mut self) {
        let first = self.options.members.iter().map(|(name, _)| name).min();
        if first != Some(&self.options.name) || !self.fresh() {
            return;
        }
        let mut members = Vec::new();
        for (name, site) in &self.options.members {
            let disk = if *name == self.options.name {
                self.disk
            } else {
                match self
                    .peers
                    .get(name)
                    .and_then(|peer| peer.hello.as_ref().filter(|_| peer.here))
                {
                    Some(hello) if hello.uninitialized => hello.disk,
                    _ => return,
                }
            };
            members.push(BootstrapMember {
                name: name.clone(),
                site: site.clone(),
                disk,
            });
        }
        members.sort_by(|a, b| a.name.cmp(&b.name));
        let (shards, copies) = (u32::from(self.options.shards), self.options.copies as u32);
        self.take_form(BootstrapConfig {
            members,
            shards,
            copies,
        });
    }

    fn alone(&mut self) {
        if self.form.is_none() && self.options.members.len() == 1 {
            self.form_if_all_are_fresh();
        }
    }

    fn take_form(&mut self, form: BootstrapConfig) {
        let mine = form.members.iter().any(|one| one.disk == self.disk);
        if self.form.is_some()
            || !self.fresh()
            || !mine
            || form.shards != u32::from(self.options.shards)
        {
            return;
        }
        self.writes.push(PersistentWrite::Metadata {
            number: METADATA_BOOTSTRAP,
            data: form.encode_to_vec().into(),
        });
        self.form = Some(form.clone());
        self.begin(&form);
        self.effects.events.push(GroupEvent::Bootstrapped {
            members: form.members.len(),
        });
        let names: Vec<String> = form.members.iter().map(|one| one.name.clone()).collect();
        for name in names.into_iter().filter(|name| *name != self.options.name) {
            self.effects
                .frames
                .push((name, Frame::of(FrameBody::Bootstrap(form.clone()))));
        }
    }

    /// Begins the shards that fall to this disk by a form and are not there yet.
    fn begin(&mut self, form: &BootstrapConfig) {
        let names: Vec<(String, String)> = form
            .members
            .iter()
            .map(|one| (one.name.clone(), one.site.clone()))
            .collect();
        for shard in 0..self.options.shards {
            let held = holders(&names, shard, form.copies as usize);
            let of: Vec<&BootstrapMember> = held.iter().map(|k| &form.members[*k]).collect();
            let mine = of.iter().any(|one| one.disk == self.disk);
            let there = self
                .shards
                .get(&shard)
                .is_some_and(|one| one.replica.log().last_index() > 0);
            if !mine || there {
                continue;
            }
            let config = Membership::from_voters(of.iter().map(|one| (one.disk, one.name.clone())));
            let base = SnapshotMetadata {
                index: 1,
                term: 1,
                stamp: 0,
                checksum: 1,
                config,
            };
            let snapshot = Snapshot {
                metadata: base,
                data: Bytes::new(),
            };
            let hard = self
                .shards
                .get(&shard)
                .map_or(HardState::default(), |one| HardState {
                    term: one.replica.term(),
                    vote: one.replica.vote(),
                });
            self.writes.push(PersistentWrite::InstallSnapshot {
                shard,
                snapshot: snapshot.clone(),
                alone: true,
            });
            self.open(
                shard,
                PersistentState {
                    hard_state: hard,
                    snapshot: Some(snapshot),
                    entries: Vec::new(),
                },
            );
        }
    }

    // Frames.

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

    fn raft(&mut self, name: &str, raft: Raft) {
        let Raft {
            shard,
            message,
            generation,
        } = raft;
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        // Only from the disk that said hello, so that an old copy's words count for nothing.
        let known = peer
            .hello
            .as_ref()
            .is_some_and(|hello| hello.disk == message.from);
        let shard = shard as u16;
        if !known
            || message.to != self.disk
            || generation != self.generation
            || shard >= self.options.shards
        {
            return;
        }
        // These are sent when their term is durable there.
        let durable = match &message.body {
            Some(Body::VoteRequest(request)) => !request.pre_vote,
            Some(Body::VoteResponse(response)) => !response.pre_vote,
            Some(
                Body::AppendResponse(_)
                | Body::ChunkAck(_)
                | Body::AppendRequest(_)
                | Body::SnapshotChunk(_),
            ) => true,
            _ => false,
        };
        if durable {
            let mark = peer.marks.entry(shard).or_default();
            mark.0 = mark.0.max(message.term);
        }
        if !self.shards.contains_key(&shard) {
            self.open(shard, PersistentState::default());
        }
        if let Some(one) = self.shards.get_mut(&shard) {
            one.replica.step(self.now, message);
        }
    }

    // Time.

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

    /// What this node charged a tenant, in microseconds more, and what it can take.
    pub fn spent(&mut self, tenant: &str, more: u64) {
        *self.own.charged_us.entry(tenant.to_owned()).or_default() += more;
    }

    pub fn room(&mut self, room: u64) {
        self.own.spare_capacity = room;
    }

    fn write_witness(&mut self) {
        let seen = |(name, peer): (&String, &Peer)| {
            let (disk, boot, nonce) = peer.start?;
            let mark = |(shard, (term, index)): (&u16, &(u64, u64))| ShardProgress {
                shard: u32::from(*shard),
                term: *term,
                index: *index,
            };
            Some(PeerIncarnation {
                name: name.clone(),
                disk,
                incarnation: boot,
                nonce,
                replaced_disks: peer.gone.iter().copied().collect(),
                shard_progress: peer.marks.iter().map(mark).collect(),
            })
        };
        let witness = PeerIncarnations {
            seen: self.peers.iter().filter_map(seen).collect(),
        };
        if witness != self.witness {
            self.writes.push(PersistentWrite::Metadata {
                number: METADATA_PEER_INCARNATIONS,
                data: witness.encode_to_vec().into(),
            });
            self.witness = witness;
        }
    }

    fn tell_soft(&mut self) {
        let known: Vec<ReplicaId> = self
            .peers
            .values()
            .filter_map(|peer| Some(peer.start?.0))
            .collect();
        self.reports.keep(|disk| known.contains(&disk));
        if self.own.charged_us.is_empty() && self.own.spare_capacity == 0 {
            return;
        }
        let frame = Frame::of(FrameBody::Gossip(self.own.clone()));
        for (name, peer) in &self.peers {
            if peer.here {
                self.effects.frames.push((name.clone(), frame.clone()));
            }
        }
    }

    // Members of shards.

    fn disk_of(&self, name: &str) -> Option<ReplicaId> {
        if name == self.options.name {
            return Some(self.disk);
        }
        let peer = self.peers.get(name)?;
        peer.hello
            .as_ref()
            .filter(|_| peer.here)
            .map(|hello| hello.disk)
    }

    fn look_at_members(&mut self) {
        let mut learning = self
            .shards
            .values()
            .filter(|one| {
                one.led
                    && one
                        .replica
                        .membership()
                        .members
                        .iter()
                        .any(|member| !member.is_voter)
            })
            .count();
        let ids: Vec<u16> = self.shards.keys().copied().collect();
        for shard in ids {
            let held = holders(&self.options.members, shard, self.options.copies);
            let wanted: Vec<(String, Option<ReplicaId>)> = held
                .iter()
                .map(|k| &self.options.members[*k].0)
                .map(|name| (name.clone(), self.disk_of(name)))
                .collect();
            let (me, now) = (self.disk, self.now);
            let Some(one) = self.shards.get_mut(&shard) else {
                continue;
            };
            if !one.replica.has_committed_in_term()
                || !one.replica.is_membership_committed()
                || one.replica.is_transferring_leadership()
            {
                continue;
            }
            let commit = one.replica.commit();
            let matched: BTreeMap<ReplicaId, u64> = one
                .replica
                .progress()
                .map(|peer| (peer.id, peer.match_index))
                .collect();
            let caught_up = |id: ReplicaId| matched.get(&id).is_some_and(|at| *at >= commit);
            match next(one.replica.membership(), &wanted, me, caught_up) {
                Next::Settled | Next::Wait => {}
                Next::HandTo(id) => drop(one.replica.transfer_leadership(now, id)),
                Next::Change(change) => {
                    let adds = matches!(change, rainstand_raft::MembershipChange::AddLearner(_));
                    if adds && learning >= self.options.moves {
                        continue;
                    }
                    if one.replica.propose_membership_change(now, &change).is_ok() {
                        learning += usize::from(adds);
                        let config = describe(one.replica.membership());
                        self.effects
                            .events
                            .push(GroupEvent::MembershipChanged { shard, config });
                    }
                }
            }
        }
    }

    fn compact(&mut self) {
        for (shard, one) in &mut self.shards {
            let log = one.replica.log();
            if log.len() < self.options.compact && log.bytes() < COMPACT_BYTES {
                continue;
            }
            let index = one.replica.applied();
            if let Some(snapshot) = one.replica.compact(index, one.table.snapshot()) {
                self.writes.push(PersistentWrite::InstallSnapshot {
                    shard: *shard,
                    snapshot,
                    alone: false,
                });
            }
        }
    }

    /// Shards whose entries hold the store's oldest segment back are saved now.
    pub fn pressing(&mut self, now: Duration, shards: &[u16]) {
        self.now = self.now.max(now);
        for shard in shards {
            let Some(one) = self.shards.get_mut(shard) else {
                continue;
            };
            let index = one.replica.applied();
            if let Some(snapshot) = one.replica.compact(index, one.table.snapshot()) {
                self.writes.push(PersistentWrite::InstallSnapshot {
                    shard: *shard,
                    snapshot,
                    alone: false,
                });
            }
        }
        self.settle();
    }

    /// Hands over all shards that are led here to others; before a drain ends.
    pub fn transfer_all_leadership(&mut self, now: Duration) {
        self.now = self.now.max(now);
        for one in self
            .shards
            .values_mut()
            .filter(|one| one.replica.is_leader())
        {
            let best = one
                .replica
                .progress()
                .filter(|peer| one.replica.membership().is_voter(peer.id))
                .max_by_key(|peer| (peer.match_index, peer.last_contact))
                .map(|peer| peer.id);
            if let Some(id) = best {
                let _ = one.replica.transfer_leadership(now, id);
            }
        }
        self.settle();
    }

    /// Shards that are led here and not handed over.
    pub fn led_shard_count(&self) -> usize {
        self.shards
            .values()
            .filter(|one| one.replica.is_leader())
            .count()
    }

    // Questions.

    /// A command for the leader of its key's shard; the question's number. It is told with that number, or its time
    /// is over. None if too many are open.
    pub fn request(&mut self, now: Duration, command: Command, until: Duration) -> Option<u64> {
        self.now = self.now.max(now);
        if self.questions.len() >= ASKS {
            self.rejected_requests += 1;
            return None;
        }
        let shard = match &command.operation {
            Some(idempotency::Operation::Set(_) | idempotency::Operation::Publish(_)) => 0,
            _ => shard_of(&command.key, self.options.shards),
        };
        self.next_question += 1;
        let id = self.next_question;
        let question = PendingRequest {
            shard,
            command,
            until,
            again: self.now,
            background: false,
            tries: 0,
        };
        self.questions.insert(id, question);
        self.put(id);
        self.due = self.due.min(until);
        self.settle();
        Some(id)
    }

    /// Nobody waits for it any more: a start is taken back.
    pub fn forget(&mut self, now: Duration, id: u64) {
        self.now = self.now.max(now);
        self.go_on_without(id);
        self.settle();
    }

    /// What goes on without anybody that waits: starts are taken back, the rest is told until it is noted.
    fn go_on_without(&mut self, id: u64) {
        let now = self.now;
        let Some(question) = self
            .questions
            .get_mut(&id)
            .filter(|question| !question.background)
        else {
            return;
        };
        question.background = true;
        question.until = now + BACKGROUND;
        question.again = now;
        if matches!(
            question.command.operation,
            Some(idempotency::Operation::Start(_))
        ) {
            question.command.operation = Some(idempotency::Operation::Withdraw(true));
            self.put(id);
        }
    }

    fn end_questions(&mut self) {
        let over: Vec<u64> = self
            .questions
            .iter()
            .filter(|(_, one)| one.until <= self.now)
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            let background = self
                .questions
                .get(&id)
                .is_none_or(|question| question.background);
            if background {
                self.questions.remove(&id);
            } else {
                self.effects.timed_out.push(id);
                self.go_on_without(id);
            }
        }
    }

    fn put_again(&mut self) {
        let due: Vec<u64> = self
            .questions
            .iter()
            .filter(|(_, one)| one.again <= self.now)
            .map(|(id, _)| *id)
            .collect();
        due.into_iter().for_each(|id| self.put(id));
    }

    /// Puts a question to the leader, or to whoever may know it.
    fn put(&mut self, id: u64) {
        let Some(question) = self.questions.get_mut(&id) else {
            return;
        };
        question.tries += 1;
        let (shard, command, tries) = (question.shard, question.command.clone(), question.tries);
        let here = self
            .shards
            .get(&shard)
            .is_some_and(|one| one.replica.is_leader());
        question.again = self.now + AGAIN[usize::from(!here)];
        self.due = self.due.min(question.again);
        if here {
            self.propose(shard, &command, Requester::Local(id));
            return;
        }
        let led_by = self.shards.get(&shard).and_then(|one| one.replica.leader());
        // Whoever did not answer may be out of reach: every second try goes round.
        let told = self.leaders.get(&shard).copied().filter(|_| tries % 2 == 1);
        let led_by = led_by.or(told);
        let name = led_by.and_then(|disk| self.name_of(disk)).or_else(|| {
            // Nobody is known to lead: the holders are asked in turn.
            let held = holders(&self.options.members, shard, self.options.copies);
            let others: Vec<usize> = held
                .into_iter()
                .filter(|k| self.options.members[*k].0 != self.options.name)
                .collect();
            let k = others.get(tries as usize % others.len().max(1))?;
            Some(self.options.members[*k].0.clone())
        });
        let Some(name) = name.filter(|name| self.peers.get(name).is_some_and(|peer| peer.here))
        else {
            self.leaders.remove(&shard);
            return;
        };
        if let Some(question) = self.questions.get_mut(&id) {
            question.again = self.now + AGAIN[0];
        }
        let ask = CommandRequest {
            id,
            shard: u32::from(shard),
            command,
        };
        self.effects
            .frames
            .push((name, Frame::of(FrameBody::Request(ask))));
    }

    fn name_of(&self, disk: ReplicaId) -> Option<String> {
        let known =
            |peer: &Peer| peer.hello.as_ref().is_some_and(|hello| hello.disk == disk) && peer.here;
        self.peers
            .iter()
            .find(|(_, peer)| known(peer))
            .map(|(name, _)| name.clone())
    }

    fn asked(&mut self, name: &str, ask: CommandRequest) {
        self.propose(
            ask.shard as u16,
            &ask.command,
            Requester::Remote(name.to_owned(), ask.id),
        );
    }

    fn propose(&mut self, shard: u16, command: &Command, asker: Requester) {
        let now = self.now;
        let proposed = self.shards.get_mut(&shard).and_then(|one| {
            if one.waiting.len() >= WAITING {
                return None;
            }
            let index = one
                .replica
                .propose(now, command.encode_to_vec().into())
                .ok()?;
            one.waiting
                .insert(index, (one.replica.term(), asker.clone()));
            Some(index)
        });
        if proposed.is_none() {
            self.elsewhere(shard, &asker);
        }
    }

    /// This is no leader, or has no room: somebody else, or later.
    fn elsewhere(&mut self, shard: u16, asker: &Requester) {
        let leader = self.shards.get(&shard).and_then(|one| one.replica.leader());
        let leader = leader.filter(|leader| *leader != self.disk);
        match asker {
            Requester::Local(id) => {
                if let Some(question) = self.questions.get_mut(id) {
                    question.again = self.now + AGAIN[1];
                    self.due = self.due.min(question.again);
                }
            }
            Requester::Remote(name, id) => {
                let answer = CommandResponse::redirect(*id, shard, leader);
                self.effects
                    .frames
                    .push((name.clone(), Frame::of(FrameBody::Response(answer))));
            }
        }
    }

    fn answered(&mut self, answer: &CommandResponse) {
        let (id, now) = (answer.id, self.now);
        match answer.outcome() {
            Some(told) => self.tell(id, told),
            None => {
                let shard = answer.shard as u16;
                if answer.leader == 0 {
                    self.leaders.remove(&shard);
                } else {
                    self.leaders.insert(shard, answer.leader);
                }
                if let Some(question) = self.questions.get_mut(&id) {
                    question.again = question.again.min(now + AGAIN[1]);
                    self.due = self.due.min(question.again);
                }
            }
        }
    }

    /// What a question came to.
    fn tell(&mut self, id: u64, told: ClaimOutcome) {
        let Some(question) = self.questions.get_mut(&id) else {
            return;
        };
        if question.background {
            // A start that is granted after its time is taken back, as is asked already.
            let taken_back = matches!(
                question.command.operation,
                Some(idempotency::Operation::Withdraw(_))
            );
            let final_ = !taken_back
                || matches!(
                    told,
                    ClaimOutcome::Recorded | ClaimOutcome::CapacityExceeded
                );
            if final_ {
                self.questions.remove(&id);
            }
            return;
        }
        if question.until <= self.now {
            // Its time is over, though nobody looked yet: the answer came too late to act on.
            return;
        }
        if told == ClaimOutcome::InProgress {
            question.again = self.now + AGAIN[0];
        } else {
            self.questions.remove(&id);
        }
        self.effects.outcomes.push((id, told));
    }

    // What follows.

    fn send(&mut self, asker: &Requester, shard: u16, told: ClaimOutcome) {
        match asker {
            Requester::Local(id) => self.tell(*id, told),
            Requester::Remote(name, id) => {
                let answer = CommandResponse::of(*id, shard, &told);
                self.effects
                    .frames
                    .push((name.clone(), Frame::of(FrameBody::Response(answer))));
            }
        }
    }

    /// Takes what all shards have to say, until none says anything more.
    fn settle(&mut self) {
        let ids: Vec<u16> = self.shards.keys().copied().collect();
        for shard in ids {
            self.settle_shard(shard);
            if self.over {
                return;
            }
        }
    }

    fn settle_shard(&mut self, shard: u16) {
        let Some(one) = self.shards.get_mut(&shard) else {
            return;
        };
        let out = one.replica.take_ready();
        let leads = one.replica.is_leader();
        if leads != one.led {
            one.led = leads;
            let term = one.replica.term();
            let news = if leads {
                GroupEvent::BecameLeader { shard, term }
            } else {
                GroupEvent::LostLeadership { shard }
            };
            self.effects.events.push(news);
        }
        if out.is_empty() && (leads || one.waiting.is_empty() && one.watchers.is_empty()) {
            return;
        }
        if let Some(hard) = out.hard_state {
            self.writes.push(PersistentWrite::HardState { shard, hard });
        }
        if let Some(SnapshotInstall {
            snapshot,
            discard_suffix: alone,
        }) = out.snapshot
        {
            if !snapshot.data.is_empty() && one.table.restore(snapshot.data.clone()).is_err() {
                self.effects.events.push(GroupEvent::StaleDisk {
                    why: format!("shard {shard}: no table came"),
                });
                self.over = true;
                return;
            }
            self.effects.published_changed = true;
            self.effects.events.push(GroupEvent::CaughtUp {
                shard,
                index: snapshot.metadata.index,
            });
            self.writes.push(PersistentWrite::InstallSnapshot {
                shard,
                snapshot,
                alone,
            });
        }
        for entry in out.entries {
            self.confirms.push((shard, entry.index, entry.term));
            self.writes.push(PersistentWrite::Entry { shard, entry });
        }
        if let Some(differs) = out.divergence {
            self.set_aside(GroupEvent::Diverged { shard, differs });
            return;
        }
        let generation = self.generation;
        let wrap = |message: rainstand_raft::Message| {
            let to = message.to;
            (
                to,
                Frame::of(FrameBody::Raft(Raft {
                    shard: u32::from(shard),
                    message,
                    generation,
                })),
            )
        };
        let now: Vec<_> = out.messages.into_iter().map(wrap).collect();
        let after: Vec<_> = out.messages_after_persist.into_iter().map(wrap).collect();
        for (to, frame) in now {
            if let Some(name) = self.name_of(to) {
                self.effects.frames.push((name, frame));
            }
        }
        for (to, frame) in after {
            if let Some(name) = self.name_of(to) {
                self.after.push((name, frame));
            }
        }
        for entry in out.committed {
            self.apply(shard, &entry);
        }
        if !leads {
            self.dismiss_waiting(shard);
        } else {
            self.mark(shard);
        }
    }

    /// What a leader knows of how far the others are, for telling an old copy of a disk.
    fn mark(&mut self, shard: u16) {
        let Some(one) = self.shards.get(&shard) else {
            return;
        };
        let (term, commit) = (one.replica.term(), one.replica.commit());
        let marks: Vec<(ReplicaId, u64)> = one
            .replica
            .progress()
            .map(|peer| (peer.id, peer.match_index.min(commit)))
            .collect();
        for (id, index) in marks.into_iter().filter(|mark| mark.1 > 0) {
            let of = |peer: &&mut Peer| peer.hello.as_ref().is_some_and(|hello| hello.disk == id);
            if let Some(peer) = self.peers.values_mut().find(of) {
                let known = peer.marks.entry(shard).or_default();
                *known = (known.0.max(term), known.1.max(index));
            }
        }
    }

    fn apply(&mut self, shard: u16, entry: &Entry) {
        let Some(one) = self.shards.get_mut(&shard) else {
            return;
        };
        let waiting = one.waiting.remove(&entry.index);
        if entry.kind() != EntryKind::Data {
            return;
        }
        // What cannot be read was proposed by a later version: every copy passes over it alike.
        let Ok(command) = Command::decode(entry.data.clone()) else {
            return;
        };
        let told = one.table.apply(entry.stamp, &command);
        let over = !matches!(
            command.operation,
            Some(
                idempotency::Operation::Start(_)
                    | idempotency::Operation::Set(_)
                    | idempotency::Operation::Publish(_)
            )
        );
        self.effects.published_changed |=
            matches!(command.operation, Some(idempotency::Operation::Publish(_)));
        let watchers = if over {
            one.watchers.remove(&command.key)
        } else {
            None
        };
        let leads = one.replica.is_leader();
        // The end of a run, for the repeats that wait for it. One of a start that was taken back asks again.
        for watcher in watchers.unwrap_or_default() {
            match (&command.operation, &told) {
                (Some(idempotency::Operation::Done(result)), ClaimOutcome::Recorded) => {
                    self.send(&watcher, shard, ClaimOutcome::Completed(result.clone()));
                }
                (Some(idempotency::Operation::Failed(_)), ClaimOutcome::Recorded) => {
                    self.send(&watcher, shard, ClaimOutcome::Indeterminate)
                }
                _ => self.elsewhere(shard, &watcher),
            }
        }
        let Some((term, asker)) = waiting else { return };
        if term != entry.term {
            self.elsewhere(shard, &asker);
            return;
        }
        if told == ClaimOutcome::InProgress && leads {
            if let Some(one) = self.shards.get_mut(&shard) {
                let watchers = one.watchers.entry(command.key.clone()).or_default();
                if watchers.len() < WATCHERS && !watchers.contains(&asker) {
                    watchers.push(asker.clone());
                }
            }
        }
        self.send(&asker, shard, told);
    }

    /// Leadership went: whoever waits asks the next leader.
    fn dismiss_waiting(&mut self, shard: u16) {
        let Some(one) = self.shards.get_mut(&shard) else {
            return;
        };
        let waiting = std::mem::take(&mut one.waiting);
        one.watchers.clear();
        for (_, asker) in waiting.into_values() {
            self.elsewhere(shard, &asker);
        }
    }

    /// The effects of all calls since the last one.
    pub fn take_effects(&mut self) -> Effects {
        let mut effects = std::mem::take(&mut self.effects);
        let writes = std::mem::take(&mut self.writes);
        let (after, confirms) = (
            std::mem::take(&mut self.after),
            std::mem::take(&mut self.confirms),
        );
        if !writes.is_empty() {
            self.number += 1;
            effects.write = Some((self.number, writes));
        }
        if !after.is_empty() || !confirms.is_empty() {
            if self.written >= self.number {
                effects.frames.extend(after);
            } else {
                self.held.push_back(AwaitingPersist {
                    number: self.number,
                    frames: after,
                    confirms,
                });
            }
        }
        if self.held.len() > HELD && !self.over {
            effects.events.push(GroupEvent::DiskStalled);
            self.over = true;
        }
        effects
    }

    /// Writes up to this number are durable.
    pub fn on_persisted(&mut self, now: Duration, to: u64) {
        self.now = self.now.max(now);
        self.written = self.written.max(to);
        while self
            .held
            .front()
            .is_some_and(|held| held.number <= self.written)
        {
            let Some(AwaitingPersist {
                frames, confirms, ..
            }) = self.held.pop_front()
            else {
                break;
            };
            self.effects.frames.extend(frames);
            for (shard, index, term) in confirms {
                if let Some(one) = self.shards.get_mut(&shard) {
                    one.replica.on_persisted(index, term);
                }
            }
        }
        self.settle();
    }

    /// Writes that are not durable yet.
    pub fn pending_writes(&self) -> u64 {
        self.number - self.written
    }

    // For people.

    /// A key that this disk started under a trace, if the shard's copy here tells.
    pub fn key_claimed_here(&self, trace: &[u8]) -> Option<Bytes> {
        // A claim is its disk's: what an earlier start of this program began is still this disk's.
        let claim = self.claim(trace);
        self.shards
            .values()
            .find_map(|one| one.table.claimed_by(&claim).cloned())
    }

    /// The row of a key in the copy here, and its shard.
    pub fn key_state(&self, key: &[u8]) -> (u16, Option<&idempotency::KeyState>) {
        let shard = shard_of(key, self.options.shards);
        (
            shard,
            self.shards.get(&shard).and_then(|one| one.table.get(key)),
        )
    }

    pub fn register(&self, name: &[u8]) -> Option<&idempotency::Register> {
        self.shards.get(&0).and_then(|one| one.table.register(name))
    }

    /// What was published, where there is a copy of it here; and whether a leader is known, so that nothing newer is
    /// committed for longer than an election takes.
    pub fn published(&self) -> Option<(&Versions, bool)> {
        let one = self.shards.get(&0)?;
        let current = one.replica.has_committed_in_term()
            || !one.replica.is_leader() && one.replica.leader().is_some();
        let current = current && one.replica.applied() == one.replica.commit();
        Some((one.table.versions(), current && !self.over))
    }

    /// Shards here: number, replica, table.
    pub fn shards(&self) -> impl Iterator<Item = (u16, &Replica, &IdempotencyTable)> {
        self.shards
            .iter()
            .map(|(shard, one)| (*shard, &one.replica, &one.table))
    }

    /// Members by name: whether a link is open, and the disk last heard.
    pub fn peers(&self) -> impl Iterator<Item = (&str, bool, Option<ReplicaId>, bool)> {
        self.peers.iter().map(|(name, peer)| {
            (
                name.as_str(),
                peer.here,
                peer.hello.as_ref().map(|hello| hello.disk),
                peer.refused.is_some(),
            )
        })
    }

    pub fn pending_request_count(&self) -> usize {
        self.questions.len()
    }

    /// Shards that know who leads them, of all; by what is known here.
    pub fn known_leaders(&self) -> (usize, usize) {
        let known = (0..self.options.shards).filter(|shard| {
            self.shards
                .get(shard)
                .is_some_and(|one| one.replica.leader().is_some())
                || self.leaders.contains_key(shard)
        });
        (known.count(), usize::from(self.options.shards))
    }

    pub fn now(&self) -> Duration {
        self.now
    }
}

/// A configuration in a few words.
fn describe(config: &Membership) -> String {
    let one = |member: &rainstand_raft::Member| {
        format!(
            "{}/{:08x}{}",
            member.name,
            member.id as u32,
            if member.is_voter { "" } else { "?" }
        )
    };
    config.members.iter().map(one).collect::<Vec<_>>().join(" ")
}

/// Why a disk that says hello is an old copy of itself, if it is one.
fn old_copy(peer: &Peer, hello: &Hello) -> Option<String> {
    if peer.refused == Some(hello.disk) {
        return Some("it was found to be an old copy before".into());
    }
    if peer.gone.contains(&hello.disk) {
        return Some("another disk took its place".into());
    }
    let (_, boot, nonce) = peer.start.filter(|start| start.0 == hello.disk)?;
    if (boot, nonce) == (hello.incarnation, hello.nonce) {
        return None;
    }
    if hello.incarnation <= boot {
        return Some(format!("start {} after start {boot}", hello.incarnation));
    }
    for (shard, (term, index)) in &peer.marks {
        let mark = hello
            .shard_progress
            .iter()
            .find(|mark| mark.shard == u32::from(*shard));
        let (t, i) = mark.map_or((0, 0), |mark| (mark.term, mark.index));
        if t < *term || i < *index {
            return Some(format!(
                "shard {shard}: term {t} index {i} after term {term} index {index}"
            ));
        }
    }
    None
}
