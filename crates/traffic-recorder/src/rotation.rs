//! Decides, without I/O, what is written to which file: openings of connections, gaps, full files, files to remove.
//!
//! Each file can be read alone: a connection that continues in a new file is opened there again, at the offset that it
//! has reached. Where messages were lost the connection is opened again too, since a reader could prove no message
//! boundary behind the gap; requests that were open then read as unanswered, not as disconnected.
//!
//! Invariants: a connection in `connections` was opened in the current file, with the offsets of what follows; files are
//! numbered upwards without gaps, and at most [`Limits::files`] of them exist.

use crate::Limits;
use rainstand_capture::packet::End;
use rainstand_capture::write::{self, Flags, SEGMENT};
use std::collections::BTreeMap;

/// Bits of the sequence numbers in which each opening of a connection differs from the one before.
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
    /// Both, the client first.
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
    /// Nanoseconds of Unix time.
    pub at_ns: u64,
    /// Number of the connection, unique within a recording.
    pub connection: u64,
    /// Addresses of the client and the server.
    pub ends: [End; 2],
    /// Who sent it.
    pub side: Side,
    /// Bytes that this side sent before it.
    pub offset: u64,
    /// The message; empty at the connection's end.
    pub bytes: Box<[u8]>,
    /// Whether the connection is over.
    pub is_end: bool,
}

impl RecordedMessage {
    fn address(&self, side: Side) -> End {
        self.ends[side as usize]
    }
}

/// The number of a file, from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FileNumber(pub u64);

/// What the writer does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FileAction {
    /// Create this file; from here on it is the current one.
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

/// The decisions of a recording, see the module's head.
pub struct Rotation {
    limits: Limits,
    file_header: Vec<u8>,
    /// `None` at the start and after a failure.
    current: Option<CurrentFile>,
    next_number: u64,
    oldest_number: u64,
    connections: BTreeMap<u64, Progress>,
}

/// How far a connection has come in the current file.
#[derive(Clone, Copy, Default)]
struct Progress {
    /// For each side, the offset of what follows.
    next_offset: [u64; 2],
    /// How often it was opened again: each opening has sequence numbers of its own, so that none reads as a
    /// retransmission of an earlier one.
    reopenings: u32,
}

impl Progress {
    /// The sequence number of a side's next byte; the opening before its first byte counts as one.
    fn sequence_number(&self, side: Side) -> u32 {
        (self.next_offset[side as usize] as u32)
            .wrapping_add(2)
            .wrapping_add(self.reopenings << REOPENING_SHIFT)
    }

    /// Whether this message follows directly on what is in the current file.
    fn is_continued_by(&self, message: &RecordedMessage) -> bool {
        message.is_end || self.next_offset[message.side as usize] == message.offset
    }
}

impl Rotation {
    /// `file_header`: the bytes that each file begins with.
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

    /// What one message asks for, in this order.
    pub fn on_message(&mut self, message: &RecordedMessage) -> Vec<FileAction> {
        let mut actions = Vec::new();
        if message.is_end && !self.connections.contains_key(&message.connection) {
            // Nothing of the connection is in this file.
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

    /// The current file cannot be written further: what comes next goes to a new one.
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

    /// Opens a new file; the oldest ones are removed if there are too many.
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

    /// The packets of a message, with an opening before them where the current file has none that it continues.
    fn packets(&mut self, message: &RecordedMessage) -> Vec<u8> {
        let mut bytes = Vec::new();
        let known = self.connections.get(&message.connection).copied();
        let continues = known.is_some_and(|progress| progress.is_continued_by(message));
        let mut progress = known.unwrap_or_default();
        if !continues {
            progress.next_offset[message.side as usize] = message.offset;
            let reopenings = u32::from(known.is_some());
            progress.reopenings = progress.reopenings.wrapping_add(reopenings);
            write_opening(&mut bytes, message, &progress);
        }
        write_payload(&mut bytes, message, &mut progress);
        if message.is_end {
            write_end(&mut bytes, message, &progress);
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
    write::packet(bytes, message.at_ns, &packet, packet.len());
}

/// The handshake that a reader takes a connection's offsets from.
fn write_opening(bytes: &mut Vec<u8>, message: &RecordedMessage, progress: &Progress) {
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

/// Both sides' end of stream.
fn write_end(bytes: &mut Vec<u8>, message: &RecordedMessage, progress: &Progress) {
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
