//! Time for which this process stood still, so that it is not held against the members.
//!
//! While the process has no processor, answers lie unread and timers do not fire; on the first turn afterwards every
//! member looks slow or silent. The caller therefore reports turns at a known interval, and a longer gap between two of
//! them is a stall (as the local health of Lifeguard holds its own lateness against the detector).

use std::time::Duration;

/// A gap between two turns of more than this many intervals is a stall; timers are a little late anyway.
const MAX_TURN_INTERVALS: u32 = 2;

/// Adds up the gaps between the turns of the process.
#[derive(Clone, Copy, Debug, Default)]
pub struct StallClock {
    /// Longest time between two turns that is no stall; none while no turns are expected.
    max_gap: Option<Duration>,
    last_turn: Duration,
    /// No turns are reported until a request comes.
    is_idle: bool,
    total: Duration,
}

impl StallClock {
    /// From now on a turn is reported at least each `interval` while requests are in flight.
    pub fn expect_turns(&mut self, interval: Duration) {
        self.max_gap = Some(interval * MAX_TURN_INTERVALS);
    }

    /// Nothing is in flight: no turns are reported until the next request.
    pub fn on_idle(&mut self) {
        self.is_idle = true;
    }

    /// The process had a turn. How long it stood still before, if it did.
    pub fn on_turn(&mut self, now: Duration) -> Option<Duration> {
        let gap = now.saturating_sub(self.last_turn);
        self.last_turn = self.last_turn.max(now);
        let is_stall =
            !std::mem::take(&mut self.is_idle) && self.max_gap.is_some_and(|max| gap > max);
        let stall = is_stall.then_some(gap);
        self.total += stall.unwrap_or_default();
        stall
    }

    /// How long the process has stood still since its start.
    pub fn total(&self) -> Duration {
        self.total
    }
}
