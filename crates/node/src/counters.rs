//! Counters of everything a node read, sent and answered since its start.

use std::cell::Cell;
use std::fmt;

macro_rules! counts {
    ($($name:ident)*) => {
        /// What was taken in, sent and answered since the start.
        #[derive(Default)]
        pub struct Counts { $(pub $name: Cell<u64>,)* }

        impl fmt::Display for Counts {
            fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
                $(write!(f, " {}={}", stringify!($name), self.$name.get())?;)*
                Ok(())
            }
        }
    };
}

counts! {
    accepted accept_errors descriptors_out closed frames tickets repeats probes left exceptions
    launched resent frozen thawed delivered forgone notices refusals calls
    honoured dismissed given_up unsettled orphans
    agent_links agent_odd reloads_refused announced announce_unanswered announce_errors beats late_beats unasked_beats stale_gauges
    panics watches_again
}

/// One more of something.
pub fn count(what: &Cell<u64>) {
    what.set(what.get() + 1);
}
