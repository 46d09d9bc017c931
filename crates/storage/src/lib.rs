//! A crash-safe log on disk.
//!
//! | module | contents |
//! | --- | --- |
//! | [`disk`] | the file operations that a store needs, and their implementation on a folder |
//! | [`faulty_disk`] | an in-memory disk for tests that crashes, fills up and fails on demand |
//! | [`record`] | the encoding of records, with checksums |
//! | [`store`] | the store: segments, snapshots, identity |
//! | [`recovery`] | reading the contents of a store's files |
//! | [`writer`] | a thread that writes and flushes for a program that must not block |
//!
//! Guarantees (`docs/design/copies.md` weighs the alternatives):
//!
//! - After a crash, all confirmed writes are present, complete and in order, and a prefix of the unconfirmed ones.
//! - A write that a crash cut short, at the end of the newest segment, is removed. Anything else that cannot be read is
//!   damage: it is reported with file and offset, and the store is not opened until it is repaired or quarantined.
//! - After a failed write or flush, nothing more is written or confirmed: the contents of the disk are unknown until
//!   they are read again.

mod atomic_file;
pub mod disk;
mod error;
pub mod faulty_disk;
mod identity;
pub mod record;
pub mod recovery;
mod repair;
mod segment;
mod snapshot_file;
pub mod store;
pub mod writer;

pub use disk::{Disk, FolderDisk};
pub use error::{Damage, OpenError};
pub use identity::{Identity, IdentitySeed, FORMAT};
pub use record::{LogSuffix, Record};
pub use recovery::{recover, Recovered, RecoveredShard, StoredEntry, StoredSnapshot};
pub use repair::repair;
pub use segment::TruncatedTail;
pub use store::{Store, StoreLimits};
