//! The notice to leave: everything read is answered, then the process ends.

use crate::{note, NodeContext};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Kept free before the kill, by which the process must be gone: the module is told the kill comes this
/// much sooner and answers all before, and at the second of these the process ends, come what may.
const BEFORE_KILL: [Duration; 2] = [Duration::from_millis(150), Duration::from_millis(50)];
/// Share of the time until the kill in which the node still listens: what comes last must also end.
const LISTENING: f64 = 0.6;
/// After the socket stops listening, for what crossed it: the protocol speaks of 50 ms.
const CROSSING: Duration = Duration::from_millis(200);
/// For the shards that are led here to be led elsewhere.
const HANDS_OVER: Duration = Duration::from_millis(500);
/// Between looks at what is still owed.
const LOOK: Duration = Duration::from_millis(10);

/// From the notice on; returns when nothing is owed any more, or when the kill is near.
pub async fn drain(hub: &Rc<NodeContext>) {
    let (noticed, stop) = (Instant::now(), hub.config.stop);
    let ends = noticed + stop.saturating_sub(BEFORE_KILL[1]);
    hub.leaving.set(Some(noticed));
    hub.report_wakeup.notify_one();
    let owing = hub.core.borrow().desk.pending_reply_count();
    let conns = hub.connections.borrow().len();
    note!(
        "drain_begins",
        "drain begins",
        owing = owing,
        conns = conns,
        stop_ms = stop.as_millis()
    );
    hub.connections
        .borrow()
        .values()
        .for_each(|conn| conn.send_shutdown());
    // Others lead the shards from here on, while what is in hand is still served.
    let copies = hub.core.borrow().desk.group.clone();
    if let Some(copies) = copies {
        tokio::task::spawn_local(async move { copies.group().leave(HANDS_OVER).await });
    }
    tell_module(hub);
    // Callers learn late that the node leaves: as long as what they bring may still be run, it is taken.
    let begun = hub.core.borrow().controller.is_some();
    let deaf_at = noticed
        + if begun {
            hub.drain_grace.get().min(stop.mul_f64(LISTENING))
        } else {
            Duration::ZERO
        };
    sleep(deaf_at.saturating_duration_since(Instant::now())).await;
    hub.stop_listening.notify_one();
    let deaf_at = Instant::now();
    // Each connection says good-bye once nothing is owed on it, and is waited for: an end of the process beside it
    // would cut off an answer on its way, or a ticket that lies unread.
    while Instant::now() < ends && says_goodbye(hub, deaf_at.elapsed()) {
        sleep(LOOK).await;
    }
    let owing = hub.core.borrow_mut().desk.fail_all();
    sleep(LOOK).await;
    hub.connections
        .borrow()
        .values()
        .for_each(|conn| conn.close_with("kill"));
    sleep(LOOK).await;
    note!(
        "drain_ends",
        "drain ends",
        owing = owing,
        after_ms = noticed.elapsed().as_millis()
    );
}

/// Whether connections are still waited for, so long after the end of listening.
fn says_goodbye(hub: &NodeContext, deaf_for: Duration) -> bool {
    let (listening, conns) = (hub.listener.borrow().is_some(), hub.connections.borrow());
    for conn in conns.values() {
        conn.send_shutdown();
        if conn.is_idle() && !listening && deaf_for > CROSSING {
            conn.close_with("drain");
        }
    }
    listening || !conns.is_empty()
}

/// The module hears of the notice, at once or as it begins, with the time at which the notice came.
pub fn tell_module(hub: &NodeContext) {
    let Some(noticed) = hub.leaving.get() else {
        return;
    };
    hub.drive_policy(|node, _, desk| {
        let at = noticed.saturating_duration_since(desk.started);
        let kill = noticed + hub.config.stop.saturating_sub(BEFORE_KILL[0]);
        let kill_in = kill
            .saturating_duration_since(desk.started)
            .saturating_sub(at);
        node.on_shutdown_notice(at, desk, kill_in);
    });
}
