//! Groups on a virtual clock under faults, with seeds that are few and fixed; sweeps are `rainstand-testbed sim`.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_testbed::check::check;
use rainstand_testbed::simulation::{play, SimulationConfig};

#[test]
fn groups_keep_the_rules_through_faults_of_all_kinds() {
    let (mut answered, mut asked) = (0, 0);
    for seed in 0..30 {
        let outcome = play(&SimulationConfig::default(), seed);
        let verdict = check(&outcome.history);
        assert!(
            verdict.violations.is_empty() && outcome.faults.is_empty(),
            "seed {seed}: {:#?} {:#?}",
            verdict.first(),
            outcome.faults
        );
        answered += outcome.served;
        asked += outcome.requests;
    }
    assert!(
        answered * 2 > asked && asked > 5_000,
        "{answered} of {asked}"
    );
}

#[test]
fn a_seed_replays_to_the_byte() {
    let [one, two] = [
        play(&SimulationConfig::default(), 5),
        play(&SimulationConfig::default(), 5),
    ];
    assert_eq!(
        (one.history, one.events, one.elections),
        (two.history, two.events, two.elections)
    );
}
