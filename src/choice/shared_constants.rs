//! Constants that several rules use: intervals, averaging spans and the reserve below hard bounds.

use std::time::Duration;

/// Time between two ticks.
pub(super) const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// How far an answer's deadline is brought forward, and how much longer than its key's window a result is cached: two
/// ticks.
pub(super) const TIME_MARGIN: Duration = Duration::from_millis(40);
/// Decay span of usual values: mean charge, run times, call times, call losses.
pub(super) const MEAN_SPAN: Duration = Duration::from_secs(10);
/// Decay span of recent values: call times and outcomes, failed runs, disk waits, retries among arrivals.
pub(super) const RECENT_SPAN: Duration = Duration::from_secs(2);
/// Weight of samples from which a mean is used: with fewer samples, one outlier would dominate it.
pub(super) const MIN_SAMPLES: f64 = 4.0;
/// Weight of samples below which a mean is too old to be used.
pub(super) const MIN_WEIGHT: f64 = 0.5;
/// Share of the bounds on concurrency, memory and downstream load that may be used; the rest is a reserve.
pub(super) const SAFETY_SHARE: f64 = 0.8;
