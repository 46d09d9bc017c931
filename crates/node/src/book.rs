//! The books: tickets in hand, connections, kept results, and counts of it all.

use crate::below::Pool;
use crate::keyed::{Copies, Keyed};
use crate::ring::Ring;
use crate::{agent, thrift, Hub};
use rainstand::{Gauges, Outcome};
use rainstand_traffic_recorder::Tape;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fmt;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::AbortHandle;

/// What is kept for repeats may take this part of the memory, and each key takes so many bytes beside its own.
const KEPT_PART: usize = 6;
const KEPT_EACH: usize = 256;
/// Bytes of kept keys from which those that aged out are looked for, and again at each doubling.
const KEPT_LOOK: usize = 64 * 1024;

/// An answered ticket's run that was told to stop has ended by then, if its end is ever told: several times
/// the longest outer limit.
const ORPHANED: Duration = Duration::from_secs(60);

/// The 16 hex digits that name one try.
pub type Trace = [u8; 16];
/// What all tries of one ticket carry alike, within its traffic type and tenant: never beyond them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Key {
    pub traffic: usize,
    pub tenant: Option<usize>,
    pub name: Box<[u8]>,
}

macro_rules! counts {
    ($($name:ident)*) => {
        /// What was taken in, sent and answered since the start.
        #[derive(Default)]
        pub struct Counts { $(pub $name: Cell<u64>,)* }

        impl fmt::Display for Counts {
            fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
                $(write!(f, " {}={}", stringify!($name), self.$name.get())?;)*
                Ok(())
            }
        }
    };
}

counts! {
    accepted accept_errors descriptors_out closed frames tickets repeats probes left exceptions
    launched resent frozen thawed delivered forgone notices refusals calls
    honoured dismissed given_up unsettled orphans
    agent_links agent_odd reloads_refused announced announce_unanswered announce_errors beats late_beats unasked_beats stale_gauges
    panics watches_again
}

/// One more of something.
pub fn count(what: &Cell<u64>) {
    what.set(what.get() + 1);
}

/// A dispatcher's connection: what all parts of the node may see of it.
pub struct Conn {
    pub id: u64,
    pub peer: SocketAddr,
    pub stream: TcpStream,
    /// Where its traffic is recorded, if it is.
    pub tape: Option<Tape>,
    pub out: RefCell<Ring>,
    /// Wakes the task that serves it.
    pub stir: Notify,
    /// Tickets that wait for an answer on it, by sequence number.
    pub open: RefCell<BTreeMap<i32, usize>>,
    /// A probe or a ticket on it got more than an error, so it is no stranger's.
    pub used: Cell<bool>,
    /// Messages on it that got an exception.
    pub exceptions: Cell<u64>,
    /// When bytes last moved on it.
    pub moved: Cell<Instant>,
    /// Told that nothing new is wanted on it, and when.
    pub told: Cell<Option<Instant>>,
    /// It is to be closed, for this reason.
    pub close: Cell<Option<&'static str>>,
    /// Nothing more is taken from it or owed on it: it only waits for the other side's end.
    pub going: Cell<bool>,
}

impl Conn {
    pub fn new(id: u64, peer: SocketAddr, stream: TcpStream, tape: Option<Tape>) -> Self {
        Self {
            id,
            peer,
            stream,
            tape,
            out: RefCell::default(),
            stir: Notify::new(),
            open: RefCell::default(),
            used: Cell::new(false),
            exceptions: Cell::new(0),
            moved: Cell::new(Instant::now()),
            told: Cell::new(None),
            close: Cell::new(None),
            going: Cell::new(false),
        }
    }

    pub fn send(&self, frame: &[u8]) {
        if let Some(tape) = &self.tape {
            tape.said(1, frame);
        }
        self.out.borrow_mut().put(frame);
        self.stir.notify_one();
    }

    /// Whether nothing is owed on it, written or not.
    pub fn settled(&self) -> bool {
        self.open.borrow().is_empty() && self.out.borrow().is_empty()
    }

    /// Asks the dispatcher to use it no more.
    pub fn tell_shutdown(&self) {
        if self.told.get().is_none() && !self.going.get() {
            self.told.set(Some(Instant::now()));
            self.send(&thrift::shutdown());
        }
    }

    pub fn end(&self, code: &'static str) {
        self.close.set(Some(code));
        self.stir.notify_one();
    }
}

/// The one answer that a ticket is owed; giving it uses this up, so there is never a second.
pub struct Owed {
    pub conn: Rc<Conn>,
    pub seq: i32,
}

impl Owed {
    pub fn honour(self, counts: &Counts, body: &[u8]) {
        count(&counts.honoured);
        self.conn.used.set(true);
        let frame = thrift::answer(b"process", self.seq, body, true);
        self.settle(&frame);
    }

    pub fn dismiss(self, counts: &Counts, come_back: Duration, nowhere_else: bool) {
        count(&counts.dismissed);
        self.conn.used.set(true);
        let pause = come_back.as_millis().to_string();
        let mut texts = vec![("pause", pause.as_str())];
        texts.extend(nowhere_else.then_some(("terminal", "1")));
        let frame = thrift::backoff(self.seq, &texts);
        self.settle(&frame);
    }

    pub fn give_up(self, counts: &Counts) {
        count(&counts.given_up);
        let frame = thrift::lost(self.seq);
        self.settle(&frame);
    }

    fn settle(self, frame: &[u8]) {
        self.conn.open.borrow_mut().remove(&self.seq);
        self.conn.send(frame);
    }
}

/// How far a run has come, as the agent was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Run {
    Held,
    /// The group is asked whether it may start; the agent has not heard of it.
    Asking,
    Launched,
    Frozen,
}

/// What became of the call that a run waits for.
pub enum Call {
    /// Not made, or made in vain.
    Waits,
    Out(AbortHandle),
    Delivered(Vec<u8>),
    Forgone,
}

pub struct Ticket {
    pub serial: u64,
    pub trace: Trace,
    pub owed: Option<Owed>,
    /// When its caller stops waiting.
    pub due: Instant,
    pub traffic: usize,
    pub body: Box<[u8]>,
    pub run: Run,
    /// The number of the notice that asked for the call, the call's body, and what became of it.
    pub call: Option<(u64, Rc<[u8]>, Call)>,
    pub key: Option<Key>,
    /// The key is kept for this one: how its run ends is what repeats get.
    pub keeps: bool,
    /// Set where the group agrees on its start and result.
    pub keyed: Option<Keyed>,
    /// The open ticket that it repeats.
    pub prior: Option<usize>,
    /// Tickets that wait for this one's result, by index and serial number.
    pub waiters: Vec<(usize, u64)>,
    /// When a look first found it answered, with a run of which no end was told.
    pub orphan_since: Option<Instant>,
}

impl Ticket {
    /// Whether the agent was told of it.
    pub fn is_run(&self) -> bool {
        matches!(self.run, Run::Launched | Run::Frozen)
    }

    /// Whether its run waits for a call, made or not.
    fn at_call(&self) -> bool {
        matches!(self.call, Some((_, _, Call::Waits | Call::Out(_))))
    }
}

/// What a repeat gets that comes once the first try is no longer in hand, or while it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kept {
    /// The first try is in hand.
    Open,
    Result(Rc<[u8]>),
    /// It ran, and there is no result, or no room for it: it must not run again.
    Failed,
}

struct Entry {
    until: Instant,
    /// Of the body: another body under the same name is another ticket.
    sum: u64,
    kept: Kept,
}

impl Entry {
    fn bytes(&self, key: &Key) -> usize {
        let result = if let Kept::Result(result) = &self.kept {
            result.len()
        } else {
            0
        };
        KEPT_EACH + key.name.len() + result
    }
}

/// Keys of ticketed tickets that are in hand or ran, each to the end of its window, in a part of the memory.
#[derive(Default)]
pub struct Keys {
    entries: HashMap<Key, Entry>,
    bytes: usize,
    most: usize,
    look_at: usize,
}

/// What tells one body from another under the same key.
pub fn sum_of(body: &[u8]) -> u64 {
    twox_hash::XxHash3_64::oneshot(body)
}

impl Keys {
    /// ```
    /// use rainstand_node::book::{Kept, Key, Keys};
    /// use std::time::{Duration, Instant};
    /// let (now, later) = (Instant::now(), Instant::now() + Duration::from_secs(5));
    /// let key = |name: &str| Key { traffic: 0, tenant: None, name: name.as_bytes().into() };
    /// let mut keys = Keys::within(6 * 800);
    /// assert!(keys.open(now, &key("a"), later, 7) && keys.open(now, &key("b"), later, 8));
    /// assert_eq!(keys.get(now, &key("a")), Some((Kept::Open, 7)));
    /// // A result that has no room is gone, but not that the ticket ran; a further key has none either.
    /// keys.close(&key("a"), Some(&[0; 200]));
    /// keys.close(&key("b"), Some(&[0; 500]));
    /// assert!(matches!(keys.get(now, &key("a")), Some((Kept::Result(_), 7))));
    /// assert_eq!(keys.get(now, &key("b")), Some((Kept::Failed, 8)));
    /// assert!(!keys.room(now, &key("c")) && !keys.open(now, &key("c"), later, 9));
    /// // Until the others age out, or one turns out never to have run.
    /// keys.drop(&key("a"));
    /// assert!(keys.open(now, &key("c"), later, 9) && keys.get(later, &key("c")).is_none());
    /// ```
    pub fn within(memory: usize) -> Self {
        Self {
            most: memory / KEPT_PART,
            look_at: KEPT_LOOK,
            ..Self::default()
        }
    }

    /// Whether a further key can be kept: without, its ticket must not run, as a repeat could not be told.
    pub fn room(&mut self, now: Instant, key: &Key) -> bool {
        let more = KEPT_EACH + key.name.len();
        if self.bytes + more > self.most.min(self.look_at) {
            self.entries.retain(|_, entry| entry.until > now);
            self.bytes = self
                .entries
                .iter()
                .map(|(key, entry)| entry.bytes(key))
                .sum();
            self.look_at = (self.bytes * 2).max(KEPT_LOOK);
        }
        self.entries.contains_key(key) || self.bytes + more <= self.most
    }

    /// Its ticket came in: kept from here on, whatever becomes of it. False where there is no room.
    pub fn open(&mut self, now: Instant, key: &Key, until: Instant, sum: u64) -> bool {
        self.drop(key);
        if !self.room(now, key) {
            return false;
        }
        let entry = Entry {
            until,
            sum,
            kept: Kept::Open,
        };
        self.bytes += entry.bytes(key);
        self.entries.insert(key.clone(), entry);
        true
    }

    /// Its ticket ran, with this result or none.
    pub fn close(&mut self, key: &Key, result: Option<&[u8]>) {
        let room = self.most.saturating_sub(self.bytes);
        if let Some(entry) = self.entries.get_mut(key) {
            let result = result.filter(|result| result.len() <= room);
            self.bytes += result.map_or(0, <[u8]>::len);
            entry.kept = result.map_or(Kept::Failed, |result| Kept::Result(result.into()));
        }
    }

    /// What is kept of it, and the sum of its body.
    pub fn get(&self, now: Instant, key: &Key) -> Option<(Kept, u64)> {
        let entry = self.entries.get(key).filter(|entry| entry.until > now)?;
        Some((entry.kept.clone(), entry.sum))
    }

    /// Nothing of it ran.
    pub fn drop(&mut self, key: &Key) {
        if let Some(entry) = self.entries.remove(key) {
            self.bytes -= entry.bytes(key);
        }
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// All that the node's own side keeps; orders of the decision module work on it.
pub struct Desk {
    pub started: Instant,
    pub hub: Weak<Hub>,
    pub tickets: Vec<Option<Ticket>>,
    free: Vec<usize>,
    serial: u64,
    pub by_trace: HashMap<Trace, usize>,
    /// Ticketed tickets in hand by their keys.
    pub reads: HashMap<Key, usize>,
    pub keys: Keys,
    /// The group, if the node is in one.
    pub copies: Option<Rc<Copies>>,
    /// What is owed once a result is agreed on.
    pub keeping: HashMap<u64, Owed>,
    /// Of each traffic type: its outer limit, and the window of a ticketed one.
    pub kinds: Vec<(Duration, Option<Duration>)>,
    /// What the bodies of all tickets in hand take.
    pub body_bytes: usize,
    /// Ends that the node itself brought about, still to be told to the decision module.
    pub ends: VecDeque<(usize, Outcome)>,
    pub counts: Rc<Counts>,
    pub agent: Rc<agent::Link>,
    pub pool: Rc<Pool>,
    pub types: BTreeMap<String, usize>,
    /// Names of the traffic types as JSON strings.
    pub type_names: Vec<String>,
    pub tenants: BTreeMap<String, usize>,
    pub fresh: Duration,
    pub can_stop: bool,
    /// What health checks are told.
    pub good: bool,
    /// How long an unused connection may stay.
    pub stay: Duration,
    pub wake_at: Option<Instant>,
    pub gauges: Gauges,
    /// When they were told.
    pub gauges_at: Option<Instant>,
}

impl Desk {
    pub fn new(hub: Weak<Hub>, counts: Rc<Counts>, agent: Rc<agent::Link>, pool: Rc<Pool>) -> Self {
        Self {
            started: Instant::now(),
            hub,
            tickets: Vec::new(),
            free: Vec::new(),
            serial: 0,
            by_trace: HashMap::new(),
            reads: HashMap::new(),
            keys: Keys::default(),
            copies: None,
            keeping: HashMap::new(),
            kinds: Vec::new(),
            body_bytes: 0,
            ends: VecDeque::new(),
            counts,
            agent,
            pool,
            types: BTreeMap::new(),
            type_names: Vec::new(),
            tenants: BTreeMap::new(),
            fresh: Duration::ZERO,
            can_stop: true,
            good: true,
            stay: Duration::MAX,
            wake_at: None,
            gauges: Gauges::default(),
            gauges_at: None,
        }
    }

    /// The time as the decision module is told it.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn put(&mut self, mut ticket: Ticket) -> usize {
        self.serial += 1;
        ticket.serial = self.serial;
        let ix = self.free.pop().unwrap_or(self.tickets.len());
        if ix == self.tickets.len() {
            self.tickets.push(None);
        }
        self.body_bytes += ticket.body.len();
        self.by_trace.insert(ticket.trace, ix);
        if let Some(key) = &ticket.key {
            self.reads.entry(key.clone()).or_insert(ix);
        }
        self.tickets[ix] = Some(ticket);
        ix
    }

    /// Keeps what is owed beyond the ticket's time in the books; its number there.
    pub fn keep_owed(&mut self, owed: Option<Owed>) -> u64 {
        self.serial += 1;
        if let Some(owed) = owed {
            // Still open on its connection, under no ticket's index.
            owed.conn.open.borrow_mut().insert(owed.seq, usize::MAX);
            self.keeping.insert(self.serial, owed);
        }
        self.serial
    }

    pub fn ticket(&mut self, ix: usize) -> Option<&mut Ticket> {
        self.tickets.get_mut(ix).and_then(Option::as_mut)
    }

    /// Takes a ticket out of the books for good; its index may serve again.
    pub fn take(&mut self, ix: usize) -> Option<Ticket> {
        let ticket = self.tickets.get_mut(ix)?.take()?;
        self.body_bytes -= ticket.body.len();
        self.by_trace.remove(&ticket.trace);
        if let Some(key) = ticket
            .key
            .as_ref()
            .filter(|key| self.reads.get(*key) == Some(&ix))
        {
            self.reads.remove(key);
        }
        self.free.push(ix);
        Some(ticket)
    }

    /// How the run of a ticket ended is what its repeats get from here on.
    pub fn close_key(&mut self, ix: usize, end: Outcome, result: &[u8]) {
        let Some(t) = self
            .tickets
            .get_mut(ix)
            .and_then(Option::as_mut)
            .filter(|t| t.keeps)
        else {
            return;
        };
        t.keeps = false;
        match (&t.key, end) {
            (Some(key), Outcome::Succeeded) => self.keys.close(key, Some(result)),
            (Some(key), Outcome::NeverStarted) => self.keys.drop(key),
            // Guards against a second effect: what failed or was stopped may have had its own.
            (Some(key), _) => self.keys.close(key, None),
            (None, _) => {}
        }
    }

    /// Tickets that are past their time and not answered.
    pub fn overdue(&self, now: Instant) -> Vec<usize> {
        let late = |t: &Ticket| t.owed.is_some() && t.due <= now;
        let all = self.tickets.iter().enumerate();
        all.filter(|(_, t)| t.as_ref().is_some_and(late))
            .map(|(ix, _)| ix)
            .collect()
    }

    /// The last resort: an error to all that is still owed an answer; how many there were.
    pub fn give_up_all(&mut self) -> usize {
        let owed = self
            .tickets
            .iter_mut()
            .flatten()
            .filter_map(|t| t.owed.take());
        let owed: Vec<Owed> = owed
            .chain(self.keeping.drain().map(|(_, owed)| owed))
            .collect();
        let left = owed.len();
        for owed in owed {
            count(&self.counts.unsettled);
            owed.give_up(&self.counts);
        }
        left
    }

    /// Runs whose end no notice will tell any more, of tickets answered long ago. Guards against runs that stay
    /// in the books for good, and take the place of others: their last notice was passed over as odd.
    pub fn orphans(&mut self, now: Instant) -> Vec<usize> {
        let answered = |t: &Ticket| t.owed.is_none() && t.is_run();
        let mut found = Vec::new();
        for (ix, t) in self.tickets.iter_mut().enumerate() {
            let Some(t) = t.as_mut().filter(|t| answered(t)) else {
                continue;
            };
            if now.duration_since(*t.orphan_since.get_or_insert(now)) > ORPHANED {
                found.push(ix);
            }
        }
        found
    }

    /// What the books hold just now, to be set beside what passes on the sockets.
    pub fn state(&self) -> String {
        let count =
            |which: fn(&Ticket) -> bool| self.tickets.iter().flatten().filter(|t| which(t)).count();
        format!(
            "owing={} held={} asking={} keeping={} running={} frozen={} at_call={} calls_out={} body_bytes={} keys={} gauges_ms={} on_cores={}",
            self.owing(),
            count(|t| t.run == Run::Held),
            count(|t| t.run == Run::Asking),
            self.keeping.len(),
            count(|t| t.run == Run::Launched && !t.at_call()),
            count(|t| t.run == Run::Frozen),
            count(Ticket::at_call),
            self.pool.out.get(),
            self.body_bytes,
            self.keys.len(),
            self.gauges_at.map_or(-1, |at| at.elapsed().as_millis() as i64),
            self.gauges.on_cores.unwrap_or(-1.0),
        )
    }

    /// Tickets whose answer is still owed.
    pub fn owing(&self) -> usize {
        self.tickets
            .iter()
            .flatten()
            .filter(|t| t.owed.is_some())
            .count()
            + self.keeping.len()
    }
}
