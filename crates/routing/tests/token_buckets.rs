//! Buckets of limits: created on first use, bounded in number, and freed when idle, without an effect on decisions.
//! Compared with a reference that never frees a bucket.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use nanorand::{Rng, WyRand};
use rainstand_config::schema::{self, Configuration, Per, Rate};
use rainstand_config::units::ONE;
use rainstand_routing::rate_limit::LimitScope;
use rainstand_routing::rate_limit::{Bucket, LimitExceeded, LimitRule};
use rainstand_routing::router::{Admission, BucketUsage, RejectReason, RouteDecision, Router};
use rainstand_routing::table::Request;
use std::collections::HashMap;
use std::time::Duration;

const SECOND: u64 = 1_000_000_000;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A configuration with `routes` routes, which match by entity, and `tenants` tenants. Each route has the limits given by
/// `rate` (requests per second), `burst` and `at_once`, per tenant.
fn limited(routes: usize, tenants: usize, rate: u64, burst: u64, at_once: u64) -> Configuration {
    let rate = (rate > 0).then_some(Rate {
        micro_tickets: rate * 1_000_000,
        per_ns: SECOND,
    });
    let route = |n: usize| schema::Route {
        name: format!("r{n}"),
        to: vec![schema::Target {
            pool: "p".into(),
            share: ONE,
        }],
        limits: "l".into(),
        r#match: Some(schema::Match {
            entities: vec![format!("r{n}")],
            ..Default::default()
        }),
        ..Default::default()
    };
    let request_class = schema::TrafficType {
        name: "t".into(),
        goal_ns: 3 * SECOND,
        ..Default::default()
    };
    let tenant = |n| schema::Tenant {
        name: format!("t{n}"),
        ..Default::default()
    };
    let member = schema::Member {
        address: "10.0.0.1:1".into(),
        weight: ONE,
        ..Default::default()
    };
    Configuration {
        version: 1,
        types: vec![request_class],
        tenants: (0..tenants).map(tenant).collect(),
        pools: vec![schema::Pool {
            name: "p".into(),
            members: vec![member],
            ..Default::default()
        }],
        limits: vec![schema::Limits {
            name: "l".into(),
            rate,
            burst,
            at_once,
            per: Per::Tenant.into(),
        }],
        routes: (0..routes).map(route).collect(),
        ..Default::default()
    }
}

fn arrive(router: &mut Router, now: Duration, tenant: usize, route: usize) -> Admission {
    let entity = format!("r{route}");
    let request = Request {
        tenant: Some(tenant as u16),
        entity: &entity,
        ..Request::default()
    };
    router.on_arrival(now, &request, |_| true)
}

#[test]
fn per_tenant_limits_on_5_400_routes_for_23_000_tenants_are_supported() {
    let all = limited(5_400, 23_000, 100, 1, 0);
    let mut router = Router::new(&all, 1).expect("it starts");
    assert_eq!(
        router.bucket_usage(),
        BucketUsage {
            in_use: 0,
            allocated: 0
        }
    );
    let mut decisions = Vec::new();
    for (tenant, route) in [(0, 0), (22_999, 0), (0, 5_399), (22_999, 5_399)] {
        match arrive(&mut router, ms(1), tenant, route) {
            Admission::Admitted(decision) => decisions.push(decision),
            Admission::Rejected(rejection) => panic!("{tenant} {route}: {rejection:?}"),
        }
        assert!(matches!(
            arrive(&mut router, ms(1), tenant, route),
            Admission::Rejected(_)
        ));
    }
    assert_eq!(
        router.bucket_usage(),
        BucketUsage {
            in_use: 4,
            allocated: 4
        }
    );
    // A version change keeps the state of the buckets.
    router.install(&all, ms(1)).unwrap();
    assert!(matches!(
        arrive(&mut router, ms(1), 22_999, 5_399),
        Admission::Rejected(_)
    ));
    decisions
        .into_iter()
        .for_each(|decision| router.on_completed(decision));
}

/// Reference implementation: keeps every bucket, under the rule of the current version.
#[derive(Default)]
struct Reference {
    rule: LimitRule,
    all: HashMap<(usize, usize), Bucket>,
}

impl Reference {
    fn set_rule(&mut self, rule: LimitRule, now: Duration) {
        self.all
            .values_mut()
            .for_each(|bucket| bucket.set_rules(&self.rule, &rule, now));
        self.rule = rule;
    }

    fn arrive(&mut self, now: Duration, key: (usize, usize)) -> Result<(), Duration> {
        let bucket = self.all.entry(key).or_default();
        match bucket.check(&self.rule, now) {
            Ok(()) => {
                bucket.acquire(&self.rule, now);
                Ok(())
            }
            Err(LimitExceeded::RateUntil(until)) => Err(until - now),
            Err(LimitExceeded::Concurrency) => Err(ms(100)),
        }
    }
}

#[test]
fn freeing_idle_buckets_changes_no_decision() {
    const ROUTES: usize = 3;
    const TENANTS: usize = 400;
    for seed in 0..24 {
        let mut rng = WyRand::new_seed(seed);
        let mut draw = |from: u64, to: u64| rng.generate_range(from..to);
        let rules: Vec<(u64, u64, u64)> = (0..4)
            .map(|_| (draw(0, 9), draw(1, 4), draw(0, 4)))
            .collect();
        let with_rule = |(rate, burst, at_once): (u64, u64, u64)| {
            limited(ROUTES, TENANTS, rate, burst, at_once)
        };
        let first = with_rule(rules[0]);
        let mut reference = Reference {
            rule: LimitRule::from(&first.limits[0]),
            ..Reference::default()
        };
        let mut router = Router::new(&first, seed).unwrap();
        let mut in_flight: Vec<(RouteDecision, (usize, usize))> = Vec::new();
        let (mut now, mut admitted, mut rejected, mut max_in_use) = (ms(0), 0, 0, 0);
        for step in 0..6_000u64 {
            now += Duration::from_micros(draw(0, 2_000));
            match draw(0, 100) {
                0 => {
                    let next = with_rule(rules[draw(0, 4) as usize]);
                    reference.set_rule(LimitRule::from(&next.limits[0]), now);
                    router.install(&next, now).unwrap();
                }
                1..=5 => router.tick(now),
                6..=35 if !in_flight.is_empty() => {
                    let (decision, key) =
                        in_flight.swap_remove(draw(0, in_flight.len() as u64) as usize);
                    reference.all.get_mut(&key).unwrap().release();
                    router.on_completed(decision);
                }
                _ => {
                    // Mostly tenants that change over time, and a few that stay.
                    let tenant = if draw(0, 3) == 0 {
                        draw(0, 4)
                    } else {
                        step / 40 + draw(0, 6)
                    };
                    let key = (tenant as usize % TENANTS, draw(0, ROUTES as u64) as usize);
                    match (
                        arrive(&mut router, now, key.0, key.1),
                        reference.arrive(now, key),
                    ) {
                        (Admission::Admitted(decision), Ok(())) => {
                            admitted += 1;
                            in_flight.push((decision, key));
                        }
                        (Admission::Rejected(rejection), Err(after)) => {
                            rejected += 1;
                            assert_eq!(
                                (rejection.reason, rejection.retry_after),
                                (RejectReason::Limit(LimitScope::Route), after)
                            );
                        }
                        (actual, expected) => {
                            panic!("seed {seed} step {step}: {actual:?}, reference: {expected:?}")
                        }
                    }
                }
            }
            max_in_use = max_in_use.max(router.bucket_usage().in_use);
        }
        assert!(
            admitted > 500 && rejected > 50,
            "seed {seed}: {admitted} admitted, {rejected} rejected"
        );
        // At least a tenth of all buckets must have been freed, otherwise this test shows nothing.
        (0..8).for_each(|_| router.tick(now));
        assert!(
            router.bucket_usage().in_use < reference.all.len() * 9 / 10,
            "seed {seed}: {:?}",
            router.bucket_usage()
        );
        in_flight
            .into_iter()
            .for_each(|(decision, _)| router.on_completed(decision));
        (0..8).for_each(|_| router.tick(now + ms(3_600_000)));
        assert_eq!(router.bucket_usage().in_use, 0, "seed {seed}");
    }
}

#[test]
fn buckets_of_past_tenants_are_freed() {
    // One request from each tenant, 1,000 per second; a bucket is idle after 100 ms, so 100 are in use at a time.
    let mut router = Router::new(&limited(1, 60_000, 10, 1, 0), 1).unwrap();
    for n in 0..60_000u64 {
        match arrive(&mut router, ms(n), n as usize, 0) {
            Admission::Admitted(decision) => router.on_completed(decision),
            Admission::Rejected(rejection) => panic!("{n}: {rejection:?}"),
        }
        assert!(
            router.bucket_usage().allocated <= 2 * 101,
            "after {n}: {:?}",
            router.bucket_usage()
        );
    }
}

#[test]
fn request_beyond_the_maximum_number_of_buckets_is_rejected_and_changes_nothing() {
    const MAX: usize = 300;
    let mut all = limited(1, 1_000, 10, 1, 0);
    // A second limit, on the type, which a request rejected for lack of a bucket must not use.
    all.limits.push(schema::Limits {
        name: "type".into(),
        at_once: MAX as u64 + 2,
        per: Per::All.into(),
        ..Default::default()
    });
    all.types[0].limits = "type".into();
    let mut router = Router::new(&all, 1).unwrap();
    router.set_max_buckets(MAX);
    let mut decisions = Vec::new();
    for tenant in 0..MAX - 1 {
        match arrive(&mut router, ms(0), tenant, 0) {
            Admission::Admitted(decision) => decisions.push(decision),
            Admission::Rejected(rejection) => panic!("{tenant}: {rejection:?}"),
        }
    }
    assert_eq!(
        router.bucket_usage(),
        BucketUsage {
            in_use: MAX,
            allocated: MAX
        }
    );
    let rejection_of = |admission: Admission| match admission {
        Admission::Rejected(rejection) => (rejection.reason, rejection.retry_after),
        Admission::Admitted(decision) => panic!("{decision:?}"),
    };
    for tenant in MAX..1_000 {
        let rejection = rejection_of(arrive(&mut router, ms(0), tenant, 0));
        assert_eq!(rejection, (RejectReason::NoBucket, ms(1_000)));
    }
    let counts = router.counts();
    assert_eq!(
        (counts.no_bucket, counts.limited, counts.admitted),
        (700, 0, MAX as u64 - 1)
    );
    // Tenants with a bucket keep it and its state: the request in flight and the rate.
    assert_eq!(
        rejection_of(arrive(&mut router, ms(50), 7, 0)),
        (RejectReason::Limit(LimitScope::Route), ms(50))
    );
    decisions.push(match arrive(&mut router, ms(100), 7, 0) {
        Admission::Admitted(decision) => decision,
        Admission::Rejected(rejection) => panic!("{rejection:?}"),
    });
    // Within the retry-after, other requests have ended, their buckets are idle and the sweep has visited them, so there
    // are free buckets.
    decisions
        .drain(..MAX / 2)
        .for_each(|decision| router.on_completed(decision));
    (1..=10).for_each(|n| router.tick(ms(100 * n)));
    // Tenant 7 has a second request in flight, so half of the buckets less one were freed.
    for tenant in MAX..MAX + MAX / 2 - 1 {
        match arrive(&mut router, ms(1_000), tenant, 0) {
            Admission::Admitted(decision) => decisions.push(decision),
            Admission::Rejected(rejection) => panic!("{tenant}: {rejection:?}"),
        }
    }
    assert_eq!(
        rejection_of(arrive(&mut router, ms(1_000), 999, 0)).0,
        RejectReason::NoBucket
    );
    assert!(
        router.bucket_usage().allocated <= MAX,
        "{:?}",
        router.bucket_usage()
    );
    decisions
        .into_iter()
        .for_each(|decision| router.on_completed(decision));
}
