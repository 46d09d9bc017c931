//! Connections that do no good: idle ones, slow ones, half-closed ones, and ones that flood the node with nonsense.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// For one connection to be opened: beyond its bound the node does not accept.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

#[derive(Clone, Copy)]
enum Habit {
    Idle,
    Slow,
    HalfClosed,
    Flooding,
}

const HABITS: [Habit; 6] = [
    Habit::Idle,
    Habit::Idle,
    Habit::Idle,
    Habit::HalfClosed,
    Habit::Slow,
    Habit::Flooding,
];

/// Opens so many connections at an address, holds them for `span`, and closes them all; returns how many were open.
pub async fn hold(address: SocketAddr, count: usize, span: Duration) -> usize {
    let mut members = JoinSet::new();
    for number in 0..count {
        members.spawn_local(one(address, HABITS[number % HABITS.len()], span));
    }
    let mut open = 0;
    while let Some(was_open) = members.join_next().await {
        open += usize::from(was_open.unwrap_or(false));
    }
    open
}

/// Whether the connection could be opened.
async fn one(address: SocketAddr, habit: Habit, span: Duration) -> bool {
    let Ok(Ok(mut stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await else {
        return false;
    };
    let behave = async {
        match habit {
            Habit::Idle => sleep(span).await,
            Habit::HalfClosed => {
                let _ = stream.shutdown().await;
                sleep(span).await;
            }
            Habit::Slow => {
                // The length of a frame that never comes whole.
                for byte in [0, 0, 0, 200, 128, 1, 0, 1] {
                    let _ = stream.write_all(&[byte]).await;
                    sleep(span / 10).await;
                }
            }
            Habit::Flooding => while stream.write_all(&[0x7f; 4096]).await.is_ok() {},
        }
    };
    let _ = timeout(span, behave).await;
    true
}
