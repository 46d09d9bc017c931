//! Policies that limit nothing, take too much or leave out everybody.

use super::Checker;
use crate::ast::Block;
use crate::codes::Code;
use crate::finding::shorten;
use crate::resolve::Sort;
use crate::units::{self, ONE};

impl Checker<'_, '_, '_> {
    pub(super) fn policies(&mut self) {
        let all = self.all;
        for (k, one) in all.limits.iter().enumerate() {
            let block = self.block(Sort::Limits, k);
            if one.rate.is_none() && one.burst > 0 {
                self.tell(
                    Code::BurstAlone,
                    block.place("burst"),
                    "a burst without a rate".into(),
                );
            } else if one.rate.is_none() && one.at_once == 0 && !tried(block, &["rate", "at-once"])
            {
                let words = format!("`{}` limits nothing", shorten(&one.name));
                let finding = self.tell(Code::LimitEmpty, block.at(), words);
                finding.help = Some("give `rate: 40 tickets/s` or `at-once: 12 tickets`".into());
            }
        }
        for (k, one) in all.health.iter().enumerate() {
            if one.keep == 0 {
                let at = self.block(Sort::Health, k).place("keep");
                self.tell(
                    Code::AllOut,
                    at,
                    "every member could be left out at once".into(),
                );
            }
        }
        for (k, one) in all.budgets.iter().enumerate() {
            let stages = [one.forward, one.queue, one.run, one.call, one.answer];
            let block = self.block(Sort::Budget, k);
            let shares: u64 = stages.iter().flatten().map(|stage| stage.share).sum();
            if shares > ONE {
                let words = format!("the stages take {} of the goal time", units::share(shares));
                self.tell(Code::BudgetTooLong, block.at(), words);
            } else if stages.iter().flatten().next().is_none() {
                let words = format!("`{}` gives time to no stage", shorten(&one.name));
                self.tell(Code::BudgetEmpty, block.at(), words);
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
