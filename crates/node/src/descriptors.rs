//! Descriptors: how many there are, and how the node has one for its own needs once they have run out.
//!
//! What the system's limit and the configuration leave is shared out by `connections::connection_capacity`: the node's
//! own needs and the
//! calls below come first, and whoever rests makes room. Where all that was not enough, who wants a descriptor here
//! waits, and with each look the connection that rests longest is closed at once. Connections that are owed an
//! answer are never closed for it.

use crate::counters::count;
use crate::{connections, log_frequent, NodeContext};
use rustix::process::{getrlimit, Resource};
use std::future::Future;
use std::io;
use std::time::Duration;
use tokio::time::sleep;

/// Between tries to have one: a connection that is closed for it is gone within a turn.
pub const RETRY_BACKOFF: Duration = Duration::from_millis(5);
/// Tries in a row: half a second, which no opening outlives by much.
const MAX_TRIES: usize = 100;
/// `EMFILE` and `ENFILE`: the process, or the machine, has no descriptor left.
const EXHAUSTED_CODES: [i32; 2] = [24, 23];

/// So many of the configured ones as the system gives to this process.
pub fn clamp_to_system_limit(configured: usize) -> usize {
    let given = getrlimit(Resource::Nofile)
        .current
        .and_then(|n| usize::try_from(n).ok());
    configured.min(given.unwrap_or(usize::MAX))
}

/// Whether this failed for want of descriptors.
///
/// ```
/// use rainstand_node::descriptors::is_exhausted;
/// use std::io::Error;
/// let kinds = [24, 23, 111].map(|code| is_exhausted(&Error::from_raw_os_error(code)));
/// assert_eq!(kinds, [true, true, false]);
/// ```
pub fn is_exhausted(error: &io::Error) -> bool {
    error
        .raw_os_error()
        .is_some_and(|code| EXHAUSTED_CODES.contains(&code))
}

/// Does what takes a descriptor, again while there is none and resting connections can make room for it.
///
/// # Errors
/// Those of `attempt`, for want of descriptors only after [`MAX_TRIES`].
pub async fn with_retry<T, F>(
    context: &NodeContext,
    what: &'static str,
    attempt: impl Fn() -> F,
) -> io::Result<T>
where
    F: Future<Output = io::Result<T>>,
{
    let mut tries = 0;
    loop {
        let done = attempt().await;
        tries += 1;
        if tries >= MAX_TRIES || !done.as_ref().is_err_and(is_exhausted) {
            return done;
        }
        count(&context.counts.descriptors_out);
        if tries == 1 {
            log_frequent!("descriptors_out", "out of descriptors", wanted = what);
        }
        connections::evict_for_descriptor(context);
        sleep(RETRY_BACKOFF).await;
    }
}
