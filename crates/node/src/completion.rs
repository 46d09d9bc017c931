//! Outcomes: turns the end of a run, as reported by the agent, into the request's answer, and passes the outcome of a
//! downstream call to the run that waits for it.

use crate::agent_link::CommandStatus;
use crate::context::NodeContext;
use crate::counters::count;
use crate::request::{CallState, DownstreamCall};
use crate::{dispatch, idempotency, log_event, log_frequent};
use base64::prelude::{Engine, BASE64_STANDARD};
use bytes::Bytes;
use rainstand::{Host, Outcome};
use rainstand_replicated_state::idempotent_request::RunEnd;
use serde_json::Value;
use std::time::Instant;

/// The reason code with which the link is closed when a notice cannot be read.
const UNREADABLE: &str = "agent_nonsense";

/// Handles a notice about a request. If the request is not in the table, an earlier process may have launched it, and
/// the outcome of its run is reported to the group. `is_replayed` means that the notice was unreadable before and is
/// not requested once more.
///
/// # Errors
/// The reason code with which the link must be closed, if the notice cannot be read.
pub fn handle_notice(
    context: &NodeContext,
    kind: &str,
    offset: u64,
    notice: &Value,
    is_replayed: bool,
) -> Result<(), &'static str> {
    let text = |key: &str| notice.get(key).and_then(Value::as_str).unwrap_or_default();
    let Some(index) = request_index(context, text("req")) else {
        report_prior_run(context, kind, text("result"), text("req"), text("payload"));
        return Ok(());
    };
    let payload = notice
        .get("payload")
        .and_then(Value::as_str)
        .and_then(|payload| BASE64_STANDARD.decode(payload).ok());
    match (kind, text("result"), payload) {
        ("request", _, Some(body)) => on_call_requested(context, index, offset, body),
        // Not treated as an empty body, which would be a different call than the run requested: the notice is replayed,
        // and the request fails if it is still unreadable.
        // The guard applies to both patterns.
        ("request", ..) | ("outcome", "fine", None) if !is_replayed => return Err(UNREADABLE),
        ("request", ..) => context.drive_policy(|policy, now, table| {
            table.fail(index);
            policy.on_caller_gone(now, table, index);
        }),
        ("outcome", "fine", Some(result)) => {
            on_run_ended(context, index, Outcome::Succeeded, &result);
        }
        ("outcome", "broken_off", _) => on_run_ended(context, index, Outcome::Cancelled, &[]),
        ("outcome", "late", _) => on_launched_late(context, index),
        ("outcome", ..) => on_run_ended(context, index, Outcome::Failed, &[]),
        ("refusal", command, _) => on_refusal(context, index, command, text("req")),
        _ => {}
    }
    Ok(())
}

/// The index of the request with this trace, if it is in the table.
fn request_index(context: &NodeContext, trace: &str) -> Option<usize> {
    let trace: [u8; 16] = trace.as_bytes().try_into().ok()?;
    context.core.borrow().table.by_trace.get(&trace).copied()
}

/// The agent refused a command. If that was the launch, nothing ran: the run did not fail, and no tenant is charged.
fn on_refusal(context: &NodeContext, index: usize, command: &str, trace: &str) {
    log_frequent!(
        "agent_refused",
        "agent refused",
        what = format_args!("{command:.20}"),
        req = trace
    );
    if command == "launch" {
        on_run_ended(context, index, Outcome::NeverStarted, &[]);
    }
}

/// The agent started nothing at a launch, as the request was over. If that launch was sent again after a break, the first
/// copy may have been carried out: then its end was notified before, unless that notice was lost.
fn on_launched_late(context: &NodeContext, index: usize) {
    let launched_after = context
        .core
        .borrow_mut()
        .table
        .request_mut(index)
        .map_or(0, |request| request.launched_after);
    if context.link.has_lost_notices_since(launched_after) {
        end_unknown_run(context, index);
    } else {
        on_run_ended(context, index, Outcome::NeverStarted, &[]);
    }
}

/// Ends a run of which it is unknown whether it ran: its key records that. It is reported to the policy as never started,
/// as waiting for a notice is no run time, and is charged to no tenant.
fn end_unknown_run(context: &NodeContext, index: usize) {
    let end = EndedRun {
        for_key: Outcome::Cancelled,
        for_policy: Outcome::NeverStarted,
    };
    end_run(context, index, end, &[]);
}

/// Remembers the outcome of a run that this process did not launch, to report it to the group.
fn report_prior_run(context: &NodeContext, kind: &str, result: &str, trace: &str, payload: &str) {
    let Ok(trace) = trace.as_bytes().try_into() else {
        return;
    };
    let end = match (kind, result) {
        ("outcome", "fine") => match BASE64_STANDARD.decode(payload) {
            Ok(result) => RunEnd::Result(result.into()),
            Err(_) => RunEnd::Failed,
        },
        ("outcome", "late") => RunEnd::NeverRan,
        ("outcome", _) => RunEnd::Failed,
        _ => return,
    };
    let group = context.core.borrow().table.group.clone();
    if let Some(group) = group {
        group.remember_prior_run(trace, end);
    }
}

/// Ends the runs in the table whose end will not be reported any more.
pub fn end_orphans(context: &NodeContext, now: Instant) {
    let orphans = context.core.borrow_mut().table.orphans(now);
    for index in orphans {
        count(&context.counts.orphans);
        let trace = context
            .core
            .borrow_mut()
            .table
            .request_mut(index)
            .map(|request| String::from_utf8_lossy(&request.trace).into_owned());
        log_event!(
            "run_orphaned",
            "run without an end removed",
            ticket = index,
            trace = trace.unwrap_or_default()
        );
        end_unknown_run(context, index);
    }
}

/// How a run ended, for those that act on it.
#[derive(Clone, Copy)]
struct EndedRun {
    /// For the key by which repeats are recognized.
    for_key: Outcome,
    /// For the answer and the policy.
    for_policy: Outcome,
}

/// A run ended: answers its request, and notifies the policy.
fn on_run_ended(context: &NodeContext, index: usize, outcome: Outcome, result: &[u8]) {
    let end = EndedRun {
        for_key: outcome,
        for_policy: outcome,
    };
    end_run(context, index, end, result);
}

fn end_run(context: &NodeContext, index: usize, end: EndedRun, result: &[u8]) {
    context.drive_policy(|policy, now, table| {
        let Some(request) = table
            .request_mut(index)
            .filter(|request| request.is_launched())
        else {
            return;
        };
        if let Some(call) = request.call.take() {
            call.abort();
        }
        let has_claim = request.claim.is_some();
        table.complete_key(index, end.for_key, result);
        if has_claim {
            idempotency::on_run_finished(table, index, run_end(end.for_key, result));
        } else if end.for_policy != Outcome::Cancelled {
            // A cancelled run is answered by the policy, which knows whether it ordered the cancellation.
            table.finish(index, end.for_policy, result);
        }
        policy.on_run_finished(now, table, index, end.for_policy);
    });
}

/// The end of a run, as recorded by the group.
fn run_end(outcome: Outcome, result: &[u8]) -> RunEnd {
    match outcome {
        Outcome::Succeeded => RunEnd::Result(Bytes::copy_from_slice(result)),
        Outcome::NeverStarted => RunEnd::NeverRan,
        _ => RunEnd::Failed,
    }
}

/// A run requests a downstream call; the policy decides whether it is made.
fn on_call_requested(context: &NodeContext, index: usize, offset: u64, body: Vec<u8>) {
    context.drive_policy(|policy, now, table| {
        let Some(request) = table
            .request_mut(index)
            .filter(|request| request.is_launched())
        else {
            return;
        };
        let call = DownstreamCall {
            offset,
            body: body.into(),
            state: CallState::Pending,
            outcome_command: CommandStatus::Unsent,
        };
        if let Some(previous) = request.call.replace(call) {
            previous.abort();
        }
        policy.on_downstream_call(now, table, index);
    });
}

/// A downstream call ended. It is ignored unless the request at `index` still has the serial number `serial`.
pub fn on_call_ended(
    context: &NodeContext,
    index: usize,
    serial: u64,
    outcome: Outcome,
    reply: Vec<u8>,
) {
    context.drive_policy(|policy, now, table| {
        let slot = table.requests.get_mut(index).and_then(Option::as_mut);
        let Some(request) = slot.filter(|request| request.serial == serial) else {
            return;
        };
        let Some(call) = &mut request.call else {
            return;
        };
        if !matches!(call.state, CallState::InProgress(_)) {
            return;
        }
        if outcome == Outcome::Succeeded {
            call.state = CallState::Succeeded(reply);
            count(&table.counts.delivered);
            dispatch::send_call_outcome(&table.agent, request.trace, call);
        } else {
            call.state = CallState::Pending;
        }
        policy.on_call_finished(now, table, index, outcome);
    });
}
