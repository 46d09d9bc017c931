//! Downstream calls over HTTP/1.1, each on its own connection.
//!
//! On a reused connection, a reset would not tell whether the call ran, and surplus bytes after the previous reply
//! would be read as the reply to this call. Under normal load, the cost of one connection per call is not noticeable.

use crate::context::NodeContext;
use crate::request_table::CallOrder;
use crate::socket_buffer::{ReadOutcome, Ring, SocketIo};

use crate::{connections, descriptors, http};
use rainstand::Outcome;
use rainstand_traffic_recorder::{ConnectionRecorder, Side};
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long a reply is awaited after the stated timeout: the network delay of a reply that was sent just in time.
const REPLY_GRACE: Duration = Duration::from_millis(15);

/// The reply to a call.
pub struct CallReply {
    /// How the call ended, and what that proves about its execution.
    pub outcome: Outcome,
    /// The body of the reply, if there was one.
    pub body: Vec<u8>,
}

impl CallReply {
    fn without_body(outcome: Outcome) -> Self {
        let body = Vec::new();
        Self { outcome, body }
    }
}

/// Makes one call. Dropping the future closes the connection, which cancels the call.
pub async fn call(context: &NodeContext, order: &CallOrder) -> CallReply {
    let pool = context.core.borrow().table.downstream.clone();
    let Some(slot) = pool.acquire() else {
        return CallReply::without_body(Outcome::Unreachable);
    };
    let deadline = Instant::now() + order.time_left;
    // Nothing is written until the connection is open, so after any earlier failure nothing ran.
    connections::reserve_for_call(context).await;
    let address = slot.address;
    let connect = descriptors::with_retry(context, "call", || TcpStream::connect(address));
    let Ok(Ok(stream)) = timeout(order.time_left, connect).await else {
        return CallReply::without_body(Outcome::Unreachable);
    };
    let _ = stream.set_nodelay(true);
    let time_left = deadline.saturating_duration_since(Instant::now());
    let recording = pool.recording.get().and_then(|record| record.link(&stream));
    let request = encode_request(&order.trace, time_left, address, &order.body);
    let exchange = exchange(&stream, &request, recording.as_ref());
    match timeout(time_left + REPLY_GRACE, exchange).await {
        Err(_) => CallReply::without_body(Outcome::TimedOut),
        Ok(Err(_)) => CallReply::without_body(Outcome::Disconnected),
        Ok(Ok(reply)) => CallReply {
            outcome: outcome(&reply.head),
            body: reply.body,
        },
    }
}

fn encode_request(trace: &[u8], time_left: Duration, address: SocketAddr, body: &[u8]) -> Vec<u8> {
    let trace = String::from_utf8_lossy(trace);
    let ms = time_left.as_millis().max(1);
    let len = body.len();
    let mut bytes = format!(
        "POST /v1/exec HTTP/1.1\r\nHost: {address}\r\nRequest-Ref: {trace}\r\nStatement-Timeout-Ms: {ms}\r\n\
         Content-Length: {len}\r\n\r\n"
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// A complete reply of an HTTP server.
pub struct HttpReply {
    /// Its status line and headers.
    pub head: http::Reply,
    /// Its body.
    pub body: Vec<u8>,
}

/// Writes a request and reads one complete reply with its body.
///
/// # Errors
/// If the socket fails or is closed before the reply is complete, or the reply is not HTTP.
pub async fn exchange(
    stream: &TcpStream,
    request: &[u8],
    recording: Option<&ConnectionRecorder>,
) -> io::Result<HttpReply> {
    let record = |side, bytes: &[u8]| {
        if let Some(recording) = recording {
            recording.record(side, bytes);
        }
    };
    record(Side::Client, request);
    let mut outgoing = Ring::default();
    outgoing.put(request);
    while !outgoing.flush(stream)? {
        stream.writable().await?;
    }
    let mut incoming = Ring::default();
    loop {
        stream.readable().await?;
        if incoming.fill(stream)? == ReadOutcome::EndOfStream {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let bytes = incoming.bytes();
        if let Some(mut head) = http::reply(bytes).map_err(io::Error::other)? {
            record(Side::Server, bytes);
            let body = bytes[head.body.clone()].to_vec();
            // Surplus bytes would be read as the reply to the next request.
            head.closes |= bytes.len() > head.body.end;
            return Ok(HttpReply { head, body });
        }
    }
}

/// The outcome of a call that a reply proves. Only a status that agrees with the header proves that nothing ran.
pub fn outcome(reply: &http::Reply) -> Outcome {
    match (reply.status, reply.never_started) {
        (200, _) => Outcome::Succeeded,
        (503, true) => Outcome::Rejected,
        (409, true) => Outcome::NeverStarted,
        (504, _) => Outcome::TimedOut,
        _ => Outcome::Failed,
    }
}
