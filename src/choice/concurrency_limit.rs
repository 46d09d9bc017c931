//! How many requests may run at once.

use super::overload::CORES_BUSY;
use super::shared_constants::{MIN_WEIGHT, RECENT_SPAN, SAFETY_SHARE};
use crate::decay::Mean;
use crate::host::Gauges;
use crate::options::ColdStart;
use nanorand::{Rng, WyRand};
use std::time::Duration;

/// Steps of the concurrency limit, in requests a core. Past some concurrency that nobody measured a node gets
/// much less done, and waits on calls hide it; steps past 1.5 a core lost on every deployment simulated.
pub(super) const LIMIT_STEPS: [f64; 6] = [1.0, 1.1, 1.2, 1.3, 1.4, 1.5];
/// One run for so many cores may go on even if reading takes all cores: reads alone would serve nobody.
pub(super) const CORES_PER_GUARANTEED_RUN: usize = 2;
/// Round of the limit's learner: some ten completions, else the throughput is mostly chance.
pub(super) const LEARNING_ROUND: Duration = Duration::from_secs(1);
/// Decay span of the learned throughput: twenty rounds, so that a changed machine is learned again.
pub(super) const THROUGHPUT_SPAN: Duration = Duration::from_secs(20);
/// One round in so many explores a neighbouring step.
pub(super) const EXPLORE_ONE_IN: u32 = 8;
/// Throughput ratio from which a higher step is preferred: less concurrency for the same work.
pub(super) const MIN_GAIN: f64 = 1.15;
/// Between two quick climbs: the gauge needs most of its half second to show the last one.
pub(super) const CLIMB_INTERVAL: Duration = Duration::from_millis(250);
/// Mean of runs off the cores from which they count as disk waits: a gauge that lags shows some too.
pub(super) const MIN_DISK_WAITS: f64 = 0.25;

/// A round of the concurrency limit's learner.
#[derive(Default)]
pub(super) struct LearningRound {
    /// When it began.
    pub(super) started: Duration,
    /// Runs that succeeded in it.
    pub(super) completions: u32,
    /// Whether the limit was reached, with requests queued, at every tick of it.
    pub(super) saturated: bool,
}

/// How the cores are used, as of the last tick.
#[derive(Default)]
pub(super) struct CoreUse {
    /// Threads on cores that run no request: they read.
    pub(super) reading: usize,
    /// Runs off the cores, where that is a habit.
    pub(super) disk_waits: usize,
    /// Mean of runs off the cores.
    pub(super) mean_disk_waits: Mean,
}

/// How many requests may run at once: a learned limit, under the concurrency that a node survives.
pub struct ConcurrencyLimiter {
    pub(super) cores: usize,
    pub(super) overload_factor: f64,
    pub(super) cold_start: Option<ColdStart>,
    pub(super) step: usize,
    pub(super) highest_proven: usize,
    pub(super) throughput: [Mean; LIMIT_STEPS.len()],
    pub(super) round: LearningRound,
    pub(super) core_use: CoreUse,
    pub(super) rng: WyRand,
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

    /// Guards against dying of overload; while cold the slowest warm-up allowed is assumed.
    pub(super) fn ceiling(&self, now: Duration) -> usize {
        let warm = self.cold_start.map_or(1.0, |cold| {
            let age =
                now.saturating_sub(cold.began).as_secs_f64() / cold.warm_up.as_secs_f64().max(1e-9);
            (cold.initial_speed + (1.0 - cold.initial_speed) * age).clamp(0.0, 1.0)
        });
        ((self.cores as f64 * (1.0 + (self.overload_factor - 1.0) * warm) * SAFETY_SHARE) as usize)
            .max(1)
    }

    /// How many requests may run now: reading takes cores from runs, disk waits leave cores to them.
    pub(super) fn limit(&self, now: Duration) -> usize {
        let learned = (self.cores as f64 * LIMIT_STEPS[self.step]).round() as usize;
        let guaranteed = self.cores.div_ceil(CORES_PER_GUARANTEED_RUN);
        let with_waits = (learned + self.core_use.disk_waits).saturating_sub(self.core_use.reading);
        with_waits.max(guaranteed).min(self.ceiling(now))
    }

    pub(super) fn on_tick(
        &mut self,
        now: Duration,
        gauges: Gauges,
        running: usize,
        any_queued: bool,
    ) {
        let on_cores = gauges
            .runnable
            .map_or(running, |runnable| runnable as usize);
        self.core_use.reading = on_cores.saturating_sub(running);
        let disk_waits = running.saturating_sub(on_cores);
        self.core_use
            .mean_disk_waits
            .add(now, disk_waits as f64, RECENT_SPAN);
        let is_habit = self.core_use.mean_disk_waits.read() > Some(MIN_DISK_WAITS);
        self.core_use.disk_waits = if is_habit { disk_waits } else { 0 };
        let full = running >= self.limit(now);
        self.round.saturated &= full && any_queued;
        let idle = gauges.cores_busy.is_some_and(|busy| busy < CORES_BUSY);
        let highest = (self.highest_proven + 1).min(LIMIT_STEPS.len() - 1);
        if idle
            && full
            && any_queued
            && self.step < highest
            && now >= self.round.started + CLIMB_INTERVAL
        {
            self.step += 1;
            self.start_round(now);
        } else if now >= self.round.started + LEARNING_ROUND {
            if self.round.saturated {
                let span = now.saturating_sub(self.round.started).as_secs_f64();
                self.throughput[self.step].add(
                    now,
                    f64::from(self.round.completions) / span,
                    THROUGHPUT_SPAN,
                );
                self.highest_proven = self.highest_proven.max(self.step);
                self.choose_step(now, highest);
            }
            self.start_round(now);
        }
    }

    pub(super) fn start_round(&mut self, now: Duration) {
        self.round = LearningRound {
            started: now,
            completions: 0,
            saturated: true,
        };
    }

    /// Explores a neighbouring step now and then, else takes the one with the highest throughput.
    pub(super) fn choose_step(&mut self, now: Duration, highest: usize) {
        if self.rng.generate_range(0..EXPLORE_ONE_IN) == 0 {
            let up = self.rng.generate_range(0..2u32) == 1;
            self.step = if up {
                (self.step + 1).min(highest)
            } else {
                self.step.saturating_sub(1)
            };
            return;
        }
        let known = self
            .throughput
            .map(|mean| mean.known(now, THROUGHPUT_SPAN, MIN_WEIGHT).unwrap_or(0.0));
        let better = |best: usize, step| {
            if known[step] > known[best] * MIN_GAIN {
                step
            } else {
                best
            }
        };
        self.step = (0..=highest).reduce(better).unwrap_or(0);
    }
}
