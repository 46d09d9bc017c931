//! Graceful shutdown, in this order:
//!
//! 1. Only connections that are already in the kernel's accept queue are accepted; probes are answered as unhealthy;
//!    every connected client is sent a shutdown notice. Clients accepted later get no notice, only rejections.
//! 2. New requests are rejected; those in flight may complete until [`DrainSchedule::fail_at`].
//! 3. Requests that are still in flight then are answered as failed.
//! 4. Calls that clients sent before they read the notice are rejected for another `DRAIN_SETTLE_TIME`.
//! 5. Nothing more is read from clients. Each connection is closed when its client has all answers; answers that are not
//!    delivered by [`DrainSchedule::end_at`] are cut off and counted.
//!
//! The drain is over by its timeout, at which the process may be killed.

use crate::ForwarderContext;
use rainstand_protocol::thrift;
use std::cell::Cell;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout_at};

/// Time after the last answer for calls that clients sent before they read the notice; the protocol allows 50 ms.
const DRAIN_SETTLE_TIME: Duration = Duration::from_millis(200);
/// Time for answers to reach the clients, from the end of the requests in flight to the end of the drain.
const FINAL_WRITE_TIME: Duration = Duration::from_millis(500);
/// Upper limit of [`FINAL_WRITE_TIME`], as a fraction of the drain's timeout.
const MAX_FINAL_WRITE_SHARE: f64 = 0.25;
/// Time from the end of the drain to its timeout, as the process may be killed exactly at the timeout.
const KILL_MARGIN: Duration = Duration::from_millis(50);
/// Upper limit of [`KILL_MARGIN`], as a fraction of the drain's timeout.
const MAX_KILL_MARGIN_SHARE: f64 = 0.05;
/// Time before the close of a connection in which no new frame is started, so that the last one is complete.
const LAST_FRAME_TIME: Duration = Duration::from_millis(100);
/// Interval at which open requests and connections are checked.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Times at which the steps of a drain end.
#[derive(Clone, Copy, Debug)]
pub struct DrainSchedule {
    /// Requests that are still in flight are answered as failed.
    pub fail_at: Instant,
    /// All connections are closed, even with undelivered answers.
    pub end_at: Instant,
    /// The process may be killed.
    pub kill_at: Instant,
}

impl DrainSchedule {
    /// The schedule of a drain that starts at `now` and may be killed after `timeout`.
    pub fn new(now: Instant, timeout: Duration) -> Self {
        let kill_margin = KILL_MARGIN.min(timeout.mul_f64(MAX_KILL_MARGIN_SHARE));
        let final_write = FINAL_WRITE_TIME.min(timeout.mul_f64(MAX_FINAL_WRITE_SHARE));
        let end_at = now + timeout.saturating_sub(kill_margin);
        Self {
            fail_at: now + timeout.saturating_sub(kill_margin + final_write),
            end_at,
            kill_at: now + timeout,
        }
    }
}

/// Deadlines for the close of a connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CloseDeadlines {
    /// Frames of which the kernel has accepted nothing by then are dropped.
    pub(crate) start_frames_by: Instant,
    /// The connection is closed, even with undelivered answers.
    pub(crate) close_by: Instant,
}

impl CloseDeadlines {
    pub(crate) fn before(close_by: Instant) -> Self {
        Self {
            start_frames_by: close_by.checked_sub(LAST_FRAME_TIME).unwrap_or(close_by),
            close_by,
        }
    }
}

/// Whether the forwarder is shutting down.
#[derive(Debug, Default)]
pub struct DrainState {
    schedule: Cell<Option<DrainSchedule>>,
    accept_stopped: Notify,
}

impl DrainState {
    /// Whether the forwarder is draining, so that new requests are rejected.
    pub fn is_draining(&self) -> bool {
        self.schedule.get().is_some()
    }

    /// Deadlines for closing connections; `None` if the forwarder is not draining.
    pub(crate) fn close_deadlines(&self) -> Option<CloseDeadlines> {
        let schedule = self.schedule.get()?;
        Some(CloseDeadlines::before(schedule.end_at))
    }

    /// Stops listening; connections in the kernel's accept queue are still accepted. This alone does not start a drain.
    pub fn stop_accepting(&self) {
        self.accept_stopped.notify_one();
    }

    /// Completes when [`DrainState::stop_accepting`] is called.
    pub(crate) async fn accept_stopped(&self) {
        self.accept_stopped.notified().await;
    }
}

/// Drains as described in the module documentation; the process may be killed `drain_timeout` from now.
pub(crate) async fn drain(context: &ForwarderContext, drain_timeout: Duration) {
    let schedule = DrainSchedule::new(Instant::now(), drain_timeout);
    begin(context, schedule);
    wait_for_requests(context, schedule.fail_at).await;
    context.fail_all_in_flight();
    wait_for_late_calls(context, schedule.end_at).await;
    for client in context.clients.borrow().values() {
        client.stop_reading();
    }
    let _ = timeout_at(schedule.kill_at.into(), wait_for_clients(context)).await;
    log_cut_off(context);
}

fn begin(context: &ForwarderContext, schedule: DrainSchedule) {
    context.drain.schedule.set(Some(schedule));
    context.drain.stop_accepting();
    for client in context.clients.borrow().values() {
        client.send_notice(&thrift::shutdown());
    }
}

async fn wait_for_requests(context: &ForwarderContext, deadline: Instant) {
    while !context.requests.is_empty() && Instant::now() < deadline {
        sleep(DRAIN_POLL_INTERVAL).await;
    }
}

/// Waits for calls that clients sent before they read the notice, unless all clients have disconnected.
async fn wait_for_late_calls(context: &ForwarderContext, end_at: Instant) {
    let settled_at = Instant::now() + DRAIN_SETTLE_TIME;
    let close_at = CloseDeadlines::before(end_at).start_frames_by;
    while Instant::now() < settled_at.min(close_at) && !context.clients.borrow().is_empty() {
        sleep(DRAIN_POLL_INTERVAL).await;
    }
}

/// Waits until all connections are closed; each has [`DrainSchedule::end_at`] as its deadline.
async fn wait_for_clients(context: &ForwarderContext) {
    while !context.clients.borrow().is_empty() {
        sleep(DRAIN_POLL_INTERVAL).await;
    }
}

fn log_cut_off(context: &ForwarderContext) {
    let answers = context.counters.cut_off_answers.get();
    if answers > 0 {
        tracing::warn!(event = "answers_cut_off", answers);
    }
}
