//! Decides whether a request is retried, after what backoff, and how long each attempt may take.
//!
//! A request that may have run is repeated only if its class and the policy's proof allow it. Beyond that, there is no
//! retry, in this order: if the member discouraged other members, if the request is itself a retry (its sender retries),
//! past the policy's number of attempts, without time for a typical attempt after the backoff, or without retry budget.
//!
//! The budget holds for the whole process: retries never exceed [`INITIAL_RETRIES`] plus the configured share of first
//! attempts, however many requests fail at once.

use nanorand::{Rng, WyRand};
use rainstand_config::schema::{self, Proof, RepeatKind};
use rainstand_config::units::ONE;
use std::time::Duration;

/// Retries that a process may make before any first attempt: enough for a few isolated failures.
pub const INITIAL_RETRIES: u64 = 10;
/// Retries that can be saved up: a burst of failures beyond that is an outage.
const MAX_SAVED_RETRIES: u64 = 100;
/// Typical durations that an attempt gets at least, if the request may run again: few runs last longer.
const MIN_TIMEOUT_FACTOR: u32 = 4;

/// How an attempt ended, as far as a retry depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// Proved not run: there was no connection, or the server said so.
    NotRun,
    /// Rejected, so it did not run.
    Rejected {
        /// The member's retry-after, from now; zero if it gave none. It does not delay a retry, which goes to another member
        /// if there is one; it goes to the caller if there is no retry.
        pause: Duration,
        /// The server asked not to try other members.
        nowhere_else: bool,
    },
    /// It failed, timed out or lost its connection: it may have run.
    MayHaveRun,
}

/// A retry policy of the configuration.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    /// Attempts in all, the first one included; at least 1.
    pub attempts: u32,
    /// Shortest wait before a retry.
    pub min_backoff: Duration,
    /// Longest wait before a retry.
    pub max_backoff: Duration,
    /// What must be proved before a request that may have run is repeated.
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

/// What a retry decision needs to know of a request.
#[derive(Clone, Copy, Debug)]
pub struct RetryContext {
    /// Whether its class allows it to run again.
    pub repeat: RepeatKind,
    /// It arrived marked as a retry.
    pub is_retry: bool,
    /// Attempts made so far, the first one included.
    pub attempts: u32,
    /// What is left of its latency objective.
    pub remaining: Duration,
    /// How long a typical attempt takes.
    pub typical_duration: Duration,
}

/// Why a request is not retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NoRetryReason {
    /// It may have run, and its class or policy does not allow a second run.
    MayHaveRun,
    /// The server asked not to try other members.
    NowhereElse,
    /// It arrived as a retry.
    FurtherTry,
    /// All attempts of the policy are made.
    Tries,
    /// The process has no retry budget left.
    Budget,
    /// Too little is left of its latency objective.
    Time,
}

/// What follows an attempt that did not succeed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Another attempt, marked as a retry.
    Retry {
        /// How long to wait before.
        wait: Duration,
    },
    /// No further attempt.
    Stop(NoRetryReason),
}

/// The retries that the process may still make.
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

    /// Records a first attempt, which earns `share` millionths of a retry.
    pub fn on_first_attempt(&mut self, share: u64) {
        self.remaining = (self.remaining + share).min(MAX_SAVED_RETRIES * ONE);
    }

    /// What is left, in millionths of a retry.
    pub fn remaining(&self) -> u64 {
        self.remaining
    }

    /// Takes one retry, if there is one left.
    fn try_spend(&mut self) -> bool {
        let enough = self.remaining >= ONE;
        if enough {
            self.remaining -= ONE;
        }
        enough
    }
}

/// Whether the class of a request and the policy allow another run after this result.
fn allows_rerun(repeat: RepeatKind, result: AttemptResult, proof: Proof) -> bool {
    // `Proof::None`: after any failure. `Mark`: under the key that identifies a repeat. `NotRun`: only where nothing ran.
    // Each value serves one kind of class: an idempotent one is not rerun under `Mark`, nor a keyed one under `None`.
    match (result, repeat) {
        (AttemptResult::NotRun | AttemptResult::Rejected { .. }, _) => true,
        (AttemptResult::MayHaveRun, RepeatKind::Rerunnable) => proof == Proof::None,
        (AttemptResult::MayHaveRun, RepeatKind::Ticketed) => proof == Proof::Mark,
        (AttemptResult::MayHaveRun, RepeatKind::Exclusive | RepeatKind::Unspecified) => false,
    }
}

/// Whether an attempt that times out may be followed by another.
pub fn may_retry(request: &RetryContext, policy: &RetryPolicy, budget: &RetryBudget) -> bool {
    allows_rerun(request.repeat, AttemptResult::MayHaveRun, policy.proof)
        && !request.is_retry
        && request.attempts < policy.attempts
        && budget.remaining >= ONE
}

/// The time that one attempt may take, out of `remaining`.
///
/// All of it, if no other attempt may follow: cutting it short would only lose its work. Else an even part for each of
/// the `attempts_left`, but at least a few typical durations, or long runs would be cut off at one member and started
/// again at the next.
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

/// Decides what follows an attempt with this result. Spends from the budget only if there is a retry.
pub fn next(
    request: &RetryContext,
    result: AttemptResult,
    policy: &RetryPolicy,
    budget: &mut RetryBudget,
    chance: &mut WyRand,
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
        return RetryDecision::Stop(NoRetryReason::FurtherTry);
    }
    if request.attempts >= policy.attempts {
        return RetryDecision::Stop(NoRetryReason::Tries);
    }
    let wait = backoff(policy, chance);
    let remaining = request.remaining.saturating_sub(wait);
    if remaining < request.typical_duration || remaining.is_zero() {
        return RetryDecision::Stop(NoRetryReason::Time);
    }
    // Checked last, so that nothing is spent on an attempt that is not made.
    if !budget.try_spend() {
        return RetryDecision::Stop(NoRetryReason::Budget);
    }
    RetryDecision::Retry { wait }
}

/// A random wait within the policy's bounds.
fn backoff(policy: &RetryPolicy, chance: &mut WyRand) -> Duration {
    let spread = policy.max_backoff.saturating_sub(policy.min_backoff);
    let fraction = f64::from(chance.generate::<u32>()) / f64::from(u32::MAX);
    policy.min_backoff + spread.mul_f64(fraction)
}
