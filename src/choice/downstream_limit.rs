//! How many downstream calls this node makes, and how long each may take.
//!
//! **The rate** (calls a second) holds for every call. A call that succeeds while recent calls take no more than
//! [`SLOWDOWN_RATIO`] times their usual time raises it by the factor [`CALL_RATE_INCREASE`]; one that fails, or
//! comes while they are slower, lowers it by [`CALL_RATE_DECREASE`]. It falls from at most
//! [`SLOWDOWN_RATIO`] times the calls that really ended lately, and never below [`CALL_RATE_DECREASE`] times those
//! that succeeded. A call that was cancelled, or timed out with less time than a usual call takes, proves nothing.
//!
//! **The share** holds where the nodes of a fleet share the tier: this node's part of the calls that may be held
//! there at once, in the mean over a window. What its calls held in the window, what those in progress may still
//! hold at most, and what a cancelled call lingers stay under [`SAFETY_SHARE`] of it, in every window and whatever
//! becomes of the calls; after a start under less ([`startup`](super::startup)). One call gets at most half of this
//! budget, unless recent calls are that slow; none is made that the budget leaves less than [`SLOWDOWN_RATIO`]
//! recent calls' time, as it would only fail. Past [`UNCONTENDED_SHARE`] of the budget calls are made one at a
//! time.
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

/// Least rate, in calls a second: one probes the tier.
const MIN_CALL_RATE: f64 = 1.0;
/// Rate at the start, in calls a second.
const INITIAL_CALL_RATE: f64 = 16.0;
/// Highest rate, in calls a second.
const MAX_CALL_RATE: f64 = 1_000.0;
/// Seconds for which unused calls are saved up.
const CALL_BURST_S: f64 = 0.25;
/// Times their usual time from which calls count as slow.
const SLOWDOWN_RATIO: f64 = 2.0;
/// Factor of the rate at a call that fails or is slow.
const CALL_RATE_DECREASE: f64 = 0.84;
/// Factor of the rate at any other call. With the decrease, the rate falls when more than half of the calls fail.
const CALL_RATE_INCREASE: f64 = 1.2;
/// Weight of recent calls from which their number is a measure of the rate.
const MIN_RECENT_CALLS: f64 = 2.0;
/// Share of the budget up to which calls are made freely: a tier slows down well before it fails.
const UNCONTENDED_SHARE: f64 = 0.25;

/// The rate of downstream calls, and this node's share of the load that all nodes put on that tier.
#[derive(Default)]
pub struct DownstreamLimiter {
    share: Option<DownstreamShare>,
    ramp: BudgetRamp,
    /// Calls a second.
    rate: f64,
    /// Calls that may be made at once by the rate, as of `refilled`.
    tokens: f64,
    refilled: Duration,
    /// Time of a successful call, in seconds.
    recent_time: Mean,
    /// The same over a longer span.
    usual_time: Mean,
    successes: Decaying,
    completions: Decaying,
    /// Time that calls held at the tier in the window, lingering included.
    used: WindowSum,
    /// The most that the calls in progress may still hold.
    reserved: Duration,
}

impl DownstreamLimiter {
    /// Of a node that may have had a predecessor on its machine. `share`: this node's share of the tier, where
    /// nodes share it.
    pub fn new(share: Option<DownstreamShare>) -> Self {
        Self {
            share,
            ramp: BudgetRamp::after_predecessor(),
            rate: INITIAL_CALL_RATE,
            tokens: MIN_CALL_RATE,
            ..Self::default()
        }
    }

    /// Of the first node on its machine: nothing that this one does not know of is held downstream, so it has its
    /// whole share at once. `share` as in [`DownstreamLimiter::new`].
    pub fn without_predecessor(share: Option<DownstreamShare>) -> Self {
        Self {
            ramp: BudgetRamp::without_predecessor(),
            ..Self::new(share)
        }
    }

    /// Takes the share of `new`. `calling`: number of calls in progress; `time_limits`: the most that they may
    /// take together. Both are reserved anew, for a tier that becomes shared or unshared.
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

    /// How long a call made now may take; `None` if none may be made.
    pub(super) fn time_limit(&mut self, now: Duration) -> Option<Duration> {
        self.refill(now);
        let longest = match self.share {
            Some(share) => self.time_limit_by_share(now, share),
            None => Some(Duration::MAX),
        };
        let is_free = self.reserved.is_zero() || self.is_uncontended();
        longest.filter(|_| self.tokens >= 1.0 && is_free)
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
        // Until one succeeds while the budget grows, a call that the growth cuts short would only fail.
        let least = if usable < 1.0 && slow_call.is_zero() {
            most / 2
        } else {
            slow_call.min(most)
        };
        let limit = left.min(most);
        (left >= least && !limit.is_zero()).then_some(limit)
    }

    /// Whether so little of the budget is in use that all classes may call alike.
    pub(super) fn is_uncontended(&self) -> bool {
        let Some(share) = self.share else { return true };
        let bound = share
            .window
            .mul_f64(share.concurrency * SAFETY_SHARE * UNCONTENDED_SHARE);
        self.used.read() + self.reserved <= bound
    }

    /// A call is made: takes a token, and reserves the most that the call may hold.
    pub(super) fn on_call_started(&mut self, call: DownstreamCall) {
        self.tokens -= 1.0;
        self.reserved += self.reservation(call);
    }

    /// A call returned, or was cancelled and may linger downstream.
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

    /// The most that a call may hold at the tier; nothing where nodes do not share it.
    fn reservation(&self, call: DownstreamCall) -> Duration {
        self.share
            .map_or(Duration::ZERO, |share| call.time_limit() + share.linger)
    }

    /// Raises or lowers the rate after a call whose outcome shows how the tier does.
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
        // A rate that never bound is no measure of the tier: failures lower what was really made.
        let made = self.completions.read(now, RECENT_SPAN);
        let rate = if !good && made >= MIN_RECENT_CALLS {
            self.rate.min(made / span * SLOWDOWN_RATIO)
        } else {
            self.rate
        };
        let least = succeeding.clamp(self.min_rate(), MAX_CALL_RATE);
        self.rate = (rate * factor).clamp(least, MAX_CALL_RATE);
    }

    /// The least rate: lower on a shared tier, for which many nodes at one call a second each may be too much.
    fn min_rate(&self) -> f64 {
        self.share.map_or(MIN_CALL_RATE, |share| {
            MIN_CALL_RATE.min(share.window.as_secs_f64().recip())
        })
    }
}
