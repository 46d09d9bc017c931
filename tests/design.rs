//! Charges of runs, rejections over quota with their retry-after, and the concurrency limit.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

mod common;

use common::{ms, Settings, TestNode};
use rainstand::{Arrival, Outcome};
use std::time::{Duration, Instant};

type Case<'a> = (&'a [(usize, u64)], bool, u64, usize, bool);

/// Serves six rounds of requests, one at a time, each given as (tenant, run time in ms): enough to know the mean charge.
fn spend(node: &mut TestNode, runs: &[(usize, u64)]) {
    node.cores_busy = 0.0;
    for _ in 0..6 {
        for &(tenant, run_ms) in runs {
            node.serve(
                Arrival {
                    tenant: Some(tenant),
                    ..Arrival::default()
                },
                run_ms,
            );
        }
    }
    node.set_cores_busy(1.0);
}

#[test]
fn only_a_tenant_over_its_quota_is_rejected_and_only_under_overload() {
    // (run times by tenant, cores busy, wait before it was read in ms, tenant, rejected)
    let cases: [Case; 5] = [
        (&[(0, 900), (1, 100)], true, 400, 0, true),
        (&[(0, 900), (1, 100)], true, 400, 1, false),
        (&[(0, 900), (1, 100)], true, 0, 0, false),
        (&[(0, 900), (1, 100)], false, 400, 0, false),
        (&[(1, 500), (0, 500)], true, 400, 1, false),
    ];
    for (spent, cores_busy, waited_ms, tenant, rejected) in cases {
        let mut node = TestNode::new(Settings::default());
        spend(&mut node, spent);
        if !cores_busy {
            node.set_cores_busy(0.0);
        }
        node.arrive(
            5,
            Arrival {
                waited: ms(waited_ms),
                tenant: Some(tenant),
                ..Arrival::default()
            },
        );
        assert_eq!(
            node.count_orders("reject 5") == 1,
            rejected,
            "{spent:?} {cores_busy} {waited_ms} {tenant}"
        );
    }
}

#[test]
fn one_charge_beyond_a_small_quota_is_tolerated() {
    // (consecutive runs of a tenant whose quota covers two, rejected)
    for (runs, rejected) in [(3, false), (6, true)] {
        let mut node = TestNode::new(Settings::default()).with_cores_busy(0.0);
        for turn in 0..12 + runs {
            let tenant = (turn >= 12).then_some(1);
            node.advance(ms(if turn == 12 { 6_000 } else { 0 }));
            node.serve(
                Arrival {
                    tenant,
                    ..Arrival::default()
                },
                500,
            );
        }
        node.set_cores_busy(1.0);
        node.arrive(
            5,
            Arrival {
                waited: ms(400),
                tenant: Some(1),
                ..Arrival::default()
            },
        );
        assert_eq!(node.count_orders("reject") == 1, rejected, "{runs}");
    }
}

#[test]
fn retry_after_is_the_remaining_quota_delay() {
    // A tenant with half of the quotas spent nine tenths of the core time: X = (0.9 / 0.5 - 1) W, at most 3.2 s,
    // decreasing as its charges decay; the maximum retry-after is 1 s.
    let mut node = TestNode::new(Settings::default());
    spend(&mut node, &[(1, 100), (0, 900)]);
    let (mut delays, mut last) = (Vec::new(), 0);
    for index in 0..11 {
        node.arrive(
            index,
            Arrival {
                waited: ms(400),
                tenant: Some(0),
                ..Arrival::default()
            },
        );
        let prefix = format!("reject {index} ");
        let delay = |order: &String| order.strip_prefix(&prefix)?.split(' ').next()?.parse().ok();
        last = node.take_orders().iter().find_map(delay).unwrap_or(0);
        delays.push(last);
        node.advance(ms(400));
    }
    assert_eq!(delays[0], 1_000, "{delays:?}");
    assert!(
        delays.windows(2).all(|pair| pair[1] <= pair[0]) && last == 0,
        "{delays:?}"
    );
    assert!(
        delays.iter().any(|&delay| delay > 0 && delay < 1_000),
        "{delays:?}"
    );
}

#[test]
fn requests_are_not_rejected_before_the_mean_charge_is_known_or_without_a_tenant() {
    for (tenant, runs) in [(Some(0), 1), (None, 9)] {
        let mut node = TestNode::new(Settings::default());
        (0..runs).for_each(|_| {
            node.serve(
                Arrival {
                    tenant,
                    ..Arrival::default()
                },
                500,
            )
        });
        node.take_orders();
        node.arrive(
            1,
            Arrival {
                waited: ms(400),
                tenant,
                ..Arrival::default()
            },
        );
        assert_eq!(node.count_orders("reject"), 0, "{tenant:?}");
    }
}

#[test]
fn call_waits_and_stalls_are_not_charged() {
    // Both tenants run equally long, except for the stall or the call wait during tenant 0's run.
    for stall in [false, true] {
        let mut node = TestNode::new(Settings::default()).with_cores_busy(0.0);
        for turn in 0..8 {
            let tenant = turn % 2;
            node.arrive_from_tenant(0, tenant);
            node.advance(ms(200));
            if tenant == 0 && stall {
                // The whole process is stalled: the next tick is late.
                node.now += ms(1_000);
                node.advance(ms(20));
            } else if tenant == 0 {
                node.request_call(0);
                node.advance(ms(1_000));
                node.finish_call(0, Outcome::Succeeded);
            }
            node.finish_run(0, Outcome::Succeeded);
        }
        // Two equal tenants that run in turn exceed their targets by a quarter at most; a charge of 1 s for each wait
        // would exceed that.
        node.advance(ms(1_180));
        node.set_cores_busy(1.0);
        node.arrive(
            5,
            Arrival {
                waited: ms(400),
                tenant: Some(0),
                ..Arrival::default()
            },
        );
        assert_eq!(node.count_orders("reject"), 0, "stall: {stall}");
    }
}

#[test]
fn the_limit_starts_at_the_cores_and_climbs_while_they_are_idle() {
    // (cores gauge, whether the limit rises within 900 ms); with ten cores, a step of 0.1 adds one run
    for (cores_busy, rises) in [(1.0, false), (0.5, true)] {
        let mut node = TestNode::new(Settings {
            cores: 10,
            ..Settings::default()
        })
        .with_cores_busy(cores_busy);
        (0..30).for_each(|index| {
            node.arrive(
                index,
                Arrival {
                    tenant: Some(index % 2),
                    ..Arrival::default()
                },
            )
        });
        assert_eq!(node.count_orders("run"), 10);
        node.advance(ms(900));
        let more_runs = node.count_orders("run");
        assert_eq!(more_runs > 0, rises, "{cores_busy}: {more_runs} more runs");
    }
}

#[test]
fn a_tenant_within_its_quota_is_served_first() {
    let mut node = TestNode::new(Settings::default());
    spend(&mut node, &[(0, 900), (1, 100)]);
    (0..4).for_each(|index| node.arrive_from_tenant(index, usize::from(index == 3)));
    node.take_orders();
    node.finish_run(0, Outcome::Succeeded);
    assert_eq!(node.take_orders(), ["release 0", "run 3"]);
}

#[test]
fn the_limit_never_exceeds_one_and_a_half_requests_per_core() {
    // The cores read idle for a long time while requests are queued and runs end. On the machines of the move, more
    // concurrent runs get much less done in total, and as they wait for calls, the cores do not read busy.
    let mut node = TestNode::new(Settings {
        cores: 10,
        ..Settings::default()
    })
    .with_cores_busy(0.3);
    (0..40).for_each(|index| {
        node.arrive(
            index,
            Arrival {
                tenant: Some(index % 2),
                ..Arrival::default()
            },
        )
    });
    let (mut running, mut max_running) = (std::collections::VecDeque::new(), 0);
    for index in 40..440 {
        node.arrive(
            index,
            Arrival {
                tenant: Some(index % 2),
                ..Arrival::default()
            },
        );
        node.advance(ms(50));
        let orders = node.take_orders();
        running.extend(
            orders
                .iter()
                .filter_map(|order| order.strip_prefix("run ")?.parse::<usize>().ok()),
        );
        max_running = max_running.max(running.len());
        if let Some(oldest) = running.pop_front() {
            node.finish_run(oldest, Outcome::Succeeded);
        }
    }
    assert!(
        (11..=15).contains(&max_running),
        "at most {max_running} concurrent runs on ten cores"
    );
}

/// Guards against idle cores while the limit is reached: at the simulated sites itajai-exchange and
/// archiv-lehota-later, runs spend half of their time waiting for the disk.
#[test]
fn disk_waits_raise_the_limit_but_a_single_lagging_gauge_does_not() {
    // (number of ticks out of ten in which the gauge shows one of two runs off the cores, expected runs)
    for (ticks_off, expected_runs) in [(0, 2), (2, 2), (10, 3)] {
        let mut node = TestNode::new(Settings::default());
        (0..2).for_each(|index| node.arrive_from_tenant(index, index));
        for tick in 0..50 {
            node.runnable = Some(if tick % 10 < ticks_off { 1.0 } else { 2.0 });
            node.advance(ms(20));
        }
        node.runnable = Some(if ticks_off > 0 { 1.0 } else { 2.0 });
        (2..5).for_each(|index| node.arrive_from_tenant(index, 0));
        node.runnable = Some(2.0);
        node.advance(ms(20));
        assert_eq!(
            node.count_orders("run"),
            expected_runs,
            "{ticks_off} of ten ticks"
        );
    }
}

/// Guards against a loop over all tenants within a loop over all tenants, with which one of these requests took
/// seconds. The bound of a minute is a hundred times what all of them take.
#[test]
fn the_cost_of_a_request_does_not_grow_with_the_square_of_the_number_of_tenants() {
    static QUOTAS: [f64; 23_000] = [1.0; 23_000];
    let started = Instant::now();
    let mut node = TestNode::new(Settings {
        quotas: &QUOTAS,
        ..Settings::default()
    })
    .with_cores_busy(0.0);
    for request in 0..100 {
        node.serve(
            Arrival {
                tenant: Some(request * 229),
                ..Arrival::default()
            },
            20,
        );
        assert_eq!(node.count_orders("reject"), 0, "{request}");
        assert!(
            started.elapsed() < Duration::from_secs(60),
            "{} requests took {:?}",
            request + 1,
            started.elapsed()
        );
    }
}
