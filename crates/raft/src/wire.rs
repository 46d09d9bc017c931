//! Entries, messages and configurations, as they are sent and kept: protobuf, so that later versions may add fields.

use bytes::Bytes;
use twox_hash::XxHash3_64;

/// A disk: drawn when it was first used, never 0.
pub type ReplicaId = u64;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum EntryKind {
    /// A new leader's first entry: it says nothing, and what came before it commits with it.
    NoOp = 0,
    Data = 1,
    Config = 2,
}

#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Entry {
    #[prost(uint64, tag = "1")]
    pub index: u64,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Log time, in nanoseconds: it never goes back, and stands still while there is no leader.
    #[prost(uint64, tag = "3")]
    pub stamp: u64,
    #[prost(enumeration = "EntryKind", tag = "4")]
    pub kind: i32,
    #[prost(bytes = "bytes", tag = "5")]
    pub data: Bytes,
}

impl Entry {
    /// The running checksum with this entry behind the ones of `before`.
    pub fn checksum(&self, before: u64) -> u64 {
        let mut head = [0; 32];
        head[..8].copy_from_slice(&before.to_le_bytes());
        head[8..16].copy_from_slice(&self.index.to_le_bytes());
        head[16..24].copy_from_slice(&self.term.to_le_bytes());
        head[24..].copy_from_slice(&(self.stamp ^ (self.kind as u64) << 56).to_le_bytes());
        XxHash3_64::oneshot_with_seed(XxHash3_64::oneshot(&head), &self.data)
    }
}

#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Message)]
pub struct Member {
    #[prost(uint64, tag = "1")]
    pub id: ReplicaId,
    #[prost(string, tag = "2")]
    pub name: String,
    #[prost(bool, tag = "3")]
    pub is_voter: bool,
}

/// Members in order of their disks.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Membership {
    #[prost(message, repeated, tag = "1")]
    pub members: Vec<Member>,
}

impl Membership {
    pub fn from_voters(members: impl IntoIterator<Item = (ReplicaId, String)>) -> Self {
        let members = members.into_iter().map(|(id, name)| Member {
            id,
            name,
            is_voter: true,
        });
        let mut members: Vec<Member> = members.collect();
        members.sort();
        Self { members }
    }

    pub fn voters(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.members
            .iter()
            .filter(|member| member.is_voter)
            .map(|member| member.id)
    }

    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.voters().any(|voter| voter == id)
    }

    pub fn member(&self, id: ReplicaId) -> Option<&Member> {
        self.members.iter().find(|member| member.id == id)
    }

    /// How many of the voters decide.
    pub fn majority(&self) -> usize {
        self.voters().count() / 2 + 1
    }
}

/// What a replica must not forget.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct HardState {
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// 0: nobody's.
    #[prost(uint64, tag = "2")]
    pub vote: ReplicaId,
}

/// Where a log begins: what the snapshot before it stands for.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct SnapshotMetadata {
    #[prost(uint64, tag = "1")]
    pub index: u64,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    #[prost(uint64, tag = "3")]
    pub stamp: u64,
    /// Running checksum up to the index.
    #[prost(uint64, tag = "4")]
    pub checksum: u64,
    #[prost(message, required, tag = "5")]
    pub config: Membership,
}

/// A snapshot as it is kept.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Snapshot {
    #[prost(message, required, tag = "1")]
    pub metadata: SnapshotMetadata,
    #[prost(bytes = "bytes", tag = "2")]
    pub data: Bytes,
}

#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct VoteRequest {
    /// Only asks whether it would be elected: nobody's term or vote changes.
    #[prost(bool, tag = "1")]
    pub pre: bool,
    #[prost(uint64, tag = "2")]
    pub last_index: u64,
    #[prost(uint64, tag = "3")]
    pub last_term: u64,
    /// The leader itself wants it: it is granted though the leader is well.
    #[prost(bool, tag = "4")]
    pub wanted: bool,
}

#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct VoteResponse {
    #[prost(bool, tag = "1")]
    pub pre: bool,
    #[prost(bool, tag = "2")]
    pub granted: bool,
}

#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct AppendRequest {
    #[prost(uint64, tag = "1")]
    pub prev_index: u64,
    #[prost(uint64, tag = "2")]
    pub prev_term: u64,
    #[prost(uint64, tag = "3")]
    pub prev_sum: u64,
    #[prost(uint64, tag = "4")]
    pub commit: u64,
    /// Goes up with each read that waits; told back.
    #[prost(uint64, tag = "5")]
    pub round: u64,
    #[prost(message, repeated, tag = "6")]
    pub entries: Vec<Entry>,
}

#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct AppendResponse {
    #[prost(bool, tag = "1")]
    pub good: bool,
    /// Good: all up to here is as the leader has it. Else: where the leader should look next.
    #[prost(uint64, tag = "2")]
    pub index: u64,
    #[prost(uint64, tag = "3")]
    pub round: u64,
    /// The copies differ at the index: this is the running checksum here. 0: they do not.
    #[prost(uint64, tag = "4")]
    pub differs: u64,
}

#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct SnapshotChunk {
    #[prost(message, required, tag = "1")]
    pub base: SnapshotMetadata,
    #[prost(uint64, tag = "2")]
    pub total: u64,
    #[prost(uint64, tag = "3")]
    pub offset: u64,
    #[prost(bytes = "bytes", tag = "4")]
    pub data: Bytes,
    #[prost(uint64, tag = "5")]
    pub round: u64,
}

#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct ChunkAck {
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Bytes that are there: the next piece begins here, also after a cut.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    #[prost(uint64, tag = "3")]
    pub round: u64,
}

/// Two copies differ, and most have what the sender has.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct QuarantineNotice {
    #[prost(uint64, tag = "1")]
    pub index: u64,
    #[prost(uint64, tag = "2")]
    pub most: u64,
}

#[derive(Clone, PartialEq, Eq, Hash, prost::Oneof)]
pub enum Body {
    #[prost(message, tag = "4")]
    Vote(VoteRequest),
    #[prost(message, tag = "5")]
    Voted(VoteResponse),
    #[prost(message, tag = "6")]
    Append(AppendRequest),
    #[prost(message, tag = "7")]
    Appended(AppendResponse),
    #[prost(message, tag = "8")]
    Piece(SnapshotChunk),
    #[prost(message, tag = "9")]
    Took(ChunkAck),
    /// Stand for election at once.
    #[prost(bool, tag = "10")]
    Now(bool),
    #[prost(message, tag = "11")]
    Aside(QuarantineNotice),
}

#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Message {
    #[prost(uint64, tag = "1")]
    pub to: ReplicaId,
    #[prost(uint64, tag = "2")]
    pub from: ReplicaId,
    #[prost(uint64, tag = "3")]
    pub term: u64,
    #[prost(oneof = "Body", tags = "4, 5, 6, 7, 8, 9, 10, 11")]
    pub body: Option<Body>,
}
