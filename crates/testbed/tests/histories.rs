//! Histories by hand, each with what is wrong with it, and the one pass held against a search over all orders.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rainstand_testbed::check::check;
use rainstand_testbed::history::{parse_line, read_history, Event, Observation, RequestEnd};

fn ask(at: u64, ticket: &str, key: &str, body: &str, node: &str) -> String {
    let key = if key.is_empty() {
        String::new()
    } else {
        format!("\"key\":\"{key}\",")
    };
    format!(
        "{{\"at\":{at},\"by\":\"caller-1\",\"op\":\"ask\",\"ticket\":\"{ticket}\",\"type\":\"register\",{key}\
         \"body\":\"{body}\",\"node\":\"{node}\",\"due\":{}}}",
        at + 100
    )
}

fn end(at: u64, op: &str, ticket: &str, result: &str) -> String {
    let result = if result.is_empty() {
        String::new()
    } else {
        format!(",\"result\":\"{result}\"")
    };
    format!("{{\"at\":{at},\"by\":\"caller-1\",\"op\":\"{op}\",\"ticket\":\"{ticket}\"{result}}}")
}

fn ran(at: u64, by: &str, key: &str, body: &str, result: &str) -> String {
    format!(
        "{{\"at\":{at},\"by\":\"agent-{by}\",\"op\":\"ran\",\"key\":\"{key}\",\"body\":\"{body}\",\"result\":\"{result}\"}}"
    )
}

fn seen(lines: &[String]) -> Vec<Observation> {
    read_history(lines.join("\n").as_bytes()).unwrap().0
}

/// What broke first, by its check; empty for nothing.
fn first(lines: &[String]) -> &'static str {
    let verdict = check(&seen(lines));
    let found = verdict.first().map_or("", |broken| broken.check);
    // The order of lines means nothing.
    let turned: Vec<String> = lines.iter().rev().cloned().collect();
    assert_eq!(
        check(&seen(&turned))
            .first()
            .map_or("", |broken| broken.check),
        found,
        "{lines:#?}"
    );
    found
}

#[test]
fn what_each_history_breaks_is_told() {
    let t = |n: u64, ticket| ask(n, ticket, "K", "b", "n1");
    let table: Vec<(&str, Vec<String>)> = vec![
        ("", vec![]),
        (
            "",
            vec![
                t(1, "a"),
                ran(5, "n1", "K", "b", "R"),
                end(9, "answer", "a", "R"),
            ],
        ),
        ("", vec![t(1, "a"), end(9, "dismissed", "a", "")]),
        (
            "",
            vec![
                ask(1, "a", "", "b", "n1"),
                end(9, "answer", "a", "whatever"),
            ],
        ),
        (
            "",
            vec![
                t(1, "a"),
                ran(5, "n1", "K", "b", "R"),
                end(9, "given-up", "a", ""),
            ],
        ),
        ("", vec![t(1, "a"), end(101, "gone", "a", "")]),
        // A repeat is answered by another ticket's run, or dismissed where that is not known.
        (
            "",
            vec![
                t(1, "a"),
                ran(5, "n1", "K", "b", "R"),
                end(9, "given-up", "a", ""),
                ask(20, "r", "K", "b", "n2"),
                end(30, "answer", "r", "R"),
                ask(40, "s", "K", "b", "n3"),
                end(41, "dismissed", "s", ""),
            ],
        ),
        // The first try never ran, the repeat did.
        (
            "",
            vec![
                t(1, "a"),
                end(9, "dismissed", "a", ""),
                ask(20, "r", "K", "b", "n2"),
                ran(25, "n2", "K", "b", "R"),
                end(30, "answer", "r", "R"),
            ],
        ),
        ("answer-missing", vec![t(1, "a")]),
        (
            "answer-missing",
            vec![t(1, "a"), ran(5, "n1", "K", "b", "R")],
        ),
        (
            "answer-late",
            vec![t(1, "a"), end(102, "dismissed", "a", "")],
        ),
        ("answer-late", vec![t(1, "a"), end(102, "gone", "a", "")]),
        (
            "answer-twice",
            vec![
                t(1, "a"),
                end(5, "dismissed", "a", ""),
                end(6, "given-up", "a", ""),
            ],
        ),
        (
            "answer-twice",
            vec![t(1, "a"), end(5, "gone", "a", ""), end(6, "gone", "a", "")],
        ),
        ("answer-to-nothing", vec![end(5, "dismissed", "a", "")]),
        (
            "asked-twice",
            vec![t(1, "a"), t(2, "a"), end(5, "dismissed", "a", "")],
        ),
        (
            "ran-twice",
            vec![
                t(1, "a"),
                ran(5, "n1", "K", "b", "R"),
                end(9, "answer", "a", "R"),
                ask(20, "r", "K", "b", "n2"),
                ran(25, "n2", "K", "b", "R"),
                end(30, "answer", "r", "R"),
            ],
        ),
        (
            "dismissed-though-ran",
            vec![
                t(1, "a"),
                ran(5, "n1", "K", "b", "R"),
                end(9, "dismissed", "a", ""),
            ],
        ),
        // It ran after it was dismissed.
        (
            "dismissed-though-ran",
            vec![
                t(1, "a"),
                end(4, "dismissed", "a", ""),
                ran(5, "n1", "K", "b", "R"),
            ],
        ),
        // The run was before the repeat was asked, so it can only have been the first's.
        (
            "dismissed-though-ran",
            vec![
                t(1, "a"),
                ran(5, "n1", "K", "b", "R"),
                end(9, "dismissed", "a", ""),
                ask(20, "r", "K", "b", "n2"),
                end(30, "answer", "r", "R"),
            ],
        ),
        // Both were open, but the agent of the dismissed one's node ran it.
        (
            "dismissed-though-ran",
            vec![
                t(1, "a"),
                ask(2, "r", "K", "b", "n2"),
                ran(5, "n1", "K", "b", "R"),
                end(9, "dismissed", "a", ""),
                end(9, "answer", "r", "R"),
            ],
        ),
        (
            "result-of-no-run",
            vec![t(1, "a"), end(9, "answer", "a", "R")],
        ),
        (
            "result-of-no-run",
            vec![
                t(1, "a"),
                ran(5, "n1", "K", "b", "R"),
                end(9, "answer", "a", "Q"),
            ],
        ),
        (
            "result-of-no-run",
            vec![
                t(1, "a"),
                end(9, "answer", "a", "R"),
                ran(15, "n1", "K", "b", "R"),
            ],
        ),
        // The result of another body under the same key.
        (
            "result-of-no-run",
            vec![
                t(1, "a"),
                ran(5, "n1", "K", "b", "R"),
                end(9, "answer", "a", "R"),
                ask(20, "r", "K", "other", "n2"),
                end(30, "answer", "r", "R"),
            ],
        ),
        (
            "body-changed",
            vec![
                t(1, "a"),
                ran(5, "n1", "K", "c", "R"),
                end(9, "given-up", "a", ""),
            ],
        ),
        ("ran-unasked", vec![ran(5, "n1", "K", "b", "R")]),
        (
            "ran-unasked",
            vec![
                ran(5, "n1", "K", "b", "R"),
                t(6, "a"),
                end(9, "given-up", "a", ""),
            ],
        ),
    ];
    for (wanted, lines) in &table {
        assert_eq!(&first(lines), wanted, "{lines:#?}");
    }
    // An answer of one key that contradicts another: the second is told for itself.
    let lines = [
        t(1, "a"),
        ran(5, "n1", "K", "b", "R"),
        end(9, "answer", "a", "R"),
        ask(20, "r", "K", "b", "n2"),
        end(30, "answer", "r", "Q"),
    ];
    let all: Vec<_> = check(&seen(&lines))
        .violations
        .iter()
        .map(|broken| broken.check)
        .collect();
    assert!(
        all.contains(&"result-contradicted") && all.contains(&"result-of-no-run"),
        "{all:?}"
    );
    let other_type = ask(20, "r", "K", "b", "n2").replace("register", "check");
    let lines = [
        t(1, "a"),
        ran(5, "n1", "K", "b", "R"),
        end(9, "answer", "a", "R"),
        other_type,
        end(30, "answer", "r", "R"),
    ];
    assert_eq!(first(&lines), "result-of-another-type");
}

#[test]
fn two_callers_may_count_alike() {
    let other = |line: String| line.replace("caller-1", "caller-2");
    let lines = [
        ask(1, "t1", "K", "b", "n1"),
        other(ask(1, "t1", "L", "b", "n1")),
        end(5, "dismissed", "t1", ""),
        other(end(5, "dismissed", "t1", "")),
    ];
    assert_eq!(first(&lines), "");
    assert_eq!(first(&lines[..3]), "answer-missing");
}

#[test]
fn what_cannot_be_read_is_told_with_its_line_and_what_is_unknown_is_passed_over() {
    let good = ask(1, "a", "K", "b", "n1");
    let table = [
        ("{", "no JSON"),
        ("[]", "no JSON object"),
        ("{\"at\":1,\"by\":\"x\"}", "op"),
        ("{\"by\":\"x\",\"op\":\"ask\"}", "at"),
        (
            "{\"at\":-1,\"by\":\"x\",\"op\":\"gone\",\"ticket\":\"a\"}",
            "u64",
        ),
        (
            "{\"at\":1,\"by\":\"x\",\"op\":\"gone\"}",
            "without a ticket",
        ),
        (
            "{\"at\":1,\"by\":\"x\",\"op\":\"ask\",\"ticket\":\"a\"}",
            "due",
        ),
        (
            "{\"at\":1,\"by\":\"x\",\"op\":\"answer\",\"ticket\":7}",
            "string",
        ),
    ];
    for (line, why) in table {
        let text = format!("{good}\n\n{line}\n");
        let refused = read_history(text.as_bytes()).unwrap_err();
        assert!(
            refused.line == 3 && refused.reason.contains(why),
            "{line}: {refused}"
        );
    }
    assert_eq!(read_history(&[0xff, 0xfe, b'\n'][..]).unwrap_err().line, 1);
    let unknown = "{\"at\":5,\"by\":\"n2\",\"op\":\"act-begin\",\"task\":\"T\",\"fence\":3}";
    let more = good.replace("\"due\"", "\"colour\":\"blue\",\"due\"");
    let text = format!("{unknown}\n{more}\n{}", end(2, "dismissed", "a", ""));
    let (seen, lines) = read_history(text.as_bytes()).unwrap();
    assert!(seen.len() == 2 && lines == 3 && check(&seen).violations.is_empty());
}

#[test]
fn any_bytes_are_read_or_refused() {
    let config = ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    };
    proptest!(config, |(bytes: Vec<u8>)| {
        let _ = read_history(&bytes[..]);
    });
}

/// Whether some order of one key's run and answers, each within its time, is that of a register written once. Tries
/// them all.
fn some_order(runs: &[(u64, u64)], answers: &[(u64, u64, u64)]) -> bool {
    // The run is a point; an answer may stand anywhere between its asking and its end, and a point behind a point
    // that is later in time may not come first.
    fn go(left: &mut Vec<(u64, u64, bool, u64)>, written: Option<u64>) -> bool {
        if left.is_empty() {
            return true;
        }
        for k in 0..left.len() {
            let one = left[k];
            if left.iter().any(|other| other.1 < one.0) {
                continue;
            }
            let next = if one.2 {
                written.is_none().then_some(one.3)
            } else {
                written.filter(|w| *w == one.3)
            };
            let Some(next) = next else { continue };
            let one = left.remove(k);
            let found = go(left, Some(next));
            left.insert(k, one);
            if found {
                return true;
            }
        }
        false
    }
    let mut all: Vec<(u64, u64, bool, u64)> = runs
        .iter()
        .map(|(at, result)| (*at, *at, true, *result))
        .collect();
    all.extend(
        answers
            .iter()
            .map(|(from, until, result)| (*from, *until, false, *result)),
    );
    go(&mut all, None)
}

#[test]
fn the_one_pass_says_what_a_search_over_all_orders_says() {
    let config = ProptestConfig {
        cases: 20_000,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    };
    let runs = proptest::collection::vec((1u64..40, 0u64..2), 0..3);
    let answers = proptest::collection::vec((0u64..30, 1u64..20, 0u64..2), 0..5);
    proptest!(config, |(runs in runs, answers in answers)| {
        let mut history = Vec::new();
        // Somebody asked first and never heard, so that no run is nobody's.
        let asked = |at, ticket: String| Observation { at, observer: "c".into(), line: 1, event: Event::Requested {
            request: ticket, request_class: None, key: Some("K".into()), body: None, node: None, deadline: 1_000 } };
        let ended = |at, ticket: String, end, result| Observation { at, observer: "c".into(), line: 2,
            event: Event::Ended { request: ticket, end, result } };
        history.push(asked(0, "first".into()));
        history.push(ended(900, "first".into(), RequestEnd::Abandoned, None));
        for (at, result) in &runs {
            history.push(Observation { at: *at * 2 + 1, observer: "agent-x".into(), line: 3, event: Event::Ran {
                key: Some("K".into()), body: None, result: Some(result.to_string()) } });
        }
        let mut spans = Vec::new();
        for (k, (from, lasts, result)) in answers.iter().enumerate() {
            history.push(asked(from * 2, format!("t{k}")));
            history.push(ended((from + lasts) * 2, format!("t{k}"), RequestEnd::Served, Some(result.to_string())));
            spans.push((from * 2, (from + lasts) * 2, *result));
        }
        let runs: Vec<(u64, u64)> = runs.iter().map(|(at, result)| (at * 2 + 1, *result)).collect();
        prop_assert_eq!(check(&history).violations.is_empty(), some_order(&runs, &spans), "{:#?}", history);
    });
}

#[test]
fn a_line_is_read_as_it_is_written() {
    let line = ask(7, "t1", "K", "b", "n2");
    let seen = parse_line(3, &line).unwrap().unwrap();
    assert_eq!(
        (seen.at, seen.line, seen.observer.as_str()),
        (7, 3, "caller-1")
    );
    assert!(
        matches!(seen.event, Event::Requested { deadline: 107, node: Some(node), .. } if node == "n2")
    );
}
