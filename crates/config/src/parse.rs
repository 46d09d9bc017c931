//! Tokens to the lossless tree, by descent. After an error it goes on at the next line or brace, so that
//! one run tells all that is wrong.
//!
//! Bounds: blocks nest [`DEEPEST`] deep, what is deeper is skipped without recursion; time is linear in the
//! tokens, since every step takes at least one.

use crate::codes::Code;
use crate::finding::shorten;
use crate::lex::{lex, Lexed, Token};
use crate::source::{FileId, Span};
use crate::tree::{Kind, Node, Rain};
use crate::{Finding, Findings};
use rowan::{GreenNode, GreenNodeBuilder, Language};

/// Levels of blocks: the language uses two, and the rest is room for a clear error.
const DEEPEST: usize = 8;
/// Findings told of one file: past this many the file is something else than a configuration.
const MOST_FINDINGS: usize = 200;

/// One file's tree.
#[derive(Clone, Debug)]
pub struct Parsed {
    pub file: FileId,
    pub green: GreenNode,
    /// Where other files are read into this one: the place of the include, and the file.
    pub included: Vec<(u32, FileId)>,
}

impl Parsed {
    pub fn root(&self) -> Node {
        Node::new_root(self.green.clone())
    }
}

/// Reads one file's text; what is wrong is added to `findings`.
pub fn parse(file: FileId, text: &str, findings: &mut Findings) -> Parsed {
    let tokens = lex(text);
    let before = findings.made();
    let mut parser = Parser {
        file,
        text,
        tokens: &tokens,
        at: 0,
        start: 0,
        builder: GreenNodeBuilder::new(),
        findings,
        told_to: before + MOST_FINDINGS,
    };
    parser.file();
    let green = parser.builder.finish();
    Parsed {
        file,
        green,
        included: Vec::new(),
    }
}

struct Parser<'t> {
    file: FileId,
    text: &'t str,
    tokens: &'t [Lexed],
    /// The next token, and where it begins.
    at: usize,
    start: u32,
    builder: GreenNodeBuilder<'static>,
    findings: &'t mut Findings,
    /// Length of `findings` at which no more is told.
    told_to: usize,
}

impl Parser<'_> {
    fn peek(&self) -> Option<Token> {
        self.tokens.get(self.at).map(|next| next.token)
    }

    fn span(&self) -> Span {
        let end = self.tokens.get(self.at).map_or(self.start, |next| next.end);
        Span {
            file: self.file,
            start: self.start,
            end,
        }
    }

    fn next_text(&self) -> &str {
        let span = self.span();
        &self.text[span.start as usize..span.end as usize]
    }

    fn bump(&mut self) {
        if let Some(next) = self.tokens.get(self.at) {
            let kind = Rain::kind_to_raw(Kind::from(next.token));
            self.builder
                .token(kind, &self.text[self.start as usize..next.end as usize]);
            self.start = next.end;
            self.at += 1;
        }
    }

    /// Blanks and comments; over line ends too where `lines`.
    fn trivia(&mut self, lines: bool) {
        while let Some(token) = self.peek() {
            match token {
                Token::Space | Token::Comment => self.bump(),
                Token::Newline if lines => self.bump(),
                _ => break,
            }
        }
    }

    fn open(&mut self, kind: Kind) {
        self.builder.start_node(Rain::kind_to_raw(kind));
    }

    fn close(&mut self) {
        self.builder.finish_node();
    }

    fn tell(&mut self, finding: Finding) {
        match self.findings.made().cmp(&self.told_to) {
            std::cmp::Ordering::Less => {
                self.findings.push(finding);
            }
            std::cmp::Ordering::Equal => {
                let words = format!(
                    "more than {MOST_FINDINGS} syntax errors in this file; the rest is not told"
                );
                self.findings
                    .push(Finding::new(Code::TooMany, finding.at, words));
            }
            std::cmp::Ordering::Greater => {}
        }
    }

    /// What stands next, in words.
    fn found(&self) -> String {
        match self.peek() {
            None => "the end of the file".into(),
            Some(Token::Newline) => "the end of the line".into(),
            Some(_) => format!("`{}`", shorten(self.next_text())),
        }
    }

    fn expected(&mut self, code: Code, what: &str) {
        if self.peek() == Some(Token::Unknown) {
            self.odd_character();
            return;
        }
        let finding = Finding::new(
            code,
            self.span(),
            format!("expected {what}, found {}", self.found()),
        );
        self.tell(finding);
    }

    fn odd_character(&mut self) {
        let words = format!("`{}` means nothing here", shorten(self.next_text()));
        let help =
            "outside texts and comments only ASCII letters, digits and `{}:,;.+-/%_` are read";
        self.tell(Finding::new(Code::Character, self.span(), words).help(help));
    }

    fn file(&mut self) {
        self.open(Kind::File);
        self.trivia(true);
        let mut headed = false;
        if self.peek() == Some(Token::Word)
            && self.next_text() == "rain"
            && self.after_word_is_number()
        {
            self.header();
            headed = true;
        }
        if !headed {
            let at = Span {
                end: self.start,
                ..self.span()
            };
            let finding = Finding::new(
                Code::NoVersion,
                at,
                "the file does not begin with its version",
            );
            self.tell(finding.help("write `rain 1` as its first line"));
        }
        loop {
            self.trivia(true);
            match self.peek() {
                None => break,
                Some(Token::Close) => {
                    let at = self.span();
                    self.tell(Finding::new(
                        Code::StrayBrace,
                        at,
                        "this `}` closes nothing",
                    ));
                    self.open(Kind::Skipped);
                    self.bump();
                    self.close();
                }
                Some(_) => self.item(0),
            }
        }
        self.close();
    }

    /// The first token behind the next that is no blank is a number.
    fn after_word_is_number(&self) -> bool {
        let after = self.tokens[self.at + 1..]
            .iter()
            .find(|next| next.token != Token::Space);
        after.is_some_and(|next| next.token == Token::Number)
    }

    fn header(&mut self) {
        self.open(Kind::Header);
        self.bump();
        self.trivia(false);
        if self.next_text() != "1" {
            let words = format!("version {} of the language is not known", self.next_text());
            let at = self.span();
            self.tell(Finding::new(Code::Version, at, words).help("this program reads `rain 1`"));
        }
        self.bump();
        self.close();
        self.end_of_line("the end of the line behind the version");
    }

    /// A block, an entry or an include; `depth` blocks stand round it.
    fn item(&mut self, depth: usize) {
        match self.peek() {
            Some(Token::Word) if depth == 0 && self.next_text() == "include" => self.include(),
            Some(Token::Word) => self.block_or_entry(depth),
            // A pool's name before its colon may be a text; as the start of an item it is not.
            _ => self.odd_start(),
        }
    }

    fn odd_start(&mut self) {
        match self.peek() {
            Some(Token::Semicolon) => {
                self.bump();
                return;
            }
            Some(Token::Open) => {
                self.expected(Code::Expected, "a block's kind before its `{`");
                self.open(Kind::Skipped);
                self.skip_braces();
                self.close();
                return;
            }
            Some(Token::Slash) => {
                let words = "expected a block or an entry, found `/`";
                let finding = Finding::new(Code::Expected, self.span(), words);
                self.tell(finding.help("a comment begins with `#`"));
            }
            _ => self.expected(
                Code::Expected,
                "a block such as `pool hall {` or an entry such as `goal: 3 s`",
            ),
        }
        self.skip_line();
    }

    fn include(&mut self) {
        self.open(Kind::Include);
        self.bump();
        self.trivia(false);
        match self.peek() {
            Some(Token::Text) => self.bump(),
            Some(Token::OpenText) => self.open_text(),
            _ => {
                self.expected(
                    Code::Expected,
                    "a path such as `\"pools.rain\"` behind `include`",
                );
                self.close();
                self.skip_line();
                return;
            }
        }
        self.close();
        self.end_of_line("the end of the line behind the path");
    }

    fn open_text(&mut self) {
        let at = self.span();
        self.tell(Finding::new(
            Code::OpenText,
            at,
            "this text has no closing `\"` on its line",
        ));
        self.bump();
    }

    fn block_or_entry(&mut self, depth: usize) {
        let mark = self.builder.checkpoint();
        let word = self.span();
        self.bump();
        self.trivia(false);
        match self.peek() {
            Some(Token::Colon) => {
                self.builder
                    .start_node_at(mark, Rain::kind_to_raw(Kind::Entry));
                self.bump();
                self.values();
                self.close();
                self.end_of_line("the end of the line or `;` behind the value");
            }
            Some(Token::Open | Token::Word | Token::Text | Token::OpenText) => {
                self.block_head();
                let mut kind = Kind::Block;
                match self.peek() {
                    Some(Token::Open) => self.body(word, depth),
                    _ => {
                        let what =
                            "`{` after the name of a block, or `:` after the key of an entry";
                        self.expected(Code::Expected, what);
                        self.skip_line();
                        // Within a block it is more likely an entry without its colon.
                        kind = if depth == 0 {
                            Kind::Block
                        } else {
                            Kind::Skipped
                        };
                    }
                }
                self.builder.start_node_at(mark, Rain::kind_to_raw(kind));
                self.close();
            }
            Some(Token::Unknown) => {
                self.odd_character();
                self.skip_line();
            }
            _ => {
                let words = format!("`{}` is followed by {}", self.word_at(word), self.found());
                let finding = Finding::new(Code::NoColon, word, words);
                self.tell(finding.help("an entry is `key: value`, a block is `kind name { … }`"));
                self.skip_line();
            }
        }
    }

    fn word_at(&self, span: Span) -> &str {
        &self.text[span.start as usize..span.end as usize]
    }

    /// The name and what the block is built on.
    fn block_head(&mut self) {
        if matches!(self.peek(), Some(Token::Word | Token::Text)) && self.next_text() != "from" {
            self.bump();
            self.trivia(false);
        } else if self.peek() == Some(Token::OpenText) {
            self.open_text();
            self.trivia(false);
        }
        if self.peek() == Some(Token::Word) && self.next_text() == "from" {
            self.bump();
            self.trivia(false);
            match self.peek() {
                Some(Token::Word | Token::Text) => self.bump(),
                _ => self.expected(
                    Code::NoName,
                    "the name of what this is built on behind `from`",
                ),
            }
            self.trivia(false);
        }
    }

    fn body(&mut self, kind: Span, depth: usize) {
        let brace = self.span();
        if depth + 1 > DEEPEST {
            let words = format!("blocks nest more than {DEEPEST} deep here");
            self.tell(Finding::new(Code::TooDeep, brace, words));
            self.open(Kind::Skipped);
            self.skip_braces();
            self.close();
            return;
        }
        self.bump();
        loop {
            self.trivia(true);
            match self.peek() {
                None => {
                    let at = self.span();
                    let words = format!("the block `{}` is not closed", self.word_at(kind));
                    let finding = Finding::new(Code::NotClosed, at, words);
                    self.tell(finding.also(brace, "opened here").help("a `}` is missing"));
                    return;
                }
                Some(Token::Close) => {
                    self.bump();
                    return;
                }
                Some(_) => self.item(depth + 1),
            }
        }
    }

    /// Values with commas between them; a line may end behind a comma.
    fn values(&mut self) {
        loop {
            self.trivia(false);
            self.value();
            self.trivia(false);
            if self.peek() != Some(Token::Comma) {
                return;
            }
            self.bump();
            self.trivia(true);
        }
    }

    fn value(&mut self) {
        self.open(Kind::Value);
        let from = self.at;
        loop {
            match self.peek() {
                Some(
                    Token::Word
                    | Token::Number
                    | Token::Text
                    | Token::To
                    | Token::Plus
                    | Token::Minus
                    | Token::Slash
                    | Token::Percent,
                ) => self.bump(),
                Some(Token::OpenText) => self.open_text(),
                Some(Token::Space) if self.goes_on() => self.bump(),
                _ => break,
            }
        }
        if self.at == from {
            self.expected(Code::NoValue, "a value");
        }
        self.close();
    }

    /// Behind the blanks stands more of the same value.
    fn goes_on(&self) -> bool {
        let after = self.tokens[self.at..]
            .iter()
            .find(|next| next.token != Token::Space);
        after.is_some_and(|next| {
            !matches!(
                next.token,
                Token::Newline
                    | Token::Comment
                    | Token::Comma
                    | Token::Semicolon
                    | Token::Open
                    | Token::Close
                    | Token::Colon
                    | Token::Unknown
            )
        })
    }

    fn end_of_line(&mut self, what: &str) {
        self.trivia(false);
        match self.peek() {
            None | Some(Token::Newline | Token::Close) => {}
            Some(Token::Semicolon) => self.bump(),
            Some(_) => {
                self.expected(Code::Expected, what);
                self.skip_line();
            }
        }
    }

    /// To the end of the line, or to a brace that belongs to what is round it.
    fn skip_line(&mut self) {
        self.open(Kind::Skipped);
        loop {
            match self.peek() {
                None | Some(Token::Newline | Token::Close) => break,
                Some(Token::Open) => {
                    self.skip_braces();
                    break;
                }
                Some(_) => self.bump(),
            }
        }
        self.close();
    }

    /// From `{` to the `}` that closes it, however deep, without recursion.
    fn skip_braces(&mut self) {
        let mut depth = 0usize;
        while let Some(token) = self.peek() {
            match token {
                Token::Open => depth += 1,
                Token::Close => depth -= 1,
                _ => {}
            }
            self.bump();
            if depth == 0 {
                break;
            }
        }
    }
}
