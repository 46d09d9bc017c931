//! One connection to a member, from connecting to the report of its unanswered attempts.
//!
//! Invariant: `bytes_queued` is `bytes_sent` plus the bytes in `outbound`; an attempt whose bytes end past `bytes_sent`
//! was not sent completely, so it cannot have run.

use super::replies::on_frame;
use super::watch::{MAX_UNANSWERED_PROBES, PROBE_INTERVAL};
use super::Upstream;
use crate::connection_limits;
use crate::observability::increment;
use crate::request_table::AttemptId;
use crate::socket::{end_turn, flush, FRAME_HEADER_BYTES, MAX_PIPELINED_REQUESTS};
use crate::ForwarderContext;
use foldhash::{HashMap, HashMapExt};
use rainstand_protocol::ring::Ring;
use rainstand_protocol::thrift;
use rainstand_routing::fleet::AttemptOutcome;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::cell::{Cell, OnceCell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Limit on unwritten bytes; above it, the connection counts as broken although it is open.
const MAX_WRITE_BUFFER_BYTES: usize = 512 << 10;
/// Time after which an idle connection is closed; shorter than the idle timeout of nodes.
const IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// Connecting takes no longer than this on a working network.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// What a connection is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionPurpose {
    /// Attempts are sent on it.
    Requests,
    /// It shows whether the member's process lives; only probes are sent on it.
    Watch,
}

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionEnd {
    /// It was never established.
    NotConnected,
    /// It was idle, or too old, and we closed it.
    ClosedByUs,
    /// The member closed it while no attempt was open on it.
    ClosedByUpstream,
    /// It failed, or the member closed it while attempts were open or sent a malformed frame.
    Broken,
}

/// An attempt that is queued or sent, and not answered.
struct OpenAttempt {
    id: AttemptId,
    /// The process that it is for; `None` if any may get it.
    process: Option<u64>,
    /// End offset of its bytes among those queued on the connection, exclusive.
    end: u64,
}

/// A connection to a member. Its task does the writing, so that attempts queued together are sent together.
pub(super) struct UpstreamConnection {
    purpose: ConnectionPurpose,
    /// Unset while the connection is being opened.
    stream: OnceCell<TcpStream>,
    outbound: RefCell<Ring>,
    /// Bytes that were put into `outbound` since the connection was opened.
    bytes_queued: Cell<u64>,
    /// Of these, the bytes that the kernel accepted.
    bytes_sent: Cell<u64>,
    /// By sequence number on this connection.
    open_attempts: RefCell<HashMap<i32, OpenAttempt>>,
    next_sequence_number: Cell<i32>,
    /// Time from which it gets no new attempts.
    retire_at: Instant,
    /// It gets no new attempts.
    is_retired: Cell<bool>,
    /// When bytes were last received on it, on the context's clock.
    last_read_at: Cell<Duration>,
    /// On the context's clock.
    connected_at: Cell<Duration>,
    /// Probes since bytes were last received.
    unanswered_probes: Cell<u32>,
    wake: Notify,
}

impl UpstreamConnection {
    pub(super) fn new(purpose: ConnectionPurpose, retire_at: Instant) -> Self {
        Self {
            purpose,
            stream: OnceCell::new(),
            outbound: RefCell::default(),
            bytes_queued: Cell::new(0),
            bytes_sent: Cell::new(0),
            open_attempts: RefCell::new(HashMap::new()),
            next_sequence_number: Cell::new(1),
            retire_at,
            is_retired: Cell::new(false),
            last_read_at: Cell::new(Duration::ZERO),
            connected_at: Cell::new(Duration::ZERO),
            unanswered_probes: Cell::new(0),
            wake: Notify::new(),
        }
    }

    pub(super) fn is_connected(&self) -> bool {
        self.stream.get().is_some()
    }

    pub(super) fn is_watch(&self) -> bool {
        self.purpose == ConnectionPurpose::Watch
    }

    /// Whether it is connected and the kernel has not received its end, which its task may not have handled yet.
    pub(super) fn is_alive(&self) -> bool {
        self.stream.get().is_some_and(|stream| !has_ended(stream))
    }

    pub(super) fn connected_at(&self) -> Duration {
        self.connected_at.get()
    }

    pub(super) fn set_connected_at(&self, now: Duration) {
        self.connected_at.set(now);
    }

    pub(super) fn last_read_at(&self) -> Duration {
        self.last_read_at.get()
    }

    pub(super) fn unwritten_bytes(&self) -> usize {
        self.outbound.borrow().len()
    }

    pub(super) fn open_attempts(&self) -> usize {
        self.open_attempts.borrow().len()
    }

    pub(super) fn has_capacity(&self) -> bool {
        !self.is_watch()
            && !self.is_retired()
            && self.open_attempts() < MAX_PIPELINED_REQUESTS
            && Instant::now() < self.retire_at
    }

    pub(super) fn is_retired(&self) -> bool {
        self.is_retired.get()
    }

    /// Stops new attempts on it; returns whether they were allowed until now.
    pub(super) fn retire(&self) -> bool {
        !self.is_retired.replace(true)
    }

    pub(super) fn next_sequence_number(&self) -> i32 {
        let next = self.next_sequence_number.get();
        self.next_sequence_number.replace(next + 1)
    }

    /// Queues the call of an attempt; `process` is the one that it is for, if it must be one.
    pub(super) fn send(
        &self,
        sequence_number: i32,
        id: AttemptId,
        process: Option<u64>,
        frame: &[u8],
    ) {
        let end = self.queue(frame);
        self.open_attempts
            .borrow_mut()
            .insert(sequence_number, OpenAttempt { id, process, end });
    }

    /// Whether an attempt is queued that is for another process than this one.
    fn has_attempt_for_other_process(&self, process: u64) -> bool {
        let open = self.open_attempts.borrow();
        open.values()
            .any(|attempt| attempt.process.is_some_and(|other| other != process))
    }

    /// Queues a probe. Any received bytes count as its answer.
    fn send_probe(&self) {
        let sequence_number = self.next_sequence_number();
        self.queue(&thrift::probe(sequence_number, false));
        self.unanswered_probes.set(self.unanswered_probes.get() + 1);
    }

    /// Queues a cancellation if the attempt is open on this connection, and returns whether it is. A cancelled attempt
    /// no longer counts as open, and an answer to it is late.
    pub(super) fn cancel(&self, id: AttemptId) -> bool {
        let open = self.open_attempts.borrow();
        let found = open
            .iter()
            .find(|(_, attempt)| attempt.id.attempt == id.attempt);
        let Some(sequence_number) = found.map(|(sequence_number, _)| *sequence_number) else {
            return false;
        };
        drop(open);
        self.open_attempts.borrow_mut().remove(&sequence_number);
        self.queue(&thrift::give_up(sequence_number));
        true
    }

    /// Whether an attempt is open on this connection.
    pub(super) fn has_open(&self, id: AttemptId) -> bool {
        let open = self.open_attempts.borrow();
        open.values().any(|open| open.id.attempt == id.attempt)
    }

    /// Removes and returns the attempt that was answered.
    pub(super) fn take_answered(&self, sequence_number: i32) -> Option<AttemptId> {
        let answered = self.open_attempts.borrow_mut().remove(&sequence_number)?;
        Some(answered.id)
    }

    /// Queues bytes, and returns their end offset among those queued on the connection.
    fn queue(&self, frame: &[u8]) -> u64 {
        self.outbound.borrow_mut().put(frame);
        self.bytes_queued
            .set(self.bytes_queued.get() + frame.len() as u64);
        self.wake.notify_one();
        self.bytes_queued.get()
    }

    /// Writes as much as the kernel accepts without blocking.
    fn flush(&self, stream: &TcpStream) -> io::Result<()> {
        let result = flush(&self.outbound, stream);
        let unwritten = self.unwritten_bytes() as u64;
        self.bytes_sent.set(self.bytes_queued.get() - unwritten);
        result
    }

    /// Removes and returns the unanswered attempts, in the order in which they were queued.
    fn drain_open_attempts(&self) -> Vec<OpenAttempt> {
        let mut open_attempts = self.open_attempts.borrow_mut();
        let mut open: Vec<OpenAttempt> = open_attempts.drain().map(|(_, open)| open).collect();
        open.sort_by_key(|attempt| attempt.end);
        open
    }
}

/// Opens a connection, serves it, and reports its unanswered attempts at the end.
pub(super) async fn run_connection(
    context: Rc<ForwarderContext>,
    upstream: Rc<Upstream>,
    connection: Rc<UpstreamConnection>,
    address: Rc<str>,
) {
    let is_connected = connect(&context, &upstream, &connection, &address).await;
    let end = if !is_connected {
        ConnectionEnd::NotConnected
    } else if connection.has_attempt_for_other_process(upstream.process.get()) {
        // Nothing was written, so the attempts are reported as not sent.
        ConnectionEnd::ClosedByUs
    } else {
        serve(&context, &upstream, &connection, &address).await
    };
    if end == ConnectionEnd::Broken {
        increment(&context.counters.broken_upstream_connections);
    }
    connection.retire();
    upstream
        .connections
        .borrow_mut()
        .retain(|other| !Rc::ptr_eq(other, &connection));
    upstream.on_disconnected(&context, &address, end);
    report_unanswered(&context, &connection);
}

/// Opens the connection, and returns whether that succeeded.
async fn connect(
    context: &ForwarderContext,
    upstream: &Upstream,
    connection: &Rc<UpstreamConnection>,
    address: &str,
) -> bool {
    let connecting = connection_limits::with_descriptor(context, || TcpStream::connect(address));
    match timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(Ok(stream)) => {
            on_stream_connected(context, upstream, connection, stream, address);
            true
        }
        // A lack of file descriptors is local and says nothing about the member.
        Ok(Err(error)) if connection_limits::is_descriptor_exhaustion(&error) => false,
        Ok(Err(error)) => {
            // Nothing listens there, so the process that was there has ended, or accepts nothing more.
            if error.kind() == io::ErrorKind::ConnectionRefused {
                upstream.on_process_lost(context, address);
            }
            upstream.connect_failed_at.set(Some(Instant::now()));
            false
        }
        Err(_) => {
            upstream.connect_failed_at.set(Some(Instant::now()));
            false
        }
    }
}

fn on_stream_connected(
    context: &ForwarderContext,
    upstream: &Upstream,
    connection: &Rc<UpstreamConnection>,
    stream: TcpStream,
    address: &str,
) {
    let _ = stream.set_nodelay(true);
    increment(&context.counters.upstream_connections);
    let was_unreachable = upstream.connect_failed_at.take().is_some();
    let was_draining = upstream.is_draining.take();
    // A member that was unreachable or draining and can be reached again is a new process, even at the same address.
    let has_restarted = was_unreachable || was_draining;
    if has_restarted {
        let now = context.now();
        context.fleet.borrow_mut().on_restarted(address, now);
        upstream.connected_since.set(None);
    }
    // Without another connection nothing is known of the time until now: processes may have come and gone.
    let was_connected = upstream.was_connected.replace(true);
    let is_unknown = was_connected && !upstream.has_other_connections(connection);
    if has_restarted || is_unknown {
        upstream.record_process_lost(context, address);
    }
    upstream.is_lost.set(false);
    let _ = connection.stream.set(stream);
    upstream.on_connected(context, connection, address);
}

/// Reports the attempts that are still open; one that was not sent completely cannot have run.
fn report_unanswered(context: &Rc<ForwarderContext>, connection: &UpstreamConnection) {
    let bytes_sent = connection.bytes_sent.get();
    for attempt in connection.drain_open_attempts() {
        let outcome = if attempt.end <= bytes_sent {
            AttemptOutcome::Broken
        } else {
            AttemptOutcome::Unreachable
        };
        if outcome == AttemptOutcome::Unreachable && connection.is_connected() {
            increment(&context.counters.unsent_attempts);
        }
        context.on_attempt_outcome(attempt.id, outcome);
    }
}

/// Writes queued frames and handles received ones until the connection ends.
async fn serve(
    context: &Rc<ForwarderContext>,
    upstream: &Upstream,
    connection: &Rc<UpstreamConnection>,
    address: &str,
) -> ConnectionEnd {
    let Some(stream) = connection.stream.get() else {
        return ConnectionEnd::NotConnected;
    };
    let mut inbound = Ring::default();
    loop {
        if connection.flush(stream).is_err() {
            return ConnectionEnd::Broken;
        }
        if connection.unwritten_bytes() > MAX_WRITE_BUFFER_BYTES {
            return ConnectionEnd::Broken;
        }
        let was_idle = connection.open_attempts() == 0;
        if was_idle && should_close_when_idle(upstream, connection) {
            return ConnectionEnd::ClosedByUs;
        }
        let has_unwritten = connection.unwritten_bytes() > 0;
        let idle_timeout = if connection.is_watch() {
            PROBE_INTERVAL
        } else {
            IDLE_TIMEOUT
        };
        tokio::select! {
            ready = timeout(idle_timeout, stream.readable()) => {
                let read = match ready {
                    Ok(ready) => ready.and_then(|()| context.read_buffer.read(stream, &mut inbound)),
                    Err(_) if connection.is_watch() => match probe(context, connection, address) {
                        Some(end) => return end,
                        None => continue,
                    },
                    Err(_) if was_idle && connection.open_attempts() == 0 => {
                        return ConnectionEnd::ClosedByUs;
                    }
                    Err(_) => continue,
                };
                let length = match read {
                    Ok(0) if connection.open_attempts() == 0 => return ConnectionEnd::ClosedByUpstream,
                    Ok(0) => return ConnectionEnd::Broken,
                    Ok(length) => length,
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => continue,
                    Err(_) => return ConnectionEnd::Broken,
                };
                connection.last_read_at.set(context.now());
                connection.unanswered_probes.set(0);
                if handle_frames(context, upstream, connection, address, &mut inbound).is_err() {
                    increment(&context.counters.unreadable_replies);
                    return ConnectionEnd::Broken;
                }
                end_turn(length).await;
            }
            _ = stream.writable(), if has_unwritten => {}
            () = connection.wake.notified() => {}
        }
    }
}

/// Probes the member of a watch connection; returns how the connection ends if it does.
fn probe(
    context: &ForwarderContext,
    connection: &UpstreamConnection,
    address: &str,
) -> Option<ConnectionEnd> {
    if !context.fleet.borrow().is_key_home(address) {
        return Some(ConnectionEnd::ClosedByUs);
    }
    // Probes are counted, not the time: a stall of this process does not count against the member.
    if connection.unanswered_probes.get() >= MAX_UNANSWERED_PROBES {
        return Some(ConnectionEnd::Broken);
    }
    connection.send_probe();
    None
}

/// Whether the kernel has received the end of a connection, also behind bytes that are not read yet. The runtime may learn
/// of it later.
fn has_ended(stream: &TcpStream) -> bool {
    let end = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    let mut polled = [PollFd::new(stream, end)];
    match poll(&mut polled, Some(&Timespec::default())) {
        Ok(_) => polled[0].revents().intersects(end),
        Err(_) => false,
    }
}

/// Whether a connection without open attempts is to be closed: it is retired, or old and not the last one. One that watches
/// a member is not: the member ends it when its process ends.
fn should_close_when_idle(upstream: &Upstream, connection: &Rc<UpstreamConnection>) -> bool {
    if connection.is_watch() {
        return false;
    }
    let is_old = Instant::now() >= connection.retire_at;
    connection.is_retired() || (is_old && upstream.has_other_connections(connection))
}

/// Handles all complete frames.
fn handle_frames(
    context: &Rc<ForwarderContext>,
    upstream: &Upstream,
    connection: &UpstreamConnection,
    address: &str,
    inbound: &mut Ring,
) -> Result<(), thrift::ReasonCode> {
    while let Some(length) = thrift::frame(inbound.bytes())? {
        let frame_end = FRAME_HEADER_BYTES + length;
        let frame = &inbound.bytes()[FRAME_HEADER_BYTES..frame_end];
        on_frame(context, upstream, connection, address, frame);
        inbound.drop_front(frame_end);
    }
    Ok(())
}
