//! Pools without members, and rings of fall-backs.

use super::Checker;
use crate::codes::Code;
use crate::finding::shorten;
use crate::resolve::Sort;

impl Checker<'_, '_, '_> {
    pub(super) fn pools(&mut self) {
        for (k, pool) in self.all.pools.iter().enumerate() {
            let block = self.block(Sort::Pool, k);
            if pool.members.is_empty()
                && !block.blocks.iter().any(|inner| inner.kind.text == "member")
            {
                let words = format!("the pool `{}` has no members", shorten(&pool.name));
                self.tell(Code::NoMembers, block.at(), words);
            }
        }
        self.fall_back_rings();
    }

    /// Every pool has at most one fall-back, so each walk ends or comes to a ring; each pool is walked once.
    pub(super) fn fall_back_rings(&mut self) {
        let all = self.all;
        let mut walked_by = vec![usize::MAX; all.pools.len()];
        for start in 0..all.pools.len() {
            let (mut at, mut path): (usize, Vec<usize>) = (start, Vec::new());
            loop {
                if walked_by[at] == start {
                    let begin = path.iter().position(|one| *one == at).unwrap_or(0);
                    let mut names: Vec<String> = path[begin..]
                        .iter()
                        .map(|one| shorten(&all.pools[*one].name))
                        .collect();
                    names.push(names[0].clone());
                    let words = format!("pools fall back in a ring: {}", names.join(" -> "));
                    let last = path[path.len() - 1];
                    let place = self.block(Sort::Pool, last).place("fall-back");
                    let first = self.block(Sort::Pool, at).at();
                    self.tell(Code::FallBackRing, place, words)
                        .also
                        .push((first, "back to here".into()));
                    break;
                }
                if walked_by[at] != usize::MAX {
                    break;
                }
                walked_by[at] = start;
                path.push(at);
                match self.pools.get(&*all.pools[at].fall_back) {
                    Some(next) => at = *next,
                    None => break,
                }
            }
        }
    }
}
