//! Histories: the observations of callers and agents, one JSON object per line (`docs/rig.md` has the format).
//!
//! All times in one history are nanoseconds on one clock. Lines may be in any order. An unknown `op` or field is not an
//! error, as later versions of the program add some. A malformed line ends the read with an error that names the line.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::io::BufRead;

/// Longest line that is read: the hash of a body and a result are short, whatever program wrote the file.
const MAX_LINE_BYTES: usize = 1 << 20;

/// A line as it is written. Unknown values are omitted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryLine {
    /// When it was seen, in nanoseconds on the history's clock.
    pub at: u64,
    /// The caller or agent that saw it.
    #[serde(rename = "by")]
    pub observer: String,
    /// The kind of event: `ask`, `answer`, `dismissed`, `given-up`, `gone` or `ran`.
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
    /// Name of the node to which the request was sent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub node: Option<String>,
    /// By when the request must have ended, in nanoseconds on the history's clock.
    #[serde(default, rename = "due", skip_serializing_if = "Option::is_none")]
    pub deadline: Option<u64>,
    /// Result of a run, or the result in an answer to a caller.
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
    /// Failed; it may have run.
    Failed,
    /// The connection broke or the caller disconnected: the outcome is unknown.
    Abandoned,
}

impl RequestEnd {
    /// Value of `op` for this end in a history.
    pub fn operation(self) -> &'static str {
        match self {
            Self::Served => "answer",
            Self::Rejected => "dismissed",
            Self::Failed => "given-up",
            Self::Abandoned => "gone",
        }
    }
}

/// The event of a line, as the checkers use it.
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
        /// Name of the node to which the request was sent.
        node: Option<String>,
        /// By when the request must have ended, in nanoseconds.
        deadline: u64,
    },
    /// A caller learned how its request ended, or abandoned it.
    Ended {
        /// Name of the request.
        request: String,
        /// How it ended.
        end: RequestEnd,
        /// The result, if it was served.
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

/// An event with its time, its observer and its line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observation {
    /// When it was seen, in nanoseconds on the history's clock.
    pub at: u64,
    /// The caller or agent that saw it.
    pub observer: String,
    /// Line number, from 1.
    pub line: usize,
    /// The event.
    pub event: Event,
}

/// Error in reading a history.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HistoryError {
    /// Line number, from 1; 0 if the error concerns no line.
    pub line: usize,
    /// Description of the error.
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

/// Parses one line; `None` for an unknown operation.
///
/// # Errors
/// If it is not a valid line of a history.
pub fn parse_line(number: usize, text: &str) -> Result<Option<Observation>, HistoryError> {
    let error = |reason: String| HistoryError {
        line: number,
        reason,
    };
    let value: serde_json::Value =
        serde_json::from_str(text).map_err(|e| error(format!("not valid JSON: {e}")))?;
    let object = value
        .as_object()
        .ok_or_else(|| error("not a JSON object".into()))?;
    let operation = object
        .get("op")
        .and_then(|operation| operation.as_str())
        .ok_or_else(|| error("op: missing or not a string".into()))?;
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

/// The event of a line with a known operation; `error` makes the error for a missing field.
fn event_of(
    operation: &str,
    line: HistoryLine,
    error: impl Fn(String) -> HistoryError,
) -> Result<Event, HistoryError> {
    let missing_request = || error(format!("{operation} without a request name (ticket)"));
    let ended = |line: HistoryLine, end: RequestEnd| {
        Ok(Event::Ended {
            request: line.request.ok_or_else(missing_request)?,
            end,
            result: line.result.filter(|_| end == RequestEnd::Served),
        })
    };
    match operation {
        "ask" => Ok(Event::Requested {
            request: line.request.ok_or_else(missing_request)?,
            deadline: line
                .deadline
                .ok_or_else(|| error("ask without a deadline (due)".into()))?,
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

/// Reads a complete history: the observations with known operations, and the number of lines.
///
/// # Errors
/// If a line cannot be parsed, or the stream cannot be read.
pub fn read_history(mut from: impl BufRead) -> Result<(Vec<Observation>, usize), HistoryError> {
    let (mut observations, mut number, mut text) = (Vec::new(), 0, Vec::new());
    loop {
        text.clear();
        number += 1;
        let error = |reason: String| HistoryError {
            line: number,
            reason,
        };
        // A file without line ends would otherwise be read into memory as a whole.
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
            .map_err(|e| error(format!("not valid UTF-8: {e}")))?
            .trim();
        if !line.is_empty() {
            observations.extend(parse_line(number, line)?);
        }
    }
}
