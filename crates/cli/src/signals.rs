//! The signals of a server.

use std::io;
use tokio::runtime::Runtime;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// The signals that a server handles.
pub(crate) struct Signals {
    /// SIGTERM: drain and end.
    pub(crate) terminate: Signal,
    /// SIGINT: the same.
    pub(crate) interrupt: Signal,
    /// SIGHUP: read the configuration again.
    pub(crate) hangup: Signal,
    /// SIGUSR1: print the counters.
    pub(crate) print_counts: Signal,
}

impl Signals {
    /// Handles the signals from here on. To be called before the configuration is read, which may take seconds: the
    /// system ends a process by a SIGHUP that it does not handle yet.
    ///
    /// # Errors
    /// If the system has no room for a handler.
    pub(crate) fn install(runtime: &Runtime) -> io::Result<Self> {
        let _guard = runtime.enter();
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
            print_counts: signal(SignalKind::user_defined1())?,
        })
    }
}
