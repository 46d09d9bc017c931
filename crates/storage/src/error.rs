//! Errors of opening, recovering and repairing a store.

use std::io;

/// A position in a file whose contents are unreadable or contradict other files.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file} at byte {offset}: {reason}")]
pub struct Damage {
    /// Name of the file in the store's folder.
    pub file: String,
    /// Offset of the first affected byte.
    pub offset: u64,
    /// Description of the damage.
    pub reason: String,
}

impl Damage {
    pub(crate) fn new(file: &str, offset: usize, reason: impl Into<String>) -> Self {
        Self {
            file: file.to_owned(),
            offset: offset as u64,
            reason: reason.into(),
        }
    }
}

/// Why a store cannot be opened, recovered or repaired.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// A disk operation failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The files are damaged.
    #[error(transparent)]
    Damaged(#[from] Damage),
}
