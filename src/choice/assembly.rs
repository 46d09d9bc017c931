//! Building an [`AdmissionController`] from its components, and applying new settings while it runs.

use super::fleet_load::FleetLoad;
use super::health::HealthMonitor;
use super::idle_connections::IdleConnections;
use super::scheduling::ClassQueue;
use super::stalls::StallClock;
use super::{
    AdmissionController, ConcurrencyLimiter, DownstreamLimiter, LoadAdvertiser, TenantQuotas,
};
use crate::host::RequestClass;
use crate::in_flight::InFlightRequests;
use std::collections::VecDeque;

/// The components of an [`AdmissionController`] that have settings of their own.
pub struct Components {
    /// Quota and usage of each tenant.
    pub quotas: TenantQuotas,
    /// How many requests may run concurrently.
    pub limiter: ConcurrencyLimiter,
    /// Requests in flight with their timers and memory use.
    pub in_flight: InFlightRequests,
    /// The rate and the share of downstream calls.
    pub downstream: DownstreamLimiter,
    /// What the node advertises to its callers.
    pub advertiser: LoadAdvertiser,
}

impl AdmissionController {
    /// Creates a controller; [`AdmissionController::begin`] starts it. `by_work`: value is counted per unit of work
    /// instead of per request.
    pub fn new(classes: Vec<RequestClass>, by_work: bool, components: Components) -> Self {
        let Components {
            quotas,
            limiter,
            in_flight,
            downstream,
            advertiser,
        } = components;
        let queues = vec![ClassQueue::new(quotas.accounts()); classes.len()];
        let idle_connections = IdleConnections::new(advertiser.options.clients);
        Self {
            classes,
            by_work,
            quotas,
            limiter,
            in_flight,
            downstream,
            advertiser,
            idle_connections,
            fleet_load: FleetLoad::default(),
            health: HealthMonitor::default(),
            stalls: StallClock::new(),
            shutdown: None,
            queues,
            awaiting_call: VecDeque::new(),
            cores_busy: false,
        }
    }

    /// Takes over the settings of `new`, a controller created from them; requests in flight and all statistics are
    /// kept. If the number of classes or tenants differs, which the settings reader rejects, both keep their settings.
    pub fn reconfigure(&mut self, new: AdmissionController) {
        let same_classes = new.classes.len() == self.classes.len();
        if same_classes && new.quotas.tenants() == self.quotas.tenants() {
            self.classes = new.classes;
            self.by_work = new.by_work;
            self.quotas.set_rates(new.quotas);
        }
        self.limiter.set_overload_factor(&new.limiter);
        let (calling, time_limits) = (self.in_flight.calling(), self.in_flight.call_time_limits());
        self.downstream
            .set_share(&new.downstream, calling, time_limits);
        self.advertiser.options = new.advertiser.options;
        self.idle_connections.cap(new.advertiser.options.clients);
    }
}
