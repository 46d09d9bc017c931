//! A client's connection from its first byte to its end.
//!
//! Once nothing more is read, what is owed still goes out: to a client that closed its sending side for as long as its
//! requests take, after bytes that cannot be read within [`CLOSE_WRITE_TIMEOUT`].

use super::frames::take_frames;
use super::ClientConnection;
use crate::ForwarderContext;
use rainstand_protocol::ring::Ring;
use rainstand_protocol::thrift::ReasonCode;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Answers that the client does not read, bytes: past it nothing more is read from it.
const MAX_WRITE_BUFFER_BYTES: usize = 256 << 10;
/// A frame that was begun is complete within this, and a new connection sends its first within it.
const FRAME_READ_TIMEOUT: Duration = Duration::from_secs(2);
/// After the last read, for answers that are still owed to be written.
const CLOSE_WRITE_TIMEOUT: Duration = Duration::from_millis(800);

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
        CloseReason::Reset => return reason,
        // The decisions end each request in its own time; whether the client then reads is not waited for without bound.
        CloseReason::EndOfStream | CloseReason::EndInFrame => {
            write_while(client, stream, || client.has_open_requests()).await;
        }
        _ => {}
    }
    let is_owed = || client.has_open_requests() || !client.is_flushed();
    let _ = timeout(CLOSE_WRITE_TIMEOUT, write_while(client, stream, is_owed)).await;
    reason
}

/// Writes answers as they come, for as long as `is_owed` says that there are more.
async fn write_while(client: &ClientConnection, stream: &TcpStream, is_owed: impl Fn() -> bool) {
    while client.flush(stream).is_ok() && is_owed() {
        let is_blocked = !client.is_flushed();
        tokio::select! {
            _ = stream.writable(), if is_blocked => {}
            () = client.woken() => {}
        }
    }
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
                Ok(ready) => on_readable(context, client, stream, ready, inbound)?,
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

/// Reads what there is, and takes the complete frames of it.
fn on_readable(
    context: &Rc<ForwarderContext>,
    client: &Rc<ClientConnection>,
    stream: &TcpStream,
    ready: io::Result<()>,
    inbound: &mut Ring,
) -> Result<(), CloseReason> {
    match ready.and_then(|()| context.read_buffer.read(stream, inbound)) {
        Ok(0) if inbound.is_empty() => return Err(CloseReason::EndOfStream),
        Ok(0) => return Err(CloseReason::EndInFrame),
        Ok(_) => {}
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
        Err(_) => return Err(CloseReason::Reset),
    }
    client.on_bytes_read();
    take_frames(context, client, inbound).map_err(CloseReason::Protocol)
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
        _ if !client.has_open_requests() && client.is_flushed() => Err(CloseReason::Evicted),
        _ => {
            context.connection_limits.on_eviction_settled(client);
            Ok(EvictionStep::Continue)
        }
    }
}
