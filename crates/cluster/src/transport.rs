//! Outgoing links among members: each member keeps one connection to each other, on which it only sends. What comes,
//! comes on the connections that the others opened.
//!
//! A link that accepts no bytes for [`WRITE_TIMEOUT`] is closed, and what waited on it is lost.

use crate::framing::{OPEN_TIMEOUT, WRITE_TIMEOUT};
use crate::outbox::Outbox;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Pause before the next attempt to connect, at first and at most.
const RETRY_BACKOFF: RetryBackoff = RetryBackoff {
    initial: Duration::from_millis(10),
    max: Duration::from_millis(250),
};
/// Bytes that are written with one call where several frames wait.
const WRITE_BATCH_BYTES: usize = 64 << 10;

struct RetryBackoff {
    initial: Duration,
    max: Duration,
}

/// Who has to know of a link's state.
pub(crate) trait LinkObserver {
    /// Where a peer listens, by the newest configuration; none if it left the group.
    fn peer_address(&self, peer: &str) -> Option<SocketAddr>;
    /// The link is open.
    fn on_link_open(&self, peer: &str);
    /// The link is closed; a new one is opened.
    fn on_link_closed(&self, peer: &str);
}

/// Keeps the link to one peer, for ever.
pub(crate) async fn maintain_link(
    observer: Rc<impl LinkObserver>,
    outbox: Rc<Outbox>,
    peer: String,
) {
    let mut pause = RETRY_BACKOFF.initial;
    loop {
        if let Some(stream) = connect(&*observer, &peer).await {
            let _ = stream.set_nodelay(true);
            pause = RETRY_BACKOFF.initial;
            outbox.open();
            observer.on_link_open(&peer);
            write_until_closed(&outbox, stream).await;
            outbox.close();
            observer.on_link_closed(&peer);
        }
        sleep(pause).await;
        pause = (pause * 2).min(RETRY_BACKOFF.max);
    }
}

async fn connect(observer: &impl LinkObserver, peer: &str) -> Option<TcpStream> {
    let address = observer.peer_address(peer)?;
    timeout(OPEN_TIMEOUT, TcpStream::connect(address))
        .await
        .ok()?
        .ok()
}

/// Writes what is queued until the link ends or accepts nothing for [`WRITE_TIMEOUT`]. The peer sends nothing on the
/// link, so whatever can be read is its end. Public for tests of a peer that stops reading.
pub async fn write_until_closed(outbox: &Outbox, stream: TcpStream) {
    let (mut read, mut write) = stream.into_split();
    let ended = async {
        let mut ignored = [0; 64];
        while read.read(&mut ignored).await.is_ok_and(|n| n > 0) {}
    };
    let writing = async {
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
        () = ended => {}
        () = writing => {}
    }
}

/// Queued frames in one piece.
fn next_batch(outbox: &Outbox) -> Option<Vec<u8>> {
    let mut bytes = outbox.next()?;
    while bytes.len() < WRITE_BATCH_BYTES {
        let Some(more) = outbox.next() else { break };
        bytes.extend_from_slice(&more);
    }
    Some(bytes)
}
