//! Who waits for the outcome of a command or for the confirmation of a read, and how often both are sent again.
//!
//! Requests, reads and shards all refer to requesters; this module refers to none of them.

use std::time::Duration;

/// Between two attempts whose leader is known: several round trips and flushes.
pub(super) const LEADER_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Between two attempts while no leader is known: part of an election.
pub(super) const NO_LEADER_RETRY_INTERVAL: Duration = Duration::from_millis(25);

/// Who waits for the outcome of a command that was proposed here, or of a read that was started here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Requester {
    /// This member, by the number of its request or read.
    Local(u64),
    /// Another member.
    Remote {
        member: String,
        /// The number that the other member gave its request or read.
        id: u64,
    },
}
