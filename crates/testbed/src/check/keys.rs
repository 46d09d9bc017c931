//! Checks each idempotency key: its runs against its requests, and its answers against its runs.

use super::{invariant_1, invariant_2, End, Request, Run, Subject, Violations, MAX_LINES_SHOWN};
use crate::history::RequestEnd;
use foldhash::{HashMap, HashMapExt};

/// Requests and runs of one key, each in order of time.
struct Key<'a, 'h> {
    name: &'h str,
    requests: Vec<&'a Request<'h>>,
    runs: Vec<&'a Run<'h>>,
}

/// Checks each key independently; returns the number of keys.
pub(super) fn check(
    requests: &[Request<'_>],
    runs: &[Run<'_>],
    violations: &mut Violations,
) -> usize {
    let keys = by_key(requests, runs);
    for key in keys.values() {
        key.check_runs_once(violations);
        for run in &key.runs {
            key.check_run(run, violations);
        }
        key.check_answers(violations);
    }
    keys.len()
}

fn by_key<'a, 'h>(
    requests: &'a [Request<'h>],
    runs: &'a [Run<'h>],
) -> HashMap<&'h str, Key<'a, 'h>> {
    let mut keys = HashMap::new();
    let new = |name| Key {
        name,
        requests: Vec::new(),
        runs: Vec::new(),
    };
    for request in requests {
        if let Some(name) = request.key {
            let key = keys.entry(name).or_insert_with(|| new(name));
            key.requests.push(request);
        }
    }
    for run in runs {
        if let Some(name) = run.key {
            let key = keys.entry(name).or_insert_with(|| new(name));
            key.runs.push(run);
        }
    }
    keys
}

/// Whether two optional values do not contradict each other: a missing value agrees with any.
fn consistent(one: Option<&str>, other: Option<&str>) -> bool {
    one.is_none() || other.is_none() || one == other
}

/// A request that was answered with a result, and the line that records it.
struct Answer<'a, 'h> {
    request: &'a Request<'h>,
    end: End<'h>,
}

impl Answer<'_, '_> {
    fn result(&self) -> &str {
        self.end.result.unwrap_or("")
    }
}

impl<'a, 'h> Key<'a, 'h> {
    /// Subject of a violation by a run: the key only, as a run names no request.
    fn subject(&self) -> Subject<'_> {
        Subject {
            request: None,
            key: Some(self.name),
        }
    }

    fn check_runs_once(&self, violations: &mut Violations) {
        for pair in self.runs.windows(2) {
            let (first, second) = (pair[0], pair[1]);
            violations.report(
                invariant_2("ran-twice"),
                second.at,
                self.subject(),
                format!("it ran again, by {} after {}", second.agent, first.agent),
                vec![first.line, second.line],
            );
        }
    }

    /// The candidate requests of a run; see the documentation of the parent module.
    fn candidates(&self, run: &Run<'_>) -> Vec<&'a Request<'h>> {
        let is_possible =
            |request: &&&Request<'_>| request.at <= run.at && consistent(request.body, run.body);
        let all: Vec<_> = self.requests.iter().filter(is_possible).copied().collect();
        let node = run.agent.strip_prefix("agent-");
        let at_node: Vec<_> = all
            .iter()
            .filter(|request| node.is_some() && request.node == node)
            .copied()
            .collect();
        if at_node.is_empty() {
            all
        } else {
            at_node
        }
    }

    fn check_run(&self, run: &Run<'_>, violations: &mut Violations) {
        let candidates = self.candidates(run);
        if candidates.is_empty() {
            self.report_unrequested(run, violations);
            return;
        }
        let was_rejected = |request: &&Request<'_>| {
            request
                .end
                .is_some_and(|end| end.kind == RequestEnd::Rejected)
        };
        if candidates.iter().all(was_rejected) {
            self.report_rejected_though_ran(run, &candidates, violations);
        }
    }

    /// Reports a run whose key, or whose body, no request had by then.
    fn report_unrequested(&self, run: &Run<'_>, violations: &mut Violations) {
        let before = self.requests.iter().filter(|request| request.at <= run.at);
        let mut lines: Vec<usize> = before.map(|request| request.line).collect();
        let (check, reason) = if lines.is_empty() {
            (
                invariant_2("ran-unasked"),
                "it ran before any request with this key was sent",
            )
        } else {
            (
                invariant_1("body-changed"),
                "it ran with a body that no request with this key had by then",
            )
        };
        lines.truncate(MAX_LINES_SHOWN - 1);
        lines.push(run.line);
        violations.report(check, run.at, self.subject(), reason, lines);
    }

    fn report_rejected_though_ran(
        &self,
        run: &Run<'_>,
        candidates: &[&Request<'_>],
        violations: &mut Violations,
    ) {
        let last_end = candidates.iter().filter_map(|request| request.end);
        let last_end = last_end.map(|end| end.at).max().unwrap_or(run.at);
        let mut lines: Vec<usize> = vec![run.line];
        for request in candidates {
            lines.push(request.line);
            lines.extend(request.end.map(|end| end.line));
        }
        lines.truncate(MAX_LINES_SHOWN);
        lines.sort_unstable();
        let subject = Subject {
            request: candidates.first().map(|request| request.name),
            key: Some(self.name),
        };
        let reason = format!(
            "it ran by {}, and all requests that the run can belong to were rejected",
            run.agent
        );
        violations.report(
            invariant_2("dismissed-though-ran"),
            last_end.max(run.at),
            subject,
            reason,
            lines,
        );
    }

    /// All answers for this key, in order of time.
    fn answers(&self) -> Vec<Answer<'a, 'h>> {
        let answer = |request: &&'a Request<'h>| {
            let end = request.end.filter(|end| end.kind == RequestEnd::Served)?;
            Some(Answer { request, end })
        };
        let mut answers: Vec<_> = self.requests.iter().filter_map(answer).collect();
        answers.sort_by_key(|answer| (answer.end.at, answer.end.line));
        answers
    }

    fn check_answers(&self, violations: &mut Violations) {
        let answers = self.answers();
        for (index, answer) in answers.iter().enumerate() {
            self.check_result_was_produced(answer, violations);
            if index > 0 {
                check_agree(&answers[0], answer, violations);
            }
        }
    }

    /// Some run of this key and body must have produced the result by the time of the answer.
    fn check_result_was_produced(&self, answer: &Answer<'_, '_>, violations: &mut Violations) {
        let (request, end) = (answer.request, answer.end);
        let has_produced = |run: &&Run<'_>| {
            run.at <= end.at
                && consistent(run.body, request.body)
                && run.result.is_none_or(|result| result == answer.result())
        };
        if self.runs.iter().any(has_produced) {
            return;
        }
        let mut lines: Vec<usize> = vec![request.line, end.line];
        lines.extend(
            self.runs
                .iter()
                .map(|run| run.line)
                .take(MAX_LINES_SHOWN - 2),
        );
        let reason = format!(
            "answered with {:?}, which no run of this key and body had produced by then",
            answer.result()
        );
        violations.report(
            invariant_1("result-of-no-run"),
            end.at,
            request.subject(),
            reason,
            lines,
        );
    }
}

/// An answer must equal the first answer of its key.
fn check_agree(first: &Answer<'_, '_>, answer: &Answer<'_, '_>, violations: &mut Violations) {
    let (at, subject) = (answer.end.at, answer.request.subject());
    let lines = vec![
        first.request.line,
        first.end.line,
        answer.request.line,
        answer.end.line,
    ];
    if first.result() != answer.result() {
        let reason = format!(
            "answered with {:?}, but the first answer was {:?}",
            answer.result(),
            first.result()
        );
        violations.report(
            invariant_2("result-contradicted"),
            at,
            subject,
            reason,
            lines.clone(),
        );
    }
    if !consistent(first.request.class, answer.request.class) {
        violations.report(
            invariant_1("result-of-another-type"),
            at,
            subject,
            "requests of two classes were answered for one key",
            lines,
        );
    }
}
