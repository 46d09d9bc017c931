//! One connection of a replay, from its opening to its end.

use rainstand_protocol::ring::Ring;
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::HashMap;
use std::io;
use tokio::net::TcpStream;
use tokio::sync::Notify;

pub(super) struct ReplayConnection {
    /// Which of the schedule's connections it plays.
    pub(super) slot: usize,
    /// Empty until it is connected.
    pub(super) stream: OnceCell<TcpStream>,
    /// Bytes that the socket did not take yet.
    unsent_bytes: RefCell<Ring>,
    /// Calls without an answer, by sequence number.
    open_calls: RefCell<HashMap<i32, usize>>,
    /// Calls whose last byte is not sent.
    unsent_calls: RefCell<Vec<usize>>,
    next_sequence_number: Cell<i32>,
    /// The other side wants nothing new here, or it is broken.
    retired: Cell<bool>,
    /// There are bytes that the socket did not take.
    wake: Notify,
}

/// Whether everything queued was sent.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum FlushOutcome {
    AllSent,
    /// The socket takes no more now.
    Blocked,
    /// The connection is broken, and what was queued is dropped: its reader ends it.
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

    /// The number of the next call on this connection.
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

    /// Queues a frame that has no answer.
    pub(super) fn queue_notice(&self, frame: &[u8]) {
        self.unsent_bytes.borrow_mut().put(frame);
    }

    /// Writes what the socket takes now; the rest is written when it takes more.
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

    /// Has its task wait until the socket takes the bytes that it did not take now.
    pub(super) fn wake(&self) {
        self.wake.notify_one();
    }

    /// Returns when there are bytes that the socket did not take.
    pub(super) async fn woken(&self) {
        self.wake.notified().await;
    }

    pub(super) fn has_unsent_bytes(&self) -> bool {
        !self.unsent_bytes.borrow().is_empty()
    }

    /// Calls whose last byte was sent since the last call of this.
    pub(super) fn take_sent_calls(&self) -> Vec<usize> {
        std::mem::take(&mut *self.unsent_calls.borrow_mut())
    }

    /// The sequence number of a call without an answer.
    pub(super) fn sequence_number_of(&self, call: usize) -> Option<i32> {
        let open_calls = self.open_calls.borrow();
        let found = open_calls.iter().find(|(_, open)| **open == call);
        found.map(|(sequence_number, _)| *sequence_number)
    }

    /// An answer came; the call that it is for.
    pub(super) fn remove_call(&self, sequence_number: i32) -> Option<usize> {
        self.open_calls.borrow_mut().remove(&sequence_number)
    }

    /// The connection ended; the calls that were not answered on it.
    pub(super) fn take_open_calls(&self) -> Vec<usize> {
        let mut open_calls = self.open_calls.borrow_mut();
        open_calls.drain().map(|(_, call)| call).collect()
    }

    pub(super) fn has_open_calls(&self) -> bool {
        !self.open_calls.borrow().is_empty()
    }

    /// No call is sent on it from now on.
    pub(super) fn retire(&self) {
        self.retired.set(true);
    }

    pub(super) fn is_retired(&self) -> bool {
        self.retired.get()
    }
}
