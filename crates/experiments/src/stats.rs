//! Two variants compared by pairs of one seed: both had the same jobs, so what differs is the variant. A difference is
//! told with its interval; one whose interval holds nothing is called noise.

use crate::results::Run;
use statrs::distribution::{ContinuousCDF, StudentsT};

/// What is compared: a name, whether more is better, and how it is read.
pub type Measure = (&'static str, bool, fn(&Run) -> f64);

pub const MEASURES: [Measure; 9] = [
    ("good", true, |run| run.good_share),
    ("honoured", true, |run| run.honoured_share),
    ("p50 ms", false, |run| run.p50_ms),
    ("p99 ms", false, |run| run.p99_ms),
    ("p999 ms", false, |run| run.p999_ms),
    ("wait p99 ms", false, |run| run.wait_p99_ms),
    ("tries a job", false, |run| run.tries_per_job),
    ("unevenness", false, |run| run.unevenness),
    ("wasted runs", false, |run| run.wasted_runs as f64),
];

/// A mean with the half of its interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mean {
    pub mean: f64,
    pub half: f64,
    pub count: usize,
}

/// Mean and interval by Student's t; an infinite half for fewer than two values.
///
/// ```
/// use rainstand_experiments::stats::mean;
/// let one = mean(&[10.0, 12.0, 11.0, 13.0], 0.95);
/// assert_eq!(one.mean, 11.5);
/// assert!((one.half - 2.054).abs() < 0.001);
/// ```
pub fn mean(values: &[f64], level: f64) -> Mean {
    let count = values.len();
    let mean = values.iter().sum::<f64>() / count.max(1) as f64;
    if count < 2 {
        return Mean {
            mean,
            half: f64::INFINITY,
            count,
        };
    }
    let spread = values
        .iter()
        .map(|value| (value - mean).powi(2))
        .sum::<f64>()
        / (count - 1) as f64;
    let t = StudentsT::new(0.0, 1.0, (count - 1) as f64)
        .map_or(2.0, |t| t.inverse_cdf((1.0 + level) / 2.0));
    Mean {
        mean,
        half: t * (spread / count as f64).sqrt(),
        count,
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Better,
    Worse,
    /// The interval of the difference holds nothing at all.
    Noise,
    /// Every pair is the same.
    Same,
}

impl Verdict {
    pub fn word(self) -> &'static str {
        match self {
            Verdict::Better => "better",
            Verdict::Worse => "worse",
            Verdict::Noise => "noise",
            Verdict::Same => "same",
        }
    }
}

/// One measure of two variants.
#[derive(Clone, Debug, PartialEq)]
pub struct Compared {
    pub measure: &'static str,
    pub before: f64,
    pub after: f64,
    /// After less before, by pairs.
    pub change: Mean,
    pub verdict: Verdict,
}

/// Compares runs of two variants that have seeds in common.
///
/// # Errors
/// If fewer than two seeds are in both.
pub fn compare<'r>(
    before: impl Iterator<Item = &'r Run>,
    after: impl Iterator<Item = &'r Run> + Clone,
    level: f64,
) -> Result<Vec<Compared>, String> {
    let pairs: Vec<(&Run, &Run)> = before
        .filter_map(|one| Some((one, after.clone().find(|other| other.seed == one.seed)?)))
        .collect();
    if pairs.len() < 2 {
        return Err(format!(
            "{} seeds are in both; a comparison takes at least two",
            pairs.len()
        ));
    }
    let compared = |(measure, more, read): &Measure| {
        let changes: Vec<f64> = pairs.iter().map(|(a, b)| read(b) - read(a)).collect();
        let change = mean(&changes, level);
        let of = |pick: &dyn Fn(&(&Run, &Run)) -> f64| {
            pairs.iter().map(pick).sum::<f64>() / pairs.len() as f64
        };
        let verdict = if changes.iter().all(|change| *change == 0.0) {
            Verdict::Same
        } else if change.mean.abs() <= change.half {
            Verdict::Noise
        } else if (change.mean > 0.0) == *more {
            Verdict::Better
        } else {
            Verdict::Worse
        };
        Compared {
            measure,
            before: of(&|pair| read(pair.0)),
            after: of(&|pair| read(pair.1)),
            change,
            verdict,
        }
    };
    Ok(MEASURES.iter().map(compared).collect())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn runs(values: &[f64]) -> Vec<Run> {
        let run = |(k, good): (usize, &f64)| Run {
            seed: k as i64,
            good_share: *good,
            ..Run::default()
        };
        values.iter().enumerate().map(run).collect()
    }

    #[test]
    fn pairs_show_what_means_would_hide() {
        // Seeds differ by far more than the variants do, but each pair says the same.
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
        // The other way round it is worse, and without a pattern it is noise.
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
}
