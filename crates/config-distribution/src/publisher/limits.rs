//! Resource limits of a publisher.

/// Limits of one config server. The defaults are derived in `docs/design/control.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PublisherLimits {
    /// Subscribers that are attached at the same time.
    pub max_subscribers: usize,
    /// Attachments that are accepted in a second, in the long run; at least 1.
    pub attachments_per_second: u32,
    /// Attachments that are accepted at once, beyond that rate.
    pub attachment_burst: u32,
    /// Deltas in the history.
    pub max_history_entries: usize,
    /// Encoded size of the history in bytes.
    pub max_history_bytes: usize,
    /// Largest frame with a delta, in bytes; instead of a larger one, a snapshot is sent.
    pub max_delta_bytes: usize,
    /// Size of a snapshot chunk in bytes.
    pub chunk_bytes: usize,
    /// Unacknowledged snapshot chunks for one subscriber.
    pub window_chunks: usize,
}

impl Default for PublisherLimits {
    fn default() -> Self {
        Self {
            // A fleet of 630 with headroom: one server must be able to serve all when five have failed.
            max_subscribers: 1024,
            // The whole fleet in 6.3 s. Of the 17 s in which a change must arrive, 5 s go to the detection of a failed
            // server and 2 s to the jitter of reconnections.
            attachments_per_second: 100,
            attachment_burst: 20,
            // One and a half days of changes.
            max_history_entries: 4096,
            max_history_bytes: 4 << 20,
            max_delta_bytes: 64 << 10,
            chunk_bytes: 8 << 10,
            window_chunks: 4,
        }
    }
}
