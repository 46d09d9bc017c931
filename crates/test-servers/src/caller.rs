//! A caller on one connection: sends requests, reads replies, cancels.

use crate::recorder::{trace, InvariantRecorder};
use foldhash::{HashMap, HashMapExt};
use rainstand_invariants::{Answer, Kind};
use rainstand_protocol::thrift::{self, Texts, What};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Size of one read from the socket.
const READ_CHUNK_BYTES: usize = 16 << 10;

/// The reply to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The result.
    Served(Vec<u8>),
    /// The request did not run.
    Rejected {
        /// Time after which the caller may retry.
        retry_after: Duration,
        /// Whether the request should not be retried on another server.
        nowhere_else: bool,
    },
    /// The request may have run.
    Failed,
    /// An application exception, with its text.
    Exception(String),
}

impl Reply {
    fn from_wire(what: What<'_>) -> Self {
        match what {
            What::Answer { body, .. } => Reply::Served(body.to_vec()),
            What::Backoff(texts) => Reply::Rejected {
                retry_after: Duration::from_millis(retry_after_ms(&texts).unwrap_or(0)),
                nowhere_else: text(&texts, b"terminal") == Some(b"1"),
            },
            What::Lost => Reply::Failed,
            What::Exception { why, .. } => {
                Reply::Exception(String::from_utf8_lossy(why).into_owned())
            }
        }
    }

    fn answer(&self) -> Answer {
        match self {
            Reply::Served(_) => Answer::Honoured,
            Reply::Rejected { .. } => Answer::Dismissed,
            Reply::Failed => Answer::GivenUp,
            Reply::Exception(_) => Answer::Exception,
        }
    }
}

fn text<'t>(texts: &Texts<'t>, key: &[u8]) -> Option<&'t [u8]> {
    let found = texts.iter().find(|(name, _)| *name == key);
    found.map(|(_, value)| *value)
}

fn retry_after_ms(texts: &Texts<'_>) -> Option<u64> {
    std::str::from_utf8(text(texts, b"pause")?)
        .ok()?
        .parse()
        .ok()
}

/// A request to send.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// Name of the request class.
    pub request_class: &'a str,
    /// Name of the tenant.
    pub tenant: &'a str,
    /// The entity that the request concerns; empty for none.
    pub entity: &'a str,
    /// The idempotency key; empty for none.
    pub nonce: &'a str,
    /// The body.
    pub body: &'a [u8],
    /// The kind recorded for the invariant checker.
    pub kind: Kind,
    /// Time within which the invariant checker expects the answer.
    pub timeout: Duration,
}

impl Default for Call<'_> {
    fn default() -> Self {
        Self {
            request_class: "check",
            tenant: "acme",
            entity: "",
            nonce: "",
            body: b"body",
            kind: Kind::Rerunnable,
            timeout: Duration::from_mins(1),
        }
    }
}

/// One connection of a caller.
pub struct Caller {
    stream: TcpStream,
    incoming: Vec<u8>,
    /// The last sequence number used on this connection.
    pub sequence_number: i32,
    recorder: Option<InvariantRecorder>,
    /// Requests without an answer, by sequence number.
    open: HashMap<i32, u64>,
    /// All requests that were sent, by sequence number.
    sent: HashMap<i32, u64>,
    /// Number of the next request; the callers of one run start at numbers far apart.
    next_request: u64,
    /// Whether the server sent its shutdown notice: it accepts no new requests on this connection.
    pub got_shutdown_notice: bool,
}

impl Caller {
    /// Connects to a server.
    ///
    /// # Errors
    /// If the connection fails.
    pub async fn new(to: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(to).await?;
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            incoming: Vec::new(),
            sequence_number: 0,
            recorder: None,
            open: HashMap::new(),
            sent: HashMap::new(),
            next_request: 1,
            got_shutdown_notice: false,
        })
    }

    /// Records all requests and replies; requests are numbered from `first_request`.
    #[must_use]
    pub fn recorded_by(mut self, recorder: &InvariantRecorder, first_request: u64) -> Self {
        self.recorder = Some(recorder.clone());
        self.next_request = first_request;
        self
    }

    /// Number of requests without an answer.
    pub fn open_requests(&self) -> usize {
        self.open.len()
    }

    /// Sends a request and returns its sequence number.
    ///
    /// # Errors
    /// If the connection is broken.
    pub async fn send(&mut self, call: &Call<'_>) -> io::Result<i32> {
        self.sequence_number += 1;
        let (request, sequence_number) = (self.next_request, self.sequence_number);
        self.next_request += 1;
        let trace = trace(request);
        let mut fields = vec![
            ("route", call.request_class),
            ("customer", call.tenant),
            ("trace", &trace),
        ];
        if !call.entity.is_empty() {
            fields.push(("entity", call.entity));
        }
        if !call.nonce.is_empty() {
            fields.push(("nonce", call.nonce));
        }
        if let Some(recorder) = &self.recorder {
            recorder.on_request(request, call.kind, call.timeout);
        }
        self.open.insert(sequence_number, request);
        self.sent.insert(sequence_number, request);
        let frame = thrift::process(sequence_number, &fields, call.body);
        self.stream.write_all(&frame).await?;
        Ok(sequence_number)
    }

    /// Cancels a request.
    ///
    /// # Errors
    /// If the connection is broken.
    pub async fn cancel(&mut self, sequence_number: i32) -> io::Result<()> {
        if let (Some(request), Some(recorder)) =
            (self.open.remove(&sequence_number), &self.recorder)
        {
            recorder.on_caller_gone(request);
        }
        let frame = thrift::give_up(sequence_number);
        self.stream.write_all(&frame).await
    }

    /// The next reply, with the sequence number of its request.
    ///
    /// # Errors
    /// If the connection ends first, or a message is not a valid reply.
    pub async fn next_reply(&mut self) -> io::Result<(i32, Reply)> {
        loop {
            let complete = thrift::frame(&self.incoming).map_err(io::Error::other)?;
            if let Some(length) = complete {
                let end = thrift::FRAME_HEADER_BYTES + length;
                let frame: Vec<u8> = self.incoming.drain(..end).collect();
                let message = &frame[thrift::FRAME_HEADER_BYTES..];
                if thrift::kind(message) == Some(thrift::ONEWAY) {
                    self.got_shutdown_notice = true;
                    continue;
                }
                return self.read_reply(message);
            }
            let mut chunk = [0; READ_CHUNK_BYTES];
            match self.stream.read(&mut chunk).await? {
                0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                n => self.incoming.extend_from_slice(&chunk[..n]),
            }
        }
    }

    fn read_reply(&mut self, message: &[u8]) -> io::Result<(i32, Reply)> {
        let answered = thrift::answered(message).map_err(io::Error::other)?;
        let reply = Reply::from_wire(answered.what);
        self.open.remove(&answered.seq);
        if let Some(recorder) = &self.recorder {
            // The checker detects duplicate replies and replies to unknown requests.
            let request = self.sent.get(&answered.seq).copied();
            recorder.on_answer(request.unwrap_or(u64::MAX), reply.answer());
        }
        Ok((answered.seq, reply))
    }

    /// Closes the connection; the caller no longer waits for open requests.
    pub fn disconnect(self) {
        if let Some(recorder) = &self.recorder {
            for request in self.open.values() {
                recorder.on_caller_gone(*request);
            }
        }
    }
}
