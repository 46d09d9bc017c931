//! What is wrong with a configuration, and where.

use crate::codes::{Code, Severity};
use crate::source::Span;

/// One thing that is wrong, where, and what else belongs to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    pub code: Code,
    pub at: Span,
    pub message: String,
    /// The other half of a conflict, each with its own words.
    pub also: Vec<(Span, String)>,
    /// What to do about it, where that can be said.
    pub help: Option<String>,
}

impl Finding {
    pub fn new(code: Code, at: Span, message: impl Into<String>) -> Self {
        Self {
            code,
            at,
            message: message.into(),
            also: Vec::new(),
            help: None,
        }
    }

    pub fn also(mut self, at: Span, words: impl Into<String>) -> Self {
        self.also.push((at, words.into()));
        self
    }

    pub fn help(mut self, words: impl Into<String>) -> Self {
        self.help = Some(words.into());
        self
    }

    pub fn is_error(&self) -> bool {
        self.code.severity() == Severity::Error
    }
}

/// Findings of one configuration that are kept: more than anybody reads. The rest is counted.
const MOST_FINDINGS: usize = 5_000;

/// Findings as they are made, in bounded memory.
#[derive(Debug, Default)]
pub struct Findings {
    kept: Vec<Finding>,
    more: usize,
    errors: bool,
    /// The last one, if it was not kept.
    spare: Option<Finding>,
}

impl Findings {
    /// Adds one; it can still be added to.
    pub fn push(&mut self, finding: Finding) -> &mut Finding {
        self.errors |= finding.is_error();
        if self.kept.len() >= MOST_FINDINGS {
            self.more += 1;
            return self.spare.insert(finding);
        }
        self.kept.push(finding);
        let last = self.kept.len() - 1;
        &mut self.kept[last]
    }

    /// How many were made.
    pub fn made(&self) -> usize {
        self.kept.len() + self.more
    }

    pub fn has_errors(&self) -> bool {
        self.errors
    }

    /// In order of file, place and code; none twice.
    pub fn into_vec(self) -> Vec<Finding> {
        let Self { mut kept, more, .. } = self;
        kept.sort_by(|a, b| {
            let key = |f: &Finding| (f.at.file, f.at.start, f.code);
            key(a).cmp(&key(b)).then_with(|| a.message.cmp(&b.message))
        });
        kept.dedup_by(|a, b| a.at == b.at && a.code == b.code && a.message == b.message);
        if let Some(last) = kept.last().filter(|_| more > 0) {
            let words = format!("{more} more findings are not told");
            kept.push(Finding::new(Code::TooMany, last.at, words));
        }
        kept
    }
}

/// At most 40 characters of what stood there, spaces not counted: enough to know it again, and the same text
/// however it is spaced.
pub(crate) fn shorten(text: &str) -> String {
    const MOST: usize = 40;
    match text
        .char_indices()
        .filter(|(_, c)| !c.is_whitespace())
        .nth(MOST)
    {
        Some((cut, _)) => format!("{}…", &text[..cut]),
        None => text.to_owned(),
    }
}
