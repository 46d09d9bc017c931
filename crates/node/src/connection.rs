//! A dispatcher's connection: the state that all parts of the node may see of it. No I/O happens here: the task in
//! [`crate::connections`] that serves it moves the bytes.

use crate::socket_buffer::Ring;
use crate::thrift;

use rainstand_traffic_recorder::{ConnectionRecorder, Side};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Reason codes of a connection's end, as they stand in log lines and in the `ends` counters.
pub mod close_reason {
    /// Evicted, as connections or calls needed its place.
    pub const CAPACITY: &str = "room";
    /// Evicted at once, as the node itself had no descriptor left.
    pub const DESCRIPTORS: &str = "descriptors";
    /// Closed as it was accepted: all connections were in use.
    pub const FULL: &str = "full";
    /// Its dispatcher did not close it after `shutdown`.
    pub const IDLE: &str = "idle";
    /// Closed at the end of a drain.
    pub const DRAIN: &str = "drain";
    /// Still open as the process had to end.
    pub const KILL: &str = "kill";
    /// Its answers were not read.
    pub const UNREAD: &str = "unread";
    /// The task that served it panicked.
    pub const PANIC: &str = "panic";
    /// Reading or writing failed.
    pub const RESET: &str = "reset";
    /// The other side ended it between two frames.
    pub const END_OF_STREAM: &str = "eof";
    /// The other side ended it within a frame.
    pub const END_IN_FRAME: &str = "eof_in_frame";
    /// No frame was begun in time.
    pub const SILENT: &str = "silent";
    /// A frame was begun and not completed in time.
    pub const HALF_A_FRAME: &str = "half_a_frame";

    /// Whether a connection is closed for this reason even while answers are pending on it.
    #[must_use]
    pub fn is_unconditional(code: &str) -> bool {
        code == UNREAD || code == KILL
    }
}

/// A dispatcher's connection.
pub struct Connection {
    /// Its number among all connections that were accepted, from 1.
    pub id: u64,
    /// The dispatcher's address.
    pub peer: SocketAddr,
    /// Read and written by the task that serves it only.
    pub stream: TcpStream,
    /// Where its traffic is recorded, if it is.
    pub recording: Option<ConnectionRecorder>,
    /// Answers that are not written yet.
    pub outgoing: RefCell<Ring>,
    /// Wakes the task that serves it.
    pub wakeup: Notify,
    /// Indices of the requests that wait for an answer on it, by sequence number.
    pub open_requests: RefCell<BTreeMap<i32, usize>>,
    /// A probe or a request on it was answered with more than an error.
    pub is_known: Cell<bool>,
    /// Messages on it that were answered with an exception.
    pub exceptions: Cell<u64>,
    /// When bytes last moved on it.
    pub last_activity: Cell<Instant>,
    /// When `shutdown` was sent on it: nothing new is wanted.
    pub shutdown_sent_at: Cell<Option<Instant>>,
    /// It is to be closed, for this [`close_reason`].
    pub close_reason: Cell<Option<&'static str>>,
    /// Nothing more is read from it or pending on it: it only waits for the other side's end.
    pub closing: Cell<bool>,
}

impl Connection {
    /// A connection that was just accepted.
    #[must_use]
    pub fn new(
        id: u64,
        peer: SocketAddr,
        stream: TcpStream,
        recording: Option<ConnectionRecorder>,
    ) -> Self {
        Self {
            id,
            peer,
            stream,
            recording,
            outgoing: RefCell::default(),
            wakeup: Notify::new(),
            open_requests: RefCell::default(),
            is_known: Cell::new(false),
            exceptions: Cell::new(0),
            last_activity: Cell::new(Instant::now()),
            shutdown_sent_at: Cell::new(None),
            close_reason: Cell::new(None),
            closing: Cell::new(false),
        }
    }

    /// Queues a frame; the task that serves the connection writes it.
    pub fn send(&self, frame: &[u8]) {
        if let Some(recording) = &self.recording {
            recording.record(Side::Server, frame);
        }
        self.outgoing.borrow_mut().put(frame);
        self.wakeup.notify_one();
    }

    /// Whether no answer is pending on it, written or not.
    pub fn is_idle(&self) -> bool {
        self.open_requests.borrow().is_empty() && self.outgoing.borrow().is_empty()
    }

    /// Asks the dispatcher, once, to use it no more.
    pub fn send_shutdown(&self) {
        if self.shutdown_sent_at.get().is_none() && !self.closing.get() {
            self.shutdown_sent_at.set(Some(Instant::now()));
            self.send(&thrift::shutdown());
        }
    }

    /// Asks the task that serves it to close it, for this [`close_reason`].
    pub fn close_with(&self, code: &'static str) {
        self.close_reason.set(Some(code));
        self.wakeup.notify_one();
    }
}
