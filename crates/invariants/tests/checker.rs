//! The checker against steps that break each rule, and against a plain count over the whole history.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rainstand_invariants::{Answer, Kind, Rules, Step};
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

/// Steps at 1, 2, 3, … ms and the rule that breaks at the last of them; 0 for none.
#[test]
fn each_way_to_violate_a_rule_is_detected() {
    use {Answer::*, Kind::*, Step::*};
    let ran = Ran {
        on: 0,
        marked: false,
    };
    let marked = Ran {
        on: 1,
        marked: true,
    };
    let table: &[(&[Step], u8)] = &[
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
    for (steps, rule) in table {
        let mut rules = Rules::default();
        let (last, before) = steps.split_last().unwrap();
        for (k, step) in before.iter().enumerate() {
            rules
                .saw(ms(k as u64), 5, *step)
                .unwrap_or_else(|broken| panic!("{steps:?}: {broken}"));
        }
        let found = rules
            .saw(ms(9), 5, *last)
            .err()
            .map_or(0, |broken| broken.rule);
        assert_eq!(found, *rule, "{steps:?}");
        assert_eq!(rules.broken().is_some(), *rule > 0);
    }
}

#[test]
fn unanswered_late_and_undrained_requests_are_detected() {
    let mut rules = Rules::default();
    rules.saw(ms(0), 1, asked(Kind::Rerunnable)).unwrap();
    rules.look(ms(1_000)).unwrap();
    assert_eq!(rules.look(ms(1_001)).unwrap_err().ticket, Some(1));
    assert_eq!(rules.gone(ms(1_001), 1).unwrap_err().rule, 3);
    assert_eq!(rules.gone(ms(1_001), 2), Ok(()));
    assert_eq!(
        rules
            .saw(ms(1_002), 1, Step::Answered(Answer::GivenUp))
            .unwrap_err()
            .rule,
        1
    );
    assert_eq!(rules.gone(ms(1_003), 1), Ok(()));
    // The first one stays what it was.
    assert_eq!(rules.over(ms(1_003)).unwrap_err().at, ms(1_001));
    let mut rules = Rules::default();
    assert_eq!(rules.within(ms(1), "links", 65, 64).unwrap_err().rule, 4);
    assert!(rules.budget(ms(1), 100, 30, 0.2, 10).is_ok());
    assert!(rules.budget(ms(1), 100, 31, 0.2, 10).is_err());
    let mut rules = Rules::default();
    rules.saw(ms(0), 1, asked(Kind::Rerunnable)).unwrap();
    assert_eq!(rules.over(ms(5)).unwrap_err().rule, 1);
}

#[test]
fn a_long_run_drops_requests_that_are_over() {
    let mut rules = Rules::forgetting(ms(500));
    for n in 0..10_000u64 {
        rules
            .saw(
                ms(n),
                n,
                Step::Asked {
                    kind: Kind::Exclusive,
                    due: ms(n + 100),
                    front: 0,
                },
            )
            .unwrap();
        rules
            .saw(ms(n), n, Step::Answered(Answer::Dismissed))
            .unwrap();
        if n % 100 == 0 {
            rules.look(ms(n)).unwrap();
        }
    }
    assert!(rules.known() < 800, "{}", rules.known());
    assert_eq!(rules.over(ms(20_000)).unwrap().dismissed, 10_000);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(18), failure_persistence: None, ..ProptestConfig::default() })]

    /// Against a plain count over the whole history: the checker breaks exactly where that does.
    #[test]
    fn it_agrees_with_a_count_over_all_steps(
        steps in proptest::collection::vec((0u64..3, 0u8..6, any::<bool>()), 0..40),
        exclusive in any::<bool>(),
    ) {
        let kind = if exclusive { Kind::Exclusive } else { Kind::Rerunnable };
        let mut rules = Rules::default();
        (0..3).for_each(|ticket| rules.saw(ms(0), ticket, asked(kind)).unwrap());
        let (mut runs, mut answers) = ([0u32; 3], [None::<Answer>; 3]);
        let mut left = [false; 3];
        for (k, (ticket, what, marked)) in steps.into_iter().enumerate() {
            let t = ticket as usize;
            let (step, breaks) = match what {
                0 | 1 => {
                    runs[t] += 1;
                    let twice = runs[t] > 1 || answers[t] == Some(Answer::Dismissed);
                    (Step::Ran { on: 0, marked }, exclusive && twice)
                }
                2 => {
                    left[t] |= answers[t].is_none();
                    (Step::Left, false)
                }
                n => {
                    let answer = [Answer::Honoured, Answer::Dismissed, Answer::GivenUp][usize::from(n - 3)];
                    let second = answers[t].is_some();
                    let wrong = match answer {
                        Answer::Dismissed => exclusive && runs[t] > 0,
                        Answer::Honoured => runs[t] == 0,
                        _ => false,
                    };
                    let heard = !left[t];
                    if heard && !second {
                        answers[t] = Some(answer);
                    }
                    (Step::Answered(answer), heard && (second || wrong))
                }
            };
            let found = rules.saw(ms(k as u64), ticket, step);
            prop_assert_eq!(found.is_err(), breaks, "{:?}", step);
            let open = (0..3).filter(|t| answers[*t].is_none() && !left[*t]).count() as u64;
            prop_assert_eq!(rules.open(), open);
        }
    }
}
