//! A log on disk that survives crashes.
//!
//! | module | what it is |
//! | --- | --- |
//! | [`disk`] | the few things a store asks of a folder, and the folder itself |
//! | [`faulty`] | a folder in memory that crashes, lies and fills up as told |
//! | [`record`] | records as bytes, with their checksums; pure |
//! | [`store`] | segments, snapshots, identity, recovery |
//! | [`writer`] | the thread that writes and flushes for a program which may not wait |
//!
//! What is promised (`docs/design/copies.md` has the options weighed):
//!
//! - What a flush confirmed is there after a crash, whole and in order; of what it did not confirm, a beginning is.
//! - A write cut short at the end of the newest segment is taken off. Anything else that cannot be read is damage: it is
//!   named with file and offset, and nothing is opened until somebody mends it or sets the folder aside.
//! - After a flush or write that failed, nothing more is written and nothing is confirmed: what the disk holds is not
//!   known until it is read again.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "not yet brought to the workspace's lints, see docs/ROADMAP.md"
)]

pub mod disk;
pub mod faulty_disk;
pub mod record;
pub mod store;
pub mod writer;

pub use disk::{Disk, FolderDisk};
pub use record::Record;
pub use store::{Damage, Identity, OpenError, Recovered, Shard, Store, StoreLimits};
