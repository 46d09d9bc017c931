//! Exact amounts. A number becomes a whole number of its dimension's smallest step, or an error that says
//! what was expected and what stood there. No digit is lost and nothing is converted in silence.
//!
//! | dimension | written | kept as |
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
use crate::tree::Kind;
use crate::Finding;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dimension {
    Time,
    Rate,
    Tickets,
    Share,
    Size,
    Factor,
}

impl Dimension {
    /// With its article, as errors name it.
    pub fn called(self) -> &'static str {
        match self {
            Dimension::Time => "a time",
            Dimension::Rate => "a rate",
            Dimension::Tickets => "a number of tickets",
            Dimension::Share => "a share",
            Dimension::Size => "a size",
            Dimension::Factor => "a plain number",
        }
    }

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
}

/// One millionth is the smallest step of shares, factors and tickets in a rate.
pub const ONE: u64 = 1_000_000;
/// A hundredth, in millionths.
pub const PERCENT: u64 = 10_000;
const SECOND: u64 = 1_000_000_000;

/// Units in the order in which they are offered; each with its size in the dimension's smallest step.
const UNITS: [(&str, Dimension, u64); 14] = [
    ("ns", Dimension::Time, 1),
    ("us", Dimension::Time, 1_000),
    ("ms", Dimension::Time, 1_000_000),
    ("s", Dimension::Time, SECOND),
    ("min", Dimension::Time, 60 * SECOND),
    ("h", Dimension::Time, 3_600 * SECOND),
    ("tickets", Dimension::Tickets, 1),
    ("ticket", Dimension::Tickets, 1),
    ("%", Dimension::Share, PERCENT),
    ("B", Dimension::Size, 1),
    ("KiB", Dimension::Size, 1 << 10),
    ("MiB", Dimension::Size, 1 << 20),
    ("GiB", Dimension::Size, 1 << 30),
    ("TiB", Dimension::Size, 1 << 40),
];

/// A value with its dimension; `per` is the time of a rate in nanoseconds, else 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Amount {
    pub dimension: Dimension,
    pub steps: u64,
    pub per: u64,
}

/// A unit's dimension and its size in that dimension's smallest step. Public for the tests of [`exact`].
pub fn unit(name: &str) -> Option<(Dimension, u64)> {
    UNITS
        .iter()
        .find(|known| known.0 == name)
        .map(|known| (known.1, known.2))
}

/// The unit that was probably meant.
fn nearest_unit(name: &str) -> Option<&'static str> {
    let exact = UNITS
        .iter()
        .find(|known| known.0.eq_ignore_ascii_case(name));
    let by_habit = match name {
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
    by_habit.or(exact.map(|known| known.0)).or_else(|| {
        let mut names = UNITS.iter().map(|known| known.0);
        names.find(|known| strsim::damerau_levenshtein(known, name) == 1 && name.len() > 2)
    })
}

/// Digits with an optional point, times `scale`, as a whole number. Public for the tests of its edges.
pub fn exact(digits: &str, scale: u64) -> Result<u64, Code> {
    let plain: String = digits.chars().filter(|c| *c != '_').collect();
    let (whole, part) = plain.split_once('.').unwrap_or((&plain, ""));
    let part = part.trim_end_matches('0');
    let mantissa: u128 = match format!("{whole}{part}").trim_start_matches('0') {
        "" => 0,
        // 38 digits always fit 128 bits; with the scale they are over 64 bits or finer than any step.
        figures if figures.len() > 27 => {
            return Err(if part.len() > 18 {
                Code::Digits
            } else {
                Code::Overflow
            })
        }
        figures => figures.parse().map_err(|_| Code::Overflow)?,
    };
    let ten = 10u128.checked_pow(part.len() as u32).ok_or(Code::Digits)?;
    let scaled = mantissa
        .checked_mul(u128::from(scale))
        .ok_or(Code::Overflow)?;
    if scaled % ten != 0 {
        return Err(Code::Digits);
    }
    u64::try_from(scaled / ten).map_err(|_| Code::Overflow)
}

/// Reads the atoms of one amount: a number and its unit.
///
/// # Errors
/// A finding that names the amount; what it should have been the caller knows ([`expect`]).
pub fn amount(atoms: &[Atom<'_>], written: &str, at: Span) -> Result<Amount, Finding> {
    let shown = shorten(written);
    if let Some(plus) = atoms.iter().find(|atom| matches!(atom.kind, Kind::Plus)) {
        let finding = Finding::new(
            Code::Sum,
            plus.at,
            format!("`{shown}` is a sum; one amount is wanted"),
        );
        return Err(match sum(atoms) {
            Some(all) => finding.help(format!("write `{all}`")),
            None => finding,
        });
    }
    let mut rest = atoms;
    if let [Atom {
        kind: Kind::Minus, ..
    }, after @ ..] = rest
    {
        let code = match after.first() {
            Some(first) if first.kind == Kind::Number => Code::Negative,
            _ => Code::NoNumber,
        };
        return Err(Finding::new(
            code,
            at,
            format!("`{shown}` is less than nothing"),
        ));
    }
    let Some((number, after)) = rest
        .split_first()
        .filter(|(first, _)| first.kind == Kind::Number)
    else {
        return Err(Finding::new(
            Code::NoNumber,
            at,
            format!("`{shown}` is no amount: a number comes first"),
        ));
    };
    rest = after;
    let (dimension, scale, per) = match rest {
        [] => (Dimension::Factor, ONE, 0),
        [one] if matches!(one.kind, Kind::Word | Kind::Percent) => {
            let (dimension, scale) = unit(one.text).ok_or_else(|| unknown_unit(one))?;
            (dimension, scale, 0)
        }
        [of, Atom {
            kind: Kind::Slash, ..
        }, time] => {
            let (what, _) = unit(of.text).ok_or_else(|| unknown_unit(of))?;
            let (over, per) = unit(time.text).ok_or_else(|| unknown_unit(time))?;
            if what != Dimension::Tickets || over != Dimension::Time {
                let words = format!("`{}/{}` is no unit of a rate", of.text, time.text);
                let help = "a rate is written `tickets/s`, `tickets/min` or `tickets/h`";
                return Err(Finding::new(Code::UnknownUnit, of.at, words).help(help));
            }
            (Dimension::Rate, ONE, per)
        }
        [first, ..] => {
            let words = format!("`{shown}` is not one amount: a number, then its unit");
            return Err(Finding::new(Code::NotOne, first.at, words));
        }
    };
    match exact(number.text, scale) {
        Ok(steps) => Ok(Amount {
            dimension,
            steps,
            per,
        }),
        Err(Code::Overflow) => Err(Finding::new(
            Code::Overflow,
            at,
            format!("`{shown}` is more than can be counted"),
        )),
        Err(code) => {
            let step = match dimension {
                Dimension::Time => "1 ns",
                Dimension::Tickets => "1 ticket",
                Dimension::Size => "1 B",
                Dimension::Share => "0.0001 %",
                Dimension::Rate => "0.000001 tickets in the time it names",
                Dimension::Factor => "0.000001",
            };
            Err(Finding::new(
                code,
                at,
                format!("`{shown}` is finer than the smallest step, {step}"),
            ))
        }
    }
}

fn unknown_unit(atom: &Atom<'_>) -> Finding {
    let finding = Finding::new(
        Code::UnknownUnit,
        atom.at,
        format!("`{}` is no unit", shorten(atom.text)),
    );
    match nearest_unit(atom.text) {
        Some(near) => finding.help(format!("perhaps `{near}`?")),
        None => finding.help("units: ns us ms s min h, tickets, tickets/s, %, B KiB MiB GiB TiB"),
    }
}

/// What a sum of times comes to, in the largest unit that shows it whole.
fn sum(atoms: &[Atom<'_>]) -> Option<String> {
    let mut all = 0u64;
    for part in atoms.split(|atom| atom.kind == Kind::Plus) {
        let at = part.first()?.at;
        let amount = amount(part, "", at)
            .ok()
            .filter(|a| a.dimension == Dimension::Time)?;
        all = all.checked_add(amount.steps)?;
    }
    Some(time(all))
}

/// Nanoseconds as this language writes them, in the largest unit that needs no fraction.
pub fn time(ns: u64) -> String {
    let units = UNITS
        .iter()
        .rev()
        .filter(|known| known.1 == Dimension::Time);
    let whole = units
        .clone()
        .find(|known| ns.is_multiple_of(known.2) && (ns > 0 || known.0 == "s"));
    whole.map_or_else(
        || format!("{ns} ns"),
        |known| format!("{} {}", ns / known.2, known.0),
    )
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

pub fn rate(micro_tickets: u64, per: u64) -> String {
    let over = UNITS
        .iter()
        .find(|known| known.1 == Dimension::Time && known.2 == per);
    format!(
        "{} tickets/{}",
        factor(micro_tickets),
        over.map_or("?", |known| known.0)
    )
}

/// Bytes in the largest unit that needs no fraction.
pub fn size(bytes: u64) -> String {
    let units = UNITS
        .iter()
        .rev()
        .filter(|known| known.1 == Dimension::Size);
    let whole = units
        .clone()
        .find(|known| bytes.is_multiple_of(known.2) && (bytes > 0 || known.0 == "B"));
    whole.map_or_else(
        || format!("{bytes} B"),
        |known| format!("{} {}", bytes / known.2, known.0),
    )
}

/// An amount of the dimension that `key` wants.
pub fn expect(key: &str, wanted: Dimension, value: &Value<'_>) -> Result<Amount, Finding> {
    expect_of(key, wanted, &value.atoms, value.text, value.at)
}

/// As [`expect`], for a part of a value.
pub fn expect_of(
    key: &str,
    wanted: Dimension,
    atoms: &[Atom<'_>],
    text: &str,
    at: Span,
) -> Result<Amount, Finding> {
    let want = format!(
        "`{key}` wants {} such as `{}`",
        wanted.called(),
        wanted.example()
    );
    if atoms.iter().any(|atom| atom.kind == Kind::To) {
        let words = format!("{want}; `{}` is a range", shorten(text));
        return Err(Finding::new(Code::RangeHere, at, words));
    }
    let found = amount(atoms, text, at).map_err(|mut finding| {
        if finding.code == Code::NoNumber {
            finding.message = format!("{want}, not `{}`", shorten(text));
        }
        finding
    })?;
    if found.dimension == wanted {
        return Ok(found);
    }
    let shown = shorten(text);
    if found.dimension == Dimension::Factor {
        let words = format!("{want}; `{shown}` has no unit");
        let offered = UNITS
            .iter()
            .filter(|known| known.1 == wanted)
            .map(|known| known.0);
        let finding = Finding::new(Code::NoUnit, at, words);
        let offered: Vec<_> = offered.filter(|name| *name != "ticket").collect();
        let offered = if wanted == Dimension::Rate {
            "tickets/s".to_owned()
        } else {
            offered.join(", ")
        };
        return Err(finding.help(format!("units here: {offered}")));
    }
    let words = format!("{want}; `{shown}` is {}", found.dimension.called());
    Err(Finding::new(Code::WrongUnit, at, words))
}
