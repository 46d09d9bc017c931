//! Comparisons of two variants by pairs of runs with the same seed.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_experiments::results::Run;
use rainstand_experiments::stats::{compare, Verdict};

fn runs(values: &[f64]) -> Vec<Run> {
    let run = |(seed, good_share): (usize, &f64)| Run {
        seed: seed as i64,
        good_share: *good_share,
        ..Run::default()
    };
    values.iter().enumerate().map(run).collect()
}

#[test]
fn paired_comparison_finds_a_difference_smaller_than_the_spread_of_seeds() {
    // Seeds differ by far more than the variants do, but every pair shows the same difference.
    let before = runs(&[0.90, 0.70, 0.80, 0.60, 0.95]);
    let after = runs(&[0.91, 0.712, 0.809, 0.611, 0.96]);
    let found = compare(before.iter(), after.iter(), 0.95).unwrap();
    assert_eq!(
        (found[0].measure, found[0].verdict),
        ("good", Verdict::Better)
    );
    assert!(
        (found[0].change.mean - 0.0104).abs() < 1e-9,
        "{:?}",
        found[0]
    );
    assert_eq!(found[1].verdict, Verdict::Same);
    // Swapped, the difference is worse; without a pattern it is noise.
    assert_eq!(
        compare(after.iter(), before.iter(), 0.95).unwrap()[0].verdict,
        Verdict::Worse
    );
    let other = runs(&[0.95, 0.60, 0.90, 0.55, 0.97]);
    assert_eq!(
        compare(before.iter(), other.iter(), 0.95).unwrap()[0].verdict,
        Verdict::Noise
    );
    assert!(compare(before[..1].iter(), after.iter(), 0.95).is_err());
}
