//! Commands that the table sends to the agent, and downstream calls that it starts.

use crate::agent_link::AgentLink;
use crate::counters::count;
use crate::request::{CallState, Request, RunState};
use crate::request_table::{CallOrder, FinishedRun, RequestTable};
use base64::prelude::{Engine, BASE64_STANDARD};
use rainstand::Outcome;
use std::time::Duration;

/// Launches a request's run. `class_names` holds the class names as JSON strings, by class index.
pub fn launch(agent: &AgentLink, request: &Request, class_names: &[String]) {
    let trace = String::from_utf8_lossy(&request.trace);
    let method = &class_names[request.class];
    let payload = BASE64_STANDARD.encode(&request.body);
    agent.command(format_args!(
        "{{\"cmd\":\"launch\",\"req\":\"{trace}\",\"method\":{method},\"payload\":\"{payload}\"}}\n"
    ));
}

/// Sends a command whose only argument is the request's trace.
pub fn command(agent: &AgentLink, name: &str, request: &Request) {
    let trace = String::from_utf8_lossy(&request.trace);
    agent.command(format_args!("{{\"cmd\":\"{name}\",\"req\":\"{trace}\"}}\n"));
}

/// Sends the outcome of a call to the run that waits for it, if the call was answered or skipped.
pub fn call_result(agent: &AgentLink, request: &Request) {
    let trace = String::from_utf8_lossy(&request.trace);
    let Some(call) = &request.call else { return };
    match &call.state {
        CallState::Delivered(body) => {
            let payload = BASE64_STANDARD.encode(body);
            agent.command(format_args!(
                "{{\"cmd\":\"deliver\",\"req\":\"{trace}\",\"payload\":\"{payload}\"}}\n"
            ));
        }
        CallState::Skipped => {
            let offset = call.offset;
            agent.command(format_args!(
                "{{\"cmd\":\"forgo\",\"req\":\"{trace}\",\"offset\":{offset}}}\n"
            ));
        }
        CallState::Pending | CallState::InProgress(_) => {}
    }
}

/// After a reconnect and its replay: resends all commands that no notice has confirmed. Runs that the replay reported
/// as ended are no longer in the table.
pub fn resend(table: &mut RequestTable) {
    let (agent, counts) = (&table.agent, &table.counts);
    let requests = table.requests.iter().flatten();
    let mut running: Vec<&Request> = requests.filter(|request| request.is_launched()).collect();
    running.sort_by_key(|request| request.serial);
    for request in running {
        count(&counts.resent);
        // Also for a cancelled run: if nothing ran, the agent answers the launch with the notice that it is too late.
        if request.call.is_none() {
            launch(agent, request, &table.class_names);
        }
        match request.run {
            RunState::Paused => command(agent, "freeze", request),
            _ => call_result(agent, request),
        }
    }
}

/// Makes the call that a run waits for; the policy is notified of its outcome.
pub fn call(table: &mut RequestTable, index: usize, time_left: Duration) {
    let tasks = table.tasks.clone();
    let slot = table.requests.get_mut(index).and_then(Option::as_mut);
    let Some(request) = slot else { return };
    let Some(call) = &mut request.call else {
        table.finished_runs.push_back(FinishedRun {
            index,
            outcome: Outcome::NeverStarted,
        });
        return;
    };
    count(&table.counts.calls);
    let order = CallOrder {
        index,
        serial: request.serial,
        trace: request.trace,
        time_left,
        body: call.body.clone(),
    };
    let task = tokio::task::spawn_local(async move {
        if let Some(tasks) = tasks.upgrade() {
            tasks.make_call(order).await;
        }
    });
    let previous = std::mem::replace(&mut call.state, CallState::InProgress(task.abort_handle()));
    if let CallState::InProgress(previous) = previous {
        previous.abort();
    }
}
