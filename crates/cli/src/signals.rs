//! The signals that a server handles.

use std::io;
use tokio::runtime::Runtime;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// A stream for each handled signal.
pub(crate) struct Signals {
    /// SIGTERM: drain and exit.
    pub(crate) terminate: Signal,
    /// SIGINT: the same.
    pub(crate) interrupt: Signal,
    /// SIGHUP: reload the configuration.
    pub(crate) hangup: Signal,
    /// SIGUSR1: print the counters.
    pub(crate) print_counts: Signal,
}

impl Signals {
    /// Installs the handlers. To be called before the configuration is read, which may take seconds: a SIGHUP
    /// without a handler terminates the process.
    ///
    /// # Errors
    /// If a handler cannot be installed.
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
