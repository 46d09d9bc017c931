//! How many requests may run at once: a learned limit below a hard ceiling.
//!
//! The **ceiling** is [`SAFETY_SHARE`] of the concurrency that a machine survives: its cores times the overload
//! factor of the settings, less while it is cold ([`startup`](super::startup)). It holds whatever else is learned.
//!
//! The **learned limit** is one of [`LIMIT_STEPS`], in requests a core. A round of [`LEARNING_ROUND`] counts when
//! the limit was reached and requests were queued at each of its ticks; its throughput (completions a second) is
//! then the sample for its step. After such a round a neighbouring step is explored now and then; else the step
//! with the highest throughput is taken, where a higher step must reach [`MIN_GAIN`] times that of a lower one.
//! While the cores have time left though the limit is reached and requests are queued, it climbs a step each
//! [`CLIMB_INTERVAL`]. It never goes more than one step past the highest that a counted round was run at.
//!
//! **Corrections:** threads that read requests take cores from runs and are taken off the learned limit, but one
//! run for [`CORES_PER_GUARANTEED_RUN`] cores may always go on; runs that wait for a disk leave their cores to
//! others and are added.
//!
//! Inputs: gauges of the cores (share in use; threads that run or want to), numbers of running and queued
//! requests. Not in KIP-124, whose brokers have a fixed number of threads.

use super::overload::cores_are_busy;
use super::shared_constants::{MIN_WEIGHT, RECENT_SPAN, SAFETY_SHARE};
use super::startup::warm_share;
use crate::decay::Mean;
use crate::host::Gauges;
use crate::options::ColdStart;
use nanorand::{Rng, WyRand};
use std::time::Duration;

/// Steps of the learned limit, in requests a core. Much higher concurrency gets less done, and waits on
/// downstream calls hide that from the cores gauge.
const LIMIT_STEPS: [f64; 6] = [1.0, 1.1, 1.2, 1.3, 1.4, 1.5];
/// Cores for each run that may go on even if reading takes all cores: reading alone would serve nobody.
const CORES_PER_GUARANTEED_RUN: usize = 2;
/// Length of a round of the learner.
const LEARNING_ROUND: Duration = Duration::from_secs(1);
/// Decay span of a step's throughput.
const THROUGHPUT_SPAN: Duration = Duration::from_secs(20);
/// One counted round in so many is followed by a neighbouring step.
const EXPLORE_ONE_IN: u32 = 8;
/// Throughput ratio from which a higher step is preferred: less concurrency for the same work.
const MIN_GAIN: f64 = 1.15;
/// Time between two climbs: the cores gauge needs most of its half second to show the last one.
const CLIMB_INTERVAL: Duration = Duration::from_millis(250);
/// Mean of runs off the cores from which they count as disk waits: a gauge that lags shows some too.
const MIN_DISK_WAITS: f64 = 0.25;

/// A round of the learner.
#[derive(Default)]
struct LearningRound {
    started: Duration,
    /// Runs that succeeded in it.
    completions: u32,
    /// Whether the limit was reached, with requests queued, at every tick of it.
    saturated: bool,
}

/// How the cores are used, as of the last tick.
#[derive(Default)]
struct CoreUse {
    /// Threads on cores that run no request: they read.
    reading: usize,
    /// Runs off the cores, where that is a habit.
    disk_waits: usize,
    /// Mean of runs off the cores.
    mean_disk_waits: Mean,
}

/// How many requests may run at once.
pub struct ConcurrencyLimiter {
    cores: usize,
    overload_factor: f64,
    cold_start: Option<ColdStart>,
    step: usize,
    /// The highest step that a counted round was run at.
    highest_proven: usize,
    /// Completions a second, by step.
    throughput: [Mean; LIMIT_STEPS.len()],
    round: LearningRound,
    core_use: CoreUse,
    rng: WyRand,
}

impl ConcurrencyLimiter {
    /// `seed`: of the exploration; `overload_factor`: requests a core that a warm node survives.
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

    /// Takes the overload factor of `new`; what was learned stays.
    pub(super) fn set_overload_factor(&mut self, new: &Self) {
        self.overload_factor = new.overload_factor;
    }

    /// Cores of the machine.
    pub(super) fn cores(&self) -> usize {
        self.cores
    }

    /// How many requests may run in any case: more could end the process.
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

    /// A tick came: corrects the limit, and learns when a round is over.
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
        let is_habit = core_use.mean_disk_waits.read() > Some(MIN_DISK_WAITS);
        core_use.disk_waits = if is_habit { disk_waits } else { 0 };
    }

    /// Begins a round.
    pub(super) fn start_round(&mut self, now: Duration) {
        self.round = LearningRound {
            started: now,
            completions: 0,
            saturated: true,
        };
    }

    /// Takes the round that is over as a sample of its step.
    fn learn(&mut self, now: Duration) {
        let span = now.saturating_sub(self.round.started).as_secs_f64();
        let throughput = f64::from(self.round.completions) / span;
        self.throughput[self.step].add(now, throughput, THROUGHPUT_SPAN);
        self.highest_proven = self.highest_proven.max(self.step);
    }

    /// Explores a neighbouring step now and then, else takes the one with the highest throughput.
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
