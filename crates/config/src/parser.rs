//! Tokens to the syntax tree, by recursive descent. After an error it resumes at the next line or brace, so that
//! one run reports all syntax errors.
//!
//! Bounds: blocks nest eight deep, deeper ones are skipped without recursion; time is linear in the
//! tokens, since every step takes at least one.

use crate::codes::Code;
use crate::finding::shorten;
use crate::lexer::{lex, LexedToken, Token};
use crate::source::{FileId, Span};
use crate::syntax::{RainLanguage, SyntaxKind, SyntaxNode};
use crate::{Finding, Findings};
use rowan::{GreenNode, GreenNodeBuilder, Language};

/// Levels of blocks: the language uses two; the others are parsed for a clear error.
const MAX_BLOCK_DEPTH: usize = 8;
/// Findings reported for one file: with more it is probably no configuration.
const MAX_FINDINGS_PER_FILE: usize = 200;

/// The syntax tree of one file.
#[derive(Clone, Debug)]
pub struct ParsedFile {
    /// The file.
    pub file: FileId,
    /// Its tree, without positions; [`ParsedFile::root`] adds them.
    pub green: GreenNode,
    /// Files whose first include is in this file, in its order; filled by [`crate::include`].
    pub included: Vec<Inclusion>,
}

/// A file that is read where another one includes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Inclusion {
    /// Where the include's path begins, in bytes of the including file.
    pub offset: u32,
    /// The included file.
    pub file: FileId,
}

impl ParsedFile {
    /// The node of the file.
    pub fn root(&self) -> SyntaxNode {
        SyntaxNode::new_root(self.green.clone())
    }
}

/// Parses one file's text; syntax errors are added to `findings`, at most 200 and a last one
/// that says so.
pub fn parse(file: FileId, text: &str, findings: &mut Findings) -> ParsedFile {
    let tokens = lex(text);
    let before = findings.count();
    let mut parser = Parser {
        file,
        text,
        tokens: &tokens,
        next: 0,
        start: 0,
        builder: GreenNodeBuilder::new(),
        findings,
        report_limit: before + MAX_FINDINGS_PER_FILE,
    };
    parser.file();
    let green = parser.builder.finish();
    ParsedFile {
        file,
        green,
        included: Vec::new(),
    }
}

struct Parser<'t> {
    file: FileId,
    text: &'t str,
    tokens: &'t [LexedToken],
    /// Index of the next token.
    next: usize,
    /// The byte at which the next token begins.
    start: u32,
    builder: GreenNodeBuilder<'static>,
    findings: &'t mut Findings,
    /// Number of findings at which no more are reported.
    report_limit: usize,
}

impl Parser<'_> {
    fn peek(&self) -> Option<Token> {
        self.tokens.get(self.next).map(|next| next.token)
    }

    fn span(&self) -> Span {
        let end = self
            .tokens
            .get(self.next)
            .map_or(self.start, |next| next.end);
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
        if let Some(next) = self.tokens.get(self.next) {
            let kind = RainLanguage::kind_to_raw(SyntaxKind::from(next.token));
            self.builder
                .token(kind, &self.text[self.start as usize..next.end as usize]);
            self.start = next.end;
            self.next += 1;
        }
    }

    /// Takes blanks and comments of this line.
    fn skip_blanks(&mut self) {
        while let Some(Token::Space | Token::Comment) = self.peek() {
            self.bump();
        }
    }

    /// Takes blanks, comments and line ends.
    fn skip_trivia(&mut self) {
        while let Some(token) = self.peek() {
            match token {
                Token::Space | Token::Comment | Token::Newline => self.bump(),
                _ => break,
            }
        }
    }

    fn start_node(&mut self, kind: SyntaxKind) {
        self.builder.start_node(RainLanguage::kind_to_raw(kind));
    }

    fn finish_node(&mut self) {
        self.builder.finish_node();
    }

    fn report(&mut self, finding: Finding) {
        match self.findings.count().cmp(&self.report_limit) {
            std::cmp::Ordering::Less => {
                self.findings.push(finding);
            }
            std::cmp::Ordering::Equal => {
                let message = format!(
                    "more than {MAX_FINDINGS_PER_FILE} syntax errors in this file; the rest is not told"
                );
                self.findings
                    .push(Finding::new(Code::TooMany, finding.span, message));
            }
            std::cmp::Ordering::Greater => {}
        }
    }

    /// The next token, in words.
    fn describe_next(&self) -> String {
        match self.peek() {
            None => "the end of the file".into(),
            Some(Token::Newline) => "the end of the line".into(),
            Some(_) => format!("`{}`", shorten(self.next_text())),
        }
    }

    fn expected(&mut self, code: Code, what: &str) {
        if self.peek() == Some(Token::Unknown) {
            self.unexpected_character();
            return;
        }
        let finding = Finding::new(
            code,
            self.span(),
            format!("expected {what}, found {}", self.describe_next()),
        );
        self.report(finding);
    }

    fn unexpected_character(&mut self) {
        let message = format!("`{}` means nothing here", shorten(self.next_text()));
        let help =
            "outside texts and comments only ASCII letters, digits and `{}:,;.+-/%_` are read";
        self.report(Finding::new(Code::Character, self.span(), message).with_help(help));
    }

    fn file(&mut self) {
        self.start_node(SyntaxKind::File);
        self.skip_trivia();
        let mut has_header = false;
        if self.peek() == Some(Token::Word)
            && self.next_text() == "rain"
            && self.after_word_is_number()
        {
            self.header();
            has_header = true;
        }
        if !has_header {
            let span = Span {
                end: self.start,
                ..self.span()
            };
            let finding = Finding::new(
                Code::NoVersion,
                span,
                "the file does not begin with its version",
            );
            self.report(finding.with_help("write `rain 1` as its first line"));
        }
        loop {
            self.skip_trivia();
            match self.peek() {
                None => break,
                Some(Token::Close) => {
                    let span = self.span();
                    self.report(Finding::new(
                        Code::StrayBrace,
                        span,
                        "this `}` closes nothing",
                    ));
                    self.start_node(SyntaxKind::Skipped);
                    self.bump();
                    self.finish_node();
                }
                Some(_) => self.item(0),
            }
        }
        self.finish_node();
    }

    /// Whether the first token behind the next that is no blank is a number.
    fn after_word_is_number(&self) -> bool {
        let after = self.tokens[self.next + 1..]
            .iter()
            .find(|next| next.token != Token::Space);
        after.is_some_and(|next| next.token == Token::Number)
    }

    fn header(&mut self) {
        self.start_node(SyntaxKind::Header);
        self.bump();
        self.skip_blanks();
        if self.next_text() != "1" {
            let message = format!("version {} of the language is not known", self.next_text());
            let span = self.span();
            self.report(
                Finding::new(Code::Version, span, message).with_help("this program reads `rain 1`"),
            );
        }
        self.bump();
        self.finish_node();
        self.end_of_line("the end of the line behind the version");
    }

    /// A block, an entry or an include within `depth` blocks.
    fn item(&mut self, depth: usize) {
        match self.peek() {
            Some(Token::Word) if depth == 0 && self.next_text() == "include" => self.include(),
            Some(Token::Word) => self.block_or_entry(depth),
            // A pool's name before its colon may be a text; as the start of an item it is not.
            _ => self.unexpected_item_start(),
        }
    }

    fn unexpected_item_start(&mut self) {
        match self.peek() {
            Some(Token::Semicolon) => {
                self.bump();
                return;
            }
            Some(Token::Open) => {
                self.expected(Code::Expected, "a block's kind before its `{`");
                self.start_node(SyntaxKind::Skipped);
                self.skip_braces();
                self.finish_node();
                return;
            }
            Some(Token::Slash) => {
                let message = "expected a block or an entry, found `/`";
                let finding = Finding::new(Code::Expected, self.span(), message);
                self.report(finding.with_help("a comment begins with `#`"));
            }
            _ => self.expected(
                Code::Expected,
                "a block such as `pool hall {` or an entry such as `goal: 3 s`",
            ),
        }
        self.skip_line();
    }

    fn include(&mut self) {
        self.start_node(SyntaxKind::Include);
        self.bump();
        self.skip_blanks();
        match self.peek() {
            Some(Token::Text) => self.bump(),
            Some(Token::OpenText) => self.unterminated_string(),
            _ => {
                self.expected(
                    Code::Expected,
                    "a path such as `\"pools.rain\"` behind `include`",
                );
                self.finish_node();
                self.skip_line();
                return;
            }
        }
        self.finish_node();
        self.end_of_line("the end of the line behind the path");
    }

    fn unterminated_string(&mut self) {
        let span = self.span();
        self.report(Finding::new(
            Code::OpenText,
            span,
            "this text has no closing `\"` on its line",
        ));
        self.bump();
    }

    fn block_or_entry(&mut self, depth: usize) {
        let mark = self.builder.checkpoint();
        let word = self.span();
        self.bump();
        self.skip_blanks();
        match self.peek() {
            Some(Token::Colon) => {
                self.builder
                    .start_node_at(mark, RainLanguage::kind_to_raw(SyntaxKind::Entry));
                self.bump();
                self.values();
                self.finish_node();
                self.end_of_line("the end of the line or `;` behind the value");
            }
            Some(Token::Open | Token::Word | Token::Text | Token::OpenText) => {
                self.block_head();
                let mut kind = SyntaxKind::Block;
                if self.peek() == Some(Token::Open) {
                    self.body(word, depth);
                } else {
                    let what = "`{` after the name of a block, or `:` after the key of an entry";
                    self.expected(Code::Expected, what);
                    self.skip_line();
                    // Within a block it is more likely an entry without its colon.
                    if depth > 0 {
                        kind = SyntaxKind::Skipped;
                    }
                }
                self.builder
                    .start_node_at(mark, RainLanguage::kind_to_raw(kind));
                self.finish_node();
            }
            Some(Token::Unknown) => {
                self.unexpected_character();
                self.skip_line();
            }
            _ => {
                let message = format!(
                    "`{}` is followed by {}",
                    self.text_of(word),
                    self.describe_next()
                );
                let finding = Finding::new(Code::NoColon, word, message);
                self.report(
                    finding.with_help("an entry is `key: value`, a block is `kind name { … }`"),
                );
                self.skip_line();
            }
        }
    }

    fn text_of(&self, span: Span) -> &str {
        &self.text[span.start as usize..span.end as usize]
    }

    /// The name and the base of a block.
    fn block_head(&mut self) {
        if matches!(self.peek(), Some(Token::Word | Token::Text)) && self.next_text() != "from" {
            self.bump();
            self.skip_blanks();
        } else if self.peek() == Some(Token::OpenText) {
            self.unterminated_string();
            self.skip_blanks();
        }
        if self.peek() == Some(Token::Word) && self.next_text() == "from" {
            self.bump();
            self.skip_blanks();
            match self.peek() {
                Some(Token::Word | Token::Text) => self.bump(),
                _ => self.expected(
                    Code::NoName,
                    "the name of what this is built on behind `from`",
                ),
            }
            self.skip_blanks();
        }
    }

    fn body(&mut self, kind: Span, depth: usize) {
        let brace = self.span();
        if depth + 1 > MAX_BLOCK_DEPTH {
            let message = format!("blocks nest more than {MAX_BLOCK_DEPTH} deep here");
            self.report(Finding::new(Code::TooDeep, brace, message));
            self.start_node(SyntaxKind::Skipped);
            self.skip_braces();
            self.finish_node();
            return;
        }
        self.bump();
        loop {
            self.skip_trivia();
            match self.peek() {
                None => {
                    let span = self.span();
                    let message = format!("the block `{}` is not closed", self.text_of(kind));
                    let finding = Finding::new(Code::NotClosed, span, message);
                    self.report(
                        finding
                            .with_label(brace, "opened here")
                            .with_help("a `}` is missing"),
                    );
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
            self.skip_blanks();
            self.value();
            self.skip_blanks();
            if self.peek() != Some(Token::Comma) {
                return;
            }
            self.bump();
            self.skip_trivia();
        }
    }

    fn value(&mut self) {
        self.start_node(SyntaxKind::Value);
        let from = self.next;
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
                Some(Token::OpenText) => self.unterminated_string(),
                Some(Token::Space) if self.value_continues() => self.bump(),
                _ => break,
            }
        }
        if self.next == from {
            self.expected(Code::NoValue, "a value");
        }
        self.finish_node();
    }

    /// Whether more of the same value stands behind the blanks.
    fn value_continues(&self) -> bool {
        let after = self.tokens[self.next..]
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
        self.skip_blanks();
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
        self.start_node(SyntaxKind::Skipped);
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
        self.finish_node();
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
