//! A straight line through what was measured at several sizes, and a refusal of what is none. Pure.
//!
//! A line that is carried past what was measured is worth nothing if the quantity bends: one that grows with
//! the square, a table that doubles, a list that is walked for each request. So a fit says what it leaves
//! over, and is refused where that, or a second power, matters against what the quantity moved by.

use serde::Serialize;

/// The most that any one point may be off a line, of what the quantity moved by.
pub const MAX_RESIDUAL: f64 = 0.12;
/// The most that a second power may lift the middle off a line, of what the quantity moved by.
pub const MAX_CURVATURE: f64 = 0.10;
/// A quantity that moves by less than this part of itself is constant, and what is left over is judged against that:
/// counts, and what is read off a machine that others share.
pub const CONSTANT_WITHIN: [f64; 2] = [0.10, 0.30];
/// A cost of one request may at most double while what it is asked of grows fourfold: caches fill up, lists
/// that are walked grow as fast as the size.
const MAX_GROWTH: f64 = 2.0;
const GROWTH_SPAN: f64 = 4.0;
/// Different sizes that a line takes.
pub const MIN_SIZES: usize = 3;

/// How a quantity is expected to grow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Growth {
    /// With the size.
    Linear,
    /// Not with the size: the cost of one request.
    Constant,
}

/// `y = intercept + slope x`, as good as it goes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    /// At size 0.
    pub intercept: f64,
    /// By one of the size.
    pub slope: f64,
    /// The most that a point is off, as a part of what the quantity moved by.
    pub residual: f64,
    /// How far a second power lifts the middle off the straight way, as a part of the same.
    pub curve: f64,
    /// The largest size.
    pub up_to: f64,
}

impl Line {
    /// The quantity at a size.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}

/// Why there is no line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FitError {
    /// Fewer than [`MIN_SIZES`] sizes, or what is no number.
    TooFew,
    /// A point is off the line by this part of what the quantity moved by.
    Residual(f64),
    /// A second power lifts the middle by this part of what the quantity moved by.
    Curvature(f64),
    /// One request costs so many times more at the largest size than at the smallest.
    Grows(f64),
}

impl std::fmt::Display for FitError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            FitError::TooFew => write!(f, "fewer than {MIN_SIZES} sizes were measured"),
            FitError::Residual(part) => {
                write!(f, "bends: a point is off the line by {:.0} %", part * 100.0)
            }
            FitError::Curvature(part) => {
                write!(f, "bends: a second power lifts it by {:.0} %", part * 100.0)
            }
            FitError::Grows(times) => {
                write!(
                    f,
                    "bends: one request costs {times:.1} times more at the largest size"
                )
            }
        }
    }
}

/// The least-squares line, whatever it leaves over; none for fewer than two sizes.
fn least_squares(points: &[(f64, f64)]) -> Option<(f64, f64)> {
    let n = points.len() as f64;
    let (mx, my) = (
        mean(points.iter().map(|p| p.0), n),
        mean(points.iter().map(|p| p.1), n),
    );
    let spread: f64 = points.iter().map(|p| (p.0 - mx).powi(2)).sum();
    let both: f64 = points.iter().map(|p| (p.0 - mx) * (p.1 - my)).sum();
    (spread > 0.0).then(|| (my - both / spread * mx, both / spread))
}

fn mean(all: impl Iterator<Item = f64>, n: f64) -> f64 {
    all.sum::<f64>() / n
}

/// The factor of the second power of a least-squares parabola.
fn second_power(points: &[(f64, f64)]) -> f64 {
    // Of the part of x² that no line explains, how much of y's remainder goes with it.
    let squares: Vec<(f64, f64)> = points.iter().map(|p| (p.0, p.0 * p.0)).collect();
    let (Some((a, b)), Some((c, d))) = (least_squares(&squares), least_squares(points)) else {
        return 0.0;
    };
    let (mut both, mut spread) = (0.0, 0.0);
    for (x, y) in points {
        let rest = x * x - a - b * x;
        both += rest * (y - c - d * x);
        spread += rest * rest;
    }
    if spread > 0.0 {
        both / spread
    } else {
        0.0
    }
}

/// Sizes that differ, by falling or rising.
fn sizes(points: &[(f64, f64)]) -> usize {
    let mut all: Vec<f64> = points.iter().map(|p| p.0).collect();
    all.sort_unstable_by(f64::total_cmp);
    all.dedup();
    all.len()
}

/// The line through points of size and quantity; `counted`: they are the same on every run.
///
/// # Errors
/// Why it is none, with the line that was refused where there is one.
pub fn fit(
    points: &[(f64, f64)],
    growth: Growth,
    counted: bool,
) -> Result<Line, (FitError, Option<Line>)> {
    if sizes(points) < MIN_SIZES || points.iter().any(|p| !p.0.is_finite() || !p.1.is_finite()) {
        return Err((FitError::TooFew, None));
    }
    let Some((intercept, slope)) = least_squares(points) else {
        return Err((FitError::TooFew, None));
    };
    let ends = |pick: fn(&(f64, f64)) -> f64| {
        let all = || points.iter().map(pick);
        (
            all().fold(f64::INFINITY, f64::min),
            all().fold(f64::NEG_INFINITY, f64::max),
        )
    };
    let ((first, last), (low, high)) = (ends(|p| p.0), ends(|p| p.1));
    let still = CONSTANT_WITHIN[usize::from(!counted)];
    let moved = (high - low)
        .max(still * high.abs().max(low.abs()))
        .max(f64::MIN_POSITIVE);
    let off = |p: &(f64, f64)| (p.1 - intercept - slope * p.0).abs();
    let residual = points.iter().map(off).fold(0.0, f64::max) / moved;
    let curve = second_power(points).abs() * ((last - first) / 2.0).powi(2) / moved;
    let line = Line {
        intercept,
        slope,
        residual,
        curve,
        up_to: last,
    };
    if growth == Growth::Constant {
        // Whether the line is straight does not matter where it should lie flat.
        let times = line.at(last) / line.at(first).max(f64::MIN_POSITIVE);
        let may = MAX_GROWTH.powf((last / first).ln() / GROWTH_SPAN.ln());
        return if times > may {
            Err((FitError::Grows(times), Some(line)))
        } else {
            Ok(line)
        };
    }
    if curve > MAX_CURVATURE {
        return Err((FitError::Curvature(curve), Some(line)));
    }
    if residual > MAX_RESIDUAL {
        return Err((FitError::Residual(residual), Some(line)));
    }
    Ok(line)
}
