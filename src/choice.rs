//! The admission policy: every decision of a node. Nothing here does I/O or reads a clock.
//!
//! The embedding program calls the `on_...` methods of [`AdmissionController`] when requests arrive, when runs and
//! downstream calls end and when ticks are due; it receives orders through the trait [`Host`]. All times are on one
//! clock, whose origin the program chooses. There is one module per rule, in the order in which a request meets them:
//!
//! | module | decides |
//! | --- | --- |
//! | `deadlines` | the latest start and the deadline of a request, and what happens when they pass |
//! | `idempotency` | which repeats are answered from the cache instead of being run again |
//! | `admission` | whether a request that was read is queued or rejected, and why |
//! | `health` | whether the node is healthy, and which requests an unhealthy one admits |
//! | `drain` | which requests are rejected after a shutdown notice, and the deadline of all others |
//! | `overload` | when the node counts as overloaded |
//! | `tenant_quotas` | what a tenant is charged, when it is over its quota, and for how long (KIP-124) |
//! | `rejection` | the retry-after of a rejected request, and whether another node may be tried |
//! | `fleet_load` | whether other nodes seem overloaded too |
//! | `load_shedding` | which queued request is rejected when memory or the queues are over their bounds |
//! | `scheduling` | which queued request starts next, and when |
//! | `concurrency_limit` | how many requests may run concurrently |
//! | `startup` | how much less a node uses on a cold machine and after a predecessor |
//! | `downstream_calls` | which downstream call is made next, and what follows a failed one |
//! | `downstream_limit` | how many downstream calls are made, and how long each may take |
//! | `runs` | what a run is charged, and which statistics its end updates |
//! | `stalls` | for how long the whole process was stalled |
//! | `completion` | how a request without a result ends, and when it is removed |
//! | `load_advertisement` | whether the node advertises itself as unavailable |
//! | `idle_connections` | how long an idle connection stays open |
//!
//! `assembly` builds a controller and applies new settings to it; `shared_constants` holds the constants that several
//! rules use. `docs/decisions.md` lists for each rule what a caller receives and which counter or log event shows it;
//! `docs/design.md` gives the reasons.

use crate::host::{Arrival, Gauges, Host, Outcome, RequestClass};
use crate::in_flight::{InFlightRequests, Request, Stage};
use std::collections::VecDeque;
use std::time::Duration;

mod admission;
mod assembly;
mod completion;
mod concurrency_limit;
mod deadlines;
mod downstream_calls;
mod downstream_limit;
mod drain;
mod fleet_load;
mod health;
mod idempotency;
mod idle_connections;
mod load_advertisement;
mod load_shedding;
mod overload;
mod rejection;
mod runs;
mod scheduling;
mod shared_constants;
mod stalls;
mod startup;
mod tenant_quotas;

pub use assembly::Components;
pub use concurrency_limit::ConcurrencyLimiter;
pub use downstream_limit::DownstreamLimiter;
pub use load_advertisement::LoadAdvertiser;
pub use tenant_quotas::TenantQuotas;

use admission::Decision;
use drain::Shutdown;
use fleet_load::FleetLoad;
use health::HealthMonitor;
use idle_connections::IdleConnections;
use scheduling::ClassQueue;
use shared_constants::TICK_INTERVAL;
use stalls::StallClock;

/// The admission policy of one node.
pub struct AdmissionController {
    classes: Vec<RequestClass>,
    /// Whether value is counted per unit of work instead of per request.
    by_work: bool,
    quotas: TenantQuotas,
    limiter: ConcurrencyLimiter,
    in_flight: InFlightRequests,
    downstream: DownstreamLimiter,
    advertiser: LoadAdvertiser,
    idle_connections: IdleConnections,
    fleet_load: FleetLoad,
    health: HealthMonitor,
    stalls: StallClock,
    shutdown: Option<Shutdown>,
    /// Indexed by request class.
    queues: Vec<ClassQueue>,
    /// Indices of the requests whose downstream call is not made yet, oldest first.
    awaiting_call: VecDeque<usize>,
    /// Whether the cores were busy at the last tick.
    cores_busy: bool,
}

impl AdmissionController {
    /// Must be called first: reports the node as healthy and requests the first tick.
    pub fn begin(&mut self, now: Duration, host: &mut dyn Host) {
        host.set_health(true);
        self.request_tick(now, host);
        self.health.begin(now);
        self.limiter.start_round(now);
    }

    /// A request was read. `index` is a free index, which the request occupies until [`Host::release`].
    pub fn on_arrival(
        &mut self,
        now: Duration,
        host: &mut dyn Host,
        index: usize,
        arrival: &Arrival,
    ) {
        let request = self.new_request(now, arrival);
        self.quotas
            .record_request(now, request.account, arrival.is_retry);
        self.fleet_load.record_arrival(now, arrival.is_retry);
        let is_repeat = idempotency::is_repeat(&request.class, arrival);
        self.in_flight.insert(index, request);
        if is_repeat {
            return self.reply_to_repeat(now, host, index);
        }
        self.cache_result(now, host, index, arrival.waited);
        match self.decide_admission(now, index, arrival) {
            Decision::Reject(reason) => self.reject(now, host, index, reason),
            Decision::Enqueue { start_by } => self.enqueue(now, host, index, start_by),
        }
    }

    /// Creates the request of an arrival, with its class as currently configured and its deadline.
    fn new_request(&self, now: Duration, arrival: &Arrival) -> Request {
        let class = self.classes[arrival.class];
        let account = self.quotas.account_of(arrival.tenant);
        let arrived = now.saturating_sub(arrival.waited);
        let deadline = deadlines::answer_deadline(now, arrived, arrival, &class, self.shutdown);
        Request::new(arrival, class, account, arrived, deadline)
    }

    /// A run needs its downstream call, and waits for [`Host::call_downstream`] or [`Host::reply_degraded`].
    pub fn on_downstream_call(&mut self, now: Duration, host: &mut dyn Host, index: usize) {
        let request = self.in_flight.get(index);
        if let Some(request) =
            request.filter(|request| request.stage == Stage::Running && !request.answered)
        {
            request.call_requested = now;
            request.call_attempts = 0;
            self.await_call(index);
        }
        self.dispatch(now, host);
    }

    /// An attempt of a downstream call has ended.
    pub fn on_call_finished(
        &mut self,
        now: Duration,
        host: &mut dyn Host,
        index: usize,
        outcome: Outcome,
    ) {
        let stage = self.in_flight.get(index).map(|request| request.stage);
        if stage == Some(Stage::Calling) {
            self.end_call(now, host, index, outcome);
        }
        self.dispatch(now, host);
    }

    /// It is not known whether a run has received the reply to its last call: it may wait for it, or continue.
    pub fn on_reply_unconfirmed(&mut self, now: Duration, host: &mut dyn Host, index: usize) {
        self.settle_unconfirmed_reply(host, index);
        self.dispatch(now, host);
    }

    /// A run or a reply from the cache has ended.
    pub fn on_run_finished(
        &mut self,
        now: Duration,
        host: &mut dyn Host,
        index: usize,
        outcome: Outcome,
    ) {
        match self.in_flight.get(index).map(|request| request.stage) {
            None | Some(Stage::Queued) => {}
            Some(Stage::AwaitingResult) => self.release(host, index),
            Some(Stage::Running | Stage::AwaitingCall | Stage::Calling) => {
                self.end_run(now, host, index, outcome);
            }
        }
        self.dispatch(now, host);
    }

    /// The caller has disconnected: no answer is needed.
    pub fn on_caller_gone(&mut self, now: Duration, host: &mut dyn Host, index: usize) {
        self.abandon(host, index);
        self.dispatch(now, host);
    }

    /// The tick that [`Host::wake`] requested, with the current gauges.
    pub fn on_tick(&mut self, now: Duration, host: &mut dyn Host, gauges: Gauges) {
        if let Some(stall) = self.stalls.on_tick(now) {
            self.health.on_stall(stall);
        }
        self.request_tick(now, host);
        self.cores_busy = overload::cores_are_busy(gauges);
        let running = self.in_flight.running();
        let any_queued = self.in_flight.queued() > 0;
        self.limiter.on_tick(now, gauges, running, any_queued);
        self.update_health(now, running);
        self.adjust_idle_connections(now, host, gauges);
        let unavailable = self.health.is_unhealthy() || self.shutdown.is_some();
        self.advertiser.set_unavailable(host, unavailable);
        self.expire_deadlines(now, host);
        self.dispatch(now, host);
    }

    fn request_tick(&mut self, now: Duration, host: &mut dyn Host) {
        self.stalls.on_tick_requested(now);
        host.wake(TICK_INTERVAL);
    }

    fn update_health(&mut self, now: Duration, running: usize) {
        let usual_runs = self.queues.iter().map(|queue| queue.usual_run(None));
        let slowest = usual_runs.max().unwrap_or_default();
        self.health.update(now, running > 0, slowest);
    }

    fn adjust_idle_connections(&mut self, now: Duration, host: &mut dyn Host, gauges: Gauges) {
        let open = gauges.connections.unwrap_or(0.0);
        let clients = self.advertiser.options.clients;
        let cores = self.limiter.cores();
        if let Some(timeout) = self.idle_connections.adjust(now, open, cores, clients) {
            host.close_idle_after(timeout);
        }
    }

    /// The process will be killed after `kill_in`: all requests are answered before that.
    pub fn on_shutdown_notice(&mut self, now: Duration, host: &mut dyn Host, kill_in: Duration) {
        let shutdown = Shutdown::noticed_at(now, kill_in);
        self.shutdown = Some(shutdown);
        self.advertiser.set_unavailable(host, true);
        self.in_flight.cap_deadlines(shutdown.last_answer());
        self.expire_deadlines(now, host);
    }
}
