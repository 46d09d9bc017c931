//! Steps that violate each invariant are detected, and the checker agrees with counts over the whole history.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rainstand_invariants::{Answer, InvariantChecker, Kind, Step};
use std::time::Duration;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn asked(kind: Kind) -> Step {
    Step::Asked {
        kind,
        due: ms(1_000),
        front: 1,
    }
}

/// Each case gives steps and the invariant that the last one violates; 0 for none.
#[test]
fn each_kind_of_violation_is_detected() {
    use {Answer::*, Kind::*, Step::*};
    let ran = Ran {
        on: 0,
        marked: false,
    };
    let marked = Ran {
        on: 1,
        marked: true,
    };
    let cases: &[(&[Step], u8)] = &[
        (&[asked(Exclusive), ran, Answered(Honoured)], 0),
        (&[asked(Exclusive), ran, Answered(GivenUp)], 0),
        (&[asked(Exclusive), ran, Answered(Dismissed)], 2),
        (&[asked(Exclusive), Answered(Dismissed), ran], 2),
        (&[asked(Exclusive), ran, ran], 2),
        (&[asked(Exclusive), ran, marked], 2),
        (&[asked(Exclusive), Answered(GivenUp), ran], 0),
        (&[asked(Ticketed), ran, marked, Answered(Honoured)], 0),
        (&[asked(Ticketed), ran, ran], 2),
        (&[asked(Ticketed), ran, Answered(Dismissed)], 2),
        (&[asked(Rerunnable), ran, ran, Answered(Dismissed), ran], 0),
        (
            &[
                asked(Rerunnable),
                ran,
                Answered(Honoured),
                Answered(Honoured),
            ],
            1,
        ),
        (&[asked(Rerunnable), Answered(Honoured)], 1),
        (&[asked(Ticketed), Shared, Answered(Honoured)], 0),
        (&[asked(Ticketed), Shared, Answered(Dismissed)], 0),
        (&[asked(Rerunnable), Left, Answered(GivenUp)], 0),
        (&[asked(Rerunnable), asked(Rerunnable)], 1),
        (&[Answered(Dismissed)], 1),
    ];
    for (steps, expected) in cases {
        let mut checker = InvariantChecker::default();
        let (last, before) = steps.split_last().unwrap();
        for (k, step) in before.iter().enumerate() {
            checker
                .record(ms(k as u64), 5, *step)
                .unwrap_or_else(|violation| panic!("{steps:?}: {violation}"));
        }
        let found = checker
            .record(ms(9), 5, *last)
            .err()
            .map_or(0, |violation| violation.rule);
        assert_eq!(found, *expected, "{steps:?}");
        assert_eq!(checker.first_violation().is_some(), *expected > 0);
    }
}

#[test]
fn unanswered_late_and_undrained_requests_are_detected() {
    let mut checker = InvariantChecker::default();
    checker.record(ms(0), 1, asked(Kind::Rerunnable)).unwrap();
    checker.check_deadlines(ms(1_000)).unwrap();
    assert_eq!(
        checker.check_deadlines(ms(1_001)).unwrap_err().request,
        Some(1)
    );
    assert_eq!(checker.check_drained(ms(1_001), 1).unwrap_err().rule, 3);
    assert_eq!(checker.check_drained(ms(1_001), 2), Ok(()));
    assert_eq!(
        checker
            .record(ms(1_002), 1, Step::Answered(Answer::GivenUp))
            .unwrap_err()
            .rule,
        1
    );
    assert_eq!(checker.check_drained(ms(1_003), 1), Ok(()));
    // The first violation is retained.
    assert_eq!(checker.finish(ms(1_003)).unwrap_err().at, ms(1_001));
    let mut checker = InvariantChecker::default();
    assert_eq!(
        checker
            .check_bound(ms(1), "links", 65, 64)
            .unwrap_err()
            .rule,
        4
    );
    assert!(checker.check_retry_budget(ms(1), 100, 30, 0.2, 10).is_ok());
    assert!(checker.check_retry_budget(ms(1), 100, 31, 0.2, 10).is_err());
    let mut checker = InvariantChecker::default();
    checker.record(ms(0), 1, asked(Kind::Rerunnable)).unwrap();
    assert_eq!(checker.finish(ms(5)).unwrap_err().rule, 1);
}

#[test]
fn completed_requests_are_dropped_after_the_retention() {
    let mut checker = InvariantChecker::with_retention(ms(500));
    for n in 0..10_000u64 {
        checker
            .record(
                ms(n),
                n,
                Step::Asked {
                    kind: Kind::Exclusive,
                    due: ms(n + 100),
                    front: 0,
                },
            )
            .unwrap();
        checker
            .record(ms(n), n, Step::Answered(Answer::Dismissed))
            .unwrap();
        if n % 100 == 0 {
            checker.check_deadlines(ms(n)).unwrap();
        }
    }
    assert!(
        checker.stored_requests() < 800,
        "{}",
        checker.stored_requests()
    );
    assert_eq!(checker.finish(ms(20_000)).unwrap().dismissed, 10_000);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(18), failure_persistence: None, ..ProptestConfig::default() })]

    /// The checker reports a violation exactly where counts over the whole history show one.
    #[test]
    fn checker_agrees_with_counts_over_all_steps(
        steps in proptest::collection::vec((0u64..3, 0u8..6, any::<bool>()), 0..40),
        exclusive in any::<bool>(),
    ) {
        let kind = if exclusive { Kind::Exclusive } else { Kind::Rerunnable };
        let mut checker = InvariantChecker::default();
        (0..3).for_each(|request| checker.record(ms(0), request, asked(kind)).unwrap());
        let (mut runs, mut answers) = ([0u32; 3], [None::<Answer>; 3]);
        let mut left = [false; 3];
        for (k, (request, event, marked)) in steps.into_iter().enumerate() {
            let index = request as usize;
            let (step, violates) = match event {
                0 | 1 => {
                    runs[index] += 1;
                    let repeated = runs[index] > 1 || answers[index] == Some(Answer::Dismissed);
                    (Step::Ran { on: 0, marked }, exclusive && repeated)
                }
                2 => {
                    left[index] |= answers[index].is_none();
                    (Step::Left, false)
                }
                n => {
                    let answer = [Answer::Honoured, Answer::Dismissed, Answer::GivenUp][usize::from(n - 3)];
                    let second = answers[index].is_some();
                    let wrong = match answer {
                        Answer::Dismissed => exclusive && runs[index] > 0,
                        Answer::Honoured => runs[index] == 0,
                        _ => false,
                    };
                    let awaited = !left[index];
                    if awaited && !second {
                        answers[index] = Some(answer);
                    }
                    (Step::Answered(answer), awaited && (second || wrong))
                }
            };
            let found = checker.record(ms(k as u64), request, step);
            prop_assert_eq!(found.is_err(), violates, "{:?}", step);
            let open = (0..3).filter(|index| answers[*index].is_none() && !left[*index]).count() as u64;
            prop_assert_eq!(checker.open(), open);
        }
    }
}
