//! Whether a request is sent again, when, and with how much time.
//!
//! Rule 2 first: what may have run is repeated only if its type allows it. Then the rest: not if it was
//! asked not to, not if the request is a further try itself (whoever sent it repeats), not past the policy's
//! tries, not without budget, not without the time for it.
//!
//! The budget holds for the whole program: further tries never exceed [`INITIAL_RETRIES`] and the stated share of
//! first tries, however many requests fail at once.

use nanorand::{Rng, WyRand};
use rainstand_config::schema::{self, Proof, RepeatKind};
use rainstand_config::units::ONE;
use std::time::Duration;

/// Further tries that a program may make before it has seen first ones: enough for a few odd failures.
pub const INITIAL_RETRIES: u64 = 10;
/// Further tries that can be saved up in quiet times: past it a burst of failures is an outage.
const MAX_SAVED_RETRIES: u64 = 100;

/// What a try came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// Proved that nothing ran: no connection, or a word that says so.
    NotRun,
    /// Dismissed, so nothing ran; when to come back, and whether elsewhere is no use.
    Rejected { pause: Duration, nowhere_else: bool },
    /// It failed, ran out of time or lost its connection: it may have run.
    MayHaveRun,
}

/// A policy made ready.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    pub attempts: u32,
    pub wait: (Duration, Duration),
    pub proof: Proof,
}

impl From<&schema::Attempts> for RetryPolicy {
    fn from(of: &schema::Attempts) -> Self {
        let ns = Duration::from_nanos;
        let tries = u32::try_from(of.tries).unwrap_or(u32::MAX).max(1);
        Self {
            attempts: tries,
            wait: (ns(of.wait_least_ns), ns(of.wait_most_ns)),
            proof: of.proof(),
        }
    }
}

/// A request as far as repeating goes.
#[derive(Clone, Copy, Debug)]
pub struct RetryContext {
    pub repeat: RepeatKind,
    /// It came marked as a further try.
    pub again: bool,
    /// Tries made so far, the first one counted.
    pub attempts: u32,
    /// What is left of its goal time.
    pub remaining: Duration,
    /// How long a usual try takes.
    pub typical_duration: Duration,
}

/// Why a request is not sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NoRetryReason {
    /// It may have run, and its type or policy does not allow a second run.
    MayHaveRun,
    NowhereElse,
    FurtherTry,
    Tries,
    Budget,
    Time,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// After this wait, marked as a further try.
    Retry {
        wait: Duration,
    },
    Stop(NoRetryReason),
}

/// Further tries that may still be made, in millionths of a try.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    remaining: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            remaining: INITIAL_RETRIES * ONE,
        }
    }
}

impl RetryBudget {
    /// A first try: it earns its share (in millionths) of a further one.
    pub fn on_first_attempt(&mut self, share: u64) {
        self.remaining = (self.remaining + share).min(MAX_SAVED_RETRIES * ONE);
    }

    fn spend(&mut self) -> bool {
        let enough = self.remaining >= ONE;
        if enough {
            self.remaining -= ONE;
        }
        enough
    }
}

/// Whether the rules allow another try after this one.
fn allowed(request: &RetryContext, came: AttemptResult, proof: Proof) -> bool {
    match (came, request.repeat) {
        (AttemptResult::NotRun | AttemptResult::Rejected { .. }, _) => true,
        (AttemptResult::MayHaveRun, RepeatKind::Rerunnable) => proof == Proof::None,
        (AttemptResult::MayHaveRun, RepeatKind::Ticketed) => proof == Proof::Mark,
        (AttemptResult::MayHaveRun, RepeatKind::Exclusive | RepeatKind::Unspecified) => false,
    }
}

/// Usual times after which a try of something that may run again is cut: of runs that differ as by chance, one in
/// fifty lasts so long.
const MIN_TIMEOUT_FACTOR: u32 = 4;

/// Whether a try that comes to nothing in its time may be followed by another.
pub fn may_retry(request: &RetryContext, policy: &RetryPolicy, budget: &RetryBudget) -> bool {
    allowed(request, AttemptResult::MayHaveRun, policy.proof)
        && !request.again
        && request.attempts < policy.attempts
        && budget.remaining >= ONE
}

/// The time that one try may take. If no other can follow it, all there is: to cut it would only lose what it does.
/// Else an even part of what is left for the tries that may follow, but never less than some usual ones take, or
/// long runs would be cut at one member and begun anew at the next (tried: with runs of 200 ms by chance and a goal of
/// 1 s, a fifth of all requests was given up on a calm day).
pub fn attempt_timeout(
    remaining: Duration,
    tries_left: u32,
    typical_duration: Duration,
    may_follow: bool,
) -> Duration {
    if !may_follow {
        return remaining;
    }
    (remaining / tries_left.max(1))
        .max(typical_duration * MIN_TIMEOUT_FACTOR)
        .min(remaining)
}

/// What follows a try.
pub fn next(
    request: &RetryContext,
    came: AttemptResult,
    policy: &RetryPolicy,
    budget: &mut RetryBudget,
    chance: &mut WyRand,
) -> RetryDecision {
    if !allowed(request, came, policy.proof) {
        return RetryDecision::Stop(NoRetryReason::MayHaveRun);
    }
    if let AttemptResult::Rejected {
        nowhere_else: true, ..
    } = came
    {
        return RetryDecision::Stop(NoRetryReason::NowhereElse);
    }
    if request.again {
        return RetryDecision::Stop(NoRetryReason::FurtherTry);
    }
    if request.attempts >= policy.attempts {
        return RetryDecision::Stop(NoRetryReason::Tries);
    }
    let (least, most) = policy.wait;
    let spread = most.saturating_sub(least);
    let wait = least + spread.mul_f64(f64::from(chance.generate::<u32>()) / f64::from(u32::MAX));
    let left = request.remaining.saturating_sub(wait);
    if left < request.typical_duration || left.is_zero() {
        return RetryDecision::Stop(NoRetryReason::Time);
    }
    // Last, so that nothing is spent on a try that is not made.
    if !budget.spend() {
        return RetryDecision::Stop(NoRetryReason::Budget);
    }
    RetryDecision::Retry { wait }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    const POLICY: RetryPolicy = RetryPolicy {
        attempts: 3,
        wait: (Duration::from_millis(20), Duration::from_millis(120)),
        proof: Proof::None,
    };

    fn ms(n: u64) -> Duration {
        Duration::from_millis(n)
    }

    fn request(repeat: RepeatKind) -> RetryContext {
        RetryContext {
            repeat,
            again: false,
            attempts: 1,
            remaining: ms(2_000),
            typical_duration: ms(100),
        }
    }

    #[test]
    fn what_may_have_run_is_repeated_only_where_its_type_allows_it() {
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
    fn each_bound_stops_it() {
        let whole = request(RepeatKind::Rerunnable);
        let nowhere = AttemptResult::Rejected {
            pause: ms(1),
            nowhere_else: true,
        };
        let table = [
            (
                RetryContext {
                    again: true,
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
            let before = budget.remaining;
            assert_eq!(
                next(&request, came, &POLICY, &mut budget, &mut chance),
                RetryDecision::Stop(stop)
            );
            assert_eq!(
                budget.remaining, before,
                "a try that is not made costs nothing"
            );
        }
    }

    #[test]
    fn a_try_that_nothing_can_follow_has_all_the_time() {
        let (full, empty) = (RetryBudget::default(), RetryBudget { remaining: 0 });
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
        fn tries_stay_within_the_budget(
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
                    prop_assert!(wait >= POLICY.wait.0 && wait <= POLICY.wait.1);
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
}
