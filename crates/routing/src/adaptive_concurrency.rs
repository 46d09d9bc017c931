//! How many requests may be open toward one member, learned from its times and dismissals.
//!
//! The gradient of times is followed: over each window the mean time is set against the least one known; while
//! they agree and the limit is in use, it grows by its root; when times rise it shrinks in proportion, at most by
//! half a window. A dismissal or failure shrinks it by a tenth, at most once a window. A rule that adds and halves
//! by losses alone waits for losses, and a node's dismissals come late: its hold hides them; times do not.
//!
//! The least time does not follow the mean: a long mean in its place learns the queue that the limit itself makes,
//! and two doors then let it grow without end (tried: 1,800 requests in a member of 40 places after a minute).
//! It is learned anew where the limit has long been near its least: there the time is the member's own, unless
//! so many doors share it that even their least is a queue; then the configuration's bound is what holds.
//!
//! Where times have risen, what shrinks is what was in use, not a limit far above it: with fifty doors on a node each has a
//! few requests there, and limits of sixteen that nobody reaches hold nothing back.
//!
//! Invariant: [`MIN_LIMIT`] <= limit <= the bound given, and the limit does not grow while it is not in use, so a
//! quiet night does not open the door for the morning.

use std::time::Duration;

/// Never fewer. Below one it is a part of the pool's places: hundreds of doors on one node have less than one each.
pub const MIN_LIMIT: f64 = 0.1;
/// At most this for some windows: near its least.
const NEAR: f64 = 4.0;
/// What is assumed of a member that nobody knows.
const INITIAL_CAPACITY: f64 = 16.0;
/// A window ends after this time and with this many answers.
const WINDOW: Duration = Duration::from_millis(200);
const ANSWERS: u32 = 8;
/// Windows near the least limit after which the time there is taken for the member's own.
const RELEARN: u32 = 10;
/// Times may be so much over the least before they count as risen: they vary.
const TOLERANCE: f64 = 2.0;
/// And so much, s: below it lie the network and the scheduler, not a queue (without it a pool that answers within
/// microseconds was held at 7 requests a member, and 5 of 6 requests dismissed).
const SLACK: f64 = 0.002;
/// What a dismissal or a failure leaves of the limit.
const AFTER_LOSS: f64 = 0.9;
/// How fast the limit follows what a window says.
const SMOOTH: f64 = 0.3;

/// The learned limit toward one member.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    most: f64,
    open: u32,
    /// The most that were open in this window.
    used: u32,
    /// The least mean of a window, s.
    base: Option<f64>,
    at_least: u32,
    sum: f64,
    answers: u32,
    lost: bool,
    began: Duration,
}

impl ConcurrencyLimit {
    /// `most`: what the configuration allows, if it says anything.
    pub fn new(most: Option<u64>, now: Duration) -> Self {
        let most = most
            .map_or(f64::from(u16::MAX), |most| most as f64)
            .max(1.0);
        Self {
            limit: INITIAL_CAPACITY.min(most),
            most,
            open: 0,
            used: 0,
            base: None,
            at_least: 0,
            sum: 0.0,
            answers: 0,
            lost: false,
            began: now,
        }
    }

    /// What was learned stays, within the bound that holds now.
    pub fn carry(&mut self, before: &Self) {
        let most = self.most;
        *self = Self {
            limit: before.limit.min(most),
            most,
            ..before.clone()
        };
    }

    /// Requests that may be open; at least one, so that a member is never closed for good.
    pub fn limit(&self) -> u32 {
        (self.limit as u32).max(1)
    }

    /// Its part of the pool's places, which may be less than one.
    pub fn places(&self) -> f64 {
        self.limit
    }

    pub fn open(&self) -> u32 {
        self.open
    }

    pub fn has_room(&self) -> bool {
        self.open < self.limit()
    }

    pub fn on_sent(&mut self) {
        self.open += 1;
        self.used = self.used.max(self.open);
    }

    /// One is over; `took` only if it was done, since what fails fast says nothing of the time that work takes.
    pub fn on_completed(&mut self, now: Duration, took: Option<Duration>, lost: bool) {
        self.open = self.open.saturating_sub(1);
        if let Some(took) = took {
            self.sum += took.as_secs_f64();
            self.answers += 1;
        }
        if lost && !self.lost {
            self.lost = true;
            // Failures tell less of load than times do: they alone do not close a member.
            self.limit = (self.limit * AFTER_LOSS).max(NEAR.min(self.limit));
        }
        if self.answers >= ANSWERS && now.saturating_sub(self.began) >= WINDOW {
            self.end_window(now);
        }
    }

    fn end_window(&mut self, now: Duration) {
        let mean = (self.sum / f64::from(self.answers)).max(1e-6);
        self.at_least = if self.limit <= 2.0 * NEAR {
            self.at_least + 1
        } else {
            0
        };
        let relearn = self.at_least >= RELEARN;
        let base = self
            .base
            .filter(|_| !relearn)
            .map_or(mean, |base| base.min(mean));
        self.base = Some(base);
        let gradient = ((base * TOLERANCE).max(base + SLACK) / mean).clamp(0.5, 1.0);
        if gradient < 1.0 {
            self.limit = self.limit.min(f64::from(self.used) + 1.0);
        }
        let in_use = f64::from(self.used) >= self.limit / 2.0;
        let room = if in_use && !self.lost {
            self.limit.sqrt()
        } else {
            0.0
        };
        let wanted = self.limit * gradient + room;
        // Not in use, it only shrinks.
        let wanted = if in_use {
            wanted
        } else {
            wanted.min(self.limit)
        };
        self.limit = (self.limit + (wanted - self.limit) * SMOOTH).clamp(MIN_LIMIT, self.most);
        (self.sum, self.answers, self.lost, self.used, self.began) =
            (0.0, 0, false, self.open, now);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use nanorand::{Rng, WyRand};
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

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
                while limits[door].has_room() {
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
    fn two_doors_that_know_nothing_of_each_other_settle() {
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
    fn losses_shrink_it_once_a_window_and_rising_times_too() {
        let mut limit = ConcurrencyLimit::new(Some(100), Duration::ZERO);
        let before = limit.limit();
        for _ in 0..50 {
            limit.on_sent();
            limit.on_completed(Duration::from_millis(10), None, true);
        }
        assert_eq!(limit.limit(), (f64::from(before) * AFTER_LOSS) as u32);
        let mut now = Duration::ZERO;
        let mut play = |limit: &mut ConcurrencyLimit, took: u64, windows: u32| {
            for _ in 0..windows * 20 {
                now += Duration::from_millis(20);
                (0..limit.limit()).for_each(|_| limit.on_sent());
                (0..limit.open()).for_each(|_| {
                    limit.on_completed(now, Some(Duration::from_millis(took)), false)
                });
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
    fn what_the_network_adds_is_no_queue() {
        let mut limit = ConcurrencyLimit::new(Some(100), Duration::ZERO);
        let mut now = Duration::ZERO;
        let mut play = |limit: &mut ConcurrencyLimit, took: u64, windows: u32| {
            for _ in 0..windows * 20 {
                now += Duration::from_millis(20);
                (0..limit.limit()).for_each(|_| limit.on_sent());
                (0..limit.open()).for_each(|_| {
                    limit.on_completed(now, Some(Duration::from_micros(took)), false)
                });
            }
        };
        play(&mut limit, 60, 10);
        play(&mut limit, 900, 40);
        assert_eq!(limit.limit(), 100);
        play(&mut limit, 9_000, 10);
        assert!(limit.limit() < 60, "{}", limit.limit());
    }

    #[test]
    fn a_quiet_night_does_not_open_the_door() {
        let mut limit = ConcurrencyLimit::new(None, Duration::ZERO);
        for n in 0..100_000u64 {
            limit.on_sent();
            limit.on_completed(
                Duration::from_millis(n * 10),
                Some(Duration::from_millis(5)),
                false,
            );
        }
        assert!(
            limit.limit() <= INITIAL_CAPACITY as u32,
            "{}",
            limit.limit()
        );
    }

    #[test]
    fn a_member_that_stays_slower_is_learned_anew() {
        let mut limit = ConcurrencyLimit::new(Some(100), Duration::ZERO);
        let mut now = Duration::ZERO;
        let mut play = |limit: &mut ConcurrencyLimit, took: u64, windows: u32| {
            for _ in 0..windows * 20 {
                now += Duration::from_millis(20);
                (0..limit.limit()).for_each(|_| limit.on_sent());
                (0..limit.open()).for_each(|_| {
                    limit.on_completed(now, Some(Duration::from_millis(took)), false)
                });
            }
        };
        play(&mut limit, 20, 30);
        play(&mut limit, 90, 15);
        assert!(f64::from(limit.limit()) <= 2.0 * NEAR);
        play(&mut limit, 90, 60);
        assert_eq!(limit.limit(), 100);
    }

    proptest! {
        #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(18), failure_persistence: None, ..ProptestConfig::default() })]

        #[test]
        fn it_stays_within_its_bounds(
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
}
