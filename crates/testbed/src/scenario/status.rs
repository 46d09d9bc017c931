//! Queries the nodes' status, which tells how many shards each leads.

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

/// Timeout of a status query: a stopped node does not answer.
const STATUS_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval between checks that every shard has a leader.
const LEADER_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Longest status response that is read.
const MAX_STATUS_BYTES: usize = 16 << 20;

impl Scenario {
    /// A node's status; `None` if it does not answer within `STATUS_TIMEOUT`.
    pub(super) async fn status(&self, index: usize) -> Option<serde_json::Value> {
        let peer = self.nodes[index].peer.get()?;
        timeout(STATUS_TIMEOUT, request_status(peer)).await.ok()?
    }

    /// Number of shards that a node leads; 0 if it does not answer.
    async fn led_shards(&self, index: usize) -> u64 {
        let status = self.status(index).await;
        status
            .and_then(|status| status["leads"].as_u64())
            .unwrap_or(0)
    }

    /// The node that leads the most shards; the first node if none answers.
    pub(super) async fn node_with_most_leaders(&self) -> usize {
        let (mut most, mut node) = (0, 0);
        for index in 0..self.nodes.len() {
            let leads = self.led_shards(index).await;
            if leads > most {
                (most, node) = (leads, index);
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
            for index in 0..self.nodes.len() {
                led += self.led_shards(index).await;
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
