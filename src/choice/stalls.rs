//! Time for which the whole process stood still.
//!
//! A tick that comes more than [`TICK_INTERVAL`] late shows it: for that time no run is charged
//! ([`tenant_quotas`](super::tenant_quotas)) or taken for hung ([`health`](super::health)). Not in KIP-124.

use super::shared_constants::TICK_INTERVAL;
use std::time::Duration;

/// Adds up the time that ticks came late.
pub(super) struct StallClock {
    next_tick: Duration,
    total: Duration,
}

impl StallClock {
    /// A clock without a tick that is due.
    pub(super) fn new() -> Self {
        Self {
            next_tick: Duration::MAX,
            total: Duration::ZERO,
        }
    }

    /// The next tick is asked for.
    pub(super) fn on_tick_requested(&mut self, now: Duration) {
        self.next_tick = now + TICK_INTERVAL;
    }

    /// A tick came. How long the process stood still before it, if it did.
    pub(super) fn on_tick(&mut self, now: Duration) -> Option<Duration> {
        let late = now.saturating_sub(self.next_tick);
        let stall = Some(late).filter(|late| *late > TICK_INTERVAL);
        self.total += stall.unwrap_or_default();
        stall
    }

    /// How long the process has stood still since its start.
    pub(super) fn total(&self) -> Duration {
        self.total
    }
}
