//! Outcomes: of runs, from the agent's notices to the one answer; of calls, back to the run that waits.

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

/// Why a notice cannot be handled: the reason code of the link's end.
const UNREADABLE: &str = "agent_nonsense";

/// Handles a notice that names a request. One that is no longer in the table is skipped; `is_replayed`: the notice
/// could not be read before, and is not asked for once more.
///
/// # Errors
/// The reason code for which the link is to end, where the notice cannot be read.
pub fn notice(
    context: &NodeContext,
    kind: &str,
    offset: u64,
    notice: &Value,
    is_replayed: bool,
) -> Result<(), &'static str> {
    let text = |key: &str| notice.get(key).and_then(Value::as_str).unwrap_or_default();
    let Some(index) = index_of(context, text("req")) else {
        report_prior_run(context, kind, text("result"), text("req"), text("payload"));
        return Ok(());
    };
    let payload = notice
        .get("payload")
        .and_then(Value::as_str)
        .and_then(|payload| BASE64_STANDARD.decode(payload).ok());
    match (kind, text("result"), payload) {
        ("request", _, Some(body)) => on_call_requested(context, index, offset, body),
        // Not read as an empty body, which would make another call than the run asked for: the notice is replayed, and
        // the request fails if it is no better then.
        // The guard holds for both patterns.
        ("request", ..) | ("outcome", "fine", None) if !is_replayed => return Err(UNREADABLE),
        ("request", ..) => context.drive_policy(|policy, now, table| {
            table.fail(index);
            policy.on_caller_gone(now, table, index);
        }),
        ("outcome", "fine", Some(result)) => {
            on_run_ended(context, index, Outcome::Succeeded, &result);
        }
        ("outcome", "broken_off", _) => on_run_ended(context, index, Outcome::Cancelled, &[]),
        ("outcome", "late", _) => on_run_ended(context, index, Outcome::NeverStarted, &[]),
        ("outcome", ..) => on_run_ended(context, index, Outcome::Failed, &[]),
        ("refusal", command, _) => on_refusal(context, index, command, text("req")),
        _ => {}
    }
    Ok(())
}

/// The index of the request that a notice names.
fn index_of(context: &NodeContext, trace: &str) -> Option<usize> {
    let trace: [u8; 16] = trace.as_bytes().try_into().ok()?;
    context.core.borrow().table.by_trace.get(&trace).copied()
}

/// The agent refused a command. Where it was the launch nothing ran: no run failed, and no tenant is charged.
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

/// The outcome of a run that this process did not launch.
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

/// Ends runs in the table whose end nothing will report.
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
        // Whether it ran is not known, and its key records just that.
        context.drive_policy(|_, _, table| {
            idempotency::on_run_finished(table, index, RunEnd::Failed);
            table.close_key(index, Outcome::Cancelled, &[]);
        });
        // To the policy it never ran: a minute of waiting is no run time, and is charged to nobody.
        on_run_ended(context, index, Outcome::NeverStarted, &[]);
    }
}

/// A run ended: its request is answered, and the policy hears of it.
fn on_run_ended(context: &NodeContext, index: usize, outcome: Outcome, result: &[u8]) {
    context.drive_policy(|policy, now, table| {
        let Some(request) = table.request_mut(index).filter(|request| request.is_run()) else {
            return;
        };
        if let Some(call) = request.call.take() {
            call.abort();
        }
        let has_claim = request.claim.is_some();
        table.close_key(index, outcome, result);
        if has_claim {
            idempotency::on_run_finished(table, index, run_end(outcome, result));
        } else if outcome != Outcome::Cancelled {
            // One that was cancelled is answered by the policy, which knows whether it ordered that.
            table.finish(index, outcome, result);
        }
        policy.on_run_finished(now, table, index, outcome);
    });
}

/// A run's end as the group records it.
fn run_end(outcome: Outcome, result: &[u8]) -> RunEnd {
    match outcome {
        Outcome::Succeeded => RunEnd::Result(Bytes::copy_from_slice(result)),
        Outcome::NeverStarted => RunEnd::NeverRan,
        _ => RunEnd::Failed,
    }
}

/// A run asks for a call to the tier below; the policy decides whether it is made.
fn on_call_requested(context: &NodeContext, index: usize, offset: u64, body: Vec<u8>) {
    context.drive_policy(|policy, now, table| {
        let Some(request) = table.request_mut(index).filter(|request| request.is_run()) else {
            return;
        };
        let call = DownstreamCall {
            offset,
            body: body.into(),
            state: CallState::Pending,
        };
        if let Some(before) = request.call.replace(call) {
            before.abort();
        }
        policy.on_downstream_call(now, table, index);
    });
}

/// A call to the tier below ended. `serial` tells whether the request is still the one that the call was made for.
pub fn call_ended(
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
            call.state = CallState::Delivered(reply);
            count(&table.counts.delivered);
            dispatch::call_result(&table.agent, request);
        } else {
            call.state = CallState::Pending;
        }
        policy.on_call_finished(now, table, index, outcome);
    });
}
