//! The schema's forms refuse what they do not know.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_config::schema::{
    from_binary, from_own_binary, from_text, to_binary, Configuration, Member, Pool,
};

#[test]
fn unknown_fields_are_refused_in_each_form() {
    let refused =
        from_text("version: 1\npools {\n  name: \"p\"\n  members { weigth: 3 }\n}\n").unwrap_err();
    assert_eq!((refused.line, refused.column), (4, 13), "{refused}");
    assert!(refused.message.contains("weigth"), "{refused}");
    let pool = Pool {
        name: "p".into(),
        members: vec![Member::default()],
        ..Pool::default()
    };
    let whole = Configuration {
        version: 1,
        pools: vec![pool],
        ..Configuration::default()
    };
    let mut bytes = to_binary(&whole);
    assert_eq!(from_binary(&bytes), Ok(whole.clone()));
    assert_eq!(from_own_binary(&bytes), Ok(whole));
    bytes.extend([0xf8, 0x07, 5]);
    assert_eq!(
        from_binary(&bytes).unwrap_err().message,
        "unknown field 127"
    );
}

#[test]
fn another_version_is_refused() {
    for text in ["", "version: 2"] {
        assert!(
            from_text(text)
                .unwrap_err()
                .message
                .contains("knows version 1"),
            "{text}"
        );
    }
    assert!(from_binary(&[])
        .unwrap_err()
        .message
        .starts_with("version 0"));
    assert!(from_own_binary(&[])
        .unwrap_err()
        .message
        .starts_with("version 0"));
}
