//! How long an idle connection of a caller stays open.
//!
//! At first as long as callers keep one. Once each [`ADJUST_INTERVAL`] the time is halved while
//! [`CONNECTIONS_PER_CORE`] connections a core or more are open and there are more than [`CALLERS_PER_CORE`]
//! callers a core; else it doubles again. An open connection costs work even if nobody uses it again, and a full
//! table refuses callers before their requests are read; few callers come back before long, and opening a
//! connection anew costs work too.
//!
//! Inputs: open connections (a gauge; a missing one counts as none), cores, the number of callers and their own
//! idle timeout (settings). Not in KIP-124.

use super::shared_constants::TICK_INTERVAL;
use crate::options::ClientConnections;
use std::time::Duration;

/// Time between two adjustments.
const ADJUST_INTERVAL: Duration = Duration::from_secs(1);
/// Open connections a core from which idle ones may close sooner.
const CONNECTIONS_PER_CORE: f64 = 6.0;
/// Callers a core up to which idle connections never close sooner.
const CALLERS_PER_CORE: f64 = 10.0;
/// Factor of the idle timeout at an adjustment while too many connections are open.
const IDLE_TIMEOUT_DECREASE: f64 = 0.5;
/// Factor of the idle timeout at any other adjustment.
const IDLE_TIMEOUT_INCREASE: f64 = 2.0;

/// The idle timeout of callers' connections.
pub(super) struct IdleConnections {
    timeout: Duration,
    last_adjusted: Duration,
}

impl IdleConnections {
    /// Idle connections stay as long as callers keep them.
    pub(super) fn new(clients: ClientConnections) -> Self {
        Self {
            timeout: clients.idle_timeout,
            last_adjusted: Duration::ZERO,
        }
    }

    /// Lowers the timeout to one that callers have now.
    pub(super) fn cap(&mut self, clients: ClientConnections) {
        self.timeout = self.timeout.min(clients.idle_timeout);
    }

    /// Adjusts the timeout if that is due, to the connections that are `open`; the new one if it changed.
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
