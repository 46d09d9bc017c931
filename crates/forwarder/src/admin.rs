//! The admin endpoint: a read-only HTTP server on its own address that reports status, metrics, members and the last
//! routing decisions. Connections and request size are limited; each connection gets one response.

mod reports;

pub use reports::{
    decisions, members, status, ConfigSourceLine, DecisionLine, MemberLine, RejectedVersion,
    SkippedMember, StatusLine,
};

use crate::connection_limits::{self, Eviction};
use crate::ForwarderContext;
use rainstand_lingering_close::{lingering_close, Discard};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Concurrent connections: enough for one or two scrapers and an operator.
const MAX_ADMIN_CONNECTIONS: u32 = 8;
/// Size limit of a request head.
const MAX_REQUEST_HEAD_BYTES: usize = 4 << 10;
/// Limit of header fields in a request.
const MAX_REQUEST_HEADERS: usize = 32;
/// Size of one read from a socket.
const READ_CHUNK_BYTES: usize = 1024;
/// Time limit for receiving a request and delivering its response.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time that a client has to close its side after the response was sent and our side was shut down.
const CLOSE_SETTLE_TIME: Duration = Duration::from_millis(500);
/// Pause after a failed accept, most likely caused by a lack of descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);
/// Content type of reports with one JSON object per line.
const JSON_LINES: &str = "application/x-ndjson";
/// Content type of the metrics.
const OPENMETRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// An HTTP response.
struct Response {
    status: &'static str,
    content_type: &'static str,
    body: String,
}

impl Response {
    fn ok(content_type: &'static str, body: String) -> Self {
        Self {
            status: "200 OK",
            content_type,
            body,
        }
    }

    fn error(status: &'static str, body: &str) -> Self {
        Self {
            status,
            content_type: "text/plain",
            body: body.to_owned(),
        }
    }
}

/// Serves requests until the process exits.
///
/// # Panics
/// When called outside of a [`tokio::task::LocalSet`].
pub async fn serve(context: Rc<ForwarderContext>, listener: TcpListener) {
    let open = Rc::new(Cell::new(0u32));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                match connection_limits::recover_descriptor(&context, &error).await {
                    Some(Eviction::Requested) => {}
                    Some(Eviction::NoneIdle) | None => sleep(ACCEPT_BACKOFF).await,
                }
                continue;
            }
        };
        if open.get() >= MAX_ADMIN_CONNECTIONS {
            continue;
        }
        open.set(open.get() + 1);
        let (context, open) = (context.clone(), open.clone());
        spawn_local(async move {
            let _ = timeout(EXCHANGE_TIMEOUT, exchange(&context, stream)).await;
            open.set(open.get() - 1);
        });
    }
}

/// Reads one request and responds to it; `None` if the connection broke.
async fn exchange(context: &ForwarderContext, mut stream: TcpStream) -> Option<()> {
    let request = read_request(&mut stream).await?;
    let Response {
        status,
        content_type,
        body,
    } = respond(context, &request);
    let head = format!(
        "HTTP/1.1 {status}\r\nContent-Type: {content_type}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).await.ok()?;
    stream.write_all(body.as_bytes()).await.ok()?;
    let settle_at = Instant::now() + CLOSE_SETTLE_TIME;
    let deadline = Instant::now() + EXCHANGE_TIMEOUT;
    lingering_close(&stream, Discard::default(), settle_at, || deadline).await;
    Some(())
}

/// A request as received.
enum HttpRequest {
    /// A GET request for this path.
    Get(String),
    /// Not HTTP, another method than GET, or a head over the limit.
    Invalid,
}

/// Reads a request head; `None` if the connection broke.
async fn read_request(stream: &mut TcpStream) -> Option<HttpRequest> {
    let mut head = Vec::new();
    loop {
        let mut headers = [httparse::EMPTY_HEADER; MAX_REQUEST_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        match request.parse(&head) {
            Ok(httparse::Status::Complete(_)) if request.method == Some("GET") => {
                let path = request.path.unwrap_or("");
                return Some(HttpRequest::Get(path.to_owned()));
            }
            Ok(httparse::Status::Partial) if head.len() < MAX_REQUEST_HEAD_BYTES => {
                let mut chunk = [0; READ_CHUNK_BYTES];
                match stream.read(&mut chunk).await.ok()? {
                    0 => return None,
                    length => head.extend_from_slice(&chunk[..length]),
                }
            }
            _ => return Some(HttpRequest::Invalid),
        }
    }
}

/// Builds the response to a request.
fn respond(context: &ForwarderContext, request: &HttpRequest) -> Response {
    let path = match request {
        HttpRequest::Get(path) => path.as_str(),
        HttpRequest::Invalid => "",
    };
    let (path, query) = path.split_once('?').unwrap_or((path, ""));
    let last = query
        .strip_prefix("last=")
        .and_then(|number| number.parse().ok())
        .unwrap_or(usize::MAX);
    match path {
        "/metrics" => Response::ok(OPENMETRICS, context.metrics.to_openmetrics(context)),
        "/status" => Response::ok(JSON_LINES, status(context)),
        "/members" => Response::ok(JSON_LINES, members(context)),
        "/decisions" => Response::ok(JSON_LINES, decisions(context, last)),
        "" => Response::error("400 Bad Request", "only short GET requests are answered\n"),
        _ => Response::error(
            "404 Not Found",
            "there are /status, /metrics, /members and /decisions?last=N\n",
        ),
    }
}
