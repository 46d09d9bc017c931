//! Subsetting: determines which members of a large pool a forwarder uses, without communication among forwarders.
//!
//! In rounds: the members are shuffled in the same way for all forwarders of a round, and each of these takes a
//! different slice. Over complete rounds every member is used by the same number of forwarders. By score: each
//! forwarder takes the members that score highest for its name; adding or removing a member changes few subsets, but
//! some members are used by few forwarders, which makes the load uneven.
//!
//! Invariant: a subset holds `subset_size` different members, or all members if the pool has fewer.

use crate::weighted_split::{name_hash, score};
use nanorand::{Rng, WyRand};
use rainstand_config::schema::{Configuration, Pool};

/// Reduces each pool with a configured subset size to the members that forwarder number `forwarder` uses, in rounds:
/// decisions and reports cover only these. Pools are shuffled differently, so that an uneven subset does not repeat.
///
/// ```
/// use rainstand_config::{load, source::Memory};
/// use rainstand_routing::subset::reduce;
/// let text = "rain 1
/// pool p { know: 1; member a { address: \"10.0.0.1:1\" } member b { address: \"10.0.0.2:1\" } }
/// route r { to: p }";
/// let configuration = load(&Memory::new([("a.rain", text)]), "a.rain").configuration.unwrap();
/// let (mut first, mut second) = (configuration.clone(), configuration);
/// reduce(&mut first, 0);
/// reduce(&mut second, 1);
/// assert_eq!((first.pools[0].members.len(), second.pools[0].members.len()), (1, 1));
/// assert_ne!(first.pools[0].members, second.pools[0].members);
/// ```
pub fn reduce(configuration: &mut Configuration, forwarder: usize) {
    configuration
        .pools
        .iter_mut()
        .for_each(|pool| reduce_pool(pool, forwarder));
}

/// As [`reduce`], for one pool that has all its members, as in an update of the routing table.
pub fn reduce_pool(pool: &mut Pool, forwarder: usize) {
    let subset_size = usize::try_from(pool.know).unwrap_or(usize::MAX);
    let subset = in_rounds(
        pool.members.len(),
        subset_size,
        forwarder,
        name_hash(&pool.name),
    );
    let all = std::mem::take(&mut pool.members);
    let mut subset = subset.into_iter().peekable();
    let selected = all
        .into_iter()
        .enumerate()
        .filter(|(index, _)| subset.next_if_eq(index).is_some());
    pool.members = selected.map(|(_, member)| member).collect();
}

/// The indices of the members that forwarder number `forwarder` uses, in rounds, in ascending order.
///
/// ```
/// use rainstand_routing::subset::in_rounds;
/// // Ten members, two for each forwarder: the five forwarders of a round together use each member once.
/// let mut all: Vec<usize> = (0..5).flat_map(|forwarder| in_rounds(10, 2, forwarder, 7)).collect();
/// all.sort();
/// assert_eq!(all, (0..10).collect::<Vec<_>>());
/// ```
pub fn in_rounds(members: usize, subset_size: usize, forwarder: usize, seed: u64) -> Vec<usize> {
    if subset_size == 0 || subset_size >= members {
        return (0..members).collect();
    }
    let round_size = members / subset_size;
    let (round, position) = (forwarder / round_size, forwarder % round_size);
    let mut rng = WyRand::new_seed(seed ^ (round as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let mut order: Vec<usize> = (0..members).collect();
    rng.shuffle(&mut order);
    // Rotated so that the members that a round leaves unused come first in the order of the next rounds.
    let remainder = members - round_size * subset_size;
    let start = (round * remainder.max(1)) % members;
    order.rotate_left(start);
    let mut subset = order[position * subset_size..(position + 1) * subset_size].to_vec();
    subset.sort_unstable();
    subset
}

/// The indices of the members that score highest for a forwarder's name, in ascending order. `member_hashes`: hashes of
/// the members' names ([`crate::weighted_split::name_hash`]).
pub fn by_score(member_hashes: &[u64], subset_size: usize, forwarder: &str) -> Vec<usize> {
    if subset_size == 0 || subset_size >= member_hashes.len() {
        return (0..member_hashes.len()).collect();
    }
    let mut scored: Vec<(f64, usize)> = member_hashes
        .iter()
        .enumerate()
        .map(|(index, member_hash)| (score(*member_hash, 1, forwarder), index))
        .collect();
    scored.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
    let mut subset: Vec<usize> = scored[..subset_size]
        .iter()
        .map(|(_, index)| *index)
        .collect();
    subset.sort_unstable();
    subset
}
