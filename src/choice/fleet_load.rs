//! Whether the other nodes of the fleet seem overloaded too.
//!
//! Nodes do not exchange their load, but retries show it: a request that another node rejected arrives here as a
//! retry. While the cores are busy and more than [`FLEET_OVERLOAD_RETRIES`] of recent arrivals were retries, the other
//! nodes are assumed to be overloaded. If callers do not mark retries, busy cores alone suffice. A rejected caller is
//! then asked not to try another node ([`rejection`](super::rejection)). Not in KIP-124.

use super::shared_constants::RECENT_SPAN;
use crate::decay::Mean;
use std::time::Duration;

/// Share of retries among recent arrivals above which other nodes are assumed to be overloaded too.
const FLEET_OVERLOAD_RETRIES: f64 = 0.12;

/// Estimates the load of the other nodes from the retries among arrivals.
#[derive(Default)]
pub(super) struct FleetLoad {
    retry_share: Mean,
}

impl FleetLoad {
    /// Counts a request that was read.
    pub(super) fn record_arrival(&mut self, now: Duration, is_retry: bool) {
        let retry = if is_retry { 1.0 } else { 0.0 };
        self.retry_share.add(now, retry, RECENT_SPAN);
    }

    /// Whether the other nodes seem overloaded. `retries_marked`: whether callers mark their retries.
    pub(super) fn is_overloaded(&self, cores_busy: bool, retries_marked: bool) -> bool {
        let many_retries = self.retry_share.read() > Some(FLEET_OVERLOAD_RETRIES);
        cores_busy && (!retries_marked || many_retries)
    }
}
