//! A dispatcher's connection: the state that all parts of the node may see of it.

use crate::socket_buffer::Ring;
use crate::thrift;
use rainstand_traffic_recorder::Tape;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// A dispatcher's connection: what all parts of the node may see of it.
pub struct Connection {
    pub id: u64,
    pub peer: SocketAddr,
    pub stream: TcpStream,
    /// Where its traffic is recorded, if it is.
    pub recording: Option<Tape>,
    pub outgoing: RefCell<Ring>,
    /// Wakes the task that serves it.
    pub wakeup: Notify,
    /// Tickets that wait for an answer on it, by sequence number.
    pub open_requests: RefCell<BTreeMap<i32, usize>>,
    /// A probe or a ticket on it got more than an error, so it is no stranger's.
    pub is_known: Cell<bool>,
    /// Messages on it that got an exception.
    pub exceptions: Cell<u64>,
    /// When bytes last moved on it.
    pub last_activity: Cell<Instant>,
    /// Told that nothing new is wanted on it, and when.
    pub shutdown_sent_at: Cell<Option<Instant>>,
    /// It is to be closed, for this reason.
    pub close_reason: Cell<Option<&'static str>>,
    /// Nothing more is taken from it or owed on it: it only waits for the other side's end.
    pub closing: Cell<bool>,
}

impl Connection {
    pub fn new(id: u64, peer: SocketAddr, stream: TcpStream, tape: Option<Tape>) -> Self {
        Self {
            id,
            peer,
            stream,
            recording: tape,
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

    pub fn send(&self, frame: &[u8]) {
        if let Some(tape) = &self.recording {
            tape.said(1, frame);
        }
        self.outgoing.borrow_mut().put(frame);
        self.wakeup.notify_one();
    }

    /// Whether nothing is owed on it, written or not.
    pub fn is_idle(&self) -> bool {
        self.open_requests.borrow().is_empty() && self.outgoing.borrow().is_empty()
    }

    /// Asks the dispatcher to use it no more.
    pub fn send_shutdown(&self) {
        if self.shutdown_sent_at.get().is_none() && !self.closing.get() {
            self.shutdown_sent_at.set(Some(Instant::now()));
            self.send(&thrift::shutdown());
        }
    }

    pub fn close_with(&self, code: &'static str) {
        self.close_reason.set(Some(code));
        self.wakeup.notify_one();
    }
}
