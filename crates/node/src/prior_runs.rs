//! Ends of runs that are not in the request table, as an earlier process of this node may have launched them.
//!
//! A launch is sent again after the agent's link broke. If the run has ended meanwhile, the agent answers the second copy
//! with the notice that nothing was started: that is true of the copy, not of the run. The first end of a trace is
//! therefore the one that counts.

use crate::request::Trace;
use rainstand_replicated_state::idempotent_request::RunEnd;
use std::collections::{HashSet, VecDeque};
use std::time::{Duration, Instant};

/// Maximum number of runs and of ended traces that are remembered, the oldest is dropped first: the agent replays as many
/// notices.
const MAX_RUNS: usize = 4_000;

/// How long a run is remembered whose key is not found.
const MAX_AGE: Duration = Duration::from_secs(30);

/// The end of a run that this process did not launch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PriorRun {
    /// Identifies the attempt.
    pub trace: Trace,
    /// How it ended.
    pub end: RunEnd,
    reported_at: Instant,
}

/// Ends that are to be reported to the group.
#[derive(Debug, Default)]
pub struct PriorRuns {
    pending: VecDeque<PriorRun>,
    /// Traces whose run has ended, oldest first.
    ended: VecDeque<Trace>,
    is_ended: HashSet<Trace>,
}

impl PriorRuns {
    /// Records that a run of this process ended; its end is reported with its request.
    pub fn on_own_run_ended(&mut self, trace: Trace) {
        if !self.is_ended.insert(trace) {
            return;
        }
        if self.ended.len() >= MAX_RUNS {
            let oldest = self.ended.pop_front();
            oldest.map(|trace| self.is_ended.remove(&trace));
        }
        self.ended.push_back(trace);
    }

    /// Remembers the end of a run that is not in the request table, unless an earlier end of it is known.
    pub fn remember(&mut self, trace: Trace, end: RunEnd, now: Instant) {
        if self.is_ended.contains(&trace) {
            return;
        }
        self.on_own_run_ended(trace);
        if self.pending.len() >= MAX_RUNS {
            self.pending.pop_front();
        }
        self.pending.push_back(PriorRun {
            trace,
            end,
            reported_at: now,
        });
    }

    /// Takes all ends that are to be reported.
    pub fn take(&mut self) -> VecDeque<PriorRun> {
        std::mem::take(&mut self.pending)
    }

    /// Returns a run whose key was not found yet, unless it is too old.
    pub fn put_back(&mut self, run: PriorRun, now: Instant) {
        if now.duration_since(run.reported_at) < MAX_AGE {
            self.pending.push_back(run);
        }
    }
}
