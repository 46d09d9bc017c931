//! Counters of a recording.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

/// Counters since the start, readable at any time from any thread. What is lost is not in the files.
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
    /// Files removed because there were too many.
    pub removed: AtomicU64,
    /// Failures of the disk.
    pub errors: AtomicU64,
    /// Bytes of the messages that wait in the queue.
    pub(crate) queued_bytes: AtomicUsize,
}

impl Counters {
    /// All of them as the counters line of a program has them.
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
