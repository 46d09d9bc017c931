//! Effects of a shutdown notice: which requests are rejected, and the deadline of all others.
//!
//! - A request that reached the machine more than the grace period (time, settings) after the notice is rejected.
//! - The deadline of every other request is brought forward to a time before the kill.
//! - The node immediately advertises itself as unavailable, and its health checks fail.
//!
//! Not in KIP-124.

use super::shared_constants::TIME_MARGIN;
use std::time::Duration;

/// A shutdown notice.
#[derive(Clone, Copy)]
pub(super) struct Shutdown {
    noticed: Duration,
    /// When all answers must have been sent.
    pub(super) deadline: Duration,
}

impl Shutdown {
    /// A notice received at `now` that announces a kill after `kill_in`.
    pub(super) fn noticed_at(now: Duration, kill_in: Duration) -> Self {
        Self {
            noticed: now,
            deadline: now + kill_in.saturating_sub(TIME_MARGIN),
        }
    }

    /// The latest time for an answer.
    pub(super) fn last_answer(self) -> Duration {
        self.deadline.saturating_sub(TIME_MARGIN)
    }

    /// Whether a request that reached the machine at `arrived` came after the grace period.
    pub(super) fn rejects(self, arrived: Duration, grace: Duration) -> bool {
        arrived > self.noticed + grace
    }
}
