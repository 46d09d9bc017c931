//! One ring of bytes for each direction of a connection: grows as it fills, lets go when empty.

use std::collections::VecDeque;

/// Room that an empty ring keeps, in bytes: one usual frame.
const SPARE: usize = 1024;

#[derive(Default)]
pub struct Ring(VecDeque<u8>);

impl Ring {
    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub fn put(&mut self, bytes: &[u8]) {
        self.0.extend(bytes);
    }

    /// All that is in it, in one piece.
    pub fn bytes(&mut self) -> &[u8] {
        self.0.make_contiguous()
    }

    /// What is first in it, as far as it lies in one piece; empty only if the ring is.
    pub fn front(&self) -> &[u8] {
        self.0.as_slices().0
    }

    pub fn drop_front(&mut self, n: usize) {
        self.0.drain(..n.min(self.0.len()));
        if self.0.is_empty() {
            self.0.shrink_to(SPARE);
        }
    }

    pub fn clear(&mut self) {
        self.drop_front(usize::MAX);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

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
        assert!(ring.is_empty() && ring.0.capacity() <= SPARE);
    }
}
