//! Learns the maximum number of concurrent requests to one member from response times and rejections.
//!
//! The limit follows the gradient of response times. Each window compares its mean with the baseline, the lowest known
//! mean: while they agree and the limit is in use, the limit grows by its square root; when times rise, it shrinks in
//! proportion, at most by half per window. A rejection or failure shrinks it by a tenth, at most once per window and
//! not below [`NEAR_MIN_LIMIT`]. Losses alone (additive increase, multiplicative decrease) would react too late, since
//! a node queues before it rejects.
//!
//! The baseline does not follow the mean: it would learn the queue that the limit itself causes, and the limit would
//! grow without bound. It is re-learned after the limit has been near its minimum for a while, where response times
//! contain no queueing. If so many forwarders share the member that requests queue even at their minimum limits, only
//! the configured maximum limits the queue.
//!
//! When times rise, the limit first drops to the concurrency in use: a limit that is not reached has no effect.
//!
//! Invariant: [`MIN_LIMIT`] <= limit <= the configured maximum, and the limit does not grow while it is not in use, so
//! a quiet period does not raise it.

use std::time::Duration;

/// Minimum limit, in requests. May be less than 1, as a part of the pool's capacity: with hundreds of forwarders at one
/// node, each has less than one request.
pub const MIN_LIMIT: f64 = 0.1;
/// A rejection or failure alone does not shrink the limit below this many requests; response times can, down to
/// [`MIN_LIMIT`]. A limit of at most twice this counts as near its minimum, where the baseline is re-learned.
pub const NEAR_MIN_LIMIT: f64 = 4.0;
/// Limit before any response, in requests.
pub const INITIAL_LIMIT: f64 = 16.0;
/// Minimum duration of a window.
const MIN_WINDOW: Duration = Duration::from_millis(200);
/// Minimum number of responses in a window.
const MIN_WINDOW_RESPONSES: u32 = 8;
/// Number of consecutive windows near the minimum limit after which the baseline is re-learned.
const RELEARN_WINDOWS: u32 = 10;
/// Multiple of the baseline up to which times count as unchanged, since they vary.
const TOLERANCE: f64 = 2.0;
/// Difference to the baseline, in seconds, up to which times count as unchanged: network and scheduler delays vary by
/// this much without a queue.
const SLACK_S: f64 = 0.002;
/// Factor by which a rejection or a failure shrinks the limit.
pub const LOSS_DECREASE: f64 = 0.9;
/// Smoothing factor with which the limit follows the result of a window.
const SMOOTHING_FACTOR: f64 = 0.3;

/// The learned concurrency limit of one member.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    max: f64,
    in_flight: u32,
    /// Maximum number of requests in flight in this window.
    peak_in_flight: u32,
    /// Lowest mean response time of a window, in seconds; `None` before the first window.
    baseline: Option<f64>,
    windows_near_min: u32,
    /// Sum of the response times in this window, in seconds.
    response_time_sum: f64,
    responses: u32,
    /// Whether a request was rejected or failed in this window.
    had_loss: bool,
    window_start: Duration,
}

impl ConcurrencyLimit {
    /// `max`: the configured maximum in requests, if there is one.
    pub fn new(max: Option<u64>, now: Duration) -> Self {
        let max = max.map_or(f64::from(u16::MAX), |max| max as f64).max(1.0);
        Self {
            limit: INITIAL_LIMIT.min(max),
            max,
            in_flight: 0,
            peak_in_flight: 0,
            baseline: None,
            windows_near_min: 0,
            response_time_sum: 0.0,
            responses: 0,
            had_loss: false,
            window_start: now,
        }
    }

    /// Takes over the state of `before`, within this limit's maximum.
    pub fn carry_over_from(&mut self, before: &Self) {
        let max = self.max;
        *self = Self {
            limit: before.limit.min(max),
            max,
            ..before.clone()
        };
    }

    /// Maximum number of requests in flight; at least 1, so that a member is never excluded permanently.
    pub fn limit(&self) -> u32 {
        (self.limit as u32).max(1)
    }

    /// The member's part of the pool's capacity, in requests; may be less than 1.
    pub fn fractional_limit(&self) -> f64 {
        self.limit
    }

    /// Number of requests in flight.
    pub fn open(&self) -> u32 {
        self.in_flight
    }

    /// Whether another request may be sent.
    pub fn has_capacity(&self) -> bool {
        self.in_flight < self.limit()
    }

    /// Records that a request was sent.
    pub fn on_sent(&mut self) {
        self.in_flight += 1;
        self.peak_in_flight = self.peak_in_flight.max(self.in_flight);
    }

    /// Records the end of a request. `response_time`: `None` unless it succeeded, since a fast failure says nothing
    /// about the time that work takes. `is_loss`: whether it was rejected or failed.
    pub fn on_completed(&mut self, now: Duration, response_time: Option<Duration>, is_loss: bool) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(response_time) = response_time {
            self.response_time_sum += response_time.as_secs_f64();
            self.responses += 1;
        }
        if is_loss && !self.had_loss {
            self.had_loss = true;
            // Failures indicate load less reliably than times do, so they alone do not reduce the limit to its minimum.
            self.limit = (self.limit * LOSS_DECREASE).max(NEAR_MIN_LIMIT.min(self.limit));
        }
        if self.responses >= MIN_WINDOW_RESPONSES
            && now.saturating_sub(self.window_start) >= MIN_WINDOW
        {
            self.end_window(now);
        }
    }

    /// Evaluates a window and starts the next one.
    fn end_window(&mut self, now: Duration) {
        let mean = (self.response_time_sum / f64::from(self.responses)).max(1e-6);
        self.windows_near_min = if self.limit <= 2.0 * NEAR_MIN_LIMIT {
            self.windows_near_min + 1
        } else {
            0
        };
        let relearn = self.windows_near_min >= RELEARN_WINDOWS;
        let baseline = self
            .baseline
            .filter(|_| !relearn)
            .map_or(mean, |baseline| baseline.min(mean));
        self.baseline = Some(baseline);
        let gradient = ((baseline * TOLERANCE).max(baseline + SLACK_S) / mean).clamp(0.5, 1.0);
        if gradient < 1.0 {
            self.limit = self.limit.min(f64::from(self.peak_in_flight) + 1.0);
        }
        let in_use = f64::from(self.peak_in_flight) >= self.limit / 2.0;
        let growth = if in_use && !self.had_loss {
            self.limit.sqrt()
        } else {
            0.0
        };
        let target_limit = self.limit * gradient + growth;
        // A limit that is not in use only shrinks.
        let target_limit = if in_use {
            target_limit
        } else {
            target_limit.min(self.limit)
        };
        self.limit = (self.limit + (target_limit - self.limit) * SMOOTHING_FACTOR)
            .clamp(MIN_LIMIT, self.max);
        (
            self.response_time_sum,
            self.responses,
            self.had_loss,
            self.peak_in_flight,
            self.window_start,
        ) = (0.0, 0, false, self.in_flight, now);
    }
}
