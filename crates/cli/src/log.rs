//! The log of a server: one event with its fields per line, on standard error.

use std::io;

/// Starts logging. Failed writes to standard error are ignored, because its reader may have closed it.
pub(crate) fn init() {
    tracing_subscriber::fmt()
        .with_writer(io::stderr)
        .log_internal_errors(false)
        .with_target(false)
        .with_ansi(false)
        .init();
}
