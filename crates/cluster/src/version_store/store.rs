//! Writes versions and updates to a disk.

use super::format::LoggedUpdate;
use super::{LOG_FILE, SNAPSHOT_FILE};
use rainstand_config_distribution::snapshot::{self, DecodedSnapshot};
use rainstand_config_distribution::UpdateError;
use rainstand_storage::Disk;
use std::io;

/// A snapshot that is being written. After a crash it is incomplete.
const TEMPORARY_FILE: &str = "version.packed.new";
/// From this size of the log, the next update is preceded by a checkpoint: some thousand changes.
pub const MAX_LOG_BYTES: usize = 256 << 10;

/// Why a version is not stored. What is on disk remains readable; the store must be opened again before the next write.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// A disk operation failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The version in force cannot be encoded.
    #[error(transparent)]
    Encode(#[from] UpdateError),
    /// The end of the log is unknown, and no version in force was given to begin a new one.
    #[error("the end of the stored log is unknown")]
    NoCheckpoint,
    /// The thread that writes has ended.
    #[error("the thread that stores versions has ended")]
    WriterEnded,
}

/// The files of one subscriber. After an error it must be dropped and opened again.
pub struct VersionStore<D> {
    disk: D,
    /// Bytes in the log; `None` while its end is unknown.
    log_bytes: Option<usize>,
}

impl<D: Disk> VersionStore<D> {
    /// A store on a disk whose contents are unknown: the first write must be a [`Self::checkpoint`].
    pub fn new(disk: D) -> Self {
        Self {
            disk,
            log_bytes: None,
        }
    }

    /// Whether the next update must be preceded by a [`Self::checkpoint`].
    pub fn needs_checkpoint(&self) -> bool {
        self.log_bytes.is_none_or(|bytes| bytes >= MAX_LOG_BYTES)
    }

    /// Replaces all that is stored by the version in force. Version 0, which is empty, is not written.
    ///
    /// # Errors
    /// If the version cannot be encoded or written. The version that was stored before can still be recovered.
    pub fn checkpoint(&mut self, in_force: &DecodedSnapshot) -> Result<(), StoreError> {
        if in_force.version > 0 {
            let bytes = snapshot::encode(in_force.version, &in_force.state)?;
            self.remove_if_present(TEMPORARY_FILE)?;
            self.disk.append(TEMPORARY_FILE, &bytes)?;
            self.disk.flush(TEMPORARY_FILE)?;
            self.disk.rename(TEMPORARY_FILE, SNAPSHOT_FILE)?;
        }
        // A crash may bring the log back. Recovery then finds that it leads to no newer version.
        self.remove_if_present(LOG_FILE)?;
        self.log_bytes = Some(0);
        Ok(())
    }

    /// Appends an update. It is durable when this returns without an error; after an error it may or may not be.
    ///
    /// # Errors
    /// If it cannot be written, or the end of the log is unknown.
    pub fn append(&mut self, update: &LoggedUpdate) -> Result<(), StoreError> {
        let log_bytes = self.log_bytes.take().ok_or(StoreError::NoCheckpoint)?;
        let record = update.encode();
        self.disk.append(LOG_FILE, &record)?;
        self.disk.flush(LOG_FILE)?;
        self.log_bytes = Some(log_bytes + record.len());
        Ok(())
    }

    fn remove_if_present(&mut self, name: &str) -> io::Result<()> {
        match self.disk.remove(name) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
            _ => Ok(()),
        }
    }
}
