//! `route` blocks: which requests a route matches, and the pools it leads to.

use super::bounds::required;
use super::reader::{BlockReader, Keyword};
use super::{BlockKind, MAX_PATTERN_BYTES};
use crate::ast::Value;
use crate::codes::Code;
use crate::finding::shorten;
use crate::schema::{self, Again, SplitBy};
use crate::source::Span;
use crate::units::{Dimension, ONE};
use crate::Finding;

/// The largest size that a match may name.
const MAX_SIZE_BYTES: u64 = 1 << 50;

const SPLIT_BY: [Keyword<SplitBy>; 2] = [("entity", SplitBy::Entity), ("chance", SplitBy::Chance)];
const AGAIN: [Keyword<Again>; 2] = [("yes", Again::FurtherTries), ("no", Again::FirstTries)];

pub(super) fn route(r: &mut BlockReader<'_, '_, '_, '_>) -> schema::Route {
    r.allowed_blocks = &["match"];
    let matched = only_match(r);
    let to = targets(r);
    let split = r.keyword_or("split-by", &SPLIT_BY, SplitBy::Entity);
    let split_by = if to.len() > 1 {
        split
    } else {
        SplitBy::Unspecified
    };
    schema::Route {
        name: r.name(),
        r#match: matched.filter(|made| *made != schema::Match::default()),
        split_by: split_by.into(),
        to,
        fall_back: r.references("fall-back", BlockKind::Pool),
        limits: r.reference("limits", BlockKind::Limits),
        attempts: r.reference("attempts", BlockKind::Attempts),
        budget: r.reference("budget", BlockKind::Budget),
        retry_after: r.reference("retry-after", BlockKind::RetryAfter),
    }
}

/// The route's one match, if it has one. A route whose match has findings is noted as uncertain.
fn only_match(r: &mut BlockReader<'_, '_, '_, '_>) -> Option<schema::Match> {
    let block = r.block();
    let mut matches = block.blocks.iter().filter(|one| one.kind.text == "match");
    let first = matches.next()?;
    for second in matches {
        let message = "this route has a match already";
        let finding = Finding::new(Code::TwoMatches, second.kind.span, message);
        r.report(finding.with_label(first.kind.span, "the first one"));
    }
    let findings_before = r.resolver.findings.count();
    let made = r.inner(first, matching);
    if r.resolver.findings.count() > findings_before {
        let index = r.resolver.index.position(BlockKind::Route, &r.name());
        r.resolver.uncertain_routes.extend(index);
    }
    Some(made)
}

fn matching(r: &mut BlockReader<'_, '_, '_, '_>) -> schema::Match {
    let entities = entities(r);
    let findings_before = r.resolver.findings.count();
    let size = r.size_range("size", &required(MAX_SIZE_BYTES).or_zero());
    if size.max == Some(0) && r.resolver.findings.count() == findings_before {
        let message = "`size` cannot end at zero: every ticket is larger";
        let span = r.block().span_of("size");
        r.report(Finding::new(Code::Zero, span, message));
    }
    schema::Match {
        types: r.references("type", BlockKind::Type),
        tenants: r.references("tenant", BlockKind::Tenant),
        entities,
        again: r.keyword_or("again", &AGAIN, Again::Unspecified).into(),
        size_least: size.min.unwrap_or(0),
        size_most: size.max.unwrap_or(0),
    }
}

/// The patterns of entities that a match names; those that are none are reported and left out.
fn entities(r: &mut BlockReader<'_, '_, '_, '_>) -> Vec<String> {
    let Some(entry) = r.entry("entity") else {
        return Vec::new();
    };
    let mut patterns: Vec<(String, Span)> = Vec::new();
    for value in &entry.values {
        let Some(name) = r.value_as_name("entity", value, "a text such as `\"NO-*\"`") else {
            continue;
        };
        match check_pattern(&name.text, value.span) {
            Ok(()) => patterns.push((name.text.into_owned(), value.span)),
            Err(finding) => r.report(finding),
        }
    }
    let items = patterns.iter().map(|(text, span)| (text.as_str(), *span));
    r.reject_duplicates("entity", items);
    patterns.into_iter().map(|(text, _)| text).collect()
}

/// A pattern is a whole text, or a beginning with a star behind it.
fn check_pattern(pattern: &str, span: Span) -> Result<(), Finding> {
    let text = pattern.strip_suffix('*').unwrap_or(pattern);
    if text.len() > MAX_PATTERN_BYTES {
        let message = format!(
            "a pattern is at most {MAX_PATTERN_BYTES} bytes; this one has {}",
            text.len()
        );
        return Err(Finding::new(Code::TooMuch, span, message));
    }
    if text.contains('*') || pattern.is_empty() {
        let message = format!("`{}` is no pattern", shorten(pattern));
        let finding = Finding::new(Code::Pattern, span, message);
        return Err(finding.with_help("a star stands at the end only, as in `\"NO-*\"`"));
    }
    Ok(())
}

/// `to: hall` or `to: hall 60 %, other 40 %`; pools that are not known are left out.
fn targets(r: &mut BlockReader<'_, '_, '_, '_>) -> Vec<schema::Target> {
    let Some(entry) = r.entry("to") else {
        r.report_if_missing("to");
        return Vec::new();
    };
    let is_split = entry.values.len() != 1;
    let mut targets: Vec<(schema::Target, Span)> = Vec::new();
    for value in &entry.values {
        if let Some(target) = target(r, value, is_split) {
            targets.push((target, value.span));
        }
    }
    let pools = targets.iter().map(|(one, span)| (one.pool.as_str(), *span));
    r.reject_duplicates("to", pools);
    targets.into_iter().map(|(target, _)| target).collect()
}

fn target<'t>(
    r: &mut BlockReader<'_, '_, '_, 't>,
    value: &Value<'t>,
    is_split: bool,
) -> Option<schema::Target> {
    let (first, share) = value.atoms.split_first()?;
    let Some(name) = first.as_name() else {
        let shown = shorten(value.text);
        let message = format!("`to` wants the name of a pool, not `{shown}`");
        r.report(Finding::new(Code::NotName, value.span, message));
        return None;
    };
    let is_known = r.resolver.lookup(BlockKind::Pool, &name).is_some();
    let share = if let Some(begin) = share.first() {
        let span = begin.span.to(value.span);
        r.amount_in("to", Dimension::Share, share, span, &required(ONE))
    } else if is_split {
        let message = format!(
            "`{}` has no share; a split gives one to each pool",
            shorten(value.text)
        );
        let finding = Finding::new(Code::NoUnit, value.span, message);
        r.report(finding.with_help("write `to: a 60 %, b 40 %`"));
        0
    } else {
        ONE
    };
    is_known.then(|| schema::Target {
        pool: name.text.into_owned(),
        share,
    })
}
