//! Compares two variants by pairs of runs with the same seed, which have the same jobs and differ in the variant only.
//!
//! A difference is reported with its confidence interval; one whose interval contains zero is reported as noise.

use crate::error::ExperimentError;
use crate::results::Run;
use statrs::distribution::{ContinuousCDF, StudentsT};

/// Quantile of Student's t that is used if it cannot be computed.
const FALLBACK_QUANTILE: f64 = 2.0;

/// A measure that is compared between variants.
#[derive(Clone, Copy, Debug)]
pub struct Measure {
    /// Its name in tables and JSON.
    pub name: &'static str,
    /// Whether a higher value is better.
    pub higher_is_better: bool,
    /// Reads it from a run.
    pub read: fn(&Run) -> f64,
}

impl Measure {
    const fn higher_is_better(name: &'static str, read: fn(&Run) -> f64) -> Self {
        Self {
            name,
            higher_is_better: true,
            read,
        }
    }

    const fn lower_is_better(name: &'static str, read: fn(&Run) -> f64) -> Self {
        Self {
            name,
            higher_is_better: false,
            read,
        }
    }
}

/// All measures, in the order of tables.
pub const MEASURES: [Measure; 9] = [
    Measure::higher_is_better("good", |run| run.good_share),
    Measure::higher_is_better("honoured", |run| run.honoured_share),
    Measure::lower_is_better("p50 ms", |run| run.p50_ms),
    Measure::lower_is_better("p99 ms", |run| run.p99_ms),
    Measure::lower_is_better("p999 ms", |run| run.p999_ms),
    Measure::lower_is_better("wait p99 ms", |run| run.wait_p99_ms),
    Measure::lower_is_better("tries a job", |run| run.tries_per_job),
    Measure::lower_is_better("unevenness", |run| run.unevenness),
    Measure::lower_is_better("wasted runs", |run| run.wasted_runs as f64),
];

/// A mean with its confidence interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mean {
    /// The mean.
    pub mean: f64,
    /// Half of the interval's width; infinite for fewer than two values.
    pub half: f64,
    /// Number of values.
    pub count: usize,
}

/// Mean and interval by Student's t; `level` is the confidence, between 0 and 1.
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
    let degrees_of_freedom = (count - 1) as f64;
    let squares: f64 = values.iter().map(|value| (value - mean).powi(2)).sum();
    let variance = squares / degrees_of_freedom;
    let quantile = StudentsT::new(0.0, 1.0, degrees_of_freedom).map_or(FALLBACK_QUANTILE, |t| {
        t.inverse_cdf(f64::midpoint(1.0, level))
    });
    Mean {
        mean,
        half: quantile * (variance / count as f64).sqrt(),
        count,
    }
}

/// Conclusion from the difference between two variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The variant after is better.
    Better,
    /// The variant after is worse.
    Worse,
    /// The interval of the difference contains zero.
    Noise,
    /// Every pair is the same.
    Same,
}

impl Verdict {
    /// The word in tables, JSON and the page's style classes.
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
    /// Name of the measure.
    pub measure: &'static str,
    /// Mean of the variant before, over the seeds that both have.
    pub before: f64,
    /// Mean of the variant after, over the same seeds.
    pub after: f64,
    /// After less before, by pairs.
    pub change: Mean,
    /// Conclusion from the change.
    pub verdict: Verdict,
}

/// Two runs with the same seed.
struct Pair<'r> {
    before: &'r Run,
    after: &'r Run,
}

/// Compares the runs of two variants that have the same seeds.
///
/// # Errors
/// If fewer than two seeds are in both.
pub fn compare<'r>(
    before: impl Iterator<Item = &'r Run>,
    after: impl Iterator<Item = &'r Run>,
    level: f64,
) -> Result<Vec<Compared>, ExperimentError> {
    let after: Vec<&Run> = after.collect();
    let pairs: Vec<Pair<'_>> = before
        .filter_map(|before| {
            let after = after.iter().find(|run| run.seed == before.seed)?;
            Some(Pair { before, after })
        })
        .collect();
    if pairs.len() < 2 {
        return Err(ExperimentError::TooFewPairs(pairs.len()));
    }
    let compared = |measure| compare_measure(measure, &pairs, level);
    Ok(MEASURES.iter().map(compared).collect())
}

fn compare_measure(measure: &Measure, pairs: &[Pair<'_>], level: f64) -> Compared {
    let read = measure.read;
    let changes: Vec<f64> = pairs
        .iter()
        .map(|pair| read(pair.after) - read(pair.before))
        .collect();
    let change = mean(&changes, level);
    let count = pairs.len() as f64;
    let before: f64 = pairs.iter().map(|pair| read(pair.before)).sum();
    let after: f64 = pairs.iter().map(|pair| read(pair.after)).sum();
    Compared {
        measure: measure.name,
        before: before / count,
        after: after / count,
        change,
        verdict: verdict(measure, &changes, change),
    }
}

fn verdict(measure: &Measure, changes: &[f64], change: Mean) -> Verdict {
    if changes.iter().all(|change| *change == 0.0) {
        Verdict::Same
    } else if change.mean.abs() <= change.half {
        Verdict::Noise
    } else if (change.mean > 0.0) == measure.higher_is_better {
        Verdict::Better
    } else {
        Verdict::Worse
    }
}
