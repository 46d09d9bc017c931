//! The notice to leave: everything read is answered, then the process ends.

use crate::connection::close_reason;
use crate::{log_event, NodeContext};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Kept free before the kill, by which the process must be gone: the module is told the kill comes this
/// much sooner and answers all before, and at the second of these the process ends, come what may.
const KILL_MARGIN: [Duration; 2] = [Duration::from_millis(150), Duration::from_millis(50)];
/// Share of the time until the kill in which the node still listens: what comes last must also end.
const LISTENING: f64 = 0.6;
/// After the socket stops listening, for what crossed it: the protocol speaks of 50 ms.
const CROSSING_REQUESTS_TIMEOUT: Duration = Duration::from_millis(200);
/// For the shards that are led here to be led elsewhere.
const LEADERSHIP_TRANSFER_TIMEOUT: Duration = Duration::from_millis(500);
/// Between looks at what is still owed.
const LOOK: Duration = Duration::from_millis(10);

/// From the notice on; returns when nothing is owed any more, or when the kill is near.
pub async fn drain(context: &Rc<NodeContext>) {
    let (noticed, stop) = (Instant::now(), context.config.stop);
    let ends = noticed + stop.saturating_sub(KILL_MARGIN[1]);
    context.leaving.set(Some(noticed));
    context.report_wakeup.notify_one();
    let owing = context.core.borrow().table.pending_reply_count();
    let conns = context.connections.borrow().len();
    log_event!(
        "drain_begins",
        "drain begins",
        owing = owing,
        conns = conns,
        stop_ms = stop.as_millis()
    );
    context
        .connections
        .borrow()
        .values()
        .for_each(|conn| conn.send_shutdown());
    // Others lead the shards from here on, while what is in hand is still served.
    let copies = context.core.borrow().table.group.clone();
    if let Some(copies) = copies {
        tokio::task::spawn_local(
            async move { copies.group().leave(LEADERSHIP_TRANSFER_TIMEOUT).await },
        );
    }
    notify_policy(context);
    // Callers learn late that the node leaves: as long as what they bring may still be run, it is taken.
    let begun = context.core.borrow().controller.is_some();
    let deaf_at = noticed
        + if begun {
            context.drain_grace.get().min(stop.mul_f64(LISTENING))
        } else {
            Duration::ZERO
        };
    sleep(deaf_at.saturating_duration_since(Instant::now())).await;
    context.stop_listening.notify_one();
    let deaf_at = Instant::now();
    // Each connection says good-bye once nothing is owed on it, and is waited for: an end of the process beside it
    // would cut off an answer on its way, or a ticket that lies unread.
    while Instant::now() < ends && close_idle_connections(context, deaf_at.elapsed()) {
        sleep(LOOK).await;
    }
    let owing = context.core.borrow_mut().table.fail_all();
    sleep(LOOK).await;
    context
        .connections
        .borrow()
        .values()
        .for_each(|conn| conn.close_with(close_reason::KILL));
    sleep(LOOK).await;
    log_event!(
        "drain_ends",
        "drain ends",
        owing = owing,
        after_ms = noticed.elapsed().as_millis()
    );
}

/// Whether connections are still waited for, so long after the end of listening.
fn close_idle_connections(context: &NodeContext, deaf_for: Duration) -> bool {
    let (listening, conns) = (
        context.listener.borrow().is_some(),
        context.connections.borrow(),
    );
    for conn in conns.values() {
        conn.send_shutdown();
        if conn.is_idle() && !listening && deaf_for > CROSSING_REQUESTS_TIMEOUT {
            conn.close_with(close_reason::DRAIN);
        }
    }
    listening || !conns.is_empty()
}

/// The module hears of the notice, at once or as it begins, with the time at which the notice came.
pub fn notify_policy(context: &NodeContext) {
    let Some(noticed) = context.leaving.get() else {
        return;
    };
    context.drive_policy(|node, _, table| {
        let at = noticed.saturating_duration_since(table.started);
        let kill = noticed + context.config.stop.saturating_sub(KILL_MARGIN[0]);
        let kill_in = kill
            .saturating_duration_since(table.started)
            .saturating_sub(at);
        node.on_shutdown_notice(at, table, kill_in);
    });
}
