//! Places in a file.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_config::source::{FileId, SourceMap, Span};

#[test]
fn places_count_characters() {
    let sources = SourceMap::from_text("a", "# æø\nab: å x\n".into());
    let file = FileId(0);
    let x = sources.text(file).find('x').unwrap() as u32;
    assert_eq!(
        sources.line_column(Span {
            file,
            start: x,
            end: x + 1
        }),
        (2, 7)
    );
    assert_eq!(
        sources.line_column(Span {
            file,
            start: 0,
            end: 0
        }),
        (1, 1)
    );
}
