//! The effects of calls of a replica, for the caller to carry out.

use super::{Divergence, ReadState};
use crate::wire::{Entry, HardState, Message, Snapshot};

/// A leader's snapshot, to be stored in place of everything up to its index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotInstall {
    /// The complete snapshot.
    pub snapshot: Snapshot,
    /// Whether stored entries after the snapshot belong to a different history and must be deleted as well.
    pub discard_suffix: bool,
}

/// What the caller has to do after calls of a replica. See the crate's documentation for the order.
#[derive(Clone, Debug, Default)]
pub struct Ready {
    /// Term and vote, to be written first.
    pub hard_state: Option<HardState>,
    /// To be written after `hard_state`.
    pub snapshot: Option<SnapshotInstall>,
    /// To be written after `snapshot`: they replace all stored entries from the first one's index on.
    pub entries: Vec<Entry>,
    /// To be sent without waiting for writes.
    pub messages: Vec<Message>,
    /// To be sent once all writes returned so far are durable.
    pub messages_after_persist: Vec<Message>,
    /// To be applied in order, after `snapshot` is restored.
    pub committed: Vec<Entry>,
    /// Reads that may be served once their index is applied.
    pub reads: Vec<ReadState>,
    /// Set when the replica was quarantined: it ignores all messages and ticks from now on.
    pub divergence: Option<Divergence>,
}

impl Ready {
    /// Whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        !self.writes()
            && self.messages.is_empty()
            && self.messages_after_persist.is_empty()
            && self.committed.is_empty()
            && self.reads.is_empty()
            && self.divergence.is_none()
    }

    /// Whether anything has to be written to the disk.
    pub fn writes(&self) -> bool {
        self.hard_state.is_some() || self.snapshot.is_some() || !self.entries.is_empty()
    }
}
