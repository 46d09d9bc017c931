//! Connections to members: opened as they are needed, one at a time while a member cannot be reached, closed
//! when unused or old, never over 32 tickets each.
//!
//! When a connection breaks, what had not left whole is told apart from what may have run: bytes that no
//! system call took cannot have reached anybody.
//!
//! A member is known to be the same one as long as links to it overlap. A link that we close ourselves proves nothing
//! against it; after one that ended otherwise it is as old as the oldest link that still stands, and with none left
//! nothing is known ([`rainstand_routing::warm_up`]). The last link is therefore not closed for its age, only when unused.
//!
//! Invariant of a [`Link`]: `left` + what is in `out` = all bytes that were put; a call whose `until` is past `left`
//! has not left whole.

use crate::listener::flush;
use crate::{connection_limits, count, Call, Hub};
use foldhash::{HashMap, HashMapExt};
use nanorand::{Rng, WyRand};
use rainstand_protocol::ring::Ring;
use rainstand_protocol::thrift::{self, What};
use rainstand_routing::fleet::AttemptOutcome;
use std::cell::{Cell, OnceCell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Tickets that the protocol allows open on a connection.
const TOGETHER: usize = 32;
/// Bytes that wait for a member to read them: past it the link is broken, however open it looks.
const UNREAD: usize = 512 << 10;
/// Connections to one member.
pub const MOST_LINKS: usize = 64;
/// Unused for this long a link is closed: sooner than nodes close theirs.
const IDLE: Duration = Duration::from_secs(8);
/// No link gets new tickets when it is this old, or up to half as old again by chance: members behind one address
/// that is shared change, and not all links at once.
const AGE: Duration = Duration::from_secs(300);
/// Opening takes no longer on a network that works.
const OPENING: Duration = Duration::from_millis(500);
/// After an opening failed tries there fail at once for this long: nobody thunders at a member that starts.
const AWAY: Duration = Duration::from_millis(200);

pub struct Backs {
    members: RefCell<HashMap<Rc<str>, Rc<Member>>>,
    chance: RefCell<WyRand>,
}

#[derive(Default)]
struct Member {
    links: RefCell<Vec<Rc<Link>>>,
    /// The last opening failed then.
    away: Cell<Option<Instant>>,
    /// It said on its last link that it leaves.
    left: Cell<bool>,
    /// Links have stood without a gap since then, by the hub's clock; none while none stands.
    since: Cell<Option<Duration>>,
}

impl Member {
    /// Whether any link stands but this one.
    fn others_stand(&self, but: &Rc<Link>) -> bool {
        self.links
            .borrow()
            .iter()
            .any(|link| !Rc::ptr_eq(link, but) && link.stream.get().is_some())
    }

    /// A link stands: the first one may be to a new member.
    fn stands(&self, hub: &Hub, link: &Rc<Link>, address: &str) {
        let now = hub.now();
        link.opened.set(now);
        if !self.others_stand(link) || self.since.get().is_none() {
            self.known_since(hub, address, Some(now));
        }
    }

    /// A link is gone, and out of the list; `by_us`: because we closed it.
    fn fell(&self, hub: &Hub, address: &str, by_us: bool) {
        let standing = |link: &&Rc<Link>| link.stream.get().is_some();
        let oldest = self
            .links
            .borrow()
            .iter()
            .filter(standing)
            .map(|link| link.opened.get())
            .min();
        match (oldest, self.since.get()) {
            (Some(oldest), Some(since)) if by_us || oldest <= since => {}
            (oldest, since) if oldest != since => self.known_since(hub, address, oldest),
            _ => {}
        }
    }

    fn known_since(&self, hub: &Hub, address: &str, since: Option<Duration>) {
        self.since.set(since);
        let mut fleet = hub.fleet.borrow_mut();
        match since {
            _ if !fleet.has_warm_up() => {}
            Some(since) => fleet.on_connected(address, since, hub.now()),
            None => fleet.on_disconnected(address, hub.now()),
        }
    }
}

struct Link {
    stream: OnceCell<TcpStream>,
    out: RefCell<Ring>,
    /// Bytes that were put into `out`, and those of them that the system took.
    put: Cell<u64>,
    left: Cell<u64>,
    /// Tries by the number that they have here, each with where its bytes end.
    open: RefCell<HashMap<i32, (Call, u64)>>,
    next: Cell<i32>,
    /// From then on nothing new goes here.
    old_at: Instant,
    /// Nothing new goes here.
    retired: Cell<bool>,
    /// When the member last said anything on it, by the hub's clock.
    heard: Cell<Duration>,
    /// Since when it stands, by the hub's clock.
    opened: Cell<Duration>,
    /// We closed it, in peace.
    by_us: Cell<bool>,
    wake: Notify,
}

impl Link {
    /// Bytes to be written; where they end in all that was.
    fn put(&self, frame: &[u8]) -> u64 {
        self.out.borrow_mut().put(frame);
        self.put.set(self.put.get() + frame.len() as u64);
        // Written by the link's task, so that tries that come together leave together.
        self.wake.notify_one();
        self.put.get()
    }

    /// Writes what the system takes without waiting.
    fn flush(&self, stream: &TcpStream) -> io::Result<()> {
        let done = flush(&self.out, stream);
        self.left
            .set(self.put.get() - self.out.borrow().len() as u64);
        done
    }

    fn takes_more(&self) -> bool {
        !self.retired.get() && self.open.borrow().len() < TOGETHER && Instant::now() < self.old_at
    }
}

impl Backs {
    pub fn new(seed: u64) -> Self {
        Self {
            members: RefCell::new(HashMap::new()),
            chance: RefCell::new(WyRand::new_seed(seed ^ 0x6261_636b)),
        }
    }

    /// Links there are to all members.
    pub fn links(&self) -> usize {
        self.members
            .borrow()
            .values()
            .map(|member| member.links.borrow().len())
            .sum()
    }

    /// Bytes that wait to be written to members.
    pub fn unwritten(&self) -> usize {
        let of = |member: &Rc<Member>| -> usize {
            member
                .links
                .borrow()
                .iter()
                .map(|link| link.out.borrow().len())
                .sum()
        };
        self.members.borrow().values().map(of).sum()
    }

    /// Tells the decisions since when each member is known: those of a new version may not know it.
    pub fn tell_known(&self, hub: &Hub) {
        let (mut fleet, now) = (hub.fleet.borrow_mut(), hub.now());
        if !fleet.has_warm_up() {
            return;
        }
        for (address, member) in self.members.borrow().iter() {
            if let Some(since) = member.since.get() {
                fleet.on_connected(address, since, now);
            }
        }
    }

    /// Forgets members without a link: those of versions that are gone.
    pub fn tidy(&self) {
        self.members
            .borrow_mut()
            .retain(|_, member| !member.links.borrow().is_empty());
    }
}

/// Sends a try to a member; what came of it is told to the hub, also if it could not be sent.
pub fn send(hub: &Rc<Hub>, address: &Rc<str>, call: Call) {
    let member = hub
        .backs
        .members
        .borrow_mut()
        .entry(address.clone())
        .or_default()
        .clone();
    let opening = |link: &&Rc<Link>| link.stream.get().is_none();
    let away = member
        .away
        .get()
        .is_some_and(|since| since.elapsed() < AWAY);
    let link = {
        let mut links = member.links.borrow_mut();
        let room = links.iter().filter(|link| link.takes_more());
        // The fullest that has room, so that others become idle and close.
        let found = room.max_by_key(|link| link.open.borrow().len()).cloned();
        match found {
            Some(link) => Some(link),
            // One opening at a time toward a member that was away.
            None if links.len() >= MOST_LINKS
                || away
                || (member.away.get().is_some() && links.iter().any(|l| opening(&l))) =>
            {
                None
            }
            None => {
                let half = f64::from(hub.backs.chance.borrow_mut().generate::<u32>())
                    / f64::from(u32::MAX)
                    / 2.0;
                let link = Rc::new(Link {
                    stream: OnceCell::new(),
                    out: RefCell::default(),
                    put: Cell::new(0),
                    left: Cell::new(0),
                    open: RefCell::new(HashMap::new()),
                    next: Cell::new(1),
                    old_at: Instant::now() + AGE.mul_f64(1.0 + half),
                    retired: Cell::new(false),
                    heard: Cell::new(Duration::ZERO),
                    opened: Cell::new(Duration::ZERO),
                    by_us: Cell::new(false),
                    wake: Notify::new(),
                });
                links.push(link.clone());
                spawn_local(follow(
                    hub.clone(),
                    member.clone(),
                    link.clone(),
                    address.clone(),
                ));
                Some(link)
            }
        }
    };
    let Some(link) = link else {
        // Not within this call: the caller is in the middle of a step.
        let hub = hub.clone();
        spawn_local(async move {
            hub.came(call.number, call.attempt, AttemptOutcome::Unreachable);
        });
        return;
    };
    let seq = link.next.replace(link.next.get() + 1);
    let frame = {
        let tickets = hub.tickets.borrow();
        let Some(ticket) = tickets.get(&call.number) else {
            return;
        };
        if call.again {
            marked(seq, &ticket.args, call.tried)
        } else {
            thrift::process_again(seq, &ticket.args)
        }
    };
    let until = link.put(&frame);
    link.open.borrow_mut().insert(seq, (call, until));
}

/// The trace of a further try: the protocol wants a new one for each, and who reads logs wants to find the first.
/// The last four of the sixteen digits change.
///
/// ```
/// use rainstand_forwarder::upstream::trace;
/// assert_eq!(trace("9b1f03aa5c7e2d41", 1), "9b1f03aa5c7e2d41");
/// assert_eq!(trace("9b1f03aa5c7e2d41", 2), "9b1f03aa5c7eb2f8");
/// assert_eq!(trace("odd", 2), "odd");
/// ```
pub fn trace(first: &str, tried: u32) -> String {
    match (u64::from_str_radix(first, 16), first.len()) {
        (Ok(n), 16) => {
            let other = u64::from((tried.wrapping_sub(1)).wrapping_mul(0x9fb9) & 0xffff);
            format!("{:016x}", n ^ other)
        }
        _ => first.to_owned(),
    }
}

/// A call with the mark of a further try.
fn marked(seq: i32, args: &[u8], tried: u32) -> Vec<u8> {
    let text = |bytes| std::str::from_utf8(bytes).ok();
    // They were read before, and every field was text.
    let (fields, body) = thrift::process_args(args).unwrap_or_default();
    let fields = fields.unwrap_or_default();
    let mut fields: Vec<(&str, &str)> = fields
        .into_iter()
        .filter_map(|(key, value)| Some((text(key)?, text(value)?)))
        .collect();
    let place = fields.iter().position(|(key, _)| *key == "trace");
    let new = place.map(|at| trace(fields[at].1, tried));
    if let (Some(at), Some(new)) = (place, &new) {
        fields[at].1 = new;
    }
    if !fields.iter().any(|(key, _)| *key == "redo") {
        fields.push(("redo", "1"));
    }
    thrift::process(seq, &fields, body.unwrap_or_default())
}

/// Tells a member that nobody waits for a try any more, which was sent then and took too long.
pub fn leave(hub: &Hub, address: &str, attempt: u64, since: Duration) {
    let member = hub.backs.members.borrow().get(address).cloned();
    if let Some(link) = member.and_then(|member| leave_on(&member, attempt)) {
        // Guards against a link that was lost without a word: no try after this one goes where nothing was heard for
        // the whole of it, or the member would stay out for as long as the link stands.
        if link.heard.get() <= since && !link.retired.replace(true) {
            count(&hub.counts.quiet_links);
        }
    }
}

/// As [`leave`], for a caller that left: its try is at one of the members.
pub fn leave_everywhere(hub: &Hub, attempt: u64) {
    hub.backs
        .members
        .borrow()
        .values()
        .any(|member| leave_on(member, attempt).is_some());
}

fn leave_on(member: &Member, attempt: u64) -> Option<Rc<Link>> {
    let links = member.links.borrow();
    for link in links.iter() {
        let seq = link
            .open
            .borrow()
            .iter()
            .find(|(_, (call, _))| call.attempt == attempt)
            .map(|(seq, _)| *seq);
        if let Some(seq) = seq {
            // Nothing is owed on it any more: it takes no place, and an answer to it is late.
            link.open.borrow_mut().remove(&seq);
            link.put(&thrift::give_up(seq));
            return Some(link.clone());
        }
    }
    None
}

/// A link's whole life.
async fn follow(hub: Rc<Hub>, member: Rc<Member>, link: Rc<Link>, address: Rc<str>) {
    let opening = connection_limits::have(&hub, || TcpStream::connect(&*address));
    match timeout(OPENING, opening).await {
        Ok(Ok(stream)) => {
            let _ = stream.set_nodelay(true);
            count(&hub.counts.links);
            // It was gone and is there again: a new one, whatever its address.
            if member.away.take().is_some() | member.left.take() {
                hub.fleet.borrow_mut().on_restarted(&address, hub.now());
                member.since.set(None);
            }
            let _ = link.stream.set(stream);
            member.stands(&hub, &link, &address);
            if !serve(&hub, &member, &link, &address).await {
                count(&hub.counts.broken_links);
            }
        }
        // The want is ours, whoever is asked for.
        Ok(Err(error)) if connection_limits::none_left(&error) => {}
        _ => member.away.set(Some(Instant::now())),
    }
    link.retired.set(true);
    member
        .links
        .borrow_mut()
        .retain(|one| !Rc::ptr_eq(one, &link));
    member.fell(&hub, &address, link.by_us.get());
    let mut open: Vec<(Call, u64)> = link
        .open
        .borrow_mut()
        .drain()
        .map(|(_, call)| call)
        .collect();
    // In the order in which they were sent, whatever the map's.
    open.sort_by_key(|(_, until)| *until);
    let left = link.left.get();
    for (call, until) in open {
        // What did not leave whole cannot have been read whole.
        let ran = if until <= left {
            AttemptOutcome::Broken
        } else {
            AttemptOutcome::Unreachable
        };
        if ran == AttemptOutcome::Unreachable && link.stream.get().is_some() {
            count(&hub.counts.unsent);
        }
        hub.came(call.number, call.attempt, ran);
    }
}

/// Reads what comes back until the link ends; whether that was its proper end.
async fn serve(hub: &Rc<Hub>, member: &Member, link: &Rc<Link>, address: &str) -> bool {
    let Some(stream) = link.stream.get() else {
        return false;
    };
    let mut back = Ring::default();
    loop {
        if link.flush(stream).is_err() {
            return false;
        }
        if link.out.borrow().len() > UNREAD {
            return false;
        }
        let idle = link.open.borrow().is_empty();
        if idle
            && (link.retired.get() || (Instant::now() >= link.old_at && member.others_stand(link)))
        {
            link.by_us.set(true);
            return true;
        }
        let more = !link.out.borrow().is_empty();
        tokio::select! {
            ready = timeout(IDLE, stream.readable()) => {
                let Ok(ready) = ready else {
                    if idle && link.open.borrow().is_empty() {
                        link.by_us.set(true);
                        return true;
                    }
                    continue;
                };
                match ready.and_then(|()| hub.read(stream, &mut back)) {
                    Ok(0) => return link.open.borrow().is_empty(),
                    Ok(_) => link.heard.set(hub.now()),
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => continue,
                    Err(_) => return false,
                }
                while let Ok(Some(length)) = thrift::frame(back.bytes()) {
                    told(hub, member, link, address, &back.bytes()[4..4 + length]);
                    back.drop_front(4 + length);
                }
                if thrift::frame(back.bytes()).is_err() {
                    count(&hub.counts.unreadable);
                    return false;
                }
            }
            _ = stream.writable(), if more => {}
            () = link.wake.notified() => {}
        }
    }
}

fn told(hub: &Rc<Hub>, member: &Member, link: &Link, address: &str, frame: &[u8]) {
    if thrift::kind(frame) == Some(thrift::ONEWAY) {
        link.retired.set(true);
        // One link may be closed for many reasons; a member that wants none of them leaves.
        if member.links.borrow().iter().all(|link| link.retired.get()) {
            member.left.set(true);
            hub.fleet.borrow_mut().on_leaving(address, hub.now());
        }
        return;
    }
    let Ok(answered) = thrift::answered(frame) else {
        count(&hub.counts.unreadable);
        return;
    };
    let Some((call, _)) = link.open.borrow_mut().remove(&answered.seq) else {
        // A second answer, or to nothing that was asked.
        count(&hub.counts.late_answers);
        return;
    };
    let taken = match answered.what {
        What::Answer { body, .. } => hub.honoured(call.number, call.attempt, body),
        What::Backoff(texts) => {
            let text = |key: &[u8]| {
                texts
                    .iter()
                    .find(|(name, _)| *name == key)
                    .map(|(_, value)| *value)
            };
            let ms =
                text(b"pause").and_then(|ms| std::str::from_utf8(ms).ok()?.parse::<u64>().ok());
            // More than a minute is no honest time to come back.
            let pause = Duration::from_millis(ms.unwrap_or(0).min(60_000));
            let nowhere_else = text(b"terminal") == Some(b"1");
            hub.came(
                call.number,
                call.attempt,
                AttemptOutcome::Rejected {
                    pause,
                    nowhere_else,
                },
            )
        }
        What::Lost | What::Exception { .. } => {
            hub.came(call.number, call.attempt, AttemptOutcome::Failed)
        }
    };
    if !taken {
        count(&hub.counts.late_answers);
    }
}
