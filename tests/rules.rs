//! The four rules, each by a table of cases.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

mod common;

use common::{ms, shared, Rig, Settings};
use rainstand::{Arrival, ColdStart, Outcome, Repeatability, RetryOf};

fn tries(patience: Option<u64>, waited: u64) -> Arrival {
    Arrival {
        caller_timeout: patience.map(ms),
        waited: ms(waited),
        ..Arrival::default()
    }
}

#[test]
fn each_request_is_answered_before_its_deadline() {
    // (patience, waited unread, due this long after its reading)
    for (patience, waited, due) in [
        (Some(900), 0, 900),
        (Some(300), 4_000, 300),
        (None, 1_000, 4_000),
    ] {
        // Held: the cores are taken by two runs that never end.
        let mut rig = Rig::new(Settings::default());
        rig.pass(ms(40));
        rig.tenant(0, 0);
        rig.tenant(1, 0);
        rig.take();
        rig.arrive(2, tries(patience, waited));
        rig.pass(ms(due - 20));
        assert_eq!(rig.count("reject 2"), 1, "held: {patience:?} {waited}");
        // Running, and at a call that was made or still stands.
        for at_call in [false, true] {
            let mut rig = Rig::new(Settings::default()).at(0.0);
            rig.pass(ms(40));
            rig.arrive(0, tries(patience, waited));
            assert_eq!(rig.count("run 0"), 1, "{patience:?} {waited}");
            if at_call {
                rig.at_call(0);
                assert_eq!(rig.count("call_downstream 0"), 1);
            }
            rig.pass(ms(due - 80));
            assert_eq!(
                rig.count("fail 0"),
                0,
                "not before it must: {patience:?} {waited}"
            );
            rig.pass(ms(60));
            assert_eq!(
                rig.count("fail 0"),
                1,
                "{patience:?} {waited} at a call: {at_call}"
            );
        }
    }
}

#[test]
fn a_request_past_its_deadline_when_read_is_rejected_and_its_cached_result_discarded() {
    for repeats in [
        Repeatability::Idempotent,
        Repeatability::NonIdempotent,
        Repeatability::IdempotentWithKey(ms(3_000)),
    ] {
        for a in [tries(Some(20), 0), tries(None, 4_990), tries(None, 9_000)] {
            let mut rig = Rig::new(Settings {
                repeats,
                ..Settings::default()
            });
            rig.arrive(0, a);
            let orders = rig.take().join(", ");
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
    for repeat in [RetryOf::Of(0), RetryOf::Past] {
        let mut rig = Rig::new(Settings {
            repeats: window,
            ..Settings::default()
        })
        .at(0.0);
        rig.arrive(0, tries(None, 500));
        // Kept for what is left of the window, counted from its arrival.
        assert_eq!(rig.take()[1..], ["cache_result 0 2540", "run 0"]);
        if repeat == RetryOf::Past {
            rig.end(0, Outcome::Succeeded);
            rig.take();
        }
        rig.arrive(
            1,
            Arrival {
                retry_of: repeat,
                ..Arrival::default()
            },
        );
        assert_eq!(rig.take(), ["reply_from_cache 1"]);
        rig.pass(ms(4_980));
        let orders = rig.take().join(", ");
        assert!(orders.contains("fail 1"), "{orders}");
        assert!(
            !orders.contains("run 1") && !orders.contains("reject 1"),
            "{orders}"
        );
    }
}

#[test]
fn a_non_repeatable_request_that_ran_fails_and_is_never_rejected() {
    for repeats in [
        Repeatability::NonIdempotent,
        Repeatability::IdempotentWithKey(ms(3_000)),
    ] {
        let mut rig = Rig::new(Settings {
            repeats,
            ..Settings::default()
        });
        rig.tenant(0, 0);
        rig.pass(ms(5_000));
        let mut orders = rig.take();
        orders.retain(|o| o.ends_with(" 0"));
        assert_eq!(orders, ["run 0", "fail 0", "cancel_run 0"]);
        rig.end(0, Outcome::Cancelled);
        assert_eq!(rig.take(), ["release 0"]);
    }
}

#[test]
fn a_call_is_repeated_only_where_that_is_safe() {
    // (repeats, degraded_share, outcome, next order)
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
    for (repeats, degraded_share, outcome, next) in cases {
        let mut rig = Rig::new(Settings {
            repeats,
            degraded_share,
            ..Settings::default()
        });
        rig.calling(0, 0);
        rig.take();
        rig.call_ended(0, outcome);
        assert_eq!(
            rig.count(next),
            1,
            "{repeats:?} {degraded_share} {outcome:?}"
        );
    }
}

#[test]
fn a_stopping_node_runs_nothing_past_its_grace_and_answers_all() {
    // (reached the machine so long after the notice, runs)
    for (after, runs) in [(1_900u64, 1), (2_020, 0)] {
        let mut rig = Rig::new(Settings::default());
        rig.tenant(9, 0);
        rig.take();
        rig.node
            .on_shutdown_notice(rig.now, &mut rig.orders, ms(4_000));
        assert_eq!(rig.take(), ["set_health false", "advertise_load 1"]);
        rig.pass(ms(2_500));
        rig.take();
        rig.arrive(0, tries(None, 2_500 - after));
        assert_eq!(rig.count("run 0"), runs, "{after}");
        rig.pass(ms(1_440));
        let orders = rig.take();
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
    // (factor, born cold, most that run with the gauge idle all along)
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
    for (factor, cold, most) in cases {
        let mut rig = Rig::new(Settings {
            factor,
            cold,
            ..Settings::default()
        })
        .at(0.0);
        (0..60).for_each(|ix| rig.tenant(ix, 0));
        rig.pass(ms(900));
        let ran = rig.count("run");
        assert!(ran >= 2 && ran <= most, "{factor} {cold:?}: {ran}");
    }
}

#[test]
fn memory_use_never_exceeds_its_bound() {
    // 20 kB a request held, 80 kB running, of 200 kB; four fifths are used.
    let mut rig = Rig::new(Settings {
        memory_kb: 200.0,
        ..Settings::default()
    })
    .at(0.0);
    let (mut held, mut ran) = (0usize, 0usize);
    for ix in 0..20 {
        rig.tenant(ix, 0);
        let orders = rig.take();
        let count = |order: &str| orders.iter().filter(|o| o.starts_with(order)).count();
        held = held + 1 - count("reject") - count("run");
        ran += count("run");
        assert!(held * 20 + ran * 80 <= 200, "{held} held, {ran} running");
    }
    assert_eq!(ran, 2);
}

/// Full days of mvd-reparti: the ledger, up to eight times slower, held more than all shares add up to for
/// five seconds, as each node of 212 with a share of 0.54 held one call for as long as its request had time.
#[test]
fn downstream_usage_stays_below_the_nodes_share_in_every_window() {
    let (over, lingers) = (ms(5_000), ms(200));
    for share in [0.3, 0.54, 1.0, 4.0] {
        // (how long calls take, or none that ever comes back)
        for takes in [Some(15), Some(400), None] {
            let told = shared(share, over, lingers);
            let (repeats, degraded_share) = (Repeatability::Idempotent, 0.5);
            let mut rig = Rig::new(Settings {
                share: told,
                repeats,
                degraded_share,
                ..Settings::default()
            })
            .at(0.0);
            let (mut out, mut held) = (Vec::<(usize, u64)>::new(), Vec::<(u64, u64)>::new());
            let mut stalled = vec![false; 1_000];
            for ix in 0..1_000 {
                rig.tenant(ix, 0);
                rig.pass(ms(20));
                let now = rig.now.as_millis() as u64;
                for order in rig.take() {
                    let mut words = order
                        .split(' ')
                        .skip(1)
                        .map(|word| word.parse::<u64>().unwrap_or(0));
                    let ix = words.next().unwrap_or(0) as usize;
                    if order.starts_with("call_downstream ") {
                        let until = words.next().unwrap();
                        let back = takes.filter(|takes| now + takes <= until);
                        let stays = back.map_or(until + 200, |takes| now + takes);
                        held.push((now, stays));
                        out.push((ix, back.map_or(until, |takes| now + takes)));
                    } else if order.starts_with("reply_degraded") {
                        rig.end(ix, Outcome::Succeeded);
                    } else if order.starts_with("run ")
                        && !std::mem::replace(&mut stalled[ix], true)
                    {
                        rig.at_call(ix);
                    }
                }
                let (due, still): (Vec<_>, Vec<_>) = out.drain(..).partition(|call| call.1 <= now);
                out = still;
                for (ix, _) in due {
                    rig.call_ended(
                        ix,
                        if takes.is_some() {
                            Outcome::Succeeded
                        } else {
                            Outcome::TimedOut
                        },
                    );
                    if takes.is_some() {
                        rig.end(ix, Outcome::Succeeded);
                    }
                }
            }
            assert!(
                held.len() > 2,
                "calls are made all along: {share} {takes:?}"
            );
            let most = (0..2_000).map(|tenth| {
                let (from, to) = (10_000 + tenth * 10, 15_000 + tenth * 10);
                let within = |&(a, b): &(u64, u64)| b.min(to).saturating_sub(a.max(from));
                held.iter().map(within).sum::<u64>()
            });
            let most = most.max().unwrap() as f64 / 5_000.0;
            assert!(
                most <= share,
                "{most} held in a mean, of {share}: {takes:?}"
            );
        }
    }
}
