//! Which queued request starts next, and when.
//!
//! One queue for each request class and tenant. A request starts while fewer run than the limit
//! ([`concurrency_limit`](super::concurrency_limit)), fewer than [`OUTSTANDING_CEILINGS`] ceilings run or are at
//! downstream calls, and its run fits into [`SAFETY_SHARE`] of the memory. The next one is chosen so:
//! 1. within a class, the tenant with the least core time charged over its target
//!    ([`tenant_quotas`](super::tenant_quotas)), and of its requests the oldest;
//! 2. among classes, those whose next request is of a tenant within its quota go first;
//! 3. among these, the class with the least virtual time: a start adds its work over the value of its class, so
//!    classes share the starts by their values (weighted fair queueing). Work is 1 for each request, or its usual
//!    run time in seconds where the settings count value by work. A class that had nothing queued is brought
//!    forward to at most one unit behind the class that is served.
//!
//! Not in KIP-124, whose brokers serve requests in the order of their arrival; a tenant within its quota goes
//! before one that is over it, in place of a delayed response.

use super::shared_constants::{MEAN_SPAN, SAFETY_SHARE};
use super::tenant_quotas::{TargetScale, TenantUsage};
use super::AdmissionController;
use crate::decay::Mean;
use crate::host::Host;
use std::cmp::Ordering;
use std::collections::VecDeque;
use std::time::Duration;

/// Requests running or at calls, in ceilings: hung calls take no core, yet might all return at once.
const OUTSTANDING_CEILINGS: usize = 3;
/// Virtual time by which a class may stand behind the one that is served.
const MAX_VIRTUAL_LAG: f64 = 1.0;
/// Run time of a class that is not known yet, in seconds.
const UNKNOWN_RUN_TIME_S: f64 = 1.0;

/// One request class's queues, and what is known of its requests.
#[derive(Clone, Default)]
pub(super) struct ClassQueue {
    /// Queued requests by the account of their tenant, oldest first.
    by_account: Vec<VecDeque<usize>>,
    /// Weighted work started so far.
    virtual_time: f64,
    /// Time of a run, in seconds, all waits included.
    run_time: Mean,
    /// Size hint of a run, in seconds.
    size_hint: Mean,
    /// Share of downstream calls that failed or were never made.
    pub(super) call_loss: Mean,
}

impl ClassQueue {
    /// Empty queues for so many accounts.
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

    /// Takes a request out of its tenant's queue.
    pub(super) fn remove(&mut self, account: usize, index: usize) {
        self.by_account[account].retain(|&other| other != index);
    }

    /// The newest request of each tenant that has one queued, with its account.
    pub(super) fn newest(&self) -> impl Iterator<Item = (usize, usize)> + '_ {
        let queues = self.by_account.iter().enumerate();
        queues.filter_map(|(account, queue)| Some((account, *queue.back()?)))
    }

    /// How long a run of this class, and of this size hint, usually takes, all waits included.
    pub(super) fn usual_run(&self, size_hint: Option<Duration>) -> Duration {
        let hints = size_hint.zip(self.size_hint.read());
        let size = hints.map_or(1.0, |(hint, mean)| hint.as_secs_f64() / mean);
        Duration::try_from_secs_f64(self.run_time.read().unwrap_or(0.0) * size)
            .unwrap_or(Duration::MAX)
    }

    /// Learns from a run that ended. One that did not succeed counts where it already took longer than usual,
    /// else only short ones would count.
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

    /// Learns from a downstream call that ended, or was never made.
    pub(super) fn record_call(&mut self, now: Duration, succeeded: bool) {
        let loss = if succeeded { 0.0 } else { 1.0 };
        self.call_loss.add(now, loss, MEAN_SPAN);
    }

    /// Adds a start to the virtual time. `weight`: of the class.
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

/// The tenant whose request a class would start next.
struct NextTenant {
    account: usize,
    usage: TenantUsage,
}

/// What a class would start next.
struct Candidate {
    over_quota: bool,
    virtual_time: f64,
    class: usize,
    account: usize,
}

impl Candidate {
    /// Less means that it starts first.
    fn order(&self, other: &Self) -> Ordering {
        let by_quota = self.over_quota.cmp(&other.over_quota);
        by_quota.then(self.virtual_time.total_cmp(&other.virtual_time))
    }
}

impl AdmissionController {
    /// How long until the cores have worked off the queues.
    pub(super) fn queue_wait(&self) -> Duration {
        let cores = self.limiter.cores().max(1) as f64;
        Duration::from_secs_f64(self.in_flight.queued() as f64 * self.quotas.mean_charge() / cores)
    }

    /// Queues a request that was admitted, until `start_by` at the latest.
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

    /// Makes the downstream calls and starts the runs that may go on now.
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

    /// The tenant of a class that spent least of its target, of those with a request queued.
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
