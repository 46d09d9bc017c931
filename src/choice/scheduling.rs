//! Which queued request starts next, and when.
//!
//! There is one queue per request class and tenant. A request may start if fewer requests run than the limit
//! ([`concurrency_limit`](super::concurrency_limit)) allows, fewer than [`OUTSTANDING_CEILINGS`] times the ceiling run
//! or are at downstream calls, and its run fits into [`SAFETY_SHARE`] of the memory. The next request is chosen in
//! three steps:
//! 1. within a class, the tenant with the lowest ratio of charged core time to target
//!    ([`tenant_quotas`](super::tenant_quotas)), and the oldest of its requests;
//! 2. among classes, those whose next request is from a tenant within its quota;
//! 3. among these, the class with the least virtual time. A start adds its work divided by the value of its class, so
//!    classes share the starts in proportion to their values (weighted fair queueing). Work is 1 per request, or its
//!    run time in seconds (size hint, else the usual one) if the settings count value by work. A class that had
//!    nothing queued is brought forward to at most one unit behind the class that is served.
//!
//! Not in KIP-124, whose brokers serve requests in order of arrival; here tenants within their quotas are served
//! before those over it, in place of delayed responses.

use super::shared_constants::{MEAN_SPAN, SAFETY_SHARE};
use super::tenant_quotas::{TargetScale, TenantUsage};
use super::AdmissionController;
use crate::decay::Mean;
use crate::host::Host;
use std::cmp::Ordering;
use std::collections::VecDeque;
use std::time::Duration;

/// Maximum of requests that run or are at downstream calls, as a multiple of the ceiling: requests at hung calls
/// occupy no core, but might all resume at the same time.
const OUTSTANDING_CEILINGS: usize = 3;
/// Maximum lag in virtual time of a class behind the class that is served.
const MAX_VIRTUAL_LAG: f64 = 1.0;
/// Assumed run time of a class without a sample, in seconds.
const UNKNOWN_RUN_TIME_S: f64 = 1.0;

/// The queues and the statistics of one request class.
#[derive(Clone, Default)]
pub(super) struct ClassQueue {
    /// Indices of queued requests by the account of their tenant, oldest first.
    by_account: Vec<VecDeque<usize>>,
    /// Work started so far, divided by the value of the class.
    virtual_time: f64,
    /// Mean time of a run including all waits, in seconds.
    run_time: Mean,
    /// Mean size hint of a run, in seconds.
    size_hint: Mean,
    /// Share of downstream calls that failed or were never made.
    pub(super) call_loss: Mean,
}

impl ClassQueue {
    /// Empty queues for this number of accounts.
    pub(super) fn new(accounts: usize) -> Self {
        Self {
            by_account: vec![VecDeque::new(); accounts],
            ..Self::default()
        }
    }

    /// Appends a request to its tenant's queue.
    pub(super) fn push(&mut self, account: usize, index: usize) {
        self.by_account[account].push_back(index);
    }

    /// Removes a request from its tenant's queue.
    pub(super) fn remove(&mut self, account: usize, index: usize) {
        self.by_account[account].retain(|&other| other != index);
    }

    /// The account and the newest request of each tenant with queued requests.
    pub(super) fn newest(&self) -> impl Iterator<Item = (usize, usize)> + '_ {
        let queues = self.by_account.iter().enumerate();
        queues.filter_map(|(account, queue)| Some((account, *queue.back()?)))
    }

    /// The usual time of a run of this class with this size hint, including all waits.
    pub(super) fn usual_run(&self, size_hint: Option<Duration>) -> Duration {
        let hints = size_hint.zip(self.size_hint.read());
        let size = hints.map_or(1.0, |(hint, mean)| hint.as_secs_f64() / mean);
        Duration::try_from_secs_f64(self.run_time.read().unwrap_or(0.0) * size)
            .unwrap_or(Duration::MAX)
    }

    /// Records the time of a run that ended. An unsuccessful run is recorded only if it took longer than the mean:
    /// runs that end early would lower the mean, while ignoring all unsuccessful runs would leave out the long ones.
    pub(super) fn record_run(
        &mut self,
        now: Duration,
        run_time: Duration,
        size_hint: Option<Duration>,
        succeeded: bool,
    ) {
        let run_time = run_time.as_secs_f64();
        if !succeeded && Some(run_time) <= self.run_time.read() {
            return;
        }
        self.run_time.add(now, run_time, MEAN_SPAN);
        if let Some(hint) = size_hint {
            let hint = hint.as_secs_f64().max(f64::MIN_POSITIVE);
            self.size_hint.add(now, hint, MEAN_SPAN);
        }
    }

    /// Records a downstream call that ended, or that was never made.
    pub(super) fn record_call(&mut self, now: Duration, succeeded: bool) {
        let loss = if succeeded { 0.0 } else { 1.0 };
        self.call_loss.add(now, loss, MEAN_SPAN);
    }

    /// Adds the work of a started request to the virtual time. `weight`: the value of the class.
    pub(super) fn charge_start(&mut self, size_hint: Option<Duration>, by_work: bool, weight: f64) {
        let work = if by_work {
            match size_hint {
                Some(hint) => hint.as_secs_f64(),
                None => self.run_time.read().unwrap_or(UNKNOWN_RUN_TIME_S),
            }
        } else {
            1.0
        };
        self.virtual_time += work / weight.max(f64::MIN_POSITIVE);
    }
}

/// The tenant whose request is the next to start in a class.
struct NextTenant {
    account: usize,
    usage: TenantUsage,
}

/// The next request to start in a class.
struct Candidate {
    over_quota: bool,
    virtual_time: f64,
    class: usize,
    account: usize,
}

impl Candidate {
    /// The lesser candidate starts first.
    fn order(&self, other: &Self) -> Ordering {
        let by_quota = self.over_quota.cmp(&other.over_quota);
        by_quota.then(self.virtual_time.total_cmp(&other.virtual_time))
    }
}

impl AdmissionController {
    /// How long the cores need to clear the queues.
    pub(super) fn queue_wait(&self) -> Duration {
        let cores = self.limiter.cores().max(1) as f64;
        Duration::from_secs_f64(self.in_flight.queued() as f64 * self.quotas.mean_charge() / cores)
    }

    /// Queues an admitted request, with a timer at `start_by`.
    pub(super) fn enqueue(
        &mut self,
        now: Duration,
        host: &mut dyn Host,
        index: usize,
        start_by: Duration,
    ) {
        let request = self.in_flight.expect(index);
        self.queues[request.class_index].push(request.account, index);
        self.in_flight.set_timer(index, start_by);
        self.shed_load(now, host);
        self.dispatch(now, host);
    }

    /// Makes the downstream calls and starts the runs that the limits allow.
    pub(super) fn dispatch(&mut self, now: Duration, host: &mut dyn Host) {
        self.make_calls(now, host);
        self.start_queued(now, host);
    }

    fn start_queued(&mut self, now: Duration, host: &mut dyn Host) {
        while self.has_capacity(now) {
            let Some(next) = self.next_candidate(now) else {
                return;
            };
            let Some(&index) = self.queues[next.class].by_account[next.account].front() else {
                return;
            };
            if self.in_flight.memory_share_with_run(now, index) > SAFETY_SHARE {
                return;
            }
            for queue in &mut self.queues {
                let earliest = next.virtual_time - MAX_VIRTUAL_LAG;
                queue.virtual_time = queue.virtual_time.max(earliest);
            }
            self.start_run(now, host, index);
        }
    }

    /// Whether a request is queued, and the limits allow a start.
    fn has_capacity(&self, now: Duration) -> bool {
        let max_outstanding = self.limiter.ceiling(now) * OUTSTANDING_CEILINGS;
        self.in_flight.queued() > 0
            && self.in_flight.running() < self.limiter.limit(now)
            && self.in_flight.outstanding() < max_outstanding
    }

    fn next_candidate(&self, now: Duration) -> Option<Candidate> {
        let scale = self.quotas.target_scale(now);
        let candidates = self.queues.iter().enumerate().filter_map(|(class, queue)| {
            let next = self.next_tenant(now, queue, scale)?;
            Some(Candidate {
                over_quota: next.usage.is_over_quota(),
                virtual_time: queue.virtual_time,
                class,
                account: next.account,
            })
        });
        candidates.min_by(Candidate::order)
    }

    /// Of the tenants with a queued request in a class, the one that spent the smallest part of its target.
    fn next_tenant(
        &self,
        now: Duration,
        queue: &ClassQueue,
        scale: Option<TargetScale>,
    ) -> Option<NextTenant> {
        let accounts = queue.by_account.iter().enumerate();
        let waiting = accounts.filter(|(_, queue)| !queue.is_empty());
        let tenants = waiting.map(|(account, _)| NextTenant {
            account,
            usage: self.quotas.usage(now, account, scale),
        });
        tenants.min_by(|a, b| a.usage.spent.total_cmp(&b.usage.spent))
    }
}
