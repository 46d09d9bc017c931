//! Replies with an invalid length or status are rejected.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_protocol::http::reply;

#[test]
fn replies_with_an_invalid_length_or_status_are_rejected() {
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
    for (head, is_valid) in cases {
        let bytes = format!("HTTP/1.1 {head}\r\n\r\nrowHTTP/1.1 200 OK\r\n");
        let read = reply(bytes.as_bytes());
        assert_eq!(read.is_ok(), is_valid, "{head}: {read:?}");
        let body = read.ok().flatten().map(|reply| &bytes[reply.body]);
        assert_eq!(body, is_valid.then_some("row"), "{head}");
    }
    // A series of interim replies is bounded like any other head.
    let interim_replies = "HTTP/1.1 100 Continue\r\n\r\n".repeat(1_000);
    assert_eq!(reply(interim_replies.as_bytes()), Err("reply_too_long"));
}
