//! What members send each other: protobuf, one message a frame.

use crate::gossip::GossipReport;
use crate::idempotency::{ClaimOutcome, Command};
use bytes::Bytes;
use rainstand_raft::{Message, ReplicaId};

/// The first frame on a link, and again whenever something of it changed.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Hello {
    #[prost(string, tag = "1")]
    pub group: String,
    #[prost(string, tag = "2")]
    pub name: String,
    #[prost(uint64, tag = "3")]
    pub disk: ReplicaId,
    /// The start of this disk, and a draw that tells two starts under one number apart.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    #[prost(uint64, tag = "5")]
    pub nonce: u64,
    /// Its disk holds no log of any shard.
    #[prost(bool, tag = "6")]
    pub uninitialized: bool,
    #[prost(uint32, tag = "7")]
    pub shards: u32,
    /// How far each of its shards is.
    #[prost(message, repeated, tag = "8")]
    pub shard_progress: Vec<ShardProgress>,
    /// Goes up with each recovery after the loss of a majority.
    #[prost(uint64, tag = "9")]
    pub generation: u64,
}

/// How far a copy was known to be: what it confirmed and was committed.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct ShardProgress {
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    #[prost(uint64, tag = "3")]
    pub index: u64,
}

/// The disks with which a group begins.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct BootstrapConfig {
    #[prost(message, repeated, tag = "1")]
    pub members: Vec<BootstrapMember>,
    #[prost(uint32, tag = "2")]
    pub shards: u32,
    #[prost(uint32, tag = "3")]
    pub copies: u32,
}

#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct BootstrapMember {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(string, tag = "2")]
    pub site: String,
    #[prost(uint64, tag = "3")]
    pub disk: ReplicaId,
}

#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Raft {
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    #[prost(message, required, tag = "2")]
    pub message: Message,
    #[prost(uint64, tag = "3")]
    pub generation: u64,
}

/// A command for a shard's leader.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct CommandRequest {
    #[prost(uint64, tag = "1")]
    pub id: u64,
    #[prost(uint32, tag = "2")]
    pub shard: u32,
    #[prost(message, required, tag = "3")]
    pub command: Command,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum ResponseCode {
    Unspecified = 0,
    Granted = 1,
    Completed = 2,
    InProgress = 3,
    Indeterminate = 4,
    KeyMismatch = 5,
    Withdrawn = 6,
    CapacityExceeded = 7,
    Recorded = 8,
    NotHeld = 9,
    /// Ask the leader, or ask again later.
    Redirect = 10,
    /// The result says it in words.
    Conflict = 11,
    Rejected = 12,
}

#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct CommandResponse {
    #[prost(uint64, tag = "1")]
    pub id: u64,
    #[prost(uint32, tag = "2")]
    pub shard: u32,
    #[prost(enumeration = "ResponseCode", tag = "3")]
    pub code: i32,
    #[prost(bytes = "bytes", tag = "4")]
    pub result: Bytes,
    /// Who leads, by disk, if that is known.
    #[prost(uint64, tag = "5")]
    pub leader: ReplicaId,
}

impl CommandResponse {
    pub fn of(id: u64, shard: u16, told: &ClaimOutcome) -> Self {
        let (word, result) = match told {
            ClaimOutcome::Granted => (ResponseCode::Granted, Bytes::new()),
            ClaimOutcome::Completed(result) => (ResponseCode::Completed, result.clone()),
            ClaimOutcome::InProgress => (ResponseCode::InProgress, Bytes::new()),
            ClaimOutcome::Indeterminate => (ResponseCode::Indeterminate, Bytes::new()),
            ClaimOutcome::KeyMismatch => (ResponseCode::KeyMismatch, Bytes::new()),
            ClaimOutcome::Withdrawn => (ResponseCode::Withdrawn, Bytes::new()),
            ClaimOutcome::CapacityExceeded => (ResponseCode::CapacityExceeded, Bytes::new()),
            ClaimOutcome::Recorded => (ResponseCode::Recorded, Bytes::new()),
            ClaimOutcome::NotHeld => (ResponseCode::NotHeld, Bytes::new()),
            ClaimOutcome::Conflict(why) => (ResponseCode::Conflict, why.clone()),
            ClaimOutcome::Rejected(why) => (ResponseCode::Rejected, why.clone()),
        };
        Self {
            id,
            shard: shard.into(),
            code: word.into(),
            result,
            leader: 0,
        }
    }

    pub fn redirect(id: u64, shard: u16, leader: Option<ReplicaId>) -> Self {
        let word = ResponseCode::Redirect.into();
        Self {
            id,
            shard: shard.into(),
            code: word,
            result: Bytes::new(),
            leader: leader.unwrap_or(0),
        }
    }

    /// None where another is to be asked.
    pub fn outcome(&self) -> Option<ClaimOutcome> {
        Some(match self.code() {
            ResponseCode::Granted => ClaimOutcome::Granted,
            ResponseCode::Completed => ClaimOutcome::Completed(self.result.clone()),
            ResponseCode::InProgress => ClaimOutcome::InProgress,
            ResponseCode::Indeterminate => ClaimOutcome::Indeterminate,
            ResponseCode::KeyMismatch => ClaimOutcome::KeyMismatch,
            ResponseCode::Withdrawn => ClaimOutcome::Withdrawn,
            ResponseCode::CapacityExceeded => ClaimOutcome::CapacityExceeded,
            ResponseCode::Recorded => ClaimOutcome::Recorded,
            ResponseCode::NotHeld => ClaimOutcome::NotHeld,
            ResponseCode::Conflict => ClaimOutcome::Conflict(self.result.clone()),
            ResponseCode::Rejected => ClaimOutcome::Rejected(self.result.clone()),
            ResponseCode::Redirect | ResponseCode::Unspecified => return None,
        })
    }
}

/// What a member keeps of the others, so that it knows an old copy of a disk after its own restart too.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct PeerIncarnations {
    #[prost(message, repeated, tag = "1")]
    pub seen: Vec<PeerIncarnation>,
}

#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct PeerIncarnation {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(uint64, tag = "2")]
    pub disk: ReplicaId,
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    #[prost(uint64, tag = "4")]
    pub nonce: u64,
    #[prost(message, repeated, tag = "5")]
    pub shard_progress: Vec<ShardProgress>,
    /// Disks that it had before.
    #[prost(uint64, repeated, tag = "6")]
    pub replaced_disks: Vec<ReplicaId>,
}

/// A disk is behind what it confirmed earlier: it is an old copy.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct StaleDiskNotice {
    #[prost(uint64, tag = "1")]
    pub disk: ReplicaId,
    #[prost(string, tag = "2")]
    pub why: String,
}

#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum FrameBody {
    #[prost(message, tag = "1")]
    Hello(Hello),
    #[prost(message, tag = "2")]
    Bootstrap(BootstrapConfig),
    #[prost(message, tag = "3")]
    Raft(Raft),
    #[prost(message, tag = "4")]
    Request(CommandRequest),
    #[prost(message, tag = "5")]
    Response(CommandResponse),
    #[prost(message, tag = "6")]
    StaleDisk(StaleDiskNotice),
    #[prost(message, tag = "7")]
    Gossip(GossipReport),
    /// Of a process that is attached and no member, as `rainstand-config-distribution` has it; and what it is told.
    #[prost(bytes = "bytes", tag = "8")]
    FromSubscriber(Bytes),
    #[prost(bytes = "bytes", tag = "9")]
    ToSubscriber(Bytes),
}

#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Frame {
    #[prost(oneof = "FrameBody", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9")]
    pub body: Option<FrameBody>,
}

impl Frame {
    pub fn of(what: FrameBody) -> Self {
        Self { body: Some(what) }
    }
}
