//! Which attempts are retried, the timeout of an attempt, and the retry budget.

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
fn a_request_that_may_have_run_is_retried_only_if_its_class_and_policy_allow_it() {
    use {Proof::*, RepeatKind::*};
    let rejected = AttemptResult::Rejected {
        retry_after: ms(100),
        nowhere_else: false,
    };
    let table = [
        (Exclusive, NotRun, AttemptResult::MayHaveRun, false),
        (Exclusive, Mark, AttemptResult::MayHaveRun, false),
        (Exclusive, None, AttemptResult::MayHaveRun, false),
        (Exclusive, None, AttemptResult::NotRun, true),
        (Exclusive, NotRun, rejected, true),
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
    for (repeat, proof, result, is_retried) in table {
        let (mut budget, mut random) = (RetryBudget::default(), WyRand::new_seed(1));
        let decision = next(
            &request(repeat),
            result,
            &RetryPolicy { proof, ..POLICY },
            &mut budget,
            &mut random,
        );
        assert_eq!(
            matches!(decision, RetryDecision::Retry { .. }),
            is_retried,
            "{repeat:?} {proof:?} {result:?}: {decision:?}"
        );
    }
}

#[test]
fn each_limit_prevents_a_retry_and_spends_no_budget() {
    let retryable = request(RepeatKind::Rerunnable);
    let rejected_everywhere = AttemptResult::Rejected {
        retry_after: ms(1),
        nowhere_else: true,
    };
    let table = [
        (
            RetryContext {
                is_retry: true,
                ..retryable
            },
            AttemptResult::NotRun,
            NoRetryReason::IsRetry,
        ),
        (
            RetryContext {
                attempts: 3,
                ..retryable
            },
            AttemptResult::NotRun,
            NoRetryReason::AttemptsExhausted,
        ),
        (
            RetryContext {
                remaining: ms(110),
                ..retryable
            },
            AttemptResult::NotRun,
            NoRetryReason::NoTimeLeft,
        ),
        (retryable, rejected_everywhere, NoRetryReason::NowhereElse),
    ];
    for (request, result, reason) in table {
        let (mut budget, mut random) = (RetryBudget::default(), WyRand::new_seed(1));
        let before = budget.remaining();
        assert_eq!(
            next(&request, result, &POLICY, &mut budget, &mut random),
            RetryDecision::Stop(reason)
        );
        assert_eq!(
            budget.remaining(),
            before,
            "an attempt that is not made spends no budget"
        );
    }
}

#[test]
fn an_attempt_that_cannot_be_retried_gets_all_remaining_time() {
    let (full, empty) = (RetryBudget::default(), RetryBudget::empty());
    let single_attempt = RetryPolicy {
        attempts: 1,
        ..POLICY
    };
    let table = [
        (RepeatKind::Rerunnable, POLICY, full, true),
        (RepeatKind::Rerunnable, POLICY, empty, false),
        (RepeatKind::Rerunnable, single_attempt, full, false),
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
    for (repeat, policy, budget, expected) in table {
        assert_eq!(
            may_retry(&request(repeat), &policy, &budget),
            expected,
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

    /// However requests fail, the number of retries is at most `share` of the first attempts plus the initial budget,
    /// and backoffs and timeouts stay within the remaining time.
    #[test]
    fn retries_stay_within_the_budget(
        share in 0u64..=ONE,
        failures in proptest::collection::vec(any::<bool>(), 1..600),
        seed in any::<u64>(),
    ) {
        let (mut budget, mut random) = (RetryBudget::default(), WyRand::new_seed(seed));
        let (mut first_attempts, mut retries) = (0u64, 0u64);
        for fails in failures {
            budget.on_first_attempt(share);
            first_attempts += 1;
            let mut context = request(RepeatKind::Rerunnable);
            if !fails {
                continue;
            }
            while let RetryDecision::Retry { wait } =
                next(&context, AttemptResult::MayHaveRun, &POLICY, &mut budget, &mut random)
            {
                prop_assert!(wait >= POLICY.min_backoff && wait <= POLICY.max_backoff);
                let remaining = context.remaining - wait;
                let may_follow = may_retry(&context, &POLICY, &budget);
                let timeout =
                    attempt_timeout(remaining, POLICY.attempts - context.attempts, context.typical_duration, may_follow);
                prop_assert!(timeout <= remaining && timeout >= context.typical_duration.min(remaining));
                prop_assert!(may_follow || timeout == remaining, "an attempt without a retry gets all remaining time");
                retries += 1;
                context.attempts += 1;
                context.remaining -= wait + timeout;
            }
            prop_assert!(retries <= INITIAL_RETRIES + first_attempts * share / ONE);
        }
    }
}
