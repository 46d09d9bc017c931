//! Entries, messages and configurations, as they are sent and kept: protobuf, so that later versions may add fields.

use bytes::Bytes;
use twox_hash::XxHash3_64;

/// A disk: drawn when it was first used, never 0.
pub type Id = u64;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Kind {
    /// A new leader's first entry: it says nothing, and what came before it commits with it.
    Nothing = 0,
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
    #[prost(enumeration = "Kind", tag = "4")]
    pub kind: i32,
    #[prost(bytes = "bytes", tag = "5")]
    pub data: Bytes,
}

impl Entry {
    /// The running checksum with this entry behind the ones of `before`.
    pub fn sum(&self, before: u64) -> u64 {
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
    pub id: Id,
    #[prost(string, tag = "2")]
    pub name: String,
    #[prost(bool, tag = "3")]
    pub votes: bool,
}

/// Members in order of their disks.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Config {
    #[prost(message, repeated, tag = "1")]
    pub members: Vec<Member>,
}

impl Config {
    pub fn of(members: impl IntoIterator<Item = (Id, String)>) -> Self {
        let members = members.into_iter().map(|(id, name)| Member {
            id,
            name,
            votes: true,
        });
        let mut members: Vec<Member> = members.collect();
        members.sort();
        Self { members }
    }

    pub fn voters(&self) -> impl Iterator<Item = Id> + '_ {
        self.members
            .iter()
            .filter(|member| member.votes)
            .map(|member| member.id)
    }

    pub fn votes(&self, id: Id) -> bool {
        self.voters().any(|voter| voter == id)
    }

    pub fn member(&self, id: Id) -> Option<&Member> {
        self.members.iter().find(|member| member.id == id)
    }

    /// How many of the voters decide.
    pub fn majority(&self) -> usize {
        self.voters().count() / 2 + 1
    }
}

/// What a replica must not forget.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct Hard {
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// 0: nobody's.
    #[prost(uint64, tag = "2")]
    pub vote: Id,
}

/// Where a log begins: what the snapshot before it stands for.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Base {
    #[prost(uint64, tag = "1")]
    pub index: u64,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    #[prost(uint64, tag = "3")]
    pub stamp: u64,
    /// Running checksum up to the index.
    #[prost(uint64, tag = "4")]
    pub sum: u64,
    #[prost(message, required, tag = "5")]
    pub config: Config,
}

/// A snapshot as it is kept.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Snapshot {
    #[prost(message, required, tag = "1")]
    pub base: Base,
    #[prost(bytes = "bytes", tag = "2")]
    pub data: Bytes,
}

#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Vote {
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
pub struct Voted {
    #[prost(bool, tag = "1")]
    pub pre: bool,
    #[prost(bool, tag = "2")]
    pub granted: bool,
}

#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Append {
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
pub struct Appended {
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
pub struct Piece {
    #[prost(message, required, tag = "1")]
    pub base: Base,
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
pub struct Took {
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
pub struct Aside {
    #[prost(uint64, tag = "1")]
    pub index: u64,
    #[prost(uint64, tag = "2")]
    pub most: u64,
}

#[derive(Clone, PartialEq, Eq, Hash, prost::Oneof)]
pub enum Body {
    #[prost(message, tag = "4")]
    Vote(Vote),
    #[prost(message, tag = "5")]
    Voted(Voted),
    #[prost(message, tag = "6")]
    Append(Append),
    #[prost(message, tag = "7")]
    Appended(Appended),
    #[prost(message, tag = "8")]
    Piece(Piece),
    #[prost(message, tag = "9")]
    Took(Took),
    /// Stand for election at once.
    #[prost(bool, tag = "10")]
    Now(bool),
    #[prost(message, tag = "11")]
    Aside(Aside),
}

#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Message {
    #[prost(uint64, tag = "1")]
    pub to: Id,
    #[prost(uint64, tag = "2")]
    pub from: Id,
    #[prost(uint64, tag = "3")]
    pub term: u64,
    #[prost(oneof = "Body", tags = "4, 5, 6, 7, 8, 9, 10, 11")]
    pub body: Option<Body>,
}
