//! The entries in memory, behind a snapshot, with their running checksum.
//!
//! Invariant: `entries[k].index == base.index + 1 + k`; `sums[k]` is the running checksum up to it.

use crate::wire::{Entry, SnapshotMetadata};
use std::collections::VecDeque;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Log {
    base: SnapshotMetadata,
    entries: VecDeque<Entry>,
    sums: VecDeque<u64>,
    bytes: usize,
}

impl Log {
    pub fn new(base: SnapshotMetadata, entries: impl IntoIterator<Item = Entry>) -> Self {
        let mut log = Self {
            base,
            entries: VecDeque::new(),
            sums: VecDeque::new(),
            bytes: 0,
        };
        for entry in entries {
            log.push(entry);
        }
        log
    }

    pub fn base(&self) -> &SnapshotMetadata {
        &self.base
    }

    pub fn last(&self) -> u64 {
        self.base.index + self.entries.len() as u64
    }

    pub fn last_term(&self) -> u64 {
        self.entries
            .back()
            .map_or(self.base.term, |entry| entry.term)
    }

    pub fn last_stamp(&self) -> u64 {
        self.entries
            .back()
            .map_or(self.base.stamp, |entry| entry.stamp)
    }

    /// Bytes of data in the entries.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn at(&self, index: u64) -> Option<usize> {
        let at = index.checked_sub(self.base.index + 1)? as usize;
        (at < self.entries.len()).then_some(at)
    }

    pub fn entry(&self, index: u64) -> Option<&Entry> {
        self.entries.get(self.at(index)?)
    }

    /// Of the base too; none for what is before it or not there yet.
    pub fn term(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// The running checksum up to an index.
    pub fn sum(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.checksum);
        }
        self.sums.get(self.at(index)?).copied()
    }

    /// Entries from an index on: at most so many, and as many as fit the bytes, but one.
    pub fn from(&self, index: u64, most: usize, bytes: usize) -> Vec<Entry> {
        let Some(at) = self.at(index) else {
            return Vec::new();
        };
        let (mut all, mut size) = (Vec::new(), 0);
        for entry in self.entries.range(at..) {
            size += entry.data.len();
            if !all.is_empty() && (size > bytes || all.len() >= most) {
                break;
            }
            all.push(entry.clone());
        }
        all
    }

    /// The next entry; its index must be the one behind the last.
    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last() + 1, "entries without a gap");
        let before = self.sums.back().copied().unwrap_or(self.base.checksum);
        self.sums.push_back(entry.checksum(before));
        self.bytes += entry.data.len();
        self.entries.push_back(entry);
    }

    /// Takes off all from an index on.
    pub fn cut(&mut self, index: u64) {
        let keep = index.saturating_sub(self.base.index + 1) as usize;
        while self.entries.len() > keep {
            self.bytes -= self.entries.pop_back().map_or(0, |entry| entry.data.len());
            self.sums.pop_back();
        }
    }

    /// Takes off all up to the base's index, which stands for it from now on.
    pub fn compact(&mut self, base: SnapshotMetadata) {
        while self
            .entries
            .front()
            .is_some_and(|entry| entry.index <= base.index)
        {
            self.bytes -= self.entries.pop_front().map_or(0, |entry| entry.data.len());
            self.sums.pop_front();
        }
        self.base = base;
    }

    /// The smallest index whose term is that of this one: a whole term is stepped over at once.
    pub fn first_of_term(&self, index: u64) -> u64 {
        let Some(term) = self.term(index) else {
            return index;
        };
        let mut first = index;
        while first > self.base.index + 1 && self.term(first - 1) == Some(term) {
            first -= 1;
        }
        first
    }
}
