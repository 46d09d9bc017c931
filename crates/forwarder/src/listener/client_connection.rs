//! The shared state of a client connection: queued answers, open requests and idleness.

use super::delivery::UndeliveredFrames;
use crate::socket::flush;
use foldhash::{HashMap, HashMapExt};
use rainstand_protocol::ring::Ring;
use std::cell::{Cell, RefCell};
use std::io;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// A client connection; its socket is owned by the task that serves it.
pub(crate) struct ClientConnection {
    outbound: RefCell<Ring>,
    undelivered: RefCell<UndeliveredFrames>,
    wake: Notify,
    /// Ids of requests in flight, by the client's sequence number.
    pub(crate) open_requests: RefCell<HashMap<i32, u64>>,
    has_sent_call: Cell<bool>,
    accepted_at: Instant,
    /// Bytes were received since the last scan of [`crate::connection_limits`].
    active_since_scan: Cell<bool>,
    /// The connection is to close, to free its file descriptor.
    evicted: Cell<bool>,
    /// Nothing more is read, because the forwarder shuts down.
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

    /// Queues a frame that is not the final answer to a call.
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

    /// Queued bytes that are not written yet.
    pub(super) fn unwritten_bytes(&self) -> usize {
        self.outbound.borrow().len()
    }

    /// Writes as much as the socket accepts without blocking.
    pub(super) fn flush(&self, stream: &TcpStream) -> io::Result<()> {
        let result = flush(&self.outbound, stream);
        let unwritten = self.unwritten_bytes();
        self.undelivered.borrow_mut().prune(stream, unwritten);
        result
    }

    /// Whether a frame was ever queued.
    pub(super) fn has_queued_any_frame(&self) -> bool {
        self.undelivered.borrow().queued_bytes() > 0
    }

    /// Number of answers that have not reached the client.
    pub(super) fn undelivered_answers(&self, stream: &TcpStream) -> u64 {
        let unwritten = self.unwritten_bytes();
        let mut undelivered = self.undelivered.borrow_mut();
        undelivered.count_answers(stream, unwritten)
    }

    /// Drops queued frames of which nothing is written yet, so that the stream ends at a frame boundary.
    pub(super) fn drop_unstarted_frames(&self) {
        let mut undelivered = self.undelivered.borrow_mut();
        let mut outbound = self.outbound.borrow_mut();
        let dropped = undelivered.unstarted_bytes(outbound.len());
        let retained = outbound.len() - dropped;
        outbound.truncate(retained);
        undelivered.on_dropped(dropped);
    }

    /// Completes when a frame is queued, the connection is evicted, or reading is stopped.
    pub(super) async fn woken(&self) {
        self.wake.notified().await;
    }

    /// Whether a well-formed call or probe was ever received.
    pub(crate) fn has_sent_call(&self) -> bool {
        self.has_sent_call.get()
    }

    pub(super) fn on_call(&self) {
        self.has_sent_call.set(true);
    }

    /// Whether a request of this connection has no answer yet.
    pub(super) fn has_open_requests(&self) -> bool {
        !self.open_requests.borrow().is_empty()
    }

    /// Time since it was accepted.
    pub(crate) fn age(&self) -> Duration {
        self.accepted_at.elapsed()
    }

    pub(super) fn on_bytes_read(&self) {
        self.active_since_scan.set(true);
    }

    /// Whether bytes were received since the last call of this function.
    pub(crate) fn take_activity(&self) -> bool {
        self.active_since_scan.take()
    }

    /// Whether it can be evicted: no request is open, all answers are written, and no eviction is pending.
    pub(crate) fn is_idle(&self) -> bool {
        !self.has_open_requests() && self.is_flushed() && !self.evicted.get()
    }

    /// Requests that the connection closes, provided that no answer is pending.
    pub(crate) fn evict(&self) {
        self.evicted.set(true);
        self.wake.notify_one();
    }

    /// Stops reading: queued frames are still written, then the connection is closed.
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

    /// Withdraws an eviction, and returns whether one was pending.
    pub(crate) fn clear_eviction(&self) -> bool {
        self.evicted.take()
    }
}
