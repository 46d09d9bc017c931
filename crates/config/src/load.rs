//! Files to a checked message: each layer in turn.

use crate::source::{Files, Sources};
use crate::{ast, check, include, parse, resolve, schema};
use crate::{Finding, Findings};

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
