//! Calls to the tier below over HTTP/1.1, each on a connection of its own.
//!
//! On a connection that served before, a reset does not tell whether the call ran, and what came too
//! much behind the last reply would answer this one. A calm day shows no cost of opening one each time.

use crate::recording::TrafficRecording;
use crate::socket_buffer::{ReadOutcome, Ring, SocketIo};
use crate::{connections, descriptors, http, NodeContext};
use rainstand::Outcome;
use rainstand_traffic_recorder::Tape;
use std::cell::{Cell, OnceCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Calls out at once, by the descriptors that are put by for them.
pub const MAX_CALLS: usize = 192;
/// How much longer than stated an answer is waited for: the way back of one that just made it.
const REPLY_GRACE: Duration = Duration::from_millis(15);

pub struct DownstreamPool {
    addr: Cell<Option<SocketAddr>>,
    /// Calls that are out, each with its descriptor.
    pub out: Cell<usize>,
    /// Where calls are recorded, if they are.
    pub record: OnceCell<Rc<TrafficRecording>>,
}

/// One call out; gives its place back however the call ends.
struct CallSlot<'a>(&'a Cell<usize>);

impl Drop for CallSlot<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl DownstreamPool {
    pub fn new(addr: Option<SocketAddr>) -> Self {
        Self {
            addr: Cell::new(addr),
            out: Cell::new(0),
            record: OnceCell::new(),
        }
    }

    /// From now on calls go there; those that are out end where they are.
    pub fn move_to(&self, addr: Option<SocketAddr>) {
        self.addr.set(addr);
    }

    /// One call, with what it proves: whoever drops this future closes the connection, which gives
    /// the call up.
    pub async fn call(
        &self,
        context: &NodeContext,
        trace: &[u8],
        left: Duration,
        body: &[u8],
    ) -> (Outcome, Vec<u8>) {
        let Some(addr) = self.addr.get().filter(|_| self.out.get() < MAX_CALLS) else {
            return (Outcome::Unreachable, Vec::new());
        };
        self.out.set(self.out.get() + 1);
        let _place = CallSlot(&self.out);
        let ends = Instant::now() + left;
        // Nothing was written yet, so whatever goes wrong here nothing ran.
        connections::reserve_for_call(context).await;
        let opening = descriptors::with_retry(context, "call", || TcpStream::connect(addr));
        let Ok(Ok(stream)) = timeout(left, opening).await else {
            return (Outcome::Unreachable, Vec::new());
        };
        let _ = stream.set_nodelay(true);
        let left = ends.saturating_duration_since(Instant::now());
        let tape = self.record.get().and_then(|record| record.link(&stream));
        let request = request(trace, left, addr, body);
        match timeout(
            left + REPLY_GRACE,
            exchange(&stream, &request, tape.as_ref()),
        )
        .await
        {
            Err(_) => (Outcome::TimedOut, Vec::new()),
            Ok(Err(_)) => (Outcome::Disconnected, Vec::new()),
            Ok(Ok((reply, body))) => (outcome(&reply), body),
        }
    }
}

fn request(trace: &[u8], left: Duration, addr: SocketAddr, body: &[u8]) -> Vec<u8> {
    let (trace, ms, len) = (
        String::from_utf8_lossy(trace),
        left.as_millis().max(1),
        body.len(),
    );
    let mut bytes = format!(
        "POST /v1/exec HTTP/1.1\r\nHost: {addr}\r\nRequest-Ref: {trace}\r\nStatement-Timeout-Ms: {ms}\r\n\
         Content-Length: {len}\r\n\r\n"
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Writes a request and reads one whole reply with its body.
pub async fn exchange(
    stream: &TcpStream,
    request: &[u8],
    tape: Option<&Tape>,
) -> io::Result<(http::Reply, Vec<u8>)> {
    let said = |side, bytes: &[u8]| tape.iter().for_each(|tape| tape.said(side, bytes));
    said(0, request);
    let (mut out, mut back) = (Ring::default(), Ring::default());
    out.put(request);
    while !out.flush(stream)? {
        stream.writable().await?;
    }
    loop {
        stream.readable().await?;
        let filled = back.fill(stream)?;
        if filled == ReadOutcome::End {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let bytes = back.bytes();
        if let Some(mut reply) = http::reply(bytes).map_err(io::Error::other)? {
            let (from, to) = reply.body;
            said(1, bytes);
            let body = bytes[from..to].to_vec();
            reply.closes |= bytes.len() > to;
            return Ok((reply, body));
        }
    }
}

fn outcome(reply: &http::Reply) -> Outcome {
    match (reply.status, reply.never_started) {
        (200, _) => Outcome::Succeeded,
        (503, true) => Outcome::Rejected,
        (409, true) => Outcome::NeverStarted,
        (504, _) => Outcome::TimedOut,
        _ => Outcome::Failed,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_a_word_that_it_never_started_proves_it() {
        let cases = [
            (200, false, Outcome::Succeeded),
            (503, true, Outcome::Rejected),
            (409, true, Outcome::NeverStarted),
            (503, false, Outcome::Failed),
            (500, false, Outcome::Failed),
            (504, false, Outcome::TimedOut),
            (302, false, Outcome::Failed),
            // Where the state speaks against the word, nothing is proved.
            (500, true, Outcome::Failed),
            (504, true, Outcome::TimedOut),
        ];
        for (status, never_started, expected) in cases {
            let reply = http::Reply {
                status,
                never_started,
                closes: false,
                body: (0, 0),
            };
            assert_eq!(outcome(&reply), expected, "{status}");
            assert!(never_started || !outcome(&reply).never_ran(), "{status}");
        }
    }
}
