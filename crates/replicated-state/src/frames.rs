//! Frames that members send each other, and metadata records that share their messages: protobuf, one message a frame.

use crate::gossip::GossipReport;
use crate::idempotency::{ClaimOutcome, Command};
use bytes::Bytes;
use rainstand_raft::{Message, ReplicaId};

/// Introduces a member: the first frame on a connection, and sent again when something in it changes.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Hello {
    /// Name of the group.
    #[prost(string, tag = "1")]
    pub group: String,
    /// Name of the member.
    #[prost(string, tag = "2")]
    pub name: String,
    /// Identity of its disk.
    #[prost(uint64, tag = "3")]
    pub disk: ReplicaId,
    /// Number of starts of this disk.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// Random number that tells two starts under one number apart.
    #[prost(uint64, tag = "5")]
    pub nonce: u64,
    /// Whether its disk holds no log of any shard.
    #[prost(bool, tag = "6")]
    pub uninitialized: bool,
    /// Number of shards of the group, by its configuration.
    #[prost(uint32, tag = "7")]
    pub shards: u32,
    /// How far each of its replicas is.
    #[prost(message, repeated, tag = "8")]
    pub shard_progress: Vec<ShardProgress>,
    /// Generation of the group; it goes up with each recovery from the loss of a majority.
    #[prost(uint64, tag = "9")]
    pub generation: u64,
}

/// How far a replica is: in a [`Hello`], what it holds; in a [`PeerIncarnation`], what it confirmed and was committed.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct ShardProgress {
    /// The shard.
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    /// The term.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Index of the last entry.
    #[prost(uint64, tag = "3")]
    pub index: u64,
}

/// The members and disks that a group is formed with.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct BootstrapConfig {
    /// All members, by name.
    #[prost(message, repeated, tag = "1")]
    pub members: Vec<BootstrapMember>,
    /// Number of shards.
    #[prost(uint32, tag = "2")]
    pub shards: u32,
    /// Replicas of each shard.
    #[prost(uint32, tag = "3")]
    pub replicas_per_shard: u32,
}

/// A member that a group is formed with.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct BootstrapMember {
    /// Name of the member.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its site; empty if it has none.
    #[prost(string, tag = "2")]
    pub site: String,
    /// Identity of its disk.
    #[prost(uint64, tag = "3")]
    pub disk: ReplicaId,
}

/// A message between two replicas of a shard.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Raft {
    /// The shard.
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    /// The message.
    #[prost(message, required, tag = "2")]
    pub message: Message,
    /// Generation of the sender's group; messages of another generation are dropped.
    #[prost(uint64, tag = "3")]
    pub generation: u64,
}

/// A command for a shard's leader.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct CommandRequest {
    /// Number of the request at its sender.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The shard.
    #[prost(uint32, tag = "2")]
    pub shard: u32,
    /// The command.
    #[prost(message, required, tag = "3")]
    pub command: Command,
}

/// What a [`CommandResponse`] says: one code for each [`ClaimOutcome`], and `Redirect`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum ResponseCode {
    /// Not set, or a code of a later version; handled as `Redirect`.
    Unspecified = 0,
    /// [`ClaimOutcome::Granted`].
    Granted = 1,
    /// [`ClaimOutcome::Completed`]; the result is in `result`.
    Completed = 2,
    /// [`ClaimOutcome::InProgress`].
    InProgress = 3,
    /// [`ClaimOutcome::Indeterminate`].
    Indeterminate = 4,
    /// [`ClaimOutcome::KeyMismatch`].
    KeyMismatch = 5,
    /// [`ClaimOutcome::Withdrawn`].
    Withdrawn = 6,
    /// [`ClaimOutcome::CapacityExceeded`].
    CapacityExceeded = 7,
    /// [`ClaimOutcome::Recorded`].
    Recorded = 8,
    /// [`ClaimOutcome::NotHeld`].
    NotHeld = 9,
    /// No outcome: send the request to the leader, or again later.
    Redirect = 10,
    /// [`ClaimOutcome::Conflict`]; the text is in `result`.
    Conflict = 11,
    /// [`ClaimOutcome::Rejected`]; the text is in `result`.
    Rejected = 12,
}

/// The response to a [`CommandRequest`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct CommandResponse {
    /// Number of the request at its sender.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The shard.
    #[prost(uint32, tag = "2")]
    pub shard: u32,
    /// Outcome, or redirect.
    #[prost(enumeration = "ResponseCode", tag = "3")]
    pub code: i32,
    /// Result of a completed run, or text of a conflict or rejection.
    #[prost(bytes = "bytes", tag = "4")]
    pub result: Bytes,
    /// Disk of the leader, if that is known; otherwise 0.
    #[prost(uint64, tag = "5")]
    pub leader: ReplicaId,
}

impl CommandResponse {
    /// A response that carries an outcome.
    pub fn from_outcome(id: u64, shard: u16, outcome: &ClaimOutcome) -> Self {
        let (code, result) = match outcome {
            ClaimOutcome::Granted => (ResponseCode::Granted, Bytes::new()),
            ClaimOutcome::Completed(result) => (ResponseCode::Completed, result.clone()),
            ClaimOutcome::InProgress => (ResponseCode::InProgress, Bytes::new()),
            ClaimOutcome::Indeterminate => (ResponseCode::Indeterminate, Bytes::new()),
            ClaimOutcome::KeyMismatch => (ResponseCode::KeyMismatch, Bytes::new()),
            ClaimOutcome::Withdrawn => (ResponseCode::Withdrawn, Bytes::new()),
            ClaimOutcome::CapacityExceeded => (ResponseCode::CapacityExceeded, Bytes::new()),
            ClaimOutcome::Recorded => (ResponseCode::Recorded, Bytes::new()),
            ClaimOutcome::NotHeld => (ResponseCode::NotHeld, Bytes::new()),
            ClaimOutcome::Conflict(reason) => (ResponseCode::Conflict, reason.clone()),
            ClaimOutcome::Rejected(reason) => (ResponseCode::Rejected, reason.clone()),
        };
        Self {
            id,
            shard: shard.into(),
            code: code.into(),
            result,
            leader: 0,
        }
    }

    /// A response that sends the requester to the leader, or, if that is not known, lets it retry.
    pub fn redirect(id: u64, shard: u16, leader: Option<ReplicaId>) -> Self {
        Self {
            id,
            shard: shard.into(),
            code: ResponseCode::Redirect.into(),
            result: Bytes::new(),
            leader: leader.unwrap_or(0),
        }
    }

    /// The outcome that it carries; none for a redirect.
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

/// Asks a shard's leader to confirm a read: which index has to be applied to see everything that is committed now.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct ReadRequest {
    /// Number of the read at its sender.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The shard.
    #[prost(uint32, tag = "2")]
    pub shard: u32,
}

/// The response to a [`ReadRequest`].
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct ReadResponse {
    /// Number of the read at its sender.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The shard.
    #[prost(uint32, tag = "2")]
    pub shard: u32,
    /// Confirmed by a majority: a replica that has applied this index may serve the read. None: not confirmed here.
    #[prost(uint64, optional, tag = "3")]
    pub index: Option<u64>,
    /// Without an index: disk of the leader, if that is known; otherwise 0.
    #[prost(uint64, tag = "4")]
    pub leader: ReplicaId,
}

/// What a member records of the others, to recognize an old copy of a disk after its own restart too.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct PeerIncarnations {
    /// One record a member, by name.
    #[prost(message, repeated, tag = "1")]
    pub seen: Vec<PeerIncarnation>,
}

/// The newest known start of another member's disk.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct PeerIncarnation {
    /// Name of the member.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Identity of its disk.
    #[prost(uint64, tag = "2")]
    pub disk: ReplicaId,
    /// Number of starts of the disk.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Random number of the start.
    #[prost(uint64, tag = "4")]
    pub nonce: u64,
    /// How far its replicas were known to be durable.
    #[prost(message, repeated, tag = "5")]
    pub shard_progress: Vec<ShardProgress>,
    /// Disks that the member had before, oldest first.
    #[prost(uint64, repeated, tag = "6")]
    pub replaced_disks: Vec<ReplicaId>,
}

/// Notifies a member that its disk is an old copy: it is behind what it confirmed earlier.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct StaleDiskNotice {
    /// Identity of the disk.
    #[prost(uint64, tag = "1")]
    pub disk: ReplicaId,
    /// The reason, for operators.
    #[prost(string, tag = "2")]
    pub reason: String,
}

/// Contents of a frame.
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum FrameBody {
    /// Introduces a member.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// Announces what the group is formed with.
    #[prost(message, tag = "2")]
    Bootstrap(BootstrapConfig),
    /// A message between two replicas.
    #[prost(message, tag = "3")]
    Raft(Raft),
    /// A command for a leader.
    #[prost(message, tag = "4")]
    Request(CommandRequest),
    /// The response to a command.
    #[prost(message, tag = "5")]
    Response(CommandResponse),
    /// The receiver's disk is an old copy.
    #[prost(message, tag = "6")]
    StaleDisk(StaleDiskNotice),
    /// Charges and capacity of the sender.
    #[prost(message, tag = "7")]
    Gossip(GossipReport),
    /// From a subscriber of the configuration, which is no member: a message of `rainstand-config-distribution`.
    #[prost(bytes = "bytes", tag = "8")]
    FromSubscriber(Bytes),
    /// To a subscriber of the configuration.
    #[prost(bytes = "bytes", tag = "9")]
    ToSubscriber(Bytes),
    /// Asks a leader to confirm a read.
    #[prost(message, tag = "10")]
    ReadRequest(ReadRequest),
    /// The response to that.
    #[prost(message, tag = "11")]
    ReadResponse(ReadResponse),
}

/// One frame of a connection.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Frame {
    /// Its contents; none if a later version sent it.
    #[prost(oneof = "FrameBody", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11")]
    pub body: Option<FrameBody>,
}

impl Frame {
    /// A frame with these contents.
    pub fn from_body(body: FrameBody) -> Self {
        Self { body: Some(body) }
    }
}
