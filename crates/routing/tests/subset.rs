//! Subsets of a pool: even coverage, and few changes when a member is removed.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rainstand_routing::subset::*;
use rainstand_routing::weighted_split::name_hash;

/// Minimum and maximum number of subsets that contain a member.
fn usage_range(subsets: impl Iterator<Item = Vec<usize>>, members: usize) -> (usize, usize) {
    let mut counts = vec![0; members];
    subsets.flatten().for_each(|index| counts[index] += 1);
    (*counts.iter().min().unwrap(), *counts.iter().max().unwrap())
}

#[test]
fn rounds_use_members_evenly_and_scores_less_evenly() {
    let (members, subset_size, forwarders) = (1_000, 20, 500);
    let (min, max) = usage_range(
        (0..forwarders).map(|forwarder| in_rounds(members, subset_size, forwarder, 3)),
        members,
    );
    assert_eq!((min, max), (10, 10));
    let member_hashes: Vec<u64> = (0..members)
        .map(|index| name_hash(&format!("n{index}")))
        .collect();
    let (min, max) = usage_range(
        (0..forwarders)
            .map(|forwarder| by_score(&member_hashes, subset_size, &format!("f{forwarder}"))),
        members,
    );
    assert!(min >= 1 && max <= 25 && max > min + 8, "{min} {max}");
}

#[test]
fn removing_a_member_replaces_only_that_member_by_score() {
    let member_hashes: Vec<u64> = (0..200)
        .map(|index| name_hash(&format!("n{index}")))
        .collect();
    let before = by_score(&member_hashes, 20, "f1");
    let remaining: Vec<u64> = member_hashes
        .iter()
        .enumerate()
        .filter(|(index, _)| *index != before[3])
        .map(|(_, member_hash)| *member_hash)
        .collect();
    let after: Vec<u64> = by_score(&remaining, 20, "f1")
        .into_iter()
        .map(|index| remaining[index])
        .collect();
    let unchanged = before
        .iter()
        .filter(|index| after.contains(&member_hashes[**index]))
        .count();
    assert_eq!(unchanged, 19);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(19), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn subsets_have_the_configured_size_and_no_duplicates(members in 1usize..400, subset_size in 0usize..60, forwarder in 0usize..900) {
        let subset = in_rounds(members, subset_size, forwarder, 11);
        let expected = if subset_size == 0 { members } else { subset_size.min(members) };
        prop_assert_eq!(subset.len(), expected);
        prop_assert!(subset.windows(2).all(|pair| pair[0] < pair[1]) && subset.iter().all(|index| *index < members));
        prop_assert_eq!(in_rounds(members, subset_size, forwarder, 11), subset);
    }
}
