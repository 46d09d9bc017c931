//! What travels between a control machine and a process that is attached to it: protobuf, so that later
//! versions may add fields. Frames are cut and carried by the group's links; here they are only bytes.

use crate::UpdateError;
use bytes::Bytes;
use prost::Message;

/// Kinds of named things in a configuration. The numbers are sent and hashed: a number once used stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ResourceKind {
    Unknown = 0,
    Type = 1,
    Tenant = 2,
    /// Without its members, which are things of their own.
    Pool = 3,
    Member = 4,
    Dependency = 5,
    Limits = 6,
    Attempts = 7,
    Budget = 8,
    Health = 9,
    RetryAfter = 10,
    Route = 11,
    Recording = 12,
    Log = 13,
    Experiment = 14,
    Group = 15,
    Rig = 16,
    Control = 17,
}

/// One named thing as it is sent: the schema's own message, encoded.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Resource {
    #[prost(enumeration = "ResourceKind", tag = "1")]
    pub kind: i32,
    #[prost(string, tag = "2")]
    pub name: String,
    /// Of a member.
    #[prost(string, tag = "3")]
    pub pool: String,
    /// Of a route: routes stand in order of their ranks, which only grow dense, so that one put moves one
    /// route.
    #[prost(uint64, tag = "4")]
    pub rank: u64,
    #[prost(bytes = "bytes", tag = "5")]
    pub body: Bytes,
}

/// Which thing, without what it says.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ResourceName {
    #[prost(enumeration = "ResourceKind", tag = "1")]
    pub kind: i32,
    #[prost(string, tag = "2")]
    pub name: String,
    #[prost(string, tag = "3")]
    pub pool: String,
}

/// From one version to a later one, not always the next: what is put in, new or changed, and what is taken
/// out.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Delta {
    #[prost(uint64, tag = "1")]
    pub from: u64,
    #[prost(uint64, tag = "2")]
    pub to: u64,
    /// Over the whole of version `to`.
    #[prost(fixed64, tag = "3")]
    pub digest: u64,
    #[prost(message, repeated, tag = "4")]
    pub upserts: Vec<Resource>,
    /// A thing that is not there may be taken out: two deltas made into one can say so.
    #[prost(message, repeated, tag = "5")]
    pub removals: Vec<ResourceName>,
}

/// A whole version, as it is packed, sent in pieces and kept on disks.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Snapshot {
    #[prost(uint64, tag = "1")]
    pub version: u64,
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
    #[prost(message, repeated, tag = "3")]
    pub resources: Vec<Resource>,
}

/// The first frame on a link: who it is and what it holds.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Attach {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(string, tag = "2")]
    pub region: String,
    #[prost(string, tag = "3")]
    pub zone: String,
    /// Version in force; 0: none.
    #[prost(uint64, tag = "4")]
    pub version: u64,
    #[prost(fixed64, tag = "5")]
    pub digest: u64,
    /// The newest schema that it reads.
    #[prost(uint32, tag = "6")]
    pub schema_version: u32,
    /// A snapshot of which it has the first `offset` bytes.
    #[prost(message, optional, tag = "7")]
    pub partial: Option<SnapshotProgress>,
}

/// So much of a packed snapshot is in hand.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct SnapshotProgress {
    #[prost(uint64, tag = "1")]
    pub version: u64,
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
    #[prost(uint64, tag = "3")]
    pub offset: u64,
}

/// In force, at every answer to a ping too: ACK.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Ack {
    #[prost(uint64, tag = "1")]
    pub version: u64,
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
}

/// Not taken, and why; `holds` stays in force: NACK.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Nack {
    #[prost(uint64, tag = "1")]
    pub version: u64,
    #[prost(string, tag = "2")]
    pub reason: String,
    #[prost(uint64, tag = "3")]
    pub current_version: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ResyncReason {
    Unknown = 0,
    /// What came begins at another version than the one in force.
    Gap = 1,
    /// What came leads to another digest than it says: only a snapshot helps.
    Diverged = 2,
}

/// What came could not be used; this is in force.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct ResyncRequest {
    #[prost(enumeration = "ResyncReason", tag = "1")]
    pub reason: i32,
    #[prost(uint64, tag = "2")]
    pub version: u64,
    #[prost(fixed64, tag = "3")]
    pub digest: u64,
}

/// Attached; the rest as in [`Ping`].
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Attached {
    #[prost(uint64, tag = "1")]
    pub version: u64,
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
}

/// Not attached.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct RetryAfter {
    /// Its place among those that wait.
    #[prost(uint64, tag = "1")]
    pub after_ms: u64,
    /// Not here: this machine has all the subscribers that it takes, or does not know this schema.
    #[prost(bool, tag = "2")]
    pub elsewhere: bool,
}

/// A part of a packed snapshot.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct SnapshotChunk {
    #[prost(uint64, tag = "1")]
    pub version: u64,
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
    #[prost(uint64, tag = "3")]
    pub offset: u64,
    /// Of all pieces together.
    #[prost(uint64, tag = "4")]
    pub length: u64,
    #[prost(bytes = "bytes", tag = "5")]
    pub bytes: Bytes,
}

/// Sent now and then: `version` is the newest here, and so long ago this machine last knew
/// that no other has a newer one. It is answered by a [`Confirm`].
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Ping {
    #[prost(uint64, tag = "1")]
    pub version: u64,
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
}

#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ClientEnvelope {
    #[prost(oneof = "ClientMessage", tags = "1, 2, 3, 4, 5")]
    pub up: Option<ClientMessage>,
}

#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum ClientMessage {
    #[prost(message, tag = "1")]
    Attach(Attach),
    #[prost(message, tag = "2")]
    Ack(Ack),
    #[prost(message, tag = "3")]
    Nack(Nack),
    #[prost(message, tag = "4")]
    ResyncRequest(ResyncRequest),
    #[prost(message, tag = "5")]
    SnapshotProgress(SnapshotProgress),
}

#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ServerEnvelope {
    #[prost(oneof = "ServerMessage", tags = "1, 2, 3, 4, 5")]
    pub down: Option<ServerMessage>,
}

#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum ServerMessage {
    #[prost(message, tag = "1")]
    Attached(Attached),
    #[prost(message, tag = "2")]
    RetryAfter(RetryAfter),
    #[prost(message, tag = "3")]
    Delta(Delta),
    #[prost(message, tag = "4")]
    SnapshotChunk(SnapshotChunk),
    #[prost(message, tag = "5")]
    Ping(Ping),
}

impl ClientMessage {
    pub fn encoded(self) -> Bytes {
        ClientEnvelope { up: Some(self) }.encode_to_vec().into()
    }

    /// # Errors
    /// Bytes that are no such frame.
    pub fn decoded(frame: Bytes) -> Result<Self, UpdateError> {
        ClientEnvelope::decode(frame)
            .ok()
            .and_then(|frame| frame.up)
            .ok_or(UpdateError::MalformedFrame)
    }
}

impl ServerMessage {
    pub fn encoded(self) -> Bytes {
        ServerEnvelope { down: Some(self) }.encode_to_vec().into()
    }

    /// # Errors
    /// Bytes that are no such frame.
    pub fn decoded(frame: Bytes) -> Result<Self, UpdateError> {
        ServerEnvelope::decode(frame)
            .ok()
            .and_then(|frame| frame.down)
            .ok_or(UpdateError::MalformedFrame)
    }
}
