//! Writes results to standard output and findings to standard error, and defines the exit statuses.

use rainstand_config::codes::Severity;
use rainstand_config::source::SourceMap;
use rainstand_config::{report, Finding};
use serde::Serialize;
use std::io::{self, IsTerminal, Write};
use std::process::ExitCode;
use termcolor::{ColorChoice, StandardStream};

/// The documented exit codes, the most severe last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ExitStatus {
    /// The command succeeded.
    Success,
    /// Errors in a configuration, differences, a file that is not formatted, a request without a route.
    Found,
    /// Invalid arguments, or a file that cannot be read.
    Unusable,
    /// A server responded but does not know what its group has committed.
    Unknown,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        ExitCode::from(status as u8)
    }
}

/// A location in a configuration's sources, as JSON.
#[derive(Serialize)]
struct LocationJson<'a> {
    file: &'a str,
    line: usize,
    column: usize,
    message: &'a str,
}

/// A finding as JSON.
#[derive(Serialize)]
struct FindingJson<'a> {
    #[serde(flatten)]
    location: LocationJson<'a>,
    code: &'a str,
    severity: &'a str,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    also: Vec<LocationJson<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    help: Option<&'a str>,
}

/// Prints one JSON object as a line.
pub(crate) fn json(value: &impl Serialize) -> io::Result<()> {
    let mut line = serde_json::to_vec(value)?;
    line.push(b'\n');
    bytes(&line)
}

/// Prints bytes unchanged.
pub(crate) fn bytes(bytes: &[u8]) -> io::Result<()> {
    let mut out = io::stdout().lock();
    out.write_all(bytes)?;
    out.flush()
}

/// Prints a line.
pub(crate) fn line(text: &str) -> io::Result<()> {
    bytes(format!("{text}\n").as_bytes())
}

/// Prints findings with their source lines: in colour if standard error is a terminal, or as JSON on standard output.
pub(crate) fn findings(sources: &SourceMap, findings: &[Finding], as_json: bool) -> io::Result<()> {
    if as_json {
        return findings
            .iter()
            .try_for_each(|finding| json(&finding_json(sources, finding)));
    }
    let colour = if io::stderr().is_terminal() {
        ColorChoice::Auto
    } else {
        ColorChoice::Never
    };
    report::show(&mut StandardStream::stderr(colour), sources, findings)
}

fn finding_json<'a>(sources: &'a SourceMap, finding: &'a Finding) -> FindingJson<'a> {
    let location = |span, message| {
        let (line, column) = sources.line_column(span);
        LocationJson {
            file: sources.path(span.file),
            line,
            column,
            message,
        }
    };
    let severity = match finding.code.severity() {
        Severity::Error => "error",
        Severity::Warning => "warning",
    };
    FindingJson {
        location: location(finding.span, &finding.message),
        code: finding.code.id(),
        severity,
        also: finding
            .labels
            .iter()
            .map(|label| location(label.span, &label.message))
            .collect(),
        help: finding.help.as_deref(),
    }
}
