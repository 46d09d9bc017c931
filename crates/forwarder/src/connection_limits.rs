//! How many client connections there may be, and which one is evicted where a descriptor is wanted and none is left.
//!
//! Newcomers, which never sent a call, are evicted in the order in which they came; of the others the next one that was
//! idle since the scan last passed it (the clock, or second chance, algorithm: each step costs the same, however many
//! are idle). A connection on which an answer is owed is never evicted.

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

/// Descriptors for the standard streams, the runtime, signals, listeners, operators, the file at SIGHUP, and upstream
/// connections beyond those counted.
const RESERVED_DESCRIPTORS: usize = 32;
/// Descriptors for upstream connections even while fewer are open.
const MIN_UPSTREAM_DESCRIPTORS: usize = 16;
/// Between attempts to get a descriptor: an evicted connection closes within a turn of the runtime.
const DESCRIPTOR_RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// Attempts in a row to get a descriptor: half a second, as long as a connect may take.
const MAX_DESCRIPTOR_ATTEMPTS: usize = 100;
/// `EMFILE` and `ENFILE`: the process, or the machine, has no descriptor left.
const DESCRIPTOR_EXHAUSTED_ERRNOS: [i32; 2] = [24, 23];
/// For this long after it was accepted a connection's first call may be on its way.
const FIRST_CALL_GRACE: Duration = Duration::from_millis(100);
/// Connections that one scan looks at in each queue: where so many are busy, most are.
const MAX_SCANNED_CONNECTIONS: usize = 4_096;
/// Entries of closed connections that a queue may hold beside two for each open one.
const MAX_STALE_ENTRIES: usize = 64;

/// How many client connections there may be beside so many upstream ones, of all descriptors of the process.
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

/// Whether an operation failed for want of a descriptor.
pub(crate) fn is_descriptor_exhaustion(error: &io::Error) -> bool {
    error
        .raw_os_error()
        .is_some_and(|code| DESCRIPTOR_EXHAUSTED_ERRNOS.contains(&code))
}

/// Whether a connection was found to make a descriptor free.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Eviction {
    /// An idle connection was asked to close.
    Requested,
    /// All that were looked at are in use.
    NoneIdle,
}

/// The order in which client connections are evicted, by their ids.
pub struct ConnectionLimits {
    /// Descriptors that the process may have.
    descriptors: usize,
    queues: RefCell<EvictionQueues>,
    /// Evicted connections that are still open.
    pending_evictions: Cell<usize>,
}

/// A connection is in one of the queues; ids of closed ones are removed as they are met.
#[derive(Default)]
struct EvictionQueues {
    /// Not known to have sent a call, in the order in which they came.
    newcomers: VecDeque<u64>,
    /// All others, the one that was looked at last at the back.
    others: VecDeque<u64>,
}

type Clients = HashMap<u64, Rc<ClientConnection>>;

/// What a scan of the newcomers found.
enum NewcomerScan<'clients> {
    /// The first idle one that is past its grace.
    Idle(&'clients Rc<ClientConnection>),
    /// None of those; the oldest within its grace, if that is idle.
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

    /// An evicted connection closed, or its eviction is withdrawn since it is in use; others are not affected.
    pub(crate) fn on_eviction_settled(&self, client: &ClientConnection) {
        if client.clear_eviction() {
            self.pending_evictions.set(self.pending_evictions.get() - 1);
        }
    }
}

impl EvictionQueues {
    /// Removes closed connections where they outnumber the open ones.
    fn prune(&mut self, clients: &Clients) {
        for queue in [&mut self.newcomers, &mut self.others] {
            if queue.len() > 2 * clients.len() + MAX_STALE_ENTRIES {
                queue.retain(|connection_id| clients.contains_key(connection_id));
            }
        }
    }

    /// Moves newcomers that sent a call, or are past their grace, to the others, up to the first idle one.
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
                // All behind it are younger.
                self.newcomers.push_front(connection_id);
                return NewcomerScan::WithinGrace(Some(client).filter(|client| client.is_idle()));
            } else {
                // Its eviction may be withdrawn: the scan meets it again among the others.
                self.others.push_back(connection_id);
                if client.is_idle() {
                    return NewcomerScan::Idle(client);
                }
            }
        }
        NewcomerScan::WithinGrace(None)
    }

    /// The first idle connection on which nothing came since the scan last passed it.
    fn scan_others<'clients>(
        &mut self,
        clients: &'clients Clients,
    ) -> Option<&'clients Rc<ClientConnection>> {
        // Twice round: the first pass clears the mark of those that were active.
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

    /// The connection to evict next.
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

/// Whether one more client connection may stay open; at the bound an idle one is evicted for it.
pub(crate) fn has_capacity(context: &ForwarderContext) -> bool {
    let limits = &context.connection_limits;
    let open = context.clients.borrow().len() - limits.pending_evictions.get();
    open < max_client_connections(limits.descriptors, context.upstreams.connection_count())
        || evict_idle_client(context) == Eviction::Requested
}

/// Asks the connection that is idle for longest to close at once.
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

/// Does what takes a descriptor, again while there is none: idle clients are evicted for it.
///
/// # Errors
/// Those of `operation`, for want of a descriptor only after [`MAX_DESCRIPTOR_ATTEMPTS`].
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

/// After a failure for want of a descriptor: evicts an idle client, and gives it a moment to close. `None`, at once, for
/// any other failure.
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
