//! A sum that forgets, brought up to date when it is read.

use std::time::Duration;

/// What was added, each part fading to 1/e over the span given.
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
    at: Duration,
}

impl Decaying {
    pub fn read(&self, now: Duration, span: Duration) -> f64 {
        // Sums of whoever was never here are the most, and nothing fades of them.
        if self.sum == 0.0 {
            return 0.0;
        }
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.sum * (-age / span.as_secs_f64()).exp()
    }

    pub fn add(&mut self, now: Duration, part: f64, span: Duration) {
        self.sum = self.read(now, span) + part;
        self.at = now.max(self.at);
    }
}

/// A mean whose older samples fade, by the same rule, or `None` before the first.
#[derive(Clone, Copy, Debug, Default)]
pub struct Mean {
    total: Decaying,
    count: Decaying,
}

impl Mean {
    pub fn add(&mut self, now: Duration, sample: f64, span: Duration) {
        self.total.add(now, sample, span);
        self.count.add(now, 1.0, span);
    }

    /// Both sums fade alike, so their ratio holds however long ago they were fed.
    pub fn read(&self) -> Option<f64> {
        (self.count.sum > 0.0).then(|| self.total.sum / self.count.sum)
    }

    /// How many samples still weigh in.
    pub fn weight(&self, now: Duration, span: Duration) -> f64 {
        self.count.read(now, span)
    }

    /// The mean, if at least so many samples still weigh in.
    pub fn known(&self, now: Duration, span: Duration, least: f64) -> Option<f64> {
        self.read().filter(|_| self.weight(now, span) >= least)
    }
}
