//! The update that a subscriber stores and applies.

use crate::delta::ConfigState;
use crate::frames::Delta;
use bytes::Bytes;
use std::time::Duration;

/// Base of the delay between two attempts to store a version; it doubles with each failure.
const STORE_BACKOFF: Duration = Duration::from_secs(1);
/// Upper bound of that delay.
const MAX_STORE_BACKOFF: Duration = Duration::from_secs(16);

/// An update that is being stored or applied.
#[derive(Debug)]
pub enum PendingUpdate {
    /// A delta from the version in force, validated.
    Delta(Delta),
    /// A full state.
    Snapshot {
        /// Number of the version.
        version: u64,
        /// All of its resources.
        state: ConfigState,
        /// The same as a [compressed snapshot](crate::snapshot).
        compressed: Bytes,
    },
}

impl PendingUpdate {
    /// The version that it leads to.
    #[must_use]
    pub fn version(&self) -> u64 {
        match self {
            Self::Delta(delta) => delta.to,
            Self::Snapshot { version, .. } => *version,
        }
    }

    /// The digest that it leads to.
    pub(super) fn digest(&self) -> u64 {
        match self {
            Self::Delta(delta) => delta.digest,
            Self::Snapshot { state, .. } => state.digest(),
        }
    }
}

/// How far an update is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// The driver is writing it.
    Storing,
    /// It could not be written; the driver tries again at `retry_at`.
    StoreFailed { retry_at: Duration },
    /// The driver is applying it.
    Applying,
}

/// The one update that a subscriber is working on.
#[derive(Debug)]
pub(super) struct Pending {
    pub(super) update: PendingUpdate,
    pub(super) stage: Stage,
    /// Failed attempts to store it.
    failed_writes: u32,
}

impl Pending {
    pub(super) fn new(update: PendingUpdate, stage: Stage) -> Self {
        Self {
            update,
            stage,
            failed_writes: 0,
        }
    }

    /// Whether the driver is working on it, so that it cannot be replaced by another update.
    pub(super) fn is_in_progress(&self) -> bool {
        !matches!(self.stage, Stage::StoreFailed { .. })
    }

    pub(super) fn is_at(&self, version: u64, stage: Stage) -> bool {
        self.update.version() == version && self.stage == stage
    }

    /// Records that it could not be written; returns whether this is the first failure.
    pub(super) fn on_store_failed(&mut self, now: Duration) -> bool {
        let backoff = STORE_BACKOFF
            .saturating_mul(1_u32.checked_shl(self.failed_writes).unwrap_or(u32::MAX))
            .min(MAX_STORE_BACKOFF);
        let is_first = self.failed_writes == 0;
        self.failed_writes = self.failed_writes.saturating_add(1);
        self.stage = Stage::StoreFailed {
            retry_at: now + backoff,
        };
        is_first
    }
}
