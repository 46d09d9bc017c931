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
