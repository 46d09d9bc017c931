//! What is written where, decided without I/O: openings of connections, holes, files that are full, files
//! that go.
//!
//! Each file can be read alone: a connection that goes on into a new file is opened there anew, at the
//! offset that it has reached. Where messages were lost the connection is opened anew too, since a reader
//! could prove no beginning behind the hole; what was open then is told as unanswered, not as gone.
//!
//! Invariants: a connection in `known` was opened in the present file, with the offsets of what
//! follows; files are numbered upwards without gaps, and at most `files` of them are kept.

use crate::Limits;
use rainstand_capture::packet::End;
use rainstand_capture::write::{self, Flags, SEGMENT};
use std::collections::BTreeMap;

/// One message of one side of a connection, or its end.
#[derive(Clone, Debug)]
pub struct Line {
    /// Nanoseconds of Unix time.
    pub at: u64,
    pub connection: u64,
    pub ends: [End; 2],
    pub side: usize,
    /// Bytes of this side before it.
    pub offset: u64,
    pub bytes: Box<[u8]>,
    /// The connection is over.
    pub over: bool,
}

/// A file by its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Page(pub u64);

/// What the writer does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Do {
    /// From here on this file is written.
    Open(Page),
    Remove(Page),
    Write(Vec<u8>),
}

/// See the module's head.
pub struct Pages {
    limits: Limits,
    head: Vec<u8>,
    /// The present file and what was written to it; none at the start and after a failure.
    present: Option<(u64, u64)>,
    next_page: u64,
    oldest: u64,
    known: BTreeMap<u64, Reached>,
}

/// How far a connection has come in the present file.
#[derive(Clone, Copy, Default)]
struct Reached {
    /// Offsets of what follows.
    next: [u64; 2],
    /// How often it was opened anew: each opening has numbers of its own, lest it is taken for one repeated.
    anew: u32,
}

impl Reached {
    /// Before the first byte of a side stands the opening, which counts as one.
    fn seq(&self, side: usize) -> u32 {
        (self.next[side] as u32)
            .wrapping_add(2)
            .wrapping_add(self.anew << 28)
    }
}

impl Pages {
    pub fn new(limits: Limits, head: Vec<u8>) -> Self {
        Self {
            limits,
            head,
            present: None,
            next_page: 1,
            oldest: 1,
            known: BTreeMap::new(),
        }
    }

    /// What one message asks for.
    pub fn line(&mut self, line: &Line) -> Vec<Do> {
        let mut all = Vec::new();
        if line.over && !self.known.contains_key(&line.connection) {
            // Nothing of it is in this file.
            return all;
        }
        if self
            .present
            .is_none_or(|(_, written)| written >= self.limits.file_bytes.max(1))
        {
            self.turn(&mut all);
        }
        let mut bytes = Vec::new();
        let [opener, other] = line.ends;
        let known = self.known.get(&line.connection).copied();
        let goes_on = known.is_some_and(|known| line.over || known.next[line.side] == line.offset);
        let mut reached = known.unwrap_or_default();
        if !goes_on {
            reached.next[line.side] = line.offset;
            reached.anew = reached.anew.wrapping_add(u32::from(known.is_some()));
            open(&mut bytes, line.at, opener, other, &reached);
        }
        let ends = if line.side == 0 {
            [opener, other]
        } else {
            [other, opener]
        };
        for part in line.bytes.chunks(SEGMENT) {
            let flags = Flags {
                ack: Some(reached.seq(1 - line.side)),
                ..Flags::default()
            };
            let packet = write::segment(ends[0], ends[1], reached.seq(line.side), flags, part);
            write::packet(&mut bytes, line.at, &packet, packet.len());
            reached.next[line.side] += part.len() as u64;
        }
        if line.over {
            for (side, [from, to]) in [[opener, other], [other, opener]].into_iter().enumerate() {
                let flags = Flags {
                    fin: true,
                    ack: Some(reached.seq(1 - side)),
                    ..Flags::default()
                };
                let packet = write::segment(from, to, reached.seq(side), flags, &[]);
                write::packet(&mut bytes, line.at, &packet, packet.len());
            }
            self.known.remove(&line.connection);
        } else {
            self.known.insert(line.connection, reached);
        }
        if let Some((_, written)) = &mut self.present {
            *written += bytes.len() as u64;
        }
        all.push(Do::Write(bytes));
        all
    }

    /// A new file; the oldest goes if there are too many.
    fn turn(&mut self, all: &mut Vec<Do>) {
        let page = self.next_page;
        self.next_page += 1;
        self.known.clear();
        self.present = Some((page, self.head.len() as u64));
        all.push(Do::Open(Page(page)));
        while self.next_page - self.oldest > self.limits.files.max(1) {
            all.push(Do::Remove(Page(self.oldest)));
            self.oldest += 1;
        }
        all.push(Do::Write(self.head.clone()));
    }

    /// The present file cannot be written further: what comes next goes to a new one.
    pub fn failed(&mut self) {
        self.present = None;
        self.known.clear();
    }
}

fn open(bytes: &mut Vec<u8>, at: u64, opener: End, other: End, reached: &Reached) {
    let before = [0, 1].map(|side| reached.seq(side).wrapping_sub(1));
    let syn = Flags {
        syn: true,
        ..Flags::default()
    };
    let packets = [
        write::segment(opener, other, before[0], syn, &[]),
        write::segment(
            other,
            opener,
            before[1],
            Flags {
                ack: Some(reached.seq(0)),
                ..syn
            },
            &[],
        ),
    ];
    packets
        .iter()
        .for_each(|packet| write::packet(bytes, at, packet, packet.len()));
}
