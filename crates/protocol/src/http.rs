//! HTTP/1.1 as a client needs it here: pure over bytes, bounded, bodies of a told length only.

/// The longest head taken, in bytes: ten times what the tiers beside send.
pub const HEAD_MOST: usize = 8 * 1024;
/// The longest body taken, in bytes: a reply goes on to a run unchanged, and results end at 4 KiB.
pub const BODY_MOST: usize = 16 * 1024;

/// A whole reply at the front of the bytes.
#[derive(Debug, PartialEq, Eq)]
pub struct Reply {
    pub status: u16,
    /// The call is proved not run.
    pub never_started: bool,
    /// The connection serves no further call.
    pub closes: bool,
    /// Where the body starts and ends.
    pub body: (usize, usize),
}

/// ```
/// use rainstand_protocol::http::reply;
/// let bytes = b"HTTP/1.1 503 Full\r\nNever-Started: 1\r\nContent-Length: 2\r\n\r\nno";
/// let whole = reply(bytes).unwrap().unwrap();
/// assert_eq!((whole.status, whole.never_started, &bytes[whole.body.0..whole.body.1]), (503, true, &b"no"[..]));
/// assert_eq!(reply(&bytes[..40]), Ok(None));
/// assert_eq!(reply(b"SSH-2.0\r\n\r\n"), Err("reply_unreadable"));
/// // Word that the call is under way is passed over.
/// let bytes = b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nrow";
/// let (from, to) = reply(bytes).unwrap().unwrap().body;
/// assert_eq!(&bytes[from..to], b"row");
/// ```
pub fn reply(bytes: &[u8]) -> Result<Option<Reply>, &'static str> {
    let mut start = 0;
    loop {
        let heads = &bytes[start..bytes.len().min(HEAD_MOST)];
        let Some(head) = heads.windows(4).position(|end| end == b"\r\n\r\n") else {
            return if bytes.len() > HEAD_MOST {
                Err("reply_too_long")
            } else {
                Ok(None)
            };
        };
        let from = start + head + 4;
        match reply_with_head(&heads[..head], from)? {
            Reply {
                status: 100..=199, ..
            } => start = from,
            reply => return Ok((bytes.len() >= reply.body.1).then_some(reply)),
        }
    }
}

/// What a head without its last empty line tells of a reply whose body starts there.
fn reply_with_head(head: &[u8], from: usize) -> Result<Reply, &'static str> {
    let unreadable = "reply_unreadable";
    let text = std::str::from_utf8(head).map_err(|_| unreadable)?;
    let mut lines = text.split("\r\n");
    let first = lines
        .next()
        .and_then(|line| line.strip_prefix("HTTP/1."))
        .ok_or(unreadable)?;
    let (minor, status) = first.split_once(' ').ok_or(unreadable)?;
    let code = status
        .split(' ')
        .next()
        .filter(|code| code.len() == 3)
        .ok_or(unreadable)?;
    let status = digits(code).ok_or(unreadable)? as u16;
    let (mut len, mut never_started, mut closes) = (None, false, minor == "0");
    for line in lines {
        let (name, value) = line.split_once(':').ok_or(unreadable)?;
        let value = value.trim();
        if name.eq_ignore_ascii_case("Content-Length") {
            let told = digits(value).ok_or(unreadable)?;
            if len.replace(told).is_some_and(|before| before != told) {
                return Err(unreadable);
            }
        } else if name.eq_ignore_ascii_case("Never-Started") {
            never_started = value == "1";
        } else if name.eq_ignore_ascii_case("Connection") {
            closes |= value.eq_ignore_ascii_case("close");
        } else if name.eq_ignore_ascii_case("Transfer-Encoding") {
            return Err(unreadable);
        }
    }
    let len = match (status, len) {
        (..100 | 101 | 600.., _) => return Err(unreadable),
        (102..=199 | 100 | 204 | 304, _) => 0,
        (_, len) => len.ok_or(unreadable)?,
    };
    if len > BODY_MOST {
        return Err("reply_too_long");
    }
    Ok(Reply {
        status,
        never_started,
        closes,
        body: (from, from + len),
    })
}

/// A number of digits and nothing else: no sign, no space.
fn digits(text: &str) -> Option<usize> {
    text.bytes()
        .all(|b| b.is_ascii_digit())
        .then(|| text.parse().ok())
        .flatten()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lengths_and_states_that_do_not_fit_are_not_guessed_at() {
        let cases = [
            ("200 OK\r\nContent-Length: +3", false),
            ("200 OK\r\nContent-Length: -3", false),
            ("200 OK\r\nContent-Length: 3\r\nContent-Length: 2", false),
            ("200 OK\r\nContent-Length: 3\r\ncontent-length: 3", true),
            ("200 OK\r\nContent-Length: 3000000000", false),
            ("200 OK\r\nContent-Length: 99999999999999999999999", false),
            ("200 OK\r\nTransfer-Encoding: chunked", false),
            ("200 OK", false),
            ("2000 OK\r\nContent-Length: 3", false),
            ("020 OK\r\nContent-Length: 3", false),
            ("101 Switch\r\nContent-Length: 0", false),
            ("200\r\nContent-Length: 3", true),
            ("100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3", true),
        ];
        for (head, good) in cases {
            let bytes = format!("HTTP/1.1 {head}\r\n\r\nrowHTTP/1.1 200 OK\r\n");
            let read = reply(bytes.as_bytes());
            assert_eq!(read.is_ok(), good, "{head}: {read:?}");
            let body = read.ok().flatten().map(|r| &bytes[r.body.0..r.body.1]);
            assert_eq!(body, good.then_some("row"), "{head}");
        }
        // Words without an end are bounded like any other head.
        let words = "HTTP/1.1 100 Continue\r\n\r\n".repeat(1_000);
        assert_eq!(reply(words.as_bytes()), Err("reply_too_long"));
    }
}
