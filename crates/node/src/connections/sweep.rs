//! The periodic check for connections to close: unused, stuck, dropped by their callers, or with too many unread
//! answers.

use super::capacity::{evict_idle, remaining_capacity};
use crate::completion;
use crate::connection::{close_reason, Connection};
use crate::context::NodeContext;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Time between two sweeps.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

/// How long a client may take to close a connection after `shutdown` was sent.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);

/// Time without transferred bytes after which a connection with unread answers counts as stuck.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Added to the time for which callers cache an unused connection: after it they have dropped the connection.
const CACHE_MARGIN: Duration = Duration::from_secs(2);

/// Unread answers on all connections together may use one eighth of the memory.
const UNREAD_MEMORY_FRACTION: usize = 8;

/// Sweeps ten times a second until the process exits.
pub async fn sweep_connections(context: Rc<NodeContext>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        completion::end_orphans(&context, Instant::now());
        close_unused(&context, Instant::now());
        // Downstream calls may have started since connections took their descriptors.
        for _ in remaining_capacity(&context)..0 {
            evict_idle(&context, close_reason::CAPACITY);
        }
        bound_unread_answers(&context);
    }
}

/// Closes stuck connections, and asks clients to close those that were unused for too long.
fn close_unused(context: &NodeContext, now: Instant) {
    let idle_limit = context.core.borrow().table.idle_timeout;
    let idle_timeout = context.idle_timeout.get();
    for conn in context.connections.borrow().values() {
        let quiet = now.duration_since(conn.last_activity.get());
        if !conn.is_idle() {
            if quiet > UNREAD_TIMEOUT && !conn.outgoing.borrow().is_empty() {
                conn.close_with(close_reason::UNREAD);
            }
        } else if ignores_shutdown(conn, now) {
            conn.close_with(close_reason::IDLE);
        } else if is_unused(quiet, idle_limit, idle_timeout) {
            conn.send_shutdown();
        }
    }
}

/// Whether the client has not closed the connection within [`SHUTDOWN_TIMEOUT`].
fn ignores_shutdown(conn: &Connection, now: Instant) -> bool {
    conn.shutdown_sent_at
        .get()
        .is_some_and(|sent| now.duration_since(sent) > SHUTDOWN_TIMEOUT)
}

/// Whether a connection without activity for `quiet` is past the policy's limit, if that is shorter than the time for
/// which callers cache a connection, or has been dropped by its caller.
fn is_unused(quiet: Duration, idle_limit: Duration, idle_timeout: Duration) -> bool {
    let dropped_after = idle_timeout + CACHE_MARGIN;
    quiet > idle_limit.min(dropped_after) && (idle_limit < idle_timeout || quiet > dropped_after)
}

/// Closes the connection with the most unread answers if all unread answers together use too much memory.
fn bound_unread_answers(context: &NodeContext) {
    let connections = context.connections.borrow();
    let unread = |conn: &Rc<Connection>| conn.outgoing.borrow().len();
    let total: usize = connections.values().map(unread).sum();
    if total <= context.config.memory_bytes / UNREAD_MEMORY_FRACTION {
        return;
    }
    if let Some(conn) = connections.values().max_by_key(|&conn| unread(conn)) {
        conn.close_with(close_reason::UNREAD);
    }
}
