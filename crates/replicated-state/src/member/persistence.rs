//! Hands out effects, and withholds what must not happen before earlier writes are durable.

use super::{Effects, GroupEvent, GroupMember, OutgoingFrame, WriteBatch};
use std::time::Duration;

/// Sets of effects that wait for the disk. At thousands of writes a second a disk that is this far behind has stalled.
const MAX_AWAITING_PERSIST: usize = 20_000;

/// An entry whose write has been handed out.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingEntry {
    pub shard: u16,
    pub index: u64,
    pub term: u64,
}

/// What waits until all write batches up to a number are durable.
#[derive(Debug)]
pub(super) struct AwaitingPersist {
    /// Number of the last batch to wait for.
    batch: u64,
    frames: Vec<OutgoingFrame>,
    entries: Vec<PendingEntry>,
}

impl GroupMember {
    /// Takes the effects of all calls since the last one.
    ///
    /// The driver starts the write batch, sends the frames, and calls [`GroupMember::on_persisted`] once the batch is
    /// durable.
    pub fn take_effects(&mut self) -> Effects {
        let mut effects = std::mem::take(&mut self.effects);
        let writes = std::mem::take(&mut self.writes);
        let frames = std::mem::take(&mut self.frames_after_persist);
        let entries = std::mem::take(&mut self.pending_entries);
        if !writes.is_empty() {
            self.last_batch += 1;
            effects.write = Some(WriteBatch {
                number: self.last_batch,
                writes,
            });
        }
        if !frames.is_empty() || !entries.is_empty() {
            if self.persisted_batch >= self.last_batch {
                effects.frames.extend(frames);
            } else {
                self.awaiting_persist.push_back(AwaitingPersist {
                    batch: self.last_batch,
                    frames,
                    entries,
                });
            }
        }
        if self.awaiting_persist.len() > MAX_AWAITING_PERSIST && !self.stopped {
            effects.events.push(GroupEvent::DiskStalled);
            self.stopped = true;
        }
        effects
    }

    /// All write batches up to this number are durable.
    pub fn on_persisted(&mut self, now: Duration, batch: u64) {
        self.advance_time(now);
        self.persisted_batch = self.persisted_batch.max(batch);
        while let Some(persisted) = self.pop_persisted() {
            self.effects.frames.extend(persisted.frames);
            for entry in persisted.entries {
                if let Some(state) = self.shards.get_mut(&entry.shard) {
                    state.replica.on_persisted(entry.index, entry.term);
                }
            }
        }
        self.settle();
    }

    fn pop_persisted(&mut self) -> Option<AwaitingPersist> {
        let first = self.awaiting_persist.front()?;
        if first.batch > self.persisted_batch {
            return None;
        }
        self.awaiting_persist.pop_front()
    }

    /// Number of write batches that are not durable yet.
    pub fn pending_writes(&self) -> u64 {
        self.last_batch - self.persisted_batch
    }
}
