//! Which queued request starts next.

use super::shared_constants::SAFETY_SHARE;
use super::AdmissionController;
use crate::decay::Mean;
use crate::host::Host;
use std::collections::VecDeque;
use std::time::Duration;

/// Requests running or at calls, in ceilings: hung calls take no core, yet might all return at once.
pub(super) const OUTSTANDING_CEILINGS: usize = 3;

/// One request class's queues, and what is known of its requests.
#[derive(Clone, Default)]
pub(super) struct ClassQueue {
    /// Queued requests by the account of their tenant, oldest first.
    pub(super) by_account: Vec<VecDeque<usize>>,
    /// Weighted work started so far, for fair queueing among classes.
    pub(super) virtual_time: f64,
    /// Time of a run, in seconds, all waits included.
    pub(super) run_time: Mean,
    /// Size hint of a run, in seconds.
    pub(super) size_hint: Mean,
    /// Share of downstream calls that failed or were never made.
    pub(super) call_loss: Mean,
}

impl AdmissionController {
    /// How long a run of this class, and of this size hint, usually takes, all waits included.
    pub(super) fn usual_run(&self, class: usize, size_hint: Option<Duration>) -> Duration {
        let queue = &self.queues[class];
        let hints = size_hint.zip(queue.size_hint.read());
        let size = hints.map_or(1.0, |(hint, mean)| hint.as_secs_f64() / mean);
        Duration::try_from_secs_f64(queue.run_time.read().unwrap_or(0.0) * size)
            .unwrap_or(Duration::MAX)
    }

    /// How long until the cores have worked off the queues.
    pub(super) fn queue_wait(&self) -> Duration {
        let charge = self.quotas.charge.read().unwrap_or(0.0);
        Duration::from_secs_f64(
            self.in_flight.queued() as f64 * charge / self.limiter.cores.max(1) as f64,
        )
    }

    /// Starts what may start: tenants within their quota first, classes in turn by weight.
    pub(super) fn dispatch(&mut self, now: Duration, host: &mut dyn Host) {
        self.make_calls(now, host);
        while self.in_flight.queued() > 0 && self.in_flight.running() < self.limiter.limit(now) {
            if self.in_flight.outstanding() >= self.limiter.ceiling(now) * OUTSTANDING_CEILINGS {
                return;
            }
            let scale = self.quotas.target_scale(now);
            let heads = self.queues.iter().enumerate().filter_map(|(class, queue)| {
                let waiting = queue
                    .by_account
                    .iter()
                    .enumerate()
                    .filter(|(_, queue)| !queue.is_empty());
                let spent = waiting.map(|(a, _)| (self.quotas.usage(now, a, scale).spent, a));
                let (spent, account) = spent.min_by(|a, b| a.0.total_cmp(&b.0))?;
                Some((spent > 1.0, queue.virtual_time, class, account))
            });
            let next = heads.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
            let Some((_, virtual_time, class, account)) = next else {
                return;
            };
            let Some(&ix) = self.queues[class].by_account[account].front() else {
                return;
            };
            if self.in_flight.memory_with(now, Some(ix)) > SAFETY_SHARE {
                return;
            }
            self.queues
                .iter_mut()
                .for_each(|q| q.virtual_time = q.virtual_time.max(virtual_time - 1.0));
            self.start_run(now, host, ix);
        }
    }
}
