//! The task that keeps the link to the execution agent: one JSON object a line, notices numbered and replayed after
//! a reconnect.

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

/// Commands that the agent has not read yet, in bytes: past some hundred launches the link is of no use.
const MAX_OUTGOING_BYTES: usize = 1024 * 1024;

/// Pause before the first reconnect; doubles with each that fails.
const MIN_RETRY_BACKOFF: Duration = Duration::from_millis(20);

/// The longest pause between two reconnects; a link that held for longer starts again with the shortest.
const MAX_RETRY_BACKOFF: Duration = Duration::from_millis(500);

/// For a connection to open, for a sample on a link that was greeted, and for the greeting of an agent that was up
/// before: past it the link is dead, however open it looks.
const REPLY_TIMEOUT: Duration = Duration::from_secs(3);

/// For the greeting of an agent that was never up: it may take as long to start. A link that broke without a notice
/// looks the same, but a new link takes its place, so a reconnect costs nothing.
const FIRST_GREETING_TIMEOUT: Duration = Duration::from_secs(10);

/// Reason codes of a link's end, as they stand in log lines.
mod end_reason {
    /// There was nothing to connect to.
    pub(super) const UNREACHABLE: &str = "agent_unreachable";
    /// A new configuration names another address.
    pub(super) const MOVED: &str = "agent_moved";
    /// Reading or writing failed.
    pub(super) const RESET: &str = "agent_reset";
    /// The agent ended it.
    pub(super) const CLOSED: &str = "agent_closed";
    /// The agent does not read its commands.
    pub(super) const UNREAD: &str = "agent_unread";
    /// What was awaited did not come in time.
    pub(super) const SILENT: &str = "agent_silent";
    /// A line could not be read.
    pub(super) const UNREADABLE: &str = "agent_nonsense";
}

/// Connects to the agent, and reconnects whenever the link ends; each end leaves a log line with its reason.
pub async fn run_link(context: Rc<NodeContext>) {
    let link = context.link.clone();
    let mut backoff = MIN_RETRY_BACKOFF;
    let mut previous_code = "";
    loop {
        let opened = Instant::now();
        let code = connect_and_serve(&context, &link).await;
        link.on_disconnected();
        // One line says that nobody listens, not one for each try.
        if code != end_reason::UNREACHABLE || previous_code != end_reason::UNREACHABLE {
            log_event!(
                "link_end",
                "end",
                link = "agent",
                code = code,
                after_ms = opened.elapsed().as_millis()
            );
        }
        previous_code = code;
        if opened.elapsed() > MAX_RETRY_BACKOFF {
            backoff = MIN_RETRY_BACKOFF;
        }
        if code != end_reason::MOVED {
            let has_moved = timeout(backoff, link.moved.notified()).await.is_ok();
            backoff = if has_moved {
                MIN_RETRY_BACKOFF
            } else {
                (backoff * 2).min(MAX_RETRY_BACKOFF)
            };
        }
    }
}

/// One link, from its connect to its end; the reason code of the end.
async fn connect_and_serve(context: &Rc<NodeContext>, link: &AgentLink) -> &'static str {
    let address = context.peer_addresses.get().agent;
    let connect = descriptors::with_retry(context, "agent", || TcpStream::connect(address));
    let connected = tokio::select! {
        connected = timeout(REPLY_TIMEOUT, connect) => connected,
        () = link.moved.notified() => return end_reason::MOVED,
    };
    let Ok(Ok(stream)) = connected else {
        return end_reason::UNREACHABLE;
    };
    count(&context.counts.agent_links);
    let _ = stream.set_nodelay(true);
    let recording = context.record.get().and_then(|record| record.link(&stream));
    let was_up_before = context.core.borrow().controller.is_some();
    let greeting_timeout = if was_up_before {
        REPLY_TIMEOUT
    } else {
        FIRST_GREETING_TIMEOUT
    };
    link.on_connected(recording, greeting_timeout);
    serve(context, link, &stream).await
}

/// Moves commands and notices over an open connection to its end; the reason code of the end.
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
        // Bytes come before the deadline: a process that was suspended finds both.
        tokio::select! {
            biased;
            ready = stream.readable() => {
                match ready.and_then(|()| incoming.fill(stream)) {
                    Ok(ReadOutcome::End) => return end_reason::CLOSED,
                    Ok(_) => {}
                    Err(_) => return end_reason::RESET,
                }
                if let Err(code) = handle_lines(context, link, &mut incoming) {
                    return code;
                }
            }
            _ = stream.writable(), if is_blocked => {}
            () = link.wakeup.notified() => {}
            () = link.moved.notified() => return end_reason::MOVED,
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
    let mut used = 0;
    let bytes = incoming.bytes();
    while let Some(len) = bytes[used..].iter().position(|&byte| byte == b'\n') {
        let line = &bytes[used..used + len];
        if let Some(recording) = &*link.recording.borrow() {
            recording.record(Side::Server, &bytes[used..=used + len]);
        }
        used += len + 1;
        if line.trim_ascii().is_empty() {
            continue;
        }
        let message = serde_json::from_slice(line).map_err(|_| end_reason::UNREADABLE);
        if let Err(code) = message.and_then(|message| handle_message(context, link, &message)) {
            skip_if_repeated(context, link, code)?;
        }
    }
    let rest = bytes.len() - used;
    incoming.drop_front(used);
    if rest > MAX_LINE_BYTES {
        return Err(end_reason::UNREADABLE);
    }
    Ok(())
}

/// A line could not be handled. The first time the link ends, so that the notice is replayed; one that comes as
/// unreadable again is skipped, as it would break each link there is.
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
    log_event!(
        "agent_line_skipped",
        "agent line skipped after notice",
        what = link.last_offset.get()
    );
    Ok(())
}

/// Handles one message; kinds that are not known are skipped.
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
            completion::notice(context, kind, 0, message, true)
        }
        _ => Ok(()),
    }
}

/// The agent is up; the policy starts with the first greeting.
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

/// The gauges came; with the first sample of a link its replay has been read.
fn on_sampled(
    context: &Rc<NodeContext>,
    link: &AgentLink,
    message: &Value,
) -> Result<(), &'static str> {
    let token = message.get("token").and_then(Value::as_str);
    if token == Some(link.samples_requested.get().to_string().as_str()) {
        link.awaiting_since.set(None);
        if !link.is_ready.replace(true) {
            dispatch::resend(&mut context.core.borrow_mut().table);
        }
    }
    let load = message
        .get("load")
        .and_then(Value::as_array)
        .ok_or(end_reason::UNREADABLE)?;
    let table = &mut context.core.borrow_mut().table;
    table.gauges = context.gauges(load);
    table.gauges_at = Some(Instant::now());
    link.sampled.notify_waiters();
    Ok(())
}

/// A numbered notice; what was read on an earlier link is not handled twice.
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
        completion::notice(context, kind, offset, message, is_replayed)?;
        link.last_offset.set(offset);
    }
    Ok(())
}
