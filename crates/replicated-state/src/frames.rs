//! What members send each other: protobuf, one message a frame.

use crate::keys::{Command, Told};
use crate::soft::Report;
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
    pub boot: u64,
    #[prost(uint64, tag = "5")]
    pub nonce: u64,
    /// Its disk holds no log of any shard.
    #[prost(bool, tag = "6")]
    pub fresh: bool,
    #[prost(uint32, tag = "7")]
    pub shards: u32,
    /// How far each of its shards is.
    #[prost(message, repeated, tag = "8")]
    pub marks: Vec<Mark>,
    /// Goes up with each recovery after the loss of a majority.
    #[prost(uint64, tag = "9")]
    pub generation: u64,
}

/// How far a copy was known to be: what it confirmed and was committed.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Mark {
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    #[prost(uint64, tag = "3")]
    pub index: u64,
}

/// The disks with which a group begins.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Form {
    #[prost(message, repeated, tag = "1")]
    pub members: Vec<Formed>,
    #[prost(uint32, tag = "2")]
    pub shards: u32,
    #[prost(uint32, tag = "3")]
    pub copies: u32,
}

#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Formed {
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
pub struct Ask {
    #[prost(uint64, tag = "1")]
    pub id: u64,
    #[prost(uint32, tag = "2")]
    pub shard: u32,
    #[prost(message, required, tag = "3")]
    pub command: Command,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Word {
    Nothing = 0,
    Granted = 1,
    Known = 2,
    Running = 3,
    Uncertain = 4,
    Other = 5,
    Withdrawn = 6,
    Full = 7,
    Noted = 8,
    Gone = 9,
    /// Ask the leader, or ask again later.
    Elsewhere = 10,
    /// The result says it in words.
    Conflict = 11,
    Refused = 12,
}

#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Answer {
    #[prost(uint64, tag = "1")]
    pub id: u64,
    #[prost(uint32, tag = "2")]
    pub shard: u32,
    #[prost(enumeration = "Word", tag = "3")]
    pub word: i32,
    #[prost(bytes = "bytes", tag = "4")]
    pub result: Bytes,
    /// Who leads, by disk, if that is known.
    #[prost(uint64, tag = "5")]
    pub leader: ReplicaId,
}

impl Answer {
    pub fn of(id: u64, shard: u16, told: &Told) -> Self {
        let (word, result) = match told {
            Told::Granted => (Word::Granted, Bytes::new()),
            Told::Known(result) => (Word::Known, result.clone()),
            Told::Running => (Word::Running, Bytes::new()),
            Told::Uncertain => (Word::Uncertain, Bytes::new()),
            Told::Other => (Word::Other, Bytes::new()),
            Told::Withdrawn => (Word::Withdrawn, Bytes::new()),
            Told::Full => (Word::Full, Bytes::new()),
            Told::Noted => (Word::Noted, Bytes::new()),
            Told::Gone => (Word::Gone, Bytes::new()),
            Told::Conflict(why) => (Word::Conflict, why.clone()),
            Told::UpdateError(why) => (Word::Refused, why.clone()),
        };
        Self {
            id,
            shard: shard.into(),
            word: word.into(),
            result,
            leader: 0,
        }
    }

    pub fn elsewhere(id: u64, shard: u16, leader: Option<ReplicaId>) -> Self {
        let word = Word::Elsewhere.into();
        Self {
            id,
            shard: shard.into(),
            word,
            result: Bytes::new(),
            leader: leader.unwrap_or(0),
        }
    }

    /// None where another is to be asked.
    pub fn told(&self) -> Option<Told> {
        Some(match self.word() {
            Word::Granted => Told::Granted,
            Word::Known => Told::Known(self.result.clone()),
            Word::Running => Told::Running,
            Word::Uncertain => Told::Uncertain,
            Word::Other => Told::Other,
            Word::Withdrawn => Told::Withdrawn,
            Word::Full => Told::Full,
            Word::Noted => Told::Noted,
            Word::Gone => Told::Gone,
            Word::Conflict => Told::Conflict(self.result.clone()),
            Word::Refused => Told::UpdateError(self.result.clone()),
            Word::Elsewhere | Word::Nothing => return None,
        })
    }
}

/// What a member keeps of the others, so that it knows an old copy of a disk after its own restart too.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Witness {
    #[prost(message, repeated, tag = "1")]
    pub seen: Vec<Witnessed>,
}

#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Witnessed {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(uint64, tag = "2")]
    pub disk: ReplicaId,
    #[prost(uint64, tag = "3")]
    pub boot: u64,
    #[prost(uint64, tag = "4")]
    pub nonce: u64,
    #[prost(message, repeated, tag = "5")]
    pub marks: Vec<Mark>,
    /// Disks that it had before.
    #[prost(uint64, repeated, tag = "6")]
    pub gone: Vec<ReplicaId>,
}

/// A disk is behind what it confirmed earlier: it is an old copy.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Behind {
    #[prost(uint64, tag = "1")]
    pub disk: ReplicaId,
    #[prost(string, tag = "2")]
    pub why: String,
}

#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum What {
    #[prost(message, tag = "1")]
    Hello(Hello),
    #[prost(message, tag = "2")]
    Form(Form),
    #[prost(message, tag = "3")]
    Raft(Raft),
    #[prost(message, tag = "4")]
    Ask(Ask),
    #[prost(message, tag = "5")]
    Answer(Answer),
    #[prost(message, tag = "6")]
    Behind(Behind),
    #[prost(message, tag = "7")]
    Soft(Report),
    /// Of a process that is attached and no member, as `rainstand-config-distribution` has it; and what it is told.
    #[prost(bytes = "bytes", tag = "8")]
    Up(Bytes),
    #[prost(bytes = "bytes", tag = "9")]
    Down(Bytes),
}

#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Frame {
    #[prost(oneof = "What", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9")]
    pub what: Option<What>,
}

impl Frame {
    pub fn of(what: What) -> Self {
        Self { what: Some(what) }
    }
}
