//! Results to standard output, findings to standard error, and how the program ends.

use rainstand_config::codes::Severity;
use rainstand_config::source::{SourceMap, Span};
use rainstand_config::{report, Finding};
use serde::Serialize;
use std::io::{self, IsTerminal, Write};
use std::process::ExitCode;
use termcolor::{ColorChoice, StandardStream};

/// The stated exit codes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Code {
    Good,
    /// Errors in a configuration, differences, a file that is not in its form, a ticket without a way.
    Found,
    /// Wrong use, or a file that cannot be read.
    Use,
    /// A machine answered, but cannot say what its group has committed.
    Unknown,
}

impl From<Code> for ExitCode {
    fn from(code: Code) -> Self {
        ExitCode::from(code as u8)
    }
}

#[derive(Serialize)]
struct Place<'a> {
    file: &'a str,
    line: usize,
    column: usize,
    message: &'a str,
}

#[derive(Serialize)]
struct Line<'a> {
    #[serde(flatten)]
    place: Place<'a>,
    code: &'a str,
    severity: &'a str,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    also: Vec<Place<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    help: Option<&'a str>,
}

/// One object a line on standard output.
pub fn json(value: &impl Serialize) -> io::Result<()> {
    let mut line = serde_json::to_vec(value)?;
    line.push(b'\n');
    bytes(&line).map(|_| ())
}

pub fn bytes(bytes: &[u8]) -> io::Result<Code> {
    let mut out = io::stdout().lock();
    out.write_all(bytes)?;
    out.flush()?;
    Ok(Code::Good)
}

pub fn line(text: &str) -> io::Result<()> {
    bytes(format!("{text}\n").as_bytes()).map(|_| ())
}

/// Findings with the lines they are about, in colour if a person looks.
pub fn findings(sources: &SourceMap, found: &[Finding], as_json: bool) -> io::Result<()> {
    if !as_json {
        let colour = if io::stderr().is_terminal() {
            ColorChoice::Auto
        } else {
            ColorChoice::Never
        };
        return report::show(&mut StandardStream::stderr(colour), sources, found);
    }
    for finding in found {
        let place = |span: Span, message| {
            let (line, column) = sources.line_column(span);
            Place {
                file: sources.path(span.file),
                line,
                column,
                message,
            }
        };
        json(&Line {
            place: place(finding.span, &finding.message),
            code: finding.code.id(),
            severity: match finding.code.severity() {
                Severity::Error => "error",
                Severity::Warning => "warning",
            },
            also: finding
                .labels
                .iter()
                .map(|label| place(label.span, &label.message))
                .collect(),
            help: finding.help.as_deref(),
        })?;
    }
    Ok(())
}
