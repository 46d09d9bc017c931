//! The lossless syntax tree: every token of the file, comments and blanks included, under nodes that say
//! what it belongs to. The text of a tree is the file, byte for byte, whatever is wrong with the file.

use crate::lexer::Token;
use rowan::Language;

/// Kinds of tokens and nodes. Tokens come first, in the order of [`Token`], which describes them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u16)]
pub enum SyntaxKind {
    /// [`Token::Space`]
    Space,
    /// [`Token::Newline`]
    Newline,
    /// [`Token::Comment`]
    Comment,
    /// [`Token::Word`]
    Word,
    /// [`Token::Number`]
    Number,
    /// [`Token::Text`]
    Text,
    /// [`Token::OpenText`]
    OpenText,
    /// [`Token::Open`]
    Open,
    /// [`Token::Close`]
    Close,
    /// [`Token::Colon`]
    Colon,
    /// [`Token::Comma`]
    Comma,
    /// [`Token::Semicolon`]
    Semicolon,
    /// [`Token::To`]
    To,
    /// [`Token::Plus`]
    Plus,
    /// [`Token::Minus`]
    Minus,
    /// [`Token::Slash`]
    Slash,
    /// [`Token::Percent`]
    Percent,
    /// [`Token::Unknown`]
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

/// The number of the last kind.
const LAST: u16 = SyntaxKind::Skipped as u16;

impl SyntaxKind {
    /// Whether it is a blank, a line end or a comment.
    pub fn is_trivia(self) -> bool {
        self <= SyntaxKind::Comment
    }
}

impl From<Token> for SyntaxKind {
    fn from(token: Token) -> Self {
        match token {
            Token::Space => SyntaxKind::Space,
            Token::Newline => SyntaxKind::Newline,
            Token::Comment => SyntaxKind::Comment,
            Token::Word => SyntaxKind::Word,
            Token::Number => SyntaxKind::Number,
            Token::Text => SyntaxKind::Text,
            Token::OpenText => SyntaxKind::OpenText,
            Token::Open => SyntaxKind::Open,
            Token::Close => SyntaxKind::Close,
            Token::Colon => SyntaxKind::Colon,
            Token::Comma => SyntaxKind::Comma,
            Token::Semicolon => SyntaxKind::Semicolon,
            Token::To => SyntaxKind::To,
            Token::Plus => SyntaxKind::Plus,
            Token::Minus => SyntaxKind::Minus,
            Token::Slash => SyntaxKind::Slash,
            Token::Percent => SyntaxKind::Percent,
            Token::Unknown => SyntaxKind::Unknown,
        }
    }
}

/// The language, as [`rowan`] wants to know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RainLanguage {}

impl Language for RainLanguage {
    type Kind = SyntaxKind;

    fn kind_from_raw(raw: rowan::SyntaxKind) -> SyntaxKind {
        /// By number; the order is that of the enum.
        const KINDS: [SyntaxKind; LAST as usize + 1] = [
            SyntaxKind::Space,
            SyntaxKind::Newline,
            SyntaxKind::Comment,
            SyntaxKind::Word,
            SyntaxKind::Number,
            SyntaxKind::Text,
            SyntaxKind::OpenText,
            SyntaxKind::Open,
            SyntaxKind::Close,
            SyntaxKind::Colon,
            SyntaxKind::Comma,
            SyntaxKind::Semicolon,
            SyntaxKind::To,
            SyntaxKind::Plus,
            SyntaxKind::Minus,
            SyntaxKind::Slash,
            SyntaxKind::Percent,
            SyntaxKind::Unknown,
            SyntaxKind::File,
            SyntaxKind::Header,
            SyntaxKind::Include,
            SyntaxKind::Block,
            SyntaxKind::Entry,
            SyntaxKind::Value,
            SyntaxKind::Skipped,
        ];
        KINDS[raw.0.min(LAST) as usize]
    }

    fn kind_to_raw(kind: SyntaxKind) -> rowan::SyntaxKind {
        rowan::SyntaxKind(kind as u16)
    }
}

/// A node of the tree.
pub type SyntaxNode = rowan::SyntaxNode<RainLanguage>;
/// A token of the tree.
pub type SyntaxToken = rowan::SyntaxToken<RainLanguage>;
/// A node or a token of the tree.
pub type SyntaxElement = rowan::SyntaxElement<RainLanguage>;
