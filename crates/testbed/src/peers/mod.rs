//! Test peers that run as separate processes: the agent of one node, and a caller. Both write their observations as
//! lines of a history.

pub mod agent;
pub mod caller;

use crate::history::HistoryLine;
use rustix::time::{clock_gettime, ClockId};
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;

/// Nanoseconds of the system's monotonic clock, which all processes of one run share.
pub fn now() -> u64 {
    let at = clock_gettime(ClockId::Monotonic);
    at.tv_sec.cast_unsigned() * 1_000_000_000 + at.tv_nsec.cast_unsigned()
}

/// Digest that represents a body in a history.
pub fn hash(bytes: &[u8]) -> String {
    format!("{:016x}", twox_hash::XxHash3_64::oneshot(bytes))
}

/// Writes one part of a history. Each line is written before the recorded operation continues.
pub struct HistoryWriter {
    file: File,
    observer: String,
}

impl HistoryWriter {
    /// Opens a part for lines of this observer and appends to existing lines.
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
    /// If the line cannot be written: an incomplete history proves nothing.
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

/// Value of a field in a body such as `key=K;v=1`.
pub fn body_field<'a>(body: &'a str, name: &str) -> Option<&'a str> {
    body.split(';')
        .find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
}
