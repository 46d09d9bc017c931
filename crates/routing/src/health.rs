//! Passive outlier detection: ejects pool members based on their responses alone; no health checks are sent.
//!
//! A member is ejected for consecutive failures, for its failure rate, for being slow compared with the pool's median,
//! or for sending nothing while responses are pending. It counts as slow if its mean response time is too high and
//! several responses were slow, each by a difference that is noticeable to a caller. Time for which this process itself
//! was stalled counts for none of these. After its ejection time a member is probed with a fraction of its usual
//! traffic, and is healthy again after enough consecutive successes. Each further ejection doubles the ejection time,
//! up to a maximum. If more members would be ejected than the configuration allows, all of them are used: the cause is
//! then not in the members.
//!
//! Invariants: [`Health::ejected_count`] is the number of members whose [`Health::traffic_fraction`] is 0; `since` of a
//! member is the time of its last status change.

use rainstand_config::schema;
use rainstand_config::units::ONE;
use std::time::Duration;

/// Minimum decayed number of results before a failure rate or a mean response time is significant.
const MIN_SAMPLES: f64 = 20.0;
/// Difference to the pool's median, in seconds, up to which a response is not slow: callers do not notice it, and on a
/// shared machine a few scheduler time slices add as much.
const MIN_EXCESS_S: f64 = 0.020;
/// Minimum decayed number of slow responses before a member counts as slow: one of them alone can raise the mean.
const MIN_SLOW_SAMPLES: f64 = 4.5;
/// Time constant of the decay of results: long enough to collect twenty of them, short compared with an outage.
const DECAY_TIME_CONSTANT: Duration = Duration::from_secs(10);
/// Consecutive successes after which a probed member is healthy again.
const RECOVERY_SUCCESSES: u32 = 10;
/// Minimum number of members with a known mean response time for a median to compare with.
const MIN_MEMBERS_FOR_MEDIAN: usize = 3;
/// Maximum number of doublings of the ejection time, so that the shift cannot overflow.
const MAX_DOUBLINGS: u32 = 20;

/// Why a member is ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionReason {
    /// Too many failures in a row.
    ConsecutiveFailures,
    /// The failure rate of its recent responses is too high.
    FailureRate,
    /// Its mean response time is too far above the pool's median.
    Slow,
    /// Responses are pending and it has sent nothing for too long.
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
    /// Cause of the ejection.
    pub reason: EjectionReason,
    /// End of the ejection; the member is probed from then on.
    pub until: Duration,
}

/// How much traffic a member gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberStatus {
    /// Gets its usual traffic.
    Healthy,
    /// Gets no traffic.
    Ejected(Ejection),
    /// Gets a fraction of its usual traffic.
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

/// A status change of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatusChange {
    /// Index of the member in its pool.
    pub member: usize,
    /// Its new status.
    pub to: MemberStatus,
}

/// Outlier detection settings of one pool.
#[derive(Clone, Copy, Debug)]
pub struct OutlierDetectionSettings {
    /// Consecutive failures that eject a member; at least 1.
    pub max_consecutive_failures: u32,
    /// Failure rate that ejects a member, in millionths.
    pub max_failure_rate: u64,
    /// Multiple of the pool's median response time above which a member is ejected, in millionths.
    pub slow_factor: u64,
    /// Time without any response, while some are pending, after which a member is ejected.
    pub silence_timeout: Duration,
    /// Duration of the first ejection; doubles with each further one.
    pub min_ejection_time: Duration,
    /// Maximum duration of an ejection.
    pub max_ejection_time: Duration,
    /// Fraction of its usual traffic that a probed member gets, in millionths.
    pub probe_share: u64,
    /// Minimum fraction of the members that stay in service, in millionths.
    pub min_in_service: u64,
}

impl From<&schema::Health> for OutlierDetectionSettings {
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
    /// Ejections since the member was last healthy for the maximum ejection time.
    ejections: u32,
    consecutive_failures: u32,
    consecutive_successes: u32,
    /// Decayed numbers of successful and failed responses.
    successes: f64,
    failures: f64,
    /// Decayed sum of the response times of successful responses, in seconds.
    response_time_sum: f64,
    /// Decayed number of slow responses.
    slow_count: f64,
    /// When the decay was last applied.
    decayed_at: Duration,
    /// Number of pending responses.
    outstanding: u32,
    /// Time of its last response, or since when a response is pending.
    silent_since: Duration,
}

impl Member {
    fn new(now: Duration) -> Self {
        Self {
            status: MemberStatus::Healthy,
            since: now,
            ejections: 0,
            consecutive_failures: 0,
            consecutive_successes: 0,
            successes: 0.0,
            failures: 0.0,
            response_time_sum: 0.0,
            slow_count: 0.0,
            decayed_at: now,
            outstanding: 0,
            silent_since: now,
        }
    }

    fn decay(&mut self, now: Duration) {
        let time_constants =
            now.saturating_sub(self.decayed_at).as_secs_f64() / DECAY_TIME_CONSTANT.as_secs_f64();
        let remaining = (-time_constants).exp();
        self.successes *= remaining;
        self.failures *= remaining;
        self.response_time_sum *= remaining;
        self.slow_count *= remaining;
        self.decayed_at = self.decayed_at.max(now);
    }

    fn reset_samples(&mut self) {
        (self.successes, self.failures) = (0.0, 0.0);
        (self.response_time_sum, self.slow_count) = (0.0, 0.0);
        (self.consecutive_failures, self.consecutive_successes) = (0, 0);
    }

    fn mean_response_time(&self) -> Option<f64> {
        (self.successes >= MIN_SAMPLES / 4.0).then(|| self.response_time_sum / self.successes)
    }
}

/// Outlier detection state of all members of one pool.
#[derive(Clone, Debug)]
pub struct Health {
    rules: OutlierDetectionSettings,
    members: Vec<Member>,
    /// Whether all members are used because more would be ejected than allowed.
    all_in_service: bool,
    /// Median of the members' mean response times, in seconds. Updated once per as many responses as there are members:
    /// a selection for each response would dominate the cost of a request in a pool of a hundred.
    median: Option<f64>,
    responses: usize,
}

impl Health {
    /// The current settings.
    pub fn rules(&self) -> OutlierDetectionSettings {
        self.rules
    }

    /// Replaces the settings; statuses are kept until the next evaluation.
    pub fn set_rules(&mut self, rules: OutlierDetectionSettings) {
        self.rules = rules;
    }

    /// Creates the state for `members` members, all healthy.
    pub fn new(rules: OutlierDetectionSettings, members: usize, now: Duration) -> Self {
        let members = vec![Member::new(now); members];
        Self {
            rules,
            members,
            all_in_service: false,
            median: None,
            responses: 0,
        }
    }

    /// Records that a request was sent to a member.
    pub fn on_sent(&mut self, member: usize, now: Duration) {
        let state = &mut self.members[member];
        if state.outstanding == 0 {
            state.silent_since = state.silent_since.max(now);
        }
        state.outstanding += 1;
    }

    /// Records the response to a request, its response time and whether it succeeded; returns the status change that it
    /// caused.
    pub fn on_response(
        &mut self,
        member: usize,
        now: Duration,
        response_time: Duration,
        succeeded: bool,
    ) -> Option<StatusChange> {
        let is_slow = self.is_slow(response_time);
        let state = &mut self.members[member];
        state.outstanding = state.outstanding.saturating_sub(1);
        state.silent_since = now;
        state.decay(now);
        if succeeded {
            state.successes += 1.0;
            state.response_time_sum += response_time.as_secs_f64();
            state.slow_count += f64::from(u8::from(is_slow));
            state.consecutive_failures = 0;
            state.consecutive_successes = state.consecutive_successes.saturating_add(1);
        } else {
            state.failures += 1.0;
            state.consecutive_successes = 0;
            state.consecutive_failures = state.consecutive_failures.saturating_add(1);
        }
        self.responses += 1;
        if self.responses >= self.members.len() {
            self.update_median();
        }
        self.evaluate(member, now)
    }

    /// Records a request whose caller disconnected or whose connection this side closed, which says nothing about the
    /// member's health.
    pub fn on_abandoned(&mut self, member: usize) {
        let state = &mut self.members[member];
        state.outstanding = state.outstanding.saturating_sub(1);
    }

    /// Records a response that says nothing about the member's health, except that it is responsive.
    pub fn on_neutral_response(&mut self, member: usize, now: Duration) {
        let state = &mut self.members[member];
        state.outstanding = state.outstanding.saturating_sub(1);
        state.silent_since = now;
    }

    /// Resets the state of a member that restarted.
    pub fn on_restarted(&mut self, member: usize, now: Duration) {
        self.members[member] = Member::new(now);
    }

    /// Records that this process was stalled for `stall` until `now`: no response could be received in that time.
    pub fn on_stall(&mut self, now: Duration, stall: Duration) {
        for state in &mut self.members {
            state.silent_since = (state.silent_since + stall).min(now);
        }
    }

    /// Ejects unresponsive members and ends ejections that have expired. To be called several times a second.
    pub fn tick(&mut self, now: Duration) -> Vec<StatusChange> {
        self.update_median();
        let changes: Vec<_> = (0..self.members.len())
            .filter_map(|member| self.evaluate(member, now))
            .collect();
        let ejected = self
            .members
            .iter()
            .filter(|state| matches!(state.status, MemberStatus::Ejected(_)))
            .count();
        self.all_in_service = ejected > self.max_ejected();
        changes
    }

    fn evaluate(&mut self, member: usize, now: Duration) -> Option<StatusChange> {
        let reason = self.reason(member, now);
        let rules = self.rules;
        let state = &mut self.members[member];
        let to = match (state.status, reason) {
            (MemberStatus::Healthy | MemberStatus::Probing, Some(reason)) => {
                let ejection_time = rules
                    .min_ejection_time
                    .saturating_mul(1 << state.ejections.min(MAX_DOUBLINGS));
                state.ejections += 1;
                state.reset_samples();
                MemberStatus::Ejected(Ejection {
                    reason,
                    until: now + ejection_time.min(rules.max_ejection_time),
                })
            }
            (MemberStatus::Ejected(ejection), _) if now >= ejection.until => {
                state.reset_samples();
                MemberStatus::Probing
            }
            (MemberStatus::Probing, None) if state.consecutive_successes >= RECOVERY_SUCCESSES => {
                MemberStatus::Healthy
            }
            (MemberStatus::Healthy, None) => {
                // Healthy for longer than the maximum ejection time: earlier ejections no longer count.
                if state.ejections > 0 && now.saturating_sub(state.since) > rules.max_ejection_time
                {
                    state.ejections = 0;
                }
                return None;
            }
            _ => return None,
        };
        state.status = to;
        state.since = now;
        let ejected = self
            .members
            .iter()
            .filter(|state| matches!(state.status, MemberStatus::Ejected(_)))
            .count();
        self.all_in_service = ejected > self.max_ejected();
        Some(StatusChange { member, to })
    }

    fn reason(&self, member: usize, now: Duration) -> Option<EjectionReason> {
        let (state, rules) = (&self.members[member], &self.rules);
        if state.consecutive_failures >= rules.max_consecutive_failures.max(1) {
            return Some(EjectionReason::ConsecutiveFailures);
        }
        let results = state.successes + state.failures;
        if results >= MIN_SAMPLES
            && state.failures / results >= rules.max_failure_rate as f64 / ONE as f64
        {
            return Some(EjectionReason::FailureRate);
        }
        if state.outstanding > 0 && now.saturating_sub(state.silent_since) > rules.silence_timeout {
            return Some(EjectionReason::Unresponsive);
        }
        let mean_response_time = state
            .mean_response_time()
            .filter(|_| state.successes >= MIN_SAMPLES)?;
        let is_slow =
            mean_response_time > self.slow_limit()? && state.slow_count >= MIN_SLOW_SAMPLES;
        is_slow.then_some(EjectionReason::Slow)
    }

    /// The mean response time above which a member is slow, in seconds.
    fn slow_limit(&self) -> Option<f64> {
        let median = self.median?;
        Some(median * self.rules.slow_factor as f64 / ONE as f64)
    }

    /// Whether a response time is too far above the median, and by a difference that is noticeable to a caller.
    fn is_slow(&self, time: Duration) -> bool {
        let limits = self.slow_limit().zip(self.median);
        limits.is_some_and(|(limit, median)| time.as_secs_f64() > limit.max(median + MIN_EXCESS_S))
    }

    fn update_median(&mut self) {
        self.responses = 0;
        let mut means: Vec<f64> = self
            .members
            .iter()
            .filter_map(Member::mean_response_time)
            .collect();
        // The lower median, so that half of the members being slow does not raise it.
        let median_index = means.len().saturating_sub(1) / 2;
        self.median = (means.len() >= MIN_MEMBERS_FOR_MEDIAN)
            .then(|| *means.select_nth_unstable_by(median_index, f64::total_cmp).1);
    }

    /// Maximum number of ejected members, always less than the number of members.
    pub fn max_ejected(&self) -> usize {
        let members = self.members.len();
        let min_members = (members as u64 * self.rules.min_in_service).div_ceil(ONE) as usize;
        members - min_members.clamp(1, members.max(1)).min(members)
    }

    /// Number of ejected members; 0 while all are used because too many would be ejected.
    pub fn ejected_count(&self) -> usize {
        (0..self.members.len())
            .filter(|member| self.traffic_fraction(*member) == 0)
            .count()
    }

    /// The fraction of its usual traffic that a member may get now, in millionths.
    pub fn traffic_fraction(&self, member: usize) -> u64 {
        if self.all_in_service {
            return ONE;
        }
        match self.members[member].status {
            MemberStatus::Healthy => ONE,
            MemberStatus::Ejected(_) => 0,
            MemberStatus::Probing => self.rules.probe_share.clamp(1, ONE),
        }
    }

    /// The ejection of a member; `None` while all members are used.
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

    /// The median over the members of the mean time of successful responses, if it is known.
    pub fn median_response_time(&self) -> Option<Duration> {
        self.median
            .and_then(|s| Duration::try_from_secs_f64(s).ok())
    }
}
