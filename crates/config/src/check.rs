//! What the four rules and plain sense ask of a configuration, beyond its form.
//!
//! Each check walks the message once, or looks things up by name; the only one that compares routes with
//! each other has a budget of comparisons ([`crate::space::Earlier`]) and says when it is spent.

use crate::ast::Block;
use crate::codes::Code;
use crate::parse::shorten;
use crate::resolve::{Resolved, Sort};
use crate::schema::{
    Attempts, Configuration, Match, OnFailure, Proof, Rate, RepeatKind, Route, TrafficType,
};
use crate::source::Span;
use crate::space::{covers, first_match, miss, Earlier, Point, Points};
use crate::units::{self, ONE};
use crate::{Finding, Findings};
use foldhash::{HashMap, HashMapExt, HashSet, HashSetExt};

/// Points tried for one question; past it the question is left open.
const MOST_POINTS: usize = 20_000;
/// An hour, ns: every unit of a rate divides it.
const HOUR: u128 = 3_600_000_000_000;

pub fn check(resolved: &Resolved<'_, '_>, findings: &mut Findings) {
    let all = &resolved.configuration;
    let mut checker = Checker {
        resolved,
        all,
        types: by_name(all.types.iter().map(|one| &one.name)),
        pools: by_name(all.pools.iter().map(|one| &one.name)),
        attempts: by_name(all.attempts.iter().map(|one| &one.name)),
        budgets: by_name(all.budgets.iter().map(|one| &one.name)),
        limits: by_name(all.limits.iter().map(|one| &one.name)),
        taken: vec![false; all.types.len()],
        findings,
    };
    checker.types();
    checker.tenants();
    checker.dependencies();
    checker.policies();
    checker.pools();
    for at in 0..all.routes.len() {
        checker.route(at);
        checker.taken_by(at);
    }
    checker.quotas();
    checker.hidden_routes();
    // What could not be read may well be what makes these good.
    if !checker.findings.has_errors() {
        checker.tickets_without_route();
        checker.unused();
    }
}

fn by_name<'c>(names: impl Iterator<Item = &'c String>) -> HashMap<&'c str, usize> {
    let mut map = HashMap::new();
    map.extend(names.enumerate().map(|(at, name)| (name.as_str(), at)));
    map
}

struct Checker<'k, 'r, 't> {
    resolved: &'k Resolved<'r, 't>,
    all: &'k Configuration,
    types: HashMap<&'k str, usize>,
    pools: HashMap<&'k str, usize>,
    attempts: HashMap<&'k str, usize>,
    budgets: HashMap<&'k str, usize>,
    limits: HashMap<&'k str, usize>,
    /// Types of which the routes looked at so far leave no ticket.
    taken: Vec<bool>,
    findings: &'k mut Findings,
}

impl<'k, 'r, 't> Checker<'k, 'r, 't> {
    fn block(&self, sort: Sort, at: usize) -> &'r Block<'t> {
        self.resolved.block(sort, at)
    }

    fn tell(&mut self, code: Code, at: Span, words: String) -> &mut Finding {
        self.findings.push(Finding::new(code, at, words))
    }

    fn types(&mut self) {
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

    /// Tells of the item with which a sum of shares goes over 100 %.
    fn over_whole(&mut self, code: Code, sort: Sort, shares: &[(usize, u64)], what: &str) {
        let mut sum = 0u64;
        for (k, share) in shares {
            let before = sum;
            sum = sum.saturating_add(*share);
            if before <= ONE && sum > ONE {
                let all = shares
                    .iter()
                    .fold(0u64, |all, (_, share)| all.saturating_add(*share));
                let words = format!("{what} add up to {}", units::share(all));
                let first = shares
                    .iter()
                    .find(|(_, share)| *share > 0)
                    .map_or(*k, |(first, _)| *first);
                let other = self.block(sort, first).place("share");
                let finding = self.tell(code, self.block(sort, *k).place("share"), words);
                if first != *k {
                    finding.also.push((other, "the first of them".into()));
                }
            }
        }
    }

    fn tenants(&mut self) {
        let shares: Vec<_> = self
            .all
            .tenants
            .iter()
            .map(|one| one.share)
            .enumerate()
            .collect();
        self.over_whole(
            Code::TenantShares,
            Sort::Tenant,
            &shares,
            "the shares of all tenants",
        );
    }

    fn dependencies(&mut self) {
        let all = self.all;
        for (k, one) in all.dependencies.iter().enumerate() {
            if one.on_failure() != OnFailure::Partial {
                continue;
            }
            let named: Vec<&TrafficType> = if one.types.is_empty() {
                all.types.iter().collect()
            } else {
                one.types
                    .iter()
                    .filter_map(|name| self.types.get(&**name))
                    .map(|at| &all.types[*at])
                    .collect()
            };
            let found = named
                .into_iter()
                .find(|of| matches!(of.repeat(), RepeatKind::Exclusive | RepeatKind::Ticketed));
            if let Some(of) = found {
                let words = format!(
                    "`{}` would get a partial answer that hides whether its effect took place",
                    shorten(&of.name)
                );
                let other = self
                    .block(Sort::Type, self.types[&*of.name])
                    .place("repeat");
                let at = self.block(Sort::Dependency, k).place("on-failure");
                let finding = self.tell(Code::PartialExclusive, at, words);
                finding.also.push((other, "not rerunnable".into()));
                finding.help = Some("name the types it is for, or write `give-up`".into());
            }
        }
        // Those for all types count for each; one type at a time is looked at where some are for few.
        let mut by_type: HashMap<&str, Vec<(usize, u64)>> = HashMap::new();
        let mut general = Vec::new();
        for (k, one) in all.dependencies.iter().enumerate() {
            if one.types.is_empty() {
                general.push((k, one.share));
            }
            for name in &one.types {
                by_type.entry(name).or_default().push((k, one.share));
            }
        }
        self.over_whole(
            Code::DependencyShares,
            Sort::Dependency,
            &general,
            "the shares for all types",
        );
        let sum: u64 = general.iter().map(|(_, share)| share).sum();
        let mut named: Vec<_> = by_type.into_iter().collect();
        named.sort_unstable();
        for (name, mut shares) in named {
            if sum <= ONE && shares.iter().map(|(_, share)| share).sum::<u64>() + sum > ONE {
                shares.extend(&general);
                shares.sort_unstable();
                let what = format!("the shares for `{}`", shorten(name));
                self.over_whole(Code::DependencyShares, Sort::Dependency, &shares, &what);
            }
        }
    }

    fn policies(&mut self) {
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

    fn pools(&mut self) {
        for (k, pool) in self.all.pools.iter().enumerate() {
            let block = self.block(Sort::Pool, k);
            if pool.members.is_empty()
                && !block.blocks.iter().any(|inner| inner.kind.text == "member")
            {
                let words = format!("the pool `{}` has no members", shorten(&pool.name));
                self.tell(Code::NoMembers, block.at(), words);
            }
        }
        self.fall_back_rings();
    }

    /// Every pool has at most one fall-back, so each walk ends or comes to a ring; each pool is walked once.
    fn fall_back_rings(&mut self) {
        let all = self.all;
        let mut walked_by = vec![usize::MAX; all.pools.len()];
        for start in 0..all.pools.len() {
            let (mut at, mut path): (usize, Vec<usize>) = (start, Vec::new());
            loop {
                if walked_by[at] == start {
                    let begin = path.iter().position(|one| *one == at).unwrap_or(0);
                    let mut names: Vec<String> = path[begin..]
                        .iter()
                        .map(|one| shorten(&all.pools[*one].name))
                        .collect();
                    names.push(names[0].clone());
                    let words = format!("pools fall back in a ring: {}", names.join(" -> "));
                    let last = path[path.len() - 1];
                    let place = self.block(Sort::Pool, last).place("fall-back");
                    let first = self.block(Sort::Pool, at).at();
                    self.tell(Code::FallBackRing, place, words)
                        .also
                        .push((first, "back to here".into()));
                    break;
                }
                if walked_by[at] != usize::MAX {
                    break;
                }
                walked_by[at] = start;
                path.push(at);
                match self.pools.get(&*all.pools[at].fall_back) {
                    Some(next) => at = *next,
                    None => break,
                }
            }
        }
    }

    /// The types of which a ticket may come to a route.
    fn types_of(&self, route: &'k Route) -> Vec<usize> {
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
    fn taken_by(&mut self, k: usize) {
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

    fn route(&mut self, k: usize) {
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

    fn attempts(&mut self, route: &'k Route, block: &'r Block<'t>) {
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
    fn proof(&mut self, route: &'k Route, policy: &Attempts, at: Span) {
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
    fn times(&mut self, route: &'k Route, block: &'r Block<'t>) {
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

    /// A pool's rate against the quotas of the tenants that have nowhere else to go.
    fn quotas(&mut self) {
        let all = self.all;
        let mut general: Vec<&Route> = Vec::new();
        let mut own: HashMap<&str, Vec<&Route>> = HashMap::new();
        for route in &all.routes {
            match route
                .r#match
                .as_ref()
                .filter(|matched| !matched.tenants.is_empty())
            {
                Some(matched) => {
                    for tenant in &matched.tenants {
                        own.entry(tenant).or_default().push(route);
                    }
                }
                None => general.push(route),
            }
        }
        let share = |route: &Route, pool: &str| {
            route
                .to
                .iter()
                .find(|target| target.pool == pool)
                .map_or(0, |target| target.share)
        };
        let limited: Vec<(usize, &Rate)> = all
            .pools
            .iter()
            .enumerate()
            .filter_map(|(k, pool)| {
                let limit = &all.limits[*self.limits.get(&*pool.limits)?];
                limit
                    .rate
                    .as_ref()
                    .filter(|_| limit.per() == crate::schema::Per::All)
                    .map(|rate| (k, rate))
            })
            .collect();
        for (k, rate) in limited {
            let name = &all.pools[k].name;
            let by_all = general.iter().map(|route| share(route, name)).min();
            if by_all == Some(0) {
                continue;
            }
            let mut promised = 0u128;
            for tenant in &all.tenants {
                let Some(quota) = &tenant.quota else { continue };
                let by_own = own
                    .get(&*tenant.name)
                    .into_iter()
                    .flatten()
                    .map(|route| share(route, name))
                    .min();
                let least = [by_all, by_own].into_iter().flatten().min().unwrap_or(0);
                promised += an_hour(quota) * u128::from(least) / u128::from(ONE);
            }
            if promised > an_hour(rate) {
                let a_second = (promised / 3_600) as u64;
                let words = format!(
                    "the pool `{}` lets in {}; its tenants' quotas come to {}",
                    shorten(name),
                    units::rate(rate.micro_tickets, rate.per_ns),
                    units::rate(a_second, 1_000_000_000)
                );
                let limit = self.limits[&*all.pools[k].limits];
                let other = self.block(Sort::Limits, limit).place("rate");
                let finding = self.tell(
                    Code::PoolTooSmall,
                    self.block(Sort::Pool, k).place("limits"),
                    words,
                );
                finding.also.push((other, "the rate".into()));
            }
        }
    }

    fn hidden_routes(&mut self) {
        let all = self.all;
        let types = all.types.len();
        let points = Points::of(&[all]);
        let few = self.resolved.unsure.is_empty()
            && points.count() <= MOST_POINTS
            && all.routes.len() <= 200;
        let mut earlier = Earlier::new(types);
        let unsure = &self.resolved.unsure;
        for (k, route) in all
            .routes
            .iter()
            .enumerate()
            .filter(|(k, _)| !unsure.contains(k))
        {
            let matched = route.r#match.as_ref();
            let by = earlier
                .candidates(matched)
                .filter(|before| covers(all.routes[*before].r#match.as_ref(), matched, types))
                .min();
            if let Some(by) = by {
                self.hidden_by(k, by);
            } else if few {
                self.hidden_by_several(k, &points);
            }
            earlier.add(k, matched);
        }
        if earlier.budget == 0 {
            let at = self.block(Sort::Route, all.routes.len() - 1).at();
            let words = "too many routes to compare all of them: some may be hidden".to_owned();
            self.tell(Code::TooManyRoutes, at, words);
        }
    }

    fn hidden_by(&mut self, k: usize, by: usize) {
        let name = shorten(&self.all.routes[k].name);
        let words = format!("no ticket reaches `{name}`: an earlier route takes all of them");
        let other = self.block(Sort::Route, by).at();
        let at = self.block(Sort::Route, k).at();
        self.tell(Code::Hidden, at, words)
            .also
            .push((other, "this one".into()));
    }

    /// No single route takes all of it, but some together may.
    fn hidden_by_several(&mut self, k: usize, points: &Points) {
        let all = self.all;
        let route = &all.routes[k];
        let mut by = Vec::new();
        for point in points
            .each()
            .filter(|point| miss(route.r#match.as_ref(), point).is_none())
        {
            match first_match(&all.routes[..k], &point) {
                Some(first) => by.push(first),
                None => return,
            }
        }
        by.sort_unstable();
        by.dedup();
        if by.is_empty() {
            return;
        }
        if let [only] = by[..] {
            self.hidden_by(k, only);
            return;
        }
        let words = format!(
            "no ticket reaches `{}`: {} earlier routes together take all of them",
            shorten(&route.name),
            by.len()
        );
        let others: Vec<_> = by
            .iter()
            .take(4)
            .map(|at| (self.block(Sort::Route, *at).at(), "one of them".to_owned()))
            .collect();
        let at = self.block(Sort::Route, k).at();
        self.tell(Code::Hidden, at, words).also = others;
    }

    fn tickets_without_route(&mut self) {
        let all = self.all;
        if all.types.is_empty() || all.routes.iter().any(|route| route.r#match.is_none()) {
            return;
        }
        // Types that experiments use need no route.
        if all.routes.is_empty() && all.pools.is_empty() && !all.experiments.is_empty() {
            return;
        }
        let points = Points::of(&[all]);
        if points.count().saturating_mul(all.routes.len().max(1)) > MOST_POINTS * 200 {
            return;
        }
        let mut left: Vec<(usize, Point<'_>)> = Vec::new();
        for (k, one) in all.types.iter().enumerate() {
            // Tenants that are not named may be meant to have no route.
            let named = points
                .tenants()
                .iter()
                .filter(|name| !name.is_empty() || all.tenants.is_empty());
            let mut tickets = named.flat_map(|tenant| points.of_pair(&one.name, tenant));
            left.extend(
                tickets
                    .find(|point| first_match(&all.routes, point).is_none())
                    .map(|point| (k, point)),
            );
        }
        for (k, point) in left {
            let mut words = format!(
                "some tickets of `{}` reach no route",
                shorten(&all.types[k].name)
            );
            let mut such = Vec::new();
            if !point.tenant.is_empty()
                && all
                    .routes
                    .iter()
                    .any(|r| r.r#match.as_ref().is_some_and(|m| !m.tenants.is_empty()))
            {
                such.push(format!("of `{}`", shorten(point.tenant)));
            }
            if point.again {
                such.push("further tries".into());
            }
            if !such.is_empty() {
                words.push_str(&format!(", such as {}", such.join(", ")));
            }
            let at = self.block(Sort::Type, k).at();
            let finding = self.tell(Code::NoRoute, at, words);
            finding.help = Some("a last route without `match` takes what is left".into());
        }
    }

    fn unused(&mut self) {
        let all = self.all;
        if all.routes.is_empty() {
            return;
        }
        let mut used: HashSet<(Sort, &str)> = HashSet::new();
        for route in &all.routes {
            used.extend([
                (Sort::Limits, &*route.limits),
                (Sort::Attempts, &*route.attempts),
                (Sort::Budget, &*route.budget),
                (Sort::RetryAfter, &*route.retry_after),
            ]);
            used.extend(route.to.iter().map(|target| (Sort::Pool, &*target.pool)));
            used.extend(route.fall_back.iter().map(|name| (Sort::Pool, &**name)));
        }
        for pool in &all.pools {
            used.extend([
                (Sort::Health, &*pool.health),
                (Sort::Limits, &*pool.limits),
                (Sort::Attempts, &*pool.attempts),
                (Sort::RetryAfter, &*pool.retry_after),
                (Sort::Pool, &*pool.fall_back),
            ]);
        }
        let limits = all
            .types
            .iter()
            .map(|one| &one.limits)
            .chain(all.tenants.iter().map(|one| &one.limits));
        used.extend(limits.map(|name| (Sort::Limits, &**name)));
        for sort in Sort::ALL.into_iter().filter(|sort| sort.is_policy()) {
            let of_sort = &self.resolved.blocks[sort as usize];
            let bases: HashSet<&str> = of_sort
                .iter()
                .filter_map(|block| block.base.as_ref())
                .map(|base| &*base.text)
                .collect();
            for block in of_sort {
                let Some(name) = &block.name else { continue };
                if !used.contains(&(sort, &*name.text)) && !bases.contains(&*name.text) {
                    let words =
                        format!("nothing uses the {} `{}`", sort.word(), shorten(&name.text));
                    self.findings
                        .push(Finding::new(Code::UnusedPolicy, block.at(), words));
                }
            }
        }
        for (k, pool) in all.pools.iter().enumerate() {
            if !used.contains(&(Sort::Pool, &*pool.name)) {
                let words = format!("no route leads to the pool `{}`", shorten(&pool.name));
                self.tell(Code::UnusedPool, self.block(Sort::Pool, k).at(), words);
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

/// Millionths of a ticket an hour, exactly.
fn an_hour(rate: &Rate) -> u128 {
    u128::from(rate.micro_tickets) * HOUR / u128::from(rate.per_ns.max(1))
}
