//! Shares of tenants and dependencies, which may not add up to more than 100 %.

use super::Checker;
use crate::codes::Code;
use crate::finding::shorten;
use crate::resolve::BlockKind;
use crate::units::{self, ONE};
use foldhash::{HashMap, HashMapExt};

/// The share of an item, in millionths, with the item's index in the message.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ItemShare {
    index: usize,
    share: u64,
}

fn saturating_sum(shares: &[ItemShare]) -> u64 {
    shares
        .iter()
        .fold(0, |sum, one| sum.saturating_add(one.share))
}

impl Checker<'_, '_, '_> {
    pub(super) fn check_tenant_shares(&mut self) {
        let tenants = self.all.tenants.iter().enumerate();
        let shares: Vec<_> = tenants
            .map(|(index, tenant)| ItemShare {
                index,
                share: tenant.share,
            })
            .collect();
        self.check_sum(
            Code::TenantShares,
            BlockKind::Tenant,
            &shares,
            "the shares of all tenants",
        );
    }

    /// Dependencies for all types count for each type.
    pub(super) fn check_dependency_shares(&mut self) {
        let mut by_type: HashMap<&str, Vec<ItemShare>> = HashMap::new();
        let mut of_all_types = Vec::new();
        for (index, dependency) in self.all.dependencies.iter().enumerate() {
            let share = ItemShare {
                index,
                share: dependency.share,
            };
            if dependency.types.is_empty() {
                of_all_types.push(share);
            }
            for name in &dependency.types {
                by_type.entry(name).or_default().push(share);
            }
        }
        let (code, kind) = (Code::DependencyShares, BlockKind::Dependency);
        self.check_sum(code, kind, &of_all_types, "the shares for all types");
        let plain_sum = |shares: &[ItemShare]| shares.iter().map(|one| one.share).sum::<u64>();
        let sum_of_all_types = plain_sum(&of_all_types);
        if sum_of_all_types > ONE {
            return;
        }
        let mut by_type: Vec<_> = by_type.into_iter().collect();
        by_type.sort_unstable();
        for (name, mut shares) in by_type {
            if plain_sum(&shares) + sum_of_all_types > ONE {
                shares.extend(&of_all_types);
                shares.sort_unstable();
                let subject = format!("the shares for `{}`", shorten(name));
                self.check_sum(code, kind, &shares, &subject);
            }
        }
    }

    /// Reports the item with which a sum of shares goes over 100 %.
    fn check_sum(&mut self, code: Code, kind: BlockKind, shares: &[ItemShare], subject: &str) {
        let mut running_sum = 0u64;
        let over = shares.iter().find(|one| {
            running_sum = running_sum.saturating_add(one.share);
            running_sum > ONE
        });
        let Some(over) = over else { return };
        let message = format!(
            "{subject} add up to {}",
            units::share(saturating_sum(shares))
        );
        let first = shares
            .iter()
            .find(|one| one.share > 0)
            .map_or(over.index, |one| one.index);
        let first_span = self.block(kind, first).span_of("share");
        let span = self.block(kind, over.index).span_of("share");
        let finding = self.report(code, span, message);
        if first != over.index {
            finding.add_label(first_span, "the first of them");
        }
    }
}
