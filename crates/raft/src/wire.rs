//! Entries, messages and memberships as they are sent and stored.
//!
//! All are protobuf, so that later versions may add fields; field numbers and types never change.

use bytes::Bytes;
use twox_hash::XxHash3_64;

/// ID of a replica's disk: drawn when the disk is first used, never 0. A member that restarts with another disk is
/// another replica.
pub type ReplicaId = u64;

/// The kind of an entry's data.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum EntryKind {
    /// No data: a new leader's first entry; committing it commits all entries before it.
    NoOp = 0,
    /// A command of the state machine.
    Data = 1,
    /// An encoded [`Membership`].
    Config = 2,
}

/// One entry of the log.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Entry {
    /// Position in the log; the first entry has 1.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Term of the leader that created it.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Log time in nanoseconds: monotonic, and stopped while there is no leader.
    #[prost(uint64, tag = "3")]
    pub stamp: u64,
    /// An [`EntryKind`].
    #[prost(enumeration = "EntryKind", tag = "4")]
    pub kind: i32,
    /// Contents, by kind.
    #[prost(bytes = "bytes", tag = "5")]
    pub data: Bytes,
}

impl Entry {
    /// The running checksum up to this entry, given the one up to the entry before it.
    pub fn checksum(&self, previous: u64) -> u64 {
        let mut head = [0; 32];
        head[..8].copy_from_slice(&previous.to_le_bytes());
        head[8..16].copy_from_slice(&self.index.to_le_bytes());
        head[16..24].copy_from_slice(&self.term.to_le_bytes());
        head[24..].copy_from_slice(&(self.stamp ^ ((self.kind as u64) << 56)).to_le_bytes());
        XxHash3_64::oneshot_with_seed(XxHash3_64::oneshot(&head), &self.data)
    }
}

/// A member of the group.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Message)]
pub struct Member {
    /// ID of its disk.
    #[prost(uint64, tag = "1")]
    pub id: ReplicaId,
    /// Name of the node that it runs on.
    #[prost(string, tag = "2")]
    pub name: String,
    /// Whether it is a voter; otherwise it is a learner.
    #[prost(bool, tag = "3")]
    pub is_voter: bool,
}

/// The members of the group.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Membership {
    /// In order of ID.
    #[prost(message, repeated, tag = "1")]
    pub members: Vec<Member>,
}

impl Membership {
    /// A membership in which all members are voters, from their IDs and names.
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

    /// The IDs of the voters.
    pub fn voters(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.members
            .iter()
            .filter(|member| member.is_voter)
            .map(|member| member.id)
    }

    /// Whether `id` is a voter.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.voters().any(|voter| voter == id)
    }

    /// The member with this ID, voter or learner.
    pub fn member(&self, id: ReplicaId) -> Option<&Member> {
        self.members.iter().find(|member| member.id == id)
    }

    /// Number of voters in the smallest majority.
    pub fn majority(&self) -> usize {
        self.voters().count() / 2 + 1
    }
}

/// State that a replica must write to its disk before it responds.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct HardState {
    /// The newest term that it has seen.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// The replica that it voted for in that term; 0: none.
    #[prost(uint64, tag = "2")]
    pub vote: ReplicaId,
}

/// The position of a snapshot in the log, which is the base of the entries after it.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct SnapshotMetadata {
    /// Index of the last entry that it replaces.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Term of that entry.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Log time of that entry, in nanoseconds.
    #[prost(uint64, tag = "3")]
    pub stamp: u64,
    /// Running checksum up to that entry.
    #[prost(uint64, tag = "4")]
    pub checksum: u64,
    /// Membership as of that entry.
    #[prost(message, required, tag = "5")]
    pub config: Membership,
}

/// A snapshot as it is stored.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Snapshot {
    /// Its position in the log.
    #[prost(message, required, tag = "1")]
    pub metadata: SnapshotMetadata,
    /// The encoded state machine.
    #[prost(bytes = "bytes", tag = "2")]
    pub data: Bytes,
}

/// Requests a vote, or a pre-vote.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct VoteRequest {
    /// Whether this is a pre-vote: the voter reports if it would grant the vote, and no term or vote changes.
    #[prost(bool, tag = "1")]
    pub pre_vote: bool,
    /// Index of the candidate's last entry.
    #[prost(uint64, tag = "2")]
    pub last_index: u64,
    /// Term of the candidate's last entry.
    #[prost(uint64, tag = "3")]
    pub last_term: u64,
    /// Whether the leader is transferring its leadership: the vote may be granted while the leader is in contact.
    #[prost(bool, tag = "4")]
    pub leadership_transfer: bool,
}

/// Responds to a [`VoteRequest`].
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct VoteResponse {
    /// As in the request.
    #[prost(bool, tag = "1")]
    pub pre_vote: bool,
    /// Whether the candidate got the vote.
    #[prost(bool, tag = "2")]
    pub granted: bool,
}

/// Entries from the leader; a heartbeat if there are none.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct AppendRequest {
    /// Index of the entry before the first one sent.
    #[prost(uint64, tag = "1")]
    pub prev_index: u64,
    /// Term of that entry.
    #[prost(uint64, tag = "2")]
    pub prev_term: u64,
    /// Running checksum up to that entry.
    #[prost(uint64, tag = "3")]
    pub prev_checksum: u64,
    /// The leader's commit index.
    #[prost(uint64, tag = "4")]
    pub commit: u64,
    /// The leader's newest read round; the response confirms it.
    #[prost(uint64, tag = "5")]
    pub read_round: u64,
    /// Consecutive entries.
    #[prost(message, repeated, tag = "6")]
    pub entries: Vec<Entry>,
}

/// Responds to an [`AppendRequest`], and to a [`SnapshotChunk`] that completed a snapshot or was not needed.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct AppendResponse {
    /// Whether the logs match up to `index`.
    #[prost(bool, tag = "1")]
    pub success: bool,
    /// On success, the index up to which the logs match; otherwise the index that the leader should probe next.
    #[prost(uint64, tag = "2")]
    pub index: u64,
    /// As in the request.
    #[prost(uint64, tag = "3")]
    pub read_round: u64,
    /// The follower's running checksum up to `index`, if the logs diverge there; 0 if they do not.
    #[prost(uint64, tag = "4")]
    pub divergent_checksum: u64,
}

impl AppendResponse {
    /// The logs match up to `index`.
    pub(crate) fn success(index: u64, read_round: u64) -> Self {
        Self {
            success: true,
            index,
            read_round,
            divergent_checksum: 0,
        }
    }

    /// The logs do not match; the leader should probe `index` next.
    pub(crate) fn mismatch(index: u64, read_round: u64) -> Self {
        Self {
            success: false,
            index,
            read_round,
            divergent_checksum: 0,
        }
    }

    /// The logs should match up to `index` but do not: the follower's running checksum is `checksum`.
    pub(crate) fn divergence(index: u64, checksum: u64, read_round: u64) -> Self {
        Self {
            success: false,
            index,
            read_round,
            divergent_checksum: checksum,
        }
    }
}

/// A part of a snapshot.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct SnapshotChunk {
    /// The snapshot's position in the log.
    #[prost(message, required, tag = "1")]
    pub metadata: SnapshotMetadata,
    /// Size of the complete snapshot, in bytes.
    #[prost(uint64, tag = "2")]
    pub total_bytes: u64,
    /// Offset of the first byte of `data` in the snapshot.
    #[prost(uint64, tag = "3")]
    pub offset: u64,
    /// Bytes of the snapshot.
    #[prost(bytes = "bytes", tag = "4")]
    pub data: Bytes,
    /// The leader's newest read round; the response confirms it.
    #[prost(uint64, tag = "5")]
    pub read_round: u64,
}

/// Responds to a [`SnapshotChunk`] that did not complete its snapshot.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct ChunkAck {
    /// Index of the snapshot.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Number of bytes that the follower has received, which is the offset of the next chunk.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// As in the chunk.
    #[prost(uint64, tag = "3")]
    pub read_round: u64,
}

/// Notifies the receiver that its log diverged from that of the majority.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct QuarantineNotice {
    /// Index of the entry at which the running checksums differ.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// The majority's running checksum up to it.
    #[prost(uint64, tag = "2")]
    pub majority_checksum: u64,
}

/// The payload of a message.
#[derive(Clone, PartialEq, Eq, Hash, prost::Oneof)]
pub enum Body {
    /// From a candidate to a voter.
    #[prost(message, tag = "4")]
    VoteRequest(VoteRequest),
    /// From a voter to a candidate.
    #[prost(message, tag = "5")]
    VoteResponse(VoteResponse),
    /// From a leader to a member.
    #[prost(message, tag = "6")]
    AppendRequest(AppendRequest),
    /// From a member to its leader.
    #[prost(message, tag = "7")]
    AppendResponse(AppendResponse),
    /// From a leader to a member whose next entry was compacted.
    #[prost(message, tag = "8")]
    SnapshotChunk(SnapshotChunk),
    /// From a member to its leader.
    #[prost(message, tag = "9")]
    ChunkAck(ChunkAck),
    /// From a leader to the voter that must campaign without waiting for its election timeout. The value is unused.
    #[prost(bool, tag = "10")]
    TimeoutNow(bool),
    /// From a leader to a member whose log diverged.
    #[prost(message, tag = "11")]
    QuarantineNotice(QuarantineNotice),
}

/// A message between two replicas.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Message {
    /// The receiver.
    #[prost(uint64, tag = "1")]
    pub to: ReplicaId,
    /// The sender.
    #[prost(uint64, tag = "2")]
    pub from: ReplicaId,
    /// The sender's term; for a pre-vote request or a granted pre-vote, the prospective term.
    #[prost(uint64, tag = "3")]
    pub term: u64,
    /// `None` for a body that this version does not know; such messages are ignored.
    #[prost(oneof = "Body", tags = "4, 5, 6, 7, 8, 9, 10, 11")]
    pub body: Option<Body>,
}
