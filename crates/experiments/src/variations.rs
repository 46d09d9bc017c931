//! Applies each value of a varied key to a plan and to the label of the variant.

use crate::plans::{count, share, span, Variant};
use rainstand_config::schema::{Varied, Vary};
use rainstand_config::units::{self, ONE};
use rainstand_fleet_model::plan::{NodeKind, Pick, Plan};

/// Queue capacity of a plain node, per core.
const QUEUE_PER_CORE: u32 = 10;
/// Lower bound of a load that is scaled, as a share of all cores; avoids a division by zero.
const MIN_LOAD: f64 = 1e-9;

/// The part of a label that a value contributes.
struct LabelPart {
    key: &'static str,
    value: String,
}

impl LabelPart {
    fn new(key: &'static str, value: String) -> Self {
        Self { key, value }
    }
}

/// The variants that result from a variant by the values of `vary`, in their order.
pub(crate) fn of(variant: &Variant, vary: &Vary) -> Vec<Variant> {
    let key = vary.key();
    let numbers = vary
        .values
        .iter()
        .map(|value| changed(variant, |plan| set_number(plan, key, *value)));
    let words = vary
        .words
        .iter()
        .map(|word| changed(variant, |plan| set_word(plan, key, word)));
    numbers.chain(words).collect()
}

fn changed(variant: &Variant, set: impl FnOnce(&mut Plan) -> LabelPart) -> Variant {
    let mut plan = variant.plan.clone();
    let LabelPart { key, value } = set(&mut plan);
    let value = value.replace(' ', "");
    let label = format!("{} {key}={value}", variant.label);
    Variant {
        label: label.trim().to_owned(),
        plan,
    }
}

/// Sets a key to a number: a count or share in millionths, or a time in nanoseconds.
fn set_number(plan: &mut Plan, key: Varied, value: u64) -> LabelPart {
    match key {
        Varied::Nodes
        | Varied::Cores
        | Varied::ForwarderCount
        | Varied::Know
        | Varied::Dispatchers
        | Varied::Tries => set_count(plan, key, value / ONE),
        Varied::OfCores => {
            scale_load(plan, share(value));
            LabelPart::new("load", units::share(value))
        }
        Varied::RetryBudget => {
            plan.fronts.budget = share(value);
            LabelPart::new("budget", units::share(value))
        }
        Varied::Keep => {
            plan.fronts.keep = Some(share(value));
            LabelPart::new("keep", units::share(value))
        }
        Varied::Breaks => {
            plan.net.breaks = share(value);
            LabelPart::new("breaks", units::share(value))
        }
        Varied::AtOnce => {
            plan.fronts.at_once = value;
            LabelPart::new("at-once", value.to_string())
        }
        Varied::SecondCopy => {
            plan.habits.second_copy = (value > 0).then(|| span(value));
            LabelPart::new("second-copy", units::time(value))
        }
        Varied::Delay => {
            plan.net.delay = (span(value), span(value));
            LabelPart::new("delay", units::time(value))
        }
        Varied::Pick | Varied::NodeKind | Varied::Unspecified => LabelPart::new("", String::new()),
    }
}

fn set_count(plan: &mut Plan, key: Varied, number: u64) -> LabelPart {
    let key = match key {
        Varied::Nodes => {
            plan.nodes.count = count(number);
            "nodes"
        }
        Varied::Cores => {
            plan.nodes.cores = count(number);
            if let NodeKind::Plain { at_once, .. } = &mut plan.nodes.kind {
                *at_once = count(number);
            }
            "cores"
        }
        Varied::ForwarderCount => {
            plan.fronts.count = count(number);
            "forwarders"
        }
        Varied::Know => {
            plan.fronts.know = count(number);
            "know"
        }
        Varied::Dispatchers => {
            plan.dispatchers = count(number);
            "dispatchers"
        }
        Varied::Tries => {
            plan.fronts.tries = count(number);
            "tries"
        }
        _ => "",
    };
    LabelPart::new(key, number.to_string())
}

/// Scales the load so that its first step becomes `first`, and keeps its shape over time.
fn scale_load(plan: &mut Plan, first: f64) {
    let before = plan.load.first().map_or(1.0, |step| step.1).max(MIN_LOAD);
    for step in &mut plan.load {
        step.1 *= first / before;
    }
}

/// Sets a key to one of its words.
fn set_word(plan: &mut Plan, key: Varied, word: &str) -> LabelPart {
    if key == Varied::NodeKind {
        let cores = plan.nodes.cores;
        plan.nodes.kind = match word {
            "ours" => NodeKind::Ours,
            _ => NodeKind::Plain {
                at_once: cores,
                hold: QUEUE_PER_CORE * cores,
            },
        };
        return LabelPart::new("node", word.to_owned());
    }
    plan.fronts.pick = match word {
        "least-known" => Pick::LeastKnown,
        "in-turn" => Pick::InTurn,
        _ => Pick::TwoChoices,
    };
    LabelPart::new("pick", word.to_owned())
}
