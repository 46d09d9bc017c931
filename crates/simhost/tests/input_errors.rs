//! Errors for lines that cannot be handled.

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
            Some("line 1: quiesce: node n is not running"),
        ),
        (
            "{\"msg\":\"born\",\"nodeId\":\"n\"}\n",
            Some("line 1: born: entropy: no whole number"),
        ),
    ];
    for (input, expected_error) in cases {
        let mut output = Vec::new();
        let result = rainstand_simhost::serve(input.as_bytes(), &mut output);
        assert!(
            matches!((&result, expected_error), (Ok(()), None))
                || result
                    .unwrap_err()
                    .to_string()
                    .starts_with(expected_error.unwrap())
        );
        assert_eq!(output.is_empty(), !input.contains("go"));
    }
}
