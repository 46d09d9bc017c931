//! Graceful shutdown, from the notice to the end of the process, in this order:
//!
//! 1. New connections are accepted only as far as the system had taken them already; probes are answered "not well";
//!    every client that is connected then is sent the shutdown notice; one that is accepted later is only rejected.
//! 2. New requests are rejected; those in flight are waited for until the deadline.
//! 3. Requests that are still in flight at the deadline are answered as failed.
//! 4. Answers are written, and calls that crossed the notice are rejected, for at least `DRAIN_SETTLE_TIME` and at
//!    most until `FINAL_WRITE_TIMEOUT` after the deadline; sooner if all clients closed their connections.

use crate::ForwarderContext;
use rainstand_protocol::thrift;
use std::cell::Cell;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::time::sleep;

/// After the last answer, for calls that crossed the notice: the protocol allows them 50 ms.
const DRAIN_SETTLE_TIME: Duration = Duration::from_millis(200);
/// After the deadline, for answers given at the very end to be written.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_millis(300);
/// Between looks at what is still owed.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Whether the forwarder shuts down.
#[derive(Debug, Default)]
pub struct DrainState {
    draining: Cell<bool>,
    accept_stopped: Notify,
}

impl DrainState {
    /// Whether new requests are rejected since the process ends.
    pub fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Ends listening, once what the system already accepted has been taken. Alone, it does not begin a drain.
    pub fn stop_accepting(&self) {
        self.accept_stopped.notify_one();
    }

    /// Completes when [`DrainState::stop_accepting`] is called.
    pub(crate) async fn accept_stopped(&self) {
        self.accept_stopped.notified().await;
    }
}

/// Shuts down as the module describes; `drain_timeout`: from now to the deadline for requests in flight.
pub(crate) async fn drain(context: &ForwarderContext, drain_timeout: Duration) {
    begin(context);
    let deadline = Instant::now() + drain_timeout;
    wait_for_requests(context, deadline).await;
    context.fail_all_in_flight();
    write_answers(context, deadline + FINAL_WRITE_TIMEOUT).await;
}

fn begin(context: &ForwarderContext) {
    context.drain.draining.set(true);
    context.drain.stop_accepting();
    for client in context.clients.borrow().values() {
        client.send(&thrift::shutdown());
    }
}

async fn wait_for_requests(context: &ForwarderContext, deadline: Instant) {
    while !context.requests.is_empty() && Instant::now() < deadline {
        sleep(DRAIN_POLL_INTERVAL).await;
    }
}

async fn write_answers(context: &ForwarderContext, write_deadline: Instant) {
    let settled_at = Instant::now() + DRAIN_SETTLE_TIME;
    loop {
        if context.clients.borrow().is_empty() {
            return;
        }
        if all_flushed(context) && Instant::now() >= settled_at {
            return;
        }
        if Instant::now() >= write_deadline {
            return;
        }
        sleep(DRAIN_POLL_INTERVAL).await;
    }
}

fn all_flushed(context: &ForwarderContext) -> bool {
    let clients = context.clients.borrow();
    clients.values().all(|client| client.is_flushed())
}
