//! Amounts: no digit is lost, and what is written is read back.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rainstand_config::codes::Code;
use rainstand_config::units::{factor, find_unit, parse_decimal, share, time, ONE, PERCENT};

#[test]
fn digits_are_kept_or_refused() {
    let table = [
        ("3.1", 1_000_000_000, Ok(3_100_000_000)),
        ("1_000", 1, Ok(1_000)),
        ("0.000000001", 1_000_000_000, Ok(1)),
        ("0.0000000001", 1_000_000_000, Err(Code::Digits)),
        ("1.50", 2, Ok(3)),
        ("1.5", 1, Err(Code::Digits)),
        ("18446744073709551615", 1, Ok(u64::MAX)),
        ("18446744073709551616", 1, Err(Code::Overflow)),
        (
            "99999999999999999999999999999999999999999",
            1,
            Err(Code::Overflow),
        ),
        ("0.1234567890123456789012345678901", 1, Err(Code::Digits)),
        ("000.0000", 7, Ok(0)),
    ];
    for (digits, scale, wanted) in table {
        assert_eq!(parse_decimal(digits, scale), wanted, "{digits}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(16), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn written_amounts_are_read_back(steps in 0u64..u64::MAX / 2) {
        let (digits, unit_name) = time(steps).split_once(' ').map(|(a, b)| (a.to_owned(), b.to_owned())).unwrap();
        prop_assert_eq!(parse_decimal(&digits, find_unit(&unit_name).unwrap().steps), Ok(steps));
        prop_assert_eq!(parse_decimal(&factor(steps), ONE), Ok(steps));
        let percent = share(steps);
        prop_assert_eq!(parse_decimal(percent.trim_end_matches(" %"), PERCENT), Ok(steps));
    }
}
