//! What a run came to. Times are microseconds where nothing else is said.

use hdrhistogram::Histogram;
use rainstand_invariants::Violation;

/// Times are told apart to three digits, up to an hour.
const LONGEST_US: u64 = 3_600_000_000;

/// How a job ended for its dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobEnd {
    /// Within its goal time.
    Good,
    /// Within its outer limit.
    Late,
    Dismissed,
    GivenUp,
}

/// Jobs of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Jobs {
    pub asked: u64,
    pub good: u64,
    pub late: u64,
    pub dismissed: u64,
    pub given_up: u64,
}

impl Jobs {
    pub fn ended(&mut self, end: JobEnd) {
        match end {
            JobEnd::Good => self.good += 1,
            JobEnd::Late => self.late += 1,
            JobEnd::Dismissed => self.dismissed += 1,
            JobEnd::GivenUp => self.given_up += 1,
        }
    }

    /// Share of the jobs that were honoured within their goal time.
    pub fn good_share(&self) -> f64 {
        self.good as f64 / self.asked.max(1) as f64
    }
}

/// One second of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Second {
    /// Jobs by the second in which they were asked.
    pub jobs: Jobs,
    /// Tries that forwarders sent, first and further, in this second.
    pub tries: u64,
    /// Runs that began.
    pub runs: u64,
    /// Calls made to the tier below, and those that came back with a result.
    pub calls: u64,
    pub calls_done: u64,
    /// The most calls that were out at a time.
    pub most_calls: u64,
}

/// See the module's head.
#[derive(Clone, Debug, PartialEq)]
pub struct Measured {
    pub seed: u64,
    pub seconds: Vec<Second>,
    /// By the place of the type, and of the tenant, in the plan.
    pub by_type: Vec<Jobs>,
    pub by_tenant: Vec<Jobs>,
    /// From asking to the result, us.
    pub times: Histogram<u64>,
    /// From reaching a node to the beginning of the run, us.
    pub waits: Histogram<u64>,
    /// Runs that each node began.
    pub node_runs: Vec<u64>,
    /// Core time that each node used, ms.
    pub node_busy_ms: Vec<u64>,
    /// Tickets that dispatchers sent, their own further tries and copies counted.
    pub tickets: u64,
    pub first_tries: u64,
    pub further_tries: u64,
    /// Runs whose result nobody got.
    pub wasted_runs: u64,
    pub events: u64,
    /// The most events that waited at a time, and the most tickets in hand.
    pub most_waiting: u64,
    pub most_tickets: u64,
    /// Tries that came to nodes that had just started, where the plan says what a warm one bears; and how far the
    /// worst second of one was past its part of it, in what may be chance.
    pub cold_tries: u64,
    pub cold_over: f64,
    /// The first rule that broke.
    pub broken: Option<Violation>,
}

impl Measured {
    pub fn new(seed: u64, types: usize, tenants: usize, nodes: usize) -> Self {
        let histogram = || Histogram::new_with_max(LONGEST_US, 3).expect("bounds that are sound");
        Self {
            seed,
            seconds: Vec::new(),
            by_type: vec![Jobs::default(); types],
            by_tenant: vec![Jobs::default(); tenants],
            times: histogram(),
            waits: histogram(),
            node_runs: vec![0; nodes],
            node_busy_ms: vec![0; nodes],
            tickets: 0,
            first_tries: 0,
            further_tries: 0,
            wasted_runs: 0,
            events: 0,
            most_waiting: 0,
            most_tickets: 0,
            cold_tries: 0,
            cold_over: f64::NEG_INFINITY,
            broken: None,
        }
    }

    pub fn second(&mut self, at: u64) -> &mut Second {
        let second = (at / 1_000_000_000) as usize;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, Second::default());
        }
        &mut self.seconds[second]
    }

    pub fn jobs(&self) -> Jobs {
        let mut all = Jobs::default();
        for one in &self.by_type {
            all.asked += one.asked;
            all.good += one.good;
            all.late += one.late;
            all.dismissed += one.dismissed;
            all.given_up += one.given_up;
        }
        all
    }

    /// Share of the jobs that were honoured at all.
    pub fn honoured_share(&self) -> f64 {
        let all = self.jobs();
        (all.good + all.late) as f64 / all.asked.max(1) as f64
    }

    /// Share honoured within the goal time.
    pub fn good_share(&self) -> f64 {
        self.jobs().good_share()
    }

    /// Share of good jobs among those asked within these seconds.
    pub fn good_between(&self, from: usize, to: usize) -> f64 {
        let mut all = Jobs::default();
        for second in self.seconds.iter().take(to).skip(from) {
            all.asked += second.jobs.asked;
            all.good += second.jobs.good;
        }
        all.good_share()
    }

    /// A time that so many jobs stayed under, ms.
    pub fn time_ms(&self, quantile: f64) -> f64 {
        self.times.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Tries a job at the forwarders.
    pub fn tries_per_job(&self) -> f64 {
        (self.first_tries + self.further_tries) as f64 / self.jobs().asked.max(1) as f64
    }

    /// How uneven runs were: the most of a node over the mean.
    pub fn unevenness(&self) -> f64 {
        let sum: u64 = self.node_runs.iter().sum();
        let most = self.node_runs.iter().max().copied().unwrap_or(0);
        most as f64 * self.node_runs.len() as f64 / sum.max(1) as f64
    }
}
