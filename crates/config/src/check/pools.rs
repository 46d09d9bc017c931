//! Pools without members, rings of fall-backs, and pools whose members each recognize only their own repeats.

use super::Checker;
use crate::codes::Code;
use crate::finding::shorten;
use crate::resolve::BlockKind;
use crate::schema::{Pool, RepeatKind, Route};
use crate::units;

impl<'k> Checker<'k, '_, '_> {
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

    /// Rule 2: repeats of a ticketed type reach the member that may have run the first attempt.
    pub(super) fn check_ticketed_pools(&mut self, route: &'k Route) {
        let types = self.types_of(route).into_iter();
        let mut ticketed =
            types.filter(|index| self.all.types[*index].repeat() == RepeatKind::Ticketed);
        let Some(first) = ticketed.next() else { return };
        for target in &route.to {
            let Some(index) = self.pools.get(&*target.pool).copied() else {
                continue;
            };
            let pool = &self.all.pools[index];
            if pool.members.len() > 1 && !pool.shared_keys && !self.ticketed_pools[index] {
                self.ticketed_pools[index] = true;
                self.report_own_keys(index, pool, first);
            }
        }
    }

    fn report_own_keys(&mut self, index: usize, pool: &Pool, ticketed: usize) {
        let block = self.block(BlockKind::Pool, index);
        let type_name = shorten(&self.all.types[ticketed].name);
        let repeat = self.block(BlockKind::Type, ticketed).span_of("repeat");
        if pool.know > 0 && pool.know < pool.members.len() as u64 {
            let message = format!(
                "a forwarder that knows {} of {} members may not know the one that ran a ticket of `{type_name}`",
                pool.know,
                pool.members.len()
            );
            let finding = self.report(Code::KnownPart, block.span_of("know"), message);
            finding.add_label(repeat, "ticketed here");
            finding.help = Some("leave out `know`, or lead the type to another pool".into());
        } else if block.entries.iter().all(|entry| entry.key.text != "keys") {
            let window = units::time(self.all.types[ticketed].window_ns);
            let message = format!(
                "each ticket of `{type_name}` goes to one member of `{}` only, for {window}",
                shorten(&pool.name)
            );
            let finding = self.report(Code::OwnMember, block.span(), message);
            finding.add_label(repeat, "ticketed here");
            finding.help =
                Some("write `keys: own`, or `keys: shared` for the nodes of one group".into());
        }
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
