//! Bugs that are planted by name, to see whether the search on the virtual clock finds them.
//!
//! Without the feature `planted` every question is answered no by the compiler, and nothing of it is in the
//! program.

/// All bugs that can be planted, and what each does.
pub const BUGS: &[(&str, &str)] = &[
    (
        "over-a-gap",
        "a delta is applied to another version than the one that it begins at",
    ),
    (
        "digest-unread",
        "the digest of what was applied is not compared with the one that was sent",
    ),
    (
        "early-confirm",
        "a version is confirmed before it is in force",
    ),
    (
        "history-off-by-one",
        "the delta that was just dropped from the history is taken for still there",
    ),
    (
        "no-spread",
        "a process that lost its control machine goes to the next at once",
    ),
];

#[cfg(all(feature = "planted", not(debug_assertions)))]
compile_error!("bugs are planted in debug builds only");

#[cfg(feature = "planted")]
mod on {
    use std::cell::Cell;

    thread_local! {
        static BUG: Cell<Option<&'static str>> = const { Cell::new(None) };
    }

    /// Whether this bug is planted on this thread.
    pub fn planted(bug: &str) -> bool {
        BUG.get() == Some(bug)
    }

    /// Plants a bug on this thread, or none.
    pub fn plant(bug: Option<&'static str>) {
        BUG.set(bug);
    }
}

#[cfg(feature = "planted")]
pub use on::{plant, planted};

/// Never: this program was built without bugs.
#[cfg(not(feature = "planted"))]
#[inline]
pub const fn planted(_: &str) -> bool {
    false
}
