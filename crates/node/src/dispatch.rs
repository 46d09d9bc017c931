//! Commands that the table sends to the agent, and downstream calls that it starts.

use crate::agent_link::{AgentLink, CommandStatus};
use crate::counters::count;
use crate::log_frequent;
use crate::request::{CallState, DownstreamCall, Request, RunState, Trace};
use crate::request_table::{CallOrder, FinishedRun, RequestTable};
use base64::prelude::{Engine, BASE64_STANDARD};
use rainstand::Outcome;
use std::time::Duration;

/// Launches the run of a request that was not launched yet. `class_names`: see [`launch`].
pub fn launch_first(agent: &AgentLink, request: &mut Request, class_names: &[String]) {
    request.run = RunState::Launched;
    request.launched_after = agent.last_offset.get();
    launch(agent, request, class_names);
}

/// Sends the launch of a request's run. `class_names` holds the class names as JSON strings, by class index.
pub fn launch(agent: &AgentLink, request: &Request, class_names: &[String]) {
    let trace = String::from_utf8_lossy(&request.trace);
    let method = &class_names[request.class];
    let payload = BASE64_STANDARD.encode(&request.body);
    agent.command(format_args!(
        "{{\"cmd\":\"launch\",\"req\":\"{trace}\",\"method\":{method},\"payload\":\"{payload}\"}}\n"
    ));
}

/// Sends a command whose only argument is the request's trace.
pub fn command(agent: &AgentLink, name: &str, trace: Trace) -> CommandStatus {
    let trace = String::from_utf8_lossy(&trace);
    agent.command(format_args!("{{\"cmd\":\"{name}\",\"req\":\"{trace}\"}}\n"))
}

/// Sends the outcome of a call to the run that waits for it, if the call was answered or skipped.
pub fn send_call_outcome(agent: &AgentLink, trace: Trace, call: &mut DownstreamCall) {
    let trace = String::from_utf8_lossy(&trace);
    match &call.state {
        CallState::Succeeded(body) => {
            let payload = BASE64_STANDARD.encode(body);
            call.outcome_command = agent.command(format_args!(
                "{{\"cmd\":\"deliver\",\"req\":\"{trace}\",\"payload\":\"{payload}\"}}\n"
            ));
        }
        CallState::Skipped => {
            let offset = call.offset;
            call.outcome_command = agent.command(format_args!(
                "{{\"cmd\":\"forgo\",\"req\":\"{trace}\",\"offset\":{offset}}}\n"
            ));
        }
        CallState::Pending | CallState::InProgress(_) => {}
    }
}

/// After a reconnect and its replay: resends the commands that may not have been read, where a second copy has no
/// effect. Runs that the replay reported as ended are no longer in the table.
///
/// `answered` is the number of the last sample answered on an earlier link. Returns the requests, by their indices, of
/// which it became unknown whether their run still waits for the reply to a call: that command names no call, so it is
/// not sent twice.
#[must_use]
pub fn resend(table: &mut RequestTable, answered: u64) -> Vec<usize> {
    let (agent, counts) = (&table.agent, &table.counts);
    let requests = table.requests.iter_mut().enumerate();
    let mut running: Vec<(usize, &mut Request)> = requests
        .filter_map(|(index, request)| Some((index, request.as_mut()?)))
        .filter(|(_, request)| request.is_launched())
        .collect();
    running.sort_by_key(|(_, request)| request.serial);
    let mut unconfirmed = Vec::new();
    for (index, request) in running {
        count(&counts.resent);
        // Also for a cancelled run: if nothing ran, the agent answers the launch with the notice that it is too late.
        if request.call.is_none() {
            launch(agent, request, &table.class_names);
        }
        if request.run == RunState::Paused {
            command(agent, "freeze", request.trace);
            continue;
        }
        resend_thaw(agent, request, answered);
        if resend_call_outcome(agent, request, answered) == Resent::NewlyUnknown {
            count(&counts.unconfirmed_replies);
            log_frequent!(
                "reply_unconfirmed",
                "reply to a call may be lost",
                trace = request.trace.escape_ascii()
            );
            unconfirmed.push(index);
        }
    }
    unconfirmed
}

/// What came of the command that passes a call's outcome to its run.
#[derive(PartialEq, Eq)]
enum Resent {
    /// It was sent again, needs no second copy, or was already unknown after an earlier break.
    Done,
    /// It may have been read, and a second copy could have another effect.
    NewlyUnknown,
}

/// `thaw` has no effect on a run that is not paused.
fn resend_thaw(agent: &AgentLink, request: &mut Request, answered: u64) {
    let Some(status) = request.thaw_command else {
        return;
    };
    request.thaw_command = match status.after_disconnect(answered) {
        CommandStatus::Confirmed => None,
        _ => Some(command(agent, "thaw", request.trace)),
    };
}

fn resend_call_outcome(agent: &AgentLink, request: &mut Request, answered: u64) -> Resent {
    let Some(call) = &mut request.call else {
        return Resent::Done;
    };
    let was_unknown = call.outcome_command == CommandStatus::Unknown;
    call.outcome_command = call.outcome_command.after_disconnect(answered);
    match (&call.state, call.outcome_command) {
        (_, CommandStatus::Confirmed) => Resent::Done,
        // The run may have read it, and wait for its next call when it reads the second copy.
        (CallState::Succeeded(_), CommandStatus::Unknown) if was_unknown => Resent::Done,
        (CallState::Succeeded(_), CommandStatus::Unknown) => Resent::NewlyUnknown,
        // Never sent, or `forgo`, which names its call.
        _ => {
            send_call_outcome(agent, request.trace, call);
            Resent::Done
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
