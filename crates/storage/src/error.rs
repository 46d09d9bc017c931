//! Why a store cannot be opened.

use std::io;

/// A place in a file that cannot be read or contradicts other files.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file} at byte {offset}: {reason}")]
pub struct Damage {
    /// Name of the file in the store's folder.
    pub file: String,
    /// Position of the first byte that is affected.
    pub offset: u64,
    /// What is wrong there.
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
    /// The disk failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The files are damaged.
    #[error(transparent)]
    Damaged(#[from] Damage),
}
