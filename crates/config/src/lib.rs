//! The `.rain` language: what an operator writes about traffic types, tenants, pools, routes and policies.
//!
//! A configuration passes these layers, each of which can be read alone:
//!
//! | layer | job |
//! | --- | --- |
//! | [`source`] | where files come from, the source map, spans |
//! | [`mod@include`] | the includes between files |
//! | [`lexer`] | bytes to tokens |
//! | [`syntax`] | the lossless syntax tree: every byte is in it |
//! | [`parser`] | tokens to the syntax tree; resumes after an error |
//! | [`ast`] | the syntax tree without trivia |
//! | [`units`] | exact amounts with their units |
//! | [`resolve`] | names, defaults, one policy built on another: the message of [`schema`] |
//! | [`check`] | the four rules, and plain contradictions |
//! | [`matching`] | which requests a route can match, decided exactly |
//! | [`formatter`] | the one way to write a file |
//! | [`diff`] | what changed in meaning |
//! | [`report`] | findings as a person or a program reads them; [`codes`] explains each |
//!
//! Nothing here decides about a request: that is `rainstand-routing`, from the compiled message.
//!
//! ```
//! use rainstand_config::{load, source::Memory};
//! let files = Memory::new([("a.rain", "rain 1\ntype check {\n  repeat: rerunnable\n  goal: 40 tickets/s\n}\n")]);
//! let outcome = load(&files, "a.rain");
//! let found = outcome.findings.iter().find(|finding| finding.code.id() == "U202").unwrap();
//! assert_eq!(outcome.sources.line_column(found.span), (4, 9));
//! assert_eq!(found.message, "`goal` wants a time such as `250 ms`; `40 tickets/s` is a rate");
//! ```

pub mod ast;
pub mod check;
pub mod codes;
pub mod diff;
mod finding;
pub mod formatter;
pub mod include;
pub mod lexer;
mod load;
pub mod matching;
pub mod parser;
pub mod report;
pub mod resolve;
pub mod schema;
pub mod source;
pub mod syntax;
pub mod units;

pub use finding::{Finding, Findings, Label};
pub use load::{load, Outcome};
