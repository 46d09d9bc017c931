//! A thin forwarder on sockets: dispatchers' tickets in front, nodes behind, and between them the decisions
//! of `rainstand-routing`, which settle where each goes, what follows a failure, and the one answer.
//!
//! | unit | job |
//! | --- | --- |
//! | [`listener`] | dispatchers' connections: frames in, answers out |
//! | [`connection_limits`] | who in front makes room where descriptors run out |
//! | [`upstream`] | connections to members: tries out, what came of them in |
//! | [`config_updates`] | a delta from the config servers as changes of the routing table |
//! | [`observability`] | counters and times of what went on, on a metrics library |
//! | [`admin`] | metrics, members and the last decisions, on request |
//! | here | tickets in hand, the steps of the [`Fleet`], the drain |
//!
//! All of it runs on one thread; the books are never borrowed across an await. Bounds: [`MOST_TICKETS`] in hand,
//! [`connection_limits::most`] connections in front, [`upstream::MOST_LINKS`] a member behind; each refusal has a counter.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "not yet brought to the workspace's lints, see docs/ROADMAP.md"
)]

pub mod admin;
pub mod config_updates;
pub mod connection_limits;
pub mod listener;
pub mod observability;
pub mod upstream;

use foldhash::{HashMap, HashMapExt};
use listener::Conn;
use observability::Metrics;
use rainstand_config::schema::Configuration;
use rainstand_protocol::ring::Ring;
use rainstand_protocol::thrift;
use rainstand_routing::fleet::{
    AttemptOutcome, Fleet, MemberRef, NextAction, RequestOutcome, RequestState,
};
use rainstand_routing::health::MemberStatus;
use rainstand_routing::table::Request;
use rainstand_routing::table_update::TableChange;
use rainstand_routing::weighted_split::name_hash;
use rainstand_routing::ConfigurationError;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io::{self, Read};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until};
use upstream::Backs;

/// Tickets in hand, some KB each: past it a ticket is dismissed at once.
pub const MOST_TICKETS: usize = 20_000;
/// Read from a socket at once, bytes: two frames of the longest.
const CHUNK: usize = 16 << 10;
/// Told to a ticket that comes while so many are in hand, or while the forwarder leaves.
const COME_BACK: Duration = Duration::from_millis(200);
/// Between looks at the members' health.
const LOOK: Duration = Duration::from_millis(100);
/// After the last answer of a drain, for calls that crossed the notice: the protocol speaks of 50 ms.
const CROSSING: Duration = Duration::from_millis(200);
/// For answers given up at the very end to be written.
const LAST_WORDS: Duration = Duration::from_millis(300);
/// The drain's looks at what is still owed.
const OWED: Duration = Duration::from_millis(5);

/// Counters, since the start.
#[derive(Debug, Default)]
pub struct Counts {
    pub accepted: Cell<u64>,
    pub refused_connections: Cell<u64>,
    /// Connections at rest that were ended for others, and wants of a descriptor when there was none.
    pub made_room: Cell<u64>,
    pub descriptors_out: Cell<u64>,
    pub exceptions: Cell<u64>,
    pub full: Cell<u64>,
    pub links: Cell<u64>,
    pub broken_links: Cell<u64>,
    /// Links that get nothing more, as nothing was heard on them for the whole of a try.
    pub quiet_links: Cell<u64>,
    /// Answers from behind to tries that are over: late ones, and second ones.
    pub late_answers: Cell<u64>,
    pub unreadable: Cell<u64>,
    /// Tries that had not left when their link broke: proved not run.
    pub unsent: Cell<u64>,
}

pub fn count(what: &Cell<u64>) {
    what.set(what.get() + 1);
}

/// A ticket in hand, by its number.
pub struct InHand {
    conn: Rc<Conn>,
    seq: i32,
    /// The call's arguments as they were read, to be passed on.
    pub args: Box<[u8]>,
    /// Its trip, while it waits or while nothing is decided; at a member it stands here too.
    trip: Option<RequestState>,
    /// The try that is out; a word for another is late.
    pub attempt: u64,
    /// The try that is out; none while it waits for the next.
    at: Option<Out>,
}

/// A try that is out: where, by the places of which version, and since when.
#[derive(Clone)]
struct Out {
    at: MemberRef,
    version: u64,
    address: Rc<str>,
    since: Duration,
}

/// What the tasks of one forwarder share.
pub struct Hub {
    pub fleet: RefCell<Fleet>,
    pub tickets: RefCell<HashMap<u64, InHand>>,
    pub backs: Backs,
    pub counts: Counts,
    pub conns: RefCell<HashMap<u64, Rc<Conn>>>,
    pub room: connection_limits::Room,
    started: Instant,
    next: Cell<u64>,
    pub leaving: Cell<bool>,
    pub deaf: Notify,
    /// When to look at which ticket, soonest first; and that one came that is sooner than all.
    bells: RefCell<BinaryHeap<Reverse<(Instant, u64, u64)>>>,
    sooner: Notify,
    pub metrics: Metrics,
    /// What is told of control machines, where this forwarder hears of versions from them.
    pub control: RefCell<Option<Box<dyn Fn() -> admin::ControlLine>>>,
    /// What a socket gave, on its way to a connection's ring: one for all, or ten thousand idle ones keep 8 KB each.
    chunk: RefCell<Box<[u8]>>,
}

/// Rings the bells as they are due.
async fn keep_time(hub: Rc<Hub>) {
    loop {
        let first = hub.bells.borrow().peek().map(|Reverse((due, ..))| *due);
        match first {
            None => hub.sooner.notified().await,
            Some(due) if due > Instant::now() => {
                tokio::select! {
                    () = sleep_until(due.into()) => {}
                    () = hub.sooner.notified() => {}
                }
            }
            Some(_) => {
                let rung = hub.bells.borrow_mut().pop();
                if let Some(Reverse((_, number, attempt))) = rung {
                    hub.rang(number, attempt);
                }
            }
        }
    }
}

impl Hub {
    /// # Errors
    /// Why the configuration cannot be used.
    pub fn new(configuration: &Configuration, zone: &str, seed: u64) -> Result<Rc<Self>, String> {
        Self::of(configuration.clone(), zone, seed)
    }

    /// The same, of a message that is given away.
    ///
    /// # Errors
    /// As [`Hub::new`].
    pub fn of(configuration: Configuration, zone: &str, seed: u64) -> Result<Rc<Self>, String> {
        let fleet =
            Fleet::of(configuration, zone, seed, Duration::ZERO).map_err(|e| e.to_string())?;
        let metrics = Metrics::default();
        metrics.version(&fleet);
        Ok(Rc::new(Self {
            fleet: RefCell::new(fleet),
            tickets: RefCell::new(HashMap::new()),
            metrics,
            control: RefCell::default(),
            chunk: RefCell::new(vec![0; CHUNK].into()),
            backs: Backs::new(seed),
            counts: Counts::default(),
            conns: RefCell::new(HashMap::new()),
            room: connection_limits::Room::default(),
            started: Instant::now(),
            next: Cell::new(0),
            leaving: Cell::new(false),
            deaf: Notify::new(),
            bells: RefCell::default(),
            sooner: Notify::new(),
        }))
    }

    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn number(&self) -> u64 {
        self.next.set(self.next.get() + 1);
        self.next.get()
    }

    /// A new configuration as a version.
    ///
    /// # Errors
    /// Why it is refused; nothing has changed.
    pub fn take(&self, configuration: &Configuration) -> Result<u64, String> {
        self.replace(configuration.clone())
    }

    /// The same, of a message that is given away.
    ///
    /// # Errors
    /// As [`Hub::take`].
    pub fn replace(&self, configuration: Configuration) -> Result<u64, String> {
        let taken = self
            .fleet
            .borrow_mut()
            .install_owned(configuration, self.now());
        self.is_present(taken)
    }

    /// A change of named things as a version, at the cost of what it says. Pools have their members whole: those that
    /// this forwarder knows ([`rainstand_routing::subset`]).
    ///
    /// # Errors
    /// Why it is refused; nothing has changed.
    pub fn apply(&self, changes: &[TableChange]) -> Result<u64, String> {
        let applied = self.fleet.borrow_mut().apply(changes, self.now());
        self.is_present(applied)
    }

    fn is_present(&self, version: Result<u64, ConfigurationError>) -> Result<u64, String> {
        let version = version.map_err(|e| e.to_string())?;
        // Where routes, pools and members have their places, what is kept by place goes on.
        if self.fleet.borrow().indices_since() == version {
            self.backs.tidy();
            self.backs.tell_known(self);
            self.metrics.version(&self.fleet.borrow());
        }
        Ok(version)
    }

    /// A ticket was read. What is wrong with it is told for an exception.
    ///
    /// # Errors
    /// In words for the caller.
    pub fn arrived(
        self: &Rc<Self>,
        conn: &Rc<Conn>,
        seq: i32,
        args: &[u8],
    ) -> Result<(), &'static str> {
        let (fields, body) = thrift::process_args(args)?;
        let (fields, body) = (fields.unwrap_or_default(), body.unwrap_or_default());
        if self.leaving.get() || self.tickets.borrow().len() >= MOST_TICKETS {
            count(&self.counts.full);
            conn.send(&dismissal(seq, COME_BACK, false));
            return Ok(());
        }
        let step = {
            let field = |key: &str| {
                let value = fields
                    .iter()
                    .find(|(name, _)| *name == key.as_bytes())
                    .map(|(_, value)| *value);
                value
                    .map(std::str::from_utf8)
                    .transpose()
                    .map_err(|_| "a field is no text")
            };
            let mut fleet = self.fleet.borrow_mut();
            let traffic = field("route")?
                .and_then(|name| fleet.table().request_class(name))
                .ok_or("route: not known")?;
            let customer = field("customer")?.unwrap_or("");
            let tenant = fleet.table().tenant(customer);
            let ticket = Request {
                request_class: traffic,
                tenant,
                tenant_hash: if tenant.is_none() {
                    name_hash(customer)
                } else {
                    0
                },
                entity: field("entity")?.unwrap_or(""),
                again: field("redo")? == Some("1"),
                size: body.len() as u64,
            };
            fleet.on_arrival(self.now(), &ticket)
        };
        let number = self.number();
        let ticket = InHand {
            conn: conn.clone(),
            seq,
            args: args.into(),
            trip: None,
            attempt: 0,
            at: None,
        };
        self.tickets.borrow_mut().insert(number, ticket);
        conn.open.borrow_mut().insert(seq, number);
        self.follow(number, step);
        Ok(())
    }

    /// Carries out a step of a ticket.
    fn follow(self: &Rc<Self>, number: u64, step: NextAction) {
        match step {
            NextAction::Dispatch(trip, send) => {
                let attempt = self.number();
                let (address, version) = {
                    let fleet = self.fleet.borrow();
                    (fleet.address(send.to).clone(), fleet.version())
                };
                if let Some(ticket) = self.tickets.borrow_mut().get_mut(&number) {
                    ticket.trip = Some(trip);
                    ticket.attempt = attempt;
                    let (address, since) = (address.clone(), self.now());
                    ticket.at = Some(Out {
                        at: send.to,
                        version,
                        address,
                        since,
                    });
                }
                self.ring_after(send.timeout, number, attempt);
                let call = Call {
                    number,
                    attempt,
                    again: send.again,
                    tried: send.attempt_number,
                };
                upstream::send(self, &address, call);
            }
            NextAction::Backoff(trip, wait) => {
                let attempt = self.number();
                if let Some(ticket) = self.tickets.borrow_mut().get_mut(&number) {
                    ticket.trip = Some(trip);
                    ticket.attempt = attempt;
                    ticket.at = None;
                }
                self.ring_after(wait, number, attempt);
            }
            NextAction::Completed(over) => {
                self.metrics.ticket(&over, &self.fleet.borrow());
                self.over(number, |ticket| match over.outcome {
                    // The member's own answer went out before.
                    RequestOutcome::Served | RequestOutcome::CallerGone => None,
                    RequestOutcome::Rejected {
                        after,
                        nowhere_else,
                    } => Some(dismissal(ticket.seq, after, nowhere_else)),
                    RequestOutcome::Failed => Some(thrift::lost(ticket.seq)),
                });
            }
        }
    }

    /// Has [`keep_time`] look at a ticket after a while, if it is still at this try then.
    fn ring_after(&self, after: Duration, number: u64, attempt: u64) {
        let due = Instant::now() + after;
        let mut bells = self.bells.borrow_mut();
        let sooner = bells.peek().is_none_or(|Reverse((first, ..))| due < *first);
        // Those of tickets that are over are left in until they are due, or outnumber the others.
        if bells.len() > 1_024 + 4 * self.tickets.borrow().len() {
            let tickets = self.tickets.borrow();
            bells.retain(|Reverse((_, number, attempt))| {
                tickets
                    .get(number)
                    .is_some_and(|ticket| ticket.attempt == *attempt)
            });
        }
        bells.push(Reverse((due, number, attempt)));
        if sooner {
            self.sooner.notify_one();
        }
    }

    /// A bell rang: the try took too long, or the wait is over.
    fn rang(self: &Rc<Self>, number: u64, attempt: u64) {
        let at = self
            .tickets
            .borrow()
            .get(&number)
            .filter(|ticket| ticket.attempt == attempt)
            .map(|t| t.at.clone());
        let Some(at) = at else { return };
        if let Some(Out { address, since, .. }) = at {
            if self.came(number, attempt, AttemptOutcome::TimedOut) {
                // Nobody waits for it there any more.
                upstream::leave(self, &address, attempt, since);
            }
        } else if let Some(trip) = self.claim(number, attempt) {
            let step = self.fleet.borrow_mut().on_retry_due(self.now(), trip);
            self.follow(number, step);
        }
    }

    /// The trip of a ticket, if it is still at this try; whoever has it decides what is next.
    fn claim(&self, number: u64, attempt: u64) -> Option<RequestState> {
        let mut tickets = self.tickets.borrow_mut();
        let ticket = tickets
            .get_mut(&number)
            .filter(|ticket| ticket.attempt == attempt)?;
        ticket.trip.take()
    }

    /// A try came back: to the counters, and to the decisions.
    fn tell(&self, number: u64, trip: RequestState, back: AttemptOutcome) -> NextAction {
        let now = self.now();
        let out = self
            .tickets
            .borrow()
            .get(&number)
            .and_then(|ticket| ticket.at.clone());
        if let Some(Out {
            at, version, since, ..
        }) = out
        {
            self.metrics
                .tried(at, version, back, now.saturating_sub(since));
        }
        self.fleet.borrow_mut().on_attempt_outcome(now, trip, back)
    }

    /// What came of a try; false if the ticket is past it.
    pub fn came(self: &Rc<Self>, number: u64, attempt: u64, back: AttemptOutcome) -> bool {
        let Some(trip) = self.claim(number, attempt) else {
            return false;
        };
        let step = self.tell(number, trip, back);
        self.follow(number, step);
        true
    }

    /// A member honoured a try: its answer goes on unchanged, under the caller's number.
    pub fn honoured(self: &Rc<Self>, number: u64, attempt: u64, body: &[u8]) -> bool {
        let Some(trip) = self.claim(number, attempt) else {
            return false;
        };
        if let Some(ticket) = self.tickets.borrow().get(&number) {
            ticket
                .conn
                .send(&thrift::answer(b"process", ticket.seq, body, true));
        }
        let step = self.tell(number, trip, AttemptOutcome::Served);
        self.follow(number, step);
        true
    }

    fn over(&self, number: u64, answer: impl FnOnce(&InHand) -> Option<Vec<u8>>) {
        let Some(ticket) = self.tickets.borrow_mut().remove(&number) else {
            return;
        };
        ticket.conn.open.borrow_mut().remove(&ticket.seq);
        if let Some(frame) = answer(&ticket) {
            ticket.conn.send(&frame);
        }
    }

    /// A caller gave a ticket up, or its connection ended.
    pub fn left(self: &Rc<Self>, number: u64) {
        let Some(attempt) = self
            .tickets
            .borrow()
            .get(&number)
            .map(|ticket| ticket.attempt)
        else {
            return;
        };
        if self.came(number, attempt, AttemptOutcome::CallerLeft) {
            upstream::leave_everywhere(self, attempt);
        }
    }

    /// Whether probes are told that all is well: until the forwarder leaves.
    pub fn good(&self) -> bool {
        !self.leaving.get()
    }

    /// What a socket has now, into a ring; how much it was.
    fn read(&self, stream: &TcpStream, into: &mut Ring) -> io::Result<usize> {
        let mut chunk = self.chunk.borrow_mut();
        let n = stream.try_read(&mut chunk)?;
        into.put(&chunk[..n]);
        Ok(n)
    }

    /// As [`Hub::read`], past what the runtime knows of the socket.
    fn read_now(&self, stream: &TcpStream, into: &mut Ring) -> io::Result<usize> {
        let mut chunk = self.chunk.borrow_mut();
        let n = (&*SockRef::from(stream)).read(&mut chunk)?;
        into.put(&chunk[..n]);
        Ok(n)
    }

    /// One line of all counters.
    pub fn line(&self) -> String {
        let (c, fleet) = (&self.counts, self.fleet.borrow().counts());
        format!(
            "tickets={} conns={} first_tries={} further_tries={} honoured={} dismissed={} given_up={} nobody={} room={} \
             accepted={} refused_connections={} made_room={} descriptors_out={} exceptions={} full={} links={} broken_links={} quiet_links={} late_answers={} unreadable={} unsent={}",
            self.tickets.borrow().len(),
            self.conns.borrow().len(),
            fleet.first_attempts,
            fleet.retries,
            fleet.served,
            fleet.rejected,
            fleet.failed,
            fleet.caller_gone,
            fleet.room,
            c.accepted.get(),
            c.refused_connections.get(),
            c.made_room.get(),
            c.descriptors_out.get(),
            c.exceptions.get(),
            c.full.get(),
            c.links.get(),
            c.broken_links.get(),
            c.quiet_links.get(),
            c.late_answers.get(),
            c.unreadable.get(),
            c.unsent.get()
        )
    }
}

/// One try of a ticket.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    pub number: u64,
    pub attempt: u64,
    pub again: bool,
    /// Which try of its ticket it is, from 1.
    pub tried: u32,
}

fn dismissal(seq: i32, after: Duration, nowhere_else: bool) -> Vec<u8> {
    let pause = after.as_millis().to_string();
    let mut texts = vec![("pause", pause.as_str())];
    texts.extend(nowhere_else.then_some(("terminal", "1")));
    thrift::backoff(seq, &texts)
}

/// Serves until `leave` is done and everything is answered, or `stop` has passed since.
pub async fn run(
    hub: Rc<Hub>,
    listener: TcpListener,
    stop: Duration,
    leave: impl std::future::Future<Output = ()>,
) {
    spawn_local(listener::accept(hub.clone(), listener));
    spawn_local(keep_time(hub.clone()));
    let looking = hub.clone();
    spawn_local(async move {
        loop {
            sleep(LOOK).await;
            let changes = looking.fleet.borrow_mut().tick(looking.now());
            for (at, to) in changes {
                let fleet = looking.fleet.borrow();
                let (address, pool) = (fleet.address(at), fleet.table().pool_name(at.pool));
                let why = match to {
                    MemberStatus::Ejected(ejection) => ejection.reason.as_str(),
                    _ => "",
                };
                let to = to.as_str();
                tracing::info!(event = "member", words = "member", pool, address = %address, to, why);
            }
        }
    });
    leave.await;
    hub.leaving.set(true);
    hub.deaf.notify_one();
    hub.conns
        .borrow()
        .values()
        .for_each(|conn| conn.send(&thrift::shutdown()));
    let by = Instant::now() + stop;
    // Everything read is answered; callers close what they were told to leave.
    while !hub.tickets.borrow().is_empty() && Instant::now() < by {
        sleep(OWED).await;
    }
    let left: Vec<u64> = hub.tickets.borrow().keys().copied().collect();
    for number in left {
        hub.over(number, |ticket| Some(thrift::lost(ticket.seq)));
    }
    // An answer that is not written is none; and what crossed the notice still gets its own.
    let crossed = Instant::now() + CROSSING;
    let settled = |hub: &Hub| hub.conns.borrow().values().all(|conn| conn.settled());
    while (!settled(&hub) || Instant::now() < crossed) && !hub.conns.borrow().is_empty() {
        if Instant::now() >= by + LAST_WORDS {
            break;
        }
        sleep(OWED).await;
    }
    tracing::info!(event = "counts", words = "counts", what = %hub.line());
}
