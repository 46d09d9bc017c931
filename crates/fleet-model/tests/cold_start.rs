//! The warm-up that a node of the model is given.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_fleet_model::plan::{NodePlan, Plan};
use std::time::Duration;

/// Guards against a warm-up that starts at the wrong time. The length of the warm-up was once passed as its start time,
/// so it began that long after the start of the run, whenever the node started: a cold node was slow for one warm-up and
/// limited for another. Nodes that started warm were given a warm-up, too.
#[test]
fn warm_up_begins_when_the_node_starts() {
    let span = Duration::from_secs(3);
    let plan = NodePlan {
        cold: Some((span, 4.0)),
        ..Plan::default().nodes
    };
    let start = plan.cold_start(17_000_000_000).unwrap();
    assert_eq!(start.began, Duration::from_secs(17));
    assert_eq!(start.warm_up, span);
    assert_eq!(start.initial_speed, 0.25);
    assert_eq!(NodePlan { cold: None, ..plan }.cold_start(1), None);
}
