//! Messages between a config server and a subscriber, encoded as protobuf so that later versions may add fields.
//!
//! Framing on the stream is the transport's job; a frame here is the bytes of one message. Field numbers and types are
//! part of the protocol and of files on disk, and must not change.

use crate::UpdateError;
use bytes::Bytes;
use prost::Message;

/// Kinds of resources in a configuration. The numbers are sent and hashed, and must not be reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ResourceKind {
    /// No kind, or one of a later release.
    Unknown = 0,
    /// [`rainstand_config::schema::TrafficType`].
    Type = 1,
    /// [`rainstand_config::schema::Tenant`].
    Tenant = 2,
    /// [`rainstand_config::schema::Pool`] without its members, which are resources of their own.
    Pool = 3,
    /// [`rainstand_config::schema::Member`] of a pool.
    Member = 4,
    /// [`rainstand_config::schema::Dependency`].
    Dependency = 5,
    /// [`rainstand_config::schema::Limits`].
    Limits = 6,
    /// [`rainstand_config::schema::Attempts`].
    Attempts = 7,
    /// [`rainstand_config::schema::Budget`].
    Budget = 8,
    /// [`rainstand_config::schema::Health`].
    Health = 9,
    /// [`rainstand_config::schema::RetryAfter`].
    RetryAfter = 10,
    /// [`rainstand_config::schema::Route`], the only kind with a rank.
    Route = 11,
    /// [`rainstand_config::schema::Recording`].
    Recording = 12,
    /// [`rainstand_config::schema::Log`].
    Log = 13,
    /// [`rainstand_config::schema::Experiment`].
    Experiment = 14,
    /// [`rainstand_config::schema::Group`].
    Group = 15,
    /// [`rainstand_config::schema::Rig`].
    Rig = 16,
    /// [`rainstand_config::schema::Control`].
    Control = 17,
}

/// One resource: its key, and the schema's own message as encoded bytes.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Resource {
    /// Number of a [`ResourceKind`].
    #[prost(enumeration = "ResourceKind", tag = "1")]
    pub kind: i32,
    /// Name, unique within its kind (and pool).
    #[prost(string, tag = "2")]
    pub name: String,
    /// Pool of a member; empty for all other kinds.
    #[prost(string, tag = "3")]
    pub pool: String,
    /// Position of a route; 0 for all other kinds. Routes are ordered by rank, and ranks are sparse, so that inserting
    /// one route changes no other.
    #[prost(uint64, tag = "4")]
    pub rank: u64,
    /// The schema message of the kind, encoded.
    #[prost(bytes = "bytes", tag = "5")]
    pub body: Bytes,
}

/// The key of a resource.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ResourceName {
    /// Number of a [`ResourceKind`].
    #[prost(enumeration = "ResourceKind", tag = "1")]
    pub kind: i32,
    /// Name, unique within its kind (and pool).
    #[prost(string, tag = "2")]
    pub name: String,
    /// Pool of a member; empty for all other kinds.
    #[prost(string, tag = "3")]
    pub pool: String,
}

/// The change from one version to a later one, which is not always the next.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Delta {
    /// Version that the delta applies to.
    #[prost(uint64, tag = "1")]
    pub from: u64,
    /// Version that it leads to.
    #[prost(uint64, tag = "2")]
    pub to: u64,
    /// Digest of the full state at version `to`.
    #[prost(fixed64, tag = "3")]
    pub digest: u64,
    /// Resources to insert or replace.
    #[prost(message, repeated, tag = "4")]
    pub upserts: Vec<Resource>,
    /// Resources to remove. One that does not exist is ignored: merged deltas can contain such removals.
    #[prost(message, repeated, tag = "5")]
    pub removals: Vec<ResourceName>,
}

/// A full version, before compression; see [`crate::snapshot`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Snapshot {
    /// Number of the version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Digest of the full state.
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
    /// All resources, in the order of their keys.
    #[prost(message, repeated, tag = "3")]
    pub resources: Vec<Resource>,
}

/// The first frame on a link: the subscriber's identity and the version that it holds.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Attach {
    /// Name of the subscriber, unique in the fleet.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Region of the subscriber.
    #[prost(string, tag = "2")]
    pub region: String,
    /// Zone of the subscriber.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// Version in force; 0 for none.
    #[prost(uint64, tag = "4")]
    pub version: u64,
    /// Digest of the version in force.
    #[prost(fixed64, tag = "5")]
    pub digest: u64,
    /// Newest schema version that it reads.
    #[prost(uint32, tag = "6")]
    pub schema_version: u32,
    /// An interrupted snapshot transfer, to be resumed at its offset.
    #[prost(message, optional, tag = "7")]
    pub partial: Option<SnapshotProgress>,
}

/// How many bytes of a compressed snapshot were received.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct SnapshotProgress {
    /// Version of the snapshot.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Digest of that version.
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
    /// Received bytes, from the beginning and without gaps.
    #[prost(uint64, tag = "3")]
    pub offset: u64,
}

/// The version is in force. Sent when one was applied, and in answer to each ping.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Ack {
    /// Version in force.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Its digest.
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
}

/// The version was rejected; `current_version` stays in force.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Nack {
    /// The rejected version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Why, for people.
    #[prost(string, tag = "2")]
    pub reason: String,
    /// Version in force.
    #[prost(uint64, tag = "3")]
    pub current_version: u64,
}

/// Why a subscriber cannot use what it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ResyncReason {
    /// No reason, or one of a later release.
    Unknown = 0,
    /// The delta begins at another version than the one in force.
    Gap = 1,
    /// The delta or snapshot leads to another digest than it names; only a snapshot can repair that.
    Diverged = 2,
}

/// What was sent could not be used; `version` is in force.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct ResyncRequest {
    /// Number of a [`ResyncReason`].
    #[prost(enumeration = "ResyncReason", tag = "1")]
    pub reason: i32,
    /// Version in force.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Its digest.
    #[prost(fixed64, tag = "3")]
    pub digest: u64,
}

/// The attachment was accepted; the fields are those of [`Ping`].
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Attached {
    /// Newest version on the server.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Milliseconds since the server last knew that no other has a newer version.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
}

/// The attachment was rejected.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct RetryAfter {
    /// Delay before the next attempt, in milliseconds. Rejected subscribers are spread over distinct times.
    #[prost(uint64, tag = "1")]
    pub after_ms: u64,
    /// Retry on another server: this one is full, or the subscriber's schema version is too old.
    #[prost(bool, tag = "2")]
    pub elsewhere: bool,
}

/// A part of a compressed snapshot.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct SnapshotChunk {
    /// Version of the snapshot.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Digest of that version.
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
    /// Position of `bytes` in the compressed snapshot.
    #[prost(uint64, tag = "3")]
    pub offset: u64,
    /// Length of the complete snapshot in bytes.
    #[prost(uint64, tag = "4")]
    pub length: u64,
    /// The bytes at `offset`.
    #[prost(bytes = "bytes", tag = "5")]
    pub bytes: Bytes,
}

/// Heartbeat of a server, which the subscriber answers with an [`Ack`].
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Ping {
    /// Newest version on the server.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Milliseconds since the server last knew that no other has a newer version.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
}

/// Frame of a subscriber.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ClientEnvelope {
    /// The message; `None` if it is of a later release.
    #[prost(oneof = "ClientMessage", tags = "1, 2, 3, 4, 5")]
    pub message: Option<ClientMessage>,
}

/// What a subscriber sends.
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum ClientMessage {
    /// See [`Attach`].
    #[prost(message, tag = "1")]
    Attach(Attach),
    /// See [`Ack`].
    #[prost(message, tag = "2")]
    Ack(Ack),
    /// See [`Nack`].
    #[prost(message, tag = "3")]
    Nack(Nack),
    /// See [`ResyncRequest`].
    #[prost(message, tag = "4")]
    ResyncRequest(ResyncRequest),
    /// See [`SnapshotProgress`].
    #[prost(message, tag = "5")]
    SnapshotProgress(SnapshotProgress),
}

/// Frame of a config server.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ServerEnvelope {
    /// The message; `None` if it is of a later release.
    #[prost(oneof = "ServerMessage", tags = "1, 2, 3, 4, 5")]
    pub message: Option<ServerMessage>,
}

/// What a config server sends.
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum ServerMessage {
    /// See [`Attached`].
    #[prost(message, tag = "1")]
    Attached(Attached),
    /// See [`RetryAfter`].
    #[prost(message, tag = "2")]
    RetryAfter(RetryAfter),
    /// See [`Delta`].
    #[prost(message, tag = "3")]
    Delta(Delta),
    /// See [`SnapshotChunk`].
    #[prost(message, tag = "4")]
    SnapshotChunk(SnapshotChunk),
    /// See [`Ping`].
    #[prost(message, tag = "5")]
    Ping(Ping),
}

impl ClientMessage {
    /// The message as the bytes of one frame.
    #[must_use]
    pub fn into_frame(self) -> Bytes {
        ClientEnvelope {
            message: Some(self),
        }
        .encode_to_vec()
        .into()
    }

    /// Decodes the bytes of one frame.
    ///
    /// # Errors
    /// [`UpdateError::MalformedFrame`] if they are not a message of this direction.
    pub fn from_frame(frame: Bytes) -> Result<Self, UpdateError> {
        ClientEnvelope::decode(frame)
            .ok()
            .and_then(|frame| frame.message)
            .ok_or(UpdateError::MalformedFrame)
    }
}

impl ServerMessage {
    /// The message as the bytes of one frame.
    #[must_use]
    pub fn into_frame(self) -> Bytes {
        ServerEnvelope {
            message: Some(self),
        }
        .encode_to_vec()
        .into()
    }

    /// Decodes the bytes of one frame.
    ///
    /// # Errors
    /// [`UpdateError::MalformedFrame`] if they are not a message of this direction.
    pub fn from_frame(frame: Bytes) -> Result<Self, UpdateError> {
        ServerEnvelope::decode(frame)
            .ok()
            .and_then(|frame| frame.message)
            .ok_or(UpdateError::MalformedFrame)
    }
}
