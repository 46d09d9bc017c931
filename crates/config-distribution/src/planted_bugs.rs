//! Bugs that can be switched on by name, to show that the simulation on the virtual clock detects them.
//!
//! Without the feature `planted`, [`is_planted`] is a constant `false` and none of the bugs is compiled in.

/// A bug that can be planted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlantedBug {
    /// A delta is applied to a version other than the one that it begins at.
    DeltaOverGap,
    /// The digest of the applied state is not compared with the one that was sent.
    DigestIgnored,
    /// A version is acknowledged before it is in force.
    EarlyAck,
    /// The delta that was just evicted from the history is considered available.
    HistoryOffByOne,
    /// A process that lost its config server reconnects without jitter.
    NoJitter,
    /// A version is applied and acknowledged before it is stored.
    UnstoredAck,
}

impl PlantedBug {
    /// Every bug.
    pub const ALL: [Self; 6] = [
        Self::DeltaOverGap,
        Self::DigestIgnored,
        Self::EarlyAck,
        Self::HistoryOffByOne,
        Self::NoJitter,
        Self::UnstoredAck,
    ];
}

#[cfg(all(feature = "planted", not(debug_assertions)))]
compile_error!("bugs are planted in debug builds only");

#[cfg(feature = "planted")]
mod switch {
    use super::PlantedBug;
    use std::cell::Cell;

    thread_local! {
        static PLANTED: Cell<Option<PlantedBug>> = const { Cell::new(None) };
    }

    /// Whether `bug` is planted on this thread.
    #[must_use]
    pub fn is_planted(bug: PlantedBug) -> bool {
        PLANTED.get() == Some(bug)
    }

    /// Plants `bug` on this thread in place of any other; `None` removes it.
    pub fn plant(bug: Option<PlantedBug>) {
        PLANTED.set(bug);
    }
}

#[cfg(feature = "planted")]
pub use switch::{is_planted, plant};

/// Always `false`: this build contains no planted bugs.
#[cfg(not(feature = "planted"))]
#[inline]
#[must_use]
pub const fn is_planted(_: PlantedBug) -> bool {
    false
}
