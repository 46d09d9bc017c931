//! Hand-written histories with their expected violations, and the single-pass check against a search over all orders.

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

fn ask(at: u64, request: &str, key: &str, body: &str, node: &str) -> String {
    let key = if key.is_empty() {
        String::new()
    } else {
        format!("\"key\":\"{key}\",")
    };
    format!(
        "{{\"at\":{at},\"by\":\"caller-1\",\"op\":\"ask\",\"ticket\":\"{request}\",\"type\":\"register\",{key}\
         \"body\":\"{body}\",\"node\":\"{node}\",\"due\":{}}}",
        at + 100
    )
}

fn end(at: u64, op: &str, request: &str, result: &str) -> String {
    let result = if result.is_empty() {
        String::new()
    } else {
        format!(",\"result\":\"{result}\"")
    };
    format!("{{\"at\":{at},\"by\":\"caller-1\",\"op\":\"{op}\",\"ticket\":\"{request}\"{result}}}")
}

fn ran(at: u64, by: &str, key: &str, body: &str, result: &str) -> String {
    format!(
        "{{\"at\":{at},\"by\":\"agent-{by}\",\"op\":\"ran\",\"key\":\"{key}\",\"body\":\"{body}\",\"result\":\"{result}\"}}"
    )
}

fn parse(lines: &[String]) -> Vec<Observation> {
    read_history(lines.join("\n").as_bytes()).unwrap().0
}

/// Check that found the first violation; empty if there is none.
fn first_violation(lines: &[String]) -> &'static str {
    let verdict = check(&parse(lines));
    let found = verdict.first().map_or("", |violation| violation.check);
    // The order of lines is irrelevant.
    let reversed: Vec<String> = lines.iter().rev().cloned().collect();
    assert_eq!(
        check(&parse(&reversed))
            .first()
            .map_or("", |violation| violation.check),
        found,
        "{lines:#?}"
    );
    found
}

#[test]
fn each_history_reports_the_expected_violation() {
    let ask_n1 = |at: u64, request| ask(at, request, "K", "b", "n1");
    let table: Vec<(&str, Vec<String>)> = vec![
        ("", vec![]),
        (
            "",
            vec![
                ask_n1(1, "a"),
                ran(5, "n1", "K", "b", "R"),
                end(9, "answer", "a", "R"),
            ],
        ),
        ("", vec![ask_n1(1, "a"), end(9, "dismissed", "a", "")]),
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
                ask_n1(1, "a"),
                ran(5, "n1", "K", "b", "R"),
                end(9, "given-up", "a", ""),
            ],
        ),
        ("", vec![ask_n1(1, "a"), end(101, "gone", "a", "")]),
        // A repeat is answered with the result of another request's run, or rejected if that is unknown.
        (
            "",
            vec![
                ask_n1(1, "a"),
                ran(5, "n1", "K", "b", "R"),
                end(9, "given-up", "a", ""),
                ask(20, "r", "K", "b", "n2"),
                end(30, "answer", "r", "R"),
                ask(40, "s", "K", "b", "n3"),
                end(41, "dismissed", "s", ""),
            ],
        ),
        // The first attempt did not run, the repeat did.
        (
            "",
            vec![
                ask_n1(1, "a"),
                end(9, "dismissed", "a", ""),
                ask(20, "r", "K", "b", "n2"),
                ran(25, "n2", "K", "b", "R"),
                end(30, "answer", "r", "R"),
            ],
        ),
        ("answer-missing", vec![ask_n1(1, "a")]),
        (
            "answer-missing",
            vec![ask_n1(1, "a"), ran(5, "n1", "K", "b", "R")],
        ),
        (
            "answer-late",
            vec![ask_n1(1, "a"), end(102, "dismissed", "a", "")],
        ),
        (
            "answer-late",
            vec![ask_n1(1, "a"), end(102, "gone", "a", "")],
        ),
        (
            "answer-twice",
            vec![
                ask_n1(1, "a"),
                end(5, "dismissed", "a", ""),
                end(6, "given-up", "a", ""),
            ],
        ),
        (
            "answer-twice",
            vec![
                ask_n1(1, "a"),
                end(5, "gone", "a", ""),
                end(6, "gone", "a", ""),
            ],
        ),
        ("answer-to-nothing", vec![end(5, "dismissed", "a", "")]),
        (
            "asked-twice",
            vec![ask_n1(1, "a"), ask_n1(2, "a"), end(5, "dismissed", "a", "")],
        ),
        (
            "ran-twice",
            vec![
                ask_n1(1, "a"),
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
                ask_n1(1, "a"),
                ran(5, "n1", "K", "b", "R"),
                end(9, "dismissed", "a", ""),
            ],
        ),
        // It ran after it was rejected.
        (
            "dismissed-though-ran",
            vec![
                ask_n1(1, "a"),
                end(4, "dismissed", "a", ""),
                ran(5, "n1", "K", "b", "R"),
            ],
        ),
        // It ran before the repeat was sent, so the run can only belong to the first request.
        (
            "dismissed-though-ran",
            vec![
                ask_n1(1, "a"),
                ran(5, "n1", "K", "b", "R"),
                end(9, "dismissed", "a", ""),
                ask(20, "r", "K", "b", "n2"),
                end(30, "answer", "r", "R"),
            ],
        ),
        // Both were open, but the agent of the rejected request's node ran it.
        (
            "dismissed-though-ran",
            vec![
                ask_n1(1, "a"),
                ask(2, "r", "K", "b", "n2"),
                ran(5, "n1", "K", "b", "R"),
                end(9, "dismissed", "a", ""),
                end(9, "answer", "r", "R"),
            ],
        ),
        (
            "result-of-no-run",
            vec![ask_n1(1, "a"), end(9, "answer", "a", "R")],
        ),
        (
            "result-of-no-run",
            vec![
                ask_n1(1, "a"),
                ran(5, "n1", "K", "b", "R"),
                end(9, "answer", "a", "Q"),
            ],
        ),
        (
            "result-of-no-run",
            vec![
                ask_n1(1, "a"),
                end(9, "answer", "a", "R"),
                ran(15, "n1", "K", "b", "R"),
            ],
        ),
        // The result of a run with the same key and another body.
        (
            "result-of-no-run",
            vec![
                ask_n1(1, "a"),
                ran(5, "n1", "K", "b", "R"),
                end(9, "answer", "a", "R"),
                ask(20, "r", "K", "other", "n2"),
                end(30, "answer", "r", "R"),
            ],
        ),
        (
            "body-changed",
            vec![
                ask_n1(1, "a"),
                ran(5, "n1", "K", "c", "R"),
                end(9, "given-up", "a", ""),
            ],
        ),
        ("ran-unasked", vec![ran(5, "n1", "K", "b", "R")]),
        (
            "ran-unasked",
            vec![
                ran(5, "n1", "K", "b", "R"),
                ask_n1(6, "a"),
                end(9, "given-up", "a", ""),
            ],
        ),
    ];
    for (expected, lines) in &table {
        assert_eq!(&first_violation(lines), expected, "{lines:#?}");
    }
    // Two contradictory answers for one key: the second is also reported as the result of no run.
    let lines = [
        ask_n1(1, "a"),
        ran(5, "n1", "K", "b", "R"),
        end(9, "answer", "a", "R"),
        ask(20, "r", "K", "b", "n2"),
        end(30, "answer", "r", "Q"),
    ];
    let all: Vec<_> = check(&parse(&lines))
        .violations
        .iter()
        .map(|violation| violation.check)
        .collect();
    assert!(
        all.contains(&"result-contradicted") && all.contains(&"result-of-no-run"),
        "{all:?}"
    );
    let other_type = ask(20, "r", "K", "b", "n2").replace("register", "check");
    let lines = [
        ask_n1(1, "a"),
        ran(5, "n1", "K", "b", "R"),
        end(9, "answer", "a", "R"),
        other_type,
        end(30, "answer", "r", "R"),
    ];
    assert_eq!(first_violation(&lines), "result-of-another-type");
}

#[test]
fn callers_may_use_the_same_request_names() {
    let other = |line: String| line.replace("caller-1", "caller-2");
    let lines = [
        ask(1, "t1", "K", "b", "n1"),
        other(ask(1, "t1", "L", "b", "n1")),
        end(5, "dismissed", "t1", ""),
        other(end(5, "dismissed", "t1", "")),
    ];
    assert_eq!(first_violation(&lines), "");
    assert_eq!(first_violation(&lines[..3]), "answer-missing");
}

#[test]
fn malformed_lines_are_reported_by_number_and_unknown_fields_are_ignored() {
    let valid = ask(1, "a", "K", "b", "n1");
    let table = [
        ("{", "not valid JSON"),
        ("[]", "not a JSON object"),
        ("{\"at\":1,\"by\":\"x\"}", "op"),
        ("{\"by\":\"x\",\"op\":\"ask\"}", "at"),
        (
            "{\"at\":-1,\"by\":\"x\",\"op\":\"gone\",\"ticket\":\"a\"}",
            "u64",
        ),
        (
            "{\"at\":1,\"by\":\"x\",\"op\":\"gone\"}",
            "without a request name",
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
    for (line, reason) in table {
        let text = format!("{valid}\n\n{line}\n");
        let error = read_history(text.as_bytes()).unwrap_err();
        assert!(
            error.line == 3 && error.reason.contains(reason),
            "{line}: {error}"
        );
    }
    assert_eq!(read_history(&[0xff, 0xfe, b'\n'][..]).unwrap_err().line, 1);
    let unknown = "{\"at\":5,\"by\":\"n2\",\"op\":\"act-begin\",\"task\":\"T\",\"fence\":3}";
    let with_unknown_field = valid.replace("\"due\"", "\"colour\":\"blue\",\"due\"");
    let text = format!(
        "{unknown}\n{with_unknown_field}\n{}",
        end(2, "dismissed", "a", "")
    );
    let (observations, lines) = read_history(text.as_bytes()).unwrap();
    assert!(observations.len() == 2 && lines == 3 && check(&observations).violations.is_empty());
}

#[test]
fn arbitrary_bytes_are_read_without_a_panic() {
    let config = ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    };
    proptest!(config, |(bytes: Vec<u8>)| {
        let _ = read_history(&bytes[..]);
    });
}

/// Whether some order of one key's runs and answers, each within its time span, is valid for a register that is written
/// once. Searches all orders.
fn has_linearization(runs: &[(u64, u64)], answers: &[(u64, u64, u64)]) -> bool {
    // A run is a point in time; an answer may take effect at any time from its request to its end. An operation cannot
    // precede one that ended before it began.
    fn search(remaining: &mut Vec<(u64, u64, bool, u64)>, written: Option<u64>) -> bool {
        if remaining.is_empty() {
            return true;
        }
        for index in 0..remaining.len() {
            let operation = remaining[index];
            if remaining.iter().any(|other| other.1 < operation.0) {
                continue;
            }
            let next = if operation.2 {
                written.is_none().then_some(operation.3)
            } else {
                written.filter(|result| *result == operation.3)
            };
            let Some(next) = next else { continue };
            let operation = remaining.remove(index);
            let found = search(remaining, Some(next));
            remaining.insert(index, operation);
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
    search(&mut all, None)
}

#[test]
fn single_pass_check_agrees_with_a_search_over_all_orders() {
    let config = ProptestConfig {
        cases: 20_000,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    };
    let runs = proptest::collection::vec((1u64..40, 0u64..2), 0..3);
    let answers = proptest::collection::vec((0u64..30, 1u64..20, 0u64..2), 0..5);
    proptest!(config, |(runs in runs, answers in answers)| {
        let mut history = Vec::new();
        // The first request is abandoned, so that each run has a request to belong to.
        let sent = |at, request: String| Observation { at, observer: "c".into(), line: 1, event: Event::Requested {
            request, request_class: None, key: Some("K".into()), body: None, node: None, deadline: 1_000 } };
        let ended = |at, request: String, end, result| Observation { at, observer: "c".into(), line: 2,
            event: Event::Ended { request, end, result } };
        history.push(sent(0, "first".into()));
        history.push(ended(900, "first".into(), RequestEnd::Abandoned, None));
        for (at, result) in &runs {
            history.push(Observation { at: *at * 2 + 1, observer: "agent-x".into(), line: 3, event: Event::Ran {
                key: Some("K".into()), body: None, result: Some(result.to_string()) } });
        }
        let mut spans = Vec::new();
        for (index, (from, lasts, result)) in answers.iter().enumerate() {
            history.push(sent(from * 2, format!("t{index}")));
            history.push(ended((from + lasts) * 2, format!("t{index}"), RequestEnd::Served, Some(result.to_string())));
            spans.push((from * 2, (from + lasts) * 2, *result));
        }
        let runs: Vec<(u64, u64)> = runs.iter().map(|(at, result)| (at * 2 + 1, *result)).collect();
        prop_assert_eq!(check(&history).violations.is_empty(), has_linearization(&runs, &spans), "{:#?}", history);
    });
}

#[test]
fn parsed_line_has_the_written_values() {
    let line = ask(7, "t1", "K", "b", "n2");
    let observation = parse_line(3, &line).unwrap().unwrap();
    assert_eq!(
        (
            observation.at,
            observation.line,
            observation.observer.as_str()
        ),
        (7, 3, "caller-1")
    );
    assert!(
        matches!(observation.event, Event::Requested { deadline: 107, node: Some(node), .. } if node == "n2")
    );
}
