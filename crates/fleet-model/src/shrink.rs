//! Minimizes a plan that violates an invariant: fewer nodes, faults and types, less time, less load. A step is kept
//! only if the run still violates the same invariant.

use crate::plan::Plan;
use crate::world;
use rainstand_invariants::Violation;
use std::time::Duration;

/// Maximum number of runs of a search; runs get shorter as the plan shrinks.
const MAX_RUNS: u32 = 400;
/// Minimum duration of a shrunk plan.
const MIN_DURATION: Duration = Duration::from_millis(100);

/// The smallest plan found, its violation, and the number of runs of the search.
#[derive(Clone, Debug)]
pub struct Shrunk {
    pub plan: Plan,
    pub broken: Violation,
    pub runs: u32,
}

fn violation(plan: &Plan, rule: u8) -> Option<Violation> {
    world::run(plan)
        .ok()?
        .broken
        .filter(|broken| broken.rule == rule)
}

/// All plans that are one step smaller.
fn smaller_plans(plan: &Plan) -> Vec<Plan> {
    let mut candidates = Vec::new();
    let mut try_change = |change: &dyn Fn(&mut Plan)| {
        let mut changed = plan.clone();
        change(&mut changed);
        if changed != *plan {
            candidates.push(changed);
        }
    };
    try_change(&|plan| plan.lasts = (plan.lasts / 2).max(MIN_DURATION));
    try_change(&|plan| plan.nodes.count = plan.nodes.count.div_ceil(2));
    try_change(&|plan| plan.nodes.count = plan.nodes.count.max(2) - 1);
    try_change(&|plan| plan.fronts.count = plan.fronts.count.min(1));
    try_change(&|plan| plan.load.iter_mut().for_each(|step| step.1 /= 2.0));
    try_change(&|plan| plan.dispatchers = 1);
    try_change(&|plan| plan.habits.second_copy = None);
    try_change(&|plan| plan.nodes.halls = 1);
    try_change(&|plan| plan.nodes.cold = None);
    for k in 0..plan.faults.len() {
        try_change(&|plan| {
            plan.faults.remove(k);
        });
    }
    for k in 0..plan.types.len() {
        try_change(&|plan| {
            if plan.types.len() > 1 {
                plan.types.remove(k);
            }
        });
    }
    for k in 0..plan.tenants.len() {
        try_change(&|plan| {
            if plan.tenants.len() > 1 {
                plan.tenants.remove(k);
            }
        });
    }
    try_change(&|plan| plan.net.breaks /= 2.0);
    candidates
}

/// Returns none if the plan violates no invariant.
pub fn shrink(plan: &Plan) -> Option<Shrunk> {
    let first = world::run(plan).ok()?.broken?;
    let (mut best, mut broken, mut runs) = (plan.clone(), first, 1);
    loop {
        // Time after the violation does not matter.
        let until = broken.at + Duration::from_millis(1);
        if until < best.lasts {
            let shortened = Plan {
                lasts: until.max(MIN_DURATION),
                ..best.clone()
            };
            runs += 1;
            if let Some(found) = violation(&shortened, broken.rule) {
                (best, broken) = (shortened, found);
            }
        }
        let mut found = None;
        for candidate in smaller_plans(&best) {
            if runs >= MAX_RUNS {
                break;
            }
            runs += 1;
            if let Some(broken) = violation(&candidate, broken.rule) {
                found = Some((candidate, broken));
                break;
            }
        }
        match found {
            Some((plan, smaller)) => (best, broken) = (plan, smaller),
            None => {
                return Some(Shrunk {
                    plan: best,
                    broken,
                    runs,
                })
            }
        }
    }
}
