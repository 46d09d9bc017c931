//! How the node obtains a descriptor for its own use when none is free.
//!
//! [`connection_capacity`](crate::connections::connection_capacity) divides the descriptors that the system's limit and
//! the configuration allow: the node itself and downstream calls have priority, and idle connections are evicted for
//! them. If that was not enough, a task that needs a descriptor retries here, and each attempt immediately closes the
//! connection that has been idle for longest. Connections with a pending answer are never closed for it.

use crate::connections;
use crate::context::NodeContext;
use crate::counters::count;
use crate::descriptor_limit::{is_exhausted, RETRY_BACKOFF};
use crate::log_frequent;
use std::future::Future;
use std::io;
use tokio::time::sleep;

/// Consecutive attempts: half a second, which exceeds by far the time that any single opening takes.
const MAX_ATTEMPTS: usize = 100;

/// Runs `attempt`, which opens a descriptor, and retries it after closing an idle connection while no descriptor is
/// free. `purpose` names it in the log.
///
/// # Errors
/// Those of `attempt`; the lack of descriptors is returned only after half a second of attempts.
pub async fn with_retry<T, F>(
    context: &NodeContext,
    purpose: &'static str,
    attempt: impl Fn() -> F,
) -> io::Result<T>
where
    F: Future<Output = io::Result<T>>,
{
    let mut attempts = 0;
    loop {
        let result = attempt().await;
        attempts += 1;
        if attempts >= MAX_ATTEMPTS || !result.as_ref().is_err_and(is_exhausted) {
            return result;
        }
        count(&context.counts.descriptors_out);
        if attempts == 1 {
            log_frequent!("descriptors_out", "out of descriptors", wanted = purpose);
        }
        connections::evict_for_descriptor(context);
        sleep(RETRY_BACKOFF).await;
    }
}
