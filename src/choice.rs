//! Every decision of a node, with its tables and tuned values.
//!
//! Calls: [`AdmissionController::on_arrival`] when a request was read, `on_run_finished` when a run or a
//! cached reply is over, `on_downstream_call` and `on_call_finished` round a call to the tier below,
//! `on_caller_gone` when a caller left, `on_tick` when a tick is due, `on_shutdown_notice` on the notice to
//! leave. Orders go out through the trait `Host`; it and the types at the edge stand in `host.rs`.
//!
//! The design (docs/design.md): each tenant is charged its run time per window; while the node is pressed an
//! overspender's later requests are rejected with the delay left; a learned limit bounds what runs. Beside:
//! 1. the hold: a line for each traffic type, taking turns by weight, tenants within their share first;
//! 2. the alarm: every ticket in hand has one time at which it is answered, come what may;
//! 3. the crowd and memory bounds, from the figures told at start;
//! 4. the pace: calls below go at a rate that follows their recent time;
//! 5. the door: a node that is sick or leaves keeps tickets away, but for a trickle while sick;
//! 6. connections: the more stand open, the sooner idle ones close.

use crate::decay::{Decaying, Mean};
use crate::host::{Arrival, Gauges, Host, LoadSignal, Outcome, Repeatability, RequestClass, RetryOf};
use crate::in_flight::{InFlightRequests, Request, Stage};
use crate::parts::Parts;
use nanorand::{Rng, WyRand};
use std::collections::VecDeque;
use std::time::Duration;

/// W, s: long enough for a tenant of one ticket a second to show its rate, short beside a surge.
const WINDOW: Duration = Duration::from_millis(4_000);
/// Charges beyond its slice that a tenant may spend in W: the last one alone proves no habit.
const EVIDENCE: f64 = 1.0;
/// Span of the mean charge and mean times, s: some hundred runs, yet it follows a slowed machine.
const MEAN_SPAN: Duration = Duration::from_millis(10_000);
/// Samples before a mean counts as known, be it of charges or failures: below it one odd run decides.
const KNOWN: f64 = 4.0;
/// Between wake-ups, ms: half the room kept before an answer is due, and cheap.
const BEAT: Duration = Duration::from_millis(20);
/// Kept between an answer and its due time, or a window and its entry's end, ms: two beats.
const MARGIN: Duration = Duration::from_millis(40);
/// Share of the goal time held work may take to clear before the node counts as pressed.
const PRESSED: f64 = 0.15;
/// Tickets asked for over T from which a tenant's are shed first: far more than a swing of the load.
const GROSS: f64 = 3.0;
/// Share of the goal time that a ticket may wait, read or unread.
const HOLD: f64 = 0.5;
/// Usual runs left before the goal time for a start: runs spread far above their mean, more on a slow node.
const SPREAD: f64 = 1.5;
/// Cores gauge that reads busy: the gauge averages half a second, so full cores read a little less.
const BUSY: f64 = 0.9;
/// Limit steps, in tickets a core: the learner's arms. Past some crowd that nobody measured a node gets much
/// less done in all, and waits on calls hide it; steps past 1.5 a core lost on every deployment played.
const STEPS: [f64; 6] = [1.0, 1.1, 1.2, 1.3, 1.4, 1.5];
/// One run for so many cores goes on whatever crowds them: reads alone would serve nobody.
const LEAST: usize = 2;
/// A learner's round, s: some ten completions, else the pay is mostly chance.
const ROUND: Duration = Duration::from_millis(1_000);
/// Pay fades over this, s: twenty rounds, so that a changed machine is learned anew.
const PAY_SPAN: Duration = Duration::from_millis(20_000);
/// Weight under which a step's pay is forgotten: a single round, two thirds of the span ago.
const STALE: f64 = 0.5;
/// One round in so many tries a neighbouring step.
const TRY_ONE_IN: u32 = 8;
/// A higher step must pay this much more to be preferred: less crowd for the same work.
const WORTH_MORE: f64 = 1.15;
/// Between two quick climbs, ms: the gauge needs most of its half second to show the last one.
const CLIMB_EVERY: Duration = Duration::from_millis(250);
/// Runs off the cores, in the mean, from which disk waits are a habit: a gauge that lags shows some too.
const WAITS: f64 = 0.25;
/// Share of the survived crowd and of the memory that is used: the rest is for reading and surprise.
const SAFE: f64 = 0.8;
/// Tickets running or at calls, in survived crowds: hung calls take no core, yet might all come back.
const OUT_MORE: usize = 3;
/// Calls a second: the least (one tells how things stand), what a node starts from, and the most.
const PACE: [f64; 3] = [1.0, 16.0, 1_000.0];
/// Span for which unused calls are saved up, s: enough for a few tickets that come together.
const SAVED: f64 = 0.25;
/// Calls slower than this many times their usual lower the pace; else it rises.
const SLOWED: f64 = 2.0;
/// What the pace is multiplied by for each call: above half bad it falls, a lost site is less.
const PACE_STEPS: [f64; 2] = [0.84, 1.2];
/// Span of recent call times and of health, s: a few tens of ends.
const RECENT: Duration = Duration::from_millis(2_000);
/// Share of a type's calls that failed or were never made from which it goes short of them.
const SHORT: f64 = 0.1;
/// Share of what may be held below up to which all types call alike: what is below slows well before it dies.
const ROOMY: f64 = 0.25;
/// Usual call times that a ticket stands for a call it can do without: longer, and all stand together.
const LONG_CALL: f64 = 4.0;
/// Share of a type's usual run still needed after a call.
const AFTER_CALL: f64 = 0.6;
/// Tries of one call, but for one that must be had and was bounced: a fourth would be hammering.
const CALL_TRIES: u32 = 3;
/// Share of recent runs that failed from which the node counts as sick, and well again.
const SICK: [f64; 2] = [0.3, 0.1];
/// No end for so many usual runs, and at least this long, ms: work hangs.
const HUNG_RUNS: f64 = 5.0;
const HUNG_LEAST: Duration = Duration::from_millis(1_500);
/// Share of further tries among arrivals from which other nodes are taken to be full too.
const AGAIN: f64 = 0.12;
/// A sick node lets one ticket through this often, ms.
const TRICKLE: Duration = Duration::from_millis(500);
/// Open connections a core past which idle ones close sooner, and callers a core up to which none do.
const LINKS: [f64; 2] = [6.0, 10.0];
/// What the stay of an idle connection is multiplied by at a look, once a round, at the least and most.
const TRIM: [f64; 2] = [0.5, 2.0];

/// What each tenant spent, and what it may: the design's quota.
pub struct TenantQuotas {
    quotas: Vec<f64>,
    spent: Vec<Decaying>,
    asked: Vec<Decaying>,
    until: Vec<Duration>,
    charge: Mean,
}

impl TenantQuotas {
    /// `quotas` in tickets a second over the fleet; the last account is for tickets of no tenant.
    pub fn new(quotas: &[f64], servers: usize) -> Self {
        let n = quotas.len() + 1;
        let quotas = quotas.iter().map(|q| q / servers.max(1) as f64).collect();
        let (spent, asked) = (vec![Decaying::default(); n], vec![Decaying::default(); n]);
        Self { quotas, spent, asked, until: vec![Duration::ZERO; n], charge: Mean::default() }
    }

    /// The mean charge, and what all tenants together spent over their quotas: one walk for all of them.
    fn lent(&self, now: Duration) -> Option<[f64; 2]> {
        let mean = self.charge.known(now, MEAN_SPAN, KNOWN)?;
        let all: f64 = self.spent.iter().map(|s| s.read(now, WINDOW)).sum();
        Some([mean, all / self.quotas.iter().sum::<f64>().max(f64::MIN_POSITIVE)])
    }

    /// O over T, and what was asked for over T. T is the quota times the mean charge; while the tenants
    /// together spend more than their quotas, the room is lent in proportion, so that T never binds below
    /// what is there. Guards against thin slices too: two charges that come together prove nothing.
    fn over(&self, now: Duration, account: usize, lent: Option<[f64; 2]>) -> [f64; 2] {
        let (Some(quota), Some([mean, lent])) = (self.quotas.get(account), lent) else { return [0.0; 2] };
        let target = quota * lent.max(mean * WINDOW.as_secs_f64()) + EVIDENCE * mean;
        let asked = self.asked[account].read(now, WINDOW) * mean;
        [self.spent[account].read(now, WINDOW), asked].map(|o| o / target.max(f64::MIN_POSITIVE))
    }

    /// At the end of a run: X = (O - T) / T * W, at most W.
    fn bill(&mut self, now: Duration, account: usize, charge: f64) {
        self.charge.add(now, charge, MEAN_SPAN);
        self.spent[account].add(now, charge, WINDOW);
        let x = (self.over(now, account, self.lent(now))[0] - 1.0).clamp(0.0, 1.0);
        self.until[account] = now + WINDOW.mul_f64(x);
    }
}

/// How many may run at once: the learned limit under the crowd that a node survives.
pub struct ConcurrencyLimiter {
    cores: usize,
    factor: f64,
    cold: Option<(Duration, f64, Duration)>,
    arm: usize,
    survived: usize,
    pay: [Mean; STEPS.len()],
    round: Duration,
    ends: u32,
    whole_round: bool,
    reading: usize,
    waits: usize,
    waited: Mean,
    chance: WyRand,
}

impl ConcurrencyLimiter {
    /// `factor`: survived tickets a core when warm; `cold`: born at, share of speed then, full after.
    pub fn new(seed: u64, cores: usize, factor: f64, cold: Option<(Duration, f64, Duration)>) -> Self {
        Self {
            cores,
            factor,
            cold,
            arm: 0,
            survived: 0,
            pay: [Mean::default(); STEPS.len()],
            round: Duration::ZERO,
            ends: 0,
            whole_round: false,
            reading: 0,
            waits: 0,
            waited: Mean::default(),
            chance: WyRand::new_seed(seed),
        }
    }

    /// Guards against dying of the crowd; while cold the slowest warming allowed is assumed.
    fn ceiling(&self, now: Duration) -> usize {
        let warm = self.cold.map_or(1.0, |(born, start, full)| {
            let age = now.saturating_sub(born).as_secs_f64() / full.as_secs_f64().max(1e-9);
            (start + (1.0 - start) * age).clamp(0.0, 1.0)
        });
        ((self.cores as f64 * (1.0 + (self.factor - 1.0) * warm) * SAFE) as usize).max(1)
    }

    fn allowed(&self, now: Duration) -> usize {
        let limit = (self.cores as f64 * STEPS[self.arm]).round() as usize;
        let least = self.cores.div_ceil(LEAST);
        (limit + self.waits).saturating_sub(self.reading).max(least).min(self.ceiling(now))
    }

    fn beat(&mut self, now: Duration, gauges: Gauges, running: usize, holding: bool) {
        let on_cores = gauges.on_cores.map_or(running, |all| all as usize);
        self.reading = on_cores.saturating_sub(running);
        let waits = running.saturating_sub(on_cores);
        self.waited.add(now, waits as f64, RECENT);
        self.waits = if self.waited.read() > Some(WAITS) { waits } else { 0 };
        let full = running >= self.allowed(now);
        self.whole_round &= full && holding;
        let idle = gauges.cores_busy.is_some_and(|busy| busy < BUSY);
        let highest = (self.survived + 1).min(STEPS.len() - 1);
        if idle && full && holding && self.arm < highest && now >= self.round + CLIMB_EVERY {
            self.arm += 1;
            self.start_round(now);
        } else if now >= self.round + ROUND {
            if self.whole_round {
                let span = now.saturating_sub(self.round).as_secs_f64();
                self.pay[self.arm].add(now, f64::from(self.ends) / span, PAY_SPAN);
                self.survived = self.survived.max(self.arm);
                self.choose(now, highest);
            }
            self.start_round(now);
        }
    }

    fn start_round(&mut self, now: Duration) {
        (self.round, self.ends, self.whole_round) = (now, 0, true);
    }

    fn choose(&mut self, now: Duration, highest: usize) {
        if self.chance.generate_range(0..TRY_ONE_IN) == 0 {
            let up = self.chance.generate_range(0..2u32) == 1;
            self.arm = if up { (self.arm + 1).min(highest) } else { self.arm.saturating_sub(1) };
            return;
        }
        let paid = |arm: usize| self.pay[arm].known(now, PAY_SPAN, STALE).unwrap_or(0.0);
        let better = |best, arm| if paid(arm) > paid(best) * WORTH_MORE { arm } else { best };
        self.arm = (0..=highest).reduce(better).unwrap_or(0);
    }
}

/// The pace of calls below, and this node's part of what they all may load there.
#[derive(Default)]
pub struct DownstreamLimiter {
    share: Option<(f64, Duration, Duration)>,
    rate: f64,
    saved: f64,
    at: Duration,
    recent: Mean,
    usual: Mean,
    back: Decaying,
    ends: Decaying,
    past: VecDeque<(Duration, Duration)>,
    spent: Duration,
    pledged: Duration,
}

impl DownstreamLimiter {
    /// `share`: where all nodes share what lies below, this node's calls at once, the window of that
    /// mean, and how long a call given up stays there.
    pub fn new(share: Option<(f64, Duration, Duration)>) -> Self {
        Self { share, rate: PACE[1], saved: PACE[0], ..Self::default() }
    }

    /// How long a call made now may take, if one may be made. Guards against nodes that together load what
    /// they share past what it survives, be it slow, cold, dead or crowded: what calls held there in the
    /// window, and the most that those out may still hold, stay under this node's share of the mean. No
    /// window that ends later can hold more, as each call ends by the time it was given.
    fn may(&mut self, now: Duration) -> Option<Duration> {
        let since = now.saturating_sub(self.at).as_secs_f64();
        (self.at, self.saved) = (now, (self.saved + since * self.rate).min((self.rate * SAVED).max(1.0)));
        let longest = self.share.map_or(Some(Duration::MAX), |(share, over, lingers)| {
            while let Some(&(_, held)) = self.past.front().filter(|past| past.0 + over <= now) {
                self.past.pop_front();
                self.spent = self.spent.saturating_sub(held);
            }
            let whole = over.mul_f64(share * SAFE);
            let left = whole.saturating_sub(self.spent + self.pledged).checked_sub(lingers)?;
            // One call takes no more than half of it all, unless calls are that slow.
            let likely = Duration::from_secs_f64(self.recent.read().unwrap_or(0.0) * SLOWED);
            let most = likely.max(whole / 2).min(whole).saturating_sub(lingers);
            (left >= likely.min(most)).then_some(left.min(most)).filter(|span| !span.is_zero())
        });
        longest.filter(|_| self.saved >= 1.0 && (self.pledged.is_zero() || self.calm()))
    }

    /// Whether at most a quarter of this node's share below is taken: it slows down well before it dies.
    fn calm(&self) -> bool {
        self.share
            .is_none_or(|(share, over, _)| self.spent + self.pledged <= over.mul_f64(share * SAFE * ROOMY))
    }

    fn made(&mut self, now: Duration, until: Duration) {
        self.saved -= 1.0;
        let lingers = self.share.map(|share| share.2);
        self.pledged += lingers.map_or(Duration::ZERO, |lingers| until.saturating_sub(now) + lingers);
    }

    /// A call, made then and to be given up at that time, came back, or was given up and may linger below.
    fn ended(&mut self, now: Duration, [made, until]: [Duration; 2], outcome: Outcome) {
        let took = now.saturating_sub(made);
        if let Some((_, _, lingers)) = self.share {
            self.pledged = self.pledged.saturating_sub(until.saturating_sub(made) + lingers);
            let stays =
                if outcome.never_ran() || outcome == Outcome::Succeeded { Duration::ZERO } else { lingers };
            self.past.push_back((now + stays, took + stays));
            self.spent += took + stays;
        }
        let took = took.as_secs_f64();
        self.ends.add(now, 1.0, RECENT);
        if outcome == Outcome::Succeeded {
            self.back.add(now, 1.0, RECENT);
            self.recent.add(now, took, RECENT);
            self.usual.add(now, took, MEAN_SPAN);
        }
        let usual = self.usual.read().unwrap_or(0.0);
        let slowed = self.recent.read().unwrap_or(0.0) > SLOWED * usual;
        // Guards against a pace that feeds on itself: what had no time proves nothing, what comes back does.
        if outcome != Outcome::Cancelled && (outcome != Outcome::TimedOut || took >= usual) {
            let by = PACE_STEPS[usize::from(outcome == Outcome::Succeeded && !slowed)];
            let back = self.back.read(now, RECENT) / RECENT.as_secs_f64() * PACE_STEPS[0];
            // Hundreds of nodes at one call a second each may be far more than a slow thing below can do.
            let least = self.share.map_or(PACE[0], |share| PACE[0].min(share.1.as_secs_f64().recip()));
            // A pace that never bound is no measure of what is below: bad news lower what was really made.
            let made = Some(self.ends.read(now, RECENT)).filter(|ends| by < 1.0 && *ends >= KNOWN / 2.0);
            let rate = made.map_or(self.rate, |ends| self.rate.min(ends / RECENT.as_secs_f64() * SLOWED));
            self.rate = (rate * by).clamp(back.clamp(least, PACE[2]), PACE[2]);
        }
    }
}

/// What callers are told: advice, level, checks; and the notice to leave.
#[derive(Default)]
pub struct LoadAdvertiser {
    say: LoadSignal,
    longest: Duration,
    grace: Duration,
    marked: bool,
    again: Mean,
    leaving: Option<(Duration, Duration)>,
    away: bool,
    links: (usize, Duration),
    stay: Duration,
    looked: Duration,
}

impl LoadAdvertiser {
    /// `longest`: the longest advice that is heeded; `grace`: arrivals later than this after the notice
    /// are not run; `marked`: further tries are marked as such; `links`: callers, and how long each keeps
    /// an unused connection.
    pub fn new(
        say: LoadSignal,
        longest: Duration,
        grace: Duration,
        marked: bool,
        links: (usize, Duration),
    ) -> Self {
        Self { say, longest, grace, marked, links, stay: links.1, ..Self::default() }
    }

    /// Guards against a table full of connections that nobody comes back to: it slows all work, and turns
    /// callers away unseen, also while much is dismissed, since each of many callers comes here seldom.
    fn trim(&mut self, now: Duration, host: &mut dyn Host, open: f64, cores: usize) {
        if now < self.looked + ROUND {
            return;
        }
        let few = open < LINKS[0] * cores as f64 || self.links.0 as f64 <= LINKS[1] * cores as f64;
        let by = if few { TRIM[1] } else { TRIM[0] };
        let stay = self.stay.mul_f64(by).max(BEAT).min(self.links.1);
        self.looked = now;
        if std::mem::replace(&mut self.stay, stay) != stay {
            host.close_idle_after(stay);
        }
    }

    /// Asks callers to keep away, or to come again.
    fn set_unavailable(&mut self, host: &mut dyn Host, away: bool) {
        if std::mem::replace(&mut self.away, away) == away {
            return;
        }
        host.set_health(!away);
        if let Some(value) = self.say.to_all(away) {
            host.advertise_load(value);
        }
    }
}

/// Whether runs end, and end well.
#[derive(Default)]
struct HealthMonitor {
    failed: Mean,
    last_end: Duration,
    sick: bool,
    let_through: Duration,
}

impl HealthMonitor {
    fn look(&mut self, now: Duration, working: bool, usual_run: Duration) {
        if !working {
            self.last_end = now;
        }
        let hung = now.saturating_sub(self.last_end) > usual_run.mul_f64(HUNG_RUNS).max(HUNG_LEAST);
        let verdict = self.failed.known(now, RECENT, if self.sick { 0.0 } else { KNOWN });
        self.sick = hung || verdict > Some(SICK[usize::from(self.sick)]);
    }

    fn lets_through(&mut self, now: Duration) -> bool {
        let through = !self.sick || now >= self.let_through + TRICKLE;
        self.let_through = if through { now } else { self.let_through };
        through
    }
}

/// One traffic type's line, a queue for each account.
#[derive(Clone, Default)]
struct ClassQueue {
    queues: Vec<VecDeque<usize>>,
    passed: f64,
    run: Mean,
    hint: Mean,
    short: Mean,
}

/// When a run began, and how long the process had stood still by then.
type Since = [Duration; 2];

/// The decisions of one node.
pub struct AdmissionController {
    types: Vec<RequestClass>,
    by_work: bool,
    ledger: TenantQuotas,
    limit: ConcurrencyLimiter,
    hand: InFlightRequests<AdmissionController>,
    below: DownstreamLimiter,
    voice: LoadAdvertiser,
    health: HealthMonitor,
    lines: Vec<ClassQueue>,
    standing: VecDeque<usize>,
    busy: bool,
    stalled: Duration,
    beat: Duration,
}

impl AdmissionController {
    /// `by_work`: benefit is counted for each unit of work.
    pub fn new(types: Vec<RequestClass>, by_work: bool, parts: Parts) -> Self {
        let Parts { quotas: ledger, limit, in_flight: hand, downstream: below, advertiser: voice } = parts;
        let line = ClassQueue { queues: vec![VecDeque::new(); ledger.spent.len()], ..ClassQueue::default() };
        let lines = vec![line; types.len()];
        let (health, standing, busy) = (HealthMonitor::default(), VecDeque::new(), false);
        let (stalled, beat) = (Duration::ZERO, Duration::MAX);
        #[rustfmt::skip]
        return Self {
            types, by_work, ledger, limit, hand, below, voice, health, lines, standing, busy, stalled, beat,
        };
    }

    /// New settings under load: what they decide is taken from `fresh`, made from them; what is in hand,
    /// learned or owed stays, so nothing read is lost or run twice. Types and tenants stay as they are:
    /// their count is checked by whoever reads the settings, and the books are laid out by them.
    pub fn reconfigure(&mut self, fresh: AdmissionController) {
        let same =
            fresh.types.len() == self.types.len() && fresh.ledger.quotas.len() == self.ledger.quotas.len();
        if same {
            (self.types, self.by_work, self.ledger.quotas) =
                (fresh.types, fresh.by_work, fresh.ledger.quotas);
        }
        (self.limit.factor, self.below.share) = (fresh.limit.factor, fresh.below.share);
        // Guards against pledges that stay, or are missing, where what is below turns shared or back.
        let lingers = fresh.below.share.map(|share| share.2 * self.hand.count(Stage::Calling) as u32);
        self.below.pledged = lingers.map_or(Duration::ZERO, |lingers| self.hand.reserved() + lingers);
        let stay = self.voice.stay.min(fresh.voice.links.1);
        let voice = fresh.voice;
        (self.voice.say, self.voice.longest, self.voice.grace) = (voice.say, voice.longest, voice.grace);
        (self.voice.marked, self.voice.links, self.voice.stay) = (voice.marked, voice.links, stay);
    }

    /// The first call: checks are answered from store, and the first wake-up is asked for.
    pub fn begin(&mut self, now: Duration, host: &mut dyn Host) {
        host.set_health(true);
        host.wake(BEAT);
        self.beat = now + BEAT;
        self.health.last_end = now;
        self.limit.start_round(now);
    }

    pub fn on_arrival(&mut self, now: Duration, host: &mut dyn Host, ix: usize, a: Arrival) {
        let kind = self.types[a.traffic];
        let (repeats, goal) = (kind.repeats, kind.latency_objective);
        let arrived = now.saturating_sub(a.waited);
        let due = a.patience.map_or((arrived + kind.deadline).max(now), |left| now + left);
        let due = self.voice.leaving.map_or(due, |(_, kill)| due.min(kill)).saturating_sub(MARGIN);
        let account = a.tenant.unwrap_or(usize::MAX).min(self.ledger.quotas.len());
        // Guards against a shed that feeds on itself: the further tries of what was shed are not asked anew.
        self.ledger.asked[account].add(now, if a.again { 0.0 } else { 1.0 }, WINDOW);
        self.voice.again.add(now, if a.again { 1.0 } else { 0.0 }, RECENT);
        self.hand.insert(ix, Request::new(&a, kind, account, [arrived, due]));
        if repeats != Repeatability::Idempotent && a.repeat != RetryOf::No {
            // Guards against a second effect: a repeat takes the first try's result, never a run.
            self.hand.set_stage(ix, Stage::AwaitingResult);
            self.hand.expect(ix).after_run = Some(Box::new(|node, _, host, ix, _| node.close(host, ix)));
            host.reply_from_cache(ix);
            return self.expire_deadlines(now, host);
        }
        if let Repeatability::IdempotentWithKey(window) = repeats {
            let span = (window + MARGIN).saturating_sub(a.waited);
            host.keep(ix, span);
            self.hand.keep(ix, now + span);
        }
        let too_late = self.voice.leaving.is_some_and(|(notice, _)| arrived > notice + self.voice.grace);
        // Guards against runs cut off undone, and against working off a backlog that piled up unread: on
        // full cores nothing is begun that has no time for its usual run, or waited half its goal time.
        let usual = self.usual_run(a.traffic, a.hint).as_secs_f64() * SPREAD;
        let last = due
            .min(arrived + goal)
            .saturating_sub(Duration::try_from_secs_f64(usual).unwrap_or(Duration::MAX));
        let start_by = last.min(arrived + goal.mul_f64(HOLD));
        let hopeless = due <= now || too_late || (self.busy && now > start_by);
        if hopeless || !self.health.lets_through(now) {
            return self.dismiss(now, host, ix, self.voice.longest);
        }
        // Work is held, here or still unread, and the cores gauge reads busy: the server is pressed.
        let pressed = self.busy && self.wait() + a.waited > goal.mul_f64(PRESSED);
        let delay = self.ledger.until[account].saturating_sub(now);
        if pressed && delay > Duration::ZERO {
            return self.dismiss(now, host, ix, delay);
        }
        self.lines[a.traffic].queues[account].push_back(ix);
        self.hand.set_timer(ix, Some(start_by.max(now + BEAT).min(due)));
        self.shed(now, host);
        self.fill(now, host);
    }

    /// A run or a reuse is over.
    pub fn ended(&mut self, now: Duration, host: &mut dyn Host, ix: usize, outcome: Outcome) {
        if let Some(next) = self.hand.get(ix).and_then(|t| t.after_run.take()) {
            next(self, now, host, ix, outcome);
        }
        self.fill(now, host);
    }

    pub fn on_downstream_call(&mut self, now: Duration, host: &mut dyn Host, ix: usize) {
        if let Some(t) = self.hand.get(ix).filter(|t| t.stage == Stage::Running && !t.answered) {
            (t.call_since, t.call_tries) = (now, 0);
            self.stand(ix);
        }
        self.fill(now, host);
    }

    pub fn on_call_finished(&mut self, now: Duration, host: &mut dyn Host, ix: usize, outcome: Outcome) {
        if let Some(next) = self.hand.get(ix).and_then(|t| t.after_call.take()) {
            next(self, now, host, ix, outcome);
        }
        self.fill(now, host);
    }

    /// The caller has left: nothing is owed.
    pub fn on_caller_gone(&mut self, now: Duration, host: &mut dyn Host, ix: usize) {
        self.done_with(host, ix);
        self.fill(now, host);
    }

    pub fn on_shutdown_notice(&mut self, now: Duration, host: &mut dyn Host, kill_in: Duration) {
        let kill = now + kill_in.saturating_sub(MARGIN);
        self.voice.leaving = Some((now, kill));
        self.voice.set_unavailable(host, true);
        self.hand.cap_deadlines(kill.saturating_sub(MARGIN));
        self.expire_deadlines(now, host);
    }

    pub fn on_tick(&mut self, now: Duration, host: &mut dyn Host, gauges: Gauges) {
        // Guards against charging, or taking for hung, runs that stood still with the whole process.
        let late = now.saturating_sub(self.beat);
        if late > BEAT {
            self.stalled += late;
            self.health.last_end += late;
        }
        self.beat = now + BEAT;
        host.wake(BEAT);
        self.busy = gauges.cores_busy.is_none_or(|busy| busy >= BUSY);
        let (held, running) = (self.hand.count(Stage::Queued), self.hand.count(Stage::Running));
        self.limit.beat(now, gauges, running, held > 0);
        let usual = (0..self.lines.len()).map(|k| self.usual_run(k, None)).max().unwrap_or_default();
        self.health.look(now, running > 0, usual);
        self.voice.trim(now, host, gauges.links.unwrap_or(0.0), self.limit.cores);
        self.voice.set_unavailable(host, self.health.sick || self.voice.leaving.is_some());
        self.expire_deadlines(now, host);
        self.fill(now, host);
    }

    /// How long a run of this type, and of this hint of its size, usually takes, all waits included.
    fn usual_run(&self, traffic: usize, hint: Option<Duration>) -> Duration {
        let line = &self.lines[traffic];
        let size = hint.zip(line.hint.read()).map_or(1.0, |(hint, mean)| hint.as_secs_f64() / mean);
        Duration::try_from_secs_f64(line.run.read().unwrap_or(0.0) * size).unwrap_or(Duration::MAX)
    }

    /// How long until the cores have worked off what is held.
    fn wait(&self) -> Duration {
        let charge = self.ledger.charge.read().unwrap_or(0.0);
        let held = self.hand.count(Stage::Queued) as f64;
        Duration::from_secs_f64(held * charge / self.limit.cores.max(1) as f64)
    }

    /// Rings every alarm that is due: no ticket is lost, whatever keeps it.
    fn expire_deadlines(&mut self, now: Duration, host: &mut dyn Host) {
        while let Some(ix) = self.hand.next_expired(now) {
            let t = self.hand.expect(ix);
            let (stage, due, poorer) = (t.stage, t.due, t.kind.degraded_share > 0.0);
            if stage == Stage::AwaitingCall {
                self.lines[t.traffic].short.add(now, 1.0, MEAN_SPAN);
            }
            match stage {
                Stage::Queued => self.dismiss(now, host, ix, self.wait()),
                Stage::AwaitingCall if now < due && poorer => self.leave_call_out(now, host, ix),
                Stage::Calling if now < due => self.hand.set_timer_to_deadline(ix),
                _ => self.give_up(host, ix),
            }
        }
    }

    /// The final error to a ticket that may have run.
    fn give_up(&mut self, host: &mut dyn Host, ix: usize) {
        host.give_up(ix);
        self.done_with(host, ix);
    }

    /// Nothing is owed any more: frees what can be freed now, the rest when its end comes.
    fn done_with(&mut self, host: &mut dyn Host, ix: usize) {
        self.hand.set_timer(ix, None);
        let Some(t) = self.hand.get(ix) else { return };
        t.answered = true;
        match t.stage {
            Stage::Queued | Stage::AwaitingResult => self.close(host, ix),
            Stage::Running => host.cancel_run(ix),
            Stage::AwaitingCall => self.standing.retain(|&other| other != ix),
            Stage::Calling => {}
        }
    }

    /// The final answer to a ticket that never ran.
    fn dismiss(&mut self, now: Duration, host: &mut dyn Host, ix: usize, come_back: Duration) {
        // Many further tries say that other nodes are full too; where none are marked, assume it.
        let fleet = !self.voice.marked || self.voice.again.read() > Some(AGAIN);
        let nowhere_else = (self.hand.expect(ix).again || (self.busy && fleet)) && !self.voice.away;
        if self.hand.forget(now, ix) {
            host.forget(ix);
        }
        host.reject(ix, come_back.min(self.voice.longest).min(WINDOW), nowhere_else);
        self.close(host, ix);
    }

    /// Takes a ticket out of all books; its index goes back.
    fn close(&mut self, host: &mut dyn Host, ix: usize) {
        if let Some(t) = self.hand.remove(ix) {
            match t.stage {
                Stage::Queued => self.lines[t.traffic].queues[t.account].retain(|&other| other != ix),
                Stage::AwaitingCall => self.standing.retain(|&other| other != ix),
                _ => {}
            }
            host.release(ix);
        }
    }

    /// Guards against dying of memory, and against a flood that takes the room of the others: the newest
    /// goes of who asks for most over T, as its share is met where nodes are faster than this one.
    fn shed(&mut self, now: Duration, host: &mut dyn Host) {
        let goal = self.types.iter().map(|kind| kind.latency_objective).min().unwrap_or_default();
        loop {
            let short = self.hand.memory_with(now, None) > SAFE;
            let pressed = self.busy && self.wait() > goal.mul_f64(PRESSED);
            if !short && !pressed {
                return;
            }
            let lent = self.ledger.lent(now);
            let queues = self.lines.iter().flat_map(|line| line.queues.iter().enumerate());
            let newest = queues.filter_map(|(a, queue)| Some((a, *queue.back()?)));
            let asks = newest.map(|(a, ix)| (self.ledger.over(now, a, lent)[1], ix));
            let worst = asks.max_by(|a, b| a.0.total_cmp(&b.0));
            let Some((_, ix)) = worst.filter(|w| short || w.0 > GROSS) else { return };
            self.dismiss(now, host, ix, self.wait());
        }
    }

    /// Starts what may start: tenants within their share first, lines by turns.
    fn fill(&mut self, now: Duration, host: &mut dyn Host) {
        self.make_calls(now, host);
        while self.hand.any(Stage::Queued) && self.hand.count(Stage::Running) < self.limit.allowed(now) {
            let out = self.hand.count(Stage::AwaitingCall) + self.hand.count(Stage::Calling);
            if self.hand.count(Stage::Running) + out >= self.limit.ceiling(now) * OUT_MORE {
                return;
            }
            let lent = self.ledger.lent(now);
            let heads = self.lines.iter().enumerate().filter_map(|(k, line)| {
                let waiting = line.queues.iter().enumerate().filter(|(_, queue)| !queue.is_empty());
                let overs = waiting.map(|(a, _)| (self.ledger.over(now, a, lent)[0], a));
                let (over, a) = overs.min_by(|a, b| a.0.total_cmp(&b.0))?;
                Some((over > 1.0, line.passed, k, a))
            });
            let next = heads.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
            let Some((_, passed, k, a)) = next else { return };
            let Some(&ix) = self.lines[k].queues[a].front() else { return };
            if self.hand.memory_with(now, Some(ix)) > SAFE {
                return;
            }
            self.lines.iter_mut().for_each(|line| line.passed = line.passed.max(passed - 1.0));
            self.start(now, host, ix);
        }
    }

    fn start(&mut self, now: Duration, host: &mut dyn Host, ix: usize) {
        let stalled = self.stalled;
        self.hand.set_stage(ix, Stage::Running);
        let t = self.hand.expect(ix);
        t.after_run = Some(Box::new(move |node, at, host, ix, end| {
            node.run_ended(at, host, ix, end, [now, stalled]);
        }));
        let line = &mut self.lines[t.traffic];
        line.queues[t.account].retain(|&other| other != ix);
        let size = t.hint.map_or(line.run.read().unwrap_or(1.0), |hint| hint.as_secs_f64());
        let turn = if self.by_work { size } else { 1.0 };
        line.passed += turn / self.types[t.traffic].value.max(f64::MIN_POSITIVE);
        self.hand.set_timer_to_deadline(ix);
        host.run(ix);
    }

    fn run_ended(&mut self, now: Duration, host: &mut dyn Host, ix: usize, end: Outcome, since: Since) {
        let [begun, stalled] = since;
        let (running, t) = (self.hand.count(Stage::Running).max(1), self.hand.expect(ix));
        let call = now.saturating_sub(t.call_since);
        let calls = t.call_waits + call * u32::from(t.stage != Stage::Running);
        if end == Outcome::Cancelled && !t.answered {
            // Taken off by no order of ours: it ran, so only an error is left.
            host.give_up(ix);
        }
        if t.stage == Stage::Calling {
            self.below.ended(now, t.call, Outcome::Cancelled);
        }
        if end == Outcome::NeverStarted {
            // Against made-up tickets: what could not run is asked for by no tenant, and tells no time.
            self.ledger.asked[t.account].add(now, -1.0, WINDOW);
            return self.close(host, ix);
        }
        let spent = now.saturating_sub(begun + calls + (self.stalled - stalled)).as_secs_f64();
        let part = (self.limit.cores as f64 / running as f64).min(1.0);
        self.ledger.bill(now, t.account, spent * part);
        if matches!(end, Outcome::Succeeded | Outcome::Failed) {
            self.health.last_end = now;
            self.health.failed.add(now, if end == Outcome::Failed { 1.0 } else { 0.0 }, RECENT);
        }
        let (line, run) = (&mut self.lines[t.traffic], now.saturating_sub(begun).as_secs_f64());
        self.limit.ends += u32::from(end == Outcome::Succeeded);
        // A run cut off counts where it already took longer than usual, else only short ones would.
        if end == Outcome::Succeeded || Some(run) > line.run.read() {
            line.run.add(now, run, MEAN_SPAN);
            t.hint.iter().for_each(|h| line.hint.add(now, h.as_secs_f64().max(f64::MIN_POSITIVE), MEAN_SPAN));
        }
        self.close(host, ix);
    }

    /// The latest a call may take: where a poorer answer is worth something, in time for the goal time.
    fn call_until(&mut self, ix: usize) -> Duration {
        let t = self.hand.expect(ix);
        let (arrived, due, kind, traffic) = (t.arrived, t.due, t.kind, t.traffic);
        if kind.degraded_share == 0.0 {
            return due;
        }
        let rest = self.usual_run(traffic, None).mul_f64(AFTER_CALL);
        (arrived + kind.latency_objective).saturating_sub(rest).min(due)
    }

    /// Guards against a pace that feeds on itself: a call made with too little time left only fails.
    fn stand(&mut self, ix: usize) {
        let usual = Duration::from_secs_f64(self.below.usual.read().unwrap_or(0.0));
        let mut until = self.call_until(ix).saturating_sub(usual);
        let t = self.hand.expect(ix);
        if t.kind.degraded_share > 0.0 {
            until = until.min(t.call_since + usual.mul_f64(LONG_CALL).max(BEAT));
        }
        self.hand.set_stage(ix, Stage::AwaitingCall);
        self.hand.set_timer(ix, Some(until));
        self.standing.push_back(ix);
    }

    fn make_calls(&mut self, now: Duration, host: &mut dyn Host) {
        while let Some(longest) = self.below.may(now) {
            // Guards against a tier below that drowns: first where most is lost without, then the newest.
            let stakes = self.standing.iter().map(|&ix| self.hand.expect(ix).kind.call_value());
            let best = stakes.enumerate().max_by(|a, b| a.1.total_cmp(&b.1));
            // Guards the tickets that lose most without their call: while these go short, others go without.
            let dearer_short = |worth| {
                let mut kinds =
                    self.types.iter().zip(&self.lines).filter(|(kind, _)| kind.call_value() > worth);
                kinds.any(|(_, line)| line.short.known(now, MEAN_SPAN, STALE) > Some(SHORT))
            };
            let best = best.filter(|best| self.below.calm() || !dearer_short(best.1));
            let Some(ix) = best.and_then(|(at, _)| self.standing.remove(at)) else { return };
            let until = self.call_until(ix).max(now + BEAT).min(now.saturating_add(longest));
            self.hand.set_stage(ix, Stage::Calling);
            let t = self.hand.expect(ix);
            let until = until.min(t.due);
            t.call = [now, until];
            t.call_tries += 1;
            t.after_call = Some(Box::new(|node, at, host, ix, end| node.call_back(at, host, ix, end)));
            self.hand.set_timer_to_deadline(ix);
            self.below.made(now, until);
            host.call(ix, until);
        }
    }

    fn call_back(&mut self, now: Duration, host: &mut dyn Host, ix: usize, end: Outcome) {
        let until = self.call_until(ix);
        let t = self.hand.expect(ix);
        self.below.ended(now, t.call, end);
        self.lines[t.traffic].short.add(now, if end == Outcome::Succeeded { 0.0 } else { 1.0 }, MEAN_SPAN);
        let kind = t.kind;
        // Guards against a second effect below: only a call proved not run is made again.
        let poorer = kind.degraded_share > 0.0;
        let again = end.never_ran() || kind.repeats == Repeatability::Idempotent;
        let again = again && now < until && (t.call_tries < CALL_TRIES || (end.never_ran() && !poorer));
        if end == Outcome::Succeeded {
            t.call_waits += now.saturating_sub(t.call_since);
            return self.hand.set_stage(ix, Stage::Running);
        }
        self.hand.set_stage(ix, Stage::AwaitingCall);
        match (self.hand.expect(ix).answered, again, poorer) {
            (true, ..) => {}
            (_, true, _) => self.stand(ix),
            (.., true) => self.leave_call_out(now, host, ix),
            _ => self.give_up(host, ix),
        }
    }

    fn leave_call_out(&mut self, now: Duration, host: &mut dyn Host, ix: usize) {
        self.standing.retain(|&other| other != ix);
        self.hand.set_stage(ix, Stage::Running);
        let t = self.hand.expect(ix);
        t.call_waits += now.saturating_sub(t.call_since);
        self.hand.set_timer_to_deadline(ix);
        host.reply_degraded(ix);
    }
}
