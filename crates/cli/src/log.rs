//! The log of a server: events with their fields, a line each, on standard error.

use std::io;

/// Starts logging. That nobody reads the lines any more is no reason to end, nor to complain.
pub(crate) fn init() {
    tracing_subscriber::fmt()
        .with_writer(io::stderr)
        .log_internal_errors(false)
        .with_target(false)
        .with_ansi(false)
        .init();
}
