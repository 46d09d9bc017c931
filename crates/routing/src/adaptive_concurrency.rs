//! Learns how many requests may be open toward one member at once, from response times and rejections.
//!
//! The limit follows the gradient of response times. Each window compares its mean with the lowest mean known: while
//! they agree and the limit is in use, the limit grows by its square root; when times rise it shrinks in proportion,
//! at most by half a window. A rejection or failure shrinks it by a tenth, at most once a window and not below
//! [`NEAR_MIN_LIMIT`]. Losses alone
//! (additive increase, multiplicative decrease) would react too late, since a node queues before it rejects.
//!
//! The baseline does not follow the mean: it would learn the queue that the limit itself causes, and the limit would
//! grow without bound. It is learned again after the limit has long been near its minimum, where times are the
//! member's own. If so many forwarders share the member that even their minima queue, the configured bound is what
//! holds.
//!
//! When times rise, the limit first drops to what was in use: a limit that nobody reaches holds nothing back.
//!
//! Invariant: [`MIN_LIMIT`] <= limit <= the configured bound, and the limit does not grow while it is not in use, so
//! a quiet period does not raise it.

use std::time::Duration;

/// Lowest limit, in requests. Below one it counts as a fraction of the pool's places: hundreds of forwarders at one
/// node have less than one each.
pub const MIN_LIMIT: f64 = 0.1;
/// A rejection or failure alone does not shrink the limit below this many requests; response times can, down to
/// [`MIN_LIMIT`]. A limit of at most twice this counts as near its minimum: the baseline is learned again then.
pub const NEAR_MIN_LIMIT: f64 = 4.0;
/// Limit toward a member of which nothing is known, in requests.
pub const INITIAL_LIMIT: f64 = 16.0;
/// Minimum length of a window.
const WINDOW: Duration = Duration::from_millis(200);
/// Minimum answers in a window.
const MIN_WINDOW_ANSWERS: u32 = 8;
/// Windows near the minimum limit after which the baseline is learned again.
const RELEARN_WINDOWS: u32 = 10;
/// Factor over the baseline up to which times count as unchanged, since they vary.
const TOLERANCE: f64 = 2.0;
/// Difference to the baseline, in seconds, up to which times count as unchanged: that much is the network and the
/// scheduler, not a queue.
const SLACK: f64 = 0.002;
/// Factor by which a rejection or a failure shrinks the limit.
pub const LOSS_DECREASE: f64 = 0.9;
/// Smoothing factor with which the limit follows the result of a window.
const SMOOTH: f64 = 0.3;

/// The learned concurrency limit of one member.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    max: f64,
    open: u32,
    /// Highest number of open requests in this window.
    peak_open: u32,
    /// Lowest mean response time of a window, in seconds.
    baseline: Option<f64>,
    windows_near_min: u32,
    duration_sum: f64,
    answers: u32,
    lost: bool,
    window_start: Duration,
}

impl ConcurrencyLimit {
    /// `max`: the configured bound in requests, if there is one.
    pub fn new(max: Option<u64>, now: Duration) -> Self {
        let max = max.map_or(f64::from(u16::MAX), |max| max as f64).max(1.0);
        Self {
            limit: INITIAL_LIMIT.min(max),
            max,
            open: 0,
            peak_open: 0,
            baseline: None,
            windows_near_min: 0,
            duration_sum: 0.0,
            answers: 0,
            lost: false,
            window_start: now,
        }
    }

    /// Takes over what `before` learned, within the bound that holds now.
    pub fn carry(&mut self, before: &Self) {
        let max = self.max;
        *self = Self {
            limit: before.limit.min(max),
            max,
            ..before.clone()
        };
    }

    /// Requests that may be open; at least one, so that a member is never excluded for good.
    pub fn limit(&self) -> u32 {
        (self.limit as u32).max(1)
    }

    /// The member's part of the pool's places, which may be less than one.
    pub fn places(&self) -> f64 {
        self.limit
    }

    /// Requests that are open.
    pub fn open(&self) -> u32 {
        self.open
    }

    /// Whether another request may be sent.
    pub fn has_capacity(&self) -> bool {
        self.open < self.limit()
    }

    /// Records that a request was sent.
    pub fn on_sent(&mut self) {
        self.open += 1;
        self.peak_open = self.peak_open.max(self.open);
    }

    /// Records the end of a request. `took`: its response time, only if it succeeded, since a fast failure says nothing
    /// about the time that work takes. `lost`: whether it was rejected or failed.
    pub fn on_completed(&mut self, now: Duration, took: Option<Duration>, lost: bool) {
        self.open = self.open.saturating_sub(1);
        if let Some(took) = took {
            self.duration_sum += took.as_secs_f64();
            self.answers += 1;
        }
        if lost && !self.lost {
            self.lost = true;
            // Failures say less about load than times do: they alone do not close a member.
            self.limit = (self.limit * LOSS_DECREASE).max(NEAR_MIN_LIMIT.min(self.limit));
        }
        if self.answers >= MIN_WINDOW_ANSWERS && now.saturating_sub(self.window_start) >= WINDOW {
            self.end_window(now);
        }
    }

    /// Evaluates a window and starts the next one.
    fn end_window(&mut self, now: Duration) {
        let mean = (self.duration_sum / f64::from(self.answers)).max(1e-6);
        self.windows_near_min = if self.limit <= 2.0 * NEAR_MIN_LIMIT {
            self.windows_near_min + 1
        } else {
            0
        };
        let relearn = self.windows_near_min >= RELEARN_WINDOWS;
        let base = self
            .baseline
            .filter(|_| !relearn)
            .map_or(mean, |base| base.min(mean));
        self.baseline = Some(base);
        let gradient = ((base * TOLERANCE).max(base + SLACK) / mean).clamp(0.5, 1.0);
        if gradient < 1.0 {
            self.limit = self.limit.min(f64::from(self.peak_open) + 1.0);
        }
        let in_use = f64::from(self.peak_open) >= self.limit / 2.0;
        let growth = if in_use && !self.lost {
            self.limit.sqrt()
        } else {
            0.0
        };
        let wanted = self.limit * gradient + growth;
        // A limit that is not in use only shrinks.
        let wanted = if in_use {
            wanted
        } else {
            wanted.min(self.limit)
        };
        self.limit = (self.limit + (wanted - self.limit) * SMOOTH).clamp(MIN_LIMIT, self.max);
        (
            self.duration_sum,
            self.answers,
            self.lost,
            self.peak_open,
            self.window_start,
        ) = (0.0, 0, false, self.open, now);
    }
}
