//! Reads the entries and inner blocks of one block. What no reader has asked for is unknown, and reported at the end.

use super::{nearest, BlockKind, Blocks, Resolver};
use crate::ast::{Block, Entry, Name, Value};
use crate::codes::Code;
use crate::finding::shorten;
use crate::source::Span;
use crate::Finding;
use foldhash::{HashMap, HashMapExt, HashSet, HashSetExt};

/// A reader of one block's entries.
pub(super) struct BlockReader<'m, 'w, 'r, 't> {
    pub(super) resolver: &'m mut Resolver<'w, 'r, 't>,
    /// The block, then its base, then the base of that.
    chain: Blocks<'r, 't>,
    /// The keys that were asked for, which are those that the block may have.
    known_keys: Vec<&'static str>,
    /// Kinds of blocks that may stand in this one.
    pub(super) allowed_blocks: &'static [&'static str],
}

/// A word that an entry may have as its value, and what it means.
pub(super) type Keyword<T> = (&'static str, T);

/// Which earlier definition a second one of the same name points to, if there are more than two.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum DuplicateLabel {
    First,
    Latest,
}

impl<'w, 'r, 't> BlockReader<'_, 'w, 'r, 't> {
    /// Reads the first block of `chain` by `make`; the others are what it is built on, nearest first.
    pub(super) fn read<T>(
        resolver: &mut Resolver<'w, 'r, 't>,
        chain: Blocks<'r, 't>,
        make: impl FnOnce(&mut BlockReader<'_, 'w, 'r, 't>) -> T,
    ) -> T {
        let mut reader = BlockReader {
            resolver,
            chain,
            known_keys: Vec::new(),
            allowed_blocks: &[],
        };
        let made = make(&mut reader);
        reader.finish();
        made
    }

    pub(super) fn block(&self) -> &'r Block<'t> {
        self.chain[0]
    }

    /// The block's name; empty if it has none.
    pub(super) fn name(&self) -> String {
        self.block()
            .name
            .as_ref()
            .map_or(String::new(), |name| name.text.clone().into_owned())
    }

    pub(super) fn report(&mut self, finding: Finding) {
        self.resolver.findings.push(finding);
    }

    /// The entry of a key, the block's own before that of its base.
    pub(super) fn entry(&mut self, key: &'static str) -> Option<&'r Entry<'t>> {
        self.known_keys.push(key);
        self.chain
            .iter()
            .find_map(|block| block.entries.iter().find(|entry| entry.key.text == key))
    }

    /// The one value of a key.
    pub(super) fn single(&mut self, key: &'static str) -> Option<&'r Value<'t>> {
        let entry = self.entry(key)?;
        if let Some(second) = entry.values.get(1) {
            let message = format!("`{key}` takes one value; here stand {}", entry.values.len());
            self.report(Finding::new(Code::ListHere, second.span, message));
        }
        entry.values.first()
    }

    /// Reports that a key is missing. Not so for an entry without a value, which the parser has reported.
    pub(super) fn report_if_missing(&mut self, key: &'static str) {
        if self.entry(key).is_some() {
            return;
        }
        let block = self.block();
        let message = format!(
            "the {} `{}` has no `{key}`",
            block.kind.text,
            shorten(&self.name())
        );
        self.report(Finding::new(Code::KeyMissing, block.span(), message));
    }

    /// A value that is a name alone, as a word or a string; `expected` says of what, for the message.
    pub(super) fn value_as_name(
        &mut self,
        key: &str,
        value: &Value<'t>,
        expected: &str,
    ) -> Option<Name<'t>> {
        if let [only] = &value.atoms[..] {
            if let Some(name) = only.as_name() {
                return Some(name);
            }
        }
        let message = format!("`{key}` wants {expected}, not `{}`", shorten(value.text));
        self.report(Finding::new(Code::NotName, value.span, message));
        None
    }

    /// The name that an entry gives, with its place.
    pub(super) fn single_name(&mut self, key: &'static str, expected: &str) -> Option<Name<'t>> {
        let value = self.single(key)?;
        self.value_as_name(key, value, expected)
    }

    /// The name that an entry gives; empty if it is left out.
    pub(super) fn optional_name(&mut self, key: &'static str, expected: &str) -> String {
        self.single_name(key, expected)
            .map_or(String::new(), |name| name.text.into_owned())
    }

    /// The name that an entry must give.
    pub(super) fn required_name(&mut self, key: &'static str, expected: &str) -> String {
        let name = self.single_name(key, expected);
        if name.is_none() {
            self.report_if_missing(key);
        }
        name.map_or(String::new(), |name| name.text.into_owned())
    }

    /// The name of a block that an entry refers to; empty if there is no such entry or no such block.
    pub(super) fn reference(&mut self, key: &'static str, kind: BlockKind) -> String {
        let Some(value) = self.single(key) else {
            return String::new();
        };
        let expected = format!("the name of a {}", kind.word());
        match self.value_as_name(key, value, &expected) {
            Some(name) if self.resolver.lookup(kind, &name).is_some() => name.text.into_owned(),
            _ => String::new(),
        }
    }

    /// The names of blocks that an entry refers to, but those that are not known.
    pub(super) fn references(&mut self, key: &'static str, kind: BlockKind) -> Vec<String> {
        let Some(entry) = self.entry(key) else {
            return Vec::new();
        };
        let expected = format!("names of {}s", kind.word());
        let mut found = Vec::new();
        for value in &entry.values {
            if let Some(name) = self.value_as_name(key, value, &expected) {
                if self.resolver.lookup(kind, &name).is_some() {
                    found.push((name.text.into_owned(), value.span));
                }
            }
        }
        self.reject_duplicates(key, found.iter().map(|(name, span)| (name.as_str(), *span)));
        found.into_iter().map(|(name, _)| name).collect()
    }

    /// Reports each item of a list that stands in it before.
    pub(super) fn reject_duplicates<'n>(
        &mut self,
        key: &str,
        items: impl Iterator<Item = (&'n str, Span)>,
    ) {
        let mut seen = HashSet::new();
        for (name, span) in items {
            if !seen.insert(name) {
                let message = format!("`{key}` names `{}` twice", shorten(name));
                self.report(Finding::new(Code::ItemTwice, span, message));
            }
        }
    }

    /// What one of a few words means; the default if the entry is left out or has another word.
    pub(super) fn keyword_or<T: Copy>(
        &mut self,
        key: &'static str,
        keywords: &[Keyword<T>],
        default: T,
    ) -> T {
        self.single(key)
            .and_then(|value| self.keyword_of(key, keywords, value))
            .unwrap_or(default)
    }

    /// What one of a few words means, in an entry that must be there.
    pub(super) fn required_keyword<T: Copy>(
        &mut self,
        key: &'static str,
        keywords: &[Keyword<T>],
    ) -> Option<T> {
        let Some(value) = self.single(key) else {
            self.report_if_missing(key);
            return None;
        };
        self.keyword_of(key, keywords, value)
    }

    fn keyword_of<T: Copy>(
        &mut self,
        key: &str,
        keywords: &[Keyword<T>],
        value: &Value<'t>,
    ) -> Option<T> {
        let found = keywords.iter().find(|(word, _)| *word == value.text);
        if found.is_none() {
            let words = keywords.iter().map(|(word, _)| *word);
            let all: Vec<_> = words.clone().map(|word| format!("`{word}`")).collect();
            let message = format!(
                "`{key}` is one of {}, not `{}`",
                all.join(", "),
                shorten(value.text)
            );
            let mut finding = Finding::new(Code::UnknownWord, value.span, message);
            if let Some(near) = nearest(value.text, words) {
                finding = finding.with_help(format!("perhaps `{near}`?"));
            }
            self.report(finding);
        }
        found.map(|(_, meaning)| *meaning)
    }

    /// `yes` or `no`.
    pub(super) fn yes_no(&mut self, key: &'static str, default: bool) -> bool {
        self.keyword_or(key, &[("yes", true), ("no", false)], default)
    }

    /// Reads a block that stands in this one.
    pub(super) fn inner<T>(
        &mut self,
        block: &'r Block<'t>,
        make: impl FnOnce(&mut BlockReader<'_, 'w, 'r, 't>) -> T,
    ) -> T {
        BlockReader::read(self.resolver, vec![block], make)
    }

    /// Reads the blocks of one kind that stand in this one; each comes with the place of its first word.
    pub(super) fn inner_blocks<T>(
        &mut self,
        kind: &str,
        make: impl Fn(&mut BlockReader<'_, 'w, 'r, 't>) -> T,
    ) -> Vec<(T, Span)> {
        let block = self.block();
        let mut all = Vec::new();
        for inner in block.blocks.iter().filter(|one| one.kind.text == kind) {
            self.reject_base(inner);
            all.push((self.inner(inner, &make), inner.kind.span));
        }
        all
    }

    /// Reads the `member` blocks in this one, but those without a name or with that of an earlier one.
    pub(super) fn members<T>(
        &mut self,
        duplicates: DuplicateLabel,
        mut make: impl FnMut(&mut BlockReader<'_, 'w, 'r, 't>) -> T,
    ) -> Vec<T> {
        let block = self.block();
        let mut members = Vec::new();
        let mut names: HashMap<&str, Span> = HashMap::new();
        for inner in block.blocks.iter().filter(|one| one.kind.text == "member") {
            let made = self.inner(inner, &mut make);
            self.reject_base(inner);
            let Some(name) = &inner.name else {
                let message = "this member has no name";
                self.report(Finding::new(Code::NoName, inner.kind.span, message));
                continue;
            };
            let Some(earlier) = names.get(&*name.text).copied() else {
                names.insert(&name.text, name.span);
                members.push(made);
                continue;
            };
            let message = format!(
                "the member `{}` is defined a second time",
                shorten(&name.text)
            );
            let finding = Finding::new(Code::NameTwice, name.span, message);
            self.report(finding.with_label(earlier, "first defined here"));
            if duplicates == DuplicateLabel::Latest {
                names.insert(&name.text, name.span);
            }
        }
        members
    }

    pub(super) fn report_too_many_members(&mut self, members: usize, max: usize) {
        if members > max {
            let message = format!("{members} members; {max} are the most");
            let span = self.block().span();
            self.report(Finding::new(Code::TooMuch, span, message));
        }
    }

    /// The first block of a kind, if it is another than this one.
    pub(super) fn earlier_block(&self, kind: BlockKind) -> Option<Span> {
        let first = self.resolver.index.of_kind(kind).first()?;
        Some(first.span()).filter(|span| *span != self.block().span())
    }

    fn reject_base(&mut self, inner: &Block<'t>) {
        if let Some(base) = &inner.base {
            let message = format!("a {} cannot be built on another", inner.kind.text);
            self.report(Finding::new(Code::NoBase, base.span, message));
        }
    }

    /// Reports keys given twice, and keys and blocks that nothing asked for.
    fn finish(self) {
        let findings = &mut *self.resolver.findings;
        let block = self.chain[0];
        for finding in duplicate_keys(block) {
            findings.push(finding);
        }
        for entry in &block.entries {
            if !self.known_keys.contains(&&*entry.key.text) {
                findings.push(unknown_key(block, entry, &self.known_keys));
            }
        }
        for inner in &block.blocks {
            if !self.allowed_blocks.contains(&&*inner.kind.text) {
                let message = format!(
                    "a block `{}` cannot stand in a {}",
                    shorten(&inner.kind.text),
                    block.kind.text
                );
                findings.push(Finding::new(Code::BlockHere, inner.kind.span, message));
            }
        }
    }
}

fn duplicate_keys(block: &Block<'_>) -> Vec<Finding> {
    let mut order: Vec<&Entry<'_>> = block.entries.iter().collect();
    order.sort_by(|a, b| {
        a.key
            .text
            .cmp(&b.key.text)
            .then(a.key.span.start.cmp(&b.key.span.start))
    });
    order
        .windows(2)
        .filter(|pair| pair[0].key.text == pair[1].key.text)
        .map(|pair| {
            let message = format!("`{}` is given twice", shorten(&pair[1].key.text));
            Finding::new(Code::KeyTwice, pair[1].key.span, message)
                .with_label(pair[0].key.span, "given here before")
        })
        .collect()
}

fn unknown_key(block: &Block<'_>, entry: &Entry<'_>, known_keys: &[&'static str]) -> Finding {
    let message = format!(
        "a {} has no key `{}`",
        block.kind.text,
        shorten(&entry.key.text)
    );
    let finding = Finding::new(Code::UnknownKey, entry.key.span, message);
    if let Some(near) = nearest(&entry.key.text, known_keys.iter().copied()) {
        return finding.with_help(format!("perhaps `{near}`?"));
    }
    let mut all = known_keys.to_vec();
    all.sort_unstable();
    all.dedup();
    finding.with_help(format!("keys: {}", all.join(", ")))
}
