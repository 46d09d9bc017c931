//! A link between two processes as a thing with two ends and two directions: a listener that the one connects to,
//! and, for each connection, one to the other. What passes can be held, slowed, cut and sent twice.

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
const CHUNK: usize = 16 << 10;
/// Connections of one link; more are refused.
const MOST: usize = 256;
/// Frames longer than this are not kept to be sent again.
const KEPT: usize = 64 << 10;
/// For a far end to take a connection.
const OPENS: Duration = Duration::from_secs(2);

/// What a link does to one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Flow {
    held: bool,
    delay: Duration,
    /// Bytes a second; 0: as they come.
    rate: u64,
}

/// One connection that passes.
struct Passing {
    /// Ends both directions, by a reset.
    over: Notify,
    ended: Cell<bool>,
    /// The near end is kept open though the far end is gone.
    half: Cell<bool>,
}

/// Whole frames of a direction: a length in four bytes, then so much. The first and the last are kept.
#[derive(Default)]
struct Frames {
    bytes: Vec<u8>,
    first: Vec<u8>,
    last: Vec<u8>,
    /// It is no such framing.
    off: bool,
    seen: u64,
}

impl Frames {
    fn saw(&mut self, bytes: &[u8]) {
        if self.off {
            return;
        }
        self.bytes.extend_from_slice(bytes);
        while let Some(head) = self.bytes.first_chunk::<4>() {
            let len = u32::from_be_bytes(*head) as usize;
            if len > 4 * KEPT {
                self.off = true;
                return;
            }
            if self.bytes.len() < 4 + len {
                return;
            }
            let frame: Vec<u8> = self.bytes.drain(..4 + len).collect();
            self.seen += 1;
            if frame.len() <= KEPT {
                if self.first.is_empty() {
                    self.first.clone_from(&frame);
                }
                self.last = frame;
            }
        }
    }
}

/// A link.
pub struct Proxy {
    pub addr: SocketAddr,
    to: Cell<Option<SocketAddr>>,
    forth: Cell<Flow>,
    back: Cell<Flow>,
    /// New connections wait, as if their first packet were lost.
    deaf: Cell<bool>,
    cut_next: Cell<bool>,
    changed: Notify,
    passing: RefCell<Vec<Rc<Passing>>>,
    /// The last frame sent forth, with the first of its connection.
    frames: RefCell<(Vec<u8>, Vec<u8>)>,
    chance: RefCell<WyRand>,
    /// Bytes that passed, connections that were reset.
    pub passed: Cell<u64>,
    pub resets: Cell<u64>,
    /// Whole frames that passed forth.
    pub whole_frames: Cell<u64>,
}

impl Proxy {
    /// # Errors
    /// If the system has no port for it.
    pub async fn open(seed: u64) -> io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let proxy = Rc::new(Self {
            addr: listener.local_addr()?,
            to: Cell::new(None),
            forth: Cell::default(),
            back: Cell::default(),
            deaf: Cell::new(false),
            cut_next: Cell::new(false),
            changed: Notify::new(),
            passing: RefCell::default(),
            frames: RefCell::default(),
            chance: RefCell::new(WyRand::new_seed(seed)),
            passed: Cell::new(0),
            resets: Cell::new(0),
            whole_frames: Cell::new(0),
        });
        let serving = proxy.clone();
        spawn_local(async move {
            loop {
                match listener.accept().await {
                    Ok((near, _)) if serving.passing.borrow().len() < MOST => {
                        spawn_local(pass(serving.clone(), near));
                    }
                    Ok((near, _)) => reset(&near),
                    Err(_) => sleep(Duration::from_millis(20)).await,
                }
            }
        });
        Ok(proxy)
    }

    /// Where it leads from now on; nowhere: connections are refused.
    pub fn set_target(&self, to: Option<SocketAddr>) {
        self.to.set(to);
    }

    /// A trouble begins.
    pub fn begin(&self, fault: LinkFault) {
        let (mut forth, mut back) = (self.forth.get(), self.back.get());
        match fault {
            LinkFault::Cut { forth: f, back: b } => {
                (forth.held, back.held) = (f, b);
                self.deaf.set(true);
            }
            LinkFault::Stall => {
                (forth.held, back.held) = (true, true);
                self.deaf.set(true);
            }
            LinkFault::HalfOpen => {
                (forth.held, back.held) = (true, true);
                self.deaf.set(true);
                for one in &*self.passing.borrow() {
                    one.half.set(true);
                    one.over.notify_waiters();
                }
            }
            LinkFault::Delay(by) => (forth.delay, back.delay) = (by, by),
            LinkFault::Throttle(rate) => (forth.rate, back.rate) = (rate, rate),
        }
        self.forth.set(forth);
        self.back.set(back);
        self.changed.notify_waiters();
    }

    /// All troubles end.
    pub fn heal(&self, fault: LinkFault) {
        self.forth.set(Flow::default());
        self.back.set(Flow::default());
        self.deaf.set(false);
        if matches!(fault, LinkFault::Cut { .. } | LinkFault::HalfOpen) {
            self.reset_all();
        }
        self.changed.notify_waiters();
    }

    /// All connections are reset now.
    pub fn reset_all(&self) {
        for one in self.passing.borrow().iter() {
            one.half.set(false);
            one.ended.set(true);
            one.over.notify_waiters();
        }
    }

    /// The next chunk is cut in the middle and its connection reset.
    pub fn reset_next(&self) {
        self.cut_next.set(true);
    }

    /// The last frame that passed is brought once more, over a connection of its own that begins as the first did.
    pub async fn repeat_last_frame(&self) {
        let (first, last) = self.frames.borrow().clone();
        let Some(to) = self.to.get().filter(|_| !last.is_empty()) else {
            return;
        };
        let sent = async {
            let mut stream = TcpStream::connect(to).await?;
            if first != last {
                stream.write_all(&first).await?;
            }
            stream.write_all(&last).await?;
            // Until the other end has read it and says something, or hangs up.
            let mut some = [0; 1];
            stream.read(&mut some).await
        };
        let _ = timeout(OPENS, sent).await;
    }
}

/// Closes so that the other side gets a reset.
fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn pass(proxy: Rc<Proxy>, near: TcpStream) {
    let passing = Rc::new(Passing {
        over: Notify::new(),
        ended: Cell::new(false),
        half: Cell::new(false),
    });
    proxy.passing.borrow_mut().push(passing.clone());
    let whole = through(&proxy, &passing, near).await;
    if !whole {
        proxy.resets.set(proxy.resets.get() + 1);
    }
    proxy
        .passing
        .borrow_mut()
        .retain(|one| !Rc::ptr_eq(one, &passing));
}

/// False if it was reset.
async fn through(proxy: &Rc<Proxy>, passing: &Rc<Passing>, near: TcpStream) -> bool {
    let _ = near.set_nodelay(true);
    while proxy.deaf.get() && !passing.ended.get() {
        tokio::select! {
            () = proxy.changed.notified() => {}
            () = passing.over.notified() => {}
        }
    }
    let far = match proxy.to.get().filter(|_| !passing.ended.get()) {
        Some(to) => timeout(OPENS, TcpStream::connect(to)).await,
        None => {
            reset(&near);
            return false;
        }
    };
    let Ok(Ok(far)) = far else {
        reset(&near);
        return false;
    };
    let _ = far.set_nodelay(true);
    for stream in [&near, &far] {
        reset(stream);
    }
    // The near end of a half-open connection: it stays, while all that passes is dropped.
    let kept = SockRef::from(&near).try_clone();
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let forth = pump(proxy, passing, near_read, far_write, true);
    let back = pump(proxy, passing, far_read, near_write, false);
    let mut both = Some(Box::pin(async { tokio::join!(forth, back) }));
    while let Some(going) = &mut both {
        tokio::select! {
            whole = going => return whole.0 && whole.1,
            () = passing.over.notified() => {}
        }
        if passing.ended.get() {
            return false;
        }
        if passing.half.get() {
            both = None;
        }
    }
    while !passing.ended.get() {
        passing.over.notified().await;
    }
    drop(kept);
    false
}

/// One direction, until its end or the link's.
async fn pump(
    proxy: &Rc<Proxy>,
    passing: &Rc<Passing>,
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    forth: bool,
) -> bool {
    let mut frames = Frames::default();
    let mut chunk = vec![0; CHUNK];
    loop {
        let n = match from.read(&mut chunk).await {
            Ok(0) => {
                held(proxy, passing, forth).await;
                // A whole end, not a reset: the other side is told so.
                let _ = SockRef::from(AsRef::<TcpStream>::as_ref(&to)).set_linger(None);
                let _ = to.shutdown().await;
                return true;
            }
            Ok(n) => n,
            Err(_) => {
                passing.ended.set(true);
                passing.over.notify_waiters();
                return false;
            }
        };
        held(proxy, passing, forth).await;
        let flow = if forth {
            proxy.forth.get()
        } else {
            proxy.back.get()
        };
        if !flow.delay.is_zero() {
            let jitter = proxy.chance.borrow_mut().generate_range(50..150u32);
            sleep(flow.delay.mul_f64(f64::from(jitter) / 100.0)).await;
        }
        if flow.rate > 0 {
            sleep(Duration::from_secs_f64(n as f64 / flow.rate as f64)).await;
        }
        if proxy.cut_next.replace(false) {
            let _ = to.write_all(&chunk[..n / 2]).await;
            passing.ended.set(true);
            passing.over.notify_waiters();
            return false;
        }
        if forth {
            let seen = frames.seen;
            frames.saw(&chunk[..n]);
            proxy
                .whole_frames
                .set(proxy.whole_frames.get() + frames.seen - seen);
            if !frames.off && !frames.last.is_empty() {
                *proxy.frames.borrow_mut() = (frames.first.clone(), frames.last.clone());
            }
        }
        if to.write_all(&chunk[..n]).await.is_err() {
            passing.ended.set(true);
            passing.over.notify_waiters();
            return false;
        }
        proxy.passed.set(proxy.passed.get() + n as u64);
    }
}

/// Waits while the direction is held.
async fn held(proxy: &Rc<Proxy>, passing: &Rc<Passing>, forth: bool) {
    while (if forth {
        proxy.forth.get()
    } else {
        proxy.back.get()
    })
    .held
        && !passing.ended.get()
    {
        tokio::select! {
            () = proxy.changed.notified() => {}
            () = passing.over.notified() => {}
        }
    }
}
