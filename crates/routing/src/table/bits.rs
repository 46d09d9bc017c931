//! Rows of bits, one for each route.

/// A row with one bit for each route.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Bits(Vec<u64>);

impl Bits {
    /// Whether the bit at this index is set.
    pub(crate) fn has(&self, index: usize) -> bool {
        (self.0[index / 64] >> (index % 64)) & 1 == 1
    }

    /// Sets or clears the bit at this index.
    pub(crate) fn set(&mut self, index: usize, value: bool) {
        let bit = 1 << (index % 64);
        if value {
            self.0[index / 64] |= bit;
        } else {
            self.0[index / 64] &= !bit;
        }
    }

    /// Shifts the bits at this index and above up by one.
    pub(crate) fn insert_gap(&mut self, index: usize) {
        let low_mask = (1u64 << (index % 64)) - 1;
        for word in (index / 64 + 1..self.0.len()).rev() {
            self.0[word] = self.0[word] << 1 | self.0[word - 1] >> 63;
        }
        let word = &mut self.0[index / 64];
        *word = (*word & low_mask) | (*word & !low_mask) << 1;
    }

    /// Shifts the bits above this index down by one.
    pub(crate) fn remove_bit(&mut self, index: usize) {
        let low_mask = (1u64 << (index % 64)) - 1;
        let last = self.0.len() - 1;
        let word = &mut self.0[index / 64];
        *word = (*word & low_mask) | (*word >> 1 & !low_mask);
        for word in index / 64..last {
            self.0[word] = self.0[word] & !(1 << 63) | self.0[word + 1] << 63;
            self.0[word + 1] >>= 1;
        }
    }

    /// Sets the length of the row, in words of 64 bits.
    pub(crate) fn resize(&mut self, words: usize) {
        self.0.resize(words, 0);
    }

    /// The words of the row, lowest indices first.
    pub(crate) fn words(&self) -> &[u64] {
        &self.0
    }
}
