//! The four invariants, each checked by a table of cases.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

mod common;

use common::{ms, shared, Settings, TestNode};
use rainstand::{Arrival, ColdStart, Outcome, Repeatability, RetryOf};

fn arrival(timeout_ms: Option<u64>, waited_ms: u64) -> Arrival {
    Arrival {
        caller_timeout: timeout_ms.map(ms),
        waited: ms(waited_ms),
        ..Arrival::default()
    }
}

#[test]
fn each_request_is_answered_before_its_deadline() {
    // (caller's timeout, wait before it was read, deadline after it was read), in ms
    for (timeout_ms, waited_ms, deadline_ms) in [
        (Some(900), 0, 900),
        (Some(300), 4_000, 300),
        (None, 1_000, 4_000),
    ] {
        // Queued: both cores are occupied by runs that never end.
        let mut node = TestNode::new(Settings::default());
        node.advance(ms(40));
        node.arrive_from_tenant(0, 0);
        node.arrive_from_tenant(1, 0);
        node.take_orders();
        node.arrive(2, arrival(timeout_ms, waited_ms));
        node.advance(ms(deadline_ms - 20));
        assert_eq!(
            node.count_orders("reject 2"),
            1,
            "queued: {timeout_ms:?} {waited_ms}"
        );
        // Running, and with a downstream call in progress.
        for is_calling in [false, true] {
            let mut node = TestNode::new(Settings::default()).with_cores_busy(0.0);
            node.advance(ms(40));
            node.arrive(0, arrival(timeout_ms, waited_ms));
            assert_eq!(node.count_orders("run 0"), 1, "{timeout_ms:?} {waited_ms}");
            if is_calling {
                node.request_call(0);
                assert_eq!(node.count_orders("call_downstream 0"), 1);
            }
            node.advance(ms(deadline_ms - 80));
            assert_eq!(
                node.count_orders("fail 0"),
                0,
                "not before the deadline: {timeout_ms:?} {waited_ms}"
            );
            node.advance(ms(60));
            assert_eq!(
                node.count_orders("fail 0"),
                1,
                "{timeout_ms:?} {waited_ms}, call in progress: {is_calling}"
            );
        }
    }
}

#[test]
fn a_request_past_its_deadline_when_read_is_rejected_and_its_cached_result_discarded() {
    for repeatability in [
        Repeatability::Idempotent,
        Repeatability::NonIdempotent,
        Repeatability::IdempotentWithKey(ms(3_000)),
    ] {
        for arrival in [
            arrival(Some(20), 0),
            arrival(None, 4_990),
            arrival(None, 9_000),
        ] {
            let mut node = TestNode::new(Settings {
                repeatability,
                ..Settings::default()
            });
            node.arrive(0, arrival);
            let orders = node.take_orders().join(", ");
            assert!(orders.ends_with("reject 0 1000, release 0"), "{orders}");
            assert_eq!(
                orders.contains("cache_result 0 3040"),
                orders.contains("discard_result 0"),
                "{orders}"
            );
        }
    }
}

#[test]
fn a_repeat_of_a_keyed_request_never_runs_and_is_never_rejected() {
    let window = Repeatability::IdempotentWithKey(ms(3_000));
    for repeat in [RetryOf::Of(0), RetryOf::Finished] {
        let mut node = TestNode::new(Settings {
            repeatability: window,
            ..Settings::default()
        })
        .with_cores_busy(0.0);
        node.arrive(0, arrival(None, 500));
        // Cached for the rest of the window, which starts when the request reached the machine.
        assert_eq!(node.take_orders()[1..], ["cache_result 0 2540", "run 0"]);
        if repeat == RetryOf::Finished {
            node.finish_run(0, Outcome::Succeeded);
            node.take_orders();
        }
        node.arrive(
            1,
            Arrival {
                retry_of: repeat,
                ..Arrival::default()
            },
        );
        assert_eq!(node.take_orders(), ["reply_from_cache 1"]);
        node.advance(ms(4_980));
        let orders = node.take_orders().join(", ");
        assert!(orders.contains("fail 1"), "{orders}");
        assert!(
            !orders.contains("run 1") && !orders.contains("reject 1"),
            "{orders}"
        );
    }
}

#[test]
fn a_non_repeatable_request_that_ran_fails_and_is_never_rejected() {
    for repeatability in [
        Repeatability::NonIdempotent,
        Repeatability::IdempotentWithKey(ms(3_000)),
    ] {
        let mut node = TestNode::new(Settings {
            repeatability,
            ..Settings::default()
        });
        node.arrive_from_tenant(0, 0);
        node.advance(ms(5_000));
        let mut orders = node.take_orders();
        orders.retain(|order| order.ends_with(" 0"));
        assert_eq!(orders, ["run 0", "fail 0", "cancel_run 0"]);
        node.finish_run(0, Outcome::Cancelled);
        assert_eq!(node.take_orders(), ["release 0"]);
    }
}

#[test]
fn a_call_is_retried_only_if_that_is_safe() {
    // (repeatability, degraded_share, outcome of the call, next order)
    let cases = [
        (
            Repeatability::NonIdempotent,
            0.0,
            Outcome::Rejected,
            "call_downstream 0",
        ),
        (
            Repeatability::NonIdempotent,
            0.0,
            Outcome::Unreachable,
            "call_downstream 0",
        ),
        (Repeatability::NonIdempotent, 0.0, Outcome::Failed, "fail 0"),
        (
            Repeatability::NonIdempotent,
            0.0,
            Outcome::TimedOut,
            "fail 0",
        ),
        (
            Repeatability::IdempotentWithKey(ms(3_000)),
            0.0,
            Outcome::Disconnected,
            "fail 0",
        ),
        (
            Repeatability::IdempotentWithKey(ms(3_000)),
            0.5,
            Outcome::Disconnected,
            "reply_degraded 0",
        ),
        (
            Repeatability::Idempotent,
            0.0,
            Outcome::TimedOut,
            "call_downstream 0",
        ),
        (
            Repeatability::Idempotent,
            0.5,
            Outcome::Failed,
            "call_downstream 0",
        ),
    ];
    for (repeatability, degraded_share, outcome, next) in cases {
        let mut node = TestNode::new(Settings {
            repeatability,
            degraded_share,
            ..Settings::default()
        });
        node.arrive_and_call(0, 0);
        node.take_orders();
        node.finish_call(0, outcome);
        assert_eq!(
            node.count_orders(next),
            1,
            "{repeatability:?} {degraded_share} {outcome:?}"
        );
    }
}

#[test]
fn a_draining_node_runs_no_request_after_the_grace_period_and_answers_all() {
    // (time in ms from the notice until the request reached the machine, number of runs)
    for (after_ms, runs) in [(1_900u64, 1), (2_020, 0)] {
        let mut node = TestNode::new(Settings::default());
        node.arrive_from_tenant(9, 0);
        node.take_orders();
        node.controller
            .on_shutdown_notice(node.now, &mut node.orders, ms(4_000));
        assert_eq!(node.take_orders(), ["set_health false", "advertise_load 1"]);
        node.advance(ms(2_500));
        node.take_orders();
        node.arrive(0, arrival(None, 2_500 - after_ms));
        assert_eq!(node.count_orders("run 0"), runs, "{after_ms}");
        node.advance(ms(1_440));
        let orders = node.take_orders();
        assert!(orders.contains(&"fail 9".to_string()), "{orders:?}");
        assert_eq!(
            orders.contains(&"fail 0".to_string()),
            runs == 1,
            "{orders:?}"
        );
    }
}

#[test]
fn concurrency_stays_below_the_survivable_ceiling() {
    // (overload factor, cold start, highest number of runs while the cores gauge reads idle)
    let cases = [
        (6.0, None, 6),
        (1.5, None, 2),
        (
            6.0,
            Some(ColdStart {
                began: ms(1_000),
                initial_speed: 0.2,
                warm_up: ms(1_000_000),
            }),
            3,
        ),
    ];
    for (overload_factor, cold_start, max_running) in cases {
        let mut node = TestNode::new(Settings {
            overload_factor,
            cold_start,
            ..Settings::default()
        })
        .with_cores_busy(0.0);
        (0..60).for_each(|index| node.arrive_from_tenant(index, 0));
        node.advance(ms(900));
        let ran = node.count_orders("run");
        assert!(
            ran >= 2 && ran <= max_running,
            "{overload_factor} {cold_start:?}: {ran}"
        );
    }
}

#[test]
fn memory_use_never_exceeds_its_bound() {
    // A queued request takes 20 KiB, a running one 80 KiB; four fifths of 200 KiB may be used.
    let mut node = TestNode::new(Settings {
        memory_kb: 200.0,
        ..Settings::default()
    })
    .with_cores_busy(0.0);
    let (mut queued, mut running) = (0usize, 0usize);
    for index in 0..20 {
        node.arrive_from_tenant(index, 0);
        let orders = node.take_orders();
        let count = |prefix: &str| orders.iter().filter(|o| o.starts_with(prefix)).count();
        queued = queued + 1 - count("reject") - count("run");
        running += count("run");
        assert!(
            queued * 20 + running * 80 <= 200,
            "{queued} queued, {running} running"
        );
    }
    assert_eq!(running, 2);
}

/// Guards against a call that occupies the downstream tier for as long as its request has time. On full days of the
/// simulated site mvd-reparti, the ledger was up to eight times slower than usual, and each of 212 nodes with a share
/// of 0.54 made one such call: together they occupied more than the sum of all shares over five seconds.
#[test]
fn downstream_usage_stays_below_the_nodes_share_in_every_window() {
    let (window, linger) = (ms(5_000), ms(200));
    for share in [0.3, 0.54, 1.0, 4.0] {
        // Time that calls take, in ms; `None`: calls never return.
        for call_ms in [Some(15), Some(400), None] {
            let downstream_share = shared(share, window, linger);
            let (repeatability, degraded_share) = (Repeatability::Idempotent, 0.5);
            let mut node = TestNode::new(Settings {
                share: downstream_share,
                repeatability,
                degraded_share,
                ..Settings::default()
            })
            .with_cores_busy(0.0);
            let (mut calls, mut occupied) = (Vec::<(usize, u64)>::new(), Vec::<(u64, u64)>::new());
            let mut has_called = vec![false; 1_000];
            for index in 0..1_000 {
                node.arrive_from_tenant(index, 0);
                node.advance(ms(20));
                let now = node.now.as_millis() as u64;
                for order in node.take_orders() {
                    let mut words = order
                        .split(' ')
                        .skip(1)
                        .map(|word| word.parse::<u64>().unwrap_or(0));
                    let index = words.next().unwrap_or(0) as usize;
                    if order.starts_with("call_downstream ") {
                        let deadline = words.next().unwrap();
                        let in_time = call_ms.filter(|call_ms| now + call_ms <= deadline);
                        let occupied_until =
                            in_time.map_or(deadline + 200, |call_ms| now + call_ms);
                        occupied.push((now, occupied_until));
                        calls.push((index, in_time.map_or(deadline, |call_ms| now + call_ms)));
                    } else if order.starts_with("reply_degraded") {
                        node.finish_run(index, Outcome::Succeeded);
                    } else if order.starts_with("run ")
                        && !std::mem::replace(&mut has_called[index], true)
                    {
                        node.request_call(index);
                    }
                }
                let (ended, pending): (Vec<_>, Vec<_>) =
                    calls.drain(..).partition(|call| call.1 <= now);
                calls = pending;
                for (index, _) in ended {
                    node.finish_call(
                        index,
                        if call_ms.is_some() {
                            Outcome::Succeeded
                        } else {
                            Outcome::TimedOut
                        },
                    );
                    if call_ms.is_some() {
                        node.finish_run(index, Outcome::Succeeded);
                    }
                }
            }
            assert!(occupied.len() > 2, "too few calls: {share} {call_ms:?}");
            let window_sums = (0..2_000).map(|window| {
                let (from, to) = (10_000 + window * 10, 15_000 + window * 10);
                let within = |&(a, b): &(u64, u64)| b.min(to).saturating_sub(a.max(from));
                occupied.iter().map(within).sum::<u64>()
            });
            let max_mean = window_sums.max().unwrap() as f64 / 5_000.0;
            assert!(
                max_mean <= share,
                "mean of {max_mean} calls in the worst window exceeds the share of {share}: {call_ms:?}"
            );
        }
    }
}
