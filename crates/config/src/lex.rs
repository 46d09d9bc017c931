//! Bytes to tokens. Every byte of a file belongs to exactly one token, in order; nothing is thrown away.

use logos::Logos;

#[derive(Logos, Clone, Copy, Debug, PartialEq, Eq)]
pub enum Token {
    #[regex(r"[ \t\r]+")]
    Space,
    #[token("\n")]
    Newline,
    #[regex(r"#[^\n]*", allow_greedy = true)]
    Comment,
    /// Names, keys and units: letters, digits, `_` and `-`.
    #[regex(r"[A-Za-z_][A-Za-z0-9_-]*")]
    Word,
    #[regex(r"[0-9][0-9_]*(\.[0-9][0-9_]*)?")]
    Number,
    #[regex(r#""([^"\\\n]|\\[^\n])*""#)]
    Text,
    /// A text whose line ends before it does.
    #[regex(r#""([^"\\\n]|\\[^\n])*"#)]
    OpenText,
    #[token("{")]
    Open,
    #[token("}")]
    Close,
    #[token(":")]
    Colon,
    #[token(",")]
    Comma,
    #[token(";")]
    Semicolon,
    #[token("..")]
    To,
    #[token("+")]
    Plus,
    #[token("-")]
    Minus,
    #[token("/")]
    Slash,
    #[token("%")]
    Percent,
    /// Anything else, one run of it.
    Unknown,
}

/// A token and where it ends; it begins where the one before it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lexed {
    pub token: Token,
    pub end: u32,
}

/// All tokens of a text, which is at most 4 GiB long (files are bounded far below that).
pub fn lex(text: &str) -> Vec<Lexed> {
    let mut all: Vec<Lexed> = Vec::with_capacity(text.len() / 4);
    for (token, range) in Token::lexer(text).spanned() {
        let (token, end) = (token.unwrap_or(Token::Unknown), range.end as u32);
        match all.last_mut() {
            Some(last) if token == Token::Unknown && last.token == Token::Unknown => last.end = end,
            _ => all.push(Lexed { token, end }),
        }
    }
    all
}

/// What a text in quotes says: `\"` and `\\` are the only escapes ([`crate::ast`] tells of others).
pub fn unquote(quoted: &str) -> String {
    let inner = quoted.strip_prefix('"').unwrap_or(quoted);
    let inner = inner.strip_suffix('"').unwrap_or(inner);
    if !inner.contains('\\') {
        return inner.to_owned();
    }
    let mut said = String::with_capacity(inner.len());
    let mut chars = inner.chars();
    while let Some(c) = chars.next() {
        said.push(if c == '\\' {
            chars.next().unwrap_or('\\')
        } else {
            c
        });
    }
    said
}
