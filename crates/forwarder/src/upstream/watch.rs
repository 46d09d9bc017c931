//! Connections that show whether a member is still the same process.
//!
//! A member forgets what it ran when its process ends, so repeats of requests with a key must not reach the next process.
//! Requests alone do not show its end: connections are closed when idle, and another process may listen by the time of
//! the next one. So one connection without requests is kept open to each member that is the home of keys. It is probed,
//! which keeps the member from closing it as idle, and shows that a member is gone of which no end was received.

use super::connection::ConnectionPurpose;
use super::open_connection;
use crate::ForwarderContext;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Interval at which missing connections are opened.
const WATCH_INTERVAL: Duration = Duration::from_millis(200);
/// Connections that are opened at a time, so that a start with many members does not delay requests.
const MAX_STARTED_AT_ONCE: usize = 32;
/// Interval of probes; shorter than the idle timeout of nodes.
pub(super) const PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// A member that has sent nothing since so many probes counts as gone.
pub(super) const MAX_UNANSWERED_PROBES: u32 = 3;

/// Keeps a connection open to each member that is the home of keys, for as long as the forwarder runs.
pub(crate) async fn watch_key_homes(context: Rc<ForwarderContext>) {
    let mut first = 0;
    loop {
        first = open_missing(&context, first);
        sleep(WATCH_INTERVAL).await;
    }
}

/// Opens missing connections, beginning with the member at position `first`. Returns the position to begin with next
/// time, so that members that cannot be reached do not keep others from their turn.
fn open_missing(context: &Rc<ForwarderContext>, first: usize) -> usize {
    let addresses: Vec<Rc<str>> = {
        let fleet = context.fleet.borrow();
        fleet.key_home_addresses().cloned().collect()
    };
    let mut started = 0;
    for offset in 0..addresses.len() {
        let position = (first + offset) % addresses.len();
        let upstream = context.upstreams.get_or_insert(&addresses[position]);
        if upstream.has_watch() || !upstream.may_connect() {
            continue;
        }
        if started == MAX_STARTED_AT_ONCE {
            return position;
        }
        open_connection(
            context,
            &upstream,
            &addresses[position],
            ConnectionPurpose::Watch,
        );
        started += 1;
    }
    0
}
