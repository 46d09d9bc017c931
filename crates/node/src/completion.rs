//! Outcomes: of runs to the one answer, of calls back to the run that waits.

use crate::counters::count;
use crate::request::CallState;
use crate::request_table::RequestTable;
use crate::{dispatch, idempotency, log_event, log_frequent, NodeContext};
use base64::prelude::{Engine, BASE64_STANDARD};
use bytes::Bytes;
use rainstand::{Host, Outcome};
use rainstand_replicated_state::idempotent_request::RunEnd;
use serde_json::Value;
use std::time::Instant;

impl RequestTable {
    /// Gives a ticket, and those that wait for it, what its run or reuse brought.
    pub fn finish(&mut self, index: usize, end: Outcome, result: &[u8]) {
        let counts = self.counts.clone();
        let Some(request) = self.request_mut(index) else {
            return;
        };
        let (owed, waiters) = (request.reply.take(), std::mem::take(&mut request.waiters));
        match (owed, end) {
            (Some(owed), Outcome::Succeeded) => owed.serve(&counts, result),
            (Some(owed), _) => {
                log_frequent!(
                    "ticket_given_up",
                    "ticket given up",
                    trace = request.trace.escape_ascii()
                );
                owed.fail(&counts);
            }
            _ => {}
        }
        for waiter in waiters {
            self.finish_waiter(waiter, end, result);
        }
    }

    /// The same for one that waits on another, unless it left: its index may be another's by now.
    pub fn finish_waiter(&mut self, (index, serial): (usize, u64), end: Outcome, result: &[u8]) {
        if self
            .request_mut(index)
            .is_some_and(|request| request.serial == serial)
        {
            self.finish(index, end, result);
            self.run_ends.push_back((index, end));
        }
    }
}

/// A notice that names a ticket. What it names and is no longer in the books is passed over; `again`: it
/// could not be read before, and is not asked for once more.
pub fn notice(
    context: &NodeContext,
    cmd: &str,
    offset: u64,
    notice: &Value,
    again: bool,
) -> Result<(), &'static str> {
    let text = |key: &str| notice.get(key).and_then(Value::as_str).unwrap_or_default();
    let index = {
        let core = context.core.borrow();
        text("req")
            .as_bytes()
            .try_into()
            .ok()
            .and_then(|trace: [u8; 16]| core.table.by_trace.get(&trace).copied())
    };
    let Some(index) = index else {
        report_prior_run(context, cmd, text("result"), text("req"), text("payload"));
        return Ok(());
    };
    let payload = notice
        .get("payload")
        .and_then(Value::as_str)
        .and_then(|p| BASE64_STANDARD.decode(p).ok());
    match (cmd, text("result"), payload) {
        // Guards against a call with another body than the run gave: the notice is asked for again, and
        // the run given up if it is no better then.
        ("request", _, Some(body)) => on_call_requested(context, index, offset, body),
        ("request", ..) | ("outcome", "fine", None) if !again => return Err("agent_nonsense"),
        ("request", ..) => {
            context.drive_policy(|node, now, table| {
                table.fail(index);
                node.on_caller_gone(now, table, index);
            });
        }
        ("outcome", "fine", Some(result)) => run_ended(context, index, Outcome::Succeeded, &result),
        ("outcome", "broken_off", _) => run_ended(context, index, Outcome::Cancelled, &[]),
        ("outcome", "late", _) => run_ended(context, index, Outcome::NeverStarted, &[]),
        ("outcome", ..) => run_ended(context, index, Outcome::Failed, &[]),
        ("refusal", "launch", _) => {
            // Nothing ran: no run failed, and no tenant is charged.
            log_frequent!(
                "agent_refused",
                "agent refused",
                what = "launch",
                req = text("req")
            );
            run_ended(context, index, Outcome::NeverStarted, &[]);
        }
        ("refusal", what, _) => {
            log_frequent!(
                "agent_refused",
                "agent refused",
                what = format_args!("{what:.20}"),
                req = text("req")
            );
        }
        _ => {}
    }
    Ok(())
}

/// An outcome of a run that nobody here knows.
fn report_prior_run(context: &NodeContext, cmd: &str, result: &str, req: &str, payload: &str) {
    let Ok(trace) = req.as_bytes().try_into() else {
        return;
    };
    let end = match (cmd, result) {
        ("outcome", "fine") => match BASE64_STANDARD.decode(payload) {
            Ok(result) => RunEnd::Result(result.into()),
            Err(_) => RunEnd::Failed,
        },
        ("outcome", "late") => RunEnd::NeverRan,
        ("outcome", _) => RunEnd::Failed,
        _ => return,
    };
    idempotency::report_prior_run(context, trace, end);
}

/// Ends in the books what nothing will tell the end of.
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
        let trace = trace.unwrap_or_default();
        log_event!(
            "run_without_end",
            "run without an end taken out of the books",
            ticket = index,
            trace = trace
        );
        // Whether it ran is not known: a key says so.
        context.drive_policy(|_, _, table| {
            idempotency::ended(table, index, RunEnd::Failed);
            table.close_key(index, Outcome::Cancelled, &[]);
        });
        // As if it had never run: a minute of waiting is no run time, and is charged to nobody.
        run_ended(context, index, Outcome::NeverStarted, &[]);
    }
}

fn run_ended(context: &NodeContext, index: usize, end: Outcome, result: &[u8]) {
    context.drive_policy(|node, now, table| {
        let Some(request) = table.request_mut(index).filter(|request| request.is_run()) else {
            return;
        };
        if let Some((_, _, CallState::InProgress(task))) = request.call.take() {
            task.abort();
        }
        table.close_key(index, end, result);
        let Some(request) = table.request_mut(index) else {
            return;
        };
        if request.claim.is_some() {
            let how = match end {
                Outcome::Succeeded => RunEnd::Result(Bytes::copy_from_slice(result)),
                Outcome::NeverStarted => RunEnd::NeverRan,
                _ => RunEnd::Failed,
            };
            idempotency::ended(table, index, how);
        } else if end != Outcome::Cancelled {
            table.finish(index, end, result);
        }
        node.on_run_finished(now, table, index, end);
    });
}

fn on_call_requested(context: &NodeContext, index: usize, offset: u64, body: Vec<u8>) {
    context.drive_policy(|node, now, table| {
        let Some(request) = table.request_mut(index).filter(|request| request.is_run()) else {
            return;
        };
        if let Some((_, _, CallState::InProgress(task))) =
            request
                .call
                .replace((offset, body.into(), CallState::Pending))
        {
            task.abort();
        }
        node.on_downstream_call(now, table, index);
    });
}

/// `serial` tells whether the ticket is still the one that the call was made for.
pub fn call_ended(context: &NodeContext, index: usize, serial: u64, end: Outcome, reply: Vec<u8>) {
    context.drive_policy(|node, now, table| {
        let (agent, counts) = (table.agent.clone(), table.counts.clone());
        let Some(request) = table
            .request_mut(index)
            .filter(|request| request.serial == serial)
        else {
            return;
        };
        let Some((_, _, call @ CallState::InProgress(_))) = &mut request.call else {
            return;
        };
        *call = if end == Outcome::Succeeded {
            CallState::Delivered(reply)
        } else {
            CallState::Pending
        };
        if end == Outcome::Succeeded {
            count(&counts.delivered);
            dispatch::call_result(&agent, request);
        }
        node.on_call_finished(now, table, index, end);
    });
}
