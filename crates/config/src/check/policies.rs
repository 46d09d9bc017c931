//! Policies that limit nothing, take too much or leave out everybody.

use super::Checker;
use crate::ast::Block;
use crate::codes::Code;
use crate::finding::shorten;
use crate::resolve::BlockKind;
use crate::units::{self, ONE};

impl Checker<'_, '_, '_> {
    pub(super) fn policies(&mut self) {
        let all = self.all;
        for (k, one) in all.limits.iter().enumerate() {
            let block = self.block(BlockKind::Limits, k);
            if one.rate.is_none() && one.burst > 0 {
                self.report(
                    Code::BurstAlone,
                    block.span_of("burst"),
                    "a burst without a rate".into(),
                );
            } else if one.rate.is_none() && one.at_once == 0 && !tried(block, &["rate", "at-once"])
            {
                let message = format!("`{}` limits nothing", shorten(&one.name));
                let finding = self.report(Code::LimitEmpty, block.span(), message);
                finding.help = Some("give `rate: 40 tickets/s` or `at-once: 12 tickets`".into());
            }
        }
        for (k, one) in all.health.iter().enumerate() {
            if one.keep == 0 {
                let at = self.block(BlockKind::Health, k).span_of("keep");
                self.report(
                    Code::AllOut,
                    at,
                    "every member could be left out at once".into(),
                );
            }
        }
        for (k, one) in all.budgets.iter().enumerate() {
            let stages = [one.forward, one.queue, one.run, one.call, one.answer];
            let block = self.block(BlockKind::Budget, k);
            let shares: u64 = stages.iter().flatten().map(|stage| stage.share).sum();
            if shares > ONE {
                let message = format!("the stages take {} of the goal time", units::share(shares));
                self.report(Code::BudgetTooLong, block.span(), message);
            } else if stages.iter().flatten().next().is_none() {
                let message = format!("`{}` gives time to no stage", shorten(&one.name));
                self.report(Code::BudgetEmpty, block.span(), message);
            }
        }
    }
}

/// One of the keys is there, though perhaps not readable.
fn tried(block: &Block<'_>, keys: &[&str]) -> bool {
    block
        .entries
        .iter()
        .any(|entry| keys.contains(&&*entry.key.text))
}
