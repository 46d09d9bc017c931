//! How an [`AdmissionController`] is put together from its parts.

use super::health::HealthMonitor;
use super::scheduling::ClassQueue;
use super::{
    AdmissionController, ConcurrencyLimiter, DownstreamLimiter, LoadAdvertiser, TenantQuotas,
};
use crate::host::RequestClass;
use crate::in_flight::InFlightRequests;
use crate::options::DownstreamShare;
use std::collections::VecDeque;
use std::time::Duration;

/// The parts of an [`AdmissionController`], each made from its own few settings.
pub struct Parts {
    /// What each tenant may spend and has spent.
    pub quotas: TenantQuotas,
    /// How many requests may run at once.
    pub limit: ConcurrencyLimiter,
    /// Requests in flight with their timers and memory.
    pub in_flight: InFlightRequests<AdmissionController>,
    /// The rate of downstream calls.
    pub downstream: DownstreamLimiter,
    /// What callers learn of the node's load.
    pub advertiser: LoadAdvertiser,
}

impl DownstreamLimiter {
    /// Of the first node on its machine: nothing that this one does not know of is held downstream, so it has its whole
    /// share at once. `share` as in [`DownstreamLimiter::new`].
    pub fn without_predecessor(share: Option<DownstreamShare>) -> Self {
        Self {
            head_start: 1.0,
            ..Self::new(share)
        }
    }
}

impl AdmissionController {
    /// A controller that has not begun. `by_work`: value is counted for each unit of work, not for each
    /// request.
    pub fn new(classes: Vec<RequestClass>, by_work: bool, parts: Parts) -> Self {
        let by_account = vec![VecDeque::new(); parts.quotas.spent.len()];
        let queues = vec![
            ClassQueue {
                by_account,
                ..ClassQueue::default()
            };
            classes.len()
        ];
        Self {
            classes,
            by_work,
            quotas: parts.quotas,
            limiter: parts.limit,
            in_flight: parts.in_flight,
            downstream: parts.downstream,
            advertiser: parts.advertiser,
            health: HealthMonitor::default(),
            queues,
            awaiting_call: VecDeque::new(),
            cores_busy: false,
            stalled: Duration::ZERO,
            next_tick: Duration::MAX,
        }
    }
}
