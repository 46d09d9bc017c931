//! What an amount of an entry may be.

/// Bounds of an amount, in its dimension's smallest step, and what it is if the entry is left out.
#[derive(Clone, Copy)]
pub(super) struct AmountBounds {
    /// The amount without an entry; an amount without default must be given.
    pub(super) default: Option<u64>,
    pub(super) allow_zero: bool,
    pub(super) max: u64,
}

/// An amount over zero that must be given.
pub(super) const fn required(max: u64) -> AmountBounds {
    AmountBounds {
        default: None,
        allow_zero: false,
        max,
    }
}

/// An amount over zero that may be left out.
pub(super) const fn optional(default: u64, max: u64) -> AmountBounds {
    AmountBounds {
        default: Some(default),
        allow_zero: false,
        max,
    }
}

impl AmountBounds {
    /// The same, but the amount may be written as zero.
    pub(super) const fn or_zero(self) -> Self {
        Self {
            allow_zero: true,
            ..self
        }
    }
}

/// Both ends of a range such as `20 ms .. 200 ms`; an end that is left open or cannot be read is `None`.
#[derive(Clone, Copy, Default)]
pub(super) struct AmountRange {
    pub(super) min: Option<u64>,
    pub(super) max: Option<u64>,
}
