//! The table against the plain meaning of a match, limits at their places, and versions under change.

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

/// Types t and u, tenants a, b and c, pools p, q and r.
fn ground() -> Configuration {
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

fn goes(verdict: Admission) -> RouteDecision {
    match verdict {
        Admission::Admitted(way) => way,
        Admission::Rejected(turned) => panic!("turned away: {turned:?}"),
    }
}

fn turned(verdict: Admission) -> (RejectReason, Duration) {
    match verdict {
        Admission::Rejected(turned) => (turned.reason, turned.after),
        Admission::Admitted(way) => panic!("let in: {way:?}"),
    }
}

#[test]
fn route_fallbacks_precede_pool_fallbacks() {
    let mut all = ground();
    all.pools.push(pool("s"));
    all.pools[1].fall_back = "s".into();
    let mut split = route("r", &[("p", 50), ("q", 50)]);
    split.fall_back = vec!["r".into()];
    all.routes = vec![split];
    let table = Table::new(&all).unwrap();
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
    for (out, wanted) in cases {
        let found = table.place(&request, &mut chance, |pool| !out.contains(&pool));
        assert_eq!(found.map(|place| place.by), wanted, "{out:?}");
        assert!(found.map_or(true, |place| !out.contains(&place.pool)));
    }
}

#[test]
fn invalid_configurations_are_refused() {
    type Bend = fn(&mut Configuration);
    let table: [(Bend, &str); 8] = [
        (
            |c| c.routes[0].to[0].pool = "x".into(),
            "there is no pool `x`",
        ),
        (|c| c.routes[0].to[0].share = 0, "route `r`: a share of 0"),
        (
            |c| c.routes[0].to[0].share = 5,
            "route `r`: its shares are not 100 %",
        ),
        (
            |c| c.routes[0].to.clear(),
            "route `r`: its shares are not 100 %",
        ),
        (
            |c| c.pools[0].fall_back = "p".into(),
            "pool `p` falls back in a ring",
        ),
        (|c| c.pools[1].name = "p".into(), "pool `p` is there twice"),
        (
            |c| c.routes[0].limits = "x".into(),
            "there is no limits `x`",
        ),
        (
            |c| {
                c.routes[0].r#match = Some(Match {
                    types: vec!["x".into()],
                    ..Default::default()
                })
            },
            "there is no type `x`",
        ),
    ];
    for (bend, wanted) in table {
        let mut all = ground();
        all.routes = vec![route("r", &[("p", 100)])];
        assert!(Table::new(&all).is_ok());
        bend(&mut all);
        assert_eq!(Table::new(&all).unwrap_err().to_string(), wanted);
    }
}

#[test]
fn limits_count_at_each_scope_and_by_key() {
    let mut all = ground();
    all.limits = vec![
        limits("by-tenant", 10, 1, 0, Per::Tenant),
        limits("few", 0, 0, 2, Per::All),
        limits("pool", 0, 0, 1, Per::All),
    ];
    all.types[1].limits = "few".into();
    all.pools[1].limits = "pool".into();
    let mut first = route("r", &[("p", 100)]);
    first.limits = "by-tenant".into();
    first.r#match = Some(Match {
        types: vec!["t".into()],
        ..Default::default()
    });
    all.routes = vec![first, route("rest", &[("q", 100)])];
    all.routes[1].fall_back = vec!["r".into()];
    let mut router = Router::new(&all, 1).unwrap();
    let now = ms(5_000);
    let of = |tenant: Option<u16>| Request {
        tenant,
        ..Request::default()
    };
    for tenant in [Some(0), Some(1), None] {
        let way = goes(router.on_arrival(now, &of(tenant), |_| true));
        assert_eq!(
            turned(router.on_arrival(now, &of(tenant), |_| true)),
            (RejectReason::Limit(LimitScope::Route), ms(100))
        );
        router.on_completed(way);
    }
    // One a pool, then the fall-back; two of the type in all.
    let other = Request {
        request_class: 1,
        ..Request::default()
    };
    let one = goes(router.on_arrival(now, &other, |_| true));
    let two = goes(router.on_arrival(now, &other, |_| true));
    assert_eq!(
        (one.placement.pool, one.placement.by),
        (1, PlacementReason::Share)
    );
    assert_eq!(
        (two.placement.pool, two.placement.by),
        (2, PlacementReason::Fallback(0))
    );
    assert_eq!(
        turned(router.on_arrival(now, &other, |_| true)).0,
        RejectReason::Limit(LimitScope::Type)
    );
    router.on_completed(one);
    let again = goes(router.on_arrival(now, &other, |_| true));
    assert_eq!(again.placement.pool, 1);
    assert_eq!(
        turned(router.on_arrival(now, &other, |pool| pool == 1)).0,
        RejectReason::Limit(LimitScope::Pool)
    );
    assert_eq!(
        turned(router.on_arrival(now, &other, |_| false)).0,
        RejectReason::NoPool
    );
    router.on_completed(two);
    router.on_completed(again);
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
fn a_rejected_request_takes_nothing_from_any_limit() {
    let mut all = ground();
    all.limits = vec![
        limits("type", 1, 1, 0, Per::All),
        limits("tenant", 1, 1, 0, Per::All),
    ];
    all.types[0].limits = "type".into();
    all.tenants[0].limits = "tenant".into();
    all.routes = vec![route("r", &[("p", 100)])];
    let mut router = Router::new(&all, 1).unwrap();
    let way = goes(router.on_arrival(
        ms(0),
        &Request {
            tenant: Some(0),
            request_class: 1,
            ..Request::default()
        },
        |_| true,
    ));
    // The tenant's is used up, the type's is not, and stays so.
    assert_eq!(
        turned(router.on_arrival(
            ms(0),
            &Request {
                tenant: Some(0),
                ..Request::default()
            },
            |_| true
        )),
        (RejectReason::Limit(LimitScope::Tenant), ms(1_000))
    );
    let other = goes(router.on_arrival(
        ms(0),
        &Request {
            tenant: Some(1),
            ..Request::default()
        },
        |_| true,
    ));
    router.on_completed(way);
    router.on_completed(other);
}

#[test]
fn retry_after_stays_within_the_configured_bounds() {
    let mut all = ground();
    all.limits = vec![limits("slow", 1, 1, 0, Per::All)];
    all.retry_after = vec![schema::RetryAfter {
        name: "ra".into(),
        least_ns: SECOND / 5,
        most_ns: SECOND / 2,
    }];
    let mut only = route("r", &[("p", 100)]);
    only.limits = "slow".into();
    only.retry_after = "ra".into();
    all.routes = vec![only];
    let mut router = Router::new(&all, 1).unwrap();
    let way = goes(router.on_arrival(ms(0), &Request::default(), |_| true));
    assert_eq!(
        turned(router.on_arrival(ms(0), &Request::default(), |_| true)).1,
        ms(500)
    );
    assert_eq!(
        turned(router.on_arrival(ms(990), &Request::default(), |_| true)).1,
        ms(200)
    );
    router.on_completed(way);
}

/// A configuration for each number: routes, limits and pools come and go.
fn turning(number: u64) -> Configuration {
    let mut all = ground();
    all.limits = vec![
        limits("l", 0, 0, 100_000 + number % 3, Per::Tenant),
        limits("m", 0, 0, 100_000, Per::All),
    ];
    if number.is_multiple_of(2) {
        all.pools.push(pool("even"));
        all.routes.push(route("some", &[("even", 40), ("p", 60)]));
        all.routes[0].limits = "m".into();
        all.routes[0].split_by = SplitBy::Chance.into();
        all.routes[0].r#match = Some(Match {
            types: vec!["u".into()],
            ..Default::default()
        });
    }
    let mut rest = route("rest", &[("q", 100)]);
    rest.limits = "l".into();
    all.routes.push(rest);
    all
}

#[test]
fn a_hundred_versions_among_ten_thousand_open_requests() {
    let mut chance = WyRand::new_seed(11);
    let mut router = Router::new(&turning(0), 1).unwrap();
    let mut open: Vec<(RouteDecision, u64)> = Vec::new();
    let mut present = 1;
    for change in 1..=100u64 {
        for _ in 0..200 {
            let request = Request {
                request_class: chance.generate_range(0u16..2),
                tenant: [None, Some(0), Some(2)][chance.generate_range(0..3usize)],
                ..Request::default()
            };
            open.push((
                goes(router.on_arrival(ms(change), &request, |_| true)),
                present,
            ));
        }
        // Half of what is open ends, old and new alike.
        for _ in 0..100 {
            let (way, version) = open.swap_remove(chance.generate_range(0..open.len()));
            assert_eq!(way.version, version);
            assert!(
                router
                    .versions()
                    .any(|one| one.number == version && one.open_requests > 0),
                "without its version"
            );
            let name = way.route.to_string();
            assert!(
                name == "rest" || version % 2 == 1,
                "{name} in version {version}"
            );
            router.on_completed(way);
        }
        present = router.install(&turning(change), ms(change)).unwrap();
        assert_eq!(present, change + 1);
        let told: u64 = router.versions().map(|version| version.open_requests).sum();
        assert_eq!(told, open.len() as u64);
        // No version without a request but the present one.
        assert!(router
            .versions()
            .all(|one| one.open_requests > 0 || one.number == present));
    }
    assert_eq!(open.len(), 10_000);
    while let Some((way, _)) = open.pop() {
        router.on_completed(way);
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
    // Those that were ever used: a limit by tenant for two tenants and the unknown, and one for all. With nobody
    // inside they are given back.
    assert!(
        router.bucket_usage().allocated <= 4,
        "buckets are used again: {:?}",
        router.bucket_usage()
    );
    (0..8).for_each(|_| router.tick(ms(101)));
    assert_eq!(router.bucket_usage().in_use, 0);
}

#[test]
fn versions_are_bounded_and_a_refused_one_changes_nothing() {
    let mut router = Router::new(&turning(0), 1).unwrap();
    let mut ways = vec![goes(
        router.on_arrival(ms(0), &Request::default(), |_| true),
    )];
    for number in 1..MAX_VERSIONS as u64 {
        router.install(&turning(number), ms(0)).unwrap();
        ways.push(goes(
            router.on_arrival(ms(0), &Request::default(), |_| true),
        ));
    }
    let before: Vec<_> = router.versions().collect();
    assert!(router
        .install(&turning(1), ms(0))
        .unwrap_err()
        .to_string()
        .contains("still have tickets"));
    let mut bad = turning(1);
    bad.routes[0].to[0].pool = "gone".into();
    assert!(router.install(&bad, ms(0)).is_err());
    assert_eq!(router.versions().collect::<Vec<_>>(), before);
    router.on_completed(ways.remove(3));
    assert!(router
        .install(&bad, ms(0))
        .unwrap_err()
        .to_string()
        .contains("no pool `gone`"));
    assert!(router.install(&turning(1), ms(0)).is_ok());
    assert_eq!(router.counts().versions_rejected, 3);
    ways.into_iter().for_each(|way| router.on_completed(way));
}

#[test]
fn counts_carry_over_to_a_new_version() {
    let with = |at_once: u64, rate: u64| {
        let mut all = ground();
        all.limits = vec![limits("l", rate, 2, at_once, Per::Tenant)];
        let mut only = route("r", &[("p", 100)]);
        only.limits = "l".into();
        all.routes = vec![only];
        all
    };
    let mut router = Router::new(&with(2, 10), 1).unwrap();
    let request = Request {
        tenant: Some(1),
        ..Request::default()
    };
    let ways = [0, 1].map(|_| goes(router.on_arrival(ms(0), &request, |_| true)));
    // Tenants in another order, one more of them, and another rate: the two are still inside, and owed.
    let mut next = with(3, 20);
    next.tenants.reverse();
    next.tenants.push(schema::Tenant {
        name: "d".into(),
        ..Default::default()
    });
    router.install(&next, ms(0)).unwrap();
    let tenant = router.table().tenant("b");
    let request = Request {
        tenant,
        ..Request::default()
    };
    assert_eq!(
        turned(router.on_arrival(ms(0), &request, |_| true)),
        (RejectReason::Limit(LimitScope::Route), ms(50))
    );
    let third = goes(router.on_arrival(ms(50), &request, |_| true));
    assert_eq!(
        turned(router.on_arrival(ms(9_000), &request, |_| true)),
        (RejectReason::Limit(LimitScope::Route), ms(100))
    );
    let free = Request {
        tenant: router.table().tenant("d"),
        ..Request::default()
    };
    let fourth = goes(router.on_arrival(ms(50), &free, |_| true));
    ways.into_iter()
        .chain([third, fourth])
        .for_each(|way| router.on_completed(way));
    // Of five that there could be, the two that were used, which still owe; then none.
    (0..8).for_each(|_| router.tick(ms(60)));
    assert_eq!(router.bucket_usage().in_use, 2);
    (0..8).for_each(|_| router.tick(ms(10_000)));
    assert_eq!(router.bucket_usage().in_use, 0);
}

fn any_route() -> impl Strategy<Value = Match> {
    let some =
        |of: &'static [&'static str]| proptest::sample::subsequence(of.to_vec(), 0..=of.len());
    let owned = |list: Vec<&'static str>| list.into_iter().map(str::to_owned).collect::<Vec<_>>();
    (
        some(&["t", "u"]),
        some(&["a", "b", "c"]),
        some(&["NO-*", "NO-1*", "NO-12", "SE"]),
        0i32..3,
        0u64..3,
        0u64..3,
    )
        .prop_map(
            move |(types, tenants, entities, again, least, more)| Match {
                types: owned(types),
                tenants: owned(tenants),
                entities: owned(entities),
                again,
                size_least: least,
                size_most: if more == 0 { 0 } else { least + more },
            },
        )
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(16), failure_persistence: None, ..ProptestConfig::default() })]

    /// The rows find the route that the plain meaning finds, and miss for a reason that holds.
    #[test]
    fn bit_rows_equal_the_matches(matches in proptest::collection::vec(any_route(), 0..90)) {
        let mut all = ground();
        all.routes = matches
            .into_iter()
            .enumerate()
            .map(|(k, matched)| schema::Route { r#match: Some(matched), ..route(&format!("r{k}"), &[("p", 100)]) })
            .collect();
        let table = Table::new(&all).unwrap();
        for point in Samples::of(&[&all]).each() {
            let request = Request {
                request_class: table.request_class(point.class).unwrap(),
                tenant: table.tenant(point.tenant),
                entity: point.entity,
                is_retry: point.is_retry,
                size: point.size,
                ..Request::default()
            };
            prop_assert_eq!(table.route(&request).map(usize::from), first_match(&all.routes, &point));
            for (k, route) in all.routes.iter().enumerate() {
                let plain = first_mismatch(route.r#match.as_ref(), &point);
                prop_assert_eq!(table.mismatch(k as u16, &request).is_some(), plain.is_some());
            }
        }
    }
}
