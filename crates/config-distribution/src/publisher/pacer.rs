//! The rate at which attachments are accepted, and when rejected ones may retry.

use super::PublisherLimits;
use nanorand::{Rng, WyRand};
use std::time::Duration;

/// Upper bound of the delays that rejected subscribers are given, apart from one interval and its jitter.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(8);

/// A token bucket for attachments. Rejected subscribers get distinct retry times at the same rate.
pub(super) struct AttachmentPacer {
    /// Between two attachments in the long run.
    interval: Duration,
    /// How far attachments may be ahead of that rate.
    burst: Duration,
    /// When the next attachment would be accepted without a burst.
    next_slot: Duration,
    /// Retry time of the last rejected subscriber.
    last_retry_at: Duration,
    rng: WyRand,
}

impl AttachmentPacer {
    pub(super) fn new(now: Duration, limits: &PublisherLimits, seed: u64) -> Self {
        let interval = Duration::from_secs(1) / limits.attachments_per_second.max(1);
        Self {
            interval,
            burst: interval * limits.attachment_burst,
            next_slot: now,
            last_retry_at: now,
            rng: WyRand::new_seed(seed),
        }
    }

    /// Whether an attachment can be accepted now.
    pub(super) fn has_capacity(&self, now: Duration) -> bool {
        self.next_slot <= now + self.burst
    }

    /// Counts an accepted attachment.
    pub(super) fn record(&mut self, now: Duration) {
        self.next_slot = self.next_slot.max(now) + self.interval;
    }

    /// Delay after which a rejected subscriber may retry.
    pub(super) fn retry_after(&mut self, now: Duration) -> Duration {
        let earliest = self.last_retry_at.max(now).min(now + MAX_RETRY_AFTER);
        self.last_retry_at = earliest + self.interval;
        let max_jitter = u64::try_from(self.interval.as_nanos()).unwrap_or(u64::MAX);
        let jitter = Duration::from_nanos(self.rng.generate_range(0..=max_jitter));
        (self.last_retry_at + jitter).saturating_sub(now)
    }
}
