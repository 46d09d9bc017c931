//! Buckets of limits: made when first used, bounded, given back when idle, and nobody gains by it. All against a
//! plain list that keeps every bucket for ever.

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

/// So many routes, told apart by entity, and tenants; each route has these limits, by tenant.
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
    let traffic = schema::TrafficType {
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
        types: vec![traffic],
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

fn arrives(router: &mut Router, now: Duration, tenant: usize, route: usize) -> Admission {
    let entity = format!("r{route}");
    let request = Request {
        tenant: Some(tenant as u16),
        entity: &entity,
        ..Request::default()
    };
    router.on_arrival(now, &request, |_| true)
}

#[test]
fn limits_by_tenant_on_5_400_routes_for_23_000_tenants_are_accepted() {
    let all = limited(5_400, 23_000, 100, 1, 0);
    let mut router = Router::new(&all, 1).expect("it starts");
    assert_eq!(
        router.bucket_usage(),
        BucketUsage {
            in_use: 0,
            allocated: 0
        }
    );
    let mut ways = Vec::new();
    for (tenant, route) in [(0, 0), (22_999, 0), (0, 5_399), (22_999, 5_399)] {
        match arrives(&mut router, ms(1), tenant, route) {
            Admission::Admitted(way) => ways.push(way),
            Admission::Rejected(turned) => panic!("{tenant} {route}: {turned:?}"),
        }
        assert!(matches!(
            arrives(&mut router, ms(1), tenant, route),
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
    // And a change of version keeps what was let in.
    router.install(&all, ms(1)).unwrap();
    assert!(matches!(
        arrives(&mut router, ms(1), 22_999, 5_399),
        Admission::Rejected(_)
    ));
    ways.into_iter().for_each(|way| router.on_completed(way));
}

/// Every bucket, kept for ever, under the rule of the present version.
#[derive(Default)]
struct Plain {
    rule: LimitRule,
    all: HashMap<(usize, usize), Bucket>,
}

impl Plain {
    fn take(&mut self, rule: LimitRule, now: Duration) {
        self.all
            .values_mut()
            .for_each(|bucket| bucket.set_rules(&self.rule, &rule, now));
        self.rule = rule;
    }

    fn arrives(&mut self, now: Duration, key: (usize, usize)) -> Result<(), Duration> {
        let bucket = self.all.entry(key).or_default();
        match bucket.check(&self.rule, now) {
            Ok(()) => {
                bucket.acquire(&self.rule, now);
                Ok(())
            }
            Err(LimitExceeded::RateUntil(then)) => Err(then - now),
            Err(LimitExceeded::Concurrency) => Err(ms(100)),
        }
    }
}

#[test]
fn freeing_idle_buckets_changes_no_decision() {
    const ROUTES: usize = 3;
    const TENANTS: usize = 400;
    for seed in 0..24 {
        let mut chance = WyRand::new_seed(seed);
        let mut draw = |from: u64, to: u64| chance.generate_range(from..to);
        let rules: Vec<(u64, u64, u64)> = (0..4)
            .map(|_| (draw(0, 9), draw(1, 4), draw(0, 4)))
            .collect();
        let made = |(rate, burst, at_once): (u64, u64, u64)| {
            limited(ROUTES, TENANTS, rate, burst, at_once)
        };
        let first = made(rules[0]);
        let mut plain = Plain {
            rule: LimitRule::from(&first.limits[0]),
            ..Plain::default()
        };
        let mut router = Router::new(&first, seed).unwrap();
        let mut inside: Vec<(RouteDecision, (usize, usize))> = Vec::new();
        let (mut now, mut let_in, mut turned_away, mut most) = (ms(0), 0, 0, 0);
        for step in 0..6_000u64 {
            now += Duration::from_micros(draw(0, 2_000));
            match draw(0, 100) {
                0 => {
                    let next = made(rules[draw(0, 4) as usize]);
                    plain.take(LimitRule::from(&next.limits[0]), now);
                    router.install(&next, now).unwrap();
                }
                1..=5 => router.tick(now),
                6..=35 if !inside.is_empty() => {
                    let (way, key) = inside.swap_remove(draw(0, inside.len() as u64) as usize);
                    plain.all.get_mut(&key).unwrap().release();
                    router.on_completed(way);
                }
                _ => {
                    // A crowd that moves on, and some of it that stays.
                    let tenant = if draw(0, 3) == 0 {
                        draw(0, 4)
                    } else {
                        step / 40 + draw(0, 6)
                    };
                    let key = (tenant as usize % TENANTS, draw(0, ROUTES as u64) as usize);
                    match (
                        arrives(&mut router, now, key.0, key.1),
                        plain.arrives(now, key),
                    ) {
                        (Admission::Admitted(way), Ok(())) => {
                            let_in += 1;
                            inside.push((way, key));
                        }
                        (Admission::Rejected(turned), Err(after)) => {
                            turned_away += 1;
                            assert_eq!(
                                (turned.reason, turned.after),
                                (RejectReason::Limit(LimitScope::Route), after)
                            );
                        }
                        (found, wanted) => {
                            panic!("seed {seed} step {step}: {found:?}, kept all: {wanted:?}")
                        }
                    }
                }
            }
            most = most.max(router.bucket_usage().in_use);
        }
        assert!(
            let_in > 500 && turned_away > 50,
            "seed {seed}: {let_in} let in, {turned_away} turned away"
        );
        // Of those that came, most have gone again: else nothing was tried here.
        (0..8).for_each(|_| router.tick(now));
        assert!(
            router.bucket_usage().in_use < plain.all.len() * 9 / 10,
            "seed {seed}: {:?}",
            router.bucket_usage()
        );
        inside
            .into_iter()
            .for_each(|(way, _)| router.on_completed(way));
        (0..8).for_each(|_| router.tick(now + ms(3_600_000)));
        assert_eq!(router.bucket_usage().in_use, 0, "seed {seed}");
    }
}

#[test]
fn buckets_of_past_tenants_are_freed() {
    // Each comes once, at 1,000 a second, and owes for 100 ms: a hundred are in use at a time.
    let mut router = Router::new(&limited(1, 60_000, 10, 1, 0), 1).unwrap();
    for n in 0..60_000u64 {
        match arrives(&mut router, ms(n), n as usize, 0) {
            Admission::Admitted(way) => router.on_completed(way),
            Admission::Rejected(turned) => panic!("{n}: {turned:?}"),
        }
        assert!(
            router.bucket_usage().allocated <= 2 * 101,
            "after {n}: {:?}",
            router.bucket_usage()
        );
    }
}

#[test]
fn past_the_bound_a_request_is_rejected_and_takes_nothing() {
    const MOST: usize = 300;
    let mut all = limited(1, 1_000, 10, 1, 0);
    // A second limit, for the type, of which one dismissed by the bound must use nothing.
    all.limits.push(schema::Limits {
        name: "type".into(),
        at_once: MOST as u64 + 2,
        per: Per::All.into(),
        ..Default::default()
    });
    all.types[0].limits = "type".into();
    let mut router = Router::new(&all, 1).unwrap();
    router.bound_buckets(MOST);
    let mut ways = Vec::new();
    for tenant in 0..MOST - 1 {
        match arrives(&mut router, ms(0), tenant, 0) {
            Admission::Admitted(way) => ways.push(way),
            Admission::Rejected(turned) => panic!("{tenant}: {turned:?}"),
        }
    }
    assert_eq!(
        router.bucket_usage(),
        BucketUsage {
            in_use: MOST,
            allocated: MOST
        }
    );
    let refused = |verdict: Admission| match verdict {
        Admission::Rejected(turned) => (turned.reason, turned.after),
        Admission::Admitted(way) => panic!("{way:?}"),
    };
    for tenant in MOST..1_000 {
        let told = refused(arrives(&mut router, ms(0), tenant, 0));
        assert_eq!(told, (RejectReason::NoBucket, ms(1_000)));
    }
    let counts = router.counts();
    assert_eq!(
        (counts.no_bucket, counts.limited, counts.admitted),
        (700, 0, MOST as u64 - 1)
    );
    // Whoever has one goes on, and nobody was pushed out: each has its one inside, and its rate.
    assert_eq!(
        refused(arrives(&mut router, ms(50), 7, 0)),
        (RejectReason::Limit(LimitScope::Route), ms(50))
    );
    ways.push(match arrives(&mut router, ms(100), 7, 0) {
        Admission::Admitted(way) => way,
        Admission::Rejected(turned) => panic!("{turned:?}"),
    });
    // Once others have ended, owe nothing and the looks have been around, there is room within what was told.
    ways.drain(..MOST / 2)
        .for_each(|way| router.on_completed(way));
    (1..=10).for_each(|n| router.tick(ms(100 * n)));
    // (Tenant 7 has its second inside, so half but one were given back.)
    for tenant in MOST..MOST + MOST / 2 - 1 {
        match arrives(&mut router, ms(1_000), tenant, 0) {
            Admission::Admitted(way) => ways.push(way),
            Admission::Rejected(turned) => panic!("{tenant}: {turned:?}"),
        }
    }
    assert_eq!(
        refused(arrives(&mut router, ms(1_000), 999, 0)).0,
        RejectReason::NoBucket
    );
    assert!(
        router.bucket_usage().allocated <= MOST,
        "{:?}",
        router.bucket_usage()
    );
    ways.into_iter().for_each(|way| router.on_completed(way));
}
