//! The state shared by the tasks of one node: configuration, policy and request table, connections, links, counters.
//!
//! All tasks run on one thread. Invariant: nothing in a [`std::cell::RefCell`] here is borrowed across an await.

use crate::agent_link::{self, AgentLink};
use crate::config::{Config, ConfigError, Peers};
use crate::connection::Connection;
use crate::counters::{count, Counts};
use crate::descriptor_limit::clamp_to_system_limit;
use crate::downstream_pool::DownstreamPool;
use crate::request_table::{FinishedRun, NodeTasks, RequestTable};
use crate::result_cache::ResultCache;
use crate::traffic_recording::TrafficRecording;
use crate::{log, log_event};
use rainstand::{AdmissionController, Gauges};
use rainstand_settings::{Machine, Start};
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::Notify;

/// The policy and the request table that it works on.
pub struct Core {
    /// None until the agent's first greeting.
    pub controller: Option<AdmissionController>,
    /// The requests in flight.
    pub table: RequestTable,
}

/// The state shared by the tasks of one node.
pub struct NodeContext {
    /// The configuration that the node started with.
    pub config: Config,
    /// The newest reloaded configuration that was applied, for a policy that starts after the reload.
    pub reloaded_config: RefCell<Option<Config>>,
    /// The peers of the newest configuration file.
    pub peer_addresses: Cell<Peers>,
    /// The policy and its request table.
    pub core: RefCell<Core>,
    /// Client connections by their numbers.
    pub connections: RefCell<BTreeMap<u64, Rc<Connection>>>,
    /// The node's counters.
    pub counts: Rc<Counts>,
    /// Number of ended client connections, by reason code.
    pub ends: RefCell<BTreeMap<&'static str, u64>>,
    /// The link to the agent.
    pub link: Rc<AgentLink>,
    /// Records the node's traffic, if recording is on.
    pub recording: OnceCell<Rc<TrafficRecording>>,
    /// Names of the gauges, in the order of a sample's values.
    pub(crate) gauge_names: RefCell<Vec<String>>,
    /// How long callers cache an unused connection. A reload updates it, the next three fields and the policy's
    /// settings: see [`crate::reload::apply_settings`].
    pub idle_timeout: Cell<Duration>,
    /// How long the node continues to listen after the shutdown notice.
    pub drain_grace: Cell<Duration>,
    /// The longest retry-after that is sent to callers.
    pub max_retry_after: Cell<Duration>,
    /// Whether the announce service evaluates the reported health, and not only that a report arrives.
    pub registry_follows_health: Cell<bool>,
    /// When the shutdown notice arrived; None while the node does not drain.
    pub draining_since: Cell<Option<Instant>>,
    /// None once listening has ended and the backlog has been accepted.
    pub listener: RefCell<Option<Rc<TcpListener>>>,
    /// Wakes the reporter: at the shutdown notice, and when the announce service's address changed.
    pub report_wakeup: Notify,
    /// Ends listening.
    pub stop_listening: Notify,
    /// The part of all descriptors that the group's links and store use.
    pub reserved_descriptors: Cell<usize>,
}

impl NodeContext {
    /// The shared state of a node that is not running yet.
    ///
    /// # Errors
    /// If the configuration's settings cannot be used.
    pub fn new(mut config: Config) -> Result<Rc<Self>, ConfigError> {
        let configured = config.max_descriptors;
        config.max_descriptors = clamp_to_system_limit(configured);
        if config.max_descriptors < configured {
            log_event!(
                "descriptors_limited",
                "descriptors",
                given = config.max_descriptors,
                configured = configured
            );
        }
        let start = config.start(Machine::default())?;
        Ok(Rc::new_cyclic(|context: &Weak<Self>| {
            Self::with_settings(config, start, context.clone())
        }))
    }

    fn with_settings(config: Config, start: Start, tasks: Weak<dyn NodeTasks>) -> Self {
        let counts = Rc::new(Counts::default());
        let link = Rc::new(AgentLink::default());
        let pool = Rc::new(DownstreamPool::new(config.peers.downstream));
        let mut table = RequestTable::new(tasks, counts.clone(), link.clone(), pool);
        table.class_names = json_names(&start.classes);
        table.result_cache = ResultCache::with_memory(config.memory_bytes);
        table.classes = start.classes;
        table.tenants = start.tenants;
        table.max_result_age = start.max_result_age;
        table.can_pause = start.can_cancel_runs;
        table.class_limits = start.class_limits;
        let core = Core {
            controller: None,
            table,
        };
        Self {
            peer_addresses: Cell::new(config.peers),
            reloaded_config: RefCell::new(None),
            config,
            core: RefCell::new(core),
            connections: RefCell::default(),
            counts,
            ends: RefCell::default(),
            link,
            recording: OnceCell::new(),
            gauge_names: RefCell::new(start.gauges),
            idle_timeout: Cell::new(start.idle_timeout),
            drain_grace: Cell::new(start.drain_grace),
            max_retry_after: Cell::new(start.max_retry_after),
            registry_follows_health: Cell::new(start.registry_follows_health),
            draining_since: Cell::new(None),
            listener: RefCell::new(None),
            report_wakeup: Notify::new(),
            stop_listening: Notify::new(),
            reserved_descriptors: Cell::new(0),
        }
    }

    /// Calls the policy and passes it the runs that ended during the call; does nothing before the policy has started.
    pub fn drive_policy(
        &self,
        call: impl FnOnce(&mut AdmissionController, Duration, &mut RequestTable),
    ) {
        let mut core = self.core.borrow_mut();
        let Core { controller, table } = &mut *core;
        let Some(policy) = controller else { return };
        let now = table.now();
        // A defect triggered by one request must not end the process with all its other requests.
        let drive = AssertUnwindSafe(|| {
            call(policy, now, table);
            while let Some(FinishedRun { index, outcome }) = table.finished_runs.pop_front() {
                policy.on_run_finished(now, table, index, outcome);
            }
        });
        if catch_unwind(drive).is_err() {
            count(&self.counts.panics);
            log_event!(
                "panic_caught",
                "panic caught:",
                count = self.counts.panics.get()
            );
        }
    }

    /// The gauges in an agent's sample.
    pub fn gauges(&self, load: &[serde_json::Value]) -> Gauges {
        agent_link::gauges(&self.gauge_names.borrow(), load)
    }

    /// Logs all counters in one line, regardless of the log's rate limit.
    pub fn print_counts(&self) {
        let table = self.core.borrow().table.state();
        let connections = self.connections.borrow().len();
        let agent = self.link.state(&self.counts);
        let mut ends = String::new();
        for (code, count) in &*self.ends.borrow() {
            let _ = write!(ends, " {code}={count}");
        }
        let record = self.recording.get().map_or(String::new(), |record| {
            format!(" record[{}]", record.recorder.counters().line())
        });
        log::ignore_write_panic(|| {
            let line = format!(
                "{table} conns={connections} agent[{agent}] ends[{}]{record}{}",
                ends.trim(),
                self.counts
            );
            tracing::info!(event = "counts", words = "counts", what = %line);
        });
    }
}

/// Names as JSON strings, in the order of their indices.
fn json_names(indices: &BTreeMap<String, usize>) -> Vec<String> {
    let mut names: Vec<(&String, &usize)> = indices.iter().collect();
    names.sort_by_key(|(_, index)| **index);
    names
        .iter()
        .map(|(name, _)| serde_json::Value::from(name.as_str()).to_string())
        .collect()
}
