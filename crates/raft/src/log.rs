//! The entries in memory after a snapshot, with their running checksums.
//!
//! Invariant: `entries[k].index == base.index + 1 + k`, and `checksums[k]` is the running checksum up to that entry.

use crate::wire::{Entry, SnapshotMetadata};
use std::collections::VecDeque;

/// Consecutive entries after a base, which is a snapshot or the beginning of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Log {
    base: SnapshotMetadata,
    entries: VecDeque<Entry>,
    checksums: VecDeque<u64>,
    /// Bytes of data in the entries.
    bytes: usize,
}

impl Log {
    /// Creates a log that starts at `base`; the index of the first entry must be one above the base's.
    pub fn new(base: SnapshotMetadata, entries: impl IntoIterator<Item = Entry>) -> Self {
        let mut log = Self {
            base,
            entries: VecDeque::new(),
            checksums: VecDeque::new(),
            bytes: 0,
        };
        for entry in entries {
            log.push(entry);
        }
        log
    }

    /// The metadata of the snapshot before the entries; all zero if the log starts with them.
    pub fn base(&self) -> &SnapshotMetadata {
        &self.base
    }

    /// Index of the last entry, or that of the base.
    pub fn last_index(&self) -> u64 {
        self.base.index + self.entries.len() as u64
    }

    /// Term of the last entry, or that of the base.
    pub fn last_term(&self) -> u64 {
        self.entries
            .back()
            .map_or(self.base.term, |entry| entry.term)
    }

    /// Log time of the last entry, or that of the base, in nanoseconds.
    pub fn last_stamp(&self) -> u64 {
        self.entries
            .back()
            .map_or(self.base.stamp, |entry| entry.stamp)
    }

    /// Bytes of data in the entries.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Number of entries after the base.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no entries after the base.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Position of an index in `entries`.
    fn position(&self, index: u64) -> Option<usize> {
        let position = index.checked_sub(self.base.index + 1)? as usize;
        (position < self.entries.len()).then_some(position)
    }

    /// The entry at an index; `None` up to the base and after the last entry.
    pub fn entry(&self, index: u64) -> Option<&Entry> {
        self.entries.get(self.position(index)?)
    }

    /// The term of an entry or of the base; `None` before the base and after the last entry.
    pub fn term(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// The running checksum up to an entry or the base; `None` before the base and after the last entry.
    pub fn checksum(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.checksum);
        }
        self.checksums.get(self.position(index)?).copied()
    }

    /// Consecutive entries from an index on: at most `max_entries`, and at most `max_bytes` of data unless the first
    /// entry alone is larger.
    pub fn entries_from(&self, index: u64, max_entries: usize, max_bytes: usize) -> Vec<Entry> {
        let Some(position) = self.position(index) else {
            return Vec::new();
        };
        let mut entries = Vec::new();
        let mut bytes = 0;
        for entry in self.entries.range(position..) {
            bytes += entry.data.len();
            if !entries.is_empty() && (bytes > max_bytes || entries.len() >= max_entries) {
                break;
            }
            entries.push(entry.clone());
        }
        entries
    }

    /// Appends an entry, whose index must be one above the last.
    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(
            entry.index,
            self.last_index() + 1,
            "entries are consecutive"
        );
        let previous = self.checksums.back().copied().unwrap_or(self.base.checksum);
        self.checksums.push_back(entry.checksum(previous));
        self.bytes += entry.data.len();
        self.entries.push_back(entry);
    }

    /// Removes the entries from an index on.
    pub fn truncate_from(&mut self, index: u64) {
        let remaining = index.saturating_sub(self.base.index + 1) as usize;
        while self.entries.len() > remaining {
            self.bytes -= self.entries.pop_back().map_or(0, |entry| entry.data.len());
            self.checksums.pop_back();
        }
    }

    /// Replaces the entries up to the index of `base` with `base`.
    pub fn compact(&mut self, base: SnapshotMetadata) {
        while self
            .entries
            .front()
            .is_some_and(|entry| entry.index <= base.index)
        {
            self.bytes -= self.entries.pop_front().map_or(0, |entry| entry.data.len());
            self.checksums.pop_front();
        }
        self.base = base;
    }

    /// The first index in the log of the term that an index belongs to, so that a leader can probe term by term.
    pub fn first_index_of_term(&self, index: u64) -> u64 {
        let Some(term) = self.term(index) else {
            return index;
        };
        let mut first_index = index;
        while first_index > self.base.index + 1 && self.term(first_index - 1) == Some(term) {
            first_index -= 1;
        }
        first_index
    }
}
