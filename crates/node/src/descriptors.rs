//! How the node gets a descriptor for its own needs once they have run out.
//!
//! What the system's limit and the configuration leave is shared out by
//! [`connection_capacity`](crate::connections::connection_capacity): the node's own needs and the calls to the tier
//! below come first, and idle connections are evicted for them. Where all that was not enough, a task that needs a
//! descriptor waits here, and with each try the connection that was idle for longest is closed at once. Connections on
//! which an answer is pending are never closed for it.

use crate::connections;
use crate::context::NodeContext;
use crate::counters::count;
use crate::descriptor_limit::{is_exhausted, RETRY_BACKOFF};
use crate::log_frequent;
use std::future::Future;
use std::io;
use tokio::time::sleep;

/// Tries in a row: half a second, which no opening outlives by much.
const MAX_TRIES: usize = 100;

/// Does what takes a descriptor, again while there is none and idle connections can be closed for it. `purpose`: its
/// name in the log.
///
/// # Errors
/// Those of `attempt`; for want of descriptors only after half a second of tries.
pub async fn with_retry<T, F>(
    context: &NodeContext,
    purpose: &'static str,
    attempt: impl Fn() -> F,
) -> io::Result<T>
where
    F: Future<Output = io::Result<T>>,
{
    let mut tries = 0;
    loop {
        let result = attempt().await;
        tries += 1;
        if tries >= MAX_TRIES || !result.as_ref().is_err_and(is_exhausted) {
            return result;
        }
        count(&context.counts.descriptors_out);
        if tries == 1 {
            log_frequent!("descriptors_out", "out of descriptors", wanted = purpose);
        }
        connections::evict_for_descriptor(context);
        sleep(RETRY_BACKOFF).await;
    }
}
