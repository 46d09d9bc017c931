//! Rows of bits, one for each route.

/// A row with one bit for each route.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Bits(Vec<u64>);

impl Bits {
    /// Whether the bit at this index is set.
    pub(crate) fn has(&self, at: usize) -> bool {
        (self.0[at / 64] >> (at % 64)) & 1 == 1
    }

    /// Sets or clears the bit at this index.
    pub(crate) fn set(&mut self, at: usize, to: bool) {
        let bit = 1 << (at % 64);
        if to {
            self.0[at / 64] |= bit;
        } else {
            self.0[at / 64] &= !bit;
        }
    }

    /// Moves the bits from this index on up by one.
    pub(crate) fn insert_gap(&mut self, at: usize) {
        let below = (1u64 << (at % 64)) - 1;
        for word in (at / 64 + 1..self.0.len()).rev() {
            self.0[word] = self.0[word] << 1 | self.0[word - 1] >> 63;
        }
        let word = &mut self.0[at / 64];
        *word = (*word & below) | (*word & !below) << 1;
    }

    /// Moves the bits behind this index down by one.
    pub(crate) fn remove_bit(&mut self, at: usize) {
        let below = (1u64 << (at % 64)) - 1;
        let last = self.0.len() - 1;
        let word = &mut self.0[at / 64];
        *word = (*word & below) | (*word >> 1 & !below);
        for word in at / 64..last {
            self.0[word] = self.0[word] & !(1 << 63) | self.0[word + 1] << 63;
            self.0[word + 1] >>= 1;
        }
    }

    /// Sets the length, in words of 64 bits.
    pub(crate) fn resize(&mut self, words: usize) {
        self.0.resize(words, 0);
    }

    /// The words of the row.
    pub(crate) fn words(&self) -> &[u64] {
        &self.0
    }
}
