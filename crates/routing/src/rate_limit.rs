//! Limits: a rate with a burst (the generic cell rate algorithm) and a number at once. A request is let in
//! at once or told an honest time to come back; nothing waits here.
//!
//! Arithmetic is exact: time is counted in nanoseconds times the rate's millionths, so a rate such as
//! 3 tickets/s gains and loses nothing over a year.
//!
//! Invariant of a [`Bucket`]: in any window of length L it lets in at most burst + rate * L requests.

use rainstand_config::schema::Limits;
use std::time::Duration;

/// A rate as the schema has it: `micro` millionths of a request in each `per` ns; and what may come at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateLimit {
    pub micro_requests: u64,
    pub per_ns: u64,
    /// Requests; at least 1.
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

/// What limits say at one place; both may be absent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitRule {
    pub pace: Option<RateLimit>,
    /// Requests at once; 0: no limit.
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

/// The state of one limit at one place for one key.
#[derive(Clone, Debug, Default)]
pub struct Bucket {
    /// When the burst will be whole again, in scaled time of the present pace.
    full_at: u128,
    /// Requests let in that have not ended.
    pub in_flight: u64,
}

/// Why a bucket lets nothing in now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitExceeded {
    /// The rate is used up until then.
    RateUntil(Duration),
    /// As many as may be are inside; when one leaves is not known here.
    Concurrency,
}

impl Bucket {
    /// Whether a request may come in now; nothing changes.
    ///
    /// # Errors
    /// Why not, and from when on it may, unless others use the room first.
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

    /// Nobody is inside and the burst is whole: it is as one that was never used.
    pub fn is_idle(&self, rule: &LimitRule, now: Duration) -> bool {
        self.in_flight == 0
            && rule
                .pace
                .is_none_or(|pace| self.full_at <= pace.scaled(now))
    }

    /// Lets one in; the caller looked before.
    pub fn acquire(&mut self, rule: &LimitRule, now: Duration) {
        self.in_flight += 1;
        if let Some(pace) = rule.pace {
            self.full_at = self.full_at.max(pace.scaled(now)) + pace.cost();
        }
    }

    /// One that was let in is over.
    pub fn release(&mut self) {
        debug_assert!(self.in_flight > 0, "more left than came in");
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// The same state under another rule: requests that are owed stay owed, in requests, up to the new burst.
    pub fn set_rules(&mut self, old: &LimitRule, new: &LimitRule, now: Duration) {
        let (Some(from), Some(to)) = (old.pace, new.pace) else {
            self.full_at = 0;
            return;
        };
        if from == to {
            return;
        }
        let owed = self.full_at.saturating_sub(from.scaled(now));
        // Rounded up: a change must not let more through.
        let owed = (owed.saturating_mul(to.cost())).div_ceil(from.cost().max(1));
        let most = to.cost() * u128::from(to.burst);
        self.full_at = to.scaled(now) + owed.min(most);
    }
}
