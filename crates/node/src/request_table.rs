//! The books: tickets in hand, connections, kept results, and counts of it all.

use crate::downstream::Pool;
use crate::idempotency::{Copies, Keyed};
use crate::socket_buffer::Ring;
use crate::{agent, thrift, NodeContext};
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
const CACHE_MEMORY_FRACTION: usize = 6;
const CACHE_ENTRY_OVERHEAD: usize = 256;
/// Bytes of kept keys from which those that aged out are looked for, and again at each doubling.
const CACHE_SWEEP_BYTES: usize = 64 * 1024;

/// An answered ticket's run that was told to stop has ended by then, if its end is ever told: several times
/// the longest outer limit.
const ORPHAN_TIMEOUT: Duration = Duration::from_secs(60);

/// The 16 hex digits that name one try.
pub type Trace = [u8; 16];
/// What all tries of one ticket carry alike, within its traffic type and tenant: never beyond them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct IdempotencyKey {
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
pub struct Connection {
    pub id: u64,
    pub peer: SocketAddr,
    pub stream: TcpStream,
    /// Where its traffic is recorded, if it is.
    pub recording: Option<Tape>,
    pub outgoing: RefCell<Ring>,
    /// Wakes the task that serves it.
    pub wakeup: Notify,
    /// Tickets that wait for an answer on it, by sequence number.
    pub open_requests: RefCell<BTreeMap<i32, usize>>,
    /// A probe or a ticket on it got more than an error, so it is no stranger's.
    pub is_known: Cell<bool>,
    /// Messages on it that got an exception.
    pub exceptions: Cell<u64>,
    /// When bytes last moved on it.
    pub last_activity: Cell<Instant>,
    /// Told that nothing new is wanted on it, and when.
    pub shutdown_sent_at: Cell<Option<Instant>>,
    /// It is to be closed, for this reason.
    pub close_reason: Cell<Option<&'static str>>,
    /// Nothing more is taken from it or owed on it: it only waits for the other side's end.
    pub closing: Cell<bool>,
}

impl Connection {
    pub fn new(id: u64, peer: SocketAddr, stream: TcpStream, tape: Option<Tape>) -> Self {
        Self {
            id,
            peer,
            stream,
            recording: tape,
            outgoing: RefCell::default(),
            wakeup: Notify::new(),
            open_requests: RefCell::default(),
            is_known: Cell::new(false),
            exceptions: Cell::new(0),
            last_activity: Cell::new(Instant::now()),
            shutdown_sent_at: Cell::new(None),
            close_reason: Cell::new(None),
            closing: Cell::new(false),
        }
    }

    pub fn send(&self, frame: &[u8]) {
        if let Some(tape) = &self.recording {
            tape.said(1, frame);
        }
        self.outgoing.borrow_mut().put(frame);
        self.wakeup.notify_one();
    }

    /// Whether nothing is owed on it, written or not.
    pub fn is_idle(&self) -> bool {
        self.open_requests.borrow().is_empty() && self.outgoing.borrow().is_empty()
    }

    /// Asks the dispatcher to use it no more.
    pub fn send_shutdown(&self) {
        if self.shutdown_sent_at.get().is_none() && !self.closing.get() {
            self.shutdown_sent_at.set(Some(Instant::now()));
            self.send(&thrift::shutdown());
        }
    }

    pub fn close_with(&self, code: &'static str) {
        self.close_reason.set(Some(code));
        self.wakeup.notify_one();
    }
}

/// The one answer that a ticket is owed; giving it uses this up, so there is never a second.
pub struct PendingReply {
    pub conn: Rc<Connection>,
    pub seq: i32,
}

impl PendingReply {
    pub fn serve(self, counts: &Counts, body: &[u8]) {
        count(&counts.honoured);
        self.conn.is_known.set(true);
        let frame = thrift::answer(b"process", self.seq, body, true);
        self.send_final(&frame);
    }

    pub fn reject(self, counts: &Counts, come_back: Duration, nowhere_else: bool) {
        count(&counts.dismissed);
        self.conn.is_known.set(true);
        let pause = come_back.as_millis().to_string();
        let mut texts = vec![("pause", pause.as_str())];
        texts.extend(nowhere_else.then_some(("terminal", "1")));
        let frame = thrift::backoff(self.seq, &texts);
        self.send_final(&frame);
    }

    pub fn fail(self, counts: &Counts) {
        count(&counts.given_up);
        let frame = thrift::lost(self.seq);
        self.send_final(&frame);
    }

    fn send_final(self, frame: &[u8]) {
        self.conn.open_requests.borrow_mut().remove(&self.seq);
        self.conn.send(frame);
    }
}

/// How far a run has come, as the agent was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    Queued,
    /// The group is asked whether it may start; the agent has not heard of it.
    Claiming,
    Launched,
    Paused,
}

/// What became of the call that a run waits for.
pub enum CallState {
    /// Not made, or made in vain.
    Pending,
    InProgress(AbortHandle),
    Delivered(Vec<u8>),
    Skipped,
}

pub struct Request {
    pub serial: u64,
    pub trace: Trace,
    pub reply: Option<PendingReply>,
    /// When its caller stops waiting.
    pub deadline: Instant,
    pub class: usize,
    pub body: Box<[u8]>,
    pub run: RunState,
    /// The number of the notice that asked for the call, the call's body, and what became of it.
    pub call: Option<(u64, Rc<[u8]>, CallState)>,
    pub key: Option<IdempotencyKey>,
    /// The key is kept for this one: how its run ends is what repeats get.
    pub caches_result: bool,
    /// Set where the group agrees on its start and result.
    pub claim: Option<Keyed>,
    /// The open ticket that it repeats.
    pub retry_of: Option<usize>,
    /// Tickets that wait for this one's result, by index and serial number.
    pub waiters: Vec<(usize, u64)>,
    /// When a look first found it answered, with a run of which no end was told.
    pub orphan_since: Option<Instant>,
}

impl Request {
    /// Whether the agent was told of it.
    pub fn is_run(&self) -> bool {
        matches!(self.run, RunState::Launched | RunState::Paused)
    }

    /// Whether its run waits for a call, made or not.
    fn at_call(&self) -> bool {
        matches!(
            self.call,
            Some((_, _, CallState::Pending | CallState::InProgress(_)))
        )
    }
}

/// What a repeat gets that comes once the first try is no longer in hand, or while it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CachedResult {
    /// The first try is in hand.
    InProgress,
    Result(Rc<[u8]>),
    /// It ran, and there is no result, or no room for it: it must not run again.
    Failed,
}

struct Entry {
    until: Instant,
    /// Of the body: another body under the same name is another ticket.
    sum: u64,
    kept: CachedResult,
}

impl Entry {
    fn bytes(&self, key: &IdempotencyKey) -> usize {
        let result = if let CachedResult::Result(result) = &self.kept {
            result.len()
        } else {
            0
        };
        CACHE_ENTRY_OVERHEAD + key.name.len() + result
    }
}

/// Keys of ticketed tickets that are in hand or ran, each to the end of its window, in a part of the memory.
#[derive(Default)]
pub struct ResultCache {
    entries: HashMap<IdempotencyKey, Entry>,
    bytes: usize,
    most: usize,
    look_at: usize,
}

/// What tells one body from another under the same key.
pub fn body_checksum(body: &[u8]) -> u64 {
    twox_hash::XxHash3_64::oneshot(body)
}

impl ResultCache {
    /// ```
    /// use rainstand_node::request_table::{CachedResult, IdempotencyKey, ResultCache};
    /// use std::time::{Duration, Instant};
    /// let (now, later) = (Instant::now(), Instant::now() + Duration::from_secs(5));
    /// let key = |name: &str| IdempotencyKey { traffic: 0, tenant: None, name: name.as_bytes().into() };
    /// let mut keys = ResultCache::within(6 * 800);
    /// assert!(keys.open(now, &key("a"), later, 7) && keys.open(now, &key("b"), later, 8));
    /// assert_eq!(keys.get(now, &key("a")), Some((CachedResult::InProgress, 7)));
    /// // A result that has no room is gone, but not that the ticket ran; a further key has none either.
    /// keys.close(&key("a"), Some(&[0; 200]));
    /// keys.close(&key("b"), Some(&[0; 500]));
    /// assert!(matches!(keys.get(now, &key("a")), Some((CachedResult::Result(_), 7))));
    /// assert_eq!(keys.get(now, &key("b")), Some((CachedResult::Failed, 8)));
    /// assert!(!keys.has_capacity(now, &key("c")) && !keys.open(now, &key("c"), later, 9));
    /// // Until the others age out, or one turns out never to have run.
    /// keys.drop(&key("a"));
    /// assert!(keys.open(now, &key("c"), later, 9) && keys.get(later, &key("c")).is_none());
    /// ```
    pub fn within(memory: usize) -> Self {
        Self {
            most: memory / CACHE_MEMORY_FRACTION,
            look_at: CACHE_SWEEP_BYTES,
            ..Self::default()
        }
    }

    /// Whether a further key can be kept: without, its ticket must not run, as a repeat could not be told.
    pub fn has_capacity(&mut self, now: Instant, key: &IdempotencyKey) -> bool {
        let more = CACHE_ENTRY_OVERHEAD + key.name.len();
        if self.bytes + more > self.most.min(self.look_at) {
            self.entries.retain(|_, entry| entry.until > now);
            self.bytes = self
                .entries
                .iter()
                .map(|(key, entry)| entry.bytes(key))
                .sum();
            self.look_at = (self.bytes * 2).max(CACHE_SWEEP_BYTES);
        }
        self.entries.contains_key(key) || self.bytes + more <= self.most
    }

    /// Its ticket came in: kept from here on, whatever becomes of it. False where there is no room.
    pub fn open(&mut self, now: Instant, key: &IdempotencyKey, until: Instant, sum: u64) -> bool {
        self.drop(key);
        if !self.has_capacity(now, key) {
            return false;
        }
        let entry = Entry {
            until,
            sum,
            kept: CachedResult::InProgress,
        };
        self.bytes += entry.bytes(key);
        self.entries.insert(key.clone(), entry);
        true
    }

    /// Its ticket ran, with this result or none.
    pub fn close(&mut self, key: &IdempotencyKey, result: Option<&[u8]>) {
        let room = self.most.saturating_sub(self.bytes);
        if let Some(entry) = self.entries.get_mut(key) {
            let result = result.filter(|result| result.len() <= room);
            self.bytes += result.map_or(0, <[u8]>::len);
            entry.kept = result.map_or(CachedResult::Failed, |result| {
                CachedResult::Result(result.into())
            });
        }
    }

    /// What is kept of it, and the sum of its body.
    pub fn get(&self, now: Instant, key: &IdempotencyKey) -> Option<(CachedResult, u64)> {
        let entry = self.entries.get(key).filter(|entry| entry.until > now)?;
        Some((entry.kept.clone(), entry.sum))
    }

    /// Nothing of it ran.
    pub fn drop(&mut self, key: &IdempotencyKey) {
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
pub struct RequestTable {
    pub started: Instant,
    pub context: Weak<NodeContext>,
    pub tickets: Vec<Option<Request>>,
    free: Vec<usize>,
    serial: u64,
    pub by_trace: HashMap<Trace, usize>,
    /// Ticketed tickets in hand by their keys.
    pub by_key: HashMap<IdempotencyKey, usize>,
    pub result_cache: ResultCache,
    /// The group, if the node is in one.
    pub group: Option<Rc<Copies>>,
    /// What is owed once a result is agreed on.
    pub awaiting_commit: HashMap<u64, PendingReply>,
    /// Of each traffic type: its outer limit, and the window of a ticketed one.
    pub class_limits: Vec<(Duration, Option<Duration>)>,
    /// What the bodies of all tickets in hand take.
    pub body_bytes: usize,
    /// Ends that the node itself brought about, still to be told to the decision module.
    pub run_ends: VecDeque<(usize, Outcome)>,
    pub counts: Rc<Counts>,
    pub agent: Rc<agent::Link>,
    pub downstream: Rc<Pool>,
    pub classes: BTreeMap<String, usize>,
    /// Names of the traffic types as JSON strings.
    pub class_names: Vec<String>,
    pub tenants: BTreeMap<String, usize>,
    pub fresh: Duration,
    pub can_pause: bool,
    /// What health checks are told.
    pub healthy: bool,
    /// How long an unused connection may stay.
    pub idle_limit: Duration,
    pub wake_at: Option<Instant>,
    pub gauges: Gauges,
    /// When they were told.
    pub gauges_at: Option<Instant>,
}

impl RequestTable {
    pub fn new(
        hub: Weak<NodeContext>,
        counts: Rc<Counts>,
        agent: Rc<agent::Link>,
        pool: Rc<Pool>,
    ) -> Self {
        Self {
            started: Instant::now(),
            context: hub,
            tickets: Vec::new(),
            free: Vec::new(),
            serial: 0,
            by_trace: HashMap::new(),
            by_key: HashMap::new(),
            result_cache: ResultCache::default(),
            group: None,
            awaiting_commit: HashMap::new(),
            class_limits: Vec::new(),
            body_bytes: 0,
            run_ends: VecDeque::new(),
            counts,
            agent,
            downstream: pool,
            classes: BTreeMap::new(),
            class_names: Vec::new(),
            tenants: BTreeMap::new(),
            fresh: Duration::ZERO,
            can_pause: true,
            healthy: true,
            idle_limit: Duration::MAX,
            wake_at: None,
            gauges: Gauges::default(),
            gauges_at: None,
        }
    }

    /// The time as the decision module is told it.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn put(&mut self, mut ticket: Request) -> usize {
        self.serial += 1;
        ticket.serial = self.serial;
        let ix = self.free.pop().unwrap_or(self.tickets.len());
        if ix == self.tickets.len() {
            self.tickets.push(None);
        }
        self.body_bytes += ticket.body.len();
        self.by_trace.insert(ticket.trace, ix);
        if let Some(key) = &ticket.key {
            self.by_key.entry(key.clone()).or_insert(ix);
        }
        self.tickets[ix] = Some(ticket);
        ix
    }

    /// Keeps what is owed beyond the ticket's time in the books; its number there.
    pub fn retain_reply(&mut self, owed: Option<PendingReply>) -> u64 {
        self.serial += 1;
        if let Some(owed) = owed {
            // Still open on its connection, under no ticket's index.
            owed.conn
                .open_requests
                .borrow_mut()
                .insert(owed.seq, usize::MAX);
            self.awaiting_commit.insert(self.serial, owed);
        }
        self.serial
    }

    pub fn ticket(&mut self, ix: usize) -> Option<&mut Request> {
        self.tickets.get_mut(ix).and_then(Option::as_mut)
    }

    /// Takes a ticket out of the books for good; its index may serve again.
    pub fn take(&mut self, ix: usize) -> Option<Request> {
        let ticket = self.tickets.get_mut(ix)?.take()?;
        self.body_bytes -= ticket.body.len();
        self.by_trace.remove(&ticket.trace);
        if let Some(key) = ticket
            .key
            .as_ref()
            .filter(|key| self.by_key.get(*key) == Some(&ix))
        {
            self.by_key.remove(key);
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
            .filter(|t| t.caches_result)
        else {
            return;
        };
        t.caches_result = false;
        match (&t.key, end) {
            (Some(key), Outcome::Succeeded) => self.result_cache.close(key, Some(result)),
            (Some(key), Outcome::NeverStarted) => self.result_cache.drop(key),
            // Guards against a second effect: what failed or was stopped may have had its own.
            (Some(key), _) => self.result_cache.close(key, None),
            (None, _) => {}
        }
    }

    /// Tickets that are past their time and not answered.
    pub fn overdue(&self, now: Instant) -> Vec<usize> {
        let late = |t: &Request| t.reply.is_some() && t.deadline <= now;
        let all = self.tickets.iter().enumerate();
        all.filter(|(_, t)| t.as_ref().is_some_and(late))
            .map(|(ix, _)| ix)
            .collect()
    }

    /// The last resort: an error to all that is still owed an answer; how many there were.
    pub fn fail_all(&mut self) -> usize {
        let owed = self
            .tickets
            .iter_mut()
            .flatten()
            .filter_map(|t| t.reply.take());
        let owed: Vec<PendingReply> = owed
            .chain(self.awaiting_commit.drain().map(|(_, owed)| owed))
            .collect();
        let left = owed.len();
        for owed in owed {
            count(&self.counts.unsettled);
            owed.fail(&self.counts);
        }
        left
    }

    /// Runs whose end no notice will tell any more, of tickets answered long ago. Guards against runs that stay
    /// in the books for good, and take the place of others: their last notice was passed over as odd.
    pub fn orphans(&mut self, now: Instant) -> Vec<usize> {
        let answered = |t: &Request| t.reply.is_none() && t.is_run();
        let mut found = Vec::new();
        for (ix, t) in self.tickets.iter_mut().enumerate() {
            let Some(t) = t.as_mut().filter(|t| answered(t)) else {
                continue;
            };
            if now.duration_since(*t.orphan_since.get_or_insert(now)) > ORPHAN_TIMEOUT {
                found.push(ix);
            }
        }
        found
    }

    /// What the books hold just now, to be set beside what passes on the sockets.
    pub fn state(&self) -> String {
        let count = |which: fn(&Request) -> bool| {
            self.tickets.iter().flatten().filter(|t| which(t)).count()
        };
        format!(
            "owing={} held={} asking={} keeping={} running={} frozen={} at_call={} calls_out={} body_bytes={} keys={} gauges_ms={} on_cores={}",
            self.pending_reply_count(),
            count(|t| t.run == RunState::Queued),
            count(|t| t.run == RunState::Claiming),
            self.awaiting_commit.len(),
            count(|t| t.run == RunState::Launched && !t.at_call()),
            count(|t| t.run == RunState::Paused),
            count(Request::at_call),
            self.downstream.out.get(),
            self.body_bytes,
            self.result_cache.len(),
            self.gauges_at.map_or(-1, |at| at.elapsed().as_millis() as i64),
            self.gauges.on_cores.unwrap_or(-1.0),
        )
    }

    /// Tickets whose answer is still owed.
    pub fn pending_reply_count(&self) -> usize {
        self.tickets
            .iter()
            .flatten()
            .filter(|t| t.reply.is_some())
            .count()
            + self.awaiting_commit.len()
    }
}
