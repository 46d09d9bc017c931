//! Constants that several rules share: intervals, averaging spans and the reserve below hard bounds.

use std::time::Duration;

/// Time between two ticks.
pub(super) const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Time between an answer and its deadline, and between the end of a key's window and that of its cached
/// result: two ticks.
pub(super) const TIME_MARGIN: Duration = Duration::from_millis(40);
/// Decay span of what is usual: the mean charge, run times, call times.
pub(super) const MEAN_SPAN: Duration = Duration::from_secs(10);
/// Decay span of what is recent: call times and outcomes, failed runs, disk waits, retries among arrivals.
pub(super) const RECENT_SPAN: Duration = Duration::from_secs(2);
/// Weight of samples from which a mean counts as known: with fewer, one outlier decides.
pub(super) const MIN_SAMPLES: f64 = 4.0;
/// Weight of samples under which a mean is forgotten.
pub(super) const MIN_WEIGHT: f64 = 0.5;
/// Share of the bounds on concurrency, memory and downstream load that is used; the rest is a reserve.
pub(super) const SAFETY_SHARE: f64 = 0.8;
