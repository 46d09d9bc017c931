//! What nodes tell of their replicas over the status port.

use super::Stage;
use crate::process::COMES_UP;
use rainstand_cluster::framing::with_length_prefix;
use rainstand_cluster::status;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

/// For a node to tell how it stands: one that is stopped does not.
const TELLS: Duration = Duration::from_millis(300);

impl Stage {
    /// What a node tells of its copies; none if it does not answer at once.
    pub(super) async fn status(&self, n: usize) -> Option<serde_json::Value> {
        let peer = self.nodes[n].peer.get()?;
        let asked = async {
            let mut stream = TcpStream::connect(peer).await.ok()?;
            stream
                .write_all(&with_length_prefix(&status::encode_question("status")))
                .await
                .ok()?;
            let mut head = [0; 4];
            stream.read_exact(&mut head).await.ok()?;
            let mut body = vec![0; (u32::from_be_bytes(head) as usize).min(16 << 20)];
            stream.read_exact(&mut body).await.ok()?;
            serde_json::from_slice(&body).ok()
        };
        timeout(TELLS, asked).await.ok()?
    }

    /// Until every shard has a leader, if there is a group.
    pub(super) async fn whole(&self) -> io::Result<()> {
        let until = Instant::now() + COMES_UP;
        if self.rig.shards == 0 {
            return Ok(());
        }
        loop {
            let mut led = 0;
            for n in 0..self.nodes.len() {
                led += self
                    .status(n)
                    .await
                    .and_then(|status| status["leads"].as_u64())
                    .unwrap_or(0);
            }
            if led >= self.rig.shards {
                return Ok(());
            }
            if Instant::now() > until {
                let why = format!("{led} of {} shards have a leader", self.rig.shards);
                return Err(io::Error::new(io::ErrorKind::TimedOut, why));
            }
            sleep(Duration::from_millis(10)).await;
        }
    }
}
