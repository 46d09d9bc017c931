//! The one way to write a file: indents of two, one blank line at most, entries of a block on lines of
//! their own, amounts with one blank before their unit. Comments stay where they are. A file in this form
//! is not changed by it, and its meaning never is.

use crate::lex::{lex, Lexed, Token};
use crate::parse::parse;
use crate::source::FileId;
use crate::{Finding, Findings};

/// Columns that a list may reach before it goes on in the next line. Public for the tests of long lists.
pub const WIDTH: usize = 100;
const INDENT: &str = "  ";

/// The file in its one form.
///
/// # Errors
/// A file with syntax errors is not touched; what is wrong with it is told.
pub fn form(text: &str) -> Result<String, Vec<Finding>> {
    let mut findings = Findings::default();
    parse(FileId(0), text, &mut findings);
    if findings.has_errors() {
        return Err(findings.into_vec());
    }
    let tokens = lex(text);
    Ok(Writer::new(text, &tokens).whole())
}

/// What the next token of a line is written behind.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Gap {
    None,
    Blank,
    Line,
}

struct Writer<'t> {
    text: &'t str,
    tokens: &'t [Lexed],
    out: String,
    depth: usize,
    /// Where the line now written begins in `out`.
    line: usize,
    /// Line ends since the last token that was written.
    breaks: usize,
    /// A value stands in this line: commas may break it.
    in_list: bool,
    /// The last token but comments was a comma: a list is not over.
    comma: bool,
}

impl<'t> Writer<'t> {
    fn new(text: &'t str, tokens: &'t [Lexed]) -> Self {
        let out = String::with_capacity(text.len() + text.len() / 8);
        Self {
            text,
            tokens,
            out,
            depth: 0,
            line: 0,
            breaks: 0,
            in_list: false,
            comma: false,
        }
    }

    fn whole(mut self) -> String {
        let mut start = 0;
        let mut before: Option<Token> = None;
        for lexed in self.tokens {
            let written = &self.text[start..lexed.end as usize];
            start = lexed.end as usize;
            match lexed.token {
                Token::Space => {}
                Token::Newline => self.breaks += 1,
                Token::Semicolon => {
                    // The form has no semicolons: each entry has its line.
                    before = Some(Token::Semicolon);
                }
                token => {
                    let gap = self.gap(before, token);
                    self.write(gap, before, token, written);
                    before = Some(token);
                    self.breaks = 0;
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
            (_, Token::Comment) if self.breaks == 0 && before != Token::Comment => Gap::Blank,
            (Token::Comment, _) | (Token::Semicolon, _) => Gap::Line,
            (Token::Open, Token::Close) => Gap::None,
            (Token::Open | Token::Close, _) | (_, Token::Close) => Gap::Line,
            // Behind a comma the list goes on, whatever line it stands on.
            (Token::Comma, _) => Gap::Blank,
            _ if self.breaks > 0 => Gap::Line,
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
                let list_goes_on = self.in_list && before == Some(Token::Comment) && self.comma;
                if !list_goes_on {
                    self.in_list = false;
                }
                let opened = before == Some(Token::Open);
                if self.breaks > 1 && !opened && token != Token::Close && !list_goes_on {
                    self.out.push('\n');
                }
                self.new_line(self.depth + if list_goes_on { 2 } else { 0 });
            }
        }
        if before.is_none() {
            self.line = self.out.len();
        }
        self.out.push_str(written.trim_end());
        if token != Token::Comment {
            self.comma = token == Token::Comma;
        }
        match token {
            Token::Open => self.depth += 1,
            Token::Colon => self.in_list = true,
            _ => {}
        }
    }

    fn too_wide(&self, written: &str) -> bool {
        self.out[self.line..].chars().count() + 1 + written.chars().count() > WIDTH
    }

    fn new_line(&mut self, depth: usize) {
        self.out.push('\n');
        self.line = self.out.len();
        for _ in 0..depth {
            self.out.push_str(INDENT);
        }
    }
}
