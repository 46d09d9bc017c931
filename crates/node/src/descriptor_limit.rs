//! The system's descriptor limit.

use rustix::process::{getrlimit, Resource};
use std::io;
use std::time::Duration;

/// Pause between two attempts to open a descriptor: an evicted connection is closed within one turn of the runtime.
pub const RETRY_BACKOFF: Duration = Duration::from_millis(5);

/// `EMFILE` and `ENFILE`: the process or the machine has no free descriptor.
const EXHAUSTED_CODES: [i32; 2] = [24, 23];

/// Limits the configured number of descriptors to what the system allows this process.
pub fn clamp_to_system_limit(configured: usize) -> usize {
    let limit = getrlimit(Resource::Nofile)
        .current
        .and_then(|limit| usize::try_from(limit).ok());
    configured.min(limit.unwrap_or(usize::MAX))
}

/// Whether an operation failed because no descriptor was free.
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
