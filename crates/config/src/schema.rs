//! The one schema and its three forms: the `.rain` file (read by [`crate::load`]), the protobuf text format
//! in which programs are given their settings, and the binary format for transport.
//!
//! ```
//! use rainstand_config::schema::{from_text, to_text};
//! let message = from_text("version: 1 tenants { name: \"acme\" share: 600000 }").unwrap();
//! assert_eq!(message.tenants[0].share, 600_000);
//! assert_eq!(from_text(&to_text(&message)).unwrap(), message);
//! let refused = from_text("version: 1\ntenants {\n  shar: 5\n}").unwrap_err();
//! assert_eq!((refused.line, refused.column), (3, 3));
//! ```

use miette::Diagnostic;
use prost::Message;
use prost_reflect::text_format::FormatOptions;
use prost_reflect::{DescriptorPool, DynamicMessage, MessageDescriptor, Value};
use std::fmt;
use std::sync::OnceLock;
use thiserror::Error;

#[allow(
    missing_docs,
    clippy::pedantic,
    reason = "generated; the schema itself documents it"
)]
mod generated {
    include!(concat!(env!("OUT_DIR"), "/rainstand.config.v1.rs"));
}

pub use generated::*;

/// The version of the schema that this program writes and reads.
pub const VERSION: u32 = 1;
/// The source of the schema, for other programs to compile.
pub const PROTO: &str = include_str!("../proto/rainstand.proto");

const DESCRIPTORS: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/descriptors.bin"));

/// Why a text or binary form cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecodeError {
    /// The line, from 1; 0 in the binary form.
    pub line: usize,
    /// The column in characters, from 1; 0 in the binary form.
    pub column: usize,
    /// What is wrong.
    pub message: String,
}

impl DecodeError {
    /// An error of the binary form, which has no lines.
    pub fn binary(message: impl fmt::Display) -> Self {
        Self {
            line: 0,
            column: 0,
            message: message.to_string(),
        }
    }

    /// An error of a text as a whole.
    fn at_start(message: impl fmt::Display) -> Self {
        Self {
            line: 1,
            column: 1,
            message: message.to_string(),
        }
    }
}

impl fmt::Display for DecodeError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line > 0 {
            write!(out, "{}:{}: ", self.line, self.column)?;
        }
        out.write_str(&self.message)
    }
}

impl std::error::Error for DecodeError {}

/// The descriptor of [`Configuration`].
///
/// # Panics
/// Never: the descriptors are compiled in, and a test reads them.
pub fn descriptor() -> MessageDescriptor {
    static POOL: OnceLock<DescriptorPool> = OnceLock::new();
    let pool =
        POOL.get_or_init(|| DescriptorPool::decode(DESCRIPTORS).expect("compiled-in descriptors"));
    pool.get_message_by_name("rainstand.config.v1.Configuration")
        .expect("compiled-in message")
}

/// The message by its descriptors, for those who go over all fields.
pub fn dynamic(configuration: &Configuration) -> DynamicMessage {
    let mut message = DynamicMessage::new(descriptor());
    // Cannot fail: both sides come from the one schema.
    let _ = message.transcode_from(configuration);
    message
}

/// The protobuf text format, indented, with a line that names the schema.
pub fn to_text(configuration: &Configuration) -> String {
    let options = FormatOptions::new().pretty(true);
    let mut text = String::from(
        "# proto-file: rainstand.proto\n# proto-message: rainstand.config.v1.Configuration\n",
    );
    text.push_str(&dynamic(configuration).to_text_format_with_options(&options));
    text.push('\n');
    text
}

/// Reads the protobuf text format.
///
/// # Errors
/// An unknown field, a value of the wrong kind or another version, with its place.
pub fn from_text(text: &str) -> Result<Configuration, DecodeError> {
    let message = DynamicMessage::parse_text_format(descriptor(), text).map_err(|error| {
        let mut labels = error.labels().into_iter().flatten();
        // An end that comes too early has no label.
        let offset = labels.next().map_or(text.len(), |label| label.offset());
        let before = text.get(..offset).unwrap_or(text);
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().map_or(0, |l| l.chars().count()) + 1;
        DecodeError {
            line,
            column,
            message: error.to_string(),
        }
    })?;
    let configuration = message.transcode_to().map_err(DecodeError::at_start)?;
    check_version(configuration).map_err(DecodeError::at_start)
}

/// The protobuf binary format.
pub fn to_binary(configuration: &Configuration) -> Vec<u8> {
    configuration.encode_to_vec()
}

/// Reads the protobuf binary format.
///
/// # Errors
/// Bytes that are no such message, a field that this version does not know, or another version.
pub fn from_binary(bytes: &[u8]) -> Result<Configuration, DecodeError> {
    let message = DynamicMessage::decode(descriptor(), bytes).map_err(DecodeError::binary)?;
    if let Some(path) = unknown_field(&message, "") {
        return Err(DecodeError::binary(format!("unknown field {path}")));
    }
    from_own_binary(bytes)
}

/// Reads the binary format as this very program wrote it: unknown fields are not looked for, which costs many times the
/// message's size.
///
/// # Errors
/// Bytes that are no such message, or another version.
pub fn from_own_binary(bytes: &[u8]) -> Result<Configuration, DecodeError> {
    let configuration = Configuration::decode(bytes).map_err(DecodeError::binary)?;
    check_version(configuration).map_err(DecodeError::binary)
}

#[derive(Debug, Error)]
#[error("version {0} of the schema; this program knows version {VERSION}")]
struct UnknownVersion(u32);

fn check_version(configuration: Configuration) -> Result<Configuration, UnknownVersion> {
    match configuration.version {
        VERSION => Ok(configuration),
        other => Err(UnknownVersion(other)),
    }
}

/// The first field that the schema does not know, with the path to it. Depth is that of the schema.
fn unknown_field(message: &DynamicMessage, path: &str) -> Option<String> {
    if let Some(field) = message.unknown_fields().next() {
        return Some(format!("{path}{}", field.number()));
    }
    message.fields().find_map(|(field, value)| match value {
        Value::Message(inner) => unknown_field(inner, &format!("{path}{}.", field.name())),
        Value::List(items) => items.iter().enumerate().find_map(|(k, item)| match item {
            Value::Message(inner) => unknown_field(inner, &format!("{path}{}[{k}].", field.name())),
            _ => None,
        }),
        _ => None,
    })
}

impl Configuration {
    /// Sorts lists whose order means nothing by name, so that equal configurations are equal messages. Routes and
    /// fall-backs keep their order.
    pub fn put_in_order(&mut self) {
        self.types.sort_by(|a, b| a.name.cmp(&b.name));
        self.tenants.sort_by(|a, b| a.name.cmp(&b.name));
        self.pools.sort_by(|a, b| a.name.cmp(&b.name));
        self.dependencies.sort_by(|a, b| a.name.cmp(&b.name));
        self.limits.sort_by(|a, b| a.name.cmp(&b.name));
        self.attempts.sort_by(|a, b| a.name.cmp(&b.name));
        self.budgets.sort_by(|a, b| a.name.cmp(&b.name));
        self.health.sort_by(|a, b| a.name.cmp(&b.name));
        self.logs.sort_by(|a, b| a.name.cmp(&b.name));
        self.experiments.sort_by(|a, b| a.name.cmp(&b.name));
        self.recordings.sort_by(|a, b| a.name.cmp(&b.name));
        self.retry_after.sort_by(|a, b| a.name.cmp(&b.name));
        for pool in &mut self.pools {
            pool.members.sort_by(|a, b| a.name.cmp(&b.name));
        }
        for dependency in &mut self.dependencies {
            dependency.types.sort();
        }
        for route in &mut self.routes {
            route.to.sort_by(|a, b| a.pool.cmp(&b.pool));
            if let Some(matched) = &mut route.r#match {
                matched.types.sort();
                matched.tenants.sort();
                matched.entities.sort();
            }
        }
    }
}
