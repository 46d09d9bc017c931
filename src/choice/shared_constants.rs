//! Constants that several rules share.

use std::time::Duration;

/// Between ticks: half of `TIME_MARGIN`, and cheap.
pub(super) const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Between an answer and its deadline, or a key's window and its cached result's end: two ticks.
pub(super) const TIME_MARGIN: Duration = Duration::from_millis(40);
/// Decay span of the mean charge and run times: some hundred runs, yet it follows a slowed machine.
pub(super) const MEAN_SPAN: Duration = Duration::from_secs(10);
/// Decay span of recent call times and of health: a few tens of completions.
pub(super) const RECENT_SPAN: Duration = Duration::from_secs(2);
/// Samples before a mean counts as known: with fewer, one outlier decides.
pub(super) const MIN_SAMPLES: f64 = 4.0;
/// Weight under which a mean is forgotten: a single sample, two thirds of the span ago.
pub(super) const MIN_WEIGHT: f64 = 0.5;
/// Share of the bounds on concurrency, memory and downstream load that is used: the rest is a reserve.
pub(super) const SAFETY_SHARE: f64 = 0.8;
