//! One connection of a replay.

use rainstand_protocol::ring::Ring;
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::HashMap;
use std::io;
use tokio::net::TcpStream;
use tokio::sync::Notify;

pub(super) struct ReplayConnection {
    /// Index of the schedule's connection that this one replays.
    pub(super) slot: usize,
    /// Empty until the connection is established.
    pub(super) stream: OnceCell<TcpStream>,
    /// Queued bytes that are not written to the socket yet.
    unsent_bytes: RefCell<Ring>,
    /// Calls without an answer, by sequence number.
    open_calls: RefCell<HashMap<i32, usize>>,
    /// Calls whose last byte is not written to the socket yet.
    unsent_calls: RefCell<Vec<usize>>,
    next_sequence_number: Cell<i32>,
    /// No new call may be sent: the other side sent `shutdown`, or the connection ended.
    retired: Cell<bool>,
    /// Notified when a flush leaves unsent bytes.
    wake: Notify,
}

/// The result of writing the queued bytes to the socket.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum FlushOutcome {
    AllSent,
    /// The socket's send buffer is full.
    Blocked,
    /// The connection is broken and the queued bytes are dropped; the connection's reader ends it.
    Broken,
    NotConnected,
}

impl ReplayConnection {
    pub(super) fn new(slot: usize) -> Self {
        Self {
            slot,
            stream: OnceCell::new(),
            unsent_bytes: RefCell::default(),
            open_calls: RefCell::default(),
            unsent_calls: RefCell::default(),
            next_sequence_number: Cell::new(1),
            retired: Cell::new(false),
            wake: Notify::new(),
        }
    }

    /// Returns the sequence number for the next call, and increments it.
    pub(super) fn take_sequence_number(&self) -> i32 {
        let number = self.next_sequence_number.get();
        self.next_sequence_number.set(number + 1);
        number
    }

    /// Queues a call's frame.
    pub(super) fn queue_call(&self, call: usize, sequence_number: i32, frame: &[u8]) {
        self.unsent_bytes.borrow_mut().put(frame);
        self.open_calls.borrow_mut().insert(sequence_number, call);
        self.unsent_calls.borrow_mut().push(call);
    }

    /// Queues a frame that is not answered.
    pub(super) fn queue_notice(&self, frame: &[u8]) {
        self.unsent_bytes.borrow_mut().put(frame);
    }

    /// Writes queued bytes until the socket would block; the rest stays queued.
    pub(super) fn flush(&self) -> FlushOutcome {
        let Some(stream) = self.stream.get() else {
            return FlushOutcome::NotConnected;
        };
        let mut unsent = self.unsent_bytes.borrow_mut();
        while !unsent.is_empty() {
            match stream.try_write(unsent.front()) {
                Ok(written) => unsent.drop_front(written),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return FlushOutcome::Blocked;
                }
                Err(_) => {
                    unsent.clear();
                    return FlushOutcome::Broken;
                }
            }
        }
        FlushOutcome::AllSent
    }

    /// Wakes the connection's task, so that it waits until the socket is writable.
    pub(super) fn wake(&self) {
        self.wake.notify_one();
    }

    /// Returns after [`Self::wake`].
    pub(super) async fn woken(&self) {
        self.wake.notified().await;
    }

    pub(super) fn has_unsent_bytes(&self) -> bool {
        !self.unsent_bytes.borrow().is_empty()
    }

    /// Removes and returns the calls in `unsent_calls`; called when all queued bytes are sent.
    pub(super) fn take_sent_calls(&self) -> Vec<usize> {
        std::mem::take(&mut *self.unsent_calls.borrow_mut())
    }

    /// The sequence number of a call without an answer.
    pub(super) fn sequence_number_of(&self, call: usize) -> Option<i32> {
        let open_calls = self.open_calls.borrow();
        let found = open_calls.iter().find(|(_, open)| **open == call);
        found.map(|(sequence_number, _)| *sequence_number)
    }

    /// Removes and returns the call that an answer with this sequence number belongs to.
    pub(super) fn remove_call(&self, sequence_number: i32) -> Option<usize> {
        self.open_calls.borrow_mut().remove(&sequence_number)
    }

    /// Removes and returns the calls without an answer.
    pub(super) fn take_open_calls(&self) -> Vec<usize> {
        let mut open_calls = self.open_calls.borrow_mut();
        open_calls.drain().map(|(_, call)| call).collect()
    }

    pub(super) fn has_open_calls(&self) -> bool {
        !self.open_calls.borrow().is_empty()
    }

    /// Stops sending new calls on this connection.
    pub(super) fn retire(&self) {
        self.retired.set(true);
    }

    pub(super) fn is_retired(&self) -> bool {
        self.retired.get()
    }
}
