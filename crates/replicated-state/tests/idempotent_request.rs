//! Every order of events over the states of an idempotent request.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use bytes::Bytes;
use rainstand_replicated_state::idempotency::ClaimOutcome;
use rainstand_replicated_state::idempotent_request::{
    transition, RequestAction, RequestEvent, RequestStage, RunEnd, Transition,
};
use std::collections::{HashSet, VecDeque};

fn events() -> Vec<RequestEvent> {
    let r = Bytes::from_static(b"R");
    let mut all: Vec<RequestEvent> = [
        ClaimOutcome::Granted,
        ClaimOutcome::Completed(r.clone()),
        ClaimOutcome::InProgress,
        ClaimOutcome::Indeterminate,
        ClaimOutcome::KeyMismatch,
        ClaimOutcome::Withdrawn,
        ClaimOutcome::CapacityExceeded,
        ClaimOutcome::Recorded,
        ClaimOutcome::NotHeld,
    ]
    .map(RequestEvent::Outcome)
    .to_vec();
    all.extend([RequestEvent::TimedOut, RequestEvent::CallerLeft]);
    all.extend(
        [RunEnd::Result(r), RunEnd::Failed, RunEnd::NeverRan].map(RequestEvent::RunFinished),
    );
    all
}

/// Over all orders of events: at most one launch and one answer, no rejection after a launch, and a response with a
/// result only where one was reported or produced.
#[test]
fn every_order_of_events_launches_and_answers_at_most_once() {
    // Stage, launched, answered, a result is known.
    let mut seen = HashSet::new();
    let mut open = VecDeque::from([(Some(RequestStage::Claiming), false, false, false)]);
    let mut steps = 0;
    while let Some((stage, launched, answered, known)) = open.pop_front() {
        let Some(stage) = stage else { continue };
        for event in events() {
            let is_run_end = matches!(event, RequestEvent::RunFinished(_));
            if is_run_end && !launched {
                continue;
            }
            steps += 1;
            let known = known
                || matches!(
                    event,
                    RequestEvent::Outcome(ClaimOutcome::Completed(_))
                        | RequestEvent::RunFinished(RunEnd::Result(_))
                );
            let Transition { next, action } = transition(stage, event.clone());
            let (mut launched, mut answered) = (launched, answered);
            match action {
                RequestAction::Launch => {
                    assert!(!launched, "{stage:?} {event:?}");
                    launched = true;
                }
                RequestAction::Reject { .. } | RequestAction::Withdraw => {
                    assert!(
                        !launched && !answered && next.is_none(),
                        "{stage:?} {event:?}"
                    );
                    answered = true;
                }
                RequestAction::Respond(_) => {
                    assert!(!answered && known && next.is_none(), "{stage:?} {event:?}");
                    answered = true;
                }
                RequestAction::Fail
                | RequestAction::FailAndRecord
                | RequestAction::FailAndRelease => {
                    assert!(!answered && next.is_none(), "{stage:?} {event:?}");
                    answered = true;
                }
                RequestAction::ReplicateResult(_) => assert!(launched),
                RequestAction::None => assert!(next.is_some(), "{stage:?} {event:?}"),
            }
            let state = (next, launched, answered, known);
            if seen.insert(state) {
                open.push_back(state);
            }
        }
    }
    assert!(
        steps > 40 && seen.iter().any(|s| s.0 == Some(RequestStage::Replicating)),
        "{steps} {seen:?}"
    );
}
