//! Counters of everything that a node read, sent and answered since its start.
//!
//! The names are those of the log's `counts` line, which scripts parse: don't rename them.

use std::cell::Cell;
use std::fmt;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident)*) => {
        /// Counters since the start.
        #[derive(Default)]
        pub struct Counts { $($(#[$doc])* pub $name: Cell<u64>,)* }

        impl fmt::Display for Counts {
            fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
                $(write!(f, " {}={}", stringify!($name), self.$name.get())?;)*
                Ok(())
            }
        }
    };
}

counters! {
    /// Client connections that were accepted.
    accepted
    /// Accepts that failed.
    accept_errors
    /// Attempts that failed because there was no free descriptor.
    descriptors_out
    /// Client connections that ended.
    closed
    /// Frames that were read.
    frames
    /// Requests with complete fields.
    tickets
    /// Retries among them.
    repeats
    /// Health checks.
    probes
    /// Requests whose caller cancelled, or disconnected.
    left
    /// Messages that were answered with an exception.
    exceptions
    /// Launches.
    launched
    /// Runs whose commands were resent after a reconnect.
    resent
    /// Replies to calls of which it is not known, after a reconnect, whether their runs have received them.
    unconfirmed_replies
    /// Runs that were paused.
    frozen
    /// Runs that were resumed.
    thawed
    /// Replies to calls that were passed to their runs.
    delivered
    /// Runs that the policy ordered to continue without their call.
    forgone
    /// Numbered notices of the agent.
    notices
    /// Commands that the agent refused.
    refusals
    /// Downstream calls.
    calls
    /// Requests that were answered with a result.
    honoured
    /// Requests that were rejected.
    dismissed
    /// Requests that failed.
    given_up
    /// Requests that the node itself answered, as the policy did not.
    unsettled
    /// Runs whose end was not reported by any notice.
    orphans
    /// Links to the agent that were opened.
    agent_links
    /// Lines from the agent that were skipped as unreadable.
    agent_odd
    /// Configuration files that were refused at a reload.
    reloads_refused
    /// Reports that the announce service accepted.
    announced
    /// Reports that the announce service did not answer in time.
    announce_unanswered
    /// Reports that failed for other reasons.
    announce_errors
    /// Ticks of the policy.
    beats
    /// Ticks that came late.
    late_beats
    /// Ticks that the policy had not requested.
    unasked_beats
    /// Ticks with outdated gauges.
    stale_gauges
    /// Panics that were caught in a call into the policy.
    panics
    /// Restarts of tasks that panicked.
    watches_again
}

/// Adds one to a counter.
pub fn count(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}
