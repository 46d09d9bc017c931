//! Reports the outcomes and times of a replay next to the recorded ones.

use super::client::{ReplayClient, ReplayedCall};
use super::{trace_text, Options};
use crate::error::CommandResult;
use crate::output::{self, ExitStatus};
use hdrhistogram::Histogram;
use rainstand_capture::schedule::Recorded;
use rainstand_capture::tickets::Outcome;
use serde_json::{json, Map, Value};
use std::io;
use std::time::Duration;

/// Upper bound of the histograms: ten minutes. Longer times count as this.
const MAX_TIME_US: u64 = 600_000_000;
/// Precision of the histograms, in decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Differences that the text report lists.
const MAX_PRINTED_DIFFERENCES: usize = 20;
/// The outcomes of calls, in the order of the report.
const OUTCOME_WORDS: [&str; 6] = [
    "honoured",
    "dismissed",
    "given_up",
    "exception",
    "gone",
    "none",
];

/// Prints the report of a replay.
pub(super) fn print(client: &ReplayClient, options: &Options) -> CommandResult {
    let calls = client.calls.borrow();
    let pairs: Vec<CallPair> = client
        .schedule
        .calls
        .iter()
        .zip(&*calls)
        .map(|(recorded, replayed)| CallPair { recorded, replayed })
        .collect();
    let report = Report::new(client, &pairs, options);
    if options.json {
        report.print_json(options)?;
    } else {
        report.print_text(options)?;
    }
    Ok(if options.compare && !report.differences.is_empty() {
        ExitStatus::Found
    } else {
        ExitStatus::Success
    })
}

/// A recorded call and its replay.
#[derive(Clone, Copy)]
struct CallPair<'a> {
    recorded: &'a Recorded,
    replayed: &'a ReplayedCall,
}

impl CallPair<'_> {
    /// Whether the outcome differs from the recorded one; false if no outcome was recorded.
    fn differs(self, kinds_only: bool) -> bool {
        let Some(before) = &self.recorded.outcome else {
            return false;
        };
        let after = known(self.replayed.outcome.as_ref());
        if before.word() != after.word() {
            return true;
        }
        if kinds_only {
            return false;
        }
        match (before, after) {
            (
                Outcome::Honoured {
                    body_hash: before, ..
                },
                Outcome::Honoured {
                    body_hash: after, ..
                },
            ) => before != after,
            (Outcome::Exception { code: before }, Outcome::Exception { code: after }) => {
                before != after
            }
            _ => false,
        }
    }

    fn recorded_word(self) -> &'static str {
        known(self.recorded.outcome.as_ref()).word()
    }

    fn replayed_word(self) -> &'static str {
        known(self.replayed.outcome.as_ref()).word()
    }

    fn json(self) -> Value {
        let call = &self.recorded.call;
        json!({
            "conn": call.connection, "seq": call.seq, "trace": call.field("trace"),
            "new_trace": trace_text(self.replayed.trace), "recorded": self.recorded_word(),
            "now": self.replayed_word(),
        })
    }
}

fn known(outcome: Option<&Outcome>) -> &Outcome {
    outcome.unwrap_or(&Outcome::None)
}

/// How many calls ended with one outcome.
struct OutcomeRow {
    word: &'static str,
    recorded: u64,
    replayed: u64,
}

/// The results of a replay.
struct Report<'a> {
    client: &'a ReplayClient,
    call_count: usize,
    resent_count: usize,
    differences: Vec<CallPair<'a>>,
    outcomes: Vec<OutcomeRow>,
    /// Time from when calls were due until they were sent.
    lateness: Histogram<u64>,
    /// Time from calls to their answers, as recorded.
    recorded_times: Histogram<u64>,
    /// Time from calls to their answers in the replay.
    replayed_times: Histogram<u64>,
}

impl<'a> Report<'a> {
    fn new(client: &'a ReplayClient, pairs: &[CallPair<'a>], options: &Options) -> Self {
        let differences = pairs
            .iter()
            .copied()
            .filter(|pair| pair.differs(options.kinds))
            .collect();
        let replayed = || pairs.iter().map(|pair| pair.replayed);
        let sent = replayed().filter(|call| call.sent_at.is_some());
        Self {
            client,
            call_count: pairs.len(),
            resent_count: replayed().filter(|call| call.resent).count(),
            differences,
            outcomes: count_outcomes(pairs),
            lateness: histogram(sent.map(|call| call.lateness)),
            recorded_times: histogram(pairs.iter().filter_map(|pair| pair.recorded.took)),
            replayed_times: histogram(replayed().filter_map(|call| call.took)),
        }
    }

    fn print_json(&self, options: &Options) -> io::Result<()> {
        if options.compare {
            for pair in &self.differences {
                output::json(&pair.json())?;
            }
        }
        let counters = &self.client.counters;
        let ends: Map<String, Value> = self
            .outcomes
            .iter()
            .map(|row| {
                let counts = json!({"recorded": row.recorded, "now": row.replayed});
                (row.word.to_owned(), counts)
            })
            .collect();
        output::json(&json!({"summary": {
            "calls": self.call_count, "connections": counters.opened.get(), "refused": counters.refused.get(),
            "broken": counters.broken.get(), "unreadable": counters.unreadable.get(),
            "resent": self.resent_count, "differ": self.differences.len(),
            "ends": ends, "late": times_json(&self.lateness),
            "took": {"recorded": times_json(&self.recorded_times), "now": times_json(&self.replayed_times)},
        }}))
    }

    fn print_text(&self, options: &Options) -> io::Result<()> {
        let counters = &self.client.counters;
        let mut lines = vec![format!(
            "calls {}  connections {}  refused {}  broken {}  differ {}",
            self.call_count,
            counters.opened.get(),
            counters.refused.get(),
            counters.broken.get(),
            self.differences.len()
        )];
        lines.push("end           recorded        now".to_owned());
        for row in &self.outcomes {
            if (row.recorded, row.replayed) != (0, 0) {
                lines.push(format!(
                    "{:<12} {:>9}  {:>9}",
                    row.word, row.recorded, row.replayed
                ));
            }
        }
        lines.push("time in us         p50        p90        p99        max".to_owned());
        lines.push(times_row("late", &self.lateness));
        lines.push(times_row("took before", &self.recorded_times));
        lines.push(times_row("took now", &self.replayed_times));
        if options.compare {
            lines.extend(self.difference_lines());
        }
        output::line(&lines.join("\n"))
    }

    fn difference_lines(&self) -> Vec<String> {
        let printed = self.differences.iter().take(MAX_PRINTED_DIFFERENCES);
        let mut lines: Vec<String> = printed
            .map(|pair| format!("differs {}", pair.json()))
            .collect();
        let more = self.differences.len() - lines.len();
        if more > 0 {
            lines.push(format!("and {more} more"));
        }
        lines
    }
}

fn count_outcomes(pairs: &[CallPair]) -> Vec<OutcomeRow> {
    let count = |counted: &dyn Fn(&CallPair) -> bool| {
        let counted = pairs.iter().filter(|pair| counted(pair));
        counted.count() as u64
    };
    OUTCOME_WORDS
        .into_iter()
        .map(|word| OutcomeRow {
            word,
            recorded: count(&|pair| pair.recorded_word() == word),
            replayed: count(&|pair| pair.replayed_word() == word),
        })
        .collect()
}

/// A histogram of times, in µs.
fn histogram(times: impl Iterator<Item = Duration>) -> Histogram<u64> {
    let mut histogram = Histogram::new_with_bounds(1, MAX_TIME_US, SIGNIFICANT_DIGITS)
        .expect("the constant bounds are valid");
    for time in times {
        histogram.saturating_record((time.as_micros() as u64).max(1));
    }
    histogram
}

fn times_json(times: &Histogram<u64>) -> Value {
    let at = |quantile| times.value_at_quantile(quantile);
    json!({"count": times.len(), "p50_us": at(0.5), "p90_us": at(0.9), "p99_us": at(0.99), "max_us": times.max()})
}

fn times_row(name: &str, times: &Histogram<u64>) -> String {
    let at = |quantile| times.value_at_quantile(quantile);
    format!(
        "{name:<12} {:>9}  {:>9}  {:>9}  {:>9}",
        at(0.5),
        at(0.9),
        at(0.99),
        times.max()
    )
}
