//! Decides, without I/O, what is written to which file: handshakes, gaps, rotation of full files, removal of old ones.
//!
//! Each file is readable on its own: a connection that continues in a new file starts there with a new handshake at its
//! current offset. A handshake is also written after lost messages, because a reader cannot determine a message boundary
//! after a gap; requests in flight at that point are read as unanswered, not as disconnected.
//!
//! Invariants: each connection in `connections` has a handshake in the current file, and its entry holds the offsets of
//! the next bytes; file numbers ascend without gaps, and at most [`Limits::files`] files exist.

use crate::Limits;
use rainstand_capture::packet::End;
use rainstand_capture::write::{self, Flags, SEGMENT};
use std::collections::BTreeMap;

/// Position of the lowest sequence number bit that differs between successive handshakes of a connection.
const REOPENING_SHIFT: u32 = 28;

/// One of the two ends of a recorded connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The end that opened the connection.
    Client = 0,
    /// The end that accepted it.
    Server = 1,
}

impl Side {
    /// Both sides, the client first.
    const BOTH: [Self; 2] = [Self::Client, Self::Server];

    fn other(self) -> Self {
        match self {
            Self::Client => Self::Server,
            Self::Server => Self::Client,
        }
    }
}

/// One message of one side of a connection, or the connection's end.
#[derive(Clone, Debug)]
pub struct RecordedMessage {
    /// Unix time in nanoseconds.
    pub timestamp_ns: u64,
    /// Number of the connection, unique within a recording.
    pub connection: u64,
    /// Addresses of the client and the server.
    pub ends: [End; 2],
    /// The side that sent the message.
    pub side: Side,
    /// Number of bytes that this side sent before the message.
    pub offset: u64,
    /// The message; empty at the end of the connection.
    pub bytes: Box<[u8]>,
    /// Whether this marks the end of the connection.
    pub is_end: bool,
}

impl RecordedMessage {
    fn address(&self, side: Side) -> End {
        self.ends[side as usize]
    }
}

/// The number of a file, starting at 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FileNumber(pub u64);

/// An operation for the writer to execute.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FileAction {
    /// Create this file and make it the current one.
    Open(FileNumber),
    /// Remove this file.
    Remove(FileNumber),
    /// Append to the current file.
    Write(Vec<u8>),
}

/// The file that is being written.
struct CurrentFile {
    written_bytes: u64,
}

/// Decides what the writer does with each message; see the module documentation.
pub struct Rotation {
    limits: Limits,
    file_header: Vec<u8>,
    /// `None` at the start and after a failure.
    current: Option<CurrentFile>,
    next_number: u64,
    oldest_number: u64,
    connections: BTreeMap<u64, Progress>,
}

/// Position of a connection in the current file.
#[derive(Clone, Copy, Default)]
struct Progress {
    /// For each side, the offset of the next byte.
    next_offset: [u64; 2],
    /// Number of handshakes after the first: each uses a separate range of sequence numbers, so that a reader does not
    /// take it for a retransmission of an earlier one.
    reopenings: u32,
}

impl Progress {
    /// The sequence number of a side's next byte; the SYN before its first byte counts as one.
    fn sequence_number(&self, side: Side) -> u32 {
        (self.next_offset[side as usize] as u32)
            .wrapping_add(2)
            .wrapping_add(self.reopenings << REOPENING_SHIFT)
    }

    /// Whether the message directly follows the data in the current file.
    fn is_continued_by(&self, message: &RecordedMessage) -> bool {
        message.is_end || self.next_offset[message.side as usize] == message.offset
    }
}

impl Rotation {
    /// Creates the state of a recording without files; each file starts with `file_header`.
    pub fn new(limits: Limits, file_header: Vec<u8>) -> Self {
        Self {
            limits,
            file_header,
            current: None,
            next_number: 1,
            oldest_number: 1,
            connections: BTreeMap::new(),
        }
    }

    /// Returns the actions that record one message, in the order of execution.
    pub fn on_message(&mut self, message: &RecordedMessage) -> Vec<FileAction> {
        let mut actions = Vec::new();
        if message.is_end && !self.connections.contains_key(&message.connection) {
            // The current file has no data of this connection.
            return actions;
        }
        if self.needs_new_file() {
            self.open_next_file(&mut actions);
        }
        let bytes = self.packets(message);
        if let Some(current) = &mut self.current {
            current.written_bytes += bytes.len() as u64;
        }
        actions.push(FileAction::Write(bytes));
        actions
    }

    /// Abandons the current file after a failure; the next message is written to a new file.
    pub fn on_failure(&mut self) {
        self.current = None;
        self.connections.clear();
    }

    fn needs_new_file(&self) -> bool {
        let max_bytes = self.limits.file_bytes.max(1);
        self.current
            .as_ref()
            .is_none_or(|current| current.written_bytes >= max_bytes)
    }

    /// Opens a new file and removes the oldest ones beyond the limit.
    fn open_next_file(&mut self, actions: &mut Vec<FileAction>) {
        let number = self.next_number;
        self.next_number += 1;
        self.connections.clear();
        self.current = Some(CurrentFile {
            written_bytes: self.file_header.len() as u64,
        });
        actions.push(FileAction::Open(FileNumber(number)));
        while self.next_number - self.oldest_number > self.limits.files.max(1) {
            actions.push(FileAction::Remove(FileNumber(self.oldest_number)));
            self.oldest_number += 1;
        }
        actions.push(FileAction::Write(self.file_header.clone()));
    }

    /// The packets of a message, preceded by a handshake unless the message continues data in the current file.
    fn packets(&mut self, message: &RecordedMessage) -> Vec<u8> {
        let mut bytes = Vec::new();
        let known = self.connections.get(&message.connection).copied();
        let continues = known.is_some_and(|progress| progress.is_continued_by(message));
        let mut progress = known.unwrap_or_default();
        if !continues {
            progress.next_offset[message.side as usize] = message.offset;
            let reopenings = u32::from(known.is_some());
            progress.reopenings = progress.reopenings.wrapping_add(reopenings);
            write_handshake(&mut bytes, message, &progress);
        }
        write_payload(&mut bytes, message, &mut progress);
        if message.is_end {
            write_fins(&mut bytes, message, &progress);
            self.connections.remove(&message.connection);
        } else {
            self.connections.insert(message.connection, progress);
        }
        bytes
    }
}

/// Appends one packet from `side` to the other end.
fn write_segment(
    bytes: &mut Vec<u8>,
    message: &RecordedMessage,
    side: Side,
    sequence_number: u32,
    flags: Flags,
    payload: &[u8],
) {
    let from = message.address(side);
    let to = message.address(side.other());
    let packet = write::segment(from, to, sequence_number, flags, payload);
    write::packet(bytes, message.timestamp_ns, &packet, packet.len());
}

/// Appends the handshake from which a reader derives the connection's offsets.
fn write_handshake(bytes: &mut Vec<u8>, message: &RecordedMessage, progress: &Progress) {
    let syn = Flags {
        syn: true,
        ..Flags::default()
    };
    let syn_ack = Flags {
        ack: Some(progress.sequence_number(Side::Client)),
        ..syn
    };
    for (side, flags) in [(Side::Client, syn), (Side::Server, syn_ack)] {
        let sequence_number = progress.sequence_number(side).wrapping_sub(1);
        write_segment(bytes, message, side, sequence_number, flags, &[]);
    }
}

/// Appends the message as data packets and advances `progress`.
fn write_payload(bytes: &mut Vec<u8>, message: &RecordedMessage, progress: &mut Progress) {
    let side = message.side;
    for part in message.bytes.chunks(SEGMENT) {
        let flags = Flags {
            ack: Some(progress.sequence_number(side.other())),
            ..Flags::default()
        };
        let sequence_number = progress.sequence_number(side);
        write_segment(bytes, message, side, sequence_number, flags, part);
        progress.next_offset[side as usize] += part.len() as u64;
    }
}

/// Appends a FIN packet from each side.
fn write_fins(bytes: &mut Vec<u8>, message: &RecordedMessage, progress: &Progress) {
    for side in Side::BOTH {
        let flags = Flags {
            fin: true,
            ack: Some(progress.sequence_number(side.other())),
            ..Flags::default()
        };
        let sequence_number = progress.sequence_number(side);
        write_segment(bytes, message, side, sequence_number, flags, &[]);
    }
}
