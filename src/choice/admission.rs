//! Whether a request that has just been read is queued or rejected.
//!
//! [`decide`] checks these conditions in order; the first one that holds is the reason:
//!
//! | reason | holds when |
//! | --- | --- |
//! | [`RejectReason::DeadlinePassed`] | its deadline has passed |
//! | [`RejectReason::Draining`] | it reached the machine after the grace period of a shutdown |
//! | [`RejectReason::NoTimeLeft`] | the cores are busy, and its latest start has passed ([`deadlines`](super::deadlines)) |
//! | [`RejectReason::Unhealthy`] | the node is unhealthy, and no probe is due ([`health`](super::health)) |
//! | [`RejectReason::OverQuota`] | the node is overloaded ([`overload`](super::overload)), and the delay of its tenant has not ended ([`tenant_quotas`](super::tenant_quotas)) |
//!
//! All times are on the controller's clock. [`rejection`](super::rejection) decides the retry-after.
//!
//! Source: the last row is from KIP-124, with a rejection in place of a delayed response. The other rows are not: they
//! keep the cores free of work whose answer would come too late.

use super::overload::is_overloaded;
use super::rejection::RejectReason;
use super::shared_constants::TICK_INTERVAL;
use super::AdmissionController;
use crate::host::Arrival;
use std::time::Duration;

/// Inputs of the decision on one request.
pub(super) struct AdmissionInputs {
    /// The time of the decision.
    pub(super) now: Duration,
    /// The latest time for the answer.
    pub(super) deadline: Duration,
    /// The latest time for the start of the run.
    pub(super) start_by: Duration,
    /// Whether the request reached the machine after the grace period of a shutdown.
    pub(super) is_past_drain_grace: bool,
    /// Whether the cores gauge reads busy.
    pub(super) cores_busy: bool,
    /// Whether the node is healthy, or the request may be a probe.
    pub(super) is_admitted_by_health: bool,
    /// Time the queue takes to clear, plus the time the request waited to be read.
    pub(super) wait: Duration,
    /// The latency objective of the request's class.
    pub(super) latency_objective: Duration,
    /// Remaining delay of the request's tenant.
    pub(super) quota_delay: Duration,
}

/// The decision on a request that was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Decision {
    /// The request is rejected without a run.
    Reject(RejectReason),
    /// The request is queued.
    Enqueue {
        /// When the request is rejected if it has not been started.
        start_by: Duration,
    },
}

/// Decides whether a request is queued or rejected.
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
    /// Decides on request `index`, created from `arrival`.
    pub(super) fn decide_admission(
        &mut self,
        now: Duration,
        index: usize,
        arrival: &Arrival,
    ) -> Decision {
        let inputs = self.admission_inputs(now, index, arrival);
        let decision = decide(&inputs);
        // On an unhealthy node a request counts as a probe only if it is queued.
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
                .is_some_and(|shutdown| shutdown.rejects(request.arrived, grace)),
            cores_busy: self.cores_busy,
            is_admitted_by_health: self.health.admits(now),
            wait,
            latency_objective: request.class.latency_objective,
            quota_delay: self.quotas.delay(now, request.account),
        }
    }
}
