//! A client's connection as the rest of the forwarder sees it: where answers go, and whether it is idle.

use super::delivery::UndeliveredFrames;
use crate::socket::flush;
use foldhash::{HashMap, HashMapExt};
use rainstand_protocol::ring::Ring;
use std::cell::{Cell, RefCell};
use std::io;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// A client's connection; its socket belongs to the task that serves it.
pub(crate) struct ClientConnection {
    outbound: RefCell<Ring>,
    undelivered: RefCell<UndeliveredFrames>,
    wake: Notify,
    /// Ids of the requests in flight, by the client's sequence number.
    pub(crate) open_requests: RefCell<HashMap<i32, u64>>,
    has_sent_call: Cell<bool>,
    accepted_at: Instant,
    /// It sent something since [`crate::connection_limits`] looked at it last.
    active_since_scan: Cell<bool>,
    /// It was asked to close, to make its descriptor free.
    evicted: Cell<bool>,
    /// Nothing more is read from it, as the forwarder ends.
    reading_stopped: Cell<bool>,
}

impl ClientConnection {
    pub(super) fn new() -> Self {
        Self {
            outbound: RefCell::default(),
            undelivered: RefCell::default(),
            wake: Notify::new(),
            open_requests: RefCell::new(HashMap::new()),
            has_sent_call: Cell::new(false),
            accepted_at: Instant::now(),
            active_since_scan: Cell::new(false),
            evicted: Cell::new(false),
            reading_stopped: Cell::new(false),
        }
    }

    /// Queues the final answer to a call.
    pub(crate) fn send_answer(&self, frame: &[u8]) {
        self.queue(frame, true);
    }

    /// Queues a frame that answers no call.
    pub(crate) fn send_notice(&self, frame: &[u8]) {
        self.queue(frame, false);
    }

    fn queue(&self, frame: &[u8], is_answer: bool) {
        self.outbound.borrow_mut().put(frame);
        self.undelivered
            .borrow_mut()
            .on_queued(frame.len(), is_answer);
        self.wake.notify_one();
    }

    /// Whether every queued frame is written.
    pub(crate) fn is_flushed(&self) -> bool {
        self.outbound.borrow().is_empty()
    }

    /// Bytes that wait to be written.
    pub(super) fn unwritten_bytes(&self) -> usize {
        self.outbound.borrow().len()
    }

    /// Writes what the socket takes without waiting.
    pub(super) fn flush(&self, stream: &TcpStream) -> io::Result<()> {
        let result = flush(&self.outbound, stream);
        let unwritten = self.unwritten_bytes();
        self.undelivered.borrow_mut().prune(stream, unwritten);
        result
    }

    /// Whether a frame was ever queued on it.
    pub(super) fn was_sent_anything(&self) -> bool {
        self.undelivered.borrow().queued_bytes() > 0
    }

    /// Answers that have not reached the client.
    pub(super) fn undelivered_answers(&self, stream: &TcpStream) -> u64 {
        let unwritten = self.unwritten_bytes();
        let mut undelivered = self.undelivered.borrow_mut();
        undelivered.count_answers(stream, unwritten)
    }

    /// Takes back the frames that the system took nothing of, so that the stream ends between two frames.
    pub(super) fn drop_unbegun_frames(&self) {
        let mut undelivered = self.undelivered.borrow_mut();
        let mut outbound = self.outbound.borrow_mut();
        let dropped = undelivered.unbegun_bytes(outbound.len());
        let kept = outbound.len() - dropped;
        outbound.truncate(kept);
        undelivered.on_dropped(dropped);
    }

    /// Completes when there is something to be written, or when the connection is evicted.
    pub(super) async fn woken(&self) {
        self.wake.notified().await;
    }

    /// Whether a well-formed call or probe ever came on it.
    pub(crate) fn has_sent_call(&self) -> bool {
        self.has_sent_call.get()
    }

    pub(super) fn on_call(&self) {
        self.has_sent_call.set(true);
    }

    /// Whether a request that came on it has no answer yet.
    pub(super) fn has_open_requests(&self) -> bool {
        !self.open_requests.borrow().is_empty()
    }

    /// How long ago it was accepted.
    pub(crate) fn age(&self) -> Duration {
        self.accepted_at.elapsed()
    }

    pub(super) fn on_bytes_read(&self) {
        self.active_since_scan.set(true);
    }

    /// Whether anything came since this was asked last.
    pub(crate) fn take_activity(&self) -> bool {
        self.active_since_scan.take()
    }

    /// Whether it can be evicted: no answer is owed on it, and it was not evicted yet.
    pub(crate) fn is_idle(&self) -> bool {
        !self.has_open_requests() && self.is_flushed() && !self.evicted.get()
    }

    /// Asks it to close as soon as nothing is owed on it.
    pub(crate) fn evict(&self) {
        self.evicted.set(true);
        self.wake.notify_one();
    }

    /// Ends reading: what is queued is written, and the connection closed.
    pub(crate) fn stop_reading(&self) {
        self.reading_stopped.set(true);
        self.wake.notify_one();
    }

    pub(super) fn is_reading_stopped(&self) -> bool {
        self.reading_stopped.get()
    }

    pub(super) fn is_evicted(&self) -> bool {
        self.evicted.get()
    }

    /// Withdraws an eviction; whether there was one.
    pub(crate) fn clear_eviction(&self) -> bool {
        self.evicted.take()
    }
}
