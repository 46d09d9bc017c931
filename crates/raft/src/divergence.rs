//! The rule for replicas whose logs diverged.
//!
//! Entries of the same index and term are identical by construction. If their running checksums differ, a log was
//! modified outside the program, or the program has a bug. The checksum of a majority of the voters counts as correct.
//! Replicas with another checksum are quarantined and must be rebuilt as new members; no log is silently overwritten,
//! and no replica is quarantined unless a majority agrees.

use crate::wire::ReplicaId;

/// A replica whose reported running checksum differs from the leader's for the same index and term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DivergentReplica {
    /// The replica's ID.
    pub id: ReplicaId,
    /// The checksum that it reported.
    pub checksum: u64,
}

/// Which replicas to quarantine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DivergenceVerdict {
    /// None: no majority agrees yet.
    Undecided,
    /// These voters; the leader is part of the majority.
    Minority(Vec<ReplicaId>),
    /// The leader: a majority of the voters agrees on this other checksum.
    Leader(u64),
}

/// Decides which replicas to quarantine. `agreeing` is the number of voters known to have the leader's checksum,
/// including the leader; `divergent` are the voters that reported a different one.
pub fn judge_divergence(
    voters: usize,
    agreeing: usize,
    divergent: &[DivergentReplica],
) -> DivergenceVerdict {
    let majority = voters / 2 + 1;
    if agreeing >= majority {
        return DivergenceVerdict::Minority(divergent.iter().map(|replica| replica.id).collect());
    }
    let count_with = |checksum: u64| {
        divergent
            .iter()
            .filter(|replica| replica.checksum == checksum)
            .count()
    };
    divergent
        .iter()
        .map(|replica| replica.checksum)
        .find(|checksum| count_with(*checksum) >= majority)
        .map_or(DivergenceVerdict::Undecided, DivergenceVerdict::Leader)
}
