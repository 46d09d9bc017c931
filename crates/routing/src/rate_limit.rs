//! Limits: a rate with a burst (the generic cell rate algorithm) and a concurrency limit. A request is admitted or
//! rejected immediately, with a time to retry after if the rate is exceeded; nothing is queued here.
//!
//! Arithmetic is exact: time is scaled to nanoseconds times the millionths of a request in the rate, so a rate such as
//! 3 requests/s has no rounding error even over a year.
//!
//! Invariant of a [`Bucket`]: in any window of length L it admits at most burst + rate * L requests.

use rainstand_config::schema::Limits;
use std::time::Duration;

/// What a limit applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LimitScope {
    /// A request class.
    Type,
    /// A tenant.
    Tenant,
    /// A route.
    Route,
    /// A pool.
    Pool,
}

/// A rate, as in the configuration schema, with a burst.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateLimit {
    /// Millionths of a request per period.
    pub micro_requests: u64,
    /// The period, in nanoseconds.
    pub per_ns: u64,
    /// Maximum number of requests at the same time; at least 1.
    pub burst: u64,
}

impl RateLimit {
    /// Cost of one request, in scaled time.
    fn cost(&self) -> u128 {
        u128::from(self.per_ns) * 1_000_000
    }

    /// Converts a time to the scale of this rate.
    fn scaled(&self, time: Duration) -> u128 {
        time.as_nanos() * u128::from(self.micro_requests)
    }
}

/// The settings of one limit; both parts are optional.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitRule {
    /// The rate, if there is one.
    pub rate: Option<RateLimit>,
    /// Maximum number of requests in flight; 0: no limit.
    pub max_concurrent: u64,
}

impl From<&Limits> for LimitRule {
    fn from(limits: &Limits) -> Self {
        let rate = limits
            .rate
            .filter(|rate| rate.micro_tickets > 0 && rate.per_ns > 0);
        let rate = rate.map(|rate| RateLimit {
            micro_requests: rate.micro_tickets,
            per_ns: rate.per_ns,
            burst: limits.burst.max(1),
        });
        Self {
            rate,
            max_concurrent: limits.at_once,
        }
    }
}

/// The state of one limit for one scope and key.
#[derive(Clone, Debug, Default)]
pub struct Bucket {
    /// When the full burst is available again, in scaled time of the current rate.
    full_at: u128,
    /// Admitted requests that have not ended.
    pub in_flight: u64,
}

/// Why a bucket admits no request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitExceeded {
    /// The rate is exceeded; holds the time from which on a request may be admitted.
    RateUntil(Duration),
    /// The concurrency limit is reached; when a request will end is not known here.
    Concurrency,
}

impl Bucket {
    /// Checks whether a request may be admitted now, without changing anything.
    ///
    /// # Errors
    /// The limit that is exceeded, and for a rate the time from which on a request may be admitted, unless others are
    /// admitted first.
    pub fn check(&self, rule: &LimitRule, now: Duration) -> Result<(), LimitExceeded> {
        if rule.max_concurrent > 0 && self.in_flight >= rule.max_concurrent {
            return Err(LimitExceeded::Concurrency);
        }
        let Some(rate) = rule.rate else { return Ok(()) };
        let tolerance = rate.cost() * u128::from(rate.burst.saturating_sub(1));
        let earliest = self.full_at.saturating_sub(tolerance);
        if earliest <= rate.scaled(now) {
            return Ok(());
        }
        let ns = earliest.div_ceil(u128::from(rate.micro_requests.max(1)));
        // 64 bits of nanoseconds are 584 years.
        Err(LimitExceeded::RateUntil(Duration::from_nanos(
            u64::try_from(ns).unwrap_or(u64::MAX),
        )))
    }

    /// Whether no request is in flight and the full burst is available, as in a new bucket.
    pub fn is_idle(&self, rule: &LimitRule, now: Duration) -> bool {
        self.in_flight == 0
            && rule
                .rate
                .is_none_or(|rate| self.full_at <= rate.scaled(now))
    }

    /// Admits a request; [`Bucket::check`] must have succeeded before.
    pub fn acquire(&mut self, rule: &LimitRule, now: Duration) {
        self.in_flight += 1;
        if let Some(rate) = rule.rate {
            self.full_at = self.full_at.max(rate.scaled(now)) + rate.cost();
        }
    }

    /// Records the end of an admitted request.
    pub fn release(&mut self) {
        debug_assert!(self.in_flight > 0, "released more requests than acquired");
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Converts the state to another rule. The debt, which is the used part of the burst, stays the same
    /// in requests, up to the new burst.
    pub fn set_rules(&mut self, old: &LimitRule, new: &LimitRule, now: Duration) {
        let (Some(old_rate), Some(new_rate)) = (old.rate, new.rate) else {
            self.full_at = 0;
            return;
        };
        if old_rate == new_rate {
            return;
        }
        let debt = self.full_at.saturating_sub(old_rate.scaled(now));
        // Rounded up, so that a change never admits extra requests.
        let debt = (debt.saturating_mul(new_rate.cost())).div_ceil(old_rate.cost().max(1));
        let max_debt = new_rate.cost() * u128::from(new_rate.burst);
        self.full_at = new_rate.scaled(now) + debt.min(max_debt);
    }
}
