//! The times of a traffic type.

use super::Checker;
use crate::codes::Code;
use crate::resolve::BlockKind;
use crate::schema::RepeatKind;
use crate::units;

impl Checker<'_, '_, '_> {
    /// The latency objective lies within the deadline, and repeats are recognised until the deadline.
    pub(super) fn check_types(&mut self) {
        for (index, one) in self.all.types.iter().enumerate() {
            let block = self.block(BlockKind::Type, index);
            let (goal_ns, deadline_ns) = (one.goal_ns, one.outer_limit_ns);
            if goal_ns > 0 && deadline_ns > 0 && goal_ns > deadline_ns {
                let message = format!(
                    "the goal time {} lies past the outer limit {}",
                    units::time(goal_ns),
                    units::time(deadline_ns)
                );
                self.report(Code::GoalPastLimit, block.span_of("goal"), message)
                    .add_label(block.span_of("outer-limit"), "the outer limit");
            }
            let is_ticketed = one.repeat() == RepeatKind::Ticketed;
            if is_ticketed && one.window_ns > 0 && one.window_ns < deadline_ns {
                let message = format!(
                    "the window of {} ends before the outer limit of {}",
                    units::time(one.window_ns),
                    units::time(deadline_ns)
                );
                self.report(Code::Window, block.span_of("repeat"), message)
                    .add_label(block.span_of("outer-limit"), "the outer limit");
            }
        }
    }
}
