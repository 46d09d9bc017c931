//! What callers learn of a node.

use super::concurrency_limit::LEARNING_ROUND;
use super::shared_constants::TICK_INTERVAL;
use crate::decay::Mean;
use crate::host::Host;
use crate::options::AdvertiserOptions;
use std::time::Duration;

/// Open connections a core past which idle ones close sooner, and callers a core up to which none do.
pub(super) const CONNECTIONS_PER_CORE: f64 = 6.0;
pub(super) const CALLERS_PER_CORE: f64 = 10.0;
/// Factors of the idle timeout, once a round.
pub(super) const IDLE_TIMEOUT_DECREASE: f64 = 0.5;
pub(super) const IDLE_TIMEOUT_INCREASE: f64 = 2.0;

/// A shutdown notice.
#[derive(Clone, Copy)]
pub(super) struct Shutdown {
    /// When it came.
    pub(super) noticed: Duration,
    /// By when all requests must be answered.
    pub(super) deadline: Duration,
}

/// What callers learn of a node: when to retry, its load, its health, and that it is stopping.
#[derive(Default)]
pub struct LoadAdvertiser {
    pub(super) options: AdvertiserOptions,
    pub(super) retry_share: Mean,
    pub(super) shutdown: Option<Shutdown>,
    pub(super) unavailable: bool,
    pub(super) idle_timeout: Duration,
    pub(super) trimmed: Duration,
}

impl LoadAdvertiser {
    /// An advertiser that has sent nothing yet.
    pub fn new(options: AdvertiserOptions) -> Self {
        Self {
            options,
            idle_timeout: options.clients.idle_timeout,
            ..Self::default()
        }
    }

    /// Guards against a table full of connections that nobody uses again: it slows all work, and refuses
    /// callers unseen, also while much is rejected, since each of many callers comes here seldom.
    pub(super) fn trim_connections(
        &mut self,
        now: Duration,
        host: &mut dyn Host,
        open: f64,
        cores: usize,
    ) {
        if now < self.trimmed + LEARNING_ROUND {
            return;
        }
        let (clients, cores) = (self.options.clients, cores as f64);
        let few = open < CONNECTIONS_PER_CORE * cores
            || clients.callers as f64 <= CALLERS_PER_CORE * cores;
        let factor = if few {
            IDLE_TIMEOUT_INCREASE
        } else {
            IDLE_TIMEOUT_DECREASE
        };
        let timeout = self
            .idle_timeout
            .mul_f64(factor)
            .max(TICK_INTERVAL)
            .min(clients.idle_timeout);
        self.trimmed = now;
        if std::mem::replace(&mut self.idle_timeout, timeout) != timeout {
            host.close_idle_after(timeout);
        }
    }

    /// Asks callers to keep away, or to come again.
    pub(super) fn set_unavailable(&mut self, host: &mut dyn Host, unavailable: bool) {
        if std::mem::replace(&mut self.unavailable, unavailable) == unavailable {
            return;
        }
        host.set_health(!unavailable);
        if let Some(value) = self.options.signal.value_for(unavailable) {
            host.advertise_load(value);
        }
    }
}
