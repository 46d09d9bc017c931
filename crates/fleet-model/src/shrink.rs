//! A smaller plan that still breaks a rule: fewer nodes, faults, types, less time, less load. Each step is kept only if
//! the run breaks the same rule.

use crate::plan::Plan;
use crate::world;
use rainstand_invariants::Violation;
use std::time::Duration;

/// Runs that a search may take: each is shorter than the last.
const MOST_RUNS: u32 = 400;
/// Times are not cut below this.
const SHORTEST: Duration = Duration::from_millis(100);

/// The smallest plan found, what broke there, and how many runs that took.
#[derive(Clone, Debug)]
pub struct Shrunk {
    pub plan: Plan,
    pub broken: Violation,
    pub runs: u32,
}

fn breaks(plan: &Plan, rule: u8) -> Option<Violation> {
    world::run(plan)
        .ok()?
        .broken
        .filter(|broken| broken.rule == rule)
}

/// Plans that are smaller by one step each.
fn smaller(plan: &Plan) -> Vec<Plan> {
    let mut all = Vec::new();
    let mut put = |change: &dyn Fn(&mut Plan)| {
        let mut one = plan.clone();
        change(&mut one);
        if one != *plan {
            all.push(one);
        }
    };
    put(&|plan| plan.lasts = (plan.lasts / 2).max(SHORTEST));
    put(&|plan| plan.nodes.count = plan.nodes.count.div_ceil(2));
    put(&|plan| plan.nodes.count = plan.nodes.count.max(2) - 1);
    put(&|plan| plan.fronts.count = plan.fronts.count.min(1));
    put(&|plan| plan.load.iter_mut().for_each(|one| one.1 /= 2.0));
    put(&|plan| plan.dispatchers = 1);
    put(&|plan| plan.habits.second_copy = None);
    put(&|plan| plan.nodes.halls = 1);
    put(&|plan| plan.nodes.cold = None);
    for k in 0..plan.faults.len() {
        put(&|plan| {
            plan.faults.remove(k);
        });
    }
    for k in 0..plan.types.len() {
        put(&|plan| {
            if plan.types.len() > 1 {
                plan.types.remove(k);
            }
        });
    }
    for k in 0..plan.tenants.len() {
        put(&|plan| {
            if plan.tenants.len() > 1 {
                plan.tenants.remove(k);
            }
        });
    }
    put(&|plan| plan.net.breaks /= 2.0);
    all
}

/// None if the plan breaks no rule.
pub fn shrink(plan: &Plan) -> Option<Shrunk> {
    let first = world::run(plan).ok()?.broken?;
    let (mut best, mut broken, mut runs) = (plan.clone(), first, 1);
    loop {
        // What follows the break says nothing of it.
        let until = broken.at + Duration::from_millis(1);
        if until < best.lasts {
            let cut = Plan {
                lasts: until.max(SHORTEST),
                ..best.clone()
            };
            runs += 1;
            if let Some(found) = breaks(&cut, broken.rule) {
                (best, broken) = (cut, found);
            }
        }
        let mut found = None;
        for one in smaller(&best) {
            if runs >= MOST_RUNS {
                break;
            }
            runs += 1;
            if let Some(broken) = breaks(&one, broken.rule) {
                found = Some((one, broken));
                break;
            }
        }
        match found {
            Some((plan, why)) => (best, broken) = (plan, why),
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
