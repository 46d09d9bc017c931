//! Pools without members, and rings of fall-backs.

use super::Checker;
use crate::codes::Code;
use crate::finding::shorten;
use crate::resolve::BlockKind;

impl Checker<'_, '_, '_> {
    pub(super) fn check_pools(&mut self) {
        for (index, pool) in self.all.pools.iter().enumerate() {
            let block = self.block(BlockKind::Pool, index);
            // A member that could not be read is one too.
            let has_member = block.blocks.iter().any(|inner| inner.kind.text == "member");
            if pool.members.is_empty() && !has_member {
                let message = format!("the pool `{}` has no members", shorten(&pool.name));
                self.report(Code::NoMembers, block.span(), message);
            }
        }
        self.check_fall_back_rings();
    }

    /// Every pool has at most one fall-back, so each walk ends or comes to a ring; each pool is walked once.
    fn check_fall_back_rings(&mut self) {
        let pools = &self.all.pools;
        let mut walked_from = vec![None; pools.len()];
        for start in 0..pools.len() {
            let mut path = Vec::new();
            let mut next = Some(start);
            while let Some(pool) = next {
                if walked_from[pool] == Some(start) {
                    self.report_fall_back_ring(&path, pool);
                    break;
                }
                if walked_from[pool].is_some() {
                    break;
                }
                walked_from[pool] = Some(start);
                path.push(pool);
                next = self.pools.get(&*pools[pool].fall_back).copied();
            }
        }
    }

    /// `path` ends at the pool that falls back on `first`, which is in it.
    fn report_fall_back_ring(&mut self, path: &[usize], first: usize) {
        let begin = path.iter().position(|pool| *pool == first).unwrap_or(0);
        let ring = path[begin..].iter().chain([&first]);
        let names: Vec<_> = ring
            .map(|pool| shorten(&self.all.pools[*pool].name))
            .collect();
        let message = format!("pools fall back in a ring: {}", names.join(" -> "));
        let last = path[path.len() - 1];
        let span = self.block(BlockKind::Pool, last).span_of("fall-back");
        let first_span = self.block(BlockKind::Pool, first).span();
        self.report(Code::FallBackRing, span, message)
            .add_label(first_span, "back to here");
    }
}
