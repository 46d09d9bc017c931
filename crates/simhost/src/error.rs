//! Errors of serving the simulator.

use rainstand_settings::SettingsError;
use std::io;

/// Why serving failed, with the input line, counted from 1.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// A line could not be read.
    #[error("reading line {line}: {source}")]
    Read {
        /// Line number.
        line: u64,
        /// The cause.
        source: io::Error,
    },
    /// A line could not be handled.
    #[error("line {line}: {source}")]
    Message {
        /// Line number.
        line: u64,
        /// The cause.
        source: MessageError,
    },
    /// The reply to the batch that ends with a line could not be written.
    #[error("writing the reply after line {line}: {source}")]
    Write {
        /// Line number.
        line: u64,
        /// The cause.
        source: io::Error,
    },
}

/// Why a message cannot be handled.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// The line is not JSON.
    #[error("not a JSON value: {0}")]
    NotJson(#[source] serde_json::Error),
    /// The line is JSON, but not an object.
    #[error("not a JSON object")]
    NotAnObject,
    /// A field is missing or invalid.
    #[error(transparent)]
    Field(#[from] SettingsError),
    /// The content of an event is invalid.
    #[error("{event}: {source}")]
    InEvent {
        /// The event's name.
        event: String,
        /// The cause.
        source: Box<MessageError>,
    },
    /// An event for a node that is not running.
    #[error("{event}: node {node} is not running")]
    UnknownNode {
        /// The event's name.
        event: String,
        /// The node's name.
        node: String,
    },
    /// A request of a class that is not in the settings.
    #[error("unknown type {class}")]
    UnknownClass {
        /// Name of the class.
        class: String,
    },
    /// An unknown outcome of a run or a call.
    #[error("reason: unknown value {word}")]
    UnknownReason {
        /// The unknown value.
        word: String,
    },
}

impl MessageError {
    /// Adds the name of the event to the error.
    pub(crate) fn in_event(self, event: &str) -> Self {
        Self::InEvent {
            event: event.to_owned(),
            source: Box::new(self),
        }
    }
}
