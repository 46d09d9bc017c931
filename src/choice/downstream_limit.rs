//! The rate of downstream calls, and this node's share of their tier.

use super::shared_constants::{MEAN_SPAN, MIN_SAMPLES, RECENT_SPAN, SAFETY_SHARE};
use crate::decay::{Decaying, Mean, WindowSum};
use crate::host::Outcome;
use crate::in_flight::DownstreamCall;
use crate::options::DownstreamShare;
use std::time::Duration;

/// Downstream calls a second: at least (one probes the tier below), at the start, and at most.
pub(super) const MIN_CALL_RATE: f64 = 1.0;
pub(super) const INITIAL_CALL_RATE: f64 = 16.0;
pub(super) const MAX_CALL_RATE: f64 = 1_000.0;
/// Seconds for which unused calls are saved up: enough for a few requests that come together.
pub(super) const CALL_BURST_S: f64 = 0.25;
/// Calls slower than this many times their usual lower the rate; else it rises.
pub(super) const SLOWDOWN_RATIO: f64 = 2.0;
/// Factors of the call rate at each call: it falls when more than half fail, a failed zone is less.
pub(super) const CALL_RATE_DECREASE: f64 = 0.84;
pub(super) const CALL_RATE_INCREASE: f64 = 1.2;
/// Share of the downstream bound up to which all classes call alike: a tier slows down before it fails.
pub(super) const UNCONTENDED_SHARE: f64 = 0.25;

/// The rate of downstream calls, and this node's share of the load that all nodes put on that tier.
#[derive(Default)]
pub struct DownstreamLimiter {
    pub(super) share: Option<DownstreamShare>,
    pub(super) rate: f64,
    pub(super) tokens: f64,
    pub(super) refilled: Duration,
    pub(super) began: Option<Duration>,
    pub(super) head_start: f64,
    pub(super) recent_time: Mean,
    pub(super) usual_time: Mean,
    pub(super) successes: Decaying,
    pub(super) completions: Decaying,
    pub(super) used: WindowSum,
    pub(super) reserved: Duration,
}

impl DownstreamLimiter {
    /// `share`: this node's share of the tier, where nodes share it.
    pub fn new(share: Option<DownstreamShare>) -> Self {
        let head_start = (1.0 - SAFETY_SHARE) / SAFETY_SHARE;
        Self {
            share,
            rate: INITIAL_CALL_RATE,
            tokens: MIN_CALL_RATE,
            head_start,
            ..Self::default()
        }
    }

    /// How long a call made now may take, if one may. Guards against nodes that together load what they share
    /// past what it survives, be it slow, cold, dead or crowded: what calls held there in the window, and the
    /// most that those in progress may still hold, stay under this node's share of the mean, now and later.
    pub(super) fn time_limit(&mut self, now: Duration) -> Option<Duration> {
        let since = now.saturating_sub(self.refilled).as_secs_f64();
        self.tokens = (self.tokens + since * self.rate).min((self.rate * CALL_BURST_S).max(1.0));
        self.refilled = now;
        let longest = self.share.map_or(Some(Duration::MAX), |share| {
            self.used.expire(now, share.window);
            let budget = share.window.mul_f64(share.concurrency * SAFETY_SHARE);
            // A restarted node knows nothing of what the one before held; that leaves the window as it ages.
            let age = now
                .saturating_sub(*self.began.get_or_insert(now))
                .as_secs_f64();
            let grown = (self.head_start + age / share.window.as_secs_f64()).min(1.0);
            let held = self.used.read() + self.reserved;
            let left = budget
                .mul_f64(grown)
                .saturating_sub(held)
                .checked_sub(share.linger)?;
            // One call takes no more than half of the budget, unless calls are that slow.
            let likely =
                Duration::from_secs_f64(self.recent_time.read().unwrap_or(0.0) * SLOWDOWN_RATIO);
            let most = likely
                .max(budget / 2)
                .min(budget)
                .saturating_sub(share.linger);
            // Until one succeeds while the node is young, a call that its age cuts short would only fail.
            let least = if grown < 1.0 && likely.is_zero() {
                most / 2
            } else {
                likely.min(most)
            };
            (left >= least)
                .then_some(left.min(most))
                .filter(|limit| !limit.is_zero())
        });
        longest.filter(|_| self.tokens >= 1.0 && (self.reserved.is_zero() || self.is_uncontended()))
    }

    /// Whether at most a quarter of this node's share is in use: the tier slows down well before it fails.
    pub(super) fn is_uncontended(&self) -> bool {
        let Some(share) = self.share else { return true };
        let bound = share
            .window
            .mul_f64(share.concurrency * SAFETY_SHARE * UNCONTENDED_SHARE);
        self.used.read() + self.reserved <= bound
    }

    pub(super) fn on_call_started(&mut self, call: DownstreamCall) {
        self.tokens -= 1.0;
        self.reserved += self
            .share
            .map_or(Duration::ZERO, |share| call.time_limit() + share.linger);
    }

    /// A call returned, or was cancelled and may linger downstream.
    pub(super) fn on_call_ended(&mut self, now: Duration, call: DownstreamCall, outcome: Outcome) {
        let took = now.saturating_sub(call.started);
        if let Some(share) = self.share {
            self.reserved = self
                .reserved
                .saturating_sub(call.time_limit() + share.linger);
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
        // Guards against a rate that feeds on itself: a call without time proves nothing, a success does.
        let usual = self.usual_time.read().unwrap_or(0.0);
        if outcome != Outcome::Cancelled && (outcome != Outcome::TimedOut || took >= usual) {
            self.adapt_rate(now, outcome, usual);
        }
    }

    /// Raises or lowers the rate of calls after one whose outcome shows how the tier does.
    pub(super) fn adapt_rate(&mut self, now: Duration, outcome: Outcome, usual_time: f64) {
        let slowed = self.recent_time.read().unwrap_or(0.0) > SLOWDOWN_RATIO * usual_time;
        let good = outcome == Outcome::Succeeded && !slowed;
        let factor = if good {
            CALL_RATE_INCREASE
        } else {
            CALL_RATE_DECREASE
        };
        let span = RECENT_SPAN.as_secs_f64();
        let succeeding = self.successes.read(now, RECENT_SPAN) / span * CALL_RATE_DECREASE;
        // Hundreds of nodes at one call a second each may be far more than a slow tier can do.
        let min = self.share.map_or(MIN_CALL_RATE, |s| {
            MIN_CALL_RATE.min(s.window.as_secs_f64().recip())
        });
        // A rate that never bound is no measure of the tier: failures lower what was really made.
        let made = self.completions.read(now, RECENT_SPAN);
        let binds = factor < 1.0 && made >= MIN_SAMPLES / 2.0;
        let rate = if binds {
            self.rate.min(made / span * SLOWDOWN_RATIO)
        } else {
            self.rate
        };
        self.rate = (rate * factor).clamp(succeeding.clamp(min, MAX_CALL_RATE), MAX_CALL_RATE);
    }
}
