//! Histories: what callers and agents saw, one JSON object a line (`docs/rig.md` has the format).
//!
//! All times of one history are nanoseconds on one clock. Lines may stand in any order. An unknown `op` or
//! field is no error: later parts of the program add theirs. A line that is none of it ends the reading with
//! its number.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::io::BufRead;

/// The longest line that is read: a body's hash and a result are short, whoever wrote the file.
const MAX_LINE_BYTES: usize = 1 << 20;

/// A line as it is written. What is not known is left out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryLine {
    /// When it was seen, in nanoseconds on the history's clock.
    pub at: u64,
    /// The caller or agent that saw it.
    #[serde(rename = "by")]
    pub observer: String,
    /// What was seen: `ask`, `answer`, `dismissed`, `given-up`, `gone` or `ran`.
    #[serde(rename = "op")]
    pub operation: String,
    /// Name of the request, unique within its caller.
    #[serde(default, rename = "ticket", skip_serializing_if = "Option::is_none")]
    pub request: Option<String>,
    /// Name of the request class.
    #[serde(default, rename = "type", skip_serializing_if = "Option::is_none")]
    pub request_class: Option<String>,
    /// Idempotency key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// Hash of the request's body.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body: Option<String>,
    /// The node that was asked.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub node: Option<String>,
    /// By when the request must have ended, in nanoseconds on the history's clock.
    #[serde(default, rename = "due", skip_serializing_if = "Option::is_none")]
    pub deadline: Option<u64>,
    /// Result of a run, or the one that a caller was answered with.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub result: Option<String>,
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestEnd {
    /// Answered with a result.
    Served,
    /// Rejected before anything ran.
    Rejected,
    /// Failed: it may have run.
    Failed,
    /// The link broke or the caller left: nothing is known.
    Abandoned,
}

impl RequestEnd {
    /// The word for it in a history.
    pub fn operation(self) -> &'static str {
        match self {
            Self::Served => "answer",
            Self::Rejected => "dismissed",
            Self::Failed => "given-up",
            Self::Abandoned => "gone",
        }
    }
}

/// What the checkers read of a line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A caller sent a request.
    Requested {
        /// Name of the request, unique within its caller.
        request: String,
        /// Name of the request class.
        request_class: Option<String>,
        /// Idempotency key.
        key: Option<String>,
        /// Hash of the body.
        body: Option<String>,
        /// The node that was asked.
        node: Option<String>,
        /// By when the request must have ended, in nanoseconds.
        deadline: u64,
    },
    /// A caller learned how its request ended, or left it.
    Ended {
        /// Name of the request.
        request: String,
        /// How it ended.
        end: RequestEnd,
        /// The result, where it was served.
        result: Option<String>,
    },
    /// An agent ran a request.
    Ran {
        /// Idempotency key of the request.
        key: Option<String>,
        /// Hash of the body.
        body: Option<String>,
        /// Result of the run.
        result: Option<String>,
    },
}

/// An event, who saw it when, and the line that says so.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observation {
    /// When it was seen, in nanoseconds on the history's clock.
    pub at: u64,
    /// The caller or agent that saw it.
    pub observer: String,
    /// Number of the line, from 1.
    pub line: usize,
    /// What was seen.
    pub event: Event,
}

/// Why a history cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HistoryError {
    /// From 1; 0 where it is about no line.
    pub line: usize,
    /// What is wrong with it.
    pub reason: String,
}

impl fmt::Display for HistoryError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => out.write_str(&self.reason),
            line => write!(out, "line {line}: {}", self.reason),
        }
    }
}

impl std::error::Error for HistoryError {}

/// Reads one line; none for an operation that is not known here.
///
/// # Errors
/// Why it is no line of a history.
pub fn parse_line(number: usize, text: &str) -> Result<Option<Observation>, HistoryError> {
    let error = |reason: String| HistoryError {
        line: number,
        reason,
    };
    let value: serde_json::Value =
        serde_json::from_str(text).map_err(|e| error(format!("no JSON: {e}")))?;
    let object = value
        .as_object()
        .ok_or_else(|| error("no JSON object".into()))?;
    let operation = object
        .get("op")
        .and_then(|operation| operation.as_str())
        .ok_or_else(|| error("op: no text there".into()))?;
    if !["ask", "answer", "dismissed", "given-up", "gone", "ran"].contains(&operation) {
        return Ok(None);
    }
    let line = HistoryLine::deserialize(&value).map_err(|e| error(e.to_string()))?;
    let (at, observer) = (line.at, line.observer.clone());
    let event = event_of(operation, line, error)?;
    Ok(Some(Observation {
        at,
        observer,
        line: number,
        event,
    }))
}

/// The event of a line whose operation is known; `error` makes the error of what the line lacks.
fn event_of(
    operation: &str,
    line: HistoryLine,
    error: impl Fn(String) -> HistoryError,
) -> Result<Event, HistoryError> {
    let no_request = || error(format!("{operation} without a ticket"));
    let ended = |line: HistoryLine, end: RequestEnd| {
        Ok(Event::Ended {
            request: line.request.ok_or_else(no_request)?,
            end,
            result: line.result.filter(|_| end == RequestEnd::Served),
        })
    };
    match operation {
        "ask" => Ok(Event::Requested {
            request: line.request.ok_or_else(no_request)?,
            deadline: line
                .deadline
                .ok_or_else(|| error("ask without its due time".into()))?,
            request_class: line.request_class,
            key: line.key,
            body: line.body,
            node: line.node,
        }),
        "answer" => ended(line, RequestEnd::Served),
        "dismissed" => ended(line, RequestEnd::Rejected),
        "given-up" => ended(line, RequestEnd::Failed),
        "gone" => ended(line, RequestEnd::Abandoned),
        _ => Ok(Event::Ran {
            key: line.key,
            body: line.body,
            result: line.result,
        }),
    }
}

/// Reads a whole history: the observations of all known operations, and how many lines there were.
///
/// # Errors
/// The first line that cannot be read, or why the stream cannot.
pub fn read_history(mut from: impl BufRead) -> Result<(Vec<Observation>, usize), HistoryError> {
    let (mut observations, mut number, mut text) = (Vec::new(), 0, Vec::new());
    loop {
        text.clear();
        number += 1;
        let error = |reason: String| HistoryError {
            line: number,
            reason,
        };
        // A file without line ends would otherwise be taken into memory whole.
        let mut limited = std::io::Read::take(&mut from, MAX_LINE_BYTES as u64 + 1);
        let read = limited
            .read_until(b'\n', &mut text)
            .map_err(|e| error(e.to_string()))?;
        if read == 0 {
            return Ok((observations, number - 1));
        }
        if text.len() > MAX_LINE_BYTES {
            return Err(error(format!("longer than {MAX_LINE_BYTES} bytes")));
        }
        let line = std::str::from_utf8(&text)
            .map_err(|e| error(format!("no UTF-8: {e}")))?
            .trim();
        if !line.is_empty() {
            observations.extend(parse_line(number, line)?);
        }
    }
}
