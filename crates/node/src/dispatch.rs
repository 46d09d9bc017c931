//! What goes out: commands to the agent, and calls to the tier below.

use crate::agent::Link;
use crate::completion;
use crate::counters::count;
use crate::request::{CallState, Request, RunState};
use crate::request_table::RequestTable;
use base64::prelude::{Engine, BASE64_STANDARD};
use rainstand::Outcome;
use std::time::Duration;

pub fn launch(agent: &Link, t: &Request, type_names: &[String]) {
    let (trace, method) = (String::from_utf8_lossy(&t.trace), &type_names[t.class]);
    let payload = BASE64_STANDARD.encode(&t.body);
    agent.command(format_args!(
        "{{\"cmd\":\"launch\",\"req\":\"{trace}\",\"method\":{method},\"payload\":\"{payload}\"}}\n"
    ));
}

/// A command that needs no more than the ticket's name.
pub fn about(agent: &Link, cmd: &str, t: &Request) {
    let trace = String::from_utf8_lossy(&t.trace);
    agent.command(format_args!("{{\"cmd\":\"{cmd}\",\"req\":\"{trace}\"}}\n"));
}

/// What became of the call, to the run that waits for it.
pub fn call_result(agent: &Link, t: &Request) {
    let trace = String::from_utf8_lossy(&t.trace);
    match &t.call {
        Some((_, _, CallState::Delivered(body))) => {
            let payload = BASE64_STANDARD.encode(body);
            agent.command(format_args!(
                "{{\"cmd\":\"deliver\",\"req\":\"{trace}\",\"payload\":\"{payload}\"}}\n"
            ));
        }
        Some((offset, _, CallState::Skipped)) => agent.command(format_args!(
            "{{\"cmd\":\"forgo\",\"req\":\"{trace}\",\"offset\":{offset}}}\n"
        )),
        _ => {}
    }
}

/// After a link came back and its replay was read: all commands of which no notice tells that they
/// came through. A run that the replay told to be over is no longer in the books.
pub fn resend(desk: &mut RequestTable) {
    let (agent, counts) = (desk.agent.clone(), desk.counts.clone());
    let mut running: Vec<&Request> = desk
        .tickets
        .iter()
        .flatten()
        .filter(|t| t.is_run())
        .collect();
    running.sort_by_key(|t| t.serial);
    for t in running {
        count(&counts.resent);
        if t.call.is_none() {
            launch(&agent, t, &desk.class_names);
        }
        // Guards against a run that is waited for and was never begun: the launch above goes out for one
        // taken off too, and brings `late` where nothing ran.
        match t.run {
            RunState::Paused => about(&agent, "freeze", t),
            _ => call_result(&agent, t),
        }
    }
}

/// Makes the call that a run waits for; the task leaves its outcome to the relay.
pub fn call(desk: &mut RequestTable, ix: usize, left: Duration) {
    let (pool, hub, counts) = (
        desk.downstream.clone(),
        desk.context.clone(),
        desk.counts.clone(),
    );
    let Some(t) = desk.ticket(ix) else { return };
    let (serial, trace) = (t.serial, t.trace);
    let Some((_, body, made)) = &mut t.call else {
        desk.run_ends.push_back((ix, Outcome::NeverStarted));
        return;
    };
    count(&counts.calls);
    let body = body.clone();
    let task = tokio::task::spawn_local(async move {
        let Some(hub) = hub.upgrade() else { return };
        let (outcome, reply) = pool.call(&hub, &trace, left, &body).await;
        completion::call_ended(&hub, ix, serial, outcome, reply);
    });
    if let CallState::InProgress(before) =
        std::mem::replace(made, CallState::InProgress(task.abort_handle()))
    {
        before.abort();
    }
}
