//! How a run begins, and what its end teaches.

use super::shared_constants::{MEAN_SPAN, RECENT_SPAN};
use super::tenant_quotas::WINDOW;
use super::AdmissionController;
use crate::host::{Host, Outcome};
use crate::in_flight::Stage;
use std::time::Duration;

/// When a run began.
#[derive(Clone, Copy)]
pub(super) struct RunStart {
    /// Time of the order to run.
    pub(super) at: Duration,
    /// How long the process had stood still by then, since its start.
    pub(super) stalled: Duration,
}

impl AdmissionController {
    pub(super) fn start_run(&mut self, now: Duration, host: &mut dyn Host, ix: usize) {
        let start = RunStart {
            at: now,
            stalled: self.stalled,
        };
        self.in_flight.set_stage(ix, Stage::Running);
        let request = self.in_flight.expect(ix);
        request.after_run = Some(Box::new(move |node, at, host, ix, end| {
            node.end_run(at, host, ix, end, start);
        }));
        let queue = &mut self.queues[request.class_index];
        queue.by_account[request.account].retain(|&other| other != ix);
        let size = request
            .size_hint
            .map_or(queue.run_time.read().unwrap_or(1.0), |hint| {
                hint.as_secs_f64()
            });
        let work = if self.by_work { size } else { 1.0 };
        queue.virtual_time += work
            / self.classes[request.class_index]
                .value
                .max(f64::MIN_POSITIVE);
        self.in_flight.set_timer_to_deadline(ix);
        host.run(ix);
    }

    pub(super) fn end_run(
        &mut self,
        now: Duration,
        host: &mut dyn Host,
        ix: usize,
        outcome: Outcome,
        start: RunStart,
    ) {
        let (running, request) = (self.in_flight.running().max(1), self.in_flight.expect(ix));
        let last_call = now.saturating_sub(request.call_requested);
        let calls = request.call_wait + last_call * u32::from(request.stage != Stage::Running);
        if outcome == Outcome::Cancelled && !request.answered {
            // Cancelled, but not by an order from here: it ran, so only an error is left.
            host.fail(ix);
        }
        if request.stage == Stage::Calling {
            self.downstream
                .on_call_ended(now, request.call, Outcome::Cancelled);
        }
        if outcome == Outcome::NeverStarted {
            // Against made-up requests: what could not run is no tenant's demand, and shows no run time.
            self.quotas.requested[request.account].add(now, -1.0, WINDOW);
            return self.release(host, ix);
        }
        let stalled = self.stalled.saturating_sub(start.stalled);
        let spent = now.saturating_sub(start.at + calls + stalled).as_secs_f64();
        let cores_per_run = (self.limiter.cores as f64 / running as f64).min(1.0);
        self.quotas
            .charge_run(now, request.account, spent * cores_per_run);
        let succeeded = outcome == Outcome::Succeeded;
        if matches!(outcome, Outcome::Succeeded | Outcome::Failed) {
            self.health.last_completion = now;
            self.health
                .failures
                .add(now, if succeeded { 0.0 } else { 1.0 }, RECENT_SPAN);
        }
        let run_time = now.saturating_sub(start.at).as_secs_f64();
        let queue = &mut self.queues[request.class_index];
        self.limiter.round.completions += u32::from(succeeded);
        // A run cut off counts where it already took longer than usual, else only short ones would.
        if succeeded || Some(run_time) > queue.run_time.read() {
            queue.run_time.add(now, run_time, MEAN_SPAN);
            if let Some(hint) = request.size_hint {
                queue
                    .size_hint
                    .add(now, hint.as_secs_f64().max(f64::MIN_POSITIVE), MEAN_SPAN);
            }
        }
        self.release(host, ix);
    }
}
