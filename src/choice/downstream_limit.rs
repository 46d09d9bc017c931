//! How many downstream calls this node makes, and how long each may take.
//!
//! **The rate** (calls per second) bounds every call. A call that succeeds while recent calls take no more than
//! [`SLOWDOWN_RATIO`] times their usual time multiplies the rate by [`CALL_RATE_INCREASE`]; a call that fails, or ends
//! while recent calls are slower, multiplies it by [`CALL_RATE_DECREASE`]. A decrease starts from at most
//! [`SLOWDOWN_RATIO`] times the rate of calls that ended recently, and never goes below [`CALL_RATE_DECREASE`] times
//! the rate of recent successes. A call that was cancelled, or timed out in less time than a usual call takes, does
//! not change the rate.
//!
//! **The share** applies where the nodes of a fleet share the tier. It is this node's part of the calls that may
//! occupy the tier concurrently, as a mean over a window. The budget is [`SAFETY_SHARE`] of it, and less after a start
//! ([`startup`](super::startup)). The time that this node's calls occupied in the window, the most that calls in
//! progress may still occupy, and the linger of cancelled calls stay within the budget in every window, whatever the
//! outcomes of the calls. One call gets at most half of the budget, unless recent calls are slower than that. No call
//! is made if the budget leaves it less than [`SLOWDOWN_RATIO`] times the time of recent calls, because it would only
//! fail. Above [`UNCONTENDED_SHARE`] of the budget, calls are made one at a time.
//!
//! Inputs: the share's concurrency (calls), window and linger (time, settings); starts and ends of calls. Not in
//! KIP-124.

use super::shared_constants::{MEAN_SPAN, RECENT_SPAN, SAFETY_SHARE};
use super::startup::BudgetRamp;
use crate::decay::{Decaying, Mean, WindowSum};
use crate::host::Outcome;
use crate::in_flight::DownstreamCall;
use crate::options::DownstreamShare;
use std::time::Duration;

/// Lowest rate, in calls per second: one call still probes the tier.
const MIN_CALL_RATE: f64 = 1.0;
/// Rate at the start, in calls per second.
const INITIAL_CALL_RATE: f64 = 16.0;
/// Highest rate, in calls per second.
const MAX_CALL_RATE: f64 = 1_000.0;
/// Maximum burst of the token bucket, in seconds of the rate.
const CALL_BURST_S: f64 = 0.25;
/// Multiple of their usual time above which calls count as slow.
const SLOWDOWN_RATIO: f64 = 2.0;
/// Factor applied to the rate when a call fails or calls are slow.
const CALL_RATE_DECREASE: f64 = 0.84;
/// Factor applied to the rate when any other call ends. With [`CALL_RATE_DECREASE`], the rate falls if more than half
/// of the calls fail.
const CALL_RATE_INCREASE: f64 = 1.2;
/// Weight of recent calls from which they are enough to measure the rate of calls.
const MIN_RECENT_CALLS: f64 = 2.0;
/// Share of the budget up to which calls may be concurrent: a tier slows down well before it fails.
const UNCONTENDED_SHARE: f64 = 0.25;

/// The rate of downstream calls, and this node's share of the load that all nodes put on that tier.
#[derive(Default)]
pub struct DownstreamLimiter {
    share: Option<DownstreamShare>,
    ramp: BudgetRamp,
    /// Calls per second.
    rate: f64,
    /// Tokens in the bucket at time `refilled`; a call takes one.
    tokens: f64,
    refilled: Duration,
    /// Mean time of successful calls over [`RECENT_SPAN`], in seconds.
    recent_time: Mean,
    /// Mean time of successful calls over [`MEAN_SPAN`], in seconds.
    usual_time: Mean,
    successes: Decaying,
    completions: Decaying,
    /// Time for which ended calls occupied the tier in the window, linger included.
    used: WindowSum,
    /// The most time for which calls in progress may still occupy the tier, linger included.
    reserved: Duration,
}

impl DownstreamLimiter {
    /// The limiter of a node that may have had a predecessor on its machine. `share`: this node's share of the tier,
    /// if nodes share it.
    pub fn new(share: Option<DownstreamShare>) -> Self {
        Self {
            share,
            ramp: BudgetRamp::after_predecessor(),
            rate: INITIAL_CALL_RATE,
            tokens: MIN_CALL_RATE,
            ..Self::default()
        }
    }

    /// The limiter of the first node on its machine: no predecessor's calls can occupy the tier, so the node may use
    /// its whole budget immediately. `share` as in [`DownstreamLimiter::new`].
    pub fn without_predecessor(share: Option<DownstreamShare>) -> Self {
        Self {
            ramp: BudgetRamp::without_predecessor(),
            ..Self::new(share)
        }
    }

    /// Takes over the share of `new`. `calling`: number of calls in progress; `time_limits`: sum of their time limits.
    /// The reservation is recomputed from both, because the tier may become shared or unshared.
    pub(super) fn set_share(&mut self, new: &Self, calling: usize, time_limits: Duration) {
        self.share = new.share;
        self.reserved = self.share.map_or(Duration::ZERO, |share| {
            time_limits + share.linger * calling as u32
        });
    }

    /// The usual time of a call; zero before the first success.
    pub(super) fn usual_call(&self) -> Duration {
        Duration::from_secs_f64(self.usual_time.read().unwrap_or(0.0))
    }

    /// How long a call made now may take; `None` if no call may be made.
    pub(super) fn time_limit(&mut self, now: Duration) -> Option<Duration> {
        self.refill(now);
        let limit = match self.share {
            Some(share) => self.time_limit_by_share(now, share),
            None => Some(Duration::MAX),
        };
        let is_free = self.reserved.is_zero() || self.is_uncontended();
        limit.filter(|_| self.tokens >= 1.0 && is_free)
    }

    fn refill(&mut self, now: Duration) {
        let since = now.saturating_sub(self.refilled).as_secs_f64();
        let max_tokens = (self.rate * CALL_BURST_S).max(1.0);
        self.tokens = (self.tokens + since * self.rate).min(max_tokens);
        self.refilled = now;
    }

    fn time_limit_by_share(&mut self, now: Duration, share: DownstreamShare) -> Option<Duration> {
        self.used.expire(now, share.window);
        let budget = share.window.mul_f64(share.concurrency * SAFETY_SHARE);
        let usable = self.ramp.usable(now, share.window);
        let held = self.used.read() + self.reserved;
        let left = budget
            .mul_f64(usable)
            .saturating_sub(held)
            .checked_sub(share.linger)?;
        let slow_call =
            Duration::from_secs_f64(self.recent_time.read().unwrap_or(0.0) * SLOWDOWN_RATIO);
        let most = slow_call
            .max(budget / 2)
            .min(budget)
            .saturating_sub(share.linger);
        // While the budget grows and no call has succeeded yet, the usual time is unknown: a call with a short limit
        // would only fail.
        let least = if usable < 1.0 && slow_call.is_zero() {
            most / 2
        } else {
            slow_call.min(most)
        };
        let limit = left.min(most);
        (left >= least && !limit.is_zero()).then_some(limit)
    }

    /// Whether so little of the budget is in use that no class has to be preferred.
    pub(super) fn is_uncontended(&self) -> bool {
        let Some(share) = self.share else { return true };
        let bound = share
            .window
            .mul_f64(share.concurrency * SAFETY_SHARE * UNCONTENDED_SHARE);
        self.used.read() + self.reserved <= bound
    }

    /// Records the start of a call: takes a token, and reserves the most time that the call may occupy the tier.
    pub(super) fn on_call_started(&mut self, call: DownstreamCall) {
        self.tokens -= 1.0;
        self.reserved += self.reservation(call);
    }

    /// Records the end of a call; one that was cancelled may linger downstream.
    pub(super) fn on_call_ended(&mut self, now: Duration, call: DownstreamCall, outcome: Outcome) {
        let took = now.saturating_sub(call.started);
        if let Some(share) = self.share {
            self.reserved = self.reserved.saturating_sub(self.reservation(call));
            let linger = if outcome.may_still_run() {
                share.linger
            } else {
                Duration::ZERO
            };
            self.used.add(now + linger, took + linger);
        }
        let took = took.as_secs_f64();
        self.completions.add(now, 1.0, RECENT_SPAN);
        if outcome == Outcome::Succeeded {
            self.successes.add(now, 1.0, RECENT_SPAN);
            self.recent_time.add(now, took, RECENT_SPAN);
            self.usual_time.add(now, took, MEAN_SPAN);
        }
        let usual = self.usual_time.read().unwrap_or(0.0);
        let had_time = outcome != Outcome::TimedOut || took >= usual;
        if outcome != Outcome::Cancelled && had_time {
            self.adapt_rate(now, outcome, usual);
        }
    }

    /// The most time for which a call may occupy the tier, linger included; zero if nodes do not share the tier.
    fn reservation(&self, call: DownstreamCall) -> Duration {
        self.share
            .map_or(Duration::ZERO, |share| call.time_limit() + share.linger)
    }

    /// Raises or lowers the rate after a call whose outcome shows the state of the tier.
    fn adapt_rate(&mut self, now: Duration, outcome: Outcome, usual_time: f64) {
        let slowed = self.recent_time.read().unwrap_or(0.0) > SLOWDOWN_RATIO * usual_time;
        let good = outcome == Outcome::Succeeded && !slowed;
        let factor = if good {
            CALL_RATE_INCREASE
        } else {
            CALL_RATE_DECREASE
        };
        let span = RECENT_SPAN.as_secs_f64();
        let succeeding = self.successes.read(now, RECENT_SPAN) / span * CALL_RATE_DECREASE;
        // A rate that did not limit the calls is no measure of the tier: failures lower the rate of calls made.
        let made = self.completions.read(now, RECENT_SPAN);
        let rate = if !good && made >= MIN_RECENT_CALLS {
            self.rate.min(made / span * SLOWDOWN_RATIO)
        } else {
            self.rate
        };
        let least = succeeding.clamp(self.min_rate(), MAX_CALL_RATE);
        self.rate = (rate * factor).clamp(least, MAX_CALL_RATE);
    }

    /// The lowest rate: lower on a shared tier, which many nodes with one call per second each could overload.
    fn min_rate(&self) -> f64 {
        self.share.map_or(MIN_CALL_RATE, |share| {
            MIN_CALL_RATE.min(share.window.as_secs_f64().recip())
        })
    }
}
