//! Misbehaving connections: idle, slow and half-closed ones, and ones that flood the node with invalid data.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Time limit for a connection attempt: above its connection limit the node does not accept.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

#[derive(Clone, Copy)]
enum Behaviour {
    Idle,
    Slow,
    HalfClosed,
    Flooding,
}

const BEHAVIOURS: [Behaviour; 6] = [
    Behaviour::Idle,
    Behaviour::Idle,
    Behaviour::Idle,
    Behaviour::HalfClosed,
    Behaviour::Slow,
    Behaviour::Flooding,
];

/// Opens `count` connections to an address, holds them for `span` and closes them; returns how many could be opened.
pub async fn hold_connections(address: SocketAddr, count: usize, span: Duration) -> usize {
    let mut connections = JoinSet::new();
    for number in 0..count {
        connections.spawn_local(hold_connection(
            address,
            BEHAVIOURS[number % BEHAVIOURS.len()],
            span,
        ));
    }
    let mut opened = 0;
    while let Some(is_opened) = connections.join_next().await {
        opened += usize::from(is_opened.unwrap_or(false));
    }
    opened
}

/// Holds one connection; returns whether it could be opened.
async fn hold_connection(address: SocketAddr, behaviour: Behaviour, span: Duration) -> bool {
    let Ok(Ok(mut stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await else {
        return false;
    };
    let behave = async {
        match behaviour {
            Behaviour::Idle => sleep(span).await,
            Behaviour::HalfClosed => {
                let _ = stream.shutdown().await;
                sleep(span).await;
            }
            Behaviour::Slow => {
                // The start of a frame that is never completed.
                for byte in [0, 0, 0, 200, 128, 1, 0, 1] {
                    let _ = stream.write_all(&[byte]).await;
                    sleep(span / 10).await;
                }
            }
            Behaviour::Flooding => while stream.write_all(&[0x7f; 4096]).await.is_ok() {},
        }
    };
    let _ = timeout(span, behave).await;
    true
}
