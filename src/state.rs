//! Plain records that the policy's state is made of; [`choice`](crate::choice) decides with them.

use crate::decay::Mean;
use std::collections::VecDeque;
use std::time::Duration;

/// What the targets of all tenants are computed from.
#[derive(Clone, Copy)]
pub(crate) struct TargetScale {
    /// Mean charge of a run, in seconds of core time.
    pub(crate) mean_charge: f64,
    /// What all tenants spent in the window, for each unit of their quotas.
    pub(crate) charge_per_rate: f64,
}

/// What a tenant spent and requested in the window, in multiples of its target.
#[derive(Default)]
pub(crate) struct TenantUsage {
    /// Core time that was charged.
    pub(crate) spent: f64,
    /// Core time that all its requests would take.
    pub(crate) requested: f64,
}

/// One request class's queues, and what is known of its requests.
#[derive(Clone, Default)]
pub(crate) struct ClassQueue {
    /// Queued requests by the account of their tenant, oldest first.
    pub(crate) by_account: Vec<VecDeque<usize>>,
    /// Weighted work started so far, for fair queueing among classes.
    pub(crate) virtual_time: f64,
    /// Time of a run, in seconds, all waits included.
    pub(crate) run_time: Mean,
    /// Size hint of a run, in seconds.
    pub(crate) size_hint: Mean,
    /// Share of downstream calls that failed or were never made.
    pub(crate) call_loss: Mean,
}

/// When a run began.
#[derive(Clone, Copy)]
pub(crate) struct RunStart {
    /// Time of the order to run.
    pub(crate) at: Duration,
    /// How long the process had stood still by then, since its start.
    pub(crate) stalled: Duration,
}

/// A shutdown notice.
#[derive(Clone, Copy)]
pub(crate) struct Shutdown {
    /// When it came.
    pub(crate) noticed: Duration,
    /// By when all requests must be answered.
    pub(crate) deadline: Duration,
}

/// A round of the concurrency limit's learner.
#[derive(Default)]
pub(crate) struct LearningRound {
    /// When it began.
    pub(crate) started: Duration,
    /// Runs that succeeded in it.
    pub(crate) completions: u32,
    /// Whether the limit was reached, with requests queued, at every tick of it.
    pub(crate) saturated: bool,
}

/// How the cores are used, as of the last tick.
#[derive(Default)]
pub(crate) struct CoreUse {
    /// Threads on cores that run no request: they read.
    pub(crate) reading: usize,
    /// Runs off the cores, where that is a habit.
    pub(crate) disk_waits: usize,
    /// Mean of runs off the cores.
    pub(crate) mean_disk_waits: Mean,
}
