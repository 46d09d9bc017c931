//! Weighted splits at random and by entity.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use nanorand::WyRand;
use rainstand_routing::weighted_split::*;

fn hash_targets(names: &[(&str, u64)]) -> Vec<(u64, u64)> {
    names
        .iter()
        .map(|(name, weight)| (name_hash(name), *weight))
        .collect()
}

#[test]
fn shares_are_within_one_percent_over_100_000_requests() {
    let targets = hash_targets(&[("a", 60), ("b", 30), ("c", 10)]);
    let mut rng = WyRand::new_seed(3);
    let (mut entity_counts, mut random_counts) = ([0u32; 3], [0u32; 3]);
    for n in 0..100_000 {
        let entity = format!("NO-{n}");
        entity_counts[select_by_entity(targets.iter().copied(), &entity, |_| true).unwrap()] += 1;
        random_counts
            [select_at_random(targets.iter().map(|t| t.1), &mut rng, |_| true).unwrap()] += 1;
    }
    for counts in [entity_counts, random_counts] {
        for (count, share) in counts.into_iter().zip([60_000, 30_000, 10_000]) {
            assert!(count.abs_diff(share) <= 1_000, "{counts:?}");
        }
    }
}

#[test]
fn only_entities_of_the_removed_target_move() {
    const TARGETS: usize = 12;
    let names: Vec<_> = (0..TARGETS)
        .map(|n| (format!("10.0.0.{n}:5050"), 1 + n as u64 % 3))
        .collect();
    let names: Vec<_> = names
        .iter()
        .map(|(name, weight)| (name.as_str(), *weight))
        .collect();
    let targets = hash_targets(&names);
    let total_weight: u64 = names.iter().map(|(_, weight)| weight).sum();
    for (removed, (_, weight)) in names.iter().enumerate() {
        let mut moved = 0u32;
        for n in 0..20_000 {
            let entity = format!("{n}");
            let before = select_by_entity(targets.iter().copied(), &entity, |_| true).unwrap();
            let after =
                select_by_entity(targets.iter().copied(), &entity, |k| k != removed).unwrap();
            assert!(
                before == removed || before == after,
                "an entity of a remaining target moved"
            );
            moved += u32::from(before != after);
        }
        let expected = 20_000.0 * *weight as f64 / total_weight as f64;
        assert!(
            (f64::from(moved) / expected - 1.0).abs() < 0.1,
            "{removed}: {moved} moved, {expected} expected"
        );
    }
}

#[test]
fn no_target_is_selected_if_none_is_usable() {
    let targets = hash_targets(&[("a", 1), ("b", 0)]);
    assert_eq!(
        select_by_entity(targets.iter().copied(), "x", |k| k == 1),
        None
    );
    let mut rng = WyRand::new_seed(3);
    assert_eq!(
        select_at_random(targets.iter().map(|t| t.1), &mut rng, |k| k == 1),
        None
    );
    assert_eq!(
        select_at_random(targets.iter().map(|t| t.1), &mut rng, |_| true),
        Some(0)
    );
}
