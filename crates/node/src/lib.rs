//! A node on sockets: dispatchers on one side, the render farm agent and the tier below on the other,
//! and between them the decision module, which settles everything.
//!
//! A ticket passes `take_in` (connections, frames), `admit` (names to indices, repeats), `route` (orders
//! of the module), `send` (launches and calls), `relay` (outcomes to the one answer) and `book`. All tasks
//! run on one thread; the books are never borrowed across an await.

pub mod admit;
pub mod agent;
pub mod announce;
pub mod below;
pub mod book;
pub mod config;
pub mod drain;
pub mod keyed;
pub mod log;
pub mod record;
pub mod relay;
pub mod reload;
pub mod ring;
pub mod route;
pub mod send;
pub mod settings;
pub mod take_in;

pub use rainstand_protocol::{http, thrift};

use book::{count, Conn, Counts, Desk};
use config::{Config, Peers};
use rainstand::{Gauges, Node};
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::sleep_until;

/// A wake-up that comes this much late is counted: the process or its machine stood still.
const LATE: Duration = Duration::from_millis(20);

/// The gauges are asked for this long before a wake-up is due; it comes with the answer, or when due.
/// Ten times what the agent takes to tell them, in whole steps of the clock.
const ASK_AHEAD: Duration = Duration::from_millis(2);

/// Older gauges are counted: half of what lies between two wake-ups.
const FRESH: Duration = Duration::from_millis(10);

/// The decision module and the books it works on.
pub struct Core {
    /// None until the agent has greeted.
    pub node: Option<Node>,
    pub desk: Desk,
}

/// What the tasks of one node share.
pub struct Hub {
    pub config: Config,
    /// The newest file whose settings were taken, for a module that begins after it.
    pub tuned: RefCell<Option<Config>>,
    /// Those of the newest configuration file.
    pub peers: Cell<Peers>,
    pub core: RefCell<Core>,
    pub conns: RefCell<BTreeMap<u64, Rc<Conn>>>,
    pub counts: Rc<Counts>,
    /// How many connections of dispatchers ended, by reason code.
    pub ends: RefCell<BTreeMap<&'static str, u64>>,
    pub link: Rc<agent::Link>,
    /// Where the node's traffic is recorded, if it is.
    pub record: OnceCell<Rc<record::Record>>,
    gauge_names: Vec<String>,
    /// These four, and the module's settings, follow a new configuration file: see `reload::retune`.
    pub idle: Cell<Duration>,
    pub grace: Cell<Duration>,
    /// The longest wait that callers are asked for.
    pub longest_pause: Cell<Duration>,
    /// The list of nodes follows what is reported, not only that something is.
    pub listed_by_state: Cell<bool>,
    pub leaving: Cell<bool>,
    /// Wakes the reports: at the notice to leave, and when the announce service moved.
    pub report_now: Notify,
    /// Ends the listening.
    pub deaf: Notify,
}

impl Hub {
    pub fn new(config: Config) -> Result<Rc<Self>, String> {
        let start = config.start(Duration::ZERO, false)?;
        let (counts, link) = (Rc::new(Counts::default()), Rc::new(agent::Link::default()));
        let pool = Rc::new(below::Pool::new(config.peers.below));
        let mut names: Vec<(&String, &usize)> = start.types.iter().collect();
        names.sort_by_key(|name| name.1);
        let type_names =
            names.iter().map(|name| serde_json::Value::from(name.0.as_str()).to_string()).collect();
        Ok(Rc::new_cyclic(|hub| {
            let mut desk = Desk::new(hub.clone(), counts.clone(), link.clone(), pool);
            desk.type_names = type_names;
            desk.keys = book::Keys::within(config.memory);
            (desk.types, desk.tenants) = (start.types, start.tenants);
            (desk.fresh, desk.can_stop) = (start.fresh, start.can_stop);
            desk.kinds = start.kinds;
            Self {
                peers: Cell::new(config.peers),
                tuned: RefCell::new(None),
                config,
                core: RefCell::new(Core { node: None, desk }),
                conns: RefCell::default(),
                counts,
                ends: RefCell::default(),
                link,
                record: OnceCell::new(),
                gauge_names: start.gauges,
                idle: Cell::new(start.idle),
                grace: Cell::new(start.grace),
                longest_pause: Cell::new(start.longest_pause),
                listed_by_state: Cell::new(start.listed_by_state),
                leaving: Cell::new(false),
                report_now: Notify::new(),
                deaf: Notify::new(),
            }
        }))
    }

    /// One call into the decision module, with all that follows from it.
    pub fn act(&self, call: impl FnOnce(&mut Node, Duration, &mut Desk)) {
        let mut core = self.core.borrow_mut();
        let Core { node, desk } = &mut *core;
        let Some(node) = node else { return };
        let now = desk.now();
        // Guards against a defect met by one ticket that would end the process, and all others with it.
        let all = AssertUnwindSafe(|| {
            call(node, now, desk);
            while let Some((ix, end)) = desk.ends.pop_front() {
                node.ended(now, desk, ix, end);
            }
        });
        if catch_unwind(all).is_err() {
            count(&self.counts.panics);
            note!("panic_caught", "panic caught:", count = self.counts.panics.get());
        }
    }

    /// The agent is up, since `ago`: the decision module begins, once.
    pub fn begin(self: &Rc<Self>, ago: Duration, cold: bool) -> Result<(), &'static str> {
        let mut core = self.core.borrow_mut();
        if core.node.is_some() {
            return Ok(());
        }
        // The module's clock starts with the agent, so that warming is counted from there.
        if let Some(started) = Instant::now().checked_sub(ago) {
            core.desk.started = started;
        }
        let Core { node, desk } = &mut *core;
        let now = desk.now();
        let tuned = self.tuned.borrow();
        let config = tuned.as_ref().unwrap_or(&self.config);
        let start = config.start(now.saturating_sub(ago), cold).map_err(|_| "settings")?;
        drop(tuned);
        note!("agent_up", "agent up", since_ms = ago.as_millis(), cold = cold);
        node.insert(start.node).begin(now, desk);
        drop(core);
        spawn_local(beat(self.clone()));
        Ok(())
    }

    pub fn gauges(&self, load: &[serde_json::Value]) -> Gauges {
        agent::gauges(&self.gauge_names, load)
    }

    /// One line of all counters.
    pub fn print_counts(&self) {
        let core = self.core.borrow();
        let (books, conns) = (core.desk.state(), self.conns.borrow().len());
        let agent = agent::state(&self.link, &self.counts);
        let ends: String = self.ends.borrow().iter().map(|(code, n)| format!(" {code}={n}")).collect();
        let record = self
            .record
            .get()
            .map_or(String::new(), |record| format!(" record[{}]", record.recorder.counts().line()));
        log::unheard(|| {
            let line =
                format!("{books} conns={conns} agent[{agent}] ends[{}]{record}{}", ends.trim(), self.counts);
            tracing::info!(event = "counts", words = "counts", what = %line);
        });
    }
}

/// Wake-ups of the decision module, never later than due: with the gauges just told, or the last known.
async fn beat(hub: Rc<Hub>) {
    loop {
        let Some(at) = hub.core.borrow_mut().desk.wake_at.take() else { return };
        // Guards against old gauges: set beside what runs now, they tell of reading that was none.
        sleep_until(at.checked_sub(ASK_AHEAD).unwrap_or(at).into()).await;
        hub.link.sample();
        tokio::select! {
            () = hub.link.sampled.notified() => {}
            () = sleep_until(at.into()) => {}
        }
        count(&hub.counts.beats);
        if at.elapsed() > LATE {
            count(&hub.counts.late_beats);
        }
        hub.act(|node, now, desk| {
            if desk.gauges_at.is_none_or(|at| at.elapsed() > FRESH) {
                count(&desk.counts.stale_gauges);
            }
            let gauges = desk.gauges;
            node.woken(now, desk, gauges);
        });
    }
}

/// Serves on this listener until `leave` is done and everything is answered.
pub async fn run(hub: Rc<Hub>, listener: TcpListener, leave: impl std::future::Future<Output = ()>) {
    spawn_local(take_in::accept(hub.clone(), listener));
    spawn_local(take_in::look_after(hub.clone()));
    spawn_local(agent::keep_link(hub.clone()));
    spawn_local(announce::keep_reporting(hub.clone()));
    leave.await;
    drain::drain(&hub).await;
    hub.print_counts();
}
