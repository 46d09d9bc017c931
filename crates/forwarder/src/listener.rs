//! Dispatchers' connections: frames are cut and taken, answers go out as the socket takes them.

use crate::{connection_limits, count, Hub};
use foldhash::{HashMap, HashMapExt};
use rainstand_protocol::ring::Ring;
use rainstand_protocol::thrift;
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Connections in front, 20 KB each while they are busy.
pub const MOST_CONNECTIONS: usize = 12_000;
/// Tickets that the protocol allows open on a connection.
const TOGETHER: usize = 32;
/// Answers that nobody reads, bytes: past it nothing more is read from the connection.
const UNREAD: usize = 256 << 10;
/// A frame begun is whole within this, and a connection says something within it.
const FRAME_WITHIN: Duration = Duration::from_secs(2);
/// After accepting failed, most likely for want of descriptors.
const ACCEPT_AGAIN: Duration = Duration::from_millis(50);
/// Errors in a row past which what still waits with the system is left to it, at the end of listening.
const ERRORS_MOST: usize = 20;
/// After bytes that cannot be read, for the answers that are still owed on the connection.
const LAST_ANSWERS: Duration = Duration::from_millis(800);

/// A dispatcher's connection, as the rest sees it.
pub struct Conn {
    out: RefCell<Ring>,
    stir: Notify,
    /// Tickets in hand by the caller's number.
    pub open: RefCell<HashMap<i32, u64>>,
    used: Cell<bool>,
    pub came: Instant,
    /// It asked something since [`crate::connection_limits`] looked at it last.
    pub asked: Cell<bool>,
    /// Its descriptor is wanted.
    pub told_to_go: Cell<bool>,
}

impl Conn {
    fn new() -> Self {
        Self {
            out: RefCell::default(),
            stir: Notify::new(),
            open: RefCell::new(HashMap::new()),
            used: Cell::new(false),
            came: Instant::now(),
            asked: Cell::new(false),
            told_to_go: Cell::new(false),
        }
    }

    /// Whether it was ever of use.
    pub fn used(&self) -> bool {
        self.used.get()
    }

    /// Whether nothing is owed on it, and it was not told to go yet.
    pub fn rests(&self) -> bool {
        self.open.borrow().is_empty() && self.settled() && !self.told_to_go.get()
    }

    pub fn go(&self) {
        self.told_to_go.set(true);
        self.stir.notify_one();
    }

    /// Whether all that was answered is written.
    pub fn settled(&self) -> bool {
        self.out.borrow().is_empty()
    }

    pub fn send(&self, frame: &[u8]) {
        self.out.borrow_mut().put(frame);
        self.stir.notify_one();
    }
}

/// Until the end of listening, and then what the system accepted before it.
pub async fn accept(hub: Rc<Hub>, listener: TcpListener) {
    let (mut deaf, mut errors) = (false, 0);
    while errors < ERRORS_MOST {
        let accepted = if deaf {
            // The runtime lets a task take so many in one go.
            tokio::task::yield_now().await;
            let Ok(accepted) = timeout(Duration::ZERO, listener.accept()).await else {
                return;
            };
            errors = if accepted.is_err() { errors + 1 } else { 0 };
            accepted
        } else {
            tokio::select! {
                accepted = listener.accept() => accepted,
                () = hub.deaf.notified() => {
                    deaf = true;
                    continue;
                }
            }
        };
        match accepted {
            Ok((stream, peer)) => {
                count(&hub.counts.accepted);
                if !connection_limits::for_one_more(&hub) {
                    count(&hub.counts.refused_connections);
                    continue;
                }
                let _ = stream.set_nodelay(true);
                let (conn, number) = (Rc::new(Conn::new()), hub.number());
                hub.conns.borrow_mut().insert(number, conn.clone());
                hub.room.came(number);
                let hub = hub.clone();
                spawn_local(async move {
                    let code = talk(&hub, &conn, &stream).await;
                    hub.conns.borrow_mut().remove(&number);
                    hub.room.went(&conn);
                    let open: Vec<u64> = conn.open.borrow().values().copied().collect();
                    open.iter().for_each(|ticket| hub.left(*ticket));
                    tracing::debug!(event = "connection_end", words = "end", conn = number, peer = %peer, code = code, open = open.len());
                });
                // Guards against a crowd that comes at once: what made room for it lets go first.
                tokio::task::yield_now().await;
            }
            // An error for which a connection makes room is none of those in a row: there are only so many of them.
            Err(error) if connection_limits::after(&hub, &error).await => errors = 0,
            Err(_) => sleep(ACCEPT_AGAIN).await,
        }
    }
}

/// Serves a connection to its end; the reason code. Once nothing more is read from it, what is owed on it still goes out:
/// to a caller that ended its side in its own time, after bytes that cannot be read within [`LAST_ANSWERS`].
async fn talk(hub: &Rc<Hub>, conn: &Rc<Conn>, stream: &TcpStream) -> &'static str {
    let code = listen(hub, conn, stream).await;
    if code == "reset" {
        return code;
    }
    let written = |all: bool| async move {
        let due = || !conn.open.borrow().is_empty() || (all && !conn.settled());
        while flush(&conn.out, stream).is_ok() && due() {
            let unread = !conn.settled();
            tokio::select! {
                _ = stream.writable(), if unread => {}
                () = conn.stir.notified() => {}
            }
        }
    };
    // The decisions end each ticket in its own time; whether the caller then reads is no reason to wait for good.
    if matches!(code, "eof" | "eof_in_frame") {
        written(false).await;
    }
    let _ = timeout(LAST_ANSWERS, written(true)).await;
    code
}

/// Takes what is asked on a connection, and writes what is answered; why nothing more is read.
async fn listen(hub: &Rc<Hub>, conn: &Rc<Conn>, stream: &TcpStream) -> &'static str {
    let mut back = Ring::default();
    loop {
        if flush(&conn.out, stream).is_err() {
            return "reset";
        }
        if conn.told_to_go.get() && back.is_empty() {
            // Guards against a ticket cut off by a close that it crossed: it may lie in the socket, unread.
            let last = hub.read_now(stream, &mut back);
            match last {
                Ok(n) if n > 0 => {
                    hub.room.went(conn);
                    conn.asked.set(true);
                    if let Err(code) = frames(hub, conn, &mut back) {
                        return code;
                    }
                    continue;
                }
                Err(e) if e.kind() != io::ErrorKind::WouldBlock => return "reset",
                _ if conn.open.borrow().is_empty() && conn.settled() => return "room",
                _ => hub.room.went(conn),
            }
        }
        let unread = conn.out.borrow().len();
        let timed = !conn.used.get() || !back.is_empty();
        tokio::select! {
            ready = timeout(FRAME_WITHIN, stream.readable()), if unread < UNREAD => {
                let Ok(ready) = ready else {
                    if timed && conn.open.borrow().is_empty() {
                        return if back.is_empty() { "silent" } else { "half_a_frame" };
                    }
                    continue;
                };
                match ready.and_then(|()| hub.read(stream, &mut back)) {
                    Ok(0) => return if back.is_empty() { "eof" } else { "eof_in_frame" },
                    Ok(_) => {}
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => continue,
                    Err(_) => return "reset",
                }
                conn.asked.set(true);
                if let Err(code) = frames(hub, conn, &mut back) {
                    return code;
                }
            }
            _ = stream.writable(), if unread > 0 => {}
            () = conn.stir.notified() => {}
        }
    }
}

/// Takes all whole frames.
fn frames(hub: &Rc<Hub>, conn: &Rc<Conn>, back: &mut Ring) -> Result<(), thrift::Flaw> {
    while let Some(length) = thrift::frame(back.bytes())? {
        frame(hub, conn, &back.bytes()[4..4 + length])?;
        back.drop_front(4 + length);
    }
    Ok(())
}

/// Writes what the socket takes without waiting.
pub fn flush(out: &RefCell<Ring>, stream: &TcpStream) -> io::Result<()> {
    let mut out = out.borrow_mut();
    while !out.is_empty() {
        match stream.try_write(out.front()) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(n) => out.drop_front(n),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

fn frame(hub: &Rc<Hub>, conn: &Rc<Conn>, frame: &[u8]) -> Result<(), thrift::Flaw> {
    let message = thrift::message(frame)?;
    let (name, seq) = (message.name, message.seq);
    let except = |code, why: &str| {
        count(&hub.counts.exceptions);
        if !message.oneway {
            conn.send(&thrift::exception(name, seq, code, why));
        }
    };
    match name {
        b"process" if !message.oneway => {
            // What cannot be read ends the connection, as at a node.
            thrift::process_args(message.args)?;
            if conn.open.borrow().contains_key(&seq) {
                return Err("seq_repeated");
            }
            conn.used.set(true);
            if conn.open.borrow().len() >= TOGETHER {
                except(
                    thrift::INTERNAL_ERROR,
                    "too many open tickets on this connection",
                );
                return Ok(());
            }
            if let Err(why) = hub.arrived(conn, seq, message.args) {
                except(thrift::INTERNAL_ERROR, why);
            }
        }
        b"giveUp" => {
            if let Some(seq) = thrift::give_up_args(message.args)? {
                let number = conn.open.borrow_mut().remove(&seq);
                number.into_iter().for_each(|number| hub.left(number));
            }
        }
        b"probe" => {
            thrift::probe_args(message.args)?;
            conn.used.set(true);
            conn.send(&thrift::answer(b"probe", seq, &[], hub.good()));
        }
        _ => except(thrift::UNKNOWN_METHOD, "no such method"),
    }
    Ok(())
}
