//! Log time: nanoseconds that never go back and stand still while there is no leader.

use super::Replica;

impl Replica {
    /// Log time: the newest stamp seen, and what has passed since on this clock.
    pub(super) fn log_time(&self) -> u64 {
        let passed = self.now.saturating_sub(self.stamp.1).as_nanos();
        self.stamp
            .0
            .saturating_add(u64::try_from(passed).unwrap_or(u64::MAX))
    }

    pub(super) fn saw_stamp(&mut self, stamp: u64) {
        if stamp >= self.stamp.0 {
            self.stamp = (stamp, self.now);
        }
    }
}
