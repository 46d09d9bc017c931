//! Whether the node is healthy: whether its runs end, and succeed.
//!
//! A node becomes unhealthy when more than [`UNHEALTHY_ABOVE`] of its recent runs failed, or when runs hang: some are
//! running, but none has ended for [`HUNG_RUNS`] usual run times and at least [`MIN_HUNG_TIME`]. It becomes healthy
//! again when no run hangs and at most [`HEALTHY_BELOW`] of its recent runs failed. An unhealthy node advertises
//! itself as unavailable ([`load_advertisement`](super::load_advertisement)) and admits one request per
//! [`PROBE_INTERVAL`] as a probe, which shows whether the node has recovered.
//!
//! Inputs: outcomes of runs, the usual run time of the slowest class. Not in KIP-124.

use super::shared_constants::{MIN_SAMPLES, RECENT_SPAN};
use crate::decay::Mean;
use crate::host::Outcome;
use std::time::Duration;

/// Share of failed runs above which a node becomes unhealthy.
const UNHEALTHY_ABOVE: f64 = 0.3;
/// Share of failed runs up to which an unhealthy node becomes healthy again.
const HEALTHY_BELOW: f64 = 0.1;
/// Time without a completion after which runs hang, in usual run times.
const HUNG_RUNS: f64 = 5.0;
/// Lower bound of the time without a completion after which runs hang.
const MIN_HUNG_TIME: Duration = Duration::from_millis(1_500);
/// Time between two probes, the only requests that an unhealthy node admits.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Tracks the outcomes of runs.
#[derive(Default)]
pub(super) struct HealthMonitor {
    failures: Mean,
    last_completion: Duration,
    unhealthy: bool,
    /// When a request was last queued; on an unhealthy node, when the last probe was.
    last_admitted: Duration,
}

impl HealthMonitor {
    /// The node starts.
    pub(super) fn begin(&mut self, now: Duration) {
        self.last_completion = now;
    }

    /// The process was stalled for `span`, during which no run could end.
    pub(super) fn on_stall(&mut self, span: Duration) {
        self.last_completion += span;
    }

    /// A run ended. Only successes and failures count: a cancelled run tells nothing about the node's health.
    pub(super) fn on_run_ended(&mut self, now: Duration, outcome: Outcome) {
        let failure = match outcome {
            Outcome::Succeeded => 0.0,
            Outcome::Failed => 1.0,
            _ => return,
        };
        self.last_completion = now;
        self.failures.add(now, failure, RECENT_SPAN);
    }

    /// Updates the state. `usual_run`: usual run time of the class whose runs take longest.
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

    /// Whether the node was unhealthy at the last update.
    pub(super) fn is_unhealthy(&self) -> bool {
        self.unhealthy
    }

    /// Whether a request is admitted now: on an unhealthy node only as a probe.
    pub(super) fn admits(&self, now: Duration) -> bool {
        !self.unhealthy || now >= self.last_admitted + PROBE_INTERVAL
    }

    /// A request was queued.
    pub(super) fn on_admitted(&mut self, now: Duration) {
        self.last_admitted = now;
    }
}
