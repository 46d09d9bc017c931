//! Framing on the links of a group: a big-endian length of four bytes, then a message.

use bytes::Bytes;
use prost::Message as _;
use rainstand_protocol::thrift::frame_within;
use rainstand_replicated_state::frames::{Frame, FrameBody};
use std::time::Duration;

/// Time limit for opening a connection, for receiving its first frame, and for shutting it down.
pub(crate) const OPEN_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for the socket to accept queued bytes. A working network needs milliseconds; a link that was lost without
/// a reset is detected only by this timeout.
pub(crate) const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// A message, preceded by its length.
pub fn with_length_prefix(message: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(4 + message.len());
    bytes.extend_from_slice(&(message.len() as u32).to_be_bytes());
    bytes.extend_from_slice(message);
    bytes
}

/// Encodes a subscriber's frame with its length prefix.
pub(crate) fn subscriber_frame(frame: Bytes) -> Vec<u8> {
    with_length_prefix(&Frame::from_body(FrameBody::FromSubscriber(frame)).encode_to_vec())
}

/// The received frame is longer than the link allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FrameTooLong;

/// Splits received bytes into frames of at most `max_frame_bytes`.
pub(crate) struct FrameBuffer {
    bytes: Vec<u8>,
    /// Number of bytes at the front that were already returned as frames.
    consumed: usize,
    max_frame_bytes: usize,
}

impl FrameBuffer {
    pub(crate) fn new(max_frame_bytes: usize) -> Self {
        Self::with_received(Vec::new(), max_frame_bytes)
    }

    /// Creates a buffer with bytes that were already received.
    pub(crate) fn with_received(bytes: Vec<u8>, max_frame_bytes: usize) -> Self {
        Self {
            bytes,
            consumed: 0,
            max_frame_bytes,
        }
    }

    /// Adds received bytes.
    pub(crate) fn extend(&mut self, received: &[u8]) {
        self.bytes.drain(..self.consumed);
        self.consumed = 0;
        self.bytes.extend_from_slice(received);
    }

    /// The next complete frame without its length prefix; `None` until more bytes are received.
    pub(crate) fn next_frame(&mut self) -> Result<Option<&[u8]>, FrameTooLong> {
        let rest = &self.bytes[self.consumed..];
        let length = frame_within(rest, self.max_frame_bytes).map_err(|_| FrameTooLong)?;
        let Some(length) = length else {
            return Ok(None);
        };
        let start = self.consumed + 4;
        self.consumed = start + length;
        Ok(Some(&self.bytes[start..self.consumed]))
    }

    /// The bytes received after the last returned frame.
    pub(crate) fn into_rest(mut self) -> Vec<u8> {
        self.bytes.split_off(self.consumed)
    }
}
