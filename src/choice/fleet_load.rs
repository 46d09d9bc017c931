//! Whether the other nodes of the fleet seem overloaded too.
//!
//! No node tells another of its load, but retries do: a request that another node rejected comes here as a retry.
//! While the cores here are busy and more than [`FLEET_OVERLOAD_RETRIES`] of recent arrivals were retries, others
//! are taken to be overloaded. Where callers mark no retries, busy cores here must do. A rejected caller is then
//! asked not to try another node ([`rejection`](super::rejection)). Not in KIP-124.

use super::shared_constants::RECENT_SPAN;
use crate::decay::Mean;
use std::time::Duration;

/// Share of retries among recent arrivals above which other nodes are taken to be overloaded too.
const FLEET_OVERLOAD_RETRIES: f64 = 0.12;

/// What the retries among arrivals show of the other nodes.
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
