//! Which attempts may be repeated, how long one may take, and the retry budget.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use nanorand::WyRand;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rainstand_config::schema::{Proof, RepeatKind};
use rainstand_config::units::ONE;
use rainstand_routing::retry::*;
use std::time::Duration;

const POLICY: RetryPolicy = RetryPolicy {
    attempts: 3,
    min_backoff: Duration::from_millis(20),
    max_backoff: Duration::from_millis(120),
    proof: Proof::None,
};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn request(repeat: RepeatKind) -> RetryContext {
    RetryContext {
        repeat,
        is_retry: false,
        attempts: 1,
        remaining: ms(2_000),
        typical_duration: ms(100),
    }
}

#[test]
fn what_may_have_run_is_retried_only_if_its_class_allows_it() {
    use {Proof::*, RepeatKind::*};
    let gone = AttemptResult::Rejected {
        pause: ms(100),
        nowhere_else: false,
    };
    let table = [
        (Exclusive, NotRun, AttemptResult::MayHaveRun, false),
        (Exclusive, Mark, AttemptResult::MayHaveRun, false),
        (Exclusive, None, AttemptResult::MayHaveRun, false),
        (Exclusive, None, AttemptResult::NotRun, true),
        (Exclusive, NotRun, gone, true),
        (Ticketed, NotRun, AttemptResult::MayHaveRun, false),
        (Ticketed, Mark, AttemptResult::MayHaveRun, true),
        (Ticketed, None, AttemptResult::MayHaveRun, false),
        (Rerunnable, NotRun, AttemptResult::MayHaveRun, false),
        (Rerunnable, None, AttemptResult::MayHaveRun, true),
        (
            RepeatKind::Unspecified,
            None,
            AttemptResult::MayHaveRun,
            false,
        ),
    ];
    for (repeat, proof, came, again) in table {
        let (mut budget, mut chance) = (RetryBudget::default(), WyRand::new_seed(1));
        let found = next(
            &request(repeat),
            came,
            &RetryPolicy { proof, ..POLICY },
            &mut budget,
            &mut chance,
        );
        assert_eq!(
            matches!(found, RetryDecision::Retry { .. }),
            again,
            "{repeat:?} {proof:?} {came:?}: {found:?}"
        );
    }
}

#[test]
fn each_bound_prevents_a_retry() {
    let whole = request(RepeatKind::Rerunnable);
    let nowhere = AttemptResult::Rejected {
        pause: ms(1),
        nowhere_else: true,
    };
    let table = [
        (
            RetryContext {
                is_retry: true,
                ..whole
            },
            AttemptResult::NotRun,
            NoRetryReason::FurtherTry,
        ),
        (
            RetryContext {
                attempts: 3,
                ..whole
            },
            AttemptResult::NotRun,
            NoRetryReason::Tries,
        ),
        (
            RetryContext {
                remaining: ms(110),
                ..whole
            },
            AttemptResult::NotRun,
            NoRetryReason::Time,
        ),
        (whole, nowhere, NoRetryReason::NowhereElse),
    ];
    for (request, came, stop) in table {
        let (mut budget, mut chance) = (RetryBudget::default(), WyRand::new_seed(1));
        let before = budget.remaining();
        assert_eq!(
            next(&request, came, &POLICY, &mut budget, &mut chance),
            RetryDecision::Stop(stop)
        );
        assert_eq!(
            budget.remaining(),
            before,
            "a try that is not made costs nothing"
        );
    }
}

#[test]
fn a_last_attempt_gets_all_remaining_time() {
    let (full, empty) = (RetryBudget::default(), RetryBudget::empty());
    let once = RetryPolicy {
        attempts: 1,
        ..POLICY
    };
    let table = [
        (RepeatKind::Rerunnable, POLICY, full, true),
        (RepeatKind::Rerunnable, POLICY, empty, false),
        (RepeatKind::Rerunnable, once, full, false),
        (
            RepeatKind::Rerunnable,
            RetryPolicy {
                proof: Proof::NotRun,
                ..POLICY
            },
            full,
            false,
        ),
        (RepeatKind::Exclusive, POLICY, full, false),
        (
            RepeatKind::Ticketed,
            RetryPolicy {
                proof: Proof::Mark,
                ..POLICY
            },
            full,
            true,
        ),
    ];
    for (repeat, policy, budget, wanted) in table {
        assert_eq!(
            may_retry(&request(repeat), &policy, &budget),
            wanted,
            "{repeat:?} {policy:?}"
        );
    }
    assert_eq!(attempt_timeout(ms(900), 3, ms(20), true), ms(300));
    assert_eq!(attempt_timeout(ms(900), 3, ms(150), true), ms(600));
    assert_eq!(attempt_timeout(ms(900), 3, ms(300), true), ms(900));
    assert_eq!(attempt_timeout(ms(900), 3, ms(20), false), ms(900));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(18), failure_persistence: None, ..ProptestConfig::default() })]

    /// However requests fail, tries stay within first ones * (1 + share) and what the start allows; waits
    /// and cuts stay within what is left.
    #[test]
    fn retries_stay_within_the_budget(
        share in 0u64..=ONE,
        fails in proptest::collection::vec(any::<bool>(), 1..600),
        seed in any::<u64>(),
    ) {
        let (mut budget, mut chance) = (RetryBudget::default(), WyRand::new_seed(seed));
        let (mut first, mut further) = (0u64, 0u64);
        for fails in fails {
            budget.on_first_attempt(share);
            first += 1;
            let mut one = request(RepeatKind::Rerunnable);
            if !fails {
                continue;
            }
            while let RetryDecision::Retry { wait } =
                next(&one, AttemptResult::MayHaveRun, &POLICY, &mut budget, &mut chance)
            {
                prop_assert!(wait >= POLICY.min_backoff && wait <= POLICY.max_backoff);
                let left = one.remaining - wait;
                let follows = may_retry(&one, &POLICY, &budget);
                let cut = attempt_timeout(left, POLICY.attempts - one.attempts, one.typical_duration, follows);
                prop_assert!(cut <= left && cut >= one.typical_duration.min(left));
                prop_assert!(follows || cut == left, "what nothing follows has all the time");
                further += 1;
                one.attempts += 1;
                one.remaining -= wait + cut;
            }
            prop_assert!(further <= INITIAL_RETRIES + first * share / ONE);
        }
    }
}
