//! Thrift frames of clients and servers, byte for byte as written by the version that introduced each.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_golden_files::{assert_bytes, read_bytes, NamedBytes};
use rainstand_protocol::thrift::{
    answer, answered, backoff, exception, give_up, give_up_args, lost, message, probe, probe_args,
    process, process_again, process_args, shutdown, ProcessArgs, What,
};

const FILE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/thrift.hex");
const FIELDS: [(&str, &str); 3] = [
    ("route", "check"),
    ("trace", "0123456789abcdef"),
    ("customer", "acme"),
];

fn frames() -> Vec<(&'static str, Vec<u8>)> {
    let call = process(7, &FIELDS, b"\0body");
    let forwarded = process_again(9, message(&call[4..]).unwrap().args);
    vec![
        ("process", call),
        ("process-again", forwarded),
        ("give-up", give_up(7)),
        ("probe", probe(8, true)),
        ("answer", answer(b"process", 7, b"result", true)),
        ("answer-probe", answer(b"probe", 8, b"", false)),
        ("backoff", backoff(7, &[("pause", "250"), ("final", "1")])),
        ("lost", lost(7)),
        ("exception", exception(b"process", 7, 7, "no route")),
        ("shutdown", shutdown()),
    ]
}

#[test]
fn written_frames_match_the_golden_file() {
    let written = frames()
        .into_iter()
        .map(|(name, bytes)| NamedBytes::new(name, bytes));
    assert_bytes(FILE, &written.collect::<Vec<_>>());
}

#[test]
fn frames_of_the_golden_file_are_read() {
    let stored = read_bytes(FILE);
    let frame = |name: &str| &stored.iter().find(|one| one.name == name).unwrap().bytes[4..];
    for (name, seq) in [("process", 7), ("process-again", 9)] {
        let call = message(frame(name)).unwrap();
        assert_eq!(
            (call.name, call.seq, call.oneway),
            (&b"process"[..], seq, false)
        );
        let ProcessArgs { fields, body } = process_args(call.args).unwrap();
        let expected: Vec<_> = FIELDS
            .iter()
            .map(|(key, value)| (key.as_bytes(), value.as_bytes()))
            .collect();
        assert_eq!((fields, body), (Some(expected), Some(&b"\0body"[..])));
    }
    assert_eq!(
        give_up_args(message(frame("give-up")).unwrap().args),
        Ok(Some(7))
    );
    assert_eq!(probe_args(message(frame("probe")).unwrap().args), Ok(true));
    assert!(message(frame("shutdown")).unwrap().oneway);
    let read_answer = |name| answered(frame(name)).unwrap().what;
    assert_eq!(
        read_answer("answer"),
        What::Answer {
            body: b"result",
            good: true
        }
    );
    assert_eq!(
        read_answer("answer-probe"),
        What::Answer {
            body: b"",
            good: false
        }
    );
    assert_eq!(
        read_answer("backoff"),
        What::Backoff(vec![(b"pause", b"250"), (b"final", b"1")])
    );
    assert_eq!(read_answer("lost"), What::Lost);
    assert_eq!(
        read_answer("exception"),
        What::Exception {
            code: 7,
            why: b"no route"
        }
    );
}
