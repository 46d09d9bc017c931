//! A client's connection from its first byte to its end.
//!
//! Once nothing more is taken from it, what is owed still goes out: to a client that closed its sending side for as long as
//! its requests take, after bytes that cannot be read within [`CLOSE_ANSWER_TIMEOUT`]. Then the connection is closed so
//! that the answers reach the client ([`rainstand_lingering_close`]), within [`CLOSE_TIMEOUT`], or by the end of the
//! forwarder's drain.

use super::frames::take_frames;
use super::ClientConnection;
use crate::drain::CloseDeadlines;
use crate::observability::add;
use crate::socket::end_turn;
use crate::ForwarderContext;
use rainstand_lingering_close::{lingering_close, unacknowledged_bytes, Discard, LingerEnd};
use rainstand_protocol::ring::Ring;
use rainstand_protocol::thrift::ReasonCode;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::{sleep_until, timeout};

/// Answers that the client does not read, bytes: past it nothing more is read from it.
const MAX_WRITE_BUFFER_BYTES: usize = 256 << 10;
/// A frame that was begun is complete within this, and a new connection sends its first within it.
const FRAME_READ_TIMEOUT: Duration = Duration::from_secs(2);
/// After bytes that cannot be read, for requests in flight to be answered.
const CLOSE_ANSWER_TIMEOUT: Duration = Duration::from_millis(800);
/// From the start of a close, for all answers to reach the client. It may read them slowly.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);
/// After the end of our side, for a client that has all answers to end its own.
const CLOSE_SETTLE_TIME: Duration = Duration::from_millis(500);
/// Between two looks at whether the forwarder's drain shortens the time for a close.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Why nothing more is read from a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// The client closed its sending side between two frames.
    EndOfStream,
    /// The client closed its sending side within a frame.
    EndInFrame,
    /// The connection broke.
    Reset,
    /// No byte came within [`FRAME_READ_TIMEOUT`] of its opening.
    Silent,
    /// A frame was not complete within [`FRAME_READ_TIMEOUT`].
    FrameTimeout,
    /// It was closed to make its descriptor free.
    Evicted,
    /// The forwarder ends.
    Drained,
    /// What came is against the protocol.
    Protocol(ReasonCode),
}

impl CloseReason {
    /// The `code` in logs.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            CloseReason::EndOfStream => "eof",
            CloseReason::EndInFrame => "eof_in_frame",
            CloseReason::Reset => "reset",
            CloseReason::Silent => "silent",
            CloseReason::FrameTimeout => "half_a_frame",
            CloseReason::Evicted => "room",
            CloseReason::Drained => "drain",
            CloseReason::Protocol(flaw) => flaw,
        }
    }
}

/// What an evicted connection does next.
enum EvictionStep {
    /// A call was under way: it is served, and the eviction is withdrawn.
    ReadOn,
    /// An answer is still owed: the eviction is withdrawn.
    Continue,
}

/// Serves a connection to its end.
pub(super) async fn serve(
    context: &Rc<ForwarderContext>,
    client: &Rc<ClientConnection>,
    stream: &TcpStream,
) -> CloseReason {
    let reason = read_calls(context, client, stream).await;
    match reason {
        CloseReason::Reset | CloseReason::Evicted => return reason,
        // The decisions end each request in its own time.
        CloseReason::EndOfStream | CloseReason::EndInFrame => {
            write_until_answered(client, stream).await;
        }
        CloseReason::Protocol(_) | CloseReason::Silent | CloseReason::FrameTimeout => {
            let answered = write_until_answered(client, stream);
            let _ = timeout(CLOSE_ANSWER_TIMEOUT, answered).await;
        }
        CloseReason::Drained => {}
    }
    if client.was_sent_anything() {
        close(context, client, stream).await;
    }
    reason
}

/// Writes answers as they come until no request is open.
async fn write_until_answered(client: &ClientConnection, stream: &TcpStream) {
    while client.flush(stream).is_ok() && client.has_open_requests() {
        let is_blocked = !client.is_flushed();
        tokio::select! {
            _ = stream.writable(), if is_blocked => {}
            () = client.woken() => {}
        }
    }
}

/// Brings the queued answers to the client, and counts those that do not reach it in time. Unless the drain ends first, a
/// client may take [`CLOSE_TIMEOUT`] for it.
async fn close(context: &ForwarderContext, client: &ClientConnection, stream: &TcpStream) {
    let close_by = Instant::now() + CLOSE_TIMEOUT;
    let mut discard = Discard::default();
    if write_queued(context, client, stream, &mut discard, close_by)
        .await
        .is_err()
    {
        return;
    }
    let lingering = linger(context, stream, discard, close_by);
    let end = tokio::select! {
        end = lingering => end,
        () = evicted_when_delivered(context, client, stream) => LingerEnd::Delivered,
    };
    if end == LingerEnd::TimedOut {
        let cut_off = client.undelivered_answers(stream);
        add(&context.counters.cut_off_answers, cut_off);
    }
}

/// When the close of a connection ends, and when the last frame may be begun.
fn close_deadlines(context: &ForwarderContext, close_by: Instant) -> CloseDeadlines {
    context
        .drain
        .close_deadlines()
        .filter(|of_drain| of_drain.close_by <= close_by)
        .unwrap_or(CloseDeadlines::before(close_by))
}

/// Writes what is queued, and discards what comes meanwhile, so that it does not fill the client's way to us.
async fn write_queued(
    context: &ForwarderContext,
    client: &ClientConnection,
    stream: &TcpStream,
    discard: &mut Discard,
    close_by: Instant,
) -> io::Result<()> {
    loop {
        client.flush(stream)?;
        let deadlines = close_deadlines(context, close_by);
        let now = Instant::now();
        if client.is_flushed() || now >= deadlines.close_by {
            return Ok(());
        }
        if now >= deadlines.begin_frames_by {
            client.drop_unbegun_frames();
        }
        tokio::select! {
            _ = stream.writable() => {}
            read = discard.next(stream), if discard.reads_on() => {
                read?;
            }
            () = sleep_until((now + CLOSE_POLL_INTERVAL).into()) => {}
        }
    }
}

/// Ends our side and waits for the client to have everything.
async fn linger(
    context: &ForwarderContext,
    stream: &TcpStream,
    discard: Discard,
    close_by: Instant,
) -> LingerEnd {
    let settle_at = Instant::now() + CLOSE_SETTLE_TIME;
    let deadline = || close_deadlines(context, close_by).close_by;
    lingering_close(stream, discard, settle_at, deadline).await
}

/// Completes when the descriptor of a closing connection is wanted and its client has all answers.
async fn evicted_when_delivered(
    context: &ForwarderContext,
    client: &ClientConnection,
    stream: &TcpStream,
) {
    loop {
        client.woken().await;
        if client.is_evicted() {
            if is_delivered(stream) {
                return;
            }
            context.connection_limits.on_eviction_settled(client);
        }
    }
}

/// Whether the client acknowledged all that was written to it.
fn is_delivered(stream: &TcpStream) -> bool {
    unacknowledged_bytes(stream).unwrap_or(0) == 0
}

/// Takes calls and writes answers until there is a reason to read no more.
async fn read_calls(
    context: &Rc<ForwarderContext>,
    client: &Rc<ClientConnection>,
    stream: &TcpStream,
) -> CloseReason {
    let mut inbound = Ring::default();
    loop {
        if let Err(reason) = serve_once(context, client, stream, &mut inbound).await {
            return reason;
        }
    }
}

/// Writes what is queued, then waits for the next thing to do on the connection and does it.
async fn serve_once(
    context: &Rc<ForwarderContext>,
    client: &Rc<ClientConnection>,
    stream: &TcpStream,
    inbound: &mut Ring,
) -> Result<(), CloseReason> {
    client.flush(stream).map_err(|_| CloseReason::Reset)?;
    if client.is_reading_stopped() {
        return Err(CloseReason::Drained);
    }
    if client.is_evicted() && inbound.is_empty() {
        match on_evicted(context, client, stream, inbound)? {
            EvictionStep::ReadOn => return Ok(()),
            EvictionStep::Continue => {}
        }
    }
    let unwritten = client.unwritten_bytes();
    let is_timed = !client.has_sent_call() || !inbound.is_empty();
    tokio::select! {
        ready = timeout(FRAME_READ_TIMEOUT, stream.readable()), if unwritten < MAX_WRITE_BUFFER_BYTES => {
            match ready {
                Ok(ready) => {
                    let length = on_readable(context, client, stream, ready, inbound)?;
                    end_turn(length).await;
                }
                Err(_) if is_timed && !client.has_open_requests() => {
                    return Err(timeout_reason(inbound));
                }
                Err(_) => {}
            }
        }
        _ = stream.writable(), if unwritten > 0 => {}
        () = client.woken() => {}
    }
    Ok(())
}

fn timeout_reason(inbound: &Ring) -> CloseReason {
    if inbound.is_empty() {
        CloseReason::Silent
    } else {
        CloseReason::FrameTimeout
    }
}

/// Reads what there is, and takes the complete frames of it; how many bytes it was.
fn on_readable(
    context: &Rc<ForwarderContext>,
    client: &Rc<ClientConnection>,
    stream: &TcpStream,
    ready: io::Result<()>,
    inbound: &mut Ring,
) -> Result<usize, CloseReason> {
    let length = match ready.and_then(|()| context.read_buffer.read(stream, inbound)) {
        Ok(0) if inbound.is_empty() => return Err(CloseReason::EndOfStream),
        Ok(0) => return Err(CloseReason::EndInFrame),
        Ok(length) => length,
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(0),
        Err(_) => return Err(CloseReason::Reset),
    };
    client.on_bytes_read();
    take_frames(context, client, inbound).map_err(CloseReason::Protocol)?;
    Ok(length)
}

/// Closes an evicted connection, unless something is owed on it or a call lies in the socket that nobody read yet: such
/// a call must not be cut off by the close that it crossed.
fn on_evicted(
    context: &Rc<ForwarderContext>,
    client: &Rc<ClientConnection>,
    stream: &TcpStream,
    inbound: &mut Ring,
) -> Result<EvictionStep, CloseReason> {
    match context.read_buffer.read_unpolled(stream, inbound) {
        Ok(length) if length > 0 => {
            context.connection_limits.on_eviction_settled(client);
            client.on_bytes_read();
            take_frames(context, client, inbound).map_err(CloseReason::Protocol)?;
            Ok(EvictionStep::ReadOn)
        }
        Err(error) if error.kind() != io::ErrorKind::WouldBlock => Err(CloseReason::Reset),
        _ if !client.has_open_requests() && client.is_flushed() && is_delivered(stream) => {
            Err(CloseReason::Evicted)
        }
        _ => {
            context.connection_limits.on_eviction_settled(client);
            Ok(EvictionStep::Continue)
        }
    }
}
