//! A route alone: its split, its fall-backs, its attempts and its times.

use super::Checker;
use crate::ast::Block;
use crate::codes::Code;
use crate::finding::shorten;
use crate::resolve::Sort;
use crate::schema::{Attempts, Match, Proof, RepeatKind, Route};
use crate::source::Span;
use crate::units::{self, ONE};

impl<'k, 'r, 't> Checker<'k, 'r, 't> {
    /// The types of which a ticket may come to a route.
    pub(super) fn types_of(&self, route: &'k Route) -> Vec<usize> {
        let named = match &route.r#match {
            Some(matched) if !matched.types.is_empty() => matched
                .types
                .iter()
                .filter_map(|name| self.types.get(&**name))
                .copied()
                .collect(),
            _ => (0..self.all.types.len()).collect::<Vec<_>>(),
        };
        named.into_iter().filter(|at| !self.taken[*at]).collect()
    }

    /// A route that asks for nothing but the type leaves none of it to later ones.
    pub(super) fn taken_by(&mut self, k: usize) {
        let route = &self.all.routes[k];
        let by_type_alone = route.r#match.as_ref().is_none_or(|matched| {
            let types = matched.types.clone();
            *matched
                == Match {
                    types,
                    ..Match::default()
                }
        });
        if by_type_alone {
            for at in self.types_of(route) {
                self.taken[at] = true;
            }
        }
    }

    pub(super) fn route(&mut self, k: usize) {
        let all = self.all;
        let route = &all.routes[k];
        let block = self.block(Sort::Route, k);
        let sum = route
            .to
            .iter()
            .fold(0u64, |sum, target| sum.saturating_add(target.share));
        let listed = block.entries.iter().find(|entry| entry.key.text == "to");
        // Where a target could not be read the sum says nothing.
        if listed.is_some_and(|entry| entry.values.len() == route.to.len())
            && !route.to.is_empty()
            && route.to.iter().all(|target| target.share > 0)
            && sum != ONE
        {
            let words = format!(
                "the shares of this route add up to {}, not 100 %",
                units::share(sum)
            );
            self.tell(Code::SplitSum, block.place("to"), words);
        }
        for name in &route.fall_back {
            if route.to.len() == 1 && route.to[0].pool == *name {
                let words = format!(
                    "the route falls back on `{}`, where it leads already",
                    shorten(name)
                );
                let other = block.place("to");
                let finding = self.tell(Code::FallBackSelf, block.place("fall-back"), words);
                finding.also.push((other, "leads there".into()));
            }
        }
        if route.split_by() == crate::schema::SplitBy::Chance
            && route.to.len() > 1
            && route
                .r#match
                .as_ref()
                .is_some_and(|matched| !matched.entities.is_empty())
        {
            let words = "tickets of one entity go to several pools by chance".to_owned();
            let finding = self.tell(Code::OneEntity, block.place("split-by"), words);
            finding.help = Some("write `split-by: entity`".into());
        }
        self.attempts(route, block);
        self.times(route, block);
    }

    pub(super) fn attempts(&mut self, route: &'k Route, block: &'r Block<'t>) {
        let all = self.all;
        let own = self
            .attempts
            .get(&*route.attempts)
            .map(|at| &all.attempts[*at]);
        if let Some(own) = own {
            self.proof(route, own, block.place("attempts"));
        }
        let pools = route
            .to
            .iter()
            .map(|target| &target.pool)
            .chain(&route.fall_back);
        for name in pools {
            let Some(at) = self.pools.get(&**name).copied() else {
                continue;
            };
            let pool = &all.pools[at];
            let Some(below) = self
                .attempts
                .get(&*pool.attempts)
                .map(|at| &all.attempts[*at])
            else {
                continue;
            };
            let place = self.block(Sort::Pool, at).place("attempts");
            self.proof(route, below, place);
            if let Some(own) = own.filter(|own| own.tries > 1 && below.tries > 1) {
                let words = format!(
                    "{} tries by the route and {} by the pool `{}` make {} of one ticket",
                    own.tries,
                    below.tries,
                    shorten(&pool.name),
                    own.tries * below.tries
                );
                let finding = self.tell(Code::AttemptsMultiply, block.place("attempts"), words);
                finding.also.push((place, "the pool's attempts".into()));
                finding.help = Some("leave the attempts to one of the two".into());
            }
        }
    }

    /// Rule 2: whether all types of a route may be repeated as a policy says.
    pub(super) fn proof(&mut self, route: &'k Route, policy: &Attempts, at: Span) {
        if policy.tries < 2 || policy.proof() == Proof::NotRun {
            return;
        }
        let types = self.types_of(route);
        for (kind, code) in [
            (RepeatKind::Exclusive, Code::ExclusiveRepeat),
            (RepeatKind::Ticketed, Code::TicketedRepeat),
        ] {
            if kind == RepeatKind::Ticketed && policy.proof() == Proof::Mark {
                continue;
            }
            let mut wrong = types
                .iter()
                .filter(|at| self.all.types[**at].repeat() == kind);
            let Some(first) = wrong.next().copied() else {
                continue;
            };
            let more = wrong.count();
            let name = shorten(&self.all.types[first].name);
            let and = if more > 0 {
                format!(" (and {more} more)")
            } else {
                String::new()
            };
            let (called, help) = match kind {
                RepeatKind::Exclusive => (
                    "exclusive",
                    "write `proof: not-run`, or match other types only",
                ),
                _ => ("ticketed", "write `proof: mark` or `proof: not-run`"),
            };
            let words = format!(
                "`{}` would repeat tickets of the {called} type `{name}`{and} without proof",
                shorten(&policy.name)
            );
            let other = self.block(Sort::Type, first).place("repeat");
            let finding = self.tell(code, at, words);
            finding.also.push((other, format!("{called} here")));
            finding.help = Some(help.into());
        }
    }

    /// Whether stages and waits fit the shortest goal time of the route's types.
    pub(super) fn times(&mut self, route: &'k Route, block: &'r Block<'t>) {
        let all = self.all;
        let types = self.types_of(route);
        let shortest = types
            .into_iter()
            .filter(|at| all.types[*at].goal_ns > 0)
            .min_by_key(|at| all.types[*at].goal_ns);
        let Some(shortest) = shortest else { return };
        let goal = all.types[shortest].goal_ns;
        let goal_place = self.block(Sort::Type, shortest).place("goal");
        let name = shorten(&all.types[shortest].name);
        if let Some(budget) = self.budgets.get(&*route.budget).map(|at| &all.budgets[*at]) {
            let stages = [
                budget.forward,
                budget.queue,
                budget.run,
                budget.call,
                budget.answer,
            ];
            let part = |share: u64| (u128::from(goal) * u128::from(share) / u128::from(ONE)) as u64;
            let parts = stages
                .iter()
                .flatten()
                .map(|stage| stage.fixed_ns.saturating_add(part(stage.share)));
            let all_stages = parts.fold(0u64, u64::saturating_add);
            if all_stages > goal {
                let words = format!(
                    "the stages of `{}` take {}; `{name}` has {}",
                    shorten(&budget.name),
                    units::time(all_stages),
                    units::time(goal)
                );
                let finding = self.tell(Code::BudgetTooLong, block.place("budget"), words);
                finding
                    .also
                    .push((goal_place, "the shortest goal time of this route".into()));
            }
        }
        if let Some(policy) = self
            .attempts
            .get(&*route.attempts)
            .map(|at| &all.attempts[*at])
        {
            let waits = policy
                .wait_most_ns
                .saturating_mul(policy.tries.saturating_sub(1));
            if policy.tries > 1 && waits >= goal {
                let words = format!(
                    "waits of `{}` come to {}; `{name}` has {}",
                    shorten(&policy.name),
                    units::time(waits),
                    units::time(goal)
                );
                let finding = self.tell(Code::WaitsTooLong, block.place("attempts"), words);
                finding
                    .also
                    .push((goal_place, "the shortest goal time of this route".into()));
            }
        }
    }
}
