//! What a member asks its driver to do: frames to send, writes to make durable, outcomes and events to report.

use crate::frames::Frame;
use crate::idempotency::ClaimOutcome;
use bytes::Bytes;
use rainstand_raft::replica::Divergence;
use rainstand_raft::wire::Snapshot;
use rainstand_raft::{Entry, HardState, ReplicaId};

/// One write to the disk. Writes take effect in the order in which they are given.
#[derive(Clone, Debug, PartialEq)]
pub enum PersistentWrite {
    /// Term and vote of a shard's replica.
    HardState {
        /// The shard.
        shard: u16,
        /// Term and vote.
        hard: HardState,
    },
    /// An entry of a shard's log; it replaces all entries from its index on.
    Entry {
        /// The shard.
        shard: u16,
        /// The entry.
        entry: Entry,
    },
    /// A snapshot; it replaces the entries up to its index.
    InstallSnapshot {
        /// The shard.
        shard: u16,
        /// The snapshot.
        snapshot: Snapshot,
        /// Whether the entries behind the snapshot's index are removed too: they belong to another history.
        discard_suffix: bool,
    },
    /// A metadata record of the whole disk; it replaces the earlier one of the same number.
    Metadata {
        /// Number of the record, one of the `METADATA_` constants.
        number: u16,
        /// Its contents.
        data: Bytes,
    },
}

/// Writes that become durable together.
#[derive(Clone, Debug, PartialEq)]
pub struct WriteBatch {
    /// Number of the batch, counted from 1 without gaps; see [`GroupMember::on_persisted`](super::GroupMember::on_persisted).
    pub number: u64,
    /// The writes, in order.
    pub writes: Vec<PersistentWrite>,
}

/// Something that operators should know of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GroupEvent {
    /// The group was formed.
    Bootstrapped {
        /// Number of members that it was formed with.
        members: usize,
    },
    /// A replica here became the leader of its shard.
    BecameLeader {
        /// The shard.
        shard: u16,
        /// The term that it leads in.
        term: u64,
    },
    /// A replica here is no longer the leader of its shard.
    LostLeadership {
        /// The shard.
        shard: u16,
    },
    /// The leader here proposed another membership for its shard.
    MembershipChanged {
        /// The shard.
        shard: u16,
        /// The new membership, for people.
        membership: String,
    },
    /// This replica differs from the majority: the files are to be quarantined.
    Diverged {
        /// The shard.
        shard: u16,
        /// What differs.
        divergence: Divergence,
    },
    /// This disk is an old copy: the files are to be quarantined.
    StaleDisk {
        /// The reason.
        reason: String,
    },
    /// The disk of another member is an old copy, and that member was notified.
    StalePeer {
        /// Name of the member.
        name: String,
        /// Identity of the disk.
        disk: ReplicaId,
        /// The reason.
        reason: String,
    },
    /// A replica here installed a snapshot from its leader.
    CaughtUp {
        /// The shard.
        shard: u16,
        /// Index of the snapshot.
        index: u64,
    },
    /// The disk no longer confirms writes: this member stopped.
    DiskStalled,
    /// A write or flush failed: this member confirms nothing and does not vote until it is restarted.
    DiskFailed {
        /// The error.
        reason: String,
    },
}

/// A frame for another member.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingFrame {
    /// Name of the receiver.
    pub to: String,
    /// The frame.
    pub frame: Frame,
}

/// The outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestOutcome {
    /// Number of the request, as [`GroupMember::request`](super::GroupMember::request) returned it.
    pub id: u64,
    /// The outcome. [`ClaimOutcome::InProgress`] may be followed by another one; all others are final.
    pub outcome: ClaimOutcome,
}

/// How a read of a replica here ended; see [`GroupMember::confirm_read`](super::GroupMember::confirm_read).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The replica here holds everything that was committed when the read began.
    Confirmed,
    /// No leader confirmed it with a majority in time: the replica here may be behind by any amount.
    Unconfirmed,
}

/// A read that ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinishedRead {
    /// Number of the read, as [`GroupMember::confirm_read`](super::GroupMember::confirm_read) returned it.
    pub id: u64,
    /// How it ended.
    pub outcome: ReadOutcome,
}

/// Everything that follows from the calls since the last
/// [`GroupMember::take_effects`](super::GroupMember::take_effects).
#[derive(Debug, Default)]
pub struct Effects {
    /// Frames to send now, in order.
    pub frames: Vec<OutgoingFrame>,
    /// Writes to start now.
    pub write: Option<WriteBatch>,
    /// Outcomes of requests.
    pub outcomes: Vec<RequestOutcome>,
    /// Numbers of the requests that timed out. A start that timed out was not granted and never will be.
    pub timed_out: Vec<u64>,
    /// Reads that ended.
    pub reads: Vec<FinishedRead>,
    /// Events for operators.
    pub events: Vec<GroupEvent>,
    /// Whether the newest published version may have changed.
    pub published_changed: bool,
}

impl Effects {
    /// Adds a frame to send now.
    pub(super) fn send(&mut self, to: &str, frame: Frame) {
        self.frames.push(OutgoingFrame {
            to: to.to_owned(),
            frame,
        });
    }

    /// Adds the outcome of a request.
    pub(super) fn report_outcome(&mut self, id: u64, outcome: ClaimOutcome) {
        self.outcomes.push(RequestOutcome { id, outcome });
    }
}
