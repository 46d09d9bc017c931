//! The tree without what means nothing: blocks, their entries, and the atoms of each value, borrowed from
//! the text. What has a wrong shape at this level is told here and left out.

use crate::codes::Code;
use crate::finding::shorten;
use crate::lex::unquote;
use crate::parse::Parsed;
use crate::source::{Sources, Span};
use crate::tree::{Element, Kind, Node};
use crate::{Finding, Findings};
use std::borrow::Cow;

/// A word or text that stands for something.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Name<'t> {
    pub text: Cow<'t, str>,
    pub at: Span,
}

#[derive(Clone, Debug)]
pub struct Block<'t> {
    pub kind: Name<'t>,
    pub name: Option<Name<'t>>,
    /// What it is built on.
    pub base: Option<Name<'t>>,
    pub entries: Vec<Entry<'t>>,
    pub blocks: Vec<Block<'t>>,
}

impl Block<'_> {
    /// Where to point for the block as a whole: its name, else its kind.
    pub fn at(&self) -> Span {
        self.name.as_ref().map_or(self.kind.at, |name| name.at)
    }

    /// Where the values of an entry stand, else the block's own place.
    pub fn place(&self, key: &str) -> Span {
        self.entries
            .iter()
            .find(|entry| entry.key.text == key)
            .map_or(self.at(), Entry::values_at)
    }
}

#[derive(Clone, Debug)]
pub struct Entry<'t> {
    pub key: Name<'t>,
    /// At least one, if the file has no syntax error here.
    pub values: Vec<Value<'t>>,
}

impl Entry<'_> {
    pub fn values_at(&self) -> Span {
        match (self.values.first(), self.values.last()) {
            (Some(first), Some(last)) => Span {
                end: last.at.end,
                ..first.at
            },
            _ => self.key.at,
        }
    }
}

/// One item of an entry's list.
#[derive(Clone, Debug)]
pub struct Value<'t> {
    pub at: Span,
    /// As written.
    pub text: &'t str,
    pub atoms: Vec<Atom<'t>>,
}

#[derive(Clone, Debug)]
pub struct Atom<'t> {
    pub kind: Kind,
    pub at: Span,
    /// As written, quotes and all.
    pub text: &'t str,
}

impl<'t> Atom<'t> {
    /// What a word or text says.
    pub fn said(&self) -> Option<Name<'t>> {
        match self.kind {
            Kind::Word => Some(Name {
                text: Cow::Borrowed(self.text),
                at: self.at,
            }),
            Kind::Text => Some(Name {
                text: said(self.text),
                at: self.at,
            }),
            _ => None,
        }
    }
}

fn said(quoted: &str) -> Cow<'_, str> {
    if quoted.contains('\\') {
        Cow::Owned(unquote(quoted))
    } else {
        Cow::Borrowed(quoted.trim_matches('"'))
    }
}

/// The blocks of one file.
pub fn read<'t>(sources: &'t Sources, parsed: &Parsed, findings: &mut Findings) -> Vec<Block<'t>> {
    let mut reader = Reader {
        text: sources.text(parsed.file),
        parsed,
        findings,
    };
    let root = parsed.root();
    let mut blocks = Vec::new();
    for node in root.children() {
        match node.kind() {
            Kind::Block => blocks.extend(reader.block(&node)),
            Kind::Entry => {
                let at = reader.span(node.text_range());
                let words = format!("`{}` stands in no block", shorten(reader.slice(at)));
                reader
                    .findings
                    .push(Finding::new(Code::EntryOutside, at, words));
            }
            _ => {}
        }
    }
    blocks
}

struct Reader<'t, 'f> {
    text: &'t str,
    parsed: &'f Parsed,
    findings: &'f mut Findings,
}

impl<'t> Reader<'t, '_> {
    fn span(&self, range: rowan::TextRange) -> Span {
        Span {
            file: self.parsed.file,
            start: range.start().into(),
            end: range.end().into(),
        }
    }

    fn slice(&self, at: Span) -> &'t str {
        &self.text[at.start as usize..at.end as usize]
    }

    fn name(&mut self, kind: Kind, at: Span) -> Name<'t> {
        let written = self.slice(at);
        if kind != Kind::Text {
            return Name {
                text: Cow::Borrowed(written),
                at,
            };
        }
        self.look_at_escapes(written, at);
        Name {
            text: said(written),
            at,
        }
    }

    fn look_at_escapes(&mut self, written: &str, at: Span) {
        let mut chars = written.chars();
        while let Some(c) = chars.next() {
            if c == '\\' {
                let escaped = chars.next();
                if !matches!(escaped, Some('"' | '\\')) {
                    let words = format!(
                        "`\\{}` is no escape",
                        escaped.map_or(String::new(), String::from)
                    );
                    let finding = Finding::new(Code::Escape, at, words);
                    self.findings
                        .push(finding.help("only `\\\"` and `\\\\` are"));
                    return;
                }
            }
        }
    }

    fn block(&mut self, node: &Node) -> Option<Block<'t>> {
        let mut head: Vec<(Kind, Span)> = Vec::new();
        let (mut entries, mut blocks, mut opened) = (Vec::new(), Vec::new(), false);
        for part in node.children_with_tokens() {
            match part {
                Element::Token(token) => match token.kind() {
                    Kind::Open => opened = true,
                    kind @ (Kind::Word | Kind::Text) if !opened => {
                        head.push((kind, self.span(token.text_range())));
                    }
                    _ => {}
                },
                Element::Node(child) => match child.kind() {
                    Kind::Entry => entries.extend(self.entry(&child)),
                    Kind::Block => blocks.extend(self.block(&child)),
                    _ => {}
                },
            }
        }
        let mut head = head.into_iter();
        let (kind, at) = head.next()?;
        let kind = self.name(kind, at);
        let (mut name, mut base) = (None, None);
        let mut next = head.next();
        if next.is_some_and(|(kind, at)| kind == Kind::Text || self.slice(at) != "from") {
            name = next.map(|(kind, at)| self.name(kind, at));
            next = head.next();
        }
        if next.is_some() {
            base = head.next().map(|(kind, at)| self.name(kind, at));
        }
        Some(Block {
            kind,
            name,
            base,
            entries,
            blocks,
        })
    }

    fn entry(&mut self, node: &Node) -> Option<Entry<'t>> {
        let mut key = None;
        let mut values = Vec::new();
        for part in node.children_with_tokens() {
            match part {
                Element::Token(token) if key.is_none() && token.kind() == Kind::Word => {
                    let at = self.span(token.text_range());
                    key = Some(self.name(Kind::Word, at));
                }
                Element::Node(child) if child.kind() == Kind::Value => {
                    values.extend(self.value(&child))
                }
                _ => {}
            }
        }
        Some(Entry { key: key?, values })
    }

    /// Nothing if it is empty: that was told when it was parsed.
    fn value(&mut self, node: &Node) -> Option<Value<'t>> {
        let mut atoms = Vec::with_capacity(2);
        for token in node.children_with_tokens().filter_map(Element::into_token) {
            let kind = token.kind();
            if kind.is_trivia() {
                continue;
            }
            let at = self.span(token.text_range());
            let text = self.slice(at);
            if kind == Kind::Text {
                self.look_at_escapes(text, at);
            }
            atoms.push(Atom { kind, at, text });
        }
        let at = Span {
            end: atoms.last()?.at.end,
            ..atoms.first()?.at
        };
        if atoms.iter().any(|atom| atom.kind == Kind::OpenText) {
            return None;
        }
        Some(Value {
            at,
            text: self.slice(at),
            atoms,
        })
    }
}
