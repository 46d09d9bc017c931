//! The rule for copies that differ, stated once.
//!
//! An uncommitted tail that differs gives way to the leader's, as in any replicated log. Entries up to the same index and
//! term are the same by construction; where their running checksums differ, a copy was changed behind the program's
//! back, or a bug was met. Then the copies are counted: what most voters have is the truth. The odd one sets its
//! files aside, votes for nothing, and is rebuilt as a new member. Nothing is overwritten in silence, and where no
//! majority agrees nobody is set aside.

use crate::wire::ReplicaId;

/// Who is odd.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DivergenceVerdict {
    /// No majority agrees yet.
    Undecided,
    /// These voters, against the leader and most others.
    Minority(Vec<ReplicaId>),
    /// The leader itself, against most others, who agree with each other on this checksum.
    Leader(u64),
}

/// `agree`: voters known to have what the leader has, the leader with them; `differ`: those that told another
/// checksum for the same index and term.
pub fn judge_divergence(
    voters: usize,
    agree: usize,
    differ: &[(ReplicaId, u64)],
) -> DivergenceVerdict {
    let majority = voters / 2 + 1;
    if agree >= majority {
        return DivergenceVerdict::Minority(differ.iter().map(|one| one.0).collect());
    }
    let alike = |sum: u64| differ.iter().filter(|one| one.1 == sum).count();
    match differ
        .iter()
        .map(|one| one.1)
        .find(|sum| alike(*sum) >= majority)
    {
        Some(sum) => DivergenceVerdict::Leader(sum),
        None => DivergenceVerdict::Undecided,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn most_voters_have_the_truth() {
        type Case<'a> = (usize, usize, &'a [(ReplicaId, u64)], DivergenceVerdict);
        let table: &[Case] = &[
            (3, 2, &[(9, 5)], DivergenceVerdict::Minority(vec![9])),
            (3, 1, &[(9, 5)], DivergenceVerdict::Undecided),
            (3, 1, &[(8, 5), (9, 5)], DivergenceVerdict::Leader(5)),
            (3, 1, &[(8, 5), (9, 6)], DivergenceVerdict::Undecided),
            (
                5,
                3,
                &[(8, 5), (9, 6)],
                DivergenceVerdict::Minority(vec![8, 9]),
            ),
            (
                5,
                2,
                &[(7, 5), (8, 5), (9, 5)],
                DivergenceVerdict::Leader(5),
            ),
            (
                5,
                2,
                &[(7, 5), (8, 5), (9, 6)],
                DivergenceVerdict::Undecided,
            ),
            (1, 1, &[], DivergenceVerdict::Minority(vec![])),
        ];
        for (voters, agree, differ, wanted) in table {
            assert_eq!(
                judge_divergence(*voters, *agree, differ),
                *wanted,
                "{voters} {agree} {differ:?}"
            );
        }
    }
}
