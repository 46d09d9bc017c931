//! Whether a history keeps the rules. It reads the history alone and knows nothing of the run that made it.
//!
//! | check | rule | what breaks it |
//! | --- | --- | --- |
//! | `asked-twice` | 1 | two requests of one caller under one name |
//! | `answer-missing` | 1 | a request was asked and nothing final was ever seen |
//! | `answer-late` | 1 | its final line stands past its due time, whatever it says |
//! | `answer-twice` | 1 | two final lines of one request |
//! | `answer-to-nothing` | 1 | a final line of a request that was not asked by then |
//! | `body-changed` | 1 | a key ran with a body that nobody had asked for by then |
//! | `result-of-no-run` | 1 | an answered keyed request whose result no run of this key and body had made by then |
//! | `result-of-another-type` | 1 | requests of one key and two types, both answered |
//! | `result-contradicted` | 2 | two answers of one key with different results |
//! | `ran-twice` | 2 | a second run of one key, wherever |
//! | `ran-unasked` | 2 | a run of a key that nobody had asked for by then |
//! | `dismissed-though-ran` | 2 | a run that can only have been of requests that were rejected |
//!
//! **Whose a run is.** A run tells its key, not its request. It is of one of the requests with its key and body that
//! were asked before it; among these of those asked at the node whose agent ran it (`agent-n2` for `n2`), where there
//! are any. If all that it can be of were rejected, one was rejected though it ran.
//!
//! **Linearizable per key.** A key is a register that is written once, by its run, and read by answers. Such a history
//! is linearizable if and only if there is at most one write, every answer returns it, and none returns it before it
//! was written: `ran-twice`, `result-contradicted` and `result-of-no-run`. So one pass decides what a search over
//! orders (exponential in the worst case) would; a test holds the two side by side.

mod invariants;
mod keys;

use crate::history::{Event, Observation, RequestEnd};
use foldhash::HashMap;
use serde::Serialize;
use std::fmt;

/// Lines that show one violation: the requests of a key may be many.
const MAX_LINES_SHOWN: usize = 12;

/// One check, and the rule that it guards.
#[derive(Clone, Copy)]
struct Check {
    rule: u8,
    name: &'static str,
}

/// A check of rule 1: every request has one end, in time and true.
const fn rule_1(name: &'static str) -> Check {
    Check { rule: 1, name }
}

/// A check of rule 2: a key runs once at most.
const fn rule_2(name: &'static str) -> Check {
    Check { rule: 2, name }
}

/// A rule that was broken, and the lines that show it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// Number of the rule.
    pub rule: u8,
    /// Name of the check that found it.
    pub check: &'static str,
    /// When it was seen to be broken, in nanoseconds on the history's clock.
    pub at: u64,
    /// The request that it is about.
    #[serde(rename = "ticket", skip_serializing_if = "Option::is_none")]
    pub request: Option<String>,
    /// The idempotency key that it is about.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// What was seen.
    #[serde(rename = "why")]
    pub reason: String,
    /// Numbers of lines, from 1.
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

/// How many requests, ends, runs and keys a history holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Tally {
    /// Requests.
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
    /// Requests that their callers left.
    #[serde(rename = "gone")]
    pub abandoned: usize,
    /// Runs that agents saw.
    #[serde(rename = "ran")]
    pub runs: usize,
    /// Different keys.
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

/// What a check of a history came to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// What the history holds.
    pub tally: Tally,
    /// All that broke, in the order of its time.
    pub violations: Vec<Violation>,
}

impl Verdict {
    /// What broke first.
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

/// A run, as its agent saw it.
struct Run<'h> {
    at: u64,
    line: usize,
    agent: &'h str,
    key: Option<&'h str>,
    body: Option<&'h str>,
    result: Option<&'h str>,
}

/// The request, the key, or both that a violation is about.
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

/// What has been read of a history, in the order of its times.
#[derive(Default)]
struct HistoryChecker<'h> {
    tally: Tally,
    requests: Vec<Request<'h>>,
    /// Index of a request by caller and name: two callers may count alike.
    by_name: HashMap<(&'h str, &'h str), usize>,
    runs: Vec<Run<'h>>,
    violations: Violations,
}

/// Checks a whole history; the order of its observations means nothing.
pub fn check(history: &[Observation]) -> Verdict {
    let mut checker = HistoryChecker::default();
    for observation in in_order(history) {
        checker.record(observation);
    }
    checker.finish()
}

/// Observations by time; those of one moment in the order in which they can have happened.
fn in_order(history: &[Observation]) -> Vec<&Observation> {
    let rank = |event: &Event| match event {
        Event::Requested { .. } => 0,
        Event::Ran { .. } => 1,
        Event::Ended { .. } => 2,
    };
    let mut sorted: Vec<&Observation> = history.iter().collect();
    sorted.sort_by_key(|seen| (seen.at, rank(&seen.event), seen.line));
    sorted
}

impl<'h> HistoryChecker<'h> {
    fn record(&mut self, seen: &'h Observation) {
        match &seen.event {
            Event::Requested {
                request,
                request_class,
                key,
                body,
                node,
                deadline,
            } => self.on_request(
                &seen.observer,
                Request {
                    at: seen.at,
                    line: seen.line,
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
                    at: seen.at,
                    line: seen.line,
                    agent: &seen.observer,
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
                &seen.observer,
                request,
                End {
                    at: seen.at,
                    line: seen.line,
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
        if let Some(before) = self.by_name.insert((caller, request.name), index) {
            self.violations.report(
                rule_1("asked-twice"),
                request.at,
                request.subject(),
                "asked twice under one name: a repeat is a further ticket",
                vec![self.requests[before].line, request.line],
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
                rule_1("answer-to-nothing"),
                end.at,
                subject,
                "a final line of a ticket that was not asked by then",
                vec![end.line],
            );
            return;
        };
        let request = &mut self.requests[index];
        if let Some(first) = request.end {
            self.violations.report(
                rule_1("answer-twice"),
                end.at,
                request.subject(),
                "a second final line",
                vec![request.line, first.line, end.line],
            );
            return;
        }
        request.end = Some(end);
        if end.at > request.deadline {
            let late = end.at - request.deadline;
            self.violations.report(
                rule_1("answer-late"),
                end.at,
                request.subject(),
                format!("its final line stands {late} ns past its due time"),
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
        for request in self.requests.iter().filter(|one| one.end.is_none()) {
            self.violations.report(
                rule_1("answer-missing"),
                request.deadline,
                request.subject(),
                "nothing final by its due time, nor ever",
                vec![request.line],
            );
        }
    }
}
