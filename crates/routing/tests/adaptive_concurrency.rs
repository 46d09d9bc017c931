//! The learned concurrency limit of one member, against simulated servers.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use nanorand::{Rng, WyRand};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rainstand_routing::adaptive_concurrency::*;
use std::time::Duration;

/// Simulates a member that processes `cores` requests of 20 ms on average at a time and queues the rest, under full load
/// from `forwarders` with a limit each. Returns the limits and the mean number of requests in the member during the last
/// of `seconds`.
fn simulate_member(forwarders: usize, cores: u32, seconds: u64) -> (Vec<ConcurrencyLimit>, f64) {
    let ms = Duration::from_millis;
    let mut limits: Vec<_> = (0..forwarders)
        .map(|_| ConcurrencyLimit::new(None, ms(0)))
        .collect();
    // Forwarder, remaining work in ms and start in ms of each request in the member, oldest first.
    let mut in_member: Vec<(usize, u32, u64)> = Vec::new();
    // Durations vary and the order of forwarders rotates: otherwise all requests would end at the same times, and the
    // first forwarder would have an advantage.
    let mut rng = WyRand::new_seed(9);
    let (mut sum, mut samples) = (0u64, 0u64);
    for now_ms in 0..seconds * 1_000 {
        for forwarder in (0..forwarders).map(|k| (k + now_ms as usize) % forwarders) {
            while limits[forwarder].has_capacity() {
                limits[forwarder].on_sent();
                in_member.push((forwarder, rng.generate_range(10..31), now_ms));
            }
        }
        in_member
            .iter_mut()
            .take(cores as usize)
            .for_each(|request| request.1 -= 1);
        in_member.retain(|(forwarder, remaining_ms, start_ms)| {
            if *remaining_ms == 0 {
                limits[*forwarder].on_completed(
                    ms(now_ms + 1),
                    Some(ms(now_ms + 1 - start_ms)),
                    false,
                );
            }
            *remaining_ms > 0
        });
        if now_ms >= (seconds - 1) * 1_000 {
            sum += in_member.len() as u64;
            samples += 1;
        }
    }
    (limits, sum as f64 / samples as f64)
}

#[test]
fn two_forwarders_converge_to_similar_limits() {
    let (limits, in_member) = simulate_member(2, 40, 60);
    // All cores are busy, and the queue is less than ten times their number.
    assert!(
        (40.0..400.0).contains(&in_member),
        "{in_member}: {limits:?}"
    );
    let (a, b) = (limits[0].limit(), limits[1].limit());
    assert!(a.max(b) <= 2 * a.min(b), "{a} {b}");
    let (_, later) = simulate_member(2, 40, 62);
    assert!(
        (later / in_member - 1.0).abs() < 0.25,
        "the load oscillates: {in_member}, then {later}"
    );
}

#[test]
fn losses_shrink_the_limit_once_per_window_and_rising_times_shrink_it() {
    let mut limit = ConcurrencyLimit::new(Some(100), Duration::ZERO);
    let before = limit.limit();
    for _ in 0..50 {
        limit.on_sent();
        limit.on_completed(Duration::from_millis(10), None, true);
    }
    assert_eq!(limit.limit(), (f64::from(before) * LOSS_DECREASE) as u32);
    let mut now = Duration::ZERO;
    let mut run_windows = |limit: &mut ConcurrencyLimit, time: u64, windows: u32| {
        for _ in 0..windows * 20 {
            now += Duration::from_millis(20);
            (0..limit.limit()).for_each(|_| limit.on_sent());
            (0..limit.open())
                .for_each(|_| limit.on_completed(now, Some(Duration::from_millis(time)), false));
        }
    };
    let mut limit = ConcurrencyLimit::new(Some(100), Duration::ZERO);
    run_windows(&mut limit, 20, 30);
    assert_eq!(
        limit.limit(),
        100,
        "the limit grows to its maximum while times are constant"
    );
    run_windows(&mut limit, 200, 5);
    assert!(limit.limit() < 60, "{}", limit.limit());
}

#[test]
fn small_time_differences_do_not_count_as_queueing() {
    let mut limit = ConcurrencyLimit::new(Some(100), Duration::ZERO);
    let mut now = Duration::ZERO;
    let mut run_windows = |limit: &mut ConcurrencyLimit, time: u64, windows: u32| {
        for _ in 0..windows * 20 {
            now += Duration::from_millis(20);
            (0..limit.limit()).for_each(|_| limit.on_sent());
            (0..limit.open())
                .for_each(|_| limit.on_completed(now, Some(Duration::from_micros(time)), false));
        }
    };
    run_windows(&mut limit, 60, 10);
    run_windows(&mut limit, 900, 40);
    assert_eq!(limit.limit(), 100);
    run_windows(&mut limit, 9_000, 10);
    assert!(limit.limit() < 60, "{}", limit.limit());
}

#[test]
fn unused_limit_does_not_grow() {
    let mut limit = ConcurrencyLimit::new(None, Duration::ZERO);
    for n in 0..100_000u64 {
        limit.on_sent();
        limit.on_completed(
            Duration::from_millis(n * 10),
            Some(Duration::from_millis(5)),
            false,
        );
    }
    assert!(limit.limit() <= INITIAL_LIMIT as u32, "{}", limit.limit());
}

#[test]
fn baseline_is_relearned_for_a_member_that_stays_slower() {
    let mut limit = ConcurrencyLimit::new(Some(100), Duration::ZERO);
    let mut now = Duration::ZERO;
    let mut run_windows = |limit: &mut ConcurrencyLimit, time: u64, windows: u32| {
        for _ in 0..windows * 20 {
            now += Duration::from_millis(20);
            (0..limit.limit()).for_each(|_| limit.on_sent());
            (0..limit.open())
                .for_each(|_| limit.on_completed(now, Some(Duration::from_millis(time)), false));
        }
    };
    run_windows(&mut limit, 20, 30);
    run_windows(&mut limit, 90, 15);
    assert!(f64::from(limit.limit()) <= 2.0 * NEAR_MIN_LIMIT);
    run_windows(&mut limit, 90, 60);
    assert_eq!(limit.limit(), 100);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(18), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn limit_stays_within_its_bounds(
        max in 1u64..500,
        steps in proptest::collection::vec((0u64..100, proptest::option::of(0u64..5_000), any::<bool>(), 1u32..40), 0..400),
    ) {
        let mut limit = ConcurrencyLimit::new(Some(max), Duration::ZERO);
        let mut now = Duration::ZERO;
        for (gap, time, is_loss, sent) in steps {
            now += Duration::from_millis(gap);
            (0..sent).for_each(|_| limit.on_sent());
            (0..sent).for_each(|_| limit.on_completed(now, time.map(Duration::from_millis), is_loss));
            prop_assert!(limit.fractional_limit() >= MIN_LIMIT && limit.fractional_limit() <= max as f64);
            prop_assert!(limit.limit() >= 1);
            prop_assert_eq!(limit.open(), 0);
        }
    }
}
