//! A stand-in for the announce service: the list of nodes that reported.

use super::options::Discovery;
use super::LOOK;
use crate::process::START_TIMEOUT;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};

/// The longest request taken by the announce service, bytes.
const REQUEST_MOST: usize = 8 << 10;

/// The announce service, and what it heard since the processes were started.
pub(super) struct List {
    pub(super) mode: Cell<Discovery>,
    /// Where each node is said to listen.
    pub(super) fronts: BTreeMap<String, SocketAddr>,
    pub(super) heard: RefCell<BTreeMap<String, Instant>>,
    pub(super) listed: RefCell<BTreeMap<String, Instant>>,
    pub(super) told_before_listening: Cell<u64>,
    /// Whose connection was taken last, and how many there are.
    pub(super) last: Cell<Option<SocketAddr>>,
    pub(super) open: Cell<usize>,
    pub(super) changed: Notify,
}

impl List {
    /// Nobody is in it any more. All that reported are gone: what they said last is heard before, or it would count as
    /// said by those who come.
    pub(super) async fn empty(&self, announce: SocketAddr) {
        if self.mode.get() != Discovery::Down {
            if let Ok(last) = TcpStream::connect(announce).await {
                // Taken in their order: whoever came before this one is taken by then.
                let own = last.local_addr().ok();
                let taken = async {
                    while self.last.get() != own {
                        sleep(LOOK).await;
                    }
                    drop(last);
                    while self.open.get() > 0 {
                        sleep(LOOK).await;
                    }
                };
                let _ = timeout(START_TIMEOUT, taken).await;
            }
        }
        self.heard.borrow_mut().clear();
        self.listed.borrow_mut().clear();
    }

    pub(super) async fn serve(self: Rc<Self>, listener: TcpListener) {
        while let Ok((stream, peer)) = listener.accept().await {
            self.last.set(Some(peer));
            // A node has one connection, and one that it has just left.
            if self.open.get() < self.fronts.len() * 4 {
                self.open.set(self.open.get() + 1);
                let list = self.clone();
                spawn_local(async move {
                    let _ = list.talk(stream).await;
                    list.open.set(list.open.get() - 1);
                });
            }
        }
    }

    async fn talk(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut back = Vec::new();
        loop {
            while let Some((name, length)) = request(&back) {
                back.drain(..length);
                self.report(&name).await;
                if self.mode.get() == Discovery::Up {
                    self.listed
                        .borrow_mut()
                        .entry(name)
                        .or_insert_with(Instant::now);
                    self.changed.notify_waiters();
                    stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").await?;
                }
            }
            if back.len() > REQUEST_MOST || stream.read_buf(&mut back).await? == 0 {
                return Ok(());
            }
        }
    }

    /// The first report of a process says that callers may come: it must listen by then.
    pub(super) async fn report(&self, name: &str) {
        let Some(front) = self.fronts.get(name) else {
            return;
        };
        if self
            .heard
            .borrow_mut()
            .insert(name.to_owned(), Instant::now())
            .is_none()
            && TcpStream::connect(front).await.is_err()
        {
            self.told_before_listening
                .set(self.told_before_listening.get() + 1);
        }
    }

    pub(super) async fn listed(&self, name: &str) -> Instant {
        loop {
            if let Some(at) = self.listed.borrow().get(name) {
                return *at;
            }
            self.changed.notified().await;
        }
    }
}

/// The node named by a whole report at the front of the bytes, and the report's length.
fn request(bytes: &[u8]) -> Option<(String, usize)> {
    let end = bytes.windows(4).position(|four| four == b"\r\n\r\n")?;
    let head = std::str::from_utf8(&bytes[..end]).ok()?;
    let name = head.strip_prefix("PUT /announce/")?.split(' ').next()?;
    let body = head
        .split("\r\n")
        .find_map(|line| line.strip_prefix("Content-Length: "))?;
    let length = end + 4 + body.trim().parse::<usize>().ok()?;
    (bytes.len() >= length).then(|| (name.to_owned(), length))
}
