//! Deadlines of the stages of a request.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rainstand_config::schema;
use rainstand_routing::time_budget::*;
use std::time::Duration;

fn any_stage() -> impl Strategy<Value = Option<schema::Stage>> {
    prop_oneof![
        Just(None),
        (1u64..200_000).prop_map(|share| Some(schema::Stage { share, fixed_ns: 0 })),
        (1u64..300_000_000).prop_map(|fixed_ns| Some(schema::Stage { share: 0, fixed_ns })),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(16), failure_persistence: None, ..ProptestConfig::default() })]

    /// If no stage exceeds the time left for it, each stage gets at least the time promised to it, and the request ends
    /// within its latency objective.
    #[test]
    fn each_stage_gets_its_promised_time_if_none_overruns(
        stages in proptest::array::uniform5(any_stage()),
        used in proptest::array::uniform5(0u64..=100),
    ) {
        let [forward, queue, run, call, answer] = stages;
        let budget = schema::Budget { name: String::new(), forward, queue, run, call, answer };
        let goal = Duration::from_secs(3);
        let times = Times::new(goal, Some(&budget));
        let mut spent = Duration::ZERO;
        for (index, stage) in [Stage::Forward, Stage::Queue, Stage::Run, Stage::Call, Stage::Answer].into_iter().enumerate() {
            let left = times.left(stage, spent);
            let promised = stages[index].map_or(Duration::ZERO, |s| if s.fixed_ns > 0 { Duration::from_nanos(s.fixed_ns) } else { share_of(goal, s.share) });
            // Together the promises stay within the objective here: at most 5 * 20 % or 1.5 s of 3 s.
            prop_assert!(left >= promised || stages.iter().flatten().map(|s| s.fixed_ns + s.share * 3_000).sum::<u64>() > 3_000_000_000);
            spent += left * used[index] as u32 / 100;
        }
        prop_assert!(spent <= goal);
    }
}
