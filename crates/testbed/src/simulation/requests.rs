//! Callers, their requests, and the agents that run them.

use super::events::EventKind;
use super::{name, Simulation, KEY_WINDOW, MS, REQUEST_TIMEOUT, START_TIMEOUT};
use crate::history::{Event as HistoryEvent, Observation, RequestEnd};
use bytes::Bytes;
use rainstand_replicated_state::idempotency::{Command, Operation, Start};
use rainstand_replicated_state::idempotent_request::{
    transition, RequestAction, RequestEvent, RequestStage, RunEnd, Transition,
};
use rainstand_replicated_state::member::GroupMember;
use rainstand_storage::Store;
use std::time::Duration;

/// Percentage of requests that repeat an earlier key, and the number of latest keys that may be repeated.
const REPEAT_PERCENT: u64 = 35;
const MAX_REPEATED_KEYS: usize = 30;
/// One repeat in this many goes to several nodes concurrently, one in this many has another body.
const CONCURRENT_REPEAT_ODDS: u64 = 3;
const CHANGED_BODY_ODDS: u64 = 20;
/// Shortest run, in nanoseconds, and the upper bound of a drawn addition to it.
const MIN_RUN_TIME: u64 = MS;
const RUN_JITTER: u64 = 8 * MS;
/// Nanoseconds of a request's time that are reserved for its answer after the run.
const ANSWER_MARGIN: u64 = 20 * MS;
/// Nanoseconds from the end of a run until its node learns of it, and between retries while the node is down.
const OUTCOME_DELAY: u64 = MS / 10;
const OUTCOME_RETRY_DELAY: u64 = 100 * MS;
/// Time limit for the group to agree on the result of a run from an earlier incarnation.
const LATE_RESULT_TIMEOUT: Duration = Duration::from_secs(5);

/// A request of a caller.
pub(super) struct Request {
    /// Number of its key.
    key: usize,
    pub(super) node: usize,
    /// Incarnation of its node when it was sent.
    incarnation: u64,
    /// Stage of its handling by the node; `None` once that has ended.
    stage: Option<RequestStage>,
    /// Whether the caller waits for its end.
    pub(super) is_open: bool,
    body: &'static str,
    /// Result of its run, as the agent knows it.
    result: Option<String>,
    sent_at: u64,
    /// Whether its caller may abandon it.
    pub(super) is_disturbed: bool,
}

/// Name of a request by its index.
fn request_name(request: usize) -> String {
    format!("t{request}")
}

/// Name of a key by its number.
fn key_name(key: usize) -> String {
    format!("k{key}")
}

/// Trace id, which identifies a request within its group.
fn trace_id(request: usize) -> [u8; 16] {
    (request as u128).to_be_bytes()
}

/// Charge of a run to its tenant, in microseconds.
fn charge_of(request: usize) -> u64 {
    1 + request as u64 % 7
}

impl Simulation {
    fn record(&mut self, observer: String, event: HistoryEvent) {
        let line = self.outcome.history.len() + 1;
        self.outcome.history.push(Observation {
            at: self.now,
            observer,
            line,
            event,
        });
    }

    /// Sends a request to a drawn node, with this key or a drawn one.
    pub(super) fn send_request(&mut self, key: Option<usize>) {
        let node = self.draw(self.config.nodes as u64) as usize;
        let is_repeat = self.draw(100) < REPEAT_PERCENT && !self.keys.is_empty();
        let key = key.unwrap_or_else(|| self.draw_key(is_repeat));
        if !is_repeat {
            self.keys.push(key);
        } else if self.draw(CONCURRENT_REPEAT_ODDS) == 0 {
            // The same key at several nodes concurrently.
            let after = self.draw(3 * MS);
            self.schedule(after, EventKind::SendRequest { key: Some(key) });
        }
        if self.nodes[node].member.is_none() {
            return;
        }
        let has_changed_body = is_repeat && self.draw(CHANGED_BODY_ODDS) == 0;
        let (fingerprint, body) = if has_changed_body {
            (2, "other")
        } else {
            (1, "body")
        };
        let request = self.open_request(key, node, body);
        self.schedule(REQUEST_TIMEOUT, EventKind::Deadline { request });
        if self.nodes[node].is_paused {
            return;
        }
        let start = Operation::Start(Start {
            fingerprint,
            window_ns: KEY_WINDOW,
        });
        let command = self.command(request, start);
        self.submit(request, command, START_TIMEOUT);
    }

    /// Returns a new key or, for a repeat, one of the latest.
    fn draw_key(&mut self, is_repeat: bool) -> usize {
        if !is_repeat {
            return self.keys.len();
        }
        let keys_back = self.draw(self.keys.len().min(MAX_REPEATED_KEYS) as u64) as usize;
        self.keys[self.keys.len() - 1 - keys_back]
    }

    fn open_request(&mut self, key: usize, node: usize, body: &'static str) -> usize {
        let request = self.requests.len();
        self.requests.push(Request {
            key,
            node,
            incarnation: self.nodes[node].incarnation,
            stage: Some(RequestStage::Claiming),
            is_open: true,
            body,
            result: None,
            sent_at: self.now,
            is_disturbed: self.nodes[node].is_paused,
        });
        let sent = HistoryEvent::Requested {
            request: request_name(request),
            request_class: Some("register".into()),
            key: Some(key_name(key)),
            body: Some(body.into()),
            node: Some(name(node)),
            deadline: self.now + REQUEST_TIMEOUT,
        };
        self.record("caller".into(), sent);
        request
    }

    /// Submits a command to the group; its outcome advances the request.
    fn submit(&mut self, request: usize, command: Command, timeout: u64) {
        let node = self.requests[request].node;
        let now = self.clock(node);
        let deadline = now + Duration::from_nanos(timeout);
        let mut id = None;
        if let Some(member) = &mut self.nodes[node].member {
            id = member.request(now, command, deadline);
            // The id must be registered before the effects of the call are applied.
            if let Some(id) = id {
                self.nodes[node].pending.insert(id, request);
            }
            self.call_member(node, |_, _| {});
        }
        if id.is_none() {
            self.advance(request, RequestEvent::TimedOut);
        }
    }

    /// Advances a request by an event, as its node does.
    pub(super) fn advance(&mut self, request: usize, event: RequestEvent) {
        let Some(stage) = self.requests[request].stage else {
            return;
        };
        let Transition { next, action } = transition(stage, event);
        self.requests[request].stage = next;
        let node = self.requests[request].node;
        match action {
            RequestAction::None => {}
            RequestAction::Launch => {
                let run_time = MIN_RUN_TIME + self.draw(RUN_JITTER);
                self.schedule(run_time, EventKind::RunFinished { node, request });
            }
            RequestAction::ReplicateResult(result) => {
                let deadline = self.requests[request].sent_at + REQUEST_TIMEOUT;
                let left = deadline.saturating_sub(self.now);
                let command = self.command(request, Operation::Done(result));
                self.submit(request, command, left.saturating_sub(ANSWER_MARGIN));
            }
            RequestAction::Respond(result) => {
                let own = self.requests[request].result.clone();
                let result = own.unwrap_or_else(|| String::from_utf8_lossy(&result).into_owned());
                self.end_request(request, RequestEnd::Served, Some(result));
            }
            RequestAction::Reject { .. } | RequestAction::Withdraw => {
                self.end_request(request, RequestEnd::Rejected, None);
            }
            RequestAction::Fail | RequestAction::FailAndRecord | RequestAction::FailAndRelease => {
                self.end_request(request, RequestEnd::Failed, None);
            }
        }
    }

    fn command(&self, request: usize, operation: Operation) -> Command {
        let Request { key, node, .. } = self.requests[request];
        let member = self.nodes[node].member.as_ref();
        let claim = member.map(|member| member.claim(&trace_id(request)));
        Command {
            key: Bytes::from(key_name(key)),
            claim: claim.unwrap_or_default(),
            operation: Some(operation),
        }
    }

    /// Records the agent's run, which takes effect whether its node is still up or not.
    pub(super) fn on_run_finished(&mut self, node: usize, request: usize) {
        let result = format!("{}-{request}", name(node));
        let ran = HistoryEvent::Ran {
            key: Some(key_name(self.requests[request].key)),
            body: Some(self.requests[request].body.into()),
            result: Some(result.clone()),
        };
        self.record(format!("agent-{}", name(node)), ran);
        self.requests[request].result = Some(result);
        self.schedule(OUTCOME_DELAY, EventKind::OutcomeArrives { node, request });
    }

    pub(super) fn on_outcome(&mut self, node: usize, request: usize) {
        let outcome = EventKind::OutcomeArrives { node, request };
        if self.nodes[node].member.is_none() {
            // The agent reports it again to the next incarnation.
            return self.schedule(OUTCOME_RETRY_DELAY, outcome);
        }
        if self.nodes[node].is_paused {
            return self.nodes[node].deferred.push_back(outcome);
        }
        let result = self.requests[request].result.clone();
        let result = Bytes::from(result.unwrap_or_default());
        if self.is_running(node, self.requests[request].incarnation) {
            self.charge(node, charge_of(request));
            let finished = RequestEvent::RunFinished(RunEnd::Result(result));
            return self.advance(request, finished);
        }
        self.replicate_late_result(node, request, result);
    }

    fn charge(&mut self, node: usize, charge: u64) {
        if let Some(identity) = self.nodes[node].store.as_ref().map(Store::identity) {
            let incarnation = (identity.disk, identity.incarnation);
            *self.charged.entry(incarnation).or_default() += charge;
        }
        if let Some(member) = &mut self.nodes[node].member {
            member.add_charge("acme", charge);
        }
    }

    /// Replicates the result of a run from an earlier incarnation if a replica here holds its claim, or else drops it.
    fn replicate_late_result(&mut self, node: usize, request: usize, result: Bytes) {
        let is_claimed = |member: &GroupMember| {
            let key = member.key_claimed_here(&trace_id(request));
            key.is_some()
        };
        if self.nodes[node].member.as_ref().is_some_and(is_claimed) {
            let command = self.command(request, Operation::Done(result));
            self.call_member(node, |member, now| {
                let _ = member.request(now, command, now + LATE_RESULT_TIMEOUT);
            });
        }
    }

    pub(super) fn on_deadline(&mut self, request: usize) {
        let state = &mut self.requests[request];
        if !state.is_open {
            return;
        }
        if state.is_disturbed {
            return self.end_request(request, RequestEnd::Abandoned, None);
        }
        // As the node's own timer does, just before the deadline passes.
        let may_have_run = matches!(
            state.stage,
            Some(RequestStage::Running | RequestStage::Replicating | RequestStage::AwaitingOther)
        );
        if may_have_run {
            return self.end_request(request, RequestEnd::Failed, None);
        }
        state.stage = None;
        self.end_request(request, RequestEnd::Rejected, None);
    }

    /// Records the end of a request for its caller, if that still waits.
    pub(super) fn end_request(&mut self, request: usize, end: RequestEnd, result: Option<String>) {
        if std::mem::replace(&mut self.requests[request].is_open, false) {
            let ended = HistoryEvent::Ended {
                request: request_name(request),
                end,
                result,
            };
            self.record("caller".into(), ended);
        }
    }
}
