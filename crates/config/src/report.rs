//! Findings as a person reads them: the source line with marks, or one line of text.

use crate::codes::Severity;
use crate::source::{FileId, SourceMap, Span};
use crate::Finding;
use codespan_reporting::diagnostic::{Diagnostic, Label};
use codespan_reporting::files::{Error, Files};
use codespan_reporting::term::{self, termcolor::WriteColor, Config};
use std::fmt::Write as _;
use std::ops::Range;

/// Bytes of a source line that is shown; a finding in a longer one is written as [`plain`] text.
const MAX_LINE_BYTES: usize = 400;

impl<'a> Files<'a> for SourceMap {
    type FileId = u32;
    type Name = &'a str;
    type Source = &'a str;

    fn name(&'a self, id: u32) -> Result<&'a str, Error> {
        Ok(self.path(FileId(id)))
    }

    fn source(&'a self, id: u32) -> Result<&'a str, Error> {
        Ok(self.text(FileId(id)))
    }

    fn line_index(&'a self, id: u32, byte: usize) -> Result<usize, Error> {
        Ok(self.line_of(FileId(id), byte))
    }

    fn line_range(&'a self, id: u32, line: usize) -> Result<Range<usize>, Error> {
        self.line_bytes(FileId(id), line)
            .ok_or(Error::LineTooLarge {
                given: line,
                max: 0,
            })
    }
}

/// Writes findings with the source lines they are about and a mark under each place.
///
/// # Errors
/// Those of the stream.
pub fn show(
    out: &mut dyn WriteColor,
    sources: &SourceMap,
    findings: &[Finding],
) -> std::io::Result<()> {
    let config = Config {
        before_label_lines: 0,
        after_label_lines: 0,
        ..Config::default()
    };
    for finding in findings {
        if has_lines_to_show(sources, finding) {
            term::emit_to_write_style(out, &config, sources, &diagnostic(finding))
                .map_err(|e| std::io::Error::other(e.to_string()))?;
        } else {
            writeln!(out, "{}", plain(sources, finding))?;
        }
    }
    Ok(())
}

/// Whether the file has text and none of the lines would fill the screen.
fn has_lines_to_show(sources: &SourceMap, finding: &Finding) -> bool {
    let labels = finding.labels.iter().map(|label| label.span);
    let is_wide = |span: Span| {
        let line = sources.line_of(span.file, span.start as usize);
        sources
            .line_bytes(span.file, line)
            .is_some_and(|range| range.len() > MAX_LINE_BYTES)
    };
    !sources.text(finding.span.file).is_empty()
        && !std::iter::once(finding.span).chain(labels).any(is_wide)
}

fn diagnostic(finding: &Finding) -> Diagnostic<u32> {
    let bytes = |span: Span| span.start as usize..span.end as usize;
    let mut labels = vec![Label::primary(finding.span.file.0, bytes(finding.span))];
    labels.extend(finding.labels.iter().map(|label| {
        Label::secondary(label.span.file.0, bytes(label.span)).with_message(&label.message)
    }));
    let notes = finding.help.iter().map(|help| format!("help: {help}"));
    let diagnostic = match finding.code.severity() {
        Severity::Error => Diagnostic::error(),
        Severity::Warning => Diagnostic::warning(),
    };
    diagnostic
        .with_code(finding.code.id())
        .with_message(&finding.message)
        .with_labels(labels)
        .with_notes(notes.collect())
}

/// One line: `file:line:column: code: message`, then the labels and the help.
pub fn plain(sources: &SourceMap, finding: &Finding) -> String {
    let position = |span: Span| {
        let (line, column) = sources.line_column(span);
        format!("{}:{line}:{column}", sources.path(span.file))
    };
    let mut text = format!(
        "{}: {}: {}",
        position(finding.span),
        finding.code.id(),
        finding.message
    );
    for label in &finding.labels {
        let _ = write!(text, " [{}: {}]", position(label.span), label.message);
    }
    if let Some(help) = &finding.help {
        let _ = write!(text, " ({help})");
    }
    text
}
