//! The notice to leave: everything read is answered, then the process ends.

use crate::{note, Hub};
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
pub async fn drain(hub: &Rc<Hub>) {
    let (noticed, stop) = (Instant::now(), hub.config.stop);
    let ends = noticed + stop.saturating_sub(BEFORE_KILL[1]);
    hub.leaving.set(true);
    hub.report_now.notify_one();
    let owing = hub.core.borrow().desk.owing();
    let conns = hub.conns.borrow().len();
    note!("drain_begins", "drain begins", owing = owing, conns = conns, stop_ms = stop.as_millis());
    hub.conns.borrow().values().for_each(|conn| conn.tell_shutdown());
    // Others lead the shards from here on, while what is in hand is still served.
    let copies = hub.core.borrow().desk.copies.clone();
    if let Some(copies) = copies {
        tokio::task::spawn_local(async move { copies.group().leave(HANDS_OVER).await });
    }
    hub.act(|node, now, desk| node.leaving(now, desk, stop.saturating_sub(BEFORE_KILL[0])));
    // Callers learn late that the node leaves: as long as what they bring may still be run, it is taken.
    let begun = hub.core.borrow().node.is_some();
    let deaf_at = noticed + if begun { hub.grace.get().min(stop.mul_f64(LISTENING)) } else { Duration::ZERO };
    sleep(deaf_at.saturating_duration_since(Instant::now())).await;
    hub.deaf.notify_one();
    sleep(LOOK).await;
    hub.conns.borrow().values().for_each(|conn| conn.tell_shutdown());
    let deaf_at = Instant::now();
    loop {
        let settled = hub.conns.borrow().values().all(|conn| conn.settled());
        let quiet = hub.conns.borrow().is_empty() || deaf_at.elapsed() > CROSSING;
        if (settled && quiet) || Instant::now() >= ends {
            break;
        }
        sleep(LOOK).await;
    }
    let owing = hub.core.borrow_mut().desk.give_up_all();
    sleep(LOOK).await;
    hub.conns.borrow().values().for_each(|conn| conn.end("drain"));
    sleep(LOOK).await;
    note!("drain_ends", "drain ends", owing = owing, after_ms = noticed.elapsed().as_millis());
}
