//! The state that the tasks of one forwarder share, and the installation of new configuration versions.
//!
//! Everything runs on one thread: interior mutability replaces locks, and nothing is borrowed across an await.

use crate::admin::ConfigSourceLine;
use crate::connection_limits::ConnectionLimits;
use crate::drain::DrainState;
use crate::listener::ClientConnection;
use crate::observability::{Counters, Metrics};
use crate::request_table::RequestTable;
use crate::socket::ReadBuffer;
use crate::upstream::UpstreamPool;
use foldhash::{HashMap, HashMapExt};
use rainstand_config::schema::Configuration;
use rainstand_routing::fleet::Fleet;
use rainstand_routing::table_update::TableChange;
use rainstand_routing::ConfigurationError;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Reads the state of the subscription to the config servers.
pub type ConfigSourceReader = Box<dyn Fn() -> ConfigSourceLine>;

/// The state that the tasks of one forwarder share.
pub struct ForwarderContext {
    /// Makes all decisions about requests and members.
    pub fleet: RefCell<Fleet>,
    /// Requests without an answer yet.
    pub requests: RequestTable,
    /// Connections to members.
    pub upstreams: UpstreamPool,
    /// Client connections by id.
    pub(crate) clients: RefCell<HashMap<u64, Rc<ClientConnection>>>,
    /// Limit of client connections, and the order of eviction.
    pub connection_limits: ConnectionLimits,
    /// Counters of socket events; [`Fleet::counts`] has those of decisions.
    pub counters: Counters,
    /// Counters and latency histograms by member and route.
    pub metrics: Metrics,
    /// Present if the configuration comes from config servers.
    pub config_source: RefCell<Option<ConfigSourceReader>>,
    /// State of the graceful shutdown.
    pub drain: DrainState,
    pub(crate) read_buffer: ReadBuffer,
    started_at: Instant,
    last_id: Cell<u64>,
}

impl ForwarderContext {
    /// Creates a forwarder in `zone` (empty if unknown) with its initial configuration. All random numbers derive from
    /// `seed`.
    ///
    /// # Errors
    /// If the configuration is invalid.
    pub fn new(
        configuration: Configuration,
        zone: &str,
        seed: u64,
    ) -> Result<Rc<Self>, ConfigurationError> {
        let fleet = Fleet::from_owned(configuration, zone, seed, Duration::ZERO)?;
        let metrics = Metrics::default();
        metrics.on_indices_changed(&fleet);
        Ok(Rc::new(Self {
            fleet: RefCell::new(fleet),
            requests: RequestTable::default(),
            upstreams: UpstreamPool::new(seed),
            clients: RefCell::new(HashMap::new()),
            connection_limits: ConnectionLimits::default(),
            counters: Counters::default(),
            metrics,
            config_source: RefCell::default(),
            drain: DrainState::default(),
            read_buffer: ReadBuffer::default(),
            started_at: Instant::now(),
            last_id: Cell::new(0),
        }))
    }

    /// Time since the start; all decisions use this clock.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// A new id, unique among the requests, attempts and client connections of this process.
    pub(crate) fn next_id(&self) -> u64 {
        self.last_id.set(self.last_id.get() + 1);
        self.last_id.get()
    }

    /// Installs a configuration as a new version and returns the version's number. Requests in flight finish under the
    /// version that they started with.
    ///
    /// # Errors
    /// If the configuration is rejected; nothing has changed then.
    pub fn install_configuration(
        &self,
        configuration: Configuration,
    ) -> Result<u64, ConfigurationError> {
        let now = self.now();
        let version = self.fleet.borrow_mut().install_owned(configuration, now)?;
        self.on_version_installed(version);
        Ok(version)
    }

    /// Installs changes of single entries as a new version and returns its number; the cost depends only on the size of
    /// the changes. A changed pool contains all members that this forwarder uses ([`rainstand_routing::subset`]).
    ///
    /// # Errors
    /// If the changes are rejected; nothing has changed then.
    pub fn apply_changes(&self, changes: &[TableChange]) -> Result<u64, ConfigurationError> {
        let now = self.now();
        let version = self.fleet.borrow_mut().apply(changes, now)?;
        self.on_version_installed(version);
        Ok(version)
    }

    /// Updates all state that is stored by index, if this version changed indices.
    fn on_version_installed(&self, version: u64) {
        if self.fleet.borrow().indices_since() == version {
            self.upstreams.remove_former_members(self);
            self.upstreams.report_connected_members(self);
            self.metrics.on_indices_changed(&self.fleet.borrow());
        }
    }
}
