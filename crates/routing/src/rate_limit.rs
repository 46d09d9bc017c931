//! Limits: a rate with a burst (the generic cell rate algorithm) and a concurrency limit. A request is admitted at once
//! or told when to come back; nothing is queued here.
//!
//! Arithmetic is exact: time is counted in nanoseconds times the rate's millionths, so a rate such as
//! 3 tickets/s gains and loses nothing over a year.
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

/// A rate as in the schema, and its burst.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateLimit {
    /// Millionths of a request in each period.
    pub micro_requests: u64,
    /// The period, in ns.
    pub per_ns: u64,
    /// Requests that may arrive at once; at least 1.
    pub burst: u64,
}

impl RateLimit {
    /// What one request costs, in scaled time.
    fn cost(&self) -> u128 {
        u128::from(self.per_ns) * 1_000_000
    }

    /// A time on the scale of this rate.
    fn scaled(&self, time: Duration) -> u128 {
        time.as_nanos() * u128::from(self.micro_requests)
    }
}

/// The rule of one limit; both parts may be absent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitRule {
    /// The rate, if there is one.
    pub pace: Option<RateLimit>,
    /// Requests in flight; 0: no limit.
    pub max_concurrent: u64,
}

impl From<&Limits> for LimitRule {
    fn from(limits: &Limits) -> Self {
        let pace = limits
            .rate
            .filter(|rate| rate.micro_tickets > 0 && rate.per_ns > 0);
        let pace = pace.map(|rate| RateLimit {
            micro_requests: rate.micro_tickets,
            per_ns: rate.per_ns,
            burst: limits.burst.max(1),
        });
        Self {
            pace,
            max_concurrent: limits.at_once,
        }
    }
}

/// The state of one limit at one scope for one key.
#[derive(Clone, Debug, Default)]
pub struct Bucket {
    /// When the full burst will be available again, in scaled time of the current rate.
    full_at: u128,
    /// Admitted requests that have not ended.
    pub in_flight: u64,
}

/// Why a bucket admits no request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitExceeded {
    /// The rate is used up until then.
    RateUntil(Duration),
    /// The concurrency limit is reached; when a request ends is not known here.
    Concurrency,
}

impl Bucket {
    /// Checks whether a request may be admitted now; nothing changes.
    ///
    /// # Errors
    /// Why not, and from when on it may, unless others are admitted first.
    pub fn check(&self, rule: &LimitRule, now: Duration) -> Result<(), LimitExceeded> {
        if rule.max_concurrent > 0 && self.in_flight >= rule.max_concurrent {
            return Err(LimitExceeded::Concurrency);
        }
        let Some(pace) = rule.pace else { return Ok(()) };
        let tolerance = pace.cost() * u128::from(pace.burst.saturating_sub(1));
        let earliest = self.full_at.saturating_sub(tolerance);
        if earliest <= pace.scaled(now) {
            return Ok(());
        }
        let ns = earliest.div_ceil(u128::from(pace.micro_requests.max(1)));
        // 64 bits of nanoseconds are 584 years.
        Err(LimitExceeded::RateUntil(Duration::from_nanos(
            u64::try_from(ns).unwrap_or(u64::MAX),
        )))
    }

    /// Whether no request is in flight and the full burst is available, as in a new bucket.
    pub fn is_idle(&self, rule: &LimitRule, now: Duration) -> bool {
        self.in_flight == 0
            && rule
                .pace
                .is_none_or(|pace| self.full_at <= pace.scaled(now))
    }

    /// Admits a request; the caller checked before.
    pub fn acquire(&mut self, rule: &LimitRule, now: Duration) {
        self.in_flight += 1;
        if let Some(pace) = rule.pace {
            self.full_at = self.full_at.max(pace.scaled(now)) + pace.cost();
        }
    }

    /// Records the end of an admitted request.
    pub fn release(&mut self) {
        debug_assert!(self.in_flight > 0, "more left than came in");
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Converts the state to another rule: the debt stays the same in requests, up to the new burst.
    pub fn set_rules(&mut self, old: &LimitRule, new: &LimitRule, now: Duration) {
        let (Some(from), Some(to)) = (old.pace, new.pace) else {
            self.full_at = 0;
            return;
        };
        if from == to {
            return;
        }
        let owed = self.full_at.saturating_sub(from.scaled(now));
        // Rounded up: a change must not admit more.
        let owed = (owed.saturating_mul(to.cost())).div_ceil(from.cost().max(1));
        let most = to.cost() * u128::from(to.burst);
        self.full_at = to.scaled(now) + owed.min(most);
    }
}
