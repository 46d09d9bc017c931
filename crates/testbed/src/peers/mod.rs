//! Stand-ins that run as processes of their own: the agent of one node, and a caller. Both write what they see as
//! lines of a history.

pub mod agent;
pub mod caller;

use crate::history::HistoryLine;
use rustix::time::{clock_gettime, ClockId};
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;

/// Nanoseconds on the machine's clock that never goes back: all processes of one run read the same.
pub fn now() -> u64 {
    let at = clock_gettime(ClockId::Monotonic);
    at.tv_sec.cast_unsigned() * 1_000_000_000 + at.tv_nsec.cast_unsigned()
}

/// A body as a history names it.
pub fn hash(bytes: &[u8]) -> String {
    format!("{:016x}", twox_hash::XxHash3_64::oneshot(bytes))
}

/// A part of a history: each line is written before what it is about goes on.
pub struct HistoryWriter {
    file: File,
    observer: String,
}

impl HistoryWriter {
    /// Opens a part for lines of this observer; lines that are there stay.
    ///
    /// # Errors
    /// If the file cannot be written.
    pub fn open(path: &Path, observer: &str) -> io::Result<Self> {
        Ok(Self {
            file: OpenOptions::new().create(true).append(true).open(path)?,
            observer: observer.to_owned(),
        })
    }

    /// Writes a line with its operation and this observer.
    ///
    /// # Panics
    /// If the line cannot be written: a history with holes proves nothing.
    pub fn write(&mut self, operation: &str, line: HistoryLine) {
        let line = HistoryLine {
            observer: self.observer.clone(),
            operation: operation.to_owned(),
            ..line
        };
        let mut text = serde_json::to_vec(&line).expect("a line of plain fields");
        text.push(b'\n');
        self.file.write_all(&text).expect("a line of the history");
    }
}

/// The field of a body such as `key=K;v=1`.
pub fn body_field<'a>(body: &'a str, name: &str) -> Option<&'a str> {
    body.split(';')
        .find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
}
