//! The queue of frames to be written to one peer.
//!
//! At most `max_bytes` are queued. A frame that would exceed this limit, or that is sent while the link is closed, is
//! dropped and counted, as on any network.

use crate::framing::with_length_prefix;
use prost::Message as _;
use rainstand_replicated_state::frames::Frame;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use tokio::sync::Notify;

/// Bytes that may be queued for another member: several chunks of snapshots.
const MAX_QUEUED_BYTES: usize = 4 << 20;

/// The queue and the counters of one link.
pub struct Outbox {
    max_bytes: usize,
    is_open: Cell<bool>,
    frames: RefCell<VecDeque<Vec<u8>>>,
    queued_bytes: Cell<usize>,
    wakeup: Notify,
    sent_bytes: Cell<u64>,
    dropped_frames: Cell<u64>,
}

impl Default for Outbox {
    fn default() -> Self {
        Self::with_capacity(MAX_QUEUED_BYTES)
    }
}

impl Outbox {
    /// A closed outbox that queues at most `max_bytes`.
    pub fn with_capacity(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            is_open: Cell::default(),
            frames: RefCell::default(),
            queued_bytes: Cell::default(),
            wakeup: Notify::new(),
            sent_bytes: Cell::default(),
            dropped_frames: Cell::default(),
        }
    }

    /// Opens the outbox: frames sent from now on are queued.
    pub fn open(&self) {
        self.is_open.set(true);
    }

    /// Closes the outbox: drops the queued frames and all frames sent from now on.
    pub fn close(&self) {
        self.is_open.set(false);
        self.frames.borrow_mut().clear();
        self.queued_bytes.set(0);
    }

    /// Queues a frame, or drops and counts it.
    pub fn send(&self, frame: &Frame) {
        self.send_bytes(with_length_prefix(&frame.encode_to_vec()));
    }

    /// Queues bytes without adding a length prefix, or drops and counts them as one frame.
    pub fn send_bytes(&self, bytes: Vec<u8>) {
        if !self.is_open.get() || self.queued_bytes.get() + bytes.len() > self.max_bytes {
            self.dropped_frames.set(self.dropped_frames.get() + 1);
            return;
        }
        self.queued_bytes.set(self.queued_bytes.get() + bytes.len());
        self.frames.borrow_mut().push_back(bytes);
        self.wakeup.notify_one();
    }

    /// Bytes written to the link since the start.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.get()
    }

    /// Frames dropped since the start.
    pub fn dropped_frames(&self) -> u64 {
        self.dropped_frames.get()
    }

    pub(crate) fn next(&self) -> Option<Vec<u8>> {
        let frame = self.frames.borrow_mut().pop_front()?;
        self.queued_bytes.set(self.queued_bytes.get() - frame.len());
        Some(frame)
    }

    /// Wakes the writing task.
    pub(crate) fn notify(&self) {
        self.wakeup.notify_one();
    }

    /// Waits until something is queued or [`Outbox::notify`] is called.
    pub(crate) async fn notified(&self) {
        self.wakeup.notified().await;
    }

    pub(crate) fn add_sent(&self, bytes: usize) {
        self.sent_bytes.set(self.sent_bytes.get() + bytes as u64);
    }
}
