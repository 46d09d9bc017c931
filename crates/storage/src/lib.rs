//! A log on disk that survives crashes.
//!
//! | module | contents |
//! | --- | --- |
//! | [`disk`] | the operations that a store needs of a folder, and the folder itself |
//! | [`faulty_disk`] | a folder in memory that crashes, fills up and fails on demand, for tests |
//! | [`record`] | records as bytes, with their checksums |
//! | [`store`] | the store: segments, snapshots, identity |
//! | [`recovery`] | what a store's files hold |
//! | [`writer`] | the thread that writes and flushes for a program that may not block |
//!
//! Guarantees (`docs/design/copies.md` weighs the alternatives):
//!
//! - What a flush confirmed is there after a crash, complete and in order; of what it did not confirm, a prefix is.
//! - A write that a crash cut short, at the end of the newest segment, is removed. Anything else that cannot be read is
//!   damage: it is reported with file and offset, and the store is not opened until it is repaired or quarantined.
//! - After a write or flush that failed, nothing more is written and nothing is confirmed: what the disk holds is not
//!   known until it is read again.

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
