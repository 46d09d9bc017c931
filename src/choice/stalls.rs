//! Time for which the whole process was stalled.
//!
//! A tick that is more than [`TICK_INTERVAL`] late indicates a stall. Its time is not charged to runs
//! ([`tenant_quotas`](super::tenant_quotas)) and does not make them count as hung ([`health`](super::health)). Not in
//! KIP-124.

use super::shared_constants::TICK_INTERVAL;
use std::time::Duration;

/// Sums up the delays of late ticks.
pub(super) struct StallClock {
    next_tick: Duration,
    total: Duration,
}

impl StallClock {
    /// A clock that expects no tick yet.
    pub(super) fn new() -> Self {
        Self {
            next_tick: Duration::MAX,
            total: Duration::ZERO,
        }
    }

    /// The next tick was requested.
    pub(super) fn on_tick_requested(&mut self, now: Duration) {
        self.next_tick = now + TICK_INTERVAL;
    }

    /// A tick was received; returns the length of the stall before it, if there was one.
    pub(super) fn on_tick(&mut self, now: Duration) -> Option<Duration> {
        let late = now.saturating_sub(self.next_tick);
        let stall = Some(late).filter(|late| *late > TICK_INTERVAL);
        self.total += stall.unwrap_or_default();
        stall
    }

    /// Total time for which the process was stalled since its start.
    pub(super) fn total(&self) -> Duration {
        self.total
    }
}
