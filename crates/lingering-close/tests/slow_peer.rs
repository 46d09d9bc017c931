//! A peer that has sent what nobody reads, and reads slowly what it was sent, gets all of it.

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

/// More than the peer's system takes in before the peer reads.
const SENT_BYTES: usize = 400_000;
const UNREAD_BYTES: usize = 20_000;
/// Only what hangs is caught by this.
const HANGS: Duration = Duration::from_secs(30);

/// A connection on which the peer has sent, and the server has written, as much as it takes.
async fn connection() -> (TcpStream, TcpStream, usize) {
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

fn play<T>(test: impl std::future::Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime
        .block_on(async { tokio::time::timeout(HANGS, test).await })
        .expect("a test that ends")
}

// Guards against a close over unread bytes, whose reset discards what the peer was sent.
#[test]
fn a_peer_gets_all_that_was_written_before_the_close() {
    play(async {
        let (server, peer, sent) = connection().await;
        let (closed, was_closed) = oneshot::channel();
        let close = async move {
            let deadline = Instant::now() + HANGS;
            let settle_at = Instant::now();
            let end = lingering_close(&server, Discard::default(), settle_at, || deadline).await;
            drop(server);
            closed.send(end).unwrap();
        };
        let (read, ()) = tokio::join!(read_to_end(peer), close);
        assert_eq!(read, sent);
        assert_eq!(was_closed.await.unwrap(), LingerEnd::Delivered);
    });
}

// Shows that the connection of the test above does lose bytes where it is closed otherwise.
#[test]
fn a_peer_loses_bytes_by_a_close_over_unread_ones() {
    play(async {
        let (server, peer, sent) = connection().await;
        drop(server);
        assert!(read_to_end(peer).await < sent);
    });
}

#[test]
fn a_peer_that_does_not_read_is_left_at_the_deadline() {
    play(async {
        let (server, peer, _) = connection().await;
        let now = Instant::now();
        let deadline = now + Duration::from_millis(50);
        let end = lingering_close(&server, Discard::default(), now, || deadline).await;
        assert_eq!(end, LingerEnd::TimedOut);
        assert!(Instant::now() >= deadline);
        drop(peer);
    });
}
