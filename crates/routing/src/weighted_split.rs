//! Parting requests by share. By entity with weighted rendezvous hashing: each target's score for an entity
//! depends on the two alone, so when a target leaves only its own entities move, and when it comes back
//! they return. By chance otherwise.

use nanorand::{Rng, WyRand};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// What a name stands for in scores: the same in every process and version.
pub fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// How much a target wants an entity; the highest wins. Weighted rendezvous hashing: -w / ln(u), where u
/// is uniform in (0, 1) over entities, gives each target its weight's part of them.
pub fn score(mark: u64, weight: u64, entity: &str) -> f64 {
    let hash = xxh3_64_with_seed(entity.as_bytes(), mark);
    // 53 bits, kept off both ends: 0 has no logarithm, and that of 1 is 0.
    let uniform = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    weight as f64 / -uniform.ln()
}

/// The target that an entity goes to, of those that can be used; ties go to the first.
///
/// `targets`: mark and weight of each; a weight of 0 is never taken.
pub fn by_entity(
    targets: impl Iterator<Item = (u64, u64)>,
    entity: &str,
    usable: impl Fn(usize) -> bool,
) -> Option<usize> {
    let mut best: Option<(usize, f64)> = None;
    for (k, (mark, weight)) in targets.enumerate() {
        if weight == 0 || !usable(k) {
            continue;
        }
        let score = score(mark, weight, entity);
        if best.is_none_or(|(_, highest)| score > highest) {
            best = Some((k, score));
        }
    }
    best.map(|(k, _)| k)
}

/// A target by chance, in proportion to the weights of those that can be used.
pub fn by_chance(
    weights: impl Iterator<Item = u64> + Clone,
    chance: &mut WyRand,
    usable: impl Fn(usize) -> bool,
) -> Option<usize> {
    let open = || {
        weights
            .clone()
            .enumerate()
            .filter(|(k, weight)| *weight > 0 && usable(*k))
    };
    let all: u64 = open().map(|(_, weight)| weight).sum();
    if all == 0 {
        return None;
    }
    let mut left = chance.generate_range(0..all);
    for (k, weight) in open() {
        if left < weight {
            return Some(k);
        }
        left -= weight;
    }
    None
}

#[cfg(test)]
mod tests {
    use super::*;

    fn targets(names: &[(&str, u64)]) -> Vec<(u64, u64)> {
        names
            .iter()
            .map(|(name, weight)| (name_hash(name), *weight))
            .collect()
    }

    #[test]
    fn shares_are_kept_within_one_percent_over_100_000_tickets() {
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
    fn only_what_the_removed_member_had_moves() {
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
    fn nothing_usable_is_nothing() {
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
}
