//! The drain after the shutdown notice: every request that was read is answered, then the process exits.

use crate::connection::close_reason;
use crate::context::NodeContext;
use crate::log_event;
use rainstand_cluster::planted;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// The kill time reported to the policy is this much earlier than the real one; the policy answers everything by then.
const POLICY_KILL_MARGIN: Duration = Duration::from_millis(150);

/// The process exits this long before the kill, even if requests are open.
const PROCESS_KILL_MARGIN: Duration = Duration::from_millis(50);

/// Share of the time until the kill in which the node listens: the last requests must also finish.
const LISTENING_SHARE: f64 = 0.6;

/// How long connections are read after listening has ended, for frames in transit: the protocol allows 50 ms.
const IN_TRANSIT_TIMEOUT: Duration = Duration::from_millis(200);

/// How long the transfer of the shards' leadership to other members may take.
const LEADERSHIP_TRANSFER_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between checks for open connections.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Drains the node; returns when listening has ended and all connections are closed, or shortly before the kill.
///
/// `planted` enables a deliberate bug for the testbed; it is always false without the feature `planted`.
pub async fn drain(context: &Rc<NodeContext>) {
    let noticed_at = Instant::now();
    let until_kill = context.config.stop_timeout;
    let margin = if planted("answers-dropped-at-kill") {
        POLICY_KILL_MARGIN * 3
    } else {
        PROCESS_KILL_MARGIN
    };
    let deadline = noticed_at + until_kill.saturating_sub(margin);
    start_drain(context, noticed_at);
    transfer_leadership(context);
    notify_policy(context);
    let stop_listening_at = noticed_at + listening_time(context, until_kill);
    sleep(stop_listening_at.saturating_duration_since(Instant::now())).await;
    context.stop_listening.notify_one();
    let stopped_at = Instant::now();
    // Each connection is closed gracefully once no answer is pending on it, and the close is waited for: an exit of
    // the process would discard answers in transit and unread requests.
    while Instant::now() < deadline && close_idle_connections(context, stopped_at.elapsed()) {
        sleep(POLL_INTERVAL).await;
    }
    let unanswered = if planted("answers-dropped-at-kill") {
        0
    } else {
        context.core.borrow_mut().table.fail_all()
    };
    sleep(POLL_INTERVAL).await;
    for conn in context.connections.borrow().values() {
        conn.close_with(close_reason::KILL);
    }
    sleep(POLL_INTERVAL).await;
    log_event!(
        "drain_ends",
        "drain ends",
        owing = unanswered,
        after_ms = noticed_at.elapsed().as_millis()
    );
}

/// Stores and logs the shutdown notice, and asks clients to stop using their connections.
fn start_drain(context: &NodeContext, noticed_at: Instant) {
    context.draining_since.set(Some(noticed_at));
    context.report_wakeup.notify_one();
    let pending = context.core.borrow().table.pending_reply_count();
    let connections = context.connections.borrow().len();
    log_event!(
        "drain_begins",
        "drain begins",
        owing = pending,
        conns = connections,
        stop_ms = context.config.stop_timeout.as_millis()
    );
    for conn in context.connections.borrow().values() {
        conn.send_shutdown();
    }
}

/// Starts the transfer of shard leadership to other members; requests in flight are still served.
fn transfer_leadership(context: &NodeContext) {
    let group = context.core.borrow().table.group.clone();
    if let Some(group) = group {
        tokio::task::spawn_local(async move {
            group.member().leave(LEADERSHIP_TRANSFER_TIMEOUT).await;
        });
    }
}

/// How long the node listens after the notice. Callers learn late that the node drains: their requests are accepted
/// for as long as they can still run.
fn listening_time(context: &NodeContext, until_kill: Duration) -> Duration {
    if context.core.borrow().controller.is_some() {
        let grace = context.drain_grace.get();
        grace.min(until_kill.mul_f64(LISTENING_SHARE))
    } else {
        Duration::ZERO
    }
}

/// Closes idle connections once `since_stopped`, the time since listening ended, exceeds [`IN_TRANSIT_TIMEOUT`]; returns
/// whether any are left.
fn close_idle_connections(context: &NodeContext, since_stopped: Duration) -> bool {
    let is_listening = context.listener.borrow().is_some();
    let connections = context.connections.borrow();
    for conn in connections.values() {
        conn.send_shutdown();
        if conn.is_idle() && !is_listening && since_stopped > IN_TRANSIT_TIMEOUT {
            conn.close_with(close_reason::DRAIN);
        }
    }
    is_listening || !connections.is_empty()
}

/// Passes the shutdown notice and its time to the policy, if there was one.
pub fn notify_policy(context: &NodeContext) {
    let Some(noticed_at) = context.draining_since.get() else {
        return;
    };
    context.drive_policy(|policy, _, table| {
        let notice_time = noticed_at.saturating_duration_since(table.started);
        let kill = noticed_at
            + context
                .config
                .stop_timeout
                .saturating_sub(POLICY_KILL_MARGIN);
        let kill_in = kill
            .saturating_duration_since(table.started)
            .saturating_sub(notice_time);
        policy.on_shutdown_notice(notice_time, table, kill_in);
    });
}
