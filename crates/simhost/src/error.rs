//! Why the simulator cannot be served.

use rainstand_settings::SettingsError;
use std::io;

/// Why serving ended, with the line of the input, counted from 1.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// A line could not be read.
    #[error("reading line {line}: {source}")]
    Read {
        /// The line.
        line: u64,
        /// Why.
        source: io::Error,
    },
    /// A line could not be handled.
    #[error("line {line}: {source}")]
    Message {
        /// The line.
        line: u64,
        /// Why.
        source: MessageError,
    },
    /// The answer to the batch that a line ends could not be written.
    #[error("writing the reply after line {line}: {source}")]
    Write {
        /// The line.
        line: u64,
        /// Why.
        source: io::Error,
    },
}

/// Why a message cannot be handled.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// It is not JSON.
    #[error("not a JSON value: {0}")]
    NotJson(#[source] serde_json::Error),
    /// It is JSON, but no object.
    #[error("not a JSON object")]
    NotAnObject,
    /// A field is missing or wrong.
    #[error(transparent)]
    Field(#[from] SettingsError),
    /// What an event of this name holds is wrong.
    #[error("{event}: {source}")]
    InEvent {
        /// The event's name.
        event: String,
        /// What is wrong.
        source: Box<MessageError>,
    },
    /// An event for a node that is not there.
    #[error("{event}: {node} was never born, or has halted")]
    UnknownNode {
        /// The event's name.
        event: String,
        /// The node's name.
        node: String,
    },
    /// A request of a class that the settings do not name.
    #[error("type {class} is not known")]
    UnknownClass {
        /// The name.
        class: String,
    },
    /// An unknown word for how a run or a call ended.
    #[error("reason: {word} is not known")]
    UnknownReason {
        /// The word.
        word: String,
    },
}

impl MessageError {
    /// The error with the name of the event that it is about.
    pub(crate) fn in_event(self, event: &str) -> Self {
        Self::InEvent {
            event: event.to_owned(),
            source: Box::new(self),
        }
    }
}
