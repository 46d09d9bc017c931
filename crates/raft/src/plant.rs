//! Bugs that can be planted by name, to test that simulations and searches find them.
//!
//! Without the feature `planted`, [`planted`] is always `false` and the compiler removes the bugs from the program.

/// A bug that can be planted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlantedBug {
    /// Its name on command lines and in the environment variable `RAINSTAND_PLANT`.
    pub name: &'static str,
    /// How the program misbehaves with it.
    pub effect: &'static str,
}

/// All bugs that can be planted.
pub const BUGS: &[PlantedBug] = &[
    PlantedBug {
        name: "early-answer",
        effect: "the leader commits an entry when it appends it, before a majority has it",
    },
    PlantedBug {
        name: "vote-forgotten",
        effect: "the vote is not written to disk, so it is lost in a restart",
    },
    PlantedBug {
        name: "tail-kept",
        effect: "a follower does not truncate an uncommitted suffix that differs from the leader's",
    },
    PlantedBug {
        name: "config-lost",
        effect: "a snapshot is installed without its membership",
    },
    PlantedBug {
        name: "vote-too-soon",
        effect: "a learner counts towards the majority as if it were a voter",
    },
    PlantedBug {
        name: "second-run",
        effect: "a claim is granted again while its holder is out of contact",
    },
    PlantedBug {
        name: "early-launch",
        effect: "a request is dispatched before its claim is durable on a majority",
    },
    PlantedBug {
        name: "answers-dropped-at-kill",
        effect: "a draining node closes its connections before it has written the last responses",
    },
    PlantedBug {
        name: "reload-forgotten",
        effect: "a reload signal within milliseconds of the previous one is dropped",
    },
    PlantedBug {
        name: "second-signal-cuts-drain",
        effect: "a second drain signal ends the node immediately",
    },
    PlantedBug {
        name: "descriptor-leak",
        effect: "each reload leaks an open file descriptor",
    },
    PlantedBug {
        name: "stale-publish",
        effect: "the published versions are reported as the newest without a request to the leader",
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

/// Whether this bug is planted: always `false` in this build.
#[cfg(not(feature = "planted"))]
#[inline]
pub const fn planted(_: &str) -> bool {
    false
}
