//! An `experiment` of a configuration as plans of the fleet model, one for each variant.

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

/// One combination of the values that are varied.
#[derive(Clone, Debug, PartialEq)]
pub struct Variant {
    /// As `know=10 pick=in-turn`; `as written` if nothing is varied.
    pub label: String,
    /// What the model plays, with seed 1.
    pub plan: Plan,
}

/// All variants: every value of each `vary` with every value of the others, the last one changing first.
///
/// # Errors
/// As [`plan`], or a variant that makes no sense.
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

/// The plan that an experiment describes, without what it varies.
///
/// # Errors
/// A name that the configuration does not have: the checker refuses it, but a compiled message may come from elsewhere.
pub fn plan(
    configuration: &Configuration,
    experiment: &Experiment,
) -> Result<Plan, ExperimentError> {
    let tenants = tenants(configuration, experiment)?;
    let faults = experiment.faults.iter();
    let faults: Result<Vec<Fault>, _> = faults.map(|one| fault(one, &tenants)).collect();
    let load = experiment.load.iter();
    Ok(Plan {
        seed: 1,
        lasts: span(experiment.lasts_ns),
        faults: faults?,
        types: request_classes(configuration, experiment)?,
        tenants,
        dispatchers: count(experiment.dispatchers),
        habits: habits(experiment),
        nodes: nodes(experiment),
        fronts: forwarders(experiment.forwarders.as_ref()),
        net: experiment
            .network
            .as_ref()
            .map_or(NetPlan::default(), network),
        below: experiment.below.as_ref().map(downstream),
        load: load
            .map(|one| (span(one.from_ns), share(one.share)))
            .collect(),
        bug: None,
        check: true,
    })
}

/// A time in nanoseconds.
pub(crate) fn span(ns: u64) -> Duration {
    Duration::from_nanos(ns)
}

/// A share in millionths.
pub(crate) fn share(millionths: u64) -> f64 {
    millionths as f64 / ONE as f64
}

/// A count, cut to the model's type.
pub(crate) fn count(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
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
        let (least, most) = (span(traffic.work_least_ns), span(traffic.work_most_ns));
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
            work: work(traffic.by_chance, least, most),
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

fn habits(experiment: &Experiment) -> Habits {
    let second_copy = experiment.second_copy_ns;
    Habits {
        tries: count(experiment.tries),
        heeds: experiment.heeds,
        marks: experiment.marks,
        second_copy: (second_copy > 0).then(|| span(second_copy)),
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

/// Without forwarders callers go to the nodes themselves.
fn forwarders(forwarders: Option<&schema::ModelForwarders>) -> FrontPlan {
    let Some(one) = forwarders else {
        return FrontPlan {
            count: 0,
            ..FrontPlan::default()
        };
    };
    FrontPlan {
        count: count(one.count),
        know: count(one.know),
        pick: selection_policy(one.pick()),
        tries: count(one.tries),
        budget: share(one.budget),
        wait: (span(one.wait_least_ns), span(one.wait_most_ns)),
        keep: one.health.then(|| share(one.keep)),
        at_once: one.at_once,
        warm_rate: 0,
    }
}

fn network(one: &schema::ModelNetwork) -> NetPlan {
    NetPlan {
        delay: (span(one.delay_least_ns), span(one.delay_most_ns)),
        far: span(one.far_ns),
        breaks: share(one.breaks),
    }
}

fn downstream(one: &schema::ModelBelow) -> BelowPlan {
    let (least, most) = (span(one.work_least_ns), span(one.work_most_ns));
    BelowPlan {
        count: count(one.nodes),
        at_once: count(one.at_once),
        hold: count(one.hold),
        work: work(one.by_chance, least, most),
    }
}

fn work(by_chance: bool, least: Duration, most: Duration) -> Work {
    if by_chance {
        Work::About(least)
    } else if least == most {
        Work::Fixed(least)
    } else {
        Work::Between(least, most)
    }
}

fn selection_policy(pick: MemberPick) -> Pick {
    match pick {
        MemberPick::TwoChoices => Pick::TwoChoices,
        MemberPick::InTurn => Pick::InTurn,
        MemberPick::LeastKnown | MemberPick::Unspecified => Pick::LeastKnown,
    }
}

fn fault(one: &schema::ModelFault, tenants: &[TenantPlan]) -> Result<Fault, ExperimentError> {
    Ok(Fault {
        from: span(one.from_ns),
        to: span(one.from_ns + one.lasts_ns),
        trouble: trouble(one, tenants)?,
        whom: match one.hall {
            Some(hall) => Whom::Hall(hall),
            None if one.first > 0 => Whom::First(count(one.first)),
            None => Whom::Share(share(one.share)),
        },
    })
}

fn trouble(one: &schema::ModelFault, tenants: &[TenantPlan]) -> Result<Trouble, ExperimentError> {
    let times = share(one.times);
    let duration = span(one.span_ns);
    Ok(match one.kind() {
        TroubleKind::Die => Trouble::Die,
        TroubleKind::Slow => Trouble::Slow(times),
        TroubleKind::Hang => Trouble::Hang,
        TroubleKind::StandStill => Trouble::StandStill,
        TroubleKind::FailFast => Trouble::FailFast(duration),
        TroubleKind::Neighbour => Trouble::Neighbour(share(one.cores)),
        TroubleKind::Lie => Trouble::Lie(duration),
        TroubleKind::Deploy => Trouble::Deploy(duration),
        TroubleKind::Partition => Trouble::Partition,
        TroubleKind::Flood => {
            let found = tenants.iter().position(|tenant| tenant.name == one.tenant);
            let tenant =
                found.ok_or_else(|| ExperimentError::FloodWithoutTraffic(one.tenant.clone()))?;
            Trouble::Flood(tenant as u32, times)
        }
        TroubleKind::ClockJump => Trouble::ClockJump(duration),
        TroubleKind::BelowDies => Trouble::BelowDies(count(one.first)),
        TroubleKind::TroubleUnspecified => return Err(ExperimentError::UnknownFault),
    })
}
