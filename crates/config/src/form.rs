//! The one way to write a file: indents of two, one blank line at most, entries of a block on lines of
//! their own, amounts with one blank before their unit. Comments stay where they are. A file in this form
//! is not changed by it, and its meaning never is.

use crate::lex::{lex, Lexed, Token};
use crate::parse::parse;
use crate::source::FileId;
use crate::{Finding, Findings};

/// Columns that a list may reach before it goes on in the next line.
const WIDTH: usize = 100;
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

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    #[test]
    fn one_form() {
        let table = [
            (
                "rain 1\ntype a{repeat:exclusive;goal:3s}",
                "rain 1\ntype a {\n  repeat: exclusive\n  goal: 3 s\n}\n",
            ),
            (
                "rain   1 # one\n\n\n\n# two\npool p {}\n",
                "rain 1 # one\n\n# two\npool p {}\n",
            ),
            (
                "rain 1\nroute r {\n\n to : a 60%,b 40 % ;; }",
                "rain 1\nroute r {\n  to: a 60 %, b 40 %\n}\n",
            ),
            (
                "rain 1\nroute r {\n to: a, # first\n# then\nb\n}",
                "rain 1\nroute r {\n  to: a, # first\n      # then\n      b\n}\n",
            ),
            (
                "rain 1\nlimits l { rate: 5tickets / s; size: ..64KiB }",
                "rain 1\nlimits l {\n  rate: 5 tickets/s\n  size: .. 64 KiB\n}\n",
            ),
        ];
        for (from, to) in table {
            assert_eq!(form(from).as_deref(), Ok(to), "{from}");
            assert_eq!(form(to).as_deref(), Ok(to), "{to}");
        }
        assert_eq!(form("rain 1\npool {").unwrap_err()[0].code.id(), "P104");
    }

    #[test]
    fn long_lists_are_broken_at_commas() {
        let names: Vec<_> = (0..60).map(|n| format!("tenant-{n}")).collect();
        let text = form(&format!(
            "rain 1\nroute r {{ tenant: {} }}",
            names.join(",")
        ))
        .unwrap();
        assert!(
            text.lines().all(|line| line.chars().count() <= WIDTH + 1),
            "{text}"
        );
        assert_eq!(form(&text), Ok(text.clone()));
    }

    /// Files without errors, however oddly spaced, with comments wherever they may stand.
    fn files() -> impl Strategy<Value = String> {
        let gap = proptest::sample::select(vec!["", " ", "\t  "]);
        let end = proptest::sample::select(vec![
            ";",
            "\n",
            " # why: because\n",
            "\n\n\n",
            ";;\n",
            "\r\n",
        ]);
        let value = proptest::sample::select(vec![
            "3s",
            "a",
            "\"x # y\"",
            "40 tickets /s",
            "..  5KiB",
            "a 60%,\n b 40 %",
            "x, # c\n\n # d\n y",
            "- 5 ms",
            "1 s+2 ms",
        ]);
        let entry =
            (gap.clone(), value, end.clone()).prop_map(|(g, v, e)| format!("{g}key{g}:{g}{v}{e}"));
        let inner = proptest::collection::vec(entry, 0..4).prop_map(|all| all.concat());
        let inside = (inner.clone(), inner.clone()).prop_map(|(a, b)| format!("{a}match {{{b}}}"));
        let body = prop_oneof![inner, inside];
        let block = (gap, body, end).prop_map(|(g, b, e)| format!("{g}route{g} r{g}{{{b}}}{e}"));
        proptest::collection::vec(block, 0..4).prop_map(|all| format!("rain 1\n{}", all.concat()))
    }

    proptest! {
        #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(16), failure_persistence: None, ..ProptestConfig::default() })]

        #[test]
        fn twice_is_once_and_tokens_and_comments_are_kept(text in files()) {
            let once = form(&text).unwrap();
            prop_assert_eq!(form(&once), Ok(once.clone()));
            let told = |text: &str| {
                let mut start = 0;
                let mut all = Vec::new();
                for lexed in lex(text) {
                    let written = &text[start..lexed.end as usize];
                    start = lexed.end as usize;
                    if !matches!(lexed.token, Token::Space | Token::Newline | Token::Semicolon) {
                        all.push(written.trim_end().to_owned());
                    }
                }
                all
            };
            prop_assert_eq!(told(&text), told(&once));
        }
    }
}
