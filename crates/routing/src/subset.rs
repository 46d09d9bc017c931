//! Which members of a large pool a forwarder uses (subsetting), without communication among forwarders.
//!
//! In rounds: the members are shuffled in the same way for all forwarders of a round, and each of these takes its own
//! slice. Over complete rounds every member is used by the same number of forwarders. By score: each forwarder takes the
//! members that score highest for its name; a member that is added or removed changes little, but some members are used
//! by few forwarders, which makes the load uneven.
//!
//! Invariant: a subset holds `know` different members, or all if there are no more.

use crate::weighted_split::{name_hash, score};
use nanorand::{Rng, WyRand};
use rainstand_config::schema::{Configuration, Pool};

/// Reduces each pool with a configured subset size to the members of forwarder number `me`, in rounds: decisions and
/// reports are about them alone. Pools are shuffled differently, so that an uneven subset does not repeat.
///
/// ```
/// use rainstand_config::{load, source::Memory};
/// use rainstand_routing::subset::reduce;
/// let text = "rain 1
/// pool p { know: 1; member a { address: \"10.0.0.1:1\" } member b { address: \"10.0.0.2:1\" } }
/// route r { to: p }";
/// let whole = load(&Memory::new([("a.rain", text)]), "a.rain").configuration.unwrap();
/// let (mut first, mut second) = (whole.clone(), whole);
/// reduce(&mut first, 0);
/// reduce(&mut second, 1);
/// assert_eq!((first.pools[0].members.len(), second.pools[0].members.len()), (1, 1));
/// assert_ne!(first.pools[0].members, second.pools[0].members);
/// ```
pub fn reduce(configuration: &mut Configuration, me: usize) {
    configuration
        .pools
        .iter_mut()
        .for_each(|pool| reduce_pool(pool, me));
}

/// As [`reduce`], for one pool with all its members, as an update of the table has it.
pub fn reduce_pool(pool: &mut Pool, me: usize) {
    let know = usize::try_from(pool.know).unwrap_or(usize::MAX);
    let mine = in_rounds(pool.members.len(), know, me, name_hash(&pool.name));
    let all = std::mem::take(&mut pool.members);
    let mut mine = mine.into_iter().peekable();
    let known = all
        .into_iter()
        .enumerate()
        .filter(|(k, _)| mine.next_if_eq(k).is_some());
    pool.members = known.map(|(_, member)| member).collect();
}

/// The indices of the members that forwarder number `me` uses, in rounds, in ascending order.
///
/// ```
/// use rainstand_routing::subset::in_rounds;
/// // Ten members, two each: five forwarders are a round, and together use each member once.
/// let mut all: Vec<usize> = (0..5).flat_map(|me| in_rounds(10, 2, me, 7)).collect();
/// all.sort();
/// assert_eq!(all, (0..10).collect::<Vec<_>>());
/// ```
pub fn in_rounds(members: usize, know: usize, me: usize, seed: u64) -> Vec<usize> {
    if know == 0 || know >= members {
        return (0..members).collect();
    }
    let a_round = members / know;
    let (round, place) = (me / a_round, me % a_round);
    let mut chance = WyRand::new_seed(seed ^ (round as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let mut order: Vec<usize> = (0..members).collect();
    chance.shuffle(&mut order);
    // Members that a round leaves over come first in the order of the next rounds in turn.
    let left_over = members - a_round * know;
    let start = (round * left_over.max(1)) % members;
    order.rotate_left(start);
    let mut mine = order[place * know..(place + 1) * know].to_vec();
    mine.sort_unstable();
    mine
}

/// The indices of the members that score highest for a forwarder's name, in ascending order. `marks`: of the members
/// ([`crate::weighted_split::name_hash`]).
pub fn by_score(marks: &[u64], know: usize, me: &str) -> Vec<usize> {
    if know == 0 || know >= marks.len() {
        return (0..marks.len()).collect();
    }
    let mut rated: Vec<(f64, usize)> = marks
        .iter()
        .enumerate()
        .map(|(k, mark)| (score(*mark, 1, me), k))
        .collect();
    rated.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
    let mut mine: Vec<usize> = rated[..know].iter().map(|(_, k)| *k).collect();
    mine.sort_unstable();
    mine
}
