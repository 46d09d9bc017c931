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

fn rule(micro: u64, per: u64, burst: u64) -> LimitRule {
    LimitRule {
        rate: Some(RateLimit {
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
fn the_concurrency_limit_counts_requests_in_flight() {
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
fn a_change_of_rate_keeps_the_debt() {
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
    fn rate_changes_admit_no_extra_requests(rates in proptest::collection::vec(1u64..20_000_000, 1..20)) {
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
