//! Checks whether a history satisfies the invariants. Reads the history only, and nothing of the run that made it.
//!
//! | check | invariant | violation |
//! | --- | --- | --- |
//! | `asked-twice` | 1 | two requests of one caller have the same name |
//! | `answer-missing` | 1 | a request was sent and its end never recorded |
//! | `answer-late` | 1 | a request ended after its deadline, in whatever way |
//! | `answer-twice` | 1 | a request ended twice |
//! | `answer-to-nothing` | 1 | the end of a request that had not been sent by then |
//! | `body-changed` | 1 | a key ran with a body that no request had by then |
//! | `result-of-no-run` | 1 | a keyed answer has a result that no run of this key and body had produced by then |
//! | `result-of-another-type` | 1 | requests with one key and two request classes were both answered |
//! | `result-contradicted` | 2 | two answers for one key have different results |
//! | `ran-twice` | 2 | a second run of one key, on any node |
//! | `ran-unasked` | 2 | a run of a key that no request had by then |
//! | `dismissed-though-ran` | 2 | a run whose possible requests were all rejected |
//!
//! **Attribution of runs.** A run records its key, not its request. Its candidates are the requests with its key and
//! body that were sent before it; if some of them were sent to the node whose agent ran it (`agent-n2` for `n2`), only
//! these. If all candidates were rejected, a request was rejected although it ran.
//!
//! **Linearizability per key.** A key is a register that is written once, by its run, and read by answers. A history
//! is linearizable if and only if there is at most one write, every answer returns it, and none returns it before it
//! was written: `ran-twice`, `result-contradicted` and `result-of-no-run`. So one pass gives the same result as a
//! search over all orders, which is exponential in the worst case; a test compares the two.

mod invariants;
mod keys;

use crate::history::{Event, Observation, RequestEnd};
use foldhash::HashMap;
use serde::Serialize;
use std::fmt;

/// Maximum number of lines listed for one violation, as a key may have many requests.
const MAX_LINES_SHOWN: usize = 12;

/// One check, and the invariant that it verifies.
#[derive(Clone, Copy)]
struct Check {
    rule: u8,
    name: &'static str,
}

/// A check of invariant 1: every request ends once, by its deadline and with a correct outcome.
const fn invariant_1(name: &'static str) -> Check {
    Check { rule: 1, name }
}

/// A check of invariant 2: a key runs at most once.
const fn invariant_2(name: &'static str) -> Check {
    Check { rule: 2, name }
}

/// A violation of an invariant, and the lines that show it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// Number of the invariant.
    pub rule: u8,
    /// Name of the check that found it.
    pub check: &'static str,
    /// When it was detected, in nanoseconds on the history's clock.
    pub at: u64,
    /// The request that it concerns.
    #[serde(rename = "ticket", skip_serializing_if = "Option::is_none")]
    pub request: Option<String>,
    /// The idempotency key that it concerns.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// Description of the violation.
    #[serde(rename = "why")]
    pub reason: String,
    /// Line numbers, from 1.
    pub lines: Vec<usize>,
}

impl fmt::Display for Violation {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "rule {} ({}) at {}", self.rule, self.check, self.at)?;
        self.key
            .iter()
            .try_for_each(|key| write!(out, ", key {key}"))?;
        self.request
            .iter()
            .try_for_each(|request| write!(out, ", ticket {request}"))?;
        write!(out, ": {}", self.reason)
    }
}

/// Counts of the requests, ends, runs and keys in a history.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Tally {
    /// All requests.
    #[serde(rename = "asked")]
    pub requests: usize,
    /// Requests with an idempotency key.
    pub keyed: usize,
    /// Ends with a result.
    #[serde(rename = "answered")]
    pub served: usize,
    /// Ends by a rejection.
    #[serde(rename = "dismissed")]
    pub rejected: usize,
    /// Ends by a failure.
    #[serde(rename = "given_up")]
    pub failed: usize,
    /// Requests abandoned by their callers.
    #[serde(rename = "gone")]
    pub abandoned: usize,
    /// Runs recorded by agents.
    #[serde(rename = "ran")]
    pub runs: usize,
    /// Distinct keys.
    pub keys: usize,
}

impl Tally {
    fn count_end(&mut self, end: RequestEnd) {
        match end {
            RequestEnd::Served => self.served += 1,
            RequestEnd::Rejected => self.rejected += 1,
            RequestEnd::Failed => self.failed += 1,
            RequestEnd::Abandoned => self.abandoned += 1,
        }
    }
}

/// Result of the check of a history.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Counts of the events in the history.
    pub tally: Tally,
    /// All violations, in order of time.
    pub violations: Vec<Violation>,
}

impl Verdict {
    /// The earliest violation.
    pub fn first(&self) -> Option<&Violation> {
        self.violations.first()
    }
}

/// A request with its first end.
struct Request<'h> {
    at: u64,
    line: usize,
    name: &'h str,
    class: Option<&'h str>,
    key: Option<&'h str>,
    body: Option<&'h str>,
    node: Option<&'h str>,
    deadline: u64,
    end: Option<End<'h>>,
}

/// The line that ends a request.
#[derive(Clone, Copy)]
struct End<'h> {
    at: u64,
    line: usize,
    kind: RequestEnd,
    result: Option<&'h str>,
}

/// A run, as recorded by its agent.
struct Run<'h> {
    at: u64,
    line: usize,
    agent: &'h str,
    key: Option<&'h str>,
    body: Option<&'h str>,
    result: Option<&'h str>,
}

/// The request, the key, or both that a violation concerns.
#[derive(Clone, Copy)]
struct Subject<'s> {
    request: Option<&'s str>,
    key: Option<&'s str>,
}

impl Request<'_> {
    fn subject(&self) -> Subject<'_> {
        Subject {
            request: Some(self.name),
            key: self.key,
        }
    }
}

/// The violations found so far.
#[derive(Default)]
struct Violations(Vec<Violation>);

impl Violations {
    fn report(
        &mut self,
        check: Check,
        at: u64,
        subject: Subject<'_>,
        reason: impl Into<String>,
        mut lines: Vec<usize>,
    ) {
        lines.truncate(MAX_LINES_SHOWN);
        self.0.push(Violation {
            rule: check.rule,
            check: check.name,
            at,
            request: subject.request.map(str::to_owned),
            key: subject.key.map(str::to_owned),
            reason: reason.into(),
            lines,
        });
    }
}

/// State of the check: the part of a history read so far, in order of time.
#[derive(Default)]
struct HistoryChecker<'h> {
    tally: Tally,
    requests: Vec<Request<'h>>,
    /// Index of a request by caller and name: two callers may use the same names.
    by_name: HashMap<(&'h str, &'h str), usize>,
    runs: Vec<Run<'h>>,
    violations: Violations,
}

/// Checks a complete history; the order of its observations is irrelevant.
pub fn check(history: &[Observation]) -> Verdict {
    let mut checker = HistoryChecker::default();
    for observation in in_order(history) {
        checker.record(observation);
    }
    checker.finish()
}

/// Observations by time; those with equal times in the order of request, run, end.
fn in_order(history: &[Observation]) -> Vec<&Observation> {
    let rank = |event: &Event| match event {
        Event::Requested { .. } => 0,
        Event::Ran { .. } => 1,
        Event::Ended { .. } => 2,
    };
    let mut sorted: Vec<&Observation> = history.iter().collect();
    sorted.sort_by_key(|observation| (observation.at, rank(&observation.event), observation.line));
    sorted
}

impl<'h> HistoryChecker<'h> {
    fn record(&mut self, observation: &'h Observation) {
        match &observation.event {
            Event::Requested {
                request,
                request_class,
                key,
                body,
                node,
                deadline,
            } => self.on_request(
                &observation.observer,
                Request {
                    at: observation.at,
                    line: observation.line,
                    name: request,
                    class: request_class.as_deref(),
                    key: key.as_deref(),
                    body: body.as_deref(),
                    node: node.as_deref(),
                    deadline: *deadline,
                    end: None,
                },
            ),
            Event::Ran { key, body, result } => {
                self.tally.runs += 1;
                self.runs.push(Run {
                    at: observation.at,
                    line: observation.line,
                    agent: &observation.observer,
                    key: key.as_deref(),
                    body: body.as_deref(),
                    result: result.as_deref(),
                });
            }
            Event::Ended {
                request,
                end,
                result,
            } => self.on_end(
                &observation.observer,
                request,
                End {
                    at: observation.at,
                    line: observation.line,
                    kind: *end,
                    result: result.as_deref(),
                },
            ),
        }
    }

    fn on_request(&mut self, caller: &'h str, request: Request<'h>) {
        self.tally.requests += 1;
        self.tally.keyed += usize::from(request.key.is_some());
        let index = self.requests.len();
        if let Some(previous) = self.by_name.insert((caller, request.name), index) {
            self.violations.report(
                invariant_1("asked-twice"),
                request.at,
                request.subject(),
                "a second request has the same name: a repeat must be a separate request",
                vec![self.requests[previous].line, request.line],
            );
        }
        self.requests.push(request);
    }

    fn on_end(&mut self, caller: &'h str, name: &'h str, end: End<'h>) {
        self.tally.count_end(end.kind);
        let Some(&index) = self.by_name.get(&(caller, name)) else {
            let subject = Subject {
                request: Some(name),
                key: None,
            };
            self.violations.report(
                invariant_1("answer-to-nothing"),
                end.at,
                subject,
                "the end of a request that had not been sent by then",
                vec![end.line],
            );
            return;
        };
        let request = &mut self.requests[index];
        if let Some(first_end) = request.end {
            self.violations.report(
                invariant_1("answer-twice"),
                end.at,
                request.subject(),
                "the request ended a second time",
                vec![request.line, first_end.line, end.line],
            );
            return;
        }
        request.end = Some(end);
        if end.at > request.deadline {
            let late = end.at - request.deadline;
            self.violations.report(
                invariant_1("answer-late"),
                end.at,
                request.subject(),
                format!("the request ended {late} ns after its deadline"),
                vec![request.line, end.line],
            );
        }
    }

    fn finish(mut self) -> Verdict {
        self.report_missing_ends();
        self.tally.keys = keys::check(&self.requests, &self.runs, &mut self.violations);
        invariants::check(&self.requests, &self.runs, &mut self.violations);
        let Violations(mut violations) = self.violations;
        violations.sort_by(|a, b| (a.at, &a.lines, a.check).cmp(&(b.at, &b.lines, b.check)));
        Verdict {
            tally: self.tally,
            violations,
        }
    }

    fn report_missing_ends(&mut self) {
        for request in self.requests.iter().filter(|request| request.end.is_none()) {
            self.violations.report(
                invariant_1("answer-missing"),
                request.deadline,
                request.subject(),
                "the request never ended",
                vec![request.line],
            );
        }
    }
}
