//! Effects, events and counters of a subscriber.

use crate::attachment::RetryTarget;
use crate::UpdateError;
use bytes::Bytes;
use std::time::Duration;

/// What the driver has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send this frame on the link.
    Send(Bytes),
    /// Write [`super::Subscriber::pending`], which leads to this version, durably, and call [`super::Subscriber::on_stored`] or
    /// [`super::Subscriber::on_store_failed`].
    Store(u64),
    /// Apply [`super::Subscriber::pending`], which leads to this version, and call [`super::Subscriber::on_applied`] or
    /// [`super::Subscriber::on_rejected`].
    Apply(u64),
    /// Close the link and call [`crate::attachment::AttachmentPolicy::on_retry_after`].
    RetryAfter {
        /// Delay before the next attempt.
        after: Duration,
        /// Where to retry.
        target: RetryTarget,
    },
    /// Close the link and call [`crate::attachment::AttachmentPolicy::on_disconnected`]: a malformed frame arrived.
    Close,
    /// Log the event.
    Event(Event),
}

/// Events for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A version is durable, and is applied next.
    Stored {
        /// That version.
        version: u64,
    },
    /// A version could not be written durably; it is not applied, and the write is retried.
    StoreFailed {
        /// That version.
        version: u64,
        /// The driver's reason, truncated.
        reason: String,
    },
    /// A version came into force.
    Applied {
        /// That version.
        version: u64,
    },
    /// The driver could not apply a version.
    Rejected {
        /// That version.
        version: u64,
        /// The driver's reason, truncated.
        reason: String,
    },
    /// A delta or snapshot was invalid or led to another digest; a snapshot was requested.
    Diverged {
        /// Version that it leads to.
        version: u64,
        /// What was wrong.
        reason: UpdateError,
    },
    /// A delta begins at another version than the one in force.
    Gap {
        /// Version in force.
        current: u64,
        /// Version that the delta begins at.
        from: u64,
    },
    /// A frame could not be decoded.
    Malformed,
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Versions that came into force.
    pub applied: u64,
    /// Versions that the driver rejected.
    pub nacks: u64,
    /// Writes of versions that failed.
    pub failed_writes: u64,
    /// Deltas and chunks that were outdated or repeated.
    pub stale: u64,
    /// Deltas from another version than the one in force.
    pub gaps: u64,
    /// Updates that were invalid or led to another digest.
    pub divergences: u64,
    /// Updates that arrived while another one was pending.
    pub busy: u64,
    /// Snapshot chunks.
    pub chunks: u64,
    /// Bytes of received frames.
    pub bytes_in: u64,
    /// Bytes of sent frames.
    pub bytes_out: u64,
    /// Frames that could not be decoded.
    pub malformed: u64,
}
