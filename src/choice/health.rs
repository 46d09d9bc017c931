//! Whether the node is healthy: whether runs end, and end well.
//!
//! It becomes unhealthy when more than [`UNHEALTHY_ABOVE`] of its recent runs failed, or when runs hang: none
//! ended for [`HUNG_RUNS`] usual runs, and at least [`MIN_HUNG_TIME`], while some were under way. It is healthy
//! again when no run hangs and at most [`HEALTHY_BELOW`] of the recent ones failed. An unhealthy node advertises
//! itself as unavailable ([`load_advertisement`](super::load_advertisement)) and admits one request each
//! [`PROBE_INTERVAL`], which shows whether it has recovered.
//!
//! Inputs: the ends of runs, the usual run of the slowest class (time). Not in KIP-124.

use super::shared_constants::{MIN_SAMPLES, RECENT_SPAN};
use crate::decay::Mean;
use crate::host::Outcome;
use std::time::Duration;

/// Share of recent runs that failed above which a node becomes unhealthy.
const UNHEALTHY_ABOVE: f64 = 0.3;
/// Share of recent runs that failed up to which an unhealthy node recovers.
const HEALTHY_BELOW: f64 = 0.1;
/// Usual runs without a completion after which runs hang.
const HUNG_RUNS: f64 = 5.0;
/// Time without a completion before which no run hangs.
const MIN_HUNG_TIME: Duration = Duration::from_millis(1_500);
/// Time between two requests that an unhealthy node admits.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Whether runs end, and end well.
#[derive(Default)]
pub(super) struct HealthMonitor {
    failures: Mean,
    last_completion: Duration,
    unhealthy: bool,
    /// When a request was last queued; while unhealthy, that was a probe.
    last_admitted: Duration,
}

impl HealthMonitor {
    /// The node begins its work.
    pub(super) fn begin(&mut self, now: Duration) {
        self.last_completion = now;
    }

    /// The process stood still for `span`: no run could end meanwhile.
    pub(super) fn on_stall(&mut self, span: Duration) {
        self.last_completion += span;
    }

    /// A run ended; one that was cancelled shows nothing.
    pub(super) fn on_run_ended(&mut self, now: Duration, outcome: Outcome) {
        let failure = match outcome {
            Outcome::Succeeded => 0.0,
            Outcome::Failed => 1.0,
            _ => return,
        };
        self.last_completion = now;
        self.failures.add(now, failure, RECENT_SPAN);
    }

    /// Brings the state up to date. `usual_run`: of the class whose runs take longest.
    pub(super) fn update(&mut self, now: Duration, any_running: bool, usual_run: Duration) {
        if !any_running {
            self.last_completion = now;
        }
        let max_gap = usual_run.mul_f64(HUNG_RUNS).max(MIN_HUNG_TIME);
        let hung = now.saturating_sub(self.last_completion) > max_gap;
        let (min_samples, bound) = if self.unhealthy {
            (0.0, HEALTHY_BELOW)
        } else {
            (MIN_SAMPLES, UNHEALTHY_ABOVE)
        };
        self.unhealthy = hung || self.failures.known(now, RECENT_SPAN, min_samples) > Some(bound);
    }

    /// Whether the node is unhealthy, as of the last update.
    pub(super) fn is_unhealthy(&self) -> bool {
        self.unhealthy
    }

    /// Whether a request is let in now: on an unhealthy node as a probe only.
    pub(super) fn admits(&self, now: Duration) -> bool {
        !self.unhealthy || now >= self.last_admitted + PROBE_INTERVAL
    }

    /// A request was queued.
    pub(super) fn on_admitted(&mut self, now: Duration) {
        self.last_admitted = now;
    }
}
