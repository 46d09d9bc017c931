//! The buffer of one direction of a connection. It grows as needed, and releases its memory when it is empty.

use std::collections::VecDeque;

/// Memory that an empty ring retains, in bytes: one frame of usual size.
pub const RETAINED_BYTES: usize = 1024;

/// A FIFO queue of bytes. It is unbounded: its owner has to stop reading in time.
#[derive(Default)]
pub struct Ring(VecDeque<u8>);

impl Ring {
    /// Number of buffered bytes.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether no bytes are buffered.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Allocated memory in bytes. Public for the test that memory is released.
    pub fn capacity(&self) -> usize {
        self.0.capacity()
    }

    /// Appends bytes.
    pub fn put(&mut self, bytes: &[u8]) {
        self.0.extend(bytes);
    }

    /// All bytes, as one contiguous slice.
    pub fn bytes(&mut self) -> &[u8] {
        self.0.make_contiguous()
    }

    /// The longest contiguous slice from the start; empty only if the ring is.
    pub fn front(&self) -> &[u8] {
        self.0.as_slices().0
    }

    /// Drops the first `n` bytes, or all if there are fewer.
    pub fn drop_front(&mut self, n: usize) {
        self.0.drain(..n.min(self.0.len()));
        if self.0.is_empty() {
            self.0.shrink_to(RETAINED_BYTES);
        }
    }

    /// Keeps the first `n` bytes, or all if there are fewer.
    pub fn truncate(&mut self, n: usize) {
        self.0.truncate(n);
        if self.0.is_empty() {
            self.0.shrink_to(RETAINED_BYTES);
        }
    }

    /// Drops all bytes.
    pub fn clear(&mut self) {
        self.drop_front(usize::MAX);
    }
}
