//! Policies and pools that nothing uses.

use super::Checker;
use crate::codes::Code;
use crate::finding::shorten;
use crate::resolve::Sort;
use crate::Finding;
use foldhash::{HashSet, HashSetExt};

impl Checker<'_, '_, '_> {
    pub(super) fn unused(&mut self) {
        let all = self.all;
        if all.routes.is_empty() {
            return;
        }
        let mut used: HashSet<(Sort, &str)> = HashSet::new();
        for route in &all.routes {
            used.extend([
                (Sort::Limits, &*route.limits),
                (Sort::Attempts, &*route.attempts),
                (Sort::Budget, &*route.budget),
                (Sort::RetryAfter, &*route.retry_after),
            ]);
            used.extend(route.to.iter().map(|target| (Sort::Pool, &*target.pool)));
            used.extend(route.fall_back.iter().map(|name| (Sort::Pool, &**name)));
        }
        for pool in &all.pools {
            used.extend([
                (Sort::Health, &*pool.health),
                (Sort::Limits, &*pool.limits),
                (Sort::Attempts, &*pool.attempts),
                (Sort::RetryAfter, &*pool.retry_after),
                (Sort::Pool, &*pool.fall_back),
            ]);
        }
        let limits = all
            .types
            .iter()
            .map(|one| &one.limits)
            .chain(all.tenants.iter().map(|one| &one.limits));
        used.extend(limits.map(|name| (Sort::Limits, &**name)));
        for sort in Sort::ALL.into_iter().filter(|sort| sort.is_policy()) {
            let of_sort = &self.resolved.blocks[sort as usize];
            let bases: HashSet<&str> = of_sort
                .iter()
                .filter_map(|block| block.base.as_ref())
                .map(|base| &*base.text)
                .collect();
            for block in of_sort {
                let Some(name) = &block.name else { continue };
                if !used.contains(&(sort, &*name.text)) && !bases.contains(&*name.text) {
                    let words =
                        format!("nothing uses the {} `{}`", sort.word(), shorten(&name.text));
                    self.findings
                        .push(Finding::new(Code::UnusedPolicy, block.at(), words));
                }
            }
        }
        for (k, pool) in all.pools.iter().enumerate() {
            if !used.contains(&(Sort::Pool, &*pool.name)) {
                let words = format!("no route leads to the pool `{}`", shorten(&pool.name));
                self.tell(Code::UnusedPool, self.block(Sort::Pool, k).at(), words);
            }
        }
    }
}
