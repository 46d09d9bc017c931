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

/// More than the system's buffers of both sides hold.
const FRAMES: usize = 64;

/// The peer reads nothing more and sends nothing: no reset, no end.
#[test]
fn a_link_that_accepts_nothing_is_closed() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let stream = TcpStream::connect(listener.local_addr().unwrap())
            .await
            .unwrap();
        let (_reads_nothing, _) = listener.accept().await.unwrap();
        let outbox = Outbox::with_capacity(FRAMES * MAX_FRAME_BYTES);
        outbox.open();
        for _ in 0..FRAMES {
            outbox.send_bytes(vec![0; MAX_FRAME_BYTES]);
        }
        assert_eq!(outbox.dropped_frames(), 0);
        timeout(Duration::from_secs(60), write_until_closed(&outbox, stream))
            .await
            .expect("a link that ends");
        assert!(outbox.sent_bytes() < (FRAMES * MAX_FRAME_BYTES) as u64);
    });
}
