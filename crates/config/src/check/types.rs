//! The times of a traffic type.

use super::Checker;
use crate::codes::Code;
use crate::resolve::BlockKind;
use crate::schema::RepeatKind;
use crate::units;

impl Checker<'_, '_, '_> {
    pub(super) fn types(&mut self) {
        for (k, one) in self.all.types.iter().enumerate() {
            let block = self.block(BlockKind::Type, k);
            let (goal, outer) = (one.goal_ns, one.outer_limit_ns);
            if goal > 0 && outer > 0 && goal > outer {
                let message = format!(
                    "the goal time {} lies past the outer limit {}",
                    units::time(goal),
                    units::time(outer)
                );
                self.report(Code::GoalPastLimit, block.span_of("goal"), message)
                    .add_label(block.span_of("outer-limit"), "the outer limit");
            }
            if one.repeat() == RepeatKind::Ticketed && one.window_ns > 0 && one.window_ns < outer {
                let message = format!(
                    "the window of {} ends before the outer limit of {}",
                    units::time(one.window_ns),
                    units::time(outer)
                );
                self.report(Code::Window, block.span_of("repeat"), message)
                    .add_label(block.span_of("outer-limit"), "the outer limit");
            }
        }
    }
}
