//! The link to the render farm agent: one JSON object a line, notices numbered, replayed after a break.

use crate::counters::{count, Counts};
use crate::socket_buffer::{ReadOutcome, Ring, SocketIo};
use crate::{completion, descriptors, dispatch, log_event, NodeContext};
use rainstand::Gauges;
use rainstand_traffic_recorder::Tape;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::io::Write;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep_until, timeout};

/// The longest line taken, in bytes: a result of 4 KiB in base64, ten times over.
const MAX_LINE_BYTES: usize = 64 * 1024;
/// Commands not yet taken by the agent, in bytes: past some hundred launches the link is of no use.
const MAX_OUTGOING_BYTES: usize = 1024 * 1024;
/// Pause before the next try to connect, at first and at most.
const AGAIN: [Duration; 2] = [Duration::from_millis(20), Duration::from_millis(500)];
/// No gauges for so long on a link that was greeted, or no greeting by an agent known to be up: it is dead,
/// however open it looks.
const SILENT: Duration = Duration::from_secs(3);
/// No greeting yet by an agent that was never up: it may take as long to start, but a link that was lost without a word
/// looks the same. A new link takes the place of the one before, so asking again costs nothing.
const FIRST: Duration = Duration::from_secs(10);

/// Reason codes where there was nothing to connect to, and where a new configuration names another address.
const UNREACHABLE: &str = "agent_unreachable";
const MOVED: &str = "agent_moved";

/// What the rest of the node sees of the link.
#[derive(Default)]
pub struct AgentLink {
    out: RefCell<Ring>,
    /// Where this link is recorded, if it is.
    tape: RefCell<Option<Tape>>,
    stir: Notify,
    /// The replay was read: commands go out as they come. Before, they are only noted in the books.
    ready: Cell<bool>,
    /// The number of the last notice that was read, and that behind which a line could not be read.
    last: Cell<u64>,
    odd: Cell<Option<u64>>,
    /// Samples asked for, and when the one that is out was; the first of a link marks the replay's end.
    asked: Cell<u64>,
    waiting: Cell<Option<Instant>>,
    /// How long for.
    patience: Cell<Duration>,
    /// Tells who waits just then that gauges came in.
    pub sampled: Notify,
    /// The agent has another address: the link is opened anew there.
    pub moved: Notify,
}

impl AgentLink {
    pub fn command(&self, line: fmt::Arguments) {
        if self.ready.get() {
            self.write(line);
        }
    }

    fn write(&self, line: fmt::Arguments) {
        let mut text = Vec::with_capacity(128);
        if text.write_fmt(line).is_ok() {
            self.out.borrow_mut().put(&text);
            if let Some(tape) = &*self.tape.borrow() {
                tape.said(0, &text);
            }
            self.stir.notify_one();
        }
    }

    /// Asks for the gauges, unless the last question is still out.
    pub fn sample(&self) {
        if self.ready.get() && self.waiting.get().is_none() {
            self.ask();
        }
    }

    fn ask(&self) {
        self.asked.set(self.asked.get() + 1);
        self.waiting.set(Some(Instant::now()));
        self.write(format_args!(
            "{{\"cmd\":\"sample\",\"token\":\"{}\"}}\n",
            self.asked.get()
        ));
    }
}

/// Connects, and again whenever the link ends; each end leaves a line with its reason.
pub async fn run_link(context: Rc<NodeContext>) {
    let (mut pause, mut before) = (AGAIN[0], "");
    loop {
        let link = context.link.clone();
        let opened = Instant::now();
        let agent = context.peer_addresses.get().agent;
        let opening = descriptors::with_retry(&context, "agent", || TcpStream::connect(agent));
        let opening = timeout(SILENT, opening);
        let opening = tokio::select! {
            opening = opening => Some(opening),
            () = link.moved.notified() => None,
        };
        let why = match opening {
            None => MOVED,
            Some(Ok(Ok(stream))) => {
                count(&context.counts.agent_links);
                let _ = stream.set_nodelay(true);
                link.out.borrow_mut().clear();
                let tape = context.record.get().and_then(|record| record.link(&stream));
                *link.tape.borrow_mut() = tape;
                link.write(format_args!(
                    "{{\"cmd\":\"subscribe\",\"offset\":{}}}\n",
                    link.last.get()
                ));
                // Only the first greeting may take as long as the agent takes to start.
                let begun = context.core.borrow().controller.is_some();
                link.patience.set(if begun { SILENT } else { FIRST });
                link.waiting.set(Some(Instant::now()));
                serve(&context, &link, &stream).await
            }
            Some(Ok(Err(_)) | Err(_)) => UNREACHABLE,
        };
        link.ready.set(false);
        link.tape.take();
        link.waiting.set(None);
        // One line tells that nobody listens, not one for each try.
        if why != UNREACHABLE || before != UNREACHABLE {
            let after = opened.elapsed().as_millis();
            log_event!(
                "link_end",
                "end",
                link = "agent",
                code = why,
                after_ms = after
            );
        }
        before = why;
        // Guards against a link that breaks as often as it is opened: only one that held starts afresh.
        pause = if opened.elapsed() > AGAIN[1] {
            AGAIN[0]
        } else {
            pause
        };
        if why != MOVED {
            let moved = timeout(pause, link.moved.notified()).await.is_ok();
            pause = if moved {
                AGAIN[0]
            } else {
                (pause * 2).min(AGAIN[1])
            };
        }
    }
}

async fn serve(context: &Rc<NodeContext>, link: &AgentLink, stream: &TcpStream) -> &'static str {
    let mut back = Ring::default();
    loop {
        match link.out.borrow_mut().flush(stream) {
            Err(_) => return "agent_reset",
            Ok(false) if link.out.borrow().len() > MAX_OUTGOING_BYTES => return "agent_unread",
            Ok(_) => {}
        }
        let blocked = !link.out.borrow().is_empty();
        let dead = link.waiting.get().map(|asked| asked + link.patience.get());
        // What was read counts before the clock: a process that stood still finds both.
        tokio::select! {
            biased;
            ready = stream.readable() => {
                match ready.and_then(|()| back.fill(stream)) {
                    Ok(ReadOutcome::End) => return "agent_closed",
                    Ok(_) => {}
                    Err(_) => return "agent_reset",
                }
                if let Err(code) = lines(context, link, &mut back) {
                    return code;
                }
            }
            _ = stream.writable(), if blocked => {}
            () = link.stir.notified() => {}
            () = link.moved.notified() => return MOVED,
            () = sleep_until(dead.unwrap_or_else(Instant::now).into()), if dead.is_some() => return "agent_silent",
        }
    }
}

/// Takes all whole lines.
fn lines(context: &Rc<NodeContext>, link: &AgentLink, back: &mut Ring) -> Result<(), &'static str> {
    let mut used = 0;
    let bytes = back.bytes();
    while let Some(len) = bytes[used..].iter().position(|&b| b == b'\n') {
        let line = &bytes[used..used + len];
        if let Some(tape) = &*link.tape.borrow() {
            tape.said(1, &bytes[used..=used + len]);
        }
        used += len + 1;
        if !line.trim_ascii().is_empty() {
            let value = serde_json::from_slice(line).map_err(|_| "agent_nonsense");
            if let Err(code) = value.and_then(|value| take(context, link, &value)) {
                // Guards against a link that one odd notice breaks for ever: asked for once more, it is
                // passed over when it comes as odd again.
                let at = Some(link.last.get());
                if link.odd.replace(at) != at {
                    return Err(code);
                }
                count(&context.counts.agent_odd);
                log_event!(
                    "agent_line_passed_over",
                    "agent line passed over behind notice",
                    what = link.last.get()
                );
            }
        }
    }
    let rest = bytes.len() - used;
    back.drop_front(used);
    if rest > MAX_LINE_BYTES {
        return Err("agent_nonsense");
    }
    Ok(())
}

fn take(context: &Rc<NodeContext>, link: &AgentLink, message: &Value) -> Result<(), &'static str> {
    let cmd = message
        .get("cmd")
        .and_then(Value::as_str)
        .ok_or("agent_nonsense")?;
    match cmd {
        "greeting" => {
            let ms = message
                .get("elapsed_ms")
                .and_then(Value::as_f64)
                .unwrap_or(0.0);
            let ago = Duration::try_from_secs_f64(ms / 1e3).unwrap_or_default();
            context.start_policy(
                ago,
                message.get("result").and_then(Value::as_str) == Some("starting"),
            )?;
            link.patience.set(SILENT);
            link.ask();
        }
        "sampled" => {
            let token = message.get("token").and_then(Value::as_str);
            if token == Some(link.asked.get().to_string().as_str()) {
                link.waiting.set(None);
                if !link.ready.replace(true) {
                    dispatch::resend(&mut context.core.borrow_mut().table);
                }
            }
            let load = message
                .get("load")
                .and_then(Value::as_array)
                .ok_or("agent_nonsense")?;
            let table = &mut context.core.borrow_mut().table;
            (table.gauges, table.gauges_at) = (context.gauges(load), Some(Instant::now()));
            link.sampled.notify_waiters();
        }
        "outcome" | "request" | "aside" => {
            let offset = message
                .get("offset")
                .and_then(Value::as_u64)
                .ok_or("agent_nonsense")?;
            count(&context.counts.notices);
            // What was read on an earlier link is not taken twice.
            if offset > link.last.get() {
                let again = link.odd.get() == Some(link.last.get());
                completion::notice(context, cmd, offset, message, again)?;
                link.last.set(offset);
            }
        }
        "refusal" => {
            count(&context.counts.refusals);
            completion::notice(context, cmd, 0, message, true)?;
        }
        _ => {}
    }
    Ok(())
}

/// Values in the order of the settings' gauges, by name.
pub fn gauges(names: &[String], load: &[Value]) -> Gauges {
    let value = |name: &str| {
        let at = names.iter().position(|known| known == name)?;
        load.get(at).and_then(Value::as_f64)
    };
    Gauges {
        cores_busy: value("core_use"),
        runnable: value("on_cores"),
        memory: value("heap_share"),
        connections: value("links"),
    }
}

/// Printed with the counters.
pub fn state(link: &AgentLink, counts: &Counts) -> String {
    format!(
        "ready={} last={} links={}",
        link.ready.get(),
        link.last.get(),
        counts.agent_links.get()
    )
}
