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
fn the_log_is_bounded_and_names_some_of_the_skipped_members() {
    let mut all = DecisionLog::default();
    for n in 0..3_000u64 {
        let what = DecisionOutcome::Rejected {
            reason: OutcomeReason::NoMember,
            after: Duration::ZERO,
        };
        let mut one = Decision::new(Duration::from_millis(n), 0, None, what);
        (0..9).for_each(|member| one.record_skipped(member, SkipReason::Full));
        all.push(one);
    }
    assert_eq!(all.all().count(), MAX_DECISIONS);
    let last = all.all().next_back().unwrap();
    assert_eq!(
        (last.at, last.skipped_members().count(), last.more_skipped),
        (Duration::from_millis(2_999), MAX_SKIPPED_MEMBERS, 3)
    );
}
