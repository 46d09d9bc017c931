//! Bytes and holes of one direction to whole frames.
//!
//! Where a frame begins is known at the start of a connection and, from then on, by arithmetic: each frame
//! says how long it is. A hole within a frame whose length was read ends that frame at a known place, so
//! reading goes on there. A hole that reaches past the frame's end, or into its first four bytes, leaves no
//! proof where the next one begins: whatever looks like a frame may be part of a body. Nothing more is read
//! in that direction then, rather than to invent a ticket.

use rainstand_protocol::thrift::MAX_FRAME_BYTES;

/// Why a direction is not read further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lost {
    /// It began before the capture.
    Midway,
    /// A hole covers where a frame begins.
    Hole,
    /// A frame says that it is longer than any.
    TooLong,
    /// Memory was needed.
    Memory,
    /// The first frame is no message: another protocol.
    NotThrift,
}

/// What a direction told.
pub enum Told<'b> {
    /// A whole frame, without its length; complete at that time.
    Frame(&'b [u8], u64),
    /// A frame that a hole touches: what there is before the hole, behind the length.
    Cut(&'b [u8]),
}

/// One direction's frames as they come together.
#[derive(Default)]
pub struct Frames {
    /// The beginning of a frame, with its length.
    part: Vec<u8>,
    /// Bytes of a cut frame that are still to come.
    skip: u64,
    /// The latest time of any part of the frame.
    at: u64,
    pub lost: Option<Lost>,
    pub unread: u64,
}

impl Frames {
    /// The next bytes. `told` says whether to go on.
    pub fn bytes(
        &mut self,
        mut bytes: &[u8],
        at: u64,
        mut told: impl FnMut(Told<'_>) -> Result<(), Lost>,
    ) {
        while !bytes.is_empty() {
            if self.lost.is_some() {
                self.unread += bytes.len() as u64;
                return;
            }
            if self.skip > 0 {
                let over = (self.skip).min(bytes.len() as u64);
                self.skip -= over;
                bytes = &bytes[over as usize..];
                continue;
            }
            if self.part.is_empty() {
                self.at = at;
                // The usual case: a whole frame in one piece is not copied.
                if let Some(length) = length(bytes) {
                    if length > MAX_FRAME_BYTES {
                        self.lost = Some(Lost::TooLong);
                        continue;
                    }
                    if bytes.len() - 4 >= length {
                        let (frame, rest) = bytes[4..].split_at(length);
                        bytes = rest;
                        self.lost = told(Told::Frame(frame, at)).err();
                        continue;
                    }
                }
            }
            self.at = self.at.max(at);
            let wanted = match length(&self.part) {
                None => 4 - self.part.len(),
                Some(length) => 4 + length - self.part.len(),
            };
            let (more, rest) = bytes.split_at(wanted.min(bytes.len()));
            self.part.extend_from_slice(more);
            bytes = rest;
            match length(&self.part) {
                Some(length) if length > MAX_FRAME_BYTES => self.let_go(Lost::TooLong),
                Some(length) if self.part.len() == 4 + length => {
                    self.lost = told(Told::Frame(&self.part[4..], self.at)).err();
                    self.part.clear();
                }
                _ => {}
            }
        }
    }

    /// So many bytes are missing here.
    pub fn hole(&mut self, missing: u64, mut told: impl FnMut(Told<'_>)) {
        if self.lost.is_some() || missing == 0 {
            return;
        }
        if self.skip > 0 {
            if missing <= self.skip {
                self.skip -= missing;
            } else {
                self.lost = Some(Lost::Hole);
            }
            return;
        }
        let Some(length) = length(&self.part) else {
            if !self.part.is_empty() {
                told(Told::Cut(&[]));
            }
            return self.let_go(Lost::Hole);
        };
        told(Told::Cut(&self.part[4..]));
        let left = (4 + length - self.part.len()) as u64;
        self.part.clear();
        if missing <= left {
            self.skip = left - missing;
        } else {
            self.let_go(Lost::Hole);
        }
    }

    /// Nothing more comes: a frame that is not whole is cut.
    pub fn end(&mut self, mut told: impl FnMut(Told<'_>)) {
        if self.lost.is_none() && !self.part.is_empty() {
            told(Told::Cut(self.part.get(4..).unwrap_or(&[])));
        }
        self.part = Vec::new();
    }

    /// Bytes of a begun frame that are kept.
    pub fn held(&self) -> usize {
        self.part.len()
    }

    pub fn let_go(&mut self, why: Lost) {
        self.lost.get_or_insert(why);
        self.part = Vec::new();
    }
}

fn length(bytes: &[u8]) -> Option<usize> {
    bytes
        .first_chunk::<4>()
        .map(|head| u32::from_be_bytes(*head) as usize)
}
