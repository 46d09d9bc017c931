//! How many connections may stand beside calls to the tier below, and eviction of idle ones.

use crate::connection::{close_reason, Connection};
use crate::context::NodeContext;
use std::rc::Rc;

/// Descriptors reserved for the agent, the announce service, the listener, the runtime's own, standard streams, and
/// connections that are being closed.
const RESERVED_DESCRIPTORS: usize = 64;

/// Of these, what a node at work has open beside connections and calls: twelve, and as many to spare.
const WORKING_DESCRIPTORS: usize = 24;

/// Descriptors reserved for calls below even while few are out, as many of them start at once.
const MIN_CALL_DESCRIPTORS: usize = 48;

/// Closing connections that are not counted as standing: a quarter of the reserved descriptors.
pub(super) const MAX_CLOSING: usize = RESERVED_DESCRIPTORS / 4;

/// How many connections of dispatchers may stand beside `calls` calls below, out of `sockets` descriptors.
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

/// Connections that may still be opened; negative if more stand than may.
pub(super) fn remaining_capacity(context: &NodeContext) -> isize {
    let calls = context.core.borrow().table.downstream.out.get();
    // A connection that is asked to close is about to: counted as standing, a second would be closed for one need.
    let to_close =
        |conn: &&Rc<Connection>| conn.close_reason.get().is_some() && !conn.closing.get();
    let connections = context.connections.borrow();
    let to_close = connections.values().filter(to_close).count();
    let standing = connections.len() - to_close - closing_count(context).min(MAX_CLOSING);
    let sockets = context
        .config
        .sockets
        .saturating_sub(context.reserved_descriptors.get());
    connection_capacity(sockets, calls) as isize - standing as isize
}

/// Connections that only wait for the other side's end.
pub(super) fn closing_count(context: &NodeContext) -> usize {
    context
        .connections
        .borrow()
        .values()
        .filter(|conn| conn.closing.get())
        .count()
}

/// Closes the idle connection whose last activity is oldest, with this reason code; false if all are in use.
///
/// One on which nothing was ever served goes before all others, so that a crowd of silent connections does not
/// displace the dispatchers.
pub(super) fn evict_idle(context: &NodeContext, code: &'static str) -> bool {
    let connections = context.connections.borrow();
    // One that closes already frees no further descriptor.
    let is_evictable = |conn: &&Rc<Connection>| {
        conn.is_idle() && conn.close_reason.get().is_none() && !conn.closing.get()
    };
    let candidate = connections
        .values()
        .filter(is_evictable)
        .min_by_key(|conn| (conn.is_known.get(), conn.last_activity.get()));
    let Some(conn) = candidate else {
        return false;
    };
    conn.close_with(code);
    true
}

/// Closes an idle connection at once, for a descriptor that the node itself needs; false if all are in use.
pub fn evict_for_descriptor(context: &NodeContext) -> bool {
    evict_idle(context, close_reason::DESCRIPTORS)
}

/// Evicts idle connections for a call below that is about to open its own.
///
/// The periodic sweep does the same, but many calls may start between two sweeps.
pub async fn reserve_for_call(context: &NodeContext) {
    let mut evicted =
        remaining_capacity(context) < 0 && evict_idle(context, close_reason::CAPACITY);
    // With few descriptors, the half that connections may always have is more than calls leave.
    let standing = context.connections.borrow().len();
    let calls = context.core.borrow().table.downstream.out.get();
    let reserved = WORKING_DESCRIPTORS + context.reserved_descriptors.get();
    if standing + calls + reserved > context.config.sockets {
        evicted |= evict_for_descriptor(context);
    }
    if evicted {
        tokio::task::yield_now().await;
    }
}
