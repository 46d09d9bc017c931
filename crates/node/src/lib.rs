//! A node on sockets: dispatchers on one side, the render farm agent and the tier below on the other,
//! and between them the decision module, which settles everything.
//!
//! A ticket passes `take_in` (connections, frames), `admit` (names to indices, repeats), `route` (orders
//! of the module), `send` (launches and calls), `relay` (outcomes to the one answer) and `book`. All tasks
//! run on one thread; the books are never borrowed across an await.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "not yet brought to the workspace's lints, see docs/ROADMAP.md"
)]

pub mod agent;
pub mod completion;
pub mod config;
pub mod connection;
pub mod connections;
pub mod counters;
pub mod descriptors;
pub mod dispatch;
pub mod downstream;
pub mod drain;
pub mod idempotency;
pub mod ingress;
pub mod log;
pub mod pending_reply;
pub mod policy_host;
pub mod recording;
pub mod registration;
pub mod reload;
pub mod request;
pub mod request_table;
pub mod result_cache;
pub mod settings;
pub mod socket_buffer;

pub use rainstand_protocol::{http, thrift};

use config::{Config, Peers};
use connection::Connection;
use counters::{count, Counts};
use rainstand::{AdmissionController, Gauges, Host};
use request_table::RequestTable;
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until};

/// A wake-up that comes this much late is counted: the process or its machine stood still.
const LATE_TICK: Duration = Duration::from_millis(20);

/// The gauges are asked for this long before a wake-up is due; it comes with the answer, or when due.
/// Ten times what the agent takes to tell them, in whole steps of the clock.
const GAUGE_LEAD_TIME: Duration = Duration::from_millis(2);

/// Older gauges are counted: half of what lies between two wake-ups.
const MAX_GAUGE_AGE: Duration = Duration::from_millis(10);

/// To the next wake-up where the module asked for none: as often as it asks by itself.
const DEFAULT_TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Before a watch that ended in a panic begins anew: it costs little, however often it ends so.
const SUPERVISOR_RESTART_DELAY: Duration = Duration::from_millis(100);

/// The decision module and the books it works on.
pub struct Core {
    /// None until the agent has greeted.
    pub controller: Option<AdmissionController>,
    pub table: RequestTable,
}

/// What the tasks of one node share.
pub struct NodeContext {
    pub config: Config,
    /// The newest file whose settings were taken, for a module that begins after it.
    pub reloaded_config: RefCell<Option<Config>>,
    /// Those of the newest configuration file.
    pub peer_addresses: Cell<Peers>,
    pub core: RefCell<Core>,
    pub connections: RefCell<BTreeMap<u64, Rc<Connection>>>,
    pub counts: Rc<Counts>,
    /// How many connections of dispatchers ended, by reason code.
    pub ends: RefCell<BTreeMap<&'static str, u64>>,
    pub link: Rc<agent::AgentLink>,
    /// Where the node's traffic is recorded, if it is.
    pub record: OnceCell<Rc<recording::TrafficRecording>>,
    gauge_names: RefCell<Vec<String>>,
    /// These four, and the module's settings, follow a new configuration file: see `reload::retune`.
    pub idle_timeout: Cell<Duration>,
    pub drain_grace: Cell<Duration>,
    /// The longest wait that callers are asked for.
    pub max_retry_after: Cell<Duration>,
    /// The list of nodes follows what is reported, not only that something is.
    pub registry_follows_health: Cell<bool>,
    /// When the notice to leave came.
    pub leaving: Cell<Option<Instant>>,
    /// Until everything that came in before the end of listening is taken.
    pub listener: RefCell<Option<Rc<TcpListener>>>,
    /// Wakes the reports: at the notice to leave, and when the announce service moved.
    pub report_wakeup: Notify,
    /// Ends the listening.
    pub stop_listening: Notify,
    /// Descriptors that the group's links and store keep, out of all.
    pub reserved_descriptors: Cell<usize>,
}

impl NodeContext {
    pub fn new(mut config: Config) -> Result<Rc<Self>, String> {
        let (configured, given) = (
            config.sockets,
            descriptors::clamp_to_system_limit(config.sockets),
        );
        if given < configured {
            log_event!(
                "descriptors_fewer",
                "descriptors",
                given = given,
                configured = configured
            );
        }
        config.sockets = given;
        let start = config.start(Duration::ZERO, false)?;
        let (counts, link) = (
            Rc::new(Counts::default()),
            Rc::new(agent::AgentLink::default()),
        );
        let pool = Rc::new(downstream::DownstreamPool::new(config.peers.below));
        let mut names: Vec<(&String, &usize)> = start.types.iter().collect();
        names.sort_by_key(|name| name.1);
        let type_names = names
            .iter()
            .map(|name| serde_json::Value::from(name.0.as_str()).to_string())
            .collect();
        Ok(Rc::new_cyclic(|context| {
            let mut table = RequestTable::new(context.clone(), counts.clone(), link.clone(), pool);
            table.class_names = type_names;
            table.result_cache = result_cache::ResultCache::within(config.memory);
            (table.classes, table.tenants) = (start.types, start.tenants);
            (table.fresh, table.can_pause) = (start.fresh, start.can_stop);
            table.class_limits = start.kinds;
            Self {
                peer_addresses: Cell::new(config.peers),
                reloaded_config: RefCell::new(None),
                config,
                core: RefCell::new(Core {
                    controller: None,
                    table,
                }),
                connections: RefCell::default(),
                counts,
                ends: RefCell::default(),
                link,
                record: OnceCell::new(),
                gauge_names: RefCell::new(start.gauges),
                idle_timeout: Cell::new(start.idle),
                drain_grace: Cell::new(start.grace),
                max_retry_after: Cell::new(start.longest_pause),
                registry_follows_health: Cell::new(start.listed_by_state),
                leaving: Cell::new(None),
                listener: RefCell::new(None),
                report_wakeup: Notify::new(),
                stop_listening: Notify::new(),
                reserved_descriptors: Cell::new(0),
            }
        }))
    }

    /// One call into the decision module, with all that follows from it.
    pub fn drive_policy(
        &self,
        call: impl FnOnce(&mut AdmissionController, Duration, &mut RequestTable),
    ) {
        let mut core = self.core.borrow_mut();
        let Core { controller, table } = &mut *core;
        let Some(node) = controller else { return };
        let now = table.now();
        // Guards against a defect met by one ticket that would end the process, and all others with it.
        let all = AssertUnwindSafe(|| {
            call(node, now, table);
            while let Some((index, end)) = table.run_ends.pop_front() {
                node.on_run_finished(now, table, index, end);
            }
        });
        if catch_unwind(all).is_err() {
            count(&self.counts.panics);
            log_event!(
                "panic_caught",
                "panic caught:",
                count = self.counts.panics.get()
            );
        }
    }

    /// The agent is up, since `ago`: the decision module begins, once.
    pub fn start_policy(self: &Rc<Self>, ago: Duration, cold: bool) -> Result<(), &'static str> {
        let mut core = self.core.borrow_mut();
        if core.controller.is_some() {
            return Ok(());
        }
        // The module's clock starts with the agent, so that warming is counted from there.
        if let Some(started) = Instant::now().checked_sub(ago) {
            core.table.started = started;
        }
        let Core { controller, table } = &mut *core;
        let now = table.now();
        let tuned = self.reloaded_config.borrow();
        let config = tuned.as_ref().unwrap_or(&self.config);
        let start = config
            .start(now.saturating_sub(ago), cold)
            .map_err(|_| "settings")?;
        drop(tuned);
        log_event!(
            "agent_up",
            "agent up",
            since_ms = ago.as_millis(),
            cold = cold
        );
        controller.insert(start.node).begin(now, table);
        drop(core);
        // Guards against tickets that are run past the kill: a module that begins late hears of it too.
        drain::notify_policy(self);
        let context = self.clone();
        spawn_local(supervise(self.clone(), "beat", move || {
            tick(context.clone())
        }));
        Ok(())
    }

    /// Gives up what is due and was not answered. Guards against a ticket that the module lost in a panic: whatever
    /// became of it there, the program owes its answer.
    fn fail_overdue(&self) {
        let overdue = self.core.borrow().table.overdue(Instant::now());
        for index in overdue {
            count(&self.counts.unsettled);
            self.drive_policy(|node, now, table| {
                table.fail(index);
                node.on_caller_gone(now, table, index);
            });
        }
    }

    pub fn gauges(&self, load: &[serde_json::Value]) -> Gauges {
        agent::gauges(&self.gauge_names.borrow(), load)
    }

    /// One line of all counters.
    pub fn print_counts(&self) {
        let core = self.core.borrow();
        let (books, conns) = (core.table.state(), self.connections.borrow().len());
        let agent = agent::state(&self.link, &self.counts);
        let ends: String = self
            .ends
            .borrow()
            .iter()
            .map(|(code, n)| format!(" {code}={n}"))
            .collect();
        let record = self.record.get().map_or(String::new(), |record| {
            format!(" record[{}]", record.recorder.counts().line())
        });
        log::ignore_write_panic(|| {
            let line = format!(
                "{books} conns={conns} agent[{agent}] ends[{}]{record}{}",
                ends.trim(),
                self.counts
            );
            tracing::info!(event = "counts", words = "counts", what = %line);
        });
    }
}

/// What must go on for as long as the process lives. Guards against a watch that dies in silence: one that ends in a
/// panic is counted, said, and begun anew; one that returns is done.
pub async fn supervise<F: Future<Output = ()> + 'static>(
    context: Rc<NodeContext>,
    name: &'static str,
    begin: impl Fn() -> F,
) {
    while spawn_local(begin()).await.is_err() {
        count(&context.counts.watches_again);
        log_event!(
            "watch_again",
            "panic in a watch, which begins anew:",
            name = name
        );
        sleep(SUPERVISOR_RESTART_DELAY).await;
    }
}

/// Wake-ups of the decision module, never later than due: with the gauges just told, or the last known.
async fn tick(context: Rc<NodeContext>) {
    loop {
        // Guards against a module that nobody wakes any more, as it ended in a panic before it asked for that.
        let asked = context.core.borrow_mut().table.wake_at.take();
        let at = asked.unwrap_or_else(|| {
            count(&context.counts.unasked_beats);
            Instant::now() + DEFAULT_TICK_INTERVAL
        });
        // Guards against old gauges: set beside what runs now, they tell of reading that was none.
        sleep_until(at.checked_sub(GAUGE_LEAD_TIME).unwrap_or(at).into()).await;
        context.link.sample();
        tokio::select! {
            () = context.link.sampled.notified() => {}
            () = sleep_until(at.into()) => {}
        }
        count(&context.counts.beats);
        if at.elapsed() > LATE_TICK {
            count(&context.counts.late_beats);
        }
        context.drive_policy(|node, now, table| {
            if table
                .gauges_at
                .is_none_or(|at| at.elapsed() > MAX_GAUGE_AGE)
            {
                count(&table.counts.stale_gauges);
            }
            let gauges = table.gauges;
            node.on_tick(now, table, gauges);
        });
        context.fail_overdue();
    }
}

/// Serves on this listener until `leave` is done and everything is answered.
pub async fn run(context: Rc<NodeContext>, listener: TcpListener, leave: impl Future<Output = ()>) {
    *context.listener.borrow_mut() = Some(Rc::new(listener));
    let of = |context: &Rc<NodeContext>| context.clone();
    let [one, two, three, four] = [of(&context), of(&context), of(&context), of(&context)];
    spawn_local(supervise(of(&context), "accept", move || {
        connections::accept(one.clone())
    }));
    spawn_local(supervise(of(&context), "look_after", move || {
        connections::sweep_connections(two.clone())
    }));
    spawn_local(supervise(of(&context), "agent", move || {
        agent::run_link(three.clone())
    }));
    spawn_local(supervise(of(&context), "announce", move || {
        registration::keep_reporting(four.clone())
    }));
    leave.await;
    drain::drain(&context).await;
    context.print_counts();
}
