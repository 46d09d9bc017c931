//! An `experiment` of a configuration to plans of the model: one for each variant and seed.

use rainstand_config::schema::{
    self, Configuration, Experiment, MemberPick, RepeatKind, TroubleKind, Varied,
};
use rainstand_config::units::{self, ONE};
use rainstand_fleet_model::plan::{
    BelowPlan, Fault, FrontPlan, Habits, NetPlan, NodeKind, NodePlan, Pick, Plan, TenantPlan,
    Trouble, TypePlan, Whom, Work,
};
use rainstand_invariants::Kind;
use std::time::Duration;

/// One point of what is varied.
#[derive(Clone, Debug, PartialEq)]
pub struct Variant {
    /// As `know=10 pick=in-turn`; `as written` if nothing is varied.
    pub label: String,
    pub plan: Plan,
}

fn ns(span: u64) -> Duration {
    Duration::from_nanos(span)
}

fn share(millionths: u64) -> f64 {
    millionths as f64 / ONE as f64
}

fn small(n: u64) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}

/// The plan that an experiment describes, without what it varies.
///
/// # Errors
/// A name that the configuration does not have: the checker refuses it before, a message from elsewhere may hold it.
pub fn plan(configuration: &Configuration, experiment: &Experiment) -> Result<Plan, String> {
    let traffic = experiment.traffic.iter().map(|one| {
        let found = configuration
            .types
            .iter()
            .find(|known| known.name == one.name);
        let known = found.ok_or_else(|| format!("there is no type `{}`", one.name))?;
        let (least, most) = (ns(one.work_least_ns), ns(one.work_most_ns));
        Ok(TypePlan {
            name: one.name.clone(),
            kind: match known.repeat() {
                RepeatKind::Rerunnable => Kind::Rerunnable,
                RepeatKind::Ticketed => Kind::Ticketed,
                RepeatKind::Exclusive | RepeatKind::Unspecified => Kind::Exclusive,
            },
            goal: ns(known.goal_ns),
            outer_limit: ns(known.outer_limit_ns),
            part: share(one.part),
            work: work(one.by_chance, least, most),
            calls: one.calls,
            poorer: if one.calls { share(one.poorer) } else { 1.0 },
        })
    });
    let tenants = experiment.from.iter().map(|one| {
        let known = configuration
            .tenants
            .iter()
            .find(|known| known.name == one.name);
        if known.is_none() && !one.stranger {
            return Err(format!("there is no tenant `{}`", one.name));
        }
        Ok(TenantPlan {
            name: one.name.clone(),
            part: share(one.part),
            share: known.map_or(0.0, |known| share(known.share)),
            stranger: one.stranger,
        })
    });
    let tenants: Vec<TenantPlan> = tenants.collect::<Result<_, String>>()?;
    let fleet = experiment.fleet.unwrap_or_default();
    let nodes = NodePlan {
        count: small(fleet.nodes),
        cores: small(fleet.cores),
        kind: match fleet.node() {
            schema::ModelNode::Ours => NodeKind::Ours,
            _ => NodeKind::Plain {
                at_once: small(fleet.at_once),
                hold: small(fleet.hold),
            },
        },
        crowding: share(fleet.crowding),
        cold: (fleet.cold_ns > 0).then(|| (ns(fleet.cold_ns), share(fleet.cold_slower))),
        halls: small(fleet.halls).max(1),
    };
    let fronts = experiment.forwarders.as_ref().map_or(
        FrontPlan {
            count: 0,
            ..FrontPlan::default()
        },
        |one| FrontPlan {
            count: small(one.count),
            know: small(one.know),
            pick: pick(one.pick()),
            tries: small(one.tries),
            budget: share(one.budget),
            wait: (ns(one.wait_least_ns), ns(one.wait_most_ns)),
            keep: one.health.then(|| share(one.keep)),
            at_once: one.at_once,
            warm_rate: 0,
        },
    );
    let net = experiment
        .network
        .as_ref()
        .map_or(NetPlan::default(), |one| NetPlan {
            delay: (ns(one.delay_least_ns), ns(one.delay_most_ns)),
            far: ns(one.far_ns),
            breaks: share(one.breaks),
        });
    let faults = experiment
        .faults
        .iter()
        .map(|one| fault(one, &tenants))
        .collect::<Result<_, String>>()?;
    let second_copy = (experiment.second_copy_ns > 0).then(|| ns(experiment.second_copy_ns));
    Ok(Plan {
        seed: 1,
        lasts: ns(experiment.lasts_ns),
        types: traffic.collect::<Result<_, String>>()?,
        tenants,
        dispatchers: small(experiment.dispatchers),
        habits: Habits {
            tries: small(experiment.tries),
            heeds: experiment.heeds,
            marks: experiment.marks,
            second_copy,
            late_list: ns(experiment.late_list_ns),
        },
        nodes,
        fronts,
        net,
        below: experiment.below.as_ref().map(|one| BelowPlan {
            count: small(one.nodes),
            at_once: small(one.at_once),
            hold: small(one.hold),
            work: work(one.by_chance, ns(one.work_least_ns), ns(one.work_most_ns)),
        }),
        load: experiment
            .load
            .iter()
            .map(|one| (ns(one.from_ns), share(one.share)))
            .collect(),
        faults,
        bug: None,
        check: true,
    })
}

fn work(by_chance: bool, least: Duration, most: Duration) -> Work {
    match (by_chance, least == most) {
        (true, _) => Work::About(least),
        (false, true) => Work::Fixed(least),
        (false, false) => Work::Between(least, most),
    }
}

fn pick(pick: MemberPick) -> Pick {
    match pick {
        MemberPick::TwoChoices => Pick::TwoChoices,
        MemberPick::InTurn => Pick::InTurn,
        MemberPick::LeastKnown | MemberPick::Unspecified => Pick::LeastKnown,
    }
}

fn fault(one: &schema::ModelFault, tenants: &[TenantPlan]) -> Result<Fault, String> {
    let (times, span) = (share(one.times), ns(one.span_ns));
    let trouble = match one.kind() {
        TroubleKind::Die => Trouble::Die,
        TroubleKind::Slow => Trouble::Slow(times),
        TroubleKind::Hang => Trouble::Hang,
        TroubleKind::StandStill => Trouble::StandStill,
        TroubleKind::FailFast => Trouble::FailFast(span),
        TroubleKind::Neighbour => Trouble::Neighbour(share(one.cores)),
        TroubleKind::Lie => Trouble::Lie(span),
        TroubleKind::Deploy => Trouble::Deploy(span),
        TroubleKind::Partition => Trouble::Partition,
        TroubleKind::Flood => {
            let found = tenants.iter().position(|tenant| tenant.name == one.tenant);
            let tenant = found
                .ok_or_else(|| format!("a flood of `{}`, who asks for nothing", one.tenant))?;
            Trouble::Flood(tenant as u32, times)
        }
        TroubleKind::ClockJump => Trouble::ClockJump(span),
        TroubleKind::BelowDies => Trouble::BelowDies(small(one.first)),
        TroubleKind::TroubleUnspecified => return Err("a fault of no kind".into()),
    };
    let whom = match one.hall {
        Some(hall) => Whom::Hall(hall),
        None if one.first > 0 => Whom::First(small(one.first)),
        None => Whom::Share(share(one.share)),
    };
    Ok(Fault {
        from: ns(one.from_ns),
        to: ns(one.from_ns + one.lasts_ns),
        trouble,
        whom,
    })
}

/// What a value of a varied key does to a plan, and how it is written.
fn change(plan: &mut Plan, key: Varied, value: u64) -> (&'static str, String) {
    let whole = value / ONE;
    let count = whole.to_string();
    match key {
        Varied::Nodes => {
            plan.nodes.count = small(whole);
            ("nodes", count)
        }
        Varied::Cores => {
            plan.nodes.cores = small(whole);
            if let NodeKind::Plain { at_once, .. } = &mut plan.nodes.kind {
                *at_once = small(whole);
            }
            ("cores", count)
        }
        Varied::ForwarderCount => {
            plan.fronts.count = small(whole);
            ("forwarders", count)
        }
        Varied::Know => {
            plan.fronts.know = small(whole);
            ("know", count)
        }
        Varied::Dispatchers => {
            plan.dispatchers = small(whole);
            ("dispatchers", count)
        }
        Varied::Tries => {
            plan.fronts.tries = small(whole);
            ("tries", count)
        }
        Varied::OfCores => {
            // The shape over time stays; its first part becomes this.
            let first = plan.load.first().map_or(1.0, |one| one.1).max(1e-9);
            plan.load
                .iter_mut()
                .for_each(|one| one.1 *= share(value) / first);
            ("load", units::share(value))
        }
        Varied::RetryBudget => {
            plan.fronts.budget = share(value);
            ("budget", units::share(value))
        }
        Varied::Keep => {
            plan.fronts.keep = Some(share(value));
            ("keep", units::share(value))
        }
        Varied::Breaks => {
            plan.net.breaks = share(value);
            ("breaks", units::share(value))
        }
        Varied::AtOnce => {
            plan.fronts.at_once = value;
            ("at-once", value.to_string())
        }
        Varied::SecondCopy => {
            plan.habits.second_copy = (value > 0).then(|| ns(value));
            ("second-copy", units::time(value))
        }
        Varied::Delay => {
            plan.net.delay = (ns(value), ns(value));
            ("delay", units::time(value))
        }
        Varied::Pick | Varied::NodeKind | Varied::Unspecified => ("", String::new()),
    }
}

fn change_word(plan: &mut Plan, key: Varied, word: &str) -> &'static str {
    if key == Varied::NodeKind {
        let cores = plan.nodes.cores;
        plan.nodes.kind = match word {
            "ours" => NodeKind::Ours,
            _ => NodeKind::Plain {
                at_once: cores,
                hold: 10 * cores,
            },
        };
        return "node";
    }
    plan.fronts.pick = match word {
        "least-known" => Pick::LeastKnown,
        "in-turn" => Pick::InTurn,
        _ => Pick::TwoChoices,
    };
    "pick"
}

/// All variants: every value of each `vary` with every value of the others, the last one changing first.
///
/// # Errors
/// As [`plan`], or a variant that makes no sense.
pub fn variants(
    configuration: &Configuration,
    experiment: &Experiment,
) -> Result<Vec<Variant>, String> {
    let mut all = vec![Variant {
        label: String::new(),
        plan: plan(configuration, experiment)?,
    }];
    for vary in &experiment.vary {
        let mut next = Vec::new();
        for one in &all {
            let mut put = |set: &dyn Fn(&mut Plan) -> (&'static str, String)| {
                let mut plan = one.plan.clone();
                let (key, value) = set(&mut plan);
                let label = format!("{} {key}={}", one.label, value.replace(' ', ""))
                    .trim()
                    .to_owned();
                next.push(Variant { label, plan });
            };
            for value in &vary.values {
                put(&|plan| change(plan, vary.key(), *value));
            }
            for word in &vary.words {
                put(&|plan| (change_word(plan, vary.key(), word), word.clone()));
            }
        }
        if !next.is_empty() {
            all = next;
        }
    }
    for one in &mut all {
        if one.label.is_empty() {
            "as written".clone_into(&mut one.label);
        }
        one.plan
            .check()
            .map_err(|why| format!("{}: {why}", one.label))?;
    }
    Ok(all)
}

#[cfg(test)]
mod tests {
    use super::*;
    use rainstand_config::{load, source::Memory};

    const TEXT: &str = "rain 1
type check { repeat: rerunnable; goal: 1 s; outer-limit: 3 s }
type register { repeat: exclusive; goal: 2 s; outer-limit: 5 s }
tenant acme { share: 40 % }
experiment dead {
  lasts: 20 s
  fleet { nodes: 50; cores: 8; halls: 2; cold: 5 s; cold-slower: 2.5 }
  forwarders { count: 4; know: 10; budget: 10 % }
  network { breaks: 0.1 % }
  traffic check { part: 4; work: 10 ms .. 30 ms }
  traffic register { work: about 40 ms }
  from acme { part: 3 }
  from nobody { stranger: yes }
  load { of-cores: 50 % }
  load { from: 10 s; of-cores: 120 % }
  fault { what: die; at: 5 s; lasts: 3 s; share: 20 % }
  fault { what: flood; at: 6 s; lasts: 1 s; tenant: nobody; times: 30 }
  fault { what: slow; at: 1 s; lasts: 1 s; hall: 1; times: 4 }
  vary know { to: 0, 5, 10 }
  vary pick { to: two-choices, in-turn }
}";

    #[test]
    fn what_is_written_is_what_is_played() {
        let outcome = load(&Memory::new([("a.rain", TEXT)]), "a.rain");
        let configuration = outcome
            .configuration
            .unwrap_or_else(|| panic!("{:?}", outcome.findings));
        let all = variants(&configuration, &configuration.experiments[0]).unwrap();
        let labels: Vec<_> = all.iter().map(|one| &*one.label).collect();
        assert_eq!(labels.len(), 6);
        assert_eq!(
            (labels[0], labels[5]),
            ("know=0 pick=two-choices", "know=10 pick=in-turn")
        );
        let plan = &all[3].plan;
        assert_eq!(
            (plan.fronts.know, plan.fronts.pick, plan.fronts.budget),
            (5, Pick::InTurn, 0.1)
        );
        assert_eq!(
            plan.load,
            [(Duration::ZERO, 0.5), (Duration::from_secs(10), 1.2)]
        );
        assert_eq!(plan.faults[0].trouble, Trouble::Die);
        assert_eq!(plan.faults[1].trouble, Trouble::Flood(1, 30.0));
        assert_eq!(plan.faults[2].whom, Whom::Hall(1));
        assert_eq!(plan.nodes.cold, Some((Duration::from_secs(5), 2.5)));
        assert!(plan.tenants[1].stranger && plan.tenants[0].share == 0.4);
        assert_eq!(plan.types[1].work, Work::About(Duration::from_millis(40)));
        // It plays.
        let mut short = plan.clone();
        short.lasts = Duration::from_millis(300);
        assert_eq!(
            rainstand_fleet_model::world::run(&short).unwrap().broken,
            None
        );
    }

    #[test]
    fn what_cannot_be_is_told() {
        let table = [
            ("fleet { }", "has no `nodes`"),
            (
                "fleet { nodes: 5 } fault { what: die; at: 1 s; lasts: 1 s }",
                "one of `share`, `first` and `hall`",
            ),
            (
                "fleet { nodes: 5 } fault { what: die; at: 1 s; lasts: 1 s; share: 1 %; times: 3 }",
                "no key `times`",
            ),
            (
                "fleet { nodes: 5 } vary nodez { to: 5 }",
                "`nodez` cannot be varied",
            ),
            (
                "fleet { nodes: 5 } vary pick { to: best }",
                "is one of two-choices",
            ),
            (
                "fleet { nodes: 5 } load { of-cores: 5 % } load { of-cores: 6 % }",
                "begins before",
            ),
            (
                "fleet { nodes: 5 } traffic other { work: 1 ms }",
                "no type `other`",
            ),
            (
                "fleet { nodes: 5 } fleet { nodes: 6 }",
                "has a `fleet` already",
            ),
        ];
        for (block, wanted) in table {
            let text = format!(
                "rain 1\ntype check {{ repeat: rerunnable; goal: 1 s; outer-limit: 3 s }}\ntenant acme {{ }}\n\
                 experiment x {{ traffic check {{ work: 5 ms }} from acme {{ }} {block} }}"
            );
            let outcome = load(&Memory::new([("a.rain", &*text)]), "a.rain");
            let found: Vec<_> = outcome
                .findings
                .iter()
                .map(|one| one.message.clone())
                .collect();
            assert!(
                found.iter().any(|one| one.contains(wanted)),
                "{block}: {found:?}"
            );
        }
    }
}
