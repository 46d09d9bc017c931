//! The task that maintains the link to the execution agent: one JSON object per line; notices are numbered and replayed
//! after a reconnect.

use crate::agent_link::AgentLink;
use crate::context::NodeContext;
use crate::counters::count;
use crate::socket_buffer::{ReadOutcome, Ring, SocketIo};
use crate::ticker::start_policy;
use crate::{completion, descriptors, dispatch, log_event};
use rainstand_traffic_recorder::Side;
use serde_json::Value;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::{sleep_until, timeout};

/// The longest line accepted, in bytes: a result of 4 KiB in base64, ten times over.
const MAX_LINE_BYTES: usize = 64 * 1024;

/// Maximum size of the commands that the agent has not read yet, in bytes: beyond it, some hundred launches are unread
/// and the link is closed.
const MAX_OUTGOING_BYTES: usize = 1024 * 1024;

/// Delay before the first reconnect; doubles with each failed reconnect.
const MIN_RETRY_BACKOFF: Duration = Duration::from_millis(20);

/// Longest delay between two reconnects; after a link that lasted longer than this, the delay starts at the minimum.
const MAX_RETRY_BACKOFF: Duration = Duration::from_millis(500);

/// Timeout for opening a connection, for a sample on a link after its greeting, and for the greeting of an agent that
/// was up before: after it the link counts as dead, even if the connection is open.
const REPLY_TIMEOUT: Duration = Duration::from_secs(3);

/// Timeout for the greeting of an agent that was never up, which may take this long to start. A connection that broke
/// undetected looks the same, but is replaced by a new one, so a reconnect costs nothing.
const FIRST_GREETING_TIMEOUT: Duration = Duration::from_secs(10);

/// Reason codes of a link's end, as written to the log.
mod end_reason {
    /// The connection could not be opened.
    pub(super) const UNREACHABLE: &str = "agent_unreachable";
    /// A new configuration names another address.
    pub(super) const ADDRESS_CHANGED: &str = "agent_moved";
    /// Reading or writing failed.
    pub(super) const RESET: &str = "agent_reset";
    /// The agent ended it.
    pub(super) const CLOSED: &str = "agent_closed";
    /// The agent does not read its commands.
    pub(super) const UNREAD: &str = "agent_unread";
    /// An awaited greeting or sample did not arrive in time.
    pub(super) const SILENT: &str = "agent_silent";
    /// A line could not be read.
    pub(super) const UNREADABLE: &str = "agent_nonsense";
}

/// Connects to the agent, and reconnects whenever the link ends; each end is logged with its reason.
pub async fn run_link(context: Rc<NodeContext>) {
    let link = context.link.clone();
    let mut backoff = MIN_RETRY_BACKOFF;
    let mut previous_code = "";
    loop {
        let started_at = Instant::now();
        let code = connect_and_serve(&context, &link).await;
        link.on_disconnected();
        // Consecutive failed connection attempts are logged once, not once per attempt.
        if code != end_reason::UNREACHABLE || previous_code != end_reason::UNREACHABLE {
            log_event!(
                "link_end",
                "end",
                link = "agent",
                code = code,
                after_ms = started_at.elapsed().as_millis()
            );
        }
        previous_code = code;
        if started_at.elapsed() > MAX_RETRY_BACKOFF {
            backoff = MIN_RETRY_BACKOFF;
        }
        if code != end_reason::ADDRESS_CHANGED {
            let has_moved = timeout(backoff, link.address_changed.notified())
                .await
                .is_ok();
            backoff = if has_moved {
                MIN_RETRY_BACKOFF
            } else {
                (backoff * 2).min(MAX_RETRY_BACKOFF)
            };
        }
    }
}

/// Opens a link and serves it until it ends; returns the reason code of the end.
async fn connect_and_serve(context: &Rc<NodeContext>, link: &AgentLink) -> &'static str {
    let address = context.peer_addresses.get().agent;
    let connect = descriptors::with_retry(context, "agent", || TcpStream::connect(address));
    let connected = tokio::select! {
        connected = timeout(REPLY_TIMEOUT, connect) => connected,
        () = link.address_changed.notified() => return end_reason::ADDRESS_CHANGED,
    };
    let Ok(Ok(stream)) = connected else {
        return end_reason::UNREACHABLE;
    };
    count(&context.counts.agent_links);
    let _ = stream.set_nodelay(true);
    let recording = context
        .recording
        .get()
        .and_then(|record| record.link(&stream));
    let was_up_before = context.core.borrow().controller.is_some();
    let greeting_timeout = if was_up_before {
        REPLY_TIMEOUT
    } else {
        FIRST_GREETING_TIMEOUT
    };
    link.on_connected(recording, greeting_timeout);
    serve(context, link, &stream).await
}

/// Writes commands and reads notices until the connection ends; returns the reason code of the end.
async fn serve(context: &Rc<NodeContext>, link: &AgentLink, stream: &TcpStream) -> &'static str {
    let mut incoming = Ring::default();
    loop {
        match link.outgoing.borrow_mut().flush(stream) {
            Err(_) => return end_reason::RESET,
            Ok(false) if link.outgoing.borrow().len() > MAX_OUTGOING_BYTES => {
                return end_reason::UNREAD;
            }
            Ok(_) => {}
        }
        let is_blocked = !link.outgoing.borrow().is_empty();
        let deadline = link.reply_deadline();
        // Readable bytes take precedence over the deadline: after a suspension of the process, both are ready.
        tokio::select! {
            biased;
            ready = stream.readable() => {
                match ready.and_then(|()| incoming.fill(stream)) {
                    Ok(ReadOutcome::EndOfStream) => return end_reason::CLOSED,
                    Ok(_) => {}
                    Err(_) => return end_reason::RESET,
                }
                if let Err(code) = handle_lines(context, link, &mut incoming) {
                    return code;
                }
            }
            _ = stream.writable(), if is_blocked => {}
            () = link.wakeup.notified() => {}
            () = link.address_changed.notified() => return end_reason::ADDRESS_CHANGED,
            () = sleep_until(deadline.unwrap_or_else(Instant::now).into()), if deadline.is_some() => {
                return end_reason::SILENT;
            }
        }
    }
}

/// Handles all complete lines.
fn handle_lines(
    context: &Rc<NodeContext>,
    link: &AgentLink,
    incoming: &mut Ring,
) -> Result<(), &'static str> {
    let mut consumed = 0;
    let bytes = incoming.bytes();
    while let Some(len) = bytes[consumed..].iter().position(|&byte| byte == b'\n') {
        let line = &bytes[consumed..consumed + len];
        if let Some(recording) = &*link.recording.borrow() {
            recording.record(Side::Server, &bytes[consumed..=consumed + len]);
        }
        consumed += len + 1;
        if line.trim_ascii().is_empty() {
            continue;
        }
        let message = serde_json::from_slice(line).map_err(|_| end_reason::UNREADABLE);
        if let Err(code) = message.and_then(|message| handle_message(context, link, &message)) {
            skip_if_repeated(context, link, code)?;
        }
    }
    let rest = bytes.len() - consumed;
    incoming.drop_front(consumed);
    if rest > MAX_LINE_BYTES {
        return Err(end_reason::UNREADABLE);
    }
    Ok(())
}

/// Called for a line that could not be handled. The first time, the link ends, so that the notice is replayed; a line
/// that is still unreadable after the replay is skipped, as it would end every further link.
fn skip_if_repeated(
    context: &NodeContext,
    link: &AgentLink,
    code: &'static str,
) -> Result<(), &'static str> {
    let position = Some(link.last_offset.get());
    if link.unreadable_after.replace(position) != position {
        return Err(code);
    }
    count(&context.counts.agent_odd);
    link.on_notice_skipped();
    log_event!(
        "agent_line_skipped",
        "agent line skipped after notice",
        what = link.last_offset.get()
    );
    Ok(())
}

/// Handles one message; unknown kinds are skipped.
fn handle_message(
    context: &Rc<NodeContext>,
    link: &AgentLink,
    message: &Value,
) -> Result<(), &'static str> {
    let kind = message
        .get("cmd")
        .and_then(Value::as_str)
        .ok_or(end_reason::UNREADABLE)?;
    match kind {
        "greeting" => on_greeting(context, link, message),
        "sampled" => on_sampled(context, link, message),
        "outcome" | "request" | "aside" => on_notice(context, link, kind, message),
        "refusal" => {
            count(&context.counts.refusals);
            completion::handle_notice(context, kind, 0, message, true)
        }
        _ => Ok(()),
    }
}

/// The agent is up; the first greeting starts the policy.
fn on_greeting(
    context: &Rc<NodeContext>,
    link: &AgentLink,
    message: &Value,
) -> Result<(), &'static str> {
    let elapsed_ms = message.get("elapsed_ms").and_then(Value::as_f64);
    let elapsed = Duration::try_from_secs_f64(elapsed_ms.unwrap_or(0.0) / 1e3);
    let is_cold = message.get("result").and_then(Value::as_str) == Some("starting");
    start_policy(context, elapsed.unwrap_or_default(), is_cold)?;
    link.reply_timeout.set(REPLY_TIMEOUT);
    link.request_sample();
    Ok(())
}

/// Stores the gauges; the first sample on a link means that its replay was read completely.
fn on_sampled(
    context: &Rc<NodeContext>,
    link: &AgentLink,
    message: &Value,
) -> Result<(), &'static str> {
    let token = message.get("token").and_then(Value::as_str);
    if token == Some(link.samples_requested.get().to_string().as_str()) {
        link.awaiting_since.set(None);
        let previously_answered = link
            .last_sample_answered
            .replace(link.samples_requested.get());
        if !link.is_ready.replace(true) {
            resend(context, previously_answered);
        }
    }
    let load = message
        .get("load")
        .and_then(Value::as_array)
        .ok_or(end_reason::UNREADABLE)?;
    let table = &mut context.core.borrow_mut().table;
    table.gauges = context.gauges(load);
    table.gauges_received_at = Some(Instant::now());
    link.sampled.notify_waiters();
    Ok(())
}

/// Resends commands after a replay. The policy decides about the runs that may still wait for the reply to a call.
fn resend(context: &NodeContext, answered: u64) {
    let unconfirmed = dispatch::resend(&mut context.core.borrow_mut().table, answered);
    if unconfirmed.is_empty() {
        return;
    }
    context.drive_policy(|policy, now, table| {
        for index in unconfirmed {
            policy.on_reply_unconfirmed(now, table, index);
        }
    });
}

/// Handles a numbered notice, unless it was already handled on an earlier link.
fn on_notice(
    context: &NodeContext,
    link: &AgentLink,
    kind: &str,
    message: &Value,
) -> Result<(), &'static str> {
    let offset = message
        .get("offset")
        .and_then(Value::as_u64)
        .ok_or(end_reason::UNREADABLE)?;
    count(&context.counts.notices);
    if offset > link.last_offset.get() {
        let is_replayed = link.unreadable_after.get() == Some(link.last_offset.get());
        completion::handle_notice(context, kind, offset, message, is_replayed)?;
        link.on_notice_handled(offset);
    }
    Ok(())
}
