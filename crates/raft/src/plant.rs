//! Bugs that can be planted by name, to test that simulations and searches find them.
//!
//! Without the feature `planted` the compiler answers every question with no, and the bugs are not in the program.

/// A bug that can be planted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlantedBug {
    /// How it is named on command lines and in the environment variable `RAINSTAND_PLANT`.
    pub name: &'static str,
    /// What the program does with it.
    pub effect: &'static str,
}

/// All bugs that can be planted.
pub const BUGS: &[PlantedBug] = &[
    PlantedBug {
        name: "early-answer",
        effect: "an entry is committed when the leader holds it, before a majority does",
    },
    PlantedBug {
        name: "vote-forgotten",
        effect: "the vote is not written, so that a restart forgets it",
    },
    PlantedBug {
        name: "tail-kept",
        effect: "an uncommitted suffix that differs from the leader's stays",
    },
    PlantedBug {
        name: "config-lost",
        effect: "a snapshot is installed without its membership",
    },
    PlantedBug {
        name: "vote-too-soon",
        effect: "a learner counts towards the majority as if it voted",
    },
    PlantedBug {
        name: "second-run",
        effect: "a claim whose holder is out of contact is granted again",
    },
    PlantedBug {
        name: "early-launch",
        effect: "a request is dispatched before its claim is durable on a majority",
    },
    PlantedBug {
        name: "answers-dropped-at-kill",
        effect: "a node that drains ends its connections before the last answers are written",
    },
    PlantedBug {
        name: "reload-forgotten",
        effect: "a signal to reload that comes within milliseconds of the one before is dropped",
    },
    PlantedBug {
        name: "second-signal-cuts-drain",
        effect: "a second signal to drain ends the node at once",
    },
    PlantedBug {
        name: "descriptor-leak",
        effect: "each reload leaves a descriptor open",
    },
    PlantedBug {
        name: "stale-publish",
        effect: "the published versions are said to be the newest without asking the leader",
    },
    PlantedBug {
        name: "sums-twice",
        effect: "gossiped counters are added instead of merged",
    },
];

#[cfg(all(feature = "planted", not(debug_assertions)))]
compile_error!("bugs are planted in debug builds only");

#[cfg(feature = "planted")]
mod planting {
    use std::cell::RefCell;

    thread_local! {
        static PLANTED: RefCell<Option<String>> = RefCell::new(std::env::var("RAINSTAND_PLANT").ok());
    }

    /// Whether this bug is planted on this thread.
    pub fn planted(bug: &str) -> bool {
        PLANTED.with(|planted| planted.borrow().as_deref() == Some(bug))
    }

    /// Plants a bug on this thread; `None` removes it.
    pub fn plant(bug: Option<&str>) {
        PLANTED.with(|planted| *planted.borrow_mut() = bug.map(str::to_owned));
    }
}

#[cfg(feature = "planted")]
pub use planting::{plant, planted};

/// Whether this bug is planted: never in this build.
#[cfg(not(feature = "planted"))]
#[inline]
pub const fn planted(_: &str) -> bool {
    false
}
