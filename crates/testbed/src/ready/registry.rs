//! A test server for the service registry (the announce service): the list of registered nodes.

use super::options::Discovery;
use super::POLL_INTERVAL;
use crate::process::START_TIMEOUT;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};

/// Longest accepted report.
const MAX_REPORT_BYTES: usize = 8 << 10;
/// A node may have its connection and one that it has just closed; the limit is twice that.
const MAX_CONNECTIONS_PER_NODE: usize = 4;

/// The registry, and the reports received since the processes were started.
pub(super) struct Registry {
    pub(super) mode: Cell<Discovery>,
    /// Address on which each node listens, by name.
    addresses: BTreeMap<String, SocketAddr>,
    /// Nodes that reported.
    reported: RefCell<BTreeSet<String>>,
    /// Registered nodes, with the time of registration.
    registered: RefCell<BTreeMap<String, Instant>>,
    /// Number of first reports from nodes that did not accept connections yet.
    early_reports: Cell<u64>,
    /// Peer of the connection accepted last.
    last_peer: Cell<Option<SocketAddr>>,
    connections: Cell<usize>,
    changed: Notify,
}

impl Registry {
    pub(super) fn new(mode: Discovery, addresses: BTreeMap<String, SocketAddr>) -> Self {
        Self {
            mode: Cell::new(mode),
            addresses,
            reported: RefCell::default(),
            registered: RefCell::default(),
            early_reports: Cell::new(0),
            last_peer: Cell::new(None),
            connections: Cell::new(0),
            changed: Notify::new(),
        }
    }

    pub(super) fn early_reports(&self) -> u64 {
        self.early_reports.get()
    }

    /// Clears the list after all nodes have exited. Reads their last reports first, because these would otherwise count
    /// as reports of the restarted nodes.
    pub(super) async fn clear(&self, address: SocketAddr) {
        if self.mode.get() != Discovery::Down {
            let _ = timeout(START_TIMEOUT, self.read_all(address)).await;
        }
        self.reported.borrow_mut().clear();
        self.registered.borrow_mut().clear();
    }

    /// Opens a marker connection and waits until it is accepted: connections are accepted in order, so all earlier ones
    /// are accepted by then. Then waits until all connections are closed.
    async fn read_all(&self, address: SocketAddr) {
        let Ok(marker) = TcpStream::connect(address).await else {
            return;
        };
        let own_address = marker.local_addr().ok();
        while self.last_peer.get() != own_address {
            sleep(POLL_INTERVAL).await;
        }
        drop(marker);
        while self.connections.get() > 0 {
            sleep(POLL_INTERVAL).await;
        }
    }

    pub(super) async fn serve(self: Rc<Self>, listener: TcpListener) {
        let max_connections = self.addresses.len() * MAX_CONNECTIONS_PER_NODE;
        while let Ok((stream, peer)) = listener.accept().await {
            self.last_peer.set(Some(peer));
            if self.connections.get() < max_connections {
                self.connections.set(self.connections.get() + 1);
                let registry = self.clone();
                spawn_local(async move {
                    let _ = registry.serve_connection(stream).await;
                    registry.connections.set(registry.connections.get() - 1);
                });
            }
        }
    }

    async fn serve_connection(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut received = Vec::new();
        loop {
            while let Some(report) = parse_report(&received) {
                received.drain(..report.length);
                self.on_report(&report.node).await;
                if self.mode.get() == Discovery::Up {
                    self.register(report.node);
                    stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").await?;
                }
            }
            if received.len() > MAX_REPORT_BYTES || stream.read_buf(&mut received).await? == 0 {
                return Ok(());
            }
        }
    }

    fn register(&self, node: String) {
        let mut registered = self.registered.borrow_mut();
        registered.entry(node).or_insert_with(Instant::now);
        self.changed.notify_waiters();
    }

    /// The first report of a process announces that it accepts callers: it must listen by then.
    async fn on_report(&self, node: &str) {
        let Some(address) = self.addresses.get(node) else {
            return;
        };
        let is_first = self.reported.borrow_mut().insert(node.to_owned());
        if is_first && TcpStream::connect(address).await.is_err() {
            self.early_reports.set(self.early_reports.get() + 1);
        }
    }

    /// Waits until a node is registered; returns the time of registration.
    pub(super) async fn wait_until_registered(&self, node: &str) -> Instant {
        loop {
            if let Some(at) = self.registered.borrow().get(node) {
                return *at;
            }
            self.changed.notified().await;
        }
    }
}

/// A report of a node.
struct NodeReport {
    node: String,
    /// Length of the complete request in bytes, including its body.
    length: usize,
}

/// The report at the front of the bytes, if it is complete.
fn parse_report(bytes: &[u8]) -> Option<NodeReport> {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = std::str::from_utf8(&bytes[..end]).ok()?;
    let node = head.strip_prefix("PUT /announce/")?.split(' ').next()?;
    let body = head
        .split("\r\n")
        .find_map(|line| line.strip_prefix("Content-Length: "))?;
    let length = end + 4 + body.trim().parse::<usize>().ok()?;
    (bytes.len() >= length).then(|| NodeReport {
        node: node.to_owned(),
        length,
    })
}
