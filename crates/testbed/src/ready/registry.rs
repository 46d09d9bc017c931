//! A stand-in for the service registry (the announce service): the list of nodes that reported.

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

/// The longest report that is taken.
const MAX_REPORT_BYTES: usize = 8 << 10;
/// A node has one connection, and one that it has just left; as much again is taken.
const MAX_CONNECTIONS_PER_NODE: usize = 4;

/// The registry, and what it heard since the processes were started.
pub(super) struct Registry {
    pub(super) mode: Cell<Discovery>,
    /// Where each node listens.
    addresses: BTreeMap<String, SocketAddr>,
    /// Nodes that reported.
    reported: RefCell<BTreeSet<String>>,
    /// Nodes in the list, and since when.
    registered: RefCell<BTreeMap<String, Instant>>,
    /// First reports of nodes that nobody could connect to yet.
    early_reports: Cell<u64>,
    /// Whose connection was taken last.
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

    /// Empties the list, once all nodes are gone. What they reported last is read first, or it would count as reported
    /// by the nodes that come next.
    pub(super) async fn clear(&self, address: SocketAddr) {
        if self.mode.get() != Discovery::Down {
            let _ = timeout(START_TIMEOUT, self.read_all(address)).await;
        }
        self.reported.borrow_mut().clear();
        self.registered.borrow_mut().clear();
    }

    /// Connections are taken in their order: all that came before this one have been taken once it is.
    async fn read_all(&self, address: SocketAddr) {
        let Ok(last) = TcpStream::connect(address).await else {
            return;
        };
        let own = last.local_addr().ok();
        while self.last_peer.get() != own {
            sleep(POLL_INTERVAL).await;
        }
        drop(last);
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

    /// The first report of a process says that callers may come: it must listen by then.
    async fn on_report(&self, node: &str) {
        let Some(address) = self.addresses.get(node) else {
            return;
        };
        let is_first = self.reported.borrow_mut().insert(node.to_owned());
        if is_first && TcpStream::connect(address).await.is_err() {
            self.early_reports.set(self.early_reports.get() + 1);
        }
    }

    /// Waits until a node is in the list; returns since when.
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
    /// Of the whole request, with its body.
    length: usize,
}

/// The report at the front of the bytes, if it is complete.
fn parse_report(bytes: &[u8]) -> Option<NodeReport> {
    let end = bytes.windows(4).position(|four| four == b"\r\n\r\n")?;
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
