//! Which queued request goes when there is too much.

use super::overload::OVERLOAD_SHARE;
use super::shared_constants::SAFETY_SHARE;
use super::AdmissionController;
use crate::host::Host;
use std::time::Duration;

/// Ratio of demand to quota from which a tenant's requests are shed first: far more than a swing of the load.
pub(super) const SHED_DEMAND_RATIO: f64 = 3.0;

impl AdmissionController {
    /// Guards against dying of memory, and against a flood that takes the capacity of others: the newest goes
    /// of who requests most over T, since its quota is met where nodes are faster than this one.
    pub(super) fn shed_load(&mut self, now: Duration, host: &mut dyn Host) {
        let objective = self
            .classes
            .iter()
            .map(|class| class.latency_objective)
            .min()
            .unwrap_or_default();
        loop {
            let no_memory = self.in_flight.memory_with(now, None) > SAFETY_SHARE;
            let overloaded =
                self.cores_busy && self.queue_wait() > objective.mul_f64(OVERLOAD_SHARE);
            if !no_memory && !overloaded {
                return;
            }
            let scale = self.quotas.target_scale(now);
            let queues = self
                .queues
                .iter()
                .flat_map(|queue| queue.by_account.iter().enumerate());
            let newest = queues.filter_map(|(account, queue)| Some((account, *queue.back()?)));
            let demand =
                newest.map(|(account, ix)| (self.quotas.usage(now, account, scale).requested, ix));
            let worst = demand.max_by(|a, b| a.0.total_cmp(&b.0));
            let Some((_, ix)) = worst.filter(|w| no_memory || w.0 > SHED_DEMAND_RATIO) else {
                return;
            };
            self.reject(now, host, ix, self.queue_wait());
        }
    }
}
