//! What the four rules and plain sense ask of a configuration, beyond its form.
//!
//! Each check walks the message once, or looks things up by name; the only one that compares routes with
//! each other has a budget of comparisons ([`crate::space::Earlier`]) and says when it is spent.

mod policies;
mod pools;
mod quotas;
mod reachability;
mod routes;
mod shares;
mod types;
mod unused;

use crate::ast::Block;
use crate::codes::Code;
use crate::resolve::{Resolved, Sort};
use crate::schema::Configuration;
use crate::source::Span;
use crate::{Finding, Findings};
use foldhash::{HashMap, HashMapExt};

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
}
