//! How long an idle connection of a caller stays open.
//!
//! The idle timeout starts at that of the callers. Every [`ADJUST_INTERVAL`] it is halved while at least
//! [`CONNECTIONS_PER_CORE`] connections per core are open and there are more than [`CALLERS_PER_CORE`] callers per
//! core; otherwise it doubles, up to that of the callers. An open connection costs work even if it is never used
//! again, and a full connection table rejects callers before their requests are read. With few callers, each is
//! likely to use its connection again soon, and a new connection costs work too.
//!
//! Inputs: open connections (a gauge; a missing one counts as none), cores, the number of callers and their own
//! idle timeout (settings). Not in KIP-124.

use super::shared_constants::TICK_INTERVAL;
use crate::options::ClientConnections;
use std::time::Duration;

/// Time between two adjustments.
const ADJUST_INTERVAL: Duration = Duration::from_secs(1);
/// Open connections per core from which the idle timeout may be lowered.
const CONNECTIONS_PER_CORE: f64 = 6.0;
/// Callers per core up to which the idle timeout is never lowered.
const CALLERS_PER_CORE: f64 = 10.0;
/// Factor applied to the idle timeout while too many connections are open.
const IDLE_TIMEOUT_DECREASE: f64 = 0.5;
/// Factor applied to the idle timeout at any other adjustment.
const IDLE_TIMEOUT_INCREASE: f64 = 2.0;

/// The idle timeout of callers' connections.
pub(super) struct IdleConnections {
    timeout: Duration,
    last_adjusted: Duration,
}

impl IdleConnections {
    /// Starts with the idle timeout of the callers.
    pub(super) fn new(clients: ClientConnections) -> Self {
        Self {
            timeout: clients.idle_timeout,
            last_adjusted: Duration::ZERO,
        }
    }

    /// Limits the timeout to the current idle timeout of the callers.
    pub(super) fn cap(&mut self, clients: ClientConnections) {
        self.timeout = self.timeout.min(clients.idle_timeout);
    }

    /// Adjusts the timeout to the number of `open` connections if an adjustment is due; returns it if it changed.
    pub(super) fn adjust(
        &mut self,
        now: Duration,
        open: f64,
        cores: usize,
        clients: ClientConnections,
    ) -> Option<Duration> {
        if now < self.last_adjusted + ADJUST_INTERVAL {
            return None;
        }
        self.last_adjusted = now;
        let cores = cores as f64;
        let few_open = open < CONNECTIONS_PER_CORE * cores;
        let few_callers = clients.callers as f64 <= CALLERS_PER_CORE * cores;
        let factor = if few_open || few_callers {
            IDLE_TIMEOUT_INCREASE
        } else {
            IDLE_TIMEOUT_DECREASE
        };
        let timeout = self
            .timeout
            .mul_f64(factor)
            .max(TICK_INTERVAL)
            .min(clients.idle_timeout);
        let before = std::mem::replace(&mut self.timeout, timeout);
        (before != timeout).then_some(timeout)
    }
}
