//! Assignment of sparse ranks to an ordered list, so that a change of order changes as few ranks as possible.

use std::ops::Range;

/// Distance of two neighbours when ranks are assigned without constraint: the gap between them can be halved 32 times.
const RANK_STEP: u64 = 1 << 32;

/// Strictly rising ranks for a list of which `current` holds the present ranks, in the new order; `None` for new
/// entries. Entries in a longest rising subsequence keep their rank. If some gap has no ranks left, all are reassigned.
pub(super) fn assign_ranks(current: &[Option<u64>]) -> Vec<u64> {
    let mut ranks = vec![None; current.len()];
    for index in longest_rising_subsequence(current) {
        ranks[index] = current[index];
    }
    let mut start = 0;
    while start < ranks.len() {
        if ranks[start].is_some() {
            start += 1;
            continue;
        }
        let end = (start..ranks.len())
            .find(|index| ranks[*index].is_some())
            .unwrap_or(ranks.len());
        if fill_gap(&mut ranks, start..end).is_none() {
            return evenly_spaced(current.len());
        }
        start = end;
    }
    ranks.into_iter().flatten().collect()
}

/// Assigns ranks to `gap`, evenly between its neighbours; `None` if there are too few ranks between them.
fn fill_gap(ranks: &mut [Option<u64>], gap: Range<usize>) -> Option<()> {
    let before = gap.start.checked_sub(1);
    let lower = before.and_then(|index| ranks[index]).unwrap_or(0);
    let upper = ranks.get(gap.end).copied().flatten();
    let intervals = gap.len() as u64 + 1;
    let step = match upper {
        Some(upper) => (upper - lower) / intervals,
        None => RANK_STEP.min((u64::MAX - lower) / intervals),
    };
    if step == 0 {
        return None;
    }
    for (position, rank) in (1..).zip(&mut ranks[gap]) {
        *rank = Some(lower + position * step);
    }
    Some(())
}

fn evenly_spaced(count: usize) -> Vec<u64> {
    (1..=count as u64)
        .map(|position| position * RANK_STEP)
        .collect()
}

/// Indices of a longest strictly rising subsequence; indices without a number are not part of it.
fn longest_rising_subsequence(numbers: &[Option<u64>]) -> Vec<usize> {
    // For each length, the index of the smallest number that ends a rising subsequence of that length.
    let mut ends: Vec<usize> = Vec::new();
    let mut predecessors = vec![None; numbers.len()];
    for (index, number) in numbers.iter().enumerate() {
        if number.is_none() {
            continue;
        }
        let length = ends.partition_point(|end| numbers[*end] < *number);
        predecessors[index] = length.checked_sub(1).map(|shorter| ends[shorter]);
        match ends.get_mut(length) {
            Some(end) => *end = index,
            None => ends.push(index),
        }
    }
    let mut subsequence = Vec::with_capacity(ends.len());
    let mut next = ends.last().copied();
    while let Some(index) = next {
        subsequence.push(index);
        next = predecessors[index];
    }
    subsequence.reverse();
    subsequence
}
