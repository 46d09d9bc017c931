//! Ejection of members based on their responses, and their return to service.

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

const RULES: OutlierDetectionSettings = OutlierDetectionSettings {
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

/// Sends ten requests per second to each usable member. `response_of` returns a member's response time in ms and whether
/// it succeeded, or `None` for no response. Returns the status changes with their times in ms.
fn run(
    health: &mut Health,
    from_ms: u64,
    to_ms: u64,
    response_of: impl Fn(usize) -> Option<(u64, bool)>,
) -> Vec<(u64, StatusChange)> {
    let mut changes = Vec::new();
    for now_ms in (from_ms..to_ms).step_by(100) {
        for member in 0..health.member_count() {
            if health.traffic_fraction(member) == 0 {
                continue;
            }
            health.on_sent(member, ms(now_ms));
            if let Some((response_ms, succeeded)) = response_of(member) {
                changes.extend(
                    health
                        .on_response(
                            member,
                            ms(now_ms + response_ms.min(99)),
                            ms(response_ms),
                            succeeded,
                        )
                        .map(|change| (now_ms, change)),
                );
            }
        }
        changes.extend(
            health
                .tick(ms(now_ms + 99))
                .into_iter()
                .map(|change| (now_ms, change)),
        );
    }
    changes
}

#[test]
fn member_is_ejected_for_each_reason() {
    type ResponseOf = fn(usize) -> Option<(u64, bool)>;
    let table: [(ResponseOf, EjectionReason, u64); 3] = [
        (
            |member| Some((20, member != 2)),
            EjectionReason::ConsecutiveFailures,
            1_000,
        ),
        (
            |member| if member == 2 { None } else { Some((20, true)) },
            EjectionReason::Unresponsive,
            3_000,
        ),
        (
            |member| Some((if member == 2 { 70 } else { 20 }, true)),
            EjectionReason::Slow,
            4_000,
        ),
    ];
    for (response_of, reason, within) in table {
        let mut health = Health::new(RULES, 5, ms(0));
        let changes = run(&mut health, 0, within, response_of);
        assert_eq!(changes.len(), 1, "{changes:?}");
        assert!(
            matches!(changes[0].1, StatusChange { member: 2, to: MemberStatus::Ejected(ejection) } if ejection.reason == reason),
            "{changes:?}"
        );
        assert_eq!(
            (
                health.ejected_count(),
                health.traffic_fraction(2),
                health.traffic_fraction(1)
            ),
            (1, 0, ONE)
        );
    }
}

#[test]
fn member_is_ejected_for_its_failure_rate_without_consecutive_failures() {
    let mut health = Health::new(RULES, 3, ms(0));
    let mut change = None;
    for t in 0..100u64 {
        health.on_sent(0, ms(t * 50));
        change = change.or(health.on_response(0, ms(t * 50 + 5), ms(5), t % 2 == 0));
    }
    assert!(
        matches!(
            change,
            Some(StatusChange {
                member: 0,
                to: MemberStatus::Ejected(Ejection {
                    reason: EjectionReason::FailureRate,
                    ..
                })
            })
        ),
        "{change:?}"
    );
}

#[test]
fn ejection_time_doubles_and_member_is_probed_before_it_is_healthy() {
    let mut health = Health::new(RULES, 4, ms(0));
    let changes = run(&mut health, 0, 40_000, |member| Some((20, member != 0)));
    let ejection_seconds: Vec<u64> = changes
        .iter()
        .filter_map(|(t, change)| match change.to {
            MemberStatus::Ejected(Ejection { until, .. }) => Some(until.as_millis() as u64 - t),
            _ => None,
        })
        .map(|duration_ms| (duration_ms + 500) / 1_000)
        .collect();
    assert_eq!(ejection_seconds, [5, 10, 20, 40], "{changes:?}");
    // It recovers: probed with a fraction of its traffic first, then healthy.
    let changes = run(&mut health, 40_000, 80_000, |_| Some((20, true)));
    let statuses: Vec<_> = changes.iter().map(|(_, change)| change.to).collect();
    assert_eq!(statuses, [MemberStatus::Probing, MemberStatus::Healthy]);
}

#[test]
fn all_members_are_used_when_too_many_would_be_ejected() {
    let mut health = Health::new(RULES, 4, ms(0));
    run(&mut health, 0, 3_000, |member| Some((20, member > 1)));
    assert_eq!((health.ejected_count(), health.max_ejected()), (2, 2));
    run(&mut health, 3_000, 5_000, |_| Some((20, false)));
    assert_eq!(health.ejected_count(), 0, "all members are used again");
    assert!((0..4).all(|member| health.traffic_fraction(member) == ONE));
    // A single member is never ejected.
    let mut alone = Health::new(RULES, 1, ms(0));
    run(&mut alone, 0, 5_000, |_| Some((20, false)));
    assert_eq!((alone.ejected_count(), alone.max_ejected()), (0, 0));
}

/// Number of responses after which a member that becomes slow is ejected, `None` if more than `max`. All members respond
/// in `usual` ms; after `before` such responses each, one of them takes `then` ms.
fn responses_to_ejection(usual: u64, before: u64, then: u64, max: u64) -> Option<u64> {
    const MEMBERS: usize = 5;
    let mut health = Health::new(RULES, MEMBERS, ms(0));
    for round in 0..before + max {
        for member in 0..MEMBERS {
            let response_ms = if member == 2 && round >= before {
                then
            } else {
                usual
            };
            health.on_sent(member, ms(round * 10));
            if let Some(change) = health.on_response(member, ms(round * 10), ms(response_ms), true)
            {
                assert_eq!(change.member, 2);
                return Some(round + 1 - before);
            }
        }
    }
    None
}

// Guards against later ejection of slow members: pins the number of responses, which is never less than five.
#[test]
fn slow_member_is_ejected_after_the_expected_number_of_responses() {
    let table = [
        (20, 0, 70, 21),
        (20, 0, 200, 21),
        (20, 100, 70, 323),
        (20, 100, 200, 27),
        (20, 400, 2_000, 7),
        (20, 100, 2_000, 5),
        (5, 100, 50, 27),
    ];
    for (usual, before, then, responses) in table {
        let ejected = responses_to_ejection(usual, before, then, 1_000);
        assert_eq!(ejected, Some(responses), "{usual} {before} {then}");
    }
}

// Guards against ejection for a few slow responses, and for a difference that is not noticeable to callers.
#[test]
fn few_slow_responses_or_a_small_difference_eject_no_member() {
    assert_eq!(responses_to_ejection(1, 100, 60_000, 4), None);
    assert_eq!(responses_to_ejection(1, 100, 15, 1_000), None);
    assert_eq!(responses_to_ejection(0, 0, 15, 1_000), None);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(18), failure_persistence: None, ..ProptestConfig::default() })]

    /// In no sequence of responses are more members ejected than allowed, or all of them.
    #[test]
    fn ejected_members_never_exceed_the_allowed_number(
        members in 1usize..9,
        min_share in 0u64..=ONE,
        steps in proptest::collection::vec((0usize..9, 0u64..400, any::<bool>(), 0u64..3_000), 0..300),
    ) {
        let mut health = Health::new(OutlierDetectionSettings { min_in_service: min_share, ..RULES }, members, ms(0));
        let mut now = 0;
        for (member, response_ms, succeeded, gap_ms) in steps {
            let member = member % members;
            now += gap_ms / 10;
            health.on_sent(member, ms(now));
            if response_ms > 20 {
                health.on_response(member, ms(now + response_ms), ms(response_ms), succeeded);
            }
            health.tick(ms(now + response_ms));
            now += response_ms;
            prop_assert!(health.ejected_count() <= health.max_ejected());
            prop_assert!(health.ejected_count() < members);
        }
    }
}
