//! A caller's connection that sends requests to one process until they are served.

use rainstand_protocol::thrift::{self, Answered, What};
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Shortest wait after an answer without a result; the answer may specify a longer one.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Contents of the requests that are sent to a process repeatedly.
#[derive(Clone, Debug, Default)]
pub(super) struct RequestTemplate {
    /// Name of the request class.
    pub(super) class: &'static str,
    pub(super) tenant: String,
    /// The idempotency key at a node, or the entity that selects a route at a forwarder; empty for none.
    pub(super) entity: String,
}

/// Answer to a request.
pub(super) enum Answer {
    /// An answer with this result.
    Served(Vec<u8>),
    /// An answer without a result.
    Unserved {
        /// Wait before the next attempt.
        retry_after: Duration,
        /// Message of an exception.
        exception: Option<String>,
    },
}

thread_local! {
    /// Number of the next request; requests of one run have different traces.
    static NEXT_REQUEST: Cell<u64> = const { Cell::new(1) };
}

/// A caller's connection, with one request at a time.
pub(super) struct ClientConnection {
    stream: TcpStream,
    received: Vec<u8>,
    sequence: i32,
}

impl ClientConnection {
    pub(super) async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            received: Vec::new(),
            sequence: 0,
        })
    }

    /// Sends a request and waits for its answer.
    pub(super) async fn request(&mut self, request: &RequestTemplate) -> io::Result<Answer> {
        self.sequence += 1;
        let frame = encode(self.sequence, request);
        self.stream.write_all(&frame).await?;
        loop {
            let frame = self.next_frame().await?;
            // Skip the notice of a drain, which is not an answer.
            if thrift::kind(&frame) != Some(thrift::ONEWAY) {
                let answered = thrift::answered(&frame).map_err(io::Error::other)?;
                return Ok(Answer::from(answered));
            }
        }
    }

    /// Repeats a request until the answer has a result.
    pub(super) async fn request_until_served(
        &mut self,
        request: &RequestTemplate,
    ) -> io::Result<Vec<u8>> {
        loop {
            match self.request(request).await? {
                Answer::Served(result) => return Ok(result),
                Answer::Unserved { retry_after, .. } => sleep(retry_after).await,
            }
        }
    }

    async fn next_frame(&mut self) -> io::Result<Vec<u8>> {
        loop {
            if let Some(length) = thrift::frame(&self.received).map_err(io::Error::other)? {
                return Ok(self.received.drain(..4 + length).skip(4).collect());
            }
            if self.stream.read_buf(&mut self.received).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }
}

fn encode(sequence: i32, request: &RequestTemplate) -> Vec<u8> {
    let number = NEXT_REQUEST.with(|next| next.replace(next.get() + 1));
    let trace = format!("{number:016x}");
    let since_epoch = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    let created_ms = since_epoch.as_millis().to_string();
    let mut fields = vec![
        ("route", request.class),
        ("trace", &trace),
        ("born", &created_ms),
        ("customer", &request.tenant),
    ];
    if !request.entity.is_empty() {
        fields.push(("entity", &request.entity));
    }
    fields.extend([("size", "4"), ("client", "1"), ("order", "0.5")]);
    thrift::process(sequence, &fields, b"ready")
}

impl From<Answered<'_>> for Answer {
    fn from(answered: Answered<'_>) -> Self {
        let (mut retry_after, mut exception) = (MIN_RETRY_DELAY, None);
        match answered.what {
            What::Answer { body, .. } => return Self::Served(body.to_vec()),
            What::Backoff(texts) => {
                let pause = texts.iter().find(|(name, _)| *name == b"pause");
                let ms = pause.and_then(|(_, ms)| std::str::from_utf8(ms).ok()?.parse().ok());
                let requested = ms.map_or(MIN_RETRY_DELAY, Duration::from_millis);
                retry_after = requested.max(MIN_RETRY_DELAY);
            }
            What::Exception { why, .. } => {
                exception = Some(String::from_utf8_lossy(why).into_owned());
            }
            What::Lost => {}
        }
        Self::Unserved {
            retry_after,
            exception,
        }
    }
}
