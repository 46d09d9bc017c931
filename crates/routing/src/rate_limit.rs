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

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    fn ms(n: u64) -> Duration {
        Duration::from_millis(n)
    }

    fn rule(micro: u64, per: u64, burst: u64) -> LimitRule {
        LimitRule {
            pace: Some(RateLimit {
                micro_requests: micro,
                per_ns: per,
                burst,
            }),
            max_concurrent: 0,
        }
    }

    #[test]
    fn a_third_of_a_second_is_exact() {
        let rule = rule(3_000_000, 1_000_000_000, 1);
        let mut bucket = Bucket::default();
        bucket.acquire(&rule, ms(0));
        assert_eq!(
            bucket.check(&rule, ms(0)),
            Err(LimitExceeded::RateUntil(Duration::from_nanos(333_333_334)))
        );
        let mut in_an_hour = 1;
        for n in 1..3_600_000 {
            if bucket.check(&rule, ms(n)).is_ok() {
                bucket.acquire(&rule, ms(n));
                in_an_hour += 1;
            }
        }
        // Each comes on the first millisecond after its third, which loses 2/3 ms on two of three.
        assert!((10_769..=10_800).contains(&in_an_hour), "{in_an_hour}");
    }

    #[test]
    fn at_once_counts_those_inside() {
        let rule = LimitRule {
            pace: None,
            max_concurrent: 2,
        };
        let mut bucket = Bucket::default();
        bucket.acquire(&rule, ms(1));
        bucket.acquire(&rule, ms(1));
        assert_eq!(bucket.check(&rule, ms(9)), Err(LimitExceeded::Concurrency));
        bucket.release();
        assert_eq!(bucket.check(&rule, ms(9)), Ok(()));
    }

    #[test]
    fn a_change_of_rate_keeps_what_is_owed() {
        let (slow, fast) = (
            rule(1_000_000, 1_000_000_000, 4),
            rule(10_000_000, 1_000_000_000, 4),
        );
        let mut bucket = Bucket::default();
        for _ in 0..4 {
            bucket.acquire(&slow, ms(500));
        }
        bucket.set_rules(&slow, &fast, ms(500));
        assert_eq!(
            bucket.check(&fast, ms(500)),
            Err(LimitExceeded::RateUntil(ms(600)))
        );
        bucket.set_rules(&fast, &slow, ms(500));
        assert_eq!(
            bucket.check(&slow, ms(500)),
            Err(LimitExceeded::RateUntil(ms(1_500)))
        );
    }

    proptest! {
        #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(16), failure_persistence: None, ..ProptestConfig::default() })]

        /// Random arrivals: in no window more than rate * length + burst; and a told time holds.
        #[test]
        fn never_more_than_rate_and_burst(
            micro in 1u64..50_000_000,
            per in proptest::sample::select(vec![1_000_000_000u64, 60_000_000_000]),
            burst in 1u64..6,
            gaps in proptest::collection::vec(0u64..400_000_000, 1..120),
        ) {
            let rule = rule(micro, per, burst);
            let mut bucket = Bucket::default();
            let mut now = Duration::from_secs(3);
            let mut let_in: Vec<u128> = Vec::new();
            for gap in gaps {
                now += Duration::from_nanos(gap);
                match bucket.check(&rule, now) {
                    Ok(()) => {
                        bucket.acquire(&rule, now);
                        let_in.push(now.as_nanos());
                    }
                    Err(LimitExceeded::RateUntil(then)) => {
                        prop_assert!(then > now);
                        prop_assert!(bucket.check(&rule, then).is_ok());
                        prop_assert!(bucket.check(&rule, then - Duration::from_nanos(1)).is_err());
                    }
                    Err(LimitExceeded::Concurrency) => prop_assert!(false),
                }
            }
            for (k, from) in let_in.iter().enumerate() {
                for (n, to) in let_in[k..].iter().enumerate() {
                    let count = n as u128 + 1;
                    // count <= burst + rate * length, times 1e6 * per to stay whole.
                    let room = u128::from(burst) * 1_000_000 * u128::from(per) + (to - from) * u128::from(micro);
                    prop_assert!(count * 1_000_000 * u128::from(per) <= room);
                }
            }
        }

        /// However rates change, nobody gains a burst by it.
        #[test]
        fn changes_let_no_more_through(rates in proptest::collection::vec(1u64..20_000_000, 1..20)) {
            let second = 1_000_000_000;
            let mut rule_now = rule(20_000_000, second, 3);
            let mut bucket = Bucket::default();
            let (mut now, mut count) = (ms(0), 0u64);
            for micro in rates {
                while bucket.check(&rule_now, now).is_ok() {
                    bucket.acquire(&rule_now, now);
                    count += 1;
                }
                let next = rule(micro, second, 3);
                bucket.set_rules(&rule_now, &next, now);
                rule_now = next;
                now += ms(50);
            }
            // At the highest rate of all, 20 a second, with one burst.
            prop_assert!(count <= 3 + now.as_millis() as u64 / 50);
        }
    }
}
