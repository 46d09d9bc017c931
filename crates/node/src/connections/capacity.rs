//! How many connections may be open beside downstream calls, and eviction of idle ones.

use crate::connection::{close_reason, Connection};
use crate::context::NodeContext;
use std::rc::Rc;

/// Descriptors reserved for the agent, the announce service, the listener, the runtime, the standard streams and
/// connections that are being closed.
const RESERVED_DESCRIPTORS: usize = 64;

/// The part of [`RESERVED_DESCRIPTORS`] that a running node uses beside connections and calls: twelve, doubled as
/// a margin.
const WORKING_DESCRIPTORS: usize = 24;

/// Descriptors reserved for downstream calls even while few are in flight, as many may start at the same time.
const MIN_CALL_DESCRIPTORS: usize = 48;

/// Closing connections that are not counted as open: up to a quarter of the reserved descriptors.
pub(super) const MAX_CLOSING: usize = RESERVED_DESCRIPTORS / 4;

/// How many client connections may be open beside `calls` downstream calls, out of `sockets` descriptors.
///
/// ```
/// use rainstand_node::connections::connection_capacity;
/// let capacities = [0, 100, 300].map(|calls| connection_capacity(384, calls));
/// assert_eq!(capacities, [272, 220, 192]);
/// ```
#[must_use]
pub fn connection_capacity(sockets: usize, calls: usize) -> usize {
    sockets
        .saturating_sub(RESERVED_DESCRIPTORS + calls.max(MIN_CALL_DESCRIPTORS))
        .max(sockets / 2)
}

/// Connections that may still be opened; negative if more are open than allowed.
pub(super) fn remaining_capacity(context: &NodeContext) -> isize {
    let calls = context.core.borrow().table.downstream.in_flight.get();
    // A connection with a pending close request is not counted as open, or a second one would be evicted for the
    // same descriptor.
    let close_requested =
        |conn: &&Rc<Connection>| conn.close_reason.get().is_some() && !conn.closing.get();
    let connections = context.connections.borrow();
    let close_requested = connections.values().filter(close_requested).count();
    let open = connections.len() - close_requested - closing_count(context).min(MAX_CLOSING);
    let sockets = context
        .config
        .max_descriptors
        .saturating_sub(context.reserved_descriptors.get());
    connection_capacity(sockets, calls) as isize - open as isize
}

/// Connections that the node has ended and whose peer has not.
pub(super) fn closing_count(context: &NodeContext) -> usize {
    context
        .connections
        .borrow()
        .values()
        .filter(|conn| conn.closing.get())
        .count()
}

/// Closes the least recently active idle connection with this reason code; false if all are in use.
///
/// Connections on which nothing was ever served are evicted first, so that many silent connections do not displace
/// active clients.
pub(super) fn evict_idle(context: &NodeContext, code: &'static str) -> bool {
    let connections = context.connections.borrow();
    // One that is already closing frees no further descriptor.
    let is_evictable = |conn: &&Rc<Connection>| {
        conn.is_idle() && conn.close_reason.get().is_none() && !conn.closing.get()
    };
    let candidate = connections
        .values()
        .filter(is_evictable)
        .min_by_key(|conn| (conn.has_served.get(), conn.last_activity.get()));
    let Some(conn) = candidate else {
        return false;
    };
    conn.close_with(code);
    true
}

/// Closes an idle connection immediately, as the node itself needs a descriptor; false if all are in use.
pub fn evict_for_descriptor(context: &NodeContext) -> bool {
    evict_idle(context, close_reason::DESCRIPTORS)
}

/// Evicts idle connections for a downstream call that is about to open its own connection.
///
/// The periodic sweep does the same, but many calls may start between two sweeps.
pub async fn reserve_for_call(context: &NodeContext) {
    let mut evicted =
        remaining_capacity(context) < 0 && evict_idle(context, close_reason::CAPACITY);
    // With few descriptors, the half that connections may always use is more than calls leave free.
    let open = context.connections.borrow().len();
    let calls = context.core.borrow().table.downstream.in_flight.get();
    let reserved = WORKING_DESCRIPTORS + context.reserved_descriptors.get();
    if open + calls + reserved > context.config.max_descriptors {
        evicted |= evict_for_descriptor(context);
    }
    if evicted {
        tokio::task::yield_now().await;
    }
}
