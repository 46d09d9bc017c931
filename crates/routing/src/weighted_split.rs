//! Splits requests by share. By entity, with weighted rendezvous hashing: a target's score for an entity depends on the
//! two alone, so when a target leaves only its own entities move, and when it comes back they return. At random
//! otherwise.

use nanorand::{Rng, WyRand};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The hash of a name: the same in every process and version.
pub fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// The score of a target for an entity; the highest wins. Weighted rendezvous hashing: -w / ln(u), where u is uniform in
/// (0, 1) over entities, gives each target its weight's part of them.
pub fn score(mark: u64, weight: u64, entity: &str) -> f64 {
    let hash = xxh3_64_with_seed(entity.as_bytes(), mark);
    // 53 bits, kept off both ends: 0 has no logarithm, and that of 1 is 0.
    let uniform = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    weight as f64 / -uniform.ln()
}

/// Selects the target of an entity, of those that can be used; ties go to the first.
///
/// `targets`: hash and weight of each; a weight of 0 is never selected.
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

/// Selects a target at random, in proportion to the weights of those that can be used.
pub fn by_chance(
    weights: impl Iterator<Item = u64> + Clone,
    chance: &mut WyRand,
    usable: impl Fn(usize) -> bool,
) -> Option<usize> {
    let usable = |(k, weight): &(usize, u64)| *weight > 0 && usable(*k);
    let candidates = weights.enumerate().filter(usable);
    let total: u64 = candidates.clone().map(|(_, weight)| weight).sum();
    if total == 0 {
        return None;
    }
    let mut left = chance.generate_range(0..total);
    for (k, weight) in candidates {
        if left < weight {
            return Some(k);
        }
        left -= weight;
    }
    None
}
