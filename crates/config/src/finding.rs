//! Findings (the diagnostics of this language): what is wrong with a configuration, and where.

use crate::codes::{Code, Severity};
use crate::source::Span;

/// A diagnostic: one thing that is wrong, where, and what else belongs to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// What is wrong, as a stable code.
    pub code: Code,
    /// Where.
    pub span: Span,
    /// What is wrong, in one line.
    pub message: String,
    /// Other places that belong to it, such as the other half of a conflict.
    pub labels: Vec<Label>,
    /// What to do about it, where that can be said.
    pub help: Option<String>,
}

/// A place that belongs to a finding, with what is there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Label {
    /// The place.
    pub span: Span,
    /// What is there, in a few words.
    pub message: String,
}

impl Finding {
    /// A finding without labels and help.
    pub fn new(code: Code, span: Span, message: impl Into<String>) -> Self {
        Self {
            code,
            span,
            message: message.into(),
            labels: Vec::new(),
            help: None,
        }
    }

    /// With another place that belongs to it.
    #[must_use]
    pub fn with_label(mut self, span: Span, message: impl Into<String>) -> Self {
        self.add_label(span, message);
        self
    }

    /// Adds another place that belongs to it.
    pub fn add_label(&mut self, span: Span, message: impl Into<String>) {
        let message = message.into();
        self.labels.push(Label { span, message });
    }

    /// With what to do about it.
    #[must_use]
    pub fn with_help(mut self, help: impl Into<String>) -> Self {
        self.help = Some(help.into());
        self
    }

    /// Whether the configuration is refused for it.
    pub fn is_error(&self) -> bool {
        self.code.severity() == Severity::Error
    }
}

/// Findings of one configuration that are retained; the others are counted.
const MAX_FINDINGS: usize = 5_000;

/// Collects findings in bounded memory.
#[derive(Debug, Default)]
pub struct Findings {
    retained: Vec<Finding>,
    /// How many were not retained.
    dropped: usize,
    has_errors: bool,
    /// The last finding that was not retained, for callers that add to it.
    last_dropped: Option<Finding>,
}

impl Findings {
    /// Adds a finding and returns it, so that labels and help can be added.
    pub fn push(&mut self, finding: Finding) -> &mut Finding {
        self.has_errors |= finding.is_error();
        if self.retained.len() >= MAX_FINDINGS {
            self.dropped += 1;
            return self.last_dropped.insert(finding);
        }
        self.retained.push(finding);
        let last = self.retained.len() - 1;
        &mut self.retained[last]
    }

    /// How many were added, retained or not.
    pub fn count(&self) -> usize {
        self.retained.len() + self.dropped
    }

    /// Whether any of those added is an error.
    pub fn has_errors(&self) -> bool {
        self.has_errors
    }

    /// All retained findings in order of file, place and code, none twice; a last one says how many were dropped.
    pub fn into_vec(self) -> Vec<Finding> {
        let Self {
            mut retained,
            dropped,
            ..
        } = self;
        retained.sort_by(|a, b| {
            let key = |f: &Finding| (f.span.file, f.span.start, f.code);
            key(a).cmp(&key(b)).then_with(|| a.message.cmp(&b.message))
        });
        retained.dedup_by(|a, b| a.span == b.span && a.code == b.code && a.message == b.message);
        if let Some(last) = retained.last().filter(|_| dropped > 0) {
            let message = format!("{dropped} more findings are not told");
            retained.push(Finding::new(Code::TooMany, last.span, message));
        }
        retained
    }
}

/// Characters, blanks not counted, of a source text that a message quotes.
const MAX_QUOTED_CHARACTERS: usize = 40;

/// The beginning of a source text for a message: at most [`MAX_QUOTED_CHARACTERS`], so that a text is cut at the same
/// place however it is spaced.
pub(crate) fn shorten(text: &str) -> String {
    match text
        .char_indices()
        .filter(|(_, c)| !c.is_whitespace())
        .nth(MAX_QUOTED_CHARACTERS)
    {
        Some((cut, _)) => format!("{}…", &text[..cut]),
        None => text.to_owned(),
    }
}
