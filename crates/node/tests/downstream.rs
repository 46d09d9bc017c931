//! Tests of the outcome that a downstream reply proves.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand::Outcome;
use rainstand_node::downstream::outcome;
use rainstand_node::http;

#[test]
fn only_the_never_started_header_proves_that_nothing_ran() {
    let cases = [
        (200, false, Outcome::Succeeded),
        (503, true, Outcome::Rejected),
        (409, true, Outcome::NeverStarted),
        (503, false, Outcome::Failed),
        (500, false, Outcome::Failed),
        (504, false, Outcome::TimedOut),
        (302, false, Outcome::Failed),
        // If the status contradicts the header, nothing is proved.
        (500, true, Outcome::Failed),
        (504, true, Outcome::TimedOut),
    ];
    for (status, never_started, expected) in cases {
        let reply = http::Reply {
            status,
            never_started,
            closes: false,
            body: 0..0,
        };
        assert_eq!(outcome(&reply), expected, "{status}");
        assert!(never_started || !outcome(&reply).never_ran(), "{status}");
    }
}
