//! The rule for replicas whose logs diverged.
//!
//! Entries of the same index and term are the same by construction. Where their running checksums differ, a log was
//! changed behind the program's back, or the program has a bug. Then the checksum that a majority of the voters holds is
//! taken as the right one. The others are quarantined and have to be rebuilt as new members; nothing is overwritten in
//! silence, and nobody is quarantined where no majority agrees.

use crate::wire::ReplicaId;

/// A replica that reported another running checksum than the leader's for the same index and term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DivergentReplica {
    /// The replica.
    pub id: ReplicaId,
    /// The checksum that it reported.
    pub checksum: u64,
}

/// Which replicas are to be quarantined.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DivergenceVerdict {
    /// No majority agrees yet: nobody.
    Undecided,
    /// These voters; the leader is part of the majority.
    Minority(Vec<ReplicaId>),
    /// The leader: a majority of the voters agrees on this checksum instead.
    Leader(u64),
}

/// Judges a divergence. `agreeing` counts the voters known to hold the leader's checksum, the leader included;
/// `divergent` are the voters that reported another one.
pub fn judge_divergence(
    voters: usize,
    agreeing: usize,
    divergent: &[DivergentReplica],
) -> DivergenceVerdict {
    let majority = voters / 2 + 1;
    if agreeing >= majority {
        return DivergenceVerdict::Minority(divergent.iter().map(|replica| replica.id).collect());
    }
    let holders = |checksum: u64| {
        divergent
            .iter()
            .filter(|replica| replica.checksum == checksum)
            .count()
    };
    divergent
        .iter()
        .map(|replica| replica.checksum)
        .find(|checksum| holders(*checksum) >= majority)
        .map_or(DivergenceVerdict::Undecided, DivergenceVerdict::Leader)
}
