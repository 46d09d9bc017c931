//! Errors of starting a member, changing its group, and recovering it.

use rainstand_config_distribution::UpdateError;
use rainstand_storage::OpenError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// An error of this crate. The texts are shown to operators by the command line and by `status`.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    /// The group's configuration does not name this member.
    #[error("group {group}: unknown member {member}")]
    UnknownMember {
        /// The group's name.
        group: String,
        /// The member's name.
        member: String,
    },
    /// The member's address is not an IP address with a port.
    #[error("group: invalid address {address}")]
    InvalidAddress {
        /// The address as configured.
        address: String,
    },
    /// Listening on the member's address failed.
    #[error("group: cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The group's name or number of shards was changed while the member runs.
    #[error("group {group}: name and shards can only be changed by a restart")]
    FixedSettings {
        /// The group's new name.
        group: String,
    },
    /// The member's folder cannot be opened.
    #[error("{}: {source}", folder.display())]
    Folder {
        /// The folder.
        folder: PathBuf,
        /// The error of the operating system.
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
    /// A record of the store does not hold a group member's data.
    #[error(transparent)]
    Record(#[from] RecordError),
    /// The environment enables fault injection, which the group's configuration does not allow.
    #[error("{variable} is set, but the group's configuration lacks `testing: yes`")]
    FaultInjectionForbidden {
        /// The environment variable.
        variable: &'static str,
    },
    /// The folder holds no store of a member.
    #[error("the folder holds no member's store")]
    NoStore,
    /// The member's group was never bootstrapped.
    #[error("the member's group was never bootstrapped")]
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
        /// The error of the operating system.
        source: io::Error,
    },
}

/// A stored record with a valid checksum that does not hold a group member's data.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// A record of a shard cannot be decoded.
    #[error("shard {shard}: {kind}: {source}")]
    Shard {
        /// The shard.
        shard: u16,
        /// The expected content of the record.
        kind: &'static str,
        /// The decoding error.
        source: prost::DecodeError,
    },
    /// The index under which a log entry is stored differs from the index in the entry.
    #[error("shard {shard}: the entry stored at index {stored} has the index {own}")]
    EntryIndex {
        /// The shard.
        shard: u16,
        /// The index under which it is stored.
        stored: u64,
        /// The index in the entry.
        own: u64,
    },
    /// The bootstrap record, which holds the group's first members, cannot be decoded.
    #[error("bootstrap record: {0}")]
    Bootstrap(prost::DecodeError),
}
