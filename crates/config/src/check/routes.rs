//! A route alone: its split, its fall-backs and its times.

use super::policies::stages;
use super::Checker;
use crate::ast::Block;
use crate::codes::Code;
use crate::finding::shorten;
use crate::resolve::BlockKind;
use crate::schema::{Attempts, Budget, Match, Route, SplitBy};
use crate::source::Span;
use crate::units::{self, ONE};

/// The shortest latency objective among the types of a route.
struct ShortestGoal {
    goal_ns: u64,
    /// Where it is written.
    span: Span,
    /// The name of the type, shortened.
    type_name: String,
}

impl<'k, 'r, 't> Checker<'k, 'r, 't> {
    pub(super) fn check_routes(&mut self) {
        for (index, route) in self.all.routes.iter().enumerate() {
            let block = self.block(BlockKind::Route, index);
            self.check_split(route, block);
            self.check_fall_back(route, block);
            self.check_chance(route, block);
            self.check_attempts(route, block);
            self.check_ticketed_pools(route);
            if let Some(goal) = self.shortest_goal(route) {
                self.check_budget_time(route, block, &goal);
                self.check_wait_time(route, block, &goal);
            }
            self.note_exhausted_types(route);
        }
    }

    /// The types of which a request may reach a route.
    pub(super) fn types_of(&self, route: &'k Route) -> Vec<usize> {
        let types: Vec<usize> = match &route.r#match {
            Some(matched) if !matched.types.is_empty() => {
                let names = matched.types.iter();
                names
                    .filter_map(|name| self.types.get(&**name).copied())
                    .collect()
            }
            _ => (0..self.all.types.len()).collect(),
        };
        let is_left = |index: &usize| !self.exhausted_types[*index];
        types.into_iter().filter(is_left).collect()
    }

    /// A route that asks for nothing but the type leaves none of it to later ones.
    fn note_exhausted_types(&mut self, route: &'k Route) {
        let is_by_type_alone = route.r#match.as_ref().is_none_or(|matched| {
            let types_alone = Match {
                types: matched.types.clone(),
                ..Match::default()
            };
            *matched == types_alone
        });
        if is_by_type_alone {
            for index in self.types_of(route) {
                self.exhausted_types[index] = true;
            }
        }
    }

    fn check_split(&mut self, route: &Route, block: &'r Block<'t>) {
        let entry = block.entries.iter().find(|entry| entry.key.text == "to");
        // Where a target could not be read the sum says nothing.
        let all_read = entry.is_some_and(|entry| entry.values.len() == route.to.len())
            && !route.to.is_empty()
            && route.to.iter().all(|target| target.share > 0);
        let shares = route.to.iter().map(|target| target.share);
        let sum = shares.fold(0u64, u64::saturating_add);
        if all_read && sum != ONE {
            let message = format!(
                "the shares of this route add up to {}, not 100 %",
                units::share(sum)
            );
            self.report(Code::SplitSum, block.span_of("to"), message);
        }
    }

    fn check_fall_back(&mut self, route: &Route, block: &'r Block<'t>) {
        let [only] = &route.to[..] else { return };
        for name in route.fall_back.iter().filter(|name| **name == only.pool) {
            let message = format!(
                "the route falls back on `{}`, where it leads already",
                shorten(name)
            );
            self.report(Code::FallBackSelf, block.span_of("fall-back"), message)
                .add_label(block.span_of("to"), "leads there");
        }
    }

    fn check_chance(&mut self, route: &Route, block: &'r Block<'t>) {
        let names_entities = route
            .r#match
            .as_ref()
            .is_some_and(|matched| !matched.entities.is_empty());
        if route.split_by() == SplitBy::Chance && route.to.len() > 1 && names_entities {
            let message = "tickets of one entity go to several pools by chance";
            let finding = self.report(Code::OneEntity, block.span_of("split-by"), message);
            finding.help = Some("write `split-by: entity`".into());
        }
    }

    fn shortest_goal(&self, route: &'k Route) -> Option<ShortestGoal> {
        let goal_ns = |index: &usize| self.all.types[*index].goal_ns;
        let shortest = self
            .types_of(route)
            .into_iter()
            .filter(|index| goal_ns(index) > 0)
            .min_by_key(goal_ns)?;
        Some(ShortestGoal {
            goal_ns: goal_ns(&shortest),
            span: self.block(BlockKind::Type, shortest).span_of("goal"),
            type_name: shorten(&self.all.types[shortest].name),
        })
    }

    /// The stages of a route's budget fit its shortest latency objective.
    fn check_budget_time(&mut self, route: &'k Route, block: &'r Block<'t>, goal: &ShortestGoal) {
        let Some(index) = self.budgets.get(&*route.budget) else {
            return;
        };
        let budget = &self.all.budgets[*index];
        let stages_ns = budget_ns(budget, goal.goal_ns);
        if stages_ns > goal.goal_ns {
            let message = format!(
                "the stages of `{}` take {}; `{}` has {}",
                shorten(&budget.name),
                units::time(stages_ns),
                goal.type_name,
                units::time(goal.goal_ns)
            );
            self.report(Code::BudgetTooLong, block.span_of("budget"), message)
                .add_label(goal.span, "the shortest goal time of this route");
        }
    }

    /// The waits between a route's attempts fit its shortest latency objective.
    fn check_wait_time(&mut self, route: &'k Route, block: &'r Block<'t>, goal: &ShortestGoal) {
        let Some(policy) = self.attempts_named(&route.attempts) else {
            return;
        };
        let waits = policy.tries.saturating_sub(1);
        let waits_ns = policy.wait_most_ns.saturating_mul(waits);
        if policy.tries > 1 && waits_ns >= goal.goal_ns {
            let message = format!(
                "waits of `{}` come to {}; `{}` has {}",
                shorten(&policy.name),
                units::time(waits_ns),
                goal.type_name,
                units::time(goal.goal_ns)
            );
            self.report(Code::WaitsTooLong, block.span_of("attempts"), message)
                .add_label(goal.span, "the shortest goal time of this route");
        }
    }

    pub(super) fn attempts_named(&self, name: &str) -> Option<&'k Attempts> {
        let index = self.attempts.get(name)?;
        Some(&self.all.attempts[*index])
    }
}

/// What all stages of a budget take of a latency objective, ns.
fn budget_ns(budget: &Budget, goal_ns: u64) -> u64 {
    let part = |share: u64| (u128::from(goal_ns) * u128::from(share) / u128::from(ONE)) as u64;
    stages(budget)
        .map(|stage| stage.fixed_ns.saturating_add(part(stage.share)))
        .fold(0, u64::saturating_add)
}
