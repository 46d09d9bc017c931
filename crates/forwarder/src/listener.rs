//! Client connections: accepted here, read and written in `session`.
//!
//! After listening stops, connections that are already in the kernel's accept queue are still accepted and served.

mod client_connection;
mod delivery;
mod frames;
mod session;

pub(crate) use client_connection::ClientConnection;

use crate::connection_limits::{self, Eviction};
use crate::observability::increment;
use crate::ForwarderContext;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, yield_now};
use tokio::time::{sleep, timeout};

/// Limit on client connections, 20 KB each while they are busy.
pub const MAX_CLIENT_CONNECTIONS: usize = 12_000;
/// Delay after a failed accept, most likely for lack of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Consecutive errors after listening stopped, after which the rest of the accept queue is abandoned.
const MAX_ACCEPT_ERRORS: usize = 20;

/// Which connections are accepted.
#[derive(Clone, Copy, PartialEq, Eq)]
enum AcceptPhase {
    Listening,
    /// Only those that are already in the kernel's accept queue.
    DrainingQueue,
}

/// Accepts connections until listening stops, then those left in the kernel's accept queue.
pub(crate) async fn accept(context: Rc<ForwarderContext>, listener: TcpListener) {
    let mut phase = AcceptPhase::Listening;
    let mut errors = 0;
    while errors < MAX_ACCEPT_ERRORS {
        let accepted = match phase {
            AcceptPhase::Listening => tokio::select! {
                accepted = listener.accept() => accepted,
                () = context.drain.accept_stopped() => {
                    phase = AcceptPhase::DrainingQueue;
                    continue;
                }
            },
            AcceptPhase::DrainingQueue => {
                let Some(accepted) = accept_queued(&listener).await else {
                    return;
                };
                errors = if accepted.is_err() { errors + 1 } else { 0 };
                accepted
            }
        };
        match accepted {
            Ok((stream, peer)) => on_accepted(&context, stream, peer).await,
            Err(error) => match connection_limits::recover_descriptor(&context, &error).await {
                // The number of connections that can be evicted is finite, so this loop ends.
                Some(Eviction::Requested) => errors = 0,
                Some(Eviction::NoneIdle) | None => sleep(ACCEPT_BACKOFF).await,
            },
        }
    }
}

/// The next connection in the kernel's accept queue; `None` if it is empty.
async fn accept_queued(listener: &TcpListener) -> Option<io::Result<(TcpStream, SocketAddr)>> {
    // The runtime limits how much a task may do without a yield.
    yield_now().await;
    timeout(Duration::ZERO, listener.accept()).await.ok()
}

/// Serves a connection in its own task, unless the connection limit is reached.
async fn on_accepted(context: &Rc<ForwarderContext>, stream: TcpStream, peer: SocketAddr) {
    increment(&context.counters.accepted_connections);
    if !connection_limits::has_capacity(context) {
        increment(&context.counters.refused_connections);
        return;
    }
    let _ = stream.set_nodelay(true);
    let client = Rc::new(ClientConnection::new());
    let connection_id = context.next_id();
    context
        .clients
        .borrow_mut()
        .insert(connection_id, client.clone());
    context.connection_limits.on_accepted(connection_id);
    spawn_local(serve_client(
        context.clone(),
        client,
        connection_id,
        stream,
        peer,
    ));
    // Lets a connection that was evicted in favour of this one close before the next accept.
    yield_now().await;
}

async fn serve_client(
    context: Rc<ForwarderContext>,
    client: Rc<ClientConnection>,
    connection_id: u64,
    stream: TcpStream,
    peer: SocketAddr,
) {
    let reason = session::serve(&context, &client, &stream).await;
    context.clients.borrow_mut().remove(&connection_id);
    context.connection_limits.on_eviction_settled(&client);
    let open: Vec<u64> = client.open_requests.borrow().values().copied().collect();
    for request_id in &open {
        context.on_caller_gone(*request_id);
    }
    tracing::debug!(
        event = "connection_end",
        words = "end",
        conn = connection_id,
        peer = %peer,
        code = reason.as_str(),
        open = open.len()
    );
}
