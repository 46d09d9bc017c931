//! Which queued request is shed when there is too much.
//!
//! Requests are shed while the requests in flight take more than [`SAFETY_SHARE`] of the memory, or while the node
//! is overloaded ([`overload`](super::overload)) for its shortest latency objective. The one that goes is the
//! newest of the tenant that requested most over its target ([`tenant_quotas`](super::tenant_quotas)). Under
//! overload alone it goes only if that is more than [`SHED_DEMAND_RATIO`] times the target; less is a swing of the
//! load, and where all request a little too much nobody is shed for it.
//!
//! What was requested decides, not what was spent: on a node slower than others all spend less than their targets,
//! and a tenant that floods would take the capacity of those within theirs.
//!
//! Inputs: memory in use (share), the time that the queue takes, demand of each tenant (multiples of T). Not in
//! KIP-124.

use super::overload::is_overloaded;
use super::rejection::RejectReason;
use super::scheduling::ClassQueue;
use super::shared_constants::SAFETY_SHARE;
use super::AdmissionController;
use crate::host::Host;
use std::time::Duration;

/// Demand over the target above which a tenant's requests are shed under overload.
const SHED_DEMAND_RATIO: f64 = 3.0;

/// A request that may be shed.
struct ShedCandidate {
    /// Core time that its tenant's requests would take, over its target.
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
            let shed = candidate.filter(|c| out_of_memory || c.demand > SHED_DEMAND_RATIO);
            let Some(ShedCandidate { index, .. }) = shed else {
                return;
            };
            self.reject(now, host, index, RejectReason::Overloaded);
        }
    }

    /// The newest request of the tenant that requested most over its target.
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
