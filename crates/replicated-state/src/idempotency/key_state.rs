//! The state of one idempotency key, and the transition that each command makes of it.

use super::{Claim, ClaimOutcome, Command, Operation, Start};
use bytes::Bytes;
use rainstand_raft::plant::planted;

/// Withdrawn claims that are remembered of one key, so that a delayed start of one of them is not granted.
const MAX_WITHDRAWN_CLAIMS: usize = 4;
/// Expiry of a state for which the table sets it from its own bound.
pub(super) const EXPIRY_BY_RETENTION: u64 = u64::MAX;

/// Stage of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, prost::Enumeration)]
#[repr(i32)]
pub(super) enum KeyStage {
    /// No claim holds it; withdrawn claims are remembered.
    Free = 0,
    /// A claim holds it.
    Started = 1,
    /// Its run has a result.
    Completed = 2,
    /// Its run ended without a result.
    Indeterminate = 3,
}

/// The state of one key.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct KeyState {
    #[prost(bytes = "bytes", tag = "1")]
    pub(super) key: Bytes,
    #[prost(enumeration = "KeyStage", tag = "2")]
    stage: i32,
    #[prost(uint64, tag = "3")]
    fingerprint: u64,
    #[prost(message, required, tag = "4")]
    pub(super) claim: Claim,
    #[prost(bytes = "bytes", tag = "5")]
    result: Bytes,
    #[prost(uint64, tag = "6")]
    window_ns: u64,
    /// Log time from which on the key counts as absent.
    #[prost(uint64, tag = "7")]
    pub(super) expires_at: u64,
    #[prost(message, repeated, tag = "8")]
    withdrawn: Vec<Claim>,
}

impl KeyState {
    /// The state in a word, as operators see it.
    pub fn state_name(&self) -> &'static str {
        match self.stage() {
            KeyStage::Free => "withdrawn",
            KeyStage::Started => "started",
            KeyStage::Completed => "known",
            KeyStage::Indeterminate => "uncertain",
        }
    }

    /// Disk of the member whose claim made this state.
    pub fn holder(&self) -> u64 {
        self.claim.holder
    }

    /// Log time, in nanoseconds, from which on the key counts as absent.
    pub fn expires_at(&self) -> u64 {
        self.expires_at
    }

    /// The result of the run; empty unless it has completed.
    pub fn result(&self) -> &Bytes {
        &self.result
    }

    /// Whether a claim holds the key and its run has not ended.
    pub(super) fn is_started(&self) -> bool {
        self.stage() == KeyStage::Started
    }

    fn new(command: &Command, stage: KeyStage) -> Self {
        Self {
            key: command.key.clone(),
            stage: stage.into(),
            claim: command.claim.clone(),
            expires_at: EXPIRY_BY_RETENTION,
            ..Self::default()
        }
    }

    fn started(command: &Command, start: &Start, log_time: u64, withdrawn: Vec<Claim>) -> Self {
        Self {
            fingerprint: start.fingerprint,
            window_ns: start.window_ns,
            expires_at: log_time.saturating_add(start.window_ns),
            withdrawn,
            ..Self::new(command, KeyStage::Started)
        }
    }

    fn remember_withdrawn(&mut self, claim: &Claim) {
        if self.withdrawn.contains(claim) {
            return;
        }
        self.withdrawn.push(claim.clone());
        if self.withdrawn.len() > MAX_WITHDRAWN_CLAIMS {
            self.withdrawn.remove(0);
        }
    }
}

/// The state of a key after a command, and the command's outcome.
///
/// `state` is none where the key is absent or expired. `log_time` is the command's, in nanoseconds.
pub(super) fn transition(
    state: Option<KeyState>,
    command: &Command,
    log_time: u64,
) -> (Option<KeyState>, ClaimOutcome) {
    match &command.operation {
        Some(Operation::Start(start)) => {
            let (state, outcome) = start_run(state, command, start, log_time);
            (Some(state), outcome)
        }
        Some(Operation::Done(result)) => record_result(state, command, result, log_time),
        Some(Operation::Failed(_)) => record_failure(state, command),
        Some(Operation::Withdraw(_)) => (Some(withdraw(state, command)), ClaimOutcome::Recorded),
        Some(Operation::Set(_) | Operation::Publish(_)) | None => (state, ClaimOutcome::NotHeld),
    }
}

fn start_run(
    state: Option<KeyState>,
    command: &Command,
    start: &Start,
    log_time: u64,
) -> (KeyState, ClaimOutcome) {
    let Some(state) = state else {
        let started = KeyState::started(command, start, log_time, Vec::new());
        return (started, ClaimOutcome::Granted);
    };
    let is_free = state.stage() == KeyStage::Free;
    if is_free && state.withdrawn.contains(&command.claim) {
        return (state, ClaimOutcome::Withdrawn);
    }
    if is_free {
        let started = KeyState::started(command, start, log_time, state.withdrawn);
        return (started, ClaimOutcome::Granted);
    }
    if state.fingerprint != start.fingerprint {
        return (state, ClaimOutcome::KeyMismatch);
    }
    let outcome = match state.stage() {
        KeyStage::Completed => ClaimOutcome::Completed(state.result.clone()),
        KeyStage::Indeterminate => ClaimOutcome::Indeterminate,
        _ if state.claim == command.claim => ClaimOutcome::Granted,
        _ if planted("second-run") => ClaimOutcome::Granted,
        _ => ClaimOutcome::InProgress,
    };
    (state, outcome)
}

fn record_result(
    state: Option<KeyState>,
    command: &Command,
    result: &Bytes,
    log_time: u64,
) -> (Option<KeyState>, ClaimOutcome) {
    // The key expired: repeats are no longer recognized.
    let Some(mut state) = state else {
        return (None, ClaimOutcome::NotHeld);
    };
    if state.claim != command.claim {
        return (Some(state), ClaimOutcome::NotHeld);
    }
    let outcome = match state.stage() {
        KeyStage::Started | KeyStage::Indeterminate => {
            state.stage = KeyStage::Completed.into();
            state.result = result.clone();
            state.expires_at = log_time.saturating_add(state.window_ns);
            ClaimOutcome::Recorded
        }
        KeyStage::Completed => ClaimOutcome::Recorded,
        KeyStage::Free => ClaimOutcome::NotHeld,
    };
    (Some(state), outcome)
}

fn record_failure(state: Option<KeyState>, command: &Command) -> (Option<KeyState>, ClaimOutcome) {
    match state {
        Some(mut state) if state.claim == command.claim && state.is_started() => {
            state.stage = KeyStage::Indeterminate.into();
            (Some(state), ClaimOutcome::Recorded)
        }
        state => (state, ClaimOutcome::NotHeld),
    }
}

/// Frees the key if the claim holds it, and remembers the claim in any case: its start may arrive later.
fn withdraw(state: Option<KeyState>, command: &Command) -> KeyState {
    let mut state = state.unwrap_or_else(|| KeyState::new(command, KeyStage::Free));
    if state.claim == command.claim && state.is_started() {
        state.stage = KeyStage::Free.into();
    }
    state.remember_withdrawn(&command.claim);
    state
}
