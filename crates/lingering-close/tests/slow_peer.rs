//! A lingering close delivers all data to a peer that reads slowly and has itself sent bytes that are never read.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_lingering_close::{lingering_close, Discard, LingerEnd};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::oneshot;

/// More than the kernel buffers before the peer reads.
const SENT_BYTES: usize = 400_000;
const UNREAD_BYTES: usize = 20_000;
/// Ends a test that hangs.
const HANG_TIMEOUT: Duration = Duration::from_secs(30);

/// Connects a peer that has sent unread bytes, to which the server has written as much as the kernel accepts. Returns the
/// server's stream, the peer's stream and the number of bytes that the server wrote.
async fn connect() -> (TcpStream, TcpStream, usize) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4_096).unwrap();
    let mut peer = socket
        .connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let (server, _) = listener.accept().await.unwrap();
    peer.write_all(&[1; UNREAD_BYTES]).await.unwrap();
    server.readable().await.unwrap();
    server.writable().await.unwrap();
    let mut sent = 0;
    while sent < SENT_BYTES {
        match server.try_write(&[2; 1_000]) {
            Ok(length) => sent += length,
            Err(_) => break,
        }
    }
    (server, peer, sent)
}

async fn read_to_end(mut peer: TcpStream) -> usize {
    let mut read = 0;
    let mut chunk = [0; 4_096];
    while let Ok(length) = peer.read(&mut chunk).await {
        if length == 0 {
            break;
        }
        read += length;
    }
    read
}

fn run_test<T>(test: impl std::future::Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime
        .block_on(async { tokio::time::timeout(HANG_TIMEOUT, test).await })
        .expect("the test hangs")
}

// Guards against a close with unread received bytes: its reset discards data that was sent to the peer.
#[test]
fn peer_gets_all_data_written_before_the_close() {
    run_test(async {
        let (server, peer, sent) = connect().await;
        let (end_sender, received_end) = oneshot::channel();
        let close = async move {
            let deadline = Instant::now() + HANG_TIMEOUT;
            let settle_at = Instant::now();
            let end = lingering_close(&server, Discard::default(), settle_at, || deadline).await;
            drop(server);
            end_sender.send(end).unwrap();
        };
        let (read, ()) = tokio::join!(read_to_end(peer), close);
        assert_eq!(read, sent);
        assert_eq!(received_end.await.unwrap(), LingerEnd::Delivered);
    });
}

// Shows that the connection of the test above does lose data without a lingering close.
#[test]
fn plain_close_with_unread_bytes_loses_data() {
    run_test(async {
        let (server, peer, sent) = connect().await;
        drop(server);
        assert!(read_to_end(peer).await < sent);
    });
}

#[test]
fn close_with_a_peer_that_does_not_read_ends_at_the_deadline() {
    run_test(async {
        let (server, peer, _) = connect().await;
        let now = Instant::now();
        let deadline = now + Duration::from_millis(50);
        let end = lingering_close(&server, Discard::default(), now, || deadline).await;
        assert_eq!(end, LingerEnd::TimedOut);
        assert!(Instant::now() >= deadline);
        drop(peer);
    });
}
