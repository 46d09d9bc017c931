//! Reads amounts: an entry's value of a dimension, within its bounds.

use super::bounds::{AmountBounds, AmountRange};
use super::reader::BlockReader;
use super::{MAX_FACTOR, SECOND_NS};
use crate::ast::Atom;
use crate::codes::Code;
use crate::finding::shorten;
use crate::schema;
use crate::source::Span;
use crate::syntax::SyntaxKind;
use crate::units::{self, Amount, Dimension, ONE};
use crate::Finding;

/// The bound on a rate: millionths of a ticket in the time that it names.
const MAX_RATE: u64 = MAX_FACTOR * 1_000;

impl<'t> BlockReader<'_, '_, '_, 't> {
    /// The steps of an amount; reports one that could not be read or is out of its bounds.
    pub(super) fn check_bounds(
        &mut self,
        key: &str,
        amount: Result<Amount, Finding>,
        span: Span,
        bounds: &AmountBounds,
    ) -> u64 {
        let amount = match amount {
            Ok(amount) => amount,
            Err(finding) => {
                self.report(finding);
                return bounds.default.unwrap_or(0);
            }
        };
        if amount.steps == 0 && !bounds.allow_zero {
            let message = format!("`{key}` cannot be zero");
            self.report(Finding::new(Code::Zero, span, message));
        } else if amount.steps > bounds.max {
            let max = match amount.dimension {
                Dimension::Time => units::time(bounds.max),
                Dimension::Share => units::share(bounds.max),
                Dimension::Factor => units::factor(bounds.max),
                Dimension::Size => units::size(bounds.max),
                Dimension::Tickets => format!("{} tickets", bounds.max),
                Dimension::Rate => units::rate(bounds.max, amount.per_ns),
            };
            let shown = shorten(self.resolver.sources.slice(span));
            let message = format!("`{key}` is at most {max}; `{shown}` is more");
            self.report(Finding::new(Code::TooMuch, span, message));
        }
        amount.steps
    }

    /// The amount of an entry, in its dimension's smallest step; the default if it is left out.
    pub(super) fn amount(
        &mut self,
        key: &'static str,
        dimension: Dimension,
        bounds: AmountBounds,
    ) -> u64 {
        let Some(value) = self.single(key) else {
            if bounds.default.is_none() {
                self.report_if_missing(key);
            }
            return bounds.default.unwrap_or(0);
        };
        let amount = units::expect(key, dimension, value);
        self.check_bounds(key, amount, value.span, &bounds)
    }

    /// The amount in a part of a value.
    pub(super) fn amount_in(
        &mut self,
        key: &str,
        dimension: Dimension,
        atoms: &[Atom<'t>],
        span: Span,
        bounds: &AmountBounds,
    ) -> u64 {
        let text = self.resolver.sources.slice(span);
        let amount = units::expect_in(key, dimension, atoms, text, span);
        self.check_bounds(key, amount, span, bounds)
    }

    /// A time, ns.
    pub(super) fn time(&mut self, key: &'static str, bounds: AmountBounds) -> u64 {
        self.amount(key, Dimension::Time, bounds)
    }

    /// A share, in millionths.
    pub(super) fn share(&mut self, key: &'static str, bounds: AmountBounds) -> u64 {
        self.amount(key, Dimension::Share, bounds)
    }

    /// A number of tickets.
    pub(super) fn tickets(&mut self, key: &'static str, bounds: AmountBounds) -> u64 {
        self.amount(key, Dimension::Tickets, bounds)
    }

    /// A plain number, in millionths.
    pub(super) fn factor(&mut self, key: &'static str, bounds: AmountBounds) -> u64 {
        self.amount(key, Dimension::Factor, bounds)
    }

    /// A rate; none if the entry is left out.
    pub(super) fn rate(&mut self, key: &'static str) -> Option<schema::Rate> {
        let value = self.single(key)?;
        let amount = units::expect(key, Dimension::Rate, value);
        let per_ns = amount.as_ref().map_or(SECOND_NS, |amount| amount.per_ns);
        let bounds = AmountBounds {
            default: Some(0),
            allow_zero: false,
            max: MAX_RATE,
        };
        let micro_tickets = self.check_bounds(key, amount, value.span, &bounds);
        Some(schema::Rate {
            micro_tickets,
            per_ns,
        })
    }

    /// A plain number without a fraction.
    pub(super) fn integer(&mut self, key: &'static str, bounds: AmountBounds) -> u64 {
        let span = self.single(key).map(|value| value.span);
        let in_millionths = AmountBounds {
            default: bounds.default.map(|default| default * ONE),
            max: bounds.max * ONE,
            ..bounds
        };
        let millionths = self.factor(key, in_millionths);
        if let (Some(span), true) = (span, !millionths.is_multiple_of(ONE)) {
            let message = format!("`{key}` is a whole number");
            self.report(Finding::new(Code::Digits, span, message));
        }
        millionths / ONE
    }

    /// A range of times, ns, with both ends.
    pub(super) fn time_range(&mut self, key: &'static str, bounds: &AmountBounds) -> AmountRange {
        let found = self.range(key, Dimension::Time, false, bounds);
        found.unwrap_or_default()
    }

    /// A range of sizes, bytes, of which either end may be open.
    pub(super) fn size_range(&mut self, key: &'static str, bounds: &AmountBounds) -> AmountRange {
        let found = self.range(key, Dimension::Size, true, bounds);
        found.unwrap_or_default()
    }

    fn range(
        &mut self,
        key: &'static str,
        dimension: Dimension,
        may_be_open: bool,
        bounds: &AmountBounds,
    ) -> Option<AmountRange> {
        let value = self.single(key)?;
        let is_between = |atom: &Atom<'_>| atom.kind == SyntaxKind::To;
        let Some(between) = value.atoms.iter().position(is_between) else {
            let example = match dimension {
                Dimension::Size => "1 KiB .. 64 KiB",
                _ => "20 ms .. 200 ms",
            };
            let shown = shorten(value.text);
            let message = format!("`{key}` wants a range such as `{example}`, not `{shown}`");
            self.report(Finding::new(Code::NoRange, value.span, message));
            return None;
        };
        let findings_before = self.resolver.findings.count();
        let mut end = |atoms: &[Atom<'t>]| match (atoms.first(), atoms.last()) {
            (Some(first), Some(last)) => {
                let span = first.span.to(last.span);
                Some(self.amount_in(key, dimension, atoms, span, bounds))
            }
            _ if may_be_open => None,
            _ => {
                let message = format!("`{key}` wants both ends of its range");
                self.report(Finding::new(Code::NoRange, value.span, message));
                None
            }
        };
        let range = AmountRange {
            min: end(&value.atoms[..between]),
            max: end(&value.atoms[between + 1..]),
        };
        let both_good = self.resolver.findings.count() == findings_before;
        if let (Some(min), Some(max), true) = (range.min, range.max, both_good) {
            if min > max {
                let message = format!("`{}` begins above its end", shorten(value.text));
                self.report(Finding::new(Code::RangeOrder, value.span, message));
            }
        }
        Some(range)
    }
}
