//! Counters of a recording.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

/// Counters since the start of the recording, readable at any time from any thread. Files lack the lost messages.
#[derive(Debug, Default)]
pub struct Counters {
    /// Messages that the writer took from the queue.
    pub messages: AtomicU64,
    /// Messages lost because the queue was full.
    pub lost_queue: AtomicU64,
    /// Messages lost because the disk failed.
    pub lost_disk: AtomicU64,
    /// Files created.
    pub files: AtomicU64,
    /// Files removed because the limit on the number of files was exceeded.
    pub removed: AtomicU64,
    /// Disk failures.
    pub errors: AtomicU64,
    /// Bytes of the messages in the queue.
    pub(crate) queued_bytes: AtomicUsize,
}

impl Counters {
    /// The public counters in the format of a program's counters line.
    pub fn line(&self) -> String {
        let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
        format!(
            "messages={} lost_queue={} lost_disk={} files={} removed={} errors={}",
            read(&self.messages),
            read(&self.lost_queue),
            read(&self.lost_disk),
            read(&self.files),
            read(&self.removed),
            read(&self.errors)
        )
    }
}
