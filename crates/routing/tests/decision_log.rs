//! The bounded log of routing decisions.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_routing::decision_log::*;
use rainstand_routing::outcome_reason::OutcomeReason;
use std::time::Duration;

#[test]
fn the_log_limits_its_decisions_and_the_skipped_members_of_each() {
    let mut log = DecisionLog::default();
    for n in 0..3_000u64 {
        let outcome = DecisionOutcome::Rejected {
            reason: OutcomeReason::NoMember,
            after: Duration::ZERO,
        };
        let mut decision = Decision::new(Duration::from_millis(n), 0, None, outcome);
        (0..9).for_each(|member| decision.record_skipped(member, SkipReason::Full));
        log.push(decision);
    }
    assert_eq!(log.all().count(), MAX_DECISIONS);
    let last = log.all().next_back().unwrap();
    assert_eq!(
        (last.time, last.skipped_members().count(), last.more_skipped),
        (Duration::from_millis(2_999), MAX_SKIPPED_MEMBERS, 3)
    );
}
