//! Kinds of the tree and their numbers.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_config::tree::{Kind, Rain};
use rowan::Language;

#[test]
fn kinds_and_their_numbers_agree() {
    for raw in 0..=Kind::Skipped as u16 {
        assert_eq!(Rain::kind_from_raw(rowan::SyntaxKind(raw)) as u16, raw);
    }
}
