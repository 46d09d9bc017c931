//! The checker: the state of each request, and the invariants over it.

use crate::{Answer, Kind, RecordedStep, Step, Violation};
use foldhash::HashMap;
use std::time::Duration;

/// Maximum number of steps stored per request: its arrival, and a run and an answer for each of several attempts.
pub const MAX_STEPS: usize = 24;

/// Invariant 1: no request is lost.
const NO_REQUEST_LOST: u8 = 1;
/// Invariant 2: no effect happens twice.
const NO_EFFECT_TWICE: u8 = 2;
/// Invariant 3: a forwarder drains before it exits.
const SAFE_DRAIN: u8 = 3;
/// Invariant 4: every bounded value stays within its bound.
const WITHIN_BOUNDS: u8 = 4;

/// The state of one request.
#[derive(Debug)]
struct RequestState {
    kind: Kind,
    deadline: Duration,
    front: u32,
    runs: u32,
    shared: bool,
    /// Runs whose attempt was not marked as a retry.
    unmarked_runs: u32,
    answer: Option<Answer>,
    caller_left: bool,
    steps: Vec<RecordedStep>,
}

impl RequestState {
    fn is_open(&self) -> bool {
        self.answer.is_none() && !self.caller_left
    }

    fn is_open_at(&self, front: u32) -> bool {
        self.front == front && self.is_open()
    }

    fn was_served(&self) -> bool {
        self.runs > 0 || self.shared
    }
}

/// Counts of the reported steps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Requests received.
    pub asked: u64,
    /// Attempts sent to members.
    pub tried: u64,
    /// Executions of requests by members.
    pub ran: u64,
    /// Requests answered with a result.
    pub honoured: u64,
    /// Requests answered as rejected.
    pub dismissed: u64,
    /// Requests answered as failed.
    pub given_up: u64,
    /// Requests answered with an application exception.
    pub exceptions: u64,
    /// Requests whose caller disconnected before an answer.
    pub left: u64,
}

/// The checker of the four invariants. See the crate's documentation.
#[derive(Debug, Default)]
pub struct InvariantChecker {
    requests: HashMap<u64, RequestState>,
    open: u64,
    tally: Tally,
    /// Open requests by forwarder.
    open_by_front: HashMap<u32, u64>,
    first_violation: Option<Violation>,
    /// How long after their deadline completed requests are dropped; `None`: never.
    retention: Option<Duration>,
}

impl InvariantChecker {
    /// For long runs: completed requests are dropped when `after` has passed since their deadline. A run that is
    /// reported even later is not checked, so `after` should be the longest time that anything can take.
    pub fn with_retention(after: Duration) -> Self {
        Self {
            retention: Some(after),
            ..Self::default()
        }
    }

    /// The number of requests without an answer whose caller is still waiting.
    pub fn open(&self) -> u64 {
        self.open
    }

    /// Counts of all steps so far.
    pub fn tally(&self) -> Tally {
        self.tally
    }

    /// The number of requests whose state is stored.
    pub fn stored_requests(&self) -> usize {
        self.requests.len()
    }

    /// The first violation.
    pub fn first_violation(&self) -> Option<&Violation> {
        self.first_violation.as_ref()
    }

    /// The answer to a request, if it has one.
    pub fn answer(&self, request: u64) -> Option<Answer> {
        self.requests.get(&request)?.answer
    }

    fn violation(
        &mut self,
        rule: u8,
        at: Duration,
        request: Option<u64>,
        reason: impl Into<String>,
    ) -> Result<(), Violation> {
        let state = request.and_then(|request| self.requests.get(&request));
        let steps = state.map(|state| state.steps.clone()).unwrap_or_default();
        let violation = Violation {
            rule,
            at,
            request,
            reason: reason.into(),
            steps,
        };
        self.first_violation.get_or_insert(violation.clone());
        Err(violation)
    }

    /// Records a step of a request.
    ///
    /// # Errors
    /// If the step violates an invariant.
    pub fn record(&mut self, at: Duration, request: u64, step: Step) -> Result<(), Violation> {
        if let Step::Asked { kind, due, front } = step {
            return self.on_asked(at, request, kind, due, front);
        }
        let Some(state) = self.requests.get_mut(&request) else {
            // A dropped request may still have late attempts or runs, which are ignored.
            return match step {
                Step::Answered(_) => {
                    let reason = "an answer to an unknown request";
                    self.violation(NO_REQUEST_LOST, at, Some(request), reason)
                }
                _ => Ok(()),
            };
        };
        if state.steps.len() < MAX_STEPS {
            state.steps.push(RecordedStep { at, step });
        }
        match step {
            Step::Asked { .. } => Ok(()),
            Step::Tried { .. } => {
                self.tally.tried += 1;
                Ok(())
            }
            Step::Ran { marked, .. } => self.on_ran(at, request, marked),
            Step::Shared => {
                state.shared = true;
                Ok(())
            }
            Step::Left => {
                if state.is_open() {
                    state.caller_left = true;
                    self.tally.left += 1;
                    self.close(request);
                }
                Ok(())
            }
            Step::Answered(answer) => self.on_answered(at, request, answer),
        }
    }

    fn on_asked(
        &mut self,
        at: Duration,
        request: u64,
        kind: Kind,
        deadline: Duration,
        front: u32,
    ) -> Result<(), Violation> {
        if self.requests.contains_key(&request) {
            return self.violation(
                NO_REQUEST_LOST,
                at,
                Some(request),
                "a second request with the same number",
            );
        }
        let state = RequestState {
            kind,
            deadline,
            front,
            runs: 0,
            shared: false,
            unmarked_runs: 0,
            answer: None,
            caller_left: false,
            steps: vec![RecordedStep {
                at,
                step: Step::Asked {
                    kind,
                    due: deadline,
                    front,
                },
            }],
        };
        self.requests.insert(request, state);
        self.tally.asked += 1;
        self.open += 1;
        *self.open_by_front.entry(front).or_default() += 1;
        Ok(())
    }

    fn on_ran(&mut self, at: Duration, request: u64, marked: bool) -> Result<(), Violation> {
        let Some(state) = self.requests.get_mut(&request) else {
            return Ok(());
        };
        self.tally.ran += 1;
        state.runs += 1;
        state.unmarked_runs += u32::from(!marked);
        let (runs, unmarked) = (state.runs, state.unmarked_runs);
        let rejected = state.answer == Some(Answer::Dismissed);
        let reason = match state.kind {
            Kind::Rerunnable => return Ok(()),
            _ if rejected => "ran after it was dismissed".to_owned(),
            Kind::Exclusive if runs > 1 => format!("an exclusive ticket ran {runs} times"),
            Kind::Ticketed if unmarked > 1 => {
                format!("a request with a key ran {unmarked} times without a retry mark")
            }
            Kind::Ticketed | Kind::Exclusive => return Ok(()),
        };
        self.violation(NO_EFFECT_TWICE, at, Some(request), reason)
    }

    fn on_answered(&mut self, at: Duration, request: u64, answer: Answer) -> Result<(), Violation> {
        let Some(state) = self.requests.get_mut(&request) else {
            return Ok(());
        };
        if state.caller_left {
            // The caller disconnected while the answer was being sent, so the answer is not read.
            return Ok(());
        }
        if state.answer.is_some() {
            return self.violation(NO_REQUEST_LOST, at, Some(request), "a second answer");
        }
        state.answer = Some(answer);
        let (kind, runs, deadline) = (state.kind, state.runs, state.deadline);
        let served = state.was_served();
        self.count(answer);
        self.close(request);
        if at > deadline {
            let reason = format!("answered after its deadline, {deadline:?}");
            return self.violation(NO_REQUEST_LOST, at, Some(request), reason);
        }
        if answer == Answer::Dismissed && kind != Kind::Rerunnable && runs > 0 {
            return self.violation(
                NO_EFFECT_TWICE,
                at,
                Some(request),
                "dismissed though it ran",
            );
        }
        if answer == Answer::Honoured && !served {
            return self.violation(
                NO_REQUEST_LOST,
                at,
                Some(request),
                "answered with a result although it never ran",
            );
        }
        Ok(())
    }

    fn count(&mut self, answer: Answer) {
        let count = match answer {
            Answer::Honoured => &mut self.tally.honoured,
            Answer::Dismissed => &mut self.tally.dismissed,
            Answer::GivenUp => &mut self.tally.given_up,
            Answer::Exception => &mut self.tally.exceptions,
        };
        *count += 1;
    }

    fn close(&mut self, request: u64) {
        self.open -= 1;
        let front = self.requests.get(&request).map(|state| state.front);
        if let Some(open) = front.and_then(|front| self.open_by_front.get_mut(&front)) {
            *open -= 1;
        }
    }

    /// The lowest number of a request that `matches`, so that the reported request does not depend on the order of
    /// the map.
    fn lowest(&self, matches: impl Fn(&RequestState) -> bool) -> Option<u64> {
        let matching = self.requests.iter().filter(|(_, state)| matches(state));
        matching.map(|(request, _)| *request).min()
    }

    /// Checks that no request is without an answer past its deadline, and drops completed requests after their
    /// retention. Iterates over all stored requests.
    ///
    /// # Errors
    /// If a request has no answer past its deadline; names the one with the lowest number.
    pub fn check_deadlines(&mut self, now: Duration) -> Result<(), Violation> {
        if let Some(lost) = self.lowest(|state| state.is_open() && state.deadline < now) {
            return self.violation(
                NO_REQUEST_LOST,
                now,
                Some(lost),
                "no answer by its deadline",
            );
        }
        if let Some(retention) = self.retention {
            self.requests
                .retain(|_, state| state.is_open() || state.deadline + retention > now);
        }
        Ok(())
    }

    /// Checks that a forwarder that has exited after its drain has no open requests. Callers whose connections it
    /// closed must have been reported as [`Step::Left`].
    ///
    /// # Errors
    /// If requests are open there; gives their number.
    pub fn check_drained(&mut self, at: Duration, front: u32) -> Result<(), Violation> {
        let open = self.open_by_front.get(&front).copied().unwrap_or(0);
        if open == 0 {
            return Ok(());
        }
        let first = self.lowest(|state| state.is_open_at(front));
        let reason = format!("forwarder {front} exited with {open} requests unanswered");
        self.violation(SAFE_DRAIN, at, first, reason)
    }

    /// Checks a value against its bound. `what` names the value in the violation.
    ///
    /// # Errors
    /// If the value exceeds its bound.
    pub fn check_bound(
        &mut self,
        at: Duration,
        what: &str,
        value: u64,
        bound: u64,
    ) -> Result<(), Violation> {
        if value <= bound {
            return Ok(());
        }
        let reason = format!("{what}: {value} exceeds the bound of {bound}");
        self.violation(WITHIN_BOUNDS, at, None, reason)
    }

    /// Checks the retries of one process against their budget: `share` of its first attempts, plus `base`.
    ///
    /// # Errors
    /// If there were more retries.
    pub fn check_retry_budget(
        &mut self,
        at: Duration,
        first_attempts: u64,
        retries: u64,
        share: f64,
        base: u64,
    ) -> Result<(), Violation> {
        let bound = base + (first_attempts as f64 * share) as u64;
        self.check_bound(at, "retries", retries, bound)
    }

    /// Ends the run and checks that every request has an answer or a caller that disconnected.
    ///
    /// # Errors
    /// The first violation of the whole run, or a request without an answer.
    pub fn finish(&mut self, at: Duration) -> Result<Tally, Violation> {
        if self.open > 0 {
            let first = self.lowest(RequestState::is_open);
            let reason = format!(
                "{} requests without an answer at the end of the run",
                self.open
            );
            // It counts only if it is the first violation, which is returned below.
            let _ = self.violation(NO_REQUEST_LOST, at, first, reason);
        }
        self.first_violation.clone().map_or(Ok(self.tally), Err)
    }
}
