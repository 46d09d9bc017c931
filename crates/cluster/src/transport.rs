//! Outgoing links between members: each member maintains one connection to each other member, on which it only sends.
//! It receives on the connections that the other members opened.
//!
//! A link that accepts no bytes for [`WRITE_TIMEOUT`] is closed, and its queued frames are lost.

use crate::framing::{OPEN_TIMEOUT, WRITE_TIMEOUT};
use crate::outbox::Outbox;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// The initial and the maximum delay before the next attempt to connect.
const RETRY_BACKOFF: RetryBackoff = RetryBackoff {
    initial: Duration::from_millis(10),
    max: Duration::from_millis(250),
};
/// Queued frames are combined into one write until it has this many bytes.
const WRITE_BATCH_BYTES: usize = 64 << 10;

struct RetryBackoff {
    initial: Duration,
    max: Duration,
}

/// Observes the state of links, and resolves the addresses of peers.
pub(crate) trait LinkObserver {
    /// A peer's address in the newest configuration; `None` if it is not in the group.
    fn peer_address(&self, peer: &str) -> Option<SocketAddr>;
    /// Called when the link was opened.
    fn on_link_open(&self, peer: &str);
    /// Called when the link was closed; it is reopened.
    fn on_link_closed(&self, peer: &str);
}

/// Maintains the link to one peer; never returns.
pub(crate) async fn maintain_link(
    observer: Rc<impl LinkObserver>,
    outbox: Rc<Outbox>,
    peer: String,
) {
    let mut delay = RETRY_BACKOFF.initial;
    loop {
        if let Some(stream) = connect(&*observer, &peer).await {
            let _ = stream.set_nodelay(true);
            delay = RETRY_BACKOFF.initial;
            outbox.open();
            observer.on_link_open(&peer);
            write_until_closed(&outbox, stream).await;
            outbox.close();
            observer.on_link_closed(&peer);
        }
        sleep(delay).await;
        delay = (delay * 2).min(RETRY_BACKOFF.max);
    }
}

async fn connect(observer: &impl LinkObserver, peer: &str) -> Option<TcpStream> {
    let address = observer.peer_address(peer)?;
    timeout(OPEN_TIMEOUT, TcpStream::connect(address))
        .await
        .ok()?
        .ok()
}

/// Writes queued frames until the link ends or accepts no bytes for [`WRITE_TIMEOUT`]. The peer sends nothing on the
/// link: it is read only to detect its end. Public for tests of a peer that stops reading.
pub async fn write_until_closed(outbox: &Outbox, stream: TcpStream) {
    let (mut read, mut write) = stream.into_split();
    let closed_by_peer = async {
        let mut ignored = [0; 64];
        while read.read(&mut ignored).await.is_ok_and(|n| n > 0) {}
    };
    let write_failure = async {
        loop {
            let Some(bytes) = next_batch(outbox) else {
                outbox.notified().await;
                continue;
            };
            let written = timeout(WRITE_TIMEOUT, write.write_all(&bytes)).await;
            if !written.is_ok_and(|written| written.is_ok()) {
                return;
            }
            outbox.add_sent(bytes.len());
        }
    };
    tokio::select! {
        () = closed_by_peer => {}
        () = write_failure => {}
    }
}

/// Queued frames, combined into one write.
fn next_batch(outbox: &Outbox) -> Option<Vec<u8>> {
    let mut bytes = outbox.next()?;
    while bytes.len() < WRITE_BATCH_BYTES {
        let Some(more) = outbox.next() else { break };
        bytes.extend_from_slice(&more);
    }
    Some(bytes)
}
