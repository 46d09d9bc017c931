//! Links to a peer that stops reading.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_cluster::listener::MAX_FRAME_BYTES;
use rainstand_cluster::outbox::Outbox;
use rainstand_cluster::transport::write_until_closed;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Together, frames of the maximum size exceed the socket buffers of both sides.
const FRAME_COUNT: usize = 64;

/// The peer neither reads nor sends, and neither resets nor closes the connection.
#[test]
fn link_is_closed_when_the_peer_stops_reading() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let stream = TcpStream::connect(listener.local_addr().unwrap())
            .await
            .unwrap();
        let (_idle_peer, _) = listener.accept().await.unwrap();
        let outbox = Outbox::with_capacity(FRAME_COUNT * MAX_FRAME_BYTES);
        outbox.open();
        for _ in 0..FRAME_COUNT {
            outbox.send_bytes(vec![0; MAX_FRAME_BYTES]);
        }
        assert_eq!(outbox.dropped_frames(), 0);
        timeout(Duration::from_secs(60), write_until_closed(&outbox, stream))
            .await
            .expect("the link should be closed after the write timeout");
        assert!(outbox.sent_bytes() < (FRAME_COUNT * MAX_FRAME_BYTES) as u64);
    });
}
