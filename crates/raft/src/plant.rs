//! Bugs that are planted by name, to see whether the rig, the simulation and the searches find them.
//!
//! Without the feature `planted` every question is answered no by the compiler, and nothing of it is in the program.

/// All bugs that can be planted, and what each does.
pub const BUGS: &[(&str, &str)] = &[
    (
        "early-answer",
        "committed as soon as the leader has it, before the quorum does",
    ),
    (
        "vote-forgotten",
        "the vote is not written down, so a restart forgets it",
    ),
    (
        "tail-kept",
        "an uncommitted tail that differs from the leader's stays",
    ),
    (
        "config-lost",
        "a snapshot is taken over without the members it names",
    ),
    (
        "vote-too-soon",
        "a learner that catches up counts towards the majority as if it voted",
    ),
    (
        "second-run",
        "a start whose holder is not heard of is granted again",
    ),
    (
        "early-launch",
        "a ticket is launched before its start is durable on a majority",
    ),
    ("sums-twice", "soft sums are added instead of joined"),
];

#[cfg(all(feature = "planted", not(debug_assertions)))]
compile_error!("bugs are planted in debug builds only");

#[cfg(feature = "planted")]
mod on {
    use std::cell::RefCell;

    thread_local! {
        static BUG: RefCell<Option<String>> = RefCell::new(std::env::var("RAINSTAND_PLANT").ok());
    }

    /// Whether this bug is planted on this thread.
    pub fn planted(bug: &str) -> bool {
        BUG.with(|planted| planted.borrow().as_deref() == Some(bug))
    }

    /// Plants a bug on this thread, or none.
    pub fn plant(bug: Option<&str>) {
        BUG.with(|planted| *planted.borrow_mut() = bug.map(str::to_owned));
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
