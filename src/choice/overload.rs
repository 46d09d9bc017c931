//! When this node counts as overloaded.
//!
//! It is overloaded while its cores gauge reads busy and the queue would take more than [`OVERLOAD_SHARE`] of a
//! latency objective to clear. Overload alone rejects no request: it enables quotas ([`admission`](super::admission))
//! and shedding ([`load_shedding`](super::load_shedding)).
//!
//! Inputs: the cores gauge (share of the cores, 0 to 1; a missing gauge counts as busy), the wait ahead of a
//! request (time), the latency objective (time).
//!
//! A departure from KIP-124, which throttles a tenant over its quota at any load: here a tenant may use capacity that
//! no other tenant waits for.

use crate::host::Gauges;
use std::time::Duration;

/// Share of the latency objective that the queue may take to clear before the node is overloaded.
const OVERLOAD_SHARE: f64 = 0.15;
/// Share of the cores in use from which they count as busy; the gauge averages half a second.
const CORES_BUSY: f64 = 0.9;

/// Whether the cores are busy.
pub(super) fn cores_are_busy(gauges: Gauges) -> bool {
    gauges.cores_busy.is_none_or(|busy| busy >= CORES_BUSY)
}

/// Whether the node is overloaded for requests of this latency objective, with `wait` ahead of the next one.
pub(super) fn is_overloaded(cores_busy: bool, wait: Duration, latency_objective: Duration) -> bool {
    cores_busy && wait > latency_objective.mul_f64(OVERLOAD_SHARE)
}
