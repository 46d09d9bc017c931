//! Accepts connections until listening ends, then those that are left in the system's accept backlog.

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

/// Pause after a failed accept. Accepts fail, for example, while no descriptor is free.
const ACCEPT_RETRY_BACKOFF: Duration = Duration::from_millis(50);

/// Consecutive errors after which the rest of the backlog is abandoned once listening has ended: one second of
/// errors at [`ACCEPT_RETRY_BACKOFF`].
const MAX_CONSECUTIVE_ERRORS: usize = 20;

/// How a failed accept was handled.
#[derive(Clone, Copy, PartialEq, Eq)]
enum AcceptRetry {
    /// An idle connection is being closed to free a descriptor.
    Evicted,
    /// Nothing could be closed, or the error has another cause.
    BackedOff,
}

/// Accepts until listening ends; the listener is closed once the backlog has been accepted.
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
                    // A connection that was evicted for this one closes before the next accept, also during a burst.
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

/// Accepts the connections that were in the backlog when listening ended, and goes on after errors.
async fn accept_backlog(context: &Rc<NodeContext>, listener: &TcpListener, mut failing: bool) {
    let mut errors = 0;
    while errors < MAX_CONSECUTIVE_ERRORS {
        match timeout(Duration::ZERO, listener.accept()).await {
            Ok(Ok((stream, peer))) => {
                errors = 0;
                admit(context, stream, peer);
                // The runtime limits a task's operations between yields: without this one the timeout would elapse
                // while connections are still in the backlog.
                tokio::task::yield_now().await;
            }
            // Errors followed by an eviction are not counted: the number of connections bounds them.
            Ok(Err(error)) => {
                let retry = accept_failed(context, &error, &mut failing).await;
                errors += usize::from(retry == AcceptRetry::BackedOff);
            }
            Err(_) => break,
        }
    }
}

/// Counts and logs a failed accept, evicts a connection if descriptors were exhausted, and waits before the retry.
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

/// Serves a new connection, or closes it if the node is at capacity and all connections are in use.
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
        .recording
        .get()
        .map(|record| record.recorder.connection(peer, context.config.listen));
    let conn = Rc::new(Connection::new(id, peer, stream, recording));
    context.connections.borrow_mut().insert(id, conn.clone());
    tokio::task::spawn_local(serve(context.clone(), conn));
}
