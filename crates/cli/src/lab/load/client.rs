//! Sends the requests of a load, and records their outcomes and times.
//!
//! Invariant: each request is counted once, as served, rejected or failed.

use hdrhistogram::Histogram;
use rainstand_protocol::thrift::{self, What};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// Limit of requests in flight on one connection: half of the protocol's limit.
const MAX_IN_FLIGHT_PER_CONNECTION: usize = 16;
/// Limit of open connections: half of what a machine's limit of file descriptors allows.
const MAX_CONNECTIONS: usize = 2_000;
/// Size of the buffer for one read.
const READ_CHUNK_BYTES: usize = 16 << 10;
/// Size of a frame's length prefix.
const LENGTH_PREFIX_BYTES: usize = 4;
/// Precision of the histograms, in decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;

/// A request to send.
pub(super) struct LoadRequest {
    pub(super) class: String,
    pub(super) trace: String,
    pub(super) tenant: String,
    pub(super) due: Instant,
    pub(super) latency_objective: Duration,
}

/// Counts of requests by outcome.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OutcomeCounts {
    pub(super) requests: u64,
    pub(super) served: u64,
    /// Served requests within their latency objective.
    pub(super) in_time: u64,
    pub(super) rejected: u64,
    pub(super) failed: u64,
}

/// Sends requests, and opens connections as needed.
pub(super) struct LoadClient {
    entry_points: Vec<SocketAddr>,
    connections: RefCell<Vec<Rc<ClientConnection>>>,
    counts: Cell<OutcomeCounts>,
    /// Times from when a request was due to its response, in µs.
    pub(super) times: RefCell<Histogram<u64>>,
    /// Times from when a request was due to when it was sent, in µs.
    pub(super) lateness: RefCell<Histogram<u64>>,
    /// Round-robin position for connections and entry points.
    turn: Cell<usize>,
}

/// A request that was sent and is not answered yet.
#[derive(Clone, Copy)]
struct InFlight {
    due: Instant,
    latency_objective: Duration,
}

struct ClientConnection {
    in_flight: RefCell<HashMap<i32, InFlight>>,
    next_sequence_number: Cell<i32>,
    write: RefCell<OwnedWriteHalf>,
    broken: Cell<bool>,
}

/// Whether a request was written to a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
enum SendOutcome {
    Sent,
    NotSent,
}

/// A time as histograms record it: at least 1 µs.
fn recordable_us(elapsed: Duration) -> u64 {
    (elapsed.as_micros() as u64).max(1)
}

impl LoadClient {
    pub(super) fn new(entry_points: Vec<SocketAddr>) -> io::Result<Self> {
        let histogram = || {
            Histogram::new(SIGNIFICANT_DIGITS)
                .map(RefCell::new)
                .map_err(io::Error::other)
        };
        Ok(Self {
            entry_points,
            connections: RefCell::default(),
            counts: Cell::default(),
            times: histogram()?,
            lateness: histogram()?,
            turn: Cell::new(0),
        })
    }

    /// Counts of requests by outcome so far.
    pub(super) fn counts(&self) -> OutcomeCounts {
        self.counts.get()
    }

    /// Number of requests that were sent and are not answered yet.
    pub(super) fn in_flight(&self) -> usize {
        let connections = self.connections.borrow();
        connections
            .iter()
            .map(|connection| connection.in_flight.borrow().len())
            .sum()
    }

    /// Counts all requests in flight as failed.
    pub(super) fn fail_in_flight(&self) {
        let unanswered = self.in_flight() as u64;
        self.count(|counts| counts.failed += unanswered);
    }

    /// Sends a request on a connection with capacity, or else on a new one. A request that cannot be sent counts as
    /// failed.
    pub(super) async fn send(self: &Rc<Self>, request: &LoadRequest) {
        let lateness = recordable_us(request.due.elapsed());
        // A time beyond the histogram's range is not recorded.
        let _ = self.lateness.borrow_mut().record(lateness);
        self.count(|counts| counts.requests += 1);
        if self.send_on_open_connection(request) == SendOutcome::NotSent
            && self.send_on_new_connection(request).await == SendOutcome::NotSent
        {
            self.count(|counts| counts.failed += 1);
        }
    }

    fn count(&self, change: impl Fn(&mut OutcomeCounts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }

    fn send_on_open_connection(&self, request: &LoadRequest) -> SendOutcome {
        let connections = self.connections.borrow();
        let count = connections.len();
        let next = (0..count)
            .map(|offset| (offset + self.turn.get()) % count)
            .find(|position| connections[*position].has_capacity());
        let Some(position) = next else {
            return SendOutcome::NotSent;
        };
        self.turn.set(position + 1);
        connections[position].send(request)
    }

    async fn send_on_new_connection(self: &Rc<Self>, request: &LoadRequest) -> SendOutcome {
        self.connections
            .borrow_mut()
            .retain(|connection| !connection.broken.get());
        if self.connections.borrow().len() >= MAX_CONNECTIONS {
            return SendOutcome::NotSent;
        }
        self.turn.set(self.turn.get() + 1);
        let entry_point = self.entry_points[self.turn.get() % self.entry_points.len()];
        let Ok(stream) = TcpStream::connect(entry_point).await else {
            return SendOutcome::NotSent;
        };
        let _ = stream.set_nodelay(true);
        let (read, write) = stream.into_split();
        let connection = Rc::new(ClientConnection {
            in_flight: RefCell::default(),
            next_sequence_number: Cell::new(1),
            write: RefCell::new(write),
            broken: Cell::new(false),
        });
        self.connections.borrow_mut().push(connection.clone());
        spawn_local(self.clone().read_responses(connection.clone(), read));
        connection.send(request)
    }

    /// Reads responses until the connection ends, then counts its requests in flight as failed.
    async fn read_responses(
        self: Rc<Self>,
        connection: Rc<ClientConnection>,
        mut read: OwnedReadHalf,
    ) {
        let mut buffer = Vec::new();
        let mut chunk = vec![0; READ_CHUNK_BYTES];
        while let Ok(bytes_read) = read.read(&mut chunk).await {
            if bytes_read == 0 {
                break;
            }
            buffer.extend_from_slice(&chunk[..bytes_read]);
            let mut used = 0;
            while let Ok(Some(length)) = thrift::frame(&buffer[used..]) {
                let start = used + LENGTH_PREFIX_BYTES;
                used = start + length;
                self.on_response(&connection, &buffer[start..used]);
            }
            buffer.drain(..used);
        }
        connection.broken.set(true);
        let lost = connection.in_flight.borrow_mut().drain().count() as u64;
        self.count(|counts| counts.failed += lost);
    }

    fn on_response(&self, connection: &ClientConnection, frame: &[u8]) {
        let Ok(response) = thrift::answered(frame) else {
            return;
        };
        let answered = connection.in_flight.borrow_mut().remove(&response.seq);
        let Some(request) = answered else { return };
        match response.what {
            What::Answer { .. } => self.on_served(request),
            What::Backoff(_) => self.count(|counts| counts.rejected += 1),
            What::Lost | What::Exception { .. } => self.count(|counts| counts.failed += 1),
        }
    }

    fn on_served(&self, request: InFlight) {
        let time = request.due.elapsed();
        // A time beyond the histogram's range is not recorded.
        let _ = self.times.borrow_mut().record(recordable_us(time));
        let is_in_time = time <= request.latency_objective;
        self.count(|counts| {
            counts.served += 1;
            counts.in_time += u64::from(is_in_time);
        });
    }
}

impl ClientConnection {
    fn has_capacity(&self) -> bool {
        !self.broken.get() && self.in_flight.borrow().len() < MAX_IN_FLIGHT_PER_CONNECTION
    }

    /// Writes a request without waiting. A frame is far smaller than a socket's send buffer, so a connection that does
    /// not accept the complete frame is treated as broken.
    fn send(&self, request: &LoadRequest) -> SendOutcome {
        let sequence_number = self.next_sequence_number.get();
        self.next_sequence_number.set(sequence_number + 1);
        let frame = request.frame(sequence_number);
        let written = self.write.borrow().try_write(&frame);
        if !written.is_ok_and(|bytes| bytes == frame.len()) {
            self.broken.set(true);
            return SendOutcome::NotSent;
        }
        let in_flight = InFlight {
            due: request.due,
            latency_objective: request.latency_objective,
        };
        self.in_flight
            .borrow_mut()
            .insert(sequence_number, in_flight);
        SendOutcome::Sent
    }
}
