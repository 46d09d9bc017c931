//! Reads the entries of one block, each with what it may be.

use super::{nearest, Blocks, Maker, Sort, MOST_FACTOR, SECOND};
use crate::ast::{Atom, Block, Entry, Name, Value};
use crate::codes::Code;
use crate::finding::shorten;
use crate::schema;
use crate::source::Span;
use crate::tree::Kind as Leaf;
use crate::units::{self, Dimension, ONE};
use crate::Finding;
use foldhash::{HashSet, HashSetExt};

/// What an amount may be.
pub(super) struct Bounds {
    pub(super) default: Option<u64>,
    pub(super) zero: bool,
    pub(super) most: u64,
}

/// An amount that must be given.
pub(super) const fn must(most: u64) -> Bounds {
    Bounds {
        default: None,
        zero: false,
        most,
    }
}

/// An amount that may be left out.
pub(super) const fn or(default: u64, most: u64) -> Bounds {
    Bounds {
        default: Some(default),
        zero: false,
        most,
    }
}

/// Reads one block's entries; what nobody asked for is unknown.
pub(super) struct Reader<'m, 'w, 'r, 't> {
    pub(super) maker: &'m mut Maker<'w, 'r, 't>,
    pub(super) chain: Blocks<'r, 't>,
    pub(super) asked: Vec<&'static str>,
    /// Kinds of blocks that may stand in this one.
    pub(super) holds: &'static [&'static str],
}

impl<'r, 't> Reader<'_, '_, 'r, 't> {
    pub(super) fn block(&self) -> &'r Block<'t> {
        self.chain[0]
    }

    pub(super) fn name(&self) -> String {
        self.block()
            .name
            .as_ref()
            .map_or(String::new(), |name| name.text.clone().into_owned())
    }

    pub(super) fn tell(&mut self, finding: Finding) {
        self.maker.findings.push(finding);
    }

    /// The entry of a key, the block's own before what it is built on.
    pub(super) fn entry(&mut self, key: &'static str) -> Option<&'r Entry<'t>> {
        self.asked.push(key);
        self.chain
            .iter()
            .find_map(|block| block.entries.iter().find(|entry| entry.key.text == key))
    }

    /// The one value of a key.
    pub(super) fn single(&mut self, key: &'static str) -> Option<&'r Value<'t>> {
        let entry = self.entry(key)?;
        if let Some(second) = entry.values.get(1) {
            let words = format!("`{key}` takes one value; here stand {}", entry.values.len());
            self.tell(Finding::new(Code::ListHere, second.at, words));
        }
        entry.values.first()
    }

    pub(super) fn missing(&mut self, key: &'static str) {
        let block = self.block();
        let words = format!(
            "the {} `{}` has no `{key}`",
            block.kind.text,
            shorten(&self.name())
        );
        self.tell(Finding::new(Code::KeyMissing, block.at(), words));
    }

    pub(super) fn within(
        &mut self,
        key: &str,
        found: Result<units::Amount, Finding>,
        at: Span,
        bounds: &Bounds,
    ) -> u64 {
        let amount = match found {
            Ok(amount) => amount,
            Err(finding) => {
                self.tell(finding);
                return bounds.default.unwrap_or(0);
            }
        };
        if amount.steps == 0 && !bounds.zero {
            self.tell(Finding::new(
                Code::Zero,
                at,
                format!("`{key}` cannot be zero"),
            ));
        } else if amount.steps > bounds.most {
            let most = match amount.dimension {
                Dimension::Time => units::time(bounds.most),
                Dimension::Share => units::share(bounds.most),
                Dimension::Factor => units::factor(bounds.most),
                Dimension::Size => units::size(bounds.most),
                Dimension::Tickets => format!("{} tickets", bounds.most),
                Dimension::Rate => units::rate(bounds.most, amount.per),
            };
            let shown = shorten(self.maker.sources.slice(at));
            let words = format!("`{key}` is at most {most}; `{shown}` is more");
            self.tell(Finding::new(Code::TooMuch, at, words));
        }
        amount.steps
    }

    pub(super) fn amount(&mut self, key: &'static str, wanted: Dimension, bounds: Bounds) -> u64 {
        match self.single(key) {
            Some(value) => self.within(key, units::expect(key, wanted, value), value.at, &bounds),
            None => {
                // An entry without a value was told when it was parsed.
                if bounds.default.is_none() && self.entry(key).is_none() {
                    self.missing(key);
                }
                bounds.default.unwrap_or(0)
            }
        }
    }

    pub(super) fn time(&mut self, key: &'static str, bounds: Bounds) -> u64 {
        self.amount(key, Dimension::Time, bounds)
    }

    pub(super) fn share(&mut self, key: &'static str, bounds: Bounds) -> u64 {
        self.amount(key, Dimension::Share, bounds)
    }

    pub(super) fn rate(&mut self, key: &'static str) -> Option<schema::Rate> {
        let value = self.single(key)?;
        let found = units::expect(key, Dimension::Rate, value);
        let per_ns = found.as_ref().map_or(SECOND, |amount| amount.per);
        let micro_tickets = self.within(key, found, value.at, &or(0, MOST_FACTOR * 1_000));
        Some(schema::Rate {
            micro_tickets,
            per_ns,
        })
    }

    /// A plain whole number.
    pub(super) fn whole(&mut self, key: &'static str, bounds: Bounds) -> u64 {
        let place = self.single(key).map(|value| value.at);
        let wide = Bounds {
            default: bounds.default.map(|d| d * ONE),
            zero: bounds.zero,
            most: bounds.most * ONE,
        };
        let found = self.amount(key, Dimension::Factor, wide);
        if let (Some(at), true) = (place, !found.is_multiple_of(ONE)) {
            self.tell(Finding::new(
                Code::Digits,
                at,
                format!("`{key}` is a whole number"),
            ));
        }
        found / ONE
    }

    /// A name alone, as a word or a text.
    pub(super) fn said(&mut self, key: &str, value: &Value<'t>, what: &str) -> Option<Name<'t>> {
        match &value.atoms[..] {
            [one] if one.said().is_some() => one.said(),
            _ => {
                let words = format!("`{key}` wants {what}, not `{}`", shorten(value.text));
                self.tell(Finding::new(Code::NotName, value.at, words));
                None
            }
        }
    }

    pub(super) fn reference(&mut self, key: &'static str, sort: Sort) -> String {
        let Some(value) = self.single(key) else {
            return String::new();
        };
        let what = format!("the name of a {}", sort.word());
        match self.said(key, value, &what) {
            Some(name) if self.maker.known(sort, &name).is_some() => name.text.into_owned(),
            _ => String::new(),
        }
    }

    pub(super) fn references(&mut self, key: &'static str, sort: Sort) -> Vec<String> {
        let Some(entry) = self.entry(key) else {
            return Vec::new();
        };
        let what = format!("names of {}s", sort.word());
        let mut found = Vec::new();
        for value in &entry.values {
            if let Some(name) = self.said(key, value, &what) {
                if self.maker.known(sort, &name).is_some() {
                    found.push((name.text.into_owned(), value.at));
                }
            }
        }
        self.once_each(key, &found);
        found.into_iter().map(|(name, _)| name).collect()
    }

    pub(super) fn once_each(&mut self, key: &str, items: &[(String, Span)]) {
        let mut seen = HashSet::new();
        for (name, at) in items {
            if !seen.insert(name) {
                let words = format!("`{key}` names `{}` twice", shorten(name));
                self.tell(Finding::new(Code::ItemTwice, *at, words));
            }
        }
    }

    /// One of a few words; `T::default` means nothing was said.
    pub(super) fn word<T: Copy>(
        &mut self,
        key: &'static str,
        words: &[(&'static str, T)],
        default: Option<T>,
    ) -> Option<T> {
        let Some(value) = self.single(key) else {
            if default.is_none() && self.entry(key).is_none() {
                self.missing(key);
            }
            return default;
        };
        let found = words.iter().find(|(word, _)| *word == value.text);
        if found.is_none() {
            let all: Vec<_> = words.iter().map(|(word, _)| format!("`{word}`")).collect();
            let says = format!(
                "`{key}` is one of {}, not `{}`",
                all.join(", "),
                shorten(value.text)
            );
            let mut finding = Finding::new(Code::UnknownWord, value.at, says);
            if let Some(near) = nearest(value.text, words.iter().map(|(word, _)| *word)) {
                finding = finding.help(format!("perhaps `{near}`?"));
            }
            self.tell(finding);
        }
        found.map(|(_, meant)| *meant).or(default)
    }

    pub(super) fn text(&mut self, key: &'static str, what: &str) -> Option<Name<'t>> {
        let value = self.single(key)?;
        self.said(key, value, what)
    }

    /// Both ends of `a .. b`; an open end is `None` where `open` allows it.
    pub(super) fn range(
        &mut self,
        key: &'static str,
        wanted: Dimension,
        open: bool,
        bounds: &Bounds,
    ) -> Option<(Option<u64>, Option<u64>)> {
        let value = self.single(key)?;
        let example = match wanted {
            Dimension::Size => "1 KiB .. 64 KiB",
            _ => "20 ms .. 200 ms",
        };
        let Some(cut) = value.atoms.iter().position(|atom| atom.kind == Leaf::To) else {
            let words = format!(
                "`{key}` wants a range such as `{example}`, not `{}`",
                shorten(value.text)
            );
            self.tell(Finding::new(Code::NoRange, value.at, words));
            return None;
        };
        let (before, after) = (&value.atoms[..cut], &value.atoms[cut + 1..]);
        let found = self.maker.findings.made();
        let least = self.end_of_range(key, wanted, before, open, value.at, bounds);
        let most = self.end_of_range(key, wanted, after, open, value.at, bounds);
        let good = self.maker.findings.made() == found;
        if let (Some(least), Some(most), true) = (least, most, good) {
            if least > most {
                let words = format!("`{}` begins above its end", shorten(value.text));
                self.tell(Finding::new(Code::RangeOrder, value.at, words));
            }
        }
        Some((least, most))
    }

    pub(super) fn end_of_range(
        &mut self,
        key: &str,
        wanted: Dimension,
        atoms: &[Atom<'t>],
        open: bool,
        whole: Span,
        bounds: &Bounds,
    ) -> Option<u64> {
        let (Some(first), Some(last)) = (atoms.first(), atoms.last()) else {
            if !open {
                let words = format!("`{key}` wants both ends of its range");
                self.tell(Finding::new(Code::NoRange, whole, words));
            }
            return None;
        };
        let at = Span {
            end: last.at.end,
            ..first.at
        };
        let text = self.maker.sources.slice(at);
        let found = units::expect_of(key, wanted, atoms, text, at);
        Some(self.within(key, found, at, bounds))
    }

    /// Tells of all that nobody asked for.
    pub(super) fn end(self) {
        let Reader {
            maker,
            chain,
            asked,
            holds,
        } = self;
        let block = chain[0];
        let mut order: Vec<&Entry<'_>> = block.entries.iter().collect();
        order.sort_by(|a, b| {
            a.key
                .text
                .cmp(&b.key.text)
                .then(a.key.at.start.cmp(&b.key.at.start))
        });
        for pair in order.windows(2) {
            if pair[0].key.text == pair[1].key.text {
                let words = format!("`{}` is given twice", shorten(&pair[1].key.text));
                let finding = Finding::new(Code::KeyTwice, pair[1].key.at, words);
                maker
                    .findings
                    .push(finding.also(pair[0].key.at, "given here before"));
            }
        }
        for entry in &block.entries {
            if asked.contains(&&*entry.key.text) {
                continue;
            }
            let words = format!(
                "a {} has no key `{}`",
                block.kind.text,
                shorten(&entry.key.text)
            );
            let finding = Finding::new(Code::UnknownKey, entry.key.at, words);
            let near = nearest(&entry.key.text, asked.iter().copied());
            let mut all = asked.clone();
            all.sort_unstable();
            all.dedup();
            maker.findings.push(match near {
                Some(near) => finding.help(format!("perhaps `{near}`?")),
                None => finding.help(format!("keys: {}", all.join(", "))),
            });
        }
        for inner in &block.blocks {
            if !holds.contains(&&*inner.kind.text) {
                let words = format!(
                    "a block `{}` cannot stand in a {}",
                    shorten(&inner.kind.text),
                    block.kind.text
                );
                maker
                    .findings
                    .push(Finding::new(Code::BlockHere, inner.kind.at, words));
            }
        }
    }
}
