//! `route` blocks: which tickets a route matches, and the pools it leads to.

use super::{must, Bounds, Reader, Sort, LONGEST_PATTERN};
use crate::codes::Code;
use crate::finding::shorten;
use crate::schema::{self, Again, SplitBy};
use crate::source::Span;
use crate::units::{self, Dimension, ONE};
use crate::Finding;

pub(super) fn route(r: &mut Reader<'_, '_, '_, '_>) -> schema::Route {
    r.holds = &["match"];
    let block = r.block();
    let mut matches = block
        .blocks
        .iter()
        .filter(|inner| inner.kind.text == "match");
    let first = matches.next();
    for second in matches {
        let finding = Finding::new(
            Code::TwoMatches,
            second.kind.at,
            "this route has a match already",
        );
        let first = first.map_or(block.at(), |first| first.kind.at);
        r.tell(finding.also(first, "the first one"));
    }
    let before = r.maker.findings.made();
    let matched = first.map(|inner| {
        let mut reader = Reader {
            maker: r.maker,
            chain: vec![inner],
            asked: Vec::new(),
            holds: &[],
        };
        let made = matching(&mut reader);
        reader.end();
        made
    });
    if r.maker.findings.made() > before {
        let at = r.maker.names[Sort::Route as usize]
            .get(r.name().as_str())
            .copied();
        r.maker.unsure.extend(at);
    }
    let words = [("entity", SplitBy::Entity), ("chance", SplitBy::Chance)];
    let to = targets(r);
    let split = r
        .word("split-by", &words, Some(SplitBy::Entity))
        .unwrap_or(SplitBy::Entity);
    schema::Route {
        name: r.name(),
        r#match: matched.filter(|made| *made != schema::Match::default()),
        split_by: if to.len() > 1 {
            split
        } else {
            SplitBy::Unspecified
        }
        .into(),
        to,
        fall_back: r.references("fall-back", Sort::Pool),
        limits: r.reference("limits", Sort::Limits),
        attempts: r.reference("attempts", Sort::Attempts),
        budget: r.reference("budget", Sort::Budget),
        retry_after: r.reference("retry-after", Sort::RetryAfter),
    }
}

pub(super) fn matching(r: &mut Reader<'_, '_, '_, '_>) -> schema::Match {
    let mut entities = Vec::new();
    if let Some(entry) = r.entry("entity") {
        for value in &entry.values {
            let Some(name) = r.said("entity", value, "a text such as `\"NO-*\"`") else {
                continue;
            };
            let inner = name.text.strip_suffix('*').unwrap_or(&name.text);
            if inner.len() > LONGEST_PATTERN {
                let words = format!(
                    "a pattern is at most {LONGEST_PATTERN} bytes; this one has {}",
                    inner.len()
                );
                r.tell(Finding::new(Code::TooMuch, value.at, words));
            } else if inner.contains('*') || name.text.is_empty() {
                let words = format!("`{}` is no pattern", shorten(&name.text));
                let finding = Finding::new(Code::Pattern, value.at, words);
                r.tell(finding.help("a star stands at the end only, as in `\"NO-*\"`"));
            } else {
                entities.push((name.text.into_owned(), value.at));
            }
        }
        r.once_each("entity", &entities);
    }
    let words = [("yes", Again::FurtherTries), ("no", Again::FirstTries)];
    let before = r.maker.findings.made();
    let size = r.range(
        "size",
        Dimension::Size,
        true,
        &Bounds {
            default: None,
            zero: true,
            most: 1 << 50,
        },
    );
    let (least, most) = size.unwrap_or((None, None));
    if most == Some(0) && r.maker.findings.made() == before {
        let at = r.block().place("size");
        r.tell(Finding::new(
            Code::Zero,
            at,
            "`size` cannot end at zero: every ticket is larger",
        ));
    }
    schema::Match {
        types: r.references("type", Sort::Type),
        tenants: r.references("tenant", Sort::Tenant),
        entities: entities.into_iter().map(|(pattern, _)| pattern).collect(),
        again: r
            .word("again", &words, Some(Again::Unspecified))
            .unwrap_or(Again::Unspecified)
            .into(),
        size_least: least.unwrap_or(0),
        size_most: most.unwrap_or(0),
    }
}

/// `to: hall` or `to: hall 60 %, other 40 %`.
pub(super) fn targets(r: &mut Reader<'_, '_, '_, '_>) -> Vec<schema::Target> {
    let Some(entry) = r.entry("to") else {
        r.missing("to");
        return Vec::new();
    };
    let mut found: Vec<(schema::Target, Span)> = Vec::new();
    let alone = entry.values.len() == 1;
    for value in &entry.values {
        let Some((first, rest)) = value.atoms.split_first() else {
            continue;
        };
        let Some(name) = first.said() else {
            let words = format!(
                "`to` wants the name of a pool, not `{}`",
                shorten(value.text)
            );
            r.tell(Finding::new(Code::NotName, value.at, words));
            continue;
        };
        let known = r.maker.known(Sort::Pool, &name).is_some();
        let share = if let Some(begin) = rest.first() {
            let at = Span {
                end: value.at.end,
                ..begin.at
            };
            let text = r.maker.sources.slice(at);
            r.within(
                "to",
                units::expect_of("to", Dimension::Share, rest, text, at),
                at,
                &must(ONE),
            )
        } else if alone {
            ONE
        } else {
            let words = format!(
                "`{}` has no share; a split gives one to each pool",
                shorten(value.text)
            );
            r.tell(Finding::new(Code::NoUnit, value.at, words).help("write `to: a 60 %, b 40 %`"));
            0
        };
        if known {
            found.push((
                schema::Target {
                    pool: name.text.into_owned(),
                    share,
                },
                value.at,
            ));
        }
    }
    let names: Vec<_> = found
        .iter()
        .map(|(target, at)| (target.pool.clone(), *at))
        .collect();
    r.once_each("to", &names);
    found.into_iter().map(|(target, _)| target).collect()
}
