//! The writer thread: takes messages from the queue and executes the actions of [`Rotation`], one file at a time.
//!
//! A disk failure loses messages but does not affect the program: the current file is abandoned, and after
//! [`DISK_BACKOFF`] the next message starts a new one.

use crate::counters::Counters;
use crate::file_store::FileStore;
use crate::rotation::{FileAction, FileNumber, RecordedMessage, Rotation};
use crate::MAX_QUEUED_MESSAGES;
use std::io::{self, Write};
use std::sync::atomic::Ordering;
use std::sync::mpsc::{Receiver, TryRecvError};
use std::time::{Duration, Instant};

/// Interval between polls of an empty queue; waking the writer for each message would slow down every request.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Interval after a poll that found at least [`BUSY_BATCH`] messages.
const BUSY_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Minimum number of messages in one poll for the queue to count as busy.
const BUSY_BATCH: usize = MAX_QUEUED_MESSAGES / 8;
/// Minimum interval between flushes of the current file.
const FLUSH_INTERVAL: Duration = Duration::from_millis(500);
/// Delay after a disk failure before the disk is used again.
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
    /// Creates a writer without a file.
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
            // Data that cannot be flushed at the end of the recording is lost.
            let _ = file.flush();
        }
    }

    /// Writes one message. Returns `false` if the message was dropped during the backoff after a disk failure.
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
        let result = actions
            .into_iter()
            .try_for_each(|action| self.execute(action));
        if result.is_err() {
            counters.lost_disk.fetch_add(1, Ordering::Relaxed);
            self.on_failure();
        }
        true
    }

    fn execute(&mut self, action: FileAction) -> io::Result<()> {
        match action {
            FileAction::Open(FileNumber(number)) => {
                self.file = Some(self.store.create(number)?);
                self.counters.files.fetch_add(1, Ordering::Relaxed);
                Ok(())
            }
            FileAction::Remove(FileNumber(number)) => {
                // A file that was already removed is not an error.
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

/// Delay before the next poll, after one that found `batch` messages.
fn poll_interval(batch: usize) -> Duration {
    if batch >= BUSY_BATCH {
        BUSY_POLL_INTERVAL
    } else {
        POLL_INTERVAL
    }
}
