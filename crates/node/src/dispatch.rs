//! What goes out: commands to the agent, and calls to the tier below.

use crate::agent::AgentLink;
use crate::completion;
use crate::counters::count;
use crate::request::{CallState, Request, RunState};
use crate::request_table::RequestTable;
use base64::prelude::{Engine, BASE64_STANDARD};
use rainstand::Outcome;
use std::time::Duration;

pub fn launch(agent: &AgentLink, request: &Request, type_names: &[String]) {
    let (trace, method) = (
        String::from_utf8_lossy(&request.trace),
        &type_names[request.class],
    );
    let payload = BASE64_STANDARD.encode(&request.body);
    agent.command(format_args!(
        "{{\"cmd\":\"launch\",\"req\":\"{trace}\",\"method\":{method},\"payload\":\"{payload}\"}}\n"
    ));
}

/// A command that needs no more than the ticket's name.
pub fn about(agent: &AgentLink, cmd: &str, request: &Request) {
    let trace = String::from_utf8_lossy(&request.trace);
    agent.command(format_args!("{{\"cmd\":\"{cmd}\",\"req\":\"{trace}\"}}\n"));
}

/// What became of the call, to the run that waits for it.
pub fn call_result(agent: &AgentLink, request: &Request) {
    let trace = String::from_utf8_lossy(&request.trace);
    match &request.call {
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
pub fn resend(table: &mut RequestTable) {
    let (agent, counts) = (table.agent.clone(), table.counts.clone());
    let mut running: Vec<&Request> = table
        .requests
        .iter()
        .flatten()
        .filter(|request| request.is_run())
        .collect();
    running.sort_by_key(|request| request.serial);
    for request in running {
        count(&counts.resent);
        if request.call.is_none() {
            launch(&agent, request, &table.class_names);
        }
        // Guards against a run that is waited for and was never begun: the launch above goes out for one
        // taken off too, and brings `late` where nothing ran.
        match request.run {
            RunState::Paused => about(&agent, "freeze", request),
            _ => call_result(&agent, request),
        }
    }
}

/// Makes the call that a run waits for; the task leaves its outcome to the relay.
pub fn call(table: &mut RequestTable, index: usize, left: Duration) {
    let (pool, context, counts) = (
        table.downstream.clone(),
        table.context.clone(),
        table.counts.clone(),
    );
    let Some(request) = table.request_mut(index) else {
        return;
    };
    let (serial, trace) = (request.serial, request.trace);
    let Some((_, body, made)) = &mut request.call else {
        table.run_ends.push_back((index, Outcome::NeverStarted));
        return;
    };
    count(&counts.calls);
    let body = body.clone();
    let task = tokio::task::spawn_local(async move {
        let Some(context) = context.upgrade() else {
            return;
        };
        let (outcome, reply) = pool.call(&context, &trace, left, &body).await;
        completion::call_ended(&context, index, serial, outcome, reply);
    });
    if let CallState::InProgress(before) =
        std::mem::replace(made, CallState::InProgress(task.abort_handle()))
    {
        before.abort();
    }
}
