//! The leader's replication state for each other member.

use crate::wire::ReplicaId;
use std::time::Duration;

/// The progress of one follower or learner, as its leader knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowerProgress {
    /// The follower.
    pub id: ReplicaId,
    /// Highest index up to which the follower is known to have the leader's entries on disk.
    pub match_index: u64,
    /// When its last message arrived, by the leader's clock.
    pub last_contact: Duration,
}

/// Progress of a snapshot transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct SnapshotPosition {
    /// Index of the snapshot.
    pub(super) index: u64,
    /// Bytes that the follower has received.
    pub(super) offset: u64,
}

/// The index at which a follower's running checksum differs from the leader's, and the follower's checksum.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct PeerDivergence {
    pub(super) index: u64,
    pub(super) checksum: u64,
}

/// A leader's view of another member.
#[derive(Clone, Debug)]
pub(super) struct PeerProgress {
    /// Index of the next entry to send.
    pub(super) next_index: u64,
    /// Highest index known to be replicated to the peer.
    pub(super) match_index: u64,
    /// When the unacknowledged entries or chunk were sent; `None` if nothing is in flight.
    pub(super) in_flight_since: Option<Duration>,
    /// Set while the peer receives a snapshot.
    pub(super) snapshot_position: Option<SnapshotPosition>,
    pub(super) last_contact: Duration,
    /// Newest read round that the peer confirmed.
    pub(super) read_round: u64,
    pub(super) divergence: Option<PeerDivergence>,
}

impl PeerProgress {
    /// The initial progress of a peer, before its first response.
    pub(super) fn new(next_index: u64, now: Duration) -> Self {
        Self {
            next_index,
            match_index: 0,
            in_flight_since: None,
            snapshot_position: None,
            last_contact: now,
            read_round: 0,
            divergence: None,
        }
    }

    /// Records a response of the peer.
    pub(super) fn record_contact(&mut self, now: Duration, read_round: u64) {
        self.last_contact = now;
        self.read_round = self.read_round.max(read_round);
    }

    /// Records that the peer has all entries up to `index`.
    pub(super) fn record_match(&mut self, index: u64) {
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(self.match_index + 1);
        self.in_flight_since = None;
        self.snapshot_position = None;
        self.divergence = None;
    }

    /// Records that the peer's log does not match at the probed index; the peer suggests continuing after `index`.
    pub(super) fn record_mismatch(&mut self, index: u64) {
        let previous_probe = self.next_index.max(2) - 1;
        self.next_index = (index + 1).min(previous_probe).max(self.match_index + 1);
        self.in_flight_since = None;
    }

    /// Counts entries or a chunk as lost if sent at least `timeout` ago.
    pub(super) fn expire_in_flight(&mut self, now: Duration, timeout: Duration) {
        let expired = self
            .in_flight_since
            .is_some_and(|since| now >= since + timeout);
        if expired {
            self.in_flight_since = None;
        }
    }
}
