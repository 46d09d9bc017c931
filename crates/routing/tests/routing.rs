//! Routing by the compiled table, limits at each scope, and configuration changes with requests in flight.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use nanorand::{Rng, WyRand};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rainstand_config::matching::{first_match, first_mismatch, Samples};
use rainstand_config::schema::{self, Configuration, Match, Per, Rate, SplitBy};
use rainstand_config::units::ONE;
use rainstand_routing::rate_limit::LimitScope;
use rainstand_routing::router::{
    Admission, OpenVersion, RejectReason, RouteDecision, Router, MAX_VERSIONS,
};
use rainstand_routing::table::{PlacementReason, Request, RoutingError, Table};
use std::time::Duration;

const SECOND: u64 = 1_000_000_000;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn pool(name: &str) -> schema::Pool {
    let member = schema::Member {
        name: format!("{name}-1"),
        address: format!("{name}:1"),
        weight: ONE,
        ..Default::default()
    };
    schema::Pool {
        name: name.into(),
        members: vec![member],
        ..Default::default()
    }
}

fn route(name: &str, to: &[(&str, u64)]) -> schema::Route {
    let to = to.iter().map(|(pool, share)| schema::Target {
        pool: (*pool).into(),
        share: share * 10_000,
    });
    schema::Route {
        name: name.into(),
        to: to.collect(),
        ..Default::default()
    }
}

/// Request classes t and u, tenants a, b and c, pools p, q and r.
fn base_configuration() -> Configuration {
    let traffic = |name: &str| schema::TrafficType {
        name: name.into(),
        goal_ns: 3 * SECOND,
        outer_limit_ns: 7 * SECOND,
        ..Default::default()
    };
    let tenant = |name: &str| schema::Tenant {
        name: name.into(),
        ..Default::default()
    };
    Configuration {
        version: 1,
        types: vec![traffic("t"), traffic("u")],
        tenants: ["a", "b", "c"].map(tenant).into(),
        pools: ["p", "q", "r"].map(pool).into(),
        ..Default::default()
    }
}

fn limits(name: &str, rate: u64, burst: u64, at_once: u64, per: Per) -> schema::Limits {
    let rate = (rate > 0).then_some(Rate {
        micro_tickets: rate * 1_000_000,
        per_ns: SECOND,
    });
    schema::Limits {
        name: name.into(),
        rate,
        burst,
        at_once,
        per: per.into(),
    }
}

fn expect_admitted(admission: Admission) -> RouteDecision {
    match admission {
        Admission::Admitted(decision) => decision,
        Admission::Rejected(rejected) => panic!("unexpectedly rejected: {rejected:?}"),
    }
}

fn expect_rejected(admission: Admission) -> (RejectReason, Duration) {
    match admission {
        Admission::Rejected(rejected) => (rejected.reason, rejected.retry_after),
        Admission::Admitted(decision) => panic!("unexpectedly admitted: {decision:?}"),
    }
}

#[test]
fn route_fallbacks_precede_pool_fallbacks() {
    let mut configuration = base_configuration();
    configuration.pools.push(pool("s"));
    configuration.pools[1].fall_back = "s".into();
    let mut split = route("r", &[("p", 50), ("q", 50)]);
    split.fall_back = vec!["r".into()];
    configuration.routes = vec![split];
    let table = Table::new(&configuration).unwrap();
    let request = Request {
        entity: "NO-1",
        ..Request::default()
    };
    let mut chance = WyRand::new_seed(1);
    let first = table.place(&request, &mut chance, |_| true).unwrap();
    assert_eq!(first.by, PlacementReason::Share);
    let cases: [(&[u16], Result<PlacementReason, RoutingError>); 5] = [
        (&[first.pool], Ok(PlacementReason::OtherShare)),
        (&[0, 1], Ok(PlacementReason::Fallback(0))),
        (&[0, 1, 2], Ok(PlacementReason::PoolFallback)),
        (&[0, 1, 2, 3], Err(RoutingError::NoPool(0))),
        (&[2, 3], Ok(PlacementReason::Share)),
    ];
    for (unusable, expected) in cases {
        let placement = table.place(&request, &mut chance, |pool| !unusable.contains(&pool));
        assert_eq!(placement.map(|place| place.by), expected, "{unusable:?}");
        assert!(placement.map_or(true, |place| !unusable.contains(&place.pool)));
    }
}

#[test]
fn invalid_configurations_are_rejected() {
    type Mutation = fn(&mut Configuration);
    let cases: [(Mutation, &str); 8] = [
        (
            |configuration| configuration.routes[0].to[0].pool = "x".into(),
            "there is no pool `x`",
        ),
        (
            |configuration| configuration.routes[0].to[0].share = 0,
            "route `r`: invalid share of 0 millionths",
        ),
        (
            |configuration| configuration.routes[0].to[0].share = 5,
            "route `r`: the shares do not add up to 100 %",
        ),
        (
            |configuration| configuration.routes[0].to.clear(),
            "route `r`: the shares do not add up to 100 %",
        ),
        (
            |configuration| configuration.pools[0].fall_back = "p".into(),
            "the fallbacks of pool `p` form a cycle",
        ),
        (
            |configuration| configuration.pools[1].name = "p".into(),
            "pool `p` is defined twice",
        ),
        (
            |configuration| configuration.routes[0].limits = "x".into(),
            "there is no limits `x`",
        ),
        (
            |configuration| {
                configuration.routes[0].r#match = Some(Match {
                    types: vec!["x".into()],
                    ..Default::default()
                })
            },
            "there is no type `x`",
        ),
    ];
    for (mutate, expected) in cases {
        let mut configuration = base_configuration();
        configuration.routes = vec![route("r", &[("p", 100)])];
        assert!(Table::new(&configuration).is_ok());
        mutate(&mut configuration);
        assert_eq!(
            Table::new(&configuration).unwrap_err().to_string(),
            expected
        );
    }
}

#[test]
fn limits_apply_at_each_scope_and_per_key() {
    let mut configuration = base_configuration();
    configuration.limits = vec![
        limits("by-tenant", 10, 1, 0, Per::Tenant),
        limits("few", 0, 0, 2, Per::All),
        limits("pool", 0, 0, 1, Per::All),
    ];
    configuration.types[1].limits = "few".into();
    configuration.pools[1].limits = "pool".into();
    let mut limited_route = route("r", &[("p", 100)]);
    limited_route.limits = "by-tenant".into();
    limited_route.r#match = Some(Match {
        types: vec!["t".into()],
        ..Default::default()
    });
    configuration.routes = vec![limited_route, route("rest", &[("q", 100)])];
    configuration.routes[1].fall_back = vec!["r".into()];
    let mut router = Router::new(&configuration, 1).unwrap();
    let now = ms(5_000);
    let request_of = |tenant: Option<u16>| Request {
        tenant,
        ..Request::default()
    };
    for tenant in [Some(0), Some(1), None] {
        let decision = expect_admitted(router.on_arrival(now, &request_of(tenant), |_| true));
        assert_eq!(
            expect_rejected(router.on_arrival(now, &request_of(tenant), |_| true)),
            (RejectReason::Limit(LimitScope::Route), ms(100))
        );
        router.on_completed(decision);
    }
    // The pool admits one request, the next takes the fallback, and the class admits two in total.
    let request_of_u = Request {
        request_class: 1,
        ..Request::default()
    };
    let first = expect_admitted(router.on_arrival(now, &request_of_u, |_| true));
    let second = expect_admitted(router.on_arrival(now, &request_of_u, |_| true));
    assert_eq!(
        (first.placement.pool, first.placement.by),
        (1, PlacementReason::Share)
    );
    assert_eq!(
        (second.placement.pool, second.placement.by),
        (2, PlacementReason::Fallback(0))
    );
    assert_eq!(
        expect_rejected(router.on_arrival(now, &request_of_u, |_| true)).0,
        RejectReason::Limit(LimitScope::Type)
    );
    router.on_completed(first);
    let retaken = expect_admitted(router.on_arrival(now, &request_of_u, |_| true));
    assert_eq!(retaken.placement.pool, 1);
    assert_eq!(
        expect_rejected(router.on_arrival(now, &request_of_u, |pool| pool == 1)).0,
        RejectReason::Limit(LimitScope::Pool)
    );
    assert_eq!(
        expect_rejected(router.on_arrival(now, &request_of_u, |_| false)).0,
        RejectReason::NoPool
    );
    router.on_completed(second);
    router.on_completed(retaken);
    let counts = router.counts();
    assert_eq!(
        (
            counts.admitted,
            counts.completed,
            counts.limited,
            counts.no_pool
        ),
        (6, 6, 5, 1)
    );
}

#[test]
fn rejected_request_consumes_nothing_from_any_limit() {
    let mut configuration = base_configuration();
    configuration.limits = vec![
        limits("type", 1, 1, 0, Per::All),
        limits("tenant", 1, 1, 0, Per::All),
    ];
    configuration.types[0].limits = "type".into();
    configuration.tenants[0].limits = "tenant".into();
    configuration.routes = vec![route("r", &[("p", 100)])];
    let mut router = Router::new(&configuration, 1).unwrap();
    let decision = expect_admitted(router.on_arrival(
        ms(0),
        &Request {
            tenant: Some(0),
            request_class: 1,
            ..Request::default()
        },
        |_| true,
    ));
    // The tenant's limit is exhausted. The rejected request must not consume from the class's limit.
    assert_eq!(
        expect_rejected(router.on_arrival(
            ms(0),
            &Request {
                tenant: Some(0),
                ..Request::default()
            },
            |_| true
        )),
        (RejectReason::Limit(LimitScope::Tenant), ms(1_000))
    );
    let other = expect_admitted(router.on_arrival(
        ms(0),
        &Request {
            tenant: Some(1),
            ..Request::default()
        },
        |_| true,
    ));
    router.on_completed(decision);
    router.on_completed(other);
}

#[test]
fn retry_after_stays_within_the_configured_bounds() {
    let mut configuration = base_configuration();
    configuration.limits = vec![limits("slow", 1, 1, 0, Per::All)];
    configuration.retry_after = vec![schema::RetryAfter {
        name: "ra".into(),
        least_ns: SECOND / 5,
        most_ns: SECOND / 2,
    }];
    let mut only = route("r", &[("p", 100)]);
    only.limits = "slow".into();
    only.retry_after = "ra".into();
    configuration.routes = vec![only];
    let mut router = Router::new(&configuration, 1).unwrap();
    let decision = expect_admitted(router.on_arrival(ms(0), &Request::default(), |_| true));
    assert_eq!(
        expect_rejected(router.on_arrival(ms(0), &Request::default(), |_| true)).1,
        ms(500)
    );
    assert_eq!(
        expect_rejected(router.on_arrival(ms(990), &Request::default(), |_| true)).1,
        ms(200)
    );
    router.on_completed(decision);
}

/// A configuration for each version number; routes, limits and pools differ between them.
fn configuration_of(number: u64) -> Configuration {
    let mut configuration = base_configuration();
    configuration.limits = vec![
        limits("l", 0, 0, 100_000 + number % 3, Per::Tenant),
        limits("m", 0, 0, 100_000, Per::All),
    ];
    if number.is_multiple_of(2) {
        configuration.pools.push(pool("even"));
        configuration
            .routes
            .push(route("some", &[("even", 40), ("p", 60)]));
        configuration.routes[0].limits = "m".into();
        configuration.routes[0].split_by = SplitBy::Chance.into();
        configuration.routes[0].r#match = Some(Match {
            types: vec!["u".into()],
            ..Default::default()
        });
    }
    let mut rest = route("rest", &[("q", 100)]);
    rest.limits = "l".into();
    configuration.routes.push(rest);
    configuration
}

#[test]
fn versions_are_dropped_after_their_last_request_completes() {
    let mut rng = WyRand::new_seed(11);
    let mut router = Router::new(&configuration_of(0), 1).unwrap();
    let mut open: Vec<(RouteDecision, u64)> = Vec::new();
    let mut current = 1;
    for round in 1..=100u64 {
        for _ in 0..200 {
            let request = Request {
                request_class: rng.generate_range(0u16..2),
                tenant: [None, Some(0), Some(2)][rng.generate_range(0..3usize)],
                ..Request::default()
            };
            open.push((
                expect_admitted(router.on_arrival(ms(round), &request, |_| true)),
                current,
            ));
        }
        // 100 requests complete per round, of old and new versions at random.
        for _ in 0..100 {
            let (decision, version) = open.swap_remove(rng.generate_range(0..open.len()));
            assert_eq!(decision.version, version);
            assert!(
                router
                    .versions()
                    .any(|open_version| open_version.number == version
                        && open_version.open_requests > 0),
                "the version of an open request is missing"
            );
            let route = decision.route.to_string();
            assert!(
                route == "rest" || version % 2 == 1,
                "{route} in version {version}"
            );
            router.on_completed(decision);
        }
        current = router.install(&configuration_of(round), ms(round)).unwrap();
        assert_eq!(current, round + 1);
        let in_flight: u64 = router.versions().map(|version| version.open_requests).sum();
        assert_eq!(in_flight, open.len() as u64);
        // Only the current version may have no requests.
        assert!(router
            .versions()
            .all(|open_version| open_version.open_requests > 0 || open_version.number == current));
    }
    assert_eq!(open.len(), 10_000);
    while let Some((decision, _)) = open.pop() {
        router.on_completed(decision);
    }
    assert_eq!(
        router.versions().collect::<Vec<_>>(),
        [OpenVersion {
            number: 101,
            open_requests: 0
        }]
    );
    let counts = router.counts();
    assert_eq!(
        (counts.versions_installed, counts.versions_dropped),
        (101, 100)
    );
    // At most 4 buckets were ever used: one limit per tenant for two tenants and the unknown one, and one limit for
    // all. Idle buckets are freed.
    assert!(
        router.bucket_usage().allocated <= 4,
        "buckets are not reused: {:?}",
        router.bucket_usage()
    );
    (0..8).for_each(|_| router.tick(ms(101)));
    assert_eq!(router.bucket_usage().in_use, 0);
}

#[test]
fn versions_are_bounded_and_a_rejected_one_changes_nothing() {
    let mut router = Router::new(&configuration_of(0), 1).unwrap();
    let mut decisions = vec![expect_admitted(router.on_arrival(
        ms(0),
        &Request::default(),
        |_| true,
    ))];
    for number in 1..MAX_VERSIONS as u64 {
        router.install(&configuration_of(number), ms(0)).unwrap();
        decisions.push(expect_admitted(router.on_arrival(
            ms(0),
            &Request::default(),
            |_| true,
        )));
    }
    let before: Vec<_> = router.versions().collect();
    assert!(router
        .install(&configuration_of(1), ms(0))
        .unwrap_err()
        .to_string()
        .contains("still have requests in flight"));
    let mut invalid = configuration_of(1);
    invalid.routes[0].to[0].pool = "gone".into();
    assert!(router.install(&invalid, ms(0)).is_err());
    assert_eq!(router.versions().collect::<Vec<_>>(), before);
    router.on_completed(decisions.remove(3));
    assert!(router
        .install(&invalid, ms(0))
        .unwrap_err()
        .to_string()
        .contains("no pool `gone`"));
    assert!(router.install(&configuration_of(1), ms(0)).is_ok());
    assert_eq!(router.counts().versions_rejected, 3);
    decisions
        .into_iter()
        .for_each(|decision| router.on_completed(decision));
}

#[test]
fn limit_counts_carry_over_to_a_new_version() {
    let configuration_with = |at_once: u64, rate: u64| {
        let mut configuration = base_configuration();
        configuration.limits = vec![limits("l", rate, 2, at_once, Per::Tenant)];
        let mut only = route("r", &[("p", 100)]);
        only.limits = "l".into();
        configuration.routes = vec![only];
        configuration
    };
    let mut router = Router::new(&configuration_with(2, 10), 1).unwrap();
    let request = Request {
        tenant: Some(1),
        ..Request::default()
    };
    let decisions = [0, 1].map(|_| expect_admitted(router.on_arrival(ms(0), &request, |_| true)));
    // The order of the tenants, their number and the rate change: the two requests in flight and their
    // rate debt still count.
    let mut changed = configuration_with(3, 20);
    changed.tenants.reverse();
    changed.tenants.push(schema::Tenant {
        name: "d".into(),
        ..Default::default()
    });
    router.install(&changed, ms(0)).unwrap();
    let tenant = router.table().tenant("b");
    let request = Request {
        tenant,
        ..Request::default()
    };
    assert_eq!(
        expect_rejected(router.on_arrival(ms(0), &request, |_| true)),
        (RejectReason::Limit(LimitScope::Route), ms(50))
    );
    let third = expect_admitted(router.on_arrival(ms(50), &request, |_| true));
    assert_eq!(
        expect_rejected(router.on_arrival(ms(9_000), &request, |_| true)),
        (RejectReason::Limit(LimitScope::Route), ms(100))
    );
    let request_of_d = Request {
        tenant: router.table().tenant("d"),
        ..Request::default()
    };
    let fourth = expect_admitted(router.on_arrival(ms(50), &request_of_d, |_| true));
    decisions
        .into_iter()
        .chain([third, fourth])
        .for_each(|decision| router.on_completed(decision));
    // Of five possible buckets, the two used ones still have a debt at 60 ms, and none is left at 10 s.
    (0..8).for_each(|_| router.tick(ms(60)));
    assert_eq!(router.bucket_usage().in_use, 2);
    (0..8).for_each(|_| router.tick(ms(10_000)));
    assert_eq!(router.bucket_usage().in_use, 0);
}

fn any_match() -> impl Strategy<Value = Match> {
    let subset =
        |all: &'static [&'static str]| proptest::sample::subsequence(all.to_vec(), 0..=all.len());
    let owned = |list: Vec<&'static str>| list.into_iter().map(str::to_owned).collect::<Vec<_>>();
    (
        subset(&["t", "u"]),
        subset(&["a", "b", "c"]),
        subset(&["NO-*", "NO-1*", "NO-12", "SE"]),
        0i32..3,
        0u64..3,
        0u64..3,
    )
        .prop_map(
            move |(types, tenants, entities, again, min_size, extra)| Match {
                types: owned(types),
                tenants: owned(tenants),
                entities: owned(entities),
                again,
                size_least: min_size,
                size_most: if extra == 0 { 0 } else { min_size + extra },
            },
        )
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(16), failure_persistence: None, ..ProptestConfig::default() })]

    /// The bit rows find the same route as a direct evaluation of the matches, and report a mismatch if and only if
    /// the direct evaluation does.
    #[test]
    fn bit_rows_agree_with_direct_evaluation_of_the_matches(matches in proptest::collection::vec(any_match(), 0..90)) {
        let mut configuration = base_configuration();
        configuration.routes = matches
            .into_iter()
            .enumerate()
            .map(|(k, matched)| schema::Route { r#match: Some(matched), ..route(&format!("r{k}"), &[("p", 100)]) })
            .collect();
        let table = Table::new(&configuration).unwrap();
        for point in Samples::of(&[&configuration]).each() {
            let request = Request {
                request_class: table.request_class(point.class).unwrap(),
                tenant: table.tenant(point.tenant),
                entity: point.entity,
                is_retry: point.is_retry,
                size: point.size,
                ..Request::default()
            };
            prop_assert_eq!(table.route(&request).map(usize::from), first_match(&configuration.routes, &point));
            for (k, route) in configuration.routes.iter().enumerate() {
                let plain = first_mismatch(route.r#match.as_ref(), &point);
                prop_assert_eq!(table.mismatch(k as u16, &request).is_some(), plain.is_some());
            }
        }
    }
}
