//! Checks what a configuration means, beyond its form: the four rules of the platform, and plain contradictions.
//!
//! Each check walks the message once, or looks things up by name. Only the one that compares routes with each
//! other has a budget of comparisons ([`crate::matching::EarlierRoutes`]) and reports when it is spent.

mod attempts;
mod dependencies;
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
use crate::resolve::{BlockKind, Resolved};
use crate::schema::Configuration;
use crate::source::Span;
use crate::{Finding, Findings};
use foldhash::{HashMap, HashMapExt};

/// Adds what is wrong with the meaning of a configuration to `findings`.
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
        exhausted_types: vec![false; all.types.len()],
        ticketed_pools: vec![false; all.pools.len()],
        findings,
    };
    checker.check_types();
    checker.check_tenant_shares();
    checker.check_partial_answers();
    checker.check_dependency_shares();
    checker.check_policies();
    checker.check_pools();
    checker.check_routes();
    checker.check_quotas();
    checker.check_hidden_routes();
    // What could not be read may well be what makes these good.
    if !checker.findings.has_errors() {
        checker.check_unrouted_types();
        checker.check_unused();
    }
}

/// The index of each name.
fn by_name<'c>(names: impl Iterator<Item = &'c String>) -> HashMap<&'c str, usize> {
    let mut indices = HashMap::new();
    indices.extend(
        names
            .enumerate()
            .map(|(index, name)| (name.as_str(), index)),
    );
    indices
}

struct Checker<'k, 'r, 't> {
    resolved: &'k Resolved<'r, 't>,
    all: &'k Configuration,
    types: HashMap<&'k str, usize>,
    pools: HashMap<&'k str, usize>,
    attempts: HashMap<&'k str, usize>,
    budgets: HashMap<&'k str, usize>,
    limits: HashMap<&'k str, usize>,
    /// By traffic type: the routes before the one being checked take all of its requests.
    exhausted_types: Vec<bool>,
    /// By pool: it was checked as one that ticketed requests are routed to.
    ticketed_pools: Vec<bool>,
    findings: &'k mut Findings,
}

impl<'r, 't> Checker<'_, 'r, 't> {
    /// The block that an item of the message was made from.
    fn block(&self, kind: BlockKind, index: usize) -> &'r Block<'t> {
        self.resolved.block(kind, index)
    }

    fn report(&mut self, code: Code, span: Span, message: impl Into<String>) -> &mut Finding {
        self.findings.push(Finding::new(code, span, message))
    }
}
