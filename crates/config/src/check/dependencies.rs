//! What the failure of a dependency may do to an answer.

use super::Checker;
use crate::codes::Code;
use crate::finding::shorten;
use crate::resolve::BlockKind;
use crate::schema::{Dependency, OnFailure, RepeatKind};

impl<'k> Checker<'k, '_, '_> {
    /// A partial answer hides whether the effect of a request took place, so only idempotent types may get one.
    pub(super) fn check_partial_answers(&mut self) {
        let all = self.all;
        for (index, dependency) in all.dependencies.iter().enumerate() {
            if dependency.on_failure() != OnFailure::Partial {
                continue;
            }
            let types = self.types_of_dependency(dependency);
            let not_idempotent = types
                .into_iter()
                .find(|index| is_not_idempotent(all.types[*index].repeat()));
            let Some(type_index) = not_idempotent else {
                continue;
            };
            let message = format!(
                "`{}` would get a partial answer that hides whether its effect took place",
                shorten(&all.types[type_index].name)
            );
            let repeat = self.block(BlockKind::Type, type_index).span_of("repeat");
            let span = self
                .block(BlockKind::Dependency, index)
                .span_of("on-failure");
            let finding = self.report(Code::PartialExclusive, span, message);
            finding.add_label(repeat, "not rerunnable");
            finding.help = Some("name the types it is for, or write `give-up`".into());
        }
    }

    fn types_of_dependency(&self, dependency: &'k Dependency) -> Vec<usize> {
        if dependency.types.is_empty() {
            return (0..self.all.types.len()).collect();
        }
        let names = dependency.types.iter();
        names
            .filter_map(|name| self.types.get(&**name).copied())
            .collect()
    }
}

fn is_not_idempotent(repeat: RepeatKind) -> bool {
    matches!(repeat, RepeatKind::Exclusive | RepeatKind::Ticketed)
}
