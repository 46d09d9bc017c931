//! The results of a run. Times are in microseconds unless stated otherwise.

use hdrhistogram::Histogram;
use rainstand_invariants::Violation;

/// Upper bound of the histograms: one hour. They keep three significant digits.
const MAX_RECORDED_US: u64 = 3_600_000_000;

/// How a job ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobEnd {
    /// Served within the latency objective.
    Good,
    /// Served within the deadline.
    Late,
    Rejected,
    Failed,
}

/// Counts of jobs by how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Jobs {
    pub asked: u64,
    pub good: u64,
    pub late: u64,
    pub dismissed: u64,
    pub given_up: u64,
}

impl Jobs {
    pub fn record_end(&mut self, end: JobEnd) {
        match end {
            JobEnd::Good => self.good += 1,
            JobEnd::Late => self.late += 1,
            JobEnd::Rejected => self.dismissed += 1,
            JobEnd::Failed => self.given_up += 1,
        }
    }

    /// Share of the jobs that were served within their latency objective.
    pub fn good_share(&self) -> f64 {
        self.good as f64 / self.asked.max(1) as f64
    }
}

/// One second of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Second {
    /// Jobs, by the second in which they started.
    pub jobs: Jobs,
    /// Attempts sent to nodes in this second, retries included.
    pub attempts: u64,
    /// Runs that started.
    pub runs: u64,
    /// Downstream calls started, and those that succeeded.
    pub calls: u64,
    pub calls_done: u64,
    /// Maximum number of concurrent downstream calls.
    pub max_calls: u64,
}

/// The results of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Measured {
    pub seed: u64,
    pub seconds: Vec<Second>,
    /// By index of the type, and of the tenant, in the plan.
    pub by_type: Vec<Jobs>,
    pub by_tenant: Vec<Jobs>,
    /// From the start of a job to its result, us.
    pub latencies: Histogram<u64>,
    /// From the arrival of an attempt at a node to the start of its run, us.
    pub queue_waits: Histogram<u64>,
    /// Runs that each node started.
    pub node_runs: Vec<u64>,
    /// Core time that each node used, ms.
    pub node_busy_ms: Vec<u64>,
    /// Requests that clients sent, including their retries and hedged requests.
    pub requests: u64,
    /// Attempts of forwarders.
    pub first_attempts: u64,
    pub retries: u64,
    /// Runs whose result no client received.
    pub wasted_runs: u64,
    pub events: u64,
    /// Maximum number of queued events, and of requests in flight.
    pub max_queued_events: u64,
    pub max_requests: u64,
    /// Attempts that arrived at nodes that were warming up, if the plan gives the capacity of a warm node; and the
    /// largest excess of a node's one-second load over its ramp, in units of the expected random deviation.
    pub cold_attempts: u64,
    pub cold_excess: f64,
    /// The first violation of an invariant.
    pub broken: Option<Violation>,
}

impl Measured {
    pub fn new(seed: u64, types: usize, tenants: usize, nodes: usize) -> Self {
        let histogram =
            || Histogram::new_with_max(MAX_RECORDED_US, 3).expect("valid histogram bounds");
        Self {
            seed,
            seconds: Vec::new(),
            by_type: vec![Jobs::default(); types],
            by_tenant: vec![Jobs::default(); tenants],
            latencies: histogram(),
            queue_waits: histogram(),
            node_runs: vec![0; nodes],
            node_busy_ms: vec![0; nodes],
            requests: 0,
            first_attempts: 0,
            retries: 0,
            wasted_runs: 0,
            events: 0,
            max_queued_events: 0,
            max_requests: 0,
            cold_attempts: 0,
            cold_excess: f64::NEG_INFINITY,
            broken: None,
        }
    }

    /// The second that contains a time in ns.
    pub fn second(&mut self, at: u64) -> &mut Second {
        let second = (at / 1_000_000_000) as usize;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, Second::default());
        }
        &mut self.seconds[second]
    }

    pub fn jobs(&self) -> Jobs {
        let mut total = Jobs::default();
        for jobs in &self.by_type {
            total.asked += jobs.asked;
            total.good += jobs.good;
            total.late += jobs.late;
            total.dismissed += jobs.dismissed;
            total.given_up += jobs.given_up;
        }
        total
    }

    /// Share of the jobs that were served, late ones included.
    pub fn served_share(&self) -> f64 {
        let total = self.jobs();
        (total.good + total.late) as f64 / total.asked.max(1) as f64
    }

    /// Share of the jobs that were served within the latency objective.
    pub fn good_share(&self) -> f64 {
        self.jobs().good_share()
    }

    /// Share of good jobs among those started in the seconds `from..to`.
    pub fn good_between(&self, from: usize, to: usize) -> f64 {
        let mut total = Jobs::default();
        for second in self.seconds.iter().take(to).skip(from) {
            total.asked += second.jobs.asked;
            total.good += second.jobs.good;
        }
        total.good_share()
    }

    /// Latency quantile of the served jobs, ms.
    pub fn time_ms(&self, quantile: f64) -> f64 {
        self.latencies.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Attempts of forwarders per job.
    pub fn attempts_per_job(&self) -> f64 {
        (self.first_attempts + self.retries) as f64 / self.jobs().asked.max(1) as f64
    }

    /// Largest number of runs of a node relative to the mean.
    pub fn unevenness(&self) -> f64 {
        let sum: u64 = self.node_runs.iter().sum();
        let max = self.node_runs.iter().max().copied().unwrap_or(0);
        max as f64 * self.node_runs.len() as f64 / sum.max(1) as f64
    }
}
