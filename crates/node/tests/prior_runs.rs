//! Which end of a run counts that is not in the request table.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_node::prior_runs::PriorRuns;
use rainstand_replicated_state::idempotent_request::RunEnd;
use std::time::{Duration, Instant};

const TRACE: [u8; 16] = *b"00000000000000a1";

fn ends(runs: &mut PriorRuns) -> Vec<RunEnd> {
    runs.take().into_iter().map(|run| run.end).collect()
}

/// Guards against a key that is freed although its request ran: after a break the launch is sent again, the run has ended
/// meanwhile, and the agent answers the second copy with `late`.
#[test]
fn second_launch_does_not_free_the_key_of_a_run_that_ended() {
    let now = Instant::now();
    for end in [RunEnd::Result("r".into()), RunEnd::Failed] {
        // A run of this process: its end is reported with its request.
        let mut runs = PriorRuns::default();
        runs.on_own_run_ended(TRACE);
        runs.remember(TRACE, RunEnd::NeverRan, now);
        assert_eq!(ends(&mut runs), []);
        // One of an earlier process: both notices are replayed, and its end may have been reported already.
        for reports_between in [false, true] {
            let mut runs = PriorRuns::default();
            runs.remember(TRACE, end.clone(), now);
            let mut reported = if reports_between {
                ends(&mut runs)
            } else {
                Vec::new()
            };
            runs.remember(TRACE, RunEnd::NeverRan, now);
            reported.extend(ends(&mut runs));
            assert_eq!(reported, std::slice::from_ref(&end));
        }
    }
}

/// A launch of an earlier process that never ran frees its key.
#[test]
fn launch_that_never_ran_is_reported() {
    let mut runs = PriorRuns::default();
    runs.remember(TRACE, RunEnd::NeverRan, Instant::now());
    assert_eq!(ends(&mut runs), [RunEnd::NeverRan]);
}

#[test]
fn run_without_a_key_is_dropped_when_old_and_all_maps_are_bounded() {
    let now = Instant::now();
    let mut runs = PriorRuns::default();
    for number in 0..10_000u64 {
        let trace = format!("{number:016x}").into_bytes().try_into().unwrap();
        runs.remember(trace, RunEnd::Failed, now);
    }
    let taken = runs.take();
    assert_eq!(taken.len(), 4_000);
    for run in taken.clone() {
        runs.put_back(run, now + Duration::from_secs(29));
    }
    assert_eq!(runs.take().len(), 4_000);
    for run in taken {
        runs.put_back(run, now + Duration::from_secs(31));
    }
    assert_eq!(runs.take().len(), 0);
}
