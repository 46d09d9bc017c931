//! Whether a history keeps the rules. It reads the history alone and knows nothing of the run that made it.
//!
//! | check | rule | what breaks it |
//! | --- | --- | --- |
//! | `asked-twice` | 1 | two tickets of one caller under one name |
//! | `answer-missing` | 1 | a ticket was asked and nothing final was ever seen |
//! | `answer-late` | 1 | its final line stands past its due time, whatever it says |
//! | `answer-twice` | 1 | two final lines of one ticket |
//! | `answer-to-nothing` | 1 | a final line of a ticket that was not asked by then |
//! | `body-changed` | 1 | a key ran with a body that nobody had asked for by then |
//! | `result-of-no-run` | 1 | an answered keyed ticket whose result no run of this key and body had made by then |
//! | `result-of-another-type` | 1 | tickets of one key and two types, both answered |
//! | `result-contradicted` | 2 | two answers of one key with different results |
//! | `ran-twice` | 2 | a second run of one key, wherever |
//! | `ran-unasked` | 2 | a run of a key that nobody had asked for by then |
//! | `dismissed-though-ran` | 2 | a run that can only have been of tickets that were dismissed |
//!
//! **Whose a run is.** A run tells its key, not its ticket. It is of one of the tickets with its key and body that
//! were asked before it; among these of those asked at the node whose agent ran it (`agent-n2` for `n2`), where there
//! are any. If all that it can be of were dismissed, one was dismissed though it ran.
//!
//! **Linearizable per key.** A key is a register that is written once, by its run, and read by answers. Such a history
//! is linearizable if and only if there is at most one write, every answer returns it, and none returns it before it
//! was written: `ran-twice`, `result-contradicted` and `result-of-no-run`. So one pass decides what a search over
//! orders (exponential in the worst case) would; a test holds the two side by side.

use crate::history::{End, Event, Seen};
use foldhash::{HashMap, HashMapExt};
use rainstand_invariants::{Answer, InvariantChecker, Kind, Step};
use serde::Serialize;
use std::fmt;
use std::time::Duration;

/// Lines that show one break: the tickets of a key may be many.
const SHOWN: usize = 12;

/// A rule that broke, and the lines that show it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Break {
    pub rule: u8,
    pub check: &'static str,
    /// When it was seen to be broken.
    pub at: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ticket: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    pub why: String,
    /// Numbers of lines, from 1.
    pub lines: Vec<usize>,
}

impl fmt::Display for Break {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "rule {} ({}) at {}", self.rule, self.check, self.at)?;
        self.key
            .iter()
            .try_for_each(|key| write!(out, ", key {key}"))?;
        self.ticket
            .iter()
            .try_for_each(|ticket| write!(out, ", ticket {ticket}"))?;
        write!(out, ": {}", self.why)
    }
}

/// What a history holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Tally {
    pub asked: usize,
    pub keyed: usize,
    pub answered: usize,
    pub dismissed: usize,
    pub given_up: usize,
    pub gone: usize,
    pub ran: usize,
    pub keys: usize,
}

/// The verdict: all that broke, the first first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    pub tally: Tally,
    pub broken: Vec<Break>,
}

impl Verdict {
    pub fn first(&self) -> Option<&Break> {
        self.broken.first()
    }
}

struct Asked<'a> {
    at: u64,
    line: usize,
    name: &'a str,
    traffic: Option<&'a str>,
    key: Option<&'a str>,
    body: Option<&'a str>,
    node: Option<&'a str>,
    due: u64,
    /// The first final line.
    end: Option<(u64, usize, End, Option<&'a str>)>,
}

struct Run<'a> {
    at: u64,
    line: usize,
    by: &'a str,
    body: Option<&'a str>,
    result: Option<&'a str>,
}

/// What two sides know of the same thing does not differ: what one leaves out is no contradiction.
fn alike(one: Option<&str>, other: Option<&str>) -> bool {
    one.is_none() || other.is_none() || one == other
}

#[derive(Default)]
struct Violations(Vec<Break>);

impl Violations {
    fn tell(
        &mut self,
        (rule, check): (u8, &'static str),
        at: u64,
        of: (Option<&str>, Option<&str>),
        why: String,
        mut lines: Vec<usize>,
    ) {
        lines.truncate(SHOWN);
        let (ticket, key) = (of.0.map(str::to_owned), of.1.map(str::to_owned));
        self.0.push(Break {
            rule,
            check,
            at,
            ticket,
            key,
            why,
            lines,
        });
    }
}

/// Reads a whole history.
pub fn check(history: &[Seen]) -> Verdict {
    let mut found = Violations::default();
    let mut tally = Tally::default();
    let mut tickets: Vec<Asked<'_>> = Vec::new();
    // A ticket's name is its caller's: two callers may count alike.
    let mut names: HashMap<(&str, &str), usize> = HashMap::new();
    let mut sorted: Vec<&Seen> = history.iter().collect();
    // What happened in one moment is taken in the order in which it can have happened.
    let rank = |seen: &Seen| match seen.event {
        Event::Ask { .. } => 0,
        Event::Ran { .. } => 1,
        Event::End { .. } => 2,
    };
    sorted.sort_by_key(|seen| (seen.at, rank(seen), seen.line));
    let mut runs: Vec<(Option<&str>, Run<'_>)> = Vec::new();
    for seen in sorted {
        match &seen.event {
            Event::Ask {
                ticket,
                traffic,
                key,
                body,
                node,
                due,
            } => {
                tally.asked += 1;
                tally.keyed += usize::from(key.is_some());
                let asked = Asked {
                    at: seen.at,
                    line: seen.line,
                    name: ticket,
                    traffic: traffic.as_deref(),
                    key: key.as_deref(),
                    body: body.as_deref(),
                    node: node.as_deref(),
                    due: *due,
                    end: None,
                };
                if let Some(before) = names.insert((&seen.by, ticket), tickets.len()) {
                    let lines = vec![tickets[before].line, seen.line];
                    let why = "asked twice under one name: a repeat is a further ticket".to_owned();
                    found.tell(
                        (1, "asked-twice"),
                        seen.at,
                        (Some(ticket), key.as_deref()),
                        why,
                        lines,
                    );
                }
                tickets.push(asked);
            }
            Event::Ran { key, body, result } => {
                tally.ran += 1;
                let (body, result) = (body.as_deref(), result.as_deref());
                runs.push((
                    key.as_deref(),
                    Run {
                        at: seen.at,
                        line: seen.line,
                        by: &seen.by,
                        body,
                        result,
                    },
                ));
            }
            Event::End {
                ticket,
                end,
                result,
            } => {
                match end {
                    End::Answer => tally.answered += 1,
                    End::Dismissed => tally.dismissed += 1,
                    End::GivenUp => tally.given_up += 1,
                    End::Gone => tally.gone += 1,
                }
                let Some(&at) = names.get(&(seen.by.as_str(), ticket.as_str())) else {
                    let why = "a final line of a ticket that was not asked by then".to_owned();
                    found.tell(
                        (1, "answer-to-nothing"),
                        seen.at,
                        (Some(ticket), None),
                        why,
                        vec![seen.line],
                    );
                    continue;
                };
                let asked = &mut tickets[at];
                let of = (Some(asked.name), asked.key);
                if let Some((_, line, ..)) = asked.end {
                    let why = "a second final line".to_owned();
                    found.tell(
                        (1, "answer-twice"),
                        seen.at,
                        of,
                        why,
                        vec![asked.line, line, seen.line],
                    );
                    continue;
                }
                asked.end = Some((seen.at, seen.line, *end, result.as_deref()));
                if seen.at > asked.due {
                    let why = format!(
                        "its final line stands {} ns past its due time",
                        seen.at - asked.due
                    );
                    found.tell(
                        (1, "answer-late"),
                        seen.at,
                        of,
                        why,
                        vec![asked.line, seen.line],
                    );
                }
            }
        }
    }
    for asked in tickets.iter().filter(|asked| asked.end.is_none()) {
        let why = "nothing final by its due time, nor ever".to_owned();
        found.tell(
            (1, "answer-missing"),
            asked.due,
            (Some(asked.name), asked.key),
            why,
            vec![asked.line],
        );
    }
    keys(&tickets, &runs, &mut tally, &mut found);
    by_the_rules(&tickets, &runs, &mut found);
    found
        .0
        .sort_by(|a, b| (a.at, &a.lines, a.check).cmp(&(b.at, &b.lines, b.check)));
    Verdict {
        tally,
        broken: found.0,
    }
}

/// What is seen of one key.
#[derive(Default)]
struct Key<'a, 'h> {
    tickets: Vec<&'a Asked<'h>>,
    runs: Vec<&'a Run<'h>>,
}

fn keys(
    tickets: &[Asked<'_>],
    runs: &[(Option<&str>, Run<'_>)],
    tally: &mut Tally,
    found: &mut Violations,
) {
    let mut keys: HashMap<&str, Key<'_, '_>> = HashMap::new();
    for asked in tickets {
        if let Some(key) = asked.key {
            keys.entry(key).or_default().tickets.push(asked);
        }
    }
    for (key, run) in runs {
        if let Some(key) = key {
            keys.entry(key).or_default().runs.push(run);
        }
    }
    tally.keys = keys.len();
    for (key, seen) in keys {
        for pair in seen.runs.windows(2) {
            let why = format!("it ran again, by {} after {}", pair[1].by, pair[0].by);
            found.tell(
                (2, "ran-twice"),
                pair[1].at,
                (None, Some(key)),
                why,
                vec![pair[0].line, pair[1].line],
            );
        }
        seen.runs
            .iter()
            .for_each(|run| whose(key, &seen, run, found));
        answers(key, &seen, found);
    }
}

/// Whose a run may be; see the module's head.
fn candidates<'a, 'h>(seen: &Key<'a, 'h>, run: &Run<'_>) -> Vec<&'a Asked<'h>> {
    let may = |asked: &&&Asked<'_>| asked.at <= run.at && alike(asked.body, run.body);
    let all: Vec<_> = seen.tickets.iter().filter(may).copied().collect();
    let node = run.by.strip_prefix("agent-");
    let there: Vec<_> = all
        .iter()
        .filter(|asked| node.is_some() && asked.node == node)
        .copied()
        .collect();
    if there.is_empty() {
        all
    } else {
        there
    }
}

fn whose(key: &str, seen: &Key<'_, '_>, run: &Run<'_>, found: &mut Violations) {
    let of = candidates(seen, run);
    if of.is_empty() {
        let before = seen.tickets.iter().filter(|asked| asked.at <= run.at);
        let mut lines: Vec<usize> = before.map(|asked| asked.line).collect();
        let (rule, why) = if lines.is_empty() {
            (
                (2, "ran-unasked"),
                "it ran, and nobody had asked for it by then",
            )
        } else {
            (
                (1, "body-changed"),
                "it ran with a body that nobody had asked for by then",
            )
        };
        lines.truncate(SHOWN - 1);
        lines.push(run.line);
        found.tell(rule, run.at, (None, Some(key)), why.to_owned(), lines);
        return;
    }
    let dismissed = |asked: &&Asked<'_>| matches!(asked.end, Some((_, _, End::Dismissed, _)));
    if of.iter().all(dismissed) {
        let last = of
            .iter()
            .filter_map(|asked| asked.end)
            .map(|end| (end.0, end.1))
            .max();
        let (at, _) = last.unwrap_or((run.at, run.line));
        let mut lines: Vec<usize> = vec![run.line];
        for asked in &of {
            lines.push(asked.line);
            lines.extend(asked.end.map(|end| end.1));
        }
        lines.truncate(SHOWN);
        lines.sort_unstable();
        let why = format!(
            "it ran by {}, and all tickets that the run can be of were dismissed",
            run.by
        );
        found.tell(
            (2, "dismissed-though-ran"),
            at.max(run.at),
            (of.first().map(|asked| asked.name), Some(key)),
            why,
            lines,
        );
    }
}

fn answers(key: &str, seen: &Key<'_, '_>, found: &mut Violations) {
    let mut first: Option<(&Asked<'_>, usize, &str)> = None;
    let mut answered: Vec<_> = seen
        .tickets
        .iter()
        .filter_map(|asked| match asked.end {
            Some((at, line, End::Answer, result)) => Some((at, line, result, *asked)),
            _ => None,
        })
        .collect();
    answered.sort_by_key(|one| (one.0, one.1));
    for (at, line, result, asked) in answered {
        let of = (Some(asked.name), Some(key));
        let result = result.unwrap_or("");
        let made = |run: &&&Run<'_>| {
            run.at <= at
                && alike(run.body, asked.body)
                && run.result.is_none_or(|made| made == result)
        };
        if !seen.runs.iter().any(|run| made(&run)) {
            let mut lines: Vec<usize> = vec![asked.line, line];
            lines.extend(seen.runs.iter().map(|run| run.line).take(SHOWN - 2));
            let why = format!(
                "answered with {result:?}, which no run of this key and body had made by then"
            );
            found.tell((1, "result-of-no-run"), at, of, why, lines);
        }
        match first {
            None => first = Some((asked, line, result)),
            Some((before, before_line, other)) => {
                if other != result {
                    let why = format!("answered with {result:?} after {other:?}");
                    let lines = vec![before.line, before_line, asked.line, line];
                    found.tell((2, "result-contradicted"), at, of, why, lines);
                }
                if !alike(before.traffic, asked.traffic) {
                    let why = "two types were answered under one key".to_owned();
                    let lines = vec![before.line, before_line, asked.line, line];
                    found.tell((1, "result-of-another-type"), at, of, why, lines);
                }
            }
        }
    }
}

/// The four rules as all other runs of the project are held to them, over the same history. What the checks above
/// found is told once; this finds what they overlooked.
fn by_the_rules(tickets: &[Asked<'_>], runs: &[(Option<&str>, Run<'_>)], found: &mut Violations) {
    if !found.0.is_empty() {
        return;
    }
    let ran: HashMap<&str, u64> = runs
        .iter()
        .filter_map(|(key, run)| Some(((*key)?, run.at)))
        .collect();
    let mut steps: Vec<(u64, u8, usize, Step)> = Vec::new();
    for (n, asked) in tickets.iter().enumerate() {
        let kind = if asked.key.is_some() {
            Kind::Ticketed
        } else {
            Kind::Rerunnable
        };
        let due = Duration::from_nanos(asked.due);
        steps.push((
            asked.at,
            0,
            n,
            Step::Asked {
                kind,
                due,
                front: 0,
            },
        ));
        let Some((at, _, end, _)) = asked.end else {
            continue;
        };
        // Agents tell the runs of keys alone; what has none is served by a run that is not seen here.
        if asked
            .key
            .is_none_or(|key| ran.get(key).is_some_and(|ran| *ran <= at))
        {
            steps.push((at, 1, n, Step::Shared));
        }
        let step = match end {
            End::Answer => Step::Answered(Answer::Honoured),
            End::Dismissed => Step::Answered(Answer::Dismissed),
            End::GivenUp => Step::Answered(Answer::GivenUp),
            End::Gone => Step::Left,
        };
        steps.push((at, 2, n, step));
    }
    steps.sort_by_key(|step| (step.0, step.1, step.2));
    let mut rules = InvariantChecker::default();
    for (at, _, n, step) in &steps {
        if rules
            .record(Duration::from_nanos(*at), *n as u64, *step)
            .is_err()
        {
            break;
        }
    }
    let end = steps.last().map_or(0, |step| step.0);
    if let Err(broken) = rules.finish(Duration::from_nanos(end)) {
        let asked = broken.request.and_then(|n| tickets.get(n as usize));
        let lines = asked.map_or(Vec::new(), |asked| {
            [Some(asked.line), asked.end.map(|end| end.1)]
                .into_iter()
                .flatten()
                .collect()
        });
        let of = (
            asked.map(|asked| asked.name),
            asked.and_then(|asked| asked.key),
        );
        let check = "rules";
        found.tell(
            (broken.rule, check),
            broken.at.as_nanos() as u64,
            of,
            broken.reason,
            lines,
        );
    }
}
