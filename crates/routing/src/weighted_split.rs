//! Splits requests among weighted targets: by entity, with weighted rendezvous hashing, or at random. A target's score
//! for an entity depends on these two alone, so removing a target moves only the entities assigned to it, and adding it
//! back moves them back.

use nanorand::{Rng, WyRand};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The hash of a name: the same in every process and version.
pub fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// The score of a target for an entity; the target with the highest score is selected. Weighted rendezvous hashing:
/// -w / ln(u), with u uniform in (0, 1) over entities, gives each target entities in proportion to its weight.
pub fn score(target_hash: u64, weight: u64, entity: &str) -> f64 {
    let hash = xxh3_64_with_seed(entity.as_bytes(), target_hash);
    // 53 bits, strictly between 0 and 1: 0 has no logarithm, and that of 1 is 0.
    let uniform = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    weight as f64 / -uniform.ln()
}

/// Selects the usable target with the highest score for an entity; of equal scores, the first.
///
/// `targets`: name hash and weight of each; a target of weight 0 is never selected.
pub fn select_by_entity(
    targets: impl Iterator<Item = (u64, u64)>,
    entity: &str,
    usable: impl Fn(usize) -> bool,
) -> Option<usize> {
    let mut best: Option<(usize, f64)> = None;
    for (index, (target_hash, weight)) in targets.enumerate() {
        if weight == 0 || !usable(index) {
            continue;
        }
        let score = score(target_hash, weight, entity);
        if best.is_none_or(|(_, best_score)| score > best_score) {
            best = Some((index, score));
        }
    }
    best.map(|(index, _)| index)
}

/// Selects a usable target at random, with a probability in proportion to its weight.
pub fn select_at_random(
    weights: impl Iterator<Item = u64> + Clone,
    rng: &mut WyRand,
    usable: impl Fn(usize) -> bool,
) -> Option<usize> {
    let usable = |(index, weight): &(usize, u64)| *weight > 0 && usable(*index);
    let candidates = weights.enumerate().filter(usable);
    let total: u64 = candidates.clone().map(|(_, weight)| weight).sum();
    if total == 0 {
        return None;
    }
    let mut remaining = rng.generate_range(0..total);
    for (index, weight) in candidates {
        if remaining < weight {
            return Some(index);
        }
        remaining -= weight;
    }
    None
}
