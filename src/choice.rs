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

use crate::decay::{Decaying, Mean, WindowSum};
use crate::host::{Arrival, Gauges, Host, Outcome, Repeatability, RequestClass, RetryOf};
use crate::in_flight::{DownstreamCall, InFlightRequests, Request, Stage};
use crate::options::{AdvertiserOptions, ColdStart, DownstreamShare};
use crate::state::{
    ClassQueue, CoreUse, LearningRound, RunStart, Shutdown, TargetScale, TenantUsage,
};
use nanorand::{Rng, WyRand};
use std::collections::VecDeque;
use std::time::Duration;

pub mod parts;

/// Window of the quotas: shows the rate of a tenant of one request a second, yet is short beside a surge.
const WINDOW: Duration = Duration::from_secs(4);
/// Mean charges beyond its quota that a tenant may spend in a window: one run alone proves no habit.
const BURST_CHARGES: f64 = 1.0;
/// Decay span of the mean charge and run times: some hundred runs, yet it follows a slowed machine.
const MEAN_SPAN: Duration = Duration::from_secs(10);
/// Samples before a mean counts as known: with fewer, one outlier decides.
const MIN_SAMPLES: f64 = 4.0;
/// Between ticks: half of `TIME_MARGIN`, and cheap.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Between an answer and its deadline, or a key's window and its cached result's end: two ticks.
const TIME_MARGIN: Duration = Duration::from_millis(40);
/// Share of the latency objective that the queue may take to clear before the node counts as overloaded.
const OVERLOAD_SHARE: f64 = 0.15;
/// Ratio of demand to quota from which a tenant's requests are shed first: far more than a swing of the load.
const SHED_DEMAND_RATIO: f64 = 3.0;
/// Share of the latency objective that a request may wait, unread or queued.
const MAX_WAIT_SHARE: f64 = 0.5;
/// Usual runs left before the objective for a start: runs spread far above their mean, more on a slow node.
const RUN_TIME_HEADROOM: f64 = 1.5;
/// Gauge of the cores that reads busy: it averages half a second, so full cores read a little less than 1.
const CORES_BUSY: f64 = 0.9;
/// Steps of the concurrency limit, in requests a core. Past some concurrency that nobody measured a node gets
/// much less done, and waits on calls hide it; steps past 1.5 a core lost on every deployment simulated.
const LIMIT_STEPS: [f64; 6] = [1.0, 1.1, 1.2, 1.3, 1.4, 1.5];
/// One run for so many cores may go on even if reading takes all cores: reads alone would serve nobody.
const CORES_PER_GUARANTEED_RUN: usize = 2;
/// Round of the limit's learner: some ten completions, else the throughput is mostly chance.
const LEARNING_ROUND: Duration = Duration::from_secs(1);
/// Decay span of the learned throughput: twenty rounds, so that a changed machine is learned again.
const THROUGHPUT_SPAN: Duration = Duration::from_secs(20);
/// Weight under which a mean is forgotten: a single sample, two thirds of the span ago.
const MIN_WEIGHT: f64 = 0.5;
/// One round in so many explores a neighbouring step.
const EXPLORE_ONE_IN: u32 = 8;
/// Throughput ratio from which a higher step is preferred: less concurrency for the same work.
const MIN_GAIN: f64 = 1.15;
/// Between two quick climbs: the gauge needs most of its half second to show the last one.
const CLIMB_INTERVAL: Duration = Duration::from_millis(250);
/// Mean of runs off the cores from which they count as disk waits: a gauge that lags shows some too.
const MIN_DISK_WAITS: f64 = 0.25;
/// Share of the bounds on concurrency, memory and downstream load that is used: the rest is a reserve.
const SAFETY_SHARE: f64 = 0.8;
/// Requests running or at calls, in ceilings: hung calls take no core, yet might all return at once.
const OUTSTANDING_CEILINGS: usize = 3;
/// Downstream calls a second: at least (one probes the tier below), at the start, and at most.
const MIN_CALL_RATE: f64 = 1.0;
const INITIAL_CALL_RATE: f64 = 16.0;
const MAX_CALL_RATE: f64 = 1_000.0;
/// Seconds for which unused calls are saved up: enough for a few requests that come together.
const CALL_BURST_S: f64 = 0.25;
/// Calls slower than this many times their usual lower the rate; else it rises.
const SLOWDOWN_RATIO: f64 = 2.0;
/// Factors of the call rate at each call: it falls when more than half fail, a failed zone is less.
const CALL_RATE_DECREASE: f64 = 0.84;
const CALL_RATE_INCREASE: f64 = 1.2;
/// Decay span of recent call times and of health: a few tens of completions.
const RECENT_SPAN: Duration = Duration::from_secs(2);
/// Share of a class's calls that failed or were never made from which it is short of calls.
const CALL_SHORTAGE: f64 = 0.1;
/// Share of the downstream bound up to which all classes call alike: a tier slows down before it fails.
const UNCONTENDED_SHARE: f64 = 0.25;
/// Usual call times that a request waits for a call it can do without: longer, and all wait together.
const MAX_OPTIONAL_CALL_WAIT: f64 = 4.0;
/// Share of a class's usual run still needed after a call.
const RUN_SHARE_AFTER_CALL: f64 = 0.6;
/// Attempts of one call, except a required one that was rejected: a fourth would overload the tier below.
const MAX_CALL_ATTEMPTS: u32 = 3;
/// Share of recent runs that failed above which a node becomes unhealthy, and up to which it recovers.
const UNHEALTHY_ABOVE: f64 = 0.3;
const HEALTHY_BELOW: f64 = 0.1;
/// No completion for so many usual runs, and at least for this long: runs hang.
const HUNG_RUNS: f64 = 5.0;
const MIN_HUNG_TIME: Duration = Duration::from_millis(1_500);
/// Share of retries among arrivals from which other nodes are taken to be overloaded too.
const FLEET_OVERLOAD_RETRIES: f64 = 0.12;
/// An unhealthy node admits one request this often.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Open connections a core past which idle ones close sooner, and callers a core up to which none do.
const CONNECTIONS_PER_CORE: f64 = 6.0;
const CALLERS_PER_CORE: f64 = 10.0;
/// Factors of the idle timeout, once a round.
const IDLE_TIMEOUT_DECREASE: f64 = 0.5;
const IDLE_TIMEOUT_INCREASE: f64 = 2.0;

/// What each tenant has spent, and what it may spend: the design's quota.
pub struct TenantQuotas {
    rates: Vec<f64>,
    spent: Vec<Decaying>,
    requested: Vec<Decaying>,
    rejected_until: Vec<Duration>,
    charge: Mean,
}

impl TenantQuotas {
    /// `quotas`: requests a second over all `servers`; the last account is for requests of no tenant.
    pub fn new(quotas: &[f64], servers: usize) -> Self {
        let n = quotas.len() + 1;
        let rates = quotas
            .iter()
            .map(|quota| quota / servers.max(1) as f64)
            .collect();
        let (spent, requested) = (vec![Decaying::default(); n], vec![Decaying::default(); n]);
        Self {
            rates,
            spent,
            requested,
            rejected_until: vec![Duration::ZERO; n],
            charge: Mean::default(),
        }
    }

    /// The mean charge, and what all tenants together spent for each unit of quota: one pass for all of them.
    fn target_scale(&self, now: Duration) -> Option<TargetScale> {
        let mean_charge = self.charge.known(now, MEAN_SPAN, MIN_SAMPLES)?;
        let all: f64 = self.spent.iter().map(|spent| spent.read(now, WINDOW)).sum();
        let charge_per_rate = all / self.rates.iter().sum::<f64>().max(f64::MIN_POSITIVE);
        Some(TargetScale {
            mean_charge,
            charge_per_rate,
        })
    }

    /// T is the quota times the mean charge; while the tenants together spend more than their quotas, the
    /// capacity is lent in proportion, so that T never binds below what is there. Guards against thin quotas
    /// too: two charges that come together prove nothing.
    fn usage(&self, now: Duration, account: usize, scale: Option<TargetScale>) -> TenantUsage {
        let Some((rate, scale)) = self.rates.get(account).zip(scale) else {
            return TenantUsage::default();
        };
        let mean = scale.mean_charge;
        let target =
            rate * scale.charge_per_rate.max(mean * WINDOW.as_secs_f64()) + BURST_CHARGES * mean;
        let target_or_tiny = target.max(f64::MIN_POSITIVE);
        let requested = self.requested[account].read(now, WINDOW) * mean / target_or_tiny;
        TenantUsage {
            spent: self.spent[account].read(now, WINDOW) / target_or_tiny,
            requested,
        }
    }

    /// At the end of a run: X = (O - T) / T * W, at most W.
    fn charge_run(&mut self, now: Duration, account: usize, charge: f64) {
        self.charge.add(now, charge, MEAN_SPAN);
        self.spent[account].add(now, charge, WINDOW);
        let excess = (self.usage(now, account, self.target_scale(now)).spent - 1.0).clamp(0.0, 1.0);
        self.rejected_until[account] = now + WINDOW.mul_f64(excess);
    }
}

/// How many requests may run at once: a learned limit, under the concurrency that a node survives.
pub struct ConcurrencyLimiter {
    cores: usize,
    overload_factor: f64,
    cold_start: Option<ColdStart>,
    step: usize,
    highest_proven: usize,
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

    /// Guards against dying of overload; while cold the slowest warm-up allowed is assumed.
    fn ceiling(&self, now: Duration) -> usize {
        let warm = self.cold_start.map_or(1.0, |cold| {
            let age =
                now.saturating_sub(cold.began).as_secs_f64() / cold.warm_up.as_secs_f64().max(1e-9);
            (cold.initial_speed + (1.0 - cold.initial_speed) * age).clamp(0.0, 1.0)
        });
        ((self.cores as f64 * (1.0 + (self.overload_factor - 1.0) * warm) * SAFETY_SHARE) as usize)
            .max(1)
    }

    /// How many requests may run now: reading takes cores from runs, disk waits leave cores to them.
    fn limit(&self, now: Duration) -> usize {
        let learned = (self.cores as f64 * LIMIT_STEPS[self.step]).round() as usize;
        let guaranteed = self.cores.div_ceil(CORES_PER_GUARANTEED_RUN);
        let with_waits = (learned + self.core_use.disk_waits).saturating_sub(self.core_use.reading);
        with_waits.max(guaranteed).min(self.ceiling(now))
    }

    fn on_tick(&mut self, now: Duration, gauges: Gauges, running: usize, any_queued: bool) {
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

    fn start_round(&mut self, now: Duration) {
        self.round = LearningRound {
            started: now,
            completions: 0,
            saturated: true,
        };
    }

    /// Explores a neighbouring step now and then, else takes the one with the highest throughput.
    fn choose_step(&mut self, now: Duration, highest: usize) {
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

/// The rate of downstream calls, and this node's share of the load that all nodes put on that tier.
#[derive(Default)]
pub struct DownstreamLimiter {
    share: Option<DownstreamShare>,
    rate: f64,
    tokens: f64,
    refilled: Duration,
    began: Option<Duration>,
    head_start: f64,
    recent_time: Mean,
    usual_time: Mean,
    successes: Decaying,
    completions: Decaying,
    used: WindowSum,
    reserved: Duration,
}

impl DownstreamLimiter {
    /// `share`: this node's share of the tier, where nodes share it.
    pub fn new(share: Option<DownstreamShare>) -> Self {
        let head_start = (1.0 - SAFETY_SHARE) / SAFETY_SHARE;
        Self {
            share,
            rate: INITIAL_CALL_RATE,
            tokens: MIN_CALL_RATE,
            head_start,
            ..Self::default()
        }
    }

    /// How long a call made now may take, if one may. Guards against nodes that together load what they share
    /// past what it survives, be it slow, cold, dead or crowded: what calls held there in the window, and the
    /// most that those in progress may still hold, stay under this node's share of the mean, now and later.
    fn time_limit(&mut self, now: Duration) -> Option<Duration> {
        let since = now.saturating_sub(self.refilled).as_secs_f64();
        self.tokens = (self.tokens + since * self.rate).min((self.rate * CALL_BURST_S).max(1.0));
        self.refilled = now;
        let longest = self.share.map_or(Some(Duration::MAX), |share| {
            self.used.expire(now, share.window);
            let budget = share.window.mul_f64(share.concurrency * SAFETY_SHARE);
            // A restarted node knows nothing of what the one before held; that leaves the window as it ages.
            let age = now
                .saturating_sub(*self.began.get_or_insert(now))
                .as_secs_f64();
            let grown = (self.head_start + age / share.window.as_secs_f64()).min(1.0);
            let held = self.used.read() + self.reserved;
            let left = budget
                .mul_f64(grown)
                .saturating_sub(held)
                .checked_sub(share.linger)?;
            // One call takes no more than half of the budget, unless calls are that slow.
            let likely =
                Duration::from_secs_f64(self.recent_time.read().unwrap_or(0.0) * SLOWDOWN_RATIO);
            let most = likely
                .max(budget / 2)
                .min(budget)
                .saturating_sub(share.linger);
            // Until one succeeds while the node is young, a call that its age cuts short would only fail.
            let least = if grown < 1.0 && likely.is_zero() {
                most / 2
            } else {
                likely.min(most)
            };
            (left >= least)
                .then_some(left.min(most))
                .filter(|limit| !limit.is_zero())
        });
        longest.filter(|_| self.tokens >= 1.0 && (self.reserved.is_zero() || self.is_uncontended()))
    }

    /// Whether at most a quarter of this node's share is in use: the tier slows down well before it fails.
    fn is_uncontended(&self) -> bool {
        let Some(share) = self.share else { return true };
        let bound = share
            .window
            .mul_f64(share.concurrency * SAFETY_SHARE * UNCONTENDED_SHARE);
        self.used.read() + self.reserved <= bound
    }

    fn on_call_started(&mut self, call: DownstreamCall) {
        self.tokens -= 1.0;
        self.reserved += self
            .share
            .map_or(Duration::ZERO, |share| call.time_limit() + share.linger);
    }

    /// A call returned, or was cancelled and may linger downstream.
    fn on_call_ended(&mut self, now: Duration, call: DownstreamCall, outcome: Outcome) {
        let took = now.saturating_sub(call.started);
        if let Some(share) = self.share {
            self.reserved = self
                .reserved
                .saturating_sub(call.time_limit() + share.linger);
            let linger = if outcome.may_still_run() {
                share.linger
            } else {
                Duration::ZERO
            };
            self.used.add(now + linger, took + linger);
        }
        let took = took.as_secs_f64();
        self.completions.add(now, 1.0, RECENT_SPAN);
        if outcome == Outcome::Succeeded {
            self.successes.add(now, 1.0, RECENT_SPAN);
            self.recent_time.add(now, took, RECENT_SPAN);
            self.usual_time.add(now, took, MEAN_SPAN);
        }
        // Guards against a rate that feeds on itself: a call without time proves nothing, a success does.
        let usual = self.usual_time.read().unwrap_or(0.0);
        if outcome != Outcome::Cancelled && (outcome != Outcome::TimedOut || took >= usual) {
            self.adapt_rate(now, outcome, usual);
        }
    }

    /// Raises or lowers the rate of calls after one whose outcome shows how the tier does.
    fn adapt_rate(&mut self, now: Duration, outcome: Outcome, usual_time: f64) {
        let slowed = self.recent_time.read().unwrap_or(0.0) > SLOWDOWN_RATIO * usual_time;
        let good = outcome == Outcome::Succeeded && !slowed;
        let factor = if good {
            CALL_RATE_INCREASE
        } else {
            CALL_RATE_DECREASE
        };
        let span = RECENT_SPAN.as_secs_f64();
        let succeeding = self.successes.read(now, RECENT_SPAN) / span * CALL_RATE_DECREASE;
        // Hundreds of nodes at one call a second each may be far more than a slow tier can do.
        let min = self.share.map_or(MIN_CALL_RATE, |s| {
            MIN_CALL_RATE.min(s.window.as_secs_f64().recip())
        });
        // A rate that never bound is no measure of the tier: failures lower what was really made.
        let made = self.completions.read(now, RECENT_SPAN);
        let binds = factor < 1.0 && made >= MIN_SAMPLES / 2.0;
        let rate = if binds {
            self.rate.min(made / span * SLOWDOWN_RATIO)
        } else {
            self.rate
        };
        self.rate = (rate * factor).clamp(succeeding.clamp(min, MAX_CALL_RATE), MAX_CALL_RATE);
    }
}

/// What callers learn of a node: when to retry, its load, its health, and that it is stopping.
#[derive(Default)]
pub struct LoadAdvertiser {
    options: AdvertiserOptions,
    retry_share: Mean,
    shutdown: Option<Shutdown>,
    unavailable: bool,
    idle_timeout: Duration,
    trimmed: Duration,
}

impl LoadAdvertiser {
    /// An advertiser that has sent nothing yet.
    pub fn new(options: AdvertiserOptions) -> Self {
        Self {
            options,
            idle_timeout: options.clients.idle_timeout,
            ..Self::default()
        }
    }

    /// Guards against a table full of connections that nobody uses again: it slows all work, and refuses
    /// callers unseen, also while much is rejected, since each of many callers comes here seldom.
    fn trim_connections(&mut self, now: Duration, host: &mut dyn Host, open: f64, cores: usize) {
        if now < self.trimmed + LEARNING_ROUND {
            return;
        }
        let (clients, cores) = (self.options.clients, cores as f64);
        let few = open < CONNECTIONS_PER_CORE * cores
            || clients.callers as f64 <= CALLERS_PER_CORE * cores;
        let factor = if few {
            IDLE_TIMEOUT_INCREASE
        } else {
            IDLE_TIMEOUT_DECREASE
        };
        let timeout = self
            .idle_timeout
            .mul_f64(factor)
            .max(TICK_INTERVAL)
            .min(clients.idle_timeout);
        self.trimmed = now;
        if std::mem::replace(&mut self.idle_timeout, timeout) != timeout {
            host.close_idle_after(timeout);
        }
    }

    /// Asks callers to keep away, or to come again.
    fn set_unavailable(&mut self, host: &mut dyn Host, unavailable: bool) {
        if std::mem::replace(&mut self.unavailable, unavailable) == unavailable {
            return;
        }
        host.set_health(!unavailable);
        if let Some(value) = self.options.signal.value_for(unavailable) {
            host.advertise_load(value);
        }
    }
}

/// Whether runs end, and end well.
#[derive(Default)]
struct HealthMonitor {
    failures: Mean,
    last_completion: Duration,
    unhealthy: bool,
    last_probe: Duration,
}

impl HealthMonitor {
    fn update(&mut self, now: Duration, any_running: bool, usual_run: Duration) {
        if !any_running {
            self.last_completion = now;
        }
        let hung = now.saturating_sub(self.last_completion)
            > usual_run.mul_f64(HUNG_RUNS).max(MIN_HUNG_TIME);
        let (min_samples, bound) = if self.unhealthy {
            (0.0, HEALTHY_BELOW)
        } else {
            (MIN_SAMPLES, UNHEALTHY_ABOVE)
        };
        self.unhealthy = hung || self.failures.known(now, RECENT_SPAN, min_samples) > Some(bound);
    }

    fn admits(&mut self, now: Duration) -> bool {
        let admitted = !self.unhealthy || now >= self.last_probe + PROBE_INTERVAL;
        self.last_probe = if admitted { now } else { self.last_probe };
        admitted
    }
}

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

    /// How long a run of this class, and of this size hint, usually takes, all waits included.
    fn usual_run(&self, class: usize, size_hint: Option<Duration>) -> Duration {
        let queue = &self.queues[class];
        let hints = size_hint.zip(queue.size_hint.read());
        let size = hints.map_or(1.0, |(hint, mean)| hint.as_secs_f64() / mean);
        Duration::try_from_secs_f64(queue.run_time.read().unwrap_or(0.0) * size)
            .unwrap_or(Duration::MAX)
    }

    /// How long until the cores have worked off the queues.
    fn queue_wait(&self) -> Duration {
        let charge = self.quotas.charge.read().unwrap_or(0.0);
        Duration::from_secs_f64(
            self.in_flight.queued() as f64 * charge / self.limiter.cores.max(1) as f64,
        )
    }

    /// Answers or moves on every request whose timer has expired.
    fn expire_deadlines(&mut self, now: Duration, host: &mut dyn Host) {
        while let Some(ix) = self.in_flight.next_expired(now) {
            let request = self.in_flight.expect(ix);
            let (stage, in_time) = (request.stage, now < request.deadline);
            let degradable = request.class.is_degradable();
            if stage == Stage::AwaitingCall {
                self.queues[request.class_index]
                    .call_loss
                    .add(now, 1.0, MEAN_SPAN);
            }
            match stage {
                Stage::Queued => self.reject(now, host, ix, self.queue_wait()),
                Stage::AwaitingCall if in_time && degradable => self.skip_call(now, host, ix),
                Stage::Calling if in_time => self.in_flight.set_timer_to_deadline(ix),
                _ => self.fail(host, ix),
            }
        }
    }

    /// The final error to a request that may have run.
    fn fail(&mut self, host: &mut dyn Host, ix: usize) {
        host.fail(ix);
        self.abandon(host, ix);
    }

    /// Nobody waits for the request any more: frees what can be freed now, the rest when its run ends.
    fn abandon(&mut self, host: &mut dyn Host, ix: usize) {
        self.in_flight.set_timer(ix, None);
        let Some(request) = self.in_flight.get(ix) else {
            return;
        };
        request.answered = true;
        match request.stage {
            Stage::Queued | Stage::AwaitingResult => self.release(host, ix),
            Stage::Running => host.cancel_run(ix),
            Stage::AwaitingCall => self.awaiting_call.retain(|&other| other != ix),
            Stage::Calling => {}
        }
    }

    /// The final answer to a request that never ran.
    fn reject(&mut self, now: Duration, host: &mut dyn Host, ix: usize, retry_after: Duration) {
        let advertiser = &self.advertiser;
        // Many retries show that other nodes are overloaded too; where none are marked, that is assumed.
        let many_retries = advertiser.retry_share.read() > Some(FLEET_OVERLOAD_RETRIES);
        let fleet_overloaded =
            self.cores_busy && (!advertiser.options.retries_marked || many_retries);
        let terminal =
            (self.in_flight.expect(ix).is_retry || fleet_overloaded) && !advertiser.unavailable;
        if self.in_flight.discard_result(now, ix) {
            host.discard_result(ix);
        }
        host.reject(
            ix,
            retry_after
                .min(advertiser.options.max_retry_after)
                .min(WINDOW),
            terminal,
        );
        self.release(host, ix);
    }

    /// Removes a request from all tables; its index is free again.
    fn release(&mut self, host: &mut dyn Host, ix: usize) {
        let Some(request) = self.in_flight.remove(ix) else {
            return;
        };
        let queues = &mut self.queues[request.class_index].by_account;
        match request.stage {
            Stage::Queued => queues[request.account].retain(|&other| other != ix),
            Stage::AwaitingCall => self.awaiting_call.retain(|&other| other != ix),
            _ => {}
        }
        host.release(ix);
    }

    /// Guards against dying of memory, and against a flood that takes the capacity of others: the newest goes
    /// of who requests most over T, since its quota is met where nodes are faster than this one.
    fn shed_load(&mut self, now: Duration, host: &mut dyn Host) {
        let objective = self
            .classes
            .iter()
            .map(|class| class.latency_objective)
            .min()
            .unwrap_or_default();
        loop {
            let no_memory = self.in_flight.memory_with(now, None) > SAFETY_SHARE;
            let overloaded =
                self.cores_busy && self.queue_wait() > objective.mul_f64(OVERLOAD_SHARE);
            if !no_memory && !overloaded {
                return;
            }
            let scale = self.quotas.target_scale(now);
            let queues = self
                .queues
                .iter()
                .flat_map(|queue| queue.by_account.iter().enumerate());
            let newest = queues.filter_map(|(account, queue)| Some((account, *queue.back()?)));
            let demand =
                newest.map(|(account, ix)| (self.quotas.usage(now, account, scale).requested, ix));
            let worst = demand.max_by(|a, b| a.0.total_cmp(&b.0));
            let Some((_, ix)) = worst.filter(|w| no_memory || w.0 > SHED_DEMAND_RATIO) else {
                return;
            };
            self.reject(now, host, ix, self.queue_wait());
        }
    }

    /// Starts what may start: tenants within their quota first, classes in turn by weight.
    fn dispatch(&mut self, now: Duration, host: &mut dyn Host) {
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

    fn start_run(&mut self, now: Duration, host: &mut dyn Host, ix: usize) {
        let start = RunStart {
            at: now,
            stalled: self.stalled,
        };
        self.in_flight.set_stage(ix, Stage::Running);
        let request = self.in_flight.expect(ix);
        request.after_run = Some(Box::new(move |node, at, host, ix, end| {
            node.end_run(at, host, ix, end, start)
        }));
        let queue = &mut self.queues[request.class_index];
        queue.by_account[request.account].retain(|&other| other != ix);
        let size = request
            .size_hint
            .map_or(queue.run_time.read().unwrap_or(1.0), |hint| {
                hint.as_secs_f64()
            });
        let work = if self.by_work { size } else { 1.0 };
        queue.virtual_time += work
            / self.classes[request.class_index]
                .value
                .max(f64::MIN_POSITIVE);
        self.in_flight.set_timer_to_deadline(ix);
        host.run(ix);
    }

    fn end_run(
        &mut self,
        now: Duration,
        host: &mut dyn Host,
        ix: usize,
        outcome: Outcome,
        start: RunStart,
    ) {
        let (running, request) = (self.in_flight.running().max(1), self.in_flight.expect(ix));
        let last_call = now.saturating_sub(request.call_requested);
        let calls = request.call_wait + last_call * u32::from(request.stage != Stage::Running);
        if outcome == Outcome::Cancelled && !request.answered {
            // Cancelled, but not by an order from here: it ran, so only an error is left.
            host.fail(ix);
        }
        if request.stage == Stage::Calling {
            self.downstream
                .on_call_ended(now, request.call, Outcome::Cancelled);
        }
        if outcome == Outcome::NeverStarted {
            // Against made-up requests: what could not run is no tenant's demand, and shows no run time.
            self.quotas.requested[request.account].add(now, -1.0, WINDOW);
            return self.release(host, ix);
        }
        let stalled = self.stalled.saturating_sub(start.stalled);
        let spent = now.saturating_sub(start.at + calls + stalled).as_secs_f64();
        let cores_per_run = (self.limiter.cores as f64 / running as f64).min(1.0);
        self.quotas
            .charge_run(now, request.account, spent * cores_per_run);
        let succeeded = outcome == Outcome::Succeeded;
        if matches!(outcome, Outcome::Succeeded | Outcome::Failed) {
            self.health.last_completion = now;
            self.health
                .failures
                .add(now, if succeeded { 0.0 } else { 1.0 }, RECENT_SPAN);
        }
        let run_time = now.saturating_sub(start.at).as_secs_f64();
        let queue = &mut self.queues[request.class_index];
        self.limiter.round.completions += u32::from(succeeded);
        // A run cut off counts where it already took longer than usual, else only short ones would.
        if succeeded || Some(run_time) > queue.run_time.read() {
            queue.run_time.add(now, run_time, MEAN_SPAN);
            if let Some(hint) = request.size_hint {
                queue
                    .size_hint
                    .add(now, hint.as_secs_f64().max(f64::MIN_POSITIVE), MEAN_SPAN);
            }
        }
        self.release(host, ix);
    }

    /// The latest that a call may take: where a degraded answer has a value, in time for the objective.
    fn call_deadline(&mut self, ix: usize) -> Duration {
        let request = self.in_flight.expect(ix);
        let (deadline, class) = (request.deadline, request.class);
        if class.degraded_share == 0.0 {
            return deadline;
        }
        let (objective, class_index) = (
            request.arrived + class.latency_objective,
            request.class_index,
        );
        let rest = self
            .usual_run(class_index, None)
            .mul_f64(RUN_SHARE_AFTER_CALL);
        objective.saturating_sub(rest).min(deadline)
    }

    /// Guards against a rate that feeds on itself: a call made with too little time left only fails.
    fn await_call(&mut self, ix: usize) {
        let usual = Duration::from_secs_f64(self.downstream.usual_time.read().unwrap_or(0.0));
        let mut start_by = self.call_deadline(ix).saturating_sub(usual);
        let request = self.in_flight.expect(ix);
        if request.class.is_degradable() {
            let wait = usual.mul_f64(MAX_OPTIONAL_CALL_WAIT).max(TICK_INTERVAL);
            start_by = start_by.min(request.call_requested + wait);
        }
        self.in_flight.set_stage(ix, Stage::AwaitingCall);
        self.in_flight.set_timer(ix, Some(start_by));
        self.awaiting_call.push_back(ix);
    }

    /// Makes the calls that the rate and the share allow.
    fn make_calls(&mut self, now: Duration, host: &mut dyn Host) {
        while let Some(limit) = self.downstream.time_limit(now) {
            // Guards against an overloaded tier: first where most value is lost without, then the newest.
            let values = self
                .awaiting_call
                .iter()
                .map(|&ix| self.in_flight.expect(ix).class.call_value());
            let best = values.enumerate().max_by(|a, b| a.1.total_cmp(&b.1));
            // Guards requests that lose most without their call: while they are short, others go without.
            let more_valuable_is_short = |value| {
                let classes = self.classes.iter().zip(&self.queues);
                let mut more_valuable = classes.filter(|(class, _)| class.call_value() > value);
                more_valuable.any(|(_, q)| {
                    q.call_loss.known(now, MEAN_SPAN, MIN_WEIGHT) > Some(CALL_SHORTAGE)
                })
            };
            let best =
                best.filter(|b| self.downstream.is_uncontended() || !more_valuable_is_short(b.1));
            let Some(ix) = best.and_then(|(at, _)| self.awaiting_call.remove(at)) else {
                return;
            };
            let deadline = self
                .call_deadline(ix)
                .max(now + TICK_INTERVAL)
                .min(now.saturating_add(limit));
            self.in_flight.set_stage(ix, Stage::Calling);
            let request = self.in_flight.expect(ix);
            let call = DownstreamCall {
                started: now,
                deadline: deadline.min(request.deadline),
            };
            request.call = call;
            request.call_attempts += 1;
            request.after_call = Some(Box::new(Self::end_call));
            self.in_flight.set_timer_to_deadline(ix);
            self.downstream.on_call_started(call);
            host.call_downstream(ix, call.deadline);
        }
    }

    fn end_call(&mut self, now: Duration, host: &mut dyn Host, ix: usize, outcome: Outcome) {
        let deadline = self.call_deadline(ix);
        let request = self.in_flight.expect(ix);
        let succeeded = outcome == Outcome::Succeeded;
        self.downstream.on_call_ended(now, request.call, outcome);
        self.queues[request.class_index].call_loss.add(
            now,
            if succeeded { 0.0 } else { 1.0 },
            MEAN_SPAN,
        );
        if succeeded {
            request.call_wait += now.saturating_sub(request.call_requested);
            return self.in_flight.set_stage(ix, Stage::Running);
        }
        // Guards against a second effect downstream: only a call that certainly did not run is repeated.
        let (never_ran, degradable) = (outcome.never_ran(), request.class.is_degradable());
        let repeatable = never_ran || request.class.repeatability == Repeatability::Idempotent;
        let attempts_left = request.call_attempts < MAX_CALL_ATTEMPTS || (never_ran && !degradable);
        let retry = repeatable && now < deadline && attempts_left;
        self.in_flight.set_stage(ix, Stage::AwaitingCall);
        match (self.in_flight.expect(ix).answered, retry, degradable) {
            (true, ..) => {}
            (_, true, _) => self.await_call(ix),
            (.., true) => self.skip_call(now, host, ix),
            _ => self.fail(host, ix),
        }
    }

    /// Lets a run go on without its call.
    fn skip_call(&mut self, now: Duration, host: &mut dyn Host, ix: usize) {
        self.awaiting_call.retain(|&other| other != ix);
        self.in_flight.set_stage(ix, Stage::Running);
        let request = self.in_flight.expect(ix);
        request.call_wait += now.saturating_sub(request.call_requested);
        self.in_flight.set_timer_to_deadline(ix);
        host.reply_degraded(ix);
    }
}
