//! Accepting connections, until the end of listening and past it for those that the system accepted before.

use super::capacity::{evict_for_descriptor, evict_idle, remaining_capacity};
use super::exchange::serve;
use crate::connection::{close_reason, Connection};
use crate::context::NodeContext;
use crate::counters::count;
use crate::descriptor_limit::{is_exhausted, RETRY_BACKOFF};
use crate::{log_event, log_frequent};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// Pause after an accept that failed, as it does when descriptors run out.
const ACCEPT_RETRY_BACKOFF: Duration = Duration::from_millis(50);

/// Errors in a row, at the end of listening, after which connections that still wait are left to the system: a
/// second of them at [`ACCEPT_RETRY_BACKOFF`].
const MAX_ERRORS_IN_A_ROW: usize = 20;

/// What was done after an accept that failed.
#[derive(Clone, Copy, PartialEq, Eq)]
enum AcceptRetry {
    /// An idle connection is being closed to free a descriptor.
    Evicted,
    /// Nothing could be closed, or the error has another cause.
    BackedOff,
}

/// Accepts until the end of listening; the listener is closed once everything that the system accepted before is
/// served.
pub async fn accept(context: Rc<NodeContext>) {
    let Some(listener) = context.listener.borrow().clone() else {
        return;
    };
    let mut failing = false;
    loop {
        tokio::select! {
            () = context.stop_listening.notified() => break,
            accepted = listener.accept() => match accepted {
                Ok((stream, peer)) => {
                    failing = false;
                    admit(&context, stream, peer);
                    // A connection that was evicted for this one closes first, also when many come at once.
                    tokio::task::yield_now().await;
                }
                Err(error) => {
                    accept_failed(&context, &error, &mut failing).await;
                }
            }
        }
    }
    accept_backlog(&context, &listener, failing).await;
    context.listener.take();
}

/// Takes over what the system accepted before the end of listening, also past an error.
async fn accept_backlog(context: &Rc<NodeContext>, listener: &TcpListener, mut failing: bool) {
    let mut errors = 0;
    while errors < MAX_ERRORS_IN_A_ROW {
        match timeout(Duration::ZERO, listener.accept()).await {
            Ok(Ok((stream, peer))) => {
                errors = 0;
                admit(context, stream, peer);
                // The runtime limits the operations of a task between yields: without one the timeout would come
                // while connections still wait.
                tokio::task::yield_now().await;
            }
            // Errors after which a connection is evicted are not counted: there are only so many connections.
            Ok(Err(error)) => {
                let retry = accept_failed(context, &error, &mut failing).await;
                errors += usize::from(retry == AcceptRetry::BackedOff);
            }
            Err(_) => break,
        }
    }
}

/// Counts and logs a failed accept, frees a descriptor if that was its cause, and waits before the next try.
async fn accept_failed(
    context: &NodeContext,
    error: &io::Error,
    failing: &mut bool,
) -> AcceptRetry {
    count(&context.counts.accept_errors);
    if !std::mem::replace(failing, true) {
        log_event!("accept_fails", "accept fails", why = error);
    }
    if is_exhausted(error) && evict_for_descriptor(context) {
        sleep(RETRY_BACKOFF).await;
        AcceptRetry::Evicted
    } else {
        sleep(ACCEPT_RETRY_BACKOFF).await;
        AcceptRetry::BackedOff
    }
}

/// Serves a new connection, unless the node is at its capacity and all connections are in use.
fn admit(context: &Rc<NodeContext>, stream: TcpStream, peer: SocketAddr) {
    count(&context.counts.accepted);
    let _ = stream.set_nodelay(true);
    let id = context.counts.accepted.get();
    if remaining_capacity(context) <= 0 && !evict_idle(context, close_reason::CAPACITY) {
        let code = close_reason::FULL;
        count(&context.counts.closed);
        *context.ends.borrow_mut().entry(code).or_default() += 1;
        log_frequent!("connection_end", "end", conn = id, peer = peer, code = code);
        return;
    }
    let recording = context
        .record
        .get()
        .map(|record| record.recorder.connection(peer, context.config.listen));
    let conn = Rc::new(Connection::new(id, peer, stream, recording));
    context.connections.borrow_mut().insert(id, conn.clone());
    tokio::task::spawn_local(serve(context.clone(), conn));
}
