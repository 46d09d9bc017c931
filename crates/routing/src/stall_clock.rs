//! Measures stalls of this process, so that they do not count against members.
//!
//! While the process gets no CPU time, it reads no answers and fires no timers; on its next turn every member looks
//! slow or silent. The user of the clock therefore reports turns of the event loop at a known interval, and a longer gap
//! between two turns is a stall (like Lifeguard's local health, which attributes delays to the detector itself).

use std::time::Duration;

/// A gap of more than this many intervals between two turns is a stall; smaller delays of timers are normal.
const MAX_TURN_INTERVALS: u32 = 2;

/// Adds up the gaps between the turns of the process.
#[derive(Clone, Copy, Debug, Default)]
pub struct StallClock {
    /// Longest gap between two turns that is not a stall; `None` while no turns are expected.
    max_gap: Option<Duration>,
    last_turn: Duration,
    /// Whether no turns are reported until the next request.
    is_idle: bool,
    total: Duration,
}

impl StallClock {
    /// From now on a turn is reported at least every `interval` while requests are in flight.
    pub fn expect_turns(&mut self, interval: Duration) {
        self.max_gap = Some(interval * MAX_TURN_INTERVALS);
    }

    /// Records that no request is in flight: no turns are reported until the next request.
    pub fn on_idle(&mut self) {
        self.is_idle = true;
    }

    /// Records a turn. Returns the length of the stall before it, if there was one.
    pub fn on_turn(&mut self, now: Duration) -> Option<Duration> {
        let gap = now.saturating_sub(self.last_turn);
        self.last_turn = self.last_turn.max(now);
        let is_stall =
            !std::mem::take(&mut self.is_idle) && self.max_gap.is_some_and(|max| gap > max);
        let stall = is_stall.then_some(gap);
        self.total += stall.unwrap_or_default();
        stall
    }

    /// Total duration of all stalls since the start of the process.
    pub fn total(&self) -> Duration {
        self.total
    }
}
