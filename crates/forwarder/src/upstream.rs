//! Connections to members: opened on demand (one at a time while a member is unreachable), closed when idle or old. Each
//! has no more open attempts than the protocol allows.
//!
//! When a connection breaks, an attempt that was not completely handed to the kernel cannot have run; all other open
//! attempts may have.
//!
//! A member is assumed to be the same process as long as connections to it overlap. Closing a connection ourselves does
//! not affect this; after any other end, the process counts as no older than the oldest connection still open, and with
//! none left its age is unknown ([`rainstand_routing::warm_up`]). Therefore the last connection is closed only when
//! idle, not for its age.
//!
//! To a member that is the home of keys, one more connection is kept open ([`watch`]), so that the end of its process is
//! seen whatever requests are sent. An attempt for the home of its key is written only to the process that was there when
//! the attempt was queued.

mod connection;
mod frames;
mod replies;
mod watch;

pub use frames::retry_trace;
pub(crate) use watch::watch_key_homes;

use crate::observability::increment;
use crate::request_table::AttemptId;
use crate::ForwarderContext;
use connection::{run_connection, ConnectionEnd, ConnectionPurpose, UpstreamConnection};
use foldhash::{HashMap, HashMapExt};
use nanorand::{Rng, WyRand};
use rainstand_protocol::thrift;
use rainstand_routing::fleet::AttemptOutcome;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::spawn_local;

/// Limit on connections to one member.
pub const MAX_UPSTREAM_CONNECTIONS: usize = 64;
/// Age from which a connection gets no new attempts, extended by [`CONNECTION_AGE_JITTER`]: the members behind a shared
/// address change.
const MAX_CONNECTION_AGE: Duration = Duration::from_mins(5);
/// Largest random extension of a connection's age, as a fraction, so that connections are not all replaced at once.
const CONNECTION_AGE_JITTER: f64 = 0.5;
/// After a failed connect, attempts to the member fail immediately for this long, so that a starting member is not
/// flooded.
const CONNECT_BACKOFF: Duration = Duration::from_millis(200);
/// Separates the random sequence of connection ages from others with the same seed.
const CONNECTION_AGE_SEED: u64 = 0x6261_636b;

/// An attempt that is to be sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OutgoingAttempt {
    pub(crate) id: AttemptId,
    /// Whether it is marked as a retry.
    pub(crate) is_retry: bool,
    /// Number of the attempt within its request, from 1.
    pub(crate) attempt_number: u32,
    /// The member is the home of the request's key: the attempt is for the process that is there now, and no other.
    pub(crate) is_at_key_home: bool,
}

/// Connections to all members, by address of the member.
pub struct UpstreamPool {
    upstreams: RefCell<HashMap<Rc<str>, Rc<Upstream>>>,
    random: RefCell<WyRand>,
}

/// A member's connections and what they show about its process.
#[derive(Default)]
struct Upstream {
    connections: RefCell<Vec<Rc<UpstreamConnection>>>,
    /// Time of the last failed connect; `None` after a successful one.
    connect_failed_at: Cell<Option<Instant>>,
    /// It was reported to the routing that its process may have ended.
    is_lost: Cell<bool>,
    /// Number of the process, as far as this forwarder can tell; a new one for each that may be there.
    process: Cell<u64>,
    /// Whether it has been connected before.
    was_connected: Cell<bool>,
    /// It announced its shutdown, and all its connections were retired.
    is_draining: Cell<bool>,
    /// Since when it has had a connection without interruption, on the context's clock; `None` if it has none.
    connected_since: Cell<Option<Duration>>,
}

impl Upstream {
    fn has_other_connections(&self, connection: &Rc<UpstreamConnection>) -> bool {
        let connections = self.connections.borrow();
        connections
            .iter()
            .any(|other| !Rc::ptr_eq(other, connection) && other.is_alive())
    }

    /// Handles an established connection; the first one may be to a new process.
    fn on_connected(
        &self,
        context: &ForwarderContext,
        connection: &Rc<UpstreamConnection>,
        address: &str,
    ) {
        let now = context.now();
        connection.set_connected_at(now);
        if !self.has_other_connections(connection) || self.connected_since.get().is_none() {
            self.set_connected_since(context, address, Some(now));
        }
    }

    /// Handles the end of a connection, which is already removed from `connections`.
    fn on_disconnected(&self, context: &ForwarderContext, address: &str, end: ConnectionEnd) {
        let oldest = self
            .connections
            .borrow()
            .iter()
            .filter(|connection| connection.is_alive())
            .map(|connection| connection.connected_at())
            .min();
        let is_ended_by_member =
            matches!(end, ConnectionEnd::Broken | ConnectionEnd::ClosedByUpstream);
        // No connection overlaps with the time before: another process may listen there now.
        let is_overlapping = oldest.is_some() && oldest <= self.connected_since.get();
        if is_ended_by_member && !is_overlapping {
            self.on_process_lost(context, address);
        }
        match (oldest, self.connected_since.get()) {
            (Some(oldest), Some(since)) if end == ConnectionEnd::ClosedByUs || oldest <= since => {}
            (oldest, since) if oldest != since => {
                self.set_connected_since(context, address, oldest);
            }
            _ => {}
        }
    }

    /// Handles the first sign, since it was connected, that the member's process may have ended.
    fn on_process_lost(&self, context: &ForwarderContext, address: &str) {
        if !self.is_lost.replace(true) {
            self.record_process_lost(context, address);
        }
    }

    /// From now on another process may be there. What the one before ran is not recognized by the next.
    fn record_process_lost(&self, context: &ForwarderContext, address: &str) {
        self.process.set(self.process.get() + 1);
        let now = context.now();
        context.fleet.borrow_mut().on_process_lost(address, now);
        increment(&context.counters.lost_processes);
        if context.fleet.borrow().is_key_home(address) {
            tracing::info!(event = "process_lost", member = address);
        }
    }

    fn has_watch(&self) -> bool {
        let connections = self.connections.borrow();
        connections.iter().any(|connection| connection.is_watch())
    }

    fn set_connected_since(
        &self,
        context: &ForwarderContext,
        address: &str,
        since: Option<Duration>,
    ) {
        self.connected_since.set(since);
        let mut fleet = context.fleet.borrow_mut();
        match since {
            _ if !fleet.has_warm_up() => {}
            Some(since) => fleet.on_connected(address, since, context.now()),
            None => fleet.on_disconnected(address, context.now()),
        }
    }

    /// Whether another connection may be opened now; only one at a time while the member is unreachable.
    fn may_connect(&self) -> bool {
        let connections = self.connections.borrow();
        if connections.len() >= MAX_UPSTREAM_CONNECTIONS {
            return false;
        }
        let Some(failed_at) = self.connect_failed_at.get() else {
            return true;
        };
        failed_at.elapsed() >= CONNECT_BACKOFF
            && connections
                .iter()
                .all(|connection| connection.is_connected())
    }

    /// The connection with most open attempts that has capacity, so that others become idle and are closed.
    fn connection_with_capacity(&self) -> Option<Rc<UpstreamConnection>> {
        let connections = self.connections.borrow();
        connections
            .iter()
            .filter(|connection| connection.has_capacity())
            .max_by_key(|connection| connection.open_attempts())
            .cloned()
    }

    /// The connection on which an attempt is open.
    fn connection_of(&self, id: AttemptId) -> Option<Rc<UpstreamConnection>> {
        let connections = self.connections.borrow();
        connections
            .iter()
            .find(|connection| connection.has_open(id))
            .cloned()
    }

    /// Cancels an attempt at the member, and returns the connection on which it was open.
    fn cancel(&self, id: AttemptId) -> Option<Rc<UpstreamConnection>> {
        let connections = self.connections.borrow();
        connections
            .iter()
            .find(|connection| connection.cancel(id))
            .cloned()
    }
}

impl UpstreamPool {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            upstreams: RefCell::new(HashMap::new()),
            random: RefCell::new(WyRand::new_seed(seed ^ CONNECTION_AGE_SEED)),
        }
    }

    /// Number of connections to all members, including those being opened.
    pub fn connection_count(&self) -> usize {
        self.upstreams
            .borrow()
            .values()
            .map(|upstream| upstream.connections.borrow().len())
            .sum()
    }

    /// Bytes that are queued and not written, over all members.
    pub fn unwritten_bytes(&self) -> usize {
        let upstream_bytes = |upstream: &Rc<Upstream>| -> usize {
            let connections = upstream.connections.borrow();
            connections
                .iter()
                .map(|connection| connection.unwritten_bytes())
                .sum()
        };
        self.upstreams.borrow().values().map(upstream_bytes).sum()
    }

    /// Reports to the routing since when each member is connected, as a new configuration version may add members.
    pub(crate) fn report_connected_members(&self, context: &ForwarderContext) {
        let (mut fleet, now) = (context.fleet.borrow_mut(), context.now());
        if !fleet.has_warm_up() {
            return;
        }
        for (address, upstream) in self.upstreams.borrow().iter() {
            if let Some(since) = upstream.connected_since.get() {
                fleet.on_connected(address, since, now);
            }
        }
    }

    /// Removes members of earlier configuration versions that have no connection.
    pub(crate) fn remove_former_members(&self, context: &ForwarderContext) {
        let fleet = context.fleet.borrow();
        self.upstreams.borrow_mut().retain(|address, upstream| {
            !upstream.connections.borrow().is_empty() || fleet.has_member(address)
        });
    }

    fn get(&self, address: &str) -> Option<Rc<Upstream>> {
        self.upstreams.borrow().get(address).cloned()
    }

    fn get_or_insert(&self, address: &Rc<str>) -> Rc<Upstream> {
        self.upstreams
            .borrow_mut()
            .entry(address.clone())
            .or_default()
            .clone()
    }

    /// The time from which a connection that is opened now gets no new attempts.
    fn random_retire_at(&self) -> Instant {
        let random_value = self.random.borrow_mut().generate::<u32>();
        let fraction = f64::from(random_value) / f64::from(u32::MAX);
        Instant::now() + MAX_CONNECTION_AGE.mul_f64(1.0 + CONNECTION_AGE_JITTER * fraction)
    }
}

/// Sends an attempt to a member. Its outcome is reported to the request table, also if it could not be sent.
pub(crate) fn send_attempt(
    context: &Rc<ForwarderContext>,
    address: &Rc<str>,
    attempt: OutgoingAttempt,
) {
    let upstream = context.upstreams.get_or_insert(address);
    let connection = match upstream.connection_with_capacity() {
        Some(connection) => connection,
        None if upstream.may_connect() => {
            open_connection(context, &upstream, address, ConnectionPurpose::Requests)
        }
        None => {
            report_unreachable(context, attempt.id);
            return;
        }
    };
    let sequence_number = connection.next_sequence_number();
    let frame = context
        .requests
        .with_request(attempt.id.request, |request| {
            if attempt.is_retry {
                frames::retry_frame(
                    sequence_number,
                    &request.call_arguments,
                    attempt.attempt_number,
                )
            } else {
                thrift::process_again(sequence_number, &request.call_arguments)
            }
        });
    if let Some(frame) = frame {
        let process = attempt.is_at_key_home.then(|| upstream.process.get());
        connection.send(sequence_number, attempt.id, process, &frame);
    }
}

fn open_connection(
    context: &Rc<ForwarderContext>,
    upstream: &Rc<Upstream>,
    address: &Rc<str>,
    purpose: ConnectionPurpose,
) -> Rc<UpstreamConnection> {
    let retire_at = context.upstreams.random_retire_at();
    let connection = Rc::new(UpstreamConnection::new(purpose, retire_at));
    upstream.connections.borrow_mut().push(connection.clone());
    spawn_local(run_connection(
        context.clone(),
        upstream.clone(),
        connection.clone(),
        address.clone(),
    ));
    connection
}

/// Reports from a separate task, because the calling function is executing a step of the same request.
fn report_unreachable(context: &Rc<ForwarderContext>, id: AttemptId) {
    let context = context.clone();
    spawn_local(async move {
        context.on_attempt_outcome(id, AttemptOutcome::Unreachable);
    });
}

/// Whether the member is notified that an attempt timed out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TimedOutAttempt {
    /// It is cancelled.
    Cancelled,
    /// It goes on; its answer will be late.
    Continued,
}

/// Handles an attempt that timed out, and retires its connection if nothing was received on it since the attempt.
pub(crate) fn on_timed_out(
    context: &ForwarderContext,
    address: &str,
    id: AttemptId,
    sent_at: Duration,
    follow_up: TimedOutAttempt,
) {
    let upstream = context.upstreams.get(address);
    let connection = upstream.and_then(|upstream| match follow_up {
        TimedOutAttempt::Cancelled => upstream.cancel(id),
        TimedOutAttempt::Continued => upstream.connection_of(id),
    });
    let Some(connection) = connection else {
        return;
    };
    // A connection that was lost without a reset would otherwise time out every attempt while it stays open.
    if connection.last_read_at() <= sent_at && connection.retire() {
        increment(&context.counters.silent_upstream_connections);
    }
}

/// Cancels an attempt at the member where it is open.
pub(crate) fn cancel_anywhere(context: &ForwarderContext, id: AttemptId) {
    let upstreams = context.upstreams.upstreams.borrow();
    upstreams
        .values()
        .any(|upstream| upstream.cancel(id).is_some());
}
