//! Why a member cannot start, change its group, or be recovered.

use rainstand_config_distribution::UpdateError;
use rainstand_storage::OpenError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// An error of this crate. The texts reach operators by the command line and by `status`.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    /// The group's configuration does not name this member.
    #[error("group {group}: no member {member}")]
    UnknownMember {
        /// The group's name.
        group: String,
        /// The member's name.
        member: String,
    },
    /// The member's address is no IP address and port.
    #[error("group: address {address}")]
    InvalidAddress {
        /// The address as configured.
        address: String,
    },
    /// The member's address cannot be listened on.
    #[error("group: listen {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the system.
        source: io::Error,
    },
    /// The group's name or its number of shards changed while the member runs.
    #[error("group {group}: name and shards change only at a start")]
    FixedSettings {
        /// The group's new name.
        group: String,
    },
    /// The member's folder cannot be opened.
    #[error("{}: {source}", folder.display())]
    Folder {
        /// The folder.
        folder: PathBuf,
        /// The error of the system.
        source: io::Error,
    },
    /// The store in the member's folder cannot be opened.
    #[error("{}: {source}", folder.display())]
    Store {
        /// The folder.
        folder: PathBuf,
        /// What is wrong with the store.
        source: OpenError,
    },
    /// A store cannot be opened or read.
    #[error(transparent)]
    Open(#[from] OpenError),
    /// Reading or writing the disk failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A record of the store holds no value of a group member.
    #[error(transparent)]
    Record(#[from] RecordError),
    /// The environment asks for fault injection, which the group's configuration does not allow.
    #[error("{variable} is set, and the group does not say `testing: yes`")]
    FaultInjectionForbidden {
        /// The environment variable.
        variable: &'static str,
    },
    /// The folder holds no store of a member.
    #[error("no disk of a member")]
    NoStore,
    /// The member's group was never bootstrapped.
    #[error("its group never began")]
    NeverBootstrapped,
    /// The snapshot of a shard cannot be restored.
    #[error("shard {shard}: {source}")]
    Snapshot {
        /// The shard.
        shard: u16,
        /// What is wrong with the snapshot.
        source: UpdateError,
    },
    /// The snapshot of a shard cannot be written.
    #[error("shard {shard}: {source}")]
    WriteSnapshot {
        /// The shard.
        shard: u16,
        /// The error of the system.
        source: io::Error,
    },
}

/// A stored record, valid by its checksum, that does not hold what a group member writes.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// A record of a shard cannot be decoded.
    #[error("shard {shard}: {kind}: {source}")]
    Shard {
        /// The shard.
        shard: u16,
        /// What the record should hold.
        kind: &'static str,
        /// What is wrong with its bytes.
        source: prost::DecodeError,
    },
    /// A log entry is stored under another index than its own.
    #[error("shard {shard}: entry {stored} says that it is {own}")]
    EntryIndex {
        /// The shard.
        shard: u16,
        /// The index under which it is stored.
        stored: u64,
        /// The index that it carries.
        own: u64,
    },
    /// The record of the group's first members cannot be decoded.
    #[error("first members: {0}")]
    Bootstrap(prost::DecodeError),
}
