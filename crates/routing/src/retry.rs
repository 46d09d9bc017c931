//! Decides whether a request is retried, its backoff, and the timeout of each attempt.
//!
//! A request that may have run is retried only if its class and the policy's proof allow it. Further reasons against a
//! retry, checked in this order: the member asked not to try others, the request is itself a retry (its sender
//! retries), the policy's attempts are used up, no time is left for a typical attempt after the backoff, or the budget
//! is empty.
//!
//! The budget is per process: retries never exceed [`INITIAL_RETRIES`] plus the configured share of first attempts,
//! however many requests fail at the same time.

use nanorand::{Rng, WyRand};
use rainstand_config::schema::{self, Proof, RepeatKind};
use rainstand_config::units::ONE;
use std::time::Duration;

/// Retries that a process may make before any first attempt: enough for a few isolated failures.
pub const INITIAL_RETRIES: u64 = 10;
/// Maximum of the budget, in retries: a larger burst of failures is an outage.
const MAX_SAVED_RETRIES: u64 = 100;
/// Shortest timeout of an attempt that may be retried, in typical durations: few runs last longer.
const MIN_TIMEOUT_FACTOR: u32 = 4;

/// How an attempt ended, reduced to what a retry decision needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// Proved not to have run: there was no connection, or the server said so.
    NotRun,
    /// Rejected, so it did not run.
    Rejected {
        /// The member's retry-after, from now; zero if it gave none. It does not delay a retry, which goes to another
        /// member if there is one. Without a retry it is sent to the caller.
        retry_after: Duration,
        /// Whether the server asked not to try other members.
        nowhere_else: bool,
    },
    /// It failed, timed out or lost its connection: it may have run.
    MayHaveRun,
}

/// A retry policy of the configuration.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    /// Maximum of attempts, including the first; at least 1.
    pub attempts: u32,
    /// Shortest wait before a retry.
    pub min_backoff: Duration,
    /// Longest wait before a retry.
    pub max_backoff: Duration,
    /// What must be proved before a request that may have run is retried.
    pub proof: Proof,
}

impl From<&schema::Attempts> for RetryPolicy {
    fn from(policy: &schema::Attempts) -> Self {
        Self {
            attempts: u32::try_from(policy.tries).unwrap_or(u32::MAX).max(1),
            min_backoff: Duration::from_nanos(policy.wait_least_ns),
            max_backoff: Duration::from_nanos(policy.wait_most_ns),
            proof: policy.proof(),
        }
    }
}

/// The data of a request that a retry decision needs.
#[derive(Clone, Copy, Debug)]
pub struct RetryContext {
    /// Whether its class allows it to run again.
    pub repeat: RepeatKind,
    /// Whether it arrived marked as a retry.
    pub is_retry: bool,
    /// Attempts made so far, including the first.
    pub attempts: u32,
    /// Time left of its latency objective.
    pub remaining: Duration,
    /// Typical duration of an attempt.
    pub typical_duration: Duration,
}

/// Why a request is not retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NoRetryReason {
    /// It may have run, and its class or policy does not allow a second run.
    MayHaveRun,
    /// The server asked not to try other members.
    NowhereElse,
    /// It arrived marked as a retry.
    IsRetry,
    /// All attempts of the policy are made.
    AttemptsExhausted,
    /// The process has no retry budget left.
    BudgetExhausted,
    /// Too little time is left of its latency objective.
    NoTimeLeft,
}

/// What follows an attempt that did not succeed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Another attempt, marked as a retry.
    Retry {
        /// Backoff before the attempt.
        wait: Duration,
    },
    /// No further attempt.
    Stop(NoRetryReason),
}

/// Limits the retries of the process.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// In millionths of a retry.
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
    /// A budget without any retry, as after an outage.
    pub fn empty() -> Self {
        Self { remaining: 0 }
    }

    /// Records a first attempt, which adds `share` millionths of a retry.
    pub fn on_first_attempt(&mut self, share: u64) {
        self.remaining = (self.remaining + share).min(MAX_SAVED_RETRIES * ONE);
    }

    /// The rest of the budget, in millionths of a retry.
    pub fn remaining(&self) -> u64 {
        self.remaining
    }

    /// Spends one retry if the budget suffices. Returns whether it did.
    fn try_spend(&mut self) -> bool {
        let enough = self.remaining >= ONE;
        if enough {
            self.remaining -= ONE;
        }
        enough
    }
}

/// Whether the class of a request and the policy's proof allow another run after this result.
fn allows_rerun(repeat: RepeatKind, result: AttemptResult, proof: Proof) -> bool {
    // `Proof::None`: after any failure. `Mark`: with the key that identifies a repeat. `NotRun`: only if nothing ran.
    // Each value applies to one kind of class: a rerunnable one is not rerun under `Mark`, nor a keyed one under `None`.
    match (result, repeat) {
        (AttemptResult::NotRun | AttemptResult::Rejected { .. }, _) => true,
        (AttemptResult::MayHaveRun, RepeatKind::Rerunnable) => proof == Proof::None,
        (AttemptResult::MayHaveRun, RepeatKind::Ticketed) => proof == Proof::Mark,
        (AttemptResult::MayHaveRun, RepeatKind::Exclusive | RepeatKind::Unspecified) => false,
    }
}

/// Whether an attempt that times out may be retried.
pub fn may_retry(request: &RetryContext, policy: &RetryPolicy, budget: &RetryBudget) -> bool {
    allows_rerun(request.repeat, AttemptResult::MayHaveRun, policy.proof)
        && !request.is_retry
        && request.attempts < policy.attempts
        && budget.remaining >= ONE
}

/// The timeout of one attempt, out of the `remaining` time.
///
/// Without a further attempt it is all of that, since a shorter timeout would only lose work. Otherwise it is an equal
/// part for each of the `attempts_left`, but at least a few typical durations: else long runs would be cut off at one
/// member and restarted at the next.
pub fn attempt_timeout(
    remaining: Duration,
    attempts_left: u32,
    typical_duration: Duration,
    may_retry: bool,
) -> Duration {
    if !may_retry {
        return remaining;
    }
    (remaining / attempts_left.max(1))
        .max(typical_duration * MIN_TIMEOUT_FACTOR)
        .min(remaining)
}

/// Decides what follows an attempt that did not succeed. Spends from the budget only if there is a retry.
pub fn next(
    request: &RetryContext,
    result: AttemptResult,
    policy: &RetryPolicy,
    budget: &mut RetryBudget,
    random: &mut WyRand,
) -> RetryDecision {
    if !allows_rerun(request.repeat, result, policy.proof) {
        return RetryDecision::Stop(NoRetryReason::MayHaveRun);
    }
    if let AttemptResult::Rejected {
        nowhere_else: true, ..
    } = result
    {
        return RetryDecision::Stop(NoRetryReason::NowhereElse);
    }
    if request.is_retry {
        return RetryDecision::Stop(NoRetryReason::IsRetry);
    }
    if request.attempts >= policy.attempts {
        return RetryDecision::Stop(NoRetryReason::AttemptsExhausted);
    }
    let wait = backoff(policy, random);
    let remaining = request.remaining.saturating_sub(wait);
    if remaining < request.typical_duration || remaining.is_zero() {
        return RetryDecision::Stop(NoRetryReason::NoTimeLeft);
    }
    // Checked last, so that no budget is spent on an attempt that is not made.
    if !budget.try_spend() {
        return RetryDecision::Stop(NoRetryReason::BudgetExhausted);
    }
    RetryDecision::Retry { wait }
}

/// A random duration within the policy's bounds.
fn backoff(policy: &RetryPolicy, random: &mut WyRand) -> Duration {
    let spread = policy.max_backoff.saturating_sub(policy.min_backoff);
    let fraction = f64::from(random.generate::<u32>()) / f64::from(u32::MAX);
    policy.min_backoff + spread.mul_f64(fraction)
}
