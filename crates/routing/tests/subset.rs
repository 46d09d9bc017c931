//! Subsets of a pool: even coverage and little movement.

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

fn known(subsets: impl Iterator<Item = Vec<usize>>, members: usize) -> (usize, usize) {
    let mut known = vec![0; members];
    subsets.flatten().for_each(|k| known[k] += 1);
    (*known.iter().min().unwrap(), *known.iter().max().unwrap())
}

#[test]
fn rounds_cover_members_evenly_and_scores_less_so() {
    let (members, know, forwarders) = (1_000, 20, 500);
    let (least, most) = known(
        (0..forwarders).map(|me| in_rounds(members, know, me, 3)),
        members,
    );
    assert_eq!((least, most), (10, 10));
    let marks: Vec<u64> = (0..members).map(|k| name_hash(&format!("n{k}"))).collect();
    let (least, most) = known(
        (0..forwarders).map(|me| by_score(&marks, know, &format!("f{me}"))),
        members,
    );
    assert!(
        least >= 1 && most <= 25 && most > least + 8,
        "{least} {most}"
    );
}

#[test]
fn a_removed_member_changes_little_by_score() {
    let marks: Vec<u64> = (0..200).map(|k| name_hash(&format!("n{k}"))).collect();
    let before = by_score(&marks, 20, "f1");
    let without: Vec<u64> = marks
        .iter()
        .enumerate()
        .filter(|(k, _)| *k != before[3])
        .map(|(_, m)| *m)
        .collect();
    let after: Vec<u64> = by_score(&without, 20, "f1")
        .into_iter()
        .map(|k| without[k])
        .collect();
    let stays = before
        .iter()
        .filter(|k| after.contains(&marks[**k]))
        .count();
    assert_eq!(stays, 19);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(19), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn subsets_have_the_requested_size_without_duplicates(members in 1usize..400, know in 0usize..60, me in 0usize..900) {
        let mine = in_rounds(members, know, me, 11);
        let wanted = if know == 0 { members } else { know.min(members) };
        prop_assert_eq!(mine.len(), wanted);
        prop_assert!(mine.windows(2).all(|two| two[0] < two[1]) && mine.iter().all(|k| *k < members));
        prop_assert_eq!(in_rounds(members, know, me, 11), mine);
    }
}
