//! The syntax tree without trivia: blocks, their entries, and the atoms of each value, borrowed from the text. What
//! has a wrong shape at this level is reported here and left out.

use crate::codes::Code;
use crate::finding::shorten;
use crate::lexer::unquote;
use crate::parser::ParsedFile;
use crate::source::{SourceMap, Span};
use crate::syntax::{SyntaxElement, SyntaxKind, SyntaxNode};
use crate::{Finding, Findings};
use std::borrow::Cow;

/// A word, or the value of a string, that names something.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Name<'t> {
    /// The name, unquoted.
    pub text: Cow<'t, str>,
    /// Where it stands, with its quotes.
    pub span: Span,
}

/// A block such as `limits narrow from wide { … }`.
#[derive(Clone, Debug)]
pub struct Block<'t> {
    /// The word that it begins with.
    pub kind: Name<'t>,
    /// Its own name.
    pub name: Option<Name<'t>>,
    /// The name of the block whose entries it takes over.
    pub base: Option<Name<'t>>,
    /// Its entries, in the order of the file.
    pub entries: Vec<Entry<'t>>,
    /// The blocks in it, in the order of the file.
    pub blocks: Vec<Block<'t>>,
}

impl Block<'_> {
    /// Where to point for the block as a whole: its name, else its kind.
    pub fn span(&self) -> Span {
        self.name.as_ref().map_or(self.kind.span, |name| name.span)
    }

    /// Where the values of an entry stand; the block's own place if it has no such entry.
    pub fn span_of(&self, key: &str) -> Span {
        self.entries
            .iter()
            .find(|entry| entry.key.text == key)
            .map_or(self.span(), Entry::values_span)
    }
}

/// An entry such as `to: hall 60 %, other 40 %`.
#[derive(Clone, Debug)]
pub struct Entry<'t> {
    /// Its key, a word.
    pub key: Name<'t>,
    /// Its values; at least one, if the file has no syntax error here.
    pub values: Vec<Value<'t>>,
}

impl Entry<'_> {
    /// From the first value to the last; the key if there is none.
    pub fn values_span(&self) -> Span {
        match (self.values.first(), self.values.last()) {
            (Some(first), Some(last)) => first.span.to(last.span),
            _ => self.key.span,
        }
    }
}

/// One value of an entry.
#[derive(Clone, Debug)]
pub struct Value<'t> {
    /// From its first atom to its last.
    pub span: Span,
    /// As written.
    pub text: &'t str,
    /// Its tokens without trivia; at least one.
    pub atoms: Vec<Atom<'t>>,
}

/// A token of a value.
#[derive(Clone, Debug)]
pub struct Atom<'t> {
    /// The kind of token.
    pub kind: SyntaxKind,
    /// Where it stands.
    pub span: Span,
    /// As written, with its quotes.
    pub text: &'t str,
}

impl<'t> Atom<'t> {
    /// The name that a word or string is; none for other tokens.
    pub fn as_name(&self) -> Option<Name<'t>> {
        match self.kind {
            SyntaxKind::Word => Some(Name {
                text: Cow::Borrowed(self.text),
                span: self.span,
            }),
            SyntaxKind::Text => Some(Name {
                text: string_value(self.text),
                span: self.span,
            }),
            _ => None,
        }
    }
}

fn string_value(quoted: &str) -> Cow<'_, str> {
    if quoted.contains('\\') {
        Cow::Owned(unquote(quoted))
    } else {
        Cow::Borrowed(quoted.trim_matches('"'))
    }
}

/// Lowers one file's tree to its blocks. Entries outside blocks and unknown escapes are added to `findings`.
pub fn lower<'t>(
    sources: &'t SourceMap,
    parsed: &ParsedFile,
    findings: &mut Findings,
) -> Vec<Block<'t>> {
    let mut lowering = Lowering {
        text: sources.text(parsed.file),
        parsed,
        findings,
    };
    let root = parsed.root();
    let mut blocks = Vec::new();
    for node in root.children() {
        match node.kind() {
            SyntaxKind::Block => blocks.extend(lowering.block(&node)),
            SyntaxKind::Entry => {
                let span = lowering.span(node.text_range());
                let message = format!("`{}` stands in no block", shorten(lowering.slice(span)));
                lowering
                    .findings
                    .push(Finding::new(Code::EntryOutside, span, message));
            }
            _ => {}
        }
    }
    blocks
}

struct Lowering<'t, 'f> {
    text: &'t str,
    parsed: &'f ParsedFile,
    findings: &'f mut Findings,
}

impl<'t> Lowering<'t, '_> {
    fn span(&self, range: rowan::TextRange) -> Span {
        Span {
            file: self.parsed.file,
            start: range.start().into(),
            end: range.end().into(),
        }
    }

    fn slice(&self, span: Span) -> &'t str {
        &self.text[span.start as usize..span.end as usize]
    }

    fn name(&mut self, kind: SyntaxKind, span: Span) -> Name<'t> {
        let written = self.slice(span);
        if kind != SyntaxKind::Text {
            return Name {
                text: Cow::Borrowed(written),
                span,
            };
        }
        self.check_escapes(written, span);
        Name {
            text: string_value(written),
            span,
        }
    }

    fn check_escapes(&mut self, written: &str, span: Span) {
        let mut chars = written.chars();
        while let Some(c) = chars.next() {
            if c == '\\' {
                let escaped = chars.next();
                if !matches!(escaped, Some('"' | '\\')) {
                    let message = format!(
                        "`\\{}` is no escape",
                        escaped.map_or(String::new(), String::from)
                    );
                    let finding = Finding::new(Code::Escape, span, message);
                    self.findings
                        .push(finding.with_help("only `\\\"` and `\\\\` are"));
                    return;
                }
            }
        }
    }

    fn block(&mut self, node: &SyntaxNode) -> Option<Block<'t>> {
        let mut head: Vec<(SyntaxKind, Span)> = Vec::new();
        let (mut entries, mut blocks, mut opened) = (Vec::new(), Vec::new(), false);
        for part in node.children_with_tokens() {
            match part {
                SyntaxElement::Token(token) => match token.kind() {
                    SyntaxKind::Open => opened = true,
                    kind @ (SyntaxKind::Word | SyntaxKind::Text) if !opened => {
                        head.push((kind, self.span(token.text_range())));
                    }
                    _ => {}
                },
                SyntaxElement::Node(child) => match child.kind() {
                    SyntaxKind::Entry => entries.extend(self.entry(&child)),
                    SyntaxKind::Block => blocks.extend(self.block(&child)),
                    _ => {}
                },
            }
        }
        let mut head = head.into_iter();
        let (kind, span) = head.next()?;
        let kind = self.name(kind, span);
        let (mut name, mut base) = (None, None);
        let mut next = head.next();
        if next.is_some_and(|(kind, span)| kind == SyntaxKind::Text || self.slice(span) != "from") {
            name = next.map(|(kind, span)| self.name(kind, span));
            next = head.next();
        }
        if next.is_some() {
            base = head.next().map(|(kind, span)| self.name(kind, span));
        }
        Some(Block {
            kind,
            name,
            base,
            entries,
            blocks,
        })
    }

    fn entry(&mut self, node: &SyntaxNode) -> Option<Entry<'t>> {
        let mut key = None;
        let mut values = Vec::new();
        for part in node.children_with_tokens() {
            match part {
                SyntaxElement::Token(token)
                    if key.is_none() && token.kind() == SyntaxKind::Word =>
                {
                    let span = self.span(token.text_range());
                    key = Some(self.name(SyntaxKind::Word, span));
                }
                SyntaxElement::Node(child) if child.kind() == SyntaxKind::Value => {
                    values.extend(self.value(&child));
                }
                _ => {}
            }
        }
        Some(Entry { key: key?, values })
    }

    /// None if it is empty, which the parser has reported.
    fn value(&mut self, node: &SyntaxNode) -> Option<Value<'t>> {
        let mut atoms = Vec::with_capacity(2);
        for token in node
            .children_with_tokens()
            .filter_map(SyntaxElement::into_token)
        {
            let kind = token.kind();
            if kind.is_trivia() {
                continue;
            }
            let span = self.span(token.text_range());
            let text = self.slice(span);
            if kind == SyntaxKind::Text {
                self.check_escapes(text, span);
            }
            atoms.push(Atom { kind, span, text });
        }
        let span = atoms.first()?.span.to(atoms.last()?.span);
        if atoms.iter().any(|atom| atom.kind == SyntaxKind::OpenText) {
            return None;
        }
        Some(Value {
            span,
            text: self.slice(span),
            atoms,
        })
    }
}
