//! How scripts select the reaction to a call, and the errors of invalid scripts.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use nanorand::WyRand;
use rainstand_test_servers::script::{Behaviour, Script};
use std::time::Duration;

const MS: fn(u64) -> Duration = Duration::from_millis;

#[test]
fn last_matching_line_determines_the_behaviour() {
    let script = Script::read(
        "cores 3\nhonour after 5ms..20ms # usual\nroute register reset\nfrom 3s to 5s silent\nevery 4 twice after 1ms\n\
         from 9s refuse\nfrom 7s to 8s dismiss pause 300ms nowhere-else",
    )
    .unwrap();
    let mut random = WyRand::new_seed(1);
    let mut behaviour =
        |ms: u64, class: &str, n: u64| script.reaction(MS(ms), class, n, &mut random).behaviour;
    assert_eq!(behaviour(0, "check", 1), Behaviour::Serve);
    assert_eq!(behaviour(0, "register", 1), Behaviour::Reset);
    assert_eq!(behaviour(3_000, "register", 1), Behaviour::Silent);
    assert_eq!(behaviour(3_000, "check", 8), Behaviour::AnswerTwice);
    assert_eq!(
        behaviour(7_999, "check", 8),
        Behaviour::Reject {
            retry_after: MS(300),
            nowhere_else: true
        }
    );
    assert_eq!(
        (
            script.refuses(MS(8_999)),
            script.refuses(MS(9_000)),
            script.cores
        ),
        (false, true, 3)
    );
    let delay = script.reaction(MS(1), "check", 1, &mut random).delay;
    assert!((MS(5)..=MS(20)).contains(&delay), "{delay:?}");
}

#[test]
fn share_selects_that_fraction_of_calls() {
    let script = Script::read("share 10% fail").unwrap();
    let mut random = WyRand::new_seed(2);
    let failed = (1..=10_000)
        .filter(|n| script.reaction(MS(0), "check", *n, &mut random).behaviour == Behaviour::Fail)
        .count();
    assert!((900..1_100).contains(&failed), "{failed}");
}

#[test]
fn delay_about_a_time_has_that_mean() {
    let script = Script::read("honour after about 20ms").unwrap();
    let mut random = WyRand::new_seed(3);
    let sum: Duration = (1..=4_000)
        .map(|call| script.reaction(MS(0), "check", call, &mut random).delay)
        .sum();
    assert!(
        (MS(19)..MS(21)).contains(&(sum / 4_000)),
        "{:?}",
        sum / 4_000
    );
}

#[test]
fn script_error_states_its_line_and_cause() {
    let table = [
        ("honour\n\nfrom 2s", "line 3: missing behaviour"),
        ("honour after 5", "line 1: `5` is not a valid time"),
        ("share 130% fail", "line 1: the share is not between"),
        ("share ten fail", "line 1: missing share, such as 10%"),
        (
            "every 0 fail",
            "line 1: `every` needs a number of at least 1",
        ),
        (
            "honour after 9ms..5ms",
            "line 1: the range after `after` is reversed",
        ),
        ("silent now", "line 1: unexpected `now`"),
        (
            "cores many",
            "line 1: `many` is not a valid number of cores",
        ),
        ("from 5s to 3s cut", "line 1: `from` is not before"),
        ("dismiss pause", "line 1: missing time, such as"),
    ];
    for (text, expected) in table {
        let error = Script::read(text).unwrap_err().to_string();
        assert!(error.starts_with(expected), "{text}: {error}");
    }
}
