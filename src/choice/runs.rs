//! The start and the end of a run: what it is charged, and which statistics it updates.
//!
//! A tenant is charged the time from the order to run to the end of the run, minus waits for downstream calls and
//! minus the time for which the process was stalled ([`stalls`](super::stalls)); [`run_charge`] converts it to core
//! time. Runs that failed or were cancelled are charged too, because they used the cores. A run that could not be
//! started is not charged, does not count as demand of its tenant and updates no statistics.
//!
//! Source: KIP-124 records the time on the broker's threads. Subtracting waits is our addition, because a run keeps
//! its slot while it waits.

use super::tenant_quotas::run_charge;
use super::AdmissionController;
use crate::host::{Host, Outcome};
use crate::in_flight::{Request, RunStart, Stage};
use std::time::Duration;

/// Time that a request has spent on downstream calls, including the current one.
fn call_wait(now: Duration, request: &Request) -> Duration {
    match request.stage {
        Stage::Running => request.call_wait,
        _ => request.call_wait + now.saturating_sub(request.call_requested),
    }
}

impl AdmissionController {
    /// Starts the run of a queued request.
    pub(super) fn start_run(&mut self, now: Duration, host: &mut dyn Host, index: usize) {
        let start = RunStart {
            time: now,
            stalled: self.stalls.total(),
        };
        self.in_flight.begin_run(index, start);
        let request = self.in_flight.expect(index);
        let weight = self.classes[request.class_index].value;
        let queue = &mut self.queues[request.class_index];
        queue.remove(request.account, index);
        queue.charge_start(request.size_hint, self.by_work, weight);
        self.in_flight.set_timer_to_deadline(index);
        host.run(index);
    }

    /// Handles the end of a run, or a run that could not be started.
    pub(super) fn end_run(
        &mut self,
        now: Duration,
        host: &mut dyn Host,
        index: usize,
        outcome: Outcome,
    ) {
        let request = self.in_flight.expect(index);
        let Some(start) = request.run_start else {
            return;
        };
        if outcome == Outcome::Cancelled && !request.answered {
            // Cancelled, but not on an order of this controller: it may have run, so it can only fail.
            host.fail(index);
        }
        if request.stage == Stage::Calling {
            self.downstream
                .on_call_ended(now, request.call, Outcome::Cancelled);
        }
        if outcome == Outcome::NeverStarted {
            self.quotas.withdraw_request(now, request.account);
        } else {
            self.charge_run(now, index, start);
            self.record_run_statistics(now, index, start, outcome);
        }
        self.release(host, index);
    }

    fn charge_run(&mut self, now: Duration, index: usize, start: RunStart) {
        let running = self.in_flight.running().max(1);
        let request = self.in_flight.expect(index);
        let stalled = self.stalls.total().saturating_sub(start.stalled);
        let waits = call_wait(now, request) + stalled;
        let time = now.saturating_sub(start.time + waits);
        let charge = run_charge(time, self.limiter.cores(), running);
        self.quotas.charge_run(now, request.account, charge);
    }

    fn record_run_statistics(
        &mut self,
        now: Duration,
        index: usize,
        start: RunStart,
        outcome: Outcome,
    ) {
        let succeeded = outcome == Outcome::Succeeded;
        if succeeded {
            self.limiter.on_run_succeeded();
        }
        self.health.on_run_ended(now, outcome);
        let request = self.in_flight.expect(index);
        let run_time = now.saturating_sub(start.time);
        self.queues[request.class_index].record_run(now, run_time, request.size_hint, succeeded);
    }
}
