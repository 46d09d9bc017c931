//! Configuration changes while requests are in flight: state that a fleet stores by index stays correct.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use nanorand::{Rng, WyRand};
use rainstand_config::schema;
use rainstand_config::units::ONE;
use rainstand_routing::fleet::{AttemptOutcome, Fleet, NextAction, RequestOutcome};
use rainstand_routing::health::MemberStatus;
use rainstand_routing::table::Request;
use rainstand_routing::table_update::{EntryKind, TableChange};
use std::time::Duration;

/// Applies random changes of all entry kinds that a fleet refers to by index, while requests are in flight.
#[test]
fn updates_with_requests_in_flight_leak_no_counts() {
    let pool = |name: usize, members: &[usize], limits: &str| {
        let member = |n: &usize| schema::Member {
            name: format!("n{n}"),
            address: format!("10.0.{name}.{n}:1"),
            weight: ONE,
            ..Default::default()
        };
        schema::Pool {
            name: format!("p{name}"),
            members: members.iter().map(member).collect(),
            limits: limits.into(),
            health: "h".into(),
            ..Default::default()
        }
    };
    let tenant = |n: usize, share| schema::Tenant {
        name: format!("t{n}"),
        share,
        ..Default::default()
    };
    let route = |n: usize, pool: usize| schema::Route {
        name: format!("r{n}"),
        to: vec![schema::Target {
            pool: format!("p{pool}"),
            share: ONE,
        }],
        r#match: (n > 0).then(|| schema::Match {
            entities: vec![format!("{n}")],
            ..Default::default()
        }),
        attempts: "a".into(),
        ..Default::default()
    };
    let attempts = schema::Attempts {
        name: "a".into(),
        tries: 3,
        budget: ONE,
        wait_most_ns: 5_000_000,
        proof: schema::Proof::None.into(),
        ..Default::default()
    };
    let health = |out_after| schema::Health {
        name: "h".into(),
        out_after,
        ..Default::default()
    };
    let request_class = schema::TrafficType {
        name: "t".into(),
        repeat: schema::RepeatKind::Rerunnable.into(),
        goal_ns: 3_000_000_000,
        ..Default::default()
    };
    let limits = |at_once| schema::Limits {
        name: "l".into(),
        at_once,
        ..Default::default()
    };
    let initial = schema::Configuration {
        version: 1,
        types: vec![request_class],
        tenants: (0..6).map(|n| tenant(n, 100_000)).collect(),
        pools: (0..4)
            .map(|n| pool(n, &[0, 1, 2], if n == 1 { "l" } else { "" }))
            .collect(),
        limits: vec![limits(40)],
        attempts: vec![attempts.clone()],
        health: vec![health(5)],
        routes: (0..4).rev().map(|n| route(n, n)).collect(),
        ..Default::default()
    };
    for seed in 0..40 {
        let mut random = WyRand::new_seed(seed);
        let mut draw = |n: usize| random.generate_range(0..n);
        let mut fleet = Fleet::new(&initial, "", seed, Duration::ZERO).unwrap();
        let (mut now, mut in_flight, mut backoffs, mut served, mut applied) =
            (Duration::ZERO, vec![], vec![], 0, 0);
        let (mut arrived, mut completed) = (0, 0);
        for step in 0..3_000 {
            now += Duration::from_millis(draw(4) as u64);
            let action = match draw(20) {
                0 => {
                    let members: Vec<usize> = (0..4).filter(|_| draw(3) > 0).collect();
                    let changes = match draw(9) {
                        0 => vec![TableChange::Tenant(tenant(
                            draw(9),
                            draw(3) as u64 * 50_000,
                        ))],
                        1 => vec![TableChange::Remove(
                            EntryKind::Tenant,
                            format!("t{}", draw(9)),
                        )],
                        2 => vec![TableChange::Pool(pool(
                            draw(6),
                            &members,
                            ["", "l"][draw(2)],
                        ))],
                        3 => vec![TableChange::Remove(
                            EntryKind::Pool,
                            format!("p{}", draw(6)),
                        )],
                        4 => vec![TableChange::Route(
                            route(1 + draw(5), draw(6)),
                            Some("r0".into()),
                        )],
                        5 => vec![TableChange::Remove(
                            EntryKind::Route,
                            format!("r{}", 1 + draw(5)),
                        )],
                        6 => vec![TableChange::Limits(limits(1 + draw(30) as u64))],
                        7 => vec![TableChange::Health(health(1 + draw(9) as u64))],
                        _ => vec![TableChange::Attempts(attempts.clone())],
                    };
                    applied += u32::from(fleet.apply(&changes, now).is_ok());
                    let current = fleet.table().configuration();
                    for (index, pool) in current.pools.iter().enumerate() {
                        let max_limit = current
                            .limits
                            .iter()
                            .find(|one| one.name == pool.limits)
                            .map(|one| one.at_once);
                        let members: Vec<_> = fleet.members(index as u16, now).collect();
                        assert!(members
                            .iter()
                            .map(|member| member.address)
                            .eq(pool.members.iter().map(|m| &*m.address)));
                        // A changed limit also applies to members that existed before.
                        assert!(members
                            .iter()
                            .all(|one| max_limit.is_none_or(|max| u64::from(one.limit) <= max)));
                    }
                    continue;
                }
                1 => {
                    fleet.tick(now);
                    continue;
                }
                2..=8 if !in_flight.is_empty() => {
                    let state = in_flight.swap_remove(draw(in_flight.len()));
                    let outcome = [
                        AttemptOutcome::Served,
                        AttemptOutcome::Served,
                        AttemptOutcome::Failed,
                        AttemptOutcome::Broken,
                        AttemptOutcome::CallerLeft,
                    ][draw(5)];
                    fleet.on_attempt_outcome(now, state, outcome)
                }
                9..=12 if !backoffs.is_empty() => {
                    fleet.on_retry_due(now, backoffs.swap_remove(draw(backoffs.len())))
                }
                _ if step < 2_500 => {
                    arrived += 1;
                    let tenant = fleet.table().tenant(&format!("t{}", draw(9)));
                    let entity = format!("{}", draw(6));
                    let tenant_hash = draw(5) as u64;
                    fleet.on_arrival(
                        now,
                        &Request {
                            tenant,
                            tenant_hash,
                            entity: &entity,
                            ..Request::default()
                        },
                    )
                }
                _ => continue,
            };
            match action {
                NextAction::Dispatch(state, _) => in_flight.push(state),
                NextAction::Backoff(state, _) => backoffs.push(state),
                NextAction::Completed(end) => {
                    completed += 1;
                    served += u32::from(end.outcome == RequestOutcome::Served);
                }
            }
        }
        for state in in_flight {
            match fleet.on_attempt_outcome(now, state, AttemptOutcome::CallerLeft) {
                NextAction::Completed(_) => completed += 1,
                other => panic!("{other:?}"),
            }
        }
        for state in backoffs {
            match fleet.on_attempt_outcome(now, state, AttemptOutcome::CallerLeft) {
                NextAction::Completed(_) => completed += 1,
                other => panic!("{other:?}"),
            }
        }
        assert!(
            applied > 40 && served > 200,
            "seed {seed}: {applied} changes, {served} served"
        );
        assert_eq!(arrived, completed, "seed {seed}");
        for pool in 0..fleet.table().configuration().pools.len() as u16 {
            assert!(
                fleet.members(pool, now).all(|member| member.open == 0),
                "seed {seed}"
            );
            assert_eq!(fleet.pool_occupancy(pool).held, 0, "seed {seed}");
        }
        assert_eq!(
            fleet
                .router()
                .versions()
                .map(|version| version.open_requests)
                .collect::<Vec<_>>(),
            [0],
            "seed {seed}"
        );
    }
}

/// Checks a new version and a change of one entry, both with the same members: the new health rules apply.
#[test]
fn health_is_evaluated_by_the_rules_of_the_current_version_with_unchanged_members() {
    let configuration = |out_after| {
        let member = |n| schema::Member {
            address: format!("10.0.0.{n}:1"),
            weight: ONE,
            ..Default::default()
        };
        schema::Configuration {
            version: 1,
            types: vec![schema::TrafficType {
                name: "t".into(),
                goal_ns: 3_000_000_000,
                ..Default::default()
            }],
            pools: vec![schema::Pool {
                name: "p".into(),
                members: (0..3).map(member).collect(),
                health: "h".into(),
                ..Default::default()
            }],
            health: vec![schema::Health {
                name: "h".into(),
                out_after,
                out_share: 2 * ONE,
                slow: u64::MAX,
                silent_ns: 60_000_000_000,
                back_least_ns: 1_000_000_000,
                back_most_ns: 8_000_000_000,
                ..Default::default()
            }],
            routes: vec![schema::Route {
                name: "r".into(),
                to: vec![schema::Target {
                    pool: "p".into(),
                    share: ONE,
                }],
                ..Default::default()
            }],
            ..Default::default()
        }
    };
    let now = Duration::from_millis(1);
    let ejected_after_failure = |fleet: &mut Fleet| {
        let NextAction::Dispatch(state, _) = fleet.on_arrival(now, &Request::default()) else {
            panic!("not dispatched")
        };
        assert!(matches!(
            fleet.on_attempt_outcome(now, state, AttemptOutcome::Failed),
            NextAction::Completed(_)
        ));
        fleet
            .members(0, now)
            .filter(|member| member.status != MemberStatus::Healthy)
            .count()
    };
    for by_change in [true, false] {
        let mut fleet = Fleet::new(&configuration(100), "", 1, Duration::ZERO).unwrap();
        assert_eq!(ejected_after_failure(&mut fleet), 0);
        match by_change {
            true => fleet
                .apply(
                    &[TableChange::Health(configuration(1).health.remove(0))],
                    now,
                )
                .unwrap(),
            false => fleet.install(&configuration(1), now).unwrap(),
        };
        assert_eq!(
            ejected_after_failure(&mut fleet),
            1,
            "by change: {by_change}"
        );
    }
}
