//! Weighted splits by chance and by entity.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use nanorand::WyRand;
use rainstand_routing::weighted_split::*;

fn targets(names: &[(&str, u64)]) -> Vec<(u64, u64)> {
    names
        .iter()
        .map(|(name, weight)| (name_hash(name), *weight))
        .collect()
}

#[test]
fn shares_hold_within_one_percent_over_100_000_requests() {
    let parts = targets(&[("a", 60), ("b", 30), ("c", 10)]);
    let mut chance = WyRand::new_seed(3);
    let (mut by_entities, mut by_chances) = ([0u32; 3], [0u32; 3]);
    for n in 0..100_000 {
        let entity = format!("NO-{n}");
        by_entities[by_entity(parts.iter().copied(), &entity, |_| true).unwrap()] += 1;
        by_chances[by_chance(parts.iter().map(|p| p.1), &mut chance, |_| true).unwrap()] += 1;
    }
    for counts in [by_entities, by_chances] {
        for (count, share) in counts.into_iter().zip([60_000, 30_000, 10_000]) {
            assert!(count.abs_diff(share) <= 1_000, "{counts:?}");
        }
    }
}

#[test]
fn only_entities_of_the_removed_member_move() {
    const MEMBERS: usize = 12;
    let names: Vec<_> = (0..MEMBERS)
        .map(|n| (format!("10.0.0.{n}:5050"), 1 + n as u64 % 3))
        .collect();
    let names: Vec<_> = names
        .iter()
        .map(|(name, weight)| (name.as_str(), *weight))
        .collect();
    let parts = targets(&names);
    let sum: u64 = names.iter().map(|(_, weight)| weight).sum();
    for (gone, (_, weight)) in names.iter().enumerate() {
        let mut moved = 0u32;
        for n in 0..20_000 {
            let entity = format!("{n}");
            let before = by_entity(parts.iter().copied(), &entity, |_| true).unwrap();
            let after = by_entity(parts.iter().copied(), &entity, |k| k != gone).unwrap();
            assert!(
                before == gone || before == after,
                "an entity moved that had no reason to"
            );
            moved += u32::from(before != after);
        }
        let fair = 20_000.0 * *weight as f64 / sum as f64;
        assert!(
            (f64::from(moved) / fair - 1.0).abs() < 0.1,
            "{gone}: {moved} of {fair}"
        );
    }
}

#[test]
fn no_usable_target_selects_none() {
    let parts = targets(&[("a", 1), ("b", 0)]);
    assert_eq!(by_entity(parts.iter().copied(), "x", |k| k == 1), None);
    let mut chance = WyRand::new_seed(3);
    assert_eq!(
        by_chance(parts.iter().map(|p| p.1), &mut chance, |k| k == 1),
        None
    );
    assert_eq!(
        by_chance(parts.iter().map(|p| p.1), &mut chance, |_| true),
        Some(0)
    );
}
