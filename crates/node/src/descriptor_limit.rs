//! The system's limit of descriptors.

use rustix::process::{getrlimit, Resource};
use std::io;
use std::time::Duration;

/// Between two tries to get a descriptor: a connection that is closed for it has gone within a turn of the runtime.
pub const RETRY_BACKOFF: Duration = Duration::from_millis(5);

/// `EMFILE` and `ENFILE`: the process, or the machine, has no descriptor left.
const EXHAUSTED_CODES: [i32; 2] = [24, 23];

/// As many of the configured descriptors as the system gives to this process.
pub fn clamp_to_system_limit(configured: usize) -> usize {
    let limit = getrlimit(Resource::Nofile)
        .current
        .and_then(|limit| usize::try_from(limit).ok());
    configured.min(limit.unwrap_or(usize::MAX))
}

/// Whether this failed for want of descriptors.
///
/// ```
/// use rainstand_node::descriptor_limit::is_exhausted;
/// use std::io::Error;
/// let kinds = [24, 23, 111].map(|code| is_exhausted(&Error::from_raw_os_error(code)));
/// assert_eq!(kinds, [true, true, false]);
/// ```
pub fn is_exhausted(error: &io::Error) -> bool {
    error
        .raw_os_error()
        .is_some_and(|code| EXHAUSTED_CODES.contains(&code))
}
