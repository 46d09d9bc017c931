//! Policies and pools that nothing uses.

use super::Checker;
use crate::codes::Code;
use crate::finding::shorten;
use crate::resolve::BlockKind;
use crate::Finding;
use foldhash::{HashSet, HashSetExt};

impl Checker<'_, '_, '_> {
    pub(super) fn unused(&mut self) {
        let all = self.all;
        if all.routes.is_empty() {
            return;
        }
        let mut used: HashSet<(BlockKind, &str)> = HashSet::new();
        for route in &all.routes {
            used.extend([
                (BlockKind::Limits, &*route.limits),
                (BlockKind::Attempts, &*route.attempts),
                (BlockKind::Budget, &*route.budget),
                (BlockKind::RetryAfter, &*route.retry_after),
            ]);
            used.extend(
                route
                    .to
                    .iter()
                    .map(|target| (BlockKind::Pool, &*target.pool)),
            );
            used.extend(
                route
                    .fall_back
                    .iter()
                    .map(|name| (BlockKind::Pool, &**name)),
            );
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
        let limits = all
            .types
            .iter()
            .map(|one| &one.limits)
            .chain(all.tenants.iter().map(|one| &one.limits));
        used.extend(limits.map(|name| (BlockKind::Limits, &**name)));
        for kind in BlockKind::ALL.into_iter().filter(|kind| kind.is_policy()) {
            let of_kind = &self.resolved.blocks[kind as usize];
            let bases: HashSet<&str> = of_kind
                .iter()
                .filter_map(|block| block.base.as_ref())
                .map(|base| &*base.text)
                .collect();
            for block in of_kind {
                let Some(name) = &block.name else { continue };
                if !used.contains(&(kind, &*name.text)) && !bases.contains(&*name.text) {
                    let message =
                        format!("nothing uses the {} `{}`", kind.word(), shorten(&name.text));
                    self.findings
                        .push(Finding::new(Code::UnusedPolicy, block.span(), message));
                }
            }
        }
        for (k, pool) in all.pools.iter().enumerate() {
            if !used.contains(&(BlockKind::Pool, &*pool.name)) {
                let message = format!("no route leads to the pool `{}`", shorten(&pool.name));
                self.report(
                    Code::UnusedPool,
                    self.block(BlockKind::Pool, k).span(),
                    message,
                );
            }
        }
    }
}
