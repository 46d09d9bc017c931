//! What nodes report of their replicas, and which of them lead.

use super::Scenario;
use crate::process::START_TIMEOUT;
use rainstand_cluster::framing::with_length_prefix;
use rainstand_cluster::status;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

/// For a node to answer: one that is stopped does not.
const STATUS_TIMEOUT: Duration = Duration::from_millis(300);
/// Between two looks whether every shard has a leader.
const LEADER_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The longest status that is read.
const MAX_STATUS_BYTES: usize = 16 << 20;

impl Scenario {
    /// What a node reports of its replicas; none if it does not answer at once.
    pub(super) async fn status(&self, n: usize) -> Option<serde_json::Value> {
        let peer = self.nodes[n].peer.get()?;
        timeout(STATUS_TIMEOUT, request_status(peer)).await.ok()?
    }

    /// How many shards a node leads; none where it does not answer.
    async fn led_shards(&self, n: usize) -> u64 {
        let status = self.status(n).await;
        status
            .and_then(|status| status["leads"].as_u64())
            .unwrap_or(0)
    }

    /// The node that leads most shards; the first one where nobody answers.
    pub(super) async fn node_with_most_leaders(&self) -> usize {
        let (mut most, mut node) = (0, 0);
        for n in 0..self.nodes.len() {
            let leads = self.led_shards(n).await;
            if leads > most {
                (most, node) = (leads, n);
            }
        }
        node
    }

    /// Waits until every shard has a leader, if there is a group.
    pub(super) async fn wait_for_leaders(&self) -> io::Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        if self.rig.shards == 0 {
            return Ok(());
        }
        loop {
            let mut led = 0;
            for n in 0..self.nodes.len() {
                led += self.led_shards(n).await;
            }
            if led >= self.rig.shards {
                return Ok(());
            }
            if Instant::now() > deadline {
                let reason = format!("{led} of {} shards have a leader", self.rig.shards);
                return Err(io::Error::new(io::ErrorKind::TimedOut, reason));
            }
            sleep(LEADER_POLL_INTERVAL).await;
        }
    }
}

async fn request_status(peer: SocketAddr) -> Option<serde_json::Value> {
    let mut stream = TcpStream::connect(peer).await.ok()?;
    let request = with_length_prefix(&status::encode_question("status"));
    stream.write_all(&request).await.ok()?;
    let mut head = [0; 4];
    stream.read_exact(&mut head).await.ok()?;
    let length = u32::from_be_bytes(head) as usize;
    let mut body = vec![0; length.min(MAX_STATUS_BYTES)];
    stream.read_exact(&mut body).await.ok()?;
    serde_json::from_slice(&body).ok()
}
