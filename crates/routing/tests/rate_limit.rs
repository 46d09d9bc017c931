//! Rate and concurrency limits: exact arithmetic, bounds, and changes of a rate.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rainstand_routing::rate_limit::*;
use std::time::Duration;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn rule(micro: u64, period_ns: u64, burst: u64) -> LimitRule {
    LimitRule {
        rate: Some(RateLimit {
            micro_requests: micro,
            per_ns: period_ns,
            burst,
        }),
        max_concurrent: 0,
    }
}

#[test]
fn rate_of_three_per_second_is_exact() {
    let rule = rule(3_000_000, 1_000_000_000, 1);
    let mut bucket = Bucket::default();
    bucket.acquire(&rule, ms(0));
    assert_eq!(
        bucket.check(&rule, ms(0)),
        Err(LimitExceeded::RateUntil(Duration::from_nanos(333_333_334)))
    );
    let mut in_one_hour = 1;
    for n in 1..3_600_000 {
        if bucket.check(&rule, ms(n)).is_ok() {
            bucket.acquire(&rule, ms(n));
            in_one_hour += 1;
        }
    }
    // Each request arrives in the first full millisecond after its third of a second, so up to 2/3 ms are lost for two
    // of three requests.
    assert!((10_769..=10_800).contains(&in_one_hour), "{in_one_hour}");
}

#[test]
fn concurrency_limit_counts_requests_in_flight() {
    let rule = LimitRule {
        rate: None,
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
fn rate_change_keeps_the_debt_in_requests() {
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

    /// With random arrivals, no window admits more than rate * length + burst, and a retry time is exact.
    #[test]
    fn no_window_admits_more_than_rate_and_burst(
        micro in 1u64..50_000_000,
        period_ns in proptest::sample::select(vec![1_000_000_000u64, 60_000_000_000]),
        burst in 1u64..6,
        gaps_ns in proptest::collection::vec(0u64..400_000_000, 1..120),
    ) {
        let rule = rule(micro, period_ns, burst);
        let mut bucket = Bucket::default();
        let mut now = Duration::from_secs(3);
        let mut admitted_ns: Vec<u128> = Vec::new();
        for gap_ns in gaps_ns {
            now += Duration::from_nanos(gap_ns);
            match bucket.check(&rule, now) {
                Ok(()) => {
                    bucket.acquire(&rule, now);
                    admitted_ns.push(now.as_nanos());
                }
                Err(LimitExceeded::RateUntil(until)) => {
                    prop_assert!(until > now);
                    prop_assert!(bucket.check(&rule, until).is_ok());
                    prop_assert!(bucket.check(&rule, until - Duration::from_nanos(1)).is_err());
                }
                Err(LimitExceeded::Concurrency) => prop_assert!(false),
            }
        }
        for (k, from) in admitted_ns.iter().enumerate() {
            for (n, to) in admitted_ns[k..].iter().enumerate() {
                let count = n as u128 + 1;
                // count <= burst + rate * length, multiplied by 1e6 * period_ns to use integers.
                let allowed = u128::from(burst) * 1_000_000 * u128::from(period_ns) + (to - from) * u128::from(micro);
                prop_assert!(count * 1_000_000 * u128::from(period_ns) <= allowed);
            }
        }
    }

    /// No sequence of rate changes admits an extra burst.
    #[test]
    fn rate_changes_admit_no_extra_requests(rates in proptest::collection::vec(1u64..20_000_000, 1..20)) {
        let second_ns = 1_000_000_000;
        let mut current_rule = rule(20_000_000, second_ns, 3);
        let mut bucket = Bucket::default();
        let (mut now, mut count) = (ms(0), 0u64);
        for micro in rates {
            while bucket.check(&current_rule, now).is_ok() {
                bucket.acquire(&current_rule, now);
                count += 1;
            }
            let next_rule = rule(micro, second_ns, 3);
            bucket.set_rules(&current_rule, &next_rule, now);
            current_rule = next_rule;
            now += ms(50);
        }
        // The highest rate, 20 per second, with one burst.
        prop_assert!(count <= 3 + now.as_millis() as u64 / 50);
    }
}
