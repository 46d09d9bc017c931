//! The last compressed snapshots.

use bytes::Bytes;
use std::collections::VecDeque;

/// Snapshots that are retained: transfers of the older one can be completed.
const MAX_SNAPSHOTS: usize = 2;

/// A compressed snapshot. Clones share the bytes.
#[derive(Clone, Debug)]
pub(super) struct CompressedSnapshot {
    pub(super) version: u64,
    pub(super) digest: u64,
    pub(super) bytes: Bytes,
}

impl CompressedSnapshot {
    /// Whether this is the snapshot of `version` with this digest.
    pub(super) fn is(&self, version: u64, digest: u64) -> bool {
        (self.version, self.digest) == (version, digest)
    }
}

/// The last snapshots, oldest first.
#[derive(Debug, Default)]
pub(super) struct SnapshotCache {
    snapshots: VecDeque<CompressedSnapshot>,
}

impl SnapshotCache {
    pub(super) fn insert(&mut self, snapshot: CompressedSnapshot) {
        self.snapshots.push_back(snapshot);
        while self.snapshots.len() > MAX_SNAPSHOTS {
            self.snapshots.pop_front();
        }
    }

    pub(super) fn iter(&self) -> impl DoubleEndedIterator<Item = &CompressedSnapshot> {
        self.snapshots.iter()
    }

    pub(super) fn of_version(&self, version: u64) -> Option<&CompressedSnapshot> {
        self.iter().find(|snapshot| snapshot.version == version)
    }

    pub(super) fn find(&self, version: u64, digest: u64) -> Option<&CompressedSnapshot> {
        self.iter().find(|snapshot| snapshot.is(version, digest))
    }
}
