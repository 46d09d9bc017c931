//! Shares of tenants and dependencies, which may not add up to more than 100 %, and what a dependency's failure may do.

use super::Checker;
use crate::codes::Code;
use crate::finding::shorten;
use crate::resolve::Sort;
use crate::schema::{OnFailure, RepeatKind, TrafficType};
use crate::units::{self, ONE};
use foldhash::{HashMap, HashMapExt};

impl Checker<'_, '_, '_> {
    /// Tells of the item with which a sum of shares goes over 100 %.
    pub(super) fn over_whole(
        &mut self,
        code: Code,
        sort: Sort,
        shares: &[(usize, u64)],
        what: &str,
    ) {
        let mut sum = 0u64;
        for (k, share) in shares {
            let before = sum;
            sum = sum.saturating_add(*share);
            if before <= ONE && sum > ONE {
                let all = shares
                    .iter()
                    .fold(0u64, |all, (_, share)| all.saturating_add(*share));
                let words = format!("{what} add up to {}", units::share(all));
                let first = shares
                    .iter()
                    .find(|(_, share)| *share > 0)
                    .map_or(*k, |(first, _)| *first);
                let other = self.block(sort, first).place("share");
                let finding = self.tell(code, self.block(sort, *k).place("share"), words);
                if first != *k {
                    finding.also.push((other, "the first of them".into()));
                }
            }
        }
    }

    pub(super) fn tenants(&mut self) {
        let shares: Vec<_> = self
            .all
            .tenants
            .iter()
            .map(|one| one.share)
            .enumerate()
            .collect();
        self.over_whole(
            Code::TenantShares,
            Sort::Tenant,
            &shares,
            "the shares of all tenants",
        );
    }

    pub(super) fn dependencies(&mut self) {
        let all = self.all;
        for (k, one) in all.dependencies.iter().enumerate() {
            if one.on_failure() != OnFailure::Partial {
                continue;
            }
            let named: Vec<&TrafficType> = if one.types.is_empty() {
                all.types.iter().collect()
            } else {
                one.types
                    .iter()
                    .filter_map(|name| self.types.get(&**name))
                    .map(|at| &all.types[*at])
                    .collect()
            };
            let found = named
                .into_iter()
                .find(|of| matches!(of.repeat(), RepeatKind::Exclusive | RepeatKind::Ticketed));
            if let Some(of) = found {
                let words = format!(
                    "`{}` would get a partial answer that hides whether its effect took place",
                    shorten(&of.name)
                );
                let other = self
                    .block(Sort::Type, self.types[&*of.name])
                    .place("repeat");
                let at = self.block(Sort::Dependency, k).place("on-failure");
                let finding = self.tell(Code::PartialExclusive, at, words);
                finding.also.push((other, "not rerunnable".into()));
                finding.help = Some("name the types it is for, or write `give-up`".into());
            }
        }
        // Those for all types count for each; one type at a time is looked at where some are for few.
        let mut by_type: HashMap<&str, Vec<(usize, u64)>> = HashMap::new();
        let mut general = Vec::new();
        for (k, one) in all.dependencies.iter().enumerate() {
            if one.types.is_empty() {
                general.push((k, one.share));
            }
            for name in &one.types {
                by_type.entry(name).or_default().push((k, one.share));
            }
        }
        self.over_whole(
            Code::DependencyShares,
            Sort::Dependency,
            &general,
            "the shares for all types",
        );
        let sum: u64 = general.iter().map(|(_, share)| share).sum();
        let mut named: Vec<_> = by_type.into_iter().collect();
        named.sort_unstable();
        for (name, mut shares) in named {
            if sum <= ONE && shares.iter().map(|(_, share)| share).sum::<u64>() + sum > ONE {
                shares.extend(&general);
                shares.sort_unstable();
                let what = format!("the shares for `{}`", shorten(name));
                self.over_whole(Code::DependencyShares, Sort::Dependency, &shares, &what);
            }
        }
    }
}
