//! Connections to members: opened as they are needed, one at a time while a member cannot be reached, closed when idle
//! or old, and never with more attempts open than the protocol allows.
//!
//! When a connection breaks, attempts of which some bytes were never taken by the system are told apart from those that
//! may have run: they cannot have reached anybody.
//!
//! A member is taken for the same process as long as connections to it overlap. A connection that we close ourselves
//! proves nothing against it; after one that ended otherwise it is as old as the oldest connection that is still open,
//! and with none left nothing is known ([`rainstand_routing::warm_up`]). The last connection is therefore not closed for
//! its age, only when idle.

mod connection;
mod frames;
mod replies;

pub use frames::retry_trace;

use crate::observability::increment;
use crate::request_table::AttemptId;
use crate::ForwarderContext;
use connection::{run_connection, ConnectionEnd, UpstreamConnection};
use foldhash::{HashMap, HashMapExt};
use nanorand::{Rng, WyRand};
use rainstand_protocol::thrift;
use rainstand_routing::fleet::AttemptOutcome;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::spawn_local;

/// Connections to one member.
pub const MAX_UPSTREAM_CONNECTIONS: usize = 64;
/// A connection gets no new attempts when it is this old, or up to [`CONNECTION_AGE_JITTER`] older: the members behind
/// one shared address change.
const MAX_CONNECTION_AGE: Duration = Duration::from_mins(5);
/// A connection's age is extended at random by up to this part, so that not all are replaced at once.
const CONNECTION_AGE_JITTER: f64 = 0.5;
/// After a connect failed, attempts there fail at once for this long, so that a member that starts is not flooded.
const CONNECT_BACKOFF: Duration = Duration::from_millis(200);
/// Distinguishes the random sequence of connection ages from the others of the same seed.
const CONNECTION_AGE_SEED: u64 = 0x6261_636b;

/// One attempt of a request, to be sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OutgoingAttempt {
    pub(crate) id: AttemptId,
    /// It carries the mark of a retry.
    pub(crate) is_retry: bool,
    /// Number of the attempt in its request, from 1.
    pub(crate) attempt_number: u32,
}

/// Connections to all members, by address.
pub struct UpstreamPool {
    upstreams: RefCell<HashMap<Rc<str>, Rc<Upstream>>>,
    random: RefCell<WyRand>,
}

/// A member, as its connections show it.
#[derive(Default)]
struct Upstream {
    connections: RefCell<Vec<Rc<UpstreamConnection>>>,
    /// When the last connect failed; none once one succeeded.
    connect_failed_at: Cell<Option<Instant>>,
    /// It announced its shutdown on its last connection.
    is_leaving: Cell<bool>,
    /// Since when there was always a connection, by the context's clock; none while there is none.
    connected_since: Cell<Option<Duration>>,
}

impl Upstream {
    fn has_other_connections(&self, connection: &Rc<UpstreamConnection>) -> bool {
        let connections = self.connections.borrow();
        connections
            .iter()
            .any(|other| !Rc::ptr_eq(other, connection) && other.is_connected())
    }

    /// A connection is established; the first one may be to a new process.
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

    /// A connection ended and is out of the list.
    fn on_disconnected(&self, context: &ForwarderContext, address: &str, end: ConnectionEnd) {
        let oldest = self
            .connections
            .borrow()
            .iter()
            .filter(|connection| connection.is_connected())
            .map(|connection| connection.connected_at())
            .min();
        match (oldest, self.connected_since.get()) {
            (Some(oldest), Some(since)) if end == ConnectionEnd::ClosedByUs || oldest <= since => {}
            (oldest, since) if oldest != since => {
                self.set_connected_since(context, address, oldest);
            }
            _ => {}
        }
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

    /// Whether another connection may be opened now: while the member cannot be reached, one at a time.
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

    /// The fullest connection that has capacity, so that others become idle and close.
    fn connection_with_capacity(&self) -> Option<Rc<UpstreamConnection>> {
        let connections = self.connections.borrow();
        connections
            .iter()
            .filter(|connection| connection.has_capacity())
            .max_by_key(|connection| connection.open_attempts())
            .cloned()
    }

    /// Tells the member that nobody waits for an attempt, on the connection that has it, which is returned.
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

    /// Connections to all members, those that are being opened included.
    pub fn connection_count(&self) -> usize {
        self.upstreams
            .borrow()
            .values()
            .map(|upstream| upstream.connections.borrow().len())
            .sum()
    }

    /// Bytes that wait to be written to members.
    pub fn unwritten_bytes(&self) -> usize {
        let of_upstream = |upstream: &Rc<Upstream>| -> usize {
            let connections = upstream.connections.borrow();
            connections
                .iter()
                .map(|connection| connection.unwritten_bytes())
                .sum()
        };
        self.upstreams.borrow().values().map(of_upstream).sum()
    }

    /// Reports to the decisions since when each member is connected: those of a new version may not know it.
    pub(crate) fn report_connected(&self, context: &ForwarderContext) {
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

    /// Removes members without a connection: those of earlier versions.
    pub(crate) fn remove_unconnected(&self) {
        self.upstreams
            .borrow_mut()
            .retain(|_, upstream| !upstream.connections.borrow().is_empty());
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

    /// When a connection that is opened now gets no new attempts any more.
    fn draw_retire_at(&self) -> Instant {
        let draw = self.random.borrow_mut().generate::<u32>();
        let fraction = f64::from(draw) / f64::from(u32::MAX);
        Instant::now() + MAX_CONNECTION_AGE.mul_f64(1.0 + CONNECTION_AGE_JITTER * fraction)
    }
}

/// Sends an attempt to a member. What came of it is reported to the request, also if it could not be sent.
pub(crate) fn send_attempt(
    context: &Rc<ForwarderContext>,
    address: &Rc<str>,
    attempt: OutgoingAttempt,
) {
    let upstream = context.upstreams.get_or_insert(address);
    let connection = match upstream.connection_with_capacity() {
        Some(connection) => connection,
        None if upstream.may_connect() => open_connection(context, &upstream, address),
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
                frames::retry_call(
                    sequence_number,
                    &request.call_arguments,
                    attempt.attempt_number,
                )
            } else {
                thrift::process_again(sequence_number, &request.call_arguments)
            }
        });
    if let Some(frame) = frame {
        connection.send(sequence_number, attempt.id, &frame);
    }
}

fn open_connection(
    context: &Rc<ForwarderContext>,
    upstream: &Rc<Upstream>,
    address: &Rc<str>,
) -> Rc<UpstreamConnection> {
    let retire_at = context.upstreams.draw_retire_at();
    let connection = Rc::new(UpstreamConnection::new(retire_at));
    upstream.connections.borrow_mut().push(connection.clone());
    spawn_local(run_connection(
        context.clone(),
        upstream.clone(),
        connection.clone(),
        address.clone(),
    ));
    connection
}

/// Reports from a task of its own, as the caller is in the middle of a step of the same request.
fn report_unreachable(context: &Rc<ForwarderContext>, id: AttemptId) {
    let context = context.clone();
    spawn_local(async move {
        context.on_attempt_outcome(id, AttemptOutcome::Unreachable);
    });
}

/// Tells a member that nobody waits any more for an attempt that took too long.
pub(crate) fn cancel_timed_out(
    context: &ForwarderContext,
    address: &str,
    id: AttemptId,
    sent_at: Duration,
) {
    let upstream = context.upstreams.get(address);
    let Some(connection) = upstream.and_then(|upstream| upstream.cancel(id)) else {
        return;
    };
    // A connection that was lost without a sign would otherwise time out every attempt for as long as it stays open.
    if connection.last_read_at() <= sent_at && connection.retire() {
        increment(&context.counters.silent_upstream_connections);
    }
}

/// Tells the member that has it, whichever that is, that nobody waits any more for an attempt.
pub(crate) fn cancel_anywhere(context: &ForwarderContext, id: AttemptId) {
    let upstreams = context.upstreams.upstreams.borrow();
    upstreams
        .values()
        .any(|upstream| upstream.cancel(id).is_some());
}
