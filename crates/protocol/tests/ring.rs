//! A ring keeps its bytes in order and releases memory.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_protocol::ring::{Ring, RETAINED_BYTES};

#[test]
fn ring_keeps_byte_order_and_releases_memory_when_emptied() {
    let mut ring = Ring::default();
    for round in 0..50u8 {
        ring.put(&[round; 300]);
        ring.drop_front(200);
    }
    assert_eq!(
        (ring.len(), ring.bytes()[0], *ring.bytes().last().unwrap()),
        (5_000, 33, 49)
    );
    ring.clear();
    assert!(ring.is_empty() && ring.capacity() <= RETAINED_BYTES);
}
