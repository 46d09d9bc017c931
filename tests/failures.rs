//! Failures observed on the bench, reproduced on a single node.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

mod common;

use common::{ms, shared, Settings, TestNode};
use rainstand::{Arrival, Components, Gauges, Outcome, Repeatability};
use std::time::Duration;

/// Window of the shares in these tests. A node of this age may use its whole budget.
const SHARE_WINDOW: Duration = Duration::from_secs(5);

#[test]
fn an_unhealthy_node_rejects_all_but_probe_requests() {
    let mut node = TestNode::new(Settings::default()).with_cores_busy(0.2);
    for _ in 0..6 {
        node.arrive_from_tenant(0, 0);
        node.advance(ms(20));
        node.finish_run(0, Outcome::Failed);
    }
    node.advance(ms(20));
    assert!(node
        .take_orders()
        .join(", ")
        .contains("set_health false, advertise_load 1"));
    // One request every 100 ms for two seconds: about one in five is admitted as a probe.
    let mut probes = 0;
    for _ in 0..20 {
        node.arrive_from_tenant(0, 0);
        if node.count_orders("run") == 1 {
            probes += 1;
            node.finish_run(0, Outcome::Succeeded);
        }
        node.advance(ms(100));
    }
    assert!((3..=6).contains(&probes), "{probes}");
    // Healthy again after enough successful probes.
    (0..40).for_each(|_| {
        node.serve(
            Arrival {
                tenant: Some(0),
                ..Arrival::default()
            },
            100,
        )
    });
    let orders = node.take_orders().join(", ");
    assert!(
        orders.contains("set_health true, advertise_load 0"),
        "{orders}"
    );
}

// Guards against using up the probe of an unhealthy node for a request that is then rejected over its quota.
#[test]
fn a_request_over_its_quota_is_no_probe() {
    let mut node = TestNode::new(Settings::default());
    for (tenant, runs_ms) in [(0, [300; 3]), (1, [40; 3])] {
        for run_ms in runs_ms {
            let arrival = Arrival {
                tenant: Some(tenant),
                ..Arrival::default()
            };
            node.serve(arrival, run_ms);
        }
    }
    for _ in 0..6 {
        node.arrive_from_tenant(0, 0);
        node.advance(ms(20));
        node.finish_run(0, Outcome::Failed);
    }
    node.advance(ms(600));
    assert!(node.take_orders().contains(&"set_health false".to_owned()));
    let over_quota = Arrival {
        waited: ms(400),
        tenant: Some(0),
        ..Arrival::default()
    };
    node.arrive(5, over_quota);
    assert_eq!(node.count_orders("reject 5"), 1);
    node.arrive_from_tenant(6, 1);
    assert_eq!(node.count_orders("run 6"), 1);
}

#[test]
fn requests_that_never_start_use_no_quota_and_no_run_time_sample() {
    // A flood of requests that cannot start would otherwise put the tenant they name far over its quota.
    let mut node = TestNode::new(Settings::default());
    for _ in 0..30 {
        node.arrive_from_tenant(0, 0);
        node.finish_run(0, Outcome::NeverStarted);
    }
    (0..6).for_each(|_| {
        node.serve(
            Arrival {
                tenant: Some(1),
                ..Arrival::default()
            },
            400,
        )
    });
    node.set_cores_busy(1.0);
    (0..6).for_each(|index| node.arrive_from_tenant(index, 0));
    node.advance(ms(40));
    assert_eq!(node.count_orders("reject"), 0);
}

#[test]
fn a_node_with_hung_runs_rejects_requests() {
    let mut node = TestNode::new(Settings::default());
    node.arrive_from_tenant(0, 0);
    node.advance(ms(1_400));
    node.take_orders();
    node.arrive_from_tenant(1, 0);
    assert_eq!(node.count_orders("reject 1"), 0, "not yet");
    node.advance(ms(300));
    node.take_orders();
    node.arrive_from_tenant(2, 0);
    node.arrive_from_tenant(3, 0);
    assert!(node.count_orders("reject") >= 1);
    // A stall of the whole process does not count as hung runs.
    let mut node = TestNode::new(Settings::default());
    node.arrive_from_tenant(0, 0);
    node.advance(ms(1_000));
    node.now += ms(2_000);
    node.advance(ms(100));
    assert_eq!(node.count_orders("set_health false"), 0);
}

#[test]
fn a_request_read_too_late_for_its_objective_is_rejected_on_busy_cores() {
    // (cores gauge, wait before it was read in ms, rejections); runs take 500 ms, the latency objective is 2 s
    for (cores_busy, waited_ms, rejected) in [(1.0, 1_600, 1), (1.0, 200, 0), (0.3, 1_600, 0)] {
        let mut node = TestNode::new(Settings::default()).with_cores_busy(0.3);
        (0..3).for_each(|_| node.serve(Arrival::default(), 500));
        node.set_cores_busy(cores_busy);
        node.arrive(
            0,
            Arrival {
                waited: ms(waited_ms),
                ..Arrival::default()
            },
        );
        assert_eq!(
            node.count_orders("reject"),
            rejected,
            "{cores_busy} {waited_ms}"
        );
    }
}

#[test]
fn a_request_without_time_for_its_usual_run_is_rejected_on_busy_cores() {
    // (usual size hint, cores gauge, size hint, caller's timeout, started), times in ms; the usual run takes 400 ms. A
    // start needs one and a half usual run times before the deadline: with two slowed cores, many runs take far longer
    // than the mean, and at the simulated sites lakes-preview and sicily-prices at full size a fifth of the answers
    // missed the latency objective.
    let cases = [
        (100, 1.0, 100, 1_000, true),
        (100, 1.0, 100, 500, false),
        (100, 1.0, 300, 1_000, false),
        (100, 1.0, 300, 2_000, true),
        (100, 0.3, 300, 1_000, true),
        (0, 1.0, 100, 1_700, false),
    ];
    for (usual_hint_ms, cores_busy, hint_ms, timeout_ms, started) in cases {
        let hinted = |hint_ms| Arrival {
            size_hint: Some(ms(hint_ms)),
            ..Arrival::default()
        };
        let mut node = TestNode::new(Settings::default()).with_cores_busy(0.3);
        (0..4).for_each(|_| node.serve(hinted(usual_hint_ms), 400));
        node.set_cores_busy(cores_busy);
        node.arrive(
            0,
            Arrival {
                caller_timeout: Some(ms(timeout_ms)),
                ..hinted(hint_ms)
            },
        );
        assert_eq!(
            node.count_orders("run") == 1,
            started,
            "{usual_hint_ms} {cores_busy} {hint_ms} {timeout_ms}"
        );
    }
}

#[test]
fn a_rejection_is_terminal_only_when_the_fleet_seems_overloaded() {
    // (callers mark retries, the request is a retry, half of the earlier requests were, another node is discouraged)
    let cases = [
        (true, false, false, false),
        (true, true, false, true),
        (true, false, true, true),
        (false, false, false, true),
    ];
    for (retries_marked, is_retry, many_retries, terminal) in cases {
        let mut node = TestNode::new(Settings {
            retries_marked,
            ..Settings::default()
        });
        node.advance(ms(20));
        (0..8).for_each(|index| {
            node.arrive(
                index,
                Arrival {
                    is_retry: many_retries && index % 2 == 0,
                    ..Arrival::default()
                },
            )
        });
        node.take_orders();
        node.arrive(
            8,
            Arrival {
                is_retry,
                caller_timeout: Some(ms(10)),
                ..Arrival::default()
            },
        );
        let orders = node.take_orders();
        assert_eq!(
            orders[0].ends_with("terminal"),
            terminal,
            "{retries_marked} {is_retry} {many_retries}: {orders:?}"
        );
    }
}

#[test]
fn threads_that_read_requests_count_against_the_limit() {
    // (threads that read requests, how many of five requests run on two cores)
    for (reading, runs) in [(0.0, 2), (1.0, 1), (9.0, 1)] {
        let mut node = TestNode::new(Settings::default());
        let gauges = Gauges {
            cores_busy: Some(1.0),
            runnable: Some(reading),
            ..Gauges::default()
        };
        node.controller.on_tick(node.now, &mut node.orders, gauges);
        (0..5).for_each(|index| node.arrive(index, Arrival::default()));
        assert_eq!(node.count_orders("run"), runs, "{reading}");
    }
}

#[test]
fn slow_downstream_calls_are_rate_limited_and_skipped_in_time() {
    let mut node = TestNode::new(Settings {
        degraded_share: 0.5,
        ..Settings::default()
    })
    .with_cores_busy(0.0);
    for _ in 0..10 {
        node.arrive_and_call(0, 0);
        node.advance(ms(40));
        node.finish_call(0, Outcome::Succeeded);
        node.finish_run(0, Outcome::Succeeded);
    }
    node.take_orders();
    node.arrive_and_call(0, 0);
    let orders = node.take_orders();
    let deadline_ms: u64 = orders[1]
        .strip_prefix("call_downstream 0 ")
        .unwrap()
        .parse()
        .unwrap();
    assert!(
        deadline_ms < node.now.as_millis() as u64 + 2_000,
        "within the latency objective"
    );
    node.advance(ms(1_990));
    node.finish_call(0, Outcome::TimedOut);
    assert_eq!(node.count_orders("reply_degraded 0"), 1);
}

#[test]
fn the_call_rate_survives_a_third_of_calls_timing_out_but_not_most() {
    // (answered calls out of a number of calls, lower and upper bound of ten calls made in the second after)
    for (answered, at_least, at_most) in [((2, 3), 4, 10), ((1, 4), 1, 6)] {
        let mut node = TestNode::new(Settings {
            degraded_share: 0.5,
            ..Settings::default()
        })
        .with_cores_busy(0.0);
        let mut calls = 0;
        for _ in 0..90 {
            node.arrive_and_call(0, 0);
            while node.count_orders("call_downstream") > 0 {
                node.advance(ms(60));
                calls += 1;
                let succeeds = calls % answered.1 < answered.0;
                node.finish_call(
                    0,
                    if succeeds {
                        Outcome::Succeeded
                    } else {
                        Outcome::TimedOut
                    },
                );
            }
            node.advance(ms(200));
            node.finish_run(0, Outcome::Succeeded);
        }
        node.take_orders();
        // Requests arrive one after another, since an optional call waits only briefly.
        for index in 0..10 {
            node.arrive_and_call(index, 0);
            node.advance(ms(100));
        }
        let calls_made = node.count_orders("call_downstream");
        assert!(
            calls_made >= at_least && calls_made <= at_most,
            "{answered:?}: {calls_made}"
        );
    }
}

#[test]
fn the_call_rate_follows_successes_and_ignores_calls_without_time() {
    // (time in ms and outcome of later calls, after calls that took 100 ms; lower bound of ten calls made afterwards)
    let cases = [
        (1_500, Outcome::Succeeded, 4),
        (20, Outcome::TimedOut, 10),
        (480, Outcome::TimedOut, 1),
    ];
    for (call_ms, outcome, at_least) in cases {
        let mut node = TestNode::new(Settings::default()).with_cores_busy(0.0);
        for round in 0..32 {
            let (call_ms, outcome) = if round < 20 {
                (100, Outcome::Succeeded)
            } else {
                (call_ms, outcome)
            };
            (0..10).for_each(|index| node.arrive_and_call(index, 0));
            node.advance(ms(call_ms));
            (0..10).for_each(|index| node.finish_call(index, outcome));
            node.advance(ms(100));
            (0..10).for_each(|index| node.finish_run(index, Outcome::Succeeded));
        }
        node.take_orders();
        (0..10).for_each(|index| node.arrive_and_call(index, 0));
        node.advance(ms(1_100));
        let calls_made = node.count_orders("call_downstream");
        assert!(
            calls_made >= at_least && (at_least > 1 || calls_made < 10),
            "{call_ms} {outcome:?}: {calls_made}"
        );
    }
}

#[test]
fn a_non_idempotent_request_without_time_for_its_call_fails_and_the_newest_call_is_made_first() {
    let (repeatability, share) = (
        Repeatability::NonIdempotent,
        shared(0.4, ms(5_000), ms(200)),
    );
    let mut node = TestNode::new(Settings {
        repeatability,
        share,
        ..Settings::default()
    })
    .with_cores_busy(0.0);
    node.advance(SHARE_WINDOW);
    node.arrive_and_call(0, 0);
    node.advance(ms(400));
    node.finish_call(0, Outcome::Succeeded);
    node.finish_run(0, Outcome::Succeeded);
    node.arrive_and_call(0, 0);
    (1..3).for_each(|index| node.arrive_and_call(index, 0));
    node.take_orders();
    node.finish_call(0, Outcome::Succeeded);
    let calls: Vec<String> = node
        .take_orders()
        .into_iter()
        .filter(|order| order.starts_with("call_downstream"))
        .collect();
    assert!(
        calls.len() == 1 && calls[0].starts_with("call_downstream 2"),
        "{calls:?}"
    );
    node.advance(ms(4_800));
    assert_eq!(
        node.count_orders("fail 1"),
        1,
        "400 ms before the deadline, not at the deadline"
    );
}

#[test]
fn a_call_without_budget_is_not_made() {
    // The first calls use up the share; the last request waits and then continues without its call.
    let share = shared(0.6, ms(5_000), ms(200));
    let mut node = TestNode::new(Settings {
        degraded_share: 0.5,
        share,
        ..Settings::default()
    });
    (0..3).for_each(|index| node.arrive_and_call(index, 0));
    node.advance(ms(2_020));
    assert_eq!(node.count_orders("call_downstream 2"), 0);
}

/// Incident i889ff1: two calls per node within one second overloaded the downstream tier thirteenfold, and used up the
/// share of five seconds.
#[test]
fn above_a_quarter_of_the_share_calls_are_made_one_at_a_time() {
    // (share, concurrent calls of two requests that need one)
    for (share, concurrent) in [(0.75, 1), (8.0, 2)] {
        let share = shared(share, ms(5_000), ms(200));
        let mut node = TestNode::new(Settings {
            degraded_share: 0.5,
            share,
            ..Settings::default()
        })
        .with_cores_busy(0.0);
        node.advance(SHARE_WINDOW);
        (0..2).for_each(|index| node.arrive_and_call(index, 0));
        assert_eq!(node.count_orders("call_downstream "), concurrent);
        node.finish_call(0, Outcome::Succeeded);
        assert_eq!(
            node.count_orders("call_downstream 1"),
            2 - concurrent,
            "the second call is made when the first has ended"
        );
    }
}

/// Guards against a starved class: at the simulated site mvd-reparti at full size, classes that keep most of their
/// value without a call took two thirds of the calls, and the class that loses all of its value got too few.
#[test]
fn less_valuable_calls_wait_while_a_more_valuable_class_is_short_of_calls() {
    // (outcome of the valuable calls, number of less valuable calls made after them)
    for (end, calls_made) in [(Outcome::TimedOut, 0), (Outcome::Succeeded, 1)] {
        let (share, repeatability) = (
            shared(0.54, ms(5_000), ms(200)),
            Repeatability::NonIdempotent,
        );
        let settings = Settings {
            degraded_share: 0.5,
            share,
            repeatability,
            with_valuable_class: true,
            ..Settings::default()
        };
        let mut node = TestNode::new(settings).with_cores_busy(0.0);
        node.advance(SHARE_WINDOW);
        let valuable = Arrival {
            class: 1,
            ..Arrival::default()
        };
        for index in 0..2 {
            node.arrive(index, valuable.clone());
            node.request_call(index);
            node.advance(ms(300));
            node.finish_call(index, end);
            node.finish_run(index, Outcome::Succeeded);
        }
        node.take_orders();
        node.arrive_and_call(2, 0);
        assert_eq!(
            node.count_orders("call_downstream 2"),
            calls_made,
            "{end:?}"
        );
        if calls_made == 0 {
            node.arrive(3, valuable);
            node.request_call(3);
            assert_eq!(
                node.count_orders("call_downstream 3"),
                1,
                "the valuable call is made"
            );
            node.finish_call(3, end);
            // Long after the last valuable call, its class does not count as short of calls any more.
            node.advance(ms(20_000));
            node.arrive_and_call(4, 0);
            node.advance(ms(700));
            node.finish_call(4, Outcome::Succeeded);
            node.finish_run(4, Outcome::Succeeded);
            node.take_orders();
            node.arrive_and_call(5, 0);
            assert_eq!(
                node.count_orders("call_downstream 5"),
                1,
                "no valuable calls recently"
            );
        }
    }
}

#[test]
fn idle_connections_close_sooner_while_many_are_open_even_if_many_requests_are_rejected() {
    // (callers, cores gauge, open connections, rejections out of four requests, last idle timeout in ms)
    // Hundreds of callers each send requests rarely. Keeping the connection table full while rejecting requests only
    // slows the node and rejects callers before they are read (lakes-preview and sicily-prices at full size).
    let cases = [
        (900, 0.95, 11.0, 0, None),
        (20, 0.95, 80.0, 0, None),
        (900, 0.95, 80.0, 0, Some(1_875)),
        (900, 0.95, 80.0, 4, Some(1_875)),
        (900, 0.3, 80.0, 4, Some(1_875)),
    ];
    for (callers, cores_busy, open, rejected, timeout_ms) in cases {
        let mut node = TestNode::new(Settings {
            callers,
            ..Settings::default()
        })
        .with_cores_busy(cores_busy);
        (node.connections, node.now) = (open, node.now - ms(20));
        let mut last = None;
        for turn in 0..16 {
            node.advance(ms(200));
            // A request whose caller's timeout is zero is always rejected.
            let caller_timeout = Some(ms(if turn % 4 < rejected { 0 } else { 2_000 }));
            node.arrive(
                0,
                Arrival {
                    caller_timeout,
                    ..Arrival::default()
                },
            );
            node.finish_run(0, Outcome::Succeeded);
            let new_timeout_ms = node
                .take_orders()
                .iter()
                .find_map(|order| order.strip_prefix("close_idle_after ")?.parse().ok());
            last = new_timeout_ms.or(last);
        }
        assert_eq!(last, timeout_ms, "{callers} {cores_busy} {open} {rejected}");
    }
}

#[test]
fn the_tenant_with_the_most_excess_demand_is_shed_first() {
    // (number of requests of tenant 0 after five of tenant 1, whether some of tenant 0 are shed)
    for (requests, is_shed) in [(30, true), (3, false)] {
        let (shed, shed_retries) = (
            rejected_indices(requests, false),
            rejected_indices(requests, true),
        );
        assert_eq!(!shed.is_empty(), is_shed, "{requests}: {shed:?}");
        assert!(shed.iter().all(|&index| index >= 5), "{requests}: {shed:?}");
        // Retries do not count as demand: otherwise shedding would cause more shedding (ia32db0).
        assert!(
            shed_retries.is_empty(),
            "{requests} retries: {shed_retries:?}"
        );
    }
}

/// The indices of rejected requests when tenant 0 sends `requests` first attempts or retries after five requests of
/// tenant 1.
fn rejected_indices(requests: usize, is_retry: bool) -> Vec<usize> {
    let mut node = TestNode::new(Settings::default()).with_cores_busy(0.0);
    (0..8).for_each(|turn| {
        node.serve(
            Arrival {
                tenant: Some(turn % 2),
                ..Arrival::default()
            },
            300,
        )
    });
    node.set_cores_busy(1.0);
    for index in 0..5 + requests {
        let (tenant, is_retry) = if index < 5 { (1, false) } else { (0, is_retry) };
        node.arrive(
            index,
            Arrival {
                tenant: Some(tenant),
                is_retry,
                ..Arrival::default()
            },
        );
    }
    let orders = node.take_orders();
    let number = |o: &String| o.strip_prefix("reject ")?.split(' ').next()?.parse().ok();
    orders.iter().filter_map(number).collect()
}

#[test]
fn extreme_settings_give_sane_decisions() {
    // (quotas over the fleet, servers, cores, overload factor, memory in KiB, whether any request runs)
    type Case = (&'static [f64], usize, usize, f64, f64, bool);
    let cases: [Case; 7] = [
        (&[1.0], 0, 1, 6.0, 1e4, true),
        (&[1.0], 1, 1, 1.0, 1e4, true),
        (&[], 0, 2, 6.0, 1e4, true),
        (&[0.0, 0.0], 5_000, 2, 6.0, 1e4, true),
        (&[1_000.0; 9], 5_000, 64, 6.0, 1e9, true),
        (&[1.0], 300, 0, 6.0, 1e4, false),
        (&[1.0], 300, 2, 6.0, 10.0, false),
    ];
    for (quotas, servers, cores, overload_factor, memory_kb, runs_any) in cases {
        let settings = Settings {
            quotas,
            servers,
            cores,
            overload_factor,
            memory_kb,
            ..Settings::default()
        };
        let mut node = TestNode::new(settings);
        for turn in 0..40 {
            let tenant = (!quotas.is_empty()).then(|| turn % quotas.len());
            node.arrive(
                turn,
                Arrival {
                    tenant,
                    waited: ms(300),
                    ..Arrival::default()
                },
            );
            node.advance(ms(200));
            node.finish_run(turn, Outcome::Succeeded);
        }
        assert_eq!(
            node.count_orders("run") > 0,
            runs_any,
            "{quotas:?} {servers} {cores} {memory_kb}"
        );
    }
}

#[test]
fn reconfiguration_preserves_requests_in_flight_and_changes_retry_after() {
    use rainstand::{
        AdmissionController, AdvertiserOptions, ClientConnections, ConcurrencyLimiter,
        DownstreamLimiter, InFlightRequests, LoadAdvertiser, LoadSignal, RequestClass,
        TenantQuotas,
    };
    // Two of three requests run on two cores, the third is queued; then the maximum retry-after becomes 3 s.
    let mut node = TestNode::new(Settings::default()).with_cores_busy(1.0);
    (0..3).for_each(|index| node.arrive(index, Arrival::default()));
    assert_eq!(node.count_orders("run"), 2);
    node.arrive(
        3,
        Arrival {
            caller_timeout: Some(ms(10)),
            ..Arrival::default()
        },
    );
    assert!(node.take_orders().contains(&"reject 3 1000".to_owned()));
    let class = RequestClass {
        latency_objective: ms(2_000),
        deadline: ms(5_000),
        value: 1.0,
        late_share: 0.0,
        degraded_share: 0.0,
        repeatability: Repeatability::Idempotent,
    };
    let components = Components {
        quotas: TenantQuotas::new(&[1.0, 1.0], 2),
        limiter: ConcurrencyLimiter::new(7, 2, 6.0, None),
        in_flight: InFlightRequests::new(10_000.0, 4.0, 10.0),
        downstream: DownstreamLimiter::new(None),
        advertiser: LoadAdvertiser::new(AdvertiserOptions {
            signal: LoadSignal::Level,
            max_retry_after: ms(3_000),
            drain_grace: ms(2_000),
            retries_marked: true,
            clients: ClientConnections {
                callers: 900,
                idle_timeout: ms(30_000),
            },
        }),
    };
    node.controller
        .reconfigure(AdmissionController::new(vec![class], false, components));
    node.arrive(
        4,
        Arrival {
            caller_timeout: Some(ms(10)),
            ..Arrival::default()
        },
    );
    assert!(
        node.take_orders().contains(&"reject 4 3000".to_owned()),
        "the new maximum retry-after"
    );
    // The request that was queued before the change is neither lost nor run twice.
    node.finish_run(0, Outcome::Succeeded);
    let orders = node.take_orders();
    assert_eq!(
        orders
            .iter()
            .filter(|order| order.as_str() == "run 2")
            .count(),
        1,
        "{orders:?}"
    );
}

/// New settings that change the repeatability or the degraded share of a class apply only to requests that arrive
/// after them.
#[test]
fn a_request_in_flight_is_handled_by_the_class_it_arrived_with() {
    let non_idempotent = || Settings {
        repeatability: Repeatability::NonIdempotent,
        ..Settings::default()
    };
    let idempotent = || Settings {
        degraded_share: 0.5,
        ..Settings::default()
    };
    // (settings on arrival, new settings, order after a call that was disconnected and may have run)
    let cases = [
        (non_idempotent(), idempotent(), "fail 0"),
        (non_idempotent(), non_idempotent(), "fail 0"),
        (idempotent(), non_idempotent(), "call_downstream 0"),
        (idempotent(), idempotent(), "call_downstream 0"),
    ];
    for (old_settings, new, expected) in cases {
        let mut node = TestNode::new(old_settings);
        node.arrive_and_call(0, 0);
        node.controller.reconfigure(TestNode::controller(new));
        node.take_orders();
        node.finish_call(0, Outcome::Disconnected);
        let orders = node.take_orders();
        assert!(
            orders.iter().any(|order| order.starts_with(expected)),
            "{expected}: {orders:?}"
        );
    }
}

/// Calls in progress when the downstream tier becomes shared or unshared are counted once, and released when they end.
#[test]
fn calls_continue_when_the_downstream_tier_becomes_shared_and_unshared() {
    let shared = || Settings {
        share: shared(4.0, ms(5_000), ms(200)),
        ..Settings::default()
    };
    for (first, second) in [
        (Settings::default(), shared()),
        (shared(), Settings::default()),
    ] {
        let mut node = TestNode::new(first);
        for index in 0..20 {
            node.arrive_and_call(index, 0);
            node.finish_call(index, Outcome::Succeeded);
            node.finish_run(index, Outcome::Succeeded);
            node.advance(ms(100));
        }
        node.arrive_and_call(20, 0);
        node.controller.reconfigure(TestNode::controller(second));
        node.controller.reconfigure(TestNode::controller(shared()));
        node.finish_call(20, Outcome::Succeeded);
        node.finish_run(20, Outcome::Succeeded);
        node.advance(ms(100));
        node.take_orders();
        node.arrive_and_call(21, 0);
        assert_eq!(node.count_orders("call_downstream"), 1);
    }
}

/// New settings may make a class with a key non-idempotent: a known repeat is still not run again.
#[test]
fn a_known_repeat_of_a_non_idempotent_request_is_not_run() {
    let mut node = TestNode::new(Settings {
        repeatability: Repeatability::NonIdempotent,
        ..Settings::default()
    });
    node.arrive(
        0,
        Arrival {
            retry_of: rainstand::RetryOf::Finished,
            ..Arrival::default()
        },
    );
    let orders = node.take_orders();
    assert!(
        orders.iter().any(|order| order == "reply_from_cache 0")
            && !orders.iter().any(|order| order == "run 0"),
        "{orders:?}"
    );
}
