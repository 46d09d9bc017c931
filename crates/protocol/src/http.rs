//! Parses HTTP/1.1 replies for a client. Supports only bodies with a `Content-Length`; all lengths are bounded.

use std::ops::Range;

/// The longest head that is accepted, in bytes: ten times what the downstream tier sends.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
/// The longest body that is accepted, in bytes. A reply is delivered to a run unchanged, and results are limited to
/// 4 KiB.
pub const MAX_BODY_BYTES: usize = 16 * 1024;

/// The end of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Reason code: the bytes are not a reply that this client supports.
const UNREADABLE: &str = "reply_unreadable";
/// Reason code: the reply is too long.
const TOO_LONG: &str = "reply_too_long";

/// A complete reply at the start of the bytes.
#[derive(Debug, PartialEq, Eq)]
pub struct Reply {
    /// Status code.
    pub status: u16,
    /// Whether the server guarantees that the call did not run.
    pub never_started: bool,
    /// Whether the server closes the connection after the reply.
    pub closes: bool,
    /// The body's position in the bytes.
    pub body: Range<usize>,
}

/// Reads the reply at the start of the bytes; `None` while it is incomplete. Interim replies (status 1xx) are skipped.
///
/// # Errors
/// The reason code, if the reply cannot be read or is too long.
///
/// ```
/// use rainstand_protocol::http::reply;
/// let bytes = b"HTTP/1.1 503 Full\r\nNever-Started: 1\r\nContent-Length: 2\r\n\r\nno";
/// let full = reply(bytes).unwrap().unwrap();
/// assert_eq!((full.status, full.never_started, &bytes[full.body]), (503, true, &b"no"[..]));
/// assert_eq!(reply(&bytes[..40]), Ok(None));
/// assert_eq!(reply(b"SSH-2.0\r\n\r\n"), Err("reply_unreadable"));
/// let bytes = b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nrow";
/// assert_eq!(&bytes[reply(bytes).unwrap().unwrap().body], b"row");
/// ```
pub fn reply(bytes: &[u8]) -> Result<Option<Reply>, &'static str> {
    let mut start = 0;
    loop {
        let heads = &bytes[start..bytes.len().min(MAX_HEAD_BYTES)];
        let Some(head) = heads
            .windows(HEAD_END.len())
            .position(|end| end == HEAD_END)
        else {
            return if bytes.len() > MAX_HEAD_BYTES {
                Err(TOO_LONG)
            } else {
                Ok(None)
            };
        };
        let body_start = start + head + HEAD_END.len();
        match parse_head(&heads[..head], body_start)? {
            Reply {
                status: 100..=199, ..
            } => start = body_start,
            reply => return Ok((bytes.len() >= reply.body.end).then_some(reply)),
        }
    }
}

/// Parses a head, without its final empty line, of a reply whose body starts at `body_start`.
fn parse_head(head: &[u8], body_start: usize) -> Result<Reply, &'static str> {
    let text = std::str::from_utf8(head).map_err(|_| UNREADABLE)?;
    let mut lines = text.split("\r\n");
    let status_line = StatusLine::parse(lines.next()).ok_or(UNREADABLE)?;
    let headers = Headers::parse(lines)?;
    let status = status_line.status;
    let length = match (status, headers.content_length) {
        (..100 | 101 | 600.., _) => return Err(UNREADABLE),
        (102..=199 | 100 | 204 | 304, _) => 0,
        (_, length) => length.ok_or(UNREADABLE)?,
    };
    if length > MAX_BODY_BYTES {
        return Err(TOO_LONG);
    }
    Ok(Reply {
        status,
        never_started: headers.never_started,
        closes: status_line.is_http_1_0 || headers.connection_close,
        body: body_start..body_start + length,
    })
}

struct StatusLine {
    is_http_1_0: bool,
    status: u16,
}

impl StatusLine {
    fn parse(line: Option<&str>) -> Option<Self> {
        let (minor, rest) = line?.strip_prefix("HTTP/1.")?.split_once(' ')?;
        let code = rest.split(' ').next().filter(|code| code.len() == 3)?;
        Some(Self {
            is_http_1_0: minor == "0",
            status: digits(code)? as u16,
        })
    }
}

/// The headers that this client evaluates.
#[derive(Default)]
struct Headers {
    content_length: Option<usize>,
    never_started: bool,
    connection_close: bool,
}

impl Headers {
    fn parse<'a>(lines: impl Iterator<Item = &'a str>) -> Result<Self, &'static str> {
        let mut headers = Self::default();
        for line in lines {
            let (name, value) = line.split_once(':').ok_or(UNREADABLE)?;
            headers.add(name, value.trim())?;
        }
        Ok(headers)
    }

    fn add(&mut self, name: &str, value: &str) -> Result<(), &'static str> {
        if name.eq_ignore_ascii_case("Content-Length") {
            let length = digits(value).ok_or(UNREADABLE)?;
            let previous = self.content_length.replace(length);
            if previous.is_some_and(|previous| previous != length) {
                return Err(UNREADABLE);
            }
        } else if name.eq_ignore_ascii_case("Never-Started") {
            self.never_started = value == "1";
        } else if name.eq_ignore_ascii_case("Connection") {
            self.connection_close |= value.eq_ignore_ascii_case("close");
        } else if name.eq_ignore_ascii_case("Transfer-Encoding") {
            return Err(UNREADABLE);
        }
        Ok(())
    }
}

/// Parses a number that consists of digits only: no sign, no space.
fn digits(text: &str) -> Option<usize> {
    text.bytes()
        .all(|b| b.is_ascii_digit())
        .then(|| text.parse().ok())
        .flatten()
}
