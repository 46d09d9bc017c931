//! Converts an `experiment` of a configuration to plans of the fleet model, one per variant.

use crate::error::ExperimentError;
use crate::variations;
use rainstand_config::schema::{
    self, Configuration, Experiment, MemberPick, RepeatKind, TroubleKind,
};
use rainstand_config::units::ONE;
use rainstand_fleet_model::plan::{
    BelowPlan, Fault, FrontPlan, Habits, NetPlan, NodeKind, NodePlan, Pick, Plan, TenantPlan,
    Trouble, TypePlan, Whom, Work,
};
use rainstand_invariants::Kind;
use std::time::Duration;

/// Label of the only variant of an experiment that varies nothing.
const UNVARIED: &str = "as written";

/// One combination of varied values.
#[derive(Clone, Debug, PartialEq)]
pub struct Variant {
    /// Such as `know=10 pick=in-turn`; `as written` if nothing is varied.
    pub label: String,
    /// The plan that the model runs, with seed 1.
    pub plan: Plan,
}

/// All variants: every combination of the values of each `vary`; the last `vary` changes fastest.
///
/// # Errors
/// As [`plan`], or a variant whose plan is invalid.
pub fn variants(
    configuration: &Configuration,
    experiment: &Experiment,
) -> Result<Vec<Variant>, ExperimentError> {
    let mut all = vec![Variant {
        label: String::new(),
        plan: plan(configuration, experiment)?,
    }];
    for vary in &experiment.vary {
        let varied: Vec<Variant> = all
            .iter()
            .flat_map(|variant| variations::of(variant, vary))
            .collect();
        if !varied.is_empty() {
            all = varied;
        }
    }
    for variant in &mut all {
        if variant.label.is_empty() {
            UNVARIED.clone_into(&mut variant.label);
        }
        let checked = variant.plan.check();
        checked.map_err(|reason| ExperimentError::InvalidVariant {
            variant: variant.label.clone(),
            reason,
        })?;
    }
    Ok(all)
}

/// The plan of an experiment before anything is varied.
///
/// # Errors
/// A name that is not in the configuration. The checker rejects it, but a compiled message may come from elsewhere.
pub fn plan(
    configuration: &Configuration,
    experiment: &Experiment,
) -> Result<Plan, ExperimentError> {
    let tenants = tenants(configuration, experiment)?;
    let faults = experiment.faults.iter();
    let faults: Result<Vec<Fault>, _> = faults.map(|fault| model_fault(fault, &tenants)).collect();
    let load = experiment.load.iter();
    Ok(Plan {
        seed: 1,
        lasts: span(experiment.lasts_ns),
        faults: faults?,
        types: request_classes(configuration, experiment)?,
        tenants,
        dispatchers: count(experiment.dispatchers),
        habits: client_behaviour(experiment),
        nodes: nodes(experiment),
        fronts: forwarders(experiment.forwarders.as_ref()),
        net: experiment
            .network
            .as_ref()
            .map_or(NetPlan::default(), network),
        below: experiment.below.as_ref().map(downstream),
        load: load
            .map(|step| (span(step.from_ns), share(step.share)))
            .collect(),
        bug: None,
        check: true,
    })
}

/// Converts a time in nanoseconds.
pub(crate) fn span(ns: u64) -> Duration {
    Duration::from_nanos(ns)
}

/// Converts a share in millionths.
pub(crate) fn share(millionths: u64) -> f64 {
    millionths as f64 / ONE as f64
}

/// Converts a count, saturating at the model's type.
pub(crate) fn count(value: u64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}

fn request_classes(
    configuration: &Configuration,
    experiment: &Experiment,
) -> Result<Vec<TypePlan>, ExperimentError> {
    let class = |traffic: &schema::ModelTraffic| {
        let known = configuration
            .types
            .iter()
            .find(|known| known.name == traffic.name)
            .ok_or_else(|| ExperimentError::UnknownRequestClass(traffic.name.clone()))?;
        let (min, max) = (span(traffic.work_least_ns), span(traffic.work_most_ns));
        Ok(TypePlan {
            name: traffic.name.clone(),
            kind: match known.repeat() {
                RepeatKind::Rerunnable => Kind::Rerunnable,
                RepeatKind::Ticketed => Kind::Ticketed,
                RepeatKind::Exclusive | RepeatKind::Unspecified => Kind::Exclusive,
            },
            goal: span(known.goal_ns),
            outer_limit: span(known.outer_limit_ns),
            part: share(traffic.part),
            work: work(traffic.by_chance, min, max),
            calls: traffic.calls,
            poorer: if traffic.calls {
                share(traffic.poorer)
            } else {
                1.0
            },
        })
    };
    experiment.traffic.iter().map(class).collect()
}

fn tenants(
    configuration: &Configuration,
    experiment: &Experiment,
) -> Result<Vec<TenantPlan>, ExperimentError> {
    let tenant = |source: &schema::ModelSource| {
        let known = configuration
            .tenants
            .iter()
            .find(|known| known.name == source.name);
        if known.is_none() && !source.stranger {
            return Err(ExperimentError::UnknownTenant(source.name.clone()));
        }
        Ok(TenantPlan {
            name: source.name.clone(),
            part: share(source.part),
            share: known.map_or(0.0, |known| share(known.share)),
            stranger: source.stranger,
        })
    };
    experiment.from.iter().map(tenant).collect()
}

fn client_behaviour(experiment: &Experiment) -> Habits {
    let hedge_after_ns = experiment.second_copy_ns;
    Habits {
        tries: count(experiment.tries),
        heeds: experiment.heeds,
        marks: experiment.marks,
        second_copy: (hedge_after_ns > 0).then(|| span(hedge_after_ns)),
        late_list: span(experiment.late_list_ns),
    }
}

fn nodes(experiment: &Experiment) -> NodePlan {
    let fleet = experiment.fleet.unwrap_or_default();
    NodePlan {
        count: count(fleet.nodes),
        cores: count(fleet.cores),
        kind: match fleet.node() {
            schema::ModelNode::Ours => NodeKind::Ours,
            _ => NodeKind::Plain {
                at_once: count(fleet.at_once),
                hold: count(fleet.hold),
            },
        },
        crowding: share(fleet.crowding),
        cold: (fleet.cold_ns > 0).then(|| (span(fleet.cold_ns), share(fleet.cold_slower))),
        halls: count(fleet.halls).max(1),
    }
}

/// If there are no forwarders, clients send to the nodes directly.
fn forwarders(forwarders: Option<&schema::ModelForwarders>) -> FrontPlan {
    let Some(forwarders) = forwarders else {
        return FrontPlan {
            count: 0,
            ..FrontPlan::default()
        };
    };
    FrontPlan {
        count: count(forwarders.count),
        know: count(forwarders.know),
        pick: selection_policy(forwarders.pick()),
        tries: count(forwarders.tries),
        budget: share(forwarders.budget),
        wait: (
            span(forwarders.wait_least_ns),
            span(forwarders.wait_most_ns),
        ),
        keep: forwarders.health.then(|| share(forwarders.keep)),
        at_once: forwarders.at_once,
        warm_rate: 0,
    }
}

fn network(network: &schema::ModelNetwork) -> NetPlan {
    NetPlan {
        delay: (span(network.delay_least_ns), span(network.delay_most_ns)),
        far: span(network.far_ns),
        breaks: share(network.breaks),
    }
}

fn downstream(downstream: &schema::ModelBelow) -> BelowPlan {
    let (min, max) = (
        span(downstream.work_least_ns),
        span(downstream.work_most_ns),
    );
    BelowPlan {
        count: count(downstream.nodes),
        at_once: count(downstream.at_once),
        hold: count(downstream.hold),
        work: work(downstream.by_chance, min, max),
    }
}

fn work(exponential: bool, min: Duration, max: Duration) -> Work {
    if exponential {
        Work::About(min)
    } else if min == max {
        Work::Fixed(min)
    } else {
        Work::Between(min, max)
    }
}

fn selection_policy(pick: MemberPick) -> Pick {
    match pick {
        MemberPick::TwoChoices => Pick::TwoChoices,
        MemberPick::InTurn => Pick::InTurn,
        MemberPick::LeastKnown | MemberPick::Unspecified => Pick::LeastKnown,
    }
}

fn model_fault(
    fault: &schema::ModelFault,
    tenants: &[TenantPlan],
) -> Result<Fault, ExperimentError> {
    Ok(Fault {
        from: span(fault.from_ns),
        to: span(fault.from_ns + fault.lasts_ns),
        trouble: trouble(fault, tenants)?,
        whom: match fault.hall {
            Some(hall) => Whom::Hall(hall),
            None if fault.first > 0 => Whom::First(count(fault.first)),
            None => Whom::Share(share(fault.share)),
        },
    })
}

fn trouble(fault: &schema::ModelFault, tenants: &[TenantPlan]) -> Result<Trouble, ExperimentError> {
    let factor = share(fault.times);
    let duration = span(fault.span_ns);
    Ok(match fault.kind() {
        TroubleKind::Die => Trouble::Die,
        TroubleKind::Slow => Trouble::Slow(factor),
        TroubleKind::Hang => Trouble::Hang,
        TroubleKind::StandStill => Trouble::StandStill,
        TroubleKind::FailFast => Trouble::FailFast(duration),
        TroubleKind::Neighbour => Trouble::Neighbour(share(fault.cores)),
        TroubleKind::Lie => Trouble::Lie(duration),
        TroubleKind::Deploy => Trouble::Deploy(duration),
        TroubleKind::Partition => Trouble::Partition,
        TroubleKind::Flood => {
            let found = tenants
                .iter()
                .position(|tenant| tenant.name == fault.tenant);
            let tenant =
                found.ok_or_else(|| ExperimentError::FloodWithoutTraffic(fault.tenant.clone()))?;
            Trouble::Flood(tenant as u32, factor)
        }
        TroubleKind::ClockJump => Trouble::ClockJump(duration),
        TroubleKind::BelowDies => Trouble::BelowDies(count(fault.first)),
        TroubleKind::TroubleUnspecified => return Err(ExperimentError::UnknownFault),
    })
}
