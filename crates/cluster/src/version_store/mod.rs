//! Stores the versions of a subscriber, so that a restart begins with the last one that it acknowledged.
//!
//! | file | contents |
//! | --- | --- |
//! | `version.packed` | a complete version: a [compressed snapshot](rainstand_config_distribution::snapshot) |
//! | `version.log` | the updates since then, one [record](rainstand_storage::record) each |
//!
//! An update costs one appended record and one flush, whatever the size of the configuration. A checkpoint replaces
//! `version.packed` and removes the log; the first update after a start or a failed write is preceded by one, as the end
//! of the log is unknown then.
//!
//! | module | contents |
//! | --- | --- |
//! | [`format`](self::format) | the encoding of updates |
//! | [`recovery`] | the versions that a start can begin with |
//! | [`store`] | the writes |
//! | [`writer`] | the thread that writes, and its queue |

pub mod format;
pub mod recovery;
pub mod store;
pub mod writer;

pub use recovery::{recover_folder, RecoveredVersions, RecoveryError};
pub use store::{StoreError, VersionStore};
pub use writer::VersionWriter;

/// The file of the last complete version.
pub const SNAPSHOT_FILE: &str = "version.packed";
/// The file of the updates since that version.
pub const LOG_FILE: &str = "version.log";
