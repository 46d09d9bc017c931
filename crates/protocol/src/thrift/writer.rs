//! Writes frames.

use super::field_type::{BOOL, I32, MAP, STOP, STRING, STRUCT};
use super::{CALL, EXCEPTION, FRAME_HEADER_BYTES, ONEWAY, REPLY, VERSION};

/// A frame under construction; its length prefix is set at the end.
pub struct Frame(Vec<u8>);

impl Frame {
    /// Starts a message; `kind` is one of [`CALL`], [`REPLY`], [`EXCEPTION`] and [`ONEWAY`].
    pub fn new(kind: u8, name: &[u8], seq: i32) -> Self {
        let mut frame = Self(vec![0; FRAME_HEADER_BYTES]);
        frame.u32(VERSION | u32::from(kind));
        frame.string(name);
        frame.0.extend_from_slice(&seq.to_be_bytes());
        frame
    }

    /// Appends a big-endian 32-bit word.
    pub fn u32(&mut self, n: u32) {
        self.0.extend_from_slice(&n.to_be_bytes());
    }

    /// Appends a byte.
    pub fn u8(&mut self, n: u8) {
        self.0.push(n);
    }

    /// Appends text or bytes with their length prefix.
    pub fn string(&mut self, bytes: &[u8]) {
        self.u32(bytes.len() as u32);
        self.0.extend_from_slice(bytes);
    }

    /// Appends the header of a field: its type and id.
    pub fn field(&mut self, kind: u8, id: u16) {
        self.0.push(kind);
        self.0.extend_from_slice(&id.to_be_bytes());
    }

    /// Appends a field that is a map of texts.
    pub fn texts(&mut self, id: u16, texts: &[(&str, &str)]) {
        self.field(MAP, id);
        self.0.extend_from_slice(&[STRING, STRING]);
        self.u32(texts.len() as u32);
        for (key, value) in texts {
            self.string(key.as_bytes());
            self.string(value.as_bytes());
        }
    }

    /// Ends `stops` nested structs, sets the length prefix and returns the frame.
    pub fn end(mut self, stops: usize) -> Vec<u8> {
        self.0.resize(self.0.len() + stops, STOP);
        let len = self.0.len() as u32 - FRAME_HEADER_BYTES as u32;
        self.0[..FRAME_HEADER_BYTES].copy_from_slice(&len.to_be_bytes());
        self.0
    }
}

/// `Answer`: the reply to a served request or to a health check.
pub fn answer(name: &[u8], seq: i32, body: &[u8], good: bool) -> Vec<u8> {
    let mut frame = Frame::new(REPLY, name, seq);
    frame.field(STRUCT, 0);
    frame.field(STRING, 1);
    frame.string(body);
    frame.texts(2, &[]);
    frame.field(BOOL, 3);
    frame.u8(u8::from(good));
    frame.end(2)
}

/// `Backoff`: the reply to a rejected request.
pub fn backoff(seq: i32, texts: &[(&str, &str)]) -> Vec<u8> {
    let mut frame = Frame::new(REPLY, b"process", seq);
    frame.field(STRUCT, 1);
    frame.texts(1, texts);
    frame.end(2)
}

/// `Lost`: the reply to a failed request.
pub fn lost(seq: i32) -> Vec<u8> {
    let mut frame = Frame::new(REPLY, b"process", seq);
    frame.field(STRUCT, 2);
    frame.texts(1, &[]);
    frame.end(2)
}

/// An application exception.
pub fn exception(name: &[u8], seq: i32, code: i32, why: &str) -> Vec<u8> {
    let mut frame = Frame::new(EXCEPTION, name, seq);
    frame.field(STRING, 1);
    frame.string(why.as_bytes());
    frame.field(I32, 2);
    frame.u32(code as u32);
    frame.end(1)
}

/// The oneway `shutdown`: the server drains, and nothing new should be sent on this connection.
pub fn shutdown() -> Vec<u8> {
    Frame::new(ONEWAY, b"shutdown", 0).end(1)
}

/// A call of `process`.
pub fn process(seq: i32, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut frame = Frame::new(CALL, b"process", seq);
    frame.texts(1, fields);
    frame.field(STRING, 2);
    frame.string(body);
    frame.end(1)
}

/// A call of `process` that forwards another one, with its own sequence number and the unchanged
/// [arguments](super::Message::args). It adds no retry mark.
///
/// ```
/// use rainstand_protocol::thrift::{message, process, process_again};
/// let first = process(7, &[("route", "check")], b"body");
/// let args = message(&first[4..]).unwrap().args;
/// assert_eq!(process_again(9, args), process(9, &[("route", "check")], b"body"));
/// ```
pub fn process_again(seq: i32, args: &[u8]) -> Vec<u8> {
    let mut frame = Frame::new(CALL, b"process", seq);
    frame.0.extend_from_slice(args);
    frame.end(0)
}

/// The oneway `giveUp`: cancels an earlier call.
pub fn give_up(cancelled_seq: i32) -> Vec<u8> {
    let mut frame = Frame::new(ONEWAY, b"giveUp", 0);
    frame.field(I32, 1);
    frame.u32(cancelled_seq as u32);
    frame.end(1)
}

/// A call of `probe`.
pub fn probe(seq: i32, thorough: bool) -> Vec<u8> {
    let mut frame = Frame::new(CALL, b"probe", seq);
    frame.field(BOOL, 1);
    frame.u8(u8::from(thorough));
    frame.end(1)
}
