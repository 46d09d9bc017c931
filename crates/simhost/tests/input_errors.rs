//! What a line that cannot be handled is answered with.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

#[test]
fn a_bad_line_is_named_in_the_error_and_an_unknown_message_is_ignored() {
    let cases = [
        (
            "{\"msg\":\"clock\",\"atTimeS\":1}\n{\"msg\":\"new\"}\n{\"msg\":\"go\"}\n",
            None,
        ),
        (
            "{\"msg\":\"go\"}\n{oops}\n",
            Some("line 2: not a JSON value"),
        ),
        ("[]\n", Some("line 1: not a JSON object")),
        (
            "{\"msg\":\"clock\",\"atTimeS\":-1}\n",
            Some("line 1: atTimeS: "),
        ),
        (
            "{\"msg\":\"quiesce\",\"nodeId\":\"n\"}\n",
            Some("line 1: quiesce: n was never born"),
        ),
        (
            "{\"msg\":\"born\",\"nodeId\":\"n\"}\n",
            Some("line 1: born: entropy: no whole number"),
        ),
    ];
    for (input, wrong) in cases {
        let mut out = Vec::new();
        let end = rainstand_simhost::serve(input.as_bytes(), &mut out);
        assert!(
            matches!((&end, wrong), (Ok(()), None))
                || end.unwrap_err().to_string().starts_with(wrong.unwrap())
        );
        assert_eq!(out.is_empty(), !input.contains("go"));
    }
}
