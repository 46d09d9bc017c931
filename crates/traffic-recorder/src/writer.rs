//! The writer thread: takes messages from the queue and carries out what [`Rotation`] decides, one file at a time.
//!
//! A failure of the disk costs records, never the program: the current file is left, and after [`DISK_BACKOFF`] the next
//! message begins a new one.

use crate::counters::Counters;
use crate::file_store::FileStore;
use crate::rotation::{FileAction, FileNumber, RecordedMessage, Rotation};
use crate::MAX_QUEUED_MESSAGES;
use std::io::{self, Write};
use std::sync::atomic::Ordering;
use std::sync::mpsc::{Receiver, TryRecvError};
use std::time::{Duration, Instant};

/// Between polls of an empty queue: a wake-up for each message would slow down every request.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The same after a poll that found at least [`BUSY_BATCH`] messages.
const BUSY_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Messages in one poll from which the queue counts as busy.
const BUSY_BATCH: usize = MAX_QUEUED_MESSAGES / 8;
/// Between flushes of the current file.
const FLUSH_INTERVAL: Duration = Duration::from_millis(500);
/// After a failure of the disk, until it is used again.
const DISK_BACKOFF: Duration = Duration::from_secs(1);

/// The state of the writer thread.
pub(crate) struct Writer<'counters, S> {
    store: S,
    rotation: Rotation,
    counters: &'counters Counters,
    file: Option<Box<dyn Write>>,
    flushed_at: Instant,
    retry_at: Option<Instant>,
}

impl<'counters, S: FileStore> Writer<'counters, S> {
    /// A writer that has created no file yet.
    pub(crate) fn new(store: S, rotation: Rotation, counters: &'counters Counters) -> Self {
        Self {
            store,
            rotation,
            counters,
            file: None,
            flushed_at: Instant::now(),
            retry_at: None,
        }
    }

    /// Writes until the queue is closed and empty.
    pub(crate) fn run(mut self, queue: &Receiver<RecordedMessage>) {
        let mut batch = 0;
        loop {
            match queue.try_recv() {
                Ok(message) => {
                    batch += 1;
                    if !self.on_message(&message) {
                        continue;
                    }
                }
                Err(TryRecvError::Empty) => {
                    std::thread::sleep(poll_interval(batch));
                    batch = 0;
                }
                Err(TryRecvError::Disconnected) => break,
            }
            if batch.is_multiple_of(BUSY_BATCH) {
                self.flush_if_due();
            }
        }
        if let Some(mut file) = self.file {
            // What the disk does not take at the very end is lost.
            let _ = file.flush();
        }
    }

    /// Writes one message; whether the disk was used, and not left alone after a failure.
    fn on_message(&mut self, message: &RecordedMessage) -> bool {
        let counters = self.counters;
        counters
            .queued_bytes
            .fetch_sub(message.bytes.len(), Ordering::Relaxed);
        counters.messages.fetch_add(1, Ordering::Relaxed);
        if self.retry_at.is_some_and(|at| Instant::now() < at) {
            counters.lost_disk.fetch_add(1, Ordering::Relaxed);
            return false;
        }
        self.retry_at = None;
        let actions = self.rotation.on_message(message);
        let done = actions
            .into_iter()
            .try_for_each(|action| self.carry_out(action));
        if done.is_err() {
            counters.lost_disk.fetch_add(1, Ordering::Relaxed);
            self.on_failure();
        }
        true
    }

    fn carry_out(&mut self, action: FileAction) -> io::Result<()> {
        match action {
            FileAction::Open(FileNumber(number)) => {
                self.file = Some(self.store.create(number)?);
                self.counters.files.fetch_add(1, Ordering::Relaxed);
                Ok(())
            }
            FileAction::Remove(FileNumber(number)) => {
                // One that is gone already is no failure of the recording.
                if self.store.remove(number).is_ok() {
                    self.counters.removed.fetch_add(1, Ordering::Relaxed);
                }
                Ok(())
            }
            FileAction::Write(bytes) => match &mut self.file {
                Some(file) => file.write_all(&bytes),
                None => Err(io::ErrorKind::NotFound.into()),
            },
        }
    }

    fn flush_if_due(&mut self) {
        if self.flushed_at.elapsed() < FLUSH_INTERVAL {
            return;
        }
        self.flushed_at = Instant::now();
        if self.file.as_mut().is_some_and(|file| file.flush().is_err()) {
            self.on_failure();
        }
    }

    fn on_failure(&mut self) {
        self.counters.errors.fetch_add(1, Ordering::Relaxed);
        self.file = None;
        self.rotation.on_failure();
        self.retry_at = Some(Instant::now() + DISK_BACKOFF);
    }
}

/// How long the queue rests after a poll that found `batch` messages.
fn poll_interval(batch: usize) -> Duration {
    if batch >= BUSY_BATCH {
        BUSY_POLL_INTERVAL
    } else {
        POLL_INTERVAL
    }
}
