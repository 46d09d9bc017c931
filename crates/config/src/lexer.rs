//! Bytes to tokens. Every byte of a file belongs to exactly one token, in order; nothing is thrown away.

use logos::Logos;

/// The kind of a token.
#[derive(Logos, Clone, Copy, Debug, PartialEq, Eq)]
pub enum Token {
    /// Blanks on one line.
    #[regex(r"[ \t\r]+")]
    Space,
    /// A line end.
    #[token("\n")]
    Newline,
    /// From `#` to the end of the line.
    #[regex(r"#[^\n]*", allow_greedy = true)]
    Comment,
    /// Names, keys and units: letters, digits, `_` and `-`.
    #[regex(r"[A-Za-z_][A-Za-z0-9_-]*")]
    Word,
    /// Digits with `_` between them and an optional fraction.
    #[regex(r"[0-9][0-9_]*(\.[0-9][0-9_]*)?")]
    Number,
    /// A string in quotes, on one line.
    #[regex(r#""([^"\\\n]|\\[^\n])*""#)]
    Text,
    /// A string without its closing quote.
    #[regex(r#""([^"\\\n]|\\[^\n])*"#)]
    OpenText,
    /// `{`
    #[token("{")]
    Open,
    /// `}`
    #[token("}")]
    Close,
    /// `:`
    #[token(":")]
    Colon,
    /// `,`
    #[token(",")]
    Comma,
    /// `;`
    #[token(";")]
    Semicolon,
    /// `..`, between the ends of a range.
    #[token("..")]
    To,
    /// `+`
    #[token("+")]
    Plus,
    /// `-`
    #[token("-")]
    Minus,
    /// `/`
    #[token("/")]
    Slash,
    /// `%`
    #[token("%")]
    Percent,
    /// A run of characters that belong to no other token.
    Unknown,
}

/// A token and where it ends; it begins where the one before it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LexedToken {
    /// Its kind.
    pub token: Token,
    /// The byte behind its last one.
    pub end: u32,
}

/// All tokens of a text, which is at most 4 GiB long (files are bounded far below that, see
/// [`crate::source::MAX_FILE_BYTES`]).
pub fn lex(text: &str) -> Vec<LexedToken> {
    let mut all: Vec<LexedToken> = Vec::with_capacity(text.len() / 4);
    for (token, range) in Token::lexer(text).spanned() {
        let (token, end) = (token.unwrap_or(Token::Unknown), range.end as u32);
        match all.last_mut() {
            Some(last) if token == Token::Unknown && last.token == Token::Unknown => last.end = end,
            _ => all.push(LexedToken { token, end }),
        }
    }
    all
}

/// The value of a string literal: `\"` and `\\` are the only escapes ([`crate::ast`] reports others).
pub fn unquote(quoted: &str) -> String {
    let inner = quoted.strip_prefix('"').unwrap_or(quoted);
    let inner = inner.strip_suffix('"').unwrap_or(inner);
    if !inner.contains('\\') {
        return inner.to_owned();
    }
    let mut value = String::with_capacity(inner.len());
    let mut chars = inner.chars();
    while let Some(c) = chars.next() {
        value.push(if c == '\\' {
            chars.next().unwrap_or('\\')
        } else {
            c
        });
    }
    value
}
