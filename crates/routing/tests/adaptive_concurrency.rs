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

/// A member that does `cores` requests of 20 ms at a time and queues the rest, under all the load that
/// the limits of `doors` let through; the mean number in it over the last of `seconds`.
fn settle(doors: usize, cores: u32, seconds: u64) -> (Vec<ConcurrencyLimit>, f64) {
    let ms = Duration::from_millis;
    let mut limits: Vec<_> = (0..doors)
        .map(|_| ConcurrencyLimit::new(None, ms(0)))
        .collect();
    // Work left of each request in it, in ms, and whose it is, oldest first.
    let mut inside: Vec<(usize, u32, u64)> = Vec::new();
    // Requests differ, and doors come in turn: else all would end in step and the first door fare best.
    let mut chance = WyRand::new_seed(9);
    let (mut sum, mut samples) = (0u64, 0u64);
    for t in 0..seconds * 1_000 {
        for door in (0..doors).map(|k| (k + t as usize) % doors) {
            while limits[door].has_capacity() {
                limits[door].on_sent();
                inside.push((door, chance.generate_range(10..31), t));
            }
        }
        inside
            .iter_mut()
            .take(cores as usize)
            .for_each(|one| one.1 -= 1);
        inside.retain(|(door, left, since)| {
            if *left == 0 {
                limits[*door].on_completed(ms(t + 1), Some(ms(t + 1 - since)), false);
            }
            *left > 0
        });
        if t >= (seconds - 1) * 1_000 {
            sum += inside.len() as u64;
            samples += 1;
        }
    }
    (limits, sum as f64 / samples as f64)
}

#[test]
fn two_independent_forwarders_converge() {
    let (limits, inside) = settle(2, 40, 60);
    // All cores busy, and no queue of many times their number.
    assert!((40.0..400.0).contains(&inside), "{inside}: {limits:?}");
    let (a, b) = (limits[0].limit(), limits[1].limit());
    assert!(a.max(b) <= 2 * a.min(b), "{a} {b}");
    let (_, later) = settle(2, 40, 62);
    assert!(
        (later / inside - 1.0).abs() < 0.25,
        "it swings: {inside}, then {later}"
    );
}

#[test]
fn losses_shrink_the_limit_once_a_window_and_so_do_rising_times() {
    let mut limit = ConcurrencyLimit::new(Some(100), Duration::ZERO);
    let before = limit.limit();
    for _ in 0..50 {
        limit.on_sent();
        limit.on_completed(Duration::from_millis(10), None, true);
    }
    assert_eq!(limit.limit(), (f64::from(before) * LOSS_DECREASE) as u32);
    let mut now = Duration::ZERO;
    let mut play = |limit: &mut ConcurrencyLimit, took: u64, windows: u32| {
        for _ in 0..windows * 20 {
            now += Duration::from_millis(20);
            (0..limit.limit()).for_each(|_| limit.on_sent());
            (0..limit.open())
                .for_each(|_| limit.on_completed(now, Some(Duration::from_millis(took)), false));
        }
    };
    let mut limit = ConcurrencyLimit::new(Some(100), Duration::ZERO);
    play(&mut limit, 20, 30);
    assert_eq!(
        limit.limit(),
        100,
        "it grows up to its bound while times hold"
    );
    play(&mut limit, 200, 5);
    assert!(limit.limit() < 60, "{}", limit.limit());
}

#[test]
fn network_latency_does_not_count_as_queueing() {
    let mut limit = ConcurrencyLimit::new(Some(100), Duration::ZERO);
    let mut now = Duration::ZERO;
    let mut play = |limit: &mut ConcurrencyLimit, took: u64, windows: u32| {
        for _ in 0..windows * 20 {
            now += Duration::from_millis(20);
            (0..limit.limit()).for_each(|_| limit.on_sent());
            (0..limit.open())
                .for_each(|_| limit.on_completed(now, Some(Duration::from_micros(took)), false));
        }
    };
    play(&mut limit, 60, 10);
    play(&mut limit, 900, 40);
    assert_eq!(limit.limit(), 100);
    play(&mut limit, 9_000, 10);
    assert!(limit.limit() < 60, "{}", limit.limit());
}

#[test]
fn an_unused_limit_does_not_grow() {
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
fn the_baseline_of_a_member_that_stays_slower_is_learned_again() {
    let mut limit = ConcurrencyLimit::new(Some(100), Duration::ZERO);
    let mut now = Duration::ZERO;
    let mut play = |limit: &mut ConcurrencyLimit, took: u64, windows: u32| {
        for _ in 0..windows * 20 {
            now += Duration::from_millis(20);
            (0..limit.limit()).for_each(|_| limit.on_sent());
            (0..limit.open())
                .for_each(|_| limit.on_completed(now, Some(Duration::from_millis(took)), false));
        }
    };
    play(&mut limit, 20, 30);
    play(&mut limit, 90, 15);
    assert!(f64::from(limit.limit()) <= 2.0 * NEAR_MIN_LIMIT);
    play(&mut limit, 90, 60);
    assert_eq!(limit.limit(), 100);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(18), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_limit_stays_within_its_bounds(
        most in 1u64..500,
        steps in proptest::collection::vec((0u64..100, proptest::option::of(0u64..5_000), any::<bool>(), 1u32..40), 0..400),
    ) {
        let mut limit = ConcurrencyLimit::new(Some(most), Duration::ZERO);
        let mut now = Duration::ZERO;
        for (gap, took, lost, sent) in steps {
            now += Duration::from_millis(gap);
            (0..sent).for_each(|_| limit.on_sent());
            (0..sent).for_each(|_| limit.on_completed(now, took.map(Duration::from_millis), lost));
            prop_assert!(limit.places() >= MIN_LIMIT && limit.places() <= most as f64);
            prop_assert!(limit.limit() >= 1);
            prop_assert_eq!(limit.open(), 0);
        }
    }
}
