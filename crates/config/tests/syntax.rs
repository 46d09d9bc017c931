//! Kinds of the tree and their numbers.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_config::syntax::{RainLanguage, SyntaxKind};
use rowan::Language;

#[test]
fn kinds_and_their_numbers_agree() {
    for raw in 0..=SyntaxKind::Skipped as u16 {
        assert_eq!(
            RainLanguage::kind_from_raw(rowan::SyntaxKind(raw)) as u16,
            raw
        );
    }
}
