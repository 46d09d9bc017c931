//! Reports to the announce service: the node stays listed while it reports.

use crate::counters::count;
use crate::{descriptors, downstream, log_event, NodeContext};
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Between reports: four of them fit in the 3 s after which a silent node is struck off.
const EVERY: Duration = Duration::from_millis(700);
/// After a report that failed.
const AGAIN: Duration = Duration::from_millis(200);
/// For one report, with its connection.
const PATIENCE: Duration = Duration::from_millis(600);
/// Without any answer for so long, the service counts as down: then a silent node is struck off.
const DOWN_AFTER: Duration = Duration::from_secs(3);

/// Reports until the node leaves, and then falls silent, so that it is struck off. Where the list follows
/// the state, it says `false` once before; elsewhere that would only keep it on the list for longer.
pub async fn keep_reporting(context: Rc<NodeContext>) {
    let (mut stream, mut down, mut last) = (None, false, None);
    let mut answered = Instant::now();
    loop {
        let peer = context.peer_addresses.get().announce;
        // A connection to where the service no longer is would still be answered for a while.
        if std::mem::replace(&mut last, peer) != peer {
            stream = None;
        }
        let Some(addr) = peer else {
            context.report_wakeup.notified().await;
            continue;
        };
        let leaving = context.leaving.get().is_some();
        if leaving && !context.registry_follows_health.get() {
            return;
        }
        let accepting = !leaving && context.core.borrow().table.healthy;
        let body = format!("{{\"accepting\":\"{accepting}\"}}");
        let request = format!(
            "PUT /announce/{} HTTP/1.1\r\nHost: {addr}\r\nContent-Length: {}\r\n\r\n{body}",
            context.config.name,
            body.len()
        );
        let report = async {
            let open = match stream.take() {
                Some(open) => open,
                None => {
                    descriptors::with_retry(&context, "announce", || TcpStream::connect(addr))
                        .await?
                }
            };
            let (reply, _) = downstream::exchange(&open, request.as_bytes(), None).await?;
            match (reply.status, reply.closes) {
                (204, true) => Ok(None),
                (204, false) => Ok(Some(open)),
                (status, _) => Err(io::Error::other(format!("status {status}"))),
            }
        };
        let done: io::Result<_> = timeout(PATIENCE, report)
            .await
            .unwrap_or(Err(io::ErrorKind::TimedOut.into()));
        // Guards against taking lost answers for lost reports: what was sent and not answered counts.
        let unanswered = done
            .as_ref()
            .is_err_and(|why| why.kind() == io::ErrorKind::TimedOut);
        let counts = &context.counts;
        count(match (&done, unanswered) {
            (Ok(_), _) => &counts.announced,
            (_, true) => &counts.announce_unanswered,
            _ => &counts.announce_errors,
        });
        match &done {
            Ok(_) => {
                answered = Instant::now();
                if std::mem::take(&mut down) {
                    log_event!("announce_up", "announce up");
                }
            }
            // One line tells of a service that is down, none of an answer now and then that is missing.
            Err(why) if !down && answered.elapsed() > DOWN_AFTER => {
                down = true;
                log_event!("announce_down", "announce down", why = why);
            }
            Err(_) => {}
        }
        let sent = done.is_ok();
        stream = done.unwrap_or(None);
        if leaving && sent {
            return;
        }
        let pause = if unanswered {
            EVERY.saturating_sub(PATIENCE)
        } else {
            AGAIN
        };
        tokio::select! {
            () = sleep(if sent { EVERY } else { pause }) => {}
            () = context.report_wakeup.notified() => {}
        }
    }
}
