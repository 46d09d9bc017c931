//! A compressed snapshot that is being received.

use crate::frames::{SnapshotChunk, SnapshotProgress};

/// The first bytes of a snapshot, without gaps. A download outlives the link that it began on.
#[derive(Debug)]
pub(super) struct SnapshotDownload {
    version: u64,
    digest: u64,
    /// Length of the complete snapshot.
    length: usize,
    bytes: Vec<u8>,
}

/// Whether a chunk extended a download.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ChunkOutcome {
    Appended,
    /// The chunk does not begin where the download ends, or exceeds its length; nothing changed.
    Ignored,
}

impl SnapshotDownload {
    /// An empty download of the snapshot that `chunk`, of `length` bytes in total, belongs to.
    pub(super) fn new(chunk: &SnapshotChunk, length: usize) -> Self {
        Self {
            version: chunk.version,
            digest: chunk.digest,
            length,
            bytes: Vec::new(),
        }
    }

    /// Whether `chunk`, of `length` bytes in total, is part of the same snapshot.
    pub(super) fn includes(&self, chunk: &SnapshotChunk, length: usize) -> bool {
        (self.version, self.digest, self.length) == (chunk.version, chunk.digest, length)
    }

    pub(super) fn append(&mut self, chunk: &SnapshotChunk) -> ChunkOutcome {
        let is_next = chunk.offset == self.bytes.len() as u64;
        if !is_next || self.bytes.len() + chunk.bytes.len() > self.length {
            return ChunkOutcome::Ignored;
        }
        self.bytes.extend_from_slice(&chunk.bytes);
        ChunkOutcome::Appended
    }

    pub(super) fn version(&self) -> u64 {
        self.version
    }

    pub(super) fn digest(&self) -> u64 {
        self.digest
    }

    pub(super) fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    pub(super) fn into_bytes(self) -> Vec<u8> {
        self.bytes
    }

    pub(super) fn is_complete(&self) -> bool {
        self.bytes.len() >= self.length
    }

    pub(super) fn progress(&self) -> SnapshotProgress {
        SnapshotProgress {
            version: self.version,
            digest: self.digest,
            offset: self.bytes.len() as u64,
        }
    }
}
