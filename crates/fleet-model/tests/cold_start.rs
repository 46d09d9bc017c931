//! What a node of the model is told of its warm-up.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_fleet_model::plan::{NodePlan, Plan};
use std::time::Duration;

/// What happened: a node of the model that started cold was slow for one span of its warm-up and held back for a second
/// one. Why: the span itself was given as the time when the warm-up began, so that it began a span after the start of
/// the play, whenever the node started. Nodes that started warm were told of it as well.
#[test]
fn a_warm_up_begins_with_the_start_of_the_node() {
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
