//! The effects of a replica's decisions, for its caller to carry out.

use super::{Divergence, ReadState};
use crate::wire::{Entry, HardState, Message, Snapshot};

/// A leader's snapshot, to be stored in place of everything up to its index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotInstall {
    /// The snapshot, complete.
    pub snapshot: Snapshot,
    /// Stored entries behind the snapshot belong to another history and go too.
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
    /// To be sent at once.
    pub messages: Vec<Message>,
    /// To be sent once all writes handed out up to now are durable.
    pub messages_after_persist: Vec<Message>,
    /// To be applied in order, after `snapshot` was restored.
    pub committed: Vec<Entry>,
    /// Reads that may be served once their index is applied.
    pub reads: Vec<ReadState>,
    /// The replica was quarantined: it takes part in nothing from now on.
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
