//! Checks the history against the four invariants, with the checker that all other runs of the project use.

use super::{Check, Request, Run, Subject, Violations};
use crate::history::RequestEnd;
use foldhash::HashMap;
use rainstand_invariants::{Answer, InvariantChecker, Kind, Step};
use std::time::Duration;

/// A step of a request, with its sort key: its time, its rank among steps of the same time, and its request.
struct TimedStep {
    at: u64,
    rank: u8,
    request: usize,
    step: Step,
}

/// Reports violations only if the other checks found none, so that none is reported twice.
pub(super) fn check(requests: &[Request<'_>], runs: &[Run<'_>], violations: &mut Violations) {
    if !violations.0.is_empty() {
        return;
    }
    let mut steps = steps_of(requests, runs);
    steps.sort_by_key(|step| (step.at, step.rank, step.request));
    let mut checker = InvariantChecker::default();
    for step in &steps {
        let at = Duration::from_nanos(step.at);
        if checker.record(at, step.request as u64, step.step).is_err() {
            break;
        }
    }
    let end = steps.last().map_or(0, |step| step.at);
    let Err(violation) = checker.finish(Duration::from_nanos(end)) else {
        return;
    };
    let request = violation
        .request
        .and_then(|index| requests.get(index as usize));
    let lines = request.map_or(Vec::new(), |request| {
        [Some(request.line), request.end.map(|end| end.line)]
            .into_iter()
            .flatten()
            .collect()
    });
    let subject = Subject {
        request: request.map(|request| request.name),
        key: request.and_then(|request| request.key),
    };
    let check = Check {
        rule: violation.rule,
        name: "rules",
    };
    let at = violation.at.as_nanos() as u64;
    violations.report(check, at, subject, violation.reason, lines);
}

/// Translates all requests into the steps of the invariant checker.
fn steps_of(requests: &[Request<'_>], runs: &[Run<'_>]) -> Vec<TimedStep> {
    let ran: HashMap<&str, u64> = runs
        .iter()
        .filter_map(|run| Some((run.key?, run.at)))
        .collect();
    let mut steps = Vec::new();
    for (index, request) in requests.iter().enumerate() {
        let mut push = |at, rank, step| {
            steps.push(TimedStep {
                at,
                rank,
                request: index,
                step,
            });
        };
        let kind = if request.key.is_some() {
            Kind::Ticketed
        } else {
            Kind::Rerunnable
        };
        let sent = Step::Asked {
            kind,
            due: Duration::from_nanos(request.deadline),
            front: 0,
        };
        push(request.at, 0, sent);
        let Some(end) = request.end else {
            continue;
        };
        // Agents record only runs with a key; a request without one is served by a run that is not recorded.
        let has_run = |key| ran.get(key).is_some_and(|ran| *ran <= end.at);
        if request.key.is_none_or(has_run) {
            push(end.at, 1, Step::Shared);
        }
        push(end.at, 2, step_of(end.kind));
    }
    steps
}

fn step_of(end: RequestEnd) -> Step {
    match end {
        RequestEnd::Served => Step::Answered(Answer::Honoured),
        RequestEnd::Rejected => Step::Answered(Answer::Dismissed),
        RequestEnd::Failed => Step::Answered(Answer::GivenUp),
        RequestEnd::Abandoned => Step::Left,
    }
}
