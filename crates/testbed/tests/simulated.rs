//! Simulated groups under faults, with a few fixed seeds; `rainstand-testbed sim` runs sweeps over many seeds.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_testbed::check::check;
use rainstand_testbed::simulation::{play, SimulationConfig};

#[test]
fn groups_keep_the_invariants_under_all_kinds_of_faults() {
    let (mut served, mut requests) = (0, 0);
    for seed in 0..30 {
        let outcome = play(&SimulationConfig::default(), seed);
        let verdict = check(&outcome.history);
        assert!(
            verdict.violations.is_empty() && outcome.faults.is_empty(),
            "seed {seed}: {:#?} {:#?}",
            verdict.first(),
            outcome.faults
        );
        served += outcome.served;
        requests += outcome.requests;
    }
    assert!(
        served * 2 > requests && requests > 5_000,
        "{served} of {requests}"
    );
}

#[test]
fn equal_seeds_give_identical_histories() {
    let [first, second] = [
        play(&SimulationConfig::default(), 5),
        play(&SimulationConfig::default(), 5),
    ];
    assert_eq!(
        (first.history, first.events, first.elections),
        (second.history, second.events, second.elections)
    );
}
