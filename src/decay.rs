//! Sums and means that decay exponentially, and a sum over a sliding window.
//!
//! All are brought up to date when they are read or added to; none reads a clock.

use std::collections::VecDeque;
use std::time::Duration;

/// A sum whose parts decay to 1/e over the span given.
///
/// ```
/// use rainstand::decay::Decaying;
/// use std::time::Duration;
/// let at = Duration::from_secs;
/// let mut sum = Decaying::default();
/// sum.add(at(1), 8.0, at(2));
/// assert!((sum.read(at(3), at(2)) - 8.0 / std::f64::consts::E).abs() < 1e-9);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Decaying {
    sum: f64,
    updated: Duration,
}

impl Decaying {
    /// The sum as of `now`.
    pub fn read(&self, now: Duration, span: Duration) -> f64 {
        // Most sums are of tenants that sent nothing: an exponential less for each.
        if self.sum == 0.0 {
            return 0.0;
        }
        let age = now.saturating_sub(self.updated).as_secs_f64();
        self.sum * (-age / span.as_secs_f64()).exp()
    }

    /// Adds `part` at `now`.
    pub fn add(&mut self, now: Duration, part: f64, span: Duration) {
        self.sum = self.read(now, span) + part;
        self.updated = now.max(self.updated);
    }
}

/// A mean whose samples decay to 1/e over the span given.
#[derive(Clone, Copy, Debug, Default)]
pub struct Mean {
    total: Decaying,
    count: Decaying,
}

impl Mean {
    /// Adds a sample at `now`.
    pub fn add(&mut self, now: Duration, sample: f64, span: Duration) {
        self.total.add(now, sample, span);
        self.count.add(now, 1.0, span);
    }

    /// The mean, `None` before the first sample. Both sums decay alike, so their ratio needs no time.
    pub fn read(&self) -> Option<f64> {
        (self.count.sum > 0.0).then(|| self.total.sum / self.count.sum)
    }

    /// The weight of all samples as of `now`: 1 for a new one.
    pub fn weight(&self, now: Duration, span: Duration) -> f64 {
        self.count.read(now, span)
    }

    /// The mean, if the samples together still weigh at least `min_weight`.
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
    at: Duration,
    amount: Duration,
}

impl WindowSum {
    /// Adds `amount` as of the time `at`.
    pub fn add(&mut self, at: Duration, amount: Duration) {
        self.parts.push_back(WindowPart { at, amount });
        self.sum += amount;
    }

    /// Drops the oldest parts while they are a whole `window` old; a part behind a younger one waits for it.
    pub fn expire(&mut self, now: Duration, window: Duration) {
        while let Some(oldest) = self.parts.front().filter(|part| part.at + window <= now) {
            self.sum = self.sum.saturating_sub(oldest.amount);
            self.parts.pop_front();
        }
    }

    /// The sum of all parts that have not expired.
    pub fn read(&self) -> Duration {
        self.sum
    }
}
