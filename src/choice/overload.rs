//! When a node counts as overloaded.

/// Share of the latency objective that the queue may take to clear before the node counts as overloaded.
pub(super) const OVERLOAD_SHARE: f64 = 0.15;
/// Gauge of the cores that reads busy: it averages half a second, so full cores read a little less than 1.
pub(super) const CORES_BUSY: f64 = 0.9;
