//! Counters of everything a node read, sent and answered since its start.
//!
//! The names are those of the `counts` line of the log, which scripts read: they stay as they are.

use std::cell::Cell;
use std::fmt;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident)*) => {
        /// What was read, sent and answered since the start.
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
    /// Connections of dispatchers that were accepted.
    accepted
    /// Accepts that failed.
    accept_errors
    /// Tries that failed for want of descriptors.
    descriptors_out
    /// Connections of dispatchers that ended.
    closed
    /// Frames that were read.
    frames
    /// Requests with complete fields.
    tickets
    /// Those of them that repeat an earlier one.
    repeats
    /// Health checks.
    probes
    /// Requests whose caller cancelled, or disconnected.
    left
    /// Messages that were answered with an exception.
    exceptions
    /// Launches.
    launched
    /// Runs whose commands were sent again after a reconnect.
    resent
    /// Runs that were paused.
    frozen
    /// Runs that were resumed.
    thawed
    /// Replies to calls that were passed to their runs.
    delivered
    /// Runs that went on without their call, by order of the policy.
    forgone
    /// Numbered notices of the agent.
    notices
    /// Commands that the agent refused.
    refusals
    /// Calls to the tier below.
    calls
    /// Requests that were answered with a result.
    honoured
    /// Requests that were rejected.
    dismissed
    /// Requests that were answered with a failure.
    given_up
    /// Requests that the node itself had to answer, as the policy did not.
    unsettled
    /// Runs whose end no notice reported.
    orphans
    /// Links to the agent that were opened.
    agent_links
    /// Lines of the agent that were skipped as unreadable.
    agent_odd
    /// Configuration files that were refused at a reload.
    reloads_refused
    /// Reports that the announce service took.
    announced
    /// Reports that it did not answer in time.
    announce_unanswered
    /// Reports that failed otherwise.
    announce_errors
    /// Ticks of the policy.
    beats
    /// Ticks that came late.
    late_beats
    /// Ticks that the policy had not requested.
    unasked_beats
    /// Ticks with old gauges.
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
