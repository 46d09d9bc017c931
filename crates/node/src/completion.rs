//! Outcomes: of runs to the one answer, of calls back to the run that waits.

use crate::counters::count;
use crate::request::CallState;
use crate::request_table::RequestTable;
use crate::{dispatch, idempotency, note, often, NodeContext};
use base64::prelude::{Engine, BASE64_STANDARD};
use bytes::Bytes;
use rainstand::{Host, Outcome};
use rainstand_replicated_state::idempotent_request::RunEnd;
use serde_json::Value;
use std::time::Instant;

impl RequestTable {
    /// Gives a ticket, and those that wait for it, what its run or reuse brought.
    pub fn finish(&mut self, ix: usize, end: Outcome, result: &[u8]) {
        let counts = self.counts.clone();
        let Some(t) = self.ticket(ix) else { return };
        let (owed, waiters) = (t.reply.take(), std::mem::take(&mut t.waiters));
        match (owed, end) {
            (Some(owed), Outcome::Succeeded) => owed.serve(&counts, result),
            (Some(owed), _) => {
                often!(
                    "ticket_given_up",
                    "ticket given up",
                    trace = t.trace.escape_ascii()
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
    pub fn finish_waiter(&mut self, (ix, serial): (usize, u64), end: Outcome, result: &[u8]) {
        if self.ticket(ix).is_some_and(|t| t.serial == serial) {
            self.finish(ix, end, result);
            self.run_ends.push_back((ix, end));
        }
    }
}

/// A notice that names a ticket. What it names and is no longer in the books is passed over; `again`: it
/// could not be read before, and is not asked for once more.
pub fn notice(
    hub: &NodeContext,
    cmd: &str,
    offset: u64,
    notice: &Value,
    again: bool,
) -> Result<(), &'static str> {
    let text = |key: &str| notice.get(key).and_then(Value::as_str).unwrap_or_default();
    let ix = {
        let core = hub.core.borrow();
        text("req")
            .as_bytes()
            .try_into()
            .ok()
            .and_then(|trace: [u8; 16]| core.desk.by_trace.get(&trace).copied())
    };
    let Some(ix) = ix else {
        old_run(hub, cmd, text("result"), text("req"), text("payload"));
        return Ok(());
    };
    let payload = notice
        .get("payload")
        .and_then(Value::as_str)
        .and_then(|p| BASE64_STANDARD.decode(p).ok());
    match (cmd, text("result"), payload) {
        // Guards against a call with another body than the run gave: the notice is asked for again, and
        // the run given up if it is no better then.
        ("request", _, Some(body)) => at_call(hub, ix, offset, body),
        ("request", ..) | ("outcome", "fine", None) if !again => return Err("agent_nonsense"),
        ("request", ..) => {
            hub.drive_policy(|node, now, desk| {
                desk.fail(ix);
                node.on_caller_gone(now, desk, ix);
            });
        }
        ("outcome", "fine", Some(result)) => run_ended(hub, ix, Outcome::Succeeded, &result),
        ("outcome", "broken_off", _) => run_ended(hub, ix, Outcome::Cancelled, &[]),
        ("outcome", "late", _) => run_ended(hub, ix, Outcome::NeverStarted, &[]),
        ("outcome", ..) => run_ended(hub, ix, Outcome::Failed, &[]),
        ("refusal", "launch", _) => {
            // Nothing ran: no run failed, and no tenant is charged.
            often!(
                "agent_refused",
                "agent refused",
                what = "launch",
                req = text("req")
            );
            run_ended(hub, ix, Outcome::NeverStarted, &[]);
        }
        ("refusal", what, _) => {
            often!(
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
fn old_run(hub: &NodeContext, cmd: &str, result: &str, req: &str, payload: &str) {
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
    idempotency::old_run(hub, trace, end);
}

/// Ends in the books what nothing will tell the end of.
pub fn end_orphans(hub: &NodeContext, now: Instant) {
    let orphans = hub.core.borrow_mut().desk.orphans(now);
    for ix in orphans {
        count(&hub.counts.orphans);
        let trace = hub
            .core
            .borrow_mut()
            .desk
            .ticket(ix)
            .map(|t| String::from_utf8_lossy(&t.trace).into_owned());
        let trace = trace.unwrap_or_default();
        note!(
            "run_without_end",
            "run without an end taken out of the books",
            ticket = ix,
            trace = trace
        );
        // Whether it ran is not known: a key says so.
        hub.drive_policy(|_, _, desk| {
            idempotency::ended(desk, ix, RunEnd::Failed);
            desk.close_key(ix, Outcome::Cancelled, &[]);
        });
        // As if it had never run: a minute of waiting is no run time, and is charged to nobody.
        run_ended(hub, ix, Outcome::NeverStarted, &[]);
    }
}

fn run_ended(hub: &NodeContext, ix: usize, end: Outcome, result: &[u8]) {
    hub.drive_policy(|node, now, desk| {
        let Some(t) = desk.ticket(ix).filter(|t| t.is_run()) else {
            return;
        };
        if let Some((_, _, CallState::InProgress(task))) = t.call.take() {
            task.abort();
        }
        desk.close_key(ix, end, result);
        let Some(t) = desk.ticket(ix) else { return };
        if t.claim.is_some() {
            let how = match end {
                Outcome::Succeeded => RunEnd::Result(Bytes::copy_from_slice(result)),
                Outcome::NeverStarted => RunEnd::NeverRan,
                _ => RunEnd::Failed,
            };
            idempotency::ended(desk, ix, how);
        } else if end != Outcome::Cancelled {
            desk.finish(ix, end, result);
        }
        node.on_run_finished(now, desk, ix, end);
    });
}

fn at_call(hub: &NodeContext, ix: usize, offset: u64, body: Vec<u8>) {
    hub.drive_policy(|node, now, desk| {
        let Some(t) = desk.ticket(ix).filter(|t| t.is_run()) else {
            return;
        };
        if let Some((_, _, CallState::InProgress(task))) =
            t.call.replace((offset, body.into(), CallState::Pending))
        {
            task.abort();
        }
        node.on_downstream_call(now, desk, ix);
    });
}

/// `serial` tells whether the ticket is still the one that the call was made for.
pub fn call_ended(hub: &NodeContext, ix: usize, serial: u64, end: Outcome, reply: Vec<u8>) {
    hub.drive_policy(|node, now, desk| {
        let (agent, counts) = (desk.agent.clone(), desk.counts.clone());
        let Some(t) = desk.ticket(ix).filter(|t| t.serial == serial) else {
            return;
        };
        let Some((_, _, call @ CallState::InProgress(_))) = &mut t.call else {
            return;
        };
        *call = if end == Outcome::Succeeded {
            CallState::Delivered(reply)
        } else {
            CallState::Pending
        };
        if end == Outcome::Succeeded {
            count(&counts.delivered);
            dispatch::call_result(&agent, t);
        }
        node.on_call_finished(now, desk, ix, end);
    });
}
