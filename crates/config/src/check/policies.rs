//! Policies that limit nothing, take too much or eject every member.

use super::Checker;
use crate::ast::Block;
use crate::codes::Code;
use crate::finding::shorten;
use crate::resolve::BlockKind;
use crate::schema::{Budget, Stage};
use crate::units::{self, ONE};

/// The stages of a budget that are given time.
pub(super) fn stages(budget: &Budget) -> impl Iterator<Item = Stage> {
    let Budget {
        forward,
        queue,
        run,
        call,
        answer,
        ..
    } = *budget;
    [forward, queue, run, call, answer].into_iter().flatten()
}

impl Checker<'_, '_, '_> {
    pub(super) fn check_policies(&mut self) {
        self.check_limits();
        self.check_health();
        self.check_budgets();
    }

    fn check_limits(&mut self) {
        for (index, limits) in self.all.limits.iter().enumerate() {
            if limits.rate.is_some() {
                continue;
            }
            let block = self.block(BlockKind::Limits, index);
            if limits.burst > 0 {
                let message = "a burst without a rate";
                self.report(Code::BurstAlone, block.span_of("burst"), message);
            } else if limits.at_once == 0 && !has_any(block, &["rate", "at-once"]) {
                let message = format!("`{}` limits nothing", shorten(&limits.name));
                let finding = self.report(Code::LimitEmpty, block.span(), message);
                finding.help = Some("give `rate: 40 tickets/s` or `at-once: 12 tickets`".into());
            }
        }
    }

    fn check_health(&mut self) {
        for (index, health) in self.all.health.iter().enumerate() {
            if health.keep == 0 {
                let span = self.block(BlockKind::Health, index).span_of("keep");
                let message = "every member could be left out at once";
                self.report(Code::AllOut, span, message);
            }
        }
    }

    fn check_budgets(&mut self) {
        for (index, budget) in self.all.budgets.iter().enumerate() {
            let span = self.block(BlockKind::Budget, index).span();
            let shares: u64 = stages(budget).map(|stage| stage.share).sum();
            if shares > ONE {
                let message = format!("the stages take {} of the goal time", units::share(shares));
                self.report(Code::BudgetTooLong, span, message);
            } else if stages(budget).next().is_none() {
                let message = format!("`{}` gives time to no stage", shorten(&budget.name));
                self.report(Code::BudgetEmpty, span, message);
            }
        }
    }
}

/// Whether one of the keys is given, even if its value could not be read.
fn has_any(block: &Block<'_>, keys: &[&str]) -> bool {
    block
        .entries
        .iter()
        .any(|entry| keys.contains(&&*entry.key.text))
}
