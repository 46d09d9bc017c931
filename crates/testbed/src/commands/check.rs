//! `check`: whether a history satisfies the invariants.

use clap::Args;
use rainstand_testbed::check::{check, Verdict, Violation};
use rainstand_testbed::history::{read_history, HistoryError};
use serde::Serialize;
use serde_json::{json, Value};
use std::fs::File;
use std::io::{self, BufReader, Write};
use std::path::{Path, PathBuf};

#[derive(Args)]
pub(crate) struct Options {
    /// The file, or `-` for standard input
    history: PathBuf,
    #[arg(long)]
    json: bool,
}

/// A checked history.
struct CheckedHistory<'t> {
    verdict: Verdict,
    lines: usize,
    text: Vec<&'t str>,
}

/// A line of the history, shown with a violation.
#[derive(Serialize)]
struct ShownLine<'t> {
    line: usize,
    text: &'t str,
}

pub(crate) fn run(options: &Options) -> io::Result<bool> {
    let path = &options.history;
    let text = read_text(path);
    let history = match &text {
        Ok(text) => read_history(text.as_bytes()),
        Err(error) => Err(HistoryError {
            line: 0,
            reason: error.to_string(),
        }),
    };
    let mut out = io::stdout().lock();
    let (history, lines) = match history {
        Ok(read) => read,
        Err(error) => {
            if options.json {
                let line =
                    json!({"verdict": "unreadable", "line": error.line, "why": error.reason});
                writeln!(out, "{line}")?;
            }
            return Err(io::Error::other(format!("{}: {error}", path.display())));
        }
    };
    let text = text.unwrap_or_default();
    let checked = CheckedHistory {
        verdict: check(&history),
        lines,
        text: text.lines().collect(),
    };
    if options.json {
        writeln!(out, "{}", checked.to_json())?;
    } else {
        checked.write(&mut out)?;
    }
    Ok(checked.verdict.violations.is_empty())
}

fn read_text(path: &Path) -> io::Result<String> {
    if path.to_str() == Some("-") {
        return io::read_to_string(io::stdin().lock());
    }
    io::read_to_string(BufReader::new(File::open(path)?))
}

impl<'t> CheckedHistory<'t> {
    /// Text of a line by its number, starting at 1.
    fn line(&self, number: usize) -> &'t str {
        self.text.get(number - 1).copied().unwrap_or("")
    }

    fn shown_lines(&self, violation: &Violation) -> Vec<ShownLine<'t>> {
        let numbers = violation.lines.iter();
        numbers
            .map(|&line| ShownLine {
                line,
                text: self.line(line),
            })
            .collect()
    }

    fn to_json(&self) -> Value {
        let Verdict { tally, violations } = &self.verdict;
        let lines = self.lines;
        let Some(first) = violations.first() else {
            return json!({"verdict": "clean", "lines": lines, "tally": tally});
        };
        json!({"verdict": "broken", "rule": first.rule, "check": first.check, "at": first.at,
            "ticket": first.request, "key": first.key, "why": first.reason, "shown": self.shown_lines(first),
            "broken": violations.len(), "lines": lines, "tally": tally})
    }

    fn write(&self, out: &mut impl Write) -> io::Result<()> {
        let Verdict { tally, violations } = &self.verdict;
        if let Some(first) = violations.first() {
            writeln!(out, "broken: {first}")?;
            for number in &first.lines {
                writeln!(out, "  {number}: {}", self.line(*number))?;
            }
            if violations.len() > 1 {
                writeln!(out, "{} more after it", violations.len() - 1)?;
            }
        }
        writeln!(
            out,
            "{}: {} lines, {} asked ({} keyed, {} keys), {} answered, {} dismissed, {} given up, {} gone, {} runs",
            if violations.is_empty() { "clean" } else { "broken" },
            self.lines, tally.requests, tally.keyed, tally.keys, tally.served, tally.rejected, tally.failed,
            tally.abandoned, tally.runs
        )
    }
}
