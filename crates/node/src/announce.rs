//! Reports to the announce service: the node stays listed while it reports.

use crate::book::count;
use crate::{below, note, Hub};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Between reports: four of them fit in the 3 s after which a silent node is struck off.
const EVERY: Duration = Duration::from_millis(700);
/// After a report that failed.
const AGAIN: Duration = Duration::from_millis(200);
/// For one report, with its connection.
const PATIENCE: Duration = Duration::from_millis(600);

/// Reports until the node leaves, and then falls silent, so that it is struck off. Where the list follows
/// the state, it says `false` once before; elsewhere that would only keep it on the list for longer.
pub async fn keep_reporting(hub: Rc<Hub>) {
    let (mut stream, mut down, mut last) = (None, false, None);
    loop {
        let peer = hub.peers.get().announce;
        // A connection to where the service no longer is would still be answered for a while.
        if std::mem::replace(&mut last, peer) != peer {
            stream = None;
        }
        let Some(addr) = peer else {
            hub.report_now.notified().await;
            continue;
        };
        let leaving = hub.leaving.get();
        if leaving && !hub.listed_by_state {
            return;
        }
        let accepting = !leaving && hub.core.borrow().desk.good;
        let body = format!("{{\"accepting\":\"{accepting}\"}}");
        let request = format!(
            "PUT /announce/{} HTTP/1.1\r\nHost: {addr}\r\nContent-Length: {}\r\n\r\n{body}",
            hub.config.name,
            body.len()
        );
        let report = async {
            let open = match stream.take() {
                Some(open) => open,
                None => TcpStream::connect(addr).await?,
            };
            let (reply, _) = below::exchange(&open, request.as_bytes()).await?;
            match (reply.status, reply.closes) {
                (204, true) => Ok(None),
                (204, false) => Ok(Some(open)),
                (status, _) => Err(io::Error::other(format!("status {status}"))),
            }
        };
        let done: io::Result<_> =
            timeout(PATIENCE, report).await.unwrap_or(Err(io::ErrorKind::TimedOut.into()));
        let failed = done.as_ref().err().map(ToString::to_string);
        if failed.is_some() != down {
            down = failed.is_some();
            note!("announce {}", failed.map_or("up".to_owned(), |why| format!("down: {why}")));
        }
        count(if down { &hub.counts.announce_errors } else { &hub.counts.announced });
        stream = done.unwrap_or(None);
        if leaving && !down {
            return;
        }
        tokio::select! {
            () = sleep(if down { AGAIN } else { EVERY }) => {}
            () = hub.report_now.notified() => {}
        }
    }
}
