//! Loads a configuration: files to a checked message, each layer in turn.

use crate::include::LoadedFiles;
use crate::source::{Files, SourceMap};
use crate::{ast, check, include, parser, resolve, schema};
use crate::{Finding, Findings};

/// What loading a configuration came to.
pub struct Outcome {
    /// The files that were read, to show findings in.
    pub sources: SourceMap,
    /// In order of file, place and code; none twice.
    pub findings: Vec<Finding>,
    /// The compiled message; none if a finding is an error.
    pub configuration: Option<schema::Configuration>,
}

impl Outcome {
    /// Whether the configuration is refused.
    pub fn has_errors(&self) -> bool {
        self.findings.iter().any(Finding::is_error)
    }
}

/// The blocks of all files as if each file stood where it is first included, which is the order of routes.
fn in_order_of_inclusion<'t>(
    parsed: &[parser::ParsedFile],
    blocks: Vec<Vec<ast::Block<'t>>>,
) -> Vec<ast::Block<'t>> {
    let mut blocks_of_files: Vec<_> = blocks
        .into_iter()
        .map(|of_file| of_file.into_iter().peekable())
        .collect();
    let mut all = Vec::new();
    // A stack of its own, as files may include each other in a chain of any length: the index of each file and of the
    // inclusion that comes next in it.
    let mut stack = Vec::new();
    stack.extend((!blocks_of_files.is_empty()).then_some((0, 0)));
    while let Some((file, next_inclusion)) = stack.last_mut() {
        let inclusion = parsed[*file].included.get(*next_inclusion);
        let is_before = |block: &ast::Block<'_>| {
            inclusion.is_none_or(|inclusion| block.kind.span.start < inclusion.offset)
        };
        if let Some(block) = blocks_of_files[*file].next_if(is_before) {
            all.push(block);
        } else if let Some(inclusion) = inclusion {
            *next_inclusion += 1;
            stack.push((inclusion.file.0 as usize, 0));
        } else {
            stack.pop();
        }
    }
    all
}

/// Loads a configuration from its first file on, with all that it includes, and checks it.
///
/// One run reports the findings of all files. Meaning is checked even where a file has errors, so that
/// they need not be repaired one at a time, but never on names or values that could not be read.
pub fn load(files: &dyn Files, first: &str) -> Outcome {
    let mut findings = Findings::default();
    let LoadedFiles { sources, parsed } = include::load_files(files, first, &mut findings);
    let blocks: Vec<_> = parsed
        .iter()
        .map(|file| ast::lower(&sources, file, &mut findings))
        .collect();
    let blocks = in_order_of_inclusion(&parsed, blocks);
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
