//! The bounded history of committed deltas.

use super::PublisherLimits;
use crate::delta::DeltaMerger;
use crate::frames::Delta;
use crate::planted_bugs::{is_planted, PlantedBug};
use prost::Message;
use std::collections::VecDeque;
use std::time::Duration;

/// A merge is abandoned when its deltas together exceed the largest frame by this factor: a merged delta can be smaller
/// than its parts, but the work to find out is bounded.
const MAX_MERGE_FACTOR: usize = 4;

/// A committed delta.
#[derive(Debug)]
pub(super) struct HistoryEntry {
    pub(super) delta: Delta,
    /// Encoded size of `delta`.
    encoded_bytes: usize,
    pub(super) committed_at: Duration,
}

/// Consecutive deltas without gaps, oldest first; the last one leads to the newest version.
#[derive(Debug, Default)]
pub(super) struct History {
    entries: VecDeque<HistoryEntry>,
    encoded_bytes: usize,
}

impl History {
    pub(super) fn clear(&mut self) {
        self.entries.clear();
        self.encoded_bytes = 0;
    }

    /// Appends a delta from the newest version, and evicts old ones as far as the limits demand.
    pub(super) fn push(&mut self, now: Duration, delta: Delta, limits: &PublisherLimits) {
        let encoded_bytes = delta.encoded_len();
        self.encoded_bytes += encoded_bytes;
        self.entries.push_back(HistoryEntry {
            delta,
            encoded_bytes,
            committed_at: now,
        });
        while self.entries.len() > limits.max_history_entries
            || self.encoded_bytes > limits.max_history_bytes
        {
            let Some(evicted) = self.entries.pop_front() else {
                break;
            };
            self.encoded_bytes -= evicted.encoded_bytes;
        }
    }

    /// Entries, newest first.
    pub(super) fn newest_first(&self) -> impl Iterator<Item = &HistoryEntry> {
        self.entries.iter().rev()
    }

    /// Digest of a version that an entry leads to.
    pub(super) fn digest_at(&self, version: u64) -> Option<u64> {
        let index = self
            .entries
            .partition_point(|entry| entry.delta.to < version);
        let entry = self.entries.get(index)?;
        (entry.delta.to == version).then_some(entry.delta.digest)
    }

    /// Whether there are deltas from `version` to the newest one.
    pub(super) fn reaches_back_to(&self, version: u64) -> bool {
        self.index_from(version).is_some()
    }

    /// One delta from `version` to the newest one. `None` if the history does not reach back to it, or if the deltas are
    /// too large to be merged into a frame of `max_bytes`; the result can still be larger than that.
    pub(super) fn merged_from(&self, version: u64, max_bytes: usize) -> Option<Delta> {
        let first = self.index_from(version)?;
        let parts = || self.entries.range(first..);
        let parts_bytes: usize = parts().map(|entry| entry.encoded_bytes).sum();
        if parts_bytes > max_bytes * MAX_MERGE_FACTOR {
            return None;
        }
        let mut deltas = parts().map(|entry| &entry.delta);
        let mut merger = DeltaMerger::new(deltas.next()?).ok()?;
        for delta in deltas {
            merger.push(delta).ok()?;
        }
        Some(Delta {
            from: version,
            ..merger.finish()
        })
    }

    /// Index of the entry that begins at `version`.
    fn index_from(&self, version: u64) -> Option<usize> {
        let index = self
            .entries
            .partition_point(|entry| entry.delta.from < version);
        let entry = self.entries.get(index)?;
        if is_planted(PlantedBug::HistoryOffByOne) && index == 0 && entry.delta.from == version + 1
        {
            return Some(index);
        }
        (entry.delta.from == version).then_some(index)
    }
}
