//! Ejection of pool members that misbehave (outlier detection), judged from their answers alone: no health checks
//! are sent.
//!
//! A member is ejected for consecutive failures, for its failure rate, for being slow compared with the pool's median,
//! or for silence while it owes answers. It is slow by its mean response time, if several answers were slow, each by a
//! difference that a caller would feel. Time for which this process itself stood still counts for none of these. After its ejection time it is probed with a part of its usual traffic, and
//! is in service again once it has answered well often enough; each further ejection doubles the ejection time,
//! within bounds. If more members would be ejected than the configuration allows, all are used again: the fault is
//! then not with the members.
//!
//! Invariants: [`Health::ejected_count`] counts exactly the members whose [`Health::usable`] is 0; `since` of a
//! member is the time of its last change of status.

use rainstand_config::schema;
use rainstand_config::units::ONE;
use std::time::Duration;

/// Results, decayed, before a failure rate or a mean response time is significant.
const MIN_SAMPLES: f64 = 20.0;
/// Difference to the pool's median up to which an answer is not slow, in seconds: callers do not feel it, and beside other
/// processes it is a few turns of the system's scheduler.
const MIN_SLOWNESS: f64 = 0.020;
/// Slow answers, decayed, before a member is slow: a mean alone may be due to one of them.
const MIN_SLOW_SAMPLES: f64 = 4.5;
/// Time constant with which results decay: long enough for twenty of them, short compared with an outage.
const DECAY_SPAN: Duration = Duration::from_secs(10);
/// Consecutive good answers after which a probed member is healthy again.
const RECOVERY_SUCCESSES: u32 = 10;
/// Members with a known mean response time below which there is no median to compare with.
const MIN_MEMBERS_FOR_MEDIAN: usize = 3;
/// Doublings of the ejection time after which it grows no further, so that the shift cannot overflow.
const MAX_DOUBLINGS: u32 = 20;

/// Why a member is ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionReason {
    /// Too many failures in a row.
    ConsecutiveFailures,
    /// Too large a share of its recent answers were failures.
    FailureRate,
    /// Its mean response time is too far above the pool's median.
    Slow,
    /// It owes answers and has sent nothing for too long.
    Unresponsive,
}

impl EjectionReason {
    /// The name in JSON, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            EjectionReason::ConsecutiveFailures => "failures_in_a_row",
            EjectionReason::FailureRate => "share_of_failures",
            EjectionReason::Slow => "slow",
            EjectionReason::Unresponsive => "silent",
        }
    }
}

/// Why a member is ejected, and until when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ejection {
    /// What it was ejected for.
    pub reason: EjectionReason,
    /// From then on it is probed.
    pub until: Duration,
}

/// Whether a member is in service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberStatus {
    /// It gets its usual traffic.
    Healthy,
    /// It gets none.
    Ejected(Ejection),
    /// It gets a part of its usual traffic.
    Probing,
}

impl MemberStatus {
    /// The name in JSON, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            MemberStatus::Healthy => "in",
            MemberStatus::Ejected(_) => "out",
            MemberStatus::Probing => "trickle",
        }
    }
}

/// A change of a member's status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatusChange {
    /// Index of the member in its pool.
    pub member: usize,
    /// Its new status.
    pub to: MemberStatus,
}

/// The health rules of one pool.
#[derive(Clone, Copy, Debug)]
pub struct HealthRules {
    /// Failures in a row that eject a member; at least 1.
    pub max_consecutive_failures: u32,
    /// Share of failures that ejects a member, in millionths.
    pub max_failure_rate: u64,
    /// Factor over the pool's median response time that ejects a member, in millionths.
    pub slow_factor: u64,
    /// Time without any answer, while some are owed, that ejects a member.
    pub silence_timeout: Duration,
    /// Ejection time of the first ejection; doubles with each further one.
    pub min_ejection_time: Duration,
    /// Upper bound of the ejection time.
    pub max_ejection_time: Duration,
    /// Part of its usual traffic that a probed member gets, in millionths.
    pub probe_share: u64,
    /// Share of the members that must not be ejected, in millionths.
    pub min_in_service: u64,
}

impl From<&schema::Health> for HealthRules {
    fn from(health: &schema::Health) -> Self {
        Self {
            max_consecutive_failures: u32::try_from(health.out_after).unwrap_or(u32::MAX),
            max_failure_rate: health.out_share,
            slow_factor: health.slow,
            silence_timeout: Duration::from_nanos(health.silent_ns),
            min_ejection_time: Duration::from_nanos(health.back_least_ns),
            max_ejection_time: Duration::from_nanos(health.back_most_ns),
            probe_share: health.back_share,
            min_in_service: health.keep,
        }
    }
}

#[derive(Clone, Debug)]
struct Member {
    status: MemberStatus,
    since: Duration,
    /// Ejections without a full recovery in between.
    ejections: u32,
    consecutive_failures: u32,
    consecutive_successes: u32,
    /// Decayed numbers of good and failed answers.
    good: f64,
    failed: f64,
    /// Decayed sum of the response times of good answers, in seconds.
    duration_sum: f64,
    /// Decayed number of slow answers.
    slow: f64,
    /// When the decayed values were last brought up to date.
    decayed_at: Duration,
    /// Answers that are outstanding.
    outstanding: u32,
    /// Time of its last answer, or since when an answer is outstanding.
    last_signal: Duration,
}

impl Member {
    fn new(now: Duration) -> Self {
        Self {
            status: MemberStatus::Healthy,
            since: now,
            ejections: 0,
            consecutive_failures: 0,
            consecutive_successes: 0,
            good: 0.0,
            failed: 0.0,
            duration_sum: 0.0,
            slow: 0.0,
            decayed_at: now,
            outstanding: 0,
            last_signal: now,
        }
    }

    fn decay(&mut self, now: Duration) {
        let past = now.saturating_sub(self.decayed_at).as_secs_f64() / DECAY_SPAN.as_secs_f64();
        let left = (-past).exp();
        self.good *= left;
        self.failed *= left;
        self.duration_sum *= left;
        self.slow *= left;
        self.decayed_at = self.decayed_at.max(now);
    }

    fn reset_samples(&mut self) {
        (self.good, self.failed) = (0.0, 0.0);
        (self.duration_sum, self.slow) = (0.0, 0.0);
        (self.consecutive_failures, self.consecutive_successes) = (0, 0);
    }

    fn mean(&self) -> Option<f64> {
        (self.good >= MIN_SAMPLES / 4.0).then(|| self.duration_sum / self.good)
    }
}

/// The status of all members of one pool.
#[derive(Clone, Debug)]
pub struct Health {
    rules: HealthRules,
    members: Vec<Member>,
    /// More members would be ejected than allowed, so all are used.
    all_in_service: bool,
    /// Median of the members' mean response times, in seconds. Updated once per pool's worth of answers: a sort for
    /// each answer would dominate the cost of a request in a pool of a hundred.
    median: Option<f64>,
    answers: usize,
}

impl Health {
    /// The rules that hold now.
    pub fn rules(&self) -> HealthRules {
        self.rules
    }

    /// Replaces the rules; statuses stay until the members are evaluated by the new ones.
    pub fn set_rules(&mut self, rules: HealthRules) {
        self.rules = rules;
    }

    /// All of `members` members are healthy at first.
    pub fn new(rules: HealthRules, members: usize, now: Duration) -> Self {
        let members = vec![Member::new(now); members];
        Self {
            rules,
            members,
            all_in_service: false,
            median: None,
            answers: 0,
        }
    }

    /// Records that a request was sent to a member.
    pub fn on_sent(&mut self, member: usize, now: Duration) {
        let one = &mut self.members[member];
        if one.outstanding == 0 {
            one.last_signal = one.last_signal.max(now);
        }
        one.outstanding += 1;
    }

    /// Records the answer to a request, its response time `took` and whether it was `good`; returns the change of
    /// status that it caused.
    pub fn on_answer(
        &mut self,
        member: usize,
        now: Duration,
        took: Duration,
        good: bool,
    ) -> Option<StatusChange> {
        let is_slow = self.is_slow(took);
        let one = &mut self.members[member];
        one.outstanding = one.outstanding.saturating_sub(1);
        one.last_signal = now;
        one.decay(now);
        if good {
            one.good += 1.0;
            one.duration_sum += took.as_secs_f64();
            one.slow += f64::from(u8::from(is_slow));
            one.consecutive_failures = 0;
            one.consecutive_successes = one.consecutive_successes.saturating_add(1);
        } else {
            one.failed += 1.0;
            one.consecutive_successes = 0;
            one.consecutive_failures = one.consecutive_failures.saturating_add(1);
        }
        self.answers += 1;
        if self.answers >= self.members.len() {
            self.update_median();
        }
        self.evaluate(member, now)
    }

    /// Records a request whose caller left or whose connection this side closed: that proves nothing about the member.
    pub fn on_abandoned(&mut self, member: usize) {
        let one = &mut self.members[member];
        one.outstanding = one.outstanding.saturating_sub(1);
    }

    /// Records an answer that says nothing about the health of the member.
    pub fn on_signal(&mut self, member: usize, now: Duration) {
        let one = &mut self.members[member];
        one.outstanding = one.outstanding.saturating_sub(1);
        one.last_signal = now;
    }

    /// Forgets a member that restarted.
    pub fn on_restarted(&mut self, member: usize, now: Duration) {
        self.members[member] = Member::new(now);
    }

    /// This process stood still for so long, until now: nobody can have been heard meanwhile.
    pub fn on_stall(&mut self, now: Duration, stall: Duration) {
        for one in &mut self.members {
            one.last_signal = (one.last_signal + stall).min(now);
        }
    }

    /// Finds silent members and ends ejections that are over. To be called several times a second.
    pub fn tick(&mut self, now: Duration) -> Vec<StatusChange> {
        self.update_median();
        let changes: Vec<_> = (0..self.members.len())
            .filter_map(|member| self.evaluate(member, now))
            .collect();
        let out = self
            .members
            .iter()
            .filter(|one| matches!(one.status, MemberStatus::Ejected(_)))
            .count();
        self.all_in_service = out > self.max_ejected();
        changes
    }

    fn evaluate(&mut self, member: usize, now: Duration) -> Option<StatusChange> {
        let reason = self.reason(member, now);
        let rules = self.rules;
        let one = &mut self.members[member];
        let to = match (one.status, reason) {
            (MemberStatus::Healthy | MemberStatus::Probing, Some(reason)) => {
                let doubled = rules
                    .min_ejection_time
                    .saturating_mul(1 << one.ejections.min(MAX_DOUBLINGS));
                one.ejections += 1;
                one.reset_samples();
                MemberStatus::Ejected(Ejection {
                    reason,
                    until: now + doubled.min(rules.max_ejection_time),
                })
            }
            (MemberStatus::Ejected(ejection), _) if now >= ejection.until => {
                one.reset_samples();
                MemberStatus::Probing
            }
            (MemberStatus::Probing, None) if one.consecutive_successes >= RECOVERY_SUCCESSES => {
                MemberStatus::Healthy
            }
            (MemberStatus::Healthy, None) => {
                // Healthy for as long as the longest ejection: earlier ejections no longer count.
                if one.ejections > 0 && now.saturating_sub(one.since) > rules.max_ejection_time {
                    one.ejections = 0;
                }
                return None;
            }
            _ => return None,
        };
        one.status = to;
        one.since = now;
        let out = self
            .members
            .iter()
            .filter(|one| matches!(one.status, MemberStatus::Ejected(_)))
            .count();
        self.all_in_service = out > self.max_ejected();
        Some(StatusChange { member, to })
    }

    fn reason(&self, member: usize, now: Duration) -> Option<EjectionReason> {
        let (one, rules) = (&self.members[member], &self.rules);
        if one.consecutive_failures >= rules.max_consecutive_failures.max(1) {
            return Some(EjectionReason::ConsecutiveFailures);
        }
        let all = one.good + one.failed;
        if all >= MIN_SAMPLES && one.failed / all >= rules.max_failure_rate as f64 / ONE as f64 {
            return Some(EjectionReason::FailureRate);
        }
        if one.outstanding > 0 && now.saturating_sub(one.last_signal) > rules.silence_timeout {
            return Some(EjectionReason::Unresponsive);
        }
        let mean = one.mean().filter(|_| one.good >= MIN_SAMPLES)?;
        let is_slow = mean > self.slow_limit()? && one.slow >= MIN_SLOW_SAMPLES;
        is_slow.then_some(EjectionReason::Slow)
    }

    /// The response time above which a mean is too far above the median, in seconds.
    fn slow_limit(&self) -> Option<f64> {
        let median = self.median?;
        Some(median * self.rules.slow_factor as f64 / ONE as f64)
    }

    /// Whether one answer is too far above the median, and a caller feels it.
    fn is_slow(&self, took: Duration) -> bool {
        let limits = self.slow_limit().zip(self.median);
        limits.is_some_and(|(limit, median)| took.as_secs_f64() > limit.max(median + MIN_SLOWNESS))
    }

    fn update_median(&mut self) {
        self.answers = 0;
        let mut means: Vec<f64> = self.members.iter().filter_map(Member::mean).collect();
        // The lower median, so that slowness of half of the members does not become the norm.
        let at = means.len().saturating_sub(1) / 2;
        self.median = (means.len() >= MIN_MEMBERS_FOR_MEDIAN)
            .then(|| *means.select_nth_unstable_by(at, f64::total_cmp).1);
    }

    /// How many members may be ejected: never all.
    pub fn max_ejected(&self) -> usize {
        let members = self.members.len();
        let kept = (members as u64 * self.rules.min_in_service).div_ceil(ONE) as usize;
        members - kept.clamp(1, members.max(1)).min(members)
    }

    /// How many members are ejected now; 0 while all are used because too many would be ejected.
    pub fn ejected_count(&self) -> usize {
        (0..self.members.len())
            .filter(|member| self.usable(*member) == 0)
            .count()
    }

    /// The part of its usual traffic that a member may get now, in millionths.
    pub fn usable(&self, member: usize) -> u64 {
        if self.all_in_service {
            return ONE;
        }
        match self.members[member].status {
            MemberStatus::Healthy => ONE,
            MemberStatus::Ejected(_) => 0,
            MemberStatus::Probing => self.rules.probe_share.clamp(1, ONE),
        }
    }

    /// The ejection of a member, unless all members are used.
    pub fn ejection(&self, member: usize) -> Option<Ejection> {
        match self.members[member].status {
            MemberStatus::Ejected(ejection) if !self.all_in_service => Some(ejection),
            _ => None,
        }
    }

    /// The status of a member by its index.
    pub fn status(&self, member: usize) -> MemberStatus {
        self.members[member].status
    }

    /// Number of members of the pool.
    pub fn member_count(&self) -> usize {
        self.members.len()
    }

    /// The pool's median response time of good answers, if it is known.
    pub fn typical_duration(&self) -> Option<Duration> {
        self.median
            .and_then(|s| Duration::try_from_secs_f64(s).ok())
    }
}
