//! Connections of the dispatchers: accepting them, reading frames, writing answers, ending them.

use crate::connection::Connection;
use crate::counters::count;
use crate::socket_buffer::{ReadOutcome, Ring, SocketIo};
use crate::{completion, descriptors, ingress, log_event, log_frequent, thrift, NodeContext};
use socket2::SockRef;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until, timeout};

/// Descriptors put by for the agent, the announce service, the listener, the runtime's own, standard
/// streams, and connections that are on their way out.
const OWN: usize = 64;
/// Of these, what a node at work has open at the most, beside connections and calls: twelve, and as many to spare.
const AT_WORK: usize = 24;
/// Descriptors put by for calls below even while few are out: a bunch of them comes at once.
const CALLS_LEAST: usize = 48;
/// Unread answers on a connection, in bytes, past which no more is read from it: a full set of answers.
const UNREAD_MOST: usize = 128 * 1024;
/// Bytes that came at once, past which the others get a turn: some ten tickets.
const FLOOD: usize = 4 * 1024;
/// After an accept that failed, as it does when descriptors run out.
const ACCEPT_AGAIN: Duration = Duration::from_millis(50);
/// Between looks for connections to end.
const LOOK: Duration = Duration::from_millis(100);
/// From its opening, for the first whole frame; and for each later one from its first bytes on. What sends
/// bad input must be told so within 3 s of connecting; a caller's frame comes in one piece.
const FRAME_WITHIN: Duration = Duration::from_millis(2_000);
/// After bytes that cannot be read, for the answers that are still owed on the connection.
const LAST_ANSWERS: Duration = Duration::from_millis(800);
/// After `shutdown`, for the dispatcher to close by itself.
const TOLD_MOST: Duration = Duration::from_secs(2);
/// No byte moved though answers wait to be read.
const STUCK: Duration = Duration::from_secs(30);
/// No byte moved and none expected, past what callers keep an unused connection: they forgot it.
const FORSAKEN: Duration = Duration::from_secs(2);
/// Unread answers on all connections together may take this part of the memory: an eighth.
const UNREAD_PART: usize = 8;
/// For the last bytes of the other side, so that a close does not cut off answers on their way.
const LINGER: Duration = Duration::from_millis(500);
/// Bytes read in that time at the most: all tickets that can be on their way, twice over.
const LINGER_BYTES: usize = 256 * 1024;

/// Connections that say good-bye beside a full room: a quarter of the descriptors put by.
const GOING_MOST: usize = OWN / 4;

/// Reason code of one that made room for another.
const ROOM: &str = "room";
/// Reason code of one that made room at once, as the node itself had no descriptor left.
const GIVES_WAY: &str = "descriptors";
/// Reason codes for which a connection ends whatever is still owed on it.
const CUTS: [&str; 2] = ["unread", "kill"];
/// Errors in a row past which what still waits with the system is left to it, at the end of listening: a second of them.
const ERRORS_MOST: usize = 20;

/// How many connections of dispatchers may stand beside so many calls below, of all descriptors.
///
/// ```
/// use rainstand_node::connections::room;
/// assert_eq!([room(384, 0), room(384, 100), room(384, 300)], [272, 220, 192]);
/// ```
pub fn room(sockets: usize, calls: usize) -> usize {
    sockets
        .saturating_sub(OWN + calls.max(CALLS_LEAST))
        .max(sockets / 2)
}

/// Accepts until the end of listening; the listener is closed once all that the system accepted before is taken.
pub async fn accept(context: Rc<NodeContext>) {
    let Some(listener) = context.listener.borrow().clone() else {
        return;
    };
    let mut failing = false;
    loop {
        tokio::select! {
            () = context.stop_listening.notified() => break,
            accepted = listener.accept() => match accepted {
                Ok((stream, peer)) => {
                    failing = false;
                    take(&context, stream, peer);
                    // Guards against a crowd that comes at once: what made room for it lets go first.
                    tokio::task::yield_now().await;
                }
                Err(why) => {
                    accept_failed(&context, &why, &mut failing).await;
                }
            }
        }
    }
    // What the system accepted before this is ours to serve, also past an error.
    let mut errors = 0;
    while errors < ERRORS_MOST {
        match timeout(Duration::ZERO, listener.accept()).await {
            Ok(Ok((stream, peer))) => {
                errors = 0;
                take(&context, stream, peer);
                // Guards against an end that comes too soon: the runtime lets a task take so many in one go.
                tokio::task::yield_now().await;
            }
            // An error for which a connection made room is none of those in a row: there are only so many of them.
            Ok(Err(why)) => {
                errors += usize::from(!accept_failed(&context, &why, &mut failing).await);
            }
            Err(_) => break,
        }
    }
    context.listener.take();
}

/// After an accept that failed, as it does when descriptors run out; whether a connection makes room for the next.
async fn accept_failed(context: &NodeContext, why: &std::io::Error, failing: &mut bool) -> bool {
    count(&context.counts.accept_errors);
    if !std::mem::replace(failing, true) {
        log_event!("accept_fails", "accept fails", why = why);
    }
    let room = descriptors::is_exhausted(why) && evict_for_descriptor(context);
    sleep(if room {
        descriptors::AGAIN
    } else {
        ACCEPT_AGAIN
    })
    .await;
    room
}

fn take(context: &Rc<NodeContext>, stream: TcpStream, peer: SocketAddr) {
    count(&context.counts.accepted);
    let _ = stream.set_nodelay(true);
    let id = context.counts.accepted.get();
    if remaining_capacity(context) <= 0 && !evict_idle(context, ROOM) {
        count(&context.counts.closed);
        *context.ends.borrow_mut().entry("full").or_default() += 1;
        log_frequent!(
            "connection_end",
            "end",
            conn = id,
            peer = peer,
            code = "full"
        );
        return;
    }
    let tape = context
        .record
        .get()
        .map(|record| record.recorder.tape(peer, context.config.listen));
    let conn = Rc::new(Connection::new(id, peer, stream, tape));
    context.connections.borrow_mut().insert(id, conn.clone());
    tokio::task::spawn_local(serve(context.clone(), conn));
}

/// Connections that may still be opened; below 0, so many too many stand.
fn remaining_capacity(context: &NodeContext) -> isize {
    let calls = context.core.borrow().table.downstream.out.get();
    // One that is told to close is about to: guards against a second that is closed for the same need.
    let told = |conn: &&Rc<Connection>| conn.close_reason.get().is_some() && !conn.closing.get();
    let told = context.connections.borrow().values().filter(told).count();
    let stand = context.connections.borrow().len() - told - going(context).min(GOING_MOST);
    let sockets = context
        .config
        .sockets
        .saturating_sub(context.reserved_descriptors.get());
    room(sockets, calls) as isize - stand as isize
}

/// Connections that only wait for the other side's end.
fn going(context: &NodeContext) -> usize {
    context
        .connections
        .borrow()
        .values()
        .filter(|conn| conn.closing.get())
        .count()
}

/// Ends the connection that was unused for longest, if need be; false if all are in use. Guards against a
/// crowd that says nothing: whoever never said a word goes before all dispatchers.
fn evict_idle(context: &NodeContext, code: &'static str) -> bool {
    let conns = context.connections.borrow();
    // One that is on its way out makes no further room.
    let free = |conn: &&Rc<Connection>| {
        conn.is_idle() && conn.close_reason.get().is_none() && !conn.closing.get()
    };
    let unused = conns.values().filter(free);
    let Some(conn) = unused.min_by_key(|conn| (conn.is_known.get(), conn.last_activity.get()))
    else {
        return false;
    };
    conn.close_with(code);
    true
}

/// Ends the connection that was unused for longest, at once, for a need of the node's own; false if all are in use.
pub fn evict_for_descriptor(context: &NodeContext) -> bool {
    evict_idle(context, GIVES_WAY)
}

/// Guards against a bunch of calls below that comes sooner than the next look: each call past what is put by is made
/// once an unused connection has made room for it.
pub async fn reserve_for_call(context: &NodeContext) {
    let mut made = remaining_capacity(context) < 0 && evict_idle(context, ROOM);
    // Under few descriptors half of them is more than calls leave.
    let (stand, calls) = (
        context.connections.borrow().len(),
        context.core.borrow().table.downstream.out.get(),
    );
    if stand + calls + AT_WORK + context.reserved_descriptors.get() > context.config.sockets {
        made |= evict_for_descriptor(context);
    }
    if made {
        tokio::task::yield_now().await;
    }
}

/// What is due at a connection's end, however it ends: also where serving it ended in a panic.
struct ConnectionGuard {
    context: Rc<NodeContext>,
    conn: Rc<Connection>,
    opened: Instant,
    code: Option<&'static str>,
    open: usize,
}

impl ConnectionGuard {
    /// Its callers are gone; nothing more is taken from it.
    fn leave(&mut self) {
        self.conn.closing.set(true);
        let open: Vec<i32> = self.conn.open_requests.borrow().keys().copied().collect();
        self.open += open.len();
        open.into_iter()
            .for_each(|seq| ingress::gone(&self.context, &self.conn, seq));
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let code = match self.code {
            Some(code) => code,
            // The process ends.
            None if !std::thread::panicking() => return,
            None => {
                self.leave();
                "panic"
            }
        };
        self.context.connections.borrow_mut().remove(&self.conn.id);
        count(&self.context.counts.closed);
        *self.context.ends.borrow_mut().entry(code).or_default() += 1;
        let (id, peer, ms) = (
            self.conn.id,
            self.conn.peer,
            self.opened.elapsed().as_millis(),
        );
        log_frequent!(
            "connection_end",
            "end",
            conn = id,
            peer = peer,
            code = code,
            open = self.open,
            after_ms = ms
        );
    }
}

async fn serve(context: Rc<NodeContext>, conn: Rc<Connection>) {
    let opened = Instant::now();
    let mut ending = ConnectionGuard {
        context: context.clone(),
        conn: conn.clone(),
        opened,
        code: None,
        open: 0,
    };
    let (code, cut) = talk(&context, &conn).await;
    ending.code = Some(code);
    ending.leave();
    if !cut {
        let _ = timeout(LINGER, hang_up(&conn.stream)).await;
    }
}

/// What was read of a connection and not taken yet, and how long it is waited for.
struct FrameReader {
    back: Ring,
    /// Set once nothing more is read: by the other side's end, or by a frame that cannot be read.
    last: Option<&'static str>,
    patience: ReadDeadlines,
}

impl FrameReader {
    /// What a read from the socket brought, and the whole frames in it; whether more came than others should wait for.
    fn take(
        &mut self,
        context: &NodeContext,
        conn: &Rc<Connection>,
        last_look: bool,
    ) -> std::io::Result<bool> {
        let was_empty = self.back.is_empty();
        let back = &mut self.back;
        match if last_look {
            back.fill_now(&conn.stream)
        } else {
            back.fill(&conn.stream)
        }? {
            ReadOutcome::Some => conn.last_activity.set(Instant::now()),
            ReadOutcome::Nothing => {}
            ReadOutcome::End => {
                self.last = Some(if self.back.is_empty() {
                    "eof"
                } else {
                    "eof_in_frame"
                })
            }
        }
        let flood = self.back.len() > FLOOD;
        match frames(context, conn, &mut self.back) {
            Err(code) => self.last = Some(self.patience.over(Instant::now(), code)),
            Ok(whole) => {
                self.patience
                    .read(Instant::now(), was_empty || whole > 0, self.back.is_empty());
            }
        }
        Ok(flood)
    }
}

/// Serves until the connection's end; the reason code, and whether it is past saying good-bye.
async fn talk(context: &Rc<NodeContext>, conn: &Rc<Connection>) -> (&'static str, bool) {
    let mut read = FrameReader {
        back: Ring::default(),
        last: None,
        patience: ReadDeadlines::new(Instant::now()),
    };
    loop {
        let before = conn.outgoing.borrow().len();
        if before > 0 {
            if conn.outgoing.borrow_mut().flush(&conn.stream).is_err() {
                return ("reset", true);
            }
            if conn.outgoing.borrow().len() < before {
                conn.last_activity.set(Instant::now());
            }
        }
        if let Some(code) = read.last.filter(|_| conn.is_idle()) {
            return (code, false);
        }
        if let Some(code) = conn.close_reason.take() {
            if CUTS.contains(&code) {
                return (code, !conn.is_idle());
            }
            // Guards against a ticket cut off by a close that it crossed: it may lie in the socket, unread for as long
            // as the process was busy, or be half here.
            if read.last.is_none() && conn.is_idle() && read.take(context, conn, true).is_err() {
                return ("reset", true);
            }
            if conn.is_idle() && read.back.is_empty() && read.last.is_none() {
                // Guards against a flood of connections: a long good-bye would keep the descriptor that is wanted
                // now. A caller that was of use may have an answer on its way, which a reset would take along.
                let crowd = !conn.is_known.get() || going(context) >= GOING_MOST;
                return (code, code == GIVES_WAY || code == ROOM && crowd);
            }
            continue;
        }
        let unread = conn.outgoing.borrow().len();
        let reading = read.last.is_none() && unread < UNREAD_MOST;
        let by = if reading {
            read.patience.frame_by(conn.is_known.get())
        } else {
            read.patience.answers_by
        };
        // What was read counts before the clock: a process that stood still finds both.
        tokio::select! {
            biased;
            ready = conn.stream.readable(), if reading => {
                match ready.and_then(|()| read.take(context, conn, false)) {
                    Err(_) => return ("reset", true),
                    Ok(true) => tokio::task::yield_now().await,
                    Ok(false) => {}
                }
            }
            _ = conn.stream.writable(), if unread > 0 => {}
            () = conn.wakeup.notified() => {}
            () = sleep_until(by.unwrap_or_else(Instant::now).into()), if by.is_some() => {
                if read.last.is_some() {
                    ingress::cancel_all(context, conn);
                    read.patience.answers_by = None;
                } else if read.back.is_empty() && !conn.open_requests.borrow().is_empty() {
                    // Its first ticket is still in hand.
                    read.patience.strange_since = Instant::now();
                } else {
                    let code = if read.back.is_empty() { "silent" } else { "half_a_frame" };
                    read.last = Some(read.patience.over(Instant::now(), code));
                }
            }
        }
    }
}

/// How long a connection is waited for.
struct ReadDeadlines {
    /// Its opening, or the last look at which its first ticket was still in hand.
    strange_since: Instant,
    /// Since when a frame is begun and not whole.
    begun: Option<Instant>,
    /// After bytes that cannot be read: when what is still owed on it is given up.
    answers_by: Option<Instant>,
}

impl ReadDeadlines {
    fn new(opened: Instant) -> Self {
        Self {
            strange_since: opened,
            begun: None,
            answers_by: None,
        }
    }

    /// By when a whole frame must be there: on one that was of no use yet its first, else the one begun.
    fn frame_by(&self, used: bool) -> Option<Instant> {
        let since = if used {
            self.begun
        } else {
            Some(self.strange_since)
        };
        since.map(|at| at + FRAME_WITHIN)
    }

    /// Bytes came: `starts` if a frame begins with them, `all` if they hold no part of one.
    fn read(&mut self, now: Instant, starts: bool, all: bool) {
        self.begun = if all {
            None
        } else {
            self.begun.filter(|_| !starts).or(Some(now))
        };
    }

    /// Nothing more is read, for this reason.
    fn over(&mut self, now: Instant, code: &'static str) -> &'static str {
        self.answers_by = Some(now + LAST_ANSWERS);
        code
    }
}

/// Takes all whole frames; how many there were.
fn frames(
    context: &NodeContext,
    conn: &Rc<Connection>,
    back: &mut Ring,
) -> Result<usize, thrift::Flaw> {
    let mut whole = 0;
    loop {
        let len = match thrift::frame(back.bytes()) {
            Ok(Some(len)) => len,
            Ok(None) => return Ok(whole),
            Err(flaw) => {
                // What cannot be read is part of the story, too.
                if let Some(tape) = &conn.recording {
                    tape.said(0, back.bytes());
                }
                return Err(flaw);
            }
        };
        if let Some(tape) = &conn.recording {
            tape.said(0, &back.bytes()[..4 + len]);
        }
        count(&context.counts.frames);
        whole += 1;
        let taken = ingress::frame(context, conn, &back.bytes()[4..4 + len]);
        back.drop_front(4 + len);
        taken?;
    }
}

/// Ends our side and reads on to the other's end, so that nothing on its way is cut off by a reset.
async fn hang_up(stream: &TcpStream) {
    if SockRef::from(stream)
        .shutdown(std::net::Shutdown::Write)
        .is_err()
    {
        return;
    }
    let (mut rest, mut seen) = (Ring::default(), 0);
    // Guards against spending the node's time on a message of many megabytes that nobody takes.
    while seen < LINGER_BYTES
        && stream.readable().await.is_ok()
        && matches!(
            rest.fill(stream),
            Ok(ReadOutcome::Some | ReadOutcome::Nothing)
        )
    {
        seen += rest.len();
        rest.clear();
    }
}

/// Ends connections that are unused for longer than wanted, stuck, or forsaken.
pub async fn sweep_connections(context: Rc<NodeContext>) {
    loop {
        sleep(LOOK).await;
        completion::end_orphans(&context, Instant::now());
        let (stay, idle) = (
            context.core.borrow().table.idle_limit,
            context.idle_timeout.get(),
        );
        let now = Instant::now();
        for conn in context.connections.borrow().values() {
            let quiet = now.duration_since(conn.last_activity.get());
            if !conn.is_idle() {
                if quiet > STUCK && !conn.outgoing.borrow().is_empty() {
                    conn.close_with("unread");
                }
            } else if conn
                .shutdown_sent_at
                .get()
                .is_some_and(|told| now.duration_since(told) > TOLD_MOST)
            {
                conn.close_with("idle");
            } else if quiet > stay.min(idle + FORSAKEN) && (stay < idle || quiet > idle + FORSAKEN)
            {
                conn.send_shutdown();
            }
        }
        // Calls below came into the room that connections took while there were none.
        for _ in remaining_capacity(&context)..0 {
            evict_idle(&context, ROOM);
        }
        // Guards against many that ask and do not read: the one that is furthest behind goes.
        let conns = context.connections.borrow();
        let unread = |conn: &Rc<Connection>| conn.outgoing.borrow().len();
        if conns.values().map(unread).sum::<usize>() > context.config.memory / UNREAD_PART {
            if let Some(conn) = conns.values().max_by_key(|&conn| unread(conn)) {
                conn.close_with("unread");
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_strangers_and_begun_frames_are_timed() {
        let start = Instant::now();
        let at = |ms| start + Duration::from_millis(ms);
        // When bytes came, whether a frame begins with them and whether they end with one; then by when the
        // next frame is due on a connection that was of no use, and on one that was.
        let cases = [
            (100, true, true, Some(2_000), None),
            (500, true, false, Some(2_000), Some(2_500)),
            (900, false, false, Some(2_000), Some(2_500)),
            (1_000, true, false, Some(2_000), Some(3_000)),
            (1_100, false, true, Some(2_000), None),
        ];
        let mut patience = ReadDeadlines::new(start);
        for (ms, starts, all, strange, used) in cases {
            patience.read(at(ms), starts, all);
            assert_eq!(
                (patience.frame_by(false), patience.frame_by(true)),
                (strange.map(at), used.map(at)),
                "{ms}"
            );
        }
    }
}
