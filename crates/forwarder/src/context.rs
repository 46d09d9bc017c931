//! What the tasks of one forwarder share, and how a new version of the configuration is installed.
//!
//! Everything runs on one thread: interior mutability takes the place of locks, and nothing is borrowed across an
//! await.

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

/// Reads the state of the attachment to config servers.
pub type ConfigSourceReader = Box<dyn Fn() -> ConfigSourceLine>;

/// What the tasks of one forwarder share.
pub struct ForwarderContext {
    /// Every decision about requests and members.
    pub fleet: RefCell<Fleet>,
    /// Requests without an answer yet.
    pub requests: RequestTable,
    /// Connections to members.
    pub upstreams: UpstreamPool,
    /// Connections of clients by their id.
    pub(crate) clients: RefCell<HashMap<u64, Rc<ClientConnection>>>,
    /// Bound of the client connections, and which one is evicted for another.
    pub connection_limits: ConnectionLimits,
    /// Counters of the sockets' side; those of decisions are [`Fleet::counts`].
    pub counters: Counters,
    /// Counters and times by member and route.
    pub metrics: Metrics,
    /// Present where versions come from config servers.
    pub config_source: RefCell<Option<ConfigSourceReader>>,
    /// Whether the forwarder shuts down.
    pub drain: DrainState,
    pub(crate) read_buffer: ReadBuffer,
    started_at: Instant,
    last_id: Cell<u64>,
}

impl ForwarderContext {
    /// A forwarder in `zone` (empty if it does not say) with the first version of its configuration. All random draws
    /// come from `seed`.
    ///
    /// # Errors
    /// Why the configuration cannot be used.
    pub fn new(
        configuration: Configuration,
        zone: &str,
        seed: u64,
    ) -> Result<Rc<Self>, ConfigurationError> {
        let fleet = Fleet::of(configuration, zone, seed, Duration::ZERO)?;
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

    /// Time since the start: the clock of all decisions.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// A number that no request, attempt or client connection of this process had before.
    pub(crate) fn next_id(&self) -> u64 {
        self.last_id.set(self.last_id.get() + 1);
        self.last_id.get()
    }

    /// Installs a configuration as a version, whose number it returns. Requests in flight finish under theirs.
    ///
    /// # Errors
    /// Why it is rejected; nothing has changed then.
    pub fn install_configuration(
        &self,
        configuration: Configuration,
    ) -> Result<u64, ConfigurationError> {
        let now = self.now();
        let version = self.fleet.borrow_mut().install_owned(configuration, now)?;
        self.on_version_installed(version);
        Ok(version)
    }

    /// Installs changes of single entries as a version, at a cost of their own size, and returns its number. A changed
    /// pool comes with all members that this forwarder uses ([`rainstand_routing::subset`]).
    ///
    /// # Errors
    /// Why they are rejected; nothing has changed then.
    pub fn apply_changes(&self, changes: &[TableChange]) -> Result<u64, ConfigurationError> {
        let now = self.now();
        let version = self.fleet.borrow_mut().apply(changes, now)?;
        self.on_version_installed(version);
        Ok(version)
    }

    /// Brings up to date what is kept by index, if indices changed with this version.
    fn on_version_installed(&self, version: u64) {
        if self.fleet.borrow().indices_since() == version {
            self.upstreams.remove_unconnected();
            self.upstreams.report_connected(self);
            self.metrics.on_indices_changed(&self.fleet.borrow());
        }
    }
}
