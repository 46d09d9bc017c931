//! A client connection from its first byte to its close.
//!
//! After reading stops, pending answers are still sent: for as long as the requests take if the client closed its
//! sending side, within [`CLOSE_ANSWER_TIMEOUT`] after a protocol error or a read timeout. Then the connection is closed
//! such that the answers reach the client ([`rainstand_lingering_close`]), within [`CLOSE_TIMEOUT`] or by the end of the
//! forwarder's drain.

use super::frames::handle_frames;
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

/// Limit on answers that the client has not read, in bytes; above it, nothing more is read from the client.
const MAX_WRITE_BUFFER_BYTES: usize = 256 << 10;
/// Longest wait for bytes in the middle of a frame, and before the first call on a connection.
const FRAME_READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for answers to requests in flight after a protocol error or a read timeout.
const CLOSE_ANSWER_TIMEOUT: Duration = Duration::from_millis(800);
/// Time limit for all answers to reach the client, from the start of a close. The client may read slowly.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time that a client that has all answers gets to close its side, from the end of our side.
const CLOSE_SETTLE_TIME: Duration = Duration::from_millis(500);
/// Interval at which a close checks whether the forwarder's drain brings its deadline forward.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Why nothing more is read from a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// The client closed its sending side between two frames.
    EndOfStream,
    /// The client closed its sending side within a frame.
    EndInFrame,
    /// The connection failed.
    Reset,
    /// Nothing was received for [`FRAME_READ_TIMEOUT`] before the first call.
    Silent,
    /// Nothing was received for [`FRAME_READ_TIMEOUT`] in the middle of a frame.
    FrameTimeout,
    /// The connection was closed to free its file descriptor.
    Evicted,
    /// The forwarder shuts down.
    Drained,
    /// The client violated the protocol.
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
            CloseReason::Protocol(code) => code,
        }
    }
}

/// The next step of an evicted connection that stays open.
enum EvictionStep {
    /// Bytes had been received: they are handled, and the eviction is withdrawn.
    ReadMore,
    /// An answer is still pending: the eviction is withdrawn.
    Continue,
}

/// Serves a connection until it can be dropped.
pub(super) async fn serve(
    context: &Rc<ForwarderContext>,
    client: &Rc<ClientConnection>,
    stream: &TcpStream,
) -> CloseReason {
    let reason = read_calls(context, client, stream).await;
    match reason {
        CloseReason::Reset | CloseReason::Evicted => return reason,
        // No timeout here: the routing decides when each request ends.
        CloseReason::EndOfStream | CloseReason::EndInFrame => {
            write_until_answered(client, stream).await;
        }
        CloseReason::Protocol(_) | CloseReason::Silent | CloseReason::FrameTimeout => {
            let answered = write_until_answered(client, stream);
            let _ = timeout(CLOSE_ANSWER_TIMEOUT, answered).await;
        }
        CloseReason::Drained => {}
    }
    if client.has_queued_any_frame() {
        close(context, client, stream).await;
    }
    reason
}

/// Writes answers as they are queued until no request is open.
async fn write_until_answered(client: &ClientConnection, stream: &TcpStream) {
    while client.flush(stream).is_ok() && client.has_open_requests() {
        let is_blocked = !client.is_flushed();
        tokio::select! {
            _ = stream.writable(), if is_blocked => {}
            () = client.woken() => {}
        }
    }
}

/// Delivers the queued answers to the client, and counts those that do not reach it within [`CLOSE_TIMEOUT`] or by the
/// end of the drain, whichever is earlier.
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

/// Deadlines for the close of a connection and for the start of its last frame.
fn close_deadlines(context: &ForwarderContext, close_by: Instant) -> CloseDeadlines {
    context
        .drain
        .close_deadlines()
        .filter(|drain_deadlines| drain_deadlines.close_by <= close_by)
        .unwrap_or(CloseDeadlines::before(close_by))
}

/// Writes what is queued, and discards received bytes meanwhile, so that the client is not blocked in a write.
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
        if now >= deadlines.start_frames_by {
            client.drop_unstarted_frames();
        }
        tokio::select! {
            _ = stream.writable() => {}
            read = discard.next(stream), if discard.can_read_more() => {
                read?;
            }
            () = sleep_until((now + CLOSE_POLL_INTERVAL).into()) => {}
        }
    }
}

/// Closes our sending side and waits until the client has received everything.
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

/// Completes when a closing connection is evicted and its client has received all answers.
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

/// Whether the client's kernel has acknowledged all written bytes.
fn is_delivered(stream: &TcpStream) -> bool {
    unacknowledged_bytes(stream).unwrap_or(0) == 0
}

/// Reads calls and writes answers until there is a reason to stop reading.
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

/// Writes what is queued, then waits for the next event on the connection and handles it.
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
            EvictionStep::ReadMore => return Ok(()),
            EvictionStep::Continue => {}
        }
    }
    let unwritten = client.unwritten_bytes();
    let has_read_deadline = !client.has_sent_call() || !inbound.is_empty();
    tokio::select! {
        ready = timeout(FRAME_READ_TIMEOUT, stream.readable()), if unwritten < MAX_WRITE_BUFFER_BYTES => {
            match ready {
                Ok(ready) => {
                    let length = on_readable(context, client, stream, ready, inbound)?;
                    end_turn(length).await;
                }
                Err(_) if has_read_deadline && !client.has_open_requests() => {
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

/// Reads the available bytes and handles the complete frames. Returns the number of bytes read.
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
    handle_frames(context, client, inbound).map_err(CloseReason::Protocol)?;
    Ok(length)
}

/// Closes an evicted connection, unless an answer is pending or the socket holds unread bytes: a call that the client
/// sent before it could see the close must not be lost.
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
            handle_frames(context, client, inbound).map_err(CloseReason::Protocol)?;
            Ok(EvictionStep::ReadMore)
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
