//! Sums and means that decay exponentially, and a sum over a sliding window.
//!
//! The caller passes the current time to each operation; nothing here reads a clock.

use std::collections::VecDeque;
use std::time::Duration;

/// A sum whose parts decay to 1/e over a given span.
///
/// ```
/// use rainstand::decay::Decaying;
/// use std::time::Duration;
/// let seconds = Duration::from_secs;
/// let mut sum = Decaying::default();
/// sum.add(seconds(1), 8.0, seconds(2));
/// assert!((sum.read(seconds(3), seconds(2)) - 8.0 / std::f64::consts::E).abs() < 1e-9);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Decaying {
    sum: f64,
    updated: Duration,
}

impl Decaying {
    /// The sum at time `now`.
    pub fn read(&self, now: Duration, span: Duration) -> f64 {
        // Most sums belong to tenants that sent nothing; this saves computing an exponential for each.
        if self.sum == 0.0 {
            return 0.0;
        }
        let age = now.saturating_sub(self.updated).as_secs_f64();
        self.sum * (-age / span.as_secs_f64()).exp()
    }

    /// Adds `part` at time `now`.
    pub fn add(&mut self, now: Duration, part: f64, span: Duration) {
        self.sum = self.read(now, span) + part;
        self.updated = now.max(self.updated);
    }
}

/// A mean whose sample weights decay to 1/e over a given span.
#[derive(Clone, Copy, Debug, Default)]
pub struct Mean {
    total: Decaying,
    count: Decaying,
}

impl Mean {
    /// Adds a sample at time `now`.
    pub fn add(&mut self, now: Duration, sample: f64, span: Duration) {
        self.total.add(now, sample, span);
        self.count.add(now, 1.0, span);
    }

    /// The mean, `None` before the first sample. Both sums decay equally, so their ratio does not depend on the time.
    pub fn read(&self) -> Option<f64> {
        (self.count.sum > 0.0).then(|| self.total.sum / self.count.sum)
    }

    /// The total weight of all samples at time `now`; a new sample weighs 1.
    pub fn weight(&self, now: Duration, span: Duration) -> f64 {
        self.count.read(now, span)
    }

    /// The mean, if the total weight of all samples is at least `min_weight`.
    pub fn known(&self, now: Duration, span: Duration, min_weight: f64) -> Option<f64> {
        self.read().filter(|_| self.weight(now, span) >= min_weight)
    }
}

/// A sum of durations over a sliding window.
#[derive(Clone, Debug, Default)]
pub struct WindowSum {
    parts: VecDeque<WindowPart>,
    sum: Duration,
}

#[derive(Clone, Copy, Debug)]
struct WindowPart {
    time: Duration,
    amount: Duration,
}

impl WindowSum {
    /// Adds `amount` at `time`.
    pub fn add(&mut self, time: Duration, amount: Duration) {
        self.parts.push_back(WindowPart { time, amount });
        self.sum += amount;
    }

    /// Drops parts that are at least `window` old, in the order in which they were added: a part that was added after
    /// a younger one stays until that one expires.
    pub fn expire(&mut self, now: Duration, window: Duration) {
        while let Some(oldest) = self.parts.front().filter(|part| part.time + window <= now) {
            self.sum = self.sum.saturating_sub(oldest.amount);
            self.parts.pop_front();
        }
    }

    /// The sum of all parts that [`expire`](Self::expire) has not dropped.
    pub fn read(&self) -> Duration {
        self.sum
    }
}
