//! The admission policy: every decision of a node, with its state and its tuned values.
//!
//! The program around it calls the `on_...` methods of [`AdmissionController`] as requests arrive, runs and
//! downstream calls end and ticks are due; orders go out through the trait [`Host`].
//!
//! The design (docs/design.md): each tenant is charged its run time per window; while the node is overloaded,
//! later requests of a tenant over its quota are rejected until its delay is over; a learned concurrency
//! limit bounds what runs. Beside these:
//! 1. queues: one for each request class, served by weight, tenants within their quota first;
//! 2. timers: every request in flight has one time at which it is answered in any case;
//! 3. bounds on concurrency and memory, from the settings;
//! 4. a rate limit on downstream calls that follows their recent time;
//! 5. health: an unhealthy or stopping node advertises itself as unavailable, and probes while unhealthy;
//! 6. connections: the more are open, the sooner idle ones close.

use crate::host::{Arrival, Gauges, Host, Outcome, Repeatability, RequestClass, RetryOf};
use crate::in_flight::{InFlightRequests, Request, Stage};
use std::collections::VecDeque;
use std::time::Duration;

mod assembly;
mod completion;
mod concurrency_limit;
mod deadlines;
mod downstream_calls;
mod downstream_limit;
mod health;
mod load_advertisement;
mod load_shedding;
mod overload;
mod runs;
mod scheduling;
mod shared_constants;
mod tenant_quotas;

pub use assembly::Parts;
pub use concurrency_limit::ConcurrencyLimiter;
pub use downstream_limit::DownstreamLimiter;
pub use load_advertisement::LoadAdvertiser;
pub use tenant_quotas::TenantQuotas;

use deadlines::{MAX_WAIT_SHARE, RUN_TIME_HEADROOM};
use health::HealthMonitor;
use load_advertisement::Shutdown;
use overload::{CORES_BUSY, OVERLOAD_SHARE};
use scheduling::ClassQueue;
use shared_constants::{RECENT_SPAN, TICK_INTERVAL, TIME_MARGIN};
use tenant_quotas::WINDOW;

/// The admission policy of one node.
pub struct AdmissionController {
    classes: Vec<RequestClass>,
    by_work: bool,
    quotas: TenantQuotas,
    limiter: ConcurrencyLimiter,
    in_flight: InFlightRequests<AdmissionController>,
    downstream: DownstreamLimiter,
    advertiser: LoadAdvertiser,
    health: HealthMonitor,
    queues: Vec<ClassQueue>,
    awaiting_call: VecDeque<usize>,
    cores_busy: bool,
    stalled: Duration,
    next_tick: Duration,
}

impl AdmissionController {
    /// New settings under load, from a controller made of them; requests in flight and all that was learned
    /// stay. Other counts of classes or tenants, which the reader of settings refuses, change neither.
    pub fn reconfigure(&mut self, new: AdmissionController) {
        let same_classes = new.classes.len() == self.classes.len();
        if same_classes && new.quotas.rates.len() == self.quotas.rates.len() {
            (self.classes, self.by_work, self.quotas.rates) =
                (new.classes, new.by_work, new.quotas.rates);
        }
        self.limiter.overload_factor = new.limiter.overload_factor;
        self.downstream.share = new.downstream.share;
        // Guards against reservations that stay, or are missing, where the tier becomes shared or unshared.
        let linger = new
            .downstream
            .share
            .map(|share| share.linger * self.in_flight.calling() as u32);
        self.downstream.reserved =
            linger.map_or(Duration::ZERO, |all| self.in_flight.reserved() + all);
        self.advertiser.options = new.advertiser.options;
        let idle_timeout = new.advertiser.options.clients.idle_timeout;
        self.advertiser.idle_timeout = self.advertiser.idle_timeout.min(idle_timeout);
    }

    /// The first call: sets the health that checks are answered with, and asks for the first tick.
    pub fn begin(&mut self, now: Duration, host: &mut dyn Host) {
        host.set_health(true);
        host.wake(TICK_INTERVAL);
        self.next_tick = now + TICK_INTERVAL;
        self.health.last_completion = now;
        self.limiter.start_round(now);
    }

    /// A request was read; `ix` is an index that is free, and is taken until [`Host::release`].
    pub fn on_arrival(&mut self, now: Duration, host: &mut dyn Host, ix: usize, arrival: &Arrival) {
        let class = self.classes[arrival.class];
        let (repeatability, objective) = (class.repeatability, class.latency_objective);
        let arrived = now.saturating_sub(arrival.waited);
        let deadline = arrival
            .caller_timeout
            .map_or((arrived + class.deadline).max(now), |left| now + left);
        let shutdown = self.advertiser.shutdown;
        let deadline = shutdown
            .map_or(deadline, |s| deadline.min(s.deadline))
            .saturating_sub(TIME_MARGIN);
        let account = arrival
            .tenant
            .unwrap_or(usize::MAX)
            .min(self.quotas.rates.len());
        // Guards against shedding that feeds on itself: retries of what was shed are no new demand.
        self.quotas.requested[account].add(now, if arrival.is_retry { 0.0 } else { 1.0 }, WINDOW);
        self.advertiser
            .retry_share
            .add(now, if arrival.is_retry { 1.0 } else { 0.0 }, RECENT_SPAN);
        self.in_flight
            .insert(ix, Request::new(arrival, class, account, arrived, deadline));
        if repeatability != Repeatability::Idempotent && arrival.retry_of != RetryOf::No {
            // Guards against a second effect: a repeat takes the first attempt's result, never a run.
            self.in_flight.set_stage(ix, Stage::AwaitingResult);
            let after_reply =
                |node: &mut Self, _, host: &mut dyn Host, ix, _| node.release(host, ix);
            self.in_flight.expect(ix).after_run = Some(Box::new(after_reply));
            host.reply_from_cache(ix);
            return self.expire_deadlines(now, host);
        }
        if let Repeatability::IdempotentWithKey(window) = repeatability {
            let span = (window + TIME_MARGIN).saturating_sub(arrival.waited);
            host.cache_result(ix, span);
            self.in_flight.cache_result(ix, now + span);
        }
        let too_late =
            shutdown.is_some_and(|s| arrived > s.noticed + self.advertiser.options.drain_grace);
        // Guards against runs cut off undone, and against working off a backlog that piled up unread: on full
        // cores nothing is started that has no time for its usual run, or waited half its objective.
        let usual = self
            .usual_run(arrival.class, arrival.size_hint)
            .as_secs_f64()
            * RUN_TIME_HEADROOM;
        let run_time = Duration::try_from_secs_f64(usual).unwrap_or(Duration::MAX);
        let last_start = deadline.min(arrived + objective).saturating_sub(run_time);
        let start_by = last_start.min(arrived + objective.mul_f64(MAX_WAIT_SHARE));
        let hopeless = deadline <= now || too_late || (self.cores_busy && now > start_by);
        if hopeless || !self.health.admits(now) {
            return self.reject(now, host, ix, self.advertiser.options.max_retry_after);
        }
        // Requests are queued, here or still unread, and the cores gauge reads busy: the node is overloaded.
        let wait = self.queue_wait() + arrival.waited;
        let overloaded = self.cores_busy && wait > objective.mul_f64(OVERLOAD_SHARE);
        let delay = self.quotas.rejected_until[account].saturating_sub(now);
        if overloaded && delay > Duration::ZERO {
            return self.reject(now, host, ix, delay);
        }
        self.queues[arrival.class].by_account[account].push_back(ix);
        self.in_flight
            .set_timer(ix, Some(start_by.max(now + TICK_INTERVAL).min(deadline)));
        self.shed_load(now, host);
        self.dispatch(now, host);
    }

    /// A run or a cached reply is over.
    pub fn on_run_finished(
        &mut self,
        now: Duration,
        host: &mut dyn Host,
        ix: usize,
        outcome: Outcome,
    ) {
        if let Some(next) = self
            .in_flight
            .get(ix)
            .and_then(|request| request.after_run.take())
        {
            next(self, now, host, ix, outcome);
        }
        self.dispatch(now, host);
    }

    /// A run has come to a downstream call, and waits for [`Host::call_downstream`] or its skipping.
    pub fn on_downstream_call(&mut self, now: Duration, host: &mut dyn Host, ix: usize) {
        if let Some(request) = self
            .in_flight
            .get(ix)
            .filter(|r| r.stage == Stage::Running && !r.answered)
        {
            (request.call_requested, request.call_attempts) = (now, 0);
            self.await_call(ix);
        }
        self.dispatch(now, host);
    }

    /// An attempt of a downstream call is over.
    pub fn on_call_finished(
        &mut self,
        now: Duration,
        host: &mut dyn Host,
        ix: usize,
        outcome: Outcome,
    ) {
        if let Some(next) = self
            .in_flight
            .get(ix)
            .and_then(|request| request.after_call.take())
        {
            next(self, now, host, ix, outcome);
        }
        self.dispatch(now, host);
    }

    /// The caller has left: nothing need be answered.
    pub fn on_caller_gone(&mut self, now: Duration, host: &mut dyn Host, ix: usize) {
        self.abandon(host, ix);
        self.dispatch(now, host);
    }

    /// The process will be stopped after `kill_in`: all is answered before.
    pub fn on_shutdown_notice(&mut self, now: Duration, host: &mut dyn Host, kill_in: Duration) {
        let deadline = now + kill_in.saturating_sub(TIME_MARGIN);
        self.advertiser.shutdown = Some(Shutdown {
            noticed: now,
            deadline,
        });
        self.advertiser.set_unavailable(host, true);
        self.in_flight
            .cap_deadlines(deadline.saturating_sub(TIME_MARGIN));
        self.expire_deadlines(now, host);
    }

    /// The tick that [`Host::wake`] asked for, with the gauges as of now.
    pub fn on_tick(&mut self, now: Duration, host: &mut dyn Host, gauges: Gauges) {
        // Guards against charging, or taking for hung, runs that stood still with the whole process.
        let late = now.saturating_sub(self.next_tick);
        if late > TICK_INTERVAL {
            self.stalled += late;
            self.health.last_completion += late;
        }
        self.next_tick = now + TICK_INTERVAL;
        host.wake(TICK_INTERVAL);
        self.cores_busy = gauges.cores_busy.is_none_or(|busy| busy >= CORES_BUSY);
        let running = self.in_flight.running();
        self.limiter
            .on_tick(now, gauges, running, self.in_flight.queued() > 0);
        let usual_runs = (0..self.queues.len()).map(|class| self.usual_run(class, None));
        self.health
            .update(now, running > 0, usual_runs.max().unwrap_or_default());
        self.advertiser.trim_connections(
            now,
            host,
            gauges.connections.unwrap_or(0.0),
            self.limiter.cores,
        );
        self.advertiser.set_unavailable(
            host,
            self.health.unhealthy || self.advertiser.shutdown.is_some(),
        );
        self.expire_deadlines(now, host);
        self.dispatch(now, host);
    }
}
