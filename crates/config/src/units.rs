//! Exact amounts. A number becomes a whole number of its dimension's smallest step, or a finding that says what was
//! expected and what stood there. No digit is lost and nothing is converted silently.
//!
//! | dimension | written | held as |
//! | --- | --- | --- |
//! | time | `250 ms`, `3.1 s`, `2 min` | nanoseconds |
//! | rate | `40 tickets/s`, `90 tickets/min` | millionths of a ticket in the time written |
//! | tickets | `12 tickets` | tickets |
//! | share | `30 %` | millionths |
//! | size | `64 KiB` | bytes |
//! | factor | `2`, `1.5` | millionths |

use crate::ast::{Atom, Value};
use crate::codes::Code;
use crate::finding::shorten;
use crate::source::Span;
use crate::syntax::SyntaxKind;
use crate::Finding;

/// What an amount is an amount of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dimension {
    /// A duration, in nanoseconds.
    Time,
    /// Tickets in a time, in millionths of a ticket.
    Rate,
    /// A number of tickets.
    Tickets,
    /// A part of a whole, in millionths.
    Share,
    /// A size, in bytes.
    Size,
    /// A plain number, in millionths.
    Factor,
}

impl Dimension {
    /// Its name with an article, for messages.
    pub fn description(self) -> &'static str {
        match self {
            Dimension::Time => "a time",
            Dimension::Rate => "a rate",
            Dimension::Tickets => "a number of tickets",
            Dimension::Share => "a share",
            Dimension::Size => "a size",
            Dimension::Factor => "a plain number",
        }
    }

    /// An amount of it as it is written, for messages.
    pub fn example(self) -> &'static str {
        match self {
            Dimension::Time => "250 ms",
            Dimension::Rate => "40 tickets/s",
            Dimension::Tickets => "12 tickets",
            Dimension::Share => "30 %",
            Dimension::Size => "64 KiB",
            Dimension::Factor => "2",
        }
    }

    fn smallest_step(self) -> &'static str {
        match self {
            Dimension::Time => "1 ns",
            Dimension::Tickets => "1 ticket",
            Dimension::Size => "1 B",
            Dimension::Share => "0.0001 %",
            Dimension::Rate => "0.000001 tickets in the time it names",
            Dimension::Factor => "0.000001",
        }
    }
}

/// A whole, or the factor 1, in millionths: the smallest step of shares, factors and tickets in a rate.
pub const ONE: u64 = 1_000_000;
/// A hundredth of a whole, in millionths.
pub const PERCENT: u64 = 10_000;
const SECOND_NS: u64 = 1_000_000_000;

/// A unit of a dimension.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unit {
    /// As it is written.
    pub name: &'static str,
    /// What it measures.
    pub dimension: Dimension,
    /// Its size in the dimension's smallest step.
    pub steps: u64,
}

const fn unit(name: &'static str, dimension: Dimension, steps: u64) -> Unit {
    Unit {
        name,
        dimension,
        steps,
    }
}

/// Units in the order in which messages offer them, those of one dimension from the smallest on.
const UNITS: [Unit; 14] = [
    unit("ns", Dimension::Time, 1),
    unit("us", Dimension::Time, 1_000),
    unit("ms", Dimension::Time, 1_000_000),
    unit("s", Dimension::Time, SECOND_NS),
    unit("min", Dimension::Time, 60 * SECOND_NS),
    unit("h", Dimension::Time, 3_600 * SECOND_NS),
    unit("tickets", Dimension::Tickets, 1),
    unit("ticket", Dimension::Tickets, 1),
    unit("%", Dimension::Share, PERCENT),
    unit("B", Dimension::Size, 1),
    unit("KiB", Dimension::Size, 1 << 10),
    unit("MiB", Dimension::Size, 1 << 20),
    unit("GiB", Dimension::Size, 1 << 30),
    unit("TiB", Dimension::Size, 1 << 40),
];

/// An amount with its dimension.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Amount {
    /// What it is an amount of.
    pub dimension: Dimension,
    /// How much, in the dimension's smallest step.
    pub steps: u64,
    /// The time of a rate, ns; 0 for other dimensions.
    pub per_ns: u64,
}

/// The unit of a name. Public for the tests of [`parse_decimal`].
pub fn find_unit(name: &str) -> Option<Unit> {
    UNITS.iter().find(|unit| unit.name == name).copied()
}

/// The unit that was probably meant by a name that is none.
fn nearest_unit(name: &str) -> Option<&'static str> {
    let common = match name {
        "sec" | "secs" | "second" | "seconds" => Some("s"),
        "msec" | "millis" | "milliseconds" => Some("ms"),
        "minute" | "minutes" | "m" => Some("min"),
        "hour" | "hours" => Some("h"),
        "kB" | "KB" | "kb" | "k" | "K" => Some("KiB"),
        "MB" | "M" => Some("MiB"),
        "GB" | "G" => Some("GiB"),
        "bytes" | "byte" => Some("B"),
        "percent" | "pct" => Some("%"),
        "requests" | "request" | "req" | "reqs" | "calls" => Some("tickets"),
        _ => None,
    };
    let mut names = UNITS.iter().map(|unit| unit.name);
    let mut same_letters = names
        .clone()
        .filter(|known| known.eq_ignore_ascii_case(name));
    let is_near = |known: &&str| strsim::damerau_levenshtein(known, name) == 1;
    common
        .or_else(|| same_letters.next())
        .or_else(|| names.find(is_near).filter(|_| name.len() > 2))
}

/// Figures of a number that are read: more are finer than any step or over 64 bits.
const MAX_FIGURES: usize = 27;
/// Figures behind the point of a number that is too long, from which on it is called too fine and not too large.
const MAX_FRACTION_FIGURES: usize = 18;

/// Digits with an optional point, times `scale`, as a whole number. Public for the tests of its bounds.
///
/// # Errors
/// [`Code::Digits`] if a digit would be lost, [`Code::Overflow`] if the number does not fit 64 bits.
pub fn parse_decimal(digits: &str, scale: u64) -> Result<u64, Code> {
    let plain: String = digits.chars().filter(|c| *c != '_').collect();
    let (whole, fraction) = plain.split_once('.').unwrap_or((&plain, ""));
    let fraction = fraction.trim_end_matches('0');
    let mantissa: u128 = match format!("{whole}{fraction}").trim_start_matches('0') {
        "" => 0,
        figures if figures.len() > MAX_FIGURES => {
            return Err(if fraction.len() > MAX_FRACTION_FIGURES {
                Code::Digits
            } else {
                Code::Overflow
            })
        }
        figures => figures.parse().map_err(|_| Code::Overflow)?,
    };
    let divisor = 10u128
        .checked_pow(fraction.len() as u32)
        .ok_or(Code::Digits)?;
    let scaled = mantissa
        .checked_mul(u128::from(scale))
        .ok_or(Code::Overflow)?;
    if scaled % divisor != 0 {
        return Err(Code::Digits);
    }
    u64::try_from(scaled / divisor).map_err(|_| Code::Overflow)
}

/// Reads the atoms of one amount: a number and its unit. `text` is what is written at `span`.
///
/// # Errors
/// A finding that quotes the amount; what it should have been the caller knows ([`expect`]).
pub fn parse_amount(atoms: &[Atom<'_>], text: &str, span: Span) -> Result<Amount, Finding> {
    let shown = shorten(text);
    if let Some(plus) = atoms.iter().find(|atom| atom.kind == SyntaxKind::Plus) {
        let message = format!("`{shown}` is a sum; one amount is wanted");
        let finding = Finding::new(Code::Sum, plus.span, message);
        return Err(match sum_of_times(atoms) {
            Some(sum) => finding.with_help(format!("write `{}`", time(sum))),
            None => finding,
        });
    }
    let is_number = |atom: &Atom<'_>| atom.kind == SyntaxKind::Number;
    match atoms {
        [minus, rest @ ..] if minus.kind == SyntaxKind::Minus => {
            let code = match rest.first() {
                Some(first) if is_number(first) => Code::Negative,
                _ => Code::NoNumber,
            };
            let message = format!("`{shown}` is less than nothing");
            Err(Finding::new(code, span, message))
        }
        [number, unit @ ..] if is_number(number) => {
            let unit = parse_unit(unit, &shown)?;
            let steps = parse_decimal(number.text, unit.steps)
                .map_err(|code| out_of_range(code, &shown, unit.dimension, span))?;
            Ok(Amount {
                dimension: unit.dimension,
                steps,
                per_ns: unit.per_ns,
            })
        }
        _ => {
            let message = format!("`{shown}` is no amount: a number comes first");
            Err(Finding::new(Code::NoNumber, span, message))
        }
    }
}

/// What stands behind the number of an amount.
struct ParsedUnit {
    dimension: Dimension,
    /// The unit's size in the dimension's smallest step.
    steps: u64,
    /// The time of a rate, ns; 0 for other dimensions.
    per_ns: u64,
}

fn parse_unit(atoms: &[Atom<'_>], shown: &str) -> Result<ParsedUnit, Finding> {
    let is_name = |atom: &Atom<'_>| matches!(atom.kind, SyntaxKind::Word | SyntaxKind::Percent);
    match atoms {
        [] => Ok(ParsedUnit {
            dimension: Dimension::Factor,
            steps: ONE,
            per_ns: 0,
        }),
        [name] if is_name(name) => {
            let unit = find_unit(name.text).ok_or_else(|| unknown_unit(name))?;
            Ok(ParsedUnit {
                dimension: unit.dimension,
                steps: unit.steps,
                per_ns: 0,
            })
        }
        [count, slash, time] if slash.kind == SyntaxKind::Slash => rate_unit(count, time),
        [first, ..] => {
            let message = format!("`{shown}` is not one amount: a number, then its unit");
            Err(Finding::new(Code::NotOne, first.span, message))
        }
    }
}

fn rate_unit(count: &Atom<'_>, time: &Atom<'_>) -> Result<ParsedUnit, Finding> {
    let count_unit = find_unit(count.text).ok_or_else(|| unknown_unit(count))?;
    let time_unit = find_unit(time.text).ok_or_else(|| unknown_unit(time))?;
    if count_unit.dimension != Dimension::Tickets || time_unit.dimension != Dimension::Time {
        let message = format!("`{}/{}` is no unit of a rate", count.text, time.text);
        let finding = Finding::new(Code::UnknownUnit, count.span, message);
        let help = "a rate is written `tickets/s`, `tickets/min` or `tickets/h`";
        return Err(finding.with_help(help));
    }
    Ok(ParsedUnit {
        dimension: Dimension::Rate,
        steps: ONE,
        per_ns: time_unit.steps,
    })
}

fn unknown_unit(atom: &Atom<'_>) -> Finding {
    let message = format!("`{}` is no unit", shorten(atom.text));
    let finding = Finding::new(Code::UnknownUnit, atom.span, message);
    match nearest_unit(atom.text) {
        Some(near) => finding.with_help(format!("perhaps `{near}`?")),
        None => {
            finding.with_help("units: ns us ms s min h, tickets, tickets/s, %, B KiB MiB GiB TiB")
        }
    }
}

/// A number that is too large, or finer than the smallest step.
fn out_of_range(code: Code, shown: &str, dimension: Dimension, span: Span) -> Finding {
    let message = if code == Code::Overflow {
        format!("`{shown}` is more than can be counted")
    } else {
        let step = dimension.smallest_step();
        format!("`{shown}` is finer than the smallest step, {step}")
    };
    Finding::new(code, span, message)
}

/// What a sum of times comes to, ns; none if it is a sum of something else.
fn sum_of_times(atoms: &[Atom<'_>]) -> Option<u64> {
    let mut sum_ns = 0u64;
    for part in atoms.split(|atom| atom.kind == SyntaxKind::Plus) {
        let span = part.first()?.span;
        let amount = parse_amount(part, "", span).ok()?;
        if amount.dimension != Dimension::Time {
            return None;
        }
        sum_ns = sum_ns.checked_add(amount.steps)?;
    }
    Some(sum_ns)
}

/// Nanoseconds in the largest unit that needs no fraction.
pub fn time(ns: u64) -> String {
    if ns == 0 {
        return "0 s".to_owned();
    }
    in_largest_unit(ns, Dimension::Time)
}

/// Millionths as a decimal number without needless digits.
pub fn factor(millionths: u64) -> String {
    let (whole, part) = (millionths / ONE, millionths % ONE);
    if part == 0 {
        return whole.to_string();
    }
    format!("{whole}.{part:06}")
        .trim_end_matches('0')
        .to_owned()
}

/// Millionths as percent.
pub fn share(millionths: u64) -> String {
    let (whole, part) = (millionths / PERCENT, millionths % PERCENT);
    if part == 0 {
        return format!("{whole} %");
    }
    format!("{} %", format!("{whole}.{part:04}").trim_end_matches('0'))
}

/// Millionths of a ticket in a time, ns, as a rate; `?` for a time that is no unit.
pub fn rate(micro_tickets: u64, per_ns: u64) -> String {
    let mut times = UNITS
        .iter()
        .filter(|unit| unit.dimension == Dimension::Time);
    let per = times.find(|unit| unit.steps == per_ns);
    let per = per.map_or("?", |unit| unit.name);
    format!("{} tickets/{per}", factor(micro_tickets))
}

/// Bytes in the largest unit that needs no fraction.
pub fn size(bytes: u64) -> String {
    if bytes == 0 {
        return "0 B".to_owned();
    }
    in_largest_unit(bytes, Dimension::Size)
}

/// Steps, but not 0, in the dimension's largest unit that needs no fraction.
fn in_largest_unit(steps: u64, dimension: Dimension) -> String {
    let units = UNITS.iter().rev();
    let mut of_dimension = units.filter(|unit| unit.dimension == dimension);
    // The smallest unit is one step, so there always is one.
    of_dimension
        .find(|unit| steps.is_multiple_of(unit.steps))
        .map_or_else(String::new, |unit| {
            format!("{} {}", steps / unit.steps, unit.name)
        })
}

/// Reads a value as an amount of the dimension that `key` wants.
///
/// # Errors
/// A finding that says what the key wants and what stands there.
pub fn expect(key: &str, wanted: Dimension, value: &Value<'_>) -> Result<Amount, Finding> {
    expect_in(key, wanted, &value.atoms, value.text, value.span)
}

/// As [`expect`], for a part of a value.
///
/// # Errors
/// A finding that says what the key wants and what stands there.
pub fn expect_in(
    key: &str,
    wanted: Dimension,
    atoms: &[Atom<'_>],
    text: &str,
    span: Span,
) -> Result<Amount, Finding> {
    let shown = shorten(text);
    let wants = format!(
        "`{key}` wants {} such as `{}`",
        wanted.description(),
        wanted.example()
    );
    if atoms.iter().any(|atom| atom.kind == SyntaxKind::To) {
        let message = format!("{wants}; `{shown}` is a range");
        return Err(Finding::new(Code::RangeHere, span, message));
    }
    let found = parse_amount(atoms, text, span).map_err(|mut finding| {
        if finding.code == Code::NoNumber {
            finding.message = format!("{wants}, not `{shown}`");
        }
        finding
    })?;
    if found.dimension == wanted {
        return Ok(found);
    }
    if found.dimension == Dimension::Factor {
        let message = format!("{wants}; `{shown}` has no unit");
        let units = format!("units here: {}", units_of(wanted));
        return Err(Finding::new(Code::NoUnit, span, message).with_help(units));
    }
    let message = format!("{wants}; `{shown}` is {}", found.dimension.description());
    Err(Finding::new(Code::WrongUnit, span, message))
}

/// The units of a dimension, for messages.
fn units_of(dimension: Dimension) -> String {
    if dimension == Dimension::Rate {
        return "tickets/s".to_owned();
    }
    let units = UNITS.iter().filter(|unit| unit.dimension == dimension);
    let names = units.map(|unit| unit.name);
    let offered: Vec<_> = names.filter(|name| *name != "ticket").collect();
    offered.join(", ")
}
