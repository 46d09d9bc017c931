//! The `.rain` language: what an operator writes about traffic types, tenants, pools, routes and policies.
//!
//! A configuration passes these layers, each of which can be read alone:
//!
//! | layer | job |
//! | --- | --- |
//! | [`source`] | files and places in them |
//! | [`include`] | the includes between files |
//! | [`lex`] | bytes to tokens |
//! | [`tree`] | the lossless tree: every byte is in it |
//! | [`parse`] | tokens to the tree; goes on after an error |
//! | [`ast`] | the tree without what means nothing |
//! | [`units`] | exact amounts with their units |
//! | [`resolve`] | names, defaults, one policy built on another: the message of [`schema`] |
//! | [`check`] | what the four rules and plain sense ask of it |
//! | [`space`] | which tickets a route can match, decided exactly |
//! | [`form`] | the one way to write a file |
//! | [`diff`] | what changed in meaning |
//! | [`report`] | findings as a person or a program reads them; [`codes`] explains each |
//!
//! Nothing here decides about a ticket: that is `rainstand-routing`, from the compiled message.
//!
//! ```
//! use rainstand_config::{load, source::Memory};
//! let files = Memory::new([("a.rain", "rain 1\ntype check {\n  repeat: rerunnable\n  goal: 40 tickets/s\n}\n")]);
//! let outcome = load(&files, "a.rain");
//! let found = outcome.findings.iter().find(|finding| finding.code.id() == "U202").unwrap();
//! assert_eq!(outcome.sources.line_column(found.at), (4, 9));
//! assert_eq!(found.message, "`goal` wants a time such as `250 ms`; `40 tickets/s` is a rate");
//! ```

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "not yet brought to the workspace's lints, see docs/ROADMAP.md"
)]

pub mod ast;
pub mod check;
pub mod codes;
pub mod diff;
pub mod form;
pub mod include;
pub mod lex;
pub mod parse;
pub mod report;
pub mod resolve;
pub mod schema;
pub mod source;
pub mod space;
pub mod tree;
pub mod units;

use codes::{Code, Severity};
use source::{Files, Sources, Span};

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

/// What reading a configuration came to.
pub struct Outcome {
    pub sources: Sources,
    /// In order of file, place and code; none twice.
    pub findings: Vec<Finding>,
    /// There only if no finding is an error.
    pub configuration: Option<schema::Configuration>,
}

impl Outcome {
    pub fn has_errors(&self) -> bool {
        self.findings.iter().any(Finding::is_error)
    }
}

/// The blocks of all files as if each file stood where it is first included: routes are in this order.
fn in_place<'t>(parsed: &[parse::Parsed], blocks: Vec<Vec<ast::Block<'t>>>) -> Vec<ast::Block<'t>> {
    let mut left: Vec<_> = blocks
        .into_iter()
        .map(|of_file| of_file.into_iter().peekable())
        .collect();
    let mut all = Vec::new();
    // A stack of its own: files may include each other in a chain of any length.
    let mut stack = if left.is_empty() {
        vec![]
    } else {
        vec![(0, 0)]
    };
    while let Some((file, next)) = stack.last_mut() {
        let include = parsed[*file].included.get(*next);
        let before =
            |block: &ast::Block<'_>| include.is_none_or(|(at, _)| block.kind.at.start < *at);
        if let Some(block) = left[*file].next_if(before) {
            all.push(block);
        } else if let Some((_, included)) = include {
            *next += 1;
            stack.push((included.0 as usize, 0));
        } else {
            stack.pop();
        }
    }
    all
}

/// Reads a configuration from its first file on, with all that it includes, and checks it.
///
/// One run reports the findings of all files. Meaning is checked even where a file has errors, so that
/// they need not be mended one at a time, but never on names or values that could not be read.
pub fn load(files: &dyn Files, first: &str) -> Outcome {
    let mut findings = Findings::default();
    let (sources, parsed) = include::gather(files, first, &mut findings);
    let blocks: Vec<_> = parsed
        .iter()
        .map(|file| ast::read(&sources, file, &mut findings))
        .collect();
    let blocks = in_place(&parsed, blocks);
    let mut resolved = resolve::resolve(&sources, &blocks, &mut findings);
    check::check(&resolved, &mut findings);
    let configuration = (!findings.has_errors()).then(|| {
        resolved.configuration.put_in_order();
        resolved.configuration
    });
    Outcome {
        sources,
        findings: findings.into_vec(),
        configuration,
    }
}
