//! Finds the versions that a start can begin with.
//!
//! Each update in the log names the version that was in force when it was stored. An update that the subscriber rejected
//! stays in the log, and the one after it begins at the version before. So the last update of the log leads to the
//! newest version through those that begin at each other; the version that it begins at was in force before, and is the
//! one to use if the newest cannot be applied.

use super::format::{read_log, LoggedUpdate, UpdateContent};
use super::{LOG_FILE, SNAPSHOT_FILE};
use rainstand_config_distribution::snapshot::{self, DecodedSnapshot, MAX_COMPRESSED_BYTES};
use rainstand_config_distribution::UpdateError;
use std::collections::HashMap;
use std::fs::File;
use std::io::{self, Read};
use std::path::Path;

/// At most this much of the log is read; the store writes less.
const MAX_LOG_READ_BYTES: u64 = 16 << 20;

/// What is on disk.
#[derive(Clone, Debug, Default)]
pub struct StoredFiles {
    /// Contents of [`SNAPSHOT_FILE`]; `None` if there is no such file.
    pub snapshot: Option<Vec<u8>>,
    /// Contents of [`LOG_FILE`]; empty if there is no such file.
    pub log: Vec<u8>,
}

/// Versions that a start can begin with.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredVersions {
    /// The newest stored version. It may never have been applied: then it was not acknowledged either.
    pub newest: Option<DecodedSnapshot>,
    /// The version that was in force when the newest was stored, for the case that the newest cannot be applied.
    pub previous: Option<DecodedSnapshot>,
    /// What could not be read; all other contents are used.
    pub errors: Vec<RecoveryError>,
}

/// Why a file, or a part of it, is not used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecoveryError {
    /// The snapshot cannot be decoded.
    #[error("{SNAPSHOT_FILE}: {0}")]
    Snapshot(UpdateError),
    /// The log ends in bytes that are no complete record.
    #[error("{LOG_FILE}: no record at byte {0}; the updates before it are used")]
    LogTail(usize),
    /// An update of the log cannot be applied to the version that it begins at.
    #[error("{LOG_FILE}: the update to version {version}: {reason}")]
    Update {
        /// The version that it leads to.
        version: u64,
        /// Why it cannot be applied.
        reason: UpdateError,
    },
    /// A file cannot be read.
    #[error("{file}: {reason}")]
    Io {
        /// Name of the file.
        file: &'static str,
        /// The error.
        reason: String,
    },
}

/// Where a chain of updates begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Parent {
    /// The update is a complete version.
    None,
    /// At the version of [`SNAPSHOT_FILE`].
    Snapshot,
    /// At version 0, which is empty.
    Empty,
    /// After the update at this index.
    Update(usize),
}

/// Reads the files of a folder and recovers the versions in it. Another process may write there at the same time.
#[must_use]
pub fn recover_folder(folder: &Path) -> RecoveredVersions {
    let mut errors = Vec::new();
    // The log first: a checkpoint replaces the snapshot before it removes the log.
    let log = read_file(folder, LOG_FILE, MAX_LOG_READ_BYTES, &mut errors);
    let snapshot = read_file(
        folder,
        SNAPSHOT_FILE,
        MAX_COMPRESSED_BYTES as u64,
        &mut errors,
    );
    let mut recovered = recover(&StoredFiles {
        snapshot,
        log: log.unwrap_or_default(),
    });
    errors.append(&mut recovered.errors);
    recovered.errors = errors;
    recovered
}

fn read_file(
    folder: &Path,
    file: &'static str,
    max_bytes: u64,
    errors: &mut Vec<RecoveryError>,
) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    let read = File::open(folder.join(file))
        .and_then(|opened| opened.take(max_bytes).read_to_end(&mut bytes));
    match read {
        Ok(_) => Some(bytes),
        Err(error) if error.kind() == io::ErrorKind::NotFound => None,
        Err(error) => {
            let reason = error.to_string();
            errors.push(RecoveryError::Io { file, reason });
            None
        }
    }
}

/// Recovers the versions in the contents of the files.
#[must_use]
pub fn recover(files: &StoredFiles) -> RecoveredVersions {
    let mut recovered = RecoveredVersions::default();
    let base = match files.snapshot.as_deref().map(snapshot::decode) {
        Some(Ok(base)) => Some(base),
        Some(Err(reason)) => {
            recovered.errors.push(RecoveryError::Snapshot(reason));
            None
        }
        None => None,
    };
    let log = read_log(&files.log);
    let tail = log.unreadable_at.map(RecoveryError::LogTail);
    recovered.errors.extend(tail);
    let base_version = base.as_ref().map(|base| base.version);
    let parents = parents(&log.updates, base_version);
    let last = parents.iter().rposition(Option::is_some);
    let last = last.filter(|last| Some(log.updates[*last].to) >= base_version);
    let Some(last) = last else {
        recovered.newest = base;
        return recovered;
    };
    let chain = Chain {
        updates: &log.updates,
        parents: &parents,
        base: base.as_ref(),
    };
    recovered.previous = chain.version_before(last);
    match chain.version_after(last) {
        Ok(newest) => recovered.newest = Some(newest),
        Err(error) => {
            recovered.errors.push(error);
            recovered.newest = recovered.previous.take();
        }
    }
    recovered
}

/// What each update follows; `None` for one whose beginning is not stored.
fn parents(updates: &[LoggedUpdate], base_version: Option<u64>) -> Vec<Option<Parent>> {
    let mut newest_to: HashMap<u64, usize> = HashMap::new();
    let mut parents = Vec::with_capacity(updates.len());
    for (index, logged) in updates.iter().enumerate() {
        let from = logged.update.from;
        let parent = match (&logged.update.content, newest_to.get(&from)) {
            (None, _) => None,
            (Some(UpdateContent::Snapshot(_)), _) => Some(Parent::None),
            (_, Some(before)) => Some(Parent::Update(*before)),
            _ if base_version == Some(from) => Some(Parent::Snapshot),
            _ if from == 0 => Some(Parent::Empty),
            _ => None,
        };
        if parent.is_some() {
            newest_to.insert(logged.to, index);
        }
        parents.push(parent);
    }
    parents
}

/// Updates with what each of them follows.
struct Chain<'a> {
    updates: &'a [LoggedUpdate],
    parents: &'a [Option<Parent>],
    base: Option<&'a DecodedSnapshot>,
}

impl Chain<'_> {
    /// The version that an update leads to.
    fn version_after(&self, index: usize) -> Result<DecodedSnapshot, RecoveryError> {
        let mut pending = Vec::new();
        let mut next = index;
        let mut version = loop {
            pending.push(next);
            match self.parents[next] {
                Some(Parent::Update(before)) => next = before,
                Some(Parent::Snapshot) => break self.base.cloned().unwrap_or_default(),
                Some(Parent::Empty | Parent::None) | None => break DecodedSnapshot::default(),
            }
        };
        for index in pending.into_iter().rev() {
            version = self.apply(version, index)?;
        }
        Ok(version)
    }

    fn apply(
        &self,
        mut version: DecodedSnapshot,
        index: usize,
    ) -> Result<DecodedSnapshot, RecoveryError> {
        let LoggedUpdate { to, update } = &self.updates[index];
        let failed = |reason| RecoveryError::Update {
            version: *to,
            reason,
        };
        match &update.content {
            Some(UpdateContent::Snapshot(compressed)) => {
                snapshot::decode(compressed).map_err(failed)
            }
            Some(UpdateContent::Delta(delta)) => {
                version.state.apply(delta).map_err(failed)?;
                version.version = *to;
                Ok(version)
            }
            None => Ok(version),
        }
    }

    /// The version that was in force when an update was stored; `None` if it is not stored.
    fn version_before(&self, index: usize) -> Option<DecodedSnapshot> {
        let from = self.updates[index].update.from;
        let is_before =
            |before: &usize| self.parents[*before].is_some() && self.updates[*before].to == from;
        match (0..index).rev().find(is_before) {
            Some(before) => self.version_after(before).ok(),
            None => self.base.filter(|base| base.version == from).cloned(),
        }
    }
}
