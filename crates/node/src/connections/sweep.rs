//! The periodic check for connections to close: unused, stuck, forgotten by their callers, or too far behind.

use super::capacity::{evict_idle, remaining_capacity};
use crate::completion;
use crate::connection::{close_reason, Connection};
use crate::context::NodeContext;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Between two sweeps.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

/// After `shutdown` was sent, for the dispatcher to close by itself.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);

/// After which a connection on which no byte moved, though answers wait to be read, is stuck.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Beyond the time for which callers cache an unused connection: after it they have forgotten this one.
const FORGOTTEN_MARGIN: Duration = Duration::from_secs(2);

/// Unread answers on all connections together may take this part of the memory: an eighth.
const UNREAD_MEMORY_FRACTION: usize = 8;

/// Sweeps ten times a second, for as long as the process lives.
pub async fn sweep_connections(context: Rc<NodeContext>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        completion::end_orphans(&context, Instant::now());
        close_unused(&context, Instant::now());
        // Calls below started since connections took the descriptors that are theirs.
        for _ in remaining_capacity(&context)..0 {
            evict_idle(&context, close_reason::CAPACITY);
        }
        bound_unread_answers(&context);
    }
}

/// Closes connections that are stuck, and asks dispatchers to close those that were unused for too long.
fn close_unused(context: &NodeContext, now: Instant) {
    let idle_limit = context.core.borrow().table.idle_limit;
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

/// Whether `shutdown` was sent on it longer ago than a dispatcher takes to close.
fn ignores_shutdown(conn: &Connection, now: Instant) -> bool {
    conn.shutdown_sent_at
        .get()
        .is_some_and(|sent| now.duration_since(sent) > SHUTDOWN_TIMEOUT)
}

/// Whether a connection that was quiet for so long is past the policy's limit, where that is shorter than callers
/// cache a connection, or is forgotten by its caller.
fn is_unused(quiet: Duration, idle_limit: Duration, idle_timeout: Duration) -> bool {
    let forgotten_after = idle_timeout + FORGOTTEN_MARGIN;
    quiet > idle_limit.min(forgotten_after)
        && (idle_limit < idle_timeout || quiet > forgotten_after)
}

/// Closes the connection with most unread answers where all of them together take too much memory.
fn bound_unread_answers(context: &NodeContext) {
    let connections = context.connections.borrow();
    let unread = |conn: &Rc<Connection>| conn.outgoing.borrow().len();
    let total: usize = connections.values().map(unread).sum();
    if total <= context.config.memory / UNREAD_MEMORY_FRACTION {
        return;
    }
    if let Some(conn) = connections.values().max_by_key(|&conn| unread(conn)) {
        conn.close_with(close_reason::UNREAD);
    }
}
