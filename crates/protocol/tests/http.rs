//! Replies whose length or status does not fit are refused.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_protocol::http::reply;

#[test]
fn lengths_and_states_that_do_not_fit_are_not_guessed_at() {
    let cases = [
        ("200 OK\r\nContent-Length: +3", false),
        ("200 OK\r\nContent-Length: -3", false),
        ("200 OK\r\nContent-Length: 3\r\nContent-Length: 2", false),
        ("200 OK\r\nContent-Length: 3\r\ncontent-length: 3", true),
        ("200 OK\r\nContent-Length: 3000000000", false),
        ("200 OK\r\nContent-Length: 99999999999999999999999", false),
        ("200 OK\r\nTransfer-Encoding: chunked", false),
        ("200 OK", false),
        ("2000 OK\r\nContent-Length: 3", false),
        ("020 OK\r\nContent-Length: 3", false),
        ("101 Switch\r\nContent-Length: 0", false),
        ("200\r\nContent-Length: 3", true),
        ("100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3", true),
    ];
    for (head, good) in cases {
        let bytes = format!("HTTP/1.1 {head}\r\n\r\nrowHTTP/1.1 200 OK\r\n");
        let read = reply(bytes.as_bytes());
        assert_eq!(read.is_ok(), good, "{head}: {read:?}");
        let body = read.ok().flatten().map(|r| &bytes[r.body]);
        assert_eq!(body, good.then_some("row"), "{head}");
    }
    // Words without an end are bounded like any other head.
    let words = "HTTP/1.1 100 Continue\r\n\r\n".repeat(1_000);
    assert_eq!(reply(words.as_bytes()), Err("reply_too_long"));
}
