//! The drain after the shutdown notice: everything that was read is answered, then the process ends.

use crate::connection::close_reason;
use crate::context::NodeContext;
use crate::log_event;
use rainstand_cluster::planted;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// The policy is notified that the kill comes this much sooner than it does, and answers everything before.
const POLICY_KILL_MARGIN: Duration = Duration::from_millis(150);

/// At this time before the kill the process ends, whatever is still open.
const PROCESS_KILL_MARGIN: Duration = Duration::from_millis(50);

/// Share of the time until the kill in which the node still listens: what comes last must also end.
const LISTENING_SHARE: f64 = 0.6;

/// After the end of listening, for frames that crossed it: the protocol allows 50 ms.
const CROSSING_TIMEOUT: Duration = Duration::from_millis(200);

/// How long the transfer of the shards' leadership to other members may take.
const LEADERSHIP_TRANSFER_TIMEOUT: Duration = Duration::from_millis(500);

/// Between checks of what is still open.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Drains the node; returns when it no longer listens and all connections are closed, or shortly before the kill.
///
/// `planted`: a deliberate bug for the testbed; always false without the feature `planted`.
pub async fn drain(context: &Rc<NodeContext>) {
    let noticed = Instant::now();
    let until_kill = context.config.stop;
    let margin = if planted("answers-dropped-at-kill") {
        POLICY_KILL_MARGIN * 3
    } else {
        PROCESS_KILL_MARGIN
    };
    let deadline = noticed + until_kill.saturating_sub(margin);
    start_drain(context, noticed);
    transfer_leadership(context);
    notify_policy(context);
    let stop_listening_at = noticed + listening_time(context, until_kill);
    sleep(stop_listening_at.saturating_duration_since(Instant::now())).await;
    context.stop_listening.notify_one();
    let stopped = Instant::now();
    // Each connection is closed gracefully once no answer is pending on it, and is waited for: the end of the process
    // would cut off an answer on its way, or a request that lies unread.
    while Instant::now() < deadline && close_idle_connections(context, stopped.elapsed()) {
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
        after_ms = noticed.elapsed().as_millis()
    );
}

/// Notes and logs the shutdown notice, and asks the dispatchers to use their connections no more.
fn start_drain(context: &NodeContext, noticed: Instant) {
    context.leaving.set(Some(noticed));
    context.report_wakeup.notify_one();
    let pending = context.core.borrow().table.pending_reply_count();
    let connections = context.connections.borrow().len();
    log_event!(
        "drain_begins",
        "drain begins",
        owing = pending,
        conns = connections,
        stop_ms = context.config.stop.as_millis()
    );
    for conn in context.connections.borrow().values() {
        conn.send_shutdown();
    }
}

/// Other members lead the shards from here on, while requests in flight are still served.
fn transfer_leadership(context: &NodeContext) {
    let group = context.core.borrow().table.group.clone();
    if let Some(group) = group {
        tokio::task::spawn_local(async move {
            group.member().leave(LEADERSHIP_TRANSFER_TIMEOUT).await;
        });
    }
}

/// How long after the notice the node still listens. Callers learn late that the node leaves: as long as what they send
/// may still be run, it is accepted.
fn listening_time(context: &NodeContext, until_kill: Duration) -> Duration {
    if context.core.borrow().controller.is_some() {
        let grace = context.drain_grace.get();
        grace.min(until_kill.mul_f64(LISTENING_SHARE))
    } else {
        Duration::ZERO
    }
}

/// Closes connections on which nothing is pending, so long after the end of listening; whether any are left.
fn close_idle_connections(context: &NodeContext, since_stopped: Duration) -> bool {
    let is_listening = context.listener.borrow().is_some();
    let connections = context.connections.borrow();
    for conn in connections.values() {
        conn.send_shutdown();
        if conn.is_idle() && !is_listening && since_stopped > CROSSING_TIMEOUT {
            conn.close_with(close_reason::DRAIN);
        }
    }
    is_listening || !connections.is_empty()
}

/// Tells the policy of the shutdown notice, if there was one, with the time at which it came.
pub fn notify_policy(context: &NodeContext) {
    let Some(noticed) = context.leaving.get() else {
        return;
    };
    context.drive_policy(|policy, _, table| {
        let at = noticed.saturating_duration_since(table.started);
        let kill = noticed + context.config.stop.saturating_sub(POLICY_KILL_MARGIN);
        let kill_in = kill
            .saturating_duration_since(table.started)
            .saturating_sub(at);
        policy.on_shutdown_notice(at, table, kill_in);
    });
}
