//! Policies and pools that nothing uses.

use super::Checker;
use crate::codes::Code;
use crate::finding::shorten;
use crate::resolve::BlockKind;
use crate::schema::Configuration;
use foldhash::{HashSet, HashSetExt};

/// Names that something refers to, with the kind of block that they name.
type UsedNames<'c> = HashSet<(BlockKind, &'c str)>;

impl Checker<'_, '_, '_> {
    pub(super) fn check_unused(&mut self) {
        // Without routes it is a part of a configuration.
        if self.all.routes.is_empty() {
            return;
        }
        let used = used_names(self.all);
        for kind in BlockKind::ALL.into_iter().filter(|kind| kind.is_policy()) {
            self.check_unused_policies(kind, &used);
        }
        for (index, pool) in self.all.pools.iter().enumerate() {
            if !used.contains(&(BlockKind::Pool, &*pool.name)) {
                let message = format!("no route leads to the pool `{}`", shorten(&pool.name));
                let span = self.block(BlockKind::Pool, index).span();
                self.report(Code::UnusedPool, span, message);
            }
        }
    }

    fn check_unused_policies(&mut self, kind: BlockKind, used: &UsedNames<'_>) {
        let blocks = &self.resolved.blocks[kind as usize];
        let bases = blocks.iter().filter_map(|block| block.base.as_ref());
        let bases: HashSet<&str> = bases.map(|base| &*base.text).collect();
        for block in blocks {
            let Some(name) = &block.name else { continue };
            if !used.contains(&(kind, &*name.text)) && !bases.contains(&*name.text) {
                let message = format!("nothing uses the {} `{}`", kind.word(), shorten(&name.text));
                self.report(Code::UnusedPolicy, block.span(), message);
            }
        }
    }
}

/// What routes, pools, types and tenants refer to.
fn used_names(all: &Configuration) -> UsedNames<'_> {
    let mut used = HashSet::new();
    for route in &all.routes {
        used.extend([
            (BlockKind::Limits, &*route.limits),
            (BlockKind::Attempts, &*route.attempts),
            (BlockKind::Budget, &*route.budget),
            (BlockKind::RetryAfter, &*route.retry_after),
        ]);
        let targets = route.to.iter().map(|target| &target.pool);
        let pools = targets.chain(&route.fall_back);
        used.extend(pools.map(|name| (BlockKind::Pool, &**name)));
    }
    for pool in &all.pools {
        used.extend([
            (BlockKind::Health, &*pool.health),
            (BlockKind::Limits, &*pool.limits),
            (BlockKind::Attempts, &*pool.attempts),
            (BlockKind::RetryAfter, &*pool.retry_after),
            (BlockKind::Pool, &*pool.fall_back),
        ]);
    }
    let of_types = all.types.iter().map(|one| &one.limits);
    let of_tenants = all.tenants.iter().map(|one| &one.limits);
    let limits = of_types.chain(of_tenants);
    used.extend(limits.map(|name| (BlockKind::Limits, &**name)));
    used
}
