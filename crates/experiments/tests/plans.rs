//! Experiments of a configuration are converted to plans of the model as written.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_config::{load, source::Memory};
use rainstand_experiments::plans::variants;
use rainstand_fleet_model::plan::{Pick, Trouble, Whom, Work};
use std::time::Duration;

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
fn experiment_is_converted_to_the_plans_it_describes() {
    let outcome = load(&Memory::new([("a.rain", TEXT)]), "a.rain");
    let configuration = outcome
        .configuration
        .unwrap_or_else(|| panic!("{:?}", outcome.findings));
    let all = variants(&configuration, &configuration.experiments[0]).unwrap();
    let labels: Vec<_> = all.iter().map(|variant| &*variant.label).collect();
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
    // The model can run it.
    let mut short = plan.clone();
    short.lasts = Duration::from_millis(300);
    assert_eq!(
        rainstand_fleet_model::world::run(&short).unwrap().broken,
        None
    );
}

#[test]
fn invalid_experiments_are_reported() {
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
    for (block, expected) in table {
        let text = format!(
            "rain 1\ntype check {{ repeat: rerunnable; goal: 1 s; outer-limit: 3 s }}\ntenant acme {{ }}\n\
             experiment x {{ traffic check {{ work: 5 ms }} from acme {{ }} {block} }}"
        );
        let outcome = load(&Memory::new([("a.rain", &*text)]), "a.rain");
        let messages: Vec<_> = outcome
            .findings
            .iter()
            .map(|finding| finding.message.clone())
            .collect();
        assert!(
            messages.iter().any(|message| message.contains(expected)),
            "{block}: {messages:?}"
        );
    }
}
