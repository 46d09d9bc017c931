//! Graceful shutdown, from the notice to the end of the process, in this order:
//!
//! 1. New connections are accepted only as far as the system had taken them already; probes are answered "not well";
//!    every client that is connected then is sent the shutdown notice; one that is accepted later is only rejected.
//! 2. New requests are rejected; those in flight are waited for until [`DrainSchedule::fail_at`].
//! 3. Requests that are still in flight then are answered as failed.
//! 4. Calls that crossed the notice are rejected for `DRAIN_SETTLE_TIME` more.
//! 5. Nothing more is taken from clients. Each connection ends when its client has all answers; what has not arrived at
//!    [`DrainSchedule::end_at`] is cut off and counted.
//!
//! All of it is over by the drain's timeout, at which the process may be killed.

use crate::ForwarderContext;
use rainstand_protocol::thrift;
use std::cell::Cell;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout_at};

/// After the last answer, for calls that crossed the notice: the protocol allows them 50 ms.
const DRAIN_SETTLE_TIME: Duration = Duration::from_millis(200);
/// From the end of the requests in flight to the end of the drain, for their answers to reach the clients.
const FINAL_WRITE_TIME: Duration = Duration::from_millis(500);
/// The same, as a share of a short drain.
const MAX_FINAL_WRITE_SHARE: f64 = 0.25;
/// From the end of the drain to its timeout, as the kill may come on time.
const KILL_MARGIN: Duration = Duration::from_millis(50);
/// The same, as a share of a short drain.
const MAX_KILL_MARGIN_SHARE: f64 = 0.05;
/// Before the end of a connection no new frame is begun for this long, so that the last one is complete.
const LAST_FRAME_TIME: Duration = Duration::from_millis(100);
/// Between looks at what is still open.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// When the steps of a drain end.
#[derive(Clone, Copy, Debug)]
pub struct DrainSchedule {
    /// Requests in flight are answered as failed.
    pub fail_at: Instant,
    /// All connections are closed, whatever is still on its way.
    pub end_at: Instant,
    /// The process may be killed.
    pub kill_at: Instant,
}

impl DrainSchedule {
    /// Of a drain that begins now and is killed after `timeout`.
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

/// When the close of a connection has to be over.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CloseDeadlines {
    /// Frames that the system has taken nothing of by then are dropped.
    pub(crate) begin_frames_by: Instant,
    /// The connection is closed, whatever is still on its way.
    pub(crate) close_by: Instant,
}

impl CloseDeadlines {
    pub(crate) fn before(close_by: Instant) -> Self {
        Self {
            begin_frames_by: close_by.checked_sub(LAST_FRAME_TIME).unwrap_or(close_by),
            close_by,
        }
    }
}

/// Whether the forwarder shuts down.
#[derive(Debug, Default)]
pub struct DrainState {
    schedule: Cell<Option<DrainSchedule>>,
    accept_stopped: Notify,
}

impl DrainState {
    /// Whether new requests are rejected since the process ends.
    pub fn is_draining(&self) -> bool {
        self.schedule.get().is_some()
    }

    /// By when connections have to be closed, once the forwarder drains.
    pub(crate) fn close_deadlines(&self) -> Option<CloseDeadlines> {
        let schedule = self.schedule.get()?;
        Some(CloseDeadlines::before(schedule.end_at))
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

/// Shuts down as the module describes; `drain_timeout`: from now to the kill.
pub(crate) async fn drain(context: &ForwarderContext, drain_timeout: Duration) {
    let schedule = DrainSchedule::new(Instant::now(), drain_timeout);
    begin(context, schedule);
    wait_for_requests(context, schedule.fail_at).await;
    context.fail_all_in_flight();
    reject_crossing_calls(context, schedule.end_at).await;
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

/// Gives calls that crossed the notice the time to come, unless all clients closed their connections.
async fn reject_crossing_calls(context: &ForwarderContext, end_at: Instant) {
    let settled_at = Instant::now() + DRAIN_SETTLE_TIME;
    let close_at = CloseDeadlines::before(end_at).begin_frames_by;
    while Instant::now() < settled_at.min(close_at) && !context.clients.borrow().is_empty() {
        sleep(DRAIN_POLL_INTERVAL).await;
    }
}

/// Waits until all connections are closed; each of them has the schedule's end as its deadline.
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
