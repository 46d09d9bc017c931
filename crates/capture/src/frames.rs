//! Splits the bytes and holes of one direction into frames.
//!
//! Frame boundaries follow from the start of the connection and the length prefix of each frame. If a hole
//! lies within a frame whose length is known, parsing resumes at the end of that frame. If a hole extends
//! past the end of the frame or covers part of its four-byte length, the next boundary is unknown: bytes that
//! look like a frame may be part of a body. Parsing of that direction then stops, so that no request is
//! invented.

use rainstand_protocol::thrift::MAX_FRAME_BYTES;

/// Why parsing of a direction stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// The direction began before the capture.
    StartMissing,
    /// A hole covers the start of a frame.
    Hole,
    /// The declared frame length exceeds the maximum.
    FrameTooLong,
    /// The memory limit was reached.
    MemoryLimit,
    /// The first frame is not a Thrift message: another protocol.
    NotThrift,
}

/// A frame found in a direction.
pub enum FrameEvent<'b> {
    /// A complete frame without its length prefix, and the time of its last part.
    Complete(&'b [u8], u64),
    /// A frame that a hole overlaps: the bytes between the length prefix and the hole.
    Truncated(&'b [u8]),
}

/// Assembles the frames of one direction.
#[derive(Default)]
pub struct Frames {
    /// The received part of an incomplete frame, with its length prefix.
    partial: Vec<u8>,
    /// Remaining bytes of a truncated frame, to be skipped.
    skip_bytes: u64,
    /// The latest timestamp of any part of the frame.
    at: u64,
    pub stopped: Option<StopReason>,
    pub unread_bytes: u64,
}

impl Frames {
    /// Processes the next bytes. An error from `on_frame` stops parsing.
    pub fn bytes(
        &mut self,
        mut bytes: &[u8],
        at: u64,
        mut on_frame: impl FnMut(FrameEvent<'_>) -> Result<(), StopReason>,
    ) {
        while !bytes.is_empty() {
            if self.stopped.is_some() {
                self.unread_bytes += bytes.len() as u64;
                return;
            }
            if self.skip_bytes > 0 {
                let skipped = (self.skip_bytes).min(bytes.len() as u64);
                self.skip_bytes -= skipped;
                bytes = &bytes[skipped as usize..];
                continue;
            }
            if self.partial.is_empty() {
                self.at = at;
                // The usual case: a complete frame in one piece is not copied.
                if let Some(length) = length(bytes) {
                    if length > MAX_FRAME_BYTES {
                        self.stopped = Some(StopReason::FrameTooLong);
                        continue;
                    }
                    if bytes.len() - 4 >= length {
                        let (frame, rest) = bytes[4..].split_at(length);
                        bytes = rest;
                        self.stopped = on_frame(FrameEvent::Complete(frame, at)).err();
                        continue;
                    }
                }
            }
            self.at = self.at.max(at);
            let needed = match length(&self.partial) {
                None => 4 - self.partial.len(),
                Some(length) => 4 + length - self.partial.len(),
            };
            let (more, rest) = bytes.split_at(needed.min(bytes.len()));
            self.partial.extend_from_slice(more);
            bytes = rest;
            match length(&self.partial) {
                Some(length) if length > MAX_FRAME_BYTES => self.stop(StopReason::FrameTooLong),
                Some(length) if self.partial.len() == 4 + length => {
                    self.stopped =
                        on_frame(FrameEvent::Complete(&self.partial[4..], self.at)).err();
                    self.partial.clear();
                }
                _ => {}
            }
        }
    }

    /// Skips `missing` bytes that are not in the capture.
    pub fn hole(&mut self, missing: u64, mut on_frame: impl FnMut(FrameEvent<'_>)) {
        if self.stopped.is_some() || missing == 0 {
            return;
        }
        if self.skip_bytes > 0 {
            if missing <= self.skip_bytes {
                self.skip_bytes -= missing;
            } else {
                self.stopped = Some(StopReason::Hole);
            }
            return;
        }
        let Some(length) = length(&self.partial) else {
            if !self.partial.is_empty() {
                on_frame(FrameEvent::Truncated(&[]));
            }
            return self.stop(StopReason::Hole);
        };
        on_frame(FrameEvent::Truncated(&self.partial[4..]));
        let remaining = (4 + length - self.partial.len()) as u64;
        self.partial.clear();
        if missing <= remaining {
            self.skip_bytes = remaining - missing;
        } else {
            self.stop(StopReason::Hole);
        }
    }

    /// Ends the direction: an incomplete frame is reported as truncated.
    pub fn end(&mut self, mut on_frame: impl FnMut(FrameEvent<'_>)) {
        if self.stopped.is_none() && !self.partial.is_empty() {
            on_frame(FrameEvent::Truncated(self.partial.get(4..).unwrap_or(&[])));
        }
        self.partial = Vec::new();
    }

    /// Buffered bytes of an incomplete frame.
    pub fn buffered_bytes(&self) -> usize {
        self.partial.len()
    }

    pub fn stop(&mut self, reason: StopReason) {
        self.stopped.get_or_insert(reason);
        self.partial = Vec::new();
    }
}

fn length(bytes: &[u8]) -> Option<usize> {
    bytes
        .first_chunk::<4>()
        .map(|head| u32::from_be_bytes(*head) as usize)
}
