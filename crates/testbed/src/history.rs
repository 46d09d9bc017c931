//! What callers and agents saw, one JSON object a line (`docs/rig.md` has the format).
//!
//! All `at` and `due` of one history are nanoseconds on one clock. Lines may stand in any order. An unknown `op` or
//! field is no error: later parts of the program add theirs. A line that is none of it ends the reading with
//! its number.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::io::BufRead;

/// The longest line that is read, in bytes: a body's hash and a result are short, whoever wrote the file.
const LINE_MOST: usize = 1 << 20;

/// A line as it is written. What is not known is left out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    pub at: u64,
    pub by: String,
    pub op: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ticket: Option<String>,
    #[serde(default, rename = "type", skip_serializing_if = "Option::is_none")]
    pub traffic: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub node: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub due: Option<u64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub result: Option<String>,
}

/// What a caller heard in the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum End {
    Answer,
    Dismissed,
    GivenUp,
    /// The link broke or the caller left: nothing is known.
    Gone,
}

/// A line that means something to the checkers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    Ask {
        ticket: String,
        traffic: Option<String>,
        key: Option<String>,
        body: Option<String>,
        node: Option<String>,
        due: u64,
    },
    End {
        ticket: String,
        end: End,
        result: Option<String>,
    },
    Ran {
        key: Option<String>,
        body: Option<String>,
        result: Option<String>,
    },
}

/// An event, who saw it when, and the line that tells it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seen {
    pub at: u64,
    pub by: String,
    pub line: usize,
    pub event: Event,
}

/// Why a history cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unreadable {
    /// From 1; 0 where it is about no line.
    pub line: usize,
    pub why: String,
}

impl fmt::Display for Unreadable {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => out.write_str(&self.why),
            line => write!(out, "line {line}: {}", self.why),
        }
    }
}

impl std::error::Error for Unreadable {}

/// One line; none for an operation that is not known here.
///
/// # Errors
/// Why it is no line of a history.
pub fn event(number: usize, text: &str) -> Result<Option<Seen>, Unreadable> {
    let flaw = |why: String| Unreadable { line: number, why };
    let value: serde_json::Value =
        serde_json::from_str(text).map_err(|e| flaw(format!("no JSON: {e}")))?;
    let object = value
        .as_object()
        .ok_or_else(|| flaw("no JSON object".into()))?;
    let op = object
        .get("op")
        .and_then(|op| op.as_str())
        .ok_or_else(|| flaw("op: no text there".into()))?;
    if !["ask", "answer", "dismissed", "given-up", "gone", "ran"].contains(&op) {
        return Ok(None);
    }
    let line = Line::deserialize(&value).map_err(|e| flaw(e.to_string()))?;
    let ticket = |line: &Line| {
        line.ticket
            .clone()
            .ok_or_else(|| flaw(format!("{op} without a ticket")))
    };
    let end = |line: &Line, end, result| {
        Ok(Event::End {
            ticket: ticket(line)?,
            end,
            result,
        })
    };
    let event = match op {
        "ask" => Event::Ask {
            ticket: ticket(&line)?,
            due: line
                .due
                .ok_or_else(|| flaw("ask without its due time".into()))?,
            traffic: line.traffic,
            key: line.key,
            body: line.body,
            node: line.node,
        },
        "answer" => end(&line, End::Answer, line.result.clone())?,
        "dismissed" => end(&line, End::Dismissed, None)?,
        "given-up" => end(&line, End::GivenUp, None)?,
        "gone" => end(&line, End::Gone, None)?,
        _ => Event::Ran {
            key: line.key,
            body: line.body,
            result: line.result,
        },
    };
    Ok(Some(Seen {
        at: line.at,
        by: line.by,
        line: number,
        event,
    }))
}

/// All lines that mean something here, and how many there were in all.
///
/// # Errors
/// The first line that cannot be read, or why the stream cannot.
pub fn read(mut from: impl BufRead) -> Result<(Vec<Seen>, usize), Unreadable> {
    let (mut all, mut number, mut text) = (Vec::new(), 0, Vec::new());
    loop {
        text.clear();
        number += 1;
        let flaw = |why: String| Unreadable { line: number, why };
        // Guards against a file without line ends that would be taken into memory whole.
        let mut part = std::io::Read::take(&mut from, LINE_MOST as u64 + 1);
        let read = part
            .read_until(b'\n', &mut text)
            .map_err(|e| flaw(e.to_string()))?;
        if read == 0 {
            return Ok((all, number - 1));
        }
        if text.len() > LINE_MOST {
            return Err(flaw(format!("longer than {LINE_MOST} bytes")));
        }
        let line = std::str::from_utf8(&text)
            .map_err(|e| flaw(format!("no UTF-8: {e}")))?
            .trim();
        if !line.is_empty() {
            all.extend(event(number, line)?);
        }
    }
}
