//! What a publisher reports to its driver and to operators.

use super::Link;
use crate::attachment::NodeIdentity;
use bytes::Bytes;
use std::time::Duration;

/// What the driver has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a frame.
    Send {
        /// On this link.
        link: Link,
        /// The frame.
        frame: Bytes,
    },
    /// Close the link once everything before was sent on it.
    Close(Link),
    /// Log the event.
    Event(Event),
}

/// Events for the log. `name` is the subscriber's.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// An attachment was accepted.
    Attached {
        /// Name of the subscriber.
        name: String,
        /// Version that it holds.
        version: u64,
    },
    /// A subscriber's link ended, or it was silent for too long.
    Disconnected {
        /// Name of the subscriber.
        name: String,
    },
    /// An attachment was rejected, with a time for the next attempt.
    AttachRejected {
        /// Name of the subscriber.
        name: String,
    },
    /// A subscriber cannot apply a version.
    Rejected {
        /// Name of the subscriber.
        name: String,
        /// The version.
        version: u64,
        /// The subscriber's reason.
        reason: String,
    },
    /// A subscriber's state is not that of its version.
    Diverged {
        /// Name of the subscriber.
        name: String,
        /// Version that it holds.
        version: u64,
    },
    /// A subscriber holds a newer version than this server; reported once for each attachment.
    SubscriberAhead {
        /// Name of the subscriber.
        name: String,
        /// Version that it holds.
        version: u64,
    },
    /// A frame could not be decoded, or is not allowed in the link's state.
    Malformed {
        /// The link, which is closed.
        link: Link,
    },
}

/// How far one version was rolled out to the subscribers of this server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutProgress {
    /// The version.
    pub version: u64,
    /// When it was committed, on the driver's clock.
    pub committed_at: Duration,
    /// Resources that it changed or removed.
    pub changed_resources: usize,
    /// Subscribers that hold it or a later one.
    pub acknowledged: usize,
    /// Subscribers that rejected it.
    pub rejected: usize,
    /// All other subscribers.
    pub behind: usize,
    /// Of the subscribers that do not hold it, one with the oldest version.
    pub slowest: Option<SubscriberVersion>,
}

/// A subscriber, and the version that it holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubscriberVersion {
    /// Name of the subscriber.
    pub name: String,
    /// Version that it holds.
    pub version: u64,
}

/// The state of one attached subscriber.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubscriberStatus {
    /// Its name and location.
    pub identity: NodeIdentity,
    /// Its link.
    pub link: Link,
    /// The version that it holds.
    pub version: u64,
    /// The newest version that it rejected on this link.
    pub rejected: Option<RejectedVersion>,
}

/// A version that a subscriber could not apply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectedVersion {
    /// The version.
    pub version: u64,
    /// The subscriber's reason.
    pub reason: String,
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Committed changes.
    pub committed: u64,
    /// Accepted attachments.
    pub attached: u64,
    /// Rejected attachments.
    pub rejected_attachments: u64,
    /// Acknowledgements of a newer version than before.
    pub acks: u64,
    /// Rejections of a version.
    pub nacks: u64,
    /// Subscribers that were found to hold another state than their version's.
    pub divergences: u64,
    /// Subscribers that received a delta from a version that they do not hold.
    pub gaps: u64,
    /// Snapshots that were begun to be sent.
    pub snapshots: u64,
    /// Deltas that were sent.
    pub deltas: u64,
    /// Deltas and chunks that were sent again after a timeout.
    pub retransmissions: u64,
    /// Snapshots that were compressed.
    pub compressed_snapshots: u64,
    /// Frames that could not be decoded or were not allowed.
    pub malformed: u64,
    /// Bytes of received frames.
    pub bytes_in: u64,
    /// Bytes of sent frames.
    pub bytes_out: u64,
}
