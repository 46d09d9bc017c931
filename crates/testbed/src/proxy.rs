//! A proxy for the link between two processes: a listener for the client and, for each accepted connection, one to the
//! server. Traffic can be held, slowed, cut and sent twice, separately for each direction.

use crate::fault_schedule::LinkFault;
use nanorand::{Rng, WyRand};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Size of the read buffer.
const CHUNK_BYTES: usize = 16 << 10;
/// Connections per link; the proxy resets connections above this limit.
const MAX_CONNECTIONS: usize = 256;
/// Longest frame in bytes that is retained to be sent again.
const MAX_RETAINED_FRAME: usize = 64 << 10;
/// A longer frame length, in bytes, means that the traffic is not framed.
const MAX_FRAME: usize = 4 * MAX_RETAINED_FRAME;
/// Time limit for connecting to the server.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// State of one direction of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Flow {
    is_held: bool,
    delay: Duration,
    /// Bytes per second; 0 means unlimited.
    rate: u64,
}

/// Direction of traffic: from the client to the server, or back.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    Forward,
    Backward,
}

/// How a connection, or one of its directions, ended.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ConnectionEnd {
    /// Both ends closed the connection in order.
    Closed,
    Reset,
}

/// State of one proxied connection.
struct Connection {
    /// Signals a change of this connection only.
    changed: Notify,
    /// Whether both directions are to be reset.
    is_reset: Cell<bool>,
    /// Whether the client side stays open although the server side is closed.
    is_half_open: Cell<bool>,
}

impl Connection {
    fn reset(&self) {
        self.is_reset.set(true);
        self.changed.notify_waiters();
    }
}

/// Splits one direction into frames with a four-byte length prefix, and retains the first and last complete frame.
#[derive(Default)]
struct Frames {
    bytes: Vec<u8>,
    first: Vec<u8>,
    last: Vec<u8>,
    /// Whether the traffic is not framed this way.
    is_unframed: bool,
    count: u64,
}

impl Frames {
    fn push(&mut self, bytes: &[u8]) {
        if self.is_unframed {
            return;
        }
        self.bytes.extend_from_slice(bytes);
        while let Some(head) = self.bytes.first_chunk::<4>() {
            let length = u32::from_be_bytes(*head) as usize;
            if length > MAX_FRAME {
                self.is_unframed = true;
                return;
            }
            if self.bytes.len() < 4 + length {
                return;
            }
            let frame: Vec<u8> = self.bytes.drain(..4 + length).collect();
            self.count += 1;
            if frame.len() <= MAX_RETAINED_FRAME {
                if self.first.is_empty() {
                    self.first.clone_from(&frame);
                }
                self.last = frame;
            }
        }
    }
}

/// The last frame sent to the server, and the first frame of its connection.
#[derive(Clone, Default)]
struct RetainedFrames {
    first: Vec<u8>,
    last: Vec<u8>,
}

/// A proxied link.
pub struct Proxy {
    /// Address to which the client connects.
    pub addr: SocketAddr,
    target: Cell<Option<SocketAddr>>,
    forward: Cell<Flow>,
    backward: Cell<Flow>,
    /// Whether new connections wait, as if their first packet were lost.
    holds_new_connections: Cell<bool>,
    reset_next: Cell<bool>,
    changed: Notify,
    connections: RefCell<Vec<Rc<Connection>>>,
    retained: RefCell<RetainedFrames>,
    random: RefCell<WyRand>,
    /// Bytes relayed in both directions.
    pub relayed_bytes: Cell<u64>,
    /// Number of reset connections.
    pub resets: Cell<u64>,
    /// Complete frames relayed to the server.
    pub whole_frames: Cell<u64>,
}

impl Proxy {
    /// Opens a link without a target; the seed determines the jitter of its delays.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn open(seed: u64) -> io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let proxy = Rc::new(Self {
            addr: listener.local_addr()?,
            target: Cell::new(None),
            forward: Cell::default(),
            backward: Cell::default(),
            holds_new_connections: Cell::new(false),
            reset_next: Cell::new(false),
            changed: Notify::new(),
            connections: RefCell::default(),
            retained: RefCell::default(),
            random: RefCell::new(WyRand::new_seed(seed)),
            relayed_bytes: Cell::new(0),
            resets: Cell::new(0),
            whole_frames: Cell::new(0),
        });
        spawn_local(accept(proxy.clone(), listener));
        Ok(proxy)
    }

    /// Sets the server's address; without one, connections are reset.
    pub fn set_target(&self, target: Option<SocketAddr>) {
        self.target.set(target);
    }

    /// Applies a fault.
    pub fn begin(&self, fault: LinkFault) {
        let (mut forward, mut backward) = (self.forward.get(), self.backward.get());
        match fault {
            LinkFault::Cut {
                forth: is_forward_cut,
                back: is_backward_cut,
            } => {
                (forward.is_held, backward.is_held) = (is_forward_cut, is_backward_cut);
                self.holds_new_connections.set(true);
            }
            LinkFault::Stall => {
                (forward.is_held, backward.is_held) = (true, true);
                self.holds_new_connections.set(true);
            }
            LinkFault::HalfOpen => {
                (forward.is_held, backward.is_held) = (true, true);
                self.holds_new_connections.set(true);
                for connection in &*self.connections.borrow() {
                    connection.is_half_open.set(true);
                    connection.changed.notify_waiters();
                }
            }
            LinkFault::Delay(by) => (forward.delay, backward.delay) = (by, by),
            LinkFault::Throttle(rate) => (forward.rate, backward.rate) = (rate, rate),
        }
        self.forward.set(forward);
        self.backward.set(backward);
        self.changed.notify_waiters();
    }

    /// Ends a fault and all other faults of this link.
    pub fn heal(&self, fault: LinkFault) {
        self.forward.set(Flow::default());
        self.backward.set(Flow::default());
        self.holds_new_connections.set(false);
        if matches!(fault, LinkFault::Cut { .. } | LinkFault::HalfOpen) {
            self.reset_all();
        }
        self.changed.notify_waiters();
    }

    /// Resets all connections.
    pub fn reset_all(&self) {
        for connection in self.connections.borrow().iter() {
            connection.is_half_open.set(false);
            connection.reset();
        }
    }

    /// Cuts the next chunk in the middle and resets its connection.
    pub fn reset_next(&self) {
        self.reset_next.set(true);
    }

    /// Sends the last frame again, over a new connection that begins with the first frame of the original one.
    pub async fn repeat_last_frame(&self) {
        let RetainedFrames { first, last } = self.retained.borrow().clone();
        let Some(target) = self.target.get().filter(|_| !last.is_empty()) else {
            return;
        };
        let sent = async {
            let mut stream = TcpStream::connect(target).await?;
            if first != last {
                stream.write_all(&first).await?;
            }
            stream.write_all(&last).await?;
            // Wait until the server answers or closes the connection.
            let mut byte = [0; 1];
            stream.read(&mut byte).await
        };
        let _ = timeout(CONNECT_TIMEOUT, sent).await;
    }

    fn flow(&self, direction: Direction) -> Flow {
        match direction {
            Direction::Forward => self.forward.get(),
            Direction::Backward => self.backward.get(),
        }
    }

    /// Waits while a direction is held.
    async fn wait_while_held(&self, connection: &Connection, direction: Direction) {
        while self.flow(direction).is_held && !connection.is_reset.get() {
            self.wait_for_change(connection).await;
        }
    }

    async fn wait_for_change(&self, connection: &Connection) {
        tokio::select! {
            () = self.changed.notified() => {}
            () = connection.changed.notified() => {}
        }
    }

    /// Waits as long as the faults of a direction delay a chunk.
    async fn delay_chunk(&self, direction: Direction, bytes: usize) {
        let flow = self.flow(direction);
        if !flow.delay.is_zero() {
            let percent = self.random.borrow_mut().generate_range(50..150u32);
            sleep(flow.delay.mul_f64(f64::from(percent) / 100.0)).await;
        }
        if flow.rate > 0 {
            sleep(Duration::from_secs_f64(bytes as f64 / flow.rate as f64)).await;
        }
    }

    /// Counts the frames of a chunk, and retains the first and the last one.
    fn record_frames(&self, frames: &mut Frames, chunk: &[u8]) {
        let before = frames.count;
        frames.push(chunk);
        let count = self.whole_frames.get() + frames.count - before;
        self.whole_frames.set(count);
        if !frames.is_unframed && !frames.last.is_empty() {
            *self.retained.borrow_mut() = RetainedFrames {
                first: frames.first.clone(),
                last: frames.last.clone(),
            };
        }
    }
}

async fn accept(proxy: Rc<Proxy>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((client, _)) if proxy.connections.borrow().len() < MAX_CONNECTIONS => {
                spawn_local(serve(proxy.clone(), client));
            }
            Ok((client, _)) => reset_at_close(&client),
            Err(_) => sleep(ACCEPT_BACKOFF).await,
        }
    }
}

/// Makes closing the stream send a reset to the peer.
fn reset_at_close(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn serve(proxy: Rc<Proxy>, client: TcpStream) {
    let connection = Rc::new(Connection {
        changed: Notify::new(),
        is_reset: Cell::new(false),
        is_half_open: Cell::new(false),
    });
    proxy.connections.borrow_mut().push(connection.clone());
    if relay(&proxy, &connection, client).await == ConnectionEnd::Reset {
        proxy.resets.set(proxy.resets.get() + 1);
    }
    let mut connections = proxy.connections.borrow_mut();
    connections.retain(|one| !Rc::ptr_eq(one, &connection));
}

/// Connects to the server; none if there is no target or it does not accept.
async fn connect_to_server(proxy: &Proxy, connection: &Connection) -> Option<TcpStream> {
    let target = proxy.target.get().filter(|_| !connection.is_reset.get())?;
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(target)).await;
    connected.ok()?.ok()
}

/// Relays both directions until they end or the connection is reset.
async fn relay(proxy: &Rc<Proxy>, connection: &Rc<Connection>, client: TcpStream) -> ConnectionEnd {
    let _ = client.set_nodelay(true);
    while proxy.holds_new_connections.get() && !connection.is_reset.get() {
        proxy.wait_for_change(connection).await;
    }
    let Some(server) = connect_to_server(proxy, connection).await else {
        reset_at_close(&client);
        return ConnectionEnd::Reset;
    };
    let _ = server.set_nodelay(true);
    for stream in [&client, &server] {
        reset_at_close(stream);
    }
    // The client side of a half-open connection stays open while both relay tasks are dropped.
    let retained_client = SockRef::from(&client).try_clone();
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let forward = relay_direction(
        proxy,
        connection,
        client_read,
        server_write,
        Direction::Forward,
    );
    let backward = relay_direction(
        proxy,
        connection,
        server_read,
        client_write,
        Direction::Backward,
    );
    let mut both = Some(Box::pin(async { tokio::join!(forward, backward) }));
    while let Some(relaying) = &mut both {
        tokio::select! {
            (forward, backward) = relaying => {
                return if forward == ConnectionEnd::Closed { backward } else { forward };
            }
            () = connection.changed.notified() => {}
        }
        if connection.is_reset.get() {
            return ConnectionEnd::Reset;
        }
        if connection.is_half_open.get() {
            both = None;
        }
    }
    while !connection.is_reset.get() {
        connection.changed.notified().await;
    }
    drop(retained_client);
    ConnectionEnd::Reset
}

/// Relays one direction until it or the connection ends.
async fn relay_direction(
    proxy: &Rc<Proxy>,
    connection: &Rc<Connection>,
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Direction,
) -> ConnectionEnd {
    let mut frames = Frames::default();
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let Ok(length) = from.read(&mut buffer).await else {
            connection.reset();
            return ConnectionEnd::Reset;
        };
        proxy.wait_while_held(connection, direction).await;
        if length == 0 {
            // An orderly close: pass it on to the peer as a close, not as a reset.
            let _ = SockRef::from(AsRef::<TcpStream>::as_ref(&to)).set_linger(None);
            let _ = to.shutdown().await;
            return ConnectionEnd::Closed;
        }
        let chunk = &buffer[..length];
        proxy.delay_chunk(direction, length).await;
        if proxy.reset_next.replace(false) {
            let _ = to.write_all(&chunk[..length / 2]).await;
            connection.reset();
            return ConnectionEnd::Reset;
        }
        if direction == Direction::Forward {
            proxy.record_frames(&mut frames, chunk);
        }
        if to.write_all(chunk).await.is_err() {
            connection.reset();
            return ConnectionEnd::Reset;
        }
        proxy
            .relayed_bytes
            .set(proxy.relayed_bytes.get() + length as u64);
    }
}
