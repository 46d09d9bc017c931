//! Requests with an idempotency key on a node that is a member of a group: the group agrees on the start before the
//! launch, and on the result before the answer.
//!
//! `rainstand_replicated_state::idempotent_request` defines the steps; this module carries them out. The policy still
//! decides which requests are admitted and when they run: its order to run claims the key. A request that the group
//! rejects is reported to the policy as never started.
//!
//! A request whose run ended is removed from the table; its reply waits in `RequestTable::awaiting_commit` until the
//! group has agreed on the result.

use crate::counters::count;
use crate::dispatch;
use crate::group_handle::{GroupHandle, DETACHED_TIMEOUT};
use crate::request::{RunState, Trace};
use crate::request_table::{FinishedRun, RequestTable};
use bytes::Bytes;
use rainstand::{Outcome, Rejection, RetryElsewhere};
use rainstand_replicated_state::idempotency::{ClaimOutcome, Operation, Start};
use rainstand_replicated_state::idempotent_request::{
    transition, RequestAction, RequestEvent, RequestStage, RunEnd, Transition,
};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time reserved between the group's agreement on a result and the caller's deadline: a few of the policy's ticks.
const REPLY_MARGIN: Duration = Duration::from_millis(80);

/// Carries out the policy's order to run a request with a claim: claims its key in the group first.
pub fn claim(table: &mut RequestTable, index: usize) {
    let (Some(group), tasks) = (table.group.clone(), table.tasks.clone()) else {
        return;
    };
    let Some(request) = table.request_mut(index) else {
        return;
    };
    let (serial, trace) = (request.serial, request.trace);
    let Some(claim) = &mut request.claim else {
        return;
    };
    request.run = RunState::Claiming;
    let time_left = claim.deadline.saturating_duration_since(Instant::now());
    let max_wait = Duration::from_nanos(group.member().settings().start_within_ns);
    let operation = Operation::Start(Start {
        fingerprint: claim.fingerprint,
        window_ns: claim.window.as_nanos() as u64,
    });
    let command = group.command(&trace, &claim.key, operation);
    let on_outcome = move |outcome: Option<ClaimOutcome>| {
        if let Some(tasks) = tasks.upgrade() {
            tasks.on_claim_outcome(index, serial, outcome);
        }
    };
    let timeout = max_wait.min(time_left / 2);
    claim.pending_command = group
        .member()
        .request(command, timeout, Rc::new(on_outcome));
    if claim.pending_command.is_none() {
        apply_event(table, index, RequestEvent::TimedOut);
    }
}

/// The group answered a claim, or did not in time. It is ignored unless the request at `index` still has the serial
/// number `serial`.
pub fn on_claim_outcome(
    table: &mut RequestTable,
    index: usize,
    serial: u64,
    outcome: Option<ClaimOutcome>,
) {
    let request = table.request_mut(index);
    if request.is_some_and(|request| request.serial == serial) {
        apply_event(table, index, event_of(outcome));
    }
}

fn event_of(outcome: Option<ClaimOutcome>) -> RequestEvent {
    outcome.map_or(RequestEvent::TimedOut, RequestEvent::Outcome)
}

/// The caller cancelled the request. A run continues, as its result answers retries.
pub fn on_caller_left(table: &mut RequestTable, index: usize) {
    apply_event(table, index, RequestEvent::CallerLeft);
}

/// The run of a request with a claim ended; the policy is notified as for any other run.
pub fn on_run_finished(table: &mut RequestTable, index: usize, end: RunEnd) {
    let trace = table.request_mut(index).map(|request| request.trace);
    if let (Some(group), Some(trace)) = (&table.group, trace) {
        group.on_own_run_ended(trace);
    }
    apply_event(table, index, RequestEvent::RunFinished(end));
}

/// How an action appears to the policy.
#[derive(Clone, Copy, PartialEq, Eq)]
enum PolicyView {
    /// It is notified of the run's end, if there is one, as for any other run.
    Unchanged,
    /// The request ended before anything was launched.
    NeverRan,
}

/// Advances a request's stage by an event and carries out the action that follows.
fn apply_event(table: &mut RequestTable, index: usize, event: RequestEvent) {
    let Some(group) = table.group.clone() else {
        return;
    };
    let Some(claim) = table
        .request_mut(index)
        .and_then(|request| request.claim.as_mut())
    else {
        return;
    };
    let Transition { next, action } = transition(claim.stage, event);
    if let Some(next) = next {
        claim.stage = next;
    }
    if perform(table, &group, index, action) == PolicyView::NeverRan {
        table.finished_runs.push_back(FinishedRun {
            index,
            outcome: Outcome::NeverStarted,
        });
    }
}

/// Carries out the action of a transition.
fn perform(
    table: &mut RequestTable,
    group: &GroupHandle,
    index: usize,
    action: RequestAction,
) -> PolicyView {
    match action {
        RequestAction::None => PolicyView::Unchanged,
        RequestAction::Launch => {
            launch(table, index);
            PolicyView::Unchanged
        }
        RequestAction::ReplicateResult(result) => {
            replicate_result(table, group, index, result);
            PolicyView::Unchanged
        }
        RequestAction::Respond(result) => {
            if let Some(reply) = table.take_reply(index) {
                reply.serve(&table.counts, &result);
            }
            PolicyView::NeverRan
        }
        RequestAction::Reject { permanent } => {
            let rejection = Rejection {
                retry_after: Duration::from_nanos(group.member().settings().come_back_ns),
                retry_elsewhere: if permanent {
                    RetryElsewhere::Discouraged
                } else {
                    RetryElsewhere::Allowed
                },
            };
            if let Some(reply) = table.take_reply(index) {
                reply.reject(&table.counts, rejection);
            }
            PolicyView::NeverRan
        }
        RequestAction::Fail => {
            fail(table, index);
            PolicyView::NeverRan
        }
        RequestAction::Withdraw => {
            forget_claim(table, group, index);
            PolicyView::NeverRan
        }
        RequestAction::FailAndRecord => {
            fail(table, index);
            send_end(table, group, index, Operation::Failed(true));
            PolicyView::Unchanged
        }
        RequestAction::FailAndRelease => {
            fail(table, index);
            send_end(table, group, index, Operation::Withdraw(true));
            PolicyView::Unchanged
        }
    }
}

/// The key is claimed: the agent may run the request.
fn launch(table: &mut RequestTable, index: usize) {
    let slot = table.requests.get_mut(index).and_then(Option::as_mut);
    if let Some(request) = slot {
        count(&table.counts.launched);
        dispatch::launch_first(&table.agent, request, &table.class_names);
    }
}

fn fail(table: &mut RequestTable, index: usize) {
    if let Some(reply) = table.take_reply(index) {
        reply.fail(&table.counts);
    }
}

/// Stops waiting for the group's answer to a pending claim.
fn forget_claim(table: &mut RequestTable, group: &GroupHandle, index: usize) {
    let claim = table
        .request_mut(index)
        .and_then(|request| request.claim.as_mut());
    if let Some(number) = claim.and_then(|claim| claim.pending_command.take()) {
        group.member().forget(number);
    }
}

/// Reports to the group how a run without a result ended.
fn send_end(table: &mut RequestTable, group: &GroupHandle, index: usize, operation: Operation) {
    let Some(request) = table.request_mut(index) else {
        return;
    };
    if let Some(claim) = &request.claim {
        group.send_detached(&request.trace, &claim.key, operation);
    }
}

/// Replicates a result in the group; the caller is answered once it is committed, or gets an error before its deadline.
fn replicate_result(table: &mut RequestTable, group: &GroupHandle, index: usize, result: Bytes) {
    let Some(request) = table.request_mut(index) else {
        return;
    };
    let trace: Trace = request.trace;
    let Some(claim) = &request.claim else { return };
    let key = claim.key.clone();
    let time_left = claim.deadline.saturating_duration_since(Instant::now());
    let reply = request.reply.take();
    let timeout = if reply.is_some() {
        time_left.saturating_sub(REPLY_MARGIN)
    } else {
        DETACHED_TIMEOUT
    };
    let tasks = table.tasks.clone();
    let number = table.retain_reply(reply);
    let replicated = result.clone();
    let on_outcome = move |outcome: Option<ClaimOutcome>| {
        if let Some(tasks) = tasks.upgrade() {
            tasks.on_result_outcome(number, &replicated, outcome);
        }
    };
    let command = group.command(&trace, &key, Operation::Done(result));
    let pending = group
        .member()
        .request(command, timeout, Rc::new(on_outcome));
    if pending.is_none() {
        if let Some(reply) = table.awaiting_commit.remove(&number) {
            reply.fail(&table.counts);
        }
    }
}

/// The group agreed on a result, or did not in time: sends the reply with this number.
pub fn on_result_outcome(
    table: &mut RequestTable,
    number: u64,
    result: &Bytes,
    outcome: Option<ClaimOutcome>,
) {
    let Transition { next, action } = transition(RequestStage::Replicating, event_of(outcome));
    if next.is_some() {
        return;
    }
    let Some(reply) = table.awaiting_commit.remove(&number) else {
        return;
    };
    match action {
        RequestAction::Respond(_) => reply.serve(&table.counts, result),
        _ => reply.fail(&table.counts),
    }
}
