//! Log time: a monotonic clock in nanoseconds, which stops while there is no leader.

use super::Replica;
use std::time::Duration;

/// The newest stamp in the log, and when this replica saw it.
#[derive(Clone, Copy, Debug)]
pub(super) struct LogClock {
    /// Log time, in nanoseconds.
    stamp: u64,
    /// Local time at which `stamp` was seen.
    observed_at: Duration,
}

impl LogClock {
    pub(super) fn new(stamp: u64, observed_at: Duration) -> Self {
        Self { stamp, observed_at }
    }
}

impl Replica {
    /// Log time now, in nanoseconds: the newest stamp plus the local time elapsed since it was seen.
    pub(super) fn log_time(&self) -> u64 {
        let elapsed = self.now.saturating_sub(self.log_clock.observed_at);
        let elapsed_nanos = u64::try_from(elapsed.as_nanos()).unwrap_or(u64::MAX);
        self.log_clock.stamp.saturating_add(elapsed_nanos)
    }

    pub(super) fn observe_stamp(&mut self, stamp: u64) {
        if stamp >= self.log_clock.stamp {
            self.log_clock = LogClock::new(stamp, self.now);
        }
    }
}
