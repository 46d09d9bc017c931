//! Ejection of members by their answers, and their way back into service.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rainstand_config::units::ONE;
use rainstand_routing::health::*;
use std::time::Duration;

const RULES: HealthRules = HealthRules {
    max_consecutive_failures: 5,
    max_failure_rate: 500_000,
    slow_factor: 3 * ONE,
    silence_timeout: Duration::from_secs(2),
    min_ejection_time: Duration::from_secs(5),
    max_ejection_time: Duration::from_secs(60),
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
        for member in 0..health.member_count() {
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
fn each_reason_ejects_the_member() {
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
            matches!(changes[0].1, StatusChange { member: 2, to: MemberStatus::Ejected(told) } if told.reason == reason),
            "{changes:?}"
        );
        assert_eq!(
            (health.ejected_count(), health.usable(2), health.usable(1)),
            (1, 0, ONE)
        );
    }
}

#[test]
fn a_failure_rate_counts_without_consecutive_failures() {
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
                to: MemberStatus::Ejected(Ejection {
                    reason: EjectionReason::FailureRate,
                    ..
                })
            })
        ),
        "{told:?}"
    );
}

#[test]
fn a_member_is_probed_and_ejected_longer_each_time() {
    let mut health = Health::new(RULES, 4, ms(0));
    let changes = run(&mut health, 0, 40_000, |m| Some((20, m != 0)));
    let outs: Vec<u64> = changes
        .iter()
        .filter_map(|(t, c)| match c.to {
            MemberStatus::Ejected(Ejection { until, .. }) => Some(until.as_millis() as u64 - t),
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
fn all_members_are_used_when_too_many_would_be_ejected() {
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

/// Answers of a member that it takes to eject it, at most `max`: all answer in `usual` milliseconds, and after `before` such
/// answers of each one member takes `then`.
fn answers_to_ejection(usual: u64, before: u64, then: u64, max: u64) -> Option<u64> {
    const MEMBERS: usize = 5;
    let mut health = Health::new(RULES, MEMBERS, ms(0));
    for turn in 0..before + max {
        for member in 0..MEMBERS {
            let took = if member == 2 && turn >= before {
                then
            } else {
                usual
            };
            health.on_sent(member, ms(turn * 10));
            if let Some(change) = health.on_answer(member, ms(turn * 10), ms(took), true) {
                assert_eq!(change.member, 2);
                return Some(turn + 1 - before);
            }
        }
    }
    None
}

// Guards against slower ejection of members that are slow: as many answers as ever, but not fewer than five.
#[test]
fn a_member_that_turns_slow_is_ejected_as_soon_as_ever() {
    let table = [
        (20, 0, 70, 21),
        (20, 0, 200, 21),
        (20, 100, 70, 323),
        (20, 100, 200, 27),
        (20, 400, 2_000, 7),
        (20, 100, 2_000, 5),
        (5, 100, 50, 27),
    ];
    for (usual, before, then, answers) in table {
        let ejected = answers_to_ejection(usual, before, then, 1_000);
        assert_eq!(ejected, Some(answers), "{usual} {before} {then}");
    }
}

// Guards against an ejection for single answers, and for a difference that no caller feels.
#[test]
fn a_few_late_answers_or_a_small_difference_eject_nobody() {
    assert_eq!(answers_to_ejection(1, 100, 60_000, 4), None);
    assert_eq!(answers_to_ejection(1, 100, 15, 1_000), None);
    assert_eq!(answers_to_ejection(0, 0, 15, 1_000), None);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(18), failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever happens, no more are out than may be, and never all.
    #[test]
    fn never_more_members_ejected_than_allowed(
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
