//! Which queued request is shed when memory or the queues are over their bounds.
//!
//! Requests are shed while the requests in flight take more than [`SAFETY_SHARE`] of the memory, or while the node
//! is overloaded ([`overload`](super::overload)) for its shortest latency objective. The request that is shed is the
//! newest of the tenant with the highest ratio of demand to target ([`tenant_quotas`](super::tenant_quotas)). Under
//! overload alone, it is shed only if that ratio is above [`SHED_DEMAND_RATIO`]: a lower one is a fluctuation of the
//! load, and if all tenants request slightly too much, none of them is shed.
//!
//! The criterion is the demand, not the core time spent: on a node slower than the others all tenants spend less than
//! their targets, and a tenant that floods the node would take the capacity of tenants within their quotas.
//!
//! Inputs: memory in use (share), the time the queue takes to clear, demand of each tenant (multiples of T). Not in
//! KIP-124.

use super::overload::is_overloaded;
use super::rejection::RejectReason;
use super::scheduling::ClassQueue;
use super::shared_constants::SAFETY_SHARE;
use super::AdmissionController;
use crate::host::Host;
use std::time::Duration;

/// Ratio of demand to target above which a tenant's requests are shed under overload.
const SHED_DEMAND_RATIO: f64 = 3.0;

/// A request that may be shed.
struct ShedCandidate {
    /// Core time that all requests of its tenant would take, as a multiple of the tenant's target.
    demand: f64,
    index: usize,
}

impl AdmissionController {
    /// Rejects queued requests until memory and queues are within their bounds.
    pub(super) fn shed_load(&mut self, now: Duration, host: &mut dyn Host) {
        let objectives = self.classes.iter().map(|class| class.latency_objective);
        let shortest_objective = objectives.min().unwrap_or_default();
        loop {
            let out_of_memory = self.in_flight.memory_share(now) > SAFETY_SHARE;
            let overloaded = is_overloaded(self.cores_busy, self.queue_wait(), shortest_objective);
            if !out_of_memory && !overloaded {
                return;
            }
            let candidate = self.shed_candidate(now);
            let shed =
                candidate.filter(|candidate| out_of_memory || candidate.demand > SHED_DEMAND_RATIO);
            let Some(ShedCandidate { index, .. }) = shed else {
                return;
            };
            self.reject(now, host, index, RejectReason::Overloaded);
        }
    }

    /// The newest request of the tenant with the highest ratio of demand to target.
    fn shed_candidate(&self, now: Duration) -> Option<ShedCandidate> {
        let scale = self.quotas.target_scale(now);
        let newest = self.queues.iter().flat_map(ClassQueue::newest);
        let candidates = newest.map(|(account, index)| ShedCandidate {
            demand: self.quotas.usage(now, account, scale).requested,
            index,
        });
        candidates.max_by(|a, b| a.demand.total_cmp(&b.demand))
    }
}
