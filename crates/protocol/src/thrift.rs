//! Framed Thrift with the strict binary protocol, as used by the `Front` service. Readers borrow from the bytes and
//! never read past their end; writers return complete frames with their length prefix.

mod reader;
mod writer;

pub use reader::{
    answered, frame, frame_within, give_up_args, kind, message, probe_args, process_args,
};
pub use writer::{
    answer, backoff, exception, give_up, lost, probe, process, process_again, shutdown, Frame,
};

/// The longest frame that is accepted, in bytes without its length prefix: twice a body of 2 KiB with its fields.
pub const MAX_FRAME_BYTES: usize = 8 * 1024;
/// Size of a frame's length prefix, in bytes.
pub const FRAME_HEADER_BYTES: usize = 4;

/// Upper half of the first word of each message.
const VERSION: u32 = 0x8001_0000;
/// The bits of the first word that hold [`VERSION`].
const VERSION_MASK: u32 = 0xffff_ff00;

/// Kind of message: a call.
pub const CALL: u8 = 1;
/// Kind of message: the reply to a call.
pub const REPLY: u8 = 2;
/// Kind of message: an application exception in place of a reply.
pub const EXCEPTION: u8 = 3;
/// Kind of message: a call without a reply.
pub const ONEWAY: u8 = 4;

/// Types of fields and values.
mod field_type {
    pub(super) const STOP: u8 = 0;
    pub(super) const BOOL: u8 = 2;
    pub(super) const BYTE: u8 = 3;
    pub(super) const DOUBLE: u8 = 4;
    pub(super) const I16: u8 = 6;
    pub(super) const I32: u8 = 8;
    pub(super) const I64: u8 = 10;
    pub(super) const STRING: u8 = 11;
    pub(super) const STRUCT: u8 = 12;
    pub(super) const MAP: u8 = 13;
    pub(super) const SET: u8 = 14;
    pub(super) const LIST: u8 = 15;
}

/// Type of a field: text or bytes. For test servers that write fields by hand.
pub const STRING: u8 = field_type::STRING;
/// Type of a field: a map. For test servers that write fields by hand.
pub const MAP: u8 = field_type::MAP;

/// Code of an application exception: no such method.
pub const UNKNOWN_METHOD: i32 = 1;
/// Code of an application exception: the call was understood and cannot be served.
pub const INTERNAL_ERROR: i32 = 6;
/// Code of an application exception: the arguments cannot be read.
pub const PROTOCOL_ERROR: i32 = 7;

/// Why a connection ends: the `code` in logs and counters.
pub type ReasonCode = &'static str;

/// The bytes are not a message of this protocol.
pub const FRAME_UNREADABLE: ReasonCode = "frame_unreadable";
/// The frame is too long.
pub const FRAME_TOO_LONG: ReasonCode = "frame_too_long";

/// A call or a oneway message with unparsed arguments.
pub struct Message<'a> {
    /// Whether no answer is expected.
    pub oneway: bool,
    /// Name of the method.
    pub name: &'a [u8],
    /// Sequence number, repeated in the answer.
    pub seq: i32,
    /// The arguments, to be read by the method's reader.
    pub args: &'a [u8],
}

/// Text fields, each with its key.
pub type Texts<'a> = Vec<(&'a [u8], &'a [u8])>;

/// Arguments of `process`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ProcessArgs<'a> {
    /// The text fields, if there are any.
    pub fields: Option<Texts<'a>>,
    /// The body, if there is one.
    pub body: Option<&'a [u8]>,
}

/// A parsed reply or exception.
#[derive(Debug, PartialEq, Eq)]
pub struct Answered<'a> {
    /// Name of the method.
    pub name: &'a [u8],
    /// Sequence number of the call.
    pub seq: i32,
    /// The answer.
    pub what: What<'a>,
}

/// The answer to a call, with the names of the wire.
#[derive(Debug, PartialEq, Eq)]
pub enum What<'a> {
    /// Served.
    Answer {
        /// The result.
        body: &'a [u8],
        /// For a health check: whether the server is healthy.
        good: bool,
    },
    /// Rejected, with the answer's text fields.
    Backoff(Texts<'a>),
    /// Failed: it may have run.
    Lost,
    /// An application exception.
    Exception {
        /// One of [`UNKNOWN_METHOD`], [`INTERNAL_ERROR`] and [`PROTOCOL_ERROR`].
        code: i32,
        /// Its text.
        why: &'a [u8],
    },
}
