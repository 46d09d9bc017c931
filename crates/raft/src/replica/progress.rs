//! What a leader knows about the other members.

use crate::wire::ReplicaId;
use std::time::Duration;

/// The progress of one follower or learner, as its leader knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowerProgress {
    /// The follower.
    pub id: ReplicaId,
    /// Highest index up to which the follower is known to hold the leader's entries durably.
    pub match_index: u64,
    /// When its last message arrived, on the leader's clock.
    pub last_contact: Duration,
}

/// How far the transfer of a snapshot is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct SnapshotPosition {
    /// Index of the snapshot.
    pub(super) index: u64,
    /// Bytes that the follower holds.
    pub(super) offset: u64,
}

/// A follower whose log holds another running checksum than the leader's.
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
    /// Highest index known to be replicated there.
    pub(super) match_index: u64,
    /// When entries or a chunk were sent that are not acknowledged yet.
    pub(super) in_flight_since: Option<Duration>,
    /// Set while the peer receives a snapshot.
    pub(super) snapshot_position: Option<SnapshotPosition>,
    pub(super) last_contact: Duration,
    /// Newest read round that the peer confirmed.
    pub(super) read_round: u64,
    pub(super) divergence: Option<PeerDivergence>,
}

impl PeerProgress {
    /// A peer of which nothing is known yet.
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

    /// A response of the peer arrived.
    pub(super) fn record_contact(&mut self, now: Duration, read_round: u64) {
        self.last_contact = now;
        self.read_round = self.read_round.max(read_round);
    }

    /// The peer holds all entries up to `index`.
    pub(super) fn record_match(&mut self, index: u64) {
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(self.match_index + 1);
        self.in_flight_since = None;
        self.snapshot_position = None;
        self.divergence = None;
    }

    /// The peer's log does not match at the probed index; it suggests to go on behind `index`.
    pub(super) fn record_mismatch(&mut self, index: u64) {
        let previous_probe = self.next_index.max(2) - 1;
        self.next_index = (index + 1).min(previous_probe).max(self.match_index + 1);
        self.in_flight_since = None;
    }

    /// Gives up on what was sent longer than `timeout` ago.
    pub(super) fn expire_in_flight(&mut self, now: Duration, timeout: Duration) {
        let expired = self
            .in_flight_since
            .is_some_and(|since| now >= since + timeout);
        if expired {
            self.in_flight_since = None;
        }
    }
}
