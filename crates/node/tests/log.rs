//! Log lines: their text format, their JSON format, and the rate limit.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_node::log::{
    EventScope, LogFormat, LogLayer, RateLimiter, MAX_BURST, RESERVED_BURST,
};
use rainstand_node::{log_event, log_frequent};
use std::time::Instant;
use tracing_subscriber::layer::SubscriberExt;

thread_local! {
    static WRITTEN: std::cell::RefCell<Vec<String>> = const { std::cell::RefCell::new(Vec::new()) };
}

#[test]
fn events_are_written_as_text_and_as_json() {
    let write = |line: &str| WRITTEN.with(|written| written.borrow_mut().push(line.to_owned()));
    for format in [LogFormat::Text, LogFormat::Json] {
        let layer = LogLayer::with_writer(format, write);
        let subscriber = tracing_subscriber::registry().with(layer);
        tracing::subscriber::with_default(subscriber, || {
            log_event!("connection_end", "end", conn = 7, code = "eof", open = 0);
            log_event!(
                "agent_refused",
                "agent refused",
                what = "launch",
                req = "0a\nb".escape_debug()
            );
            log_frequent!("announce_down", "announce down", why = "connection refused");
        });
    }
    let written = WRITTEN.take();
    assert_eq!(
        written[..3],
        [
            "end conn=7 code=eof open=0",
            "agent refused launch req=0a\\nb",
            "announce down: connection refused"
        ]
    );
    let objects: Vec<serde_json::Value> = written[3..]
        .iter()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    assert_eq!(
        (
            &objects[0]["event"],
            &objects[0]["conn"],
            &objects[0]["code"]
        ),
        (&"connection_end".into(), &7.into(), &"eof".into())
    );
    assert_eq!(
        (
            &objects[2]["why"],
            objects[2]["at_ms"].as_u64() > Some(1_700_000_000_000)
        ),
        (&"connection refused".into(), true)
    );
}

#[test]
fn lines_over_the_rate_limit_are_counted_and_not_written() {
    let (limiter, start) = (RateLimiter::new(), Instant::now());
    let written = (0..1_000)
        .filter(|_| limiter.acquire(start, EventScope::Single).is_some())
        .count();
    assert_eq!(written, (MAX_BURST - RESERVED_BURST) as usize);
    // A flood of single events leaves tokens for events about the whole node.
    assert_eq!(
        limiter.acquire(start, EventScope::Node),
        Some(1_000 - written as u64)
    );
    assert_eq!(
        (1..1_000)
            .filter(|_| limiter.acquire(start, EventScope::Node).is_some())
            .count(),
        RESERVED_BURST as usize - 1
    );
}
