//! Serves one connection: reads frames and writes answers until it ends.

use super::capacity::{closing_count, MAX_CLOSING};
use super::ReadDeadlines;
use crate::connection::{close_reason, Connection};
use crate::context::NodeContext;
use crate::counters::count;
use crate::socket_buffer::{ReadOutcome, Ring, SocketIo};
use crate::{ingress, log_frequent, thrift};
use rainstand_lingering_close::{lingering_close, Discard};
use rainstand_traffic_recorder::Side;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::sleep_until;

/// Size of a frame's length prefix.
const FRAME_HEADER_BYTES: usize = 4;

/// Unread answers on a connection, in bytes, past which no more requests are read from it: a full set of answers.
const MAX_UNREAD_BYTES: usize = 128 * 1024;

/// Buffered bytes past which the task yields to other connections: about ten requests.
const MAX_BYTES_PER_TURN: usize = 4 * 1024;

/// How long a peer that has read all answers may take to close the connection.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// How long the peer may take to read all answers: it may read slowly.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// How a connection is closed.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Closing {
    /// The node ends its side first and reads what the peer still sends.
    Graceful,
    /// Without waiting for the peer.
    Immediate,
}

/// Why and how an exchange ends.
struct ExchangeEnd {
    /// The reason code of the log line and of the `ends` counters.
    code: &'static str,
    closing: Closing,
}

impl ExchangeEnd {
    fn graceful(code: &'static str) -> Self {
        let closing = Closing::Graceful;
        Self { code, closing }
    }

    fn immediate(code: &'static str) -> Self {
        let closing = Closing::Immediate;
        Self { code, closing }
    }

    fn reset(_: io::Error) -> Self {
        Self::immediate(close_reason::RESET)
    }
}

/// Unregisters and logs a connection at its end, also if the task that serves it panics.
struct ConnectionGuard {
    context: Rc<NodeContext>,
    conn: Rc<Connection>,
    opened: Instant,
    /// None until the exchange has ended.
    code: Option<&'static str>,
    /// Requests that were open at the end.
    open: usize,
}

impl ConnectionGuard {
    /// Cancels the open requests; nothing more is read from the connection.
    fn cancel_open_requests(&mut self) {
        self.conn.closing.set(true);
        let open: Vec<i32> = self.conn.open_requests.borrow().keys().copied().collect();
        self.open += open.len();
        for seq in open {
            ingress::cancel(&self.context, &self.conn, seq);
        }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let code = match self.code {
            Some(code) => code,
            // Dropped without an end or a panic: the process exits.
            None if !std::thread::panicking() => return,
            None => {
                self.cancel_open_requests();
                close_reason::PANIC
            }
        };
        self.context.connections.borrow_mut().remove(&self.conn.id);
        count(&self.context.counts.closed);
        *self.context.ends.borrow_mut().entry(code).or_default() += 1;
        log_frequent!(
            "connection_end",
            "end",
            conn = self.conn.id,
            peer = self.conn.peer,
            code = code,
            open = self.open,
            after_ms = self.opened.elapsed().as_millis()
        );
    }
}

/// Serves a connection until it ends.
pub(super) async fn serve(context: Rc<NodeContext>, conn: Rc<Connection>) {
    let opened = Instant::now();
    let mut guard = ConnectionGuard {
        context: context.clone(),
        conn: conn.clone(),
        opened,
        code: None,
        open: 0,
    };
    let end = run_exchange(&context, &conn).await;
    guard.code = Some(end.code);
    guard.cancel_open_requests();
    if end.closing == Closing::Graceful {
        close_gracefully(&conn.stream).await;
    }
}

/// Unconsumed bytes of a connection, and the deadlines for further ones.
struct FrameReader {
    incoming: Ring,
    /// Set once nothing more is read: the peer ended the stream, or a frame was unreadable or late.
    end_code: Option<&'static str>,
    deadlines: ReadDeadlines,
}

/// How a socket is read.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ReadMode {
    /// Only if the runtime reports the socket as readable.
    WhenReady,
    /// With a system call, as the runtime may not have been notified of the last bytes yet.
    Direct,
}

/// Whether the task yields to other connections before it reads this one again.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Turn {
    Continue,
    Yield,
}

impl FrameReader {
    fn new(opened: Instant) -> Self {
        Self {
            incoming: Ring::default(),
            end_code: None,
            deadlines: ReadDeadlines::new(opened),
        }
    }

    /// Stops reading, for this reason.
    fn stop(&mut self, code: &'static str) {
        self.deadlines.stop_reading(Instant::now());
        self.end_code = Some(code);
    }

    /// Reads from the socket once and handles the complete frames.
    fn read(
        &mut self,
        context: &NodeContext,
        conn: &Rc<Connection>,
        mode: ReadMode,
    ) -> io::Result<Turn> {
        let was_empty = self.incoming.is_empty();
        let outcome = match mode {
            ReadMode::Direct => self.incoming.fill_now(&conn.stream),
            ReadMode::WhenReady => self.incoming.fill(&conn.stream),
        };
        match outcome? {
            ReadOutcome::Bytes => conn.last_activity.set(Instant::now()),
            ReadOutcome::WouldBlock => {}
            ReadOutcome::EndOfStream if self.incoming.is_empty() => {
                self.end_code = Some(close_reason::END_OF_STREAM);
            }
            ReadOutcome::EndOfStream => self.end_code = Some(close_reason::END_IN_FRAME),
        }
        let turn = if self.incoming.len() > MAX_BYTES_PER_TURN {
            Turn::Yield
        } else {
            Turn::Continue
        };
        match handle_frames(context, conn, &mut self.incoming) {
            Err(code) => self.stop(code),
            Ok(frames) => {
                let starts_frame = was_empty || frames > 0;
                let all_consumed = self.incoming.is_empty();
                self.deadlines
                    .on_bytes(Instant::now(), starts_frame, all_consumed);
            }
        }
        Ok(turn)
    }

    /// Handles the deadline of [`wait_for_event`].
    fn on_deadline(&mut self, context: &NodeContext, conn: &Connection) {
        if self.end_code.is_some() {
            ingress::fail_open_requests(context, conn);
            self.deadlines.clear_answer_deadline();
        } else if !self.incoming.is_empty() {
            self.stop(close_reason::PARTIAL_FRAME);
        } else if conn.open_requests.borrow().is_empty() {
            self.stop(close_reason::SILENT);
        } else {
            self.deadlines.extend_first_frame(Instant::now());
        }
    }
}

/// Reads and writes until the connection ends.
async fn run_exchange(context: &Rc<NodeContext>, conn: &Rc<Connection>) -> ExchangeEnd {
    let mut reader = FrameReader::new(Instant::now());
    loop {
        if let Err(error) = flush(conn) {
            return ExchangeEnd::reset(error);
        }
        if let Some(code) = reader.end_code.filter(|_| conn.is_idle()) {
            return ExchangeEnd::graceful(code);
        }
        if let Some(code) = conn.close_reason.take() {
            if let Some(end) = close_requested(context, conn, &mut reader, code) {
                return end;
            }
            continue;
        }
        if let Err(error) = wait_for_event(context, conn, &mut reader).await {
            return ExchangeEnd::reset(error);
        }
    }
}

/// Writes as much of the pending answers as the socket accepts.
fn flush(conn: &Connection) -> io::Result<()> {
    let before = conn.outgoing.borrow().len();
    if before > 0 {
        conn.outgoing.borrow_mut().flush(&conn.stream)?;
        if conn.outgoing.borrow().len() < before {
            conn.last_activity.set(Instant::now());
        }
    }
    Ok(())
}

/// Handles a close request of another part of the node; None if the connection turns out to be in use.
fn close_requested(
    context: &NodeContext,
    conn: &Rc<Connection>,
    reader: &mut FrameReader,
    code: &'static str,
) -> Option<ExchangeEnd> {
    if close_reason::is_unconditional(code) {
        return Some(if conn.is_idle() {
            ExchangeEnd::graceful(code)
        } else {
            ExchangeEnd::immediate(code)
        });
    }
    // A request may have arrived after the decision to close: unread in the socket while the process was busy, or
    // partly read.
    if reader.end_code.is_none() && conn.is_idle() {
        if let Err(error) = reader.read(context, conn, ReadMode::Direct) {
            return Some(ExchangeEnd::reset(error));
        }
    }
    let is_unused = conn.is_idle() && reader.incoming.is_empty() && reader.end_code.is_none();
    is_unused.then(|| close_unused(context, conn, code))
}

/// How an unused connection is closed. A graceful close holds its descriptor for a while, so that a flood of
/// connections would exhaust them; a reset would discard an answer still in transit to a caller that was served.
fn close_unused(context: &NodeContext, conn: &Connection, code: &'static str) -> ExchangeEnd {
    let is_crowded = || !conn.has_served.get() || closing_count(context) >= MAX_CLOSING;
    match code {
        close_reason::DESCRIPTORS => ExchangeEnd::immediate(code),
        close_reason::CAPACITY if is_crowded() => ExchangeEnd::immediate(code),
        _ => ExchangeEnd::graceful(code),
    }
}

/// Waits until the socket is readable or writable, another part of the node wakes the task, or a deadline passes.
async fn wait_for_event(
    context: &Rc<NodeContext>,
    conn: &Rc<Connection>,
    reader: &mut FrameReader,
) -> io::Result<()> {
    let unread = conn.outgoing.borrow().len();
    let reads = reader.end_code.is_none() && unread < MAX_UNREAD_BYTES;
    let deadline = if reads {
        reader.deadlines.frame_deadline(conn.has_served.get())
    } else {
        reader.deadlines.answer_deadline()
    };
    // Bytes are handled before the deadline: after a suspension of the process both are due.
    tokio::select! {
        biased;
        ready = conn.stream.readable(), if reads => {
            ready?;
            if reader.read(context, conn, ReadMode::WhenReady)? == Turn::Yield {
                tokio::task::yield_now().await;
            }
        }
        _ = conn.stream.writable(), if unread > 0 => {}
        () = conn.wakeup.notified() => {}
        () = sleep_until(deadline.unwrap_or_else(Instant::now).into()), if deadline.is_some() => {
            reader.on_deadline(context, conn);
        }
    }
    Ok(())
}

/// Handles all complete frames and returns their number.
fn handle_frames(
    context: &NodeContext,
    conn: &Rc<Connection>,
    incoming: &mut Ring,
) -> Result<usize, thrift::ReasonCode> {
    let record = |bytes: &[u8]| {
        if let Some(recording) = &conn.recording {
            recording.record(Side::Client, bytes);
        }
    };
    let mut frames = 0;
    loop {
        let len = match thrift::frame(incoming.bytes()) {
            Ok(Some(len)) => FRAME_HEADER_BYTES + len,
            Ok(None) => return Ok(frames),
            Err(code) => {
                // Unreadable bytes are recorded, too.
                record(incoming.bytes());
                return Err(code);
            }
        };
        record(&incoming.bytes()[..len]);
        count(&context.counts.frames);
        frames += 1;
        let handled =
            ingress::handle_frame(context, conn, &incoming.bytes()[FRAME_HEADER_BYTES..len]);
        incoming.drop_front(len);
        handled?;
    }
}

/// Ends the node's side and reads until the peer ends, so that no reset discards data in transit.
async fn close_gracefully(stream: &TcpStream) {
    let now = Instant::now();
    let deadline = now + CLOSE_TIMEOUT;
    let settle_at = now + LINGER_TIMEOUT;
    lingering_close(stream, Discard::default(), settle_at, || deadline).await;
}
