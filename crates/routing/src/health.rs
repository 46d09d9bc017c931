//! Which members of a pool are left out, judged from their answers alone: nobody is sent a check.
//!
//! A member is left out for failures one after another, for its share of failures, for slowness against the
//! pool's own middle, or for silence while it owes answers. It comes back by a trickle, and for good once
//! that goes well; each time it fails anew it stays out twice as long, within bounds. If more members would
//! be out than the configuration allows, all are used again: then it is not they who are odd.
//!
//! Invariants: members that are out and members in all are counted in [`Health::ejected_count`] the same way as
//! [`Health::usable`] tells; `since` of a member is the time of its last change of standing.

use rainstand_config::schema;
use rainstand_config::units::ONE;
use std::time::Duration;

/// Results before a share of failures, or a mean time, says anything.
const MIN_SAMPLES: f64 = 20.0;
/// Over this span results fade: long enough for twenty of them, short beside an outage.
const DECAY_SPAN: Duration = Duration::from_secs(10);
/// Good answers one after another with which a trickle ends.
const RECOVERY_SUCCESSES: u32 = 10;
/// Members with a known time, below which there is no middle to be slow against.
const MIN_MEMBERS_FOR_MEDIAN: usize = 3;

/// Why a member is left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionReason {
    ConsecutiveFailures,
    FailureRate,
    Slow,
    Unresponsive,
}

impl EjectionReason {
    pub fn as_str(self) -> &'static str {
        match self {
            EjectionReason::ConsecutiveFailures => "failures_in_a_row",
            EjectionReason::FailureRate => "share_of_failures",
            EjectionReason::Slow => "slow",
            EjectionReason::Unresponsive => "silent",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberStatus {
    Healthy,
    /// Until then.
    Ejected(EjectionReason, Duration),
    /// Back with a part of its usual traffic.
    Probing,
}

impl MemberStatus {
    pub fn as_str(self) -> &'static str {
        match self {
            MemberStatus::Healthy => "in",
            MemberStatus::Ejected(..) => "out",
            MemberStatus::Probing => "trickle",
        }
    }
}

/// A change that is worth a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatusChange {
    pub member: usize,
    pub to: MemberStatus,
}

/// The rules of one pool.
#[derive(Clone, Copy, Debug)]
pub struct HealthRules {
    pub max_consecutive_failures: u32,
    /// Shares in millionths.
    pub max_failure_rate: u64,
    pub slow_factor: u64,
    pub silence_timeout: Duration,
    pub back: (Duration, Duration),
    pub probe_share: u64,
    pub min_in_service: u64,
}

impl From<&schema::Health> for HealthRules {
    fn from(of: &schema::Health) -> Self {
        let ns = Duration::from_nanos;
        Self {
            max_consecutive_failures: u32::try_from(of.out_after).unwrap_or(u32::MAX),
            max_failure_rate: of.out_share,
            slow_factor: of.slow,
            silence_timeout: ns(of.silent_ns),
            back: (ns(of.back_least_ns), ns(of.back_most_ns)),
            probe_share: of.back_share,
            min_in_service: of.keep,
        }
    }
}

#[derive(Clone, Debug)]
struct Member {
    standing: MemberStatus,
    since: Duration,
    /// How often it was left out without having proved itself in between.
    times: u32,
    failed_in_a_row: u32,
    good_in_a_row: u32,
    /// Faded counts, and when they were last brought up to date.
    good: f64,
    bad: f64,
    /// Faded sum of the times of good answers, s.
    took: f64,
    faded: Duration,
    owes: u32,
    /// The last word from it, or when it began to owe an answer.
    heard: Duration,
}

impl Member {
    fn new(now: Duration) -> Self {
        Self {
            standing: MemberStatus::Healthy,
            since: now,
            times: 0,
            failed_in_a_row: 0,
            good_in_a_row: 0,
            good: 0.0,
            bad: 0.0,
            took: 0.0,
            faded: now,
            owes: 0,
            heard: now,
        }
    }

    fn decay(&mut self, now: Duration) {
        let past = now.saturating_sub(self.faded).as_secs_f64() / DECAY_SPAN.as_secs_f64();
        let left = (-past).exp();
        self.good *= left;
        self.bad *= left;
        self.took *= left;
        self.faded = self.faded.max(now);
    }

    fn reset_samples(&mut self) {
        (self.good, self.bad, self.took) = (0.0, 0.0, 0.0);
        (self.failed_in_a_row, self.good_in_a_row) = (0, 0);
    }

    fn mean(&self) -> Option<f64> {
        (self.good >= MIN_SAMPLES / 4.0).then(|| self.took / self.good)
    }
}

/// The standing of all members of one pool.
#[derive(Clone, Debug)]
pub struct Health {
    rules: HealthRules,
    members: Vec<Member>,
    /// More would be out than may be: all are used.
    all_again: bool,
    /// The middle of the members' mean times, s, as of some answers ago: a sort for each answer would be the most of
    /// what a request costs in a pool of a hundred.
    middle: Option<f64>,
    answers: usize,
}

impl Health {
    pub fn rules(&self) -> HealthRules {
        self.rules
    }

    /// Other rules for the same members: standings stay until they are judged by these.
    pub fn set_rules(&mut self, rules: HealthRules) {
        self.rules = rules;
    }

    pub fn new(rules: HealthRules, members: usize, now: Duration) -> Self {
        let members = vec![Member::new(now); members];
        Self {
            rules,
            members,
            all_again: false,
            middle: None,
            answers: 0,
        }
    }

    /// A request went to a member.
    pub fn on_sent(&mut self, member: usize, now: Duration) {
        let one = &mut self.members[member];
        if one.owes == 0 {
            one.heard = one.heard.max(now);
        }
        one.owes += 1;
    }

    /// What came back for it, and after how long; a change if it made one.
    pub fn on_answer(
        &mut self,
        member: usize,
        now: Duration,
        took: Duration,
        good: bool,
    ) -> Option<StatusChange> {
        let one = &mut self.members[member];
        one.owes = one.owes.saturating_sub(1);
        one.heard = now;
        one.decay(now);
        if good {
            one.good += 1.0;
            one.took += took.as_secs_f64();
            one.failed_in_a_row = 0;
            one.good_in_a_row = one.good_in_a_row.saturating_add(1);
        } else {
            one.bad += 1.0;
            one.good_in_a_row = 0;
            one.failed_in_a_row = one.failed_in_a_row.saturating_add(1);
        }
        self.answers += 1;
        if self.answers >= self.members.len() {
            self.update_median();
        }
        self.evaluate(member, now)
    }

    /// A request's caller left, or its connection was closed by us: it proves nothing about the member.
    pub fn on_abandoned(&mut self, member: usize) {
        let one = &mut self.members[member];
        one.owes = one.owes.saturating_sub(1);
    }

    /// It spoke, in a way that tells nothing of its health.
    pub fn on_signal(&mut self, member: usize, now: Duration) {
        let one = &mut self.members[member];
        one.owes = one.owes.saturating_sub(1);
        one.heard = now;
    }

    /// A member that came back under its address is a new one.
    pub fn on_restarted(&mut self, member: usize, now: Duration) {
        self.members[member] = Member::new(now);
    }

    /// Time passes: silence, and members whose time out is over. To be called some times a second.
    pub fn tick(&mut self, now: Duration) -> Vec<StatusChange> {
        self.update_median();
        let changes: Vec<_> = (0..self.members.len())
            .filter_map(|member| self.evaluate(member, now))
            .collect();
        let out = self
            .members
            .iter()
            .filter(|one| matches!(one.standing, MemberStatus::Ejected(..)))
            .count();
        self.all_again = out > self.max_ejected();
        changes
    }

    fn evaluate(&mut self, member: usize, now: Duration) -> Option<StatusChange> {
        let reason = self.reason(member, now);
        let rules = self.rules;
        let one = &mut self.members[member];
        let to = match (one.standing, reason) {
            (MemberStatus::Healthy | MemberStatus::Probing, Some(reason)) => {
                let doubled = rules.back.0.saturating_mul(1 << one.times.min(20));
                one.times += 1;
                one.reset_samples();
                MemberStatus::Ejected(reason, now + doubled.min(rules.back.1))
            }
            (MemberStatus::Ejected(_, until), _) if now >= until => {
                one.reset_samples();
                MemberStatus::Probing
            }
            (MemberStatus::Probing, None) if one.good_in_a_row >= RECOVERY_SUCCESSES => {
                MemberStatus::Healthy
            }
            (MemberStatus::Healthy, None) => {
                // It has been good for as long as it may be left out at most: the past is past.
                if one.times > 0 && now.saturating_sub(one.since) > rules.back.1 {
                    one.times = 0;
                }
                return None;
            }
            _ => return None,
        };
        one.standing = to;
        one.since = now;
        let out = self
            .members
            .iter()
            .filter(|one| matches!(one.standing, MemberStatus::Ejected(..)))
            .count();
        self.all_again = out > self.max_ejected();
        Some(StatusChange { member, to })
    }

    fn reason(&self, member: usize, now: Duration) -> Option<EjectionReason> {
        let (one, rules) = (&self.members[member], &self.rules);
        if one.failed_in_a_row >= rules.max_consecutive_failures.max(1) {
            return Some(EjectionReason::ConsecutiveFailures);
        }
        let all = one.good + one.bad;
        if all >= MIN_SAMPLES && one.bad / all >= rules.max_failure_rate as f64 / ONE as f64 {
            return Some(EjectionReason::FailureRate);
        }
        if one.owes > 0 && now.saturating_sub(one.heard) > rules.silence_timeout {
            return Some(EjectionReason::Unresponsive);
        }
        let mean = one.mean().filter(|_| one.good >= MIN_SAMPLES)?;
        let middle = self.middle?;
        (mean > middle * rules.slow_factor as f64 / ONE as f64).then_some(EjectionReason::Slow)
    }

    fn update_median(&mut self) {
        self.answers = 0;
        let mut means: Vec<f64> = self.members.iter().filter_map(Member::mean).collect();
        // The lower middle: half of the members slow must not make slowness usual.
        let at = means.len().saturating_sub(1) / 2;
        self.middle = (means.len() >= MIN_MEMBERS_FOR_MEDIAN)
            .then(|| *means.select_nth_unstable_by(at, f64::total_cmp).1);
    }

    /// How many members may be left out: never all.
    pub fn max_ejected(&self) -> usize {
        let members = self.members.len();
        let kept = (members as u64 * self.rules.min_in_service).div_ceil(ONE) as usize;
        members - kept.clamp(1, members.max(1)).min(members)
    }

    /// How many are left out now; none while all are used again.
    pub fn ejected_count(&self) -> usize {
        (0..self.members.len())
            .filter(|member| self.usable(*member) == 0)
            .count()
    }

    /// The part of its usual traffic that a member may get, in millionths.
    pub fn usable(&self, member: usize) -> u64 {
        match self.members[member].standing {
            _ if self.all_again => ONE,
            MemberStatus::Healthy => ONE,
            MemberStatus::Ejected(..) => 0,
            MemberStatus::Probing => self.rules.probe_share.clamp(1, ONE),
        }
    }

    /// Until when a member is left out, and why, as long as that counts.
    pub fn ejection(&self, member: usize) -> Option<(EjectionReason, Duration)> {
        match self.members[member].standing {
            MemberStatus::Ejected(reason, until) if !self.all_again => Some((reason, until)),
            _ => None,
        }
    }

    pub fn status(&self, member: usize) -> MemberStatus {
        self.members[member].standing
    }

    /// The mean time of the pool's good answers, where it is known.
    pub fn typical_duration(&self) -> Option<Duration> {
        self.middle
            .and_then(|s| Duration::try_from_secs_f64(s).ok())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    const RULES: HealthRules = HealthRules {
        max_consecutive_failures: 5,
        max_failure_rate: 500_000,
        slow_factor: 3 * ONE,
        silence_timeout: Duration::from_secs(2),
        back: (Duration::from_secs(5), Duration::from_secs(60)),
        probe_share: 100_000,
        min_in_service: 500_000,
    };

    fn ms(n: u64) -> Duration {
        Duration::from_millis(n)
    }

    /// Ten answers a second by each member for a time: how each answers is told by `how`.
    fn run(
        health: &mut Health,
        from: u64,
        upto: u64,
        how: impl Fn(usize) -> Option<(u64, bool)>,
    ) -> Vec<(u64, StatusChange)> {
        let mut changes = Vec::new();
        for t in (from..upto).step_by(100) {
            for member in 0..health.members.len() {
                if health.usable(member) == 0 {
                    continue;
                }
                health.on_sent(member, ms(t));
                if let Some((took, good)) = how(member) {
                    changes.extend(
                        health
                            .on_answer(member, ms(t + took.min(99)), ms(took), good)
                            .map(|c| (t, c)),
                    );
                }
            }
            changes.extend(health.tick(ms(t + 99)).into_iter().map(|c| (t, c)));
        }
        changes
    }

    #[test]
    fn each_reason_leaves_the_one_out() {
        type How = fn(usize) -> Option<(u64, bool)>;
        let table: [(How, EjectionReason, u64); 3] = [
            (
                |m| Some((20, m != 2)),
                EjectionReason::ConsecutiveFailures,
                1_000,
            ),
            (
                |m| if m == 2 { None } else { Some((20, true)) },
                EjectionReason::Unresponsive,
                3_000,
            ),
            (
                |m| Some((if m == 2 { 70 } else { 20 }, true)),
                EjectionReason::Slow,
                4_000,
            ),
        ];
        for (how, reason, within) in table {
            let mut health = Health::new(RULES, 5, ms(0));
            let changes = run(&mut health, 0, within, how);
            assert_eq!(changes.len(), 1, "{changes:?}");
            assert!(
                matches!(changes[0].1, StatusChange { member: 2, to: MemberStatus::Ejected(told, _) } if told == reason),
                "{changes:?}"
            );
            assert_eq!(
                (health.ejected_count(), health.usable(2), health.usable(1)),
                (1, 0, ONE)
            );
        }
    }

    #[test]
    fn a_share_of_failures_counts_where_they_never_come_in_a_row() {
        let mut health = Health::new(RULES, 3, ms(0));
        let mut told = None;
        for t in 0..100u64 {
            health.on_sent(0, ms(t * 50));
            told = told.or(health.on_answer(0, ms(t * 50 + 5), ms(5), t % 2 == 0));
        }
        assert!(
            matches!(
                told,
                Some(StatusChange {
                    member: 0,
                    to: MemberStatus::Ejected(EjectionReason::FailureRate, _)
                })
            ),
            "{told:?}"
        );
    }

    #[test]
    fn it_comes_back_by_a_trickle_and_stays_out_longer_each_time() {
        let mut health = Health::new(RULES, 4, ms(0));
        let changes = run(&mut health, 0, 40_000, |m| Some((20, m != 0)));
        let outs: Vec<u64> = changes
            .iter()
            .filter_map(|(t, c)| match c.to {
                MemberStatus::Ejected(_, until) => Some(until.as_millis() as u64 - t),
                _ => None,
            })
            .map(|span| (span + 500) / 1_000)
            .collect();
        assert_eq!(outs, [5, 10, 20, 40], "{changes:?}");
        // It mends: a trickle first, then all of its traffic.
        let changes = run(&mut health, 40_000, 80_000, |_| Some((20, true)));
        let standings: Vec<_> = changes.iter().map(|(_, c)| c.to).collect();
        assert_eq!(standings, [MemberStatus::Probing, MemberStatus::Healthy]);
    }

    #[test]
    fn when_too_many_would_be_out_all_are_used_again() {
        let mut health = Health::new(RULES, 4, ms(0));
        run(&mut health, 0, 3_000, |m| Some((20, m > 1)));
        assert_eq!((health.ejected_count(), health.max_ejected()), (2, 2));
        run(&mut health, 3_000, 5_000, |_| Some((20, false)));
        assert_eq!(health.ejected_count(), 0, "all again");
        assert!((0..4).all(|member| health.usable(member) == ONE));
        // One alone is never left out.
        let mut alone = Health::new(RULES, 1, ms(0));
        run(&mut alone, 0, 5_000, |_| Some((20, false)));
        assert_eq!((alone.ejected_count(), alone.max_ejected()), (0, 0));
    }

    proptest! {
        #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(18), failure_persistence: None, ..ProptestConfig::default() })]

        /// Whatever happens, no more are out than may be, and never all.
        #[test]
        fn never_more_out_than_allowed(
            members in 1usize..9,
            keep in 0u64..=ONE,
            steps in proptest::collection::vec((0usize..9, 0u64..400, any::<bool>(), 0u64..3_000), 0..300),
        ) {
            let mut health = Health::new(HealthRules { min_in_service: keep, ..RULES }, members, ms(0));
            let mut now = 0;
            for (member, took, good, gap) in steps {
                let member = member % members;
                now += gap / 10;
                health.on_sent(member, ms(now));
                if took > 20 {
                    health.on_answer(member, ms(now + took), ms(took), good);
                }
                health.tick(ms(now + took));
                now += took;
                prop_assert!(health.ejected_count() <= health.max_ejected());
                prop_assert!(health.ejected_count() < members);
            }
        }
    }
}
