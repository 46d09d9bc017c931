//! Table test of the quarantine rule for replicas whose logs diverged.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_raft::divergence::{judge_divergence, DivergenceVerdict, DivergentReplica};
use rainstand_raft::ReplicaId;

#[test]
fn replicas_without_the_majority_checksum_are_quarantined() {
    type Case<'a> = (usize, usize, &'a [(ReplicaId, u64)], DivergenceVerdict);
    let cases: &[Case] = &[
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
    for (voters, agreeing, reports, expected) in cases {
        let divergent: Vec<DivergentReplica> = reports
            .iter()
            .map(|&(id, checksum)| DivergentReplica { id, checksum })
            .collect();
        assert_eq!(
            judge_divergence(*voters, *agreeing, &divergent),
            *expected,
            "{voters} {agreeing} {reports:?}"
        );
    }
}
