//! A link between two processes: a listener that the one connects to and, for each connection, one to the other. What
//! passes can be held, slowed, cut and sent twice, in each direction by itself.

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

/// Bytes taken in one go.
const CHUNK_BYTES: usize = 16 << 10;
/// Connections of one link; more are refused.
const MAX_CONNECTIONS: usize = 256;
/// Frames longer than this are not retained to be sent again.
const MAX_RETAINED_FRAME: usize = 64 << 10;
/// A length past this one says that the bytes are no frames.
const MAX_FRAME: usize = 4 * MAX_RETAINED_FRAME;
/// For a far end to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// After a connection that could not be accepted.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// What a link does to one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Flow {
    is_held: bool,
    delay: Duration,
    /// Bytes a second; 0: as they come.
    rate: u64,
}

/// From the end that opened a connection, or to it.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    Forth,
    Back,
}

/// How a connection, or one of its directions, ended.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Ended {
    /// Both ends closed it in their time.
    Closed,
    Reset,
}

/// One connection that passes.
struct Connection {
    /// Something has changed for this connection alone.
    changed: Notify,
    /// Both directions end by a reset.
    is_reset: Cell<bool>,
    /// The near end is kept open though the far end is gone.
    is_half_open: Cell<bool>,
}

impl Connection {
    fn reset(&self) {
        self.is_reset.set(true);
        self.changed.notify_waiters();
    }
}

/// Complete frames of a direction: a length in four bytes, then so much. The first and the last are retained.
#[derive(Default)]
struct Frames {
    bytes: Vec<u8>,
    first: Vec<u8>,
    last: Vec<u8>,
    /// The bytes are no such frames.
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

/// The last frame that passed forth, and the first of its connection.
#[derive(Clone, Default)]
struct RetainedFrames {
    first: Vec<u8>,
    last: Vec<u8>,
}

/// A link.
pub struct Proxy {
    /// Where the near end connects to.
    pub addr: SocketAddr,
    target: Cell<Option<SocketAddr>>,
    forth: Cell<Flow>,
    back: Cell<Flow>,
    /// New connections wait, as if their first packet were lost.
    is_deaf: Cell<bool>,
    reset_next: Cell<bool>,
    changed: Notify,
    connections: RefCell<Vec<Rc<Connection>>>,
    retained: RefCell<RetainedFrames>,
    random: RefCell<WyRand>,
    /// Bytes that passed.
    pub passed: Cell<u64>,
    /// Connections that were reset.
    pub resets: Cell<u64>,
    /// Complete frames that passed forth.
    pub whole_frames: Cell<u64>,
}

impl Proxy {
    /// Opens a link that leads nowhere yet; the seed is of its jitter.
    ///
    /// # Errors
    /// If the system has no port for it.
    pub async fn open(seed: u64) -> io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let proxy = Rc::new(Self {
            addr: listener.local_addr()?,
            target: Cell::new(None),
            forth: Cell::default(),
            back: Cell::default(),
            is_deaf: Cell::new(false),
            reset_next: Cell::new(false),
            changed: Notify::new(),
            connections: RefCell::default(),
            retained: RefCell::default(),
            random: RefCell::new(WyRand::new_seed(seed)),
            passed: Cell::new(0),
            resets: Cell::new(0),
            whole_frames: Cell::new(0),
        });
        spawn_local(accept(proxy.clone(), listener));
        Ok(proxy)
    }

    /// Where it leads from now on; nowhere: connections are refused.
    pub fn set_target(&self, target: Option<SocketAddr>) {
        self.target.set(target);
    }

    /// A fault begins.
    pub fn begin(&self, fault: LinkFault) {
        let (mut forth, mut back) = (self.forth.get(), self.back.get());
        match fault {
            LinkFault::Cut {
                forth: is_forth_cut,
                back: is_back_cut,
            } => {
                (forth.is_held, back.is_held) = (is_forth_cut, is_back_cut);
                self.is_deaf.set(true);
            }
            LinkFault::Stall => {
                (forth.is_held, back.is_held) = (true, true);
                self.is_deaf.set(true);
            }
            LinkFault::HalfOpen => {
                (forth.is_held, back.is_held) = (true, true);
                self.is_deaf.set(true);
                for connection in &*self.connections.borrow() {
                    connection.is_half_open.set(true);
                    connection.changed.notify_waiters();
                }
            }
            LinkFault::Delay(by) => (forth.delay, back.delay) = (by, by),
            LinkFault::Throttle(rate) => (forth.rate, back.rate) = (rate, rate),
        }
        self.forth.set(forth);
        self.back.set(back);
        self.changed.notify_waiters();
    }

    /// A fault ends, and all others of this link with it.
    pub fn heal(&self, fault: LinkFault) {
        self.forth.set(Flow::default());
        self.back.set(Flow::default());
        self.is_deaf.set(false);
        if matches!(fault, LinkFault::Cut { .. } | LinkFault::HalfOpen) {
            self.reset_all();
        }
        self.changed.notify_waiters();
    }

    /// All connections are reset now.
    pub fn reset_all(&self) {
        for connection in self.connections.borrow().iter() {
            connection.is_half_open.set(false);
            connection.reset();
        }
    }

    /// The next chunk is cut in the middle and its connection reset.
    pub fn reset_next(&self) {
        self.reset_next.set(true);
    }

    /// The last frame that passed is sent once more, over a connection of its own that begins as the first did.
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
            // Until the other end has read it and answers, or closes.
            let mut byte = [0; 1];
            stream.read(&mut byte).await
        };
        let _ = timeout(CONNECT_TIMEOUT, sent).await;
    }

    fn flow(&self, direction: Direction) -> Flow {
        match direction {
            Direction::Forth => self.forth.get(),
            Direction::Back => self.back.get(),
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

    /// Waits for as long as a direction's fault holds a chunk back.
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
            Ok((near, _)) if proxy.connections.borrow().len() < MAX_CONNECTIONS => {
                spawn_local(serve(proxy.clone(), near));
            }
            Ok((near, _)) => reset_at_close(&near),
            Err(_) => sleep(ACCEPT_BACKOFF).await,
        }
    }
}

/// Closes so that the other side gets a reset.
fn reset_at_close(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn serve(proxy: Rc<Proxy>, near: TcpStream) {
    let connection = Rc::new(Connection {
        changed: Notify::new(),
        is_reset: Cell::new(false),
        is_half_open: Cell::new(false),
    });
    proxy.connections.borrow_mut().push(connection.clone());
    if pass(&proxy, &connection, near).await == Ended::Reset {
        proxy.resets.set(proxy.resets.get() + 1);
    }
    let mut connections = proxy.connections.borrow_mut();
    connections.retain(|one| !Rc::ptr_eq(one, &connection));
}

/// The far end, if there is one that accepts.
async fn connect_far(proxy: &Proxy, connection: &Connection) -> Option<TcpStream> {
    let target = proxy.target.get().filter(|_| !connection.is_reset.get())?;
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(target)).await;
    connected.ok()?.ok()
}

/// Passes both directions until they end, or the connection is reset.
async fn pass(proxy: &Rc<Proxy>, connection: &Rc<Connection>, near: TcpStream) -> Ended {
    let _ = near.set_nodelay(true);
    while proxy.is_deaf.get() && !connection.is_reset.get() {
        proxy.wait_for_change(connection).await;
    }
    let Some(far) = connect_far(proxy, connection).await else {
        reset_at_close(&near);
        return Ended::Reset;
    };
    let _ = far.set_nodelay(true);
    for stream in [&near, &far] {
        reset_at_close(stream);
    }
    // The near end of a half-open connection stays, while all that passes is dropped.
    let near_kept = SockRef::from(&near).try_clone();
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let forth = pump(proxy, connection, near_read, far_write, Direction::Forth);
    let back = pump(proxy, connection, far_read, near_write, Direction::Back);
    let mut both = Some(Box::pin(async { tokio::join!(forth, back) }));
    while let Some(passing) = &mut both {
        tokio::select! {
            (forth, back) = passing => {
                return if forth == Ended::Closed { back } else { forth };
            }
            () = connection.changed.notified() => {}
        }
        if connection.is_reset.get() {
            return Ended::Reset;
        }
        if connection.is_half_open.get() {
            both = None;
        }
    }
    while !connection.is_reset.get() {
        connection.changed.notified().await;
    }
    drop(near_kept);
    Ended::Reset
}

/// One direction, until its end or the connection's.
async fn pump(
    proxy: &Rc<Proxy>,
    connection: &Rc<Connection>,
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Direction,
) -> Ended {
    let mut frames = Frames::default();
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let Ok(length) = from.read(&mut buffer).await else {
            connection.reset();
            return Ended::Reset;
        };
        proxy.wait_while_held(connection, direction).await;
        if length == 0 {
            // An end in its time, and no reset: the other side gets it as that.
            let _ = SockRef::from(AsRef::<TcpStream>::as_ref(&to)).set_linger(None);
            let _ = to.shutdown().await;
            return Ended::Closed;
        }
        let chunk = &buffer[..length];
        proxy.delay_chunk(direction, length).await;
        if proxy.reset_next.replace(false) {
            let _ = to.write_all(&chunk[..length / 2]).await;
            connection.reset();
            return Ended::Reset;
        }
        if direction == Direction::Forth {
            proxy.record_frames(&mut frames, chunk);
        }
        if to.write_all(chunk).await.is_err() {
            connection.reset();
            return Ended::Reset;
        }
        proxy.passed.set(proxy.passed.get() + length as u64);
    }
}
