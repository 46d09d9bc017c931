//! The times of a traffic type.

use super::Checker;
use crate::codes::Code;
use crate::resolve::Sort;
use crate::schema::RepeatKind;
use crate::units;

impl Checker<'_, '_, '_> {
    pub(super) fn types(&mut self) {
        for (k, one) in self.all.types.iter().enumerate() {
            let block = self.block(Sort::Type, k);
            let (goal, outer) = (one.goal_ns, one.outer_limit_ns);
            if goal > 0 && outer > 0 && goal > outer {
                let words = format!(
                    "the goal time {} lies past the outer limit {}",
                    units::time(goal),
                    units::time(outer)
                );
                let other = (block.place("outer-limit"), "the outer limit".to_owned());
                self.tell(Code::GoalPastLimit, block.place("goal"), words)
                    .also
                    .push(other);
            }
            if one.repeat() == RepeatKind::Ticketed && one.window_ns > 0 && one.window_ns < outer {
                let words = format!(
                    "the window of {} ends before the outer limit of {}",
                    units::time(one.window_ns),
                    units::time(outer)
                );
                let other = (block.place("outer-limit"), "the outer limit".to_owned());
                self.tell(Code::Window, block.place("repeat"), words)
                    .also
                    .push(other);
            }
        }
    }
}
