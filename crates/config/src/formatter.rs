//! The formatter, which knows one way to write a file: indents of two, one blank line at most, entries of a block on
//! lines of their own, amounts with one blank before their unit. Comments stay where they are. A formatted file is not
//! changed by it, and the meaning of a file never is.

use crate::lexer::{lex, LexedToken, Token};
use crate::parser::parse;
use crate::source::FileId;
use crate::{Finding, Findings};

/// Columns that a list may reach before it is broken at a comma. Public for the tests of long lists.
pub const MAX_COLUMNS: usize = 100;
const INDENT: &str = "  ";

/// Formats a file's text.
///
/// # Errors
/// The findings of a file with syntax errors, which is not formatted.
pub fn format(text: &str) -> Result<String, Vec<Finding>> {
    let mut findings = Findings::default();
    parse(FileId(0), text, &mut findings);
    if findings.has_errors() {
        return Err(findings.into_vec());
    }
    let tokens = lex(text);
    Ok(Formatter::new(text, &tokens).format())
}

/// What is written between two tokens.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Gap {
    None,
    Blank,
    Line,
}

struct Formatter<'t> {
    text: &'t str,
    tokens: &'t [LexedToken],
    out: String,
    /// Blocks that are open.
    depth: usize,
    /// Where the current line begins in `out`.
    line_start: usize,
    /// Line ends in the text since the last token that was written.
    line_breaks: usize,
    /// The current line is an entry's, which may be broken at commas.
    in_list: bool,
    /// The last token but comments was a comma, so that a list goes on.
    after_comma: bool,
}

impl<'t> Formatter<'t> {
    fn new(text: &'t str, tokens: &'t [LexedToken]) -> Self {
        let out = String::with_capacity(text.len() + text.len() / 8);
        Self {
            text,
            tokens,
            out,
            depth: 0,
            line_start: 0,
            line_breaks: 0,
            in_list: false,
            after_comma: false,
        }
    }

    fn format(mut self) -> String {
        let mut start = 0;
        let mut before: Option<Token> = None;
        for lexed in self.tokens {
            let written = &self.text[start..lexed.end as usize];
            start = lexed.end as usize;
            match lexed.token {
                Token::Space => {}
                Token::Newline => self.line_breaks += 1,
                Token::Semicolon => {
                    // The form has no semicolons: each entry has its line.
                    before = Some(Token::Semicolon);
                }
                token => {
                    let gap = self.gap(before, token);
                    self.write(gap, before, token, written);
                    before = Some(token);
                    self.line_breaks = 0;
                }
            }
        }
        if !self.out.is_empty() {
            self.out.push('\n');
        }
        self.out
    }

    fn gap(&self, before: Option<Token>, token: Token) -> Gap {
        let Some(before) = before.filter(|_| !self.out.is_empty()) else {
            return Gap::None;
        };
        match (before, token) {
            // A comment behind something on its line stays there.
            (_, Token::Comment) if self.line_breaks == 0 && before != Token::Comment => Gap::Blank,
            (Token::Open, Token::Close) => Gap::None,
            (Token::Comment | Token::Semicolon | Token::Open | Token::Close, _)
            | (_, Token::Close) => Gap::Line,
            // Behind a comma the list goes on, whatever line it stands on.
            (Token::Comma, _) => Gap::Blank,
            _ if self.line_breaks > 0 => Gap::Line,
            (_, Token::Colon | Token::Comma | Token::Slash) | (Token::Slash | Token::Minus, _) => {
                Gap::None
            }
            _ => Gap::Blank,
        }
    }

    fn write(&mut self, gap: Gap, before: Option<Token>, token: Token, written: &str) {
        if token == Token::Close {
            self.depth = self.depth.saturating_sub(1);
        }
        match gap {
            Gap::None => {}
            Gap::Blank
                if self.in_list && before == Some(Token::Comma) && self.too_wide(written) =>
            {
                self.new_line(self.depth + 2);
            }
            Gap::Blank => self.out.push(' '),
            Gap::Line => {
                let continues_list =
                    self.in_list && before == Some(Token::Comment) && self.after_comma;
                if !continues_list {
                    self.in_list = false;
                }
                let opened = before == Some(Token::Open);
                if self.line_breaks > 1 && !opened && token != Token::Close && !continues_list {
                    self.out.push('\n');
                }
                self.new_line(self.depth + if continues_list { 2 } else { 0 });
            }
        }
        if before.is_none() {
            self.line_start = self.out.len();
        }
        self.out.push_str(written.trim_end());
        if token != Token::Comment {
            self.after_comma = token == Token::Comma;
        }
        match token {
            Token::Open => self.depth += 1,
            Token::Colon => self.in_list = true,
            _ => {}
        }
    }

    fn too_wide(&self, written: &str) -> bool {
        self.out[self.line_start..].chars().count() + 1 + written.chars().count() > MAX_COLUMNS
    }

    fn new_line(&mut self, depth: usize) {
        self.out.push('\n');
        self.line_start = self.out.len();
        for _ in 0..depth {
            self.out.push_str(INDENT);
        }
    }
}
