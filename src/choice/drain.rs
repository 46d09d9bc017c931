//! What a shutdown notice changes: until when requests are still taken, and by when all are answered.
//!
//! - A request that reached the machine later than the grace (time, from the settings) after the notice is
//!   rejected.
//! - The deadline of every other request is brought forward to before the kill.
//! - The node advertises itself as unavailable at once, and its health checks fail.
//!
//! Not in KIP-124.

use super::shared_constants::TIME_MARGIN;
use std::time::Duration;

/// A shutdown notice.
#[derive(Clone, Copy)]
pub(super) struct Shutdown {
    noticed: Duration,
    /// By when the answers must have left.
    pub(super) deadline: Duration,
}

impl Shutdown {
    /// A notice that came at `now`, of a kill after `kill_in`.
    pub(super) fn noticed_at(now: Duration, kill_in: Duration) -> Self {
        Self {
            noticed: now,
            deadline: now + kill_in.saturating_sub(TIME_MARGIN),
        }
    }

    /// The last moment for an answer.
    pub(super) fn last_answer(self) -> Duration {
        self.deadline.saturating_sub(TIME_MARGIN)
    }

    /// Whether a request that reached the machine at `arrived` came past the grace.
    pub(super) fn refuses(self, arrived: Duration, grace: Duration) -> bool {
        arrived > self.noticed + grace
    }
}
