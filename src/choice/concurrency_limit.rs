//! How many requests may run concurrently: a learned limit below a hard ceiling.
//!
//! The **ceiling** is [`SAFETY_SHARE`] of the concurrency that a machine survives: its cores times the overload
//! factor of the settings, less while it is cold ([`startup`](super::startup)). It bounds the learned limit.
//!
//! The **learned limit** is one of [`LIMIT_STEPS`], in requests per core. A round of [`LEARNING_ROUND`] counts if
//! the limit was reached and requests were queued at each of its ticks; its throughput (completions per second) is
//! then a sample for its step. After a counted round a neighbouring step is explored with a probability of one in
//! [`EXPLORE_ONE_IN`]; otherwise the step with the highest throughput is chosen, where a higher step must reach
//! [`MIN_GAIN`] times the throughput of a lower one. While the limit is reached and requests are queued, but the
//! cores are not busy, the limit rises by a step every [`CLIMB_INTERVAL`]. It is never more than one step above the
//! highest step of a counted round.
//!
//! **Corrections:** threads that read requests occupy cores and are subtracted from the learned limit, but one run
//! per [`CORES_PER_GUARANTEED_RUN`] cores is always allowed; runs that wait for a disk free their cores and are added.
//!
//! Inputs: gauges of the cores (share in use; threads that run or are runnable), numbers of running and queued
//! requests. Not in KIP-124, whose brokers have a fixed number of threads.

use super::overload::cores_are_busy;
use super::shared_constants::{MIN_WEIGHT, RECENT_SPAN, SAFETY_SHARE};
use super::startup::warm_share;
use crate::decay::Mean;
use crate::host::Gauges;
use crate::options::ColdStart;
use nanorand::{Rng, WyRand};
use std::time::Duration;

/// Steps of the learned limit, in requests per core. Much higher concurrency lowers the throughput, and waits for
/// downstream calls hide that from the cores gauge.
const LIMIT_STEPS: [f64; 6] = [1.0, 1.1, 1.2, 1.3, 1.4, 1.5];
/// Cores per run that is allowed even if reading occupies all cores: without runs no request would be served.
const CORES_PER_GUARANTEED_RUN: usize = 2;
/// Duration of a learning round.
const LEARNING_ROUND: Duration = Duration::from_secs(1);
/// Decay span of a step's throughput.
const THROUGHPUT_SPAN: Duration = Duration::from_secs(20);
/// One in this many counted rounds, on average, is followed by the exploration of a neighbouring step.
const EXPLORE_ONE_IN: u32 = 8;
/// Throughput ratio above which a higher step is preferred: at similar throughput, lower concurrency is better.
const MIN_GAIN: f64 = 1.15;
/// Time between two rises of the limit: the cores gauge averages half a second and needs most of that to show one.
const CLIMB_INTERVAL: Duration = Duration::from_millis(250);
/// Mean number of runs off the cores above which they count as disk waits: a lagging gauge shows a few as well.
const MIN_DISK_WAITS: f64 = 0.25;

/// A learning round.
#[derive(Default)]
struct LearningRound {
    started: Duration,
    /// Number of successful runs in the round.
    completions: u32,
    /// Whether the limit was reached, with requests queued, at every tick of the round.
    saturated: bool,
}

/// Use of the cores at the last tick.
#[derive(Default)]
struct CoreUse {
    /// Number of threads on cores that run no request: they read requests.
    reading: usize,
    /// Number of runs off the cores; zero unless their mean is above [`MIN_DISK_WAITS`].
    disk_waits: usize,
    /// Mean number of runs off the cores.
    mean_disk_waits: Mean,
}

/// How many requests may run concurrently.
pub struct ConcurrencyLimiter {
    cores: usize,
    overload_factor: f64,
    cold_start: Option<ColdStart>,
    step: usize,
    /// The highest step of a counted round.
    highest_proven: usize,
    /// Completions per second, by step.
    throughput: [Mean; LIMIT_STEPS.len()],
    round: LearningRound,
    core_use: CoreUse,
    rng: WyRand,
}

impl ConcurrencyLimiter {
    /// `seed`: of the random exploration; `overload_factor`: requests per core that a warm node survives.
    pub fn new(
        seed: u64,
        cores: usize,
        overload_factor: f64,
        cold_start: Option<ColdStart>,
    ) -> Self {
        Self {
            cores,
            overload_factor,
            cold_start,
            step: 0,
            highest_proven: 0,
            throughput: [Mean::default(); LIMIT_STEPS.len()],
            round: LearningRound::default(),
            core_use: CoreUse::default(),
            rng: WyRand::new_seed(seed),
        }
    }

    /// Takes over the overload factor of `new`; the learned limit is kept.
    pub(super) fn set_overload_factor(&mut self, new: &Self) {
        self.overload_factor = new.overload_factor;
    }

    /// Number of cores of the machine.
    pub(super) fn cores(&self) -> usize {
        self.cores
    }

    /// Upper bound of the limit: with more concurrent runs the process could crash.
    pub(super) fn ceiling(&self, now: Duration) -> usize {
        let warm = warm_share(self.cold_start, now);
        let survived = self.cores as f64 * (1.0 + (self.overload_factor - 1.0) * warm);
        ((survived * SAFETY_SHARE) as usize).max(1)
    }

    /// How many requests may run now.
    pub(super) fn limit(&self, now: Duration) -> usize {
        let learned = (self.cores as f64 * LIMIT_STEPS[self.step]).round() as usize;
        let guaranteed = self.cores.div_ceil(CORES_PER_GUARANTEED_RUN);
        let corrected = (learned + self.core_use.disk_waits).saturating_sub(self.core_use.reading);
        corrected.max(guaranteed).min(self.ceiling(now))
    }

    /// A run succeeded.
    pub(super) fn on_run_succeeded(&mut self) {
        self.round.completions += 1;
    }

    /// Corrects the limit, and updates the learned limit at the end of a round.
    pub(super) fn on_tick(
        &mut self,
        now: Duration,
        gauges: Gauges,
        running: usize,
        any_queued: bool,
    ) {
        self.update_core_use(now, gauges, running);
        let saturated = running >= self.limit(now) && any_queued;
        self.round.saturated &= saturated;
        let max_step = (self.highest_proven + 1).min(LIMIT_STEPS.len() - 1);
        let climb_due = now >= self.round.started + CLIMB_INTERVAL;
        if !cores_are_busy(gauges) && saturated && self.step < max_step && climb_due {
            self.step += 1;
            self.start_round(now);
        } else if now >= self.round.started + LEARNING_ROUND {
            if self.round.saturated {
                self.learn(now);
                self.choose_step(now, max_step);
            }
            self.start_round(now);
        }
    }

    fn update_core_use(&mut self, now: Duration, gauges: Gauges, running: usize) {
        let on_cores = gauges
            .runnable
            .map_or(running, |runnable| runnable as usize);
        let core_use = &mut self.core_use;
        core_use.reading = on_cores.saturating_sub(running);
        let disk_waits = running.saturating_sub(on_cores);
        core_use
            .mean_disk_waits
            .add(now, disk_waits as f64, RECENT_SPAN);
        let is_sustained = core_use.mean_disk_waits.read() > Some(MIN_DISK_WAITS);
        core_use.disk_waits = if is_sustained { disk_waits } else { 0 };
    }

    /// Starts a learning round.
    pub(super) fn start_round(&mut self, now: Duration) {
        self.round = LearningRound {
            started: now,
            completions: 0,
            saturated: true,
        };
    }

    /// Records the throughput of the round that has ended as a sample for its step.
    fn learn(&mut self, now: Duration) {
        let span = now.saturating_sub(self.round.started).as_secs_f64();
        let throughput = f64::from(self.round.completions) / span;
        self.throughput[self.step].add(now, throughput, THROUGHPUT_SPAN);
        self.highest_proven = self.highest_proven.max(self.step);
    }

    /// Chooses the step with the highest throughput, or at random a neighbouring step to explore.
    fn choose_step(&mut self, now: Duration, max_step: usize) {
        if self.rng.generate_range(0..EXPLORE_ONE_IN) == 0 {
            let up = self.rng.generate_range(0..2u32) == 1;
            self.step = if up {
                (self.step + 1).min(max_step)
            } else {
                self.step.saturating_sub(1)
            };
            return;
        }
        let throughput = self.throughput.map(|mean| {
            let known = mean.known(now, THROUGHPUT_SPAN, MIN_WEIGHT);
            known.unwrap_or(0.0)
        });
        let better = |best: usize, step: usize| {
            if throughput[step] > throughput[best] * MIN_GAIN {
                step
            } else {
                best
            }
        };
        self.step = (0..=max_step).reduce(better).unwrap_or(0);
    }
}
