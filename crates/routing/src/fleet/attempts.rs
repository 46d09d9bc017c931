//! The attempts of an admitted request: dispatch to a member, outcome, and completion of the request.

use super::eligibility::{pause_key, Eligibility};
use super::keyed::EligibleMembers;
use super::pool::{Pool, DEFAULT_DURATION};
use super::types::{
    Attempt, AttemptOutcome, Completed, MemberRef, MemberStatusChange, NextAction, RequestOutcome,
};
use super::{Fleet, KeyHome, RequestState, SentAttempt, DRAINING_WEIGHT};
use crate::decision_log::{Decision, DecisionOutcome, SkipReason};
use crate::key_placement::KeyHomes;
use crate::member_selection::{self, SelectionReason};
use crate::outcome_reason::OutcomeReason;
use crate::retry::{self, AttemptResult, NoRetryReason, RetryContext, RetryDecision};
use crate::retry_after::{self, with_jitter, MAX_RETRY_AFTER};
use crate::router::RouteDecision;
use rainstand_config::schema::RepeatKind;
use std::rc::Rc;
use std::time::Duration;

/// Status changes that are stored between two ticks; further ones are dropped.
const MAX_STATUS_CHANGES: usize = 1_000;
/// Stored retry-afters of members, 24 bytes each; further ones are dropped.
const MAX_PAUSES: usize = 1 << 20;

/// What the outcome of an attempt says about its member.
#[derive(Clone, Copy, PartialEq, Eq)]
enum MemberVerdict {
    Good,
    Bad,
    /// The member is alive, but the outcome counts neither for nor against it.
    Alive,
    /// The outcome says nothing about the member.
    None,
}

fn verdict(outcome: AttemptOutcome) -> MemberVerdict {
    match outcome {
        AttemptOutcome::Served => MemberVerdict::Good,
        AttemptOutcome::Rejected { .. } => MemberVerdict::Alive,
        AttemptOutcome::CallerLeft => MemberVerdict::None,
        AttemptOutcome::Failed
        | AttemptOutcome::Unreachable
        | AttemptOutcome::Broken
        | AttemptOutcome::TimedOut => MemberVerdict::Bad,
    }
}

/// The member that was selected for an attempt.
struct Selection {
    member: usize,
    selected_by: SelectionReason,
    /// Number of members that could take it.
    candidates: u16,
}

impl RequestState {
    fn retry_context(&self, now: Duration, typical_duration: Duration) -> RetryContext {
        RetryContext {
            repeat: self.repeat,
            is_retry: self.is_retry,
            attempts: self.attempts,
            remaining: self.remaining(now),
            typical_duration,
        }
    }

    /// Time left of the latency objective.
    fn remaining(&self, now: Duration) -> Duration {
        self.objective
            .saturating_sub(now.saturating_sub(self.arrived))
    }
}

impl Fleet {
    /// Sends the next attempt of a request whose backoff is over.
    pub fn on_retry_due(&mut self, now: Duration, request: RequestState) -> NextAction {
        self.on_turn(now);
        self.counts.retries += 1;
        match self.process_hold(now, &request) {
            Some(hold) => self.end_held(now, request, hold),
            None => self.dispatch(now, request),
        }
    }

    /// Index of the request's pool in the current version.
    fn current_pool(&self, decision: &RouteDecision) -> Option<u16> {
        if decision.version >= self.indices_since {
            return Some(decision.placement.pool);
        }
        // The decision has indices of an earlier version, so the pool is looked up by name.
        self.table().pool(&decision.pool)
    }

    /// Sends an attempt to a member of the request's pool: to the home of its key, or else if possible to another member
    /// than the last attempt.
    pub(super) fn dispatch(&mut self, now: Duration, mut request: RequestState) -> NextAction {
        let Some(pool) = self.current_pool(&request.decision) else {
            return self.conclude(now, request, None, OutcomeReason::NoMember);
        };
        let last = request.last_attempt.take().map(|attempt| attempt.member);
        let last = last.filter(|member| member.pool == pool);
        let mut decision = self.new_decision(now, &request, pool);
        let Some(selection) = self.select(now, &request, pool, last, &mut decision) else {
            self.decisions.push(decision);
            return self.conclude(now, request, None, OutcomeReason::NoMember);
        };
        let Selection {
            member,
            selected_by,
            candidates,
        } = selection;
        let timeout = self.next_timeout(now, pool, &mut request);
        decision.outcome = DecisionOutcome::Dispatched {
            member: member as u16,
            selected_by,
            candidates,
            open_attempts: self.pools[usize::from(pool)].members[member].in_flight,
            attempt_number: request.attempts,
        };
        self.decisions.push(decision);
        let to = MemberRef {
            pool,
            member: member as u16,
        };
        self.record_sent(now, to, &mut request);
        let attempt = Attempt {
            to,
            timeout,
            is_retry: request.is_retry || request.attempts > 1,
            attempt_number: request.attempts,
            selected_by,
        };
        NextAction::Dispatch(request, attempt)
    }

    /// Selects the member for the next attempt; `None` if no member can take it.
    fn select(
        &mut self,
        now: Duration,
        request: &RequestState,
        pool: u16,
        last: Option<MemberRef>,
        decision: &mut Decision,
    ) -> Option<Selection> {
        match self.eligible_members(pool, request) {
            EligibleMembers::Any => {}
            EligibleMembers::None => return None,
            EligibleMembers::Home(home) => {
                let selection = Selection {
                    member: usize::from(home.member),
                    selected_by: SelectionReason::KeyHome,
                    candidates: 1,
                };
                let is_usable = self.is_home_usable(request, home, decision);
                return is_usable.then_some(selection);
            }
        }
        let candidates = self.weigh_members(request, pool, last, decision);
        let weights = &self.weights;
        let (member, selected_by) = member_selection::select_member(
            &mut self.selection_policy,
            &mut self.pools[usize::from(pool)].members,
            now,
            &request.entity,
            &mut self.random,
            |member| weights[member],
        )?;
        Some(Selection {
            member,
            selected_by,
            candidates,
        })
    }

    pub(super) fn new_decision(
        &self,
        now: Duration,
        request: &RequestState,
        pool: u16,
    ) -> Decision {
        let rejected = DecisionOutcome::Rejected {
            reason: OutcomeReason::NoMember,
            after: retry_after::DEFAULT,
        };
        let mut decision = Decision::new(now, request.request_class, request.tenant, rejected);
        decision.pool = Some(pool);
        decision.route = (request.decision.version >= self.indices_since)
            .then_some(request.decision.placement.route);
        decision
    }

    /// Stores the selection weight of each member in `weights` and records skipped members in the decision. Returns the
    /// number of members that could take the attempt.
    fn weigh_members(
        &mut self,
        request: &RequestState,
        pool: u16,
        last: Option<MemberRef>,
        decision: &mut Decision,
    ) -> u16 {
        let eligibility = Eligibility {
            pools: &self.pools,
            pauses: &self.pauses,
            now: decision.time,
            tenant: request.tenant_key,
        };
        let avoid_last = last.is_none() || eligibility.any_usable(pool, last);
        let weights = &mut self.weights;
        weights.clear();
        let mut candidates = 0;
        for member in 0..eligibility.member_count(pool) {
            let member_ref = MemberRef { pool, member };
            let mut weight = eligibility.weight(member_ref);
            if weight > 0.0 && avoid_last && last == Some(member_ref) {
                weight = 0.0;
                decision.record_skipped(member, SkipReason::AlreadyTried);
            } else if let Some(skip) = eligibility
                .skip(member_ref)
                .filter(|_| weight <= DRAINING_WEIGHT)
            {
                decision.record_skipped(member, skip.reason);
            }
            candidates += u16::from(weight > 0.0);
            weights.push(weight);
        }
        // Draining members are used only if there is no other.
        if weights.iter().any(|weight| *weight > DRAINING_WEIGHT) {
            for weight in weights
                .iter_mut()
                .filter(|weight| **weight <= DRAINING_WEIGHT)
            {
                *weight = 0.0;
            }
        }
        candidates
    }

    /// Counts the next attempt and returns its timeout.
    fn next_timeout(&self, now: Duration, pool: u16, request: &mut RequestState) -> Duration {
        let typical_duration = self.pools[usize::from(pool)].typical_duration();
        let attempts_left = request.policy.attempts.saturating_sub(request.attempts);
        request.attempts += 1;
        let context = request.retry_context(now, typical_duration);
        let may_retry = retry::may_retry(&context, &request.policy, &self.budget);
        retry::attempt_timeout(
            context.remaining,
            attempts_left,
            typical_duration,
            may_retry,
        )
    }

    fn record_sent(&mut self, now: Duration, to: MemberRef, request: &mut RequestState) {
        let pool = &mut self.pools[usize::from(to.pool)];
        let index = usize::from(to.member);
        let member = &mut pool.members[index];
        member.in_flight += 1;
        if let Some(ramp) = &mut member.warm_up_limiter {
            ramp.take(now);
        }
        pool.in_flight += 1;
        pool.limits[index].on_sent();
        if let Some(health) = &mut pool.health {
            health.on_sent(index, now);
        }
        let address = pool.addresses[index].clone();
        if !request.key.is_empty() && pool.key_homes != KeyHomes::Shared {
            request.home.get_or_insert(KeyHome {
                address: address.clone(),
                first_sent_at: now,
            });
        }
        request.last_attempt = Some(SentAttempt {
            member: to,
            pool_name: pool.name.clone(),
            address,
            sent_at: now,
            stalled_before: self.stalls.total(),
        });
        request.in_flight = true;
    }

    /// Records how an attempt of a request ended, and decides what follows.
    pub fn on_attempt_outcome(
        &mut self,
        now: Duration,
        mut request: RequestState,
        outcome: AttemptOutcome,
    ) -> NextAction {
        self.on_turn(now);
        let typical_duration = self.record_outcome(now, &mut request, outcome);
        let result = match outcome {
            AttemptOutcome::Served => {
                return self.complete(now, request, RequestOutcome::Served, OutcomeReason::Done);
            }
            AttemptOutcome::CallerLeft => {
                let reason = OutcomeReason::CallerLeft;
                return self.complete(now, request, RequestOutcome::CallerGone, reason);
            }
            AttemptOutcome::Rejected {
                pause,
                nowhere_else,
            } => AttemptResult::Rejected {
                retry_after: pause,
                nowhere_else,
            },
            AttemptOutcome::Unreachable => AttemptResult::NotRun,
            AttemptOutcome::Failed | AttemptOutcome::Broken | AttemptOutcome::TimedOut => {
                AttemptResult::MayHaveRun
            }
        };
        request.may_have_run |= result == AttemptResult::MayHaveRun;
        if let Some(hold) = self.process_hold(now, &request) {
            return self.end_held(now, request, hold);
        }
        let context = request.retry_context(now, typical_duration);
        let (budget, random) = (&mut self.budget, &mut self.random);
        match retry::next(&context, result, &request.policy, budget, random) {
            RetryDecision::Retry { wait } => NextAction::Backoff(request, wait),
            RetryDecision::Stop(reason) => {
                self.conclude(now, request, Some(result), OutcomeReason::Stopped(reason))
            }
        }
    }

    /// Fails a request because the forwarder stops. This does not count against the member.
    pub fn on_drain_ended(&mut self, now: Duration, mut request: RequestState) -> Completed {
        self.record_outcome(now, &mut request, AttemptOutcome::CallerLeft);
        let reason = OutcomeReason::Stopped(NoRetryReason::NoTimeLeft);
        self.finish(now, request, RequestOutcome::Failed, reason)
    }

    /// Records the outcome of an attempt at its member. Returns the typical duration of an attempt in its pool.
    fn record_outcome(
        &mut self,
        now: Duration,
        request: &mut RequestState,
        outcome: AttemptOutcome,
    ) -> Duration {
        // A caller may disconnect during a backoff, when no member has the request.
        if !std::mem::replace(&mut request.in_flight, false) {
            return DEFAULT_DURATION;
        }
        let Some(attempt) = &request.last_attempt else {
            return DEFAULT_DURATION;
        };
        let Some(member_ref) = self.locate(attempt) else {
            return DEFAULT_DURATION;
        };
        let stalled = self.stalls.total().saturating_sub(attempt.stalled_before);
        let elapsed = now.saturating_sub(attempt.sent_at).saturating_sub(stalled);
        let verdict = match verdict(outcome) {
            // The process stalled, so the answer may have arrived but not been read.
            MemberVerdict::Bad if outcome == AttemptOutcome::TimedOut && !stalled.is_zero() => {
                MemberVerdict::None
            }
            verdict => verdict,
        };
        let pool = &mut self.pools[usize::from(member_ref.pool)];
        let typical_duration = pool.typical_duration();
        let index = usize::from(member_ref.member);
        let member = &mut pool.members[index];
        member.in_flight = member.in_flight.saturating_sub(1);
        pool.in_flight = pool.in_flight.saturating_sub(1);
        let lost = matches!(verdict, MemberVerdict::Bad | MemberVerdict::Alive);
        let duration = (verdict == MemberVerdict::Good).then_some(elapsed);
        pool.limits[index].on_completed(now, duration, lost);
        if verdict == MemberVerdict::Bad {
            member.on_failed_attempt(attempt.sent_at, typical_duration);
        }
        self.record_health(now, member_ref, elapsed, verdict);
        if let AttemptOutcome::Rejected { pause, .. } = outcome {
            if !pause.is_zero() && self.pauses.len() < MAX_PAUSES {
                let until = now + pause.min(MAX_RETRY_AFTER);
                self.pauses
                    .insert((member_ref, pause_key(request.tenant_key)), until);
            }
        }
        typical_duration
    }

    /// The member of an attempt by its indices in the current version; `None` if that lacks it.
    fn locate(&self, attempt: &SentAttempt) -> Option<MemberRef> {
        let mut member_ref = attempt.member;
        let pool = self.pools.get(usize::from(member_ref.pool));
        if pool.is_none_or(|pool| pool.name != attempt.pool_name) {
            let moved = |pool: &Pool| pool.name == attempt.pool_name;
            member_ref.pool = self.pools.iter().position(moved)? as u16;
        }
        let addresses = &self.pools[usize::from(member_ref.pool)].addresses;
        let same = |address| Rc::ptr_eq(address, &attempt.address);
        if !addresses
            .get(usize::from(member_ref.member))
            .is_some_and(same)
        {
            let moved = |address: &Rc<str>| *address == attempt.address;
            member_ref.member = addresses.iter().position(moved)? as u16;
        }
        Some(member_ref)
    }

    fn record_health(
        &mut self,
        now: Duration,
        member_ref: MemberRef,
        elapsed: Duration,
        verdict: MemberVerdict,
    ) {
        let Some(health) = &mut self.pools[usize::from(member_ref.pool)].health else {
            return;
        };
        let member = usize::from(member_ref.member);
        let good = match verdict {
            MemberVerdict::Good => true,
            MemberVerdict::Bad => false,
            // A rejection proves that the member is alive, and overload is no failure.
            MemberVerdict::Alive => return health.on_neutral_response(member, now),
            MemberVerdict::None => return health.on_abandoned(member),
        };
        let change = health.on_response(member, now, elapsed, good);
        if let Some(change) = change.filter(|_| self.status_changes.len() < MAX_STATUS_CHANGES) {
            self.status_changes.push(MemberStatusChange {
                member: member_ref,
                status: change.to,
            });
        }
    }

    /// Completes a request that gets no further attempt. It fails if it may have run; but a rerunnable one is rejected
    /// if its last attempt is proved not to have run, or was not made.
    fn conclude(
        &mut self,
        now: Duration,
        request: RequestState,
        result: Option<AttemptResult>,
        reason: OutcomeReason,
    ) -> NextAction {
        let rerunnable = request.repeat == RepeatKind::Rerunnable;
        if request.may_have_run && (!rerunnable || result == Some(AttemptResult::MayHaveRun)) {
            return self.complete(now, request, RequestOutcome::Failed, reason);
        }
        let outcome = if let Some(AttemptResult::Rejected {
            retry_after,
            nowhere_else,
        }) = result
        {
            RequestOutcome::Rejected {
                after: retry_after,
                nowhere_else,
            }
        } else {
            RequestOutcome::Rejected {
                after: self.retry_after(now, &request, result.is_some()),
                nowhere_else: false,
            }
        };
        self.complete(now, request, outcome, reason)
    }

    /// The retry-after of a rejected request. `last_attempt_failed`: an attempt was made but reached no member; `false`
    /// if there was no member to send it to.
    fn retry_after(
        &mut self,
        now: Duration,
        request: &RequestState,
        last_attempt_failed: bool,
    ) -> Duration {
        let earliest = self
            .current_pool(&request.decision)
            .and_then(|pool| {
                self.earliest_retry_at_home(now, pool, request)
                    .or_else(|| self.earliest_retry(pool, request.tenant_key, now))
            })
            .unwrap_or(retry_after::DEFAULT);
        // A member that was just unreachable does not recover within a typical duration.
        let min = if last_attempt_failed {
            retry_after::DEFAULT
        } else {
            Duration::ZERO
        };
        with_jitter(earliest.max(min), &mut self.random)
    }

    pub(super) fn complete(
        &mut self,
        now: Duration,
        request: RequestState,
        outcome: RequestOutcome,
        reason: OutcomeReason,
    ) -> NextAction {
        NextAction::Completed(self.finish(now, request, outcome, reason))
    }

    /// Counts the outcome of a request and releases its places.
    fn finish(
        &mut self,
        now: Duration,
        request: RequestState,
        outcome: RequestOutcome,
        reason: OutcomeReason,
    ) -> Completed {
        let count = match outcome {
            RequestOutcome::Served => &mut self.counts.served,
            RequestOutcome::Rejected { .. } => &mut self.counts.rejected,
            RequestOutcome::Failed => &mut self.counts.failed,
            RequestOutcome::CallerGone => &mut self.counts.caller_gone,
        };
        *count += 1;
        let decision = request.decision;
        // Fair shares are reset when indices change; they do not count requests of earlier versions.
        if decision.version >= self.fair_shares_since {
            let pool = &mut self.pools[usize::from(decision.placement.pool)];
            pool.fair_share.release(request.tenant_key);
        }
        let completed = Completed {
            outcome,
            reason,
            version: decision.version,
            route: Some(decision.placement.route),
            pool: Some(decision.placement.pool),
            attempts: request.attempts,
            elapsed: now.saturating_sub(request.arrived),
        };
        self.router.on_completed(decision);
        completed
    }
}
