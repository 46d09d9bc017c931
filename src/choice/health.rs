//! Whether runs end, and end well.

use super::shared_constants::{MIN_SAMPLES, RECENT_SPAN};
use crate::decay::Mean;
use std::time::Duration;

/// Share of recent runs that failed above which a node becomes unhealthy, and up to which it recovers.
pub(super) const UNHEALTHY_ABOVE: f64 = 0.3;
pub(super) const HEALTHY_BELOW: f64 = 0.1;
/// No completion for so many usual runs, and at least for this long: runs hang.
pub(super) const HUNG_RUNS: f64 = 5.0;
pub(super) const MIN_HUNG_TIME: Duration = Duration::from_millis(1_500);
/// An unhealthy node admits one request this often.
pub(super) const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Whether runs end, and end well.
#[derive(Default)]
pub(super) struct HealthMonitor {
    pub(super) failures: Mean,
    pub(super) last_completion: Duration,
    pub(super) unhealthy: bool,
    pub(super) last_probe: Duration,
}

impl HealthMonitor {
    pub(super) fn update(&mut self, now: Duration, any_running: bool, usual_run: Duration) {
        if !any_running {
            self.last_completion = now;
        }
        let hung = now.saturating_sub(self.last_completion)
            > usual_run.mul_f64(HUNG_RUNS).max(MIN_HUNG_TIME);
        let (min_samples, bound) = if self.unhealthy {
            (0.0, HEALTHY_BELOW)
        } else {
            (MIN_SAMPLES, UNHEALTHY_ABOVE)
        };
        self.unhealthy = hung || self.failures.known(now, RECENT_SPAN, min_samples) > Some(bound);
    }

    pub(super) fn admits(&mut self, now: Duration) -> bool {
        let admitted = !self.unhealthy || now >= self.last_probe + PROBE_INTERVAL;
        self.last_probe = if admitted { now } else { self.last_probe };
        admitted
    }
}
