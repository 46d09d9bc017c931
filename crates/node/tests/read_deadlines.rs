//! The read deadlines of a connection.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_node::connections::ReadDeadlines;
use std::time::{Duration, Instant};

#[test]
fn only_unknown_connections_and_partial_frames_have_a_deadline() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    // When bytes arrive (in ms), whether a frame starts with them, and whether they end with a complete frame; then
    // when the next frame is due on a connection on which nothing was served yet, and on one that has served a request.
    let cases = [
        (100, true, true, Some(2_000), None),
        (500, true, false, Some(2_000), Some(2_500)),
        (900, false, false, Some(2_000), Some(2_500)),
        (1_000, true, false, Some(2_000), Some(3_000)),
        (1_100, false, true, Some(2_000), None),
    ];
    let mut deadlines = ReadDeadlines::new(start);
    for (ms, starts_frame, all_consumed, unknown, known) in cases {
        deadlines.on_bytes(at(ms), starts_frame, all_consumed);
        assert_eq!(
            (
                deadlines.frame_deadline(false),
                deadlines.frame_deadline(true)
            ),
            (unknown.map(at), known.map(at)),
            "{ms}"
        );
    }
}
