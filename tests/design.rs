//! The design: what a run is charged, who is rejected with which retry-after, how many run.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

mod common;

use common::{ms, Rig, Settings};
use rainstand::{Arrival, Outcome};
use std::time::{Duration, Instant};

type Case<'a> = (&'a [(usize, u64)], bool, u64, usize, bool);

/// Runs of so many ms by tenants in turn, one at a time, until both are well known.
fn spend(rig: &mut Rig, runs: &[(usize, u64)]) {
    rig.busy = 0.0;
    for _ in 0..6 {
        for &(tenant, span) in runs {
            rig.serve(
                Arrival {
                    tenant: Some(tenant),
                    ..Arrival::default()
                },
                span,
            );
        }
    }
    rig.gauge(1.0);
}

#[test]
fn only_a_tenant_over_its_quota_is_rejected_and_only_under_overload() {
    // (what was spent by tenant, busy, waited unread, tenant, rejected)
    let cases: [Case; 5] = [
        (&[(0, 900), (1, 100)], true, 400, 0, true),
        (&[(0, 900), (1, 100)], true, 400, 1, false),
        (&[(0, 900), (1, 100)], true, 0, 0, false),
        (&[(0, 900), (1, 100)], false, 400, 0, false),
        (&[(1, 500), (0, 500)], true, 400, 1, false),
    ];
    for (spent, busy, waited, tenant, dismissed) in cases {
        let mut rig = Rig::new(Settings::default());
        spend(&mut rig, spent);
        if !busy {
            rig.gauge(0.0);
        }
        rig.arrive(
            5,
            Arrival {
                waited: ms(waited),
                tenant: Some(tenant),
                ..Arrival::default()
            },
        );
        assert_eq!(
            rig.count("reject 5") == 1,
            dismissed,
            "{spent:?} {busy} {waited} {tenant}"
        );
    }
}

#[test]
fn one_charge_beyond_a_small_quota_is_tolerated() {
    // (runs in a row by a tenant whose slice holds two, rejected)
    for (runs, dismissed) in [(3, false), (6, true)] {
        let mut rig = Rig::new(Settings::default()).at(0.0);
        for turn in 0..12 + runs {
            let tenant = (turn >= 12).then_some(1);
            rig.pass(ms(if turn == 12 { 6_000 } else { 0 }));
            rig.serve(
                Arrival {
                    tenant,
                    ..Arrival::default()
                },
                500,
            );
        }
        rig.gauge(1.0);
        rig.arrive(
            5,
            Arrival {
                waited: ms(400),
                tenant: Some(1),
                ..Arrival::default()
            },
        );
        assert_eq!(rig.count("reject") == 1, dismissed, "{runs}");
    }
}

#[test]
fn retry_after_is_the_remaining_quota_delay() {
    // Nine tenths of all was spent by a tenant of half the quota: X = (0.9 / 0.5 - 1) W, 3.2 s at
    // most and fading with its runs; 1 s is the longest that is heeded.
    let mut rig = Rig::new(Settings::default());
    spend(&mut rig, &[(1, 100), (0, 900)]);
    let (mut told, mut last) = (Vec::new(), 0);
    for ix in 0..11 {
        rig.arrive(
            ix,
            Arrival {
                waited: ms(400),
                tenant: Some(0),
                ..Arrival::default()
            },
        );
        let this = format!("reject {ix} ");
        let delay = |o: &String| o.strip_prefix(&this)?.split(' ').next()?.parse().ok();
        last = rig.take().iter().find_map(delay).unwrap_or(0);
        told.push(last);
        rig.pass(ms(400));
    }
    assert_eq!(told[0], 1_000, "{told:?}");
    assert!(
        told.windows(2).all(|w| w[1] <= w[0]) && last == 0,
        "{told:?}"
    );
    assert!(told.iter().any(|&d| d > 0 && d < 1_000), "{told:?}");
}

#[test]
fn nobody_is_rejected_before_the_mean_charge_is_known_or_without_a_tenant() {
    for (tenant, runs) in [(Some(0), 1), (None, 9)] {
        let mut rig = Rig::new(Settings::default());
        (0..runs).for_each(|_| {
            rig.serve(
                Arrival {
                    tenant,
                    ..Arrival::default()
                },
                500,
            )
        });
        rig.take();
        rig.arrive(
            1,
            Arrival {
                waited: ms(400),
                tenant,
                ..Arrival::default()
            },
        );
        assert_eq!(rig.count("reject"), 0, "{tenant:?}");
    }
}

#[test]
fn call_waits_and_stalls_are_not_charged() {
    // Tenant 0 runs as long as tenant 1 but for a wait that is not its own doing.
    for stall in [false, true] {
        let mut rig = Rig::new(Settings::default()).at(0.0);
        for turn in 0..8 {
            let tenant = turn % 2;
            rig.tenant(0, tenant);
            rig.pass(ms(200));
            if tenant == 0 && stall {
                // The whole process stands still: the next wake-up comes late.
                rig.now += ms(1_000);
                rig.pass(ms(20));
            } else if tenant == 0 {
                rig.at_call(0);
                rig.pass(ms(1_000));
                rig.call_ended(0, Outcome::Succeeded);
            }
            rig.end(0, Outcome::Succeeded);
        }
        // Even spenders in turn overshoot by a quarter at most; a second of waits each would show.
        rig.pass(ms(1_180));
        rig.gauge(1.0);
        rig.arrive(
            5,
            Arrival {
                waited: ms(400),
                tenant: Some(0),
                ..Arrival::default()
            },
        );
        assert_eq!(rig.count("reject"), 0, "stall: {stall}");
    }
}

#[test]
fn the_limit_starts_at_the_cores_and_climbs_while_they_are_idle() {
    // (gauge, whether more of thirty run after 900 ms); ten cores, so that a step of a tenth adds one
    for (busy, more) in [(1.0, false), (0.5, true)] {
        let mut rig = Rig::new(Settings {
            cores: 10,
            ..Settings::default()
        })
        .at(busy);
        (0..30).for_each(|ix| {
            rig.arrive(
                ix,
                Arrival {
                    tenant: Some(ix % 2),
                    ..Arrival::default()
                },
            )
        });
        assert_eq!(rig.count("run"), 10);
        rig.pass(ms(900));
        let ran = rig.count("run");
        assert_eq!(ran > 0, more, "{busy}: {ran} more");
    }
}

#[test]
fn a_tenant_within_its_quota_is_served_first() {
    let mut rig = Rig::new(Settings::default());
    spend(&mut rig, &[(0, 900), (1, 100)]);
    (0..4).for_each(|ix| rig.tenant(ix, usize::from(ix == 3)));
    rig.take();
    rig.end(0, Outcome::Succeeded);
    assert_eq!(rig.take(), ["release 0", "run 3"]);
}

#[test]
fn the_limit_never_exceeds_one_and_a_half_requests_per_core() {
    // Free cores for a long while, work held all along, runs ending: on the machines of the move a crowd
    // past that gets much less done in all, and waits on calls do not show it as busy cores.
    let mut rig = Rig::new(Settings {
        cores: 10,
        ..Settings::default()
    })
    .at(0.3);
    (0..40).for_each(|ix| {
        rig.arrive(
            ix,
            Arrival {
                tenant: Some(ix % 2),
                ..Arrival::default()
            },
        )
    });
    let (mut running, mut most) = (std::collections::VecDeque::new(), 0);
    for ix in 40..440 {
        rig.arrive(
            ix,
            Arrival {
                tenant: Some(ix % 2),
                ..Arrival::default()
            },
        );
        rig.pass(ms(50));
        let orders = rig.take();
        running.extend(
            orders
                .iter()
                .filter_map(|o| o.strip_prefix("run ")?.parse::<usize>().ok()),
        );
        most = most.max(running.len());
        if let Some(done) = running.pop_front() {
            rig.end(done, Outcome::Succeeded);
        }
    }
    assert!(
        (11..=15).contains(&most),
        "at most {most} ran at once on ten cores"
    );
}

/// itajai-exchange, archiv-lehota-later: half of a run waits on disk, and cores stood free behind a full limit.
#[test]
fn disk_waits_raise_the_limit_but_a_single_lagging_gauge_does_not() {
    // (how many of ten ticks show one of two runs off the cores, runs that go in hand of the requests that wait)
    for (off, ran) in [(0, 2), (2, 2), (10, 3)] {
        let mut rig = Rig::new(Settings::default());
        (0..2).for_each(|ix| rig.tenant(ix, ix));
        for beat in 0..50 {
            rig.on_cores = Some(if beat % 10 < off { 1.0 } else { 2.0 });
            rig.pass(ms(20));
        }
        rig.on_cores = Some(if off > 0 { 1.0 } else { 2.0 });
        (2..5).for_each(|ix| rig.tenant(ix, 0));
        rig.on_cores = Some(2.0);
        rig.pass(ms(20));
        assert_eq!(rig.count("run"), ran, "{off} of ten beats");
    }
}

/// With a walk over all tenants for each of them one of these requests took seconds, and a minute is a hundred times
/// what all of them take.
#[test]
fn the_cost_of_a_request_does_not_grow_with_the_square_of_tenants() {
    static QUOTAS: [f64; 23_000] = [1.0; 23_000];
    let begun = Instant::now();
    let mut rig = Rig::new(Settings {
        quotas: &QUOTAS,
        ..Settings::default()
    })
    .at(0.0);
    for k in 0..100 {
        rig.serve(
            Arrival {
                tenant: Some(k * 229),
                ..Arrival::default()
            },
            20,
        );
        assert_eq!(rig.count("reject"), 0, "{k}");
        assert!(
            begun.elapsed() < Duration::from_secs(60),
            "{} tickets in {:?}",
            k + 1,
            begun.elapsed()
        );
    }
}
