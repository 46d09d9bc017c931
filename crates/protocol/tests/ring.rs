//! A ring keeps the order of its bytes and releases memory.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_protocol::ring::{Ring, RETAINED_BYTES};

#[test]
fn bytes_come_out_in_order_and_room_is_let_go() {
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
