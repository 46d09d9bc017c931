//! The `.rain` language: what an operator writes about traffic types, tenants, pools, routes and policies.
//!
//! A configuration passes these layers, each of which can be read alone:
//!
//! | layer | job |
//! | --- | --- |
//! | [`source`] | files and places in them |
//! | [`include`] | the includes between files |
//! | [`lex`] | bytes to tokens |
//! | [`tree`] | the lossless tree: every byte is in it |
//! | [`parse`] | tokens to the tree; goes on after an error |
//! | [`ast`] | the tree without what means nothing |
//! | [`units`] | exact amounts with their units |
//! | [`resolve`] | names, defaults, one policy built on another: the message of [`schema`] |
//! | [`check`] | what the four rules and plain sense ask of it |
//! | [`space`] | which tickets a route can match, decided exactly |
//! | [`form`] | the one way to write a file |
//! | [`diff`] | what changed in meaning |
//! | [`report`] | findings as a person or a program reads them; [`codes`] explains each |
//!
//! Nothing here decides about a ticket: that is `rainstand-routing`, from the compiled message.
//!
//! ```
//! use rainstand_config::{load, source::Memory};
//! let files = Memory::new([("a.rain", "rain 1\ntype check {\n  repeat: rerunnable\n  goal: 40 tickets/s\n}\n")]);
//! let outcome = load(&files, "a.rain");
//! let found = outcome.findings.iter().find(|finding| finding.code.id() == "U202").unwrap();
//! assert_eq!(outcome.sources.line_column(found.at), (4, 9));
//! assert_eq!(found.message, "`goal` wants a time such as `250 ms`; `40 tickets/s` is a rate");
//! ```

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "not yet brought to the workspace's lints, see docs/ROADMAP.md"
)]

pub mod ast;
pub mod check;
pub mod codes;
pub mod diff;
mod finding;
pub mod form;
pub mod include;
pub mod lex;
mod load;
pub mod parse;
pub mod report;
pub mod resolve;
pub mod schema;
pub mod source;
pub mod space;
pub mod tree;
pub mod units;

pub use finding::{Finding, Findings};
pub use load::{load, Outcome};
