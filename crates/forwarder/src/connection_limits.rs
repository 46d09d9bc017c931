//! The limit of client connections, and the choice of the one to evict when a descriptor is needed and none is left.
//!
//! Newcomers, connections that never sent a call, are evicted in the order of their arrival. Of the others, the next
//! one that was idle since the scan last passed it is evicted (the clock, or second chance, algorithm: the cost of a
//! step does not depend on the number of idle connections). A connection with a pending answer is never evicted.

use crate::listener::{ClientConnection, MAX_CLIENT_CONNECTIONS};
use crate::observability::increment;
use crate::ForwarderContext;
use foldhash::HashMap;
use rustix::process::{getrlimit, Resource};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::Future;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Descriptors for the standard streams, the runtime, signals, listeners, admin connections, the configuration file
/// read at SIGHUP, and upstream connections beyond those counted.
const RESERVED_DESCRIPTORS: usize = 32;
/// Descriptors reserved for upstream connections even while fewer are open.
const MIN_UPSTREAM_DESCRIPTORS: usize = 16;
/// Interval between attempts to get a descriptor: an evicted connection closes within one turn of the runtime.
const DESCRIPTOR_RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// Consecutive attempts to get a descriptor: half a second in total, the time limit of a connect.
const MAX_DESCRIPTOR_ATTEMPTS: usize = 100;
/// `EMFILE` and `ENFILE`: the process or the machine has no descriptor left.
const DESCRIPTOR_EXHAUSTED_ERRNOS: [i32; 2] = [24, 23];
/// Time after the accept in which a connection's first call may still be on its way.
const FIRST_CALL_GRACE: Duration = Duration::from_millis(100);
/// Connections that one scan examines in each queue: if this many are busy, most are.
const MAX_SCANNED_CONNECTIONS: usize = 4_096;
/// Entries that a queue may hold beyond two per open connection; a longer queue is pruned of closed connections.
const MAX_STALE_ENTRIES: usize = 64;

/// The limit of client connections, given the descriptors of the process and the number of open upstream connections.
///
/// ```
/// use rainstand_forwarder::connection_limits::max_client_connections;
/// assert_eq!(max_client_connections(128, 0), 80);
/// assert_eq!(max_client_connections(128, 60), 64);
/// assert_eq!(max_client_connections(1 << 20, 60), 12_000);
/// ```
pub fn max_client_connections(descriptors: usize, upstream_connections: usize) -> usize {
    let reserved = RESERVED_DESCRIPTORS + upstream_connections.max(MIN_UPSTREAM_DESCRIPTORS);
    descriptors
        .saturating_sub(reserved)
        .max(descriptors / 2)
        .min(MAX_CLIENT_CONNECTIONS)
}

/// Whether an operation failed for lack of a descriptor.
pub(crate) fn is_descriptor_exhaustion(error: &io::Error) -> bool {
    error
        .raw_os_error()
        .is_some_and(|code| DESCRIPTOR_EXHAUSTED_ERRNOS.contains(&code))
}

/// Result of the search for a connection to evict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Eviction {
    /// An idle connection was asked to close.
    Requested,
    /// All examined connections are in use.
    NoneIdle,
}

/// Limits the number of client connections and decides which to evict.
pub struct ConnectionLimits {
    /// Descriptor limit of the process.
    descriptors: usize,
    queues: RefCell<EvictionQueues>,
    /// Evicted connections that are still open.
    pending_evictions: Cell<usize>,
}

/// Ids of client connections, each in one of the queues. A scan removes the ids of closed connections that it meets.
#[derive(Default)]
struct EvictionQueues {
    /// Connections that are not known to have sent a call, in the order of their arrival.
    newcomers: VecDeque<u64>,
    /// All other connections, the last examined one at the back.
    others: VecDeque<u64>,
}

type Clients = HashMap<u64, Rc<ClientConnection>>;

/// Result of a scan of the newcomers.
enum NewcomerScan<'clients> {
    /// The first idle one past its grace period.
    Idle(&'clients Rc<ClientConnection>),
    /// There is none; the oldest one within its grace period, if idle.
    WithinGrace(Option<&'clients Rc<ClientConnection>>),
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        let limit = getrlimit(Resource::Nofile)
            .current
            .and_then(|limit| usize::try_from(limit).ok());
        Self {
            descriptors: limit.unwrap_or(usize::MAX),
            queues: RefCell::default(),
            pending_evictions: Cell::new(0),
        }
    }
}

impl ConnectionLimits {
    pub(crate) fn on_accepted(&self, connection_id: u64) {
        let mut queues = self.queues.borrow_mut();
        queues.newcomers.push_back(connection_id);
    }

    /// Called when an evicted connection has closed, or its eviction is withdrawn because it is in use; has no effect
    /// on other connections.
    pub(crate) fn on_eviction_settled(&self, client: &ClientConnection) {
        if client.clear_eviction() {
            self.pending_evictions.set(self.pending_evictions.get() - 1);
        }
    }
}

impl EvictionQueues {
    /// Removes closed connections from queues where they outnumber the open ones.
    fn prune(&mut self, clients: &Clients) {
        for queue in [&mut self.newcomers, &mut self.others] {
            if queue.len() > 2 * clients.len() + MAX_STALE_ENTRIES {
                queue.retain(|connection_id| clients.contains_key(connection_id));
            }
        }
    }

    /// Moves newcomers that sent a call or are past their grace period to `others`, up to the first idle one.
    fn scan_newcomers<'clients>(&mut self, clients: &'clients Clients) -> NewcomerScan<'clients> {
        for _ in 0..self.newcomers.len().min(MAX_SCANNED_CONNECTIONS) {
            let Some(connection_id) = self.newcomers.pop_front() else {
                break;
            };
            let Some(client) = clients.get(&connection_id) else {
                continue;
            };
            if client.has_sent_call() {
                self.others.push_back(connection_id);
            } else if client.age() < FIRST_CALL_GRACE {
                // All connections behind it are younger.
                self.newcomers.push_front(connection_id);
                return NewcomerScan::WithinGrace(Some(client).filter(|client| client.is_idle()));
            } else {
                // Its eviction may be withdrawn; then it has to be found again among the others.
                self.others.push_back(connection_id);
                if client.is_idle() {
                    return NewcomerScan::Idle(client);
                }
            }
        }
        NewcomerScan::WithinGrace(None)
    }

    /// The first idle connection that received nothing since the scan last passed it.
    fn scan_others<'clients>(
        &mut self,
        clients: &'clients Clients,
    ) -> Option<&'clients Rc<ClientConnection>> {
        // Two rounds: the first clears the activity mark of connections that were active.
        for _ in 0..(2 * self.others.len()).min(MAX_SCANNED_CONNECTIONS) {
            let connection_id = self.others.pop_front()?;
            let Some(client) = clients.get(&connection_id) else {
                continue;
            };
            self.others.push_back(connection_id);
            if client.is_idle() && !client.take_activity() {
                return Some(client);
            }
        }
        None
    }

    /// The next connection to evict.
    fn next_idle<'clients>(
        &mut self,
        clients: &'clients Clients,
    ) -> Option<&'clients Rc<ClientConnection>> {
        self.prune(clients);
        match self.scan_newcomers(clients) {
            NewcomerScan::Idle(client) => Some(client),
            NewcomerScan::WithinGrace(newcomer) => self.scan_others(clients).or(newcomer),
        }
    }
}

/// Whether one more client connection may stay open; at the limit, an idle one is evicted for it.
pub(crate) fn has_capacity(context: &ForwarderContext) -> bool {
    let limits = &context.connection_limits;
    let open = context.clients.borrow().len() - limits.pending_evictions.get();
    open < max_client_connections(limits.descriptors, context.upstreams.connection_count())
        || evict_idle_client(context) == Eviction::Requested
}

/// Asks the next idle connection in the order of eviction to close immediately.
fn evict_idle_client(context: &ForwarderContext) -> Eviction {
    let limits = &context.connection_limits;
    let clients = context.clients.borrow();
    let Some(client) = limits.queues.borrow_mut().next_idle(&clients) else {
        return Eviction::NoneIdle;
    };
    limits
        .pending_evictions
        .set(limits.pending_evictions.get() + 1);
    increment(&context.counters.evicted_connections);
    client.evict();
    Eviction::Requested
}

/// Runs an operation that needs a descriptor, and repeats it while there is none; idle clients are evicted to free one.
///
/// # Errors
/// Those of `operation`; the lack of a descriptor only after [`MAX_DESCRIPTOR_ATTEMPTS`].
pub(crate) async fn with_descriptor<T, F>(
    context: &ForwarderContext,
    operation: impl Fn() -> F,
) -> io::Result<T>
where
    F: Future<Output = io::Result<T>>,
{
    let mut attempts = 0;
    loop {
        let result = operation().await;
        attempts += 1;
        match &result {
            Err(error) if attempts < MAX_DESCRIPTOR_ATTEMPTS && is_descriptor_exhaustion(error) => {
                recover_descriptor(context, error).await;
            }
            _ => return result,
        }
    }
}

/// After a failure for lack of a descriptor, evicts an idle client and waits for it to close. Returns `None` without
/// waiting for any other failure.
pub(crate) async fn recover_descriptor(
    context: &ForwarderContext,
    error: &io::Error,
) -> Option<Eviction> {
    if !is_descriptor_exhaustion(error) {
        return None;
    }
    increment(&context.counters.descriptor_exhaustions);
    let eviction = evict_idle_client(context);
    sleep(DESCRIPTOR_RETRY_INTERVAL).await;
    Some(eviction)
}
