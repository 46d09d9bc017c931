//! A client's connection: its state that all parts of the node may see. No I/O is done here: the task in
//! [`crate::connections`] that serves the connection reads and writes.

use crate::socket_buffer::Ring;
use crate::thrift;

use rainstand_traffic_recorder::{ConnectionRecorder, Side};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Reason codes of a connection's end, as written in log lines and in the `ends` counters.
pub mod close_reason {
    /// Evicted to make capacity for connections or calls.
    pub const CAPACITY: &str = "room";
    /// Evicted immediately, as the node itself had no descriptor left.
    pub const DESCRIPTORS: &str = "descriptors";
    /// Closed when accepted: all connections were in use.
    pub const FULL: &str = "full";
    /// The client did not close it after `shutdown`.
    pub const IDLE: &str = "idle";
    /// Closed at the end of a drain.
    pub const DRAIN: &str = "drain";
    /// Still open when the process had to exit.
    pub const KILL: &str = "kill";
    /// The client did not read its answers.
    pub const UNREAD: &str = "unread";
    /// The task that served it panicked.
    pub const PANIC: &str = "panic";
    /// Reading or writing failed.
    pub const RESET: &str = "reset";
    /// The peer ended it between two frames.
    pub const END_OF_STREAM: &str = "eof";
    /// The peer ended it within a frame.
    pub const END_IN_FRAME: &str = "eof_in_frame";
    /// No frame was started in time.
    pub const SILENT: &str = "silent";
    /// A frame was started but not completed in time.
    pub const PARTIAL_FRAME: &str = "half_a_frame";

    /// Whether a connection is closed for this reason even while answers are pending on it.
    #[must_use]
    pub fn is_unconditional(code: &str) -> bool {
        code == UNREAD || code == KILL
    }
}

/// A client's connection.
pub struct Connection {
    /// Its number among all accepted connections, from 1.
    pub id: u64,
    /// The client's address.
    pub peer: SocketAddr,
    /// Read and written only by the task that serves the connection.
    pub stream: TcpStream,
    /// Records its traffic, if recording is on.
    pub recording: Option<ConnectionRecorder>,
    /// Answers not written yet.
    pub outgoing: RefCell<Ring>,
    /// Wakes the task that serves the connection.
    pub wakeup: Notify,
    /// Indices of unanswered requests, by sequence number.
    pub open_requests: RefCell<BTreeMap<i32, usize>>,
    /// Whether a probe or a request on it was ever answered with more than an error.
    pub has_served: Cell<bool>,
    /// Number of messages answered with an exception.
    pub exceptions: Cell<u64>,
    /// When bytes were last read or written.
    pub last_activity: Cell<Instant>,
    /// When `shutdown` was sent, which asks the client to send nothing new.
    pub shutdown_sent_at: Cell<Option<Instant>>,
    /// Set if it is to be closed, to one of the codes of [`close_reason`].
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
            has_served: Cell::new(false),
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

    /// Whether no request is unanswered and no answer is unwritten.
    pub fn is_idle(&self) -> bool {
        self.open_requests.borrow().is_empty() && self.outgoing.borrow().is_empty()
    }

    /// Asks the client, once, to stop using the connection.
    pub fn send_shutdown(&self) {
        if self.shutdown_sent_at.get().is_none() && !self.closing.get() {
            self.shutdown_sent_at.set(Some(Instant::now()));
            self.send(&thrift::shutdown());
        }
    }

    /// Asks the task that serves the connection to close it with this code of [`close_reason`].
    pub fn close_with(&self, code: &'static str) {
        self.close_reason.set(Some(code));
        self.wakeup.notify_one();
    }
}
