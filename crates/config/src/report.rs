//! Findings as a person reads them (the line shown, with marks) and as a program does (one JSON object a
//! line: `file`, `line`, `column`, `code`, `severity`, `message`, and where there are any `also`, `help`).

use crate::codes::Severity;
use crate::source::{FileId, Sources};
use crate::Finding;
use codespan_reporting::diagnostic::{Diagnostic, Label};
use codespan_reporting::files::{Error, Files};
use codespan_reporting::term::{self, termcolor::WriteColor, Config};
use std::fmt::Write as _;
use std::ops::Range;

/// Characters of a line that are shown; a longer one is told without its text.
const WIDEST: usize = 400;

impl<'a> Files<'a> for Sources {
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

/// Writes findings with the lines they are about and a mark under each place.
///
/// # Errors
/// Those of the stream.
pub fn show(
    out: &mut dyn WriteColor,
    sources: &Sources,
    findings: &[Finding],
) -> std::io::Result<()> {
    let config = Config {
        before_label_lines: 0,
        after_label_lines: 0,
        ..Config::default()
    };
    for finding in findings {
        let places = std::iter::once(&finding.at).chain(finding.also.iter().map(|(at, _)| at));
        let wide = sources.text(finding.at.file).is_empty()
            || places.clone().any(|at| {
                let line = sources.line_of(at.file, at.start as usize);
                sources
                    .line_bytes(at.file, line)
                    .is_some_and(|range| range.len() > WIDEST)
            });
        if wide {
            // There is no line to show, or it would fill the screen.
            writeln!(out, "{}", plain(sources, finding))?;
            continue;
        }
        let mut labels = vec![Label::primary(
            finding.at.file.0,
            finding.at.start as usize..finding.at.end as usize,
        )];
        labels.extend(finding.also.iter().map(|(at, words)| {
            Label::secondary(at.file.0, at.start as usize..at.end as usize).with_message(words)
        }));
        let diagnostic = match finding.code.severity() {
            Severity::Error => Diagnostic::error(),
            Severity::Warning => Diagnostic::warning(),
        };
        let mut diagnostic = diagnostic
            .with_code(finding.code.id())
            .with_message(&finding.message)
            .with_labels(labels);
        if let Some(help) = &finding.help {
            diagnostic = diagnostic.with_notes(vec![format!("help: {help}")]);
        }
        term::emit_to_write_style(out, &config, sources, &diagnostic)
            .map_err(|e| std::io::Error::other(e.to_string()))?;
    }
    Ok(())
}

/// One line: `file:line:column: code: message`.
pub fn plain(sources: &Sources, finding: &Finding) -> String {
    let (line, column) = sources.line_column(finding.at);
    let mut text = format!(
        "{}:{line}:{column}: {}: {}",
        sources.path(finding.at.file),
        finding.code.id(),
        finding.message
    );
    for (at, words) in &finding.also {
        let (line, column) = sources.line_column(*at);
        let _ = write!(
            text,
            " [{}:{line}:{column}: {words}]",
            sources.path(at.file)
        );
    }
    if let Some(help) = &finding.help {
        let _ = write!(text, " ({help})");
    }
    text
}
