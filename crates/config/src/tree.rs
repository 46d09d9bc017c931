//! The lossless tree: tokens as they stand in the file, comments and blanks too, under nodes that tell
//! what they belong to. Its text is the file, byte for byte, whatever is wrong with the file.

use crate::lex::Token;
use rowan::Language;

/// Kinds of tokens and nodes. Tokens come first, in the order of [`Token`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u16)]
pub enum Kind {
    Space,
    Newline,
    Comment,
    Word,
    Number,
    Text,
    OpenText,
    Open,
    Close,
    Colon,
    Comma,
    Semicolon,
    To,
    Plus,
    Minus,
    Slash,
    Percent,
    Unknown,
    /// The whole file.
    File,
    /// `rain 1`
    Header,
    /// `include "other.rain"`
    Include,
    /// `pool hall { … }`
    Block,
    /// `goal: 3 s`
    Entry,
    /// One item of an entry's list.
    Value,
    /// What could not be read; skipped.
    Skipped,
}

const LAST: u16 = Kind::Skipped as u16;

impl Kind {
    /// Blanks, line ends and comments.
    pub fn is_trivia(self) -> bool {
        self <= Kind::Comment
    }
}

impl From<Token> for Kind {
    fn from(token: Token) -> Self {
        match token {
            Token::Space => Kind::Space,
            Token::Newline => Kind::Newline,
            Token::Comment => Kind::Comment,
            Token::Word => Kind::Word,
            Token::Number => Kind::Number,
            Token::Text => Kind::Text,
            Token::OpenText => Kind::OpenText,
            Token::Open => Kind::Open,
            Token::Close => Kind::Close,
            Token::Colon => Kind::Colon,
            Token::Comma => Kind::Comma,
            Token::Semicolon => Kind::Semicolon,
            Token::To => Kind::To,
            Token::Plus => Kind::Plus,
            Token::Minus => Kind::Minus,
            Token::Slash => Kind::Slash,
            Token::Percent => Kind::Percent,
            Token::Unknown => Kind::Unknown,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rain {}

impl Language for Rain {
    type Kind = Kind;

    fn kind_from_raw(raw: rowan::SyntaxKind) -> Kind {
        /// By number; the order is that of the enum.
        const KINDS: [Kind; LAST as usize + 1] = [
            Kind::Space,
            Kind::Newline,
            Kind::Comment,
            Kind::Word,
            Kind::Number,
            Kind::Text,
            Kind::OpenText,
            Kind::Open,
            Kind::Close,
            Kind::Colon,
            Kind::Comma,
            Kind::Semicolon,
            Kind::To,
            Kind::Plus,
            Kind::Minus,
            Kind::Slash,
            Kind::Percent,
            Kind::Unknown,
            Kind::File,
            Kind::Header,
            Kind::Include,
            Kind::Block,
            Kind::Entry,
            Kind::Value,
            Kind::Skipped,
        ];
        KINDS[raw.0.min(LAST) as usize]
    }

    fn kind_to_raw(kind: Kind) -> rowan::SyntaxKind {
        rowan::SyntaxKind(kind as u16)
    }
}

pub type Node = rowan::SyntaxNode<Rain>;
pub type Leaf = rowan::SyntaxToken<Rain>;
pub type Element = rowan::SyntaxElement<Rain>;
