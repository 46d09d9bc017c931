//! What a forwarder shows operators on request, over HTTP on an address of its own: status, metrics, members, the last
//! decisions. Read only. Bounded: few connections, short requests, one answer each.

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

/// Connections at a time: a scraper or two, and an operator.
const MAX_ADMIN_CONNECTIONS: u32 = 8;
/// Bytes of a request's head.
const MAX_REQUEST_HEAD_BYTES: usize = 4 << 10;
/// Headers of a request.
const MAX_REQUEST_HEADERS: usize = 32;
/// Read from a socket at once, bytes.
const READ_CHUNK_BYTES: usize = 1024;
/// For a request to come and its answer to be read.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(5);
/// After the end of our side, for a reader that has the answer to end its own.
const CLOSE_SETTLE_TIME: Duration = Duration::from_millis(500);
/// After accepting failed, most likely for want of descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);
/// Content type of reports with a JSON object a line.
const JSON_LINES: &str = "application/x-ndjson";
/// Content type of the metrics.
const OPENMETRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// What a request gets.
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

/// Answers requests until the program ends.
///
/// # Panics
/// Outside of a [`tokio::task::LocalSet`].
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

/// Reads one request and answers it; `None` if the connection broke.
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

/// What came as a request.
enum HttpRequest {
    /// A GET request for this path.
    Get(String),
    /// No HTTP, another method, or too long a head.
    Invalid,
}

/// Reads a request's head; `None` if the connection broke.
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

/// The report that a request asks for.
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
