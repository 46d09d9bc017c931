//! Whether a request that has just been read is queued or rejected.
//!
//! [`decide`] checks in this order, and the first that holds is the reason:
//!
//! | reason | holds when |
//! | --- | --- |
//! | [`RejectReason::DeadlinePassed`] | its deadline is over |
//! | [`RejectReason::Draining`] | it reached the machine past the grace of a shutdown |
//! | [`RejectReason::NoTimeLeft`] | the cores are busy, and it can no longer be started in time ([`deadlines`](super::deadlines)) |
//! | [`RejectReason::Unhealthy`] | the node is unhealthy, and this is no probe ([`health`](super::health)) |
//! | [`RejectReason::OverQuota`] | the node is overloaded ([`overload`](super::overload)), and its tenant's delay is not over ([`tenant_quotas`](super::tenant_quotas)) |
//!
//! All times are on the controller's clock. Which delay a rejected request's caller is asked for is decided in
//! [`rejection`](super::rejection).
//!
//! Source: the last row is KIP-124's, with a rejection in place of a delayed response. The others are ours: they
//! keep cores from work whose answer would come too late.

use super::overload::is_overloaded;
use super::rejection::RejectReason;
use super::shared_constants::TICK_INTERVAL;
use super::AdmissionController;
use crate::host::Arrival;
use std::time::Duration;

/// What the decision depends on.
pub(super) struct AdmissionInputs {
    /// The time of the decision.
    pub(super) now: Duration,
    /// The last moment for an answer.
    pub(super) deadline: Duration,
    /// The last moment for a start.
    pub(super) start_by: Duration,
    /// Whether it reached the machine past the grace of a shutdown.
    pub(super) is_past_drain_grace: bool,
    /// Whether the cores read busy.
    pub(super) cores_busy: bool,
    /// Whether the node's health lets a request in now.
    pub(super) is_admitted_by_health: bool,
    /// Time that the queue takes to clear, and for which the request waited to be read.
    pub(super) wait: Duration,
    /// The latency objective of its class.
    pub(super) latency_objective: Duration,
    /// What is left of its tenant's delay.
    pub(super) quota_delay: Duration,
}

/// What becomes of a request that was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Decision {
    /// It is not run.
    Reject(RejectReason),
    /// It waits in its queue, at most until `start_by`.
    Enqueue {
        /// When it is rejected unless it was started.
        start_by: Duration,
    },
}

/// Decides on a request that was read.
pub(super) fn decide(inputs: &AdmissionInputs) -> Decision {
    let now = inputs.now;
    if inputs.deadline <= now {
        return Decision::Reject(RejectReason::DeadlinePassed);
    }
    if inputs.is_past_drain_grace {
        return Decision::Reject(RejectReason::Draining);
    }
    if inputs.cores_busy && now > inputs.start_by {
        return Decision::Reject(RejectReason::NoTimeLeft);
    }
    if !inputs.is_admitted_by_health {
        return Decision::Reject(RejectReason::Unhealthy);
    }
    let overloaded = is_overloaded(inputs.cores_busy, inputs.wait, inputs.latency_objective);
    if overloaded && inputs.quota_delay > Duration::ZERO {
        return Decision::Reject(RejectReason::OverQuota {
            delay: inputs.quota_delay,
        });
    }
    let next_tick = now + TICK_INTERVAL;
    Decision::Enqueue {
        start_by: inputs.start_by.max(next_tick).min(inputs.deadline),
    }
}

impl AdmissionController {
    /// Decides on request `index`, which `arrival` brought.
    pub(super) fn decide_admission(
        &mut self,
        now: Duration,
        index: usize,
        arrival: &Arrival,
    ) -> Decision {
        let inputs = self.admission_inputs(now, index, arrival);
        let decision = decide(&inputs);
        // On an unhealthy node only what is queued is a probe.
        if let Decision::Enqueue { .. } = decision {
            self.health.on_admitted(now);
        }
        decision
    }

    fn admission_inputs(
        &mut self,
        now: Duration,
        index: usize,
        arrival: &Arrival,
    ) -> AdmissionInputs {
        let usual_run = self.queues[arrival.class].usual_run(arrival.size_hint);
        let grace = self.advertiser.options.drain_grace;
        let wait = self.queue_wait() + arrival.waited;
        let request = self.in_flight.expect(index);
        AdmissionInputs {
            now,
            deadline: request.deadline,
            start_by: request.start_by(usual_run),
            is_past_drain_grace: self
                .shutdown
                .is_some_and(|shutdown| shutdown.refuses(request.arrived, grace)),
            cores_busy: self.cores_busy,
            is_admitted_by_health: self.health.admits(now),
            wait,
            latency_objective: request.class.latency_objective,
            quota_delay: self.quotas.delay(now, request.account),
        }
    }
}
